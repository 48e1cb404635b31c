#ifndef CORNELRUDDER_STATE_EXACT_GUARANTEE_VERIFIER_H
#define CORNELRUDDER_STATE_EXACT_GUARANTEE_VERIFIER_H

#include "cornelrudder/state/GuaranteeVerifier.h"

namespace cornelrudder::state {

/**
 * Backtracking search over classes of workers with equal accelerator counts.
 * Shapes restricted to a rack are placed first, then those within a zone, then
 * within a region, so states that differ only in the order of equal racks, and
 * later of equal zones, are merged once no remaining shape depends on them. Of
 * groups with equal counts only one is tried, and failed states are not
 * searched again.
 */
class ExactGuaranteeVerifier final : public GuaranteeVerifier
{
public:
  std::string_view Name() const override { return "exact"; }

  std::string_view Description() const override
  {
    return "pruned search over counts, equal racks merged";
  }

  GuaranteeResult Check(const FleetCapacity& aCapacity,
                        std::span<const std::size_t> aGuarantees,
                        std::size_t aMaxSteps) const override;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_EXACT_GUARANTEE_VERIFIER_H
