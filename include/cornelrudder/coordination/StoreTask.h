#ifndef CORNELRUDDER_COORDINATION_STORE_TASK_H
#define CORNELRUDDER_COORDINATION_STORE_TASK_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/StorePort.h"

#include <caf/fwd.hpp>

namespace cornelrudder::coordination {

/**
 * Starts the task through which all others use the table. It takes ReadRow,
 * ListRows and Transaction and answers with StoreResult.
 * @param aPort Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnStoreTask(caf::actor_system& aSystem, StorePort& aPort, EventLog& aLog);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_STORE_TASK_H
