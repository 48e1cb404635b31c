#ifndef CORNELRUDDER_STATE_EXHAUSTIVE_GUARANTEE_VERIFIER_H
#define CORNELRUDDER_STATE_EXHAUSTIVE_GUARANTEE_VERIFIER_H

#include "cornelrudder/state/GuaranteeVerifier.h"

namespace cornelrudder::state {

/**
 * Reference implementation for ExactGuaranteeVerifier: tries every set of
 * workers for each shape, and every split between own and shared accelerators,
 * without merging, ordering or caching states.
 */
class ExhaustiveGuaranteeVerifier final : public GuaranteeVerifier
{
public:
  std::string_view Name() const override { return "exhaustive"; }

  std::string_view Description() const override
  {
    return "tries all sets of workers; the naive reference";
  }

  GuaranteeResult Check(const FleetCapacity& aCapacity,
                        std::span<const std::size_t> aGuarantees,
                        std::size_t aMaxSteps) const override;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_EXHAUSTIVE_GUARANTEE_VERIFIER_H
