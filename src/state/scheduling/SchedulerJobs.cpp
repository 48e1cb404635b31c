#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

Scheduler::Impl::Impl(SchedulerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPolicy(MakePlacementPolicy(mOptions.mPolicy))
{
}

void
Scheduler::Impl::ApplyCatalog(const Catalog& aCatalog)
{
  mGuarantees.clear();
  for (const CatalogOrganisation& it : aCatalog.Organisations()) {
    mGuarantees[it.mName] = it.mGuaranteedAccelerators;
  }
}

JobState*
Scheduler::Impl::FindJob(const std::string& aJob)
{
  const auto it = mJobs.find(aJob);
  return it != mJobs.end() ? &it->second : nullptr;
}

void
Scheduler::Impl::AddJob(const TaskJob& aJob,
                        Millis aAge,
                        const JobProgress* aProgress,
                        Millis aNow)
{
  if (mJobs.contains(aJob.Id()) || mTerminatedJobs.contains(aJob.Id())) {
    return;
  }
  JobState job(aJob, aNow - std::max(aAge, Millis(0)));
  job.mTasks.resize(aJob.TasksPerOccurrence() * aJob.Occurrences());
  mPlannedAt = std::max(mPlannedAt, aNow);
  JobState& added = mJobs.emplace(aJob.Id(), std::move(job)).first->second;
  if (aProgress != nullptr) {
    Restore(added, *aProgress, aNow);
    RemoveIfTerminated(aJob.Id());
  }
}

void
Scheduler::Impl::Restore(JobState& aJob,
                         const JobProgress& aProgress,
                         Millis aNow)
{
  aJob.mPhase = aProgress.Phase();
  aJob.mStarted = aProgress.HasStarted();
  const std::size_t n = std::min(aJob.mTasks.size(), aProgress.Tasks().size());
  for (std::size_t i = 0; i < n; ++i) {
    const TaskRecord& record = aProgress.Tasks()[i];
    Task& task = aJob.mTasks[i];
    task.mRun = record.mRun;
    task.mFailures = record.mFailures;
    task.mCheckpoint = record.mCheckpoint;
    task.mCrashes = record.mCrashes;
    if (task.mCrashes != CrashCount()) {
      aJob.mCrashedRuns.emplace(i, 0);
    }
    if (!record.mWorker.empty()) {
      Assign(aJob, i, FindOrAddWorker(record.mWorker, aNow), record.mRun);
      task.mIncarnation = record.mIncarnation;
      task.mPhase = TaskPhase::kStarting;
      task.mRecovered = true;
      task.mCompletedEarlier = record.mState == RecordedState::kDone;
      task.mStopRequested = IsFinal(aJob.mPhase) || task.mCompletedEarlier;
    } else if (record.mState == RecordedState::kDone) {
      task.mPhase = TaskPhase::kDone;
    }
  }
}

void
Scheduler::Impl::CancelJob(const std::string& aJob, Millis aNow)
{
  JobState* job = FindJob(aJob);
  if (job != nullptr && !IsFinal(job->mPhase)) {
    TerminateJob(*job, JobPhase::kCancelled, aNow);
    RemoveIfTerminated(aJob);
  }
}

void
Scheduler::Impl::MarkChanged(const JobState& aJob)
{
  if (!mRound.contains(aJob.mJob.Id())) {
    mDirty.insert(aJob.mJob.Id());
  }
}

void
Scheduler::Impl::UpdatePhase(JobState& aJob, Millis aNow)
{
  if (IsFinal(aJob.mPhase)) {
    return;
  }
  const bool done =
    std::all_of(aJob.mTasks.begin(), aJob.mTasks.end(), [](const Task& aTask) {
      return aTask.IsDone();
    });
  if (done) {
    TerminateJob(aJob, JobPhase::kDone, aNow);
  } else if (aJob.mStarted) {
    aJob.mPhase = JobPhase::kRunning;
  }
}

void
Scheduler::Impl::TerminateJob(JobState& aJob, JobPhase aPhase, Millis aNow)
{
  aJob.mPhase = aPhase;
  MarkChanged(aJob);
  RecordEvent(
    SchedulerEvent::Kind::kJobEnded,
    { { "job", aJob.mJob.Id() },
      { "queue", aJob.mJob.Settings().mQueue },
      { "state", JobPhaseName(aPhase) },
      { "age_ms", std::to_string((aNow - aJob.mSubmittedAt).count()) } });
  StopAll(aJob, aNow);
}

void
Scheduler::Impl::RemoveIfTerminated(const std::string& aJob)
{
  const JobState* job = FindJob(aJob);
  const bool isTerminated = job != nullptr && IsFinal(job->mPhase) &&
                            !job->IsAnyAssigned() && !mDirty.contains(aJob) &&
                            !mRound.contains(aJob) && !mWriting.contains(aJob);
  if (isTerminated) {
    for (std::size_t i = 0; i < job->mTasks.size(); ++i) {
      mWaits.erase({ aJob, i });
      mNominations.erase({ aJob, i });
    }
    mJobs.erase(aJob);
    mTerminatedJobs.insert(aJob);
    mTerminatedJobsByTime.emplace_back(mPlannedAt, aJob);
  }
}

bool
Scheduler::Impl::HasUnwrittenTerminations() const
{
  return std::any_of(mWorkers.begin(), mWorkers.end(), [](const auto& aIt) {
    return aIt.second.mReceivedUpTo > aIt.second.mWritingUpTo;
  });
}

/**
 * Begins the next round of writes after the last job of the present one was
 * added to a write. Terminations count as written once the round has ended that
 * contains all jobs that they changed.
 */
void
Scheduler::Impl::BeginRoundIfDue()
{
  if (!mRound.empty()) {
    return;
  }
  mRound.swap(mDirty);
  for (auto& [id, worker] : mWorkers) {
    worker.mWritingUpTo = worker.mRoundUpTo;
    worker.mRoundUpTo = worker.mReceivedUpTo;
    if (mRound.empty()) {
      worker.mWritingUpTo = worker.mRoundUpTo;
    }
  }
}

std::vector<JobProgress>
Scheduler::Impl::BeginWrite(std::size_t aMaxJobs)
{
  ++mWrites;
  std::vector<JobProgress> records;
  BeginRoundIfDue();
  while (!mRound.empty() && records.size() < aMaxJobs) {
    const std::string id = *mRound.begin();
    mRound.erase(mRound.begin());
    JobState* job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    mWriting.insert(id);
    records.push_back(job->ToProgress());
    for (Task& task : job->mTasks) {
      if (task.mPhase == TaskPhase::kPlanned && task.mPlanWrite == 0) {
        task.mPlanWrite = mWrites;
      }
    }
    BeginRoundIfDue();
  }
  return records;
}

void
Scheduler::Impl::FinishWrite(bool aStored)
{
  std::set<std::string> written;
  written.swap(mWriting);
  if (!aStored) {
    // The next write of these jobs contains at least the same changes.
    for (const std::string& id : written) {
      mDirty.erase(id);
      mRound.insert(id);
      for (Task& task : mJobs.at(id).mTasks) {
        task.mPlanWrite = 0;
      }
    }
    for (auto& [id, worker] : mWorkers) {
      worker.mWritingUpTo = worker.mAckedUpTo;
    }
    return;
  }
  mStoredWrites = mWrites;
  for (auto& [id, worker] : mWorkers) {
    if (worker.mWritingUpTo > worker.mAckedUpTo) {
      worker.mAckedUpTo = worker.mWritingUpTo;
      // Renews at once to acknowledge the stored terminations to the worker.
      worker.mNextRenewal = Millis(0);
    }
  }
  for (const std::string& id : written) {
    RemoveIfTerminated(id);
  }
}

std::vector<std::string>
Scheduler::Impl::ExpiredJobs(Millis aNow, std::size_t aMax) const
{
  std::vector<std::string> jobs;
  for (const auto& [terminatedAt, id] : mTerminatedJobsByTime) {
    if (jobs.size() == aMax || aNow - terminatedAt < mOptions.mJobRetention) {
      break;
    }
    jobs.push_back(id);
  }
  return jobs;
}

void
Scheduler::Impl::RemoveExpiredJobs(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    mTerminatedJobs.erase(mTerminatedJobsByTime.front().second);
    mTerminatedJobsByTime.pop_front();
  }
}

std::map<std::string, std::uint64_t>
Scheduler::Impl::PendingJobs() const
{
  std::map<std::string, std::uint64_t> pending;
  for (const auto& [id, job] : mJobs) {
    if (!job.mStarted && !IsFinal(job.mPhase)) {
      ++pending[job.mJob.Settings().mQueue];
    }
  }
  return pending;
}

bool
Scheduler::Impl::IsIdle() const
{
  return mJobs.empty() && !HasUnwrittenJobs() && mWriting.empty();
}

} // namespace cornelrudder::state::scheduling
