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

/** What comes first among waiting units; see Rank(). */
using RankKey = std::tuple<bool, bool, bool, int, bool, Millis, std::size_t>;

/** Units are taken in this order. */
RankKey
Rank(const WaitingUnit& aUnit)
{
  const bool isLate = aUnit.mSlack.count() < 0;
  const bool isWorthless = aUnit.mExpirySlack.count() < 0;
  // Capacity that was freed for a unit must not go to another one, or work is
  // stopped for the first one again.
  return std::make_tuple(aUnit.mNominatedWorkers.empty(),
                         !aUnit.mGuaranteed,
                         isWorthless,
                         aUnit.mPriority,
                         isLate,
                         isLate ? aUnit.mExpirySlack : aUnit.mSlack,
                         aUnit.mKey);
}

/** Decides one pass. */
class Pass
{
public:
  explicit Pass(const PlanningView& aView)
    : mView(aView)
    , mCapacity(aView)
    , mReservations(mCapacity)
    , mPacker(mCapacity, mReservations)
    , mPreemptor(mCapacity, mPacker)
  {
  }

  std::vector<PlanDecision> Run()
  {
    std::vector<std::pair<RankKey, const WaitingUnit*>> order;
    order.reserve(mView.mWaiting.size());
    for (const WaitingUnit& unit : mView.mWaiting) {
      order.emplace_back(Rank(unit), &unit);
    }
    std::sort(order.begin(), order.end());
    std::vector<PlanDecision> decisions;
    decisions.reserve(order.size());
    for (const auto& [rank, unit] : order) {
      decisions.push_back(Decide(*unit));
    }
    return decisions;
  }

private:
  PlanDecision Decide(const WaitingUnit& aUnit)
  {
    PlanDecision decision;
    decision.mUnitKey = aUnit.mKey;
    // Capacity only shrinks within a pass: a unit like one without capacity has
    // none.
    if (aUnit.mNominatedWorkers.empty() &&
        mHopeless.contains(aUnit.mStepGroup)) {
      return decision;
    }
    if (!aUnit.mNominatedWorkers.empty() && HoldsNomination(aUnit)) {
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
    const CapacitySnapshot soon = mCapacity.Soon();
    if (const auto workers = mPacker.Place(aUnit, soon)) {
      decision.mReason = PlanReason::kAwaitingCapacity;
      mCapacity.Allocate(aUnit, *workers);
      return decision;
    }
    if (const auto choice = mPreemptor.Choose(aUnit, soon)) {
      decision.mReason = PlanReason::kPreempts;
      decision.mWorkers = choice->mWorkers;
      for (const std::size_t victim : choice->mVictims) {
        decision.mVictims.push_back(mView.mRunning[victim].mKey);
      }
      mPreemptor.Stop(*choice, mCapacity);
      mCapacity.Allocate(aUnit, choice->mWorkers);
      return decision;
    }
    decision.mReason = PlanReason::kNoCapacity;
    if (aUnit.mAvoidedWorker.empty()) {
      mHopeless.insert(aUnit.mStepGroup);
    }
    mReservations.Add(aUnit, mCapacity);
    return decision;
  }

  /** @return Whether the tasks of a unit fit on the workers of its nomination.
   */
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

  /** @return Whether the nomination's workers can still be used, now or soon.
   */
  bool HoldsNomination(const WaitingUnit& aUnit) const
  {
    const bool areUsable =
      std::all_of(aUnit.mNominatedWorkers.begin(),
                  aUnit.mNominatedWorkers.end(),
                  [&](std::size_t aWorker) {
                    return CanHost(aUnit, mView.mWorkers[aWorker], 0);
                  });
    return areUsable && FitsOnNomination(aUnit, mCapacity.Soon().All());
  }

  const PlanningView& mView;
  CapacityTracker mCapacity;
  Reservations mReservations;
  Packer mPacker;
  Preemptor mPreemptor;
  /** Groups of units of which one found no capacity in this pass. */
  std::set<std::size_t> mHopeless;
};

} // namespace

std::vector<PlanDecision>
UrgencyPolicy::Plan(const PlanningView& aView) const
{
  return Pass(aView).Run();
}

} // namespace cornelrudder::state::scheduling
