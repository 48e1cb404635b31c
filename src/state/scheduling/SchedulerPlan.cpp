#include "SchedulerImpl.h"
#include "UnitLimits.h"

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
/** Waiting tasks of a step up to which its slots are not counted. */
constexpr std::size_t kMinLimitedTasks = 64;

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
  AdmitDeferred();
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
  std::vector<WaitingStep> steps;
  for (const auto& [id, job] : mJobs) {
    if (IsFinal(job.mPhase) || mSetAside.contains(id)) {
      continue;
    }
    CollectWaiting(steps, view.mWorkers, job, aNow);
  }
  std::vector<std::size_t> counts;
  counts.reserve(steps.size());
  for (const WaitingStep& step : steps) {
    counts.push_back(step.Units());
  }
  const std::size_t share = EvenShare(std::move(counts), kMaxWaitingUnits);
  for (const WaitingStep& step : steps) {
    AddWaitingStep(view, aKeys, step, share, aNow);
  }
  mPlannedUnits = view.mWaiting.size();
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
Scheduler::Impl::CollectWaiting(std::vector<WaitingStep>& aSteps,
                                std::span<const WorkerView> aWorkers,
                                const JobState& aJob,
                                Millis aNow) const
{
  for (std::size_t k = 0; k < aJob.mJob.Occurrences(); ++k) {
    if (!IsDue(aJob, k, aNow)) {
      return;
    }
    const std::size_t first = aSteps.size();
    for (std::size_t step = 0; step < aJob.mJob.Steps().size(); ++step) {
      if (!aJob.IsStepReady(k, step)) {
        continue;
      }
      WaitingStep waiting{ &aJob, aJob.FirstTask(k, step), {}, false };
      waiting.mTasks = WaitingTasks(aJob, waiting.mFirst, aWorkers, aNow);
      if (!waiting.mTasks.empty()) {
        aSteps.push_back(std::move(waiting));
      }
    }
    const bool isRunning = first < aSteps.size() && aJob.IsAnyAssigned(k);
    for (std::size_t i = first; i < aSteps.size(); ++i) {
      aSteps[i].mHasRunningPeers = isRunning;
    }
  }
}

/**
 * @return Waiting tasks of a step: all members of a gang, or none. Those beyond
 *   the slots of the step, which a pass could not place, are left out.
 */
std::vector<std::size_t>
Scheduler::Impl::WaitingTasks(const JobState& aJob,
                              std::size_t aFirst,
                              std::span<const WorkerView> aWorkers,
                              Millis aNow) const
{
  const StepSpec& step = aJob.StepOf(aFirst);
  std::size_t slots = step.Tasks();
  if (!step.IsGang() && step.Tasks() > kMinLimitedTasks) {
    slots = std::max(
      TaskSlots(
        aWorkers, aJob.mJob.Settings().mService, step, kMaxWaitingUnits),
      kMinLimitedTasks);
  }
  std::vector<std::size_t> waiting;
  for (std::size_t i = aFirst; i < aFirst + step.Tasks(); ++i) {
    const Task& task = aJob.mTasks[i];
    if (task.mPhase != TaskPhase::kWaiting ||
        MayEarlierOwnerStart(task, aNow)) {
      continue;
    }
    if (IsPlannedLikePeers(aJob, i)) {
      if (slots == 0) {
        continue;
      }
      --slots;
    }
    waiting.push_back(i);
  }
  // A gang is placed again only when no member of its earlier run is assigned.
  if (step.IsGang() && waiting.size() < step.Tasks()) {
    waiting.clear();
  }
  return waiting;
}

/** @return Whether nothing tells a waiting task from others of its step. */
bool
Scheduler::Impl::IsPlannedLikePeers(const JobState& aJob,
                                    std::size_t aTask) const
{
  return aJob.mTasks[aTask].mAvoidedWorker.empty() &&
         IsolationOf(aJob, aTask) == Isolation::kNone &&
         (mNominations.empty() ||
          !mNominations.contains({ aJob.mJob.Id(), aTask }));
}

/** @param aShare Limit of the units; the tasks nearest to a start come first.
 */
void
Scheduler::Impl::AddWaitingStep(PlanningView& aView,
                                ViewKeys& aKeys,
                                const WaitingStep& aStep,
                                std::size_t aShare,
                                Millis aNow) const
{
  const JobState& job = *aStep.mJob;
  const StepSpec& step = job.StepOf(aStep.mFirst);
  const StepExpectation expectation = ExpectStep(job, aStep.mFirst, aNow);
  const std::size_t group = aKeys.mWaiting.size();
  const auto add = [&](std::vector<TaskKey> aTasks) {
    aView.mWaiting.push_back(MakeUnit(job, aTasks, expectation, aKeys, aNow));
    aView.mWaiting.back().mStepGroup = group;
    aView.mWaiting.back().mHasRunningPeers =
      aStep.mHasRunningPeers && !step.IsLongRunning();
    aKeys.mWaiting.push_back(std::move(aTasks));
  };
  if (step.IsGang()) {
    std::vector<TaskKey> members;
    members.reserve(aStep.mTasks.size());
    for (const std::size_t i : aStep.mTasks) {
      members.emplace_back(job.mJob.Id(), i);
    }
    add(std::move(members));
    return;
  }
  std::vector<std::size_t> tasks = aStep.mTasks;
  if (tasks.size() > aShare) {
    // Tasks that wait for workers of their own must not take all of the share.
    const auto rank = [&](std::size_t aTask) {
      const bool isNominated = mNominations.contains({ job.mJob.Id(), aTask });
      return std::make_pair(!isNominated,
                            IsolationOf(job, aTask) == Isolation::kRequired);
    };
    std::stable_sort(
      tasks.begin(), tasks.end(), [&](std::size_t aOne, std::size_t aTwo) {
        return rank(aOne) < rank(aTwo);
      });
    tasks.resize(aShare);
  }
  for (const std::size_t i : tasks) {
    add({ { job.mJob.Id(), i } });
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
