#include "UrgencyPolicy.h"

#include "FleetRoom.h"
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
  const bool isWorthless = aUnit.mLateSlack.count() < 0;
  // Room that was freed for a unit must not go to another one, or work is
  // stopped for the first one again.
  return std::make_tuple(aUnit.mClaim.empty(),
                         !aUnit.mGuaranteed,
                         isWorthless,
                         aUnit.mPriority,
                         isLate,
                         isLate ? aUnit.mLateSlack : aUnit.mSlack,
                         aUnit.mKey);
}

/** Decides one pass. */
class Pass
{
public:
  explicit Pass(const PlanningView& aView)
    : mView(aView)
    , mRoom(aView)
    , mReservations(mRoom)
    , mPacker(mRoom, mReservations)
    , mPreemptor(mRoom, mPacker)
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
    decision.mUnit = aUnit.mKey;
    // Room only shrinks within a pass: a unit like one without room has none.
    if (aUnit.mClaim.empty() && mHopeless.contains(aUnit.mGroup)) {
      return decision;
    }
    if (!aUnit.mClaim.empty() && HoldsClaim(aUnit)) {
      const bool fits = FitsOnClaim(aUnit, mRoom.Free().All());
      decision.mReason = fits ? PlanReason::kFits : PlanReason::kAwaitsRoom;
      if (fits) {
        decision.mWorkers = aUnit.mClaim;
      }
      mRoom.Take(aUnit, aUnit.mClaim);
      return decision;
    }
    if (auto workers = mPacker.Place(aUnit, mRoom.Free())) {
      decision.mReason = PlanReason::kFits;
      decision.mWorkers = std::move(*workers);
      mRoom.Take(aUnit, decision.mWorkers);
      return decision;
    }
    const RoomSnapshot soon = mRoom.Soon();
    if (const auto workers = mPacker.Place(aUnit, soon)) {
      decision.mReason = PlanReason::kAwaitsRoom;
      mRoom.Take(aUnit, *workers);
      return decision;
    }
    if (const auto choice = mPreemptor.Choose(aUnit, soon)) {
      decision.mReason = PlanReason::kPreempts;
      decision.mWorkers = choice->mWorkers;
      for (const std::size_t victim : choice->mVictims) {
        decision.mVictims.push_back(mView.mRunning[victim].mKey);
      }
      mPreemptor.Stop(*choice, mRoom);
      mRoom.Take(aUnit, choice->mWorkers);
      return decision;
    }
    decision.mReason = PlanReason::kNoRoom;
    if (aUnit.mAvoid.empty()) {
      mHopeless.insert(aUnit.mGroup);
    }
    mReservations.Add(aUnit, mRoom);
    return decision;
  }

  /** @return Whether the tasks of a unit fit on the workers of its claim. */
  static bool FitsOnClaim(const WaitingUnit& aUnit,
                          std::vector<Resources> aRoom)
  {
    return std::all_of(
      aUnit.mClaim.begin(), aUnit.mClaim.end(), [&](std::size_t aWorker) {
        const bool fits = aUnit.mStep.Demand().FitsIn(aRoom[aWorker]);
        aRoom[aWorker] = aRoom[aWorker].Minus(aUnit.mStep.Demand());
        return fits;
      });
  }

  /** @return Whether the claim's workers can still be used, now or soon. */
  bool HoldsClaim(const WaitingUnit& aUnit) const
  {
    const bool areUsable = std::all_of(
      aUnit.mClaim.begin(), aUnit.mClaim.end(), [&](std::size_t aWorker) {
        return CanHost(aUnit, mView.mWorkers[aWorker], 0);
      });
    return areUsable && FitsOnClaim(aUnit, mRoom.Soon().All());
  }

  const PlanningView& mView;
  FleetRoom mRoom;
  Reservations mReservations;
  Packer mPacker;
  Preemptor mPreemptor;
  /** Groups of units of which one found no room in this pass. */
  std::set<std::size_t> mHopeless;
};

} // namespace

std::vector<PlanDecision>
UrgencyPolicy::Plan(const PlanningView& aView) const
{
  return Pass(aView).Run();
}

} // namespace cornelrudder::state::scheduling
