#include "coordination/FakeFleet.h"

#include "cornelrudder/coordination/CoordinationError.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace cornelrudder::tests {

using namespace state::scheduling;
using state::RowWrite;
using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds kPollCheckInterval{ 5 };

std::chrono::milliseconds
StoreTime()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    Clock::now().time_since_epoch());
}

/** @return The checkpoint of a task, filled up to a length. */
std::string
CheckpointOf(const state::scheduling::TaskId& aTask, std::size_t aBytes)
{
  std::string text = aTask.Text() + ":";
  text.resize(std::max(text.size(), aBytes), 'c');
  return text;
}

/** @return Whether a transaction has an entry in a table; false for no table.
 */
bool
Covers(const state::Transaction& aTransaction, const std::string& aTable)
{
  const auto isInTable = [&aTable](const auto& aEntry) {
    return aEntry.Key().starts_with(aTable + "/");
  };
  return !aTable.empty() && (std::any_of(aTransaction.Conditions().begin(),
                                         aTransaction.Conditions().end(),
                                         isInTable) ||
                             std::any_of(aTransaction.Writes().begin(),
                                         aTransaction.Writes().end(),
                                         isInTable));
}

} // namespace

FakeFeedStore::FakeFeedStore()
  : mThread([this] { RunThread(); })
{
}

FakeFeedStore::~FakeFeedStore()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

StoreResult
FakeFeedStore::MakeResult(StoreStatus aStatus,
                          std::vector<StoreRow> aRows) const
{
  return { aStatus, std::move(aRows), mVersion, StoreTime() };
}

StoreResult
FakeFeedStore::MakePage(std::vector<StoreRow> aRows) const
{
  if (mFeedPage == 0 || aRows.size() <= mFeedPage) {
    return MakeResult(StoreStatus::kOk, std::move(aRows));
  }
  std::sort(aRows.begin(), aRows.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.Version() < aTwo.Version();
  });
  aRows.erase(aRows.begin() + static_cast<std::ptrdiff_t>(mFeedPage),
              aRows.end());
  const std::uint64_t version = aRows.back().Version();
  return { StoreStatus::kOk, std::move(aRows), version, StoreTime() };
}

std::vector<StoreRow>
FakeFeedStore::ChangesOf(const std::string& aTable, std::uint64_t aAfter) const
{
  std::vector<StoreRow> rows;
  for (const auto& [key, row] : mRows) {
    if (key.starts_with(aTable + "/") && row.Version() > aAfter) {
      rows.push_back(row);
    }
  }
  for (const auto& [key, version] : mRemovals) {
    if (aAfter > 0 && key.starts_with(aTable + "/") && version > aAfter &&
        !mRows.contains(key)) {
      rows.emplace_back(key, 0, "", "");
    }
  }
  return rows;
}

void
FakeFeedStore::RunThread()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWake.wait_for(lock, kPollCheckInterval);
    ExecuteDelayed(lock);
    CompletePolls(lock);
  }
}

void
FakeFeedStore::ExecuteDelayed(std::unique_lock<std::mutex>& aLock)
{
  const auto isDue = [now = Clock::now()](const DelayedCall& aCall) {
    return aCall.mAt <= now;
  };
  std::vector<DelayedCall> due;
  std::copy_if(
    mDelayedCalls.begin(), mDelayedCalls.end(), std::back_inserter(due), isDue);
  std::erase_if(mDelayedCalls, isDue);
  aLock.unlock();
  for (const DelayedCall& call : due) {
    call.mExecute();
  }
  aLock.lock();
}

void
FakeFeedStore::Execute(std::chrono::milliseconds FakeFeedStore::*aDelay,
                       std::function<void()> aExecute)
{
  {
    const std::lock_guard lock(mMutex);
    const std::chrono::milliseconds delay = this->*aDelay;
    if (delay.count() > 0) {
      mDelayedCalls.push_back({ Clock::now() + delay, std::move(aExecute) });
      return;
    }
  }
  aExecute();
}

void
FakeFeedStore::SetDelays(std::chrono::milliseconds aRead,
                         std::chrono::milliseconds aWrite)
{
  const std::lock_guard lock(mMutex);
  mReadDelay = aRead;
  mWriteDelay = aWrite;
}

