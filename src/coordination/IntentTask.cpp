#include "cornelrudder/coordination/IntentTask.h"

#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/Intent.h"
#include "cornelrudder/state/JobClass.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <memory>
#include <optional>

namespace cornelrudder::coordination {

namespace {

using state::FailureReason;
using state::Intent;
using state::IntentAction;
using state::RunOutcome;
using state::RunRequest;
using state::StoreResult;
using state::StoreStatus;
using state::Transaction;
using state::VersionedIntent;
using state::WasRun;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfter{ 1'000 };

/**
 * Limit on claims for one request. Another claim is made when the row found
 * belongs to an attempt that did not run.
 */
constexpr int kMaxClaims = 5;

/**
 * Limit on outcomes that are not yet written to the store. If a write fails
 * while more are pending, its outcome is dropped and its row, if it exists,
 * stays in state dispatched. The response bodies of at most 256 KiB add up to
 * 64 MiB; each is kept twice, in the intent and in the encoded row.
 */
constexpr std::size_t kMaxPendingOutcomeWrites = 256;

class IntentTask : public caf::event_based_actor
{
public:
  IntentTask(caf::actor_config& aConfig,
             caf::actor aStore,
             caf::actor aRouting,
             const RowCodec& aCodec,
             const Clock& aClock,
             EventLog& aLog,
             WriteIdGenerator aWriteIds,
             IntentTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mStore(std::move(aStore))
    , mRouting(std::move(aRouting))
    , mCodec(aCodec)
    , mClock(aClock)
    , mLog(aLog)
    , mWriteIds(std::move(aWriteIds))
    , mOptions(std::move(aOptions))
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const RunRequest& aRequest) { return Accept(aRequest); },
      [this](const state::SettingsSnapshot& aSettings) {
        mSettings = aSettings;
      },
      [this](const RetryIntentRecord& aRetry) {
        RetryOutcomeWrite(aRetry.mAttempt);
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  /** A request from its arrival until its caller has the outcome. */
  struct Call
  {
    const RunRequest mRequest;
    const std::string mKey;
    const std::string mDigest;
    caf::typed_response_promise<RunOutcome> mPromise;
    milliseconds mAcceptedAt;
    int mClaims = 0;
  };

  using CallPtr = std::shared_ptr<Call>;

  /** The outcome or revocation of an attempt, not yet written to its row. */
  struct OutcomeWrite
  {
    Intent mIntent;
    Transaction mTransaction;
    std::string mKey;
    /** Call that waits for the first write; null afterwards, or if revoked. */
    CallPtr mCall;
    std::optional<RunOutcome> mOutcome;
  };

  caf::result<RunOutcome> Accept(const RunRequest& aRequest)
  {
    const auto jobClass = FindJobClass(mSettings, aRequest.Class());
    if (jobClass && jobClass->Idempotent()) {
      auto promise = make_response_promise<RunOutcome>();
      promise.delegate(mRouting, aRequest);
      return promise;
    }
    auto promise = make_response_promise<RunOutcome>();
    const auto call =
      std::make_shared<Call>(Call{ aRequest,
                                   state::IntentRowKey(aRequest),
                                   state::RequestDigest(aRequest),
                                   promise,
                                   mClock.Now() });
    // Requests of an unknown class or team are rejected here: the routing
    // task may have newer settings and would run them without an intent.
    if (!jobClass) {
      Reject(*call, FailureReason::kUnknownClass, milliseconds(0));
    } else if (!IsActiveTeam(
                 mSettings, aRequest.Organisation(), aRequest.Team())) {
      Reject(*call, FailureReason::kUnknownOrganisation, milliseconds(0));
    } else if (aRequest.IdempotencyKey().empty()) {
      Reject(*call, FailureReason::kKeyRequired, milliseconds(0));
    } else if (!ReplyFromMemory(*call)) {
      mCalls.emplace(call->mKey, call);
      Claim(call, 0);
    }
    return promise;
  }

  /**
   * Replies to a repeat of a request that this task is still processing.
   * @return Whether the request was such a repeat.
   */
  bool ReplyFromMemory(Call& aCall)
  {
    const auto known = FindInMemory(aCall.mKey);
    if (!known) {
      return false;
    }
    const RunOutcome outcome =
      *state::DecideAfterRepeat({ *known, 0 }, aCall.mDigest).Outcome();
    LogWithoutDispatch(aCall, outcome);
    DeliverOutcome(aCall, outcome);
    return true;
  }

  /**
   * @return The intent of a request that is running or whose response is not
   *   recorded yet.
   */
  std::optional<Intent> FindInMemory(const std::string& aKey) const
  {
    const auto running = mCalls.find(aKey);
    if (running != mCalls.end()) {
      return NewIntent(*running->second, "");
    }
    for (const auto& [attempt, write] : mOutcomeWrites) {
      if (write.mKey == aKey &&
          write.mIntent.State() == state::IntentState::kDone) {
        return write.mIntent;
      }
    }
    return std::nullopt;
  }

  Intent NewIntent(const Call& aCall, const std::string& aAttempt) const
  {
    return { aCall.mDigest,
             mOptions.mIncarnation,
             aAttempt,
             state::IntentState::kDispatched,
             std::nullopt };
  }

  /** Runs a transaction; an error of the store task is an unknown outcome. */
  template<typename Handler>
  void WriteToStore(const Transaction& aWrite, Handler aHandler)
  {
    request(mStore, caf::infinite, aWrite)
      .then([aHandler](const StoreResult& aResult) { aHandler(aResult); },
            [aHandler](const caf::error&) {
              aHandler(StoreResult(StoreStatus::kOutcomeUnknown, {}));
            });
  }

  void Claim(const CallPtr& aCall, std::uint64_t aVersion)
  {
    ++aCall->mClaims;
    const std::string attempt = mWriteIds.Next();
    const Intent intent = NewIntent(*aCall, attempt);
    WriteToStore(
      Transaction(attempt,
                  { { aCall->mKey, aVersion, mCodec.EncodeIntent(intent) } }),
      [this, aCall, intent, aVersion](const StoreResult& aResult) {
        HandleClaimResult(aCall, intent, aVersion, aResult);
      });
  }

  void HandleClaimResult(const CallPtr& aCall,
                         const Intent& aIntent,
                         std::uint64_t aVersion,
                         const StoreResult& aResult)
  {
    const auto found = aResult.Status() != StoreStatus::kOk
                         ? Decode(aCall->mKey, aResult)
                         : std::nullopt;
    const IntentAction action =
      DecideAfterClaim(aIntent, aVersion, aResult.Status(), found);
    switch (action.Type()) {
      case IntentAction::Kind::kDispatch:
        ++mCounters["intent_claimed_total"];
        Dispatch(aCall, aIntent, aVersion + 1);
        return;
      case IntentAction::Kind::kClaim:
        if (aCall->mClaims < kMaxClaims) {
          Claim(aCall, action.Version());
        } else {
          Reject(*aCall, FailureReason::kOverloaded, kRetryAfter);
          mCalls.erase(aCall->mKey);
        }
        return;
      case IntentAction::Kind::kAnswer:
        LogWithoutDispatch(*aCall, *action.Outcome());
        break;
      case IntentAction::Kind::kAnswerAndRevoke:
        ++mCounters["intent_revoked_total"];
        mLog.Write({ LogEvent::kIntentRevoked, { { "key", aCall->mKey } } });
        AddOutcomeWrite(aCall->mKey, aIntent.AsNotRun(), aVersion, nullptr, {});
        break;
    }
    mCalls.erase(aCall->mKey);
    DeliverOutcome(*aCall, *action.Outcome());
  }

  std::optional<VersionedIntent> Decode(const std::string& aKey,
                                        const StoreResult& aResult)
  {
    if (aResult.Rows().empty() || aResult.Rows().front().Version() == 0) {
      return std::nullopt;
    }
    const state::StoreRow& row = aResult.Rows().front();
    try {
      return VersionedIntent{ mCodec.DecodeIntent(row.Value()), row.Version() };
    } catch (const CoordinationError& error) {
      ++mCounters["rows_malformed_total"];
      mLog.Write({ LogEvent::kRowMalformed,
                   { { "key", aKey }, { "error", error.what() } } });
      return std::nullopt;
    }
  }

  void Dispatch(const CallPtr& aCall,
                const Intent& aIntent,
                std::uint64_t aVersion)
  {
    const auto remaining = RemainingTime(*aCall);
    if (!remaining) {
      HandleRunOutcome(
        aCall,
        aIntent,
        aVersion,
        RunOutcome::Failed(FailureReason::kTimedOut,
                           WasRun::kNo,
                           kRetryAfter,
                           "the deadline passed before dispatch"));
      return;
    }
    const RunRequest& original = aCall->mRequest;
    const RunRequest dispatched(original.Name(),
                                original.Organisation(),
                                original.Team(),
                                original.Class(),
                                original.IdempotencyKey(),
                                original.Body(),
                                *remaining);
    request(mRouting, caf::infinite, dispatched)
      .then(
        [this, aCall, aIntent, aVersion](const RunOutcome& aOutcome) {
          HandleRunOutcome(aCall, aIntent, aVersion, aOutcome);
        },
        [this, aCall, aIntent, aVersion](const caf::error&) {
          HandleRunOutcome(aCall,
                           aIntent,
                           aVersion,
                           RunOutcome::Failed(FailureReason::kEndpointFailed,
                                              WasRun::kUnknown,
                                              milliseconds(0),
                                              "the routing task failed"));
        });
  }

  /**
   * @return Time left until the caller's deadline, 0 if the caller set no
   *   timeout, nothing if the deadline has passed.
   */
  std::optional<milliseconds> RemainingTime(const Call& aCall) const
  {
    const milliseconds timeout = aCall.mRequest.Timeout();
    if (timeout.count() == 0) {
      return timeout;
    }
    const milliseconds remaining = timeout - (mClock.Now() - aCall.mAcceptedAt);
    return remaining.count() > 0 ? std::optional(remaining) : std::nullopt;
  }

  void HandleRunOutcome(const CallPtr& aCall,
                        const Intent& aIntent,
                        std::uint64_t aVersion,
                        const RunOutcome& aOutcome)
  {
    const auto next = aIntent.WithOutcome(aOutcome);
    if (!next) {
      ++mCounters["intent_unknown_total"];
      mLog.Write({ LogEvent::kIntentUnknown,
                   { { "request", aCall->mRequest.Name().Text() },
                     { "key", aCall->mKey } } });
      mCalls.erase(aCall->mKey);
      DeliverOutcome(*aCall, aOutcome);
      return;
    }
    AddOutcomeWrite(aCall->mKey, *next, aVersion, aCall, aOutcome);
  }

  /**
   * Writes the outcome or the revocation of an attempt and retries after a
   * failure. Each retry reuses the write id, so that a write that took effect
   * late is recognised.
   */
  void AddOutcomeWrite(const std::string& aKey,
                       const Intent& aIntent,
                       std::uint64_t aVersion,
                       const CallPtr& aCall,
                       const std::optional<RunOutcome>& aOutcome)
  {
    mOutcomeWrites.insert_or_assign(
      aIntent.Attempt(),
      OutcomeWrite{ aIntent,
                    MakeOutcomeTransaction(aKey, aIntent, aVersion),
                    aKey,
                    aCall,
                    aOutcome });
    SendOutcomeWrite(aIntent.Attempt());
  }

  Transaction MakeOutcomeTransaction(const std::string& aKey,
                                     const Intent& aIntent,
                                     std::uint64_t aVersion)
  {
    return { mWriteIds.Next(),
             { { aKey, aVersion, mCodec.EncodeIntent(aIntent) } } };
  }

  void SendOutcomeWrite(const std::string& aAttempt)
  {
    WriteToStore(mOutcomeWrites.at(aAttempt).mTransaction,
                 [this, aAttempt](const StoreResult& aResult) {
                   FinishOutcomeWrite(aAttempt, aResult);
                 });
  }

  void RetryOutcomeWrite(const std::string& aAttempt)
  {
    if (mOutcomeWrites.contains(aAttempt)) {
      SendOutcomeWrite(aAttempt);
    }
  }

  void FinishOutcomeWrite(const std::string& aAttempt,
                          const StoreResult& aResult)
  {
    OutcomeWrite& write = mOutcomeWrites.at(aAttempt);
    ReplyToCaller(write);
    if (aResult.Status() == StoreStatus::kOk) {
      ++mCounters["intent_recorded_total"];
      mOutcomeWrites.erase(aAttempt);
      return;
    }
    if (aResult.Status() == StoreStatus::kConflict) {
      ResolveOutcomeConflict(aAttempt, write, aResult);
      return;
    }
    ++mCounters["intent_record_failures_total"];
    mLog.Write(
      { LogEvent::kIntentNotRecorded,
        { { "key", write.mKey },
          { "state", std::string(IntentStateName(write.mIntent.State())) } } });
    if (mOutcomeWrites.size() > kMaxPendingOutcomeWrites) {
      ++mCounters["intent_ends_dropped_total"];
      mOutcomeWrites.erase(aAttempt);
      return;
    }
    delayed_send(
      this, mOptions.mRecordRetryInterval, RetryIntentRecord{ aAttempt });
  }

  void ResolveOutcomeConflict(const std::string& aAttempt,
                              OutcomeWrite& aOutcomeWrite,
                              const StoreResult& aResult)
  {
    const auto found = Decode(aOutcomeWrite.mKey, aResult);
    if (!found || !MustRetryFinalWrite(found->mIntent, aAttempt)) {
      mOutcomeWrites.erase(aAttempt);
      return;
    }
    // The delayed claim took effect before its revocation: the revocation is
    // written again on top of it.
    aOutcomeWrite.mTransaction = MakeOutcomeTransaction(
      aOutcomeWrite.mKey, aOutcomeWrite.mIntent, found->mVersion);
    SendOutcomeWrite(aAttempt);
  }

  /**
   * Replies to the caller after the first write of the outcome, whether or
   * not it succeeded.
   */
  void ReplyToCaller(OutcomeWrite& aOutcomeWrite)
  {
    if (aOutcomeWrite.mCall) {
      mCalls.erase(aOutcomeWrite.mKey);
      DeliverOutcome(*aOutcomeWrite.mCall, *aOutcomeWrite.mOutcome);
      aOutcomeWrite.mCall = nullptr;
      aOutcomeWrite.mOutcome = std::nullopt;
    }
  }

  void DeliverOutcome(Call& aCall, const RunOutcome& aOutcome)
  {
    aCall.mPromise.deliver(aOutcome);
  }

  void Reject(Call& aCall, FailureReason aReason, milliseconds aRetryAfter)
  {
    const auto outcome =
      RunOutcome::Failed(aReason,
                         WasRun::kNo,
                         aRetryAfter,
                         std::string(FailureReasonName(aReason)));
    LogWithoutDispatch(aCall, outcome);
    DeliverOutcome(aCall, outcome);
  }

  /** Logs an outcome that was delivered without a dispatch. */
  void LogWithoutDispatch(const Call& aCall, const RunOutcome& aOutcome)
  {
    const RunRequest& request = aCall.mRequest;
    if (aOutcome.IsAnswer()) {
      ++mCounters["intent_replayed_total"];
      mLog.Write(
        { LogEvent::kIntentReplayed,
          { { "request", request.Name().Text() }, { "key", aCall.mKey } } });
      return;
    }
    ++mCounters["intent_refused_total"];
    mLog.Write(
      { LogEvent::kIntentRefused,
        { { "request", request.Name().Text() },
          { "organisation", request.Organisation().Text() },
          { "class", request.Class().Text() },
          { "reason", std::string(FailureReasonName(aOutcome.Reason())) },
          { "ran", std::string(WasRunName(aOutcome.HasRun())) } } });
  }

  caf::actor mStore;
  caf::actor mRouting;
  const RowCodec& mCodec;
  const Clock& mClock;
  EventLog& mLog;
  WriteIdGenerator mWriteIds;
  IntentTaskOptions mOptions;
  state::SettingsSnapshot mSettings;
  /** Running requests by row key; at most one for each key. */
  std::map<std::string, CallPtr> mCalls;
  /** Outcomes to be written, by attempt. */
  std::map<std::string, OutcomeWrite> mOutcomeWrites;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnIntentTask(caf::actor_system& aSystem,
                const caf::actor& aStore,
                const caf::actor& aRouting,
                const RowCodec& aCodec,
                const Clock& aClock,
                EventLog& aLog,
                WriteIdGenerator aWriteIds,
                IntentTaskOptions aOptions)
{
  return aSystem.spawn<IntentTask>(aStore,
                                   aRouting,
                                   std::cref(aCodec),
                                   std::cref(aClock),
                                   std::ref(aLog),
                                   std::move(aWriteIds),
                                   std::move(aOptions));
}

} // namespace cornelrudder::coordination
