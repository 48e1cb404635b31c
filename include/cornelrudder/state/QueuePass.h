#ifndef CORNELRUDDER_STATE_QUEUE_PASS_H
#define CORNELRUDDER_STATE_QUEUE_PASS_H

#include "cornelrudder/state/JobOrderPolicy.h"
#include "cornelrudder/state/Reservation.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cornelrudder::state {

/** The next step for a queue: one job to act on, or none. */
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

  /** Position of the job to place, reclaim for or refuse; nothing if none. */
  const std::optional<std::size_t>& Job() const { return mJob; }

  /** The decision for that job, or kWait with the reason of the first one. */
  const PlacementDecision& Decision() const { return mDecision; }

  /** To be passed to the next step. */
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
 * Goes through the queue in order until a job can be acted on. The first job
 * that waits gets a reservation, which it keeps until it starts or leaves the
 * queue; later jobs start only outside of it, unless they reclaim a guaranteed
 * shape that has no other place.
 * @param aReservation What the step before returned.
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