/** Completes pending polls on a change or when their wait expires. */
void
FakeFeedStore::CompletePolls(std::unique_lock<std::mutex>& aLock)
{
  std::vector<PendingPoll> polls;
  polls.swap(mPendingPolls);
  for (PendingPoll& poll : polls) {
    const auto rows = mFeedSuppressed ? std::vector<StoreRow>()
                                      : ChangesOf(poll.mTable, poll.mAfter);
    const bool isExpired = Clock::now() >= poll.mUntil;
    if (rows.empty() && !isExpired && !mDown) {
      mPendingPolls.push_back(std::move(poll));
      continue;
    }
    const StoreResult result =
      mDown ? StoreResult(StoreStatus::kUnavailable, {}) : MakePage(rows);
    aLock.unlock();
    poll.mCompletion(result);
    aLock.lock();
  }
}

void
FakeFeedStore::ReadRow(const std::string& aKey,
                       StorePort::Completion aCompletion)
{
  Execute(&FakeFeedStore::mReadDelay,
          [this, aKey, completion = std::move(aCompletion)] {
            ExecuteReadRow(aKey, completion);
          });
}

void
FakeFeedStore::ExecuteReadRow(const std::string& aKey,
                              const StorePort::Completion& aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    ++mRowReads;
    if (!mDown) {
      const auto it = mRows.find(aKey);
      result = MakeResult(StoreStatus::kOk,
                          it != mRows.end() ? std::vector{ it->second }
                                            : std::vector<StoreRow>());
    }
  }
  aCompletion(result);
}

void
FakeFeedStore::ListRows(const std::string& aPrefix,
                        StorePort::Completion aCompletion)
{
  ReadRange(aPrefix, "", "", std::move(aCompletion));
}

void
FakeFeedStore::ReadRange(const std::string& aTable,
                         const std::string& aFrom,
                         const std::string& aTo,
                         ChangeFeedPort::Completion aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    if (!mDown) {
      std::vector<StoreRow> rows;
      for (const StoreRow& row : ChangesOf(aTable, 0)) {
        const std::string name = row.Key().substr(aTable.size() + 1);
        if (name >= aFrom && (aTo.empty() || name < aTo)) {
          rows.push_back(row);
        }
      }
      const bool hasMore = mRangePage > 0 && rows.size() > mRangePage;
      if (hasMore) {
        rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(mRangePage),
                   rows.end());
      }
      result = StoreResult(
        StoreStatus::kOk, std::move(rows), mVersion, StoreTime(), hasMore);
    }
    if (aTable == mHeldTable) {
      mHeldReplies.emplace_back(
        [result, completion = std::move(aCompletion)] { completion(result); });
      return;
    }
  }
  aCompletion(result);
}

void
FakeFeedStore::Hold(std::string FakeFeedStore::*aHeldTable,
                    const std::string& aTable)
{
  std::vector<std::function<void()>> replies;
  {
    const std::lock_guard lock(mMutex);
    this->*aHeldTable = aTable;
    if (aTable.empty()) {
      replies.swap(mHeldReplies);
    }
  }
  for (const auto& reply : replies) {
    reply();
  }
}

std::size_t
FakeFeedStore::RepliesHeld()
{
  const std::lock_guard lock(mMutex);
  return mHeldReplies.size();
}

void
FakeFeedStore::PollChanges(const std::string& aTable,
                           std::uint64_t aAfter,
                           std::chrono::milliseconds aWait,
                           ChangeFeedPort::Completion aCompletion)
{
  {
    const std::lock_guard lock(mMutex);
    const bool isHistoryDropped =
      aAfter < mHistoryFrom || aTable == mDroppedTable;
    if (!mDown && !isHistoryDropped) {
      mPendingPolls.push_back(
        { aTable, aAfter, Clock::now() + aWait, std::move(aCompletion) });
      return;
    }
    if (isHistoryDropped && !mDown) {
      mHistoryFrom = 0;
      mDroppedTable.clear();
    }
  }
  aCompletion(StoreResult(
    mDown ? StoreStatus::kUnavailable : StoreStatus::kConflict, {}));
}

