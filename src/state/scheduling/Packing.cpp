#include "Packing.h"

#include "Hosting.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/** Units that workers are kept for at a time. */
constexpr int kMaxReservations = 2;
/** A task with this many accelerators needs a worker that is nearly empty. */
constexpr std::int64_t kLargeAccelerators = 4;
/** Accelerators of a usual worker. */
constexpr std::int64_t kWholeWorker = 8;
/** How long a guaranteed gang waits for one rack. */
constexpr Millis kRackWait{ 1'200 };
/**
 * Share of the workers that less urgent work leaves empty while urgent work is
 * about: it starts at once there, where it would otherwise wait up to a second
 * for something to be stopped.
 */
constexpr double kHeadroomShare = 0.16;
/** Keeps the empty workers of a rack together, for gangs. */
constexpr double kRackWeight = 0.01;
/** Score of a worker whose last run failed: used when nothing else fits. */
constexpr double kRiskPenalty = 100.0;

} // namespace

double
PackingScore(const WorkerView& aWorker,
             const Resources& aRoom,
             const Resources& aDemand)
{
  const Resources left = aRoom.Minus(aDemand);
  const auto memory =
    static_cast<double>(std::max<std::int64_t>(1, aWorker.mRoom.MemoryMb()));
  return static_cast<double>(left.Accelerators()) +
         0.5 * static_cast<double>(left.MemoryMb()) / memory +
         aWorker.mRisk * kRiskPenalty;
}

void
Reservations::Add(const WaitingUnit& aUnit, const FleetRoom& aRoom)
{
  const std::int64_t accelerators = aUnit.mStep.Demand().Accelerators();
  const bool isLarge = accelerators >= kLargeAccelerators || aUnit.mTasks > 1;
  if (!isLarge || mCount >= kMaxReservations || aUnit.mLateSlack.count() < 0) {
    return;
  }
  const RoomSnapshot free = aRoom.Free();
  const std::string& rack = aUnit.mStep.AffinityRack();
  WorkerList hosts;
  for (const std::size_t i : aRoom.Workers()) {
    const WorkerView& worker = aRoom.View().mWorkers[i];
    const bool isRight = rack.empty() || rack == worker.mRack;
    if (isRight && CanHost(aUnit, worker, 0) && mPriorities[i] == kNone) {
      hosts.push_back(i);
    }
  }
  std::sort(hosts.begin(), hosts.end(), [&free](auto aOne, auto aTwo) {
    return std::make_pair(-free.Of(aOne).Accelerators(), aOne) <
           std::make_pair(-free.Of(aTwo).Accelerators(), aTwo);
  });
  ++mCount;
  const auto perWorker = static_cast<std::size_t>(std::max<std::int64_t>(
    1, kWholeWorker / std::max<std::int64_t>(1, accelerators)));
  const std::size_t needed = (aUnit.mTasks + perWorker - 1) / perWorker;
  hosts.resize(std::min(hosts.size(), needed));
  for (const std::size_t i : hosts) {
    mPriorities[i] = aUnit.mPriority;
  }
}

Packer::Packer(const FleetRoom& aRoom, const Reservations& aReservations)
  : mRoom(aRoom)
  , mReservations(aReservations)
{
  const auto isUrgent = [](const auto& aUnit) { return aUnit.mPriority == 0; };
  const PlanningView& view = aRoom.View();
  mIsUrgentWorkAbout =
    std::any_of(view.mWaiting.begin(), view.mWaiting.end(), isUrgent) ||
    std::any_of(view.mRunning.begin(), view.mRunning.end(), isUrgent);
}

std::optional<WorkerList>
Packer::Place(const WaitingUnit& aUnit, const RoomSnapshot& aRoom) const
{
  const WorkerList* rack = mRoom.FindRack(aUnit.mStep.AffinityRack());
  if (rack != nullptr && !aUnit.mStep.AffinityRack().empty()) {
    auto workers = PlaceOn(aUnit, *rack, aRoom);
    // Off its rack a task takes several times as long; waiting is better as
    // long as it costs less than that.
    if (workers || aUnit.mAge < 2 * aUnit.mExpected) {
      return workers;
    }
  }
  if (!WantsOneRack(aUnit)) {
    return PlaceOn(aUnit, mRoom.Workers(), aRoom);
  }
  if (auto workers = PlaceOnOneRack(aUnit, aRoom)) {
    return workers;
  }
  return MayCrossRacks(aUnit) ? PlaceOn(aUnit, mRoom.Workers(), aRoom)
                              : std::nullopt;
}

