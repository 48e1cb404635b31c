#include "UrgencyPolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/**
 * Large units without room for which workers are kept free of less urgent
 * work, so that a stream of small tasks cannot starve them.
 */
constexpr int kMaxReservations = 2;
/** A task with this many accelerators needs a worker that is nearly empty. */
constexpr std::int64_t kLargeAccelerators = 4;
/**
 * Age from which guaranteed work is started whatever it costs others: with
 * the time of a stop and of an order it begins well within the 3.4 s that the
 * platform allows for a reclaim.
 */
constexpr Millis kGuaranteeWait{ 1'200 };
/** How long a guaranteed gang waits for one rack. */
constexpr Millis kRackWait{ 1'200 };
/**
 * Work that an urgent unit may destroy, as a multiple of its own: beyond it,
 * the loss outweighs what its caller gains by being in time.
 */
constexpr double kMaxLostShare = 2.0;
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

/** Room that placements of a pass use up. */
struct Room
{
  std::vector<Resources> mFree;
  std::vector<Resources> mFreeing;
};

/** Workers chosen for a unit, and what it takes to use them. */
struct Choice
{
  std::vector<std::size_t> mWorkers;
  std::set<std::size_t> mVictims;
  double mCost = 0.0;
};

/** Smaller is better. */
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

/** What comes first among waiting units; see Pass::Rank(). */
using RankKey = std::tuple<bool, bool, bool, int, bool, Millis, std::size_t>;

/** Decides one pass. */
class Pass
{
public:
  explicit Pass(const PlanningView& aView)
    : mView(aView)
  {
    for (std::size_t i = 0; i < aView.mWorkers.size(); ++i) {
      mRoom.mFree.push_back(aView.mWorkers[i].mFree);
      mRoom.mFreeing.push_back(aView.mWorkers[i].mFreeing);
      mRacks[aView.mWorkers[i].mRack].push_back(i);
      mAll.push_back(i);
      mUsableWorkers += aView.mWorkers[i].mUsable ? 1 : 0;
    }
    const auto isUrgent = [](const auto& aUnit) {
      return aUnit.mPriority == 0;
    };
    mIsUrgentWorkAbout =
      std::any_of(aView.mWaiting.begin(), aView.mWaiting.end(), isUrgent) ||
      std::any_of(aView.mRunning.begin(), aView.mRunning.end(), isUrgent);
  }

  std::vector<PlanDecision> Run()
  {
    std::vector<const WaitingUnit*> order;
    for (const WaitingUnit& unit : mView.mWaiting) {
      order.push_back(&unit);
    }
    std::sort(
      order.begin(), order.end(), [](const auto* aOne, const auto* aTwo) {
        return Rank(*aOne) < Rank(*aTwo);
      });
    std::vector<PlanDecision> decisions;
    for (const WaitingUnit* unit : order) {
      decisions.push_back(Decide(*unit));
    }
    return decisions;
  }

private:
  /** Units are taken in this order. */
  static RankKey Rank(const WaitingUnit& aUnit)
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

  PlanDecision Decide(const WaitingUnit& aUnit)
  {
    PlanDecision decision;
    decision.mUnit = aUnit.mKey;
    // Room only shrinks within a pass: a unit like one without room has none.
    if (aUnit.mClaim.empty() && mHopeless.contains(aUnit.mGroup)) {
      return decision;
    }
    if (!aUnit.mClaim.empty() && HoldsClaim(aUnit)) {
      const bool fits = FitsOn(aUnit, mRoom.mFree);
      decision.mReason = fits ? PlanReason::kFits : PlanReason::kAwaitsRoom;
      if (fits) {
        decision.mWorkers = aUnit.mClaim;
      }
      Take(aUnit, aUnit.mClaim);
      return decision;
    }
    if (const auto workers = Place(aUnit, mRoom.mFree)) {
      decision.mReason = PlanReason::kFits;
      decision.mWorkers = *workers;
      Take(aUnit, *workers);
      return decision;
    }
    const std::vector<Resources> soon = RoomSoon();
    if (const auto workers = Place(aUnit, soon)) {
      decision.mReason = PlanReason::kAwaitsRoom;
      Take(aUnit, *workers);
      return decision;
    }
    if (const auto choice = Preempt(aUnit, soon)) {
      decision.mReason = PlanReason::kPreempts;
      decision.mVictims.assign(choice->mVictims.begin(),
                               choice->mVictims.end());
      decision.mWorkers = choice->mWorkers;
      Stop(choice->mVictims);
      Take(aUnit, choice->mWorkers);
      return decision;
    }
    decision.mReason = PlanReason::kNoRoom;
    if (aUnit.mAvoid.empty()) {
      mHopeless.insert(aUnit.mGroup);
    }
    Reserve(aUnit);
    return decision;
  }

  /** @return Room that is free or being freed. */
  std::vector<Resources> RoomSoon() const
  {
    std::vector<Resources> soon;
    for (std::size_t i = 0; i < mRoom.mFree.size(); ++i) {
      soon.push_back(mRoom.mFree[i].Plus(mRoom.mFreeing[i]));
    }
    return soon;
  }

  /** @return Whether the tasks of a unit fit on the workers of its claim. */
  static bool FitsOn(const WaitingUnit& aUnit, std::vector<Resources> aRoom)
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
    return areUsable && FitsOn(aUnit, RoomSoon());
  }

  bool IsReservedAgainst(std::size_t aWorker, const WaitingUnit& aUnit) const
  {
    const auto it = mReserved.find(aWorker);
    return it != mReserved.end() && aUnit.mPriority > it->second;
  }

  /** @return Tasks of the unit's step on a worker, with those of the pass. */
  std::size_t TasksThere(const WaitingUnit& aUnit, std::size_t aWorker) const
  {
    const auto it = mTaken.find({ aUnit.mGroup, aWorker });
    return CountPeers(aUnit, aWorker) + (it != mTaken.end() ? it->second : 0);
  }

  bool IsEmpty(std::size_t aWorker, const std::vector<Resources>& aRoom) const
  {
    return aRoom[aWorker] == mView.mWorkers[aWorker].mRoom;
  }

  /** @return Empty workers that less urgent work may still use. */
  double EmptyWorkersLeft(const WaitingUnit& aUnit,
                          const std::vector<Resources>& aRoom) const
  {
    if (aUnit.mPriority == 0 || !mIsUrgentWorkAbout) {
      return std::numeric_limits<double>::max();
    }
    const auto empty =
      std::count_if(mAll.begin(), mAll.end(), [&](std::size_t aWorker) {
        return mView.mWorkers[aWorker].mUsable && IsEmpty(aWorker, aRoom);
      });
    // Whole workers, so that a small fleet is not left idle for it.
    const double headroom =
      std::floor(kHeadroomShare * static_cast<double>(mUsableWorkers));
    return static_cast<double>(empty) - headroom;
  }

  /** @return Number of empty workers, by rack. */
  std::map<std::string, int> EmptyByRack(
    const std::vector<Resources>& aRoom) const
  {
    std::map<std::string, int> empty;
    for (const std::size_t i : mAll) {
      empty[mView.mWorkers[i].mRack] += IsEmpty(i, aRoom) ? 1 : 0;
    }
    return empty;
  }

  /** @return Whether the unit's last run failed on a worker. */
  static bool IsAvoided(std::size_t aWorker, const WaitingUnit& aUnit)
  {
    return std::find(aUnit.mAvoid.begin(), aUnit.mAvoid.end(), aWorker) !=
           aUnit.mAvoid.end();
  }

  /** @return A worker for each task, or nothing. */
  std::optional<std::vector<std::size_t>> Place(
    const WaitingUnit& aUnit,
    const std::vector<Resources>& aRoom) const
  {
    const std::string& rack = aUnit.mStep.AffinityRack();
    const bool holdsData = !rack.empty() && mRacks.contains(rack);
    if (holdsData) {
      const auto workers = PlaceOn(aUnit, mRacks.at(rack), aRoom);
      // Off its rack a task takes several times as long; waiting is better
      // as long as it costs less than that.
      if (workers || aUnit.mAge < 2 * aUnit.mExpected) {
        return workers;
      }
    }
    const bool wantsRack =
      aUnit.mStep.IsGang() && aUnit.mStep.IsSameRack() && aUnit.mTasks > 1;
    if (!wantsRack) {
      return PlaceOn(aUnit, mAll, aRoom);
    }
    if (const auto workers = PlaceOnOneRack(aUnit, aRoom)) {
      return workers;
    }
    return MayCrossRacks(aUnit) ? PlaceOn(aUnit, mAll, aRoom) : std::nullopt;
  }

  bool MayCrossRacks(const WaitingUnit& aUnit) const
  {
    return !FitsAnyRack(aUnit) || (aUnit.mGuaranteed && aUnit.mAge > kRackWait);
  }

  /** @return Whether the unit fits into some rack that is empty. */
  bool FitsAnyRack(const WaitingUnit& aUnit) const
  {
    std::vector<Resources> empty;
    for (const WorkerView& worker : mView.mWorkers) {
      empty.push_back(worker.mRoom);
    }
    return PlaceOnOneRack(aUnit, empty).has_value();
  }

  std::optional<std::vector<std::size_t>> PlaceOnOneRack(
    const WaitingUnit& aUnit,
    const std::vector<Resources>& aRoom) const
  {
    std::optional<std::vector<std::size_t>> best;
    std::int64_t bestLeft = std::numeric_limits<std::int64_t>::max();
    for (const auto& [rack, members] : mRacks) {
      const auto workers = PlaceOn(aUnit, members, aRoom);
      if (!workers) {
        continue;
      }
      std::int64_t left = 0;
      for (const std::size_t i : members) {
        left += std::max<std::int64_t>(0, aRoom[i].Accelerators());
      }
      if (left < bestLeft) {
        bestLeft = left;
        best = workers;
      }
    }
    return best;
  }

  /** Places each task on the worker that it fills best. */
  std::optional<std::vector<std::size_t>> PlaceOn(
    const WaitingUnit& aUnit,
    const std::vector<std::size_t>& aCandidates,
    const std::vector<Resources>& aRoom) const
  {
    const Resources& demand = aUnit.mStep.Demand();
    std::map<std::size_t, Resources> left;
    std::map<std::size_t, std::size_t> there;
    for (const std::size_t i : aCandidates) {
      const std::size_t n = TasksThere(aUnit, i);
      if (demand.FitsIn(aRoom[i]) && CanHost(aUnit, mView.mWorkers[i], n) &&
          !IsReservedAgainst(i, aUnit) && !IsAvoided(i, aUnit)) {
        left.emplace(i, aRoom[i]);
        there[i] = n;
      }
    }
    if (left.empty()) {
      return std::nullopt;
    }
    double emptyLeft = EmptyWorkersLeft(aUnit, aRoom);
    const std::map<std::string, int> emptyByRack = EmptyByRack(aRoom);
    std::vector<std::size_t> workers;
    while (workers.size() < aUnit.mTasks) {
      double bestScore = std::numeric_limits<double>::max();
      std::optional<std::size_t> best;
      for (const auto& [i, room] : left) {
        const WorkerView& worker = mView.mWorkers[i];
        const bool isEmpty = room == worker.mRoom;
        if (isEmpty && emptyLeft < 1.0) {
          continue;
        }
        const double score =
          PackingScore(worker, room, demand) +
          (isEmpty ? kRackWeight * emptyByRack.at(worker.mRack) : 0.0);
        if (score < bestScore) {
          bestScore = score;
          best = i;
        }
      }
      if (!best) {
        return std::nullopt;
      }
      workers.push_back(*best);
      emptyLeft -= left[*best] == mView.mWorkers[*best].mRoom ? 1.0 : 0.0;
      left[*best] = left[*best].Minus(demand);
      ++there[*best];
      if (!demand.FitsIn(left[*best]) ||
          !CanHost(aUnit, mView.mWorkers[*best], there[*best])) {
        left.erase(*best);
      }
    }
    return workers;
  }

  void Take(const WaitingUnit& aUnit, const std::vector<std::size_t>& aWorkers)
  {
    for (const std::size_t i : aWorkers) {
      mRoom.mFree[i] = mRoom.mFree[i].Minus(aUnit.mStep.Demand());
      ++mTaken[{ aUnit.mGroup, i }];
    }
  }

  void Stop(const std::set<std::size_t>& aVictims)
  {
    for (const RunningUnit& unit : mView.mRunning) {
      if (aVictims.contains(unit.mKey)) {
        mStopped.insert(unit.mKey);
        for (const RunningShare& share : unit.mShares) {
          mRoom.mFreeing[share.mWorker] =
            mRoom.mFreeing[share.mWorker].Plus(share.mUsed);
        }
      }
    }
  }

  static bool IsReclaimDue(const WaitingUnit& aUnit)
  {
    return aUnit.mGuaranteed && aUnit.mAge > kGuaranteeWait;
  }

  /** @return Core seconds of the unit's own work. */
  static double OwnWork(const WaitingUnit& aUnit)
  {
    return aUnit.mStep.Demand().WeightedCores() *
           static_cast<double>(aUnit.mTasks) *
           static_cast<double>(aUnit.mExpected.count()) / 1'000.0;
  }

  static bool MayPreempt(const WaitingUnit& aUnit)
  {
    if (aUnit.mPriority != 0) {
      return false;
    }
    return aUnit.mSlack.count() >= 0 || IsReclaimDue(aUnit);
  }

  bool IsVictim(const RunningUnit& aRunning, const WaitingUnit& aUnit) const
  {
    if (aRunning.mProtected || mStopped.contains(aRunning.mKey)) {
      return false;
    }
    // Equally urgent work would only change places with it.
    return aRunning.mPriority > aUnit.mPriority || IsReclaimDue(aUnit);
  }

  std::optional<Choice> Preempt(const WaitingUnit& aUnit,
                                const std::vector<Resources>& aSoon) const
  {
    if (!MayPreempt(aUnit)) {
      return std::nullopt;
    }
    const std::string& rack = aUnit.mStep.AffinityRack();
    if (!rack.empty() && mRacks.contains(rack)) {
      if (auto choice = PreemptOn(aUnit, mRacks.at(rack), aSoon)) {
        return choice;
      }
    }
    const bool wantsRack =
      aUnit.mStep.IsGang() && aUnit.mStep.IsSameRack() && aUnit.mTasks > 1;
    if (!wantsRack) {
      return PreemptOn(aUnit, mAll, aSoon);
    }
    std::optional<Choice> best;
    for (const auto& [name, members] : mRacks) {
      auto choice = PreemptOn(aUnit, members, aSoon);
      if (choice && (!best || choice->mCost < best->mCost)) {
        best = std::move(choice);
      }
    }
    if (!best && (aUnit.mGuaranteed || !FitsAnyRack(aUnit))) {
      best = PreemptOn(aUnit, mAll, aSoon);
    }
    return best;
  }

  /** Chooses workers one task at a time, each at the smallest extra loss. */
  std::optional<Choice> PreemptOn(const WaitingUnit& aUnit,
                                  const std::vector<std::size_t>& aCandidates,
                                  std::vector<Resources> aSoon) const
  {
    const Resources& demand = aUnit.mStep.Demand();
    std::map<std::size_t, std::size_t> there;
    Choice choice;
    for (std::size_t n = 0; n < aUnit.mTasks; ++n) {
      std::optional<std::size_t> best;
      double bestScore = std::numeric_limits<double>::max();
      std::vector<const RunningUnit*> bestVictims;
      for (const std::size_t i : aCandidates) {
        const WorkerView& worker = mView.mWorkers[i];
        if (!CanHost(aUnit, worker, TasksThere(aUnit, i) + there[i]) ||
            !demand.FitsIn(worker.mRoom) || IsAvoided(i, aUnit)) {
          continue;
        }
        double lost = 0.0;
        const auto victims =
          VictimsOn(aUnit, i, aSoon[i], choice.mVictims, lost);
        if (!victims) {
          continue;
        }
        const double score =
          lost + PackingScore(worker, aSoon[i], demand) * 1e-3;
        if (score < bestScore) {
          bestScore = score;
          best = i;
          bestVictims = *victims;
        }
      }
      if (!best) {
        return std::nullopt;
      }
      for (const RunningUnit* victim : bestVictims) {
        choice.mVictims.insert(victim->mKey);
        choice.mCost += victim->mLostWork;
        for (const RunningShare& share : victim->mShares) {
          aSoon[share.mWorker] = aSoon[share.mWorker].Plus(share.mUsed);
        }
      }
      aSoon[*best] = aSoon[*best].Minus(demand);
      ++there[*best];
      choice.mWorkers.push_back(*best);
    }
    if (!IsReclaimDue(aUnit) && choice.mCost > kMaxLostShare * OwnWork(aUnit)) {
      return std::nullopt;
    }
    return choice;
  }

  /** @return What to stop on a worker so that a task fits, or nothing. */
  std::optional<std::vector<const RunningUnit*>> VictimsOn(
    const WaitingUnit& aUnit,
    std::size_t aWorker,
    Resources aRoom,
    const std::set<std::size_t>& aChosen,
    double& aLost) const
  {
    const Resources& demand = aUnit.mStep.Demand();
    std::vector<const RunningUnit*> victims;
    if (demand.FitsIn(aRoom)) {
      return victims;
    }
    std::vector<std::pair<double, const RunningUnit*>> candidates;
    for (const RunningUnit& unit : mView.mRunning) {
      if (IsVictim(unit, aUnit) && !aChosen.contains(unit.mKey)) {
        const Resources used = UsedOn(unit, aWorker);
        if (used != Resources()) {
          candidates.emplace_back(
            unit.mLostWork / std::max(1.0, used.WeightedCores()), &unit);
        }
      }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](const auto& aOne, const auto& aTwo) {
                return std::make_tuple(-aOne.second->mPriority,
                                       aOne.first,
                                       aOne.second->mKey) <
                       std::make_tuple(-aTwo.second->mPriority,
                                       aTwo.first,
                                       aTwo.second->mKey);
              });
    for (const auto& [density, unit] : candidates) {
      victims.push_back(unit);
      aLost += unit->mLostWork;
      aRoom = aRoom.Plus(UsedOn(*unit, aWorker));
      if (demand.FitsIn(aRoom)) {
        return victims;
      }
    }
    return std::nullopt;
  }

  static Resources UsedOn(const RunningUnit& aUnit, std::size_t aWorker)
  {
    Resources used;
    for (const RunningShare& share : aUnit.mShares) {
      if (share.mWorker == aWorker) {
        used = used.Plus(share.mUsed);
      }
    }
    return used;
  }

  /** Keeps the emptiest workers free of less urgent work for a large unit. */
  void Reserve(const WaitingUnit& aUnit)
  {
    const bool isLarge =
      aUnit.mStep.Demand().Accelerators() >= kLargeAccelerators ||
      aUnit.mTasks > 1;
    if (!isLarge || mReservations >= kMaxReservations ||
        aUnit.mLateSlack.count() < 0) {
      return;
    }
    std::vector<std::size_t> hosts;
    for (const std::size_t i : mAll) {
      const bool isRight =
        aUnit.mStep.AffinityRack().empty() ||
        aUnit.mStep.AffinityRack() == mView.mWorkers[i].mRack;
      if (isRight && CanHost(aUnit, mView.mWorkers[i], 0) &&
          !mReserved.contains(i)) {
        hosts.push_back(i);
      }
    }
    std::sort(hosts.begin(), hosts.end(), [this](auto aOne, auto aTwo) {
      return std::make_pair(-mRoom.mFree[aOne].Accelerators(), aOne) <
             std::make_pair(-mRoom.mFree[aTwo].Accelerators(), aTwo);
    });
    ++mReservations;
    const auto perWorker = std::max<std::int64_t>(
      1,
      kWholeWorker /
        std::max<std::int64_t>(1, aUnit.mStep.Demand().Accelerators()));
    std::size_t n = (aUnit.mTasks + static_cast<std::size_t>(perWorker) - 1) /
                    static_cast<std::size_t>(perWorker);
    for (const std::size_t i : hosts) {
      if (n-- == 0) {
        break;
      }
      mReserved.emplace(i, aUnit.mPriority);
    }
  }

  /** Accelerators of a usual worker. */
  static constexpr std::int64_t kWholeWorker = 8;

  const PlanningView& mView;
  Room mRoom;
  std::map<std::string, std::vector<std::size_t>> mRacks;
  std::vector<std::size_t> mAll;
  /** Groups of units of which one found no room in this pass. */
  std::set<std::size_t> mHopeless;
  std::size_t mUsableWorkers = 0;
  bool mIsUrgentWorkAbout = false;
  std::set<std::size_t> mStopped;
  /** Tasks placed in this pass, by group of units and worker. */
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> mTaken;
  /** Priority of the unit that a worker is reserved for. */
  std::map<std::size_t, int> mReserved;
  int mReservations = 0;
};

} // namespace

std::size_t
CountPeers(const WaitingUnit& aUnit, std::size_t aWorker)
{
  return static_cast<std::size_t>(
    std::count(aUnit.mPeers.begin(), aUnit.mPeers.end(), aWorker));
}

bool
CanHost(const WaitingUnit& aUnit,
        const WorkerView& aWorker,
        std::size_t aTasksThere)
{
  const StepSpec& step = aUnit.mStep;
  if (!aWorker.mUsable || aWorker.mService != aUnit.mService) {
    return false;
  }
  if (step.MaxPerWorker() > 0 && aTasksThere >= step.MaxPerWorker()) {
    return false;
  }
  return step.RequiredLabel().empty() ||
         std::find(aWorker.mLabels.begin(),
                   aWorker.mLabels.end(),
                   step.RequiredLabel()) != aWorker.mLabels.end();
}

std::vector<PlanDecision>
UrgencyPolicy::Plan(const PlanningView& aView) const
{
  return Pass(aView).Run();
}

} // namespace cornelrudder::state::scheduling
