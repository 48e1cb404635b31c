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
  /** The placement domain that job commands are for. */
  state::RegionId mDomain;
  state::Incarnation mIncarnation = 1;
  /**
   * Longer than the owner needs for its writes while the store answers
   * slowly (1 s for each attempt).
   */
  std::chrono::milliseconds mReplyTimeout{ 5'000 };
};

/**
 * Starts the task that brings job commands to the owner of the placement
 * domain. It takes state::JobCommand and answers with state::JobReply; it
 * takes DomainOwner, and ForwardRequest and ForwardReply as
 * PeerMessageReceived. A forwarded command is never forwarded again.
 * @param aMembership The membership task.
 * @param aPlacement Takes state::JobCommand and answers with state::JobReply;
 *   may be null in a process without placement.
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