StoreResult
FakeFeedStore::Apply(const state::Transaction& aTransaction)
{
  std::vector<StoreRow> conflicts;
  const auto check = [&](const std::string& aKey, std::uint64_t aExpected) {
    const auto it = mRows.find(aKey);
    const std::uint64_t version = it != mRows.end() ? it->second.Version() : 0;
    if (version != aExpected) {
      conflicts.push_back(it != mRows.end() ? it->second
                                            : StoreRow(aKey, 0, "", ""));
    }
  };
  for (const state::RowCondition& it : aTransaction.Conditions()) {
    check(it.Key(), it.ExpectedVersion());
  }
  for (const RowWrite& it : aTransaction.Writes()) {
    if (it.ExpectedVersion() != RowWrite::kAnyVersion) {
      check(it.Key(), it.ExpectedVersion());
    }
  }
  if (!conflicts.empty()) {
    return MakeResult(StoreStatus::kConflict, std::move(conflicts));
  }
  ++mVersion;
  for (const RowWrite& it : aTransaction.Writes()) {
    if (!it.Value()) {
      mRows.erase(it.Key());
      continue;
    }
    mRows.insert_or_assign(it.Key(),
                           StoreRow(it.Key(), mVersion, "", *it.Value()));
  }
  return MakeResult(StoreStatus::kOk, {});
}

bool
FakeFeedStore::IsRefused(const state::Transaction& aTransaction) const
{
  return Covers(aTransaction, mRefusedTable);
}

int
FakeFeedStore::Writes()
{
  const std::lock_guard lock(mMutex);
  return mWrites;
}

void
FakeFeedStore::DeliverLate()
{
  {
    const std::lock_guard lock(mMutex);
    for (const state::Transaction& transaction : mLate) {
      Apply(transaction);
    }
    mLate.clear();
  }
  mWake.notify_all();
}

bool
FakeFeedStore::IsRejected(const state::Transaction& aTransaction) const
{
  return std::any_of(aTransaction.Writes().begin(),
                     aTransaction.Writes().end(),
                     [this](const RowWrite& aWrite) {
                       return aWrite.Key() == mRejectedRow ||
                              (aWrite.Value() &&
                               aWrite.Value()->size() > mRowLimit);
                     });
}

void
FakeFeedStore::SetRowLimit(std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mRowLimit = aBytes;
}

void
FakeFeedStore::SetRejectedRow(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mRejectedRow = aKey;
}

void
FakeFeedStore::SetRefusedTable(const std::string& aTable)
{
  const std::lock_guard lock(mMutex);
  mRefusedTable = aTable;
}

void
FakeFeedStore::Transact(const state::Transaction& aTransaction,
                        StorePort::Completion aCompletion)
{
  Execute(&FakeFeedStore::mWriteDelay,
          [this, aTransaction, completion = std::move(aCompletion)] {
            ExecuteTransact(aTransaction, completion);
          });
}

void
FakeFeedStore::ExecuteTransact(const state::Transaction& aTransaction,
                               const StorePort::Completion& aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    ++mWrites;
    if (!mDown && IsRejected(aTransaction)) {
      result = StoreResult(StoreStatus::kRejected, {});
    } else if (!mDown && !IsRefused(aTransaction)) {
      const bool isExecuted = mWriteFault != WriteFault::kRequestLost &&
                              mWriteFault != WriteFault::kLate;
      if (isExecuted) {
        result = Apply(aTransaction);
      } else if (mWriteFault == WriteFault::kLate) {
        mLate.push_back(aTransaction);
      }
      const bool isReplyLost =
        !isExecuted || (mWriteFault == WriteFault::kReplyLost &&
                        result.Status() == StoreStatus::kOk);
      if (isReplyLost) {
        result = StoreResult(StoreStatus::kOutcomeUnknown, {});
      }
    }
    if (Covers(aTransaction, mHeldWriteTable)) {
      mHeldReplies.emplace_back([result, aCompletion] { aCompletion(result); });
      return;
    }
  }
  mWake.notify_all();
  aCompletion(result);
}

void
FakeFeedStore::Put(const std::string& aKey, const std::string& aValue)
{
  {
    const std::lock_guard lock(mMutex);
    ++mVersion;
    mRows.insert_or_assign(aKey, StoreRow(aKey, mVersion, "", aValue));
  }
  mWake.notify_all();
}

int
FakeFeedStore::RowReads()
{
  const std::lock_guard lock(mMutex);
  return mRowReads;
}

void
FakeFeedStore::SetRangePage(std::size_t aRows)
{
  const std::lock_guard lock(mMutex);
  mRangePage = aRows;
}

