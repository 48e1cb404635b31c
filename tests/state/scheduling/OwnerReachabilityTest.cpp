#include "cornelrudder/state/scheduling/OwnerReachability.h"
#include "FleetModel.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

constexpr milliseconds kNow{ 100'000 };

/** @return A worker that replied some time before kNow. */
WorkerContact
Replying(milliseconds aAgo)
{
  WorkerContact contact;
  contact.mHasReplied = true;
  contact.mRepliedAt = kNow - aAgo;
  return contact;
}

/** @return A worker that became silent, and was refreshed, before kNow. */
WorkerContact
Silent(milliseconds aSilentAgo, milliseconds aRefreshedAgo)
{
  WorkerContact contact = Replying(aSilentAgo + milliseconds(500));
  contact.mIsSilent = true;
  contact.mSilentSince = kNow - aSilentAgo;
  contact.mRefreshedAt = kNow - aRefreshedAgo;
  return contact;
}

OwnerReachability
Count(const WorkerContact& aContact)
{
  return OwnerReachability().WithWorker(aContact, kNow);
}

/** Fleet whose workers all have runs. */
FleetModel
BusyFleet()
{
  FleetModel model({});
  model.Submit(MakeJob(
                 "a",
                 [] {
                   StepSpecValues values;
                   values.mTasks = 4;
                   values.mDemand = Resources(1'000, 1'000, 8);
                   values.mEstimatedRunTime = milliseconds(20'000);
                   return values;
                 }(),
                 1),
               milliseconds(20'000));
  model.Run(milliseconds(1'000));
  return model;
}

/** Runs a fleet while some of its workers refresh their rows. */
void
RunWithRefreshes(FleetModel& aModel, milliseconds aTime, std::size_t aWorkers)
{
  constexpr milliseconds kRefreshInterval{ 500 };
  for (milliseconds t{ 0 }; t < aTime; t += kRefreshInterval) {
    aModel.Run(kRefreshInterval);
    for (std::size_t i = 0; i < aWorkers; ++i) {
      aModel.PublishWorker(i);
    }
  }
}

} // namespace

TEST_GROUP(OwnerReachability){};

// Guards against an owner that stays isolated from live workers.
TEST(OwnerReachability, RefreshedWorkersThatDoNotReplyAreUnreachable)
{
  const WorkerContact worker = Silent(milliseconds(1'000), milliseconds(200));
  CHECK(OwnerReachability(0, 1) == Count(worker));
  CHECK(Count(worker).WithWorker(worker, kNow).IsIsolated());
}

// Guards against counting crashed workers, whose last refresh is seen late.
TEST(OwnerReachability, WorkersWithoutLaterRefreshAreNotCounted)
{
  CHECK(OwnerReachability() ==
        Count(Silent(milliseconds(1'000), milliseconds(2'000))));
  CHECK(OwnerReachability() ==
        Count(Silent(milliseconds(1'000), milliseconds(800))));
}

// Guards against a majority of workers that are silent for long on a fleet of
// which few other workers have runs.
TEST(OwnerReachability, LongSilenceIsNotCounted)
{
  CHECK(OwnerReachability() ==
        Count(Silent(milliseconds(8'000), milliseconds(200))));
}

// Guards against replies from before the isolation that hide it.
TEST(OwnerReachability, OnlyRecentRepliesCount)
{
  CHECK(OwnerReachability(1, 0) == Count(Replying(milliseconds(1'000))));
  CHECK(OwnerReachability() == Count(Replying(milliseconds(3'000))));
  CHECK(OwnerReachability() == Count(WorkerContact()));
}

// Guards against a handover because of one worker, or of workers that reply
// only at times.
TEST(OwnerReachability, PartOfTheWorkersIsNoIsolation)
{
  CHECK(!OwnerReachability(0, 1).IsIsolated());
  CHECK(!OwnerReachability(5, 10).IsIsolated());
  CHECK(OwnerReachability(5, 11).IsIsolated());
}

// Guards against an owner that does not notice that it reaches no worker.
TEST(OwnerReachability, OwnerThatLosesLiveWorkersIsIsolated)
{
  FleetModel model = BusyFleet();
  CHECK(!model.Reachability().IsIsolated());
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetReachable(i, false);
  }
  RunWithRefreshes(model, milliseconds(4'000), 4);
  CHECK(model.Reachability().IsIsolated());
}

// Guards against a handover while most workers reply or are really gone.
TEST(OwnerReachability, OwnerThatReachesMostLiveWorkersIsNotIsolated)
{
  FleetModel model = BusyFleet();
  model.SetReachable(0, false);
  RunWithRefreshes(model, milliseconds(4'000), 4);
  CHECK(!model.Reachability().IsIsolated());
  model.SetReachable(1, false);
  model.SetReachable(2, false);
  RunWithRefreshes(model, milliseconds(4'000), 1);
  CHECK(!model.Reachability().IsIsolated());
}

// Guards against a worker that counts as unreachable after it replied again.
TEST(OwnerReachability, ReachedAgainIsNotIsolated)
{
  FleetModel model = BusyFleet();
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetReachable(i, false);
  }
  RunWithRefreshes(model, milliseconds(4'000), 4);
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetReachable(i, true);
  }
  RunWithRefreshes(model, milliseconds(2'000), 4);
  CHECK(!model.Reachability().IsIsolated());
}

// Guards against a lease that changes its owner all the time when no daemon
// reaches the workers.
TEST(OwnerReachability, RepeatedHandoversPause)
{
  OwnerLease lease{ "a", "a-incarnation", 1, 1, {}, 0 };
  int n = 0;
  while (lease.MayHandOver(milliseconds(2'000))) {
    lease = lease.HandedOver(milliseconds(2'000));
    ++n;
  }
  CHECK_EQUAL(3, n);
  CHECK(lease.mOwner.empty());
  // A new owner presumes the runs of unreachable workers lost after 9 s.
  CHECK(!lease.MayHandOver(milliseconds(10'000)));
  CHECK(lease.MayHandOver(milliseconds(13'000)));
  CHECK(!lease.HandedOver(milliseconds(13'000)).MayHandOver(milliseconds(0)));
  CHECK_EQUAL(1, lease.HandedOver(milliseconds(60'000)).mHandovers);
}

// Guards against an owner that keeps the lease because it has too few runs to
// try more than one worker.
TEST(OwnerReachability, IsolationIsDetectedWithOneTask)
{
  FleetModel model({ 8, 2 });
  model.Run(milliseconds(1'000));
  for (std::size_t i = 0; i < 8; ++i) {
    model.SetReachable(i, false);
  }
  StepSpecValues step;
  step.mDemand = Resources(1'000, 1'000, 8);
  model.Submit(MakeJob("a", step, 1), milliseconds(1'000));
  bool isIsolated = false;
  for (int n = 0; n < 12 && !isIsolated; ++n) {
    model.Run(milliseconds(500));
    for (std::size_t i = 0; i < 8; ++i) {
      model.PublishWorker(i);
    }
    isIsolated = model.Reachability().IsIsolated();
  }
  CHECK(isIsolated);
}

namespace {

/** @return A scheduler that has sent its first renewal to each of its workers.
 */
Scheduler
SchedulerOfBusyWorkers(std::vector<RenewCommand>& aRenewals)
{
  Scheduler scheduler{ SchedulerOptions() };
  for (int i = 0; i < 4; ++i) {
    WorkerInfo info;
    info.mId = "w" + std::to_string(i);
    info.mIncarnation = 7;
    info.mAddress = "10.0.0.1:" + std::to_string(i + 1);
    info.mService = "s";
    info.mCapacity = Resources(1'000, 1'000, 8);
    info.mClock = milliseconds(1);
    scheduler.UpdateWorker(info, milliseconds(1'000));
  }
  StepSpecValues step;
  step.mTasks = 4;
  step.mDemand = Resources(1'000, 1'000, 8);
  scheduler.AddJob(
    MakeJob("a", step, 1), milliseconds(0), nullptr, milliseconds(1'000));
  // The first pass queries the idle workers, and the second one places the job.
  scheduler.Plan(milliseconds(1'000), milliseconds(0));
  for (const RenewCommand& query :
       scheduler.CollectCommands(milliseconds(1'000)).mRenewals) {
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kDone;
    reply.mClock = milliseconds(1);
    reply.mIncarnation = 7;
    scheduler.ApplyRenewReply(
      query, reply, milliseconds(1'000), milliseconds(1'000));
  }
  scheduler.Plan(milliseconds(1'000), milliseconds(0));
  scheduler.BeginWrite({ 1, 1 });
  scheduler.FinishWrite(true);
  const WorkerCommands commands =
    scheduler.CollectCommands(milliseconds(1'000));
  CHECK_EQUAL(4, commands.mStarts.size());
  for (const StartCommand& start : commands.mStarts) {
    scheduler.ApplyStartReply(start,
                              { CommandOutcome::kDone, milliseconds(1), "" },
                              milliseconds(1'000));
  }
  aRenewals = commands.mRenewals;
  return scheduler;
}

} // namespace

// Guards against handing over because of workers that answer with an error.
TEST(OwnerReachability, WorkersThatRejectRenewalsAreReached)
{
  std::vector<RenewCommand> renewals;
  Scheduler scheduler = SchedulerOfBusyWorkers(renewals);
  CHECK_EQUAL(4, renewals.size());
  for (const RenewCommand& command : renewals) {
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kRejected;
    scheduler.ApplyRenewReply(
      command, reply, milliseconds(2'000), milliseconds(2'010));
  }
  for (int i = 0; i < 4; ++i) {
    WorkerInfo info;
    info.mId = "w" + std::to_string(i);
    info.mIncarnation = 7;
    info.mAddress = "10.0.0.1:" + std::to_string(i + 1);
    info.mService = "s";
    info.mClock = milliseconds(2'000);
    scheduler.UpdateWorker(info, milliseconds(3'500));
  }
  CHECK(!scheduler.Reachability(milliseconds(3'600)).IsIsolated());
}

// Guards against taking a reply without an incarnation for a restart, which
// ends the runs of the worker.
TEST(OwnerReachability, ReplyWithoutIncarnationEndsNoRuns)
{
  std::vector<RenewCommand> renewals;
  Scheduler scheduler = SchedulerOfBusyWorkers(renewals);
  scheduler.TakeEvents();
  RenewReply reply;
  reply.mOutcome = CommandOutcome::kDone;
  reply.mClock = milliseconds(10);
  scheduler.ApplyRenewReply(
    renewals.front(), reply, milliseconds(2'000), milliseconds(2'010));
  for (const SchedulerEvent& event : scheduler.TakeEvents()) {
    CHECK(event.mKind != SchedulerEvent::Kind::kRunLost);
  }
}

// Guards against a loss to another worker at the address whose log does not
// tell so.
TEST(OwnerReachability, LossToOtherWorkerTellsItsReply)
{
  std::vector<RenewCommand> renewals;
  Scheduler scheduler = SchedulerOfBusyWorkers(renewals);
  scheduler.TakeEvents();
  RenewReply reply;
  reply.mOutcome = CommandOutcome::kIncarnationMismatch;
  scheduler.ApplyRenewReply(
    renewals.front(), reply, milliseconds(2'000), milliseconds(2'010));
  const std::pair<std::string, std::string> basis{ "basis",
                                                   "other_worker_reply" };
  int told = 0;
  for (const SchedulerEvent& event : scheduler.TakeEvents()) {
    const bool isLoss = event.mKind == SchedulerEvent::Kind::kWorkerGone ||
                        event.mKind == SchedulerEvent::Kind::kRunLost;
    told += isLoss ? static_cast<int>(std::count(
                       event.mFields.begin(), event.mFields.end(), basis))
                   : 0;
  }
  CHECK_EQUAL(2, told);
}

// Guards against a release that leaves out the workers whose renewals are still
// in flight when most others have failed.
TEST(OwnerReachability, LeasesWithOverdueRepliesAreTold)
{
  std::vector<RenewCommand> renewals;
  Scheduler scheduler = SchedulerOfBusyWorkers(renewals);
  CHECK_EQUAL(4, renewals.size());
  const milliseconds due = milliseconds(1'000) + renewals.front().mMaxWait;
  CHECK(scheduler.WithholdLeases(due).empty());
  CHECK_EQUAL(4, scheduler.WithholdLeases(due + milliseconds(500)).size());
}
