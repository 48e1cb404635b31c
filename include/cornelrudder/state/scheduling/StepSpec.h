#ifndef CORNELRUDDER_STATE_SCHEDULING_STEP_SPEC_H
#define CORNELRUDDER_STATE_SCHEDULING_STEP_SPEC_H

#include "cornelrudder/state/scheduling/Resources.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Values of a step before validation by StepSpec. */
struct StepSpecValues
{
  /** Number of tasks. */
  std::size_t mTasks = 1;
  /** Resources that each task needs. */
  Resources mDemand;
  /** Estimated run time of a task, as given by the caller; 0 if unknown. */
  std::chrono::milliseconds mEstimatedRunTime{ 0 };
  /** Positions of earlier steps whose tasks must all be done first. */
  std::vector<std::size_t> mDependencies;
  /** Label that a worker must have; empty for any worker. */
  std::string mRequiredLabel;
  /** Rack that stores the input data; empty for no preference. */
  std::string mAffinityRack;
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  std::size_t mMaxPerWorker = 0;
  /** All tasks run at the same time or none does. */
  bool mGang = false;
  /** The tasks run slower if spread over several racks. */
  bool mSameRack = false;
  bool mCheckpointing = false;
  /** The tasks run until the job is cancelled. */
  bool mLongRunning = false;
  /** Several copies of a task may run in parallel. */
  bool mSpeculative = false;

  auto operator<=>(const StepSpecValues&) const = default;
};

/** One step of a job, which consists of identical tasks. */
class StepSpec
{
public:
  /** Limits the memory and storage that one submission can use. */
  static constexpr std::size_t kMaxTasks = 10'000;

  /**
   * @param aPosition Position of the step within its job.
   * @throws StateError if a value is out of range, or a dependency is not an
   *   earlier step.
   */
  StepSpec(StepSpecValues aValues, std::size_t aPosition);

  std::size_t Tasks() const { return mValues.mTasks; }
  const Resources& Demand() const { return mValues.mDemand; }
  std::chrono::milliseconds EstimatedRunTime() const
  {
    return mValues.mEstimatedRunTime;
  }
  const std::vector<std::size_t>& Dependencies() const
  {
    return mValues.mDependencies;
  }
  const std::string& RequiredLabel() const { return mValues.mRequiredLabel; }
  const std::string& AffinityRack() const { return mValues.mAffinityRack; }
  std::size_t MaxPerWorker() const { return mValues.mMaxPerWorker; }
  bool IsGang() const { return mValues.mGang; }
  bool IsSameRack() const { return mValues.mSameRack; }
  bool IsCheckpointing() const { return mValues.mCheckpointing; }
  bool IsLongRunning() const { return mValues.mLongRunning; }
  bool IsSpeculative() const { return mValues.mSpeculative; }

  auto operator<=>(const StepSpec&) const = default;

private:
  StepSpecValues mValues;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_STEP_SPEC_H
