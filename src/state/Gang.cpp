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

/** Whether the members' leases are renewed; indexed by GangPhase. */
constexpr std::array<bool, kPhases> kRenews{ false, false, false, true,
                                             true,  true,  true,  true,
                                             true,  true,  true,  false,
                                             false, false, true,  false };

/** Whether a lease is worth renewing for a member in this state. */
bool
HoldsLease(MemberState aState)
{
  return aState == MemberState::kReserved ||
         aState == MemberState::kCommitted || aState == MemberState::kRunning;
}

/** What callers see instead of the recorded state; indexed by GangPhase. */
constexpr std::array<std::optional<JobState>, kPhases> kVisible{
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

const Gang::Row Gang::kHandlers[] = {
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
      return gang.Nothing();
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
  return gang.InPhase(GangPhase::kFinal).Nothing();
}

GangStep
Gang::Handle(const GangEvent& aEvent) const
{
  const GangEventKind kind = aEvent.Kind();
  const bool over =
    mPhase == GangPhase::kFinal || mPhase == GangPhase::kSuperseded;
  const bool ignored =
    mPhase == GangPhase::kOrphaned && kind != GangEventKind::kTick &&
    kind != GangEventKind::kFenced && kind != GangEventKind::kRowConflict;
  if (over || ignored) {
    return Nothing();
  }
  const bool ofOldAttempt =
    aEvent.IsForMember() &&
    (aEvent.Attempt() != mJob.Attempt() || aEvent.Member() >= mMembers.size());
  if (ofOldAttempt) {
    return Nothing();
  }
  for (const Row& row : kHandlers) {
    if (row.mKind == kind) {
      return (this->*row.mHandler)(aEvent);
    }
  }
  return Nothing();
}

Job
Gang::VisibleJob() const
{
  const auto state = kVisible.at(static_cast<std::size_t>(mPhase));
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
    return Nothing();
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
      return next.Nothing();
    case GangPhase::kRecordingPlacement:
      next.mMembers.assign(next.mJob.Placement().Members().size(),
                           MemberProgress(MemberState::kUnknown, aEvent.Now()));
      // No worker knows of the attempt yet, so there is nothing to stop.
      if (mCancel || mPreempt) {
        return next.Record(mCancel ? CancelOutcome() : requeue);
      }
      next.mPhase = GangPhase::kReserving;
      next.mNextRenew = aEvent.Now() + mTiming.mRenewInterval;
      return next.ToAll(WorkerAction::kReserve);
    case GangPhase::kRecordingCommit:
      if (mCancel) {
        return next.BeginCancel();
      }
      if (mFault) {
        return next.Fail(*mFault, aEvent.Now());
      }
      if (mPreempt) {
        return next.Stop(requeue, aEvent.Now());
      }
      next.mPhase = GangPhase::kStarting;
      next.mMayHaveRun = true;
      next.mStarted = true;
      return next.ToAll(WorkerAction::kStart);
    case GangPhase::kRecordingCancellation:
      return next.Stop(CancelOutcome(), aEvent.Now());
    default:
      return Nothing();
  }
}

GangStep
Gang::OnRowWriteUnknown(const GangEvent& /*aEvent*/) const
{
  if (!HasPendingRow()) {
    return Nothing();
  }
  return { *this, { GangCommand::ReadRow() } };
}

GangStep
Gang::OnRowWriteNotApplied(const GangEvent& /*aEvent*/) const
{
  if (!HasPendingRow()) {
    return Nothing();
  }
  return { *this, { GangCommand::WriteRow() } };
}

GangStep
Gang::OnSuperseded(const GangEvent& /*aEvent*/) const
{
  return InPhase(GangPhase::kSuperseded).Nothing();
}

