#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_HOSTING_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_HOSTING_H

#include "cornelrudder/state/scheduling/Planning.h"

/**
 * @file
 * Which workers may run a task at all, whatever capacity they have.
 */

namespace cornelrudder::state::scheduling {

/**
 * @param aTasksThere Tasks of the step that the worker has already.
 * @return Whether a worker may run a task of a unit, whatever capacity it has.
 */
bool
CanHost(const WaitingUnit& aUnit,
        const WorkerView& aWorker,
        std::size_t aTasksThere);

/** @return Whether a worker has as many tasks of a unit's step as it may. */
bool
IsAtLimit(const WaitingUnit& aUnit, std::size_t aTasksThere);

/** @return Number of tasks of the unit's step that a worker has already. */
std::size_t
CountPeers(const WaitingUnit& aUnit, std::size_t aWorker);

/** @return Whether the unit's last run failed on a worker. */
bool
IsAvoided(const WaitingUnit& aUnit, std::size_t aWorker);

/** @return Whether all tasks of a unit should run on one rack. */
bool
WantsOneRack(const WaitingUnit& aUnit);

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_HOSTING_H
