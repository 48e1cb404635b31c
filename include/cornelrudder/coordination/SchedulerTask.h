#ifndef CORNELRUDDER_COORDINATION_SCHEDULER_TASK_H
#define CORNELRUDDER_COORDINATION_SCHEDULER_TASK_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/SchedulingCodec.h"
#include "cornelrudder/coordination/StorePort.h"
#include "cornelrudder/coordination/TaskWorkerPort.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>

namespace cornelrudder::coordination {

/** The ports and codecs of the scheduler task; they outlive the system. */
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
  /** Name of this daemon; a row of an earlier life may be taken at once. */
  std::string mSelf;
  /** Unique for this life of the process. */
  std::string mIncarnation;
  /** How often the owner renews and the others look. */
  std::chrono::milliseconds mRenewInterval{ 400 };
  /**
   * Silence after which the owner counts as gone: a renewal and the longest
   * write of a slow store, which takes 60 times its usual 7 ms.
   */
  std::chrono::milliseconds mOwnerTimeout{ 1'300 };
  /**
   * How much longer this daemon waits before it takes over, so that stronger
   * VMs come first.
   */
  std::chrono::milliseconds mTakeoverDelay{ 0 };
  /** How often the owner reads the changes of the list of workers. */
  std::chrono::milliseconds mWorkerPollInterval{ 400 };
  /** How long the store may hold the answer of the feed of jobs. */
  std::chrono::milliseconds mFeedPollTimeout{ 1'000 };
  std::chrono::milliseconds mWorkerLease{ 6'000 };
  std::chrono::milliseconds mRenewWait{ 1'500 };
  /**
   * How long the rows of an ended job are kept: five times the time for which
   * the platform's callers may ask for its state.
   */
  std::chrono::milliseconds mJobRetention{ 600'000 };
  std::string mPolicy;
};

/**
 * Starts the task that competes for ownership of scheduling and, while it is
 * the owner, runs the jobs of the store on the workers. Every write of the
 * owner renews its lease in the same transaction, so that a write of a former
 * owner can never take effect. It takes Subscribe (for CatalogView of the
 * catalog task), CatalogView, ReleaseOwnership and GetCounters.
 */
caf::actor
SpawnSchedulerTask(caf::actor_system& aSystem,
                   SchedulerPorts aPorts,
                   SchedulerTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SCHEDULER_TASK_H
