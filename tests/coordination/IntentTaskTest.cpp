#include "cornelrudder/coordination/IntentTask.h"
#include "coordination/FakeTable.h"
#include "coordination/SystemConfig.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>

#include <atomic>
#include <map>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using state::FailureReason;
using state::RunOutcome;
using state::RunRequest;
using state::WasRun;
using tests::FakeLog;
using tests::FakeTable;
using tests::TableFault;
using tests::WaitUntil;

namespace {

const std::string kRowKey = "intent/acme/k1";

/** Stand-in for the routing task that replies with a fixed outcome. */
struct FakeRouting
{
  std::atomic<int> mDispatches{ 0 };
  std::mutex mMutex;
  RunOutcome mOutcome = RunOutcome::Answered("answer");
  std::map<std::string, int> mByKey;

  caf::behavior Behavior()
  {
    return { [this](const RunRequest& aRequest) {
      ++mDispatches;
      const std::lock_guard lock(mMutex);
      ++mByKey[aRequest.IdempotencyKey()];
      return mOutcome;
    } };
  }

  void SetOutcome(RunOutcome aOutcome)
  {
    const std::lock_guard lock(mMutex);
    mOutcome = std::move(aOutcome);
  }
};

state::SettingsSnapshot
Settings()
{
  auto settings = *state::SettingsSnapshot().WithDocument(
    { "organisations/acme", 1, {}, {} });
  settings =
    *settings.WithDocument({ "organisations/acme/teams/night", 1, {}, {} });
  settings = *settings.WithDocument(
    { "classes/kerf", 1, { { "idempotent", false } }, {} });
  return *settings.WithDocument(
    { "classes/proof", 1, { { "idempotent", true } }, {} });
}

RunRequest
Request(const std::string& aKey,
        const std::string& aBody = "body",
        const std::string& aClass = "kerf")
{
  return { state::RequestId("r1"),
           state::OrganisationId("acme"),
           state::TeamId("night"),
           state::ClassName(aClass),
           aKey,
           aBody,
           std::chrono::milliseconds(0) };
}

/** Daemons, each with an intent task, that share a table and a routing fake. */
class IntentDaemons
{
public:
  IntentDaemons()
    : mSystem(mConfig)
    , mSelf(mSystem)
    , mRoutingTask(mSystem.spawn(
        [this](caf::event_based_actor*) { return mRouting.Behavior(); }))
  {
    mTasks.push_back(mRoutingTask);
  }

  ~IntentDaemons()
  {
    for (const caf::actor& task : mTasks) {
      mSelf->send_exit(task, caf::exit_reason::user_shutdown);
    }
  }

  IntentDaemons(const IntentDaemons&) = delete;
  IntentDaemons& operator=(const IntentDaemons&) = delete;

