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
constexpr std::chrono::seconds kGenerous{ 30 };

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
    const bool there = mChanged.wait_for(
      lock, kGenerous, [&] { return mValues.size() > aIndex; });
    if (!there) {
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

struct Call
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

  Collected<Call>& Calls() { return mCalls; }

  void Complete(std::size_t aIndex,
                RunnerStatus aStatus,
                const std::string& aBody = "",
                bool aLeaving = false)
  {
    mCalls.At(aIndex).mComplete({ aStatus, aLeaving, aBody });
  }

private:
  Collected<Call> mCalls;
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
  state::SettingsSnapshot view;
  for (const auto& document : documents) {
    view = *view.WithDocument(document);
  }
  return view;
}

state::VmList
Runners(int aCount)
{
  const state::VmLocation place(
    state::RegionId("r"), state::ZoneId("z"), state::RackId("k"));
  std::vector<state::Vm> vms;
  for (int i = 1; i <= aCount; ++i) {
    vms.emplace_back(state::VmId("runner-" + std::to_string(i)),
                     state::VmRole::kRunner,
                     "127.0.0.1:" + std::to_string(i),
                     place,
                     0,
                     state::VmState::kLive);
  }
  return state::VmList(std::move(vms));
}

/** A routing task with runners that the test controls. */
class Bench
{
public:
  Bench(int aRunners, int aSlots, const state::SettingsSnapshot& aSettings)
    : mSystem(Configured(mConfig))
    , mTask(SpawnRoutingTask(mSystem,
                             mRunners,
                             mLog,
                             { state::VmId("e1"), state::ZoneId("z"), aSlots }))
  {
    caf::anon_send(mTask, aSettings);
    caf::anon_send(mTask, Runners(aRunners));
  }

  Bench(int aRunners, int aSlots)
    : Bench(aRunners, aSlots, Settings())
  {
  }

