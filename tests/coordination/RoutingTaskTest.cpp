#include "cornelrudder/coordination/RoutingTask.h"
#include "cornelrudder/coordination/Messages.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

using namespace cornelrudder;
using namespace cornelrudder::coordination;

namespace {

class NullLog final : public EventLog
{
public:
  void Write(const LogRecord& /*aRecord*/) override {}
};

/** Answers each dispatch at once with the same result. */
class FakeRunners final : public RunnerPort
{
public:
  explicit FakeRunners(state::RunnerResult aResult)
    : mResult(std::move(aResult))
  {
  }

  void Run(const state::RunDispatch& /*aDispatch*/,
           Completion aCompletion) override
  {
    aCompletion(mResult);
  }

private:
  state::RunnerResult mResult;
};

state::SettingsView
Settings()
{
  const state::SettingValues values{ { "idempotent", false },
                                     { "max_wait_ms", std::int64_t{ 0 } },
                                     { "timeout_ms", std::int64_t{ 500 } } };
  auto view =
    *state::SettingsView().WithDocument({ "organisations/acme", 1, {}, {} });
  view = *view.WithDocument({ "organisations/acme/teams/night", 1, {}, {} });
  return *view.WithDocument({ "classes/kerf", 1, values, {} });
}

state::VmList
Runners()
{
  const state::Location place(
    state::RegionId("r"), state::ZoneId("z"), state::RackId("k"));
  return state::VmList({ state::Vm(state::VmId("runner-1"),
                                   state::VmRole::kRunner,
                                   "127.0.0.1:1",
                                   place,
                                   0,
                                   state::VmState::kLive) });
}

/** Runs one request through a routing task with this runner. */
state::RunOutcome
RunOne(state::RunnerResult aResult)
{
  NullLog log;
  FakeRunners runners(std::move(aResult));
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  state::RunOutcome outcome = state::RunOutcome::Answered("");
  {
    caf::scoped_actor self(system);
    const caf::actor task = SpawnRoutingTask(
      system, runners, log, { state::VmId("e1"), state::ZoneId("z") });
    self->send(task, Settings());
    self->send(task, Runners());
    const state::RunRequest request(state::RequestId("r1"),
                                    state::OrganisationId("acme"),
                                    state::TeamId("night"),
                                    state::ClassName("kerf"),
                                    "",
                                    "body",
                                    std::chrono::milliseconds(0));
    self->request(task, caf::infinite, request)
      .receive(
        [&outcome](const state::RunOutcome& aOutcome) { outcome = aOutcome; },
        [](const caf::error&) { FAIL("no outcome"); });
    self->send_exit(task, caf::exit_reason::user_shutdown);
  }
  return outcome;
}

} // namespace

TEST_GROUP(RoutingTask){};

// Guards against saying "not run" when bytes had left for the runner.
TEST(RoutingTask, BrokenExchangeIsUnknown)
{
  const auto outcome = RunOne({ state::RunnerStatus::kBroken, false, "" });
  CHECK_FALSE(outcome.IsAnswer());
  CHECK(outcome.HasRun() == state::Ran::kUnknown);
}

TEST(RoutingTask, AnswerIsPassedOn)
{
  const auto outcome = RunOne({ state::RunnerStatus::kAnswered, false, "x" });
  CHECK(outcome.IsAnswer());
  STRCMP_EQUAL("x", outcome.Text().c_str());
}
