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
class StoreFixture
{
public:
  explicit StoreFixture(StoreTaskOptions aOptions = ShortDelays())
    : mSystem(mConfig)
    , mSelf(mSystem)
    , mTask(SpawnStoreTask(mSystem, mTable, mLog, mClock, aOptions))
  {
  }

  ~StoreFixture() { mSelf->send_exit(mTask, caf::exit_reason::user_shutdown); }
  StoreFixture(const StoreFixture&) = delete;
  StoreFixture& operator=(const StoreFixture&) = delete;

  static StoreTaskOptions ShortDelays()
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

// Guards against reporting a failure for a write that took effect.
TEST(StoreTask, LostResponseIsResolvedByReading)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kAnswerLost, 1);
  const StoreResult result = fixture.Ask(kWrite);
  CHECK(result.Status() == StoreStatus::kOk);
  LONGS_EQUAL(2, result.Rows().size());
  LONGS_EQUAL(1, result.Rows()[0].Version());
  LONGS_EQUAL(1, fixture.mTable.Writes());
  LONGS_EQUAL(1, fixture.Count("store_unknown_outcomes_total"));
}

// Guards against failing a write that was lost before it reached the table.
TEST(StoreTask, LostWriteIsRetried)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kLost, 2);
  CHECK(fixture.Ask(kWrite).Status() == StoreStatus::kOk);
  LONGS_EQUAL(3, fixture.mTable.Writes());
}

// Guards against applying a write twice when it arrives after its retry.
TEST(StoreTask, DelayedWriteHasNoEffectAfterItsRetry)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kLate, 1);
  CHECK(fixture.Ask(kWrite).Status() == StoreStatus::kOk);
  fixture.mTable.DeliverLate();
  LONGS_EQUAL(1, fixture.mTable.Row("a")->Version());
}

// Guards against reporting a conflict with another writer when a retry
// conflicts with its own delayed first attempt.
TEST(StoreTask, ConflictWithOwnDelayedWriteIsSuccess)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kLate, 1);
  int writes = 0;
  fixture.mTable.SetBeforeWrite([&](const Transaction&) {
    if (++writes == 2) {
      fixture.mTable.DeliverLate();
    }
  });
  CHECK(fixture.Ask(kWrite).Status() == StoreStatus::kOk);
  LONGS_EQUAL(2, writes);
  LONGS_EQUAL(1, fixture.mTable.Row("b")->Version());
}

// Guards against reporting success when another writer changed the row first.
TEST(StoreTask, WriteOfAnotherWriterIsAConflict)
{
  StoreFixture fixture;
  fixture.mTable.Put("b", "other", "w0");
  const StoreResult result = fixture.Ask(kWrite);
  CHECK(result.Status() == StoreStatus::kConflict);
  STRCMP_EQUAL("other", result.Rows().at(0).Value().c_str());
  fixture.mTable.FailWrites(TableFault::kLost, 1);
  CHECK(fixture.Ask(Transaction("w2", { { "b", 0, "z" } })).Status() ==
        StoreStatus::kConflict);
}

// Guards against reporting a conflict for a write that may have been applied
// and then overwritten.
TEST(StoreTask, OverwrittenWriteIsUnknown)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kLost, 1);
  fixture.mTable.Put("a", "1", "w7");
  fixture.mTable.Put("a", "2", "w8");
  CHECK(fixture.Ask(Transaction("w1", { { "a", 0, "x" } })).Status() ==
        StoreStatus::kOutcomeUnknown);
  LONGS_EQUAL(1, fixture.mLog.Count(LogEvent::kStoreWriteUnknown));
}

// Guards against reporting a failure while a delayed write may still be
// applied.
TEST(StoreTask, DelayedWriteIsUnknown)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kLate, 1'000);
  CHECK(fixture.Ask(kWrite).Status() == StoreStatus::kOutcomeUnknown);
  fixture.mTable.DeliverLate();
  LONGS_EQUAL(1, fixture.mTable.Row("a")->Version());
}

// Guards against reporting an unknown outcome for a write that was not sent.
TEST(StoreTask, UnsentWriteIsUnavailable)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kNotSent, 1'000);
  CHECK(fixture.Ask(kWrite).Status() == StoreStatus::kUnavailable);
  CHECK_FALSE(fixture.mTable.Row("a").has_value());
}

// Guards against requests to a table that is down, and against a breaker that
// stays open after the table has recovered.
TEST(StoreTask, BreakerOpensAndCloses)
{
  StoreFixture fixture;
  fixture.mTable.SetDown(true);
  for (int i = 0; i < 200; ++i) {
    CHECK(fixture.Ask(ReadRow{ "a" }).Status() == StoreStatus::kUnavailable);
  }
  CHECK(fixture.mTable.Reads() < 100);
  LONGS_EQUAL(1, fixture.Count("store_breaker_openings_total"));
  fixture.mTable.SetDown(false);
  CHECK(tests::WaitUntil(
    [&] { return fixture.Ask(ReadRow{ "a" }).Status() == StoreStatus::kOk; }));
  CHECK(fixture.Ask(kWrite).Status() == StoreStatus::kOk);
  LONGS_EQUAL(1, fixture.mLog.Count(LogEvent::kStoreBreakerClosed));
}

// Guards against unlimited retries while the breaker is closed.
TEST(StoreTask, RetriesStayWithinTheBudget)
{
  StoreTaskOptions options = StoreFixture::ShortDelays();
  options.mBreakerFailureThreshold = 1'000'000;
  options.mRetryBudgetCapacity = 5;
  StoreFixture fixture(options);
  fixture.mTable.SetDown(true);
  for (int i = 0; i < 100; ++i) {
    fixture.Ask(ReadRow{ "a" });
  }
  LONGS_EQUAL(100, fixture.Count("store_reads_total"));
  CHECK(fixture.Count("store_retries_total") <= 15);
  CHECK(fixture.mTable.Reads() <= 115);
}

// Guards against an unknown outcome for a transaction without rows.
TEST(StoreTask, EmptyTransactionSucceeds)
{
  StoreFixture fixture;
  fixture.mTable.FailWrites(TableFault::kLost, 1);
  CHECK(fixture.Ask(Transaction("w1", {})).Status() == StoreStatus::kOk);
}
