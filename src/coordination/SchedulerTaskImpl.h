#ifndef CORNELRUDDER_SRC_COORDINATION_SCHEDULER_TASK_IMPL_H
#define CORNELRUDDER_SRC_COORDINATION_SCHEDULER_TASK_IMPL_H

#include "LatencyCounters.h"
#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/SchedulerTask.h"
#include "cornelrudder/coordination/SchedulingMessages.h"
#include "cornelrudder/coordination/SchedulingTables.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"
#include "cornelrudder/state/Backoff.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/OwnerTenure.h"
#include "cornelrudder/state/scheduling/Scheduler.h"
#include "cornelrudder/state/scheduling/SettingsConfirmation.h"

#include <caf/event_based_actor.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::coordination {

class SchedulerTask;

/**
 * Limit on records in one write. With the lease and the removals, a write stays
 * below the 100 rows that the store accepts.
 */
inline constexpr std::size_t kMaxRecordsPerWrite = 40;

/** Retries a step, if the scheduler task still owns the lease of the epoch. */
struct RetryStep
{
  std::uint64_t mEpoch;
  void (SchedulerTask::*mStep)();
};

/**
 * The actor behind SpawnSchedulerTask. It is implemented in four files:
 * SchedulerTask (messages, planning, commands), SchedulerTaskOwnership (lease
 * and writes), SchedulerTaskRows (loading the tables and their changes) and
 * SchedulerTaskDiagnostics (log lines on changes of owner).
 */
class SchedulerTask : public caf::event_based_actor
{
public:
  SchedulerTask(caf::actor_config& aConfig,
                SchedulerPorts aPorts,
                SchedulerTaskOptions aOptions);

  caf::behavior make_behavior() override;

private:
  using Millis = std::chrono::milliseconds;
  using Step = void (SchedulerTask::*)();
  using ResultHandler = void (SchedulerTask::*)(const state::StoreResult&);

  /** State of a paged read of a table. */
  struct TableRead
  {
    const char* mTable;
    /** Called after a failed page; restarts the read. */
    Step mOnFailure = nullptr;
    /** Called after the last page. */
    Step mOnComplete = nullptr;
    std::vector<state::StoreRow> mRows{};
    /** Store version of the first page; changes are polled from there. */
    std::uint64_t mVersion = 0;
  };

  /** How this daemon acquired the lease, for the log. */
  struct Takeover
  {
    std::string mFormerOwner;
    std::uint64_t mFormerEpoch = 0;
    std::string mReason;
    /** Time since this daemon first read the version that it replaced. */
    Millis mRowAge{ 0 };

    auto operator<=>(const Takeover&) const = default;
  };

  enum class Mode
  {
    /** This daemon is not the owner and watches the lease row. */
    kFollowing,
    /** The write that acquires the lease is in flight. */
    kAcquiring,
    /** This daemon has the lease and reads the tables. */
    kLoading,
    /** This daemon has the lease and schedules. */
    kOwning,
    /** Ownership was released for a planned stop; final. */
    kReleased
  };

  // Messages and commands.
  void HandleTick();
  void ScheduleCycle(Millis aDelay);
  void RunSchedulingCycle();
  Millis DetectSuspension();
  /**
   * @return Whether the lease was confirmed recently enough to command workers,
   *   and after the last suspension.
   */
  bool IsLeaseConfirmed() const
  {
    return mTenure.MayCommand(Now()) &&
           mTenure.ConfirmedAt() >= mConfirmLeaseFrom;
  }
  Millis StartsUntil(Millis aNow) const;
  void ApplySettings(const CatalogView& aView);
  void SendCommands(Millis aNow);
  void LogSchedulerEvents();
  Counters CollectCounters() const;
  template<typename CompletedMessage, typename Command>
  auto MakeReplyHandler(const Command& aCommand);
  bool IsCurrent(std::uint64_t aEpoch) const;

