#include "cornelrudder/state/Gang.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kPhases = 16;

/** Indexed by GangPhase. */
constexpr std::array<std::string_view, kPhases> kPhaseNames{
  "accepting",  "queued",        "placing",    "reserving",
  "committing", "confirming",    "starting",   "running",
  "adopting",   "checkpointing", "cancelling", "stopping",
  "recording",  "ended",         "orphaned",   "abandoned"
};

/** Whether the owner renews the members' leases; indexed by GangPhase. */
constexpr std::array<bool, kPhases> kRenewsLeases{ false, false, false, true,
                                                   true,  true,  true,  true,
                                                   true,  true,  true,  false,
                                                   false, false, true,  false };

/** @return Whether the lease of a member in this state must be renewed. */
bool
NeedsRenewal(MemberState aState)
{
  return aState == MemberState::kReserved ||
         aState == MemberState::kCommitted || aState == MemberState::kRunning;
}

/**
 * State reported to callers in place of the recorded one; nothing where the
 * recorded state is reported. Indexed by GangPhase.
 */
constexpr std::array<std::optional<JobState>, kPhases> kVisibleStates{
  std::nullopt,         std::nullopt,        std::nullopt,
  JobState::kPlaced,    JobState::kReserved, JobState::kReserved,
  JobState::kCommitted, JobState::kRunning,  std::nullopt,
  JobState::kRunning,   std::nullopt,        JobState::kStopping,
  std::nullopt,         std::nullopt,        std::nullopt,
  std::nullopt
};

} // namespace

std::string_view
GangPhaseName(GangPhase aPhase)
{
  return kPhaseNames.at(static_cast<std::size_t>(aPhase));
}

const Gang::HandlerEntry Gang::kHandlers[] = {
  { GangEventKind::kRowWritten, &Gang::OnRowWritten },
  { GangEventKind::kRowWriteUnknown, &Gang::OnRowWriteUnknown },
  { GangEventKind::kRowWriteNotApplied, &Gang::OnRowWriteNotApplied },
  { GangEventKind::kRowConflict, &Gang::OnSuperseded },
  { GangEventKind::kPlace, &Gang::OnPlace },
  { GangEventKind::kRefuse, &Gang::OnRefuse },
  { GangEventKind::kCancel, &Gang::OnCancel },
  { GangEventKind::kPreempt, &Gang::OnPreempt },
  { GangEventKind::kReserved, &Gang::OnReserved },
  { GangEventKind::kCommitted, &Gang::OnCommitted },
  { GangEventKind::kStarted, &Gang::OnStarted },
  { GangEventKind::kSucceeded, &Gang::OnSucceeded },
  { GangEventKind::kFailed, &Gang::OnFailed },
  { GangEventKind::kMemberUnknown, &Gang::OnMemberUnknown },
  { GangEventKind::kUnreachable, &Gang::OnUnreachable },
  { GangEventKind::kStopped, &Gang::OnStopped },
  { GangEventKind::kCheckpointed, &Gang::OnCheckpointed },
  { GangEventKind::kFenced, &Gang::OnSuperseded },
  { GangEventKind::kDomainLeaseLost, &Gang::OnDomainLeaseLost },
  { GangEventKind::kTick, &Gang::OnTick },
};

Gang::Gang(Job aJob, std::uint64_t aEpoch, bool aIdempotent, GangTiming aTiming)
  : mJob(std::move(aJob))
  , mEpoch(aEpoch)
  , mIdempotent(aIdempotent)
  , mTiming(aTiming)
  , mMayHaveRun(mJob.HasRun() != WasRun::kNo)
  , mHasRun(mJob.HasRun() == WasRun::kYes)
{
}

GangStep
Gang::Submit(JobSpec aSpec,
             std::uint64_t aEpoch,
             bool aIdempotent,
             GangTiming aTiming)
{
  const Gang gang(Job::Queued(std::move(aSpec)), aEpoch, aIdempotent, aTiming);
  return gang.Write(gang.mJob, GangPhase::kRecordingSubmission);
}

