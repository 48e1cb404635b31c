#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_LOAD_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_LOAD_H

#include "FleetModel.h"

#include <array>

namespace cornelrudder::tests {

/** Parameters of one class of jobs in a load. */
struct LoadClass
{
  const char* mName;
  int mPriority;
  double mJobsPerSecond;
  /** Mean run time of the tasks of a job. */
  milliseconds mWork;
  /** Standard deviation of the run time, relative to the mean. */
  double mWorkDeviation;
  /** Mean number of tasks of a job. */
  double mTasks;
  std::size_t mMaxTasks;
  scheduling::Resources mDemand;
  /** Accelerators of each task; one value is drawn for each job. */
  std::array<std::int64_t, 5> mAccelerators;
  /** Share of jobs whose tasks form a gang. */
  double mGangShare;
  /** Share of gangs that run faster on one rack. */
  double mSameRackShare;
  double mCheckpointingShare;
  double mSlackFactor;
  milliseconds mTargetLatency;
  /** Value of a job of mean size that meets its objective. */
  double mValue;
  /** Value of a job of mean size that is late but not expired. */
  double mLateValue;
  /** Factor on the arrival rate during the burst. */
  double mBurstFactor;
};

/** Jobs of several organisations for a fleet. */
struct LoadOptions
{
  std::vector<LoadClass> mClasses;
  std::size_t mWorkers = 48;
  std::size_t mWorkersPerRack = 8;
  milliseconds mDuration{ 34'000 };
  milliseconds mBurstStart{ 3'000 };
  milliseconds mBurstEnd{ 9'500 };
  double mScale = 1.0;
  std::uint64_t mSeed = 1;
  std::string mPolicy;
  /** Name of the predictor of run times; empty for the default. */
  std::string mRunTimes{};
  /** Workers of which every fourth one does mSlowSpeed of the usual work. */
  double mSlowSpeed = 1.0;
  double mUsualSpeed = 1.0;
};

/** Results of the jobs of one class. */
struct ClassResult
{
  std::size_t mJobs = 0;
  /** Jobs done within their objective. */
  std::size_t mInTime = 0;
  /** Jobs done late, but before their result lost its value. */
  std::size_t mLate = 0;
  /** Jobs not done at the end of the simulation. */
  std::size_t mNotDone = 0;
  double mTotalValue = 0.0;
  double mEarnedValue = 0.0;
  /** Mean time from submission to completion of the jobs that are done. */
  milliseconds mMeanLatency{ 0 };
};

struct LoadResult
{
  std::vector<ClassResult> mClasses;
  double mWasted = 0.0;
  std::size_t mViolations = 0;
  std::size_t mPreemptions = 0;
  std::size_t mMovedRuns = 0;

  /** @return Earned value divided by the total value, over all classes. */
  double EarnedShare() const;
};

/** Loads of the Attica and Brittany deployments, each with a burst. */
LoadOptions
AtticaLoad();
LoadOptions
BrittanyLoad();

/** Load of the enlarged Attica deployment. */
LoadOptions
GrownAtticaLoad();

/**
 * Load of uneven workers: a quarter does 0.55 of the usual work, the others 1.2
 * of it. Wide gangs, urgent steps and forecasts; a burst of the urgent ones.
 */
LoadOptions
UnevenLoad(std::size_t aWorkers);

/** Simulates a load with one policy. */
LoadResult
RunLoad(const LoadOptions& aOptions);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_LOAD_H
