#include "TakeoverChecks.h"

namespace cornelrudder::tests {

std::string
TakeoverRun::Text() const
{
  return "run " + std::to_string(mRun) + " on " + mWorker + " by epoch " +
         std::to_string(mEpoch) + " ordered at " +
         std::to_string(mOrderedAt.count()) + " started at " +
         std::to_string(mStartedAt.count());
}

void
TakeoverChecks::BeginRun(const TakeoverRun& aRun)
{
  const std::string task = aRun.mTask.Text();
  mContext.Log(aRun.mWorker, "starts " + task + " " + aRun.Text());
  for (const auto& [key, run] : mRunning) {
    if (run.mTask == aRun.mTask) {
      mContext.Violate("two runs of " + task + ": " + run.Text() + "; " +
                       aRun.Text());
    }
  }
  if (mDoneTasks.contains(aRun.mTask)) {
    mContext.Violate("start after the acknowledged end of " + task + ": " +
                     aRun.Text());
  }
  mLastStarts[aRun.mTask] = mContext.Now();
  mRunning.emplace(std::pair(aRun.mWorkerNumber, aRun.mNumber), aRun);
}

void
TakeoverChecks::EndRun(const TakeoverRun& aRun)
{
  mRunning.erase({ aRun.mWorkerNumber, aRun.mNumber });
}

void
TakeoverChecks::AcknowledgeDone(const scheduling::TaskId& aTask,
                                const std::string& aWorker,
                                milliseconds aEndedAt)
{
  mDoneTasks.insert(aTask);
  if (mLastStarts[aTask] > aEndedAt) {
    mContext.Violate("start before the acknowledgement of the end of " +
                     aTask.Text() + " on " + aWorker);
  }
}

} // namespace cornelrudder::tests
