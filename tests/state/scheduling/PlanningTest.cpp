#include "cornelrudder/state/scheduling/Planning.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cornelrudder::state;
using namespace cornelrudder::state::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kWorkersPerRack = 2;

/** @return A view of idle workers with 8 accelerators each, two to a rack. */
PlanningView
Fleet(std::size_t aWorkers)
{
  PlanningView view;
  for (std::size_t i = 0; i < aWorkers; ++i) {
    WorkerView worker;
    worker.mId = "w" + std::to_string(i);
    worker.mService = "s";
    worker.mRack = "r" + std::to_string(i / kWorkersPerRack);
    worker.mCapacity = Resources(32'000, 64'000, 8);
    worker.mFree = worker.mCapacity;
    view.mWorkers.push_back(std::move(worker));
  }
  return view;
}

StepSpecValues
Step(std::size_t aTasks, std::int64_t aAccelerators)
{
  StepSpecValues values;
  values.mTasks = aTasks;
  values.mDemand = Resources(1'000, 1'000, aAccelerators);
  values.mEstimatedRunTime = milliseconds(2'000);
  return values;
}

/** Adds a waiting unit that can still meet its objective. */
WaitingUnit&
AddUnit(PlanningView& aView, const StepSpecValues& aStep, int aPriority)
{
  WaitingUnit unit(aView.mWaiting.size(), "s", StepSpec(aStep, 0));
  unit.mTasks = aStep.mGang ? aStep.mTasks : 1;
  unit.mPriority = aPriority;
  unit.mSlack = milliseconds(1'000);
  unit.mExpirySlack = milliseconds(10'000);
  unit.mExpectedRunTime = milliseconds(2'000);
  unit.mStepGroup = unit.mKey;
  aView.mWaiting.push_back(std::move(unit));
  return aView.mWaiting.back();
}

/** Adds a unit of a step that lasts and that has been down for some time. */
WaitingUnit&
AddLastingUnit(PlanningView& aView, StepSpecValues aStep, int aPriority)
{
  aStep.mLongRunning = true;
  WaitingUnit& unit = AddUnit(aView, aStep, aPriority);
  unit.mWaitingTime = milliseconds(2'000);
  unit.mDownTime = unit.mWaitingTime;
  return unit;
}

/** Adds a running unit that uses all free resources of a worker. */
void
Occupy(PlanningView& aView, std::size_t aWorker, int aPriority, double aLost)
{
  WorkerView& worker = aView.mWorkers[aWorker];
  RunningUnit unit;
  unit.mKey = aView.mRunning.size();
  unit.mPriority = aPriority;
  unit.mAllocations.push_back({ aWorker, worker.mFree });
  unit.mLostCoreSeconds = aLost;
  worker.mFree = Resources();
  aView.mRunning.push_back(std::move(unit));
}

const PlanDecision&
DecisionFor(const std::vector<PlanDecision>& aDecisions, std::size_t aUnit)
{
  return *std::find_if(
    aDecisions.begin(), aDecisions.end(), [aUnit](const auto& aIt) {
      return aIt.mUnitKey == aUnit;
    });
}

std::vector<PlanDecision>
Plan(const PlanningView& aView)
{
  return MakePlacementPolicy("urgency")->Plan(aView);
}

} // namespace

TEST_GROUP(Planning){};

// Guards against more tasks of a step on one worker than the step allows: units
// placed in the same pass were not counted.
TEST(Planning, MaxPerWorkerHoldsWithinOnePass)
{
  for (const PlacementPolicyInfo& policy : AllPlacementPolicies()) {
    PlanningView view = Fleet(2);
    StepSpecValues step = Step(4, 1);
    step.mMaxPerWorker = 2;
    for (int i = 0; i < 4; ++i) {
      AddUnit(view, step, 2).mStepGroup = 0;
    }
    std::vector<int> tasks(2);
    for (const PlanDecision& decision : policy.mFactory()->Plan(view)) {
      for (const std::size_t worker : decision.mWorkers) {
        ++tasks[worker];
      }
    }
    CHECK_EQUAL(2, tasks[0]);
    CHECK_EQUAL(2, tasks[1]);
  }
}

// Guards against spreading small tasks over all workers, which leaves no empty
// worker for a task with 8 accelerators.
TEST(Planning, SmallTasksArePackedTightly)
{
  PlanningView view = Fleet(3);
  view.mWorkers[1].mFree = Resources(16'000, 32'000, 4);
  for (int i = 0; i < 4; ++i) {
    AddUnit(view, Step(1, 1), 2);
  }
  for (const PlanDecision& decision : Plan(view)) {
    CHECK(decision.mReason == PlanReason::kFits);
    CHECK_EQUAL(1, decision.mWorkers.front());
  }
}

// Guards against placing only some members of a gang.
TEST(Planning, GangIsPlacedCompletelyOrNotAtAll)
{
  PlanningView view = Fleet(2);
  StepSpecValues step = Step(3, 8);
  step.mGang = true;
  AddUnit(view, step, 1);
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kNoCapacity);
  CHECK(decisions.front().mWorkers.empty());
}

// Guards against spreading a gang over two racks, which slows it down, while
// one rack has capacity for all members.
TEST(Planning, SameRackGangIsPlacedOnOneRack)
{
  PlanningView view = Fleet(4);
  view.mWorkers[0].mFree = Resources(32'000, 64'000, 7);
  StepSpecValues step = Step(2, 8);
  step.mGang = true;
  step.mSameRack = true;
  AddUnit(view, step, 1);
  const auto decisions = Plan(view);
  CHECK(decisions.front().mWorkers == (std::vector<std::size_t>{ 2, 3 }));
}

// Guards against urgent work that waits for less urgent work, and against
// preempting more work than necessary.
TEST(Planning, UrgentWorkPreemptsSmallestLoss)
{
  PlanningView view = Fleet(2);
  Occupy(view, 0, 2, 50.0);
  Occupy(view, 1, 2, 10.0);
  AddUnit(view, Step(1, 8), 0).mGuaranteed = true;
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kPreempts);
  CHECK(decisions.front().mVictims == (std::vector<std::size_t>{ 1 }));
}

// Guards against a second preemption while the capacity from the first one is
// being released.
TEST(Planning, CapacityBeingReleasedIsAwaited)
{
  PlanningView view = Fleet(2);
  Occupy(view, 0, 2, 10.0);
  view.mWorkers[1].mFree = Resources();
  view.mWorkers[1].mReleasing = view.mWorkers[1].mCapacity;
  AddUnit(view, Step(1, 8), 0).mGuaranteed = true;
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kAwaitingCapacity);
  CHECK(decisions.front().mVictims.empty());
}

// Guards against urgent work that always finds the fleet full and must wait for
// a preemption.
TEST(Planning, HeadroomIsKeptForUrgentWork)
{
  constexpr std::size_t kWorkers = 20;
  PlanningView view = Fleet(kWorkers);
  Occupy(view, 0, 0, 0.0);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    AddUnit(view, Step(1, 8), 2);
  }
  std::size_t placed = 0;
  for (const PlanDecision& decision : Plan(view)) {
    placed += decision.mReason == PlanReason::kFits ? 1 : 0;
  }
  // One worker is occupied, and three of the twenty are headroom.
  CHECK_EQUAL(kWorkers - 4, placed);
}

