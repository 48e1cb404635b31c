#include "SchedulerImpl.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Age of a job up to which capacity that was freed for one of its units by
 * preemption stays reserved for that unit.
 */
constexpr Millis kMaxNominationAge{ 5'000 };
/**
 * Time that a unit waits for capacity on other workers than those on which its
 * last runs failed; there may be no other worker that can run it.
 */
constexpr Millis kMaxAvoidanceTime{ 1'500 };
/**
 * Time that a unit waits for workers of its own; there may be none, although
 * most of the capacity is free.
 */
constexpr Millis kMaxIsolationWait{ 2'000 };
/** A late result still has value up to this multiple of the objective. */
constexpr int kExpiryObjectives = 3;

/** @return Time since a run of the task was last reported; 0 if unknown. */
Millis
TimeSinceReport(const Task& aTask, Millis aNow)
{
  return aTask.mReportedAt.count() > 0 ? aNow - aTask.mReportedAt : Millis(0);
}

} // namespace

std::int64_t
Scheduler::Impl::GuaranteeOf(const std::string& aOrganisation) const
{
  const auto it = mGuarantees.find(aOrganisation);
  return it != mGuarantees.end() ? it->second : 0;
}

/**
 * @return Due occurrences of urgent jobs (priority 0) that their organisations'
 *   guarantees cover. Each guarantee is given to those that were due first; one
 *   that does not fit into the rest is skipped.
 */
std::set<OccurrenceKey>
Scheduler::Impl::GuaranteedOccurrences(Millis aNow) const
{
  std::vector<std::pair<Millis, OccurrenceKey>> urgent;
  for (const auto& [id, job] : mJobs) {
    if (job.mJob.Settings().mPriority != 0 || IsFinal(job.mPhase)) {
      continue;
    }
    for (std::size_t k = 0; k < job.mJob.Occurrences() && IsDue(job, k, aNow);
         ++k) {
      if (!job.IsOccurrenceDone(k)) {
        urgent.emplace_back(DueSince(job, k), OccurrenceKey{ id, k });
      }
    }
  }
  std::sort(urgent.begin(), urgent.end());
  std::map<std::string, std::int64_t> used;
  std::set<OccurrenceKey> covered;
  for (const auto& [dueSince, key] : urgent) {
    const TaskJob& job = mJobs.at(key.first).mJob;
    std::int64_t& n = used[job.Organisation()];
    const std::int64_t peak = job.PeakAccelerators();
    if (n + peak <= GuaranteeOf(job.Organisation())) {
      n += peak;
      covered.insert(key);
    }
  }
  return covered;
}

/**
 * @return Local time from which an occurrence may run and its age counts: the
 *   submission of an unscheduled job, the due time of a scheduled one.
 */
Millis
Scheduler::Impl::DueSince(const JobState& aJob, std::size_t aOccurrence) const
{
  return aJob.mJob.IsScheduled()
           ? aJob.mJob.Timing().DueAt(aOccurrence) - mWallClockOffset
           : aJob.mSubmittedAt;
}

bool
Scheduler::Impl::IsDue(const JobState& aJob,
                       std::size_t aOccurrence,
                       Millis aNow) const
{
  return !aJob.mJob.IsScheduled() || DueSince(aJob, aOccurrence) <= aNow;
}

void
Scheduler::Impl::Plan(Millis aNow, Millis aWallClock)
{
  mPlannedAt = aNow;
  mWallClockOffset = aWallClock - aNow;
  RetryJobsSetAside(aNow);
  ExpireUnresponsiveWorkers(aNow);
  WithdrawEvacuatedRuns(aNow);
  ObserveWorkers(aNow);
  CheckProgress(aNow);
  ReportStalledJobs(aNow);
  QueryWorkersOnce(aNow);
  QueryIdleWorkers(aNow);
  mGuaranteed = GuaranteedOccurrences(aNow);
  ViewKeys keys;
  const PlanningView view = BuildView(keys, aNow);
  if (view.mWaiting.empty()) {
    return;
  }
  for (const PlanDecision& decision : mPolicy->Plan(view)) {
    Apply(decision, keys, aNow);
  }
}

PlanningView
Scheduler::Impl::BuildView(ViewKeys& aKeys, Millis aNow)
{
  PlanningView view;
  AddWorkers(view, aKeys, aNow);
  for (const auto& [id, job] : mJobs) {
    if (IsFinal(job.mPhase) || mSetAside.contains(id)) {
      continue;
    }
    AddWaiting(view, aKeys, job, aNow);
  }
  LimitIsolatedUnits(view, aKeys, aNow);
  if (!view.mWaiting.empty()) {
    AddRunning(view, aKeys, aNow);
  }
  return view;
}

void
Scheduler::Impl::AddWorkers(PlanningView& aView,
                            ViewKeys& aKeys,
                            Millis aNow) const
{
  const Millis suspectTime = SuspectTime(aNow);
  for (const auto& [id, worker] : mWorkers) {
    WorkerView view;
    view.mId = id;
    view.mService = worker.mInfo.mService;
    view.mRack = worker.mInfo.mRack;
    view.mLabels = worker.mInfo.mLabels;
    view.mCapacity = worker.mInfo.mCapacity;
    view.mFree = worker.Free();
    view.mSchedulable = IsSchedulable(worker, suspectTime, aNow);
    view.mRetryable = !view.mSchedulable && IsRetryable(worker, aNow);
    view.mFailureRate = worker.mConsecutiveFailures > 0 ? 1.0 : 0.0;
    view.mLogSpeed = worker.mSpeed.LogFactor();
    for (const auto& [jobId, index] : worker.mAssigned) {
      const JobState& job = mJobs.at(jobId);
      if (job.mTasks[index].mStopRequested) {
        view.mReleasing = view.mReleasing.Plus(job.StepOf(index).Demand());
      }
      if (IsSuspectRun(job, index)) {
        view.mHasSuspect = true;
        if (IsolationOf(job, index) == Isolation::kRequired) {
          view.mFree = Resources();
        }
      }
    }
    aView.mWorkers.push_back(std::move(view));
    aKeys.mPositions.emplace(id, aKeys.mWorkers.size());
    aKeys.mWorkers.push_back(id);
  }
}

void
Scheduler::Impl::AddRunning(PlanningView& aView,
                            ViewKeys& aKeys,
                            Millis aNow) const
{
  // The tasks of a gang form one unit; any other task is a unit of its own.
  std::map<TaskKey, std::size_t> units;
  for (const auto& [id, job] : mJobs) {
    for (std::size_t i = 0; i < job.mTasks.size(); ++i) {
      const Task& task = job.mTasks[i];
      if (!task.IsAssigned() || task.mStopRequested ||
          IsEndingSoon(job, i, aNow)) {
        continue;
      }
      const TaskKey first{ id,
                           job.StepOf(i).IsGang() ? job.StepRange(i).first
                                                  : i };
      const auto [it, isNew] = units.emplace(first, aView.mRunning.size());
      if (isNew) {
        RunningUnit unit;
        unit.mKey = aKeys.mRunning.size();
        unit.mPriority = job.mJob.Settings().mPriority;
        unit.mGuaranteed = mGuaranteed.contains({ id, job.OccurrenceOf(i) });
        aView.mRunning.push_back(std::move(unit));
        aKeys.mRunning.emplace_back();
      }
      RunningUnit& unit = aView.mRunning[it->second];
      unit.mAllocations.push_back(
        { aKeys.mPositions.at(task.mWorker), job.StepOf(i).Demand() });
      unit.mLostCoreSeconds += LostCoreSeconds(job, task, aNow);
      aKeys.mRunning[unit.mKey].push_back({ id, i });
    }
  }
}

void
Scheduler::Impl::AddWaiting(PlanningView& aView,
                            ViewKeys& aKeys,
                            const JobState& aJob,
                            Millis aNow) const
{
  for (std::size_t k = 0; k < aJob.mJob.Occurrences(); ++k) {
    if (!IsDue(aJob, k, aNow)) {
      return;
    }
    const std::size_t first = aView.mWaiting.size();
    for (std::size_t step = 0; step < aJob.mJob.Steps().size(); ++step) {
      if (aJob.IsStepReady(k, step)) {
        AddWaitingStep(aView, aKeys, aJob, aJob.FirstTask(k, step), aNow);
      }
    }
    const bool isRunning =
      first < aView.mWaiting.size() && aJob.IsAnyAssigned(k);
    for (std::size_t i = first; i < aView.mWaiting.size(); ++i) {
      WaitingUnit& unit = aView.mWaiting[i];
      unit.mHasRunningPeers = isRunning && !unit.mStep.IsLongRunning();
    }
  }
}

void
Scheduler::Impl::AddWaitingStep(PlanningView& aView,
                                ViewKeys& aKeys,
                                const JobState& aJob,
                                std::size_t aFirst,
                                Millis aNow) const
{
  const StepSpec& step = aJob.StepOf(aFirst);
  std::vector<TaskKey> waiting;
  for (std::size_t i = aFirst; i < aFirst + step.Tasks(); ++i) {
    const Task& task = aJob.mTasks[i];
    if (task.mPhase == TaskPhase::kWaiting &&
        !MayEarlierOwnerStart(task, aNow)) {
      waiting.push_back({ aJob.mJob.Id(), i });
    }
  }
  if (waiting.empty()) {
    return;
  }
  const StepExpectation expectation = ExpectStep(aJob, aFirst, aNow);
  if (step.IsGang()) {
    // A gang is placed again only when no member of its earlier run is
    // assigned.
    if (waiting.size() == step.Tasks()) {
      aView.mWaiting.push_back(
        MakeUnit(aJob, waiting, expectation, aKeys, aNow));
      aView.mWaiting.back().mStepGroup = aKeys.mWaiting.size();
      aKeys.mWaiting.push_back(std::move(waiting));
    }
    return;
  }
  const std::size_t group = aKeys.mWaiting.size();
  for (const TaskKey& key : waiting) {
    aView.mWaiting.push_back(MakeUnit(aJob, { key }, expectation, aKeys, aNow));
    aView.mWaiting.back().mStepGroup = group;
    aKeys.mWaiting.push_back({ key });
  }
}

WaitingUnit
Scheduler::Impl::MakeUnit(const JobState& aJob,
                          const std::vector<TaskKey>& aTasks,
                          const StepExpectation& aExpectation,
                          const ViewKeys& aKeys,
                          Millis aNow) const
{
  const std::size_t first = aTasks.front().second;
  const StepSpec& step = aJob.StepOf(first);
  const QueueSettings& settings = aJob.mJob.Settings();
  const Millis objective =
    Millis(static_cast<Millis::rep>(
      static_cast<double>(aExpectation.mCriticalPath.count()) *
      settings.mSlackFactor)) +
    settings.mTargetLatency;
  const Millis remaining = aExpectation.mRemaining;
  WaitingUnit unit(aKeys.mWaiting.size(), settings.mService, step);
  unit.mTasks = aTasks.size();
  unit.mPriority = settings.mPriority;
  const std::size_t occurrence = aJob.OccurrenceOf(first);
  unit.mGuaranteed = mGuaranteed.contains({ aJob.mJob.Id(), occurrence });
  unit.mAge = aNow - DueSince(aJob, occurrence);
  if (const auto it = mWaits.find(aTasks.front()); it != mWaits.end()) {
    unit.mWaitingTime = aNow - it->second.mSince;
  }
  unit.mDownTime =
    std::max(unit.mWaitingTime, TimeSinceReport(aJob.mTasks[first], aNow));
  unit.mIsolation = IsolationOf(aJob, first);
  if (unit.mIsolation == Isolation::kRequired &&
      unit.mWaitingTime >= kMaxIsolationWait) {
    unit.mIsolation = Isolation::kPreferred;
  }
  unit.mSlack = objective - unit.mAge - remaining;
  unit.mExpirySlack = objective * kExpiryObjectives - unit.mAge - remaining;
  unit.mExpectedRunTime = aExpectation.mRunTime.mExpected;
  const auto addPosition = [&aKeys](const std::string& aWorker,
                                    std::vector<std::size_t>& aPositions) {
    const auto it = aKeys.mPositions.find(aWorker);
    if (it != aKeys.mPositions.end()) {
      aPositions.push_back(it->second);
    }
  };
  const auto nomination = mNominations.find(aTasks.front());
  if (nomination != mNominations.end() && unit.mAge < kMaxNominationAge) {
    for (const std::string& worker : nomination->second) {
      addPosition(worker, unit.mNominatedWorkers);
    }
    if (unit.mNominatedWorkers.size() != unit.mTasks) {
      unit.mNominatedWorkers.clear();
    }
  }
  if (step.MaxPerWorker() > 0) {
    const auto [begin, end] = aJob.StepRange(first);
    for (std::size_t i = begin; i < end; ++i) {
      if (aJob.mTasks[i].IsAssigned()) {
        addPosition(aJob.mTasks[i].mWorker, unit.mPeerWorkers);
      }
    }
  }
  if (unit.mWaitingTime < kMaxAvoidanceTime) {
    for (const TaskKey& key : aTasks) {
      addPosition(aJob.mTasks[key.second].mAvoidedWorker, unit.mAvoidedWorkers);
    }
  }
  return unit;
}

void
Scheduler::Impl::Apply(const PlanDecision& aDecision,
                       const ViewKeys& aKeys,
                       Millis aNow)
{
  const std::vector<TaskKey>& tasks = aKeys.mWaiting[aDecision.mUnitKey];
  JobState& job = mJobs.at(tasks.front().first);
  const TaskId id = job.IdOf(tasks.front().second);
  EventFields fields{ { "task", id.Text() },
                      { "tasks", std::to_string(tasks.size()) },
                      { "reason", PlanReasonName(aDecision.mReason) },
                      { "age_ms",
                        std::to_string(
                          (aNow - DueSince(job, id.Occurrence())).count()) } };
  if (aDecision.mReason == PlanReason::kFits) {
    // The members of a gang get the same run number. They resume from the same
    // checkpoint, that of the member with the most progress.
    std::uint64_t run = 0;
    std::size_t furthest = tasks.front().second;
    for (const auto& [jobId, i] : tasks) {
      run = std::max(run, job.mTasks[i].mRun);
      if (!job.mTasks[i].mCheckpoint.empty() &&
          (job.mTasks[furthest].mCheckpoint.empty() ||
           job.mTasks[i].mProgressPercent >
             job.mTasks[furthest].mProgressPercent)) {
        furthest = i;
      }
    }
    const std::string checkpoint = job.mTasks[furthest].mCheckpoint;
    std::string workers;
    for (std::size_t n = 0; n < tasks.size(); ++n) {
      const std::string& worker = aKeys.mWorkers[aDecision.mWorkers[n]];
      ReplaceCheckpoint(job.mTasks[tasks[n].second], checkpoint);
      Assign(job, tasks[n].second, mWorkers.at(worker), run + 1);
      MarkChanged(job, tasks[n].second);
      workers += (workers.empty() ? "" : ",") + worker;
    }
    mWaits.erase(tasks.front());
    mNominations.erase(tasks.front());
    fields.emplace_back("run", std::to_string(run + 1));
    fields.emplace_back("workers", workers);
    const RunTimeEstimate expected = Expect(job, tasks.front().second);
    fields.emplace_back("expected_ms",
                        std::to_string(expected.mExpected.count()));
    fields.emplace_back("expected_p90_ms",
                        std::to_string(expected.mHigh.count()));
    fields.emplace_back("expected_by", RunTimeBasisName(expected.mBasis));
    fields.emplace_back("expected_runs",
                        std::to_string(std::lround(expected.mRuns)));
    RecordEvent(SchedulerEvent::Kind::kPlaced, std::move(fields));
    return;
  }
  if (aDecision.mReason == PlanReason::kPreempts) {
    std::vector<std::string>& nomination = mNominations[tasks.front()];
    nomination.clear();
    for (const std::size_t worker : aDecision.mWorkers) {
      nomination.push_back(aKeys.mWorkers[worker]);
    }
  }
  for (const std::size_t victim : aDecision.mVictims) {
    for (const auto& [jobId, i] : aKeys.mRunning[victim]) {
      JobState& other = mJobs.at(jobId);
      RecordEvent(SchedulerEvent::Kind::kPreempted,
                  { { "task", other.IdOf(i).Text() },
                    { "for", id.Text() },
                    { "queue", other.mJob.Settings().mQueue },
                    { "lost_core_s",
                      std::to_string(std::lround(
                        LostCoreSeconds(other, other.mTasks[i], aNow))) } });
      RequestStop(other, i, LossCause::kPreempted, aNow);
    }
  }
  const auto [it, isNew] =
    mWaits.emplace(tasks.front(), WaitState{ aDecision.mReason, aNow });
  // Logs the first task of a step, and any task whose reason changes.
  if ((isNew && id.Index() == 0) || it->second.mReason != aDecision.mReason) {
    it->second.mReason = aDecision.mReason;
    RecordEvent(SchedulerEvent::Kind::kWaits, std::move(fields));
  }
}

} // namespace cornelrudder::state::scheduling
