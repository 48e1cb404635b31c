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
 * Input and output of a placement policy. A policy keeps no state between
 * planning passes, so that each pass can be tested and replayed on its own.
 */

namespace cornelrudder::state::scheduling {

/** Whether a unit may share workers with other units. */
enum class Isolation
{
  kNone,
  /** The unit should run on empty workers, but may run elsewhere. */
  kPreferred,
  /** The unit runs on workers of its own only. */
  kRequired
};

/** A worker in a planning view. */
struct WorkerView
{
  std::string mId;
  std::string mService;
  std::string mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  /** Capacity that no task uses. */
  Resources mFree;
  /** Capacity used by tasks that are being stopped. */
  Resources mReleasing;
  /** Whether new work may be placed on the worker. */
  bool mSchedulable = true;
  /**
   * The worker is not schedulable only because of recent failures or slow runs,
   * and may be tried for a task that no schedulable worker can run.
   */
  bool mRetryable = false;
  /**
   * Weight of the penalty for recent failures, 0 to 1. The scheduler sets it to
   * 1 after a run that failed, was rejected, or was moved because it stalled or
   * was slow, and to 0 after the next completed run.
   */
  double mFailureRate = 0.0;
  /** Logarithm of the worker's speed, relative to the usual one. */
  double mLogSpeed = 0.0;
  /** A task runs on the worker under which another worker has crashed. */
  bool mHasSuspect = false;

  auto operator<=>(const WorkerView&) const = default;
};

/** Resources that a running unit uses on one worker, for one of its tasks. */
struct WorkerAllocation
{
  /** Position of the worker in the view. */
  std::size_t mWorker = 0;
  Resources mUsed;

  auto operator<=>(const WorkerAllocation&) const = default;
};

/** Running tasks that are preempted together: a gang, or a single task. */
struct RunningUnit
{
  /** Opaque identifier that the caller of the policy assigns. */
  std::size_t mKey = 0;
  int mPriority = 0;
  /** Whether the organisation's guarantee covers the unit: never preempted. */
  bool mGuaranteed = false;
  std::vector<WorkerAllocation> mAllocations;
  /** Work lost by a preemption, in core seconds. */
  double mLostCoreSeconds = 0.0;

  auto operator<=>(const RunningUnit&) const = default;
};

/** Waiting tasks that must be placed together. */
struct WaitingUnit
{
  WaitingUnit(std::size_t aKey, std::string aService, StepSpec aStep)
    : mKey(aKey)
    , mService(std::move(aService))
    , mStep(std::move(aStep))
  {
  }

  /** Opaque identifier that the caller of the policy assigns. */
  std::size_t mKey = 0;
  std::string mService;
  StepSpec mStep;
  /** Number of tasks to place: all members of a gang, or one. */
  std::size_t mTasks = 1;
  int mPriority = 0;
  /** Whether the organisation's guarantee covers the unit. */
  bool mGuaranteed = false;
  /** Time since the job was submitted, or since the occurrence was due. */
  std::chrono::milliseconds mAge{ 0 };
  /** Time since a planning pass first found no place for the unit. */
  std::chrono::milliseconds mWaitingTime{ 0 };
  /**
   * Time since a run of the unit's tasks was last reported, or the waiting time
   * if that is longer.
   */
  std::chrono::milliseconds mDownTime{ 0 };
  /** Whether other tasks of the occurrence run; false for long-running tasks.
   */
  bool mHasRunningPeers = false;
  /**
   * Time left until the unit must start to meet its objective; may be negative.
   */
  std::chrono::milliseconds mSlack{ 0 };
  /**
   * Time left until the unit must start for its result to have any value; may
   * be negative.
   */
  std::chrono::milliseconds mExpirySlack{ 0 };
  std::chrono::milliseconds mExpectedRunTime{ 0 };
  /** Number shared by the units of one step of one occurrence. */
  std::size_t mStepGroup = 0;
  /**
   * Positions of workers with assigned tasks of the same step, one for each
   * task; filled only if the step limits its tasks per worker.
   */
  std::vector<std::size_t> mPeerWorkers;
  /**
   * Nomination: positions of the workers on which work was preempted for this
   * unit, one for each task; empty if the unit has no nomination.
   */
  std::vector<std::size_t> mNominatedWorkers;
  /**
   * Positions of the workers on which the last runs of the unit's tasks failed,
   * or from which these runs were moved.
   */
  std::vector<std::size_t> mAvoidedWorkers;
  /** Set after workers have crashed under runs of the unit's tasks. */
  Isolation mIsolation = Isolation::kNone;

  auto operator<=>(const WaitingUnit&) const = default;
};

/** Complete input of a planning pass. */
struct PlanningView
{
  std::vector<WorkerView> mWorkers;
  std::vector<RunningUnit> mRunning;
  std::vector<WaitingUnit> mWaiting;

  auto operator<=>(const PlanningView&) const = default;
};

/** Reason why a unit is placed or waits. */
enum class PlanReason
{
  kFits,
  /** Capacity for the unit is being released by stopped tasks. */
  kAwaitingCapacity,
  /** Less urgent work is preempted for the unit. */
  kPreempts,
  kNoCapacity
};

/** @return Name of a reason, for the log. */
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

/**
 * Decides which waiting units start, on which workers, and which running units
 * are preempted for them.
 */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  virtual std::vector<PlanDecision> Plan(const PlanningView& aView) const = 0;
};

/** Entry in the table of policies. */
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