GangStep
Gang::Adopt(Job aRow,
            std::uint64_t aEpoch,
            bool aIdempotent,
            GangTiming aTiming,
            milliseconds aNow)
{
  Gang gang(std::move(aRow), aEpoch, aIdempotent, aTiming);
  gang.mMembers.assign(gang.mJob.Placement().Members().size(),
                       MemberProgress(MemberState::kUnknown, aNow));
  switch (gang.mJob.State()) {
    case JobState::kQueued:
      return gang.NoCommands();
    case JobState::kPlaced:
    case JobState::kReserved:
      return gang.Stop(
        { JobState::kQueued, FailureReason::kNone, "the owner changed" }, aNow);
    case JobState::kCommitted:
    case JobState::kRunning:
      gang.mMayHaveRun = true;
      gang.mStarted = true;
      return gang.AdoptMembers(aNow);
    case JobState::kStopping:
      return gang.Stop(gang.CancelOutcome(), aNow);
    case JobState::kSucceeded:
    case JobState::kFailed:
    case JobState::kRefused:
    case JobState::kCancelled:
      break;
  }
  return gang.WithPhase(GangPhase::kFinal).NoCommands();
}

GangStep
Gang::Handle(const GangEvent& aEvent) const
{
  const GangEventKind kind = aEvent.Kind();
  const bool finished =
    mPhase == GangPhase::kFinal || mPhase == GangPhase::kSuperseded;
  const bool ignored =
    mPhase == GangPhase::kOrphaned && kind != GangEventKind::kTick &&
    kind != GangEventKind::kFenced && kind != GangEventKind::kRowConflict;
  if (finished || ignored) {
    return NoCommands();
  }
  const bool stale =
    aEvent.IsForMember() &&
    (aEvent.Attempt() != mJob.Attempt() || aEvent.Member() >= mMembers.size());
  if (stale) {
    return NoCommands();
  }
  for (const HandlerEntry& entry : kHandlers) {
    if (entry.mKind == kind) {
      return (this->*entry.mHandler)(aEvent);
    }
  }
  return NoCommands();
}

Job
Gang::VisibleJob() const
{
  const auto state = kVisibleStates.at(static_cast<std::size_t>(mPhase));
  return state ? mJob.WithState(*state) : mJob;
}

GangPlacement
Gang::HeldPlacement() const
{
  return mPhase == GangPhase::kRecordingPlacement ? mPendingRow->Placement()
                                                  : mJob.Placement();
}

WasRun
Gang::HasRun() const
{
  if (mHasRun) {
    return WasRun::kYes;
  }
  return mMayHaveRun ? WasRun::kUnknown : WasRun::kNo;
}

GangStep
Gang::OnRowWritten(const GangEvent& aEvent) const
{
  if (!HasPendingRow()) {
    return NoCommands();
  }
  Gang next = *this;
  next.mJob = *mPendingRow;
  next.mPendingRow.reset();
  const Outcome requeue{ JobState::kQueued, FailureReason::kNone, "" };
  switch (mPhase) {
    case GangPhase::kRecordingSubmission:
    case GangPhase::kRecordingOutcome:
      next.mPhase =
        IsFinal(next.mJob.State()) ? GangPhase::kFinal : GangPhase::kQueued;
      next.mMembers.clear();
      if (mCancel && next.mPhase == GangPhase::kQueued) {
        return next.BeginCancel();
      }
      return next.NoCommands();
    case GangPhase::kRecordingPlacement:
      next.mMembers.assign(next.mJob.Placement().Members().size(),
                           MemberProgress(MemberState::kUnknown, aEvent.Now()));
      // No command of this attempt was sent yet, so no member has to stop.
      if (mCancel || mPreempt) {
        return next.RecordOutcome(mCancel ? CancelOutcome() : requeue);
      }
      next.mPhase = GangPhase::kReserving;
      next.mNextRenew = aEvent.Now() + mTiming.mRenewInterval;
      return next.SendToAll(WorkerAction::kReserve);
    case GangPhase::kRecordingCommit:
      if (mCancel) {
        return next.BeginCancel();
      }
      if (mPendingFailure) {
        return next.Fail(*mPendingFailure, aEvent.Now());
      }
      if (mPreempt) {
        return next.Stop(requeue, aEvent.Now());
      }
      next.mPhase = GangPhase::kStarting;
      next.mMayHaveRun = true;
      next.mStarted = true;
      return next.SendToAll(WorkerAction::kStart);
    case GangPhase::kRecordingCancellation:
      return next.Stop(CancelOutcome(), aEvent.Now());
    default:
      return NoCommands();
  }
}

