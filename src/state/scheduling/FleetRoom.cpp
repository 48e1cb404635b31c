#include "FleetRoom.h"

#include "Hosting.h"

namespace cornelrudder::state::scheduling {

FleetRoom::FleetRoom(const PlanningView& aView)
  : mView(aView)
{
  for (const WorkerView& worker : aView.mWorkers) {
    mRackNumbers.emplace(worker.mRack, 0);
  }
  // Numbers follow the names, so that equal views are planned alike.
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
    mFreeing.push_back(worker.mFreeing);
    mUsableWorkers += worker.mUsable ? 1 : 0;
  }
}

const WorkerList*
FleetRoom::FindRack(const std::string& aName) const
{
  const auto it = mRackNumbers.find(aName);
  return it != mRackNumbers.end() ? &mRacks[it->second] : nullptr;
}

RoomSnapshot
FleetRoom::Soon() const
{
  std::vector<Resources> soon;
  soon.reserve(mFree.size());
  for (std::size_t i = 0; i < mFree.size(); ++i) {
    soon.push_back(mFree[i].Plus(mFreeing[i]));
  }
  return Summarise(std::move(soon));
}

RoomSnapshot
FleetRoom::Whole() const
{
  std::vector<Resources> whole;
  whole.reserve(mFree.size());
  for (const WorkerView& worker : mView.mWorkers) {
    whole.push_back(worker.mRoom);
  }
  return Summarise(std::move(whole));
}

RoomSnapshot
FleetRoom::Summarise(std::vector<Resources> aRoom) const
{
  std::vector<int> emptyByRack(mRacks.size());
  std::size_t emptyUsable = 0;
  for (std::size_t i = 0; i < aRoom.size(); ++i) {
    if (IsEmpty(i, aRoom[i])) {
      ++emptyByRack[mRackOf[i]];
      emptyUsable += mView.mWorkers[i].mUsable ? 1 : 0;
    }
  }
  return { std::move(aRoom), std::move(emptyByRack), emptyUsable };
}

std::size_t
FleetRoom::TasksThere(const WaitingUnit& aUnit, std::size_t aWorker) const
{
  if (aUnit.mStep.MaxPerWorker() == 0) {
    return 0;
  }
  const auto it = mTaken.find({ aUnit.mGroup, aWorker });
  return CountPeers(aUnit, aWorker) + (it != mTaken.end() ? it->second : 0);
}

void
FleetRoom::Take(const WaitingUnit& aUnit, const WorkerList& aWorkers)
{
  for (const std::size_t i : aWorkers) {
    mFree[i] = mFree[i].Minus(aUnit.mStep.Demand());
    ++mTaken[{ aUnit.mGroup, i }];
  }
}

} // namespace cornelrudder::state::scheduling
