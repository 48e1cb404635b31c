#ifndef CORNELRUDDER_STATE_FLEET_LOAD_H
#define CORNELRUDDER_STATE_FLEET_LOAD_H

#include "cornelrudder/state/FleetTopology.h"
#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/Shape.h"
#include "cornelrudder/state/Vm.h"

#include <memory>
#include <tuple>
#include <vector>

namespace cornelrudder::state {

/** A placed gang as placement decisions see it. */
class PlacedGang
{
public:
  PlacedGang(JobId aJob,
             OrganisationId aOrganisation,
             bool aPreemptible,
             double aAcceleratorHours,
             GangPlacement aPlacement)
    : mJob(std::move(aJob))
    , mOrganisation(std::move(aOrganisation))
    , mPreemptible(aPreemptible)
    , mAcceleratorHours(aAcceleratorHours)
    , mPlacement(std::move(aPlacement))
  {
  }

  const JobId& Job() const { return mJob; }
  const OrganisationId& Organisation() const { return mOrganisation; }

  /** Whether it may be stopped for another organisation's shape. */
  bool Preemptible() const { return mPreemptible; }

  /** Work that a stop would lose, since the last checkpoint. */
  double AcceleratorHours() const { return mAcceleratorHours; }

  const GangPlacement& Placement() const { return mPlacement; }

  auto operator<=>(const PlacedGang&) const = default;

private:
  JobId mJob;
  OrganisationId mOrganisation;
  bool mPreemptible;
  double mAcceleratorHours;
  GangPlacement mPlacement;
};

/** All that a placement decision depends on. */
class FleetLoad
{
public:
  /**
   * @param aWorkers Usable workers of the domain; not those that are leaving
   *   or in quarantine.
   * @param aGangs Gangs that hold accelerators.
   * @param aGuarantees Shapes of all active organisations in the domain.
   */
  FleetLoad(VmList aWorkers,
            std::vector<PlacedGang> aGangs,
            std::vector<GuaranteedShape> aGuarantees)
    : mTopology(std::make_shared<const FleetTopology>(std::move(aWorkers)))
    , mGangs(std::move(aGangs))
    , mGuarantees(std::move(aGuarantees))
  {
  }

  const VmList& Workers() const { return mTopology->Workers(); }
  const FleetTopology& Topology() const { return *mTopology; }
  const std::vector<PlacedGang>& Gangs() const { return mGangs; }
  const std::vector<GuaranteedShape>& Guarantees() const { return mGuarantees; }

  /**
   * @return The same fleet with these gangs. Cheaper than a new load, since
   *   the workers are not numbered again.
   */
  FleetLoad WithGangs(std::vector<PlacedGang> aGangs) const
  {
    FleetLoad load = *this;
    load.mGangs = std::move(aGangs);
    return load;
  }

  auto operator<=>(const FleetLoad& aOther) const
  {
    return std::tie(*mTopology, mGangs, mGuarantees) <=>
           std::tie(*aOther.mTopology, aOther.mGangs, aOther.mGuarantees);
  }

  bool operator==(const FleetLoad& aOther) const
  {
    return std::is_eq(*this <=> aOther);
  }

private:
  std::shared_ptr<const FleetTopology> mTopology;
  std::vector<PlacedGang> mGangs;
  std::vector<GuaranteedShape> mGuarantees;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FLEET_LOAD_H