// Guards against a lasting task that stays down beside free workers because
// urgent work keeps its headroom.
TEST(Planning, LastingTaskIsPlacedInTheHeadroomOfAFullFleet)
{
  constexpr std::size_t kWorkers = 25;
  PlanningView view = Fleet(kWorkers);
  for (std::size_t i = 0; i < kWorkers - 4; ++i) {
    Occupy(view, i, 0, 0.0);
  }
  AddLastingUnit(view, Step(1, 8), 1);
  CHECK(Plan(view).front().mReason == PlanReason::kFits);
  // The headroom is kept from tasks that were up lately, and that end.
  view.mWaiting.front().mDownTime = milliseconds(1'000);
  CHECK(Plan(view).front().mReason == PlanReason::kNoCapacity);
  view.mWaiting.clear();
  AddUnit(view, Step(1, 8), 1).mWaitingTime = milliseconds(10'000);
  CHECK(Plan(view).front().mReason == PlanReason::kNoCapacity);
}

// Guards against a lasting task that stays down on a full fleet because the
// free workers are reserved, or are not on the rack of its data.
TEST(Planning, LastingTaskIgnoresReservationsAndAFullRackOnAFullFleet)
{
  PlanningView view = Fleet(6);
  for (std::size_t i = 0; i < 4; ++i) {
    Occupy(view, i, 1, 0.0);
  }
  StepSpecValues gang = Step(4, 8);
  gang.mGang = true;
  AddUnit(view, gang, 1);
  StepSpecValues lasting = Step(1, 8);
  lasting.mAffinityRack = "r0";
  lasting.mEstimatedRunTime = milliseconds(100'000);
  AddLastingUnit(view, lasting, 2).mExpectedRunTime = milliseconds(100'000);
  CHECK(DecisionFor(Plan(view), 1).mReason == PlanReason::kFits);
}

// Guards against taking the last free place as if there were two.
TEST(Planning, LastingTaskLeavesTheHeadroomIfThatIsScarce)
{
  constexpr std::size_t kWorkers = 25;
  PlanningView view = Fleet(kWorkers);
  for (std::size_t i = 0; i < kWorkers - 1; ++i) {
    Occupy(view, i, 0, 0.0);
  }
  AddLastingUnit(view, Step(1, 8), 1);
  CHECK(Plan(view).front().mReason == PlanReason::kNoCapacity);
}

// Guards against a lasting task that stays down because another task of its
// step, which has waited for a shorter time, finds no place.
TEST(Planning, LastingTaskIsNotBlockedByAYoungerWaitOfItsStep)
{
  constexpr std::size_t kWorkers = 25;
  PlanningView view = Fleet(kWorkers);
  for (std::size_t i = 0; i < kWorkers - 4; ++i) {
    Occupy(view, i, 0, 0.0);
  }
  AddLastingUnit(view, Step(2, 8), 1).mDownTime = milliseconds(0);
  AddLastingUnit(view, Step(2, 8), 1).mStepGroup = 0;
  const auto decisions = Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kNoCapacity);
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kFits);
}

// Guards against a lasting task that stays down because the other tasks of its
// step run on the only other worker with capacity for it.
TEST(Planning, LastingTaskWithALimitPerWorkerTakesTheOnlyOtherWorker)
{
  constexpr std::size_t kWorkers = 14;
  PlanningView view = Fleet(kWorkers);
  for (std::size_t i = 0; i < kWorkers - 2; ++i) {
    Occupy(view, i, 0, 0.0);
  }
  // A task of the step runs here beside room for another one.
  view.mWorkers[kWorkers - 1].mFree = Resources(16'000, 32'000, 4);
  StepSpecValues step = Step(2, 4);
  step.mMaxPerWorker = 1;
  AddLastingUnit(view, step, 1).mPeerWorkers = { kWorkers - 1 };
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kFits);
  CHECK_EQUAL(kWorkers - 2, decisions.front().mWorkers.front());
}

// Guards against a lasting task that stays down because all free workers have
// failed recently and the sound ones are full.
TEST(Planning, LastingTaskTriesSuspectedWorkersWhileTheOthersAreFull)
{
  PlanningView view = Fleet(4);
  for (std::size_t i = 0; i < 2; ++i) {
    Occupy(view, i, 0, 0.0);
    view.mWorkers[2 + i].mSchedulable = false;
    view.mWorkers[2 + i].mRetryable = true;
  }
  AddLastingUnit(view, Step(1, 8), 1);
  CHECK(Plan(view).front().mReason == PlanReason::kFits);
}

// Guards against breaking hard conditions for a lasting task that is down.
TEST(Planning, LastingTaskThatIsDownKeepsHardConditions)
{
  PlanningView view = Fleet(6);
  Occupy(view, 0, 0, 0.0);
  view.mWorkers[1].mService = "other";
  view.mWorkers[2].mSchedulable = false;
  view.mWorkers[3].mLabels = { "b" };
  view.mWorkers[4].mLabels = { "a" };
  view.mWorkers[4].mFree = Resources(32'000, 64'000, 7);
  view.mWorkers[5].mLabels = { "a" };
  StepSpecValues step = Step(2, 1);
  step.mRequiredLabel = "a";
  step.mMaxPerWorker = 1;
  AddLastingUnit(view, step, 1).mPeerWorkers = { 4 };
  AddLastingUnit(view, step, 1).mPeerWorkers = { 4, 5 };
  const auto decisions = Plan(view);
  CHECK_EQUAL(5, DecisionFor(decisions, 0).mWorkers.front());
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kNoCapacity);
}

