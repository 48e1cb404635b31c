#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_CRASH_TRIAL_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_CRASH_TRIAL_H

#include "FleetModel.h"

namespace cornelrudder::tests {

/** A fleet whose workers crash for other causes, and the jobs on it. */
struct CrashTrialOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 48;
  std::size_t mWorkersPerRack = 8;
  /** Share of the workers that crash together in each wave; 0 to 1. */
  double mDownShare = 0.06;
  milliseconds mWaveInterval{ 3'100 };
  milliseconds mDownTime{ 4'500 };
  /** See FleetModelOptions. */
  bool mHasNewIdentifiers = false;
  /** Time in which jobs are submitted, and the time between two of them. */
  milliseconds mSubmitTime{ 60'000 };
  milliseconds mSubmitInterval{ 700 };
  milliseconds mRunTime{ 6'000 };
  /** Tasks of each job, whether they are a gang, and accelerators of each. */
  std::size_t mTasks = 1;
  bool mIsGang = false;
  std::int64_t mAccelerators = 8;
  /** Share of the jobs with a task that crashes its workers; 0 to 1. */
  double mDeadlyShare = 0.0;
  /** Time from the start of such a task to the crash. */
  milliseconds mDeadlyDelay{ 10 };
  /** Time between replacements of the owner; 0 for none. */
  milliseconds mOwnerTime{ 0 };
};

/** What became of the jobs of a trial. */
struct CrashTrialResult
{
  std::size_t mHealthyJobs = 0;
  std::size_t mHealthyFailed = 0;
  std::size_t mHealthyUnfinished = 0;
  std::size_t mDeadlyJobs = 0;
  std::size_t mDeadlyFailed = 0;
  /** Starts of such tasks that the limit after crashes does not allow. */
  std::size_t mExcessStarts = 0;
  /** Other broken invariants. */
  std::vector<std::string> mViolations;

  CrashTrialResult Plus(const CrashTrialResult& aOther) const;

  auto operator<=>(const CrashTrialResult&) const = default;
};

/**
 * Plays jobs on a fleet whose workers crash. It is known which jobs have a task
 * that crashes its workers, so that wrong verdicts of either kind are counted.
 */
CrashTrialResult
PlayCrashTrial(const CrashTrialOptions& aOptions);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_CRASH_TRIAL_H
