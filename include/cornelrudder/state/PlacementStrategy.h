#ifndef CORNELRUDDER_STATE_PLACEMENT_STRATEGY_H
#define CORNELRUDDER_STATE_PLACEMENT_STRATEGY_H

#include "cornelrudder/state/FleetSnapshot.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** A gang to be placed. */
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

  /** Workers on which accelerators are reserved for another job. */
  const std::vector<VmId>& ReservedWorkers() const { return mReservedWorkers; }

  /** Accelerators reserved on each of these workers. */
  int ReservedPerWorker() const { return mReservedPerWorker; }

  /**
   * @return The same request with a reservation for another job: it leaves that
   *   many accelerators free on each worker. Only a reclaim that has no other
   *   placement may use them.
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
  /** The gang can be placed on free accelerators. */
  kPlaced,
  /** The organisation reclaims a guaranteed shape; victims must stop first. */
  kReclaim,
  /** The gang fits into the fleet, but cannot be placed now. */
  kWait,
  /** The gang does not fit even into the empty fleet. */
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

/** Strategy that places gangs; every strategy preserves the joint guarantee. */
class PlacementStrategy
{
public:
  virtual ~PlacementStrategy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  virtual PlacementDecision Place(const FleetSnapshot& aSnapshot,
                                  const PlacementRequest& aRequest) const = 0;
};

/** @return All strategies; the first is the baseline for comparisons. */
std::span<const PlacementStrategy* const>
AllPlacementStrategies();

/** @return The strategy of this name, or null. */
const PlacementStrategy*
FindPlacementStrategy(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PLACEMENT_STRATEGY_H
