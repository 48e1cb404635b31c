#include "cornelrudder/coordination/RoutingTask.h"
#include "cornelrudder/coordination/Messages.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using state::RunnerStatus;
using std::chrono::milliseconds;

namespace {

/** Longest wait for a condition; only reached if a test fails. */
constexpr std::chrono::seconds kTestTimeout{ 30 };

/** Thread-safe list of values that a test can wait for. */
template<typename Value>
class Collected
{
public:
  void Add(Value aValue)
  {
    const std::lock_guard lock(mMutex);
    mValues.push_back(std::move(aValue));
    mChanged.notify_all();
  }

  /** @return The value at an index; waits until it has been added. */
  Value At(std::size_t aIndex)
  {
    std::unique_lock lock(mMutex);
    const bool hasArrived = mChanged.wait_for(
      lock, kTestTimeout, [&] { return mValues.size() > aIndex; });
    if (!hasArrived) {
      FAIL("timed out while waiting for a value");
    }
    return mValues[aIndex];
  }

  std::size_t Size()
  {
    const std::lock_guard lock(mMutex);
    return mValues.size();
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<Value> mValues;
};

class CollectingLog final : public EventLog
{
public:
  void Write(const LogRecord& aRecord) override { mRecords.Add(aRecord); }

  /** @return Number of lines logged for an event. */
  std::size_t Count(LogEvent aEvent)
  {
    std::size_t n = 0;
    for (std::size_t i = 0; i < mRecords.Size(); ++i) {
      n += mRecords.At(i).Event() == aEvent ? 1 : 0;
    }
    return n;
  }

private:
  Collected<LogRecord> mRecords;
};

struct RunnerCall
{
  state::RunDispatch mDispatch;
  RunnerPort::Completion mComplete;
};

/** Runners whose calls the test completes explicitly. */
class ManualRunners final : public RunnerPort
{
public:
  void Run(const state::RunDispatch& aDispatch, Completion aCompletion) override
  {
    mCalls.Add({ aDispatch, std::move(aCompletion) });
  }

  Collected<RunnerCall>& Calls() { return mCalls; }

