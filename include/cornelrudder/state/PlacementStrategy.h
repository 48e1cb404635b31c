#ifndef CORNELRUDDER_STATE_PLACEMENT_STRATEGY_H
#define CORNELRUDDER_STATE_PLACEMENT_STRATEGY_H

#include "cornelrudder/state/FleetSnapshot.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** What is to be placed. */
class PlacementRequest
{
public:
  PlacementRequest(OrganisationId aOrganisation,
                   Shape aShape,
                   bool aPreemptible)
    : mOrganisation(std::move(aOrganisation))
    , mShape(aShape)
    , mPreemptible(aPreemptible)
  {
  }

  const OrganisationId& Organisation() const { return mOrganisation; }
  const Shape& GangShape() const { return mShape; }
  bool Preemptible() const { return mPreemptible; }

  /** Workers on which accelerators are kept for another job. */
  const std::vector<VmId>& ReservedWorkers() const { return mReservedWorkers; }

  /** Accelerators kept on each of these workers. */
  int ReservedPerWorker() const { return mReservedPerWorker; }

  /**
   * @return The same request, which leaves that many accelerators of each
   *   worker free. Only a reclaim without another place may take them.
   */
  PlacementRequest WithReservation(std::vector<VmId> aWorkers,
                                   int aAcceleratorsPerWorker) const
  {
    PlacementRequest request = *this;
    request.mReservedWorkers = std::move(aWorkers);
    request.mReservedPerWorker = aAcceleratorsPerWorker;
    return request;
  }

  auto operator<=>(const PlacementRequest&) const = default;

private:
  OrganisationId mOrganisation;
  Shape mShape;
  bool mPreemptible;
  std::vector<VmId> mReservedWorkers;
  int mReservedPerWorker = 0;
};

enum class PlacementKind
{
  /** The accelerators are free. */
  kPlaced,
  /** The organisation is owed its shape; the victims must stop first. */
  kReclaim,
  /** It fits the fleet, but not now. */
  kWait,
  /** It cannot fit the fleet even when that is empty. */
  kNeverFits
};

/** A placement decision with its reason. */
class PlacementDecision
{
public:
  PlacementDecision(PlacementKind aKind,
                    GangPlacement aPlacement,
                    std::vector<JobId> aVictims,
                    std::string aReason)
    : mKind(aKind)
    , mPlacement(std::move(aPlacement))
    , mVictims(std::move(aVictims))
    , mReason(std::move(aReason))
  {
  }

  PlacementKind Kind() const { return mKind; }

  /** Set for kPlaced and kReclaim. */
  const GangPlacement& Placement() const { return mPlacement; }

  /** Preemptible gangs to stop, for kReclaim. */
  const std::vector<JobId>& Victims() const { return mVictims; }

  const std::string& Reason() const { return mReason; }

  auto operator<=>(const PlacementDecision&) const = default;

private:
  PlacementKind mKind;
  GangPlacement mPlacement;
  std::vector<JobId> mVictims;
  std::string mReason;
};

/** Strategy that places gangs; each keeps the joint guarantee. */
class PlacementStrategy
{
public:
  virtual ~PlacementStrategy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  virtual PlacementDecision Place(const FleetSnapshot& aSnapshot,
                                  const PlacementRequest& aRequest) const = 0;
};

/** @return All strategies; the first is the naive baseline. */
std::span<const PlacementStrategy* const>
AllPlacementStrategies();

/** @return The strategy of this name, or null. */
const PlacementStrategy*
FindPlacementStrategy(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PLACEMENT_STRATEGY_H
