#ifndef CORNELRUDDER_COORDINATION_ROUTING_TASK_H
#define CORNELRUDDER_COORDINATION_ROUTING_TASK_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/RunnerPort.h"
#include "cornelrudder/state/Ids.h"

#include <caf/fwd.hpp>

namespace cornelrudder::coordination {

struct RoutingTaskOptions
{
  state::VmId mSelf;
  state::ZoneId mZone;
  int mSlotsPerRunner = 8;
};

/**
 * Starts the task that sends requests to runners. It takes RunRequest and
 * answers with RunOutcome; it takes VmList, MembersView and SettingsView.
 * @param aPort Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnRoutingTask(caf::actor_system& aSystem,
                 RunnerPort& aPort,
                 EventLog& aLog,
                 RoutingTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_ROUTING_TASK_H