  /** @param aRetryWindow How long the store task retries an operation. */
  caf::actor Start(
    std::chrono::milliseconds aRetryWindow = std::chrono::milliseconds(20'000))
  {
    const std::string incarnation =
      "incarnation-" + std::to_string(++mIncarnations);
    StoreTaskOptions options;
    options.mBackoffBase = std::chrono::milliseconds(1);
    options.mBackoffCap = std::chrono::milliseconds(4);
    options.mBreakerProbeInterval = std::chrono::milliseconds(10);
    options.mRetryWindow = aRetryWindow;
    options.mRetryBudgetCapacity = 1'000;
    const caf::actor store =
      SpawnStoreTask(mSystem, mTable, mLog, mClock, options);
    const caf::actor intents =
      SpawnIntentTask(mSystem,
                      store,
                      mRoutingTask,
                      mCodec,
                      mClock,
                      mLog,
                      WriteIdGenerator(incarnation),
                      { incarnation, std::chrono::milliseconds(10) });
    mTasks.push_back(store);
    mTasks.push_back(intents);
    mSelf->send(intents, Settings());
    return intents;
  }

  RunOutcome Run(const caf::actor& aIntents, const RunRequest& aRequest)
  {
    RunOutcome outcome = RunOutcome::Answered("none");
    mSelf->request(aIntents, caf::infinite, aRequest)
      .receive([&outcome](const RunOutcome& aOutcome) { outcome = aOutcome; },
               [](const caf::error&) { FAIL("the intent task failed"); });
    return outcome;
  }

  std::optional<state::Intent> Row()
  {
    const auto row = mTable.Row(kRowKey);
    return row ? std::optional(mCodec.DecodeIntent(row->Value()))
               : std::nullopt;
  }

  bool WaitForState(state::IntentState aState)
  {
    return WaitUntil([this, aState] {
      const auto row = Row();
      return row && row->State() == aState;
    });
  }

  FakeTable mTable;
  FakeLog mLog;
  FakeRouting mRouting;
  protocol::JsonRowCodec mCodec;
  BootClock mClock;
  tests::SystemConfig mConfig;
  caf::actor_system mSystem;
  caf::scoped_actor mSelf;
  caf::actor mRoutingTask;

private:
  std::vector<caf::actor> mTasks;
  int mIncarnations = 0;
};

RunOutcome
FailedOutcome(WasRun aRan)
{
  return RunOutcome::Failed(FailureReason::kEndpointFailed,
                            aRan,
                            std::chrono::milliseconds(1),
                            "refused");
}

} // namespace

TEST_GROUP(IntentTask){};

// Guards against a second run for the same key on any daemon.
TEST(IntentTask, RepeatGetsTheRecordedResponse)
{
  IntentDaemons daemons;
  const caf::actor first = daemons.Start();
  STRCMP_EQUAL("answer", daemons.Run(first, Request("k1")).Text().c_str());
  daemons.mRouting.SetOutcome(RunOutcome::Answered("second run"));
  STRCMP_EQUAL("answer", daemons.Run(first, Request("k1")).Text().c_str());
  STRCMP_EQUAL("answer",
               daemons.Run(daemons.Start(), Request("k1")).Text().c_str());
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
}

// Guards against returning a recorded response to a request with another body.
TEST(IntentTask, KeyIsBoundToTheBody)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  daemons.Run(task, Request("k1"));
  const RunOutcome outcome = daemons.Run(task, Request("k1", "other"));
  CHECK(outcome.Reason() == FailureReason::kKeyReused);
  CHECK(outcome.HasRun() == WasRun::kNo);
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
}

// Guards against running a non-idempotent request without an idempotency key.
TEST(IntentTask, KeyIsRequiredOnlyIfNotIdempotent)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  CHECK(daemons.Run(task, Request("")).Reason() == FailureReason::kKeyRequired);
  CHECK(daemons.Run(task, Request("", "body", "proof")).IsAnswer());
  CHECK(daemons.Run(task, Request("k1", "body", "nothing")).Reason() ==
        FailureReason::kUnknownClass);
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
  CHECK_FALSE(daemons.Row().has_value());
}

// Guards against a dispatch without a recorded intent while the table is down.
TEST(IntentTask, StoreOutageRejectsAsNotRun)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  daemons.mTable.SetDown(true);
  const RunOutcome outcome = daemons.Run(task, Request("k1"));
  CHECK(outcome.Reason() == FailureReason::kStoreUnavailable);
  CHECK(outcome.HasRun() == WasRun::kNo);
  LONGS_EQUAL(0, daemons.mRouting.mDispatches);
  CHECK(daemons.Run(task, Request("", "body", "proof")).IsAnswer());
}

// Guards against a dispatch before a read has confirmed that the claim is in
// the row.
TEST(IntentTask, LostClaimResultIsReadBackBeforeDispatch)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  daemons.mTable.FailWrites(TableFault::kAnswerLost, 1);
  CHECK(daemons.Run(task, Request("k1")).IsAnswer());
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
}

// Guards against a claim that takes effect after the caller got "not run" and
// then blocks the key forever.
TEST(IntentTask, UnknownClaimIsRevoked)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start(std::chrono::milliseconds(100));
  daemons.mTable.FailWrites(TableFault::kLate, 1'000'000);
  const RunOutcome outcome = daemons.Run(task, Request("k1"));
  CHECK(outcome.Reason() == FailureReason::kStoreUnavailable);
  CHECK(outcome.HasRun() == WasRun::kNo);
  daemons.mTable.FailWrites(TableFault::kNone, 0);
  daemons.mTable.DeliverLate();
  CHECK(daemons.WaitForState(state::IntentState::kNotRun));
  LONGS_EQUAL(0, daemons.mRouting.mDispatches);
  CHECK(daemons.Run(daemons.Start(), Request("k1")).IsAnswer());
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
}

// Guards against rejecting a repeat of a request that never ran.
TEST(IntentTask, RequestThatDidNotRunMayBeRepeated)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  daemons.mRouting.SetOutcome(FailedOutcome(WasRun::kNo));
  CHECK(daemons.Run(task, Request("k1")).HasRun() == WasRun::kNo);
  CHECK(daemons.WaitForState(state::IntentState::kNotRun));
  daemons.mRouting.SetOutcome(RunOutcome::Answered("later"));
  STRCMP_EQUAL("later",
               daemons.Run(daemons.Start(), Request("k1")).Text().c_str());
  LONGS_EQUAL(2, daemons.mRouting.mDispatches);
}

