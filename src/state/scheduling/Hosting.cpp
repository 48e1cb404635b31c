#include "Hosting.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

bool
CanHost(const WaitingUnit& aUnit,
        const WorkerView& aWorker,
        std::size_t aTasksOnWorker)
{
  return aWorker.mSchedulable && IsSuitable(aUnit, aWorker, aTasksOnWorker);
}

bool
IsSuitable(const WaitingUnit& aUnit,
           const WorkerView& aWorker,
           std::size_t aTasksOnWorker)
{
  const StepSpec& step = aUnit.mStep;
  if (aWorker.mService != aUnit.mService || IsAtLimit(aUnit, aTasksOnWorker)) {
    return false;
  }
  return step.RequiredLabel().empty() ||
         std::find(aWorker.mLabels.begin(),
                   aWorker.mLabels.end(),
                   step.RequiredLabel()) != aWorker.mLabels.end();
}

bool
IsAtLimit(const WaitingUnit& aUnit, std::size_t aTasksOnWorker)
{
  return aUnit.mStep.MaxPerWorker() > 0 &&
         aTasksOnWorker >= aUnit.mStep.MaxPerWorker();
}

std::size_t
CountPeers(const WaitingUnit& aUnit, std::size_t aWorker)
{
  return static_cast<std::size_t>(
    std::count(aUnit.mPeerWorkers.begin(), aUnit.mPeerWorkers.end(), aWorker));
}

bool
IsAvoided(const WaitingUnit& aUnit, std::size_t aWorker)
{
  return std::find(aUnit.mAvoidedWorkers.begin(),
                   aUnit.mAvoidedWorkers.end(),
                   aWorker) != aUnit.mAvoidedWorkers.end();
}

bool
PrefersOneRack(const WaitingUnit& aUnit)
{
  return aUnit.mStep.IsGang() && aUnit.mStep.IsSameRack() && aUnit.mTasks > 1;
}

} // namespace cornelrudder::state::scheduling
