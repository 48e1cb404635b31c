#ifndef CORNELRUDDER_STATE_PLACEMENT_CONTEXT_H
#define CORNELRUDDER_STATE_PLACEMENT_CONTEXT_H

#include "cornelrudder/state/GuaranteeVerifier.h"
#include "cornelrudder/state/PlacementStrategy.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cornelrudder::state {

/**
 * State and rules that all placement strategies share for one decision: the
 * accelerators that each organisation may use, one joint allocation of the
 * guaranteed shapes, and the choice between reclaiming and waiting when no
 * placement on free accelerators is found.
 */
class PlacementContext
{
public:
  PlacementContext(const FleetSnapshot& aSnapshot,
                   const PlacementRequest& aRequest);

  const FleetCapacity& Capacity() const { return mCapacity; }
  const PlacementRequest& Request() const { return mRequest; }

  std::size_t Members() const
  {
    return static_cast<std::size_t>(mRequest.GangShape().Workers());
  }
  int PerWorker() const { return mRequest.GangShape().AcceleratorsPerWorker(); }

  /**
   * @return The groups of workers; the whole gang must be placed in one of
   *   them. A gang of one member satisfies every adjacency level, so its groups
   *   are the racks.
   */
  const std::vector<std::vector<std::size_t>>& Groups() const;

  /** @return Free accelerators that are not reserved for another job. */
  int AvailableAccelerators(std::size_t aWorker) const
  {
    return mAvailable[aWorker];
  }

  /**
   * @return Accelerators of a worker, free or held by preemptible gangs, that
   *   the joint allocation does not assign to other organisations. A
   *   placement on them keeps the guarantee feasible: the allocation of the
   *   other organisations does not change, and the shapes of the requesting
   *   organisation may use the accelerators of the new gang.
   */
  int UnassignedAccelerators(std::size_t aWorker) const
  {
    return mCapacity.FreeOrPreemptible(aWorker) - mAssignedToOthers[aWorker];
  }

  /**
   * @return Whether the request may use free accelerators. While workers that
   *   were lost leave a guaranteed shape uncovered, a non-preemptible request
   *   may do so only within its own organisation's guaranteed shapes.
   */
  bool MayUseFreeAccelerators() const;

  /**
   * @return Whether all currently covered guaranteed shapes remain covered when
   *   the request gets one member on each of these workers.
   */
  bool PreservesGuarantees(std::span<const std::size_t> aWorkers) const;

  PlacementDecision PlacedDecision(std::span<const std::size_t> aWorkers,
                                   std::string aReason) const;

  /** @return The decision if no placement on free accelerators is suitable. */
  PlacementDecision ReclaimOrWait() const;

private:
  /** A placement that requires preemptible gangs to be stopped first. */
  struct ReclaimCandidate
  {
    std::vector<std::size_t> mWorkers;
    std::vector<std::size_t> mVictims;
    double mLostHours = 0;
  };

  /** Accelerators of one worker that a preemptible gang holds. */
  struct PreemptibleAccelerators
  {
    std::size_t mGang;
    std::uint64_t mBits;
  };

  void AllocateGuaranteedShapes();
  bool IsWithinGuarantee() const;
  std::vector<std::vector<PreemptibleAccelerators>> CollectPreemptible(
    bool aIncludeWithinGuarantee) const;
  std::vector<ReclaimCandidate> FindReclaimCandidates(
    const std::vector<std::vector<PreemptibleAccelerators>>& aPreemptible,
    bool aUnassignedOnly,
    bool aIncludeReserved) const;
  std::optional<ReclaimCandidate> FindReclaimInGroup(
    const std::vector<std::size_t>& aGroup,
    const std::vector<std::vector<PreemptibleAccelerators>>& aPreemptible,
    bool aUnassignedOnly,
    bool aIncludeReserved) const;
  void RemoveUnneededVictims(
    ReclaimCandidate& aReclaim,
    const std::vector<std::vector<PreemptibleAccelerators>>& aPreemptible)
    const;
  std::optional<ReclaimCandidate> ChooseReclaim(bool aIncludeReserved) const;
  PlacementDecision ReclaimDecision(const ReclaimCandidate& aReclaim) const;
  GangPlacement MakePlacement(
    std::span<const std::size_t> aWorkers,
    const std::vector<std::uint64_t>& aReclaimedBits) const;
  std::vector<std::size_t> FirstFreeWorkers() const;
  bool FitsEmptyFleet() const;
  std::string WaitReason() const;
  std::string GuaranteeReason(std::span<const std::size_t> aWorkers) const;

  PlacementRequest mRequest;
  FleetCapacity mCapacity;
  std::optional<std::size_t> mOrganisation;
  /** Positions of the guaranteed shapes that the fleet covers, ascending. */
  std::vector<std::size_t> mCovered;
  /**
   * By worker, the free or preemptible accelerators that the joint allocation
   * assigns to guaranteed shapes of other organisations.
   */
  std::vector<int> mAssignedToOthers;
  /**
   * By worker, another organisation to which many of these accelerators are
   * assigned; named in the reason for waiting.
   */
  std::vector<std::optional<std::size_t>> mAssignee;
  /** By worker, free accelerators that are not reserved for another job. */
  std::vector<int> mAvailable;
  /** By worker, whether the request names it as reserved for another job. */
  std::vector<bool> mReserved;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PLACEMENT_CONTEXT_H