// Guards against a second run after a run with an unknown outcome.
TEST(IntentTask, UnknownRunIsNeverRepeated)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  daemons.mRouting.SetOutcome(FailedOutcome(WasRun::kUnknown));
  CHECK(daemons.Run(task, Request("k1")).HasRun() == WasRun::kUnknown);
  daemons.mRouting.SetOutcome(RunOutcome::Answered("second run"));
  for (const caf::actor& daemon : { task, daemons.Start() }) {
    const RunOutcome outcome = daemons.Run(daemon, Request("k1"));
    CHECK(outcome.Reason() == FailureReason::kInProgress);
    CHECK(outcome.HasRun() == WasRun::kUnknown);
  }
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
}

// Guards against withholding or never recording a response because the table
// failed after the run.
TEST(IntentTask, ResponseIsRecordedAfterAnOutage)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  int writes = 0;
  daemons.mTable.SetBeforeWrite([&](const state::Transaction&) {
    if (++writes == 2) {
      daemons.mTable.SetDown(true);
    }
  });
  STRCMP_EQUAL("answer", daemons.Run(task, Request("k1")).Text().c_str());
  CHECK(daemons.Row()->State() == state::IntentState::kDispatched);
  // The daemon that ran the request still has the response in memory.
  STRCMP_EQUAL("answer", daemons.Run(task, Request("k1")).Text().c_str());
  daemons.mTable.SetDown(false);
  CHECK(daemons.WaitForState(state::IntentState::kDone));
  STRCMP_EQUAL("answer",
               daemons.Run(daemons.Start(), Request("k1")).Text().c_str());
  LONGS_EQUAL(1, daemons.mRouting.mDispatches);
}

// Guards against a malformed row that stops the task or is overwritten.
TEST(IntentTask, MalformedRowIsNotOverwritten)
{
  IntentDaemons daemons;
  daemons.mTable.Put(kRowKey, "garbage", "operator");
  const RunOutcome outcome = daemons.Run(daemons.Start(), Request("k1"));
  CHECK(outcome.HasRun() == WasRun::kUnknown);
  LONGS_EQUAL(0, daemons.mRouting.mDispatches);
  LONGS_EQUAL(1, daemons.mLog.Count(LogEvent::kRowMalformed));
  CHECK(daemons.Run(daemons.Start(), Request("k2")).IsAnswer());
}

// Guards against corrupting a binary response, and against running a request
// again whose response is too long to be recorded.
TEST(IntentTask, RecordsBinaryResponsesAndOmitsOversizedOnes)
{
  IntentDaemons daemons;
  const caf::actor task = daemons.Start();
  const std::string binary("\x00\xff\xfe\"\\", 5);
  daemons.mRouting.SetOutcome(RunOutcome::Answered(binary));
  daemons.Run(task, Request("k1"));
  CHECK(binary == daemons.Run(task, Request("k1")).Text());
  daemons.mRouting.SetOutcome(
    RunOutcome::Answered(std::string(state::Intent::kMaxAnswerBytes + 1, 'x')));
  CHECK(daemons.Run(task, Request("k2")).IsAnswer());
  const RunOutcome repeat = daemons.Run(task, Request("k2"));
  CHECK(repeat.Reason() == FailureReason::kAnswerNotKept);
  CHECK(repeat.HasRun() == WasRun::kYes);
  LONGS_EQUAL(2, daemons.mRouting.mDispatches);
}

// Guards against two daemons that dispatch the same key when results of the
// table are lost or late.
TEST(IntentTask, ConcurrentDaemonsDispatchOnce)
{
  IntentDaemons daemons;
  const std::vector<caf::actor> intentTasks{ daemons.Start(),
                                             daemons.Start(),
                                             daemons.Start() };
  constexpr int kKeys = 100;
  for (int key = 0; key < kKeys; ++key) {
    daemons.mTable.FailWrites(
      key % 2 == 0 ? TableFault::kAnswerLost : TableFault::kLate, key % 4);
    for (const caf::actor& daemon : intentTasks) {
      daemons.mSelf->send(daemon, Request("key-" + std::to_string(key)));
    }
    int answers = 0;
    for (std::size_t i = 0; i < intentTasks.size(); ++i) {
      daemons.mSelf->receive([&answers](const RunOutcome& aOutcome) {
        answers += aOutcome.IsAnswer() ? 1 : 0;
        CHECK(aOutcome.IsAnswer() || aOutcome.HasRun() == WasRun::kUnknown);
      });
    }
    CHECK(answers >= 1);
    daemons.mTable.DeliverLate();
  }
  const std::lock_guard lock(daemons.mRouting.mMutex);
  LONGS_EQUAL(kKeys, daemons.mRouting.mByKey.size());
  for (const auto& [key, count] : daemons.mRouting.mByKey) {
    LONGS_EQUAL(1, count);
  }
}
