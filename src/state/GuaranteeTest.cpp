#include "cornelrudder/state/GuaranteeTest.h"

#include "ExactGuaranteeTest.h"
#include "ExhaustiveGuaranteeTest.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace cornelrudder::state {

namespace {

const ExhaustiveGuaranteeTest kExhaustive;
const ExactGuaranteeTest kExact;
const std::array<const GuaranteeTest*, 2> kTests{ &kExhaustive, &kExact };

} // namespace

std::span<const GuaranteeTest* const>
AllGuaranteeTests()
{
  return kTests;
}

const GuaranteeTest*
FindGuaranteeTest(std::string_view aName)
{
  const auto* it =
    std::find_if(kTests.begin(), kTests.end(), [aName](const auto* aTest) {
      return aTest->Name() == aName;
    });
  return it != kTests.end() ? *it : nullptr;
}

std::vector<std::size_t>
AllGuarantees(const FleetCounts& aCounts)
{
  std::vector<std::size_t> all(aCounts.Load().Guarantees().size());
  std::iota(all.begin(), all.end(), std::size_t{ 0 });
  return all;
}

std::vector<std::size_t>
CoveredGuarantees(const GuaranteeTest& aTest, const FleetCounts& aCounts)
{
  std::vector<std::size_t> order = AllGuarantees(aCounts);
  if (aTest.Check(aCounts, order, kDecisionSteps).Feasible()) {
    return order;
  }
  std::stable_sort(
    order.begin(), order.end(), [&aCounts](std::size_t aLeft, auto aRight) {
      const auto& guarantees = aCounts.Load().Guarantees();
      return guarantees[aLeft].What().Accelerators() <
             guarantees[aRight].What().Accelerators();
    });
  std::vector<std::size_t> covered;
  for (const std::size_t guarantee : order) {
    covered.push_back(guarantee);
    if (!aTest.Check(aCounts, covered, kDecisionSteps).Feasible()) {
      covered.pop_back();
    }
  }
  std::sort(covered.begin(), covered.end());
  return covered;
}

} // namespace cornelrudder::state
