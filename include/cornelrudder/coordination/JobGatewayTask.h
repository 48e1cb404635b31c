#ifndef CORNELRUDDER_COORDINATION_JOB_GATEWAY_TASK_H
#define CORNELRUDDER_COORDINATION_JOB_GATEWAY_TASK_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/SchedulingCodec.h"
#include "cornelrudder/coordination/StorePort.h"
#include "cornelrudder/state/scheduling/JobMemory.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>

namespace cornelrudder::coordination {

struct JobGatewayTaskOptions
{
  /** Prefix of write ids; unique for each incarnation of the process. */
  std::string mIncarnation;
  /**
   * Age of the last confirmation up to which the settings are used. Together
   * with the longest duration of a call, it stays below the time limit within
   * which calls with a withdrawn API key must be rejected.
   */
  std::chrono::milliseconds mCatalogMaxAge{ 3'000 };
  /**
   * Age of the last confirmation up to which the daemon reports itself ready:
   * somewhat longer than two polls of the feed. It is shorter than
   * mCatalogMaxAge, so that callers move to another daemon before this one has
   * to reject their calls.
   */
  std::chrono::milliseconds mReadyCatalogMaxAge{ 1'600 };
  /**
   * Age of the store's last reply above which a probe read precedes a write.
   * A failed read has no effect, but a failed write may have taken effect.
   */
  std::chrono::milliseconds mProbeAfterIdle{ 250 };
  /** Delay before a write with an unknown outcome is retried. */
  std::chrono::milliseconds mWriteRetryDelay{ 120 };
  /** Part of a call's timeout reserved for sending the reply. */
  std::chrono::milliseconds mReplyTimeReserve{ 200 };
  /** Largest value of a row in the store, in bytes. */
  std::size_t mMaxRowBytes = 49'152;
  /** Memory of all jobs that are accepted and not ended, in bytes. */
  std::uint64_t mMaxJobBytes = state::scheduling::kDefaultJobBytes;
};

/**
 * Starts the task that serves calls about jobs. It stores a job before it
 * accepts it, by a write conditional on the version of the settings that it
 * checked, so that no submission is accepted under outdated settings. It
 * handles JobCall, CatalogView, GetGatewayReadiness, BeginGatewayDrain and
 * GetCounters.
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
