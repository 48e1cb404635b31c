#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H

#include "cornelrudder/state/scheduling/Planning.h"

namespace cornelrudder::state::scheduling {

/**
 * @param aTasksThere Tasks of the step that the worker has already.
 * @return Whether a worker may run a task of a unit, whatever room it has.
 */
bool
CanHost(const WaitingUnit& aUnit,
        const WorkerView& aWorker,
        std::size_t aTasksThere);

/** @return Number of tasks of the unit's step that a worker has already. */
std::size_t
CountPeers(const WaitingUnit& aUnit, std::size_t aWorker);

/**
 * Places guaranteed work first, then by priority; among equals, what can
 * still meet its objective goes before what is late anyway. Tasks are packed
 * tightly, so that whole workers stay free for large tasks. Urgent work that
 * finds no room stops the less urgent work whose loss is smallest.
 */
class UrgencyPolicy : public PlacementPolicy
{
public:
  std::vector<PlanDecision> Plan(const PlanningView& aView) const override;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H
