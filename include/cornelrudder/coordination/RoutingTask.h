#ifndef CORNELRUDDER_COORDINATION_ROUTING_TASK_H
#define CORNELRUDDER_COORDINATION_ROUTING_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/RunnerPort.h"
#include "cornelrudder/state/Ids.h"

#include <caf/fwd.hpp>

#include <memory>

namespace cornelrudder::coordination {

struct RoutingTaskOptions
{
  state::VmId mSelf;
  state::ZoneId mZone;
  int mSlotsPerRunner = 8;
  std::shared_ptr<const Clock> mClock = std::make_shared<BootClock>();
};

/**
 * Starts the task that admits requests, queues them and sends them to runners.
 * It takes RunRequest and answers with RunOutcome; it takes VmList,
 * ActiveDaemonsView and SettingsSnapshot. A caller's timeout includes the wait
 * in a queue; without one the deadline is the class's longest wait plus its
 * longest run.
 * @param aPort Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnRoutingTask(caf::actor_system& aSystem,
                 RunnerPort& aPort,
                 EventLog& aLog,
                 RoutingTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_ROUTING_TASK_H
