#include "cornelrudder/state/FleetTopology.h"

#include <algorithm>
#include <map>
#include <string>

namespace cornelrudder::state {

namespace {

/** @return A unique name of the worker's group at this adjacency level. */
std::string
GroupName(const Vm& aWorker, Adjacency aLevel)
{
  const VmLocation& where = aWorker.Location();
  const std::string zone = where.Region().Text() + "/" + where.Zone().Text();
  switch (aLevel) {
    case Adjacency::kWorker:
      return zone + "/" + where.Rack().Text() + "/" + aWorker.Name().Text();
    case Adjacency::kRack:
      return zone + "/" + where.Rack().Text();
    case Adjacency::kZone:
      return zone;
    case Adjacency::kRegion:
      break;
  }
  return where.Region().Text();
}

} // namespace

FleetTopology::FleetTopology(VmList aWorkers)
  : mWorkers(std::move(aWorkers))
{
  for (std::size_t i = 0; i < Size(); ++i) {
    mPositions.emplace(mWorkers.All()[i].Name().Text(), i);
    mAccelerators.push_back(mWorkers.All()[i].Accelerators());
  }
  for (std::size_t level = 0; level < kLevels; ++level) {
    std::map<std::string, std::size_t> numbers;
    for (std::size_t i = 0; i < Size(); ++i) {
      const auto [it, added] = numbers.emplace(
        GroupName(mWorkers.All()[i], static_cast<Adjacency>(level)),
        numbers.size());
      if (added) {
        mMembers[level].emplace_back();
      }
      mGroups[level].push_back(it->second);
      mMembers[level][it->second].push_back(i);
    }
    mLargestFirst[level] = mMembers[level];
    for (auto& members : mLargestFirst[level]) {
      std::stable_sort(
        members.begin(), members.end(), [this](std::size_t aLeft, auto aRight) {
          return mAccelerators[aLeft] > mAccelerators[aRight];
        });
    }
  }
}

std::optional<std::size_t>
FleetTopology::Find(const VmId& aWorker) const
{
  const auto it = mPositions.find(aWorker.Text());
  if (it == mPositions.end()) {
    return std::nullopt;
  }
  return it->second;
}

} // namespace cornelrudder::state
