#include "cornelrudder/coordination/SettingsTask.h"
#include "coordination/FakeTable.h"
#include "coordination/SystemConfig.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

#include <algorithm>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using tests::FakeLog;
using tests::FakeTable;
using tests::TableFault;
using tests::WaitUntil;

namespace {

const std::string kHeadKey = "settings/head";

/** Several daemons, each with a settings task, that share one table. */
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

  caf::actor Start()
  {
    StoreTaskOptions options;
    options.mBackoffBase = std::chrono::milliseconds(1);
    options.mBackoffCap = std::chrono::milliseconds(4);
    options.mBreakerProbeInterval = std::chrono::milliseconds(10);
    options.mRetryWindow = std::chrono::milliseconds(100);
    const caf::actor store =
      SpawnStoreTask(mSystem, mTable, mLog, mClock, options);
    const caf::actor settings = SpawnSettingsTask(
      mSystem,
      store,
      mCodec,
      mLog,
      WriteIdGenerator("incarnation-" + std::to_string(++mIncarnationCount)),
      { std::chrono::milliseconds(10) });
    mTasks.push_back(store);
    mTasks.push_back(settings);
    return settings;
  }

  static PutSettings Change(const std::string& aPath,
                            state::SettingsVersion aVersion,
                            const std::string& aName)
  {
    return { aPath, aVersion, { { "display_name", aName } }, "op" };
  }

  PutSettingsResult Put(const caf::actor& aTask, const PutSettings& aPut)
  {
    std::optional<PutSettingsResult> result;
    mSelf->request(aTask, caf::infinite, aPut)
      .receive([&result](
                 const PutSettingsResult& aResult) { result.emplace(aResult); },
               [](const caf::error&) { FAIL("the settings task failed"); });
    return *result;
  }

  state::SettingsSnapshot Snapshot(const caf::actor& aTask)
  {
    state::SettingsSnapshot view;
    mSelf->request(aTask, caf::infinite, GetSettings{})
      .receive([&view](const state::SettingsSnapshot& aView) { view = aView; },
               [](const caf::error&) { FAIL("the settings task failed"); });
    return view;
  }

  bool WaitForVersion(const caf::actor& aTask,
                      const std::string& aPath,
                      state::SettingsVersion aVersion)
  {
    return WaitUntil([&] {
      const auto view = Snapshot(aTask);
      const auto* document = view.Find(aPath);
      return document != nullptr && document->Version() == aVersion;
    });
  }

  state::SettingsHead Head()
  {
    return mCodec.DecodeHead(mTable.Row(kHeadKey)->Value());
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

const std::string kPath = "organisations/acme";

} // namespace

TEST_GROUP(SettingsTask){};

// Guards against rejecting an operator's change that took effect.
TEST(SettingsTask, ChangeIsAcceptedWhenItsResponseIsLost)
{
  DaemonGroup daemons;
  const caf::actor task = daemons.Start();
  daemons.mTable.FailWrites(TableFault::kAnswerLost, 1);
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kAccepted);
  LONGS_EQUAL(1, daemons.Head().at(kPath));
}

// Guards against a change that takes effect twice when a delayed write is
// applied after its retry.
TEST(SettingsTask, LateCopyHasNoSecondEffect)
{
  DaemonGroup daemons;
  const caf::actor task = daemons.Start();
  daemons.mTable.FailWrites(TableFault::kLate, 1);
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kAccepted);
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kAccepted);
  daemons.mTable.DeliverLate();
  LONGS_EQUAL(2, daemons.Head().at(kPath));
  LONGS_EQUAL(2, daemons.Snapshot(task).Find(kPath)->Version());
}