GangStep
Gang::OnRowWriteUnknown(const GangEvent& /*aEvent*/) const
{
  if (!HasPendingRow()) {
    return NoCommands();
  }
  return { *this, { GangCommand::ReadRow() } };
}

GangStep
Gang::OnRowWriteNotApplied(const GangEvent& /*aEvent*/) const
{
  if (!HasPendingRow()) {
    return NoCommands();
  }
  return { *this, { GangCommand::WriteRow() } };
}

GangStep
Gang::OnSuperseded(const GangEvent& /*aEvent*/) const
{
  return WithPhase(GangPhase::kSuperseded).NoCommands();
}

GangStep
Gang::OnPlace(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kQueued) {
    return NoCommands();
  }
  Gang next = *this;
  next.mFailedWorker.reset();
  next.mTaskFailed = false;
  next.mPendingFailure.reset();
  next.mPreempt = false;
  next.mStarted = false;
  return next.Write(mJob.WithPlacement(aEvent.Placement(), mEpoch),
                    GangPhase::kRecordingPlacement);
}

GangStep
Gang::OnRefuse(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kQueued) {
    return NoCommands();
  }
  return RecordOutcome(
    { JobState::kRefused, aEvent.Reason(), aEvent.Detail() });
}

GangStep
Gang::OnCancel(const GangEvent& /*aEvent*/) const
{
  switch (mPhase) {
    case GangPhase::kRecordingSubmission:
    case GangPhase::kRecordingPlacement:
    case GangPhase::kRecordingCommit:
    case GangPhase::kStopping:
    case GangPhase::kRecordingOutcome: {
      // Cancels only after the pending write or stop completes. A write is
      // never abandoned, because it may still take effect.
      Gang next = *this;
      next.mCancel = true;
      return next.NoCommands();
    }
    case GangPhase::kQueued:
    case GangPhase::kReserving:
    case GangPhase::kCommitting:
    case GangPhase::kStarting:
    case GangPhase::kRunning:
    case GangPhase::kAdopting:
    case GangPhase::kCheckpointing:
      return BeginCancel();
    default:
      return NoCommands();
  }
}

GangStep
Gang::OnPreempt(const GangEvent& aEvent) const
{
  switch (mPhase) {
    case GangPhase::kRecordingPlacement:
    case GangPhase::kRecordingCommit: {
      Gang next = *this;
      next.mPreempt = true;
      return next.NoCommands();
    }
    case GangPhase::kReserving:
    case GangPhase::kCommitting:
      return Stop({ JobState::kQueued, FailureReason::kNone, "reclaimed" },
                  aEvent.Now());
    case GangPhase::kStarting:
    case GangPhase::kRunning:
    case GangPhase::kAdopting:
      return BeginCheckpoint(aEvent.Now());
    default:
      return NoCommands();
  }
}

GangStep
Gang::OnReserved(const GangEvent& aEvent) const
{
  if (mPhase == GangPhase::kAdopting) {
    return Fail("a worker had not committed", aEvent.Now());
  }
  return WithMember(aEvent, MemberState::kReserved).Advance(aEvent.Now());
}

GangStep
Gang::OnCommitted(const GangEvent& aEvent) const
{
  return WithMember(aEvent, MemberState::kCommitted).Advance(aEvent.Now());
}

GangStep
Gang::OnStarted(const GangEvent& aEvent) const
{
  Gang next = WithMember(aEvent, MemberState::kRunning);
  next.mHasRun = true;
  return next.Advance(aEvent.Now());
}