void
FakeFeedStore::Remove(const std::string& aKey)
{
  {
    const std::lock_guard lock(mMutex);
    mRows.erase(aKey);
    mRemovals[aKey] = ++mVersion;
  }
  mWake.notify_all();
}

bool
FakeFeedStore::Has(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  return mRows.contains(aKey);
}

std::string
FakeFeedStore::ValueOf(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRows.find(aKey);
  return it != mRows.end() ? it->second.Value() : std::string();
}

void
FakeFeedStore::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
}

void
FakeFeedStore::SetWriteFault(WriteFault aFault)
{
  const std::lock_guard lock(mMutex);
  mWriteFault = aFault;
}

void
FakeFeedStore::SetFeedSuppressed(bool aSuppressed)
{
  const std::lock_guard lock(mMutex);
  mFeedSuppressed = aSuppressed;
}

void
FakeFeedStore::SetFeedPage(std::size_t aRows)
{
  const std::lock_guard lock(mMutex);
  mFeedPage = aRows;
}

void
FakeFeedStore::DropHistory(const std::string& aTable)
{
  const std::lock_guard lock(mMutex);
  mDroppedTable = aTable;
  mHistoryFrom = aTable.empty() ? mVersion + 1 : mHistoryFrom;
}

void
FakeTaskWorkers::Start(const StartCommand& aCommand,
                       CommandCompletion aCompletion)
{
  CommandReply reply;
  reply.mClock = StoreTime();
  {
    const std::lock_guard lock(mMutex);
    Worker& worker = mWorkers[aCommand.mWorker.mId];
    if (aCommand.mEpoch < worker.mEpoch) {
      reply.mOutcome = CommandOutcome::kFenced;
    } else {
      worker.mEpoch = aCommand.mEpoch;
      const bool isResumed =
        !aCommand.mCheckpoint.empty() &&
        aCommand.mCheckpoint == CheckpointOf(aCommand.mTask, mCheckpointBytes);
      worker.mRuns[aCommand.mTask] = { aCommand.mRun, isResumed };
      ++mStarts;
      mResumptions += isResumed ? 1 : 0;
      ++mExtensions;
      reply.mOutcome = CommandOutcome::kDone;
    }
  }
  aCompletion(reply);
}

void
FakeTaskWorkers::Stop(const StopCommand& aCommand,
                      CommandCompletion aCompletion)
{
  {
    const std::lock_guard lock(mMutex);
    Worker& worker = mWorkers[aCommand.mWorker.mId];
    if (worker.mRuns.erase(aCommand.mTask) > 0) {
      worker.mTerminated.push_back({ ++worker.mTerminations,
                                     aCommand.mTask,
                                     aCommand.mRun,
                                     TerminationReason::kStopped,
                                     "" });
    }
  }
  aCompletion({ CommandOutcome::kDone, StoreTime(), "" });
}

void
FakeTaskWorkers::Renew(const RenewCommand& aCommand,
                       RenewCompletion aCompletion)
{
  RenewReply reply;
  reply.mClock = StoreTime();
  reply.mIncarnation = 1;
  {
    const std::lock_guard lock(mMutex);
    Worker& worker = mWorkers[aCommand.mWorker.mId];
    worker.mIsRenewed = true;
    ++mRenewals;
    if (aCommand.mEpoch < worker.mEpoch) {
      reply.mOutcome = CommandOutcome::kFenced;
    } else {
      worker.mEpoch = aCommand.mEpoch;
      mExtensions += aCommand.mLeaseExpiry.count() > 0 ? 1 : 0;
      reply.mOutcome = CommandOutcome::kDone;
      std::erase_if(worker.mTerminated,
                    [&aCommand](const TerminatedRun& aTerminated) {
                      return aTerminated.mSequence <= aCommand.mAckedUpTo;
                    });
      if (!mRunsBlocked) {
        for (const auto& [task, run] : worker.mRuns) {
          const bool isDone = run.mIsResumed || mCheckpointBytes == 0;
          worker.mTerminated.push_back(
            { ++worker.mTerminations,
              task,
              run.mNumber,
              isDone ? TerminationReason::kDone
                     : TerminationReason::kLeaseExpired,
              isDone ? "" : CheckpointOf(task, mCheckpointBytes) });
        }
        worker.mRuns.clear();
      }
      for (const auto& [task, run] : worker.mRuns) {
        reply.mRunning.push_back({ task, run.mNumber, "", 50 });
      }
      reply.mTerminated = worker.mTerminated;
    }
  }
  // A real worker delays its reply; without a delay the owner would renew in a
  // busy loop.
  std::this_thread::sleep_for(std::chrono::milliseconds(2));
  aCompletion(reply);
}

