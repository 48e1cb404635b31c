#include "SchedulerImpl.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Reported run time from which a run is an unlikely cause of a crash if a
 * younger run is on the worker.
 */
constexpr Millis kYoungRunTime{ 3'000 };
/** Reported run time after which no earlier crash was caused by the task. */
constexpr Millis kProvenRunTime{ 30'000 };
/** Unit of expected crashes in records. */
constexpr double kMillionths = 1e6;
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
 * @return Probability that another run on the worker has crashed it. Tasks that
 *   crash their workers do so soon after each start, so it is the youngest run.
 */
double
ChanceOfOtherRun(Millis aAge, Millis aOtherAge)
{
  constexpr int kMuchYounger = 4;
  /** Share of such tasks among all, and if one run is much younger. */
  constexpr double kShare = 0.001;
  constexpr double kYoungerChance = 0.5;
  const Millis age = std::max(aAge, CrashRate::kNoticeTime);
  const Millis otherAge = std::max(aOtherAge, CrashRate::kNoticeTime);
  if (otherAge * kMuchYounger < age) {
    return kYoungerChance;
  }
  return age * kMuchYounger < otherAge ? 0.0 : kShare;
}

/** @return A number for the log, with two significant digits. */
std::string
ToText(double aNumber)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.2g", aNumber);
  return buf.data();
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
  if (IsObserved(aWorker)) {
    NoteCrash(CrashOf(aWorker, aNow));
  }
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
  const std::optional<WorkerCrash> crash =
    IsObserved(aWorker) ? std::make_optional(CrashOf(aWorker, aNow))
                        : std::nullopt;
  const bool isUnknown = aWorker.mInfo.mAddress.empty();
  EndRunsIfProven(aWorker, WorkerEvidence::kLeaseExpired, aNow);
  if (isUnknown) {
    for (CrashedRun& run : runs) {
      run.mCrash = RunCrash();
      CountCrash(run, aWorker.mInfo.mId, "unlisted", aNow);
    }
  } else if (!runs.empty()) {
    mPresumedCrashes[aWorker.mInfo.mAddress] = {
      aWorker.mInfo.mId, aWorker.mInfo.mIncarnation, std::move(runs), crash
    };
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
  std::map<TaskKey, Millis> ages;
  bool isAnyYoung = false;
  for (const TaskKey& key : aWorker.mAssigned) {
    const JobState& job = mJobs.at(key.first);
    const Task& task = job.mTasks[key.second];
    if (IsInProgress(task)) {
      const Millis start = std::min(task.mEarliestStart, seenUntil);
      const TaskKey unit{ key.first, job.CountedTask(key.second) };
      const auto it = ages.try_emplace(unit, seenUntil - start).first;
      it->second = std::min(it->second, seenUntil - start);
      isAnyYoung = isAnyYoung || IsYoung(task);
      runs.push_back(
        { key, task.mRun, {}, { start, seenUntil, aWorker.mInfo.mAddress } });
    }
  }
  for (CrashedRun& run : runs) {
    const JobState& job = mJobs.at(run.mTask.first);
    const Task& task = job.mTasks[run.mTask.second];
    const TaskKey unit{ run.mTask.first, job.CountedTask(run.mTask.second) };
    for (const auto& [other, age] : ages) {
      run.mOthersChance +=
        other != unit ? ChanceOfOtherRun(run.mSpan.Length(), age) : 0.0;
    }
    run.mCrash.mIsStarted = task.mPhase == TaskPhase::kRunning;
    // A run that has worked for long is no clear cause even if it was alone.
    run.mCrash.mIsAlone = IsYoung(task) && run.mOthersChance == 0.0;
    run.mCrash.mIsSuspect = IsYoung(task) || !isAnyYoung;
    run.mUnits = ages.size();
  }
  return runs;
}

/** @return The crash of a worker, if it has crashed. */
WorkerCrash
Scheduler::Impl::CrashOf(const WorkerState& aWorker, Millis aNow) const
{
  const Millis seenUntil = SeenUntil(aWorker, aNow);
  return { seenUntil,
           aWorker.mInfo.mAddress,
           seenUntil - aWorker.mLastStartAt >= CrashRate::kStartTime };
}

/** Adds a crash to those of the fleet that have other causes than runs. */
void
Scheduler::Impl::NoteCrash(const WorkerCrash& aCrash)
{
  mCrashRate.AddCrash(aCrash);
  std::erase_if(mPendingCrashes, [&aCrash](const WorkerCrash& aPending) {
    return aPending.mAddress == aCrash.mAddress;
  });
}

/**
 * @return Whether a crash of a worker would be one of other causes than its
 *   runs, unless one of them has just started.
 */
bool
Scheduler::Impl::IsObserved(const WorkerState& aWorker) const
{
  return !aWorker.mAssigned.empty() && !aWorker.mInfo.mDraining &&
         std::none_of(aWorker.mAssigned.begin(),
                      aWorker.mAssigned.end(),
                      [this](const TaskKey& aKey) {
                        const JobState& job = mJobs.at(aKey.first);
                        return job.mTasks[aKey.second].mRecovered ||
                               job.CrashesOf(aKey.second).IsSuspected();
                      });
}

/** Adds the time since the last call to the observed time of the workers. */
void
Scheduler::Impl::ObserveWorkers(Millis aNow)
{
  if (!mCrashRate.IsDue(aNow)) {
    return;
  }
  std::size_t n = 0;
  for (const auto& [id, worker] : mWorkers) {
    n += worker.mFailedRenewals == 0 && IsObserved(worker) &&
             aNow - worker.mLastStartAt >= CrashRate::kStartTime
           ? 1
           : 0;
  }
  mCrashRate.Observe(n, mWorkers.size(), aNow);
}

/**
 * @return Crashes as which the present silence of workers with runs may turn
 *   out. Collected once for all runs of a moment.
 */
const std::vector<WorkerCrash>&
Scheduler::Impl::PendingCrashes(Millis aNow)
{
  if (mPendingCrashesAt != aNow) {
    mPendingCrashesAt = aNow;
    mPendingCrashes.clear();
    for (const auto& [id, worker] : mWorkers) {
      if (worker.mFailedRenewals > 0 && IsObserved(worker)) {
        mPendingCrashes.push_back(CrashOf(worker, aNow));
      }
    }
  }
  return mPendingCrashes;
}

/**
 * @return Expected crashes of other causes than the run on its worker, in
 *   millionths.
 */
std::int64_t
Scheduler::Impl::ExpectedCrashes(const CrashSpan& aSpan,
                                 double aOthersChance,
                                 const std::vector<WorkerCrash>& aPending) const
{
  const double expected =
    std::max(mCrashRate.ExpectedIn(aSpan, aPending), aOthersChance);
  return std::llround(std::min(expected, 1.0) * kMillionths);
}

/**
 * Corrects what was to be expected at the earlier crashes under a task or gang:
 * crashes of other workers at the same times may have been noticed since.
 */
void
Scheduler::Impl::UpdateEvidence(JobState& aJob,
                                std::size_t aCountedTask,
                                Millis aNow)
{
  std::vector<CountedCrash>& crashes = aJob.mCountedCrashes[aCountedTask];
  std::erase_if(crashes, [this, aNow](const CountedCrash& aCrash) {
    return !mCrashRate.Covers(aCrash.mSpan, aNow);
  });
  const std::vector<WorkerCrash>& pending = PendingCrashes(aNow);
  const auto members = static_cast<std::int64_t>(aJob.MembersOf(aCountedTask));
  Task& counted = aJob.mTasks[aCountedTask];
  for (CountedCrash& crash : crashes) {
    const std::int64_t before = crash.mExpected;
    crash.mExpected =
      ExpectedCrashes(crash.mSpan, crash.mOthersChance, pending);
    counted.mCrashes = counted.mCrashes.WithReplaced(before * members,
                                                     crash.mExpected * members);
    for (const std::size_t member : crash.mMembers) {
      Task& task = aJob.mTasks[member];
      task.mMemberCrashes =
        task.mMemberCrashes.WithReplaced(before, crash.mExpected);
    }
  }
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
    if (crash.mCrash) {
      NoteCrash(*crash.mCrash);
    }
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
  std::vector<CountedCrash>& crashes = job->mCountedCrashes[countedTask];
  const std::size_t members = job->MembersOf(index);
  const std::int64_t expected =
    ExpectedCrashes(aRun.mSpan, aRun.mOthersChance, PendingCrashes(aNow));
  UpdateEvidence(*job, countedTask, aNow);
  if (isNew) {
    job->mCrashedRuns[countedTask] = aRun.mRun;
    counted.mCrashes = counted.mCrashes.With(
      aRun.mCrash, expected * static_cast<std::int64_t>(members));
    MarkChanged(*job, countedTask);
  }
  if (isNew && aRun.mCrash.mIsSuspect) {
    crashes.push_back(
      { aRun.mRun, aRun.mSpan, aRun.mOthersChance, expected, {} });
  }
  // Several members may have run on the worker; each of them may be the cause.
  Task& task = job->mTasks[index];
  if (task.mLastCrashedRun < aRun.mRun && aRun.mCrash.mIsSuspect) {
    task.mLastCrashedRun = aRun.mRun;
    task.mMemberCrashes = task.mMemberCrashes.With(expected);
    if (!crashes.empty() && crashes.back().mRun == aRun.mRun) {
      crashes.back().mMembers.push_back(index);
    }
    MarkChanged(*job, index);
  }
  const double chance = counted.mCrashes.Chance(members, task.mMemberCrashes);
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
      { "age_ms", std::to_string(aRun.mSpan.Length().count()) },
      { "units", std::to_string(aRun.mUnits) },
      { "crashes", std::to_string(counted.mCrashes.Total()) },
      { "as_suspect", std::to_string(counted.mCrashes.Suspect().Crashes()) },
      { "as_only_run", std::to_string(counted.mCrashes.Alone()) },
      { "of_member", std::to_string(task.mMemberCrashes.Crashes()) },
      { "expected", ToText(static_cast<double>(expected) / kMillionths) },
      { "chance", ToText(chance) } });
  // Tasks that last are restarted however they end; isolation contains them.
  if (counted.mCrashes.IsCause(members, task.mMemberCrashes) &&
      !job->StepOf(index).IsLongRunning()) {
    ++mJobsCrashingWorkers;
    TerminateJob(
      *job,
      JobPhase::kFailed,
      aNow,
      { { "reason", "crashes" },
        { "task", job->IdOf(index).Text() },
        { "run", std::to_string(aRun.mRun) },
        { "crashes", std::to_string(counted.mCrashes.Suspect().Crashes()) },
        { "of_member", std::to_string(task.mMemberCrashes.Crashes()) },
        { "chance", ToText(chance) },
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
  const CrashCount& crashes = aJob.CrashesOf(aTask);
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
    aJob.mCountedCrashes.erase(counted);
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
