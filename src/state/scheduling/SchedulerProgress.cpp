#include "SchedulerImpl.h"

#include <algorithm>
#include <span>

namespace cornelrudder::state::scheduling {

namespace {

/** Interval of the progress checks; workers report no more often. */
constexpr Millis kProgressCheckInterval{ 100 };
/**
 * Shortest time without progress that counts as a stall: a run ten times slower
 * than usual still gains a percent within it.
 */
constexpr Millis kMinStallTime{ 1'500 };
/**
 * The same for a run of unknown start time: an earlier owner started it, and
 * its work is only estimated.
 */
constexpr Millis kMinRecoveredStallTime{ 3'000 };
/** Time without progress after which any run is moved. */
constexpr Millis kMaxStallTime{ 8'000 };
/**
 * Runs with a known rate that are needed to compute the median rate of a step.
 */
constexpr std::size_t kMinRateSamples = 3;
/** Run time from which the rate of a run can be computed from its progress. */
constexpr Millis kMinRateTime{ 600 };
/**
 * Share of the median rate below which a run counts as slow. Workers differ by
 * a factor of 1.6 in normal operation.
 */
constexpr double kSlowShare = 0.4;
/**
 * How long a worker gets no new runs after one of its runs was found slow or
 * stalled.
 */
constexpr Millis kSlowWorkerTime{ 1'500 };
/** Time for stopping a run and starting the next one. */
constexpr Millis kMoveTime{ 1'000 };
/**
 * A run is moved off a draining worker only if it would miss the shutdown by
 * this time, and by 1/kWorkPerOverrun of its run time so far: the announced
 * time is the earliest one, and a run that is nearly done may still complete.
 */
constexpr Millis kMinOverrun{ 500 };
constexpr int kWorkPerOverrun = 4;
/**
 * Time for stopping a run and learning of its end; a run that ends by itself
 * within it is not preempted. Less progress is too inaccurate to tell that.
 */
constexpr Millis kEndingTime{ 500 };
constexpr int kMinEndingPercent = 50;
/**
 * Age up to which any slow run may be moved. By that age, two renewal replies
 * have shown its rate.
 */
constexpr Millis kEarlyRunAge{ 2'000 };

/** @return Progress of a run in percent per second. */
double
RateOf(const Task& aTask, Millis aStartedAt)
{
  return 1'000.0 * static_cast<double>(aTask.mProgressPercent) /
         static_cast<double>((aTask.mReportedAt - aStartedAt).count());
}

/** @return Time for a share of the work at a rate in percent per second. */
Millis
TimeFor(double aPercent, double aRate)
{
  return Millis(static_cast<Millis::rep>(1'000.0 * aPercent / aRate));
}

/** @return When a run started to work, or 0 if unknown. */
Millis
WorkStartOf(const Task& aTask, Millis aStepStartedAt)
{
  return aTask.mRunningSince.count() > 0
           ? std::max(aTask.mRunningSince, aStepStartedAt)
           : Millis(0);
}

bool
HasRate(const Task& aTask, Millis aStepStartedAt)
{
  const Millis startedAt = WorkStartOf(aTask, aStepStartedAt);
  return aTask.mPhase == TaskPhase::kRunning && aTask.mStartedFromScratch &&
         startedAt.count() > 0 && aTask.mReportedAt - startedAt >= kMinRateTime;
}

bool
IsRunning(const Task& aTask)
{
  return aTask.mPhase == TaskPhase::kRunning;
}

/** @return Median, or 0 with fewer than kMinRateSamples rates. */
double
MedianRate(std::vector<double> aRates)
{
  if (aRates.size() < kMinRateSamples) {
    return 0.0;
  }
  const auto middle =
    aRates.begin() + static_cast<std::ptrdiff_t>(aRates.size() / 2);
  std::nth_element(aRates.begin(), middle, aRates.end());
  return *middle;
}

/**
 * @return Whether a slow run would complete earlier on another worker, with
 *   little work lost.
 */
bool
IsWorthMoving(const Task& aTask,
              Millis aStartedAt,
              double aMedianRate,
              Millis aNow)
{
  const Millis restartTime = TimeFor(kCompletePercent, aMedianRate) + kMoveTime;
  // The slowness may be temporary, so a run is moved only while little work is
  // lost.
  if (aNow - aStartedAt >= std::max(restartTime / 2, kEarlyRunAge)) {
    return false;
  }
  const double rate = RateOf(aTask, aStartedAt);
  return rate <= 0.0 ||
         TimeFor(kCompletePercent - aTask.mProgressPercent, rate) > restartTime;
}

/**
 * @return Whether the move of a run, whose worker is known to be slow, gains
 *   more time than the work that it loses has taken.
 */
bool
IsGainingByMove(const Task& aTask,
                Millis aStartedAt,
                double aMedianRate,
                Millis aNow)
{
  const double rate = RateOf(aTask, aStartedAt);
  const Millis restartTime = TimeFor(kCompletePercent, aMedianRate) + kMoveTime;
  return rate > 0.0 && TimeFor(kCompletePercent - aTask.mProgressPercent,
                               rate) > restartTime + (aNow - aStartedAt);
}

/**
 * @param aWorkedTime Estimated time that a run of unknown start has worked.
 * @return Time without progress after which a run is moved. Within fixed limits
 *   it equals the time that the run's unsaved work took, since a move loses
 * that work: a short stall does not discard much work, and a permanent one
 * wastes at most as much time again.
 */
Millis
StallLimit(const Task& aTask,
           bool aIsCheckpointing,
           Millis aStartedAt,
           Millis aWorkedTime)
{
  if (aStartedAt.count() == 0) {
    const Millis unsaved = aIsCheckpointing ? Millis(0) : aWorkedTime;
    return std::clamp(unsaved, kMinRecoveredStallTime, kMaxStallTime);
  }
  const Millis lossStart =
    aIsCheckpointing ? std::max(aStartedAt, aTask.mCheckpointAt) : aStartedAt;
  return std::clamp(
    aTask.mProgressAt - lossStart, kMinStallTime, kMaxStallTime);
}

} // namespace

void
Scheduler::Impl::CheckProgress(Millis aNow)
{
  if (aNow < mNextProgressCheck) {
    return;
  }
  mNextProgressCheck = aNow + kProgressCheckInterval;
  for (auto& [id, job] : mJobs) {
    for (std::size_t i = 0; i < job.mTasks.size();) {
      const auto [first, end] = job.StepRange(i);
      if (!job.StepOf(first).IsLongRunning()) {
        CheckStepProgress(job, first, end, aNow);
      }
      i = end;
    }
  }
}

void
Scheduler::Impl::CheckStepProgress(JobState& aJob,
                                   std::size_t aFirst,
                                   std::size_t aEnd,
                                   Millis aNow)
{
  const std::span<const Task> tasks(aJob.mTasks.data() + aFirst, aEnd - aFirst);
  StepProgress step;
  const bool isGang = aJob.StepOf(aFirst).IsGang();
  if (isGang) {
    if (!std::all_of(tasks.begin(), tasks.end(), IsRunning)) {
      // Running members make no progress until all members run.
      return;
    }
    for (const Task& task : tasks) {
      step.mStartedAt = std::max(step.mStartedAt, task.mRunningSince);
    }
  }
  std::vector<double> rates;
  for (const Task& task : tasks) {
    if (HasRate(task, step.mStartedAt)) {
      // All members of a gang work at the speed of the slowest worker.
      const double speed = isGang ? 1.0 : SpeedOf(task.mWorker);
      rates.push_back(RateOf(task, WorkStartOf(task, step.mStartedAt)) / speed);
    }
  }
  step.mMedianRate = MedianRate(std::move(rates));
  for (std::size_t i = aFirst; i < aEnd; ++i) {
    const Task& task = aJob.mTasks[i];
    if (IsRunning(task) && !task.mStopRequested && !aJob.IsWaitingForGang(i)) {
      CheckRunProgress(aJob, i, step, aNow);
    }
  }
}

void
Scheduler::Impl::CheckRunProgress(JobState& aJob,
                                  std::size_t aTask,
                                  const StepProgress& aStep,
                                  Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  const auto it = mWorkers.find(task.mWorker);
  // Without replies from the worker the progress is unknown.
  if (it == mWorkers.end() || it->second.mFailedRenewals > 0) {
    return;
  }
  WorkerState& worker = it->second;
  const Millis startedAt = WorkStartOf(task, aStep.mStartedAt);
  if (CannotFinishBeforeShutdown(aJob, aTask, worker, startedAt, aNow)) {
    MoveRun(aJob, aTask, LossCause::kWorkerLeaves, aNow);
    return;
  }
  const Millis stalledFor =
    task.mReportedAt - std::max(task.mProgressAt, startedAt);
  const bool isStalled = stalledFor > kMinStallTime;
  const bool isGang = aJob.StepOf(aTask).IsGang();
  const bool hasRate = !isStalled && HasRate(task, aStep.mStartedAt);
  const double rate = hasRate ? RateOf(task, startedAt) : 0.0;
  const double speed = isGang ? 1.0 : worker.mSpeed.Factor();
  const double slowRate = kSlowShare * aStep.mMedianRate;
  const bool isSlow = hasRate && rate < slowRate * speed;
  const bool isOnSlowWorker = hasRate && !isSlow && rate < slowRate;
  if (hasRate && !isSlow && !isGang && aStep.mMedianRate > 0.0) {
    NoteSpeed(worker, task, rate / aStep.mMedianRate);
  }
  if (isStalled || isSlow) {
    worker.mSlowUntil = aNow + kSlowWorkerTime;
  }
  const bool isCheckpointing = aJob.StepOf(aTask).IsCheckpointing();
  const Millis stallLimit =
    StallLimit(task, isCheckpointing, startedAt, WorkedTime(aJob, aTask, aNow));
  if (isStalled && stalledFor > stallLimit) {
    RecordFailure(worker, aJob, aNow);
    MoveRun(aJob, aTask, LossCause::kStalled, aNow);
  } else if (isSlow &&
             IsWorthMoving(task, startedAt, aStep.mMedianRate, aNow)) {
    RecordFailure(worker, aJob, aNow);
    MoveRun(aJob, aTask, LossCause::kSlow, aNow);
  } else if (isOnSlowWorker &&
             IsGainingByMove(task, startedAt, aStep.mMedianRate, aNow)) {
    MoveRun(aJob, aTask, LossCause::kSlow, aNow);
  }
}

/**
 * @return Whether a run is expected to end by itself before a stop would free
 *   its capacity. A run that is overdue is not.
 */
bool
Scheduler::Impl::IsEndingSoon(const JobState& aJob,
                              std::size_t aTask,
                              Millis aNow) const
{
  if (!mRunTimes->IsLearning() ||
      aJob.mTasks[aTask].mProgressPercent < kMinEndingPercent) {
    return false;
  }
  // The members of a gang end together.
  const Task& task = aJob.mTasks[aJob.CountedTask(aTask)];
  if (!HasRate(task, Millis(0)) || task.mProgressPercent < kMinEndingPercent) {
    return false;
  }
  const Millis end =
    task.mReportedAt + TimeFor(kCompletePercent - task.mProgressPercent,
                               RateOf(task, task.mRunningSince));
  return end >= aNow && end - aNow <= kEndingTime;
}

/**
 * @return Whether a run's worker is expected to shut down well before the run
 *   completes.
 */
bool
Scheduler::Impl::CannotFinishBeforeShutdown(const JobState& aJob,
                                            std::size_t aTask,
                                            const WorkerState& aWorker,
                                            Millis aStartedAt,
                                            Millis aNow) const
{
  if (!aWorker.mInfo.mDraining || aWorker.mShutdownAt.count() == 0) {
    return false;
  }
  const Task& task = aJob.mTasks[aTask];
  const Millis workedFor =
    aStartedAt.count() > 0 ? task.mReportedAt - aStartedAt : Millis(0);
  const bool isRateKnown = task.mStartedFromScratch &&
                           workedFor >= kMinRateTime &&
                           task.mProgressPercent > 0;
  const Millis expected(static_cast<Millis::rep>(
    static_cast<double>(Expect(aJob, aTask).mExpected.count()) /
    SpeedOfRun(aJob, aTask)));
  const Millis remaining =
    isRateKnown ? TimeFor(kCompletePercent - task.mProgressPercent,
                          RateOf(task, aStartedAt))
                : expected * (kCompletePercent - task.mProgressPercent) /
                    kCompletePercent;
  const Millis overrun = aNow + remaining - aWorker.mShutdownAt;
  return overrun > std::max(kMinOverrun, workedFor / kWorkPerOverrun);
}

/** Stops a run so that its task is started on another worker. */
void
Scheduler::Impl::MoveRun(JobState& aJob,
                         std::size_t aTask,
                         LossCause aCause,
                         Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  RecordEvent(
    SchedulerEvent::Kind::kRunMoved,
    { { "task", aJob.IdOf(aTask).Text() },
      { "run", std::to_string(task.mRun) },
      { "worker", task.mWorker },
      { "reason", LossCauseName(aCause) },
      { "percent", std::to_string(task.mProgressPercent) },
      { "stood_ms", std::to_string((aNow - task.mProgressAt).count()) },
      { "running_ms", std::to_string((aNow - task.mRunningSince).count()) } });
  task.mAvoidedWorker = task.mWorker;
  RequestStop(aJob, aTask, aCause, aNow);
}

} // namespace cornelrudder::state::scheduling
