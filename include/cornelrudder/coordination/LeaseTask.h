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
  /** Unique for this life of the process. */
  std::string mIncarnation;
  std::chrono::milliseconds mLeaseDuration{ 6'000 };
};

/**
 * Starts the task that competes for the lease of a placement domain. It takes
 * Subscribe, ReleaseLease and GetLeaseStatus, and sends DomainOwner to its
 * subscribers at once and whenever the owner, the epoch or the end of the own
 * hold changes.
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
