#ifndef CORNELRUDDER_STATE_EXACT_GUARANTEE_VERIFIER_H
#define CORNELRUDDER_STATE_EXACT_GUARANTEE_VERIFIER_H

#include "cornelrudder/state/GuaranteeVerifier.h"

namespace cornelrudder::state {

/**
 * Searches over numbers of workers with equal counts. Shapes within a rack
 * come first, then zone and region, so that racks and then zones can be
 * merged as soon as no shape depends on them. Groups with equal counts are
 * tried once, and states that failed are remembered.
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