  void Complete(std::size_t aIndex,
                RunnerStatus aStatus,
                const std::string& aBody = "",
                bool aLeaving = false)
  {
    mCalls.At(aIndex).mComplete({ aStatus, aLeaving, aBody });
  }

private:
  Collected<RunnerCall> mCalls;
};

/**
 * Settings with two organisations, a non-idempotent class (kerf), an
 * idempotent class (proof) and an idempotent class that may queue (nesting).
 */
state::SettingsSnapshot
Settings(const std::string& aAdmission = "fair")
{
  const auto classValues = [](bool aIdempotent, int aMaxWait) {
    return state::SettingValues{ { "idempotent", aIdempotent },
                                 { "max_wait_ms", std::int64_t{ aMaxWait } },
                                 { "timeout_ms", std::int64_t{ 60'000 } } };
  };
  const std::vector<state::SettingsDocument> documents{
    { "organisations/acme", 1, {}, {} },
    { "organisations/acme/teams/night", 1, {}, {} },
    { "organisations/bolt", 1, {}, {} },
    { "organisations/bolt/teams/night", 1, {}, {} },
    { "classes/kerf", 1, classValues(false, 0), {} },
    { "classes/proof", 1, classValues(true, 0), {} },
    { "classes/nesting", 1, classValues(true, 600'000), {} },
    { "policy", 1, { { "admission", aAdmission } }, {} },
  };
  state::SettingsSnapshot settings;
  for (const auto& document : documents) {
    settings = *settings.WithDocument(document);
  }
  return settings;
}

state::VmList
Runners(int aCount)
{
  const state::VmLocation location(
    state::RegionId("r"), state::ZoneId("z"), state::RackId("k"));
  std::vector<state::Vm> vms;
  for (int i = 1; i <= aCount; ++i) {
    vms.emplace_back(state::VmId("runner-" + std::to_string(i)),
                     state::VmRole::kRunner,
                     "127.0.0.1:" + std::to_string(i),
                     location,
                     0,
                     state::VmState::kLive);
  }
  return state::VmList(std::move(vms));
}

/**
 * @return Settings with evacuated availability zones, and without slots that
 *   are reserved for other organisations.
 */
state::SettingsSnapshot
EvacuatedSettings(const std::vector<std::string>& aZones)
{
  state::SettingsSnapshot settings = Settings("fifo");
  for (const std::string& zone : aZones) {
    settings = *settings.WithDocument(
      { "zones/" + zone, 1, { { "evacuated", true } }, {} });
  }
  return settings;
}

/** A routing task with runners that the test controls. */
class RoutingFixture
{
public:
  RoutingFixture(int aRunners,
                 int aSlots,
                 const state::SettingsSnapshot& aSettings)
    : mSystem(Configured(mConfig))
    , mTask(SpawnRoutingTask(mSystem,
                             mRunners,
                             mLog,
                             { state::VmId("e1"), state::ZoneId("z"), aSlots }))
  {
    caf::anon_send(mTask, aSettings);
    caf::anon_send(mTask, Runners(aRunners));
  }

  RoutingFixture(int aRunners, int aSlots)
    : RoutingFixture(aRunners, aSlots, Settings())
  {
  }

  ~RoutingFixture()
  {
    caf::anon_send_exit(mTask, caf::exit_reason::user_shutdown);
  }

  RoutingFixture(const RoutingFixture&) = delete;
  RoutingFixture& operator=(const RoutingFixture&) = delete;

  template<typename Message>
  void Send(const Message& aMessage)
  {
    caf::anon_send(mTask, aMessage);
  }

  /** Sends a request and waits until the task has decided on it. */
  std::shared_ptr<Collected<state::RunOutcome>> Request(
    const std::string& aClass,
    const std::string& aOrganisation = "acme",
    milliseconds aTimeout = milliseconds(0),
    const std::string& aKey = "")
  {
    auto outcome = std::make_shared<Collected<state::RunOutcome>>();
    const state::RunRequest request(
      state::RequestId("r" + std::to_string(++mRequests)),
      state::OrganisationId(aOrganisation),
      state::TeamId("night"),
      state::ClassName(aClass),
      aKey,
      "body",
      aTimeout);
    // Waiting for the decision makes requests arrive in the order of calls.
    mSystem.spawn(
      [task = mTask, request, outcome](caf::event_based_actor* aSelf) {
        aSelf->request(task, caf::infinite, request)
          .then([outcome](const state::RunOutcome& aOutcome) {
            outcome->Add(aOutcome);
          });
      });
    WaitForDecisions();
    return outcome;
  }

  Counters ReadCounters()
  {
    Counters counters;
    caf::scoped_actor self(mSystem);
    self->request(mTask, kTestTimeout, GetCounters{})
      .receive([&counters](const Counters& aCounters) { counters = aCounters; },
               [](const caf::error&) {
                 FAIL("the routing task did not return its counters");
               });
    return counters;
  }

  /** Waits until the task has logged a decision on each request. */
  void WaitForDecisions()
  {
    for (int i = 0; i < 30'000; ++i) {
      const std::size_t decisions = mLog.Count(LogEvent::kRouted) +
                                    mLog.Count(LogEvent::kRequestQueued) +
                                    mLog.Count(LogEvent::kRouteRefused);
      if (decisions >= static_cast<std::size_t>(mRequests)) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    FAIL("timed out while waiting for the decision on a request");
  }

  ManualRunners& Port() { return mRunners; }
  CollectingLog& Log() { return mLog; }

private:
  static caf::actor_system_config& Configured(caf::actor_system_config& aConfig)
  {
    aConfig.set("scheduler.policy", caf::atom("sharing"));
    aConfig.set("scheduler.max-threads", std::size_t{ 2 });
    return aConfig;
  }

  ManualRunners mRunners;
  CollectingLog mLog;
  caf::actor_system_config mConfig;
  caf::actor_system mSystem;
  caf::actor mTask;
  int mRequests = 0;
};

void
CheckFailedOutcome(const state::RunOutcome& aOutcome,
                   state::FailureReason aReason,
                   state::WasRun aRan)
{
  STRCMP_EQUAL(std::string(FailureReasonName(aReason)).c_str(),
               std::string(FailureReasonName(aOutcome.Reason())).c_str());
  STRCMP_EQUAL(std::string(WasRunName(aRan)).c_str(),
               std::string(WasRunName(aOutcome.HasRun())).c_str());
}

} // namespace

TEST_GROUP(RoutingTask){};

TEST(RoutingTask, ReturnsTheResponseOfTheRunner)
{
  RoutingFixture fixture(1, 1);
  const auto outcome = fixture.Request("kerf");
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "x");
  CHECK(outcome->At(0).IsAnswer());
  STRCMP_EQUAL("x", outcome->At(0).Text().c_str());
}

// Guards against reporting "not run" after bytes were sent to a runner, and
// against running a non-idempotent request twice.
TEST(RoutingTask, FailedAttemptOfNonIdempotentRequestIsUnknown)
{
  for (const RunnerStatus status : { RunnerStatus::kConnectionLost,
                                     RunnerStatus::kInvalidAnswer,
                                     RunnerStatus::kFailed }) {
    RoutingFixture fixture(2, 1);
    const auto outcome = fixture.Request("kerf");
    fixture.Port().Complete(0, status);
    CheckFailedOutcome(outcome->At(0),
                       state::FailureReason::kEndpointFailed,
                       state::WasRun::kUnknown);
    LONGS_EQUAL(1, fixture.Port().Calls().Size());
  }
}

// Guards against running a request twice that was recorded as non-idempotent
// while this task still had older settings of its class.
TEST(RoutingTask, RequestWithKeyIsNotRetriedIfItMayHaveRun)
{
  RoutingFixture fixture(2, 1);
  const auto outcome =
    fixture.Request("proof", "acme", milliseconds(0), "key-1");
  fixture.Port().Complete(0, RunnerStatus::kConnectionLost);
  CheckFailedOutcome(outcome->At(0),
                     state::FailureReason::kEndpointFailed,
                     state::WasRun::kUnknown);
  LONGS_EQUAL(1, fixture.Port().Calls().Size());
}

// Guards against failing a request that did not run although another runner is
// free.
TEST(RoutingTask, RequestThatDidNotStartIsRetriedOnAnotherRunner)
{
  for (const RunnerStatus status :
       { RunnerStatus::kNotStarted, RunnerStatus::kNotSent }) {
    RoutingFixture fixture(2, 1);
    const auto outcome = fixture.Request("kerf");
    fixture.Port().Complete(0, status);
    const RunnerCall second = fixture.Port().Calls().At(1);
    CHECK(second.mDispatch.Address() !=
          fixture.Port().Calls().At(0).mDispatch.Address());
    fixture.Port().Complete(1, RunnerStatus::kAnswered, "x");
    CHECK(outcome->At(0).IsAnswer());
    LONGS_EQUAL(1, fixture.Log().Count(LogEvent::kRetryDecided));
  }
}

// Guards against returning the response of another request or a truncated one,
// and against failing an idempotent request instead of retrying it.
TEST(RoutingTask, MismatchedAndTruncatedResponsesAreRetried)
{
  for (const RunnerStatus status : { RunnerStatus::kInvalidAnswer,
                                     RunnerStatus::kConnectionLost,
                                     RunnerStatus::kFailed }) {
    RoutingFixture fixture(2, 1);
    const auto outcome = fixture.Request("proof");
    fixture.Port().Complete(0, status, "another's answer");
    fixture.Port().Complete(1, RunnerStatus::kAnswered, "own");
    STRCMP_EQUAL("own", outcome->At(0).Text().c_str());
    const Counters counters = fixture.ReadCounters();
    LONGS_EQUAL(1, counters.at("retried_total{class=\"proof\"}"));
    LONGS_EQUAL(status == RunnerStatus::kInvalidAnswer ? 1 : 0,
                counters.at("mismatched_total{class=\"proof\"}"));
  }
}

// Guards against reporting "not run" when only the last of two attempts
// certainly did not run.
TEST(RoutingTask, OutcomeStaysUnknownAfterAnUncertainAttempt)
{
  RoutingFixture fixture(2, 1);
  const auto outcome = fixture.Request("proof");
  fixture.Port().Complete(0, RunnerStatus::kConnectionLost);
  fixture.Port().Complete(1, RunnerStatus::kNotStarted);
  CheckFailedOutcome(outcome->At(0),
                     state::FailureReason::kEndpointFailed,
                     state::WasRun::kUnknown);
}

// Guards against an endless wait when no untried runner is left.
TEST(RoutingTask, RetriesStopWhenNoOtherRunnerIsLeft)
{
  RoutingFixture fixture(1, 4);
  const auto outcome = fixture.Request("nesting");
  fixture.Port().Complete(0, RunnerStatus::kNotStarted);
  CheckFailedOutcome(
    outcome->At(0), state::FailureReason::kEndpointFailed, state::WasRun::kNo);
}

// Guards against failing a retry because all untried runners are busy.
TEST(RoutingTask, RetryWaitsForABusyRunner)
{
  RoutingFixture fixture(2, 1);
  const auto first = fixture.Request("nesting");
  const auto second = fixture.Request("nesting");
  fixture.Port().Complete(0, RunnerStatus::kFailed);
  fixture.Port().Complete(1, RunnerStatus::kAnswered, "2");
  STRCMP_EQUAL("2", second->At(0).Text().c_str());
  CHECK(fixture.Port().Calls().At(2).mDispatch.Address() ==
        fixture.Port().Calls().At(1).mDispatch.Address());
  fixture.Port().Complete(2, RunnerStatus::kAnswered, "1");
  STRCMP_EQUAL("1", first->At(0).Text().c_str());
}

// Guards against a caller that waits beyond its deadline, a second outcome
// after it, and a slot that is not released.
TEST(RoutingTask, RequestPastItsDeadlineIsUnknownAndReleasesItsSlot)
{
  RoutingFixture fixture(1, 1);
  const auto late = fixture.Request("nesting", "acme", milliseconds(50));
  CheckFailedOutcome(
    late->At(0), state::FailureReason::kTimedOut, state::WasRun::kUnknown);
  const auto next = fixture.Request("nesting");
  LONGS_EQUAL(1, fixture.Port().Calls().Size());
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "late");
  fixture.Port().Complete(1, RunnerStatus::kAnswered, "next");
  STRCMP_EQUAL("next", next->At(0).Text().c_str());
  LONGS_EQUAL(1, late->Size());
}

// Guards against reporting "unknown" for a request that was never dispatched.
TEST(RoutingTask, TimeoutInTheQueueIsNotRun)
{
  RoutingFixture fixture(1, 1);
  const auto running = fixture.Request("nesting");
  const auto waiting = fixture.Request("nesting", "acme", milliseconds(50));
  CheckFailedOutcome(
    waiting->At(0), state::FailureReason::kTimedOut, state::WasRun::kNo);
  LONGS_EQUAL(1, fixture.Port().Calls().Size());
  LONGS_EQUAL(0, running->Size());
}

// Guards against queueing a request whose class does not allow a wait.
TEST(RoutingTask, RejectsUnqueueableRequestsWhenAllRunnersAreBusy)
{
  RoutingFixture fixture(2, 1);
  const auto a = fixture.Request("proof");
  const auto b = fixture.Request("proof");
  const auto refused = fixture.Request("proof");
  CheckFailedOutcome(
    refused->At(0), state::FailureReason::kOverloaded, state::WasRun::kNo);
  CHECK(refused->At(0).RetryAfter().count() > 0);
  const auto queued = fixture.Request("nesting");
  LONGS_EQUAL(2, fixture.Port().Calls().Size());
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "a");
  fixture.Port().Complete(2, RunnerStatus::kAnswered, "queued");
  STRCMP_EQUAL("queued", queued->At(0).Text().c_str());
  const Counters counters = fixture.ReadCounters();
  LONGS_EQUAL(2, counters.at("admitted_total{class=\"proof\"}"));
  LONGS_EQUAL(1, counters.at("refused_total{class=\"proof\"}"));
  LONGS_EQUAL(1, counters.at("latency_ms_count{class=\"nesting\"}"));
}

// Guards against reporting "overloaded" when no runner exists.
TEST(RoutingTask, NoRunnerIsNoCapacity)
{
  RoutingFixture fixture(0, 1);
  CheckFailedOutcome(fixture.Request("proof")->At(0),
                     state::FailureReason::kNoCapacity,
                     state::WasRun::kNo);
}

// Guards against dispatching to a runner that has announced its shutdown while
// the VM list still shows it as live.
TEST(RoutingTask, LeavingRunnerGetsNoNewRequests)
{
  RoutingFixture fixture(2, 2);
  const auto first = fixture.Request("proof");
  const std::string leaving = fixture.Port().Calls().At(0).mDispatch.Address();
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "x", true);
  CHECK(first->At(0).IsAnswer());
  fixture.Send(Runners(2));
  for (std::size_t i = 1; i <= 2; ++i) {
    fixture.Request("proof");
    CHECK(fixture.Port().Calls().At(i).mDispatch.Address() != leaving);
  }
  CheckFailedOutcome(fixture.Request("proof")->At(0),
                     state::FailureReason::kOverloaded,
                     state::WasRun::kNo);
  LONGS_EQUAL(1, fixture.Log().Count(LogEvent::kRunnerLeaving));
}

// Guards against requests and retries to an evacuated zone, against cutting off
// those that run there, and against requests that are lost while all zones are
// evacuated.
TEST(RoutingTask, EvacuatedZoneGetsNoNewRequests)
{
  RoutingFixture fixture(0, 2, EvacuatedSettings({}));
  const auto runner = [](int aNumber, const std::string& aZone) {
    return state::Vm(
      state::VmId("runner-" + std::to_string(aNumber)),
      state::VmRole::kRunner,
      "127.0.0.1:" + std::to_string(aNumber),
      { state::RegionId("r"), state::ZoneId(aZone), state::RackId("k") },
      0,
      state::VmState::kLive);
  };
  const auto addressOf = [&fixture](std::size_t aCall) {
    return fixture.Port().Calls().At(aCall).mDispatch.Address();
  };
  fixture.Send(state::VmList({ runner(1, "z"), runner(2, "y") }));
  const auto running = fixture.Request("proof");
  STRCMP_EQUAL("127.0.0.1:1", addressOf(0).c_str());

  fixture.Send(EvacuatedSettings({ "z" }));
  const auto moved = fixture.Request("proof");
  fixture.Request("proof");
  STRCMP_EQUAL("127.0.0.1:2", addressOf(1).c_str());
  STRCMP_EQUAL("127.0.0.1:2", addressOf(2).c_str());
  CheckFailedOutcome(fixture.Request("proof")->At(0),
                     state::FailureReason::kOverloaded,
                     state::WasRun::kNo);
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "x");
  CHECK(running->At(0).IsAnswer());
  fixture.Port().Complete(1, RunnerStatus::kNotStarted);
  CheckFailedOutcome(
    moved->At(0), state::FailureReason::kEndpointFailed, state::WasRun::kNo);
  fixture.Port().Complete(2, RunnerStatus::kAnswered, "x");

  fixture.Send(EvacuatedSettings({ "y", "z" }));
  const auto waiting = fixture.Request("nesting");
  CheckFailedOutcome(fixture.Request("proof")->At(0),
                     state::FailureReason::kNoCapacity,
                     state::WasRun::kNo);
  LONGS_EQUAL(3, fixture.Port().Calls().Size());

  fixture.Send(EvacuatedSettings({ "y" }));
  STRCMP_EQUAL("127.0.0.1:1", addressOf(3).c_str());
  fixture.Port().Complete(3, RunnerStatus::kAnswered, "x");
  CHECK(waiting->At(0).IsAnswer());
}

// Guards against leaving the slots of a departed daemon unused.
TEST(RoutingTask, MembershipChangeServesWaitingRequests)
{
  RoutingFixture fixture(1, 1);
  std::vector<state::VmId> daemons{ state::VmId("e1") };
  for (int i = 2; i < 200; ++i) {
    daemons.emplace_back("e" + std::to_string(i));
  }
  fixture.Send(ActiveDaemonsView{ daemons });
  const auto outcome = fixture.Request("nesting");
  LONGS_EQUAL(0, fixture.Port().Calls().Size());
  fixture.Send(ActiveDaemonsView{ { state::VmId("e1") } });
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "x");
  CHECK(outcome->At(0).IsAnswer());
}

// Guards against an organisation that waits behind the backlog of another.
TEST(RoutingTask, BacklogOfOneOrganisationDoesNotDelayAnother)
{
  RoutingFixture fixture(2, 2);
  for (int i = 0; i < 100; ++i) {
    fixture.Request("nesting", "acme");
  }
  const auto small = fixture.Request("nesting", "bolt");
  // One slot is reserved for each of the two classes that never queue.
  LONGS_EQUAL(2, fixture.Port().Calls().Size());
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "x");
  fixture.Port().Complete(2, RunnerStatus::kAnswered, "small");
  STRCMP_EQUAL("small", small->At(0).Text().c_str());
}

