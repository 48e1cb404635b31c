#include "MeanRunTimes.h"

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Weight of a new value in the moving average, which covers about the last
 * twenty runs.
 */
constexpr double kWeight = 0.05;

} // namespace

RunTimeEstimate
MeanRunTimes::Predict(const RunTimeFeatures& aFeatures) const
{
  const auto it = mMeans.find(aFeatures.mQueue);
  const std::chrono::milliseconds mean(
    it != mMeans.end() ? static_cast<std::int64_t>(it->second) : 0);
  const std::chrono::milliseconds estimate = aFeatures.mEstimate;
  if (mean.count() == 0) {
    return { estimate,
             estimate,
             0.0,
             estimate.count() == 0 ? RunTimeBasis::kNone
                                   : RunTimeBasis::kEstimate };
  }
  const auto expected = estimate.count() == 0 ? mean : (mean + estimate) / 2;
  return { expected, expected, 1.0, RunTimeBasis::kQueue };
}

void
MeanRunTimes::Record(const RunTimeFeatures& aFeatures,
                     const RunObservation& aRun)
{
  if (aRun.mIsCensored) {
    return;
  }
  const auto time = static_cast<double>(aRun.mTime.count());
  const auto it = mMeans.find(aFeatures.mQueue);
  if (it == mMeans.end()) {
    mMeans.emplace(aFeatures.mQueue, time);
  } else {
    it->second += kWeight * (time - it->second);
  }
}

} // namespace cornelrudder::state::scheduling
