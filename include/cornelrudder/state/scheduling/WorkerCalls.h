#ifndef CORNELRUDDER_STATE_SCHEDULING_WORKER_CALLS_H
#define CORNELRUDDER_STATE_SCHEDULING_WORKER_CALLS_H

#include "cornelrudder/state/scheduling/TaskId.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Destination of a command: WorkerInfo::mId and WorkerInfo::mAddress. */
struct WorkerTarget
{
  std::string mId;
  std::string mAddress;

  auto operator<=>(const WorkerTarget&) const = default;
};

/** Commands a worker to start a run of a task. */
struct StartCommand
{
  WorkerTarget mWorker;
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::string mPayload;
  /** Checkpoint to resume from; empty to start from scratch. */
  std::string mCheckpoint;
  /**
   * Expiry of the lease of all runs on the worker, on the clock of the worker.
   */
  std::chrono::milliseconds mLeaseExpiry{ 0 };
  /** Fencing token. */
  std::uint64_t mEpoch = 0;
  /**
   * Local time from which the command must not be sent any more, however long
   * it has waited for a connection; see OwnerTenure.
   */
  std::chrono::milliseconds mSendBefore{ std::chrono::milliseconds::max() };

  auto operator<=>(const StartCommand&) const = default;
};

/** Commands a worker to stop a run. */
struct StopCommand
{
  WorkerTarget mWorker;
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::uint64_t mEpoch = 0;

  auto operator<=>(const StopCommand&) const = default;
};

/** Renews the lease of a worker's runs and asks for their state. */
struct RenewCommand
{
  WorkerTarget mWorker;
  /** Expiry of the lease on the clock of the worker; 0 leaves it unchanged. */
  std::chrono::milliseconds mLeaseExpiry{ 0 };
  std::uint64_t mEpoch = 0;
  /**
   * Terminations up to this sequence number are stored; the worker may discard
   * them.
   */
  std::uint64_t mAckedUpTo = 0;
  /**
   * Maximum time that the worker may delay its reply until a run terminates.
   */
  std::chrono::milliseconds mMaxWait{ 0 };

  auto operator<=>(const RenewCommand&) const = default;
};

/** Outcome of a command to a worker. */
enum class CommandOutcome
{
  kDone,
  /** The worker did not execute the command and never will. */
  kRejected,
  /** No connection to the worker: the command was not sent. */
  kNotSent,
  /** The command was not sent, since StartCommand::mSendBefore had passed. */
  kWithheld,
  /** The worker lacks the capacity. */
  kNoCapacity,
  /** The worker knows a higher epoch. */
  kFenced,
  /**
   * A different incarnation of the worker replied; the addressed one is gone.
   */
  kIncarnationMismatch,
  /**
   * No valid reply: the command may have been executed, or may be executed
   * later.
   */
  kUnknown
};

/** Reply to a start or stop command. */
struct CommandReply
{
  CommandOutcome mOutcome = CommandOutcome::kUnknown;
  /**
   * Clock of the worker; 0 if the reply has none. Leases do not rely on it,
   * since the reply does not name the incarnation that read it.
   */
  std::chrono::milliseconds mClock{ 0 };
  /** The worker's reason for a rejection, for the log. */
  std::string mDetail;

  auto operator<=>(const CommandReply&) const = default;
};

/** A run that a worker reports as running. */
struct RunningRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::string mCheckpoint;
  /** Completed share of the work, 0 to 100 percent. */
  int mProgressPercent = 0;

  auto operator<=>(const RunningRun&) const = default;
};

enum class TerminationReason
{
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  /** Another member of the gang terminated. */
  kGangBroken,
  /** The other members of the gang did not start in time. */
  kGangIncomplete
};

/** @return Name of a reason, for the log. */
const char*
TerminationReasonName(TerminationReason aReason);

/** @return The reason with a name, or nothing for an unknown name. */
std::optional<TerminationReason>
TerminationReasonFromName(std::string_view aName);

/** A run that a worker reports as terminated. */
struct TerminatedRun
{
  /**
   * Sequence number of the termination within the incarnation of the worker.
   */
  std::uint64_t mSequence = 0;
  TaskId mTask;
  std::uint64_t mRun = 0;
  TerminationReason mReason = TerminationReason::kStopped;
  std::string mCheckpoint;

  auto operator<=>(const TerminatedRun&) const = default;
};

/** Reply to a renewal. */
struct RenewReply
{
  CommandOutcome mOutcome = CommandOutcome::kUnknown;
  std::uint64_t mIncarnation = 0;
  std::chrono::milliseconds mClock{ 0 };
  std::vector<RunningRun> mRunning;
  std::vector<TerminatedRun> mTerminated;
  /** The worker may have terminations that did not fit into the reply. */
  bool mHasMoreTerminations = false;
  /** Reason why there is no valid reply, for the log. */
  std::string mDetail;

  auto operator<=>(const RenewReply&) const = default;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_WORKER_CALLS_H
