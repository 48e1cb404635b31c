#ifndef CORNELRUDDER_STATE_GANG_EVENT_H
#define CORNELRUDDER_STATE_GANG_EVENT_H

#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/WorkerExchange.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelrudder::state {

enum class GangEventKind
{
  kRowWritten,
  /** The write may or may not have taken effect. */
  kRowWriteUnknown,
  /** The row is unchanged; the write may be retried. */
  kRowWriteNotApplied,
  /** Another owner wrote the row. */
  kRowConflict,
  kPlace,
  kRefuse,
  kCancel,
  /** The accelerators are reclaimed for a guaranteed shape. */
  kPreempt,
  kReserved,
  kCommitted,
  kStarted,
  kSucceeded,
  /** The task ran and failed. */
  kFailed,
  /** The worker rejected the command or no longer has the member. */
  kMemberUnknown,
  /** No complete reply came from the worker. */
  kUnreachable,
  kStopped,
  kCheckpointed,
  /** The worker has accepted a higher epoch. */
  kFenced,
  /** The owner's lease of the placement domain expired. */
  kDomainLeaseLost,
  kTick
};

/** An event that the gang's state machine handles. */
class GangEvent
{
public:
  /** @return An event for the gang as a whole. */
  static GangEvent ForGang(GangEventKind aKind, std::chrono::milliseconds aNow)
  {
    return { aKind, aNow };
  }

  static GangEvent Place(GangPlacement aPlacement,
                         std::chrono::milliseconds aNow)
  {
    GangEvent event(GangEventKind::kPlace, aNow);
    event.mPlacement = std::move(aPlacement);
    return event;
  }

  static GangEvent Refuse(FailureReason aReason,
                          std::string aDetail,
                          std::chrono::milliseconds aNow)
  {
    GangEvent event(GangEventKind::kRefuse, aNow);
    event.mReason = aReason;
    event.mDetail = std::move(aDetail);
    return event;
  }

  static GangEvent ForMember(GangEventKind aKind,
                             std::uint32_t aAttempt,
                             std::size_t aMember,
                             std::chrono::milliseconds aNow)
  {
    GangEvent event(aKind, aNow);
    event.mAttempt = aAttempt;
    event.mMember = aMember;
    event.mForMember = true;
    return event;
  }

  GangEventKind Kind() const { return mKind; }

  /** Monotonic time of the event. */
  std::chrono::milliseconds Now() const { return mNow; }

  bool IsForMember() const { return mForMember; }
  std::uint32_t Attempt() const { return mAttempt; }
  std::size_t Member() const { return mMember; }
  const GangPlacement& Placement() const { return mPlacement; }
  FailureReason Reason() const { return mReason; }
  const std::string& Detail() const { return mDetail; }

  auto operator<=>(const GangEvent&) const = default;

private:
  GangEvent(GangEventKind aKind, std::chrono::milliseconds aNow)
    : mKind(aKind)
    , mNow(aNow)
  {
  }

  GangEventKind mKind;
  std::chrono::milliseconds mNow;
  bool mForMember = false;
  std::uint32_t mAttempt = 0;
  std::size_t mMember = 0;
  GangPlacement mPlacement;
  FailureReason mReason = FailureReason::kNone;
  std::string mDetail;
};

/**
 * Translates a worker's reply to a command.
 * @return The kind of the event, or nothing if the reply has no effect.
 */
std::optional<GangEventKind>
ToGangEvent(WorkerAction aAction, const WorkerReply& aReply);

enum class GangCommandKind
{
  /** Write the row that Gang::PendingRow() holds. */
  kWriteRow,
  /** Read the row to determine whether the write took effect. */
  kReadRow,
  /** Send an action to the worker of one member. */
  kSendToWorker
};

/** An action that the owner must execute for a gang. */
class GangCommand
{
public:
  static GangCommand WriteRow()
  {
    return GangCommand(GangCommandKind::kWriteRow);
  }
  static GangCommand ReadRow()
  {
    return GangCommand(GangCommandKind::kReadRow);
  }
  static GangCommand ToWorker(WorkerAction aAction, std::size_t aMember)
  {
    GangCommand command(GangCommandKind::kSendToWorker);
    command.mAction = aAction;
    command.mMember = aMember;
    return command;
  }

  GangCommandKind Kind() const { return mKind; }
  WorkerAction Action() const { return mAction; }
  std::size_t Member() const { return mMember; }

  auto operator<=>(const GangCommand&) const = default;

private:
  explicit GangCommand(GangCommandKind aKind)
    : mKind(aKind)
  {
  }

  GangCommandKind mKind;
  WorkerAction mAction = WorkerAction::kRenew;
  std::size_t mMember = 0;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_GANG_EVENT_H
