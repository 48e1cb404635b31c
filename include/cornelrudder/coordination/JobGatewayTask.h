#ifndef CORNELRUDDER_COORDINATION_JOB_GATEWAY_TASK_H
#define CORNELRUDDER_COORDINATION_JOB_GATEWAY_TASK_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/SchedulingCodec.h"
#include "cornelrudder/coordination/StorePort.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>

namespace cornelrudder::coordination {

struct JobGatewayTaskOptions
{
  /** Prefix of write ids, unique for this life of the process. */
  std::string mIncarnation;
  /**
   * Age of the last confirmation of the settings up to which they are used:
   * below the bound for withdrawn keys, less the time that a call may take.
   */
  std::chrono::milliseconds mCatalogMaxAge{ 3'000 };
  /**
   * Age up to which the daemon says that it is ready: two rounds of the feed.
   * Callers are better off elsewhere long before calls must be refused.
   */
  std::chrono::milliseconds mReadyCatalogMaxAge{ 1'600 };
  /**
   * Age of the store's last answer from which on a write is preceded by a
   * read: a read that fails leaves nothing open, a write does.
   */
  std::chrono::milliseconds mProbeAfterIdle{ 250 };
  /** Pause before a write with an unknown outcome is sent again. */
  std::chrono::milliseconds mWriteRetryDelay{ 120 };
  /** Part of a call's time that is kept for the answer. */
  std::chrono::milliseconds mReplyTimeReserve{ 200 };
};

/**
 * Starts the task that takes calls about jobs. It accepts a job by one write
 * whose condition is that the settings it decided by are the newest, so that
 * a job is stored before it is accepted and no call is judged by old
 * settings. It takes JobCall, CatalogView and GetCounters.
 * @param aCatalog The catalog task.
 * @param aStore Must outlive the actor system, as must all references.
 */
caf::actor
SpawnJobGatewayTask(caf::actor_system& aSystem,
                    const caf::actor& aCatalog,
                    StorePort& aStore,
                    ChangeFeedPort& aFeed,
                    const SchedulingCodec& aCodec,
                    const PlatformRowCodec& aPlatformCodec,
                    const Clock& aClock,
                    EventLog& aLog,
                    JobGatewayTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_JOB_GATEWAY_TASK_H
