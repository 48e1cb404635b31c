#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

/**
 * Limit on a new owner's wait for the classes of all recovered jobs. After it,
 * a job whose class is still unknown is treated as not idempotent.
 */
constexpr milliseconds kSettingsTimeout{ 5'000 };

} // namespace

void
PlacementTask::ApplyOwner(const DomainOwner& aOwner)
{
  if (aOwner.mDomain != mOptions.mRegion) {
    return;
  }
  const bool ownedByOther =
    !aOwner.mOwner.empty() && aOwner.mOwner.front() != mOptions.mSelf;
  if (!aOwner.mLease.HeldAt(Now())) {
    OnLeaseLost();
    if (ownedByOther) {
      mJobs.clear();
    }
    return;
  }
  const bool sameEpoch = aOwner.mLease.Epoch() == mLease.Epoch();
  mLease = aOwner.mLease;
  if (!sameEpoch) {
    mRecoveryDeadline = Now() + kSettingsTimeout;
    mRecovered = false;
    mRecovering = false;
  }
  Recover();
}

void
PlacementTask::OnLeaseLost()
{
  mLeaseLossPending = false;
  if (mLease.Epoch() == 0) {
    return;
  }
  mPorts.mLog.Write({ LogEvent::kPlacementLapsed,
                      { { "epoch", std::to_string(mLease.Epoch()) },
                        { "jobs", std::to_string(mJobs.size()) } } });
  mLease = state::Lease(mOptions.mRegion, 0, milliseconds(0));
  mRecovered = false;
  mRecovering = false;
  mNewlyFinalJobs.clear();
  mJobsToReject.clear();
  mReclaims.clear();
  for (auto it = mJobs.begin(); it != mJobs.end();) {
    Entry& entry = it->second;
    FailWaiters(entry.mSubmitWaiters);
    FailWaiters(entry.mCancelWaiters);
    entry.mPendingWrite.reset();
    entry.mRowStep = RowStep::kNone;
    entry.mGang =
      entry.mGang
        .Handle(GangEvent::ForGang(GangEventKind::kDomainLeaseLost, Now()))
        .mNext;
    const bool keepsRenewing = entry.mGang.Phase() == GangPhase::kOrphaned;
    it = keepsRenewing ? std::next(it) : mJobs.erase(it);
  }
}

void
PlacementTask::FailWaiters(std::vector<Waiter>& aWaiters)
{
  for (Waiter& waiter : aWaiters) {
    ReplyWithFailure(waiter.mPromise,
                     FailureReason::kNoOwner,
                     WasRun::kUnknown,
                     "ownership lapsed while the job was being recorded");
  }
  aWaiters.clear();
}

void
PlacementTask::Recover()
{
  // The settings are needed first: the job classes in them define which jobs
  // are idempotent.
  const bool shouldRecover =
    !mRecovered && !mRecovering && HoldsLease() && !mSettings.All().empty();
  if (!shouldRecover) {
    return;
  }
  mRecovering = true;
  AskStore(ListRows{ KeyPrefix() },
           [this, epoch = mLease.Epoch()](const StoreResult& aResult) {
             if (epoch != mLease.Epoch() || !mRecovering) {
               return;
             }
             mRecovering = false;
             if (aResult.Status() == StoreStatus::kOk && HoldsLease()) {
               FinishRecovery(aResult);
             }
           });
}

std::string
PlacementTask::KeyPrefix() const
{
  return "job/" + mOptions.mRegion.Text() + "/";
}

