#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

void
PlacementTask::OnTick()
{
  const milliseconds now = Now();
  if (mLease.Epoch() != 0 && !HoldsLease()) {
    Lapse();
  }
  Recover();
  std::vector<JobId> jobs;
  for (const auto& [id, entry] : mJobs) {
    jobs.push_back(id);
  }
  for (const JobId& id : jobs) {
    Handle(id, GangEvent::ForGang(GangEventKind::kTick, now));
    const auto it = mJobs.find(id);
    if (it != mJobs.end()) {
      TickEntry(id, it->second, now);
    }
  }
  if (now >= mQueueAt) {
    mQueueDue = true;
  }
}

void
PlacementTask::TickEntry(const JobId& aJob, Entry& aEntry, milliseconds aNow)
{
  ExpireWaiters(aEntry.mSubmitters, aNow);
  ExpireWaiters(aEntry.mCancellers, aNow);
  // The queue is looked at when the pause after a failure is over.
  if (aEntry.mNotBefore.count() != 0 && aNow >= aEntry.mNotBefore) {
    aEntry.mNotBefore = milliseconds(0);
    mQueueDue = true;
  }
  if (aEntry.mRowStep == RowStep::kNone || aNow < aEntry.mRowDue) {
    return;
  }
  if (aEntry.mRowStep == RowStep::kWrite) {
    WriteRow(aJob, aEntry);
  } else {
    ReadRowOf(aJob, aEntry);
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
    Refuse(it->mPromise,
           FailureReason::kStoreUnavailable,
           WasRun::kUnknown,
           "the store has not confirmed the write yet");
    it = aWaiters.erase(it);
  }
}

void
PlacementTask::Settle()
{
  if (mLapsed) {
    Lapse();
  }
  for (const auto& [id, detail] : std::exchange(mRefusals, {})) {
    Handle(id, GangEvent::Refuse(FailureReason::kJobFails, detail, Now()));
  }
  for (const JobId& id : std::exchange(mFinished, {})) {
    End(id);
  }
  if (mQueueDue && mRecovered && HoldsLease() && Now() >= mQueueNotBefore) {
    RunQueue();
  }
  if (mLapsed) {
    Lapse();
  }
}

void
PlacementTask::End(const JobId& aJob)
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
  mEnded.insert_or_assign(aJob, job);
  mReclaims.erase(aJob);
  mJobs.erase(it);
}

} // namespace cornelrudder::coordination
