#ifndef CORNELRUDDER_STATE_FLEET_TOPOLOGY_H
#define CORNELRUDDER_STATE_FLEET_TOPOLOGY_H

#include "cornelrudder/state/Shape.h"
#include "cornelrudder/state/Vm.h"

#include <array>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelrudder::state {

/**
 * The workers of a fleet and their groups, indexed for fast lookup. It depends
 * on the VM list only, so snapshots of the same list share it.
 */
class FleetTopology
{
public:
  explicit FleetTopology(VmList aWorkers);

  // Not copyable or movable: the keys of mPositions refer to the identifiers in
  // mWorkers.
  FleetTopology(const FleetTopology&) = delete;
  FleetTopology& operator=(const FleetTopology&) = delete;
  FleetTopology(FleetTopology&&) = delete;
  FleetTopology& operator=(FleetTopology&&) = delete;
  ~FleetTopology() = default;

  const VmList& Workers() const { return mWorkers; }

  std::size_t Size() const { return mWorkers.All().size(); }

  /** @return Position of a worker in the list, or nothing. */
  std::optional<std::size_t> Find(const VmId& aWorker) const;

  /** @return Index of the worker's group at this level, e.g. of its rack. */
  std::size_t GroupOf(Adjacency aLevel, std::size_t aWorker) const
  {
    return mGroups[static_cast<std::size_t>(aLevel)][aWorker];
  }

  /** @return For each group of this level, the positions of its workers. */
  const std::vector<std::vector<std::size_t>>& Members(Adjacency aLevel) const
  {
    return mMembers[static_cast<std::size_t>(aLevel)];
  }

  /** @return Number of accelerators of a worker, in use or not. */
  int Accelerators(std::size_t aWorker) const { return mAccelerators[aWorker]; }

  /** @return As Members(), but workers with the most accelerators first. */
  const std::vector<std::vector<std::size_t>>& LargestFirst(
    Adjacency aLevel) const
  {
    return mLargestFirst[static_cast<std::size_t>(aLevel)];
  }

  auto operator<=>(const FleetTopology& aOther) const
  {
    return mWorkers <=> aOther.mWorkers;
  }

  bool operator==(const FleetTopology& aOther) const
  {
    return mWorkers == aOther.mWorkers;
  }

private:
  static constexpr std::size_t kLevels = 4;

  VmList mWorkers;
  std::unordered_map<std::string_view, std::size_t> mPositions;
  std::vector<int> mAccelerators;
  std::array<std::vector<std::size_t>, kLevels> mGroups;
  std::array<std::vector<std::vector<std::size_t>>, kLevels> mMembers;
  std::array<std::vector<std::vector<std::size_t>>, kLevels> mLargestFirst;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FLEET_TOPOLOGY_H
