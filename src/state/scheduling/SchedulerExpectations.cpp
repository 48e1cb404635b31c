#include "SchedulerImpl.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

/** Variance of the logarithm of a speed that is read from progress reports. */
constexpr double kProgressVariance = 0.05;

/** Progress from which its rate is accurate enough; it is a whole percent. */
constexpr int kMinNotedPercent = 10;

} // namespace

RunTimeFeatures
Scheduler::Impl::FeaturesOf(const JobState& aJob, std::size_t aStep)
{
  const StepSpec& step = aJob.mJob.Steps()[aStep];
  return { aJob.mJob.Settings().mQueue,
           step.Demand().Accelerators(),
           aStep,
           step.Tasks(),
           step.EstimatedRunTime(),
           aJob.mStepRuns[aStep] };
}

/** @return Expected run time of a task on a worker of usual speed. */
RunTimeEstimate
Scheduler::Impl::Expect(const JobState& aJob, std::size_t aTask) const
{
  return mRunTimes->Predict(FeaturesOf(aJob, aJob.StepAndIndexOf(aTask).first));
}

/** @param aFirst First task of the step in its occurrence. */
Scheduler::Impl::StepExpectation
Scheduler::Impl::ExpectStep(const JobState& aJob,
                            std::size_t aFirst,
                            Millis aNow) const
{
  const std::size_t position = aJob.StepAndIndexOf(aFirst).first;
  const std::vector<StepSpec>& steps = aJob.mJob.Steps();
  StepExpectation result;
  if (!mRunTimes->IsLearning()) {
    result.mRunTime = Expect(aJob, aFirst);
    result.mCriticalPath =
      std::max(result.mRunTime.mExpected, aJob.mJob.EstimatedCriticalPath());
    result.mRemaining = result.mRunTime.mExpected;
    return result;
  }
  // Runs of the step that already exceed the expectation raise it.
  RunTimeFeatures features = FeaturesOf(aJob, position);
  for (std::size_t i = aFirst; i < aFirst + steps[position].Tasks(); ++i) {
    const Task& task = aJob.mTasks[i];
    if (task.mPhase == TaskPhase::kRunning && task.mStartedFromScratch &&
        task.mRunningSince.count() > 0 && !steps[position].IsGang()) {
      features.mStepRuns = mRunTimes->Observe(
        features, { aNow - task.mRunningSince, SpeedOf(task.mWorker), true });
    }
  }
  result.mRunTime = mRunTimes->Predict(features);
  // Longest chain up to the end of each step, and from this step on.
  std::vector<Millis> ends(steps.size());
  std::vector<Millis> remaining(steps.size(), Millis(-1));
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const Millis time = i == position
                          ? result.mRunTime.mExpected
                          : mRunTimes->Predict(FeaturesOf(aJob, i)).mExpected;
    Millis start{ 0 };
    for (const std::size_t earlier : steps[i].Dependencies()) {
      start = std::max(start, ends[earlier]);
      if (remaining[earlier].count() >= 0) {
        remaining[i] = std::max(remaining[i], remaining[earlier] + time);
      }
    }
    if (i == position) {
      remaining[i] = time;
    }
    ends[i] = start + time;
    result.mCriticalPath = std::max(result.mCriticalPath, ends[i]);
    result.mRemaining = std::max(result.mRemaining, remaining[i]);
  }
  return result;
}

double
Scheduler::Impl::SpeedOf(const std::string& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() ? it->second.mSpeed.Factor() : 1.0;
}

/** @return Speed at which a run works: that of the slowest worker of a gang. */
double
Scheduler::Impl::SpeedOfRun(const JobState& aJob, std::size_t aTask) const
{
  double speed = SpeedOf(aJob.mTasks[aTask].mWorker);
  if (aJob.StepOf(aTask).IsGang()) {
    const auto [first, end] = aJob.StepRange(aTask);
    for (std::size_t i = first; i < end; ++i) {
      speed = std::min(speed, SpeedOf(aJob.mTasks[i].mWorker));
    }
  }
  return speed;
}

/** Learns from a run that has completed its task without checkpoints. */
void
Scheduler::Impl::RecordRun(JobState& aJob, std::size_t aTask, Millis aTime)
{
  const std::size_t step = aJob.StepAndIndexOf(aTask).first;
  const RunTimeFeatures features = FeaturesOf(aJob, step);
  if (!mRunTimes->IsLearning()) {
    mRunTimes->Record(features, { aTime, 1.0, false });
    return;
  }
  const bool isGang = aJob.StepOf(aTask).IsGang();
  if (isGang && aTask != aJob.StepRange(aTask).first) {
    return;
  }
  const RunObservation run{ aTime, SpeedOfRun(aJob, aTask), false };
  const RunTimeEstimate expected = mRunTimes->Predict(features);
  mRunTimes->Record(features, run);
  aJob.mStepRuns[step] = mRunTimes->Observe(features, run);
  const auto worker = mWorkers.find(aJob.mTasks[aTask].mWorker);
  if (isGang || worker == mWorkers.end() || aTime.count() <= 0 ||
      expected.mExpected.count() <= 0) {
    return;
  }
  // The runs of a step share the error of its expectation, so that error counts
  // as often as the step has tasks.
  const double variance =
    expected.mStepVariance * static_cast<double>(features.mTasks) +
    expected.mTaskVariance;
  worker->second.mSpeed = worker->second.mSpeed.With(
    std::log(static_cast<double>(expected.mExpected.count()) /
             static_cast<double>(aTime.count())),
    variance);
}

/** Learns from a run that was stopped or lost: its work takes longer. */
void
Scheduler::Impl::RecordUnfinishedRun(JobState& aJob, std::size_t aTask)
{
  const Task& task = aJob.mTasks[aTask];
  const StepSpec& spec = aJob.StepOf(aTask);
  const bool isTimeKnown = task.mStartedFromScratch &&
                           task.mRunningSince.count() > 0 &&
                           task.mReportedAt > task.mRunningSince;
  if (!mRunTimes->IsLearning() || !isTimeKnown || spec.IsLongRunning() ||
      spec.IsGang()) {
    return;
  }
  const std::size_t step = aJob.StepAndIndexOf(aTask).first;
  const RunTimeFeatures features = FeaturesOf(aJob, step);
  const RunObservation run{ task.mReportedAt - task.mRunningSince,
                            SpeedOf(task.mWorker),
                            true };
  mRunTimes->Record(features, run);
  aJob.mStepRuns[step] = mRunTimes->Observe(features, run);
}

/**
 * Updates the speed of a worker from the progress of a run, once for each run.
 * @param aShare Rate of the run relative to the usual rate of its step.
 */
void
Scheduler::Impl::NoteSpeed(WorkerState& aWorker, Task& aTask, double aShare)
{
  if (mRunTimes->IsLearning() && !aTask.mIsSpeedNoted &&
      aTask.mProgressPercent >= kMinNotedPercent) {
    aTask.mIsSpeedNoted = true;
    aWorker.mSpeed = aWorker.mSpeed.With(std::log(aShare), kProgressVariance);
  }
}

} // namespace cornelrudder::state::scheduling
