#ifndef CORNELRUDDER_COORDINATION_PLACEMENT_TASK_H
#define CORNELRUDDER_COORDINATION_PLACEMENT_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/GangWorkerPort.h"
#include "cornelrudder/coordination/RowCodec.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"
#include "cornelrudder/state/Gang.h"
#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/PlacementStrategy.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct PlacementTaskOptions
{
  state::VmId mSelf;
  state::RegionId mRegion;
  state::GangTiming mTiming{};
  /** Interval of the checks of leases, row retries and waiting callers. */
  std::chrono::milliseconds mTickInterval{ 250 };
  /** Delay before a row with an unresolved write is read or written again. */
  std::chrono::milliseconds mRowRetryDelay{ 250 };
  /** Time limit of a caller's reply; then the outcome is reported unknown. */
  std::chrono::milliseconds mReplyTimeout{ 5'000 };
  /** Backoff after a failed attempt; doubles each time, up to 64-fold. */
  std::chrono::milliseconds mRequeueBackoff{ 500 };
  /** If not null, overrides the strategy named in the settings. */
  const state::PlacementStrategy* mStrategy = nullptr;
};

/** Dependencies of a placement task; all must outlive the actor system. */
struct PlacementPorts
{
  GangWorkerPort& mWorkers;
  const RowCodec& mCodec;
  const Clock& mClock;
  EventLog& mLog;
};

/**
 * Starts the task that owns the jobs of one region while this daemon holds the
 * region's lease. It handles JobCommand, to which it responds with JobReply,
 * and VmList, SettingsSnapshot and DomainOwner.
 * @param aStore The store task.
 */
caf::actor
SpawnPlacementTask(caf::actor_system& aSystem,
                   const caf::actor& aStore,
                   PlacementPorts aPorts,
                   WriteIdGenerator aWriteIds,
                   PlacementTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_PLACEMENT_TASK_H