GangStep
Gang::OnSucceeded(const GangEvent& aEvent) const
{
  Gang next = WithMember(aEvent, MemberState::kSucceeded);
  next.mHasRun = true;
  return next.Advance(aEvent.Now());
}

GangStep
Gang::OnFailed(const GangEvent& aEvent) const
{
  Gang next = WithMember(aEvent, MemberState::kFailed);
  next.mHasRun = true;
  const VmId& worker = mJob.Placement().Members().at(aEvent.Member()).Worker();
  next.RecordFailedWorker(worker, true);
  return next.Fail("the task failed on " + worker.Text(), aEvent.Now());
}

GangStep
Gang::OnMemberUnknown(const GangEvent& aEvent) const
{
  const VmId& worker = mJob.Placement().Members().at(aEvent.Member()).Worker();
  Gang next = *this;
  next.RecordFailedWorker(worker, false);
  return next.Fail(worker.Text() + " does not hold its member", aEvent.Now());
}

GangStep
Gang::OnUnreachable(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kReserving && mPhase != GangPhase::kCommitting) {
    return NoCommands();
  }
  const VmId& worker = mJob.Placement().Members().at(aEvent.Member()).Worker();
  Gang next = *this;
  next.RecordFailedWorker(worker, false);
  return next.Fail(worker.Text() + " does not answer", aEvent.Now());
}

GangStep
Gang::OnStopped(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kStopping) {
    return NoCommands();
  }
  const Gang next = WithMember(aEvent, MemberState::kStopped);
  return next.AllMembersIn({ MemberState::kStopped }) ? next.RecordAfterStop()
                                                      : next.NoCommands();
}

GangStep
Gang::OnCheckpointed(const GangEvent& aEvent) const
{
  Gang next = *this;
  MemberProgress& member = next.mMembers.at(aEvent.Member());
  member = member.WithCheckpoint();
  return next.Advance(aEvent.Now());
}

GangStep
Gang::OnDomainLeaseLost(const GangEvent& /*aEvent*/) const
{
  return WithPhase(RenewsLeases() ? GangPhase::kOrphaned
                                  : GangPhase::kSuperseded)
    .NoCommands();
}

GangStep
Gang::OnTick(const GangEvent& aEvent) const
{
  const milliseconds now = aEvent.Now();
  if (RenewsLeases()) {
    if (mPhase == GangPhase::kCheckpointing && now >= mDeadline) {
      return Fail("reclaimed without a checkpoint", now);
    }
    return now >= mNextRenew ? Renew(now) : NoCommands();
  }
  if (mPhase != GangPhase::kStopping) {
    return NoCommands();
  }
  if (now >= mDeadline) {
    return RecordAfterStop();
  }
  if (now < mNextRenew) {
    return NoCommands();
  }
  GangStep step{ *this, {} };
  step.mNext.mNextRenew = now + mTiming.mRenewInterval;
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    if (mMembers[i].State() != MemberState::kStopped) {
      step.mCommands.push_back(GangCommand::ToWorker(WorkerAction::kStop, i));
    }
  }
  return step;
}

GangStep
Gang::NoCommands() const
{
  return { *this, {} };
}

GangStep
Gang::Write(Job aRow, GangPhase aPhase) const
{
  Gang next = WithPhase(aPhase);
  next.mPendingRow = std::move(aRow);
  return { std::move(next), { GangCommand::WriteRow() } };
}

GangStep
Gang::SendToAll(WorkerAction aAction) const
{
  GangStep step{ *this, {} };
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    step.mCommands.push_back(GangCommand::ToWorker(aAction, i));
  }
  return step;
}

GangStep
Gang::Stop(Outcome aOutcome, milliseconds aNow) const
{
  Gang next = WithPhase(GangPhase::kStopping);
  next.mOutcome = std::move(aOutcome);
  // A renewal that is still in flight may extend a lease. Once the maximum
  // command delay and one lease have passed, all leases have expired.
  next.mDeadline = aNow + mTiming.mMaxCommandDelay + mTiming.mLease;
  next.mNextRenew = aNow + mTiming.mRenewInterval;
  return next.SendToAll(WorkerAction::kStop);
}

