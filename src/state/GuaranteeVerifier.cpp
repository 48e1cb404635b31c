#include "cornelrudder/state/GuaranteeVerifier.h"

#include "ExactGuaranteeVerifier.h"
#include "ExhaustiveGuaranteeVerifier.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace cornelrudder::state {

namespace {

const ExhaustiveGuaranteeVerifier kExhaustive;
const ExactGuaranteeVerifier kExact;
const std::array<const GuaranteeVerifier*, 2> kVerifiers{ &kExhaustive,
                                                          &kExact };

} // namespace

std::span<const GuaranteeVerifier* const>
AllGuaranteeVerifiers()
{
  return kVerifiers;
}

const GuaranteeVerifier*
FindGuaranteeVerifier(std::string_view aName)
{
  const auto* it = std::find_if(
    kVerifiers.begin(), kVerifiers.end(), [aName](const auto* aVerifier) {
      return aVerifier->Name() == aName;
    });
  return it != kVerifiers.end() ? *it : nullptr;
}

std::vector<std::size_t>
AllGuarantees(const FleetCapacity& aCapacity)
{
  std::vector<std::size_t> all(aCapacity.Snapshot().Guarantees().size());
  std::iota(all.begin(), all.end(), std::size_t{ 0 });
  return all;
}

std::vector<std::size_t>
CoveredGuarantees(const GuaranteeVerifier& aVerifier,
                  const FleetCapacity& aCapacity)
{
  std::vector<std::size_t> order = AllGuarantees(aCapacity);
  if (aVerifier.Check(aCapacity, order, kMaxDecisionSteps).Feasible()) {
    return order;
  }
  std::stable_sort(
    order.begin(), order.end(), [&aCapacity](std::size_t aLeft, auto aRight) {
      const auto& guarantees = aCapacity.Snapshot().Guarantees();
      return guarantees[aLeft].GangShape().Accelerators() <
             guarantees[aRight].GangShape().Accelerators();
    });
  std::vector<std::size_t> covered;
  for (const std::size_t guarantee : order) {
    covered.push_back(guarantee);
    if (!aVerifier.Check(aCapacity, covered, kMaxDecisionSteps).Feasible()) {
      covered.pop_back();
    }
  }
  std::sort(covered.begin(), covered.end());
  return covered;
}

} // namespace cornelrudder::state
