#ifndef CORNELRUDDER_SRC_COORDINATION_SCHEDULER_TASK_IMPL_H
#define CORNELRUDDER_SRC_COORDINATION_SCHEDULER_TASK_IMPL_H

#include "LatencyCounters.h"
#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/SchedulerTask.h"
#include "cornelrudder/coordination/SchedulingMessages.h"
#include "cornelrudder/coordination/SchedulingTables.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::coordination {

class SchedulerTask;

/** Retries a step, if the scheduler task still owns the lease of the epoch. */
struct RetryStep
{
  std::uint64_t mEpoch;
  void (SchedulerTask::*mStep)();
};

/**
 * The actor behind SpawnSchedulerTask. It is implemented in three files:
 * SchedulerTask (messages, planning, commands), SchedulerTaskOwnership (lease
 * and writes) and SchedulerTaskRows (loading the tables and their changes).
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
  using AnswerStep = void (SchedulerTask::*)(const state::StoreResult&);

  /** State of a paged read of a table. */
  struct TableRead
  {
    const char* mTable;
    /** Called after a failed page; restarts the read. */
    Step mOnFailure = nullptr;
    /** Called after the last page. */
    Step mThen = nullptr;
    std::vector<state::StoreRow> mRows{};
    /** Store version of the first page; changes are polled from there. */
    std::uint64_t mVersion = 0;
  };

  enum class Mode
  {
    /** This daemon is not the owner and watches the lease row. */
    kFollowing,
    /** The write that acquires the lease is in flight. */
    kTaking,
    /** This daemon has the lease and reads the tables. */
    kLoading,
    /** This daemon has the lease and schedules. */
    kOwning,
    /** Ownership was released for a planned stop; final. */
    kReleased
  };

  // Messages and commands.
  void BeginTick();
  void QueueAdvance(Millis aDelay);
  void RunSchedulingCycle();
  void SendOrders();
  void LogNotes();
  Counters CountAll() const;
  template<typename Answered, typename Command>
  auto AnswerTo(const Command& aCommand);
  bool IsCurrent(std::uint64_t aEpoch) const;

  // Ownership.
  void ReadLease();
  void TakeLeaseRow(const state::StoreResult& aResult);
  void Take(std::uint64_t aVersion,
            const state::scheduling::OwnerLease& aSeen,
            const char* aReason);
  void FinishTake(const state::StoreResult& aResult);
  void BeginOwning(std::uint64_t aVersion);
  bool IsWriteDue() const;
  void Write();
  void FinishWrite(const state::StoreResult& aResult);
  void TakeConflict(const state::StoreResult& aResult);
  void StepDown(const char* aReason);
  void Release();

  // Tables.
  void RetryLater(Millis aDelay, Step aStep);
  void BeginLoad();
  template<TableRead SchedulerTask::*Read>
  void ReadTable(Step aOnFailure, Step aThen);
  template<TableRead SchedulerTask::*Read>
  void ReadPage(const std::string& aFrom);
  template<TableRead SchedulerTask::*Read>
  void TakePage(const state::StoreResult& aResult);
  void LoadRuns();
  void LoadJobs();
  void FinishLoad();
  void FollowJobs();
  void TakeJobChanges(const state::StoreResult& aResult);
  void FollowWorkers();
  void TakeWorkerChanges(const state::StoreResult& aResult);
  void RereadJobs();
  void FinishRereadJobs();
  void RereadWorkers();
  void FinishRereadWorkers();
  void ApplyJobRow(const state::StoreRow& aRow,
                   const state::scheduling::JobProgress* aProgress);
  void ApplyWorkerRow(const state::StoreRow& aRow);
  void LogMalformed(const std::string& aKey, const std::string& aError);

  StorePort::Completion Expect(AnswerStep aThen);
  void TakeAnswer(const StoreCallCompleted& aAnswer);
  void NoteStore(const state::StoreResult& aResult);
  Millis Now() const { return mPorts.mClock.Now(); }

  SchedulerPorts mPorts;
  SchedulerTaskOptions mOptions;
  WriteIdGenerator mWriteIds;
  Mode mMode = Mode::kFollowing;
  bool mReleasing = false;

  std::map<std::uint64_t, AnswerStep> mExchanges;
  std::uint64_t mTickets = 0;
  StoreClockReading mStoreClock;
  bool mStoreLost = false;

  state::scheduling::LeaseObserver mObserver;
  /** Measures how long the lease row has been without an owner. */
  state::scheduling::LeaseObserver mReleaseObserver;
  state::scheduling::OwnerLease mLease;
  std::uint64_t mLeaseVersion = 0;
  bool mReadingLease = false;
  bool mWriting = false;
  /** Number of ended jobs whose rows the write in flight removes. */
  std::size_t mRemoving = 0;
  Millis mLastWrite{ 0 };
  /** Earliest time of the next write after a failed one. */
  Millis mWriteAfter{ 0 };

  std::optional<state::scheduling::Scheduler> mScheduler;
  std::shared_ptr<const state::scheduling::Catalog> mCatalog;
  bool mAdvanceQueued = false;
  /** Minimum pause after the last plan. */
  Millis mPlanPause{ 0 };

  TableRead mWorkersRead{ kWorkersTable };
  TableRead mRunsRead{ kProgressTable };
  TableRead mJobsRead{ kJobsTable };
  std::uint64_t mJobsVersion = 0;
  std::uint64_t mWorkersVersion = 0;
  std::set<std::string> mListedWorkers;
  Millis mLoadStart{ 0 };
  state::LatencyHistogram mWriteLatency;
  Counters mCounters;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RetryStep)

#endif // CORNELRUDDER_SRC_COORDINATION_SCHEDULER_TASK_IMPL_H