// Guards against two equally urgent units that preempt each other repeatedly.
TEST(Planning, EquallyUrgentWorkIsPreemptedOnlyForDueReclaim)
{
  PlanningView view = Fleet(1);
  Occupy(view, 0, 0, 1.0);
  WaitingUnit& unit = AddUnit(view, Step(1, 8), 0);
  unit.mGuaranteed = true;
  unit.mAge = milliseconds(100);
  CHECK(Plan(view).front().mReason == PlanReason::kNoCapacity);
  unit.mAge = milliseconds(1'500);
  CHECK(Plan(view).front().mReason == PlanReason::kPreempts);
}

// Guards against giving capacity that was freed for one unit to another one:
// the first unit would preempt work again.
TEST(Planning, FreedCapacityIsReservedForNominatedUnit)
{
  PlanningView view = Fleet(2);
  Occupy(view, 0, 2, 10.0);
  view.mWorkers[1].mFree = Resources(16'000, 32'000, 4);
  view.mWorkers[1].mReleasing = Resources(16'000, 32'000, 4);
  AddUnit(view, Step(1, 8), 0).mNominatedWorkers = { 1 };
  WaitingUnit& other = AddUnit(view, Step(1, 4), 0);
  other.mGuaranteed = true;
  other.mSlack = milliseconds(10);
  const auto decisions = Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kAwaitingCapacity);
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kPreempts);
}

