#include "CrashTrial.h"

#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

/**
 * @file
 * Rates of both wrong verdicts about tasks under which workers crash: healthy
 * jobs that are shown as failed, and starts beyond the limit of tasks that do
 * crash their workers.
 * Usage: crash_benchmark [SEEDS], the number of seeds for each row.
 */

namespace {

using cornelrudder::tests::CrashTrialOptions;
using cornelrudder::tests::CrashTrialResult;
using std::chrono::milliseconds;

/** How often workers crash for other causes. */
struct Waves
{
  double mDownShare;
  milliseconds mInterval;
};

/** What the jobs consist of. */
struct Shape
{
  const char* mName;
  std::size_t mTasks;
  bool mIsGang;
  std::int64_t mAccelerators;
  milliseconds mSubmitInterval;
};

constexpr Waves kWaves[] = {
  { 0.0, milliseconds(3'000) },  { 0.02, milliseconds(3'000) },
  { 0.06, milliseconds(3'100) }, { 0.06, milliseconds(2'000) },
  { 0.14, milliseconds(5'000) }, { 0.14, milliseconds(2'000) }
};

constexpr Shape kShapes[] = {
  { "task", 1, false, 8, milliseconds(300) },
  { "8 tasks", 8, false, 1, milliseconds(700) },
  { "gang of 2", 2, true, 8, milliseconds(700) },
  { "gang of 5", 5, true, 4, milliseconds(900) },
  { "gang of 11", 11, true, 8, milliseconds(4'000) },
  { "gang of 64", 64, true, 4, milliseconds(12'000) },
};

/** Shares of the jobs with a task that crashes its workers, and after what
 * time. */
struct Deadly
{
  double mShare;
  milliseconds mDelay;
};

constexpr Deadly kDeadly[] = { { 0.0, milliseconds(10) },
                               { 0.05, milliseconds(10) },
                               { 0.3, milliseconds(10) },
                               { 0.05, milliseconds(300) },
                               { 0.05, milliseconds(2'000) } };

CrashTrialResult
PlaySeeds(CrashTrialOptions aOptions, int aSeeds)
{
  std::vector<std::future<CrashTrialResult>> plays;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    plays.push_back(std::async(
      std::launch::async, cornelrudder::tests::PlayCrashTrial, aOptions));
  }
  CrashTrialResult sum;
  for (auto& play : plays) {
    sum = sum.Plus(play.get());
  }
  return sum;
}

void
PrintRow(const Waves& aWaves,
         const Shape& aShape,
         const Deadly& aDeadly,
         int aSeeds)
{
  CrashTrialOptions options;
  options.mDownShare = aWaves.mDownShare;
  options.mWaveInterval = aWaves.mInterval;
  options.mTasks = aShape.mTasks;
  options.mIsGang = aShape.mIsGang;
  options.mAccelerators = aShape.mAccelerators;
  options.mSubmitInterval = aShape.mSubmitInterval;
  options.mDeadlyShare = aDeadly.mShare;
  options.mDeadlyDelay = aDeadly.mDelay;
  const CrashTrialResult sum = PlaySeeds(options, aSeeds);
  std::printf("%5.2f %6.1f  %-11s %5.2f %6lld  %6zu %6zu %6zu  %6zu %6zu %6zu "
              "%6zu\n",
              aWaves.mDownShare,
              static_cast<double>(aWaves.mInterval.count()) / 1'000.0,
              aShape.mName,
              aDeadly.mShare,
              static_cast<long long>(aDeadly.mDelay.count()),
              sum.mHealthyJobs,
              sum.mHealthyFailed,
              sum.mHealthyUnfinished,
              sum.mDeadlyJobs,
              sum.mDeadlyFailed,
              sum.mExcessStarts,
              sum.mViolations.size());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kDefaultSeeds = 8;
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : kDefaultSeeds;
  std::printf("down  every  jobs        deadly  after  healthy jobs          "
              "deadly jobs\n");
  std::printf("share      s             share     ms     all failed   open    "
              "all failed excess  other\n");
  for (const Deadly& deadly : kDeadly) {
    for (const Waves& waves : kWaves) {
      for (const Shape& shape : kShapes) {
        PrintRow(waves, shape, deadly, seeds);
      }
    }
  }
  return 0;
}
