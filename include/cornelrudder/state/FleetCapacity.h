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
 * For each worker, how many accelerators each organisation's guaranteed shapes
 * may use. The accelerators of a worker are interchangeable, so counts are
 * enough to decide whether shapes fit. Keeps a pointer to the snapshot, which
 * must outlive it.
 */
class FleetCapacity
{
public:
  /** Accelerators of one worker beyond this number are ignored. */
  static constexpr int kMaxPerWorker = 64;

  explicit FleetCapacity(const FleetSnapshot& aSnapshot);

  const FleetSnapshot& Snapshot() const { return *mSnapshot; }
  const FleetTopology& Topology() const { return mSnapshot->Topology(); }

  /** @return Index of the organisation, or nothing if it has no guarantee. */
  std::optional<std::size_t> FindOrganisation(
    const OrganisationId& aOrganisation) const;

  /** @return The number of organisations that have guaranteed shapes. */
  std::size_t OrganisationCount() const { return mOrganisations.size(); }

  const OrganisationId& OrganisationName(std::size_t aOrganisation) const
  {
    return *mOrganisations[aOrganisation];
  }

  /**
   * @return Index of the organisation of the guaranteed shape at a position.
   */
  std::size_t OrganisationOf(std::size_t aGuarantee) const
  {
    return mOrganisationOf[aGuarantee];
  }

  /** @return Accelerators that no gang holds. */
  int FreeAccelerators(std::size_t aWorker) const { return mFree[aWorker]; }

  /** @return A mask of the accelerators that gangs hold; bit 0 is index 0. */
  std::uint64_t HeldMask(std::size_t aWorker) const { return mHeld[aWorker]; }

  /** @return Accelerators that are free or held by preemptible gangs. */
  int FreeOrPreemptible(std::size_t aWorker) const { return mShared[aWorker]; }

  /** @return Accelerators that its non-preemptible gangs hold on the worker. */
  int NonPreemptible(std::size_t aOrganisation, std::size_t aWorker) const
  {
    return mOwn[aOrganisation * mFree.size() + aWorker];
  }

  /**
   * @param aOrganisation Organisation of the gang; nothing if it has no
   *   guaranteed shape.
   * @param aWorkers Workers that get one member each, on accelerators that are
   *   free or held by preemptible gangs.
   * @return The counts after the placement of a non-preemptible gang.
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
