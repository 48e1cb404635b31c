#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Time until the record of a job that the store rejected is written again. It
 * is doubled for each further rejection up to a limit, since the record may
 * never be accepted.
 */
constexpr Millis kSetAsideTime{ 5'000 };
constexpr Millis kMaxSetAsideTime{ 60'000 };
/**
 * Limit on the terminations in the lease row, which is written each time: it
 * stays below 30 KB. Those beyond the limit stay unacknowledged.
 */
constexpr std::size_t kMaxUnrecordedEnds = 400;

Millis
SetAsideTime(int aRejections)
{
  Millis time = kSetAsideTime;
  for (int i = 1; i < aRejections && time < kMaxSetAsideTime; ++i) {
    time *= 2;
  }
  return std::min(time, kMaxSetAsideTime);
}

/** @return Whether a record was stored in several rows. */
bool
IsDivided(const JobProgress& aProgress)
{
  return aProgress.TasksPerPart() > 0 || !aProgress.Rows().empty();
}

} // namespace

Scheduler::Impl::Impl(SchedulerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPolicy(MakePlacementPolicy(mOptions.mPolicy))
  , mRunTimes(MakeRunTimePredictor(mOptions.mRunTimes))
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
  if (mJobs.contains(aJob.Id()) || mTerminatedJobs.contains(aJob.Id()) ||
      FindDeferred(aJob.Id()) != mDeferred.end()) {
    return;
  }
  mPlannedAt = std::max(mPlannedAt, aNow);
  const Millis submittedAt = aNow - std::max(aAge, Millis(0));
  if (aProgress == nullptr && !HasRoomFor(aJob)) {
    mDeferredBytes += JobBytes(aJob);
    mDeferred.emplace(
      DeferralKey{ aJob.Settings().mPriority, submittedAt, aJob.Id() }, aJob);
    return;
  }
  JobState& added = Insert(aJob, submittedAt, aProgress);
  if (aProgress != nullptr) {
    Restore(added, *aProgress, aNow);
    if (IsDivided(*aProgress) && IsFinal(added.mPhase)) {
      // The earlier owner may not have deleted the other parts of the record.
      MarkAllChanged(added);
    }
    RemoveIfTerminated(aJob.Id());
  }
}

JobState&
Scheduler::Impl::Insert(const TaskJob& aJob,
                        Millis aSubmittedAt,
                        const JobProgress* aProgress)
{
  // A record is divided, or whole, as it was stored; BeginWrite() divides it
  // further if that is necessary.
  const bool isDivided = aProgress != nullptr && IsDivided(*aProgress);
  const std::size_t storedTasks =
    aProgress != nullptr ? aProgress->Tasks().size() : 0;
  JobState job(aJob,
               aSubmittedAt,
               isDivided ? aProgress->TasksPerPart()
                         : std::max(mOptions.mTasksPerRecord, storedTasks),
               isDivided ? aProgress->Rows() : std::vector<RecordRow>());
  mJobBytes += JobBytes(aJob);
  return mJobs.emplace(aJob.Id(), std::move(job)).first->second;
}

bool
Scheduler::Impl::HasRoomFor(const TaskJob& aJob) const
{
  // A job that exceeds the limit alone was accepted under a higher one.
  return mJobs.empty() || (mJobBytes <= mOptions.mMaxJobBytes &&
                           JobBytes(aJob) <= mOptions.mMaxJobBytes - mJobBytes);
}

std::map<Scheduler::Impl::DeferralKey, TaskJob>::iterator
Scheduler::Impl::FindDeferred(const std::string& aJob)
{
  return std::find_if(
    mDeferred.begin(), mDeferred.end(), [&aJob](const auto& aIt) {
      return aIt.second.Id() == aJob;
    });
}

/** Smaller jobs do not overtake the first one, which would never be admitted.
 */
void
Scheduler::Impl::AdmitDeferred()
{
  while (!mDeferred.empty() && HasRoomFor(mDeferred.begin()->second)) {
    Admit(mDeferred.begin());
  }
}

void
Scheduler::Impl::Admit(std::map<DeferralKey, TaskJob>::iterator aDeferred)
{
  const auto job = mDeferred.extract(aDeferred);
  mDeferredBytes -= JobBytes(job.mapped());
  Insert(job.mapped(), std::get<Millis>(job.key()), nullptr);
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
    if (!record.mFailedRuns.empty()) {
      aJob.mFailedRuns[i].insert(record.mFailedRuns.begin(),
                                 record.mFailedRuns.end());
    }
    ReplaceCheckpoint(task, record.mCheckpoint);
    task.mCrashes = record.mCrashes;
    task.mMemberCrashes = record.mMemberCrashes;
    if (task.mCrashes != CrashCount()) {
      aJob.mCrashedRuns.emplace(i, record.mLastCrashedRun);
    }
    if (!record.mWorker.empty()) {
      Assign(aJob, i, FindOrAddWorker(record.mWorker, aNow), record.mRun);
      task.mIncarnation = record.mIncarnation;
      task.mEarliestStart = aJob.mSubmittedAt + record.mStartAfter;
      task.mPhase = TaskPhase::kStarting;
      task.mRecovered = true;
      task.mIsInherited = true;
      task.mCompletedEarlier = record.mState == RecordedState::kDone;
      task.mStopRequested = IsFinal(aJob.mPhase) || task.mCompletedEarlier;
    } else if (record.mState == RecordedState::kDone) {
      task.mPhase = TaskPhase::kDone;
    }
  }
  UpdateRestoredPhase(aJob, aNow);
}

