#include "cornelrudder/coordination/StoreTask.h"
#include "coordination/FakeTable.h"
#include "coordination/SystemConfig.h"
#include "cornelrudder/coordination/Messages.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using state::StoreResult;
using state::StoreStatus;
using state::Transaction;
using tests::FakeLog;
using tests::FakeTable;
using tests::TableFault;

namespace {

/** A store task on a fake table, with short delays. */
class Store
{
public:
  explicit Store(StoreTaskOptions aOptions = Short())
    : mSystem(mConfig)
    , mSelf(mSystem)
    , mTask(SpawnStoreTask(mSystem, mTable, mLog, mClock, aOptions))
  {
  }

  ~Store() { mSelf->send_exit(mTask, caf::exit_reason::user_shutdown); }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  static StoreTaskOptions Short()
  {
    StoreTaskOptions options;
    options.mBackoffBase = std::chrono::milliseconds(1);
    options.mBackoffCap = std::chrono::milliseconds(4);
    options.mBreakerProbeInterval = std::chrono::milliseconds(20);
    options.mRetryWindow = std::chrono::milliseconds(400);
    return options;
  }

  template<typename Message>
  StoreResult Ask(Message aMessage)
  {
    StoreResult result(StoreStatus::kOutcomeUnknown, {});
    mSelf->request(mTask, caf::infinite, std::move(aMessage))
      .receive([&result](const StoreResult& aResult) { result = aResult; },
               [](const caf::error&) { FAIL("the store task failed"); });
    return result;
  }

  std::uint64_t Count(const std::string& aName)
  {
    Counters counters;
    mSelf->request(mTask, caf::infinite, GetCounters{})
      .receive([&counters](const Counters& aCounters) { counters = aCounters; },
               [](const caf::error&) { FAIL("the store task failed"); });
    return counters[aName];
  }

  FakeTable mTable;
  FakeLog mLog;
  BootClock mClock;
  tests::SystemConfig mConfig;
  caf::actor_system mSystem;
  caf::scoped_actor mSelf;
  caf::actor mTask;
};

const Transaction kWrite("w1", { { "a", 0, "x" }, { "b", 0, "y" } });

} // namespace

TEST_GROUP(StoreTask){};

// Guards against reporting a write as failed that took effect.
TEST(StoreTask, LostAnswerIsResolvedByReading)
{
  Store store;
  store.mTable.FailWrites(TableFault::kAnswerLost, 1);
  const StoreResult result = store.Ask(kWrite);
  CHECK(result.Status() == StoreStatus::kOk);
  LONGS_EQUAL(2, result.Rows().size());
  LONGS_EQUAL(1, result.Rows()[0].Version());
  LONGS_EQUAL(1, store.mTable.Writes());
  LONGS_EQUAL(1, store.Count("store_unknown_outcomes_total"));
}

// Guards against giving up a write that never arrived.
TEST(StoreTask, LostWriteIsRepeated)
{
  Store store;
  store.mTable.FailWrites(TableFault::kLost, 2);
  CHECK(store.Ask(kWrite).Status() == StoreStatus::kOk);
  LONGS_EQUAL(3, store.mTable.Writes());
}

// Guards against two effects when a delayed copy arrives after its repeat.
TEST(StoreTask, DelayedCopyOfARepeatedWriteHasNoEffect)
{
  Store store;
  store.mTable.FailWrites(TableFault::kLate, 1);
  CHECK(store.Ask(kWrite).Status() == StoreStatus::kOk);
  store.mTable.DeliverLate();
  LONGS_EQUAL(1, store.mTable.Row("a")->Version());
}

// Guards against a conflict with the own delayed copy being taken for one
// with another writer.
TEST(StoreTask, ConflictWithTheOwnCopyIsSuccess)
{
  Store store;
  store.mTable.FailWrites(TableFault::kLate, 1);
  int writes = 0;
  store.mTable.SetBeforeWrite([&](const Transaction&) {
    if (++writes == 2) {
      store.mTable.DeliverLate();
    }
  });
  CHECK(store.Ask(kWrite).Status() == StoreStatus::kOk);
  LONGS_EQUAL(2, writes);
  LONGS_EQUAL(1, store.mTable.Row("b")->Version());
}

