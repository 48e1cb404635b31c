#include "cornelrudder/coordination/RoutingTask.h"

#include "RouteCounters.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/AdmissionPolicy.h"
#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/RequestRetry.h"
#include "cornelrudder/state/RunnerSelector.h"
#include "cornelrudder/state/RunnerTable.h"
#include "cornelrudder/state/ZoneSettings.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <algorithm>
#include <deque>
#include <set>

namespace cornelrudder::coordination {

namespace {

using state::AdmissionAction;
using state::AdmissionGrant;
using state::AdmissionItem;
using state::FailureReason;
using state::RequestId;
using state::RetryDecision;
using state::RunnerChange;
using state::RunOutcome;
using state::RunRequest;
using state::WasRun;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfter{ 1'000 };
constexpr std::string_view kDefaultRouting = "own_zone";
constexpr std::string_view kDefaultAdmission = "fair";

/** Indexed by RunnerChange; the entry of kNone is never logged. */
constexpr std::array kChangeEvents{ LogEvent::kRunnerResult,
                                    LogEvent::kRunnerLeaving,
                                    LogEvent::kRunnerQuarantined,
                                    LogEvent::kRunnerRecovered };

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
    , mRunners(mOptions.mSelf, mOptions.mSlotsPerRunner)
    , mAdmission(state::FindAdmissionPolicy(kDefaultAdmission))
    , mQueue(mAdmission->MakeQueue({}))
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const RunRequest& aRequest) { return Accept(aRequest); },
      [this](const RunAttemptCompleted& aCompleted) {
        FinishAttempt(aCompleted);
      },
      [this](const Tick&) { HandleTimer(); },
      [this](const state::VmList& aVms) {
        mRunners.Apply(aVms.WithRole(state::VmRole::kRunner));
        ServeWaitingRequests();
      },
      [this](const ActiveDaemonsView& aMembers) {
        mRunners.Apply(aMembers.mDaemons);
        ServeWaitingRequests();
      },
      [this](const state::SettingsSnapshot& aSettings) { Apply(aSettings); },
      [this](const GetCounters&) { return mCounters.ToCounters(); },
    };
  }

  /**
   * Destroys the pending promises, so that callers get an error even while a
   * port still holds a reference to the terminated actor.
   */
  void on_exit() override { mPending.clear(); }