// Guards against two tasks of a step on one worker beyond its limit: a
// nomination was taken although the worker had got another task of the step.
TEST(Planning, NominationCountsTheTasksOfItsStepOnTheWorker)
{
  PlanningView view = Fleet(2);
  view.mWorkers[0].mSchedulable = false;
  StepSpecValues step = Step(2, 2);
  step.mMaxPerWorker = 1;
  AddUnit(view, step, 0).mNominatedWorkers = { 0 };
  WaitingUnit& second = AddUnit(view, step, 0);
  second.mNominatedWorkers = { 1 };
  second.mStepGroup = 0;
  const auto decisions = Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kNoCapacity);
  CHECK_EQUAL(1, DecisionFor(decisions, 1).mWorkers.front());
}

// Guards against the same with a task of the step that runs there already.
TEST(Planning, NominationCountsTheRunningTasksOfItsStep)
{
  PlanningView view = Fleet(2);
  StepSpecValues step = Step(2, 2);
  step.mMaxPerWorker = 1;
  WaitingUnit& unit = AddUnit(view, step, 0);
  unit.mNominatedWorkers = { 1 };
  unit.mPeerWorkers = { 1 };
  CHECK_EQUAL(0, Plan(view).front().mWorkers.front());
}

// Guards against the same with the members of one gang.
TEST(Planning, NominationOfAGangKeepsItsLimitPerWorker)
{
  PlanningView view = Fleet(2);
  StepSpecValues gang = Step(2, 2);
  gang.mGang = true;
  gang.mMaxPerWorker = 1;
  AddUnit(view, gang, 0).mNominatedWorkers = { 1, 1 };
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kFits);
  CHECK(decisions.front().mWorkers[0] != decisions.front().mWorkers[1]);
}

