#include "cornelrudder/coordination/LeaseTask.h"
#include "coordination/FakeTable.h"
#include "coordination/SystemConfig.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using tests::FakeLog;
using tests::FakeTable;
using tests::WaitUntil;

namespace {

const std::string kKey = "lease/placement/r";

/** Long enough that a busy machine does not let a live holder lose it. */
constexpr std::chrono::milliseconds kLength{ 1'500 };

/** Daemons with a lease task each, on one table. */
class Fleet
{
public:
  Fleet()
    : mSystem(mConfig)
    , mSelf(mSystem)
  {
  }

  ~Fleet()
  {
    for (const caf::actor& task : mTasks) {
      mSelf->send_exit(task, caf::exit_reason::user_shutdown);
    }
  }

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  caf::actor Start(const std::string& aName)
  {
    const std::string life = aName + "-" + std::to_string(++mLives);
    const caf::actor store = SpawnStoreTask(mSystem, mTable, mLog);
    const caf::actor lease = SpawnLeaseTask(
      mSystem,
      store,
      mCodec,
      mClock,
      mLog,
      WriteIdGenerator(life),
      { state::RegionId("r"), state::VmId(aName), life, kLength });
    mTasks.push_back(store);
    mTasks.push_back(lease);
    return lease;
  }

  LeaseStatus Ask(const caf::actor& aLease)
  {
    std::optional<LeaseStatus> status;
    mSelf->request(aLease, caf::infinite, GetLeaseStatus{})
      .receive(
        [&status](const LeaseStatus& aStatus) { status.emplace(aStatus); },
        [](const caf::error&) { FAIL("the lease task failed"); });
    return *status;
  }

  bool WaitForHold(const caf::actor& aLease)
  {
    return WaitUntil([this, &aLease] { return Ask(aLease).mIsOwner; });
  }

  void Kill(const caf::actor& aLease)
  {
    mSelf->send_exit(aLease, caf::exit_reason::kill);
  }

  state::LeaseRow Row()
  {
    return mCodec.DecodeLease(mTable.Row(kKey)->Value());
  }

  FakeTable mTable;
  FakeLog mLog;
  protocol::JsonRowCodec mCodec;
  BootClock mClock;
  tests::SystemConfig mConfig;
  caf::actor_system mSystem;
  caf::scoped_actor mSelf;

private:
  std::vector<caf::actor> mTasks;
  int mLives = 0;
};

} // namespace

TEST_GROUP(LeaseTask){};

// Guards against a domain that stays without owner after a crash.
TEST(LeaseTask, AnotherDaemonTakesOverAfterACrash)
{
  Fleet fleet;
  const caf::actor first = fleet.Start("e1");
  CHECK(fleet.WaitForHold(first));
  const caf::actor second = fleet.Start("e2");
  CHECK(WaitUntil([&] { return fleet.Ask(second).mEpoch == 1; }));
  CHECK_FALSE(fleet.Ask(second).mIsOwner);
  fleet.Kill(first);
  CHECK(fleet.WaitForHold(second));
  LONGS_EQUAL(2, fleet.Ask(second).mEpoch);
}

// Guards against a planned stop that keeps the lease, and against taking it
// back while stopping.
TEST(LeaseTask, ReleaseLetsAnotherDaemonTakeIt)
{
  Fleet fleet;
  const caf::actor first = fleet.Start("e1");
  CHECK(fleet.WaitForHold(first));
  fleet.mSelf->send(first, ReleaseLease{});
  CHECK(WaitUntil([&] { return !fleet.Row().Owner(); }));
  CHECK_FALSE(fleet.Ask(first).mIsOwner);
  const caf::actor second = fleet.Start("e2");
  CHECK(fleet.WaitForHold(second));
  LONGS_EQUAL(2, fleet.Row().Epoch());
  LONGS_EQUAL(1, fleet.mLog.Count(LogEvent::kLeaseReleased));
}

// Guards against a holder that acts on after the table has gone.
TEST(LeaseTask, HoldEndsDuringAnOutageAndReturnsWithItsEpoch)
{
  Fleet fleet;
  const caf::actor lease = fleet.Start("e1");
  CHECK(fleet.WaitForHold(lease));
  fleet.mTable.SetDown(true);
  CHECK(WaitUntil([&] { return !fleet.Ask(lease).mIsOwner; }));
  CHECK(fleet.Ask(lease).mOwner.empty());
  fleet.mTable.SetDown(false);
  CHECK(fleet.WaitForHold(lease));
  LONGS_EQUAL(1, fleet.Ask(lease).mEpoch);
}

// Guards against a lost lease when the answers of renewals are lost.
TEST(LeaseTask, LostAnswersAreResolved)
{
  Fleet fleet;
  fleet.mTable.FailWrites(tests::TableFault::kAnswerLost, 1);
  const caf::actor lease = fleet.Start("e1");
  CHECK(fleet.WaitForHold(lease));
  LONGS_EQUAL(1, fleet.Ask(lease).mEpoch);
}

// Guards against an epoch that starts again from 1 over a damaged row, and
// against a task that dies of it.
TEST(LeaseTask, MalformedRowIsLeftAlone)
{
  Fleet fleet;
  fleet.mTable.Put(kKey, "{\"owner\":7}", "operator");
  const caf::actor lease = fleet.Start("e1");
  CHECK(
    WaitUntil([&] { return fleet.mLog.Count(LogEvent::kRowMalformed) > 1; }));
  CHECK_FALSE(fleet.Ask(lease).mIsOwner);
  STRCMP_EQUAL("operator", fleet.mTable.Row(kKey)->WriteId().c_str());
  fleet.mTable.Put(
    kKey,
    fleet.mCodec.EncodeLease(state::LeaseRow(std::nullopt, 7, "")),
    "operator");
  CHECK(fleet.WaitForHold(lease));
  LONGS_EQUAL(8, fleet.Ask(lease).mEpoch);
}

// Guards against subscribers that never hear of the hold.
TEST(LeaseTask, SubscriberSeesTheHold)
{
  Fleet fleet;
  const caf::actor lease = fleet.Start("e1");
  fleet.mSelf->send(lease, Subscribe{ fleet.mSelf });
  std::uint64_t epoch = 0;
  fleet.mSelf->receive_while([&epoch] { return epoch == 0; })(
    [&epoch](const DomainOwner& aOwner) { epoch = aOwner.mLease.Epoch(); });
  LONGS_EQUAL(1, epoch);
}