/**
 * Ends a job whose tasks have ended it: the parts of its record are not always
 * stored by the same write, and the first part tells the phase.
 */
void
Scheduler::Impl::UpdateRestoredPhase(JobState& aJob, Millis aNow)
{
  const int maxAttempts = aJob.mJob.Settings().mMaxAttempts;
  const auto failed = std::find_if(
    aJob.mTasks.begin(), aJob.mTasks.end(), [maxAttempts](const Task& aTask) {
      return aTask.mFailures > 0 && aTask.mFailures >= maxAttempts;
    });
  if (failed != aJob.mTasks.end() && !IsFinal(aJob.mPhase)) {
    const auto index = static_cast<std::size_t>(failed - aJob.mTasks.begin());
    ++mJobsOutOfAttempts;
    TerminateJob(aJob,
                 JobPhase::kFailed,
                 aNow,
                 { { "reason", "attempts" },
                   { "task", aJob.IdOf(index).Text() },
                   { "failures", std::to_string(failed->mFailures) },
                   { "attempts", std::to_string(maxAttempts) },
                   { "source", "record" } });
  }
  UpdatePhase(aJob, aNow);
}

void
Scheduler::Impl::CancelJob(const std::string& aJob, Millis aNow)
{
  if (const auto it = FindDeferred(aJob); it != mDeferred.end()) {
    Admit(it);
  }
  JobState* job = FindJob(aJob);
  if (job != nullptr && !IsFinal(job->mPhase)) {
    TerminateJob(*job, JobPhase::kCancelled, aNow);
    RemoveIfTerminated(aJob);
  }
}

/** Marks the first row of a job's record, which tells the phase. */
void
Scheduler::Impl::MarkChanged(JobState& aJob)
{
  aJob.mChangedRows.insert(0);
  const std::string& id = aJob.mJob.Id();
  if (!mRound.contains(id) && !mSetAside.contains(id)) {
    mDirty.insert(id);
  }
}

/** Marks the row with a task, and those with the other members of a gang. */
void
Scheduler::Impl::MarkChanged(JobState& aJob, std::size_t aTask)
{
  MarkChanged(aJob);
  if (IsFinal(aJob.mPhase)) {
    MarkAllChanged(aJob);
    return;
  }
  auto [first, end] = aJob.StepRange(aTask);
  if (!aJob.StepOf(aTask).IsGang()) {
    first = aTask;
    end = aTask + 1;
  }
  for (std::size_t i = first; i < end; ++i) {
    aJob.mChangedRows.insert(aJob.RowOf(i).mFirstTask);
  }
}

