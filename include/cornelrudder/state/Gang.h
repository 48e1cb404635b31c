#ifndef CORNELRUDDER_STATE_GANG_H
#define CORNELRUDDER_STATE_GANG_H

#include "cornelrudder/state/GangEvent.h"
#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/WorkerExchange.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** The owner's progress with a job; finer-grained than the stored JobState. */
enum class GangPhase
{
  /** The job's first row is being written; the job is not accepted yet. */
  kRecordingSubmission,
  kQueued,
  /** The row with the placement is being written. */
  kRecordingPlacement,
  kReserving,
  kCommitting,
  /** The row in state kCommitted is being written. */
  kRecordingCommit,
  kStarting,
  kRunning,
  /** A new owner queries the workers for the state of the members. */
  kAdopting,
  kCheckpointing,
  /** The row that records a cancellation is being written. */
  kRecordingCancellation,
  kStopping,
  /** The row with the outcome is being written. */
  kRecordingOutcome,
  /** The final state is recorded. */
  kFinal,
  /**
   * The owner lost the domain lease while the members may hold accelerators; it
   * only renews the members' leases.
   */
  kOrphaned,
  /**
   * Another owner handles or may handle the job; this one ignores all events of
   * the gang until the job is reloaded from its row.
   */
  kSuperseded
};

/** @return The lower-case name of a phase. */
std::string_view
GangPhaseName(GangPhase aPhase);

