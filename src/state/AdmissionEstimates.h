#ifndef CORNELRUDDER_STATE_ADMISSION_ESTIMATES_H
#define CORNELRUDDER_STATE_ADMISSION_ESTIMATES_H

#include "cornelrudder/state/JobClass.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cornelrudder::state {

/** Limits of the admission queues. */
struct AdmissionLimits
{
  /** Items in one queue; far more than can be run within a minute. */
  static constexpr std::size_t kMaxItems = 10'000;

  /**
   * Total bytes of the request bodies in all queues; a daemon may use 256 MB of
   * memory in total.
   */
  static constexpr std::size_t kMaxBytes = 64U << 20U;
};

/** Moving average of the run times of the requests of one queue or class. */
class RunTimeEstimate
{
public:
  /** Assumed until the first run completes; a class's timeout is not used. */
  static constexpr std::chrono::milliseconds kInitial{ 200 };

  double MeanMs() const { return mMeanMs; }

  std::chrono::milliseconds Mean() const
  {
    return std::chrono::milliseconds(std::llround(mMeanMs));
  }

  RunTimeEstimate WithRun(std::chrono::milliseconds aRunTime) const
  {
    const double ms = std::max(1.0, static_cast<double>(aRunTime.count()));
    if (!mHasSample) {
      return { ms, true };
    }
    return { mMeanMs + (ms - mMeanMs) * kGain, true };
  }

  RunTimeEstimate() = default;

  auto operator<=>(const RunTimeEstimate&) const = default;

private:
  /** Weight of one run; the mean follows a change within some tens of runs. */
  static constexpr double kGain = 1.0 / 16;

  RunTimeEstimate(double aMeanMs, bool aHasSample)
    : mMeanMs(aMeanMs)
    , mHasSample(aHasSample)
  {
  }

  double mMeanMs = static_cast<double>(kInitial.count());
  bool mHasSample = false;
};

/** Delay after which the caller of a rejected request may retry it. */
inline std::chrono::milliseconds
RetryAfter(double aEstimatedWaitMs, const JobClass& aClass)
{
  constexpr double kMinMs = 100;
  constexpr double kMaxMs = 60'000;
  const double excess =
    aEstimatedWaitMs - static_cast<double>(aClass.MaxWait().count());
  return std::chrono::milliseconds(
    std::llround(std::clamp(excess, kMinMs, kMaxMs)));
}

/** Time at which a waiting item expires. */
inline std::chrono::milliseconds
LatestStart(std::chrono::milliseconds aNow,
            std::chrono::milliseconds aDeadline,
            const JobClass& aClass)
{
  return std::min(aNow + aClass.MaxWait(), aDeadline);
}

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_ESTIMATES_H
