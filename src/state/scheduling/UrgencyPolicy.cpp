#include "UrgencyPolicy.h"

#include "CapacityTracker.h"
#include "Hosting.h"
#include "Packing.h"
#include "Preemption.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/** Sort key of a waiting unit; see Rank(). */
using RankKey = std::tuple<bool, bool, bool, int, bool, Millis, std::size_t>;

/**
 * @param aIsNominated Whether the unit has a usable nomination.
 * @return Sort key that determines the sequence in which units are planned.
 */
RankKey
Rank(const WaitingUnit& aUnit, bool aIsNominated)
{
  const bool isLate = aUnit.mSlack.count() < 0;
  const bool isExpired = aUnit.mExpirySlack.count() < 0;
  // Nominated units come first. If another unit used the capacity that was
  // freed for them, they would preempt work again.
  return std::make_tuple(!aIsNominated,
                         !aUnit.mGuaranteed,
                         isExpired,
                         aUnit.mPriority,
                         isLate,
                         isLate ? aUnit.mExpirySlack : aUnit.mSlack,
                         aUnit.mKey);
}

/** Plans all waiting units of one view. */
class PlanningPass
{
public:
  explicit PlanningPass(const PlanningView& aView)
    : mView(aView)
    , mCapacity(aView)
    , mReservations(mCapacity)
    , mPacker(mCapacity, mReservations)
    , mPreemptor(mCapacity, mPacker)
  {
  }

  std::vector<PlanDecision> Run()
  {
    std::vector<std::pair<RankKey, const WaitingUnit*>> ranked;
    ranked.reserve(mView.mWaiting.size());
    for (const WaitingUnit& unit : mView.mWaiting) {
      ranked.emplace_back(Rank(unit, IsNominationUsable(unit)), &unit);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<PlanDecision> decisions;
    decisions.reserve(ranked.size());
    for (const auto& [rank, unit] : ranked) {
      decisions.push_back(Decide(*unit));
    }
    return decisions;
  }

private:
  /** Step group, and whether the unit may ignore preferences. */
  using UnitGroup = std::pair<std::size_t, bool>;

  PlanDecision Decide(const WaitingUnit& aUnit)
  {
    PlanDecision decision;
    decision.mUnitKey = aUnit.mKey;
    // If one unit of a step found no capacity, equal units of that step are not
    // tried in the same pass. Capacity that a preemption for another unit frees
    // in addition is used by a later pass.
    const UnitGroup group{ aUnit.mStepGroup,
                           mPacker.MayIgnorePreferences(aUnit) };
    if (aUnit.mNominatedWorkers.empty() && mUnplaceableGroups.contains(group)) {
      return decision;
    }
    if (IsNominationUsable(aUnit)) {
      const bool fits = FitsOnNomination(aUnit, mCapacity.Free().All());
      decision.mReason =
        fits ? PlanReason::kFits : PlanReason::kAwaitingCapacity;
      if (fits) {
        decision.mWorkers = aUnit.mNominatedWorkers;
      }
      mCapacity.Allocate(aUnit, aUnit.mNominatedWorkers);
      return decision;
    }
    if (auto workers = mPacker.Place(aUnit, mCapacity.Free())) {
      decision.mReason = PlanReason::kFits;
      decision.mWorkers = std::move(*workers);
      mCapacity.Allocate(aUnit, decision.mWorkers);
      return decision;
    }
    const CapacitySnapshot freeAfterStops = mCapacity.FreeAfterStops();
    if (const auto workers = mPacker.Place(aUnit, freeAfterStops)) {
      decision.mReason = PlanReason::kAwaitingCapacity;
      mCapacity.Allocate(aUnit, *workers);
      return decision;
    }
    if (const auto choice = mPreemptor.Choose(aUnit, freeAfterStops)) {
      decision.mReason = PlanReason::kPreempts;
      decision.mWorkers = choice->mWorkers;
      for (const std::size_t victim : choice->mVictims) {
        decision.mVictims.push_back(mView.mRunning[victim].mKey);
      }
      mPreemptor.MarkPreempted(*choice, mCapacity);
      mCapacity.Allocate(aUnit, choice->mWorkers);
      return decision;
    }
    decision.mReason = PlanReason::kNoCapacity;
    if (aUnit.mAvoidedWorkers.empty() &&
        aUnit.mIsolation != Isolation::kRequired) {
      mUnplaceableGroups.insert(group);
    }
    mReservations.Add(aUnit, mCapacity);
    return decision;
  }

  /** @return Whether the tasks of a unit fit on its nominated workers. */
  static bool FitsOnNomination(const WaitingUnit& aUnit,
                               std::vector<Resources> aCapacity)
  {
    return std::all_of(aUnit.mNominatedWorkers.begin(),
                       aUnit.mNominatedWorkers.end(),
                       [&](std::size_t aWorker) {
                         const bool fits =
                           aUnit.mStep.Demand().FitsIn(aCapacity[aWorker]);
                         aCapacity[aWorker] =
                           aCapacity[aWorker].Minus(aUnit.mStep.Demand());
                         return fits;
                       });
  }

  /**
   * @return Whether the unit is nominated, and the nominated workers accept it
   *   beside the tasks of its step and have capacity for it, counting capacity
   *   that is being released.
   */
  bool IsNominationUsable(const WaitingUnit& aUnit) const
  {
    const WorkerList& workers = aUnit.mNominatedWorkers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
      const auto members =
        static_cast<std::size_t>(std::count(workers.begin(), it, *it));
      if (!CanHost(aUnit,
                   mView.mWorkers[*it],
                   mCapacity.TasksOn(aUnit, *it) + members)) {
        return false;
      }
    }
    return !workers.empty() &&
           FitsOnNomination(aUnit, mCapacity.FreeAfterStops().All());
  }

  const PlanningView& mView;
  CapacityTracker mCapacity;
  Reservations mReservations;
  Packer mPacker;
  Preemptor mPreemptor;
  /**
   * Groups with a unit that found no capacity in this pass, although it avoids
   * no worker and needs no empty one.
   */
  std::set<UnitGroup> mUnplaceableGroups;
};

} // namespace

std::vector<PlanDecision>
UrgencyPolicy::Plan(const PlanningView& aView) const
{
  return PlanningPass(aView).Run();
}

} // namespace cornelrudder::state::scheduling
