#ifndef CORNELRUDDER_COORDINATION_FORWARD_TASK_H
#define CORNELRUDDER_COORDINATION_FORWARD_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/PeerMessage.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct ForwardTaskOptions
{
  state::VmId mSelf;
  /** The placement domain whose owner executes the job commands. */
  state::RegionId mDomain;
  state::Incarnation mIncarnation = 1;
  /**
   * Time to wait for the owner's reply. It exceeds the time that the owner
   * needs for its writes while the store is slow (1 s for each attempt).
   */
  std::chrono::milliseconds mReplyTimeout{ 5'000 };
};

/**
 * Starts the task that forwards job commands to the owner of the placement
 * domain. It replies to state::JobCommand with state::JobReply. It also handles
 * DomainOwner, GetCounters, and ForwardRequest and ForwardReply as
 * PeerMessageReceived. A forwarded command is never forwarded again.
 * @param aMembership The membership task.
 * @param aPlacement Replies to state::JobCommand with state::JobReply; null in
 *   a process without placement.
 * @param aClock Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnForwardTask(caf::actor_system& aSystem,
                 const caf::actor& aMembership,
                 const caf::actor& aPlacement,
                 const Clock& aClock,
                 EventLog& aLog,
                 ForwardTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_FORWARD_TASK_H
