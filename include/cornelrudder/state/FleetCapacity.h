#ifndef CORNELRUDDER_STATE_FLEET_CAPACITY_H
#define CORNELRUDDER_STATE_FLEET_CAPACITY_H

#include "cornelrudder/state/FleetSnapshot.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace cornelrudder::state {

/**
 * Accelerators of each worker by who may use them. The accelerators of one
 * worker are interchangeable, so numbers are enough to decide whether shapes
 * fit. Refers to the snapshot, which must live longer.
 */
class FleetCapacity
{
public:
  /** Accelerators of one worker beyond this number are not used. */
  static constexpr int kMaxPerWorker = 64;

  explicit FleetCapacity(const FleetSnapshot& aSnapshot);

  const FleetSnapshot& Snapshot() const { return *mSnapshot; }
  const FleetTopology& Topology() const { return mSnapshot->Topology(); }

  /** @return Number of a guaranteed organisation, or nothing. */
  std::optional<std::size_t> FindOrganisation(
    const OrganisationId& aOrganisation) const;

  /** @return The number of organisations that have guaranteed shapes. */
  std::size_t OrganisationCount() const { return mOrganisations.size(); }

  const OrganisationId& OrganisationName(std::size_t aOrganisation) const
  {
    return *mOrganisations[aOrganisation];
  }

  /** @return Number of the organisation of a guaranteed shape. */
  std::size_t OrganisationOf(std::size_t aGuarantee) const
  {
    return mOrganisationOf[aGuarantee];
  }

  /** Accelerators that no gang holds. */
  int FreeAccelerators(std::size_t aWorker) const { return mFree[aWorker]; }

  /** Bits of the accelerators that gangs hold. */
  std::uint64_t HeldMask(std::size_t aWorker) const { return mHeld[aWorker]; }

  /** Accelerators that are free or held by preemptible gangs. */
  int FreeOrPreemptible(std::size_t aWorker) const { return mShared[aWorker]; }

  /** Accelerators that non-preemptible gangs of the organisation hold. */
  int NonPreemptible(std::size_t aOrganisation, std::size_t aWorker) const
  {
    return mOwn[aOrganisation * mFree.size() + aWorker];
  }

  /**
   * @param aOrganisation Holder; nothing if it has no guaranteed shape.
   * @param aWorkers One member on each, from the shared accelerators.
   * @return The counts after a non-preemptible placement.
   */
  FleetCapacity WithMembers(std::optional<std::size_t> aOrganisation,
                            std::span<const std::size_t> aWorkers,
                            int aAcceleratorsPerWorker) const;

private:
  const FleetSnapshot* mSnapshot;
  std::vector<const OrganisationId*> mOrganisations;
  std::vector<std::size_t> mOrganisationOf;
  std::vector<int> mFree;
  std::vector<int> mShared;
  std::vector<std::uint64_t> mHeld;
  std::vector<int> mOwn;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FLEET_CAPACITY_H
