#ifndef CORNELRUDDER_COORDINATION_LEASE_TASK_H
#define CORNELRUDDER_COORDINATION_LEASE_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/RowCodec.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"
#include "cornelrudder/state/Ids.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>

namespace cornelrudder::coordination {

struct LeaseTaskOptions
{
  state::RegionId mDomain;
  state::VmId mSelf;
  /** Unique to this run of the process. */
  std::string mIncarnation;
  std::chrono::milliseconds mLeaseDuration{ 6'000 };
};

/**
 * Starts the task that competes for the lease of a placement domain. It handles
 * Subscribe, ReleaseLease and GetLeaseStatus. Subscribers receive DomainOwner
 * immediately and whenever the owner, or the epoch or expiry of this daemon's
 * own lease, changes.
 * @param aStore The store task.
 * @param aCodec Must outlive the actor system, as must aClock and aLog.
 */
caf::actor
SpawnLeaseTask(caf::actor_system& aSystem,
               const caf::actor& aStore,
               const RowCodec& aCodec,
               const Clock& aClock,
               EventLog& aLog,
               WriteIdGenerator aWriteIds,
               LeaseTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_LEASE_TASK_H
