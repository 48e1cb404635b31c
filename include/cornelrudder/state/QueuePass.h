#ifndef CORNELRUDDER_STATE_QUEUE_PASS_H
#define CORNELRUDDER_STATE_QUEUE_PASS_H

#include "cornelrudder/state/JobOrderPolicy.h"
#include "cornelrudder/state/Reservation.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cornelrudder::state {

/** The next step for a queue: the job to handle now, or none. */
class QueueStep
{
public:
  QueueStep(std::optional<std::size_t> aJob,
            PlacementDecision aDecision,
            std::optional<Reservation> aReservation)
    : mJob(aJob)
    , mDecision(std::move(aDecision))
    , mReservation(std::move(aReservation))
  {
  }

  /** Position of the job to place, to reclaim for or to reject, or nothing. */
  const std::optional<std::size_t>& Job() const { return mJob; }

  /** The decision for that job; without one, the first kWait decision. */
  const PlacementDecision& Decision() const { return mDecision; }

  /** The reservation to pass to the next call of NextQueueStep(). */
  const std::optional<Reservation>& NextReservation() const
  {
    return mReservation;
  }

  auto operator<=>(const QueueStep&) const = default;

private:
  std::optional<std::size_t> mJob;
  PlacementDecision mDecision;
  std::optional<Reservation> mReservation;
};

/**
 * Scans the queue in order for the first job that need not wait. The first job
 * that has to wait gets a reservation, which it keeps until it starts, it
 * leaves the queue or a reserved worker leaves the fleet. Later jobs start only
 * outside the reservation, unless they reclaim a guaranteed shape that has no
 * other placement.
 * @param aReservation Reservation returned by the previous call.
 */
QueueStep
NextQueueStep(std::span<const QueuedJob> aJobs,
              const FleetSnapshot& aSnapshot,
              const JobOrderPolicy& aPolicy,
              const PlacementStrategy& aStrategy,
              const JobOrderContext& aContext,
              const std::optional<Reservation>& aReservation);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_QUEUE_PASS_H