GangStep
Gang::RecordOutcome(const Outcome& aOutcome) const
{
  return Write(mJob.WithOutcome(
                 aOutcome.mState, aOutcome.mReason, HasRun(), aOutcome.mDetail),
               GangPhase::kRecordingOutcome);
}

GangStep
Gang::RecordAfterStop() const
{
  return RecordOutcome(mCancel ? CancelOutcome() : *mOutcome);
}

GangStep
Gang::BeginCancel() const
{
  if (mPhase == GangPhase::kQueued) {
    return RecordOutcome(CancelOutcome());
  }
  // The cancellation is recorded before the members are stopped, so a new
  // owner does not resume the job.
  Job row(mJob.Spec(),
          JobState::kStopping,
          mJob.Attempt(),
          mJob.Epoch(),
          mJob.Placement(),
          FailureReason::kCancelled,
          HasRun(),
          "cancelled");
  return Write(std::move(row), GangPhase::kRecordingCancellation);
}

GangStep
Gang::BeginCheckpoint(milliseconds aNow) const
{
  Gang next = WithPhase(GangPhase::kCheckpointing);
  next.mDeadline = aNow + mTiming.mCheckpointTimeout;
  return next.SendToAll(WorkerAction::kCheckpoint);
}

GangStep
Gang::Fail(std::string aDetail, milliseconds aNow) const
{
  switch (mPhase) {
    case GangPhase::kRecordingCommit:
      if (HasPendingRow()) {
        // Members are not stopped before the outcome of the write is known.
        Gang next = *this;
        next.mPendingFailure = std::move(aDetail);
        return next.NoCommands();
      }
      break;
    case GangPhase::kReserving:
    case GangPhase::kCommitting:
    case GangPhase::kStarting:
    case GangPhase::kRunning:
    case GangPhase::kAdopting:
    case GangPhase::kCheckpointing:
      break;
    default:
      return NoCommands();
  }
  if (mStarted && !mIdempotent) {
    return Stop(
      { JobState::kFailed, FailureReason::kEndpointFailed, std::move(aDetail) },
      aNow);
  }
  return Stop({ JobState::kQueued, FailureReason::kNone, std::move(aDetail) },
              aNow);
}

GangStep
Gang::Advance(milliseconds aNow) const
{
  using enum MemberState;
  switch (mPhase) {
    case GangPhase::kReserving:
      if (!AllMembersIn({ kReserved })) {
        return NoCommands();
      }
      return WithPhase(GangPhase::kCommitting).SendToAll(WorkerAction::kCommit);
    case GangPhase::kCommitting:
      if (!AllMembersIn({ kCommitted })) {
        return NoCommands();
      }
      return Write(Job(mJob.Spec(),
                       JobState::kCommitted,
                       mJob.Attempt(),
                       mJob.Epoch(),
                       mJob.Placement(),
                       mJob.Reason(),
                       mHasRun ? WasRun::kYes : WasRun::kUnknown,
                       mJob.Detail()),
                   GangPhase::kRecordingCommit);
    case GangPhase::kAdopting: {
      if (!AllMembersIn({ kCommitted, kRunning, kSucceeded })) {
        return NoCommands();
      }
      GangStep step = WithPhase(GangPhase::kStarting).Advance(aNow);
      for (std::size_t i = 0; i < mMembers.size(); ++i) {
        if (mMembers[i].State() == kCommitted) {
          step.mCommands.push_back(
            GangCommand::ToWorker(WorkerAction::kStart, i));
        }
      }
      return step;
    }
    case GangPhase::kStarting:
      if (!AllMembersIn({ kRunning, kSucceeded })) {
        return NoCommands();
      }
      return WithPhase(GangPhase::kRunning).Advance(aNow);
    case GangPhase::kRunning:
      if (!AllMembersIn({ kSucceeded })) {
        return NoCommands();
      }
      return RecordOutcome({ JobState::kSucceeded, FailureReason::kNone, "" });
    case GangPhase::kCheckpointing: {
      if (AllMembersIn({ kSucceeded })) {
        return RecordOutcome(
          { JobState::kSucceeded, FailureReason::kNone, "" });
      }
      const bool allCheckpointed =
        std::all_of(mMembers.begin(), mMembers.end(), [](const auto& aMember) {
          return aMember.Checkpointed() || aMember.State() == kSucceeded;
        });
      if (!allCheckpointed) {
        return NoCommands();
      }
      return Stop({ JobState::kQueued, FailureReason::kNone, "reclaimed" },
                  aNow);
    }
    default:
      return NoCommands();
  }
}

