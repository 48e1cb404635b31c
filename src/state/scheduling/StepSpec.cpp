#include "cornelrudder/state/scheduling/StepSpec.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

StepSpec::StepSpec(StepSpecValues aValues, std::size_t aPosition)
  : mValues(std::move(aValues))
{
  const std::string name = "step " + std::to_string(aPosition);
  if (mValues.mTasks < 1 || mValues.mTasks > kMaxTasks) {
    throw StateError(name + ": found " + std::to_string(mValues.mTasks) +
                     " tasks; allowed are 1 to " + std::to_string(kMaxTasks));
  }
  const Resources& demand = mValues.mDemand;
  if (demand.CpuMillis() < 0 || demand.MemoryMb() < 0 ||
      demand.Accelerators() < 0 || mValues.mEstimatedRunTime.count() < 0) {
    throw StateError(
      name + ": resource demands and the estimated run time must be 0 or more");
  }
  const bool isOrdered =
    std::all_of(mValues.mDependencies.begin(),
                mValues.mDependencies.end(),
                [aPosition](std::size_t aStep) { return aStep < aPosition; });
  if (!isOrdered) {
    throw StateError(name + ": depends on a step that does not precede it");
  }
}

} // namespace cornelrudder::state::scheduling