void
FakeTaskWorkers::SetRunsBlocked(bool aBlocked)
{
  const std::lock_guard lock(mMutex);
  mRunsBlocked = aBlocked;
}

void
FakeTaskWorkers::SetCheckpointBytes(std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mCheckpointBytes = aBytes;
}

std::size_t
FakeTaskWorkers::UnacknowledgedEnds()
{
  const std::lock_guard lock(mMutex);
  std::size_t ends = 0;
  for (const auto& [id, worker] : mWorkers) {
    ends += worker.mTerminated.size();
  }
  return ends;
}

int
FakeTaskWorkers::Resumptions()
{
  const std::lock_guard lock(mMutex);
  return mResumptions;
}

int
FakeTaskWorkers::Renewals()
{
  const std::lock_guard lock(mMutex);
  return mRenewals;
}

int
FakeTaskWorkers::Extensions()
{
  const std::lock_guard lock(mMutex);
  return mExtensions;
}

int
FakeTaskWorkers::Starts()
{
  const std::lock_guard lock(mMutex);
  return mStarts;
}

std::size_t
FakeTaskWorkers::RenewedWorkers()
{
  const std::lock_guard lock(mMutex);
  return static_cast<std::size_t>(
    std::count_if(mWorkers.begin(), mWorkers.end(), [](const auto& aIt) {
      return aIt.second.mIsRenewed;
    }));
}

std::uint64_t
FakeTaskWorkers::HighestEpoch()
{
  const std::lock_guard lock(mMutex);
  std::uint64_t epoch = 0;
  for (const auto& [id, worker] : mWorkers) {
    epoch = std::max(epoch, worker.mEpoch);
  }
  return epoch;
}

void
FakeWorkerPath::Start(const StartCommand& aCommand,
                      CommandCompletion aCompletion)
{
  if (mCut) {
    aCompletion({});
    return;
  }
  mWorkers.Start(aCommand, std::move(aCompletion));
}

void
FakeWorkerPath::Stop(const StopCommand& aCommand, CommandCompletion aCompletion)
{
  if (mCut) {
    aCompletion({});
    return;
  }
  mWorkers.Stop(aCommand, std::move(aCompletion));
}

void
FakeWorkerPath::Renew(const RenewCommand& aCommand, RenewCompletion aCompletion)
{
  if (mCut) {
    aCompletion({});
    return;
  }
  mWorkers.Renew(aCommand, std::move(aCompletion));
}

Catalog
FakePlatformRowCodec::DecodeCatalog(const std::string& aValue,
                                    std::uint64_t aRowVersion) const
{
  std::istringstream text(aValue);
  std::uint64_t number = 0;
  if (!(text >> number)) {
    throw coordination::CoordinationError(
      "catalog row does not start with a version number");
  }
  std::vector<CatalogOrganisation> organisations;
  std::string key;
  while (text >> key) {
    organisations.push_back({ "org-" + key, { key }, 8 });
  }
  Queue queue;
  queue.mHost = "host";
  queue.mPathPrefix = "/q/";
  queue.mSettings = { "q", "s", 1, 2, 3.0, std::chrono::milliseconds(1'000) };
  return { aRowVersion, number, { queue }, organisations, {} };
}

WorkerInfo
FakePlatformRowCodec::DecodeWorker(const std::string& aId,
                                   const std::string& aValue) const
{
  const std::string accelerators = aValue.substr(0, aValue.find(' '));
  if (accelerators.find_first_not_of("0123456789") != std::string::npos) {
    throw coordination::CoordinationError("worker row is not a number");
  }
  WorkerInfo worker;
  if (accelerators.size() < aValue.size()) {
    worker.mZone = aValue.substr(accelerators.size() + 1);
  }
  worker.mId = aId;
  worker.mIncarnation = 1;
  worker.mAddress = "10.0.0.1:" + aId;
  worker.mService = "s";
  worker.mCapacity = Resources(32'000, 64'000, std::stoll(accelerators));
  worker.mClock = StoreTime();
  return worker;
}

} // namespace cornelrudder::tests
