#include "cornelrudder/state/QueuePass.h"

#include "PlacementContext.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cornelrudder::state {

namespace {

/** Limit on the distinct requests tried in one step, which bounds its cost. */
constexpr std::size_t kMaxRequestsPerStep = 32;

/**
 * Reserves the workers on which the fewest accelerators still have to become
 * free. Declared run times are ignored, since they are often far off.
 * @return Nothing if no group of workers is large enough.
 */
std::optional<Reservation>
Reserve(const FleetSnapshot& aSnapshot, const QueuedJob& aJob)
{
  const PlacementContext context(aSnapshot, aJob.Request());
  const auto& workers = aSnapshot.Workers().All();
  const auto missing = [&context](std::size_t aWorker) {
    return std::max(
      0, context.PerWorker() - context.Capacity().FreeAccelerators(aWorker));
  };
  std::vector<std::size_t> best;
  int least = 0;
  for (const auto& group : context.Groups()) {
    std::vector<std::size_t> members;
    for (const std::size_t w : group) {
      // A non-preemptible job cannot start on accelerators that the joint
      // allocation assigns to other organisations.
      const int usable = aJob.Request().Preemptible()
                           ? workers[w].Accelerators()
                           : context.UnassignedAccelerators(w);
      if (usable >= context.PerWorker()) {
        members.push_back(w);
      }
    }
    if (members.size() < context.Members()) {
      continue;
    }
    std::stable_sort(
      members.begin(), members.end(), [&](std::size_t aLeft, auto aRight) {
        return missing(aLeft) < missing(aRight);
      });
    members.resize(context.Members());
    int sum = 0;
    for (const std::size_t w : members) {
      sum += missing(w);
    }
    if (best.empty() || sum < least) {
      best = std::move(members);
      least = sum;
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  std::vector<VmId> names;
  for (const std::size_t w : best) {
    names.push_back(workers[w].Name());
  }
  return Reservation(aJob.Job(), std::move(names), context.PerWorker());
}

/** @return The reservation if its job is still queued and its workers exist. */
std::optional<Reservation>
StillValid(const std::optional<Reservation>& aReservation,
           std::span<const QueuedJob> aJobs,
           const FleetSnapshot& aSnapshot)
{
  if (!aReservation ||
      std::none_of(aJobs.begin(), aJobs.end(), [&](const QueuedJob& aJob) {
        return aJob.Job() == aReservation->Job();
      })) {
    return std::nullopt;
  }
  const auto& workers = aReservation->Workers();
  const bool present =
    std::all_of(workers.begin(), workers.end(), [&](const VmId& aWorker) {
      return aSnapshot.Topology().Find(aWorker).has_value();
    });
  return present ? aReservation : std::nullopt;
}

} // namespace

QueueStep
NextQueueStep(std::span<const QueuedJob> aJobs,
              const FleetSnapshot& aSnapshot,
              const JobOrderPolicy& aPolicy,
              const PlacementStrategy& aStrategy,
              const JobOrderContext& aContext,
              const std::optional<Reservation>& aReservation)
{
  std::optional<Reservation> reservation;
  if (aPolicy.AllowsBackfill()) {
    reservation = StillValid(aReservation, aJobs, aSnapshot);
  }
  std::set<PlacementRequest> waiting;
  std::optional<PlacementDecision> firstWait;
  for (const std::size_t position :
       aPolicy.ServiceOrder(aJobs, aSnapshot, aContext)) {
    const QueuedJob& job = aJobs[position];
    const bool reserved = reservation && reservation->Job() == job.Job();
    // An equal request already has to wait, so this one does too.
    if (!reserved && waiting.contains(job.Request())) {
      continue;
    }
    const PlacementRequest request =
      reservation && !reserved
        ? job.Request().WithReservation(reservation->Workers(),
                                        reservation->AcceleratorsPerWorker())
        : job.Request();
    PlacementDecision decision = aStrategy.Place(aSnapshot, request);
    if (decision.Kind() != PlacementKind::kWait) {
      if (reserved) {
        reservation.reset();
      }
      return { position, std::move(decision), std::move(reservation) };
    }
    if (!firstWait) {
      firstWait = std::move(decision);
    }
    if (!aPolicy.AllowsBackfill() ||
        waiting.size() + 1 >= kMaxRequestsPerStep) {
      break;
    }
    waiting.insert(job.Request());
    if (!reservation) {
      reservation = Reserve(aSnapshot, job);
    }
  }
  return { std::nullopt,
           firstWait.value_or(
             PlacementDecision(PlacementKind::kWait, {}, {}, "empty queue")),
           std::move(reservation) };
}

} // namespace cornelrudder::state
