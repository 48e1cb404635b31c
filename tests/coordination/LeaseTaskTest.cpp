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

/** Long enough that a live owner on a busy machine keeps its lease. */
constexpr std::chrono::milliseconds kLeaseDuration{ 1'500 };

/** Several daemons, each with a lease task, that share one table. */
class DaemonGroup
{
public:
  DaemonGroup()
    : mSystem(mConfig)
    , mSelf(mSystem)
  {
  }

  ~DaemonGroup()
  {
    for (const caf::actor& task : mTasks) {
      mSelf->send_exit(task, caf::exit_reason::user_shutdown);
    }
  }

  DaemonGroup(const DaemonGroup&) = delete;
  DaemonGroup& operator=(const DaemonGroup&) = delete;

  caf::actor Start(const std::string& aName)
  {
    const std::string incarnation =
      aName + "-" + std::to_string(++mIncarnationCount);
    const caf::actor store = SpawnStoreTask(mSystem, mTable, mLog);
    const caf::actor lease = SpawnLeaseTask(mSystem,
                                            store,
                                            mCodec,
                                            mClock,
                                            mLog,
                                            WriteIdGenerator(incarnation),
                                            { state::RegionId("r"),
                                              state::VmId(aName),
                                              incarnation,
                                              kLeaseDuration });
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

  bool WaitForLease(const caf::actor& aLease)
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
  int mIncarnationCount = 0;
};

} // namespace

TEST_GROUP(LeaseTask){};

// Guards against a domain that stays without an owner after a crash.
TEST(LeaseTask, AnotherDaemonTakesOverAfterACrash)
{
  DaemonGroup daemons;
  const caf::actor first = daemons.Start("e1");
  CHECK(daemons.WaitForLease(first));
  const caf::actor second = daemons.Start("e2");
  CHECK(WaitUntil([&] { return daemons.Ask(second).mEpoch == 1; }));
  CHECK_FALSE(daemons.Ask(second).mIsOwner);
  daemons.Kill(first);
  CHECK(daemons.WaitForLease(second));
  LONGS_EQUAL(2, daemons.Ask(second).mEpoch);
}

// Guards against a planned shutdown that keeps the lease or acquires it again.
TEST(LeaseTask, ReleasedLeaseIsAcquiredByAnotherDaemon)
{
  DaemonGroup daemons;
  const caf::actor first = daemons.Start("e1");
  CHECK(daemons.WaitForLease(first));
  daemons.mSelf->send(first, ReleaseLease{});
  CHECK(WaitUntil([&] { return !daemons.Row().Owner(); }));
  CHECK_FALSE(daemons.Ask(first).mIsOwner);
  const caf::actor second = daemons.Start("e2");
  CHECK(daemons.WaitForLease(second));
  LONGS_EQUAL(2, daemons.Row().Epoch());
  LONGS_EQUAL(1, daemons.mLog.Count(LogEvent::kLeaseReleased));
}

// Guards against an owner that keeps acting while it cannot renew its lease.
TEST(LeaseTask, LeaseExpiresDuringOutageAndIsRegainedWithItsEpoch)
{
  DaemonGroup daemons;
  const caf::actor lease = daemons.Start("e1");
  CHECK(daemons.WaitForLease(lease));
  daemons.mTable.SetDown(true);
  CHECK(WaitUntil([&] { return !daemons.Ask(lease).mIsOwner; }));
  CHECK(daemons.Ask(lease).mOwner.empty());
  daemons.mTable.SetDown(false);
  CHECK(daemons.WaitForLease(lease));
  LONGS_EQUAL(1, daemons.Ask(lease).mEpoch);
}

// Guards against losing the lease when the response to a write is lost.
TEST(LeaseTask, LostWriteResponseIsResolved)
{
  DaemonGroup daemons;
  daemons.mTable.FailWrites(tests::TableFault::kAnswerLost, 1);
  const caf::actor lease = daemons.Start("e1");
  CHECK(daemons.WaitForLease(lease));
  LONGS_EQUAL(1, daemons.Ask(lease).mEpoch);
}

// Guards against overwriting a malformed row, which would restart the epoch at
// 1, and against a task that terminates because of it.
TEST(LeaseTask, MalformedRowIsNotOverwritten)
{
  DaemonGroup daemons;
  daemons.mTable.Put(kKey, "{\"owner\":7}", "operator");
  const caf::actor lease = daemons.Start("e1");
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kRowMalformed) > 1; }));
  CHECK_FALSE(daemons.Ask(lease).mIsOwner);
  STRCMP_EQUAL("operator", daemons.mTable.Row(kKey)->WriteId().c_str());
  daemons.mTable.Put(
    kKey,
    daemons.mCodec.EncodeLease(state::LeaseRow(std::nullopt, 7, "")),
    "operator");
  CHECK(daemons.WaitForLease(lease));
  LONGS_EQUAL(8, daemons.Ask(lease).mEpoch);
}

// Guards against subscribers that are not notified of the acquired lease.
TEST(LeaseTask, SubscriberIsNotifiedOfTheLease)
{
  DaemonGroup daemons;
  const caf::actor lease = daemons.Start("e1");
  daemons.mSelf->send(lease, Subscribe{ daemons.mSelf });
  std::uint64_t epoch = 0;
  daemons.mSelf->receive_while([&epoch] { return epoch == 0; })(
    [&epoch](const DomainOwner& aOwner) { epoch = aOwner.mLease.Epoch(); });
  LONGS_EQUAL(1, epoch);
}
