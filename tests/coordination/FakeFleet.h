#ifndef CORNELRUDDER_TESTS_COORDINATION_FAKE_FLEET_H
#define CORNELRUDDER_TESTS_COORDINATION_FAKE_FLEET_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/SchedulingCodec.h"
#include "cornelrudder/coordination/StorePort.h"
#include "cornelrudder/coordination/TaskWorkerPort.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cornelrudder::tests {

/** Fault injected into writes. */
enum class WriteFault
{
  kNone,
  /** The write takes effect, but its reply is lost. */
  kReplyLost,
  /** The write has no effect and gets no reply. */
  kRequestLost,
  /** The write gets no reply and takes effect only in DeliverLate(). */
  kLate
};

/**
 * In-memory store with a global version counter and a change feed. It may be
 * shared by several daemons. Completions of PollChanges run on a thread of the
 * store, unless the poll fails at once.
 */
class FakeFeedStore final
  : public coordination::StorePort
  , public coordination::ChangeFeedPort
{
public:
  FakeFeedStore();
  ~FakeFeedStore() override;
  FakeFeedStore(const FakeFeedStore&) = delete;
  FakeFeedStore& operator=(const FakeFeedStore&) = delete;

  void ReadRow(const std::string& aKey,
               StorePort::Completion aCompletion) override;
  void ListRows(const std::string& aPrefix,
                StorePort::Completion aCompletion) override;
  void Transact(const state::Transaction& aTransaction,
                StorePort::Completion aCompletion) override;
  void ReadRange(const std::string& aTable,
                 const std::string& aFrom,
                 const std::string& aTo,
                 ChangeFeedPort::Completion aCompletion) override;
  void PollChanges(const std::string& aTable,
                   std::uint64_t aAfter,
                   std::chrono::milliseconds aWait,
                   ChangeFeedPort::Completion aCompletion) override;

  /** Writes a row unconditionally, as an outside client. */
  void Put(const std::string& aKey, const std::string& aValue);
  /** Removes a row, as an outside client; polls report it with version 0. */
  void Remove(const std::string& aKey);
  bool Has(const std::string& aKey);
  /** @return Number of reads of single rows so far. */
  int RowReads();
  /** @return Number of writes so far, executed or not. */
  int Writes();
  std::string ValueOf(const std::string& aKey);

  /** While set, all calls fail without effect. */
  void SetDown(bool aDown);
  /** Sets the fault of all further writes. */
  void SetWriteFault(WriteFault aFault);
  /** Applies the writes that were delayed by WriteFault::kLate. */
  void DeliverLate();
  /**
   * Refuses all further writes that cover a row of a table, without effect.
   * @param aTable Name of the table; empty for none.
   */
  void SetRefusedTable(const std::string& aTable);
  /** Rejects all further writes of values of more than so many bytes. */
  void SetRowLimit(std::size_t aBytes);
  /** Rejects all further writes of a row; empty for none. */
  void SetRejectedRow(const std::string& aKey);
  /** Delays the effect and the reply of all further calls but polls. */
  void SetDelays(std::chrono::milliseconds aRead,
                 std::chrono::milliseconds aWrite);
  /** While set, polls report no changes. */
  void SetFeedSuppressed(bool aSuppressed);
  /** Limits the rows of one poll to the oldest changes; 0 for no limit. */
  void SetFeedPage(std::size_t aRows);
  /** Limits the rows of one page of a range; 0 for no limit. */
  void SetRangePage(std::size_t aRows);
  /**
   * Makes a poll fail because its history is no longer kept.
   * @param aTable Fails the next poll of this table; empty for the next poll of
   *   changes since now or earlier.
   */
  void DropHistory(const std::string& aTable = "");
  /** Holds the replies to reads of a table; empty to send those held. */
  void SetRepliesHeld(const std::string& aTable)
  {
    Hold(&FakeFeedStore::mHeldTable, aTable);
  }
  /** The same for the replies to writes that cover a row of the table. */
  void SetWriteRepliesHeld(const std::string& aTable)
  {
    Hold(&FakeFeedStore::mHeldWriteTable, aTable);
  }
  /** @return Number of replies held. */
  std::size_t RepliesHeld();

private:
  struct PendingPoll
  {
    std::string mTable;
    std::uint64_t mAfter;
    std::chrono::steady_clock::time_point mUntil;
    ChangeFeedPort::Completion mCompletion;
  };

  struct DelayedCall
  {
    std::chrono::steady_clock::time_point mAt;
    std::function<void()> mExecute;
  };

  /** Completes pending polls and delayed calls on the store's thread. */
  void RunThread();
  void CompletePolls(std::unique_lock<std::mutex>& aLock);
  void ExecuteDelayed(std::unique_lock<std::mutex>& aLock);
  /** Executes a call now, or on the store's thread after a delay. */
  void Execute(std::chrono::milliseconds FakeFeedStore::*aDelay,
               std::function<void()> aExecute);
  void ExecuteReadRow(const std::string& aKey,
                      const StorePort::Completion& aCompletion);
  void ExecuteTransact(const state::Transaction& aTransaction,
                       const StorePort::Completion& aCompletion);
  std::vector<state::StoreRow> ChangesOf(const std::string& aTable,
                                         std::uint64_t aAfter) const;
  state::StoreResult MakeResult(state::StoreStatus aStatus,
                                std::vector<state::StoreRow> aRows) const;
  /** @return The oldest of some changes, up to the limit of SetFeedPage(). */
  state::StoreResult MakePage(std::vector<state::StoreRow> aRows) const;
  state::StoreResult Apply(const state::Transaction& aTransaction);
  /** Sets a table whose replies are held; empty to send those held. */
  void Hold(std::string FakeFeedStore::*aHeldTable, const std::string& aTable);
  bool IsRefused(const state::Transaction& aTransaction) const;
  bool IsRejected(const state::Transaction& aTransaction) const;

  std::mutex mMutex;
  std::condition_variable mWake;
  std::map<std::string, state::StoreRow> mRows;
  /** Store versions of the removals by Remove(), by key. */
  std::map<std::string, std::uint64_t> mRemovals;
  std::uint64_t mVersion = 1;
  std::uint64_t mHistoryFrom = 0;
  std::string mDroppedTable;
  int mRowReads = 0;
  int mWrites = 0;
  bool mDown = false;
  bool mFeedSuppressed = false;
  std::size_t mFeedPage = 0;
  std::size_t mRangePage = 0;
  WriteFault mWriteFault = WriteFault::kNone;
  std::string mRefusedTable;
  std::size_t mRowLimit = std::numeric_limits<std::size_t>::max();
  std::string mRejectedRow;
  std::chrono::milliseconds mReadDelay{ 0 };
  std::chrono::milliseconds mWriteDelay{ 0 };
  std::vector<DelayedCall> mDelayedCalls;
  std::vector<state::Transaction> mLate;
  std::string mHeldTable;
  std::string mHeldWriteTable;
  std::vector<std::function<void()>> mHeldReplies;
  std::vector<PendingPoll> mPendingPolls;
  bool mStopping = false;
  std::thread mThread;
};

