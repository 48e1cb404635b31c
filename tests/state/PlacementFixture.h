#ifndef CORNELRUDDER_TESTS_STATE_PLACEMENT_FIXTURE_H
#define CORNELRUDDER_TESTS_STATE_PLACEMENT_FIXTURE_H

#include "cornelrudder/state/FleetSnapshot.h"

#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::state::placement_test {

/** Builds a worker "w{number}" of region "r". */
inline Vm
Worker(int aNumber, int aZone, int aRack, int aAccelerators)
{
  // Padded to three digits, so that the order by name is the order by number.
  std::string digits = std::to_string(aNumber);
  digits.insert(0, 3 - std::min<std::size_t>(3, digits.size()), '0');
  return { VmId("w" + digits),
           VmRole::kWorker,
           "127.0.0.1:1",
           VmLocation(RegionId("r"),
                      ZoneId("z" + std::to_string(aZone)),
                      RackId("k" + std::to_string(aRack))),
           aAccelerators,
           VmState::kLive };
}

/** Builds a fleet of equal workers with an equal number of racks per zone. */
inline VmList
Fleet(int aZones, int aRacksPerZone, int aWorkersPerRack, int aAccelerators)
{
  std::vector<Vm> workers;
  for (int i = 0; i < aZones * aRacksPerZone * aWorkersPerRack; ++i) {
    const int rack = i / aWorkersPerRack;
    workers.push_back(Worker(i, rack / aRacksPerZone, rack, aAccelerators));
  }
  return VmList(std::move(workers));
}

inline GuaranteedShape
Guarantee(const std::string& aOrganisation, const Shape& aShape)
{
  return {
    OrganisationId(aOrganisation), ShapeName("s"), RegionId("r"), aShape
  };
}

/**
 * Builds a gang.
 * @param aHours Accelerator-hours that a stop would lose.
 * @param aMembers Number of each worker with the accelerators in use on it.
 */
inline PlacedGang
Gang(const std::string& aJob,
     const std::string& aOrganisation,
     bool aPreemptible,
     double aHours,
     const std::vector<std::pair<int, std::vector<int>>>& aMembers)
{
  std::vector<MemberPlacement> members;
  for (const auto& [worker, accelerators] : aMembers) {
    members.emplace_back(Worker(worker, 0, 0, 1).Name(), accelerators);
  }
  return { JobId(aJob),
           OrganisationId(aOrganisation),
           aPreemptible,
           aHours,
           GangPlacement(std::move(members)) };
}

} // namespace cornelrudder::state::placement_test

#endif // CORNELRUDDER_TESTS_STATE_PLACEMENT_FIXTURE_H
