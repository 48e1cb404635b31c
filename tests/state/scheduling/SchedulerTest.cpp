#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

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

/** @return Position of the first worker with a run. */
std::size_t
FirstBusyWorker(const FleetModel& aModel)
{
  std::size_t i = 0;
  while (aModel.RunningOn(i) == 0) {
    ++i;
  }
  return i;
}

/** @return The only event of a kind. */
SchedulerEvent
OnlyEvent(const FleetModel& aModel, SchedulerEvent::Kind aKind)
{
  std::vector<SchedulerEvent> found;
  for (const SchedulerEvent& event : aModel.OwnerEvents()) {
    if (event.mKind == aKind) {
      found.push_back(event);
    }
  }
  CHECK_EQUAL(1, found.size());
  return found.front();
}

/** @return A field of an event, or nothing. */
std::string
FieldOf(const SchedulerEvent& aEvent, const std::string& aName)
{
  const auto it = std::find_if(
    aEvent.mFields.begin(), aEvent.mFields.end(), [&aName](const auto& aField) {
      return aField.first == aName;
    });
  return it != aEvent.mFields.end() ? it->second : std::string();
}

/** Checks what the only loss of a run rests on, and who ordered the run. */
void
CheckLoss(const FleetModel& aModel,
          const std::string& aReason,
          const std::string& aBasis,
          const std::string& aOrderedBy)
{
  const SchedulerEvent lost = OnlyEvent(aModel, SchedulerEvent::Kind::kRunLost);
  CHECK_EQUAL(aReason, FieldOf(lost, "reason"));
  CHECK_EQUAL(aBasis, FieldOf(lost, "basis"));
  CHECK_EQUAL(aOrderedBy, FieldOf(lost, "ordered_by"));
  CHECK_EQUAL(1, aModel.Gauge("scheduler_runs_lost{basis=\"" + aBasis + "\"}"));
}

/**
 * @return A catalog that guarantees accelerators to the organisation of
 *   MakeJob().
 */
Catalog
CatalogWithGuarantee(std::int64_t aAccelerators)
{
  return { 1, 1, {}, { { "acme", {}, aAccelerators } }, {} };
}

/** @return A job of up to three steps that needs a small part of a fleet. */
TaskJob
RandomJob(const std::string& aId,
          std::mt19937_64& aRandom,
          std::size_t aWorkers)
{
  std::vector<StepSpec> steps;
  const std::size_t n = 1 + aRandom() % 3;
  for (std::size_t i = 0; i < n; ++i) {
    StepSpecValues values =
      Step(1 + aRandom() % 3, 1 << (aRandom() % 4), aRandom() % 2 == 0);
    values.mSameRack = values.mGang && aRandom() % 2 == 0;
    values.mCheckpointing = aRandom() % 3 == 0;
    values.mEstimatedRunTime = milliseconds(500 + aRandom() % 8'000);
    if (aRandom() % 3 == 0) {
      values.mMaxPerWorker = 1;
    }
    if (aRandom() % 4 == 0) {
      values.mAffinityRack = "r" + std::to_string(aRandom() % (aWorkers / 2));
    }
    if (i > 0 && aRandom() % 2 == 0) {
      values.mDependencies = { i - 1 };
    }
    steps.emplace_back(values, i);
  }
  const TaskJob job =
    MakeJob(aId, StepSpecValues(), static_cast<int>(aRandom() % 3), 4);
  return { job.Id(),
           job.Organisation(),
           job.Settings(),
           job.Payload(),
           std::move(steps),
           {},
           {} };
}

/** Advances the clock while a worker refreshes its row in the store. */
void
RunWithRefreshes(FleetModel& aModel, std::size_t aWorker, milliseconds aTime)
{
  constexpr milliseconds kInterval{ 500 };
  const milliseconds end = aModel.Now() + aTime;
  while (aModel.Now() < end) {
    aModel.Run(kInterval);
    aModel.RefreshRow(aWorker);
  }
}

/** @return Capacity of a worker whose accelerators are partly lost. */
Resources
CapacityOf(std::int64_t aAccelerators)
{
  return { 4'000 * aAccelerators, 8'000 * aAccelerators, aAccelerators };
}

/** Makes half of a fleet reachable or unreachable. */
void
SetHalfReachable(FleetModel& aModel, std::size_t aWorkers, bool aReachable)
{
  for (std::size_t i = 0; i < aWorkers / 2; ++i) {
    aModel.SetReachable(i, aReachable);
  }
}

void
SetAllReachable(FleetModel& aModel, std::size_t aWorkers, bool aReachable)
{
  for (std::size_t i = 0; i < aWorkers; ++i) {
    aModel.SetReachable(i, aReachable);
  }
}

void
EndFaults(FleetModel& aModel, std::size_t aWorkers)
{
  aModel.SetStoreUp(true);
  for (std::size_t i = 0; i < aWorkers; ++i) {
    aModel.SetReachable(i, true);
    aModel.SetRejecting(i, false);
    aModel.SetFailing(i, false);
    aModel.SetStalled(i, false);
    aModel.SetSlowdown(i, 1.0);
    aModel.PublishWorker(i);
  }
}

void
InjectFault(FleetModel& aModel, std::mt19937_64& aRandom, std::size_t aWorkers)
{
  using Fault =
    std::function<void(FleetModel&, std::size_t aWorker, std::size_t aWorkers)>;
  static const std::array<Fault, 19> kFaults{
    [](auto& aFleet, auto aWorker, auto) { aFleet.CrashWorker(aWorker); },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.RestartUnannounced(aWorker);
    },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.RestartWithLowerIncarnation(aWorker);
    },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.RestartWithLowerIncarnation(aWorker);
      aFleet.PublishWorker(aWorker);
    },
    [](auto& aFleet, auto aWorker, auto) { aFleet.UnlistWorker(aWorker); },
    [](auto& aFleet, auto aWorker, auto) { aFleet.PublishWorker(aWorker); },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.PublishStaleClock(aWorker, milliseconds(8'000));
    },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.SetReachable(aWorker, false);
    },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.SetReachable(aWorker, false);
      aFleet.RestartUnannounced(aWorker);
    },
    [](auto& aFleet, auto aWorker, auto) {
      aFleet.SetReachable(aWorker, true);
    },
    [](auto& aFleet, auto aWorker, auto) { aFleet.SetFailing(aWorker, true); },
    [](auto& aFleet, auto aWorker, auto) { aFleet.SetStalled(aWorker, true); },
    [](auto& aFleet, auto, auto aCount) {
      for (std::size_t i = 0; i < aCount; ++i) {
        aFleet.SetRejecting(i, true);
      }
    },
    [](auto& aFleet, auto, auto aCount) {
      SetHalfReachable(aFleet, aCount, false);
      aFleet.Run(milliseconds(17'000));
      SetHalfReachable(aFleet, aCount, true);
    },
    [](auto& aFleet, auto, auto) { aFleet.SetStoreUp(false); },
    [](auto& aFleet, auto, auto) { aFleet.ReplaceOwner(); },
    [](auto& aFleet, auto, auto) { aFleet.DelayStarts(2); },
    [](auto& aFleet, auto, auto) { aFleet.HandOver(milliseconds(700)); },
    [](auto& aFleet, auto aWorker, auto aCount) {
      const auto shrunk = static_cast<std::int64_t>((aWorker + aCount) % 3);
      aFleet.SetCapacity(aWorker, CapacityOf(4 * shrunk));
      aFleet.SetCapacity(aCount - 1 - aWorker, CapacityOf(8));
    },
  };
  kFaults.at(aRandom() %
             kFaults.size())(aModel, aRandom() % aWorkers, aWorkers);
}

} // namespace

