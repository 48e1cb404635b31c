#ifndef CORNELRUDDER_STATE_BEST_FIT_H
#define CORNELRUDDER_STATE_BEST_FIT_H

#include "cornelrudder/state/PlacementStrategy.h"

namespace cornelrudder::state {

/**
 * Takes the place that leaves most whole shapes possible in the free
 * accelerators, then the tightest group. Places outside of the accelerators
 * that the joint allocation assigns to others come first.
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
