#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H

#include "cornelrudder/state/scheduling/Planning.h"

namespace cornelrudder::state::scheduling {

/**
 * Places nominated units first, then guaranteed ones, then units whose result
 * still has value, and these by priority. Within a priority, units that can
 * still meet their objective precede late ones. Tasks are packed
 * tightly, so that whole workers stay free for large tasks. Urgent work that
 * does not fit preempts the less urgent work with the smallest loss.
 */
class UrgencyPolicy : public PlacementPolicy
{
public:
  std::vector<PlanDecision> Plan(const PlanningView& aView) const override;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H
