#include "cornelrudder/coordination/StoreTask.h"

#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/Backoff.h"
#include "cornelrudder/state/CircuitBreaker.h"
#include "cornelrudder/state/RetryBudget.h"
#include "cornelrudder/state/WriteOutcome.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <random>
#include <variant>

namespace cornelrudder::coordination {

namespace {

using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using state::Transaction;
using state::WriteOutcome;
using std::chrono::milliseconds;

bool
HasFailed(const StoreResult& aResult)
{
  return aResult.Status() == StoreStatus::kUnavailable ||
         aResult.Status() == StoreStatus::kOutcomeUnknown;
}

class StoreTask : public caf::event_based_actor
{
public:
  StoreTask(caf::actor_config& aConfig,
            StorePort& aPort,
            EventLog& aLog,
            const Clock& aClock,
            const StoreTaskOptions& aOptions)
    : caf::event_based_actor(aConfig)
    , mPort(aPort)
    , mLog(aLog)
    , mClock(aClock)
    , mRetryWindow(aOptions.mRetryWindow)
    , mBackoff(aOptions.mBackoffBase, aOptions.mBackoffCap)
    , mBudget(aOptions.mRetryBudgetPercent, aOptions.mRetryBudgetCapacity)
    , mBreaker(aOptions.mBreakerFailureThreshold,
               aOptions.mBreakerProbeInterval)
    , mRandom(aOptions.mJitterSeed)
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const ReadRow& aRead) {
        return Start(aRead, "store_reads_total");
      },
      [this](const ListRows& aList) {
        return Start(aList, "store_reads_total");
      },
      [this](const Transaction& aTransaction) -> caf::result<StoreResult> {
        if (aTransaction.Writes().empty()) {
          return StoreResult(StoreStatus::kOk, {});
        }
        return Start(aTransaction, "store_writes_total");
      },
      [this](std::uint64_t aTicket, const StoreResult& aResult) {
        Finish(aTicket, aResult);
      },
      [this](const RetryStoreOperation& aRetry) {
        Attempt(aRetry.mOperationId);
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  using Request = std::variant<ReadRow, ListRows, Transaction>;

  struct Operation
  {
    const Request mRequest;
    caf::typed_response_promise<StoreResult> mPromise;
    /** No attempt starts later. */
    milliseconds mDeadline;
    int mFailures = 0;
    /** Whether a copy of the transaction was sent without an answer. */
    bool mMayArrive = false;
    /** Whether the rows of the transaction are read to learn its outcome. */
    bool mResolving = false;
    std::size_t mRowsAsked = 0;
    std::vector<StoreRow> mRowsRead = {};
  };

  caf::result<StoreResult> Start(Request aRequest, const char* aCounter)
  {
    auto promise = make_response_promise<StoreResult>();
    ++mCounters[aCounter];
    mBudget = mBudget.WithFirstAttempt();
    const std::uint64_t ticket = ++mLastTicket;
    mOperations.emplace(
      ticket,
      Operation{ std::move(aRequest), promise, mClock.Now() + mRetryWindow });
    Attempt(ticket);
    return promise;
  }

  void Attempt(std::uint64_t aTicket)
  {
    const auto it = mOperations.find(aTicket);
    if (it == mOperations.end()) {
      return;
    }
    Operation& operation = it->second;
    const auto breaker = mBreaker.WithRequest(mClock.Now());
    if (breaker) {
      mBreaker = *breaker;
      Send(aTicket, operation);
      return;
    }
    ++mCounters["store_breaker_refusals_total"];
    if (operation.mMayArrive) {
      // The outcome of a write that was sent is worth waiting for.
      WaitAndRetry(aTicket);
      return;
    }
    Deliver(aTicket, { StoreStatus::kUnavailable, {} });
  }

  void Send(std::uint64_t aTicket, const Operation& aOperation)
  {
    auto completion = [self = caf::actor(this), aTicket](StoreResult aResult) {
      caf::anon_send(self, aTicket, std::move(aResult));
    };
    const Request& request = aOperation.mRequest;
    if (aOperation.mResolving) {
      const auto& writes = std::get<Transaction>(request).Writes();
      mPort.ReadRow(writes[aOperation.mRowsAsked].Key(), std::move(completion));
    } else if (const auto* read = std::get_if<ReadRow>(&request)) {
      mPort.ReadRow(read->mKey, std::move(completion));
    } else if (const auto* list = std::get_if<ListRows>(&request)) {
      mPort.ListRows(list->mPrefix, std::move(completion));
    } else {
      mPort.Transact(std::get<Transaction>(request), std::move(completion));
    }
  }

  void Finish(std::uint64_t aTicket, const StoreResult& aResult)
  {
    const auto it = mOperations.find(aTicket);
    if (it == mOperations.end()) {
      return;
    }
    Operation& operation = it->second;
    UpdateBreaker(HasFailed(aResult));
    if (operation.mResolving) {
      FinishResolvingRead(aTicket, operation, aResult);
    } else if (const auto* write =
                 std::get_if<Transaction>(&operation.mRequest)) {
      FinishWrite(aTicket, operation, *write, aResult);
    } else if (HasFailed(aResult)) {
      Retry(aTicket);
    } else {
      Deliver(aTicket, aResult);
    }
  }

  void FinishWrite(std::uint64_t aTicket,
                   Operation& aOperation,
                   const Transaction& aWrite,
                   const StoreResult& aResult)
  {
    switch (aResult.Status()) {
      case StoreStatus::kOk:
        Deliver(aTicket, aResult);
        return;
      case StoreStatus::kConflict:
        FinishConflict(aTicket, aOperation, aWrite, aResult);
        return;
      case StoreStatus::kUnavailable:
        Retry(aTicket);
        return;
      case StoreStatus::kOutcomeUnknown:
        break;
    }
    ++mCounters["store_unknown_outcomes_total"];
    aOperation.mMayArrive = true;
    StartResolving(aOperation);
    // Not charged to the budget: without this read the outcome stays open.
    WaitAndRetry(aTicket);
  }

  /** A copy was refused; an earlier one may have caused the conflict. */
  void FinishConflict(std::uint64_t aTicket,
                      const Operation& aOperation,
                      const Transaction& aWrite,
                      const StoreResult& aResult)
  {
    const WriteOutcome outcome =
      InferWriteOutcome(aWrite, aResult.Rows(), false);
    if (outcome == WriteOutcome::kApplied) {
      Deliver(aTicket, { StoreStatus::kOk, RowsWrittenBy(aWrite) });
      return;
    }
    const bool certain =
      !aOperation.mMayArrive || outcome == WriteOutcome::kConflict;
    Deliver(aTicket,
            { certain ? StoreStatus::kConflict : StoreStatus::kOutcomeUnknown,
              aResult.Rows() });
  }

  static void StartResolving(Operation& aOperation)
  {
    aOperation.mResolving = true;
    aOperation.mRowsAsked = 0;
    aOperation.mRowsRead.clear();
  }

  void FinishResolvingRead(std::uint64_t aTicket,
                           Operation& aOperation,
                           const StoreResult& aResult)
  {
    if (HasFailed(aResult)) {
      Retry(aTicket);
      return;
    }
    const auto& write = std::get<Transaction>(aOperation.mRequest);
    const auto& rows = aResult.Rows();
    aOperation.mRowsRead.insert(
      aOperation.mRowsRead.end(), rows.begin(), rows.end());
    ++aOperation.mRowsAsked;
    if (aOperation.mRowsAsked < write.Writes().size()) {
      Attempt(aTicket);
      return;
    }
    switch (InferWriteOutcome(write, aOperation.mRowsRead, true)) {
      case WriteOutcome::kApplied:
        Deliver(aTicket, { StoreStatus::kOk, RowsWrittenBy(write) });
        return;
      case WriteOutcome::kConflict:
        Deliver(aTicket, { StoreStatus::kConflict, aOperation.mRowsRead });
        return;
      case WriteOutcome::kIndeterminate:
        Deliver(aTicket,
                { StoreStatus::kOutcomeUnknown, aOperation.mRowsRead });
        return;
      case WriteOutcome::kNotYetApplied:
        break;
    }
    aOperation.mResolving = false;
    Retry(aTicket);
  }

  /** Tries again after a delay, if the budget allows it. */
  void Retry(std::uint64_t aTicket)
  {
    const auto budget = mBudget.WithRetry();
    if (!budget) {
      ++mCounters["store_budget_refusals_total"];
      GiveUp(aTicket);
      return;
    }
    mBudget = *budget;
    ++mCounters["store_retries_total"];
    WaitAndRetry(aTicket);
  }

  void WaitAndRetry(std::uint64_t aTicket)
  {
    Operation& operation = mOperations.at(aTicket);
    ++operation.mFailures;
    const milliseconds delay =
      mBackoff.Delay(operation.mFailures, mUniform(mRandom));
    if (mClock.Now() + delay > operation.mDeadline) {
      GiveUp(aTicket);
      return;
    }
    // At least 1 ms, so that an open breaker is not asked without a pause.
    delayed_send(
      this, std::max(delay, milliseconds(1)), RetryStoreOperation{ aTicket });
  }

  void GiveUp(std::uint64_t aTicket)
  {
    const Operation& operation = mOperations.at(aTicket);
    mLog.Write({ LogEvent::kStoreUnavailable, {} });
    Deliver(aTicket,
            { operation.mMayArrive ? StoreStatus::kOutcomeUnknown
                                   : StoreStatus::kUnavailable,
              {} });
  }

  void Deliver(std::uint64_t aTicket, const StoreResult& aResult)
  {
    const auto it = mOperations.find(aTicket);
    if (aResult.Status() == StoreStatus::kOutcomeUnknown) {
      const auto& write = std::get<Transaction>(it->second.mRequest);
      mLog.Write(
        { LogEvent::kStoreWriteUnknown,
          { { "write_id", write.WriteId() },
            { "key",
              write.Writes().empty() ? "" : write.Writes()[0].Key() } } });
    }
    it->second.mPromise.deliver(aResult);
    mOperations.erase(it);
  }

  void UpdateBreaker(bool aFailed)
  {
    const bool wasOpen = mBreaker.IsOpen();
    mBreaker =
      aFailed ? mBreaker.WithFailure(mClock.Now()) : mBreaker.WithSuccess();
    if (!wasOpen && mBreaker.IsOpen()) {
      ++mCounters["store_breaker_openings_total"];
      mLog.Write({ LogEvent::kStoreBreakerOpened, {} });
    } else if (wasOpen && !mBreaker.IsOpen()) {
      mLog.Write({ LogEvent::kStoreBreakerClosed, {} });
    }
  }

  StorePort& mPort;
  EventLog& mLog;
  const Clock& mClock;
  milliseconds mRetryWindow;
  state::Backoff mBackoff;
  state::RetryBudget mBudget;
  state::CircuitBreaker mBreaker;
  std::mt19937_64 mRandom;
  std::uniform_real_distribution<double> mUniform{ 0.0, 1.0 };
  std::map<std::uint64_t, Operation> mOperations;
  std::uint64_t mLastTicket = 0;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnStoreTask(caf::actor_system& aSystem,
               StorePort& aPort,
               EventLog& aLog,
               const Clock& aClock,
               StoreTaskOptions aOptions)
{
  return aSystem.spawn<StoreTask>(
    std::ref(aPort), std::ref(aLog), std::cref(aClock), aOptions);
}

caf::actor
SpawnStoreTask(caf::actor_system& aSystem, StorePort& aPort, EventLog& aLog)
{
  static const BootClock kClock;
  return SpawnStoreTask(aSystem, aPort, aLog, kClock, {});
}

} // namespace cornelrudder::coordination
