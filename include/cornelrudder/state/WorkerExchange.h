#ifndef CORNELRUDDER_STATE_WORKER_EXCHANGE_H
#define CORNELRUDDER_STATE_WORKER_EXCHANGE_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

enum class WorkerAction
{
  kReserve,
  kCommit,
  kStart,
  kRenew,
  kStop,
  kCheckpoint,
  kThrottle
};

inline constexpr std::size_t kWorkerActionCount = 7;

/** @return The lower-case name of an action, as in its HTTP path. */
std::string_view
WorkerActionName(WorkerAction aAction);

/** @return The action of this name, or nothing. */
std::optional<WorkerAction>
ParseWorkerAction(std::string_view aName);

/** State of one member of one attempt on its worker. */
enum class MemberState
{
  /** The worker has no record of the attempt. */
  kUnknown,
  kReserved,
  kCommitted,
  kRunning,
  kSucceeded,
  /** The task ran and failed. */
  kFailed,
  /** The lease expired; the accelerators are free. */
  kExpired,
  kStopped
};

inline constexpr std::size_t kMemberStateCount = 8;

/** @return The lower-case name of a state. */
std::string_view
MemberStateName(MemberState aState);

/** @return The state of this name, or nothing. */
std::optional<MemberState>
ParseMemberState(std::string_view aName);

/** A command to a worker about one member of a gang. */
class WorkerCommand
{
public:
  /**
   * @param aEpoch Fencing token; a worker rejects a token lower than the
   *   highest one it has accepted.
   * @param aAttempt Attempt of the gang; a worker rejects attempts that it has
   *   stopped.
   * @param aLease Time for which the worker reserves the accelerators.
   * @param aExpectedRunTime The caller's estimate of the run time.
   * @throws StateError if the member, an accelerator index or a time is
   *   negative.
   */
  WorkerCommand(WorkerAction aAction,
                RegionId aDomain,
                std::uint64_t aEpoch,
                JobId aGang,
                std::uint32_t aAttempt,
                int aMember,
                std::vector<int> aAccelerators,
                std::chrono::milliseconds aLease,
                std::chrono::milliseconds aExpectedRunTime);

  WorkerAction Action() const { return mAction; }
  const RegionId& Domain() const { return mDomain; }
  std::uint64_t Epoch() const { return mEpoch; }
  const JobId& Gang() const { return mGang; }
  std::uint32_t Attempt() const { return mAttempt; }
  int Member() const { return mMember; }
  const std::vector<int>& Accelerators() const { return mAccelerators; }
  std::chrono::milliseconds Lease() const { return mLease; }
  std::chrono::milliseconds ExpectedRunTime() const { return mExpectedRunTime; }

  auto operator<=>(const WorkerCommand&) const = default;

private:
  WorkerAction mAction;
  RegionId mDomain;
  std::uint64_t mEpoch;
  JobId mGang;
  std::uint32_t mAttempt;
  int mMember;
  std::vector<int> mAccelerators;
  std::chrono::milliseconds mLease;
  std::chrono::milliseconds mExpectedRunTime;
};

enum class WorkerReplyStatus
{
  kAccepted,
  /** The worker rejected the command. */
  kRefused,
  /** The worker rejected the epoch because it has accepted a higher one. */
  kFenced,
  /** No complete reply; the command may or may not have been executed. */
  kUnreachable
};

/** A worker's reply to one command. */
class WorkerReply
{
public:
  WorkerReply(WorkerReplyStatus aStatus, MemberState aMember, bool aLeaving)
    : mStatus(aStatus)
    , mMember(aMember)
    , mLeaving(aLeaving)
  {
  }

  WorkerReplyStatus Status() const { return mStatus; }

  /** State of the member after the command; kUnknown without a reply. */
  MemberState Member() const { return mMember; }

  /** Whether the worker is about to leave the fleet. */
  bool Leaving() const { return mLeaving; }

  auto operator<=>(const WorkerReply&) const = default;

private:
  WorkerReplyStatus mStatus;
  MemberState mMember;
  bool mLeaving;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_WORKER_EXCHANGE_H
