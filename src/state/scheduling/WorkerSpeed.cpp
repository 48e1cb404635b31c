#include "cornelrudder/state/scheduling/WorkerSpeed.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

constexpr double kMaxFactor = 4.0;
/** Outliers are limited to this multiple of the standard deviation. */
constexpr double kMaxDeviations = 3.0;
/** Variance that each run adds, so that later changes are followed. */
constexpr double kDriftVariance = 0.001;

} // namespace

double
WorkerSpeed::Factor() const
{
  return std::clamp(std::exp(mLogMean), 1.0 / kMaxFactor, kMaxFactor);
}

WorkerSpeed
WorkerSpeed::With(double aLogRatio, double aVariance) const
{
  const double limit = kMaxDeviations * std::sqrt(mVariance + aVariance);
  const double gain = mVariance / (mVariance + aVariance);
  WorkerSpeed speed;
  speed.mLogMean =
    mLogMean + gain * std::clamp(aLogRatio - mLogMean, -limit, limit);
  speed.mVariance =
    std::min(kPriorVariance, mVariance * (1.0 - gain) + kDriftVariance);
  return speed;
}

} // namespace cornelrudder::state::scheduling
