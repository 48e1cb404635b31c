#include "cornelrudder/coordination/RoutingTask.h"

#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/RunnerChoice.h"
#include "cornelrudder/state/SlotShare.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <algorithm>
#include <set>

namespace cornelrudder::coordination {

namespace {

using state::Ran;
using state::RefusalReason;
using state::RunOutcome;
using state::RunRequest;
using state::VmId;

constexpr std::chrono::milliseconds kRetryAfter{ 1'000 };
constexpr std::string_view kDefaultPolicy = "own_zone";

class RoutingTask : public caf::event_based_actor
{
public:
  RoutingTask(caf::actor_config& aConfig,
              RunnerPort& aPort,
              EventLog& aLog,
              RoutingTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mPort(aPort)
    , mLog(aLog)
    , mOptions(std::move(aOptions))
    , mDaemons{ mOptions.mSelf }
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const RunRequest& aRequest) { return Accept(aRequest); },
      [this](const RunFinished& aFinished) { Finish(aFinished); },
      [this](const state::VmList& aVms) {
        mRunners = aVms.WithRole(state::VmRole::kRunner);
      },
      [this](const MembersView& aMembers) { mDaemons = aMembers.mDaemons; },
      [this](const state::SettingsView& aSettings) { mSettings = aSettings; },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  struct Attempt
  {
    RunRequest mRequest;
    caf::typed_response_promise<RunOutcome> mPromise;
    std::vector<VmId> mTried;
  };

  caf::result<RunOutcome> Accept(const RunRequest& aRequest)
  {
    auto promise = make_response_promise<RunOutcome>();
    Attempt attempt{ aRequest, promise, {} };
    const auto jobClass = FindJobClass(mSettings, aRequest.Class());
    if (!jobClass) {
      Refuse(attempt, RefusalReason::kUnknownClass, Ran::kNo);
      return promise;
    }
    if (!IsActiveTeam(mSettings, aRequest.Organisation(), aRequest.Team())) {
      Refuse(attempt, RefusalReason::kUnknownOrganisation, Ran::kNo);
      return promise;
    }
    Dispatch(std::move(attempt), *jobClass);
    return promise;
  }

  void Dispatch(Attempt aAttempt, const state::JobClass& aClass)
  {
    const std::vector<state::RunnerLoad> loads = Loads();
    const state::RunnerChoice& policy = Policy();
    const auto chosen = policy.Choose(loads, mOptions.mZone, aAttempt.mTried);
    if (!chosen) {
      Refuse(aAttempt, RefusalReason::kNoCapacity, Ran::kNo);
      return;
    }
    const state::Vm& runner = mRunners.All()[*chosen];
    const RunRequest& request = aAttempt.mRequest;
    LogRouted(request, runner, policy);
    ++mInFlight[runner.Name()];
    ++mCounters["routed_total"];
    const auto timeout = request.Timeout().count() > 0
                           ? std::min(request.Timeout(), aClass.Timeout())
                           : aClass.Timeout();
    mPort.Run(
      { runner.Address(),
        request.Name(),
        request.Class(),
        aClass.Idempotent(),
        request.Body(),
        timeout },
      [self = caf::actor(this), id = request.Name(), name = runner.Name()](
        state::RunnerResult aResult) {
        caf::anon_send(self, RunFinished{ id, name, std::move(aResult) });
      });
    aAttempt.mTried.push_back(runner.Name());
    mAttempts.insert_or_assign(request.Name(), std::move(aAttempt));
  }

  void Finish(const RunFinished& aFinished)
  {
    --mInFlight[aFinished.mRunner];
    const state::RunnerResult& result = aFinished.mResult;
    mLog.Write(
      { LogEvent::kRunnerResult,
        { { "request", aFinished.mRequest.Text() },
          { "runner", aFinished.mRunner.Text() },
          { "result", std::string(RunnerStatusName(result.Status())) } } });
    const auto it = mAttempts.find(aFinished.mRequest);
    if (it == mAttempts.end()) {
      return;
    }
    Attempt attempt = std::move(it->second);
    mAttempts.erase(it);
    if (result.Status() == state::RunnerStatus::kAnswered) {
      ++mCounters["answered_total"];
      attempt.mPromise.deliver(RunOutcome::Answered(result.Body()));
      return;
    }
    const Ran ran = result.CertainlyNotRun() ? Ran::kNo : Ran::kUnknown;
    Refuse(attempt, RefusalReason::kEndpointFailed, ran);
  }

  void Refuse(Attempt& aAttempt, RefusalReason aReason, Ran aRan)
  {
    const RunRequest& request = aAttempt.mRequest;
    ++mCounters["refused_total"];
    mLog.Write({ LogEvent::kRouteRefused,
                 { { "request", request.Name().Text() },
                   { "organisation", request.Organisation().Text() },
                   { "class", request.Class().Text() },
                   { "reason", std::string(ReasonName(aReason)) },
                   { "ran", std::string(RanName(aRan)) } } });
    aAttempt.mPromise.deliver(RunOutcome::Refused(
      aReason, aRan, kRetryAfter, std::string(ReasonName(aReason))));
  }

  std::vector<state::RunnerLoad> Loads() const
  {
    std::vector<state::RunnerLoad> loads;
    for (const state::Vm& runner : mRunners.All()) {
      const auto it = mInFlight.find(runner.Name());
      const int slots = OwnSlots(
        runner.Name(), mOptions.mSlotsPerRunner, mDaemons, mOptions.mSelf);
      loads.emplace_back(runner.Name(),
                         runner.Where().Zone(),
                         slots,
                         it != mInFlight.end() ? it->second : 0,
                         runner.State() == state::VmState::kLive);
    }
    return loads;
  }

  const state::RunnerChoice& Policy() const
  {
    const auto* document = mSettings.Find("policy");
    const std::string name = document != nullptr
                               ? document->TextOr("routing", kDefaultPolicy)
                               : std::string(kDefaultPolicy);
    const state::RunnerChoice* policy = state::FindRunnerChoice(name);
    return policy != nullptr ? *policy : *state::AllRunnerChoices().front();
  }

  void LogRouted(const RunRequest& aRequest,
                 const state::Vm& aRunner,
                 const state::RunnerChoice& aPolicy)
  {
    mLog.Write({ LogEvent::kRouted,
                 { { "request", aRequest.Name().Text() },
                   { "organisation", aRequest.Organisation().Text() },
                   { "class", aRequest.Class().Text() },
                   { "runner", aRunner.Name().Text() },
                   { "zone", aRunner.Where().Zone().Text() },
                   { "candidates", std::to_string(mRunners.All().size()) },
                   { "policy", std::string(aPolicy.Name()) } } });
  }

  RunnerPort& mPort;
  EventLog& mLog;
  RoutingTaskOptions mOptions;
  std::vector<VmId> mDaemons;
  state::VmList mRunners;
  state::SettingsView mSettings;
  std::map<VmId, int> mInFlight;
  std::map<state::RequestId, Attempt> mAttempts;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnRoutingTask(caf::actor_system& aSystem,
                 RunnerPort& aPort,
                 EventLog& aLog,
                 RoutingTaskOptions aOptions)
{
  return aSystem.spawn<RoutingTask>(
    std::ref(aPort), std::ref(aLog), std::move(aOptions));
}

} // namespace cornelrudder::coordination
