#include "Packing.h"

#include "Hosting.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/** Maximum number of units with a reservation in a planning pass. */
constexpr int kMaxReservations = 2;
/**
 * Accelerators from which a task counts as large, since it needs a nearly empty
 * worker.
 */
constexpr std::int64_t kLargeAccelerators = 4;
/** Accelerators of a typical worker. */
constexpr std::int64_t kAcceleratorsPerWorker = 8;
/**
 * Age of the job up to which a guaranteed gang waits for capacity on a single
 * rack.
 */
constexpr Millis kSameRackWait{ 1'200 };
/**
 * Time that a unit waits, while most of the fleet is free and nothing of its
 * job runs, for a place that respects racks, reservations and headroom.
 * Together with the start of the run it stays well within the 3 s after which
 * the platform counts the job as lost.
 */
constexpr Millis kMaxPreferenceWait{ 1'500 };
/**
 * The same for a task that lasts, however full the fleet is, from the last
 * report of a run. The platform allows 6 s without a run.
 */
constexpr Millis kMaxPreferenceDownTime{ 1'500 };
/**
 * Time that a unit waits for schedulable workers before it also tries retryable
 * ones, if no schedulable worker can run it.
 */
constexpr Millis kRetryableWait{ 1'500 };
/**
 * Share of the workers that less urgent work leaves empty while urgent work is
 * waiting or running. Urgent work starts there at once; otherwise it would wait
 * up to a second for a preemption.
 */
constexpr double kHeadroomShare = 0.16;
/**
 * Weight of the number of empty workers in a rack: racks with many of them are
 * kept free for gangs.
 */
constexpr double kRackWeight = 0.01;
/**
 * Score penalty for recent failures; such a worker is used only if no other one
 * fits.
 */
constexpr double kFailurePenalty = 100.0;
/**
 * Score penalties for placing a task, under which a worker has crashed, beside
 * other tasks, and beside another such task. The next crash would not tell
 * which of them is the cause.
 */
constexpr double kSharedPenalty = 30.0;
constexpr double kSuspectsPenalty = 30.0;
/**
 * Weights of the logarithm of a worker's speed for urgent work, and of its
 * difference from the slowest worker of a gang, at whose speed all members
 * work. A slow worker is used if the others fit much worse.
 */
constexpr double kUrgentSpeedWeight = 4.0;
constexpr double kGangSpeedWeight = 4.0;
/** Smaller logarithms of speeds are not told apart from noise. */
constexpr double kSpeedNoise = 0.2;

/**
 * @param aMost Upper limit of the result.
 * @return Number of tasks of a unit that fit into the capacity of a worker
 *   which has none yet.
 */
std::size_t
CountPlaces(const WaitingUnit& aUnit, Resources aCapacity, std::size_t aMost)
{
  std::size_t n = 0;
  while (n < aMost && !IsAtLimit(aUnit, n) &&
         aUnit.mStep.Demand().FitsIn(aCapacity)) {
    aCapacity = aCapacity.Minus(aUnit.mStep.Demand());
    ++n;
  }
  return n;
}

/** @return The part of a logarithm of a speed that is not noise. */
double
WithoutNoise(double aLogSpeed)
{
  return aLogSpeed - std::clamp(aLogSpeed, -kSpeedNoise, kSpeedNoise);
}

/** @param aSlowest Logarithm of the slowest speed among the chosen workers. */
double
SpeedPenalty(const WaitingUnit& aUnit,
             const WorkerView& aWorker,
             std::optional<double> aSlowest)
{
  double penalty = 0.0;
  if (aUnit.mPriority == 0) {
    penalty -= kUrgentSpeedWeight * WithoutNoise(aWorker.mLogSpeed);
  }
  if (aUnit.mStep.IsGang() && aSlowest) {
    penalty +=
      kGangSpeedWeight * std::abs(WithoutNoise(aWorker.mLogSpeed - *aSlowest));
  }
  return penalty;
}

} // namespace

double
PackingScore(const WorkerView& aWorker,
             const Resources& aCapacity,
             const Resources& aDemand)
{
  const Resources left = aCapacity.Minus(aDemand);
  const auto memory = static_cast<double>(
    std::max<std::int64_t>(1, aWorker.mCapacity.MemoryMb()));
  return static_cast<double>(left.Accelerators()) +
         0.5 * static_cast<double>(left.MemoryMb()) / memory +
         aWorker.mFailureRate * kFailurePenalty;
}

void
Reservations::Add(const WaitingUnit& aUnit, const CapacityTracker& aCapacity)
{
  const std::int64_t accelerators = aUnit.mStep.Demand().Accelerators();
  const bool isLarge = accelerators >= kLargeAccelerators || aUnit.mTasks > 1 ||
                       aUnit.mIsolation == Isolation::kRequired;
  if (!isLarge || mCount >= kMaxReservations ||
      aUnit.mExpirySlack.count() < 0) {
    return;
  }
  const CapacitySnapshot free = aCapacity.Free();
  const std::string& rack = aUnit.mStep.AffinityRack();
  WorkerList hosts;
  std::size_t places = 0;
  for (const std::size_t i : aCapacity.Workers()) {
    const WorkerView& worker = aCapacity.View().mWorkers[i];
    const bool isOnRack = rack.empty() || rack == worker.mRack;
    if (isOnRack && CanHost(aUnit, worker, 0) && mPriorities[i] == kNone &&
        aUnit.mStep.Demand().FitsIn(worker.mCapacity)) {
      hosts.push_back(i);
      places += CountPlaces(aUnit, worker.mCapacity, aUnit.mTasks);
    }
  }
  if (places < aUnit.mTasks) {
    return;
  }
  std::sort(hosts.begin(), hosts.end(), [&free](auto aOne, auto aTwo) {
    return std::make_pair(-free.Of(aOne).Accelerators(), aOne) <
           std::make_pair(-free.Of(aTwo).Accelerators(), aTwo);
  });
  ++mCount;
  const auto perWorker = static_cast<std::size_t>(std::max<std::int64_t>(
    1, kAcceleratorsPerWorker / std::max<std::int64_t>(1, accelerators)));
  const std::size_t needed = (aUnit.mTasks + perWorker - 1) / perWorker;
  hosts.resize(std::min(hosts.size(), needed));
  for (const std::size_t i : hosts) {
    mPriorities[i] = aUnit.mPriority;
  }
}

Packer::Packer(const CapacityTracker& aCapacity,
               const Reservations& aReservations)
  : mCapacity(aCapacity)
  , mReservations(aReservations)
{
  const auto isUrgent = [](const auto& aUnit) { return aUnit.mPriority == 0; };
  const PlanningView& view = aCapacity.View();
  mHasUrgentWork =
    std::any_of(view.mWaiting.begin(), view.mWaiting.end(), isUrgent) ||
    std::any_of(view.mRunning.begin(), view.mRunning.end(), isUrgent);
}

std::optional<WorkerList>
Packer::Place(const WaitingUnit& aUnit, const CapacitySnapshot& aCapacity) const
{
  if (auto workers = PlaceByPreference(aUnit, aCapacity)) {
    return workers;
  }
  // With places for only one such unit, capacity is scarce for it.
  if (!MayIgnorePreferences(aUnit) || !FitsTwice(aUnit, aCapacity)) {
    return std::nullopt;
  }
  return PlaceOn(aUnit, mCapacity.Workers(), aCapacity, Preferences::kIgnored);
}

bool
Packer::MayIgnorePreferences(const WaitingUnit& aUnit) const
{
  if (aUnit.mStep.IsLongRunning()) {
    return aUnit.mDownTime >= kMaxPreferenceDownTime;
  }
  return !aUnit.mHasRunningPeers && aUnit.mWaitingTime >= kMaxPreferenceWait &&
         mCapacity.IsMostlyFree(aUnit.mService);
}

/**
 * @return Whether the free capacity holds the unit twice, apart from
 *   preferences. Tasks of the step that run already do not count towards its
 *   limit per worker: they make capacity for it no scarcer.
 */
bool
Packer::FitsTwice(const WaitingUnit& aUnit,
                  const CapacitySnapshot& aCapacity) const
{
  const std::size_t needed = 2 * aUnit.mTasks;
  const bool usesRetryable = UsesRetryable(aUnit, Preferences::kIgnored);
  std::size_t places = 0;
  for (const std::size_t i : mCapacity.Workers()) {
    if (places < needed && Accepts(aUnit, i, 0, aCapacity, usesRetryable)) {
      places += CountPlaces(aUnit, aCapacity.Of(i), needed - places);
    }
  }
  return places >= needed;
}

std::optional<WorkerList>
Packer::PlaceByPreference(const WaitingUnit& aUnit,
                          const CapacitySnapshot& aCapacity) const
{
  const WorkerList* rack = mCapacity.FindRack(aUnit.mStep.AffinityRack());
  if (rack != nullptr && !aUnit.mStep.AffinityRack().empty()) {
    auto workers = PlaceOn(aUnit, *rack, aCapacity);
    // On another rack the task runs several times longer, so waiting is better
    // up to twice the expected run time.
    if (workers ||
        (aUnit.mAge < 2 * aUnit.mExpectedRunTime && HasHost(aUnit, *rack))) {
      return workers;
    }
  }
  if (!PrefersOneRack(aUnit)) {
    return PlaceOn(aUnit, mCapacity.Workers(), aCapacity);
  }
  if (auto workers = PlaceOnOneRack(aUnit, aCapacity)) {
    return workers;
  }
  return MayCrossRacks(aUnit) ? PlaceOn(aUnit, mCapacity.Workers(), aCapacity)
                              : std::nullopt;
}

bool
Packer::MayCrossRacks(const WaitingUnit& aUnit) const
{
  return (aUnit.mGuaranteed && aUnit.mAge > kSameRackWait) ||
         !FitsAnyRack(aUnit);
}

bool
Packer::FitsAnyRack(const WaitingUnit& aUnit) const
{
  return PlaceOnOneRack(aUnit, mCapacity.Total()).has_value();
}

std::optional<WorkerList>
Packer::PlaceOnOneRack(const WaitingUnit& aUnit,
                       const CapacitySnapshot& aCapacity) const
{
  std::optional<WorkerList> best;
  std::int64_t bestLeft = std::numeric_limits<std::int64_t>::max();
  for (const WorkerList& members : mCapacity.Racks()) {
    auto workers = PlaceOn(aUnit, members, aCapacity);
    if (!workers) {
      continue;
    }
    std::int64_t left = 0;
    for (const std::size_t i : members) {
      left += std::max<std::int64_t>(0, aCapacity.Of(i).Accelerators());
    }
    if (left < bestLeft) {
      bestLeft = left;
      best = std::move(workers);
    }
  }
  return best;
}

/**
 * @return Number of empty workers that a unit may use after subtracting the
 *   headroom for urgent work; may be negative.
 */
double
Packer::UsableEmptyWorkers(const WaitingUnit& aUnit,
                           const CapacitySnapshot& aCapacity) const
{
  if (aUnit.mPriority == 0 || !mHasUrgentWork ||
      aUnit.mIsolation == Isolation::kRequired) {
    return std::numeric_limits<double>::max();
  }
  // Rounded down, so that a small fleet keeps no worker idle as headroom.
  const double headroom = std::floor(
    kHeadroomShare * static_cast<double>(mCapacity.WholeSchedulableWorkers()));
  return static_cast<double>(aCapacity.EmptySchedulable()) - headroom;
}

bool
Packer::HasHost(const WaitingUnit& aUnit, const WorkerList& aWorkers) const
{
  return std::any_of(
    aWorkers.begin(), aWorkers.end(), [&](std::size_t aWorker) {
      const WorkerView& worker = mCapacity.View().mWorkers[aWorker];
      return aUnit.mStep.Demand().FitsIn(worker.mCapacity) &&
             CanHost(aUnit, worker, 0);
    });
}

double
Packer::SuspectPenalty(const WaitingUnit& aUnit,
                       std::size_t aWorker,
                       bool aIsEmpty) const
{
  if (aUnit.mIsolation != Isolation::kPreferred) {
    return 0.0;
  }
  return (aIsEmpty ? 0.0 : kSharedPenalty) +
         (mCapacity.HasSuspect(aWorker) ? kSuspectsPenalty : 0.0);
}

/** @return Whether a unit also tries workers that are only retryable. */
bool
Packer::UsesRetryable(const WaitingUnit& aUnit, Preferences aPreferences) const
{
  const bool mustRun =
    aPreferences == Preferences::kIgnored && aUnit.mStep.IsLongRunning();
  return mustRun || (aUnit.mWaitingTime >= kRetryableWait &&
                     !HasHost(aUnit, mCapacity.Workers()));
}

/**
 * @param aTasksOnWorker Tasks of the step that the worker already has.
 * @return Whether a worker may run a task of a unit, apart from preferences.
 */
bool
Packer::Accepts(const WaitingUnit& aUnit,
                std::size_t aWorker,
                std::size_t aTasksOnWorker,
                const CapacitySnapshot& aCapacity,
                bool aUsesRetryable) const
{
  const Resources& capacity = aCapacity.Of(aWorker);
  if (!aUnit.mStep.Demand().FitsIn(capacity) || IsAvoided(aUnit, aWorker)) {
    return false;
  }
  if (aUnit.mIsolation == Isolation::kRequired &&
      !mCapacity.IsEmpty(aWorker, capacity)) {
    return false;
  }
  const WorkerView& worker = mCapacity.View().mWorkers[aWorker];
  return (worker.mSchedulable || (aUsesRetryable && worker.mRetryable)) &&
         IsSuitable(aUnit, worker, aTasksOnWorker);
}

std::vector<Packer::Candidate>
Packer::CandidatesFor(const WaitingUnit& aUnit,
                      const WorkerList& aWorkers,
                      const CapacitySnapshot& aCapacity,
                      Preferences aPreferences) const
{
  const bool usesRetryable = UsesRetryable(aUnit, aPreferences);
  std::vector<Candidate> candidates;
  candidates.reserve(aWorkers.size());
  for (const std::size_t i : aWorkers) {
    const bool isReserved =
      aPreferences == Preferences::kRespected && mReservations.Blocks(i, aUnit);
    if (isReserved || !aUnit.mStep.Demand().FitsIn(aCapacity.Of(i))) {
      continue;
    }
    const std::size_t n = mCapacity.TasksOn(aUnit, i);
    if (Accepts(aUnit, i, n, aCapacity, usesRetryable)) {
      candidates.push_back({ i, aCapacity.Of(i), n });
    }
  }
  return candidates;
}

/** Places each task on the worker that it fits most tightly. */
std::optional<WorkerList>
Packer::PlaceOn(const WaitingUnit& aUnit,
                const WorkerList& aWorkers,
                const CapacitySnapshot& aCapacity,
                Preferences aPreferences) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<Candidate> candidates =
    CandidatesFor(aUnit, aWorkers, aCapacity, aPreferences);
  double emptyLeft = aPreferences == Preferences::kRespected
                       ? UsableEmptyWorkers(aUnit, aCapacity)
                       : std::numeric_limits<double>::max();
  WorkerList workers;
  std::optional<double> slowest;
  while (workers.size() < aUnit.mTasks) {
    double bestScore = std::numeric_limits<double>::max();
    Candidate* best = nullptr;
    for (Candidate& candidate : candidates) {
      const WorkerView& worker = mCapacity.View().mWorkers[candidate.mWorker];
      const bool isEmpty =
        mCapacity.IsEmpty(candidate.mWorker, candidate.mCapacity);
      if (!demand.FitsIn(candidate.mCapacity) || (isEmpty && emptyLeft < 1.0) ||
          IsAtLimit(aUnit, candidate.mTasks)) {
        continue;
      }
      const int emptyInRack =
        isEmpty ? aCapacity.EmptyInRack(mCapacity.RackOf(candidate.mWorker))
                : 0;
      const double score = PackingScore(worker, candidate.mCapacity, demand) +
                           kRackWeight * emptyInRack +
                           SuspectPenalty(aUnit, candidate.mWorker, isEmpty) +
                           SpeedPenalty(aUnit, worker, slowest);
      if (score < bestScore) {
        bestScore = score;
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    workers.push_back(best->mWorker);
    const double logSpeed = mCapacity.View().mWorkers[best->mWorker].mLogSpeed;
    slowest = std::min(slowest.value_or(logSpeed), logSpeed);
    emptyLeft -= mCapacity.IsEmpty(best->mWorker, best->mCapacity) ? 1.0 : 0.0;
    best->mCapacity = best->mCapacity.Minus(demand);
    ++best->mTasks;
  }
  return workers;
}

} // namespace cornelrudder::state::scheduling
