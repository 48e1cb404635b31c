#ifndef CORNELRUDDER_STATE_SCHEDULING_PLANNING_H
#define CORNELRUDDER_STATE_SCHEDULING_PLANNING_H

#include "cornelrudder/state/scheduling/StepSpec.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/**
 * @file
 * What a placement policy sees and decides. A policy keeps nothing between
 * two passes, so that it can be tested and replayed on its own.
 */

namespace cornelrudder::state::scheduling {

/** A worker as a policy sees it. */
struct WorkerView
{
  std::string mId;
  std::string mService;
  std::string mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  /** Capacity that no task uses. */
  Resources mFree;
  /** Capacity of tasks that are being stopped. */
  Resources mReleasing;
  /** Whether new work may be placed there. */
  bool mSchedulable = true;
  /** Share of recent runs that failed or stalled there, 0 to 1. */
  double mFailureRate = 0.0;

  auto operator<=>(const WorkerView&) const = default;
};

/** Tasks on one worker that belong to one running unit. */
struct WorkerAllocation
{
  /** Position of the worker in the view. */
  std::size_t mWorker = 0;
  Resources mUsed;

  auto operator<=>(const WorkerAllocation&) const = default;
};

/** Tasks that run and can be stopped for more urgent work. */
struct RunningUnit
{
  /** Position that the caller knows it by. */
  std::size_t mKey = 0;
  int mPriority = 0;
  /** The organisation's guarantee covers it, so that it is never stopped. */
  bool mGuaranteed = false;
  std::vector<WorkerAllocation> mAllocations;
  /** Work that would be lost, in core seconds. */
  double mLostCoreSeconds = 0.0;

  auto operator<=>(const RunningUnit&) const = default;
};

/** Tasks that wait and must be placed together. */
struct WaitingUnit
{
  WaitingUnit(std::size_t aKey, std::string aService, StepSpec aStep)
    : mKey(aKey)
    , mService(std::move(aService))
    , mStep(std::move(aStep))
  {
  }

  /** Position that the caller knows it by. */
  std::size_t mKey = 0;
  std::string mService;
  StepSpec mStep;
  /** Number of tasks to place: all of a gang, or one. */
  std::size_t mTasks = 1;
  int mPriority = 0;
  /** The organisation's guarantee covers it. */
  bool mGuaranteed = false;
  /** Time since the job was accepted. */
  std::chrono::milliseconds mAge{ 0 };
  /** Time left until it must start to meet its objective; may be negative. */
  std::chrono::milliseconds mSlack{ 0 };
  /** Time left until its result is worth nothing; may be negative. */
  std::chrono::milliseconds mExpirySlack{ 0 };
  std::chrono::milliseconds mExpectedRunTime{ 0 };
  /** Units of one step of one occurrence have the same number. */
  std::size_t mStepGroup = 0;
  /** Positions of workers that already run tasks of its step. */
  std::vector<std::size_t> mPeerWorkers;
  /**
   * Positions of the workers on which work was stopped for it, one for each
   * task; empty if it has no nomination.
   */
  std::vector<std::size_t> mNominatedWorkers;
  /** Position of the worker on which its last run failed, if any. */
  std::vector<std::size_t> mAvoidedWorker;

  auto operator<=>(const WaitingUnit&) const = default;
};

/** All that a policy may take into account. */
struct PlanningView
{
  std::vector<WorkerView> mWorkers;
  std::vector<RunningUnit> mRunning;
  std::vector<WaitingUnit> mWaiting;

  auto operator<=>(const PlanningView&) const = default;
};

/** Why a unit was placed, or not. */
enum class PlanReason
{
  kFits,
  /** Capacity is being freed for it. */
  kAwaitingCapacity,
  /** Less urgent work is stopped for it. */
  kPreempts,
  kNoCapacity
};

/** @return The name of a reason, for the log. */
const char*
PlanReasonName(PlanReason aReason);

/** Decision about one waiting unit. */
struct PlanDecision
{
  /** Key of the waiting unit. */
  std::size_t mUnitKey = 0;
  PlanReason mReason = PlanReason::kNoCapacity;
  /** For kFits and kPreempts: positions of the workers, one for each task. */
  std::vector<std::size_t> mWorkers;
  /** For kPreempts: keys of the running units to stop. */
  std::vector<std::size_t> mVictims;

  auto operator<=>(const PlanDecision&) const = default;
};

/** Decides which waiting units start where and what is stopped for them. */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  virtual std::vector<PlanDecision> Plan(const PlanningView& aView) const = 0;
};

/** Row of the table of policies. */
struct PlacementPolicyInfo
{
  std::string_view mName;
  std::string_view mDescription;
  std::unique_ptr<PlacementPolicy> (*mFactory)();
};

/** @return All policies; the first is the default. */
std::span<const PlacementPolicyInfo>
AllPlacementPolicies();

/** @throws StateError if no policy has the name. */
std::unique_ptr<PlacementPolicy>
MakePlacementPolicy(std::string_view aName);

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_PLANNING_H
