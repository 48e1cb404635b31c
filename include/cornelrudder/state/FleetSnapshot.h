#ifndef CORNELRUDDER_STATE_FLEET_SNAPSHOT_H
#define CORNELRUDDER_STATE_FLEET_SNAPSHOT_H

#include "cornelrudder/state/FleetTopology.h"
#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/Shape.h"
#include "cornelrudder/state/Vm.h"

#include <memory>
#include <tuple>
#include <vector>

namespace cornelrudder::state {

/** The properties of a placed gang that placement decisions use. */
class PlacedGang
{
public:
  PlacedGang(JobId aJob,
             OrganisationId aOrganisation,
             bool aPreemptible,
             double aLostAcceleratorHours,
             GangPlacement aPlacement)
    : mJob(std::move(aJob))
    , mOrganisation(std::move(aOrganisation))
    , mPreemptible(aPreemptible)
    , mLostAcceleratorHours(aLostAcceleratorHours)
    , mPlacement(std::move(aPlacement))
  {
  }

  const JobId& Job() const { return mJob; }
  const OrganisationId& Organisation() const { return mOrganisation; }

  /** Whether the gang may be stopped for a guaranteed shape. */
  bool Preemptible() const { return mPreemptible; }

  /** Accelerator-hours since the last checkpoint, which a stop would lose. */
  double LostAcceleratorHours() const { return mLostAcceleratorHours; }

  const GangPlacement& Placement() const { return mPlacement; }

  auto operator<=>(const PlacedGang&) const = default;

private:
  JobId mJob;
  OrganisationId mOrganisation;
  bool mPreemptible;
  double mLostAcceleratorHours;
  GangPlacement mPlacement;
};

/** The complete input of a placement decision. */
class FleetSnapshot
{
public:
  /**
   * @param aWorkers Workers of the domain, without those that are leaving,
   *   in quarantine or evacuated.
   * @param aGangs Gangs that hold accelerators.
   * @param aGuarantees Shapes of all active organisations in the domain.
   */
  FleetSnapshot(VmList aWorkers,
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
   * @return The same fleet with these gangs. Cheaper than a new snapshot, since
   *   the topology is shared.
   */
  FleetSnapshot WithGangs(std::vector<PlacedGang> aGangs) const
  {
    FleetSnapshot snapshot = *this;
    snapshot.mGangs = std::move(aGangs);
    return snapshot;
  }

  auto operator<=>(const FleetSnapshot& aOther) const
  {
    return std::tie(*mTopology, mGangs, mGuarantees) <=>
           std::tie(*aOther.mTopology, aOther.mGangs, aOther.mGuarantees);
  }

  bool operator==(const FleetSnapshot& aOther) const
  {
    return std::is_eq(*this <=> aOther);
  }

private:
  std::shared_ptr<const FleetTopology> mTopology;
  std::vector<PlacedGang> mGangs;
  std::vector<GuaranteedShape> mGuarantees;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FLEET_SNAPSHOT_H
