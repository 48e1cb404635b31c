#ifndef CORNELRUDDER_STATE_BEST_FIT_H
#define CORNELRUDDER_STATE_BEST_FIT_H

#include "cornelrudder/state/PlacementStrategy.h"

namespace cornelrudder::state {

/**
 * Selects the placement after which the most complete shapes still fit into the
 * free accelerators; among equals, the group with the fewest free accelerators
 * left. Placements that avoid the accelerators assigned to other organisations
 * by the joint allocation come first, since they need no verification.
 */
class BestFit final : public PlacementStrategy
{
public:
  std::string_view Name() const override { return "best_fit"; }

  std::string_view Description() const override
  {
    return "tightest place that leaves most whole shapes possible";
  }

  PlacementDecision Place(const FleetSnapshot& aSnapshot,
                          const PlacementRequest& aRequest) const override;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_BEST_FIT_H
