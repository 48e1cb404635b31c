#ifndef CORNELRUDDER_STATE_ADMISSION_ESTIMATES_H
#define CORNELRUDDER_STATE_ADMISSION_ESTIMATES_H

#include "cornelrudder/state/JobClass.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cornelrudder::state {

/** Bounds of queues. */
struct AdmissionLimits
{
  /** Items of one queue; far above what fits into a wait of a minute. */
  static constexpr std::size_t kMaxItems = 10'000;

  /** Bodies of all queues; a daemon may use 256 MB in total. */
  static constexpr std::size_t kMaxBytes = 64U << 20U;
};

/** Mean run time of a class, learned from finished runs. */
class RunTimeEstimate
{
public:
  /** Assumed until the first run has finished; declared times are not used. */
  static constexpr std::chrono::milliseconds kUnknown{ 200 };

  double MeanMs() const { return mMeanMs; }

  std::chrono::milliseconds Mean() const
  {
    return std::chrono::milliseconds(std::llround(mMeanMs));
  }

  RunTimeEstimate WithRun(std::chrono::milliseconds aRunTime) const
  {
    const double ms = std::max(1.0, static_cast<double>(aRunTime.count()));
    if (!mLearned) {
      return { ms, true };
    }
    return { mMeanMs + (ms - mMeanMs) * kGain, true };
  }

  RunTimeEstimate() = default;

  auto operator<=>(const RunTimeEstimate&) const = default;

private:
  /** Weight of one run; follows a change within some tens of runs. */
  static constexpr double kGain = 1.0 / 16;

  RunTimeEstimate(double aMeanMs, bool aLearned)
    : mMeanMs(aMeanMs)
    , mLearned(aLearned)
  {
  }

  double mMeanMs = static_cast<double>(kUnknown.count());
  bool mLearned = false;
};

/** Time after which a refused caller may repeat a request. */
inline std::chrono::milliseconds
RetryAfter(double aEstimatedWaitMs, const JobClass& aClass)
{
  constexpr double kLeastMs = 100;
  constexpr double kMostMs = 60'000;
  const double excess =
    aEstimatedWaitMs - static_cast<double>(aClass.MaxWait().count());
  return std::chrono::milliseconds(
    std::llround(std::clamp(excess, kLeastMs, kMostMs)));
}

/** When a waiting item is given up. */
inline std::chrono::milliseconds
LatestStart(std::chrono::milliseconds aNow,
            std::chrono::milliseconds aDeadline,
            const JobClass& aClass)
{
  return std::min(aNow + aClass.MaxWait(), aDeadline);
}

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_ESTIMATES_H
