#ifndef CORNELRUDDER_STATE_GUARANTEE_VERIFIER_H
#define CORNELRUDDER_STATE_GUARANTEE_VERIFIER_H

#include "cornelrudder/state/FleetCapacity.h"
#include "cornelrudder/state/GuaranteeResult.h"

#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/**
 * Strategy that verifies the joint guarantee: whether all guaranteed shapes can
 * be allocated at the same time on distinct accelerators. A shape may use
 * accelerators that are free, held by preemptible gangs, or held by gangs of
 * its own organisation.
 */
class GuaranteeVerifier
{
public:
  virtual ~GuaranteeVerifier() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  /**
   * @param aGuarantees Positions, in the snapshot's list, of the shapes to
   *   verify.
   * @param aMaxSteps Limit on the search steps; beyond it the result is
   *   undecided.
   */
  virtual GuaranteeResult Check(const FleetCapacity& aCapacity,
                                std::span<const std::size_t> aGuarantees,
                                std::size_t aMaxSteps) const = 0;
};

/** Limit on the search steps of one check, which bounds the decision time. */
inline constexpr std::size_t kMaxDecisionSteps = 5000;

/** @return All verifiers; the first is the exhaustive reference. */
std::span<const GuaranteeVerifier* const>
AllGuaranteeVerifiers();

/** @return The verifier of this name, or null. */
const GuaranteeVerifier*
FindGuaranteeVerifier(std::string_view aName);

/** @return The positions of all guaranteed shapes of the snapshot. */
std::vector<std::size_t>
AllGuarantees(const FleetCapacity& aCapacity);

/**
 * Selects the shapes that the fleet still covers after a loss of workers has
 * broken the joint guarantee: adds the shapes from the smallest to the largest
 * and skips each one that does not fit together with those already selected.
 * @return Positions in the snapshot's list, ascending; all positions if the
 *   joint guarantee holds.
 */
std::vector<std::size_t>
CoveredGuarantees(const GuaranteeVerifier& aVerifier,
                  const FleetCapacity& aCapacity);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_GUARANTEE_VERIFIER_H