  // Ownership.
  void ReadLease();
  void HandleLeaseRow(const state::StoreResult& aResult);
  void HandleMalformedLease(const state::StoreRow& aRow,
                            Millis aStoreTime,
                            const std::string& aError);
  void AcquireLease(std::uint64_t aVersion,
                    const state::scheduling::OwnerLease& aObserved,
                    const char* aReason);
  void HandleAcquireResult(const state::StoreResult& aResult);
  void FinishAcquire(std::uint64_t aVersion);
  bool IsWriteDue() const;
  bool IsMemoryReportDue() const;
  void Write();
  std::size_t TasksPerRecord() const;
  std::string EncodeLease();
  std::vector<state::RowWrite> CollectRecords();
  std::vector<state::RowWrite> CollectRemovals(std::size_t aRecords);
  void FinishRemovals();
  void FinishWrite(const state::StoreResult& aResult);
  void HandleRejectedWrite();
  void HandleWriteConflict(const state::StoreResult& aResult);
  void ConfirmLease(std::uint64_t aSequence);
  void StepDown(const char* aReason);
  void EndOwnership();
  bool IsOwnerSilent(const state::scheduling::OwnerLease& aLease);
  Millis Delay(const state::Backoff& aBackoff, int aFailedAttempts);
  void CheckReachability();
  void LogRelease();
  void Release();
  Millis LastStoredWriteAt() const;
  void LogTakeover();
  void LogOwnerStopped(const char* aReason);
  state::scheduling::LeaseWrite MakeLeaseWrite(Millis aSentAt) const;
  Millis LastEarlierStartAt(std::uint64_t aVersion,
                            const state::scheduling::OwnerLease& aLease) const;
  void TrackCommandPause(Millis aNow);
  void TrackStartPause(Millis aNow);
  void EndCommandPause();

  // Tables.
  void RetryLater(Millis aDelay, Step aStep);
  void BeginLoad();
  template<TableRead SchedulerTask::*Read>
  void ReadTable(Step aOnFailure, Step aOnComplete);
  template<TableRead SchedulerTask::*Read>
  void ReadPage(const std::string& aFrom);
  template<TableRead SchedulerTask::*Read>
  void HandlePage(const state::StoreResult& aResult);
  std::optional<state::scheduling::JobProgress> DecodeRecord(
    const std::vector<const state::StoreRow*>& aRows);
  void LoadProgress();
  void LoadJobs();
  void FinishLoad();
  void PollJobs();
  void HandleJobChanges(const state::StoreResult& aResult);
  void PollWorkers();
  void HandleWorkerChanges(const state::StoreResult& aResult);
  void RereadJobs();
  void FinishRereadJobs();
  void RereadWorkers();
  void FinishRereadWorkers();
  void ApplyJobRow(const state::StoreRow& aRow,
                   const state::scheduling::JobProgress* aProgress);
  void ApplyWorkerRow(const state::StoreRow& aRow);
  void LogMalformed(const std::string& aKey, const std::string& aError);

  /** @return A completion that passes the store's result to a handler. */
  StorePort::Completion ExpectResult(ResultHandler aOnComplete);
  void HandleStoreReply(const StoreCallCompleted& aCompleted);
  void TrackStoreAvailability(const state::StoreResult& aResult);
  Millis Now() const { return mPorts.mClock.Now(); }

  SchedulerPorts mPorts;
  SchedulerTaskOptions mOptions;
  WriteIdGenerator mWriteIds;
  Mode mMode = Mode::kFollowing;
  bool mReleasing = false;
  /** Set while the lease is being released for want of reachable workers. */
  std::optional<state::scheduling::OwnerReachability> mIsolation;

  std::map<std::uint64_t, ResultHandler> mStoreCalls;
  std::uint64_t mLastOperationId = 0;
  StoreClockReading mStoreClock;
  bool mStoreUnavailable = false;

