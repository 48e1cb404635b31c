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
  /** How often leases, retries and waiting callers are looked at. */
  std::chrono::milliseconds mTickInterval{ 250 };
  /** Pause before a row whose write is unresolved is read or written again. */
  std::chrono::milliseconds mRowRetryDelay{ 250 };
  /** Longest wait of a caller for a write; after it the outcome is open. */
  std::chrono::milliseconds mReplyTimeout{ 5'000 };
  /** Pause after a failed attempt, doubled by each up to 64 times. */
  std::chrono::milliseconds mRequeueBackoff{ 500 };
  /** Used instead of the strategy that the settings name, unless null. */
  const state::PlacementStrategy* mStrategy = nullptr;
};

/** What a placement task uses; all must outlive the actor system. */
struct PlacementPorts
{
  GangWorkerPort& mWorkers;
  const RowCodec& mCodec;
  const Clock& mClock;
  EventLog& mLog;
};

/**
 * Starts the task that owns the jobs of one region while this daemon holds the
 * region's lease. It takes JobCommand and answers with JobReply; it takes
 * VmList, SettingsSnapshot and DomainOwner.
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