  ~Bench() { caf::anon_send_exit(mTask, caf::exit_reason::user_shutdown); }

  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  template<typename Message>
  void Tell(const Message& aMessage)
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
    Settle();
    return outcome;
  }

  Counters Count()
  {
    Counters counters;
    caf::scoped_actor self(mSystem);
    self->request(mTask, kGenerous, GetCounters{})
      .receive([&counters](const Counters& aCounters) { counters = aCounters; },
               [](const caf::error&) {
                 FAIL("the routing task did not return its counters");
               });
    return counters;
  }

  /** Waits until the task has logged a decision on each request. */
  void Settle()
  {
    for (int i = 0; i < 30'000; ++i) {
      const std::size_t seen = mLog.Count(LogEvent::kRouted) +
                               mLog.Count(LogEvent::kRequestQueued) +
                               mLog.Count(LogEvent::kRouteRefused);
      if (seen >= static_cast<std::size_t>(mRequests)) {
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
CheckRefused(const state::RunOutcome& aOutcome,
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

TEST(RoutingTask, AnswerIsPassedOn)
{
  Bench bench(1, 1);
  const auto outcome = bench.Request("kerf");
  bench.Port().Complete(0, RunnerStatus::kAnswered, "x");
  CHECK(outcome->At(0).IsAnswer());
  STRCMP_EQUAL("x", outcome->At(0).Text().c_str());
}

// Guards against reporting "not run" after bytes were sent to a runner, and
// against running a non-idempotent request twice.
TEST(RoutingTask, BrokenExchangeOfNonIdempotentRequestIsUnknown)
{
  for (const RunnerStatus status : { RunnerStatus::kConnectionLost,
                                     RunnerStatus::kInvalidAnswer,
                                     RunnerStatus::kFailed }) {
    Bench bench(2, 1);
    const auto outcome = bench.Request("kerf");
    bench.Port().Complete(0, status);
    CheckRefused(outcome->At(0),
                 state::FailureReason::kEndpointFailed,
                 state::WasRun::kUnknown);
    LONGS_EQUAL(1, bench.Port().Calls().Size());
  }
}

// Guards against running a request twice that was recorded as non-idempotent
// while this task still had older settings of its class.
TEST(RoutingTask, RequestWithKeyIsNotRepeated)
{
  Bench bench(2, 1);
  const auto outcome = bench.Request("proof", "acme", milliseconds(0), "key-1");
  bench.Port().Complete(0, RunnerStatus::kConnectionLost);
  CheckRefused(outcome->At(0),
               state::FailureReason::kEndpointFailed,
               state::WasRun::kUnknown);
  LONGS_EQUAL(1, bench.Port().Calls().Size());
}

// Guards against failing a request that did not run although another runner is
// free.
TEST(RoutingTask, RequestThatDidNotStartIsRetriedElsewhere)
{
  for (const RunnerStatus status :
       { RunnerStatus::kNotStarted, RunnerStatus::kNotSent }) {
    Bench bench(2, 1);
    const auto outcome = bench.Request("kerf");
    bench.Port().Complete(0, status);
    const Call second = bench.Port().Calls().At(1);
    CHECK(second.mDispatch.Address() !=
          bench.Port().Calls().At(0).mDispatch.Address());
    bench.Port().Complete(1, RunnerStatus::kAnswered, "x");
    CHECK(outcome->At(0).IsAnswer());
    LONGS_EQUAL(1, bench.Log().Count(LogEvent::kRetryDecided));
  }
}

// Guards against returning the response of another request or a truncated one,
// and against failing an idempotent request instead of retrying it.
TEST(RoutingTask, CrossedAndTruncatedAnswersAreRetried)
{
  for (const RunnerStatus status : { RunnerStatus::kInvalidAnswer,
                                     RunnerStatus::kConnectionLost,
                                     RunnerStatus::kFailed }) {
    Bench bench(2, 1);
    const auto outcome = bench.Request("proof");
    bench.Port().Complete(0, status, "another's answer");
    bench.Port().Complete(1, RunnerStatus::kAnswered, "own");
    STRCMP_EQUAL("own", outcome->At(0).Text().c_str());
    const Counters counters = bench.Count();
    LONGS_EQUAL(1, counters.at("retried_total{class=\"proof\"}"));
    LONGS_EQUAL(status == RunnerStatus::kInvalidAnswer ? 1 : 0,
                counters.at("mismatched_total{class=\"proof\"}"));
  }
}

// Guards against reporting "not run" when only the last of two attempts
// certainly did not run.
TEST(RoutingTask, AnEarlierAttemptKeepsTheOutcomeUnknown)
{
  Bench bench(2, 1);
  const auto outcome = bench.Request("proof");
  bench.Port().Complete(0, RunnerStatus::kConnectionLost);
  bench.Port().Complete(1, RunnerStatus::kNotStarted);
  CheckRefused(outcome->At(0),
               state::FailureReason::kEndpointFailed,
               state::WasRun::kUnknown);
}

// Guards against an endless wait when no untried runner is left.
TEST(RoutingTask, NoOtherRunnerEndsTheRetries)
{
  Bench bench(1, 4);
  const auto outcome = bench.Request("nesting");
  bench.Port().Complete(0, RunnerStatus::kNotStarted);
  CheckRefused(
    outcome->At(0), state::FailureReason::kEndpointFailed, state::WasRun::kNo);
}

// Guards against failing a retry because all untried runners are busy.
TEST(RoutingTask, RetryWaitsForABusyRunner)
{
  Bench bench(2, 1);
  const auto first = bench.Request("nesting");
  const auto second = bench.Request("nesting");
  bench.Port().Complete(0, RunnerStatus::kFailed);
  bench.Port().Complete(1, RunnerStatus::kAnswered, "2");
  STRCMP_EQUAL("2", second->At(0).Text().c_str());
  CHECK(bench.Port().Calls().At(2).mDispatch.Address() ==
        bench.Port().Calls().At(1).mDispatch.Address());
  bench.Port().Complete(2, RunnerStatus::kAnswered, "1");
  STRCMP_EQUAL("1", first->At(0).Text().c_str());
}

// Guards against a caller that waits beyond its deadline, a second outcome
// after it, and a slot that is not released.
TEST(RoutingTask, LateAnswerIsUnknownAndGivesTheSlotBack)
{
  Bench bench(1, 1);
  const auto late = bench.Request("nesting", "acme", milliseconds(50));
  CheckRefused(
    late->At(0), state::FailureReason::kTimedOut, state::WasRun::kUnknown);
  const auto next = bench.Request("nesting");
  LONGS_EQUAL(1, bench.Port().Calls().Size());
  bench.Port().Complete(0, RunnerStatus::kAnswered, "late");
  bench.Port().Complete(1, RunnerStatus::kAnswered, "next");
  STRCMP_EQUAL("next", next->At(0).Text().c_str());
  LONGS_EQUAL(1, late->Size());
}

// Guards against reporting "unknown" for a request that was never dispatched.
TEST(RoutingTask, TimeoutInTheQueueIsNotRun)
{
  Bench bench(1, 1);
  const auto running = bench.Request("nesting");
  const auto waiting = bench.Request("nesting", "acme", milliseconds(50));
  CheckRefused(
    waiting->At(0), state::FailureReason::kTimedOut, state::WasRun::kNo);
  LONGS_EQUAL(1, bench.Port().Calls().Size());
  LONGS_EQUAL(0, running->Size());
}

// Guards against queueing a request whose class does not allow a wait.
TEST(RoutingTask, AllRunnersBusy)
{
  Bench bench(2, 1);
  const auto a = bench.Request("proof");
  const auto b = bench.Request("proof");
  const auto refused = bench.Request("proof");
  CheckRefused(
    refused->At(0), state::FailureReason::kOverloaded, state::WasRun::kNo);
  CHECK(refused->At(0).RetryAfter().count() > 0);
  const auto queued = bench.Request("nesting");
  LONGS_EQUAL(2, bench.Port().Calls().Size());
  bench.Port().Complete(0, RunnerStatus::kAnswered, "a");
  bench.Port().Complete(2, RunnerStatus::kAnswered, "queued");
  STRCMP_EQUAL("queued", queued->At(0).Text().c_str());
  const Counters counters = bench.Count();
  LONGS_EQUAL(2, counters.at("admitted_total{class=\"proof\"}"));
  LONGS_EQUAL(1, counters.at("refused_total{class=\"proof\"}"));
  LONGS_EQUAL(1, counters.at("latency_ms_count{class=\"nesting\"}"));
}

// Guards against reporting "overloaded" when no runner exists.
TEST(RoutingTask, NoRunnerIsNoCapacity)
{
  Bench bench(0, 1);
  CheckRefused(bench.Request("proof")->At(0),
               state::FailureReason::kNoCapacity,
               state::WasRun::kNo);
}

// Guards against dispatching to a runner that has announced its shutdown while
// the VM list still shows it as live.
TEST(RoutingTask, LeavingRunnerGetsNothingMore)
{
  Bench bench(2, 2);
  const auto first = bench.Request("proof");
  const std::string leaving = bench.Port().Calls().At(0).mDispatch.Address();
  bench.Port().Complete(0, RunnerStatus::kAnswered, "x", true);
  CHECK(first->At(0).IsAnswer());
  bench.Tell(Runners(2));
  for (std::size_t i = 1; i <= 2; ++i) {
    bench.Request("proof");
    CHECK(bench.Port().Calls().At(i).mDispatch.Address() != leaving);
  }
  CheckRefused(bench.Request("proof")->At(0),
               state::FailureReason::kOverloaded,
               state::WasRun::kNo);
  LONGS_EQUAL(1, bench.Log().Count(LogEvent::kRunnerLeaving));
}

// Guards against leaving the slots of a departed daemon unused.
TEST(RoutingTask, MembershipChangeServesWaitingRequests)
{
  Bench bench(1, 1);
  std::vector<state::VmId> daemons{ state::VmId("e1") };
  for (int i = 2; i < 200; ++i) {
    daemons.emplace_back("e" + std::to_string(i));
  }
  bench.Tell(ActiveDaemonsView{ daemons });
  const auto outcome = bench.Request("nesting");
  LONGS_EQUAL(0, bench.Port().Calls().Size());
  bench.Tell(ActiveDaemonsView{ { state::VmId("e1") } });
  bench.Port().Complete(0, RunnerStatus::kAnswered, "x");
  CHECK(outcome->At(0).IsAnswer());
}

// Guards against an organisation that waits behind the backlog of another.
TEST(RoutingTask, FloodOfOneOrganisationDoesNotDelayTheOther)
{
  Bench bench(2, 2);
  for (int i = 0; i < 100; ++i) {
    bench.Request("nesting", "acme");
  }
  const auto small = bench.Request("nesting", "bolt");
  // One slot is reserved for each of the two classes that never queue.
  LONGS_EQUAL(2, bench.Port().Calls().Size());
  bench.Port().Complete(0, RunnerStatus::kAnswered, "x");
  bench.Port().Complete(2, RunnerStatus::kAnswered, "small");
  STRCMP_EQUAL("small", small->At(0).Text().c_str());
}

// Guards against losing waiting requests when the admission policy changes,
// and against a policy setting without effect.
TEST(RoutingTask, PolicyIsReadFromTheSettings)
{
  Bench bench(1, 1, Settings("fifo"));
  bench.Request("nesting", "acme");
  bench.Request("nesting", "acme");
  const auto small = bench.Request("nesting", "bolt");
  bench.Port().Complete(0, RunnerStatus::kAnswered, "x");
  bench.Port().Calls().At(1);
  state::SettingsSnapshot settings = Settings("fifo");
  settings = *settings.WithDocument(
    { "policy", 2, { { "admission", std::string("fair") } }, {} });
  bench.Request("nesting", "acme");
  bench.Tell(settings);
  bench.Port().Complete(1, RunnerStatus::kAnswered, "x");
  bench.Port().Complete(2, RunnerStatus::kAnswered, "small");
  STRCMP_EQUAL("small", small->At(0).Text().c_str());
  LONGS_EQUAL(2, bench.Log().Count(LogEvent::kAdmissionChanged));
}

// Guards against releasing a slot twice after a duplicate completion.
TEST(RoutingTask, SecondCompletionIsIgnored)
{
  Bench bench(1, 1);
  const auto first = bench.Request("nesting");
  bench.Port().Complete(0, RunnerStatus::kAnswered, "1");
  first->At(0);
  bench.Request("nesting");
  bench.Port().Calls().At(1);
  bench.Port().Complete(0, RunnerStatus::kAnswered, "1");
  bench.Request("nesting");
  bench.Count();
  LONGS_EQUAL(2, bench.Port().Calls().Size());
  LONGS_EQUAL(1, first->Size());
}

namespace {

/** Lets the class succeed on runner-2; further requests go to runner-1. */
class QuarantineBench
{
public:
  QuarantineBench()
    : mBench(2, 8)
  {
    const auto first = mBench.Request("kerf");
    const auto second = mBench.Request("kerf");
    mBench.Port().Complete(0, RunnerStatus::kAnswered);
    mBench.Port().Complete(1, RunnerStatus::kAnswered);
    first->At(0);
    second->At(0);
  }

  /**
   * Sends a request and fails its attempt.
   * @param aLate Whether the attempt fails after the caller's deadline.
   * @return Address of the runner that got the request.
   */
  std::string SendAndFail(milliseconds aTimeout, bool aLate)
  {
    const auto outcome = mBench.Request("kerf", "acme", aTimeout);
    const std::string address =
      mBench.Port().Calls().At(mNext).mDispatch.Address();
    if (aLate) {
      outcome->At(0);
    }
    mBench.Port().Complete(mNext++, RunnerStatus::kConnectionLost);
    outcome->At(0);
    mBench.Count();
    return address;
  }

  CollectingLog& Log() { return mBench.Log(); }

private:
  Bench mBench;
  std::size_t mNext = 2;
};

} // namespace

// Guards against a runner that attracts requests because it fails them fast.
TEST(RoutingTask, FailingRunnerIsQuarantined)
{
  QuarantineBench bench;
  for (int i = 0; i < 4; ++i) {
    STRCMP_EQUAL("127.0.0.1:1",
                 bench.SendAndFail(milliseconds(0), false).c_str());
  }
  STRCMP_EQUAL("127.0.0.1:2",
               bench.SendAndFail(milliseconds(0), false).c_str());
  LONGS_EQUAL(1, bench.Log().Count(LogEvent::kRunnerQuarantined));
}

// Guards against quarantining a runner because callers set short timeouts.
TEST(RoutingTask, ShortDeadlinesDoNotCountAgainstARunner)
{
  QuarantineBench bench;
  for (int i = 0; i < 8; ++i) {
    STRCMP_EQUAL("127.0.0.1:1",
                 bench.SendAndFail(milliseconds(20), true).c_str());
  }
  LONGS_EQUAL(0, bench.Log().Count(LogEvent::kRunnerQuarantined));
}
