#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H

#include "cornelrudder/state/scheduling/Planning.h"

namespace cornelrudder::state::scheduling {

/**
 * Places guaranteed work first, then by priority; among equals, what can
 * still meet its objective goes before what is late anyway. Tasks are packed
 * tightly, so that whole workers stay free for large tasks. Urgent work that
 * finds no capacity stops the less urgent work whose loss is smallest.
 */
class UrgencyPolicy : public PlacementPolicy
{
public:
  std::vector<PlanDecision> Plan(const PlanningView& aView) const override;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_URGENCY_POLICY_H