// Guards against a second preemption: a unit whose nominated worker drains took
// the capacity that was freed for another one.
TEST(Planning, UnitWithAnUnusableNominationTakesNoOtherNomination)
{
  PlanningView view = Fleet(3);
  view.mWorkers[0].mSchedulable = false;
  Occupy(view, 2, 2, 1.0);
  AddUnit(view, Step(1, 8), 0).mNominatedWorkers = { 0 };
  AddUnit(view, Step(1, 8), 0).mNominatedWorkers = { 1 };
  const auto decisions = Plan(view);
  CHECK_EQUAL(1, DecisionFor(decisions, 1).mWorkers.front());
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kPreempts);
  CHECK_EQUAL(2, DecisionFor(decisions, 0).mWorkers.front());
}

// Guards against preempting work that the guarantee of another organisation
// covers.
TEST(Planning, GuaranteedWorkIsNeverPreempted)
{
  PlanningView view = Fleet(1);
  Occupy(view, 0, 0, 1.0);
  view.mRunning.front().mGuaranteed = true;
  AddUnit(view, Step(1, 8), 0).mGuaranteed = true;
  CHECK(Plan(view).front().mReason == PlanReason::kNoCapacity);
}

// Guards against a large gang that starves because small tasks use all freed
// capacity.
TEST(Planning, WorkersAreReservedForLargeGang)
{
  PlanningView view = Fleet(2);
  view.mWorkers[0].mFree = Resources(32'000, 64'000, 6);
  Occupy(view, 1, 1, 0.0);
  StepSpecValues gang = Step(2, 8);
  gang.mGang = true;
  AddUnit(view, gang, 1);
  AddUnit(view, Step(1, 1), 2);
  const auto decisions = Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kNoCapacity);
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kNoCapacity);
}

// Guards against reserving a worker whose capacity has become too small for the
// unit, which blocks it for others and leaves the suitable one to them.
TEST(Planning, WorkerTooSmallForTheUnitIsNotReserved)
{
  PlanningView view = Fleet(2);
  Occupy(view, 0, 1, 0.0);
  view.mWorkers[1].mCapacity = Resources(16'000, 32'000, 4);
  view.mWorkers[1].mFree = view.mWorkers[1].mCapacity;
  AddUnit(view, Step(1, 8), 1);
  AddUnit(view, Step(1, 2), 2);
  const auto decisions = Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kNoCapacity);
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kFits);
}

// Guards against counting workers that lost their capacity as headroom for
// urgent work, which could not run there.
TEST(Planning, WorkersThatShrankAreNoHeadroom)
{
  constexpr std::size_t kWorkers = 14;
  PlanningView view = Fleet(kWorkers);
  for (std::size_t i = 0; i < kWorkers - 3; ++i) {
    Occupy(view, i, 0, 0.0);
  }
  // One of the three idle workers has shrunk; the others are the headroom.
  view.mWorkers[kWorkers - 1].mCapacity = Resources(4'000, 8'000, 1);
  view.mWorkers[kWorkers - 1].mFree = view.mWorkers[kWorkers - 1].mCapacity;
  AddUnit(view, Step(1, 8), 2);
  AddUnit(view, Step(1, 1), 2);
  const auto decisions = Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kNoCapacity);
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kFits);
}

// Guards against promising a nominated unit more than the capacity that is left
// after the worker has shrunk.
TEST(Planning, NominationBeyondTheCapacityIsDropped)
{
  PlanningView view = Fleet(2);
  view.mWorkers[0].mCapacity = Resources(16'000, 32'000, 4);
  view.mWorkers[0].mFree = Resources(-16'000, -32'000, -4);
  view.mWorkers[0].mReleasing = Resources(32'000, 64'000, 8);
  AddUnit(view, Step(1, 8), 0).mNominatedWorkers = { 0 };
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kFits);
  CHECK_EQUAL(1, decisions.front().mWorkers.front());
}

// Guards against a retry on the worker on which the last run failed.
TEST(Planning, FailedTaskIsRetriedOnAnotherWorker)
{
  PlanningView view = Fleet(2);
  AddUnit(view, Step(1, 1), 2).mAvoidedWorkers = { 0 };
  CHECK_EQUAL(1, Plan(view).front().mWorkers.front());
}

