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
         static_cast<double>(aUnit.mExpected.count()) / 1'000.0;
}

} // namespace

Preemptor::Preemptor(const FleetRoom& aRoom, const Packer& aPacker)
  : mRoom(aRoom)
  , mPacker(aPacker)
  , mStopped(aRoom.View().mRunning.size())
{
}

void
Preemptor::IndexUsage()
{
  mUsage.resize(mRoom.Workers().size());
  const std::vector<RunningUnit>& running = mRoom.View().mRunning;
  for (std::size_t i = 0; i < running.size(); ++i) {
    for (const RunningShare& share : running[i].mShares) {
      std::vector<Usage>& there = mUsage[share.mWorker];
      // Units are taken in turn: an entry of this one can only be the last.
      if (there.empty() || there.back().mUnit != i) {
        there.push_back({ i, Resources() });
      }
      there.back().mUsed = there.back().mUsed.Plus(share.mUsed);
    }
  }
}

bool
Preemptor::IsVictim(std::size_t aRunning, const WaitingUnit& aUnit) const
{
  const RunningUnit& running = mRoom.View().mRunning[aRunning];
  if (running.mProtected || mStopped[aRunning]) {
    return false;
  }
  // Equally urgent work would only change places with it.
  return running.mPriority > aUnit.mPriority || IsReclaimDue(aUnit);
}

std::optional<PreemptionChoice>
Preemptor::Choose(const WaitingUnit& aUnit, const RoomSnapshot& aSoon)
{
  if (!MayPreempt(aUnit)) {
    return std::nullopt;
  }
  if (mUsage.empty()) {
    IndexUsage();
  }
  const WorkerList* rack = mRoom.FindRack(aUnit.mStep.AffinityRack());
  if (rack != nullptr && !aUnit.mStep.AffinityRack().empty()) {
    if (auto choice = ChooseOn(aUnit, *rack, aSoon)) {
      return choice;
    }
  }
  if (!WantsOneRack(aUnit)) {
    return ChooseOn(aUnit, mRoom.Workers(), aSoon);
  }
  std::optional<PreemptionChoice> best;
  for (const WorkerList& members : mRoom.Racks()) {
    auto choice = ChooseOn(aUnit, members, aSoon);
    if (choice && (!best || choice->mCost < best->mCost)) {
      best = std::move(choice);
    }
  }
  if (!best && (aUnit.mGuaranteed || !mPacker.FitsAnyRack(aUnit))) {
    best = ChooseOn(aUnit, mRoom.Workers(), aSoon);
  }
  return best;
}

void
Preemptor::Stop(const PreemptionChoice& aChoice, FleetRoom& aRoom)
{
  for (const std::size_t victim : aChoice.mVictims) {
    mStopped[victim] = true;
    for (const RunningShare& share : mRoom.View().mRunning[victim].mShares) {
      aRoom.AddFreeing(share.mWorker, share.mUsed);
    }
  }
}

/** Chooses workers one task at a time, each at the smallest extra loss. */
std::optional<PreemptionChoice>
Preemptor::ChooseOn(const WaitingUnit& aUnit,
                    const WorkerList& aWorkers,
                    const RoomSnapshot& aSoon) const
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
      const WorkerView& worker = mRoom.View().mWorkers[i];
      const std::size_t tasks = mRoom.TasksThere(aUnit, i) + there[i];
      if (!demand.FitsIn(worker.mRoom) || IsAvoided(aUnit, i) ||
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
      const RunningUnit& running = mRoom.View().mRunning[victim];
      chosen[victim] = true;
      choice.mVictims.push_back(victim);
      choice.mCost += running.mLostWork;
      for (const RunningShare& share : running.mShares) {
        soon[share.mWorker] = soon[share.mWorker].Plus(share.mUsed);
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
                     Resources aRoom,
                     const std::vector<bool>& aChosen,
                     double& aLost) const
{
  const Resources& demand = aUnit.mStep.Demand();
  std::vector<std::size_t> victims;
  if (demand.FitsIn(aRoom)) {
    return victims;
  }
  const std::vector<RunningUnit>& running = mRoom.View().mRunning;
  // Least urgent first, then the least loss for the room that it frees.
  using Order = std::tuple<int, double, std::size_t, const Usage*>;
  std::vector<Order> candidates;
  for (const Usage& usage : mUsage[aWorker]) {
    if (IsVictim(usage.mUnit, aUnit) && !aChosen[usage.mUnit]) {
      const RunningUnit& unit = running[usage.mUnit];
      candidates.emplace_back(-unit.mPriority,
                              unit.mLostWork /
                                std::max(1.0, usage.mUsed.WeightedCores()),
                              unit.mKey,
                              &usage);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const Order& candidate : candidates) {
    const Usage& usage = *std::get<const Usage*>(candidate);
    victims.push_back(usage.mUnit);
    aLost += running[usage.mUnit].mLostWork;
    aRoom = aRoom.Plus(usage.mUsed);
    if (demand.FitsIn(aRoom)) {
      return victims;
    }
  }
  return std::nullopt;
}

} // namespace cornelrudder::state::scheduling
