#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

StepSpecValues
Step(std::size_t aTasks, std::int64_t aAccelerators, bool aGang = false)
{
  StepSpecValues values;
  values.mTasks = aTasks;
  values.mDemand = Resources(1'000, 1'000, aAccelerators);
  values.mEstimatedRunTime = milliseconds(1'000);
  values.mGang = aGang;
  return values;
}

void
CheckNoViolation(const FleetModel& aModel)
{
  for (const std::string& violation : aModel.Violations()) {
    FAIL(violation.c_str());
  }
}

void
CheckPhase(const FleetModel& aModel, const std::string& aJob, JobPhase aPhase)
{
  CHECK_EQUAL(static_cast<int>(aPhase),
              static_cast<int>(aModel.OutcomeOf(aJob).mPhase));
}

/** @return The first worker that runs something. */
std::size_t
BusyWorker(const FleetModel& aModel)
{
  std::size_t i = 0;
  while (aModel.RunningOn(i) == 0) {
    ++i;
  }
  return i;
}

/** Guarantees the organisation of MakeJob() a number of accelerators. */
Catalog
Guarantee(std::int64_t aAccelerators)
{
  return { 1, 1, {}, { { "acme", {}, aAccelerators } }, {} };
}

} // namespace

TEST_GROUP(Scheduler){};

