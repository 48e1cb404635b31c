#ifndef CORNELRUDDER_STATE_SLOT_ASSIGNMENT_H
#define CORNELRUDDER_STATE_SLOT_ASSIGNMENT_H

#include "cornelrudder/state/Ids.h"

#include <vector>

namespace cornelrudder::state {

/**
 * Assigns the slots of a runner to daemons by rendezvous hashing, so that
 * daemons with the same view share a runner without a message per request.
 * @param aRunner The runner.
 * @param aSlots Number of slots of the runner.
 * @param aDaemons The live daemons.
 * @param aSelf The daemon whose slots are counted.
 * @return How many of the slots belong to that daemon.
 */
int
AssignedSlots(const VmId& aRunner,
              int aSlots,
              const std::vector<VmId>& aDaemons,
              const VmId& aSelf);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SLOT_ASSIGNMENT_H