void
Scheduler::Impl::MarkAllChanged(JobState& aJob)
{
  MarkChanged(aJob);
  for (const RecordRow& row : aJob.mRows) {
    aJob.mChangedRows.insert(row.mFirstTask);
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
Scheduler::Impl::TerminateJob(JobState& aJob,
                              JobPhase aPhase,
                              Millis aNow,
                              const EventFields& aCause)
{
  aJob.mPhase = aPhase;
  aJob.mSetAsideUntil = Millis(0);
  MarkAllChanged(aJob);
  EventFields fields{ { "job", aJob.mJob.Id() },
                      { "queue", aJob.mJob.Settings().mQueue },
                      { "state", JobPhaseName(aPhase) },
                      { "age_ms",
                        std::to_string((aNow - aJob.mSubmittedAt).count()) } };
  fields.insert(fields.end(), aCause.begin(), aCause.end());
  RecordEvent(SchedulerEvent::Kind::kJobEnded, std::move(fields));
  StopAll(aJob, aNow);
}

void
Scheduler::Impl::RemoveIfTerminated(const std::string& aJob)
{
  const JobState* job = FindJob(aJob);
  const bool isTerminated =
    job != nullptr && IsFinal(job->mPhase) && !job->IsAnyAssigned() &&
    !mDirty.contains(aJob) && !mRound.contains(aJob) &&
    !mWriting.contains(aJob) && !mSetAside.contains(aJob);
  if (isTerminated) {
    for (std::size_t i = 0; i < job->mTasks.size(); ++i) {
      mWaits.erase({ aJob, i });
      mNominations.erase({ aJob, i });
      mCheckpointBytes -= job->mTasks[i].mCheckpoint.size();
    }
    mJobBytes -= JobBytes(job->mJob);
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

/**
 * Makes the record of a row smaller if it is too large: divides the row, or
 * leaves the checkpoint of its only task out. The run that made the checkpoint
 * goes on, and this owner resumes the task from it; a later owner starts the
 * task from scratch if no worker reports the checkpoint.
 * @return Whether the record has become smaller.
 */
bool
Scheduler::Impl::ShrinkRecord(JobState& aJob, std::size_t aFirst)
{
  const auto [first, end] = aJob.RowRange(aFirst);
  if (end - first > 1) {
    aJob.DivideRow(first);
    return true;
  }
  Task& task = aJob.mTasks[first];
  if (task.IsDone() || task.mCheckpoint.empty() || task.mIsCheckpointUnstored) {
    return false;
  }
  task.mIsCheckpointUnstored = true;
  aJob.mChangedRows.insert(first);
  RecordEvent(SchedulerEvent::Kind::kCheckpointNotStored,
              { { "task", aJob.IdOf(first).Text() },
                { "run", std::to_string(task.mRun) },
                { "bytes", std::to_string(task.mCheckpoint.size()) } });
  return true;
}

std::vector<JobProgress>
Scheduler::Impl::BeginWrite(const WriteLimits& aLimits,
                            const RecordSizer& aSizeOf)
{
  ++mWrites;
  for (auto& [end, write] : mUnrecordedEnds) {
    write = write == 0 ? mWrites : write;
  }
  std::vector<JobProgress> records;
  std::size_t tasks = 0;
  std::size_t bytes = 0;
  BeginRoundIfDue();
  while (!mRound.empty() && records.size() < aLimits.mRecords &&
         tasks < aLimits.mTasks && bytes < aLimits.mBytes) {
    const std::string id = *mRound.begin();
    JobState* job = FindJob(id);
    if (job == nullptr || job->mChangedRows.empty()) {
      mRound.erase(id);
      continue;
    }
    const std::size_t row = job->NextChangedRow();
    JobProgress record = job->ToProgress(row);
    const std::size_t size = aSizeOf ? aSizeOf(record) : 0;
    if (size > aLimits.mRecordBytes && ShrinkRecord(*job, row)) {
      continue;
    }
    job->mChangedRows.erase(row);
    mWriting[id].insert(row);
    tasks += record.Tasks().size();
    bytes += size;
    records.push_back(std::move(record));
    const auto [first, end] = job->RowRange(row);
    for (std::size_t i = first; i < end; ++i) {
      Task& task = job->mTasks[i];
      if (task.mPhase == TaskPhase::kPlanned && task.mPlanWrite == 0) {
        task.mPlanWrite = mWrites;
      }
    }
    if (job->mChangedRows.empty()) {
      mRound.erase(id);
    }
    BeginRoundIfDue();
  }
  return records;
}

/** Makes the next write contain the records of a write that was not stored. */
void
Scheduler::Impl::RestoreChanges(const std::string& aJob,
                                const std::set<std::size_t>& aRows)
{
  JobState& job = mJobs.at(aJob);
  for (const std::size_t row : aRows) {
    job.mChangedRows.insert(row);
    const auto [first, end] = job.RowRange(row);
    for (std::size_t i = first; i < end; ++i) {
      job.mTasks[i].mPlanWrite = 0;
    }
  }
  mDirty.erase(aJob);
  mRound.insert(aJob);
}

void
Scheduler::Impl::FinishWrite(bool aStored)
{
  std::map<std::string, std::set<std::size_t>> written;
  written.swap(mWriting);
  if (!aStored) {
    for (const auto& [id, rows] : written) {
      RestoreChanges(id, rows);
    }
    for (auto& [id, worker] : mWorkers) {
      worker.mWritingUpTo = worker.mAckedUpTo;
    }
    for (auto& [end, write] : mUnrecordedEnds) {
      write = write == mWrites ? 0 : write;
    }
    return;
  }
  mStoredWrites = mWrites;
  for (auto& [id, worker] : mWorkers) {
    const std::uint64_t ackable =
      std::min(worker.mWritingUpTo, worker.mAckLimit);
    if (ackable > worker.mAckedUpTo) {
      worker.mAckedUpTo = ackable;
      // Renews at once to acknowledge the stored terminations to the worker.
      worker.mNextRenewal = Millis(0);
    }
  }
  for (const auto& [id, rows] : written) {
    JobState* job = FindJob(id);
    if (job != nullptr && job->mChangedRows.empty()) {
      job->mRejections = 0;
      ForgetRecordedJob(id);
    }
    RemoveIfTerminated(id);
  }
}

/**
 * Ends a write that the store rejects and that has one record. The record is
 * written again in smaller ones, since the store may have a lower limit than
 * the settings. If it cannot be made smaller, its job waits, so that the other
 * jobs go on. The job's terminations stay unacknowledged then, and its planned
 * runs give their capacity back.
 */
void
Scheduler::Impl::HandleRejectedRecord(Millis aNow)
{
  const std::string id = mWriting.begin()->first;
  const std::size_t row = *mWriting.begin()->second.begin();
  FinishWrite(false);
  JobState& job = mJobs.at(id);
  if (ShrinkRecord(job, row)) {
    return;
  }
  const Millis setAsideTime = SetAsideTime(++job.mRejections);
  mRound.erase(id);
  mSetAside.insert(id);
  mRejectedJobs.insert(id);
  job.mSetAsideUntil = aNow + setAsideTime;
  for (auto& [workerId, worker] : mWorkers) {
    if (worker.HasUnackedTerminations()) {
      worker.mAckLimit = std::min(worker.mAckLimit, worker.mAckedUpTo);
    }
  }
  for (std::size_t i = 0; i < job.mTasks.size(); ++i) {
    if (job.mTasks[i].mPhase == TaskPhase::kPlanned) {
      RequestStop(job, i, LossCause::kOther, aNow);
    }
  }
  RecordEvent(SchedulerEvent::Kind::kJobSetAside,
              { { "job", id },
                { "tasks", std::to_string(job.mTasks.size()) },
                { "parts", std::to_string(job.mRows.size()) },
                { "retry_after_ms", std::to_string(setAsideTime.count()) } });
}

/**
 * Notes the terminations of jobs whose records are rejected, for the lease row,
 * and limits the acknowledgement to those before the first one that is not
 * stored there yet.
 * @param aTerminated All terminations that the worker reports, in the sequence
 *   in which they happened.
 */
void
Scheduler::Impl::NoteUnrecordedEnds(
  WorkerState& aWorker,
  const std::vector<TerminatedRun>& aTerminated)
{
  if (mRejectedJobs.empty()) {
    return;
  }
  std::uint64_t limit = WorkerState::kNoAckLimit;
  for (const TerminatedRun& it : aTerminated) {
    if (!mRejectedJobs.contains(it.mTask.Job())) {
      continue;
    }
    const UnrecordedEnd end{ it.mTask, it.mRun, it.mReason };
    if (mUnrecordedEnds.size() < kMaxUnrecordedEnds) {
      mUnrecordedEnds.emplace(end, 0);
    }
    const auto noted = mUnrecordedEnds.find(end);
    const bool isStored = noted != mUnrecordedEnds.end() &&
                          noted->second != 0 && noted->second <= mStoredWrites;
    if (!isStored) {
      limit = std::min(limit, it.mSequence - 1);
    }
  }
  aWorker.mAckLimit = limit;
}

/** Ends the limits that a job caused, once its record is stored completely. */
void
Scheduler::Impl::ForgetRecordedJob(const std::string& aJob)
{
  if (mRejectedJobs.erase(aJob) == 0) {
    return;
  }
  std::erase_if(mUnrecordedEnds, [&aJob](const auto& aIt) {
    return aIt.first.mTask.Job() == aJob;
  });
  if (mRejectedJobs.empty()) {
    for (auto& [id, worker] : mWorkers) {
      worker.mAckLimit = WorkerState::kNoAckLimit;
    }
  }
}

std::vector<UnrecordedEnd>
Scheduler::Impl::UnrecordedEnds() const
{
  std::vector<UnrecordedEnd> ends;
  ends.reserve(mUnrecordedEnds.size());
  for (const auto& [end, write] : mUnrecordedEnds) {
    ends.push_back(end);
  }
  return ends;
}

void
Scheduler::Impl::RestoreUnrecordedEnds(const std::vector<UnrecordedEnd>& aEnds,
                                       Millis aNow)
{
  for (const UnrecordedEnd& end : aEnds) {
    JobState* job = FindJob(end.mTask.Job());
    const auto index = job != nullptr ? job->Find(end.mTask) : std::nullopt;
    if (!index) {
      continue;
    }
    const Task& task = job->mTasks[*index];
    const bool isCurrent = task.IsAssigned() && task.mRun == end.mRun;
    // The row of a gang's member may be stored without the one that counts.
    const bool fails = !isCurrent &&
                       end.mReason == TerminationReason::kFailed &&
                       job->IsUncountedFailure(*index, end.mRun);
    if (isCurrent || fails) {
      // The lease row contains the end until the record does.
      mRejectedJobs.insert(end.mTask.Job());
      mUnrecordedEnds.emplace(end, 0);
    }
    if (isCurrent) {
      HandleTermination(*job, *index, end.mReason, "", aNow);
    } else if (fails) {
      CountFailure(*job, *index, end.mRun, aNow);
    }
  }
}

/** Makes the jobs that were set aside long enough part of the next round. */
void
Scheduler::Impl::RetryJobsSetAside(Millis aNow)
{
  std::erase_if(mSetAside, [this, aNow](const std::string& aId) {
    const bool isDue = mJobs.at(aId).mSetAsideUntil <= aNow;
    if (isDue) {
      mDirty.insert(aId);
    }
    return isDue;
  });
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
  for (const auto& [key, job] : mDeferred) {
    ++pending[job.Settings().mQueue];
  }
  return pending;
}

JobMemory
Scheduler::Impl::MemoryOfJobs() const
{
  JobMemory memory;
  const auto add = [&memory](const TaskJob& aJob) {
    const std::uint64_t bytes = JobBytes(aJob);
    memory.mBytes += bytes;
    memory.mByOrganisation[aJob.Organisation()] += bytes;
  };
  for (const auto& [id, job] : mJobs) {
    add(job.mJob);
  }
  for (const auto& [key, job] : mDeferred) {
    add(job);
  }
  return memory;
}

bool
Scheduler::Impl::IsIdle() const
{
  return mJobs.empty() && mDeferred.empty() && !HasUnwrittenJobs() &&
         mWriting.empty();
}

} // namespace cornelrudder::state::scheduling
