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
 * It replies to RunRequest with RunOutcome, and handles VmList,
 * ActiveDaemonsView, SettingsSnapshot and GetCounters. The caller's timeout
 * includes the time in the queue. Without a timeout the deadline is the class's
 * maximum queue wait plus its run timeout.
 * @param aPort Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnRoutingTask(caf::actor_system& aSystem,
                 RunnerPort& aPort,
                 EventLog& aLog,
                 RoutingTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_ROUTING_TASK_H
