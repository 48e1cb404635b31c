#include "RunTimes.h"

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Weight of a new value in the moving average, which covers about the last
 * twenty runs.
 */
constexpr double kWeight = 0.05;

} // namespace

void
RunTimes::Record(const std::string& aQueue, std::chrono::milliseconds aTime)
{
  const auto time = static_cast<double>(aTime.count());
  const auto [it, isNew] = mMeans.emplace(aQueue, time);
  if (!isNew) {
    it->second += kWeight * (time - it->second);
  }
}

std::chrono::milliseconds
RunTimes::ExpectedRunTime(const std::string& aQueue,
                          std::chrono::milliseconds aEstimate) const
{
  const std::chrono::milliseconds mean = Mean(aQueue);
  if (mean.count() == 0) {
    return aEstimate;
  }
  return aEstimate.count() == 0 ? mean : (mean + aEstimate) / 2;
}

std::chrono::milliseconds
RunTimes::Mean(const std::string& aQueue) const
{
  const auto it = mMeans.find(aQueue);
  return std::chrono::milliseconds(
    it != mMeans.end() ? static_cast<std::int64_t>(it->second) : 0);
}

} // namespace cornelrudder::state::scheduling
