#ifndef CORNELRUDDER_STATE_FIRST_FIT_H
#define CORNELRUDDER_STATE_FIRST_FIT_H

#include "cornelrudder/state/PlacementStrategy.h"

namespace cornelrudder::state {

/**
 * Selects the first workers with enough free accelerators in the first group
 * where the placement preserves the guaranteed shapes.
 */
class FirstFit final : public PlacementStrategy
{
public:
  std::string_view Name() const override { return "first_fit"; }

  std::string_view Description() const override
  {
    return "first free place; the naive baseline";
  }

  PlacementDecision Place(const FleetSnapshot& aSnapshot,
                          const PlacementRequest& aRequest) const override;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FIRST_FIT_H
