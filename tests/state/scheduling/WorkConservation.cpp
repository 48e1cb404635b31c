#include "FleetModel.h"

#include <algorithm>

/**
 * @file
 * Work conservation check of the fleet model: while most capacity is free, no
 * accepted job waits for long.
 */

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

/** Longest time that a job may wait while capacity is free. */
constexpr milliseconds kMaxIdleTime{ 3'000 };
/**
 * Time after the end of a fault that the check leaves out. The lease of a run
 * that was lost at the end of the fault expires within it.
 */
constexpr milliseconds kFaultGrace{ 7'000 };

/** @return Number of tasks with a demand that fit into a capacity. */
std::size_t
CountFits(const Resources& aDemand, Resources aCapacity, std::size_t aLimit)
{
  std::size_t n = 0;
  while (n < aLimit && aDemand.FitsIn(aCapacity)) {
    aCapacity = aCapacity.Minus(aDemand);
    ++n;
  }
  return n;
}

} // namespace

bool
FleetModel::IsFaultInForce() const
{
  return !mStoreUp || mStartsToDelay > 0 ||
         std::any_of(
           mWorkers.begin(), mWorkers.end(), [](const ModelWorker& aWorker) {
             return !aWorker.mReachable || !aWorker.mListed ||
                    aWorker.mFailing || aWorker.mStalled ||
                    aWorker.mRejecting || aWorker.mSlowdown != 1.0;
           });
}

Resources
FleetModel::UsedOn(const ModelWorker& aWorker) const
{
  Resources used;
  for (const ModelRun& run : aWorker.mRuns) {
    used = used.Plus(StepOf(run).Demand());
  }
  return used;
}

bool
FleetModel::IsMostCapacityFree() const
{
  Resources used;
  Resources total;
  for (const ModelWorker& worker : mWorkers) {
    if (!worker.mInfo.mDraining) {
      used = used.Plus(UsedOn(worker));
      total = total.Plus(worker.mInfo.mCapacity);
    }
  }
  return used.Plus(used).FitsIn(total);
}

bool
FleetModel::IsStepReady(const TaskJob& aJob, std::size_t aStep) const
{
  const auto isCompleted = [&](std::size_t aOther) {
    for (std::size_t i = 0; i < aJob.Steps()[aOther].Tasks(); ++i) {
      if (!mCompletedTasks.contains({ aJob.Id(), 0, aOther, i })) {
        return false;
      }
    }
    return true;
  };
  const auto& dependencies = aJob.Steps()[aStep].Dependencies();
  return !isCompleted(aStep) &&
         std::all_of(dependencies.begin(), dependencies.end(), isCompleted);
}

bool
FleetModel::HasCapacityTwice(const TaskJob& aJob, std::size_t aStep) const
{
  const StepSpec& step = aJob.Steps()[aStep];
  const std::size_t needed = 2 * (step.IsGang() ? step.Tasks() : 1);
  const std::size_t limit =
    step.MaxPerWorker() > 0 ? step.MaxPerWorker() : needed;
  std::size_t fits = 0;
  for (const ModelWorker& worker : mWorkers) {
    const bool hasLabel =
      step.RequiredLabel().empty() ||
      std::find(worker.mInfo.mLabels.begin(),
                worker.mInfo.mLabels.end(),
                step.RequiredLabel()) != worker.mInfo.mLabels.end();
    if (hasLabel && !worker.mInfo.mDraining) {
      fits += CountFits(
        step.Demand(), worker.mInfo.mCapacity.Minus(UsedOn(worker)), limit);
    }
  }
  return fits >= needed;
}

/** @return Whether a job has no run although one of its steps could run. */
bool
FleetModel::CouldRun(const TaskJob& aJob) const
{
  for (const ModelWorker& worker : mWorkers) {
    for (const ModelRun& run : worker.mRuns) {
      if (run.mTask.Job() == aJob.Id()) {
        return false;
      }
    }
  }
  for (std::size_t i = 0; i < aJob.Steps().size(); ++i) {
    if (IsStepReady(aJob, i) && HasCapacityTwice(aJob, i)) {
      return true;
    }
  }
  return false;
}

/** Checks tasks that last and are down, however full the fleet is. */
void
FleetModel::CheckLastingTasks()
{
  std::set<TaskId> running;
  for (const ModelWorker& worker : mWorkers) {
    for (const ModelRun& run : worker.mRuns) {
      running.insert(run.mTask);
    }
  }
  for (const auto& [id, job] : mJobs) {
    for (std::size_t step = 0; step < job.Steps().size(); ++step) {
      const bool isDue = job.Steps()[step].IsLongRunning() &&
                         !mCancelled.contains(id) && IsStepReady(job, step) &&
                         HasCapacityTwice(job, step);
      for (std::size_t i = 0; i < job.Steps()[step].Tasks(); ++i) {
        const TaskId task(id, 0, step, i);
        if (!isDue || running.contains(task)) {
          mDownSince.erase(task);
          continue;
        }
        const milliseconds since = mDownSince.emplace(task, mNow).first->second;
        if (mNow - since >= kMaxIdleTime) {
          RecordViolation(task.Text() + " is down although there is capacity");
          mDownSince.erase(task);
        }
      }
    }
  }
}

void
FleetModel::CheckWorkConservation()
{
  if (IsFaultInForce()) {
    RecordFault();
  }
  if (mNow < mLastFaultAt + kFaultGrace) {
    mDownSince.clear();
    mIdleSince.clear();
    return;
  }
  CheckLastingTasks();
  if (!IsMostCapacityFree()) {
    mIdleSince.clear();
    return;
  }
  for (const auto& [id, job] : mJobs) {
    const bool isOver =
      mCancelled.contains(id) || IsFinal(mOutcomes[id].mPhase);
    if (isOver || !CouldRun(job)) {
      mIdleSince.erase(id);
      continue;
    }
    const milliseconds since = mIdleSince.emplace(id, mNow).first->second;
    if (mNow - since >= kMaxIdleTime) {
      RecordViolation(id + " waits although most capacity is free");
      mIdleSince.erase(id);
    }
  }
}

} // namespace cornelrudder::tests