// Guards against placing tasks on workers of another service or without the
// required label.
TEST(Planning, TaskRunsOnWorkerWithServiceAndLabel)
{
  PlanningView view = Fleet(3);
  view.mWorkers[0].mService = "other";
  view.mWorkers[2].mLabels = { "a" };
  StepSpecValues step = Step(1, 1);
  step.mRequiredLabel = "a";
  AddUnit(view, step, 2);
  CHECK_EQUAL(2, Plan(view).front().mWorkers.front());
}

// Guards against waiting for the preferred rack although none of its workers
// accepts work.
TEST(Planning, UnusablePreferredRackIsNotAwaited)
{
  PlanningView view = Fleet(4);
  view.mWorkers[0].mSchedulable = false;
  view.mWorkers[1].mSchedulable = false;
  Occupy(view, 2, 2, 0.0);
  StepSpecValues step = Step(1, 8);
  step.mAffinityRack = "r0";
  AddUnit(view, step, 2);
  const auto decisions = Plan(view);
  CHECK(decisions.front().mReason == PlanReason::kFits);
  CHECK_EQUAL(3, decisions.front().mWorkers.front());
}

// Guards against silently replacing an unknown policy by the default.
// Guards against placing a task that may crash its worker beside other tasks,
// or other tasks beside it in the same pass.
TEST(Planning, IsolatedUnitSharesNoWorker)
{
  PlanningView view = Fleet(3);
  view.mWorkers[0].mFree = Resources(31'000, 63'000, 7);
  AddUnit(view, Step(1, 1), 1).mIsolation = Isolation::kRequired;
  AddUnit(view, Step(1, 7), 1);
  AddUnit(view, Step(1, 8), 1);
  const auto decisions = MakePlacementPolicy("urgency")->Plan(view);
  const PlanDecision isolated = DecisionFor(decisions, 0);
  CHECK(isolated.mReason == PlanReason::kFits);
  CHECK(isolated.mWorkers.front() != 0);
  for (const std::size_t other : { std::size_t{ 1 }, std::size_t{ 2 } }) {
    const PlanDecision& decision = DecisionFor(decisions, other);
    CHECK(decision.mReason == PlanReason::kFits);
    CHECK(decision.mWorkers.front() != isolated.mWorkers.front());
  }
}

// Guards against placing the tasks of a crashed worker together again while
// other workers are empty.
TEST(Planning, SuspectsPreferSeparateEmptyWorkers)
{
  PlanningView view = Fleet(4);
  view.mWorkers[0].mFree = Resources(31'000, 63'000, 7);
  for (int i = 0; i < 3; ++i) {
    AddUnit(view, Step(1, 1), 1).mIsolation = Isolation::kPreferred;
  }
  std::vector<std::size_t> workers;
  for (const PlanDecision& decision :
       MakePlacementPolicy("urgency")->Plan(view)) {
    CHECK(decision.mReason == PlanReason::kFits);
    workers.push_back(decision.mWorkers.front());
  }
  std::sort(workers.begin(), workers.end());
  CHECK((workers == std::vector<std::size_t>{ 1, 2, 3 }));
}

// Guards against a blocked step because one of its tasks needs an empty worker.
TEST(Planning, WaitingIsolatedUnitBlocksNoTaskOfItsStep)
{
  PlanningView view = Fleet(1);
  view.mWorkers[0].mFree = Resources(31'000, 63'000, 7);
  AddUnit(view, Step(2, 1), 1).mIsolation = Isolation::kRequired;
  AddUnit(view, Step(2, 1), 1).mStepGroup = 0;
  const auto decisions = MakePlacementPolicy("urgency")->Plan(view);
  CHECK(DecisionFor(decisions, 0).mReason == PlanReason::kNoCapacity);
  CHECK(DecisionFor(decisions, 1).mReason == PlanReason::kFits);
}

TEST(Planning, UnknownPolicyThrows)
{
  CHECK_THROWS(StateError, MakePlacementPolicy("none"));
}
