#include "Preemption.h"

#include "Hosting.h"

#include <algorithm>
#include <tuple>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/**
 * Age from which guaranteed work is started whatever it costs others: with
 * the time of a stop and of an order it begins well within the 3.4 s that the
 * platform allows for a reclaim.
 */
constexpr Millis kGuaranteeWait{ 1'200 };
/**
 * Work that an urgent unit may destroy, as a multiple of its own: beyond it,
 * the loss outweighs what its caller gains by being in time.
 */
constexpr double kMaxLostShare = 2.0;
/** Lets the fit of a worker decide between equal losses. */
constexpr double kFitWeight = 1e-3;

bool
IsReclaimDue(const WaitingUnit& aUnit)
{
  return aUnit.mGuaranteed && aUnit.mAge > kGuaranteeWait;
}

bool
MayPreempt(const WaitingUnit& aUnit)
{
  return aUnit.mPriority == 0 &&
         (aUnit.mSlack.count() >= 0 || IsReclaimDue(aUnit));
}

/** @return Core seconds of the unit's own work. */
double
OwnWork(const WaitingUnit& aUnit)
{
  return aUnit.mStep.Demand().WeightedCores() *
         static_cast<double>(aUnit.mTasks) *
         static_cast<double>(aUnit.mExpectedRunTime.count()) / 1'000.0;
}

} // namespace

Preemptor::Preemptor(const CapacityTracker& aCapacity, const Packer& aPacker)
  : mCapacity(aCapacity)
  , mPacker(aPacker)
  , mStopped(aCapacity.View().mRunning.size())
{
}

void
Preemptor::IndexUsage()
{
  mUsage.resize(mCapacity.Workers().size());
  const std::vector<RunningUnit>& running = mCapacity.View().mRunning;
  for (std::size_t i = 0; i < running.size(); ++i) {
    for (const WorkerAllocation& allocation : running[i].mAllocations) {
      std::vector<Usage>& there = mUsage[allocation.mWorker];
      // Units are taken in turn: an entry of this one can only be the last.
      if (there.empty() || there.back().mUnit != i) {
        there.push_back({ i, Resources() });
      }
      there.back().mUsed = there.back().mUsed.Plus(allocation.mUsed);
    }
  }
}

bool
Preemptor::IsVictim(std::size_t aRunning, const WaitingUnit& aUnit) const
{
  const RunningUnit& running = mCapacity.View().mRunning[aRunning];
  if (running.mGuaranteed || mStopped[aRunning]) {
    return false;
  }
  // Equally urgent work would only change places with it.
  return running.mPriority > aUnit.mPriority || IsReclaimDue(aUnit);
}

std::optional<PreemptionChoice>
Preemptor::Choose(const WaitingUnit& aUnit, const CapacitySnapshot& aSoon)
{
  if (!MayPreempt(aUnit)) {
    return std::nullopt;
  }
  if (mUsage.empty()) {
    IndexUsage();
  }
  const WorkerList* rack = mCapacity.FindRack(aUnit.mStep.AffinityRack());
  if (rack != nullptr && !aUnit.mStep.AffinityRack().empty()) {
    if (auto choice = ChooseOn(aUnit, *rack, aSoon)) {
      return choice;
    }
  }
  if (!WantsOneRack(aUnit)) {
    return ChooseOn(aUnit, mCapacity.Workers(), aSoon);
  }
  std::optional<PreemptionChoice> best;
  for (const WorkerList& members : mCapacity.Racks()) {
    auto choice = ChooseOn(aUnit, members, aSoon);
    if (choice && (!best || choice->mCost < best->mCost)) {
      best = std::move(choice);
    }
  }
  if (!best && (aUnit.mGuaranteed || !mPacker.FitsAnyRack(aUnit))) {
    best = ChooseOn(aUnit, mCapacity.Workers(), aSoon);
  }
  return best;
}

void
Preemptor::Stop(const PreemptionChoice& aChoice, CapacityTracker& aCapacity)
{
  for (const std::size_t victim : aChoice.mVictims) {
    mStopped[victim] = true;
    for (const WorkerAllocation& allocation :
         mCapacity.View().mRunning[victim].mAllocations) {
      aCapacity.AddReleasing(allocation.mWorker, allocation.mUsed);
    }
  }
}

/** Chooses workers one task at a time, each at the smallest extra loss. */
std::optional<PreemptionChoice>
Preemptor::ChooseOn(const WaitingUnit& aUnit,
                    const WorkerList& aWorkers,
                    const CapacitySnapshot& aSoon) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<Resources> soon = aSoon.All();
  std::vector<std::size_t> there(soon.size());
  std::vector<bool> chosen(mStopped.size());
  PreemptionChoice choice;
  for (std::size_t n = 0; n < aUnit.mTasks; ++n) {
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::max();
    std::vector<std::size_t> bestVictims;
    for (const std::size_t i : aWorkers) {
      const WorkerView& worker = mCapacity.View().mWorkers[i];
      const std::size_t tasks = mCapacity.TasksThere(aUnit, i) + there[i];
      if (!demand.FitsIn(worker.mCapacity) || IsAvoided(aUnit, i) ||
          !CanHost(aUnit, worker, tasks)) {
        continue;
      }
      double lost = 0.0;
      auto victims = VictimsOn(aUnit, i, soon[i], chosen, lost);
      if (!victims) {
        continue;
      }
      const double score =
        lost + PackingScore(worker, soon[i], demand) * kFitWeight;
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
        soon[allocation.mWorker] =
          soon[allocation.mWorker].Plus(allocation.mUsed);
      }
    }
    soon[*best] = soon[*best].Minus(demand);
    ++there[*best];
    choice.mWorkers.push_back(*best);
  }
  if (!IsReclaimDue(aUnit) && choice.mCost > kMaxLostShare * OwnWork(aUnit)) {
    return std::nullopt;
  }
  return choice;
}

/** @return What to stop on a worker so that a task fits, or nothing. */
std::optional<std::vector<std::size_t>>
Preemptor::VictimsOn(const WaitingUnit& aUnit,
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
  // Least urgent first, then the least loss for the capacity that it frees.
  using Order = std::tuple<int, double, std::size_t, const Usage*>;
  std::vector<Order> candidates;
  for (const Usage& usage : mUsage[aWorker]) {
    if (IsVictim(usage.mUnit, aUnit) && !aChosen[usage.mUnit]) {
      const RunningUnit& unit = running[usage.mUnit];
      candidates.emplace_back(-unit.mPriority,
                              unit.mLostCoreSeconds /
                                std::max(1.0, usage.mUsed.WeightedCores()),
                              unit.mKey,
                              &usage);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const Order& candidate : candidates) {
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