private:
  /** State of a request until it is rejected or its last attempt completes. */
  struct Pending
  {
    RunRequest mRequest;
    caf::typed_response_promise<RunOutcome> mPromise;
    state::JobClass mClass;
    milliseconds mArrivedAt;
    milliseconds mDeadline;
    /** Set once the request is admitted. */
    std::optional<AdmissionGrant> mGrant;
    milliseconds mAdmittedAt{ 0 };
    /** Timeout of the current attempt. */
    milliseconds mAttemptTimeout{ 0 };
    /** Runners of all attempts; the current attempt's runner is last. */
    std::vector<state::VmId> mTriedRunners;
    bool mMayHaveRun = false;
    /** Whether the caller has its outcome although an attempt still runs. */
    bool mOutcomeDelivered = false;
  };

  milliseconds Now() const { return mOptions.mClock->Now(); }

  caf::result<RunOutcome> Accept(const RunRequest& aRequest)
  {
    auto promise = make_response_promise<RunOutcome>();
    const auto jobClass =
      mAdmissionSettings.AllClasses().find(aRequest.Class());
    if (jobClass == mAdmissionSettings.AllClasses().end()) {
      mCounters.CountUnknownClass();
      Reject(aRequest, promise, FailureReason::kUnknownClass);
      return promise;
    }
    if (!IsActiveTeam(mSettings, aRequest.Organisation(), aRequest.Team())) {
      ++mCounters.ForClass(aRequest.Class()).mRefused;
      Reject(aRequest, promise, FailureReason::kUnknownOrganisation);
      return promise;
    }
    const milliseconds now = Now();
    const state::JobClass& classSettings = jobClass->second;
    const milliseconds timeout =
      aRequest.Timeout().count() > 0
        ? aRequest.Timeout()
        : classSettings.MaxWait() + classSettings.Timeout();
    const AdmissionItem item(aRequest.Name(),
                             aRequest.Organisation(),
                             aRequest.Class(),
                             aRequest.Body().size(),
                             now + timeout);
    mPending.insert_or_assign(
      aRequest.Name(),
      Pending{
        aRequest, promise, classSettings, now, now + timeout, {}, {}, {}, {} });
    UpdateSlots();
    Offer(item);
    ScheduleTimer();
    return promise;
  }

  /** Rejects a request before it is added to the pending requests. */
  void Reject(const RunRequest& aRequest,
              caf::typed_response_promise<RunOutcome>& aPromise,
              FailureReason aReason)
  {
    const std::string reason(FailureReasonName(aReason));
    LogRefused(aRequest, reason, WasRun::kNo, reason);
    aPromise.deliver(
      RunOutcome::Failed(aReason, WasRun::kNo, kRetryAfter, reason));
  }

  void Offer(const AdmissionItem& aItem)
  {
    const state::AdmissionDecision decision = mQueue->Offer(aItem, Now());
    Pending& pending = mPending.at(aItem.Request());
    switch (decision.Kind()) {
      case AdmissionAction::kAdmit:
        StartFirstAttempt(*decision.Grant());
        break;
      case AdmissionAction::kQueue:
        mLog.Write(
          { LogEvent::kRequestQueued,
            { { "request", aItem.Request().Text() },
              { "organisation", aItem.Organisation().Text() },
              { "class", aItem.Class().Text() },
              { "waiting", std::to_string(mQueue->Waiting()) },
              { "estimated_ms", std::to_string(decision.Wait().count()) },
              { "policy", std::string(mAdmission->Name()) } } });
        break;
      case AdmissionAction::kReject:
        FailRequest(pending,
                    mQueue->Slots() > 0 ? FailureReason::kOverloaded
                                        : FailureReason::kNoCapacity,
                    decision.Wait(),
                    decision.Reason());
        mPending.erase(aItem.Request());
        break;
    }
  }

  /** Starts the first attempt of a request that the queue has admitted. */
  void StartFirstAttempt(const AdmissionGrant& aGrant)
  {
    Pending& pending = mPending.at(aGrant.Item().Request());
    pending.mGrant = aGrant;
    pending.mAdmittedAt = Now();
    ++mCounters.ForClass(pending.mRequest.Class()).mAdmitted;
    mBudget = mBudget.WithFirstAttempt();
    mDeadlines.emplace(pending.mDeadline, pending.mRequest.Name());
    if (!Dispatch(pending)) {
      FailRequest(pending,
                  FailureReason::kNoCapacity,
                  kRetryAfter,
                  "no runner has a free slot");
      Remove(pending);
    }
  }

  /**
   * A request with an idempotency key must not run twice: the intent task may
   * have recorded it as non-idempotent under newer settings of its class than
   * this task has.
   */
  static bool MayRunTwice(const Pending& aPending)
  {
    return aPending.mClass.Idempotent() &&
           aPending.mRequest.IdempotencyKey().empty();
  }

  /**
   * Sends the request to a runner that it has not tried yet.
   * @return Whether such a runner had a free slot.
   */
  bool Dispatch(Pending& aPending)
  {
    const milliseconds now = Now();
    const state::RunnerSelector& selector = CurrentSelector();
    const auto chosen = mRunners.Choose(selector,
                                        mOptions.mZone,
                                        aPending.mTriedRunners,
                                        MayRunTwice(aPending),
                                        now);
    if (!chosen) {
      return false;
    }
    const state::Vm& runner = mRunners.At(*chosen);
    const RunRequest& request = aPending.mRequest;
    LogRouted(aPending, runner, selector);
    mRunners.AcquireSlot(*chosen, now);
    aPending.mTriedRunners.push_back(runner.Name());
    aPending.mAttemptTimeout =
      std::min(aPending.mClass.Timeout(), aPending.mDeadline - now);
    mPort.Run({ runner.Address(),
                request.Name(),
                request.Class(),
                MayRunTwice(aPending),
                request.Body(),
                aPending.mAttemptTimeout },
              [self = caf::actor(this),
               id = request.Name(),
               name = runner.Name()](state::RunnerResult aResult) {
                caf::anon_send(
                  self, RunAttemptCompleted{ id, name, std::move(aResult) });
              });
    return true;
  }

  void FinishAttempt(const RunAttemptCompleted& aCompleted)
  {
    const auto it = mPending.find(aCompleted.mRequest);
    const bool current =
      it != mPending.end() && !it->second.mTriedRunners.empty() &&
      it->second.mTriedRunners.back() == aCompleted.mRunner &&
      !mParked.contains(aCompleted.mRequest);
    const state::RunnerResult& result = aCompleted.mResult;
    mLog.Write({ LogEvent::kRunnerResult,
                 { { "request", aCompleted.mRequest.Text() },
                   { "runner", aCompleted.mRunner.Text() },
                   { "result", std::string(RunnerStatusName(result.Status())) },
                   { "current", current ? "true" : "false" } } });
    if (!current) {
      return;
    }
    Pending& pending = it->second;
    UpdateRunner(pending, aCompleted);
    pending.mMayHaveRun = pending.mMayHaveRun || !result.CertainlyNotRun();
    if (result.Status() == state::RunnerStatus::kInvalidAnswer) {
      ++mCounters.ForClass(pending.mRequest.Class()).mMismatched;
    }
    if (result.Status() == state::RunnerStatus::kAnswered) {
      DeliverResponse(pending, result.Body());
      Remove(pending, true);
    } else {
      RetryOrFail(pending, result.Status());
    }
    ServeWaitingRequests();
  }

  void UpdateRunner(const Pending& aPending,
                    const RunAttemptCompleted& aCompleted)
  {
    const milliseconds now = Now();
    // A timeout that the caller set below the class's timeout does not count
    // as a failure of the runner.
    const bool isCallerTimeout =
      aPending.mAttemptTimeout < aPending.mClass.Timeout() &&
      now >= aPending.mDeadline;
    const RunnerChange change = mRunners.ReleaseSlot(aCompleted.mRunner,
                                                     aPending.mRequest.Class(),
                                                     aCompleted.mResult,
                                                     !isCallerTimeout,
                                                     now);
    if (change != RunnerChange::kNone) {
      mLog.Write({ kChangeEvents.at(static_cast<std::size_t>(change)),
                   { { "runner", aCompleted.mRunner.Text() },
                     { "request", aCompleted.mRequest.Text() } } });
    }
  }

  void DeliverResponse(Pending& aPending, const std::string& aBody)
  {
    if (aPending.mOutcomeDelivered) {
      return;
    }
    ClassCounts& counts = mCounters.ForClass(aPending.mRequest.Class());
    ++counts.mAnswered;
    counts.mLatency = counts.mLatency.WithSample(Now() - aPending.mArrivedAt);
    aPending.mPromise.deliver(RunOutcome::Answered(aBody));
  }

  void RetryOrFail(Pending& aPending, state::RunnerStatus aStatus)
  {
    if (aPending.mOutcomeDelivered) {
      Remove(aPending);
      return;
    }
    const milliseconds left = aPending.mDeadline - Now();
    RetryDecision decision =
      DecideRetry(aStatus, MayRunTwice(aPending), mBudget, left);
    const bool mayQueue = aPending.mClass.MaxWait().count() > 0;
    if (decision == RetryDecision::kRetry &&
        !mRunners.HasUntried(aPending.mTriedRunners)) {
      decision = RetryDecision::kNoOtherRunner;
    }
    if (decision == RetryDecision::kRetry && Dispatch(aPending)) {
      LogRetry(aPending, decision, aStatus);
      CountRetry(aPending);
      return;
    }
    if (decision == RetryDecision::kRetry && mayQueue) {
      // All untried runners are busy: the request keeps its admission grant and
      // waits until one of them has a free slot.
      LogRetry(aPending, decision, aStatus);
      mParked.insert(aPending.mRequest.Name());
      return;
    }
    if (decision == RetryDecision::kRetry) {
      decision = RetryDecision::kNoOtherRunner;
    }
    LogRetry(aPending, decision, aStatus);
    FailRequest(aPending,
                left.count() > 0 ? FailureReason::kEndpointFailed
                                 : FailureReason::kTimedOut,
                kRetryAfter,
                "the last attempt ended as " +
                  std::string(RunnerStatusName(aStatus)) + "; " +
                  std::string(RetryDecisionName(decision)));
    Remove(aPending);
  }

  void CountRetry(const Pending& aPending)
  {
    mBudget = mBudget.WithRetry();
    ++mCounters.ForClass(aPending.mRequest.Class()).mRetried;
  }

  /** Assigns free slots to parked retries, then to queued requests. */
  void ServeWaitingRequests()
  {
    FailExpired();
    RetryParkedRequests();
    UpdateSlots();
    while (const auto grant = mQueue->Next(Now())) {
      StartFirstAttempt(*grant);
      UpdateSlots();
    }
    ScheduleTimer();
  }

  /** Called before admission, since parked requests were admitted earlier. */
  void RetryParkedRequests()
  {
    const std::set<RequestId> parked = mParked;
    for (const RequestId& id : parked) {
      Pending& pending = mPending.at(id);
      const bool isExhausted = !mRunners.HasUntried(pending.mTriedRunners);
      if (!isExhausted && !mBudget.AllowsRetry()) {
        continue;
      }
      if (isExhausted) {
        mParked.erase(id);
        FailRequest(pending,
                    FailureReason::kEndpointFailed,
                    kRetryAfter,
                    "no other runner is usable");
        Remove(pending);
      } else if (Dispatch(pending)) {
        mParked.erase(id);
        CountRetry(pending);
      }
    }
  }

  /** Reserves one free slot for each parked retry. */
  void UpdateSlots()
  {
    const int parked = static_cast<int>(mParked.size());
    const int free = std::max(0, mRunners.FreeSlots() - parked);
    mQueue->SetSlots(mQueue->Running() + free);
  }

  void HandleTimer()
  {
    mTimerDueAt.reset();
    const milliseconds now = Now();
    while (!mDeadlines.empty() && mDeadlines.begin()->first <= now) {
      const RequestId id = mDeadlines.begin()->second;
      mDeadlines.erase(mDeadlines.begin());
      TimeOut(mPending.at(id));
    }
    ServeWaitingRequests();
  }

  void FailExpired()
  {
    const milliseconds now = Now();
    for (const AdmissionItem& item : mQueue->Expire(now)) {
      Pending& pending = mPending.at(item.Request());
      const bool isPastDeadline = pending.mDeadline <= now;
      FailRequest(
        pending,
        isPastDeadline ? FailureReason::kTimedOut : FailureReason::kOverloaded,
        kRetryAfter,
        isPastDeadline ? "the deadline passed in the queue"
                       : "the class's longest wait passed in the queue");
      mPending.erase(item.Request());
    }
  }

  /** Reports a passed deadline to the caller; an attempt may still run. */
  void TimeOut(Pending& aPending)
  {
    const bool parked = mParked.erase(aPending.mRequest.Name()) > 0;
    aPending.mMayHaveRun = aPending.mMayHaveRun || !parked;
    FailRequest(aPending,
                FailureReason::kTimedOut,
                kRetryAfter,
                parked ? "the deadline passed before a retry"
                       : "the deadline passed while an attempt ran");
    aPending.mOutcomeDelivered = true;
    if (parked) {
      Remove(aPending);
    }
  }

  /** Removes an admitted request of which no attempt is running. */
  void Remove(Pending& aPending, bool aAnswered = false)
  {
    mQueue->ReleaseSlot(
      *aPending.mGrant, Now() - aPending.mAdmittedAt, aAnswered);
    mDeadlines.erase({ aPending.mDeadline, aPending.mRequest.Name() });
    const RequestId id = aPending.mRequest.Name();
    mPending.erase(id);
  }

  void FailRequest(Pending& aPending,
                   FailureReason aReason,
                   milliseconds aRetryAfter,
                   const std::string& aDetail)
  {
    const WasRun ran = aPending.mMayHaveRun ? WasRun::kUnknown : WasRun::kNo;
    ClassCounts& counts = mCounters.ForClass(aPending.mRequest.Class());
    ++counts.mRefused;
    if (aPending.mGrant) {
      counts.mLatency = counts.mLatency.WithSample(Now() - aPending.mArrivedAt);
    }
    LogRefused(
      aPending.mRequest, std::string(FailureReasonName(aReason)), ran, aDetail);
    aPending.mPromise.deliver(
      RunOutcome::Failed(aReason, ran, aRetryAfter, aDetail));
  }

  /** Sends a delayed Tick unless one at least as early is already pending. */
  void ScheduleTimer()
  {
    std::optional<milliseconds> next = mQueue->NextExpiry();
    if (!mDeadlines.empty()) {
      const milliseconds deadline = mDeadlines.begin()->first;
      next = next ? std::min(*next, deadline) : deadline;
    }
    if (!next || (mTimerDueAt && *mTimerDueAt <= *next)) {
      return;
    }
    mTimerDueAt = next;
    delayed_send(this, std::max(milliseconds(0), *next - Now()), Tick{});
  }

  void Apply(const state::SettingsSnapshot& aSettings)
  {
    mSettings = aSettings;
    mAdmissionSettings = state::AdmissionSettings(aSettings);
    mRunners.Apply(EvacuationsOf(aSettings));
    for (const auto& [name, jobClass] : mAdmissionSettings.AllClasses()) {
      mKnownClasses.insert_or_assign(name, jobClass);
    }
    const std::string name = PolicySetting("admission", kDefaultAdmission);
    const state::AdmissionPolicy* policy = state::FindAdmissionPolicy(name);
    if (policy != nullptr && policy != mAdmission) {
      ChangePolicy(*policy);
    }
    mQueue->Apply(mAdmissionSettings);
    ServeWaitingRequests();
  }

  void ChangePolicy(const state::AdmissionPolicy& aPolicy)
  {
    mLog.Write({ LogEvent::kAdmissionChanged,
                 { { "from", std::string(mAdmission->Name()) },
                   { "to", std::string(aPolicy.Name()) },
                   { "waiting", std::to_string(mQueue->Waiting()) } } });
    mAdmission = &aPolicy;
    const std::vector<AdmissionItem> waiting = mQueue->RemoveWaiting();
    // Classes removed from the settings may still have pending requests.
    mQueue =
      aPolicy.MakeQueue({ mKnownClasses, mAdmissionSettings.AllWeights() });
    for (const auto& [id, pending] : mPending) {
      if (pending.mGrant) {
        mQueue->AddGrant(*pending.mGrant);
      }
    }
    for (const AdmissionItem& item : waiting) {
      UpdateSlots();
      Offer(item);
    }
  }

  std::string PolicySetting(std::string_view aKey,
                            std::string_view aDefault) const
  {
    const auto* document = mSettings.Find("policy");
    return document != nullptr ? document->TextOr(aKey, aDefault)
                               : std::string(aDefault);
  }

  const state::RunnerSelector& CurrentSelector() const
  {
    const state::RunnerSelector* selector =
      state::FindRunnerSelector(PolicySetting("routing", kDefaultRouting));
    return selector != nullptr ? *selector
                               : *state::AllRunnerSelectors().front();
  }

  void LogRouted(const Pending& aPending,
                 const state::Vm& aRunner,
                 const state::RunnerSelector& aSelector)
  {
    const RunRequest& request = aPending.mRequest;
    mLog.Write(
      { LogEvent::kRouted,
        { { "request", request.Name().Text() },
          { "organisation", request.Organisation().Text() },
          { "class", request.Class().Text() },
          { "runner", aRunner.Name().Text() },
          { "zone", aRunner.Location().Zone().Text() },
          { "attempt", std::to_string(aPending.mTriedRunners.size() + 1) },
          { "waited_ms",
            std::to_string(
              (aPending.mAdmittedAt - aPending.mArrivedAt).count()) },
          { "candidates", std::to_string(mRunners.Loads().size()) },
          { "policy", std::string(aSelector.Name()) } } });
  }

  void LogRefused(const RunRequest& aRequest,
                  const std::string& aReason,
                  WasRun aRan,
                  const std::string& aDetail)
  {
    mLog.Write({ LogEvent::kRouteRefused,
                 { { "request", aRequest.Name().Text() },
                   { "organisation", aRequest.Organisation().Text() },
                   { "class", aRequest.Class().Text() },
                   { "reason", aReason },
                   { "ran", std::string(WasRunName(aRan)) },
                   { "detail", aDetail } } });
  }

  void LogRetry(const Pending& aPending,
                RetryDecision aDecision,
                state::RunnerStatus aStatus)
  {
    mLog.Write({ LogEvent::kRetryDecided,
                 { { "request", aPending.mRequest.Name().Text() },
                   { "class", aPending.mRequest.Class().Text() },
                   { "decision", std::string(RetryDecisionName(aDecision)) },
                   { "result", std::string(RunnerStatusName(aStatus)) } } });
  }

  RunnerPort& mPort;
  EventLog& mLog;
  RoutingTaskOptions mOptions;
  state::RunnerTable mRunners;
  state::SettingsSnapshot mSettings;
  state::AdmissionSettings mAdmissionSettings;
  /** All classes of the current and earlier settings. */
  state::AdmissionSettings::Classes mKnownClasses;
  const state::AdmissionPolicy* mAdmission;
  std::unique_ptr<state::AdmissionQueue> mQueue;
  state::RequestRetryBudget mBudget;
  std::map<RequestId, Pending> mPending;
  /** Admitted requests that wait for a free slot on an untried runner. */
  std::set<RequestId> mParked;
  /** Deadlines of admitted requests whose outcome is not delivered yet. */
  std::set<std::pair<milliseconds, RequestId>> mDeadlines;
  std::optional<milliseconds> mTimerDueAt;
  RouteCounters mCounters;
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
