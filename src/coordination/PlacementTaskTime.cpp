#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

void
PlacementTask::OnTick()
{
  const milliseconds now = Now();
  if (mLease.Epoch() != 0 && !HoldsLease()) {
    OnLeaseLost();
  }
  Recover();
  std::vector<JobId> jobs;
  for (const auto& [id, entry] : mJobs) {
    jobs.push_back(id);
  }
  for (const JobId& id : jobs) {
    HandleGangEvent(id, GangEvent::ForGang(GangEventKind::kTick, now));
    const auto it = mJobs.find(id);
    if (it != mJobs.end()) {
      TickEntry(id, it->second, now);
    }
  }
  if (now >= mNextQueueRunAt) {
    mQueueRunDue = true;
  }
}

void
PlacementTask::TickEntry(const JobId& aJob, Entry& aEntry, milliseconds aNow)
{
  ExpireWaiters(aEntry.mSubmitWaiters, aNow);
  ExpireWaiters(aEntry.mCancelWaiters, aNow);
  // Runs the queue as soon as the job's backoff has elapsed.
  if (aEntry.mRetryNotBefore.count() != 0 && aNow >= aEntry.mRetryNotBefore) {
    aEntry.mRetryNotBefore = milliseconds(0);
    mQueueRunDue = true;
  }
  if (aEntry.mRowStep == RowStep::kNone || aNow < aEntry.mRowStepAt) {
    return;
  }
  if (aEntry.mRowStep == RowStep::kWrite) {
    WriteRow(aJob, aEntry);
  } else {
    StartRowRead(aJob, aEntry);
  }
}

void
PlacementTask::ExpireWaiters(std::vector<Waiter>& aWaiters, milliseconds aNow)
{
  for (auto it = aWaiters.begin(); it != aWaiters.end();) {
    if (aNow < it->mDeadline) {
      ++it;
      continue;
    }
    ReplyWithFailure(it->mPromise,
                     FailureReason::kStoreUnavailable,
                     WasRun::kUnknown,
                     "the store has not confirmed the write yet");
    it = aWaiters.erase(it);
  }
}

void
PlacementTask::RunDeferredWork()
{
  if (mLeaseLossPending) {
    OnLeaseLost();
  }
  for (const auto& [id, detail] : std::exchange(mJobsToReject, {})) {
    HandleGangEvent(id,
                    GangEvent::Refuse(FailureReason::kJobFails, detail, Now()));
  }
  for (const JobId& id : std::exchange(mNewlyFinalJobs, {})) {
    FinishJob(id);
  }
  if (mQueueRunDue && mRecovered && HoldsLease() &&
      Now() >= mQueueRunNotBefore) {
    RunQueue();
  }
  if (mLeaseLossPending) {
    OnLeaseLost();
  }
}

void
PlacementTask::FinishJob(const JobId& aJob)
{
  const auto it = mJobs.find(aJob);
  if (it == mJobs.end()) {
    return;
  }
  const Job& job = it->second.mGang.RecordedJob();
  mPorts.mLog.Write(
    { LogEvent::kJobEnded,
      { { "job", aJob.Text() },
        { "state", std::string(JobStateName(job.State())) },
        { "reason", std::string(FailureReasonName(job.Reason())) },
        { "ran", std::string(WasRunName(job.HasRun())) },
        { "attempt", std::to_string(job.Attempt()) } } });
  ++mCounters["jobs_" + std::string(JobStateName(job.State())) + "_total"];
  mFinalJobs.insert_or_assign(aJob, job);
  mReclaims.erase(aJob);
  mJobs.erase(it);
}

} // namespace cornelrudder::coordination
