#ifndef CORNELRUDDER_STATE_GUARANTEE_VERIFIER_H
#define CORNELRUDDER_STATE_GUARANTEE_VERIFIER_H

#include "cornelrudder/state/FleetCapacity.h"
#include "cornelrudder/state/GuaranteeResult.h"

#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/**
 * Strategy that tests the joint guarantee: whether all guaranteed shapes can
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
   * @param aCapacity The fleet.
   * @param aGuarantees Positions of the shapes to test in the snapshot's list.
   * @param aMaxSteps Places to try before giving up.
   */
  virtual GuaranteeResult Check(const FleetCapacity& aCapacity,
                                std::span<const std::size_t> aGuarantees,
                                std::size_t aMaxSteps) const = 0;
};

/** Limit for each test within a placement decision, which bounds its time. */
inline constexpr std::size_t kMaxDecisionSteps = 5000;

/** @return All tests; the first is the naive reference. */
std::span<const GuaranteeVerifier* const>
AllGuaranteeVerifiers();

/** @return The test of this name, or null. */
const GuaranteeVerifier*
FindGuaranteeVerifier(std::string_view aName);

/** @return The positions of all guaranteed shapes of the snapshot. */
std::vector<std::size_t>
AllGuarantees(const FleetCapacity& aCapacity);

/**
 * Selects the shapes that the fleet still covers when the loss of workers has
 * broken the joint guarantee: the shapes are taken from the smallest to the
 * largest, and one is left out if it does not fit together with those taken
 * before. All shapes, if the guarantee holds.
 * @return Positions in the snapshot's list, ascending.
 */
std::vector<std::size_t>
CoveredGuarantees(const GuaranteeVerifier& aTest,
                  const FleetCapacity& aCapacity);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_GUARANTEE_VERIFIER_H
