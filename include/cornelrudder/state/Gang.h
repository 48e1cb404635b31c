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

/** Where a job's owner stands; finer than the recorded JobState. */
enum class GangPhase
{
  /** The first row is being written; the job is not accepted yet. */
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
  /** A new owner asks the workers what they know of the gang. */
  kAdopting,
  kCheckpointing,
  /** The row that records a cancellation is being written. */
  kRecordingCancellation,
  kStopping,
  /** The row with the outcome is being written. */
  kRecordingOutcome,
  /** The final state is recorded. */
  kFinal,
  /** Ownership lapsed: leases are renewed, nothing else is done. */
  kOrphaned,
  /** Another owner acts; nothing is done. */
  kSuperseded
};

/** @return The lower-case name of a phase. */
std::string_view
GangPhaseName(GangPhase aPhase);

/** Times that a gang's owner keeps to. */
struct GangTiming
{
  /** Lease of a member at its worker. */
  std::chrono::milliseconds mLease{ 10'000 };
  std::chrono::milliseconds mRenewInterval{ 2'500 };
  /** Longest way of a command to its worker, including clock drift. */
  std::chrono::milliseconds mMaxCommandDelay{ 2'000 };
  /** Time given to checkpoints before a reclaimed gang is stopped. */
  std::chrono::milliseconds mCheckpointTimeout{ 30'000 };

  auto operator<=>(const GangTiming&) const = default;
};

/** What the owner knows of one member. */
class MemberProgress
{
public:
  MemberProgress(MemberState aState, std::chrono::milliseconds aLastConfirmed)
    : mState(aState)
    , mLastConfirmed(aLastConfirmed)
  {
  }

  MemberState State() const { return mState; }

  /** When the worker last confirmed the member. */
  std::chrono::milliseconds LastConfirmed() const { return mLastConfirmed; }

  /** Whether its checkpoint was confirmed. */
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

/** The next value of a gang and what its owner must do now, in order. */
struct GangStep;

/**
 * A gang job from its acceptance to its final state, as its owner knows it.
 * An immutable value: Handle() gives the next value and the commands.
 */
class Gang
{
public:
  /** A new job; its row must be written before it is accepted. */
  static GangStep Submit(JobSpec aSpec,
                         std::uint64_t aEpoch,
                         bool aIdempotent,
                         GangTiming aTiming);

  /**
   * A recorded job as a new owner finds it.
   * @param aNow Monotonic time.
   */
  static GangStep Adopt(Job aRow,
                        std::uint64_t aEpoch,
                        bool aIdempotent,
                        GangTiming aTiming,
                        std::chrono::milliseconds aNow);

  GangStep Handle(const GangEvent& aEvent) const;

  /** The row as last recorded. */
  const Job& RecordedJob() const { return mJob; }

  /** The job as callers see it, with the states that are not recorded. */
  Job VisibleJob() const;

  GangPhase Phase() const { return mPhase; }

  /** Lease epoch of the owner that handles the gang. */
  std::uint64_t Epoch() const { return mEpoch; }

  /** Row that is being written, if any. */
  const std::optional<Job>& PendingRow() const { return mPendingRow; }

  const std::vector<MemberProgress>& Members() const { return mMembers; }

  /** The placement that may hold accelerators; empty if none does. */
  GangPlacement HeldPlacement() const;

  /** Whether a task of any attempt may have run. */
  WasRun HasRun() const;

  /** Worker whose failure ended the last attempt, or nothing. */
  const std::optional<VmId>& FailedWorker() const { return mFailedWorker; }

  /** Whether the task itself failed there, and not only the worker. */
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

  struct Row
  {
    GangEventKind mKind;
    Handler mHandler;
  };

  static const Row kHandlers[];

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

  GangStep Nothing() const;
  GangStep Write(Job aRow, GangPhase aPhase) const;
  GangStep ToAll(WorkerAction aAction) const;
  GangStep Stop(Outcome aOutcome, std::chrono::milliseconds aNow) const;
  GangStep Record(const Outcome& aOutcome) const;
  GangStep RecordAfterStop() const;
  GangStep BeginCancel() const;
  GangStep BeginCheckpoint(std::chrono::milliseconds aNow) const;
  GangStep Fail(std::string aDetail, std::chrono::milliseconds aNow) const;
  GangStep Advance(std::chrono::milliseconds aNow) const;
  GangStep Renew(std::chrono::milliseconds aNow) const;
  GangStep AdoptMembers(std::chrono::milliseconds aNow) const;

  Gang InPhase(GangPhase aPhase) const;
  Gang WithMember(const GangEvent& aEvent, MemberState aState) const;
  /** Notes whose failure ends the attempt; for a copy that is not given out. */
  void Blame(const VmId& aWorker, bool aTaskFailed);
  Outcome CancelOutcome() const;
  bool AllIn(std::initializer_list<MemberState> aStates) const;
  bool HasPendingRow() const { return mPendingRow.has_value(); }
  bool RenewsLeases() const;

  Job mJob;
  std::uint64_t mEpoch;
  bool mIdempotent;
  GangTiming mTiming;
  GangPhase mPhase = GangPhase::kQueued;
  std::optional<Job> mPendingRow;
  std::vector<MemberProgress> mMembers;
  /** What is recorded once the members have stopped. */
  std::optional<Outcome> mOutcome;
  std::optional<VmId> mFailedWorker;
  bool mTaskFailed = false;
  /** Failure seen while the row in state kCommitted was being written. */
  std::optional<std::string> mFault;
  std::chrono::milliseconds mDeadline{ 0 };
  std::chrono::milliseconds mNextRenew{ 0 };
  bool mCancel = false;
  bool mPreempt = false;
  /** Whether members of this attempt may have been started. */
  bool mStarted = false;
  /** Whether members of any attempt may have been started, or were. */
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
