#include "CapacityTracker.h"

#include "Hosting.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

CapacityTracker::CapacityTracker(const PlanningView& aView)
  : mView(aView)
{
  std::map<std::string, double> largest;
  for (const WorkerView& worker : aView.mWorkers) {
    mRackNumbers.emplace(worker.mRack, 0);
    double& cores = largest[worker.mService];
    cores = std::max(cores, worker.mCapacity.WeightedCores());
  }
  // Racks are numbered by name, so that equal views give equal plans.
  for (auto& [name, number] : mRackNumbers) {
    number = mRacks.size();
    mRacks.emplace_back();
  }
  for (std::size_t i = 0; i < aView.mWorkers.size(); ++i) {
    const WorkerView& worker = aView.mWorkers[i];
    const std::size_t rack = mRackNumbers.at(worker.mRack);
    mWorkers.push_back(i);
    mRackOf.push_back(rack);
    mRacks[rack].push_back(i);
    mFree.push_back(worker.mFree);
    mReleasing.push_back(worker.mReleasing);
    const bool isReduced =
      2 * worker.mCapacity.WeightedCores() < largest.at(worker.mService);
    mIsReduced.push_back(isReduced);
    mWholeSchedulableWorkers += worker.mSchedulable && !isReduced ? 1 : 0;
    mHasSuspect.push_back(worker.mHasSuspect);
    if (worker.mSchedulable) {
      auto& [free, total] = mServices[worker.mService];
      free = free.Plus(worker.mFree);
      total = total.Plus(worker.mCapacity);
    }
  }
}

bool
CapacityTracker::IsMostlyFree(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return false;
  }
  const auto& [free, total] = it->second;
  return total.FitsIn(free.Plus(free));
}

const WorkerList*
CapacityTracker::FindRack(const std::string& aName) const
{
  const auto it = mRackNumbers.find(aName);
  return it != mRackNumbers.end() ? &mRacks[it->second] : nullptr;
}

CapacitySnapshot
CapacityTracker::FreeAfterStops() const
{
  std::vector<Resources> freeAfterStops;
  freeAfterStops.reserve(mFree.size());
  for (std::size_t i = 0; i < mFree.size(); ++i) {
    freeAfterStops.push_back(mFree[i].Plus(mReleasing[i]));
  }
  return Summarise(std::move(freeAfterStops));
}

CapacitySnapshot
CapacityTracker::Total() const
{
  std::vector<Resources> total;
  total.reserve(mFree.size());
  for (const WorkerView& worker : mView.mWorkers) {
    total.push_back(worker.mCapacity);
  }
  return Summarise(std::move(total));
}

CapacitySnapshot
CapacityTracker::Summarise(std::vector<Resources> aCapacity) const
{
  std::vector<int> emptyByRack(mRacks.size());
  std::size_t emptySchedulable = 0;
  for (std::size_t i = 0; i < aCapacity.size(); ++i) {
    if (IsEmpty(i, aCapacity[i])) {
      ++emptyByRack[mRackOf[i]];
      emptySchedulable += mView.mWorkers[i].mSchedulable ? 1 : 0;
    }
  }
  return { std::move(aCapacity), std::move(emptyByRack), emptySchedulable };
}

std::size_t
CapacityTracker::TasksOn(const WaitingUnit& aUnit, std::size_t aWorker) const
{
  if (aUnit.mStep.MaxPerWorker() == 0) {
    return 0;
  }
  const auto it = mPlacedTasks.find({ aUnit.mStepGroup, aWorker });
  return CountPeers(aUnit, aWorker) +
         (it != mPlacedTasks.end() ? it->second : 0);
}

void
CapacityTracker::Allocate(const WaitingUnit& aUnit, const WorkerList& aWorkers)
{
  for (const std::size_t i : aWorkers) {
    mFree[i] = mFree[i].Minus(aUnit.mStep.Demand());
    ++mPlacedTasks[{ aUnit.mStepGroup, i }];
    mHasSuspect[i] = mHasSuspect[i] || aUnit.mIsolation != Isolation::kNone;
  }
  if (aUnit.mIsolation == Isolation::kRequired) {
    for (const std::size_t i : aWorkers) {
      mFree[i] = Resources();
    }
  }
}

} // namespace cornelrudder::state::scheduling
