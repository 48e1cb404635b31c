#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_LOAD_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_LOAD_H

#include "FleetModel.h"

#include <array>

namespace cornelrudder::tests {

/** One kind of job of a load. */
struct LoadClass
{
  const char* mName;
  int mPriority;
  double mPerSecond;
  milliseconds mWork;
  double mWorkSpread;
  double mTasks;
  std::size_t mMaxTasks;
  scheduling::Resources mDemand;
  /** Accelerators of a task, one of these. */
  std::array<std::int64_t, 5> mAccelerators;
  double mGang;
  double mSameRack;
  double mCheckpointing;
  double mSlackFactor;
  milliseconds mTargetLatency;
  double mWorth;
  double mLateWorth;
  /** Factor on the rate while a burst lasts. */
  double mBurst;
};

/** A load of several organisations on a fleet. */
struct LoadOptions
{
  std::vector<LoadClass> mClasses;
  std::size_t mWorkers = 48;
  std::size_t mWorkersPerRack = 8;
  milliseconds mLength{ 34'000 };
  milliseconds mBurstStart{ 3'000 };
  milliseconds mBurstEnd{ 9'500 };
  double mScale = 1.0;
  std::uint64_t mSeed = 1;
  std::string mPolicy;
};

/** What callers got of one class. */
struct ClassResult
{
  std::size_t mJobs = 0;
  std::size_t mInTime = 0;
  std::size_t mLate = 0;
  std::size_t mUnserved = 0;
  double mOwed = 0.0;
  double mEarned = 0.0;
};

struct LoadResult
{
  std::vector<ClassResult> mClasses;
  double mWasted = 0.0;
  std::size_t mViolations = 0;

  /** @return Earned over owed, all classes together. */
  double Worth() const;
};

/** The jobs of Attica's and of Brittany's users, with a burst. */
LoadOptions
AtticaLoad();
LoadOptions
BrittanyLoad();

/** Attica's jobs on the grown deployment. */
LoadOptions
GrownAtticaLoad();

/** Plays a load with one policy. */
LoadResult
PlayLoad(const LoadOptions& aOptions);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_LOAD_H
