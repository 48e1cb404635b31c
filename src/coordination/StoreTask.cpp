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
      [this](std::uint64_t aOperationId, const StoreResult& aResult) {
        HandleResult(aOperationId, aResult);
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
    /** No retry is scheduled for a time after this. */
    milliseconds mDeadline;
    int mFailures = 0;
    /** Whether an attempt of the transaction had an unknown outcome. */
    bool mMayHaveApplied = false;
    /** Whether the transaction's rows are being read to infer its outcome. */
    bool mResolvingOutcome = false;
    std::size_t mRowsRequested = 0;
    std::vector<StoreRow> mRowsRead = {};
  };

  caf::result<StoreResult> Start(Request aRequest, const char* aCounter)
  {
    auto promise = make_response_promise<StoreResult>();
    ++mCounters[aCounter];
    mBudget = mBudget.WithFirstAttempt();
    const std::uint64_t operationId = ++mLastOperationId;
    mOperations.emplace(
      operationId,
      Operation{ std::move(aRequest), promise, mClock.Now() + mRetryWindow });
    Attempt(operationId);
    return promise;
  }

  void Attempt(std::uint64_t aOperationId)
  {
    const auto it = mOperations.find(aOperationId);
    if (it == mOperations.end()) {
      return;
    }
    Operation& operation = it->second;
    const auto breaker = mBreaker.WithRequest(mClock.Now());
    if (breaker) {
      mBreaker = *breaker;
      Send(aOperationId, operation);
      return;
    }
    ++mCounters["store_breaker_refusals_total"];
    if (operation.mMayHaveApplied) {
      // The write may have taken effect: wait for the breaker to close and
      // resolve the outcome instead of failing now.
      ScheduleRetry(aOperationId);
      return;
    }
    Deliver(aOperationId, { StoreStatus::kUnavailable, {} });
  }

  void Send(std::uint64_t aOperationId, const Operation& aOperation)
  {
    auto completion = [self = caf::actor(this),
                       aOperationId](StoreResult aResult) {
      caf::anon_send(self, aOperationId, std::move(aResult));
    };
    const Request& request = aOperation.mRequest;
    if (aOperation.mResolvingOutcome) {
      const auto& writes = std::get<Transaction>(request).Writes();
      mPort.ReadRow(writes[aOperation.mRowsRequested].Key(),
                    std::move(completion));
    } else if (const auto* read = std::get_if<ReadRow>(&request)) {
      mPort.ReadRow(read->mKey, std::move(completion));
    } else if (const auto* list = std::get_if<ListRows>(&request)) {
      mPort.ListRows(list->mPrefix, std::move(completion));
    } else {
      mPort.Transact(std::get<Transaction>(request), std::move(completion));
    }
  }

  void HandleResult(std::uint64_t aOperationId, const StoreResult& aResult)
  {
    const auto it = mOperations.find(aOperationId);
    if (it == mOperations.end()) {
      return;
    }
    Operation& operation = it->second;
    UpdateBreaker(HasFailed(aResult));
    if (operation.mResolvingOutcome) {
      HandleResolvingRead(aOperationId, operation, aResult);
    } else if (const auto* write =
                 std::get_if<Transaction>(&operation.mRequest)) {
      HandleWriteResult(aOperationId, operation, *write, aResult);
    } else if (HasFailed(aResult)) {
      RetryWithinBudget(aOperationId);
    } else {
      Deliver(aOperationId, aResult);
    }
  }

  void HandleWriteResult(std::uint64_t aOperationId,
                         Operation& aOperation,
                         const Transaction& aWrite,
                         const StoreResult& aResult)
  {
    switch (aResult.Status()) {
      case StoreStatus::kOk:
        Deliver(aOperationId, aResult);
        return;
      case StoreStatus::kConflict:
        HandleConflict(aOperationId, aOperation, aWrite, aResult);
        return;
      case StoreStatus::kUnavailable:
      case StoreStatus::kRejected:
        RetryWithinBudget(aOperationId);
        return;
      case StoreStatus::kOutcomeUnknown:
        break;
    }
    ++mCounters["store_unknown_outcomes_total"];
    aOperation.mMayHaveApplied = true;
    StartResolving(aOperation);
    // Not charged to the retry budget: without this read the outcome would
    // stay unknown.
    ScheduleRetry(aOperationId);
  }

  /** Handles a conflict, which an earlier attempt may itself have caused. */
  void HandleConflict(std::uint64_t aOperationId,
                      const Operation& aOperation,
                      const Transaction& aWrite,
                      const StoreResult& aResult)
  {
    const WriteOutcome outcome =
      InferWriteOutcome(aWrite, aResult.Rows(), false);
    if (outcome == WriteOutcome::kApplied) {
      Deliver(aOperationId, { StoreStatus::kOk, RowsWrittenBy(aWrite) });
      return;
    }
    const bool notApplied =
      !aOperation.mMayHaveApplied || outcome == WriteOutcome::kConflict;
    Deliver(
      aOperationId,
      { notApplied ? StoreStatus::kConflict : StoreStatus::kOutcomeUnknown,
        aResult.Rows() });
  }

  static void StartResolving(Operation& aOperation)
  {
    aOperation.mResolvingOutcome = true;
    aOperation.mRowsRequested = 0;
    aOperation.mRowsRead.clear();
  }

  void HandleResolvingRead(std::uint64_t aOperationId,
                           Operation& aOperation,
                           const StoreResult& aResult)
  {
    if (HasFailed(aResult)) {
      RetryWithinBudget(aOperationId);
      return;
    }
    const auto& write = std::get<Transaction>(aOperation.mRequest);
    const auto& rows = aResult.Rows();
    aOperation.mRowsRead.insert(
      aOperation.mRowsRead.end(), rows.begin(), rows.end());
    ++aOperation.mRowsRequested;
    if (aOperation.mRowsRequested < write.Writes().size()) {
      Attempt(aOperationId);
      return;
    }
    switch (InferWriteOutcome(write, aOperation.mRowsRead, true)) {
      case WriteOutcome::kApplied:
        Deliver(aOperationId, { StoreStatus::kOk, RowsWrittenBy(write) });
        return;
      case WriteOutcome::kConflict:
        Deliver(aOperationId, { StoreStatus::kConflict, aOperation.mRowsRead });
        return;
      case WriteOutcome::kIndeterminate:
        Deliver(aOperationId,
                { StoreStatus::kOutcomeUnknown, aOperation.mRowsRead });
        return;
      case WriteOutcome::kNotYetApplied:
        break;
    }
    aOperation.mResolvingOutcome = false;
    RetryWithinBudget(aOperationId);
  }

  /** Retries after a delay if the retry budget allows it. */
  void RetryWithinBudget(std::uint64_t aOperationId)
  {
    const auto budget = mBudget.WithRetry();
    if (!budget) {
      ++mCounters["store_budget_refusals_total"];
      FailOperation(aOperationId);
      return;
    }
    mBudget = *budget;
    ++mCounters["store_retries_total"];
    ScheduleRetry(aOperationId);
  }

  void ScheduleRetry(std::uint64_t aOperationId)
  {
    Operation& operation = mOperations.at(aOperationId);
    ++operation.mFailures;
    const milliseconds delay =
      mBackoff.Delay(operation.mFailures, mUniform(mRandom));
    if (mClock.Now() + delay > operation.mDeadline) {
      FailOperation(aOperationId);
      return;
    }
    // At least 1 ms, so that an open breaker is not polled in a busy loop.
    delayed_send(this,
                 std::max(delay, milliseconds(1)),
                 RetryStoreOperation{ aOperationId });
  }

  void FailOperation(std::uint64_t aOperationId)
  {
    const Operation& operation = mOperations.at(aOperationId);
    mLog.Write({ LogEvent::kStoreUnavailable, {} });
    Deliver(aOperationId,
            { operation.mMayHaveApplied ? StoreStatus::kOutcomeUnknown
                                        : StoreStatus::kUnavailable,
              {} });
  }

  void Deliver(std::uint64_t aOperationId, const StoreResult& aResult)
  {
    const auto it = mOperations.find(aOperationId);
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
  std::uint64_t mLastOperationId = 0;
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