GangStep
Gang::Renew(milliseconds aNow) const
{
  GangStep step{ *this, {} };
  step.mNext.mNextRenew = aNow + mTiming.mRenewInterval;
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    const MemberProgress& member = mMembers[i];
    const bool renewed =
      NeedsRenewal(member.State()) || (mPhase == GangPhase::kAdopting &&
                                       member.State() == MemberState::kUnknown);
    if (!renewed) {
      continue;
    }
    // A member fails one renewal interval before its lease expires, since the
    // next tick may come after the expiry; the other members are thus stopped
    // within one lease. An owner that lost the domain lease does not fail
    // members and renews their leases for as long as the workers accept its
    // epoch.
    if (mPhase != GangPhase::kOrphaned &&
        aNow - member.LastConfirmed() >
          mTiming.mLease - mTiming.mRenewInterval) {
      const VmId& worker = mJob.Placement().Members().at(i).Worker();
      step.mNext.RecordFailedWorker(worker, false);
      GangStep failed =
        step.mNext.Fail(worker.Text() + " did not renew its lease", aNow);
      if (failed.mNext.mPhase == GangPhase::kStopping) {
        return failed;
      }
      step.mNext = failed.mNext;
    }
    step.mCommands.push_back(GangCommand::ToWorker(WorkerAction::kRenew, i));
    if (mPhase == GangPhase::kStarting &&
        member.State() == MemberState::kCommitted) {
      step.mCommands.push_back(GangCommand::ToWorker(WorkerAction::kStart, i));
    }
  }
  return step;
}

GangStep
Gang::AdoptMembers(milliseconds aNow) const
{
  // The replies report the members' states. The new epoch in the renewals makes
  // the workers reject further commands of the former owner.
  Gang next = WithPhase(GangPhase::kAdopting);
  next.mNextRenew = aNow + mTiming.mRenewInterval;
  return next.SendToAll(WorkerAction::kRenew);
}

Gang
Gang::WithPhase(GangPhase aPhase) const
{
  Gang next = *this;
  next.mPhase = aPhase;
  return next;
}

Gang
Gang::WithMember(const GangEvent& aEvent, MemberState aState) const
{
  Gang next = *this;
  MemberProgress& member = next.mMembers.at(aEvent.Member());
  // Replies may arrive out of order; an earlier reply must not reset the state.
  MemberProgress updated(std::max(member.State(), aState), aEvent.Now());
  member = member.Checkpointed() ? updated.WithCheckpoint() : updated;
  return next;
}

void
Gang::RecordFailedWorker(const VmId& aWorker, bool aTaskFailed)
{
  // Later failures may only be consequences of the first one.
  if (!mFailedWorker && RenewsLeases()) {
    mFailedWorker = aWorker;
    mTaskFailed = aTaskFailed;
  }
}

Gang::Outcome
Gang::CancelOutcome() const
{
  return { JobState::kCancelled, FailureReason::kCancelled, "cancelled" };
}

bool
Gang::AllMembersIn(std::initializer_list<MemberState> aStates) const
{
  return std::all_of(
    mMembers.begin(), mMembers.end(), [aStates](const auto& aMember) {
      return std::find(aStates.begin(), aStates.end(), aMember.State()) !=
             aStates.end();
    });
}

bool
Gang::RenewsLeases() const
{
  return kRenewsLeases.at(static_cast<std::size_t>(mPhase));
}

} // namespace cornelrudder::state