TEST_GROUP(Scheduler){};

TEST(Scheduler, JobCompletes)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(6, 4), 1), milliseconds(1'000));
  model.Run(milliseconds(3'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(6, model.Starts());
  CheckNoViolation(model);
}

// Guards against a gang member that starts while another member cannot.
TEST(Scheduler, GangMembersRunTogether)
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

// Guards against a second run of a task while the first one may still be
// running on an unreachable worker.
TEST(Scheduler, RunOnUnreachableWorkerIsReplacedAfterLeaseExpiry)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetReachable(host, false);
  model.Run(milliseconds(4'000));
  CHECK_EQUAL(1, model.Starts());
  model.Run(milliseconds(9'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against a lost run whose log does not tell what its loss rests on; so
// do the following tests.
TEST(Scheduler, LossByOwnLeaseTellsTheLastCommand)
{
  FleetModel model({});
  // The first owner assumes leases of earlier ones as well.
  model.Run(milliseconds(4'000));
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  model.SetReachable(FirstBusyWorker(model), false);
  model.Run(milliseconds(8'000));
  CheckLoss(model, "lease_expired", "own_command", "1");
  const SchedulerEvent gone =
    OnlyEvent(model, SchedulerEvent::Kind::kWorkerGone);
  CHECK_EQUAL(std::string("own_command"), FieldOf(gone, "basis"));
  CHECK_EQUAL(FieldOf(gone, "extended_ms_ago"), FieldOf(gone, "basis_ms_ago"));
  const int endedAgo = std::stoi(FieldOf(gone, "lease_ended_ms_ago"));
  CHECK(endedAgo >= 0);
  // The lease of 6 s, with the allowances for clocks and transmission.
  CHECK_EQUAL(6'480 + endedAgo, std::stoi(FieldOf(gone, "basis_ms_ago")));
  CHECK(std::stoll(FieldOf(gone, "until_ms")) > 0);
}

TEST(Scheduler, LossByReleaseTellsTheRelease)
{
  FleetModel model({});
  model.Run(milliseconds(4'000));
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  model.SetReachable(FirstBusyWorker(model), false);
  model.Run(milliseconds(2'000));
  model.HandOver();
  model.Run(milliseconds(6'000));
  CheckLoss(model, "lease_expired", "release", "earlier");
  const SchedulerEvent gone =
    OnlyEvent(model, SchedulerEvent::Kind::kWorkerGone);
  CHECK_EQUAL(std::string(), FieldOf(gone, "extended_ms_ago"));
  CHECK_EQUAL(std::string("2"), FieldOf(gone, "epoch"));
}

TEST(Scheduler, LossAfterTakeoverTellsThePresumption)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  model.SetReachable(FirstBusyWorker(model), false);
  model.Run(milliseconds(1'000));
  model.ReplaceOwner();
  model.Run(milliseconds(12'000));
  CheckLoss(model, "lease_expired", "presumption", "earlier");
}

TEST(Scheduler, LossByReplyTellsTheRenewal)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.ReplaceOwner();
  model.RestartUnannounced(host);
  model.Run(milliseconds(3'000));
  CheckLoss(model, "not_started", "renew_reply", "earlier");
  const SchedulerEvent lost = OnlyEvent(model, SchedulerEvent::Kind::kRunLost);
  CHECK_EQUAL(std::string("2"), FieldOf(lost, "epoch"));
  CHECK(FieldOf(lost, "incarnation") != FieldOf(lost, "planned_incarnation"));
  CHECK(std::stoi(FieldOf(lost, "sent_ms_ago")) >= 0);
}

TEST(Scheduler, LossByRestartTellsTheReply)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(8'000));
  model.Run(milliseconds(2'000));
  model.RestartUnannounced(FirstBusyWorker(model));
  model.Run(milliseconds(3'000));
  CheckLoss(model, "restarted", "renew_reply", "1");
}

TEST(Scheduler, LossOfAcknowledgedRunTellsTheRenewal)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(8'000));
  model.Run(milliseconds(60));
  model.RestartUnannounced(FirstBusyWorker(model));
  model.Run(milliseconds(5'000));
  CheckLoss(model, "not_listed", "renew_reply", "1");
  const SchedulerEvent lost = OnlyEvent(model, SchedulerEvent::Kind::kRunLost);
  CHECK(FieldOf(lost, "incarnation") != FieldOf(lost, "planned_incarnation"));
}

TEST(Scheduler, LossByRestartTellsTheEntry)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(8'000));
  model.Run(milliseconds(2'000));
  const std::size_t host = FirstBusyWorker(model);
  model.RestartUnannounced(host);
  model.PublishWorker(host);
  model.Run(milliseconds(3'000));
  CheckLoss(model, "restarted", "entry", "1");
}

// Guards against a wait for the leases of silent workers that starts anew with
// each owner, so that handovers postpone the replacement of their runs.
TEST(Scheduler, HandoversDoNotDelayReplacementOfUnreachableRuns)
{
  FleetModel model({});
  // The first owner assumes leases of earlier ones as well.
  model.Run(milliseconds(3'000));
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  model.SetReachable(FirstBusyWorker(model), false);
  for (int i = 0; i < 3; ++i) {
    model.Run(milliseconds(2'000));
    model.HandOver();
  }
  CHECK_EQUAL(1, model.Starts());
  model.Run(milliseconds(2'000));
  CHECK_EQUAL(2, model.Starts());
  model.Run(milliseconds(8'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a second run of a task whose worker replies again while the
// release of the lease is being stored.
TEST(Scheduler, ReleasingOwnerExtendsNoLeaseThatItHasTold)
{
  FleetModel model({});
  model.Run(milliseconds(3'000));
  model.Submit(MakeJob("a", Step(1, 4), 1), milliseconds(20'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetReachable(host, false);
  model.Run(milliseconds(2'000));
  model.HandOver(milliseconds(3'000));
  model.SetReachable(host, true);
  model.Run(milliseconds(2'500));
  model.Submit(MakeJob("b", Step(1, 4), 1), milliseconds(20'000));
  model.Run(milliseconds(400));
  model.SetReachable(host, false);
  model.Run(milliseconds(12'000));
  CheckNoViolation(model);
  CHECK_EQUAL(0, model.RunningOn(host));
  CHECK_EQUAL(3, model.Starts());
}

// Guards against a job that waits for the end of a silent worker's lease and is
// missing from the reports of stalled jobs.
TEST(Scheduler, JobOnSilentWorkerCountsAsStalled)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(1'500));
  CHECK_EQUAL(0, model.Gauge("scheduler_jobs_stalled"));
  model.SetReachable(FirstBusyWorker(model), false);
  model.Run(milliseconds(3'500));
  CHECK_EQUAL(1, model.Gauge("scheduler_jobs_stalled"));
}

// Guards against discarding the completion of a run that was presumed lost.
TEST(Scheduler, CompletionOfRunPresumedLostIsKept)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(2, 4), 1), milliseconds(1'500));
  model.Run(milliseconds(500));
  model.SetReachable(0, false);
  // The runs complete, and the lease expires.
  model.Run(milliseconds(9'000));
  model.SetReachable(0, true);
  model.Run(milliseconds(3'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against runs on a worker out of reach that are never replaced because
// its row in the store shows that it is alive.
TEST(Scheduler, RunOnUnreachableLiveWorkerIsReplaced)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(2'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetReachable(host, false);
  RunWithRefreshes(model, host, milliseconds(13'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against an attempt beyond the limit after a run that was presumed lost
// turns out to have failed.
TEST(Scheduler, LateFailureCountsAsAttempt)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(5'000));
  model.FailRuns("a", 2);
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetReachable(host, false);
  model.Run(milliseconds(9'500));
  CHECK_EQUAL(2, model.Starts());
  model.SetReachable(host, true);
  model.Run(milliseconds(8'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against presuming runs lost whose terminations did not fit into the
// reply of their worker.
TEST(Scheduler, TerminationsBeyondOneReplyAreFetched)
{
  constexpr std::size_t kTasks = 1'200;
  FleetModelOptions options;
  options.mWorkers = 1;
  options.mCapacity = Resources(2'000'000, 2'000'000, kTasks);
  FleetModel model(options);
  model.Submit(MakeJob("a", Step(kTasks, 1), 1), milliseconds(1'000));
  model.Run(milliseconds(4'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(kTasks, model.Starts());
  CHECK_EQUAL(0, model.UnackedOn(0));
  CheckNoViolation(model);
}

// Guards against terminations that are never acknowledged, and jobs that never
// start, while more jobs change than fit into one write.
TEST(Scheduler, PartialWritesDelayNoJobForever)
{
  FleetModelOptions options;
  options.mWorkers = 8;
  options.mJobsPerWrite = 2;
  FleetModel model(options);
  constexpr int kFirst = 999;
  constexpr int kLast = 100;
  constexpr int kUrgent = 900;
  // The last identifiers come first in a write.
  for (int i = kFirst; i >= kLast; --i) {
    model.Submit(MakeJob("a" + std::to_string(i), Step(1, 1), 1),
                 milliseconds(100));
    if (i == kUrgent) {
      model.Submit(MakeJob("z", Step(1, 1), 0), milliseconds(100));
    }
    model.Run(milliseconds(10));
  }
  CheckPhase(model, "z", JobPhase::kDone);
  std::size_t unacked = 0;
  for (std::size_t i = 0; i < options.mWorkers; ++i) {
    unacked += model.UnackedOn(i);
  }
  constexpr std::size_t kMaxUnacked = 200;
  CHECK_COMPARE(unacked, <, kMaxUnacked);
  CheckNoViolation(model);
}

// Guards against terminations that an idle worker keeps until its next run.
TEST(Scheduler, LastTerminationOfIdleWorkerIsAcknowledged)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(500));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(0, model.UnackedOn(0));
  CheckNoViolation(model);
}

// Guards against continuing a second run because a new owner does not know the
// completion that an idle worker reports.
TEST(Scheduler, NewOwnerQueriesIdleWorkers)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(5'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetReachable(host, false);
  model.Run(milliseconds(9'500));
  CHECK_EQUAL(2, model.Starts());
  model.ReplaceOwner();
  model.SetReachable(host, true);
  model.Run(milliseconds(1'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Stops());
  CheckNoViolation(model);
}

// Guards against starting tasks again on a worker that was removed from the
// list while it lived and has completed them.
TEST(Scheduler, RelistedWorkerIsQueriedBeforeItIsUsed)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(2, 4), 1), milliseconds(1'500));
  model.Run(milliseconds(500));
  model.SetReachable(0, false);
  model.UnlistWorker(0);
  model.Run(milliseconds(9'000));
  model.SetReachable(0, true);
  model.PublishWorker(0);
  model.Run(milliseconds(3'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against continuing a second run after the first one turns out to be
// complete.
TEST(Scheduler, LateCompletionStopsSecondRun)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(5'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetReachable(host, false);
  model.Run(milliseconds(10'000));
  CHECK_EQUAL(2, model.Starts());
  model.SetReachable(host, true);
  model.Run(milliseconds(2'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Stops());
  CHECK_EQUAL(0, model.RunningOn(1 - host));
  CheckNoViolation(model);
}

// Guards against a second run of a task because another entry of the list has
// the address of its worker.
TEST(Scheduler, EntryWithAddressOfLiveWorkerEndsNoRuns)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(3'000));
  model.Run(milliseconds(500));
  model.PublishCopyOf(FirstBusyWorker(model));
  model.Run(milliseconds(4'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against reporting a job as started although no worker has started it.
TEST(Scheduler, JobWithoutStartedRunIsPending)
{
  FleetModel model({ 1, 1 });
  model.SetReachable(0, false);
  model.Submit(MakeJob("a", Step(2, 4), 1), milliseconds(1'000));
  model.Run(milliseconds(500));
  CHECK_EQUAL(1, model.PendingJobs());
  model.SetReachable(0, true);
  model.Run(milliseconds(3'000));
  CHECK_EQUAL(0, model.PendingJobs());
  CheckNoViolation(model);
}

// Guards against treating a worker as faulty because the owner could not send
// commands to it.
TEST(Scheduler, WorkerIsUsedAtOnceAfterUnsentStarts)
{
  FleetModel model({ 2, 1 });
  model.SetConnectable(0, false);
  model.SetConnectable(1, false);
  model.Submit(MakeJob("a", Step(8, 2), 1), milliseconds(1'000));
  model.Run(milliseconds(3'000));
  CHECK_EQUAL(0, model.Starts());
  model.SetConnectable(0, true);
  model.SetConnectable(1, true);
  model.Run(milliseconds(3'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against waiting for the lease to expire although a new incarnation of
// the worker proves that the run is lost.
TEST(Scheduler, RunOnRestartedWorkerIsReplacedAtOnce)
{
  FleetModel model({});
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.CrashWorker(host);
  model.Run(milliseconds(4'800));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a second run of a task that a restarted worker accepted before
// the owner received the new incarnation (found by fleet_soak.sh, seed 4).
TEST(Scheduler, RunOfNewIncarnationSurvivesRestartAnnouncement)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(300));
  model.Run(milliseconds(1'000));
  model.RestartUnannounced(0);
  model.RestartUnannounced(1);
  model.Submit(MakeJob("b", Step(1, 8), 1), milliseconds(2'000));
  model.Run(milliseconds(60));
  model.PublishWorker(0);
  model.PublishWorker(1);
  model.Run(milliseconds(4'000));
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against new runs on a draining worker.
TEST(Scheduler, DrainingWorkerGetsNoNewRuns)
{
  FleetModel model({ 1, 1 });
  model.SetDraining(0);
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(100));
  model.Run(milliseconds(2'000));
  CHECK_EQUAL(0, model.Starts());
}

// Guards against a second run while a draining worker lives without an entry.
TEST(Scheduler, DrainingWorkerWithoutEntryKeepsItsRuns)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetDraining(host, milliseconds(30'000));
  model.Run(milliseconds(500));
  model.UnlistWorker(host);
  model.Run(milliseconds(6'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against a second run while a draining worker that is cut off from the
// store and the owner runs on under its lease: its silence removed its entry.
TEST(Scheduler, SilentDrainingWorkerKeepsItsRunsUntilItsLeaseExpires)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(20'000));
  model.Run(milliseconds(2'000));
  const std::size_t host = FirstBusyWorker(model);
  model.RefreshRow(host);
  model.SetDraining(host, milliseconds(30'000));
  model.Run(milliseconds(100));
  model.SetReachable(host, false);
  model.Run(milliseconds(4'500));
  model.UnlistWorker(host);
  model.Run(milliseconds(15'000));
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against an entry that another writer has garbled and that counts as a
// departure.
TEST(Scheduler, SilentDrainingWorkerWithUndecodableEntryKeepsItsRuns)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(20'000));
  model.Run(milliseconds(2'000));
  const std::size_t host = FirstBusyWorker(model);
  model.RefreshRow(host);
  model.SetDraining(host, milliseconds(30'000));
  model.Run(milliseconds(100));
  model.SetReachable(host, false);
  model.Run(milliseconds(500));
  model.GarbleEntry(host);
  model.Run(milliseconds(20'000));
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against the same after a takeover: the new owner knows nothing of the
// worker but an entry that is removed.
TEST(Scheduler, SilentDrainingWorkerKeepsItsRunsAfterATakeover)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(20'000));
  model.Run(milliseconds(2'000));
  const std::size_t host = FirstBusyWorker(model);
  model.RefreshRow(host);
  model.SetDraining(host, milliseconds(30'000));
  model.SetReachable(host, false);
  model.ReplaceOwner();
  model.Run(milliseconds(1'500));
  model.UnlistWorker(host);
  model.Run(milliseconds(20'000));
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against waiting for the lease of a drained worker that has left.
TEST(Scheduler, RunOfWorkerThatLeftIsReplacedWithinItsLease)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetDraining(host, milliseconds(30'000));
  model.Run(milliseconds(500));
  model.RestartUnannounced(host);
  model.SetReachable(host, false);
  model.UnlistWorker(host);
  model.Run(milliseconds(2'500));
  CHECK_EQUAL(2, model.Starts());
}

// Guards against losing a run with a worker that shuts down at short notice:
// without a move, the loss is detected only when the worker is removed from the
// list.
TEST(Scheduler, RunIsMovedIfItCannotFinishBeforeShutdown)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(5'000));
  model.Run(milliseconds(1'000));
  const std::size_t host = FirstBusyWorker(model);
  model.SetDraining(host, milliseconds(2'000));
  model.Run(milliseconds(1'500));
  CHECK_EQUAL(0, model.RunningOn(host));
  CHECK_EQUAL(1, model.RunningOn(1 - host));
  model.Run(milliseconds(5'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against stopping a run that completes before its worker shuts down.
TEST(Scheduler, RunStaysIfItFinishesBeforeShutdown)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(2'500));
  model.Run(milliseconds(1'000));
  model.SetDraining(FirstBusyWorker(model), milliseconds(2'000));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against stopping a whole gang because one worker did not reply to its
// start command.
TEST(Scheduler, StartWithoutReplyIsRetried)
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

// Guards against a new owner that starts a task again although its run is still
// active.
TEST(Scheduler, SuccessorAdoptsRunningRuns)
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

// Guards against losing results while the store is unavailable, and against
// starts without a stored record.
TEST(Scheduler, StoreOutageBlocksStartsAndKeepsResults)
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

// Guards against a run after the last allowed attempt, and against failing a
// job that has attempts left.
TEST(Scheduler, JobFailsAfterMaxAttempts)
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

// Guards against failing jobs because of a single worker on which all runs
// fail.
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

// Guards against a run that stays without progress forever.
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

// Guards against treating gang members as stalled that have done their work and
// wait for a slower member: stopping them broke the gang repeatedly.
TEST(Scheduler, FinishedGangMembersAreNotStalled)
{
  FleetModel model({ 2, 2 });
  model.SetSlowdown(1, 3.0);
  model.Submit(MakeJob("a", Step(2, 8, true), 1), milliseconds(3'000));
  model.Run(milliseconds(10'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against a gang that waits forever for a stalled member.
TEST(Scheduler, GangWithStalledMemberIsMoved)
{
  FleetModel model({ 3, 3 });
  model.SetStalled(0, true);
  model.Submit(MakeJob("a", Step(2, 8, true), 1), milliseconds(1'000));
  model.Run(milliseconds(12'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a gang that is delayed for its whole run by one slow worker
// while other workers are fast.
TEST(Scheduler, SlowRunIsMovedEarly)
{
  FleetModel model({ 6, 6 });
  model.SetSlowdown(0, 6.0);
  model.Submit(MakeJob("a", Step(5, 8, true), 1), milliseconds(6'000));
  // The run would take 36 s on the slow worker.
  model.Run(milliseconds(12'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against discarding a nearly completed run because of a short stall.
TEST(Scheduler, AdvancedRunSurvivesShortStall)
{
  FleetModel model({ 2, 2 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(6'000));
  model.Run(milliseconds(5'500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetStalled(host, true);
  model.Run(milliseconds(4'000));
  model.SetStalled(host, false);
  model.Run(milliseconds(1'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against discarding a nearly completed run because of a short stall
// after the owner has changed, since the new owner does not know when the run
// started.
TEST(Scheduler, AdvancedRecoveredRunSurvivesShortStall)
{
  FleetModel model({ 2, 2 });
  StepSpecValues step = Step(1, 8);
  step.mEstimatedRunTime = milliseconds(6'000);
  model.Submit(MakeJob("a", step, 1), milliseconds(6'000));
  model.Run(milliseconds(5'500));
  model.ReplaceOwner();
  model.Run(milliseconds(200));
  const std::size_t host = FirstBusyWorker(model);
  model.SetStalled(host, true);
  model.Run(milliseconds(4'500));
  model.SetStalled(host, false);
  model.Run(milliseconds(1'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(1, model.Starts());
  CheckNoViolation(model);
}

// Guards against new runs on a worker whose runs are stalled.
TEST(Scheduler, WorkerWithStalledRunGetsNoNewRuns)
{
  FleetModel model({ 2, 2 });
  model.Submit(MakeJob("a", Step(1, 4), 1), milliseconds(6'000));
  model.Run(milliseconds(5'500));
  const std::size_t host = FirstBusyWorker(model);
  model.SetStalled(host, true);
  model.Run(milliseconds(2'500));
  // Without the stall, the first worker would be the tightest fit.
  model.Submit(MakeJob("b", Step(1, 4), 1), milliseconds(1'000));
  model.Run(milliseconds(1'500));
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against runs that continue after their job is cancelled.
TEST(Scheduler, CancelStopsAllRuns)
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

// Guards against an organisation that cannot reclaim its guaranteed
// accelerators from less urgent work in time.
TEST(Scheduler, GuaranteedJobStartsOnFullFleet)
{
  FleetModel model({});
  model.ApplyCatalog(CatalogWithGuarantee(16));
  model.Submit(MakeJob("low", Step(32, 1), 2), milliseconds(60'000));
  model.Run(milliseconds(500));
  model.Submit(MakeJob("urgent", Step(2, 8, true), 0), milliseconds(1'000));
  // The platform allows 3.4 s for a reclaim; the job itself runs for 1 s.
  model.Run(milliseconds(3'400 + 1'000 + 200));
  CheckPhase(model, "urgent", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against preempting a run without checkpoints while one with a
// checkpoint could be preempted.
TEST(Scheduler, CheckpointingWorkIsPreemptedFirst)
{
  FleetModel model({ 2, 1 });
  model.ApplyCatalog(CatalogWithGuarantee(8));
  StepSpecValues checkpointing = Step(1, 8);
  checkpointing.mCheckpointing = true;
  model.Submit(MakeJob("saving", checkpointing, 2), milliseconds(60'000));
  model.Run(milliseconds(3'000));
  model.Submit(MakeJob("losing", Step(1, 8), 2), milliseconds(60'000));
  model.Run(milliseconds(1'000));
  model.Submit(MakeJob("urgent", Step(1, 8), 0), milliseconds(60'000));
  model.Run(milliseconds(3'400));
  CHECK_EQUAL(3, model.Starts());
  CHECK_EQUAL(1, model.Stops());
  model.Cancel("losing");
  model.Run(milliseconds(2'000));
  // The preempted task has started again on the worker of the cancelled job.
  CHECK_EQUAL(4, model.Starts());
  CheckNoViolation(model);
}

// Guards against taking the work of a run that an earlier owner started for
// nothing, since its start is unknown: it would always be preempted first.
TEST(Scheduler, RecoveredRunIsNotPreemptedBeforeYoungerOne)
{
  FleetModel model({ 2, 1 });
  StepSpecValues step = Step(1, 8);
  step.mEstimatedRunTime = milliseconds(10'000);
  model.Submit(MakeJob("old", step, 2), milliseconds(10'000));
  model.Run(milliseconds(6'000));
  model.ReplaceOwner();
  model.Run(milliseconds(1'000));
  model.Submit(MakeJob("young", step, 2), milliseconds(10'000));
  model.Run(milliseconds(500));
  model.Submit(MakeJob("urgent", step, 0), milliseconds(10'000));
  model.Run(milliseconds(4'000));
  CHECK_EQUAL(1, model.Stops());
  CheckPhase(model, "old", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against preempting a run that the new owner has not heard of yet.
TEST(Scheduler, UnreportedRecoveredRunIsNotPreemptedBeforeYoungerOne)
{
  FleetModel model({ 2, 1 });
  StepSpecValues step = Step(1, 8);
  step.mEstimatedRunTime = milliseconds(10'000);
  model.Submit(MakeJob("old", step, 2), milliseconds(10'000));
  model.Run(milliseconds(7'000));
  model.Submit(MakeJob("young", step, 2), milliseconds(10'000));
  model.Run(milliseconds(500));
  model.ReplaceOwner();
  model.Submit(MakeJob("urgent", step, 0), milliseconds(10'000));
  model.Run(milliseconds(4'000));
  CHECK_EQUAL(1, model.Stops());
  CheckPhase(model, "old", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against thrown-away work without a cause in the metrics.
TEST(Scheduler, LostWorkIsCountedByCause)
{
  const auto lost = [](const FleetModel& aModel, const std::string& aCause) {
    return aModel.Gauge("scheduler_lost_core_seconds{cause=\"" + aCause +
                        "\"}");
  };
  FleetModel model({ 2, 2 });
  model.FailRuns("failing", 1);
  model.Submit(MakeJob("failing", Step(2, 4, true), 2), milliseconds(2'000));
  model.Run(milliseconds(8'000));
  CHECK_TRUE(lost(model, "failed") > 0);
  CHECK_TRUE(lost(model, "gang_broken") > 0);
  CHECK_EQUAL(0, lost(model, "preempted"));
  model.Submit(MakeJob("low", Step(2, 8), 2), milliseconds(10'000));
  model.Run(milliseconds(1'000));
  StepSpecValues urgent = Step(2, 8, true);
  urgent.mEstimatedRunTime = milliseconds(5'000);
  model.Submit(MakeJob("urgent", urgent, 0), milliseconds(5'000));
  model.Run(milliseconds(2'000));
  CHECK_TRUE(lost(model, "preempted") > 0);
  CHECK_EQUAL(0, lost(model, "job_ended"));
  model.Cancel("urgent");
  model.Run(milliseconds(2'000));
  CHECK_TRUE(lost(model, "job_ended") > 0);
  CHECK_EQUAL(0, lost(model, "worker_lost"));
  CheckNoViolation(model);
}

// Guards against waiting for suspected workers while all workers are suspected.
TEST(Scheduler, WorkRunsAfterAllWorkersRejectedStarts)
{
  FleetModel model({ 4, 2 });
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetRejecting(i, true);
  }
  model.Submit(MakeJob("a", Step(8, 2), 1), milliseconds(500));
  model.Run(milliseconds(3'000));
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetRejecting(i, false);
  }
  model.Run(milliseconds(2'500));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a job that waits for the suspected workers that alone can run
// it.
TEST(Scheduler, OnlySuitableWorkersAreRetriedWhileSuspected)
{
  FleetModel model({ 8, 2 });
  StepSpecValues step = Step(2, 4);
  step.mRequiredLabel = "only";
  for (std::size_t i = 0; i < 2; ++i) {
    model.SetRejecting(i, true);
    model.AddLabel(i, "only");
  }
  model.Submit(MakeJob("a", step, 1), milliseconds(500));
  model.Run(milliseconds(2'000));
  for (std::size_t i = 0; i < 2; ++i) {
    model.SetRejecting(i, false);
  }
  model.Run(milliseconds(3'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a stream of rejected starts while all workers are suspected.
TEST(Scheduler, StartsAreRetriedSlowlyIfAllWorkersAreSuspected)
{
  FleetModel model({ 4, 2 });
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetRejecting(i, true);
  }
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(500));
  model.Run(milliseconds(10'000));
  CHECK(model.RejectedStarts() >= 20);
  CHECK(model.RejectedStarts() <= 50);
}

// Guards against ignoring the replies of a worker that restarted after its time
// of day was set back: its lost runs stayed assigned forever.
TEST(Scheduler, RunIsReplacedAfterRestartWithLowerIncarnation)
{
  FleetModel model({ 2, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(2'000));
  model.Run(milliseconds(500));
  const std::size_t host = FirstBusyWorker(model);
  model.RestartWithLowerIncarnation(host);
  model.PublishWorker(host);
  model.Run(milliseconds(4'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CHECK_EQUAL(2, model.Starts());
  CheckNoViolation(model);
}

// Guards against a second start of a task whose completion a worker with a
// lower incarnation reports.
TEST(Scheduler, CompletionOnLowerIncarnationIsApplied)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(4, 2), 1), milliseconds(300));
  model.Run(milliseconds(2'000));
  model.RestartWithLowerIncarnation(0);
  model.Submit(MakeJob("b", Step(4, 2), 1), milliseconds(300));
  model.Run(milliseconds(4'000));
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(8, model.Starts());
  CheckNoViolation(model);
}

// Guards against acknowledging terminations of an earlier incarnation to a
// restarted worker, which then discards its own before it reports them.
TEST(Scheduler, RestartedWorkerKeepsItsFirstTerminations)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(4, 2), 1), milliseconds(300));
  model.Run(milliseconds(2'000));
  model.RestartUnannounced(0);
  model.Submit(MakeJob("b", Step(4, 2), 1), milliseconds(10));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK_EQUAL(8, model.Starts());
  CheckNoViolation(model);
}

// Guards against a task that waits forever because its last run failed on the
// only worker that can run it.
TEST(Scheduler, FailedTaskReturnsToTheOnlyWorker)
{
  FleetModelOptions options{ 1, 1 };
  options.mCheckWorkConservation = true;
  FleetModel model(options);
  model.FailRuns("a", 1);
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(500));
  model.Run(milliseconds(20'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a task that waits for the rack of its data while most of the
// fleet is free.
TEST(Scheduler, TaskLeavesFullRackWhileFleetIsIdle)
{
  FleetModelOptions options{ 8, 2 };
  options.mCheckWorkConservation = true;
  FleetModel model(options);
  StepSpecValues step = Step(2, 8);
  step.mAffinityRack = "r1";
  step.mEstimatedRunTime = milliseconds(20'000);
  model.Submit(MakeJob("a", step, 1), milliseconds(20'000));
  model.Run(milliseconds(7'000));
  model.Submit(MakeJob("b", step, 1), milliseconds(1'000));
  model.Run(milliseconds(6'000));
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a gang that waits for a single rack while most of the fleet is
// free.
TEST(Scheduler, GangCrossesRacksWhileFleetIsIdle)
{
  FleetModelOptions options{ 8, 2 };
  options.mCheckWorkConservation = true;
  FleetModel model(options);
  for (int i = 0; i < 4; ++i) {
    StepSpecValues pin = Step(1, 8);
    pin.mAffinityRack = "r" + std::to_string(i);
    pin.mEstimatedRunTime = milliseconds(30'000);
    pin.mDemand = Resources(1'000, 1'000, 3);
    model.Submit(MakeJob("p" + std::to_string(i), pin, 1),
                 milliseconds(30'000));
  }
  model.Run(milliseconds(7'000));
  StepSpecValues gang = Step(2, 8, true);
  gang.mSameRack = true;
  model.Submit(MakeJob("g", gang, 1), milliseconds(1'000));
  model.Run(milliseconds(7'000));
  CheckPhase(model, "g", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against reserving the whole fleet for a gang that it can never hold.
TEST(Scheduler, OversizedGangReservesNoWorkers)
{
  FleetModelOptions options{ 4, 2 };
  options.mCheckWorkConservation = true;
  FleetModel model(options);
  model.Submit(MakeJob("oversized", Step(5, 8, true), 0), milliseconds(1'000));
  model.Run(milliseconds(7'000));
  model.Submit(MakeJob("b", Step(1, 2), 2), milliseconds(500));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against headroom for urgent work that keeps other work waiting while
// most of the fleet is free.
TEST(Scheduler, HeadroomEndsWhileFleetIsIdle)
{
  FleetModelOptions options{ 16, 2 };
  options.mCheckWorkConservation = true;
  FleetModel model(options);
  StepSpecValues spread = Step(14, 3);
  spread.mMaxPerWorker = 1;
  model.Submit(MakeJob("urgent", spread, 0), milliseconds(30'000));
  model.Run(milliseconds(7'000));
  model.Submit(MakeJob("a", Step(1, 8), 2), milliseconds(1'000));
  model.Run(milliseconds(5'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a lasting task that stays down after a crash of its worker
// while urgent work keeps its headroom.
TEST(Scheduler, LastingTaskReturnsWhileUrgentWorkKeepsItsHeadroom)
{
  constexpr std::size_t kWorkers = 26;
  FleetModel model({ kWorkers, 6 });
  StepSpecValues lasting = Step(1, 8);
  lasting.mLongRunning = true;
  model.Submit(MakeJob("a", lasting, 1), milliseconds(1'000'000));
  model.Run(milliseconds(1'000));
  const std::size_t host = FirstBusyWorker(model);
  model.Submit(MakeJob("urgent", Step(21, 8), 0), milliseconds(75'000));
  model.Run(milliseconds(4'000));
  CHECK_EQUAL(22, model.Starts());
  model.SetReachable(host, false);
  model.UnlistWorker(host);
  // Most of the time is the lease of the lost run.
  model.Run(milliseconds(7'000));
  CHECK_EQUAL(23, model.Starts());
  CheckNoViolation(model);
}

// Guards against two tasks of a step on one worker beyond its limit when one of
// the workers on which work was preempted for them begins to drain.
TEST(Scheduler, LimitPerWorkerHoldsWhileANominatedWorkerDrains)
{
  constexpr std::size_t kWorkers = 16;
  FleetModel model({ kWorkers, 6 });
  model.ApplyCatalog(CatalogWithGuarantee(16));
  const auto fill = [&](std::size_t aJob) {
    model.Submit(MakeJob("low" + std::to_string(aJob), Step(1, 8), 2),
                 milliseconds(60'000));
    model.Run(milliseconds(400));
  };
  for (std::size_t i = 1; i < kWorkers; ++i) {
    fill(i);
  }
  // The least work is lost on the worker that starts last, and is nominated for
  // the first task.
  std::size_t last = 0;
  while (model.RunningOn(last) > 0) {
    ++last;
  }
  fill(kWorkers);
  StepSpecValues urgent = Step(2, 2);
  urgent.mEstimatedRunTime = milliseconds(4'000);
  urgent.mMaxPerWorker = 1;
  model.Submit(MakeJob("urgent", urgent, 0), milliseconds(4'000));
  while (model.Stops() < 2) {
    model.Run(milliseconds(10));
  }
  model.SetDraining(last);
  model.Run(milliseconds(15'000));
  CheckPhase(model, "urgent", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against starting a run that was planned before the capacity shrank.
TEST(Scheduler, PlannedRunIsNotStartedOnWorkerThatShrank)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(10));
  model.SetCapacity(0, CapacityOf(4));
  model.Run(milliseconds(1'000));
  CHECK_EQUAL(0, model.RunningOn(0));
  model.SetCapacity(0, CapacityOf(8));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against starting members of a gang of which one no longer fits.
TEST(Scheduler, PlannedGangIsNotStartedAfterOneWorkerShrank)
{
  FleetModel model({ 2, 2 });
  model.Submit(MakeJob("g", Step(2, 8, true), 1), milliseconds(1'000));
  model.Run(milliseconds(10));
  model.SetCapacity(1, CapacityOf(4));
  model.Run(milliseconds(1'000));
  CHECK_EQUAL(0, model.RunningOn(0) + model.RunningOn(1));
  model.SetCapacity(1, CapacityOf(8));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "g", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against withdrawing more planned runs than the lost capacity requires,
// and urgent ones before others.
TEST(Scheduler, UrgentPlannedRunIsKeptOnWorkerThatShrank)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(1, 4), 2), milliseconds(1'000));
  model.Submit(MakeJob("b", Step(1, 4), 0), milliseconds(1'000));
  model.Submit(MakeJob("c", Step(1, 4), 2), milliseconds(1'000));
  model.Run(milliseconds(10));
  model.SetCapacity(0, CapacityOf(4));
  model.Run(milliseconds(900));
  CHECK_EQUAL(1, model.Starts());
  model.Run(milliseconds(400));
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against repeating a start command after the capacity shrank.
TEST(Scheduler, StartIsNotRetriedOnWorkerThatShrank)
{
  FleetModel model({ 1, 1 });
  model.DelayStarts(1);
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(200));
  model.SetCapacity(0, CapacityOf(4));
  model.Run(milliseconds(5'000));
  CHECK_EQUAL(0, model.Starts());
  model.SetCapacity(0, CapacityOf(8));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against new runs, also of tasks without accelerators, on a worker that
// runs more than its capacity, and against stopping what it runs.
TEST(Scheduler, WorkerThatShrankKeepsItsRunsAndGetsNoNewOnes)
{
  FleetModel model({ 1, 1 });
  model.Submit(MakeJob("a", Step(1, 6), 1), milliseconds(2'000));
  model.Run(milliseconds(500));
  model.SetCapacity(0, CapacityOf(4));
  model.Submit(MakeJob("b", Step(1, 0), 0), milliseconds(500));
  model.Run(milliseconds(1'000));
  CHECK_EQUAL(1, model.RunningOn(0));
  CHECK_EQUAL(0, model.Stops());
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against starting urgent work in capacity that was freed by a
// preemption and is gone before the run could start.
TEST(Scheduler, PreemptingTaskWaitsOnWorkerThatShrank)
{
  FleetModel model({ 1, 1 });
  model.ApplyCatalog(CatalogWithGuarantee(8));
  model.Submit(MakeJob("a", Step(1, 8), 2), milliseconds(20'000));
  model.Run(milliseconds(500));
  model.Submit(MakeJob("b", Step(1, 8), 0), milliseconds(500));
  while (model.Stops() == 0) {
    model.Run(milliseconds(10));
  }
  model.SetCapacity(0, CapacityOf(4));
  model.Run(milliseconds(3'000));
  CHECK_EQUAL(0, model.RunningOn(0));
  model.SetCapacity(0, CapacityOf(8));
  model.Run(milliseconds(1'500));
  CheckPhase(model, "b", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against excluding a worker for 10 s because it rejected starts before
// its row showed that its capacity had shrunk.
TEST(Scheduler, WorkerIsUsedSoonAfterItLackedCapacity)
{
  FleetModel model({ 4, 2 });
  model.SetLackingCapacity(0, true);
  model.Submit(MakeJob("a", Step(2, 1), 1), milliseconds(200));
  model.Run(milliseconds(500));
  CHECK_EQUAL(2, model.RejectedStarts());
  CheckPhase(model, "a", JobPhase::kDone);
  model.SetLackingCapacity(0, false);
  model.Submit(MakeJob("b", Step(4, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(2'000));
  CHECK_EQUAL(1, model.RunningOn(0));
  CheckNoViolation(model);
}

// Guards against using the capacity of a gang member that was started again
// after a crash and runs on when the others are known to be done.
TEST(Scheduler, RepeatedMemberOfCompletedGangKeepsItsCapacity)
{
  FleetModel model({ 2, 2 });
  model.LoseStartReplies(2);
  model.Submit(MakeJob("g", Step(2, 8, true), 1), milliseconds(300));
  // The first renewals are lost, the starts are not.
  SetAllReachable(model, 2, false);
  model.Run(milliseconds(10));
  SetAllReachable(model, 2, true);
  while (model.Starts() < 2) {
    model.Run(milliseconds(10));
  }
  SetAllReachable(model, 2, false);
  model.Run(milliseconds(500));
  model.CrashWorker(1);
  model.SetReachable(1, true);
  model.Submit(MakeJob("a", Step(2, 8), 1), milliseconds(500));
  while (model.RunningOn(1) == 0) {
    model.Run(milliseconds(10));
  }
  model.SetReachable(0, true);
  model.Run(milliseconds(6'000));
  CheckPhase(model, "g", JobPhase::kDone);
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against giving up a job that fits no worker at present.
TEST(Scheduler, JobThatFitsNoWorkerWaitsUntilOneGrows)
{
  FleetModel model({ 2, 2 });
  model.SetCapacity(0, CapacityOf(4));
  model.SetCapacity(1, Resources());
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(500));
  model.Submit(MakeJob("b", Step(1, 4), 2), milliseconds(500));
  model.Run(milliseconds(30'000));
  CheckPhase(model, "a", JobPhase::kQueued);
  CheckPhase(model, "b", JobPhase::kDone);
  model.SetCapacity(1, CapacityOf(8));
  model.Run(milliseconds(2'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against starts that exceed the announced capacity while workers shrink
// and grow, commands are late, the store fails and the owner changes.
TEST(Scheduler, StartsStayWithinChangingCapacity)
{
  constexpr std::uint64_t kSeeds = 60;
  constexpr int kRounds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModelOptions options;
    options.mSeed = seed;
    options.mLostReplyShare = 0.05;
    options.mLateStartShare = 0.03;
    FleetModel model(options);
    std::mt19937_64 random(seed * 6'007);
    int jobs = 0;
    for (int round = 0; round < kRounds; ++round) {
      if (random() % 4 != 0) {
        model.Submit(
          MakeJob("j" + std::to_string(jobs++),
                  Step(1 + random() % 3, 1 << (random() % 4), random() % 2),
                  static_cast<int>(random() % 3)),
          milliseconds(200 + random() % 1'500));
      }
      if (random() % 12 == 0) {
        model.ReplaceOwner();
      }
      model.SetStoreUp(random() % 6 != 0);
      model.Run(milliseconds(random() % 60));
      model.SetCapacity(random() % 4,
                        CapacityOf(static_cast<std::int64_t>(random() % 9)));
      model.Run(milliseconds(random() % 400));
    }
    model.SetStoreUp(true);
    for (std::size_t i = 0; i < 4; ++i) {
      model.SetCapacity(i, CapacityOf(8));
    }
    model.Run(milliseconds(60'000));
    const std::string name = "seed " + std::to_string(seed) + ": ";
    for (const std::string& violation : model.Violations()) {
      FAIL((name + violation).c_str());
    }
    for (int i = 0; i < jobs; ++i) {
      const std::string id = "j" + std::to_string(i);
      CHECK_TEXT(IsFinal(model.OutcomeOf(id).mPhase),
                 (name + id + " did not terminate").c_str());
    }
  }
}

// Guards against leases that outlast their assumed end, since the reply to an
// earlier start sets the clock of a worker that has restarted.
TEST(Scheduler, LeaseOfRestartedWorkerFollowsItsNewClock)
{
  const SchedulerOptions options;
  Scheduler scheduler(options);
  WorkerInfo info;
  info.mId = "w0";
  info.mAddress = "127.0.0.1:1";
  info.mService = "s";
  info.mIncarnation = 7;
  info.mCapacity = Resources(32'000, 64'000, 8);
  info.mClock = milliseconds(1'000'000);
  const milliseconds planned(1'000);
  scheduler.UpdateWorker(info, planned);
  scheduler.Plan(planned, planned);
  RenewReply reply;
  reply.mOutcome = CommandOutcome::kDone;
  reply.mIncarnation = info.mIncarnation;
  reply.mClock = info.mClock;
  for (const auto& query : scheduler.CollectCommands(planned).mRenewals) {
    scheduler.ApplyRenewReply(query, reply, planned, planned);
  }
  scheduler.AddJob(
    MakeJob("a", Step(1, 8), 1), milliseconds(0), nullptr, planned);
  scheduler.Plan(planned, planned);
  scheduler.BeginWrite({ 10, 10 });
  scheduler.FinishWrite(true);
  const WorkerCommands sent = scheduler.CollectCommands(planned);
  CHECK_EQUAL(1, sent.mStarts.size());
  CHECK_EQUAL(1, sent.mRenewals.size());
  reply.mIncarnation = 8;
  reply.mClock = milliseconds(100);
  const milliseconds replied(1'500);
  scheduler.ApplyRenewReply(sent.mRenewals.front(), reply, planned, replied);
  scheduler.ApplyStartReply(
    sent.mStarts.front(),
    { CommandOutcome::kDone, info.mClock + milliseconds(400), "" },
    replied);
  const WorkerCommands next = scheduler.CollectCommands(replied);
  CHECK_EQUAL(1, next.mRenewals.size());
  CHECK(next.mRenewals.front().mLeaseExpiry <=
        reply.mClock + options.mWorkerLease);
}

// Guards against a change of capacity that the log does not show.
TEST(Scheduler, CapacityChangeIsReported)
{
  Scheduler scheduler(SchedulerOptions{});
  WorkerInfo info;
  info.mId = "w0";
  info.mIncarnation = 7;
  info.mCapacity = Resources(32'000, 64'000, 8);
  scheduler.UpdateWorker(info, milliseconds(1'000));
  scheduler.UpdateWorker(info, milliseconds(2'000));
  CHECK(scheduler.TakeEvents().empty());
  info.mCapacity = Resources(16'000, 32'000, 4);
  scheduler.UpdateWorker(info, milliseconds(3'000));
  const auto events = scheduler.TakeEvents();
  CHECK_EQUAL(1, events.size());
  CHECK(events.front().mKind == SchedulerEvent::Kind::kWorkerCapacityChanged);
  CHECK(events.front().mFields[2].second == "16000/32000/4");
}

// Guards against parallel runs of a task, lost tasks and overloaded workers
// when replies are lost or commands late, workers are unreachable or crash, the
// store fails, and the owner changes.
TEST(Scheduler, InvariantsHoldUnderRandomFaults)
{
  constexpr std::uint64_t kSeeds = 60;
  constexpr int kRounds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModelOptions options;
    options.mSeed = seed;
    options.mLostReplyShare = 0.05;
    options.mLateStartShare = 0.03;
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
      if (random() % 6 == 0) {
        model.HandOver(milliseconds(15 + random() % 2'000));
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
        ("seed " + std::to_string(seed) + ": " + id + " did not terminate")
          .c_str());
    }
  }
}

// Guards against lasting tasks that stay down although they have capacity,
// however full the fleet is, after crashes of workers.
TEST(Scheduler, LastingTasksReturnAfterCrashesOnBusyFleets)
{
  constexpr std::uint64_t kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed * 104'729);
    FleetModelOptions options;
    options.mSeed = seed;
    options.mWorkers = 13 + random() % 15;
    options.mWorkersPerRack = 2 + random() % 4;
    options.mCheckWorkConservation = true;
    options.mCrashTime = milliseconds(1'000);
    FleetModel model(options);
    for (int i = 0; i < 3; ++i) {
      StepSpecValues lasting = Step(1 + random() % 3, 1 << (random() % 4));
      lasting.mLongRunning = true;
      lasting.mAffinityRack = random() % 2 == 0 ? "r1" : "";
      model.Submit(MakeJob("l" + std::to_string(i), lasting, 1 + i % 2),
                   milliseconds(1'000'000));
    }
    model.Run(milliseconds(3'000));
    for (int round = 0; round < 4; ++round) {
      const std::string id = std::to_string(round);
      model.Submit(MakeJob("u" + id, Step(options.mWorkers / 3, 8), 0),
                   milliseconds(20'000 + random() % 20'000));
      model.Submit(MakeJob("g" + id, Step(2 + random() % 4, 8, true), 1),
                   milliseconds(5'000 + random() % 10'000));
      model.Run(milliseconds(2'000));
      for (int i = 0; i < 2; ++i) {
        model.CrashWorkerFor(random() % options.mWorkers, milliseconds(1'000));
      }
      model.Run(milliseconds(16'000));
    }
    for (const std::string& violation : model.Violations()) {
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
  }
}

// Guards against jobs that wait although most of the fleet is free, after
// faults of workers, of their list, of the store and of the owner.
TEST(Scheduler, WorkIsConservedAfterRandomFaults)
{
  constexpr std::uint64_t kSeeds = 40;
  constexpr int kRounds = 24;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed * 104'729);
    FleetModelOptions options;
    options.mSeed = seed;
    options.mWorkers = 4 + random() % 21;
    options.mWorkersPerRack = 2 + random() % 4;
    options.mCheckWorkConservation = true;
    FleetModel model(options);
    int jobs = 0;
    const auto submit = [&] {
      model.Submit(
        RandomJob("j" + std::to_string(jobs++), random, options.mWorkers),
        milliseconds(200 + random() % 2'000));
    };
    for (int round = 0; round < kRounds; ++round) {
      submit();
      if (random() % 6 == 0) {
        model.Cancel("j" + std::to_string(random() % jobs));
      }
      InjectFault(model, random, options.mWorkers);
      model.Run(milliseconds(200 + random() % 1'500));
      if (round % 6 == 5) {
        EndFaults(model, options.mWorkers);
        submit();
        model.Run(milliseconds(14'000));
      }
    }
    EndFaults(model, options.mWorkers);
    model.Run(milliseconds(30'000));
    for (const std::string& violation : model.Violations()) {
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
  }
}
