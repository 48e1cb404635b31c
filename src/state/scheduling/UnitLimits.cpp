#include "UnitLimits.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/** @return How often a demand fits into a capacity, at most aMax. */
std::size_t
TimesOf(const Resources& aDemand, const Resources& aCapacity, std::size_t aMax)
{
  const auto times = [aMax](std::int64_t aUsed, std::int64_t aAvailable) {
    return aUsed <= 0 ? aMax
                      : static_cast<std::size_t>(
                          std::max<std::int64_t>(aAvailable, 0) / aUsed);
  };
  return std::min({ aMax,
                    times(aDemand.CpuMillis(), aCapacity.CpuMillis()),
                    times(aDemand.MemoryMb(), aCapacity.MemoryMb()),
                    times(aDemand.Accelerators(), aCapacity.Accelerators()) });
}

} // namespace

std::size_t
TaskSlots(std::span<const WorkerView> aWorkers,
          const std::string& aService,
          const StepSpec& aStep,
          std::size_t aMax)
{
  std::size_t slots = 0;
  for (const WorkerView& worker : aWorkers) {
    if (slots >= aMax) {
      break;
    }
    if (worker.mService == aService) {
      slots += TimesOf(aStep.Demand(), worker.mCapacity, aMax);
    }
  }
  return std::clamp<std::size_t>(slots, 1, std::max<std::size_t>(aMax, 1));
}

std::size_t
EvenShare(std::vector<std::size_t> aCounts, std::size_t aLimit)
{
  std::sort(aCounts.begin(), aCounts.end());
  std::size_t left = aLimit;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    const std::size_t share = left / (aCounts.size() - i);
    if (aCounts[i] > share) {
      return std::max<std::size_t>(share, 1);
    }
    left -= aCounts[i];
  }
  return aLimit;
}

} // namespace cornelrudder::state::scheduling