// Guards against losing waiting requests when the admission policy changes,
// and against a policy setting without effect.
TEST(RoutingTask, PolicyIsReadFromTheSettings)
{
  RoutingFixture fixture(1, 1, Settings("fifo"));
  fixture.Request("nesting", "acme");
  fixture.Request("nesting", "acme");
  const auto small = fixture.Request("nesting", "bolt");
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "x");
  fixture.Port().Calls().At(1);
  state::SettingsSnapshot settings = Settings("fifo");
  settings = *settings.WithDocument(
    { "policy", 2, { { "admission", std::string("fair") } }, {} });
  fixture.Request("nesting", "acme");
  fixture.Send(settings);
  fixture.Port().Complete(1, RunnerStatus::kAnswered, "x");
  fixture.Port().Complete(2, RunnerStatus::kAnswered, "small");
  STRCMP_EQUAL("small", small->At(0).Text().c_str());
  LONGS_EQUAL(2, fixture.Log().Count(LogEvent::kAdmissionChanged));
}

// Guards against releasing a slot twice after a duplicate completion.
TEST(RoutingTask, DuplicateCompletionIsIgnored)
{
  RoutingFixture fixture(1, 1);
  const auto first = fixture.Request("nesting");
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "1");
  first->At(0);
  fixture.Request("nesting");
  fixture.Port().Calls().At(1);
  fixture.Port().Complete(0, RunnerStatus::kAnswered, "1");
  fixture.Request("nesting");
  fixture.ReadCounters();
  LONGS_EQUAL(2, fixture.Port().Calls().Size());
  LONGS_EQUAL(1, first->Size());
}

