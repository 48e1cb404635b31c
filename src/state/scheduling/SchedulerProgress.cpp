#include "SchedulerImpl.h"

#include <algorithm>
#include <span>

namespace cornelrudder::state::scheduling {

namespace {

/** How often progress is looked at: reports are no more frequent. */
constexpr Millis kWatchEvery{ 100 };
/**
 * Time without progress that may be a stall: a run that is ten times slower
 * than usual still gains a percent in it.
 */
constexpr Millis kMinStall{ 1'500 };
/** The same for a run whose begin an earlier owner saw. */
constexpr Millis kRecoveredStall{ 3'000 };
/** Longest time that a caller is left with a run without progress. */
constexpr Millis kMaxStall{ 8'000 };
/** Runs that tell the usual rate of a step. */
constexpr std::size_t kMinRates = 3;
/** Time after which the progress of a run tells its rate. */
constexpr Millis kMinRateTime{ 600 };
/** Workers differ by a factor of 1.6; a run below this share is slow. */
constexpr double kSlowShare = 0.4;
/** How long a worker with slow runs gets no new ones after a look. */
constexpr Millis kSluggishTime{ 1'500 };
/** What a stop and a new start take. */
constexpr Millis kMoveTime{ 1'000 };
/**
 * Time by which a run has to miss the leaving of its worker: the told time is
 * the shortest one, and work that is nearly done is worth a try.
 */
constexpr Millis kMinOverrun{ 500 };
constexpr int kWorkPerOverrun = 4;
/** Age up to which any slow run may be moved: two reports tell its rate. */
constexpr Millis kEarlyRun{ 2'000 };

/** @return Percent of its work that a run does in a second. */
double
RateOf(const Task& aTask, Millis aBegin)
{
  return 1'000.0 * static_cast<double>(aTask.mProgressPercent) /
         static_cast<double>((aTask.mReportedAt - aBegin).count());
}

/** @return Time for an amount of percent at a rate. */
Millis
TimeFor(double aPercent, double aRate)
{
  return Millis(static_cast<Millis::rep>(1'000.0 * aPercent / aRate));
}

/** @return When a run began to work, or 0 if that is not known. */
Millis
BeginOf(const Task& aTask, Millis aStepBegin)
{
  return aTask.mRunningSince.count() > 0
           ? std::max(aTask.mRunningSince, aStepBegin)
           : Millis(0);
}

bool
HasRate(const Task& aTask, Millis aStepBegin)
{
  const Millis begin = BeginOf(aTask, aStepBegin);
  return aTask.mPhase == TaskPhase::kRunning && aTask.mStartedAnew &&
         begin.count() > 0 && aTask.mReportedAt - begin >= kMinRateTime;
}

bool
IsRunning(const Task& aTask)
{
  return aTask.mPhase == TaskPhase::kRunning;
}

/** @return Median of the runs' percent per second; 0 if too few are known. */
double
UsualRate(std::span<const Task> aTasks, Millis aStepBegin)
{
  std::vector<double> rates;
  for (const Task& task : aTasks) {
    if (HasRate(task, aStepBegin)) {
      rates.push_back(RateOf(task, BeginOf(task, aStepBegin)));
    }
  }
  if (rates.size() < kMinRates) {
    return 0.0;
  }
  const auto middle =
    rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

/** @return Whether a slow run would end sooner elsewhere, at little loss. */
bool
IsWorthMoving(const Task& aTask, Millis aBegin, double aUsualRate, Millis aNow)
{
  const Millis anew = TimeFor(kWholeWork, aUsualRate) + kMoveTime;
  // The slowness may pass: a run is moved only while little of it is lost.
  if (aNow - aBegin >= std::max(anew / 2, kEarlyRun)) {
    return false;
  }
  const double rate = RateOf(aTask, aBegin);
  return rate <= 0.0 ||
         TimeFor(kWholeWork - aTask.mProgressPercent, rate) > anew;
}

/**
 * @return Time without progress after which a run is moved: as long as its
 * work so far took, since that is what a move loses. A run that resumes soon
 * is then not thrown away, and one that does not costs twice its work at most.
 */
Millis
StallLimit(const Task& aTask, bool aIsCheckpointing, Millis aBegin)
{
  if (aBegin.count() == 0) {
    return kRecoveredStall;
  }
  const Millis kept =
    aIsCheckpointing ? std::max(aBegin, aTask.mCheckpointAt) : aBegin;
  return std::clamp(aTask.mProgressAt - kept, kMinStall, kMaxStall);
}

} // namespace

void
Scheduler::Impl::WatchProgress(Millis aNow)
{
  if (aNow < mNextWatch) {
    return;
  }
  mNextWatch = aNow + kWatchEvery;
  for (auto& [id, job] : mJobs) {
    for (std::size_t i = 0; i < job.mTasks.size();) {
      const auto [first, end] = job.StepRange(i);
      if (!job.StepOf(first).IsLongRunning()) {
        WatchStep(job, first, end, aNow);
      }
      i = end;
    }
  }
}

void
Scheduler::Impl::WatchStep(JobState& aJob,
                           std::size_t aFirst,
                           std::size_t aEnd,
                           Millis aNow)
{
  const std::span<const Task> tasks(aJob.mTasks.data() + aFirst, aEnd - aFirst);
  StepProgress step;
  if (aJob.StepOf(aFirst).IsGang()) {
    if (!std::all_of(tasks.begin(), tasks.end(), IsRunning)) {
      // The members that are there wait for the others.
      return;
    }
    for (const Task& task : tasks) {
      step.mBegin = std::max(step.mBegin, task.mRunningSince);
    }
  }
  step.mUsualRate = UsualRate(tasks, step.mBegin);
  for (std::size_t i = aFirst; i < aEnd; ++i) {
    const Task& task = aJob.mTasks[i];
    if (IsRunning(task) && !task.mStopWanted && !aJob.IsWaitingForGang(i)) {
      WatchRun(aJob, i, step, aNow);
    }
  }
}

void
Scheduler::Impl::WatchRun(JobState& aJob,
                          std::size_t aTask,
                          const StepProgress& aStep,
                          Millis aNow)
{
  const Task& task = aJob.mTasks[aTask];
  const auto it = mWorkers.find(task.mWorker);
  // Without reports, nothing is known of the progress.
  if (it == mWorkers.end() || it->second.mFailedRenewals > 0) {
    return;
  }
  WorkerState& worker = it->second;
  const Millis begin = BeginOf(task, aStep.mBegin);
  if (WouldBeLost(aJob, aTask, worker, begin, aNow)) {
    MoveRun(aJob, aTask, "worker_leaves", aNow);
    return;
  }
  const Millis stood = task.mReportedAt - std::max(task.mProgressAt, begin);
  const bool isStanding = stood > kMinStall;
  const bool isSlow = !isStanding && HasRate(task, aStep.mBegin) &&
                      RateOf(task, begin) < kSlowShare * aStep.mUsualRate;
  if (isStanding || isSlow) {
    worker.mSluggishUntil = aNow + kSluggishTime;
  }
  const bool isCheckpointing = aJob.StepOf(aTask).IsCheckpointing();
  if (isStanding && stood > StallLimit(task, isCheckpointing, begin)) {
    RecordFailure(worker, aJob, aNow);
    MoveRun(aJob, aTask, "stalled", aNow);
  } else if (isSlow && IsWorthMoving(task, begin, aStep.mUsualRate, aNow)) {
    RecordFailure(worker, aJob, aNow);
    MoveRun(aJob, aTask, "slow", aNow);
  }
}

/** @return Whether a run's worker leaves well before the run can end. */
bool
Scheduler::Impl::WouldBeLost(const JobState& aJob,
                             std::size_t aTask,
                             const WorkerState& aWorker,
                             Millis aBegin,
                             Millis aNow) const
{
  if (!aWorker.mInfo.mDraining || aWorker.mShutdownAt.count() == 0) {
    return false;
  }
  const Task& task = aJob.mTasks[aTask];
  const Millis worked =
    aBegin.count() > 0 ? task.mReportedAt - aBegin : Millis(0);
  const bool isRateKnown =
    task.mStartedAnew && worked >= kMinRateTime && task.mProgressPercent > 0;
  const Millis expected = mRunTimes.Expect(
    aJob.mJob.Settings().mQueue, aJob.StepOf(aTask).EstimatedRunTime());
  const Millis left =
    isRateKnown
      ? TimeFor(kWholeWork - task.mProgressPercent, RateOf(task, aBegin))
      : expected * (kWholeWork - task.mProgressPercent) / kWholeWork;
  const Millis overrun = aNow + left - aWorker.mShutdownAt;
  return overrun > std::max(kMinOverrun, worked / kWorkPerOverrun);
}

/** Stops a run so that its task starts on another worker. */
void
Scheduler::Impl::MoveRun(JobState& aJob,
                         std::size_t aTask,
                         const char* aReason,
                         Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  RecordEvent(
    SchedulerEvent::Kind::kRunMoved,
    { { "task", aJob.IdOf(aTask).Text() },
      { "run", std::to_string(task.mRun) },
      { "worker", task.mWorker },
      { "reason", aReason },
      { "percent", std::to_string(task.mProgressPercent) },
      { "stood_ms", std::to_string((aNow - task.mProgressAt).count()) },
      { "running_ms", std::to_string((aNow - task.mRunningSince).count()) } });
  task.mAvoidedWorker = task.mWorker;
  WantStop(aJob, aTask, aNow);
}

} // namespace cornelrudder::state::scheduling