GangStep
Gang::OnPlace(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kQueued) {
    return Nothing();
  }
  Gang next = *this;
  next.mFailedWorker.reset();
  next.mTaskFailed = false;
  next.mFault.reset();
  next.mPreempt = false;
  next.mStarted = false;
  return next.Write(mJob.WithPlacement(aEvent.Placement(), mEpoch),
                    GangPhase::kRecordingPlacement);
}

GangStep
Gang::OnRefuse(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kQueued) {
    return Nothing();
  }
  return Record({ JobState::kRefused, aEvent.Reason(), aEvent.Detail() });
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
      // Acted upon once the row is written; a write is never abandoned,
      // because it may still take effect.
      Gang next = *this;
      next.mCancel = true;
      return next.Nothing();
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
      return Nothing();
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
      return next.Nothing();
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
      return Nothing();
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
  next.Blame(worker, true);
  return next.Fail("the task failed on " + worker.Text(), aEvent.Now());
}

GangStep
Gang::OnMemberUnknown(const GangEvent& aEvent) const
{
  const VmId& worker = mJob.Placement().Members().at(aEvent.Member()).Worker();
  Gang next = *this;
  next.Blame(worker, false);
  return next.Fail(worker.Text() + " does not hold its member", aEvent.Now());
}

GangStep
Gang::OnUnreachable(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kReserving && mPhase != GangPhase::kCommitting) {
    return Nothing();
  }
  const VmId& worker = mJob.Placement().Members().at(aEvent.Member()).Worker();
  Gang next = *this;
  next.Blame(worker, false);
  return next.Fail(worker.Text() + " does not answer", aEvent.Now());
}

GangStep
Gang::OnStopped(const GangEvent& aEvent) const
{
  if (mPhase != GangPhase::kStopping) {
    return Nothing();
  }
  const Gang next = WithMember(aEvent, MemberState::kStopped);
  return next.AllIn({ MemberState::kStopped }) ? next.RecordAfterStop()
                                               : next.Nothing();
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
  return InPhase(RenewsLeases() ? GangPhase::kOrphaned : GangPhase::kSuperseded)
    .Nothing();
}

