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

/** Daemons with a settings task each, on one table. */
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

  caf::actor Start()
  {
    StoreTaskOptions options;
    options.mBackoffBase = std::chrono::milliseconds(1);
    options.mBackoffCap = std::chrono::milliseconds(4);
    options.mBreakerProbeInterval = std::chrono::milliseconds(10);
    options.mRetryWindow = std::chrono::milliseconds(100);
    const caf::actor store =
      SpawnStoreTask(mSystem, mTable, mLog, mClock, options);
    const caf::actor settings =
      SpawnSettingsTask(mSystem,
                        store,
                        mCodec,
                        mLog,
                        WriteIdGenerator("life-" + std::to_string(++mLives)),
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

  state::SettingsSnapshot View(const caf::actor& aTask)
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
      const auto view = View(aTask);
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
  int mLives = 0;
};

const std::string kPath = "organisations/acme";

} // namespace

TEST_GROUP(SettingsTask){};

// Guards against refusing an operator's change that took effect.
TEST(SettingsTask, LostAnswerIsAccepted)
{
  Fleet fleet;
  const caf::actor task = fleet.Start();
  fleet.mTable.FailWrites(TableFault::kAnswerLost, 1);
  CHECK(fleet.Put(task, Fleet::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kAccepted);
  LONGS_EQUAL(1, fleet.Head().at(kPath));
}

// Guards against a change that takes effect twice when a copy arrives late.
TEST(SettingsTask, LateCopyHasNoSecondEffect)
{
  Fleet fleet;
  const caf::actor task = fleet.Start();
  fleet.mTable.FailWrites(TableFault::kLate, 1);
  CHECK(fleet.Put(task, Fleet::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kAccepted);
  CHECK(fleet.Put(task, Fleet::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kAccepted);
  fleet.mTable.DeliverLate();
  LONGS_EQUAL(2, fleet.Head().at(kPath));
  LONGS_EQUAL(2, fleet.View(task).Find(kPath)->Version());
}

// Guards against two operators who both believe that they changed version 1.
TEST(SettingsTask, OneOfTwoRacingOperatorsIsAccepted)
{
  Fleet fleet;
  const caf::actor first = fleet.Start();
  const caf::actor second = fleet.Start();
  for (state::SettingsVersion version = 0; version < 20; ++version) {
    std::vector<PutSettingsStatus> statuses;
    for (const caf::actor& task : { first, second }) {
      fleet.mSelf->send(task, Fleet::Change(kPath, version, "x"));
    }
    for (int i = 0; i < 2; ++i) {
      fleet.mSelf->receive([&statuses](const PutSettingsResult& aResult) {
        statuses.push_back(aResult.mStatus);
      });
    }
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses[0] == PutSettingsStatus::kAccepted);
    CHECK(statuses[1] == PutSettingsStatus::kConflict);
    LONGS_EQUAL(version + 1, fleet.Head().at(kPath));
  }
  CHECK(fleet.WaitForVersion(first, kPath, 20));
  CHECK(fleet.WaitForVersion(second, kPath, 20));
}

// Guards against changes of different documents that lose each other's entry
// in the head, or are refused because of it.
TEST(SettingsTask, MovingHeadIsNoConflict)
{
  Fleet fleet;
  const caf::actor task = fleet.Start();
  const caf::actor other = fleet.Start();
  const int count = 10;
  for (int i = 0; i < count; ++i) {
    const std::string path = "organisations/org-" + std::to_string(i);
    fleet.mSelf->send(i % 2 == 0 ? task : other, Fleet::Change(path, 0, "x"));
  }
  for (int i = 0; i < count; ++i) {
    fleet.mSelf->receive([](const PutSettingsResult& aResult) {
      CHECK(aResult.mStatus == PutSettingsStatus::kAccepted);
    });
  }
  LONGS_EQUAL(count, fleet.Head().size());
}

// Guards against telling an operator "refused" while the change may still
// come into force, and "unknown" when nothing was sent.
TEST(SettingsTask, OutageIsToldExactly)
{
  Fleet fleet;
  const caf::actor task = fleet.Start();
  fleet.mTable.FailWrites(TableFault::kNotSent, 1'000'000);
  CHECK(fleet.Put(task, Fleet::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kUnavailable);
  CHECK_FALSE(fleet.mTable.Row(kHeadKey).has_value());
  const caf::actor other = fleet.Start();
  fleet.mTable.FailWrites(TableFault::kLate, 1'000'000);
  CHECK(fleet.Put(other, Fleet::Change(kPath, 0, "a")).mStatus ==
        PutSettingsStatus::kUnknown);
  fleet.mTable.DeliverLate();
  LONGS_EQUAL(1, fleet.Head().at(kPath));
  CHECK(fleet.WaitForVersion(task, kPath, 1));
}

// Guards against settings that are lost or go back during an outage.
TEST(SettingsTask, SettingsStayInForceDuringAnOutage)
{
  Fleet fleet;
  const caf::actor task = fleet.Start();
  fleet.Put(task, Fleet::Change(kPath, 0, "a"));
  fleet.mTable.SetDown(true);
  CHECK(fleet.Put(task, Fleet::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kUnavailable);
  LONGS_EQUAL(1, fleet.View(task).Find(kPath)->Version());
  fleet.mTable.SetDown(false);
  CHECK(WaitUntil([&] {
    return fleet.Put(task, Fleet::Change(kPath, 1, "b")).mStatus ==
           PutSettingsStatus::kAccepted;
  }));
}

// Guards against a task that dies of a damaged row, and against a change that
// would write over a damaged head and lose the other paths.
TEST(SettingsTask, MalformedRowsAreLoggedAndLeftAlone)
{
  Fleet fleet;
  const caf::actor task = fleet.Start();
  fleet.Put(task, Fleet::Change(kPath, 0, "a"));
  const auto head = fleet.mTable.Row(kHeadKey)->Value();
  fleet.mTable.Put(kHeadKey, "[1]garbage", "operator");
  CHECK(
    WaitUntil([&] { return fleet.mLog.Count(LogEvent::kRowMalformed) > 1; }));
  CHECK(fleet.Put(task, Fleet::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kUnavailable);
  STRCMP_EQUAL("operator", fleet.mTable.Row(kHeadKey)->WriteId().c_str());
  fleet.mTable.Put(kHeadKey, head, "operator");
  CHECK(fleet.Put(task, Fleet::Change(kPath, 1, "b")).mStatus ==
        PutSettingsStatus::kAccepted);
  fleet.mTable.Put("settings/doc/" + kPath, "{}", "operator");
  CHECK(fleet.Put(task, Fleet::Change(kPath, 2, "c")).mStatus ==
        PutSettingsStatus::kUnavailable);
  LONGS_EQUAL(2, fleet.View(task).Find(kPath)->Version());
}
