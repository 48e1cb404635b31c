#include "cornelrudder/state/scheduling/OwnerReachability.h"
#include "FleetModel.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"

#include <CppUTest/TestHarness.h>

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
  CHECK_EQUAL(4, n);
  CHECK(lease.mOwner.empty());
  CHECK(lease.MayHandOver(milliseconds(6'000)));
  CHECK(!lease.HandedOver(milliseconds(6'000)).MayHandOver(milliseconds(0)));
  CHECK_EQUAL(1, lease.HandedOver(milliseconds(60'000)).mHandovers);
}
