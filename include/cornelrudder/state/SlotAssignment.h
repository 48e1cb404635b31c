#ifndef CORNELRUDDER_STATE_SLOT_ASSIGNMENT_H
#define CORNELRUDDER_STATE_SLOT_ASSIGNMENT_H

#include "cornelrudder/state/Ids.h"

#include <vector>

namespace cornelrudder::state {

/**
 * Assigns the slots of a runner to daemons by rendezvous hashing, so that
 * daemons with the same list of daemons share a runner without a message per
 * request.
 * @param aSlots Number of slots of the runner.
 * @param aDaemons The daemons that share the runner.
 * @param aSelf The daemon whose slots are counted.
 * @return Number of slots assigned to aSelf.
 */
int
AssignedSlots(const VmId& aRunner,
              int aSlots,
              const std::vector<VmId>& aDaemons,
              const VmId& aSelf);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SLOT_ASSIGNMENT_H