  state::scheduling::LeaseObserver mOwnerObserver;
  /** Measures how long the lease row has been without an owner. */
  state::scheduling::LeaseObserver mReleaseObserver;
  /** Measures whether no other daemon acquires a lease without an owner. */
  state::scheduling::LeaseObserver mUnclaimedObserver;
  /** Until this time other daemons acquire the lease before this one. */
  Millis mAbstainUntil{ 0 };
  Millis mAcquiredAt{ 0 };
  state::scheduling::OwnerLease mLease;
  std::uint64_t mLeaseVersion = 0;
  /** See SchedulerOptions; from the released lease until the tables are read.
   */
  std::map<std::string, Millis> mInheritedLeases;
  state::scheduling::LeaseSighting mLeaseSighting;
  /** See SchedulerOptions. */
  Millis mLastEarlierCommandAt{ 0 };
  Millis mLastEarlierStartAt{ 0 };
  /** Last logged version of a lease row that could not be decoded. */
  std::uint64_t mMalformedLeaseVersion = 0;
  bool mLeaseReadInFlight = false;
  Millis mLeaseReadSentAt{ 0 };
  state::scheduling::StoreTiming mStoreTiming;
  bool mWriteInFlight = false;
  /** Number of records in the write in flight. */
  std::size_t mRecordsInFlight = 0;
  /** Terminated jobs whose rows the write in flight removes. */
  std::vector<std::string> mRemovalsInFlight;
  /** When this owner read each row of a withdrawal, and its key. */
  std::deque<std::pair<Millis, std::string>> mWithdrawals;
  /** Number of withdrawals, the oldest ones, that the write removes. */
  std::size_t mWithdrawalsInFlight = 0;
  /**
   * Limit on the records of a write. The store rejects a write whole, so the
   * limit is halved after each rejection until the rejected record is alone.
   */
  std::size_t mMaxRecords = kMaxRecordsPerWrite;
  /** The next write only renews the lease, since the last one was rejected. */
  bool mIsRenewalFirst = false;
  Millis mLastWriteAt{ 0 };
  Millis mLastCycleAt{ 0 };
  state::scheduling::OwnerTenure mTenure;
  /** Recent writes by sequence number of the lease. */
  std::map<std::uint64_t, state::scheduling::LeaseWrite> mSentWrites;
  /** The write that acquired the lease. */
  state::scheduling::LeaseWrite mAcquireWrite;
  /** End of the last suspension of this process that was noticed. */
  Millis mConfirmLeaseFrom{ 0 };
  /** Begin of the first write since the last stored one. */
  Millis mWriteBegunAt{ 0 };
  bool mIsWriteRetry = false;
  /** Earliest time of the next write after a failed one. */
  Millis mNextWriteAt{ 0 };
  int mFailedWrites = 0;
  state::Backoff mWriteBackoff;
  /** Earliest time of the next attempt to acquire the lease. */
  Millis mNextAcquireAt{ 0 };
  /** When this daemon takes over from a silent owner; see IsOwnerSilent(). */
  std::optional<Millis> mTakeoverAt;
  int mFailedAcquisitions = 0;
  Takeover mTakeover;
  /** Set while no commands are sent until the store confirms the lease. */
  std::optional<Millis> mCommandsPausedAt;
  /** Set while no runs are started for the same reason. */
  std::optional<Millis> mStartsPausedAt;
  state::Backoff mAcquireBackoff;
  std::mt19937_64 mRandom;

  std::optional<state::scheduling::Scheduler> mScheduler;
  std::shared_ptr<const state::scheduling::Catalog> mCatalog;
  state::scheduling::Evacuations mEvacuations;
  state::scheduling::SettingsConfirmation mSettingsConfirmation;
  bool mCycleScheduled = false;
  bool mExpiryReadScheduled = false;
  /** Minimum delay of the next cycle, set by the last plan. */
  Millis mPlanPause{ 0 };

  TableRead mWorkersRead{ kWorkersTable };
  TableRead mProgressRead{ kProgressTable };
  TableRead mJobsRead{ kJobsTable };
  /** The jobs are being read again, after the feed has lost changes. */
  bool mIsRereadingJobs = false;
  /** Keys of the jobs whose rows were deleted meanwhile. */
  std::set<std::string> mRemovedDuringReread;
  std::uint64_t mJobsVersion = 0;
  std::uint64_t mWorkersVersion = 0;
  /** When the last poll that returned all changes of the workers was sent. */
  Millis mWorkersCurrentAt{ 0 };
  Millis mWorkersPolledAt{ 0 };
  std::set<std::string> mListedWorkers;
  /** Keys of the jobs whose records could not be decoded at the load. */
  std::set<std::string> mUnreadableJobs;
  Millis mLoadStart{ 0 };
  state::LatencyHistogram mWriteLatency;
  Counters mCounters;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RetryStep)

#endif // CORNELRUDDER_SRC_COORDINATION_SCHEDULER_TASK_IMPL_H