/** Durations that govern how an owner handles a gang. */
struct GangTiming
{
  /** Duration of a member's lease on its worker. */
  std::chrono::milliseconds mLease{ 10'000 };
  std::chrono::milliseconds mRenewInterval{ 2'500 };
  /** Maximum delay of a command to its worker, including clock drift. */
  std::chrono::milliseconds mMaxCommandDelay{ 2'000 };
  /** Time limit for checkpoints before a preempted gang is stopped. */
  std::chrono::milliseconds mCheckpointTimeout{ 30'000 };

  auto operator<=>(const GangTiming&) const = default;
};

/** State of one member as last confirmed to the owner. */
class MemberProgress
{
public:
  MemberProgress(MemberState aState, std::chrono::milliseconds aLastConfirmed)
    : mState(aState)
    , mLastConfirmed(aLastConfirmed)
  {
  }

  MemberState State() const { return mState; }

  /** Monotonic time at which the worker last confirmed the member. */
  std::chrono::milliseconds LastConfirmed() const { return mLastConfirmed; }

  /** Whether the worker confirmed a checkpoint of the member. */
  bool Checkpointed() const { return mCheckpointed; }

  MemberProgress WithCheckpoint() const
  {
    MemberProgress progress = *this;
    progress.mCheckpointed = true;
    return progress;
  }

  auto operator<=>(const MemberProgress&) const = default;

private:
  MemberState mState;
  std::chrono::milliseconds mLastConfirmed;
  bool mCheckpointed = false;
};

class Gang;

/** The next value of a gang and the commands to execute, in this order. */
struct GangStep;

/**
 * State machine of a gang job from submission to its final state, run by the
 * job's owner. An immutable value: Handle() returns the next value and the
 * commands to execute.
 */
class Gang
{
public:
  /** Starts a new job; it is accepted once its row is written. */
  static GangStep Submit(JobSpec aSpec,
                         std::uint64_t aEpoch,
                         bool aIdempotent,
                         GangTiming aTiming);

  /**
   * Resumes a recorded job under a new owner. A job in state kCommitted or
   * kRunning is continued: a renewal with the new epoch queries each member. A
   * job in state kPlaced or kReserved is stopped and queued again; a
   * cancellation is completed.
   * @param aEpoch Epoch of the new owner's lease.
   * @param aNow Monotonic time.
   */
  static GangStep Adopt(Job aRow,
                        std::uint64_t aEpoch,
                        bool aIdempotent,
                        GangTiming aTiming,
                        std::chrono::milliseconds aNow);

  GangStep Handle(const GangEvent& aEvent) const;

  /** The job as last recorded. */
  const Job& RecordedJob() const { return mJob; }

  /** The job as reported to callers, with states that are not recorded. */
  Job VisibleJob() const;

  GangPhase Phase() const { return mPhase; }

  /** Lease epoch of the owner that handles the gang. */
  std::uint64_t Epoch() const { return mEpoch; }

  /** The row whose write is not confirmed yet, if any. */
  const std::optional<Job>& PendingRow() const { return mPendingRow; }

  const std::vector<MemberProgress>& Members() const { return mMembers; }

  /** The placement whose accelerators may be in use; empty if none. */
  GangPlacement HeldPlacement() const;

  /** Whether a task of any attempt may have run. */
  WasRun HasRun() const;

  /** Worker whose failure terminated the last attempt, or nothing. */
  const std::optional<VmId>& FailedWorker() const { return mFailedWorker; }

  /** Whether the task failed on that worker, rather than the worker itself. */
  bool TaskFailed() const { return mTaskFailed; }

  auto operator<=>(const Gang&) const = default;

private:
  struct Outcome
  {
    JobState mState;
    FailureReason mReason;
    std::string mDetail;

    auto operator<=>(const Outcome&) const = default;
  };

  using Handler = GangStep (Gang::*)(const GangEvent&) const;

  struct HandlerEntry
  {
    GangEventKind mKind;
    Handler mHandler;
  };

  static const HandlerEntry kHandlers[];

  Gang(Job aJob, std::uint64_t aEpoch, bool aIdempotent, GangTiming aTiming);

  GangStep OnRowWritten(const GangEvent& aEvent) const;
  GangStep OnRowWriteUnknown(const GangEvent& aEvent) const;
  GangStep OnRowWriteNotApplied(const GangEvent& aEvent) const;
  GangStep OnSuperseded(const GangEvent& aEvent) const;
  GangStep OnPlace(const GangEvent& aEvent) const;
  GangStep OnRefuse(const GangEvent& aEvent) const;
  GangStep OnCancel(const GangEvent& aEvent) const;
  GangStep OnPreempt(const GangEvent& aEvent) const;
  GangStep OnReserved(const GangEvent& aEvent) const;
  GangStep OnCommitted(const GangEvent& aEvent) const;
  GangStep OnStarted(const GangEvent& aEvent) const;
  GangStep OnSucceeded(const GangEvent& aEvent) const;
  GangStep OnFailed(const GangEvent& aEvent) const;
  GangStep OnMemberUnknown(const GangEvent& aEvent) const;
  GangStep OnUnreachable(const GangEvent& aEvent) const;
  GangStep OnStopped(const GangEvent& aEvent) const;
  GangStep OnCheckpointed(const GangEvent& aEvent) const;
  GangStep OnDomainLeaseLost(const GangEvent& aEvent) const;
  GangStep OnTick(const GangEvent& aEvent) const;

  GangStep NoCommands() const;
  GangStep Write(Job aRow, GangPhase aPhase) const;
  GangStep SendToAll(WorkerAction aAction) const;
  GangStep Stop(Outcome aOutcome, std::chrono::milliseconds aNow) const;
  GangStep RecordOutcome(const Outcome& aOutcome) const;
  GangStep RecordAfterStop() const;
  GangStep BeginCancel() const;
  GangStep BeginCheckpoint(std::chrono::milliseconds aNow) const;
  GangStep Fail(std::string aDetail, std::chrono::milliseconds aNow) const;
  GangStep Advance(std::chrono::milliseconds aNow) const;
  GangStep Renew(std::chrono::milliseconds aNow) const;
  GangStep AdoptMembers(std::chrono::milliseconds aNow) const;

  Gang WithPhase(GangPhase aPhase) const;
  Gang WithMember(const GangEvent& aEvent, MemberState aState) const;
  /**
   * Records the worker whose failure terminates the attempt. Modifies this
   * value, so it is only called on a copy that was not returned yet.
   */
  void RecordFailedWorker(const VmId& aWorker, bool aTaskFailed);
  Outcome CancelOutcome() const;
  bool AllMembersIn(std::initializer_list<MemberState> aStates) const;
  bool HasPendingRow() const { return mPendingRow.has_value(); }
  bool RenewsLeases() const;

  Job mJob;
  std::uint64_t mEpoch;
  bool mIdempotent;
  GangTiming mTiming;
  GangPhase mPhase = GangPhase::kQueued;
  std::optional<Job> mPendingRow;
  std::vector<MemberProgress> mMembers;
  /** Outcome to record once the members have stopped. */
  std::optional<Outcome> mOutcome;
  std::optional<VmId> mFailedWorker;
  bool mTaskFailed = false;
  /** Failure that occurred during the write of the row in state kCommitted. */
  std::optional<std::string> mPendingFailure;
  std::chrono::milliseconds mDeadline{ 0 };
  std::chrono::milliseconds mNextRenew{ 0 };
  bool mCancel = false;
  bool mPreempt = false;
  /** Whether members of the current attempt may have been started. */
  bool mStarted = false;
  /**
   * Whether members of any attempt may have been started (mMayHaveRun) or
   * certainly were (mHasRun).
   */
  bool mMayHaveRun = false;
  bool mHasRun = false;
};

struct GangStep
{
  Gang mNext;
  std::vector<GangCommand> mCommands;

  auto operator<=>(const GangStep&) const = default;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_GANG_H