bool
Packer::MayCrossRacks(const WaitingUnit& aUnit) const
{
  return (aUnit.mGuaranteed && aUnit.mAge > kRackWait) || !FitsAnyRack(aUnit);
}

bool
Packer::FitsAnyRack(const WaitingUnit& aUnit) const
{
  return PlaceOnOneRack(aUnit, mRoom.Whole()).has_value();
}

std::optional<WorkerList>
Packer::PlaceOnOneRack(const WaitingUnit& aUnit,
                       const RoomSnapshot& aRoom) const
{
  std::optional<WorkerList> best;
  std::int64_t bestLeft = std::numeric_limits<std::int64_t>::max();
  for (const WorkerList& members : mRoom.Racks()) {
    auto workers = PlaceOn(aUnit, members, aRoom);
    if (!workers) {
      continue;
    }
    std::int64_t left = 0;
    for (const std::size_t i : members) {
      left += std::max<std::int64_t>(0, aRoom.Of(i).Accelerators());
    }
    if (left < bestLeft) {
      bestLeft = left;
      best = std::move(workers);
    }
  }
  return best;
}

/** @return Empty workers that less urgent work may still use. */
double
Packer::EmptyWorkersLeft(const WaitingUnit& aUnit,
                         const RoomSnapshot& aRoom) const
{
  if (aUnit.mPriority == 0 || !mIsUrgentWorkAbout) {
    return std::numeric_limits<double>::max();
  }
  // Whole workers, so that a small fleet is not left idle for it.
  const double headroom =
    std::floor(kHeadroomShare * static_cast<double>(mRoom.UsableWorkers()));
  return static_cast<double>(aRoom.EmptyUsable()) - headroom;
}

std::vector<Packer::Candidate>
Packer::CandidatesFor(const WaitingUnit& aUnit,
                      const WorkerList& aWorkers,
                      const RoomSnapshot& aRoom) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<Candidate> candidates;
  candidates.reserve(aWorkers.size());
  for (const std::size_t i : aWorkers) {
    if (!demand.FitsIn(aRoom.Of(i)) || mReservations.IsAgainst(i, aUnit) ||
        IsAvoided(aUnit, i)) {
      continue;
    }
    const std::size_t n = mRoom.TasksThere(aUnit, i);
    if (CanHost(aUnit, mRoom.View().mWorkers[i], n)) {
      candidates.push_back({ i, aRoom.Of(i), n });
    }
  }
  return candidates;
}

/** Places each task on the worker that it fills best. */
std::optional<WorkerList>
Packer::PlaceOn(const WaitingUnit& aUnit,
                const WorkerList& aWorkers,
                const RoomSnapshot& aRoom) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<Candidate> candidates = CandidatesFor(aUnit, aWorkers, aRoom);
  double emptyLeft = EmptyWorkersLeft(aUnit, aRoom);
  WorkerList workers;
  while (workers.size() < aUnit.mTasks) {
    double bestScore = std::numeric_limits<double>::max();
    Candidate* best = nullptr;
    for (Candidate& candidate : candidates) {
      const WorkerView& worker = mRoom.View().mWorkers[candidate.mWorker];
      const bool isEmpty = mRoom.IsEmpty(candidate.mWorker, candidate.mRoom);
      if (!demand.FitsIn(candidate.mRoom) || (isEmpty && emptyLeft < 1.0) ||
          IsAtLimit(aUnit, candidate.mTasks)) {
        continue;
      }
      const int emptyInRack =
        isEmpty ? aRoom.EmptyInRack(mRoom.RackOf(candidate.mWorker)) : 0;
      const double score = PackingScore(worker, candidate.mRoom, demand) +
                           kRackWeight * emptyInRack;
      if (score < bestScore) {
        bestScore = score;
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    workers.push_back(best->mWorker);
    emptyLeft -= mRoom.IsEmpty(best->mWorker, best->mRoom) ? 1.0 : 0.0;
    best->mRoom = best->mRoom.Minus(demand);
    ++best->mTasks;
  }
  return workers;
}

} // namespace cornelrudder::state::scheduling