// Guards against hiding that another writer was first.
TEST(StoreTask, OtherWriterIsAConflict)
{
  Store store;
  store.mTable.Put("b", "other", "w0");
  const StoreResult result = store.Ask(kWrite);
  CHECK(result.Status() == StoreStatus::kConflict);
  STRCMP_EQUAL("other", result.Rows().at(0).Value().c_str());
  store.mTable.FailWrites(TableFault::kLost, 1);
  CHECK(store.Ask(Transaction("w2", { { "b", 0, "z" } })).Status() ==
        StoreStatus::kConflict);
}

// Guards against calling a write refused that was applied and overwritten.
TEST(StoreTask, OverwrittenWriteIsUnknown)
{
  Store store;
  store.mTable.FailWrites(TableFault::kLost, 1);
  store.mTable.Put("a", "1", "w7");
  store.mTable.Put("a", "2", "w8");
  CHECK(store.Ask(Transaction("w1", { { "a", 0, "x" } })).Status() ==
        StoreStatus::kOutcomeUnknown);
  LONGS_EQUAL(1, store.mLog.Count(LogEvent::kStoreWriteUnknown));
}

// Guards against saying "will not be applied" while a copy is under way.
TEST(StoreTask, WriteUnderWayIsUnknown)
{
  Store store;
  store.mTable.FailWrites(TableFault::kLate, 1'000);
  CHECK(store.Ask(kWrite).Status() == StoreStatus::kOutcomeUnknown);
  store.mTable.DeliverLate();
  LONGS_EQUAL(1, store.mTable.Row("a")->Version());
}

// Guards against reporting an unsent write as unknown.
TEST(StoreTask, UnsentWriteIsUnavailable)
{
  Store store;
  store.mTable.FailWrites(TableFault::kNotSent, 1'000);
  CHECK(store.Ask(kWrite).Status() == StoreStatus::kUnavailable);
  CHECK_FALSE(store.mTable.Row("a").has_value());
}

// Guards against load on a table that is down, and against a breaker that
// stays open afterwards.
TEST(StoreTask, BreakerOpensAndCloses)
{
  Store store;
  store.mTable.SetDown(true);
  for (int i = 0; i < 200; ++i) {
    CHECK(store.Ask(ReadRow{ "a" }).Status() == StoreStatus::kUnavailable);
  }
  CHECK(store.mTable.Reads() < 100);
  LONGS_EQUAL(1, store.Count("store_breaker_openings_total"));
  store.mTable.SetDown(false);
  CHECK(tests::WaitUntil(
    [&] { return store.Ask(ReadRow{ "a" }).Status() == StoreStatus::kOk; }));
  CHECK(store.Ask(kWrite).Status() == StoreStatus::kOk);
  LONGS_EQUAL(1, store.mLog.Count(LogEvent::kStoreBreakerClosed));
}

// Guards against retries without a limit while the breaker is closed.
TEST(StoreTask, RetriesStayWithinTheBudget)
{
  StoreTaskOptions options = Store::Short();
  options.mBreakerFailureThreshold = 1'000'000;
  options.mRetryBudgetCapacity = 5;
  Store store(options);
  store.mTable.SetDown(true);
  for (int i = 0; i < 100; ++i) {
    store.Ask(ReadRow{ "a" });
  }
  LONGS_EQUAL(100, store.Count("store_reads_total"));
  CHECK(store.Count("store_retries_total") <= 15);
  CHECK(store.mTable.Reads() <= 115);
}

// Guards against a transaction without rows that has nothing to resolve.
TEST(StoreTask, EmptyTransactionIsDone)
{
  Store store;
  store.mTable.FailWrites(TableFault::kLost, 1);
  CHECK(store.Ask(Transaction("w1", {})).Status() == StoreStatus::kOk);
}