/** Workers that complete each run at the next renewal. */
class FakeTaskWorkers final : public coordination::TaskWorkerPort
{
public:
  void Start(const state::scheduling::StartCommand& aCommand,
             CommandCompletion aCompletion) override;
  void Stop(const state::scheduling::StopCommand& aCommand,
            CommandCompletion aCompletion) override;
  void Renew(const state::scheduling::RenewCommand& aCommand,
             RenewCompletion aCompletion) override;

  /** While set, runs do not complete. */
  void SetRunsBlocked(bool aBlocked);
  /**
   * Makes each run that starts from scratch end at its lease with a checkpoint
   * of so many bytes, which no other task has; 0 for none.
   */
  void SetCheckpointBytes(std::size_t aBytes);
  int Starts();
  /** @return Number of terminations that no owner has acknowledged. */
  std::size_t UnacknowledgedEnds();
  /** @return Number of starts that resumed a task from its own checkpoint. */
  int Resumptions();
  int Renewals();
  /** @return Number of commands that extended the lease of a worker. */
  int Extensions();
  /** @return Number of workers that were renewed at least once. */
  std::size_t RenewedWorkers();
  std::uint64_t HighestEpoch();

private:
  struct Run
  {
    std::uint64_t mNumber = 0;
    bool mIsResumed = false;
  };

  struct Worker
  {
    std::map<state::scheduling::TaskId, Run> mRuns;
    std::vector<state::scheduling::TerminatedRun> mTerminated;
    std::uint64_t mTerminations = 0;
    std::uint64_t mEpoch = 0;
    bool mIsRenewed = false;
  };

  std::mutex mMutex;
  std::map<std::string, Worker> mWorkers;
  bool mRunsBlocked = false;
  std::size_t mCheckpointBytes = 0;
  int mStarts = 0;
  int mResumptions = 0;
  int mRenewals = 0;
  int mExtensions = 0;
};

/** Path from one daemon to the workers, which can be cut. */
class FakeWorkerPath final : public coordination::TaskWorkerPort
{
public:
  explicit FakeWorkerPath(FakeTaskWorkers& aWorkers)
    : mWorkers(aWorkers)
  {
  }

  void Start(const state::scheduling::StartCommand& aCommand,
             CommandCompletion aCompletion) override;
  void Stop(const state::scheduling::StopCommand& aCommand,
            CommandCompletion aCompletion) override;
  void Renew(const state::scheduling::RenewCommand& aCommand,
             RenewCompletion aCompletion) override;

  /** While set, commands have no effect and get no reply. */
  void SetCut(bool aCut) { mCut = aCut; }

private:
  FakeTaskWorkers& mWorkers;
  std::atomic<bool> mCut{ false };
};

/**
 * Codec of test rows: a catalog is "version key...", a worker its number of
 * accelerators, which its zone may follow.
 */
class FakePlatformRowCodec final : public coordination::PlatformRowCodec
{
public:
  state::scheduling::Catalog DecodeCatalog(
    const std::string& aValue,
    std::uint64_t aRowVersion) const override;
  state::scheduling::WorkerInfo DecodeWorker(
    const std::string& aId,
    const std::string& aValue) const override;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_COORDINATION_FAKE_FLEET_H