namespace {

/** Lets the class succeed on runner-2; further requests go to runner-1. */
class QuarantineFixture
{
public:
  QuarantineFixture()
    : mFixture(2, 8)
  {
    const auto first = mFixture.Request("kerf");
    const auto second = mFixture.Request("kerf");
    mFixture.Port().Complete(0, RunnerStatus::kAnswered);
    mFixture.Port().Complete(1, RunnerStatus::kAnswered);
    first->At(0);
    second->At(0);
  }

  /**
   * Sends a request and fails its attempt.
   * @param aAfterDeadline Whether the attempt fails after the caller's
   * deadline.
   * @return Address of the runner that got the request.
   */
  std::string SendAndFail(milliseconds aTimeout, bool aAfterDeadline)
  {
    const auto outcome = mFixture.Request("kerf", "acme", aTimeout);
    const std::string address =
      mFixture.Port().Calls().At(mNextCall).mDispatch.Address();
    if (aAfterDeadline) {
      outcome->At(0);
    }
    mFixture.Port().Complete(mNextCall++, RunnerStatus::kConnectionLost);
    outcome->At(0);
    mFixture.ReadCounters();
    return address;
  }

  CollectingLog& Log() { return mFixture.Log(); }

private:
  RoutingFixture mFixture;
  std::size_t mNextCall = 2;
};

} // namespace

// Guards against a runner that attracts requests because it fails them fast.
TEST(RoutingTask, FailingRunnerIsQuarantined)
{
  QuarantineFixture fixture;
  for (int i = 0; i < 4; ++i) {
    STRCMP_EQUAL("127.0.0.1:1",
                 fixture.SendAndFail(milliseconds(0), false).c_str());
  }
  STRCMP_EQUAL("127.0.0.1:2",
               fixture.SendAndFail(milliseconds(0), false).c_str());
  LONGS_EQUAL(1, fixture.Log().Count(LogEvent::kRunnerQuarantined));
}

// Guards against quarantining a runner because callers set short timeouts.
TEST(RoutingTask, CallerTimeoutsDoNotQuarantineARunner)
{
  QuarantineFixture fixture;
  for (int i = 0; i < 8; ++i) {
    STRCMP_EQUAL("127.0.0.1:1",
                 fixture.SendAndFail(milliseconds(20), true).c_str());
  }
  LONGS_EQUAL(0, fixture.Log().Count(LogEvent::kRunnerQuarantined));
}
