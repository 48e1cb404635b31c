#include "cornelrudder/state/QueuePass.h"

#include "PlacementContext.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cornelrudder::state {

namespace {

/** Distinct requests tried in one step, which bounds its cost. */
constexpr std::size_t kMaxTries = 32;

/**
 * Chooses the place that has to wait for the fewest accelerators. It does not
 * depend on declared run times, since these are often far off.
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
      // A non-preemptible job could not start on what others are assigned.
      const int room = aJob.Request().Preemptible() ? workers[w].Accelerators()
                                                    : context.Unassigned(w);
      if (room >= context.PerWorker()) {
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

/** @return The reservation if its job still waits and its workers are left. */
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
  std::optional<PlacementDecision> first;
  for (const std::size_t position :
       aPolicy.ServiceOrder(aJobs, aSnapshot, aContext)) {
    const QueuedJob& job = aJobs[position];
    const bool reserved = reservation && reservation->Job() == job.Job();
    // Equal requests get the same decision.
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
    if (!first) {
      first = std::move(decision);
    }
    if (!aPolicy.AllowsBackfill() || waiting.size() + 1 >= kMaxTries) {
      break;
    }
    waiting.insert(job.Request());
    if (!reservation) {
      reservation = Reserve(aSnapshot, job);
    }
  }
  return { std::nullopt,
           first.value_or(
             PlacementDecision(PlacementKind::kWait, {}, {}, "empty queue")),
           std::move(reservation) };
}

} // namespace cornelrudder::state
