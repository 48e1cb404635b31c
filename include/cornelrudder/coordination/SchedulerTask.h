#ifndef CORNELRUDDER_COORDINATION_SCHEDULER_TASK_H
#define CORNELRUDDER_COORDINATION_SCHEDULER_TASK_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/SchedulingCodec.h"
#include "cornelrudder/coordination/StorePort.h"
#include "cornelrudder/coordination/TaskWorkerPort.h"
#include "cornelrudder/state/scheduling/JobMemory.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>

namespace cornelrudder::coordination {

/** Dependencies of the scheduler task; must outlive the actor system. */
struct SchedulerPorts
{
  StorePort& mStore;
  ChangeFeedPort& mFeed;
  TaskWorkerPort& mWorkers;
  const SchedulingCodec& mCodec;
  const PlatformRowCodec& mPlatformCodec;
  const Clock& mClock;
  EventLog& mLog;
};

struct SchedulerTaskOptions
{
  /**
   * Name of this daemon. The daemon takes over the lease of its own earlier
   * incarnation without waiting for the owner timeout.
   */
  std::string mSelf;
  /** Identifies the process incarnation; never reused after a restart. */
  std::string mIncarnation;
  /** Interval at which the owner renews its lease and others read it. */
  std::chrono::milliseconds mRenewInterval{ 400 };
  /**
   * Time without a renewal after which the owner is considered failed. It
   * exceeds one renewal interval plus the longest write of a slow store, which
   * takes 60 times its usual 7 ms.
   */
  std::chrono::milliseconds mOwnerTimeout{ 1'300 };
  /**
   * Additional wait of this daemon before it takes over, so that daemons on
   * VMs with more capacity take over first.
   */
  std::chrono::milliseconds mTakeoverDelay{ 0 };
  /**
   * Time for which a daemon that handed the lease over leaves it to others. It
   * exceeds the time in which an owner that is cut off as well hands over.
   */
  std::chrono::milliseconds mHandoverAbstention{ 10'000 };
  /**
   * Time without an owner after which such a daemon acquires the lease again.
   * It covers the owner timeout, the takeover delay of others and their reads.
   */
  std::chrono::milliseconds mUnclaimedTime{ 2'500 };
  /**
   * Backoff after a failed attempt to acquire the lease, and after a failed
   * write of the owner. A store that refuses writes for overload must not get
   * one from each daemon whenever the lease row has been unchanged for
   * mOwnerTimeout.
   */
  std::chrono::milliseconds mAcquireBackoffBase{ 400 };
  std::chrono::milliseconds mAcquireBackoffCap{ 3'200 };
  std::chrono::milliseconds mWriteBackoffBase{ 100 };
  /** Below mOwnerTimeout, so that the owner writes in time after an outage. */
  std::chrono::milliseconds mWriteBackoffCap{ 800 };
  /** Seed of the jitter; daemons use different ones. */
  std::uint64_t mJitterSeed = 1;
  /** Interval at which the owner polls the changes of the workers table. */
  std::chrono::milliseconds mWorkerPollInterval{ 400 };
  /**
   * Changed rows from which a reply counts as a full page: the store may keep
   * more changes, which are polled at once.
   */
  std::size_t mFullPageRows = 500;
  /** Longest time that a poll of the jobs table waits for a change. */
  std::chrono::milliseconds mFeedPollTimeout{ 1'000 };
  /** See SchedulerOptions, also for the following options. */
  std::chrono::milliseconds mWorkerLease{ 6'000 };
  std::chrono::milliseconds mMaxWorkerLease{ 10'000 };
  std::chrono::milliseconds mRenewWait{ 1'500 };
  std::chrono::milliseconds mSilenceLimit{ 4'500 };
  /**
   * Time that the rows of a terminated job are kept: five times the period in
   * which the platform's callers may query its state.
   */
  std::chrono::milliseconds mJobRetention{ 600'000 };
  /**
   * Time that withdrawals of jobs are kept: ten times the longest delay with
   * which the store may execute a write, 6 s.
   */
  std::chrono::milliseconds mWithdrawalRetention{ 60'000 };
  /**
   * Time within which an evacuation that an operator has stored is in force.
   * The owner starts runs only while the store has confirmed the settings more
   * recently; 0 starts them whatever the age of the settings.
   */
  std::chrono::milliseconds mEvacuationTime{ 0 };
  /** Name of the placement policy; empty for the default. */
  std::string mPolicy;
  /** Name of the predictor of run times; empty for the default. */
  std::string mRunTimes;
  /** Largest value of a row in the store, in bytes. */
  std::size_t mMaxRowBytes = 49'152;
  /** Memory of all jobs; see SchedulerOptions::mMaxJobBytes. */
  std::uint64_t mMaxJobBytes = state::scheduling::kDefaultJobBytes;
};

/**
 * Starts the task that competes for ownership of scheduling and, while it is
 * the owner, runs the stored jobs on the workers. Every write of the owner
 * renews its lease in the same transaction, so that a write of a former owner
 * never takes effect. It handles CatalogView, ReleaseOwnership and GetCounters.
 * The caller subscribes it to the catalog task.
 */
caf::actor
SpawnSchedulerTask(caf::actor_system& aSystem,
                   SchedulerPorts aPorts,
                   SchedulerTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SCHEDULER_TASK_H
