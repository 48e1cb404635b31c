#include "Preemption.h"

#include "Hosting.h"

#include <algorithm>
#include <tuple>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/**
 * Age from which guaranteed work preempts other work regardless of its priority
 * and of the loss. Such a preemption is a reclaim: the organisation takes back
 * its guaranteed accelerators. Together with the time for a stop and a start
 * command, the work starts well within the 3.4 s that the platform allows for a
 * reclaim.
 */
constexpr Millis kReclaimAge{ 1'200 };
/**
 * Limit of the work that a preemption may lose, as a multiple of the work of
 * the urgent unit. Beyond it, the loss outweighs the gain from meeting the
 * objective.
 */
constexpr double kMaxLossRatio = 2.0;
/** Weight of the packing score, which decides between nearly equal losses. */
constexpr double kFitWeight = 1e-3;

bool
IsReclaimDue(const WaitingUnit& aUnit)
{
  return aUnit.mGuaranteed && aUnit.mAge > kReclaimAge;
}

bool
MayPreempt(const WaitingUnit& aUnit)
{
  // Preempting all work of a worker for a task that may crash it loses too
  // much.
  return aUnit.mPriority == 0 && aUnit.mIsolation != Isolation::kRequired &&
         (aUnit.mSlack.count() >= 0 || IsReclaimDue(aUnit));
}

/** @return Expected work of the unit in core seconds. */
double
WorkOf(const WaitingUnit& aUnit)
{
  return aUnit.mStep.Demand().WeightedCores() *
         static_cast<double>(aUnit.mTasks) *
         static_cast<double>(aUnit.mExpectedRunTime.count()) / 1'000.0;
}

} // namespace

Preemptor::Preemptor(const CapacityTracker& aCapacity, const Packer& aPacker)
  : mCapacity(aCapacity)
  , mPacker(aPacker)
  , mPreempted(aCapacity.View().mRunning.size())
{
}

void
Preemptor::IndexUsage()
{
  mUsage.resize(mCapacity.Workers().size());
  const std::vector<RunningUnit>& running = mCapacity.View().mRunning;
  for (std::size_t i = 0; i < running.size(); ++i) {
    for (const WorkerAllocation& allocation : running[i].mAllocations) {
      std::vector<Usage>& usages = mUsage[allocation.mWorker];
      // Units are visited in sequence, so only the last entry can belong to
      // this one.
      if (usages.empty() || usages.back().mUnit != i) {
        usages.push_back({ i, Resources() });
      }
      usages.back().mUsed = usages.back().mUsed.Plus(allocation.mUsed);
    }
  }
}

bool
Preemptor::CanBePreempted(std::size_t aRunning, const WaitingUnit& aUnit) const
{
  const RunningUnit& running = mCapacity.View().mRunning[aRunning];
  if (running.mGuaranteed || mPreempted[aRunning]) {
    return false;
  }
  // Preempting equally urgent work would only change which unit waits. It is
  // allowed only for a due reclaim.
  return running.mPriority > aUnit.mPriority || IsReclaimDue(aUnit);
}

std::optional<PreemptionChoice>
Preemptor::Choose(const WaitingUnit& aUnit,
                  const CapacitySnapshot& aFreeAfterStops)
{
  if (!MayPreempt(aUnit)) {
    return std::nullopt;
  }
  if (mUsage.empty()) {
    IndexUsage();
  }
  const WorkerList* rack = mCapacity.FindRack(aUnit.mStep.AffinityRack());
  if (rack != nullptr && !aUnit.mStep.AffinityRack().empty()) {
    if (auto choice = ChooseOn(aUnit, *rack, aFreeAfterStops)) {
      return choice;
    }
  }
  if (!PrefersOneRack(aUnit)) {
    return ChooseOn(aUnit, mCapacity.Workers(), aFreeAfterStops);
  }
  std::optional<PreemptionChoice> best;
  for (const WorkerList& members : mCapacity.Racks()) {
    auto choice = ChooseOn(aUnit, members, aFreeAfterStops);
    if (choice && (!best || choice->mCost < best->mCost)) {
      best = std::move(choice);
    }
  }
  if (!best && (aUnit.mGuaranteed || !mPacker.FitsAnyRack(aUnit))) {
    best = ChooseOn(aUnit, mCapacity.Workers(), aFreeAfterStops);
  }
  return best;
}