GangStep
Gang::OnTick(const GangEvent& aEvent) const
{
  const milliseconds now = aEvent.Now();
  if (RenewsLeases()) {
    if (mPhase == GangPhase::kCheckpointing && now >= mDeadline) {
      return Fail("reclaimed without a checkpoint", now);
    }
    return now >= mNextRenew ? Renew(now) : Nothing();
  }
  if (mPhase != GangPhase::kStopping) {
    return Nothing();
  }
  if (now >= mDeadline) {
    return RecordAfterStop();
  }
  if (now < mNextRenew) {
    return Nothing();
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
Gang::Nothing() const
{
  return { *this, {} };
}

GangStep
Gang::Write(Job aRow, GangPhase aPhase) const
{
  Gang next = InPhase(aPhase);
  next.mPendingRow = std::move(aRow);
  return { std::move(next), { GangCommand::WriteRow() } };
}

GangStep
Gang::ToAll(WorkerAction aAction) const
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
  Gang next = InPhase(GangPhase::kStopping);
  next.mOutcome = std::move(aOutcome);
  // The last renewal may be under way; after that its lease must run out.
  next.mDeadline = aNow + mTiming.mMaxCommandDelay + mTiming.mLease;
  next.mNextRenew = aNow + mTiming.mRenewInterval;
  return next.ToAll(WorkerAction::kStop);
}

GangStep
Gang::Record(const Outcome& aOutcome) const
{
  return Write(mJob.WithOutcome(
                 aOutcome.mState, aOutcome.mReason, HasRun(), aOutcome.mDetail),
               GangPhase::kRecordingOutcome);
}

GangStep
Gang::RecordAfterStop() const
{
  return Record(mCancel ? CancelOutcome() : *mOutcome);
}

GangStep
Gang::BeginCancel() const
{
  if (mPhase == GangPhase::kQueued) {
    return Record(CancelOutcome());
  }
  // Recorded first, so that a new owner does not carry on with the job.
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
  Gang next = InPhase(GangPhase::kCheckpointing);
  next.mDeadline = aNow + mTiming.mCheckpointTimeout;
  return next.ToAll(WorkerAction::kCheckpoint);
}

GangStep
Gang::Fail(std::string aDetail, milliseconds aNow) const
{
  switch (mPhase) {
    case GangPhase::kRecordingCommit:
      if (HasPendingRow()) {
        // Nothing is released before the outcome of the write is known.
        Gang next = *this;
        next.mFault = std::move(aDetail);
        return next.Nothing();
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
      return Nothing();
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
      if (!AllIn({ kReserved })) {
        return Nothing();
      }
      return InPhase(GangPhase::kCommitting).ToAll(WorkerAction::kCommit);
    case GangPhase::kCommitting:
      if (!AllIn({ kCommitted })) {
        return Nothing();
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
      if (!AllIn({ kCommitted, kRunning, kSucceeded })) {
        return Nothing();
      }
      GangStep step = InPhase(GangPhase::kStarting).Advance(aNow);
      for (std::size_t i = 0; i < mMembers.size(); ++i) {
        if (mMembers[i].State() == kCommitted) {
          step.mCommands.push_back(
            GangCommand::ToWorker(WorkerAction::kStart, i));
        }
      }
      return step;
    }
    case GangPhase::kStarting:
      if (!AllIn({ kRunning, kSucceeded })) {
        return Nothing();
      }
      return InPhase(GangPhase::kRunning).Advance(aNow);
    case GangPhase::kRunning:
      if (!AllIn({ kSucceeded })) {
        return Nothing();
      }
      return Record({ JobState::kSucceeded, FailureReason::kNone, "" });
    case GangPhase::kCheckpointing: {
      if (AllIn({ kSucceeded })) {
        return Record({ JobState::kSucceeded, FailureReason::kNone, "" });
      }
      const bool all =
        std::all_of(mMembers.begin(), mMembers.end(), [](const auto& aMember) {
          return aMember.Checkpointed() || aMember.State() == kSucceeded;
        });
      if (!all) {
        return Nothing();
      }
      return Stop({ JobState::kQueued, FailureReason::kNone, "reclaimed" },
                  aNow);
    }
    default:
      return Nothing();
  }
}

GangStep
Gang::Renew(milliseconds aNow) const
{
  GangStep step{ *this, {} };
  step.mNext.mNextRenew = aNow + mTiming.mRenewInterval;
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    const MemberProgress& member = mMembers[i];
    const bool asked =
      HoldsLease(member.State()) || (mPhase == GangPhase::kAdopting &&
                                     member.State() == MemberState::kUnknown);
    if (!asked) {
      continue;
    }
    // An owner that has lost the domain renews for as long as workers accept.
    // One interval before its end, since the next look may be after it: the
    // other members are stopped within one lease.
    if (mPhase != GangPhase::kOrphaned &&
        aNow - member.LastConfirmed() >
          mTiming.mLease - mTiming.mRenewInterval) {
      const VmId& worker = mJob.Placement().Members().at(i).Worker();
      step.mNext.Blame(worker, false);
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
  Gang next = InPhase(GangPhase::kAdopting);
  next.mNextRenew = aNow + mTiming.mRenewInterval;
  return next.ToAll(WorkerAction::kRenew);
}

Gang
Gang::InPhase(GangPhase aPhase) const
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
  // An answer that was overtaken by a later one must not set a member back.
  MemberProgress updated(std::max(member.State(), aState), aEvent.Now());
  member = member.Checkpointed() ? updated.WithCheckpoint() : updated;
  return next;
}

void
Gang::Blame(const VmId& aWorker, bool aTaskFailed)
{
  // What fails after the first failure may only be its consequence.
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
Gang::AllIn(std::initializer_list<MemberState> aStates) const
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
  return kRenews.at(static_cast<std::size_t>(mPhase));
}

} // namespace cornelrudder::state