// Guards against accepting two concurrent changes of the same version.
TEST(SettingsTask, OneOfTwoRacingOperatorsIsAccepted)
{
  DaemonGroup daemons;
  const caf::actor first = daemons.Start();
  const caf::actor second = daemons.Start();
  for (state::SettingsVersion version = 0; version < 20; ++version) {
    std::vector<PutSettingsStatus> statuses;
    for (const caf::actor& task : { first, second }) {
      daemons.mSelf->send(task, DaemonGroup::Change(kPath, version, "x"));
    }
    for (int i = 0; i < 2; ++i) {
      daemons.mSelf->receive([&statuses](const PutSettingsResult& aResult) {
        statuses.push_back(aResult.mStatus);
      });
    }
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses[0] == PutSettingsStatus::kAccepted);
    CHECK(statuses[1] == PutSettingsStatus::kConflict);
    LONGS_EQUAL(version + 1, daemons.Head().at(kPath));
  }
  CHECK(daemons.WaitForVersion(first, kPath, 20));
  CHECK(daemons.WaitForVersion(second, kPath, 20));
}

// Guards against concurrent changes of different documents that overwrite each
// other's entry in the head or conflict on it.
TEST(SettingsTask, ConcurrentHeadUpdateIsNoConflict)
{
  DaemonGroup daemons;
  const caf::actor task = daemons.Start();
  const caf::actor other = daemons.Start();
  const int count = 10;
  for (int i = 0; i < count; ++i) {
    const std::string path = "organisations/org-" + std::to_string(i);
    daemons.mSelf->send(i % 2 == 0 ? task : other,
                        DaemonGroup::Change(path, 0, "x"));
  }
  for (int i = 0; i < count; ++i) {
    daemons.mSelf->receive([](const PutSettingsResult& aResult) {
      CHECK(aResult.mStatus == PutSettingsStatus::kAccepted);
    });
  }
  LONGS_EQUAL(count, daemons.Head().size());
}

// Guards against reporting "unavailable" while the change may still take
// effect, and "unknown" when nothing was sent.
TEST(SettingsTask, OutageDistinguishesUnavailableFromUnknown)
{
  DaemonGroup daemons;
  const caf::actor task = daemons.Start();
  daemons.mTable.FailWrites(TableFault::kNotSent, 1'000'000);
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kUnavailable);
  CHECK_FALSE(daemons.mTable.Row(kHeadKey).has_value());
  const caf::actor other = daemons.Start();
  daemons.mTable.FailWrites(TableFault::kLate, 1'000'000);
  CHECK(daemons.Put(other, DaemonGroup::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kUnknown);
  daemons.mTable.DeliverLate();
  LONGS_EQUAL(1, daemons.Head().at(kPath));
  CHECK(daemons.WaitForVersion(task, kPath, 1));
}

// Guards against settings that are lost or reverted during a store outage.
TEST(SettingsTask, SettingsStayInForceDuringAnOutage)
{
  DaemonGroup daemons;
  const caf::actor task = daemons.Start();
  daemons.Put(task, DaemonGroup::Change(kPath, 0, "a"));
  daemons.mTable.SetDown(true);
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kUnavailable);
  LONGS_EQUAL(1, daemons.Snapshot(task).Find(kPath)->Version());
  daemons.mTable.SetDown(false);
  CHECK(WaitUntil([&] {
    return daemons.Put(task, DaemonGroup::Change(kPath, 1, "b")).mStatus ==
           PutSettingsStatus::kAccepted;
  }));
}

// Guards against a task that terminates because of a malformed row, and against
// a change that overwrites a malformed head and loses the other paths.
TEST(SettingsTask, MalformedRowsAreLoggedAndNotOverwritten)
{
  DaemonGroup daemons;
  const caf::actor task = daemons.Start();
  daemons.Put(task, DaemonGroup::Change(kPath, 0, "a"));
  const auto head = daemons.mTable.Row(kHeadKey)->Value();
  daemons.mTable.Put(kHeadKey, "[1]garbage", "operator");
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kRowMalformed) > 1; }));
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kUnavailable);
  STRCMP_EQUAL("operator", daemons.mTable.Row(kHeadKey)->WriteId().c_str());
  daemons.mTable.Put(kHeadKey, head, "operator");
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kAccepted);
  daemons.mTable.Put("settings/doc/" + kPath, "{}", "operator");
  CHECK(daemons.Put(task, DaemonGroup::Change(kPath, 2, "c")).mStatus ==
        PutSettingsStatus::kUnavailable);
  LONGS_EQUAL(2, daemons.Snapshot(task).Find(kPath)->Version());
}
