#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_HOSTING_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_HOSTING_H

#include "cornelrudder/state/scheduling/Planning.h"

/**
 * @file
 * Conditions for running a task on a worker, apart from its capacity.
 */

namespace cornelrudder::state::scheduling {

/**
 * @param aTasksOnWorker Tasks of the step that the worker already has.
 * @return Whether a worker may run a task of a unit; capacity is not checked.
 */
bool
CanHost(const WaitingUnit& aUnit,
        const WorkerView& aWorker,
        std::size_t aTasksOnWorker);

/**
 * @return Whether a task of a unit would run on a worker if that accepted new
 *   work; capacity is not checked.
 */
bool
IsSuitable(const WaitingUnit& aUnit,
           const WorkerView& aWorker,
           std::size_t aTasksOnWorker);

/**
 * @return Whether a worker has reached the limit of tasks of a unit's step per
 *   worker.
 */
bool
IsAtLimit(const WaitingUnit& aUnit, std::size_t aTasksOnWorker);

/**
 * @return Number of tasks of the unit's step that are assigned to a worker; 0
 *   if the step has no limit per worker.
 */
std::size_t
CountPeers(const WaitingUnit& aUnit, std::size_t aWorker);

/**
 * @return Whether the last run of one of the unit's tasks failed on a worker,
 * or was moved away from it.
 */
bool
IsAvoided(const WaitingUnit& aUnit, std::size_t aWorker);

/** @return Whether all tasks of a unit should run on one rack. */
bool
PrefersOneRack(const WaitingUnit& aUnit);

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_HOSTING_H
