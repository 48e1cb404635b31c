#ifndef CORNELRUDDER_COORDINATION_MEMBERSHIP_TASK_H
#define CORNELRUDDER_COORDINATION_MEMBERSHIP_TASK_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/FleetPort.h"
#include "cornelrudder/state/Ids.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct MembershipTaskOptions
{
  state::VmId mSelf;
  std::chrono::milliseconds mPollInterval{ 2'000 };
};

/**
 * Starts the task that knows the VMs. It takes Subscribe and sends VmList and
 * MembersView to its subscribers.
 * @param aPort Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnMembershipTask(caf::actor_system& aSystem,
                    FleetPort& aPort,
                    EventLog& aLog,
                    MembershipTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_MEMBERSHIP_TASK_H
