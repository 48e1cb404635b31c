#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Reported run time from which a run is an unlikely cause of a crash if a
 * younger run is on the worker.
 */
constexpr Millis kYoungRunTime{ 3'000 };
/** Reported run time after which no earlier crash was caused by the task. */
constexpr Millis kProvenRunTime{ 30'000 };
/**
 * Number of workers that crash within a time from which a common cause, for
 * example a power loss, is more likely than their runs.
 */
constexpr std::size_t kCommonCauseCrashes = 4;
constexpr Millis kCommonCauseTime{ 2'000 };
/** Limit of the isolated units that run at the same time. */
constexpr std::size_t kMinIsolatedUnits = 2;
constexpr std::size_t kWorkersPerIsolatedUnit = 5;

bool
IsInProgress(const Task& aTask)
{
  return aTask.mPhase == TaskPhase::kStarting ||
         aTask.mPhase == TaskPhase::kRunning;
}

/** @return Whether a worker has reported a run for less than kYoungRunTime. */
bool
IsYoung(const Task& aTask)
{
  return aTask.mPhase != TaskPhase::kRunning ||
         aTask.mReportedAt.count() == 0 ||
         aTask.mReportedAt - aTask.mRunningSince < kYoungRunTime;
}

/**
 * @return When an incarnation that has crashed may have run last: until its
 *   first missed reply, or until now if it has missed none.
 */
Millis
SeenUntil(const WorkerState& aWorker, Millis aNow)
{
  const Millis silentSince = aWorker.mContact.mSilentSince;
  return silentSince > aWorker.mIncarnationRepliedAt ? silentSince : aNow;
}

} // namespace

/**
 * Handles a worker whose address another worker has taken over: the earlier one
 * and its runs are gone, unless it has another address by now.
 * @param aTarget Destination of the command that the other worker rejected.
 * @return Whether the worker is gone.
 */
bool
Scheduler::Impl::HandleReplacedWorker(WorkerState& aWorker,
                                      const WorkerTarget& aTarget,
                                      Millis aNow)
{
  if (aTarget.mAddress != aWorker.mInfo.mAddress) {
    return false;
  }
  const std::vector<CrashedRun> runs = AssessCrash(aWorker, aNow);
  EndRunsIfProven(aWorker, WorkerEvidence::kOtherWorkerAtAddress, aNow);
  for (const CrashedRun& run : runs) {
    CountCrash(run,
               aWorker.mInfo.mId,
               InfoOf(WorkerEvidence::kOtherWorkerAtAddress).mName,
               aNow);
  }
  return true;
}

/**
 * Handles a worker whose lease expired without a reply. It may have crashed or
 * only be out of reach; CountPresumedCrashes() tells when it is back. An
 * earlier owner's worker that has no entry in the list any more has probably
 * restarted under another identifier; this alone never makes a run a suspect.
 */
void
Scheduler::Impl::HandleExpiredWorker(WorkerState& aWorker, Millis aNow)
{
  std::vector<CrashedRun> runs = AssessCrash(aWorker, aNow);
  const bool isUnknown = aWorker.mInfo.mAddress.empty();
  EndRunsIfProven(aWorker, WorkerEvidence::kLeaseExpired, aNow);
  if (isUnknown) {
    for (CrashedRun& run : runs) {
      run.mCrash = RunCrash();
      CountCrash(run, aWorker.mInfo.mId, "unlisted", aNow);
    }
  } else if (!runs.empty()) {
    mPresumedCrashes[aWorker.mInfo.mAddress] = { aWorker.mInfo.mId,
                                                 aWorker.mInfo.mIncarnation,
                                                 std::move(runs) };
  }
}

/**
 * Handles a run that its worker does not list. It has crashed if the worker has
 * restarted since the start.
 */
void
Scheduler::Impl::HandleUnlistedRun(const WorkerState& aWorker,
                                   const TaskKey& aKey,
                                   const char* aReason,
                                   Millis aSentAt,
                                   Millis aNow)
{
  const Task& task = mJobs.at(aKey.first).mTasks[aKey.second];
  const std::optional<CrashedRun> crash = task.mPendingCrash;
  HandleLostRun(
    aKey,
    aReason,
    LossBasis::kRenewReply,
    aNow,
    { { "planned_incarnation", std::to_string(task.mIncarnation) },
      { "incarnation", std::to_string(aWorker.mInfo.mIncarnation) },
      { "epoch", std::to_string(mOptions.mEpoch) },
      { "sent_ms_ago", std::to_string((aNow - aSentAt).count()) } });
  if (crash) {
    CountCrash(*crash, aWorker.mInfo.mId, "restarted", aNow);
  }
}

/**
 * @return The runs that were, or may have been, in progress on a worker that is
 *   gone, and the evidence about each of them. A draining worker has shut down
 * as announced.
 */
std::vector<CrashedRun>
Scheduler::Impl::AssessCrash(const WorkerState& aWorker, Millis aNow)
{
  std::vector<CrashedRun> runs;
  if (aWorker.mInfo.mDraining) {
    return runs;
  }
  const Millis seenUntil = SeenUntil(aWorker, aNow);
  // Each call that is in flight when a worker crashes may show the crash.
  mCrashTimes[aWorker.mInfo.mId] = aNow;
  std::erase_if(mCrashTimes, [aNow](const auto& aIt) {
    return aNow - aIt.second > kCommonCauseTime;
  });
  while (!mRecentSuspects.empty() &&
         aNow - mRecentSuspects.front().first > kCommonCauseTime) {
    mRecentSuspects.pop_front();
  }
  const bool isCommonCause = mCrashTimes.size() >= kCommonCauseCrashes;
  if (isCommonCause) {
    ClearRecentSuspects();
  }
  std::set<TaskKey> units;
  bool isAnyYoung = false;
  for (const TaskKey& key : aWorker.mAssigned) {
    const JobState& job = mJobs.at(key.first);
    const Task& task = job.mTasks[key.second];
    if (IsInProgress(task)) {
      units.insert({ key.first, job.CountedTask(key.second) });
      isAnyYoung = isAnyYoung || IsYoung(task);
      std::optional<Millis> age;
      if (task.mStartSentAt) {
        age = std::max(seenUntil - *task.mStartSentAt, Millis(0));
      }
      runs.push_back({ key, task.mRun, {}, age });
    }
  }
  for (CrashedRun& run : runs) {
    const Task& task = mJobs.at(run.mTask.first).mTasks[run.mTask.second];
    run.mCrash.mIsStarted = task.mPhase == TaskPhase::kRunning;
    // A run that has worked for long is no clear cause even if it was alone.
    run.mCrash.mIsAlone = units.size() == 1 && IsYoung(task);
    run.mCrash.mIsSuspect = !isCommonCause && (IsYoung(task) || !isAnyYoung);
    run.mUnits = units.size();
  }
  return runs;
}

/** Clears the runs that were suspected before a common cause was detected. */
void
Scheduler::Impl::ClearRecentSuspects()
{
  for (const auto& [time, run] : mRecentSuspects) {
    JobState* job = FindJob(run.mTask.first);
    if (job != nullptr && !IsFinal(job->mPhase)) {
      CrashCount& crashes = job->mTasks[run.mTask.second].mCrashes;
      crashes = crashes.WithOtherCause(run.mCrash);
      MarkChanged(*job, run.mTask.second);
    }
  }
  mRecentSuspects.clear();
}

/**
 * Marks the runs of earlier owners that were planned on an earlier incarnation
 * of a worker and that it has not listed.
 */
void
Scheduler::Impl::MarkRecoveredCrashes(const WorkerState& aWorker, Millis aNow)
{
  const auto isCrashed = [&](const TaskKey& aKey) {
    const Task& task = mJobs.at(aKey.first).mTasks[aKey.second];
    return task.mRecovered && !task.mPendingCrash && task.mIncarnation != 0 &&
           task.mIncarnation != aWorker.mInfo.mIncarnation;
  };
  if (std::none_of(
        aWorker.mAssigned.begin(), aWorker.mAssigned.end(), isCrashed)) {
    return;
  }
  for (const CrashedRun& run : AssessCrash(aWorker, aNow)) {
    if (isCrashed(run.mTask)) {
      mJobs.at(run.mTask.first).mTasks[run.mTask.second].mPendingCrash = run;
    }
  }
}

/**
 * Counts the crashes of runs whose worker was silent until its lease expired,
 * once a later incarnation has its address.
 */
void
Scheduler::Impl::CountPresumedCrashes(const WorkerInfo& aPresent, Millis aNow)
{
  const auto it = mPresumedCrashes.find(aPresent.mAddress);
  if (it == mPresumedCrashes.end()) {
    return;
  }
  const PresumedCrash crash = it->second;
  const bool isSame = aPresent.mId == crash.mWorker &&
                      aPresent.mIncarnation == crash.mIncarnation;
  if (isSame) {
    return;
  }
  mPresumedCrashes.erase(it);
  if (aPresent.mIncarnation > crash.mIncarnation) {
    for (const CrashedRun& run : crash.mRuns) {
      CountCrash(run, crash.mWorker, "restarted", aNow);
    }
  }
}

/**
 * Counts a crash under a run, and terminates the job if the task must not start
 * again. The count is stored with the next run at the latest, before its start.
 */
void
Scheduler::Impl::CountCrash(const CrashedRun& aRun,
                            const std::string& aWorker,
                            const char* aEvidence,
                            Millis aNow)
{
  const auto& [id, index] = aRun.mTask;
  JobState* job = FindJob(id);
  if (job == nullptr || IsFinal(job->mPhase) || job->mTasks[index].IsDone()) {
    return;
  }
  const std::size_t countedTask = job->CountedTask(index);
  Task& counted = job->mTasks[countedTask];
  // A crash under a gang counts once, on however many workers its members ran.
  const bool isNew = job->mCrashedRuns[countedTask] < aRun.mRun;
  // The worker may crash by itself again.
  job->mTasks[index].mAvoidedWorker = aWorker;
  if (isNew) {
    job->mCrashedRuns[countedTask] = aRun.mRun;
    counted.mCrashes = counted.mCrashes.With(aRun.mCrash);
    MarkChanged(*job, countedTask);
    if (aRun.mCrash.mIsSuspect) {
      mRecentSuspects.push_back(
        { aNow, { { id, countedTask }, aRun.mRun, aRun.mCrash, {}, {} } });
    }
  }
  RecordEvent(
    SchedulerEvent::Kind::kRunCrashed,
    { { "task", job->IdOf(index).Text() },
      { "run", std::to_string(aRun.mRun) },
      { "worker", aWorker },
      { "evidence", aEvidence },
      { "started", aRun.mCrash.mIsStarted ? "yes" : "unknown" },
      { "alone", aRun.mCrash.mIsAlone ? "yes" : "no" },
      { "suspect", aRun.mCrash.mIsSuspect ? "yes" : "no" },
      { "counted", isNew ? "yes" : "no" },
      { "age_ms", aRun.mAge ? std::to_string(aRun.mAge->count()) : "unknown" },
      { "units", std::to_string(aRun.mUnits) },
      { "recent_crashes", std::to_string(mCrashTimes.size()) },
      { "crashes", std::to_string(counted.mCrashes.Total()) },
      { "as_suspect", std::to_string(counted.mCrashes.Suspect()) },
      { "as_only_run", std::to_string(counted.mCrashes.Alone()) } });
  // Tasks that last are restarted however they end; isolation contains them.
  if (counted.mCrashes.IsExhausted() && !job->StepOf(index).IsLongRunning()) {
    ++mJobsCrashingWorkers;
    TerminateJob(*job,
                 JobPhase::kFailed,
                 aNow,
                 { { "reason", "crashes" },
                   { "task", job->IdOf(index).Text() },
                   { "run", std::to_string(aRun.mRun) },
                   { "crashes", std::to_string(counted.mCrashes.Total()) },
                   { "failures", std::to_string(counted.mFailures) } });
  }
}

/**
 * @return Whether a run may still crash its worker, as earlier runs of the task
 *   may have done.
 */
bool
Scheduler::Impl::IsSuspectRun(const JobState& aJob, std::size_t aTask)
{
  const Task& task = aJob.mTasks[aTask];
  return !aJob.mCrashedRuns.empty() && task.IsAssigned() && IsYoung(task) &&
         IsolationOf(aJob, aTask) != Isolation::kNone;
}

Isolation
Scheduler::Impl::IsolationOf(const JobState& aJob, std::size_t aTask)
{
  const CrashCount crashes = aJob.CrashesOf(aTask);
  return crashes.NeedsIsolation() ? Isolation::kRequired
         : crashes.IsSuspected()  ? Isolation::kPreferred
                                  : Isolation::kNone;
}

/**
 * Forgets the crashes under a task that lasts once one of its runs has worked
 * for long: over weeks, crashes of other causes would isolate each such task.
 */
void
Scheduler::Impl::ResetCrashCount(JobState& aJob, std::size_t aTask, Millis aNow)
{
  const Task& task = aJob.mTasks[aTask];
  const bool isProven = aJob.StepOf(aTask).IsLongRunning() &&
                        task.mReportableSince &&
                        aNow - *task.mReportableSince >= kProvenRunTime;
  if (isProven && aJob.CrashesOf(aTask) != CrashCount()) {
    const std::size_t counted = aJob.CountedTask(aTask);
    aJob.mTasks[counted].mCrashes = CrashCount();
    MarkChanged(aJob, counted);
  }
}

/**
 * Removes isolated units from a view beyond a share of the fleet, so that many
 * suspects neither occupy nor crash most workers at the same time. They wait
 * meanwhile, so that they may share workers after the longest isolation wait.
 */
void
Scheduler::Impl::LimitIsolatedUnits(PlanningView& aView,
                                    const ViewKeys& aKeys,
                                    Millis aNow)
{
  const std::size_t limit = std::max(
    kMinIsolatedUnits, aView.mWorkers.size() / kWorkersPerIsolatedUnit);
  std::set<TaskKey> running;
  for (const auto& [id, job] : mJobs) {
    for (std::size_t i = 0; !job.mCrashedRuns.empty() && i < job.mTasks.size();
         ++i) {
      if (IsSuspectRun(job, i) && IsolationOf(job, i) == Isolation::kRequired) {
        running.insert({ id, job.CountedTask(i) });
      }
    }
  }
  std::size_t n = running.size();
  std::erase_if(aView.mWaiting, [&](const WaitingUnit& aUnit) {
    const bool isRemoved =
      aUnit.mIsolation == Isolation::kRequired && ++n > limit;
    if (isRemoved) {
      mWaits.emplace(aKeys.mWaiting[aUnit.mKey].front(),
                     WaitState{ PlanReason::kNoCapacity, aNow });
    }
    return isRemoved;
  });
}

} // namespace cornelrudder::state::scheduling
