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
 * What all placement strategies need for one decision: who may use what, one
 * joint allocation of the guaranteed shapes, and the steps that follow when no
 * free place is found.
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
   * The groups within which the request must lie. One member lies within any
   * group, so racks are used, as the smallest groups to compare.
   */
  const std::vector<std::vector<std::size_t>>& Groups() const;

  /** @return Free accelerators that are not withheld for another job. */
  int Room(std::size_t aWorker) const { return mRoom[aWorker]; }

  /**
   * @return Accelerators of a worker, free or held by preemptible gangs, that
   *   the joint allocation does not assign to other organisations. A
   *   placement on these leaves the guarantee feasible: the allocation of the
   *   others stays as it is, and the own shapes may use the placement.
   */
  int Unassigned(std::size_t aWorker) const
  {
    return mCapacity.FreeOrPreemptible(aWorker) - mAssigned[aWorker];
  }

  /**
   * Whether the request may take accelerators beyond its guaranteed shapes:
   * not if it is non-preemptible while another organisation is short.
   */
  bool MayUseSpare() const;

  /**
   * @return Whether all shapes that are covered now remain covered when the
   *   request holds one member on each of these workers.
   */
  bool Keeps(std::span<const std::size_t> aWorkers) const;

  PlacementDecision Placed(std::span<const std::size_t> aWorkers,
                           std::string aReason) const;

  /** The decision when no free place is suitable. */
  PlacementDecision ReclaimOrWait() const;

private:
  /** A place whose preemptible gangs must stop first. */
  struct Reclaim
  {
    std::vector<std::size_t> mWorkers;
    std::vector<std::size_t> mVictims;
    double mHours = 0;
  };

  /** Accelerators that a preemptible gang holds on one worker. */
  struct Borrowed
  {
    std::size_t mGang;
    std::uint64_t mBits;
  };

  void Allocate();
  bool IsOwed() const;
  std::vector<std::vector<Borrowed>> ReadBorrowed(bool aAnyHolder) const;
  std::vector<Reclaim> Reclaims(
    const std::vector<std::vector<Borrowed>>& aBorrowed,
    bool aUnassignedOnly,
    bool aWithheldToo) const;
  std::optional<Reclaim> ReclaimWithin(
    const std::vector<std::size_t>& aGroup,
    const std::vector<std::vector<Borrowed>>& aBorrowed,
    bool aUnassignedOnly,
    bool aWithheldToo) const;
  void DropNeedlessVictims(
    Reclaim& aReclaim,
    const std::vector<std::vector<Borrowed>>& aBorrowed) const;
  std::optional<Reclaim> FindReclaim(bool aWithheldToo) const;
  PlacementDecision Reclaimed(const Reclaim& aReclaim) const;
  GangPlacement MakePlacement(
    std::span<const std::size_t> aWorkers,
    const std::vector<std::uint64_t>& aReclaimedBits) const;
  std::vector<std::size_t> FirstFree() const;
  bool FitsEmptyFleet() const;
  std::string WaitReason() const;
  std::string GuaranteeReason(std::span<const std::size_t> aWorkers) const;

  PlacementRequest mRequest;
  FleetCapacity mCapacity;
  std::optional<std::size_t> mOrganisation;
  std::vector<std::size_t> mCovered;
  /** Shared accelerators of a worker that others' shapes are assigned. */
  std::vector<int> mAssigned;
  /** An organisation with a large part of these. */
  std::vector<std::optional<std::size_t>> mAssignee;
  /** Free accelerators of a worker that are not withheld. */
  std::vector<int> mRoom;
  std::vector<bool> mWithheld;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PLACEMENT_CONTEXT_H