void
PlacementTask::FinishRecovery(const StoreResult& aRows)
{
  // Settings arrive one document at a time, so some classes may be missing.
  if (!KnowsClassesOf(aRows) && Now() < mRecoveryDeadline) {
    return;
  }
  mJobs.clear();
  mFinalJobs.clear();
  mJobsByKey.clear();
  mRecovered = true;
  mQueueRunDue = true;
  for (const state::StoreRow& row : aRows.Rows()) {
    Adopt(row);
  }
  for (const JobId& id : std::exchange(mNewlyFinalJobs, {})) {
    mFinalJobs.insert_or_assign(id, mJobs.at(id).mGang.RecordedJob());
    mJobs.erase(id);
  }
  mPorts.mLog.Write({ LogEvent::kJobsRecovered,
                      { { "epoch", std::to_string(mLease.Epoch()) },
                        { "active", std::to_string(mJobs.size()) },
                        { "ended", std::to_string(mFinalJobs.size()) } } });
}

bool
PlacementTask::KnowsClassesOf(const StoreResult& aRows) const
{
  return std::all_of(
    aRows.Rows().begin(), aRows.Rows().end(), [this](const auto& aRow) {
      const auto job = Decode(aRow);
      return !job || IsFinal(job->State()) ||
             FindJobClass(mSettings, job->Spec().Class());
    });
}

std::optional<Job>
PlacementTask::Decode(const state::StoreRow& aRow) const
{
  try {
    return mPorts.mCodec.DecodeJob(aRow.Value());
  } catch (const CoordinationError& error) {
    mPorts.mLog.Write(
      { LogEvent::kBadJobRow,
        { { "key", aRow.Key() }, { "error", std::string(error.what()) } } });
    return std::nullopt;
  }
}

void
PlacementTask::Adopt(const state::StoreRow& aRow)
{
  std::optional<Job> job = Decode(aRow);
  if (!job) {
    return;
  }
  const JobSpec spec = job->Spec();
  IndexIdempotencyKey(spec);
  const auto jobClass = FindJobClass(mSettings, spec.Class());
  GangStep step = Gang::Adopt(*std::move(job),
                              mLease.Epoch(),
                              jobClass && jobClass->Idempotent(),
                              TimingOf(spec),
                              Now());
  const auto [it, isNew] = mJobs.try_emplace(spec.Name(), Entry(step.mNext));
  Entry& entry = it->second;
  entry.mGang = step.mNext;
  entry.mRowVersion = aRow.Version();
  entry.mPendingWrite.reset();
  entry.mRowStep = RowStep::kNone;
  entry.mPlacedAt = Now();
  mQueueRunDue = true;
  ApplyGangStep(spec.Name(), std::move(step));
  if (entry.mGang.Phase() == GangPhase::kFinal) {
    mNewlyFinalJobs.push_back(spec.Name());
  }
  // Replies to callers that still wait for a write of the superseded row.
  if (!entry.mSubmitWaiters.empty()) {
    OnSubmissionRecorded(spec.Name(), entry);
  }
  ReplyToCancelWaiters(entry);
  if (!entry.mCancelWaiters.empty()) {
    HandleGangEvent(spec.Name(),
                    GangEvent::ForGang(GangEventKind::kCancel, Now()));
  }
}

void
PlacementTask::IndexIdempotencyKey(const JobSpec& aSpec)
{
  if (!aSpec.IdempotencyKey().empty()) {
    mJobsByKey.insert_or_assign(
      { aSpec.Organisation(), aSpec.Team(), aSpec.IdempotencyKey() },
      aSpec.Name());
  }
}

void
PlacementTask::RemoveJob(const JobId& aJob)
{
  const auto it = mJobs.find(aJob);
  if (it == mJobs.end()) {
    return;
  }
  const JobSpec& spec = it->second.mGang.RecordedJob().Spec();
  mJobsByKey.erase({ spec.Organisation(), spec.Team(), spec.IdempotencyKey() });
  mJobs.erase(it);
}

state::GangTiming
PlacementTask::TimingOf(const JobSpec& aSpec) const
{
  state::GangTiming timing = mOptions.mTiming;
  if (const auto jobClass = FindJobClass(mSettings, aSpec.Class())) {
    timing.mCheckpointTimeout = jobClass->ReclaimTimeout();
  }
  return timing;
}

} // namespace cornelrudder::coordination