TEST(Scheduler, JobOfTasksIsDone)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(6, 4), 1), milliseconds(1'000));
  model.Run(milliseconds(3'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(6, model.Starts());
  CheckNoViolation(model);
}

// Guards against a gang member that starts while another one cannot.
TEST(Scheduler, GangRunsWhole)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(4, 8, true), 1), milliseconds(1'000));
  model.Submit(MakeJob("b", Step(2, 8, true), 1), milliseconds(1'000));
  model.Run(milliseconds(4'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(6, model.Starts());
  CheckNoViolation(model);
}

// Guards against a second run while the first may still go on on a worker
// that does not answer.
TEST(Scheduler, RunOnSilentWorkerIsReplacedAfterItsLease)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = BusyWorker(model);
  model.SetReachable(host, false);
  model.Run(milliseconds(4'000));
  CHECK_EQUAL(1, model.Starts());
  model.Run(milliseconds(9'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against waiting for a lease when a crash is certain: the worker's new
// life says so.
TEST(Scheduler, RunOnCrashedWorkerIsReplacedAtOnce)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = BusyWorker(model);
  model.CrashWorker(host);
  model.Run(milliseconds(4'800));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a second run of a task that a restarted worker had accepted
// before the owner learned of the restart (found by fleet_soak.sh, seed 4).
TEST(Scheduler, RunOfNewLifeOutlivesTheNewsOfTheRestart)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(300));
  model.Run(milliseconds(1'000));
  model.RestartUnnoticed(0);
  model.RestartUnnoticed(1);
  model.Submit(MakeJob("b", Step(1, 8), 1), milliseconds(2'000));
  model.Run(milliseconds(60));
  model.Announce(0);
  model.Announce(1);
  model.Run(milliseconds(4'000));
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against new work on a worker that is leaving.
TEST(Scheduler, LeavingWorkerGetsNoNewWork)
{
  FleetModel model({ 1, 1 });
  model.SetLeaving(0);
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(100));
  model.Run(milliseconds(2'000));
  CHECK_EQUAL(0, model.Starts());
}

// Guards against work that is lost with a worker that was taken at short
// notice, and noticed only when its entry is gone.
TEST(Scheduler, RunThatWouldBeLostIsMovedWithinTheNotice)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(5'000));
  model.Run(milliseconds(1'000));
  const std::size_t host = BusyWorker(model);
  model.SetLeaving(host, milliseconds(2'000));
  model.Run(milliseconds(1'500));
  CHECK_EQUAL(0, model.RunningOn(host));
  CHECK_EQUAL(1, model.RunningOn(1 - host));
  model.Run(milliseconds(5'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against stopping a run that ends before its worker is gone.
TEST(Scheduler, RunThatEndsWithinTheNoticeGoesOn)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(2'500));
  model.Run(milliseconds(1'000));
  model.SetLeaving(BusyWorker(model), milliseconds(2'000));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against a gang that is stopped as a whole because one of its workers
// did not answer a command.
TEST(Scheduler, UnansweredStartIsRepeated)
{
  FleetModel model({ 2, 2 });
  model.DelayStarts(1);
  model.Submit(MakeJob("a", Step(2, 8, true), 1), milliseconds(1'000));
  model.Run(milliseconds(2'400));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CHECK_EQUAL(0, model.Stops());
  model.Run(milliseconds(4'000));
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against a successor that starts again what still runs.
TEST(Scheduler, SuccessorTakesOverRuns)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(4, 4), 1), milliseconds(2'000));
  model.Submit(MakeJob("b", Step(2, 8, true), 1), milliseconds(2'000));
  model.Run(milliseconds(700));
  model.ReplaceOwner();
  model.Run(milliseconds(2'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(6, model.Starts());
  CheckNoViolation(model);
}

// Guards against work that is lost while the store is down, and against
// starts that no record covers.
TEST(Scheduler, StoreOutageStartsNothingAndLosesNothing)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(2, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(200));
  model.SetStoreUp(false);
  model.Submit(MakeJob("b", Step(1, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(9'000));
  CHECK_EQUAL(2, model.Starts());
  model.SetStoreUp(true);
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(3, model.Starts());
  CheckNoViolation(model);
}

// Guards against a start after the last attempt, and against a job that is
// given up before.
TEST(Scheduler, JobFailsAfterItsAttempts)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(500));
  model.FailRuns("a", 2);
  model.Submit(MakeJob("b", Step(1, 1), 1), milliseconds(500));
  model.FailRuns("b", 1);
  model.Run(milliseconds(4'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a job that fails because one worker fails all it starts.
TEST(Scheduler, FailingWorkerDoesNotFailJobs)
{
  FleetModel model({});
  model.SetFailing(0, true);
  for (int i = 0; i < 6; ++i) {
    model.Submit(MakeJob("j" + std::to_string(i), Step(1, 8), 1),
                 milliseconds(500));
  }
  model.Run(milliseconds(8'000));
  for (int i = 0; i < 6; ++i) {
    CheckPhase(model, "j" + std::to_string(i), JobPhase::kDone);
  }
  CheckNoViolation(model);
}

// Guards against a run that stands still for ever.
TEST(Scheduler, StalledRunIsMoved)
{
  FleetModel model({ 2, 1 });
  model.SetStalled(0, true);
  model.SetStalled(1, false);
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(1'000));
  model.Submit(MakeJob("b", Step(1, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(12'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against taking members of a gang for stalled that have done their
// part and wait for a slower one: stopping them broke the gang over and over.
TEST(Scheduler, FinishedMembersWaitForTheSlowestOne)
{
  FleetModel model({ 2, 2 });
  model.SetSlowdown(1, 3.0);
  model.Submit(MakeJob("a", Step(2, 8, true), 1), milliseconds(3'000));
  model.Run(milliseconds(10'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against a gang that waits for ever for a member that stands still.
TEST(Scheduler, GangWithStalledMemberIsMoved)
{
  FleetModel model({ 3, 3 });
  model.SetStalled(0, true);
  model.Submit(MakeJob("a", Step(2, 8, true), 1), milliseconds(1'000));
  model.Run(milliseconds(12'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a gang that is held up for its whole run by one worker that
// turned slow; workers like it get on well.
TEST(Scheduler, RunOnSlowWorkerIsMovedEarly)
{
  FleetModel model({ 6, 6 });
  model.SetSlowdown(0, 6.0);
  model.Submit(MakeJob("a", Step(5, 8, true), 1), milliseconds(6'000));
  // On the slow worker it would take 36 s.
  model.Run(milliseconds(12'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against throwing away work that is nearly done for a short stall.
TEST(Scheduler, ShortStallOfAdvancedRunIsWaitedFor)
{
  FleetModel model({ 2, 2 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(6'000));
  model.Run(milliseconds(5'500));
  const std::size_t host = BusyWorker(model);
  model.SetStalled(host, true);
  model.Run(milliseconds(4'000));
  model.SetStalled(host, false);
  model.Run(milliseconds(1'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against new work for a worker whose runs stand still.
TEST(Scheduler, StandingWorkerGetsNoNewWork)
{
  FleetModel model({ 2, 2 });
  model.Submit(MakeJob("a", Step(1, 4), 1), milliseconds(6'000));
  model.Run(milliseconds(5'500));
  const std::size_t host = BusyWorker(model);
  model.SetStalled(host, true);
  model.Run(milliseconds(2'500));
  // It would fit best beside the first one.
  model.Submit(MakeJob("b", Step(1, 4), 1), milliseconds(1'000));
  model.Run(milliseconds(1'500));
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against runs of a cancelled job that go on.
TEST(Scheduler, CancelledJobStops)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(8, 4), 1), milliseconds(60'000));
  model.Run(milliseconds(500));
  CHECK_EQUAL(8, model.Starts());
  model.Cancel("a");
  model.Run(milliseconds(1'200));
  for (std::size_t i = 0; i < 4; ++i) {
    CHECK_EQUAL(0, model.RunningOn(i));
  }
  CheckPhase(model, "a", JobPhase::kCancelled);
}

// Guards against an organisation that cannot reclaim its guarantee in time
// from less urgent work.
TEST(Scheduler, GuaranteedJobStartsOnFullFleet)
{
  FleetModel model({});
  model.ApplyCatalog(Guarantee(16));
  model.Submit(MakeJob("low", Step(32, 1), 2), milliseconds(60'000));
  model.Run(milliseconds(500));
  model.Submit(MakeJob("urgent", Step(2, 8, true), 0), milliseconds(1'000));
  // The platform's bound for a reclaim is 3.4 s.
  model.Run(milliseconds(3'400 + 1'000 + 200));
  CheckPhase(model, "urgent", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against the loss of work that a checkpoint would have kept.
TEST(Scheduler, CheckpointingWorkIsStoppedFirst)
{
  FleetModel model({ 2, 1 });
  model.ApplyCatalog(Guarantee(8));
  StepSpecValues saving = Step(1, 8);
  saving.mCheckpointing = true;
  model.Submit(MakeJob("saving", saving, 2), milliseconds(60'000));
  model.Run(milliseconds(3'000));
  model.Submit(MakeJob("losing", Step(1, 8), 2), milliseconds(60'000));
  model.Run(milliseconds(1'000));
  model.Submit(MakeJob("urgent", Step(1, 8), 0), milliseconds(60'000));
  model.Run(milliseconds(3'400));
  CHECK_EQUAL(3, model.Starts());
  CHECK_EQUAL(1, model.Stops());
  model.Cancel("losing");
  model.Run(milliseconds(2'000));
  // The stopped one has started again on the worker that became free.
  CHECK_EQUAL(4, model.Starts());
  CheckNoViolation(model);
}

// Guards against two runs at a time, lost tasks and overfilled workers under
// lost and late answers, silent workers, crashes and changes of the owner.
TEST(Scheduler, PromisesHoldUnderFaults)
{
  constexpr std::uint64_t kSeeds = 60;
  constexpr int kRounds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModelOptions options;
    options.mSeed = seed;
    options.mLostAnswers = 0.05;
    options.mLateOrders = 0.03;
    FleetModel model(options);
    std::mt19937_64 random(seed * 7'919);
    int jobs = 0;
    for (int round = 0; round < kRounds; ++round) {
      if (random() % 2 == 0) {
        const bool isGang = random() % 2 == 0;
        model.Submit(
          MakeJob("j" + std::to_string(jobs++),
                  Step(1 + random() % 3, 1 << (random() % 4), isGang),
                  static_cast<int>(random() % 3)),
          milliseconds(200 + random() % 1'500));
      }
      if (random() % 8 == 0) {
        model.ReplaceOwner();
      }
      if (random() % 10 == 0) {
        model.SetReachable(random() % 4, false);
      }
      if (random() % 12 == 0) {
        model.CrashWorker(random() % 4);
      }
      if (random() % 3 == 0) {
        model.SetReachable(random() % 4, true);
      }
      model.SetStoreUp(random() % 8 != 0);
      model.Run(milliseconds(100 + random() % 400));
    }
    model.SetStoreUp(true);
    for (std::size_t i = 0; i < 4; ++i) {
      model.SetReachable(i, true);
    }
    model.Run(milliseconds(40'000));
    for (const std::string& violation : model.Violations()) {
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
    for (int i = 0; i < jobs; ++i) {
      const std::string id = "j" + std::to_string(i);
      CHECK_TEXT(
        IsFinal(model.OutcomeOf(id).mPhase),
        ("seed " + std::to_string(seed) + ": " + id + " did not end").c_str());
    }
  }
}
