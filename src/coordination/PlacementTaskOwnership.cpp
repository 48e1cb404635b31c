#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

/** Longest wait of a new owner for the settings of the jobs' classes. */
constexpr milliseconds kSettingsBound{ 5'000 };

} // namespace

void
PlacementTask::ApplyOwner(const DomainOwner& aOwner)
{
  if (aOwner.mDomain != mOptions.mRegion) {
    return;
  }
  const bool other =
    !aOwner.mOwner.empty() && aOwner.mOwner.front() != mOptions.mSelf;
  if (!aOwner.mLease.HeldAt(Now())) {
    Lapse();
    if (other) {
      mJobs.clear();
    }
    return;
  }
  const bool sameEpoch = aOwner.mLease.Epoch() == mLease.Epoch();
  mLease = aOwner.mLease;
  if (!sameEpoch) {
    mRecoverBy = Now() + kSettingsBound;
    mRecovered = false;
    mRecovering = false;
  }
  Recover();
}

void
PlacementTask::Lapse()
{
  mLapsed = false;
  if (mLease.Epoch() == 0) {
    return;
  }
  mPorts.mLog.Write({ LogEvent::kPlacementLapsed,
                      { { "epoch", std::to_string(mLease.Epoch()) },
                        { "jobs", std::to_string(mJobs.size()) } } });
  mLease = state::Lease(mOptions.mRegion, 0, milliseconds(0));
  mRecovered = false;
  mRecovering = false;
  mFinished.clear();
  mRefusals.clear();
  mReclaims.clear();
  for (auto it = mJobs.begin(); it != mJobs.end();) {
    Entry& entry = it->second;
    AnswerLapsed(entry.mSubmitters);
    AnswerLapsed(entry.mCancellers);
    entry.mPending.reset();
    entry.mRowStep = RowStep::kNone;
    entry.mGang =
      entry.mGang
        .Handle(GangEvent::ForGang(GangEventKind::kDomainLeaseLost, Now()))
        .mNext;
    const bool renews = entry.mGang.Phase() == GangPhase::kOrphaned;
    it = renews ? std::next(it) : mJobs.erase(it);
  }
}

void
PlacementTask::AnswerLapsed(std::vector<Waiter>& aWaiters)
{
  for (Waiter& waiter : aWaiters) {
    Refuse(waiter.mPromise,
           FailureReason::kNoOwner,
           WasRun::kUnknown,
           "ownership lapsed while the job was being recorded");
  }
  aWaiters.clear();
}

void
PlacementTask::Recover()
{
  // Classes say whether a job may be repeated, so they must be known first.
  const bool due =
    !mRecovered && !mRecovering && HoldsLease() && !mSettings.All().empty();
  if (!due) {
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
  // Settings arrive one document at a time.
  if (!KnowsClassesOf(aRows) && Now() < mRecoverBy) {
    return;
  }
  mJobs.clear();
  mEnded.clear();
  mKeys.clear();
  mRecovered = true;
  mQueueDue = true;
  for (const state::StoreRow& row : aRows.Rows()) {
    Adopt(row);
  }
  for (const JobId& id : std::exchange(mFinished, {})) {
    mEnded.insert_or_assign(id, mJobs.at(id).mGang.RecordedJob());
    mJobs.erase(id);
  }
  mPorts.mLog.Write({ LogEvent::kJobsRecovered,
                      { { "epoch", std::to_string(mLease.Epoch()) },
                        { "active", std::to_string(mJobs.size()) },
                        { "ended", std::to_string(mEnded.size()) } } });
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
  RememberKey(spec);
  const auto jobClass = FindJobClass(mSettings, spec.Class());
  GangStep step = Gang::Adopt(*std::move(job),
                              mLease.Epoch(),
                              jobClass && jobClass->Idempotent(),
                              TimingOf(spec),
                              Now());
  const auto [it, isNew] = mJobs.try_emplace(spec.Name(), Entry(step.mNext));
  Entry& entry = it->second;
  entry.mGang = step.mNext;
  entry.mVersion = aRow.Version();
  entry.mPending.reset();
  entry.mRowStep = RowStep::kNone;
  entry.mPlacedAt = Now();
  mQueueDue = true;
  Apply(spec.Name(), std::move(step));
  if (entry.mGang.Phase() == GangPhase::kFinal) {
    mFinished.push_back(spec.Name());
  }
  // Callers that waited for a write of the former row.
  if (!entry.mSubmitters.empty()) {
    Accept(spec.Name(), entry);
  }
  AnswerCancellers(entry);
  if (!entry.mCancellers.empty()) {
    Handle(spec.Name(), GangEvent::ForGang(GangEventKind::kCancel, Now()));
  }
}

void
PlacementTask::RememberKey(const JobSpec& aSpec)
{
  if (!aSpec.IdempotencyKey().empty()) {
    mKeys.insert_or_assign(
      { aSpec.Organisation(), aSpec.Team(), aSpec.IdempotencyKey() },
      aSpec.Name());
  }
}

void
PlacementTask::Forget(const JobId& aJob)
{
  const auto it = mJobs.find(aJob);
  if (it == mJobs.end()) {
    return;
  }
  const JobSpec& spec = it->second.mGang.RecordedJob().Spec();
  mKeys.erase({ spec.Organisation(), spec.Team(), spec.IdempotencyKey() });
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
