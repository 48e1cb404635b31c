#include "CrashRate.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = CrashRate::Millis;

constexpr Millis kInterval{ 1'000 };
/** Limit of the time that one call adds: this process may have been paused. */
constexpr Millis kMaxGap{ 2'000 };
/** Time before and after a crash from which the rate at the time is taken. */
constexpr Millis kRateTime{ 20'000 };
/** Time in which crashes of one worker tell how often this worker crashes. */
constexpr Millis kWorkerTime{ 60'000 };
constexpr Millis kHistory{ 120'000 };
/**
 * Number of other workers that crash at the same moment soon after starts from
 * which a power loss is more likely than their runs.
 */
constexpr int kCommonCauseCrashes = 3;
/** Several calls may show one crash of a worker, some of them later. */
constexpr Millis kSameCrashTime{ 2'000 };
/** What is assumed beside the observed crashes and time of workers. */
constexpr double kPriorCrashes = 0.5;
constexpr double kPriorSeconds = 100.0;

double
Seconds(Millis aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
CrashRate::Observe(std::size_t aWorkers, std::size_t aFleet, Millis aNow)
{
  mFleet = std::max<std::size_t>(aFleet, 1);
  const Millis gap = mObservedAt.count() > 0 ? aNow - mObservedAt : Millis(0);
  mObservedAt = aNow;
  const double seconds = Seconds(std::clamp(gap, Millis(0), kMaxGap));
  mSamples.push_back({ aNow, seconds * static_cast<double>(aWorkers) });
  while (aNow - mSamples.front().mAt > kHistory) {
    mSamples.pop_front();
  }
  while (!mCrashes.empty() && aNow - mCrashes.front().mAt > kHistory) {
    mCrashes.pop_front();
  }
}

bool
CrashRate::IsDue(Millis aNow) const
{
  return aNow - mObservedAt >= kInterval;
}

void
CrashRate::AddCrash(const WorkerCrash& aCrash)
{
  const bool isKnown = std::any_of(
    mCrashes.begin(), mCrashes.end(), [&](const WorkerCrash& aKnown) {
      return aKnown.mAddress == aCrash.mAddress &&
             std::chrono::abs(aKnown.mAt - aCrash.mAt) < kSameCrashTime;
    });
  if (!isKnown) {
    mCrashes.push_back(aCrash);
  }
}

double
CrashRate::ExpectedIn(const CrashSpan& aSpan,
                      const std::vector<WorkerCrash>& aPending) const
{
  double workerSeconds = 0.0;
  for (const Sample& sample : mSamples) {
    if (sample.mAt >= aSpan.mEnd - kRateTime &&
        sample.mAt <= aSpan.mEnd + kRateTime) {
      workerSeconds += sample.mWorkerSeconds;
    }
  }
  int crashes = 0;
  int crashesOfWorker = 0;
  int simultaneous = 0;
  int simultaneousAfterStarts = 0;
  const auto count = [&](const WorkerCrash& aCrash) {
    const bool isSameWorker = aCrash.mAddress == aSpan.mAddress;
    if (isSameWorker && aCrash.mAt == aSpan.mEnd) {
      return;
    }
    const Millis distance = std::chrono::abs(aCrash.mAt - aSpan.mEnd);
    const bool isBackground = aCrash.mIsBackground;
    crashes += isBackground && distance <= kRateTime ? 1 : 0;
    crashesOfWorker +=
      isBackground && isSameWorker && distance <= kWorkerTime ? 1 : 0;
    if (distance <= kNoticeTime && !isSameWorker) {
      ++(isBackground ? simultaneous : simultaneousAfterStarts);
    }
  };
  std::for_each(mCrashes.begin(), mCrashes.end(), count);
  std::for_each(aPending.begin(), aPending.end(), count);
  const double fleetRate =
    (crashes + kPriorCrashes) / (workerSeconds + kPriorSeconds);
  // One crash of a worker tells nothing about it.
  const double workerRate =
    std::max(crashesOfWorker - 1, 0) / Seconds(kWorkerTime);
  if (simultaneousAfterStarts >= kCommonCauseCrashes) {
    simultaneous += simultaneousAfterStarts;
  }
  // A worker may have crashed unnoticed shortly before the start.
  const Millis length = std::max(aSpan.Length(), kNoticeTime);
  return std::max(std::max(fleetRate, workerRate) * Seconds(length),
                  simultaneous / static_cast<double>(mFleet));
}

bool
CrashRate::Covers(const CrashSpan& aSpan, Millis aNow) const
{
  return aNow - aSpan.mEnd <= kHistory - kRateTime;
}

} // namespace cornelrudder::state::scheduling
