#include "ProgressChecker.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;
using namespace std::chrono_literals;

namespace {

const ProgressChecker::TimePoint kStart{ 100s };
const ProgressChecker::Step kTask{ 1, 4, false, {} };

/** Two idle workers with 8 accelerators each. */
FleetView
IdleFleet()
{
  FleetView view;
  view.mFreeAccelerators = { 8, 8 };
  view.mAccelerators = 16;
  return view;
}

/** @return The number of violations seen after kMaxIdle of the same view. */
std::size_t
CheckTwice(ProgressChecker& aChecker,
           const FleetView& aView,
           ProgressChecker::TimePoint aStart = kStart)
{
  const std::size_t first = aChecker.Check(aStart, aView).size();
  return first +
         aChecker.Check(aStart + ProgressChecker::kMaxIdle, aView).size();
}

} // namespace

TEST_GROUP(ProgressChecker)
{
  ProgressChecker mChecker;
};

TEST(ProgressChecker, ReportsAnIdleJobOnce)
{
  mChecker.AddJob("a", { kTask });
  CHECK_EQUAL(1, CheckTwice(mChecker, IdleFleet()));
  CHECK_EQUAL(0, CheckTwice(mChecker, IdleFleet(), kStart + 10s));
}

// Guards against missing an idle job because another worker is over its
// capacity.
TEST(ProgressChecker, WorkerOverItsCapacityTakesNoPlaceOfOthers)
{
  mChecker.AddJob("a", { { 1, 8, false, {} } });
  FleetView view;
  view.mFreeAccelerators = { -8, 8, 8, 7 };
  view.mAccelerators = 24;
  CHECK_EQUAL(1, CheckTwice(mChecker, view));
}

TEST(ProgressChecker, RunInBetweenRestartsTheTime)
{
  mChecker.AddJob("a", { kTask });
  FleetView running = IdleFleet();
  running.mRunningJobs = { "a" };
  CHECK_EQUAL(0, mChecker.Check(kStart, IdleFleet()).size());
  CHECK_EQUAL(0, mChecker.Check(kStart + 2s, running).size());
  CHECK_EQUAL(0, mChecker.Check(kStart + 4s, IdleFleet()).size());
  CHECK_EQUAL(1, mChecker.Check(kStart + 7s, IdleFleet()).size());
}

TEST(ProgressChecker, EndedJobIsNotReported)
{
  mChecker.AddJob("a", { kTask });
  mChecker.RemoveJob("a");
  CHECK_EQUAL(0, CheckTwice(mChecker, IdleFleet()));
}

TEST(ProgressChecker, FaultsAndRecoveryTimeAreExempt)
{
  mChecker.AddJob("a", { kTask });
  mChecker.BeginFault();
  mChecker.BeginFault();
  mChecker.EndFault(kStart);
  CHECK_EQUAL(0, CheckTwice(mChecker, IdleFleet(), kStart + 20s));
  mChecker.EndFault(kStart + 30s);
  CHECK_EQUAL(0, CheckTwice(mChecker, IdleFleet(), kStart + 36s));
  CHECK_EQUAL(1, CheckTwice(mChecker, IdleFleet(), kStart + 40s));
}

TEST(ProgressChecker, BusyFleetIsExempt)
{
  mChecker.AddJob("a", { kTask });
  FleetView busy = IdleFleet();
  busy.mFreeAccelerators = { 8, 0 };
  CHECK_EQUAL(0, CheckTwice(mChecker, busy));
}

TEST(ProgressChecker, GangNeedsRoomForTwo)
{
  mChecker.AddJob("a", { { 2, 8, true, {} } });
  CHECK_EQUAL(0, CheckTwice(mChecker, IdleFleet()));
  mChecker.AddJob("b", { { 2, 4, true, {} } });
  CHECK_EQUAL(1, CheckTwice(mChecker, IdleFleet(), kStart + 10s));
}

TEST(ProgressChecker, LaterStepNeedsTheEndsOfTheEarlierOne)
{
  mChecker.AddJob("a", { { 2, 1, false, {} }, { 1, 1, false, { 0 } } });
  FleetView view = IdleFleet();
  view.mListedTasks = { "a.0.0.0", "a.0.0.1" };
  // The ends are listed by the workers, but no owner was told.
  CHECK_EQUAL(0, CheckTwice(mChecker, view));
  mChecker.RecordDone("a.0.0.0");
  CHECK_EQUAL(0, CheckTwice(mChecker, view, kStart + 10s));
  mChecker.RecordDone("a.0.0.1");
  CHECK_EQUAL(1, CheckTwice(mChecker, view, kStart + 20s));
}

TEST(ProgressChecker, EndOfOneMemberStandsForTheGang)
{
  mChecker.AddJob("a", { { 3, 1, true, {} } });
  mChecker.RecordDone("a.0.0.1");
  CHECK_EQUAL(0, CheckTwice(mChecker, IdleFleet()));
}

TEST_GROUP(EndChecker)
{
  EndChecker mChecker;
};

TEST(EndChecker, RenewalAfterTheReplyConfirmsIt)
{
  mChecker.RecordListed("w0", "a.0.0.0", 3, kStart);
  CHECK(!mChecker.WasTold("a.0.0.0", 3));
  mChecker.RecordRenewal("w0", 3, kStart + 500ms);
  CHECK(!mChecker.WasTold("a.0.0.0", 3));
  mChecker.RecordRenewal("w1", 3, kStart + 2s);
  mChecker.RecordRenewal("w0", 4, kStart + 2s);
  CHECK(!mChecker.WasTold("a.0.0.0", 3));
  mChecker.RecordRenewal("w0", 3, kStart + 2s);
  CHECK(mChecker.WasTold("a.0.0.0", 3));
  CHECK(!mChecker.WasTold("a.0.0.0", 4));
}

TEST(EndChecker, FaultOfTheLinkDropsUnconfirmedReplies)
{
  mChecker.RecordListed("w0", "a.0.0.0", 3, kStart);
  mChecker.RecordListed("w0", "b.0.0.0", 3, kStart + 1500ms);
  mChecker.RecordRenewal("w0", 3, kStart + 2s);
  mChecker.ForgetUnconfirmed("w0");
  mChecker.RecordRenewal("w0", 3, kStart + 10s);
  CHECK(mChecker.WasTold("a.0.0.0", 3));
  CHECK(!mChecker.WasTold("b.0.0.0", 3));
}