void
Preemptor::MarkPreempted(const PreemptionChoice& aChoice,
                         CapacityTracker& aCapacity)
{
  for (const std::size_t victim : aChoice.mVictims) {
    mPreempted[victim] = true;
    for (const WorkerAllocation& allocation :
         mCapacity.View().mRunning[victim].mAllocations) {
      aCapacity.AddReleasing(allocation.mWorker, allocation.mUsed);
    }
  }
}

/**
 * Selects workers one task at a time, each with the smallest additional loss.
 */
std::optional<PreemptionChoice>
Preemptor::ChooseOn(const WaitingUnit& aUnit,
                    const WorkerList& aWorkers,
                    const CapacitySnapshot& aFreeAfterStops) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<Resources> freeAfterStops = aFreeAfterStops.All();
  std::vector<std::size_t> placedTasks(freeAfterStops.size());
  std::vector<bool> chosen(mPreempted.size());
  PreemptionChoice choice;
  for (std::size_t n = 0; n < aUnit.mTasks; ++n) {
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::max();
    std::vector<std::size_t> bestVictims;
    for (const std::size_t i : aWorkers) {
      const WorkerView& worker = mCapacity.View().mWorkers[i];
      const std::size_t tasks = mCapacity.TasksOn(aUnit, i) + placedTasks[i];
      if (!demand.FitsIn(worker.mCapacity) || IsAvoided(aUnit, i) ||
          !CanHost(aUnit, worker, tasks)) {
        continue;
      }
      double lost = 0.0;
      auto victims = FindVictims(aUnit, i, freeAfterStops[i], chosen, lost);
      if (!victims) {
        continue;
      }
      const double score =
        lost + PackingScore(worker, freeAfterStops[i], demand) * kFitWeight;
      if (score < bestScore) {
        bestScore = score;
        best = i;
        bestVictims = std::move(*victims);
      }
    }
    if (!best) {
      return std::nullopt;
    }
    for (const std::size_t victim : bestVictims) {
      const RunningUnit& running = mCapacity.View().mRunning[victim];
      chosen[victim] = true;
      choice.mVictims.push_back(victim);
      choice.mCost += running.mLostCoreSeconds;
      for (const WorkerAllocation& allocation : running.mAllocations) {
        freeAfterStops[allocation.mWorker] =
          freeAfterStops[allocation.mWorker].Plus(allocation.mUsed);
      }
    }
    freeAfterStops[*best] = freeAfterStops[*best].Minus(demand);
    ++placedTasks[*best];
    choice.mWorkers.push_back(*best);
  }
  if (!IsReclaimDue(aUnit) && choice.mCost > kMaxLossRatio * WorkOf(aUnit)) {
    return std::nullopt;
  }
  return choice;
}

/**
 * @return Units to preempt on a worker so that a task fits, or nothing if the
 *   task does not fit even then.
 */
std::optional<std::vector<std::size_t>>
Preemptor::FindVictims(const WaitingUnit& aUnit,
                       std::size_t aWorker,
                       Resources aCapacity,
                       const std::vector<bool>& aChosen,
                       double& aLost) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<std::size_t> victims;
  if (demand.FitsIn(aCapacity)) {
    return victims;
  }
  const std::vector<RunningUnit>& running = mCapacity.View().mRunning;
  // Least urgent first, then the least loss per weighted core that is freed.
  using Candidate = std::tuple<int, double, std::size_t, const Usage*>;
  std::vector<Candidate> candidates;
  for (const Usage& usage : mUsage[aWorker]) {
    if (CanBePreempted(usage.mUnit, aUnit) && !aChosen[usage.mUnit]) {
      const RunningUnit& unit = running[usage.mUnit];
      candidates.emplace_back(-unit.mPriority,
                              unit.mLostCoreSeconds /
                                std::max(1.0, usage.mUsed.WeightedCores()),
                              unit.mKey,
                              &usage);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const Candidate& candidate : candidates) {
    const Usage& usage = *std::get<const Usage*>(candidate);
    victims.push_back(usage.mUnit);
    aLost += running[usage.mUnit].mLostCoreSeconds;
    aCapacity = aCapacity.Plus(usage.mUsed);
    if (demand.FitsIn(aCapacity)) {
      return victims;
    }
  }
  return std::nullopt;
}

} // namespace cornelrudder::state::scheduling
