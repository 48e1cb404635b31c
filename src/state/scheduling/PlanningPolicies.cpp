#include "Hosting.h"
#include "UrgencyPolicy.h"
#include "cornelrudder/state/StateError.h"
#include "cornelrudder/state/scheduling/Planning.h"

#include <array>
#include <map>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Baseline policy: places units in the sequence of the view, each on the first
 * workers that fit.
 */
class ArrivalPolicy : public PlacementPolicy
{
public:
  std::vector<PlanDecision> Plan(const PlanningView& aView) const override
  {
    std::vector<Resources> available;
    for (const WorkerView& worker : aView.mWorkers) {
      available.push_back(worker.mFree);
    }
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> placed;
    std::vector<PlanDecision> decisions;
    for (const WaitingUnit& unit : aView.mWaiting) {
      PlanDecision decision;
      decision.mUnitKey = unit.mKey;
      decision.mWorkers = Place(aView, unit, available, placed);
      if (decision.mWorkers.size() == unit.mTasks) {
        decision.mReason = PlanReason::kFits;
        for (const std::size_t i : decision.mWorkers) {
          available[i] = available[i].Minus(unit.mStep.Demand());
          ++placed[{ unit.mStepGroup, i }];
        }
      } else {
        decision.mWorkers.clear();
      }
      decisions.push_back(std::move(decision));
    }
    return decisions;
  }

private:
  static std::vector<std::size_t> Place(
    const PlanningView& aView,
    const WaitingUnit& aUnit,
    std::vector<Resources> aCapacity,
    std::map<std::pair<std::size_t, std::size_t>, std::size_t>& aPlaced)
  {
    std::vector<std::size_t> workers;
    for (std::size_t i = 0; i < aCapacity.size(); ++i) {
      std::size_t n = CountPeers(aUnit, i) + aPlaced[{ aUnit.mStepGroup, i }];
      while (workers.size() < aUnit.mTasks &&
             CanHost(aUnit, aView.mWorkers[i], n) &&
             aUnit.mStep.Demand().FitsIn(aCapacity[i])) {
        aCapacity[i] = aCapacity[i].Minus(aUnit.mStep.Demand());
        workers.push_back(i);
        ++n;
      }
    }
    return workers;
  }
};

constexpr std::array kPolicies{
  PlacementPolicyInfo{
    "urgency",
    "guarantees first, then priority and what can still meet its objective; "
    "tight packing, whole racks for gangs, preemption for urgent work",
    []() -> std::unique_ptr<PlacementPolicy> {
      return std::make_unique<UrgencyPolicy>();
    } },
  PlacementPolicyInfo{ "arrival",
                       "baseline: in order of arrival, first workers that fit",
                       []() -> std::unique_ptr<PlacementPolicy> {
                         return std::make_unique<ArrivalPolicy>();
                       } },
};

} // namespace

const char*
PlanReasonName(PlanReason aReason)
{
  static constexpr std::array kNames{
    "fits", "awaits_room", "preempts", "no_room"
  };
  return kNames.at(static_cast<std::size_t>(aReason));
}

std::span<const PlacementPolicyInfo>
AllPlacementPolicies()
{
  return kPolicies;
}

std::unique_ptr<PlacementPolicy>
MakePlacementPolicy(std::string_view aName)
{
  if (aName.empty()) {
    return kPolicies.front().mFactory();
  }
  for (const PlacementPolicyInfo& policy : kPolicies) {
    if (policy.mName == aName) {
      return policy.mFactory();
    }
  }
  throw StateError("unknown placement policy \"" + std::string(aName) + "\"");
}

} // namespace cornelrudder::state::scheduling
