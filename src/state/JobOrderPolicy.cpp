#include "cornelrudder/state/JobOrderPolicy.h"

#include "cornelrudder/state/GuaranteeVerifier.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <set>
#include <tuple>

namespace cornelrudder::state {

namespace {

std::vector<std::size_t>
Positions(std::size_t aCount)
{
  std::vector<std::size_t> positions(aCount);
  std::iota(positions.begin(), positions.end(), std::size_t{ 0 });
  return positions;
}

class Fifo final : public JobOrderPolicy
{
public:
  std::string_view Name() const override { return "fifo"; }

  std::string_view Description() const override
  {
    return "by time of submission, without backfill; the naive baseline";
  }

  bool AllowsBackfill() const override { return false; }

  std::vector<std::size_t> ServiceOrder(
    std::span<const QueuedJob> aJobs,
    const FleetSnapshot& /*aSnapshot*/,
    const JobOrderContext& /*aContext*/) const override
  {
    auto order = Positions(aJobs.size());
    std::stable_sort(
      order.begin(), order.end(), [aJobs](std::size_t aLeft, auto aRight) {
        return aJobs[aLeft].QueuedAt() < aJobs[aRight].QueuedAt();
      });
    return order;
  }
};

/**
 * @return Organisations with a guaranteed shape that the fleet no longer covers
 *   after a loss of workers.
 */
std::set<OrganisationId>
UncoveredOrganisations(const FleetSnapshot& aSnapshot)
{
  const FleetCapacity capacity(aSnapshot);
  const auto covered =
    CoveredGuarantees(*FindGuaranteeVerifier("exact"), capacity);
  std::set<OrganisationId> organisations;
  for (std::size_t i = 0; i < aSnapshot.Guarantees().size(); ++i) {
    if (!std::binary_search(covered.begin(), covered.end(), i)) {
      organisations.insert(aSnapshot.Guarantees()[i].Organisation());
    }
  }
  return organisations;
}

/** @return Number of accelerators that the gangs of each organisation hold. */
std::map<OrganisationId, std::size_t>
HeldByOrganisation(const FleetSnapshot& aSnapshot)
{
  std::map<OrganisationId, std::size_t> held;
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    for (const MemberPlacement& member : gang.Placement().Members()) {
      held[gang.Organisation()] += member.Accelerators().size();
    }
  }
  return held;
}

class Fair final : public JobOrderPolicy
{
public:
  std::string_view Name() const override { return "fair"; }

  std::string_view Description() const override
  {
    return "by urgency, weighted share and age, with backfill";
  }

  bool AllowsBackfill() const override { return true; }

  std::vector<std::size_t> ServiceOrder(
    std::span<const QueuedJob> aJobs,
    const FleetSnapshot& aSnapshot,
    const JobOrderContext& aContext) const override
  {
    const auto held = HeldByOrganisation(aSnapshot);
    const auto uncovered = UncoveredOrganisations(aSnapshot);
    using Rank = std::tuple<bool, bool, int, double, std::chrono::milliseconds>;
    std::vector<Rank> ranks;
    for (const QueuedJob& job : aJobs) {
      const OrganisationId& organisation = job.Request().Organisation();
      const auto share = held.find(organisation);
      const auto weight = aContext.Weights().find(organisation);
      const bool overdue =
        aContext.Now() - job.QueuedAt() > aContext.StarvationThreshold();
      // Overdue jobs are ordered by age alone, so that each of them eventually
      // becomes the first.
      ranks.emplace_back(!uncovered.contains(organisation),
                         !overdue,
                         overdue ? 0 : -job.Urgency(),
                         overdue || share == held.end()
                           ? 0.0
                           : static_cast<double>(share->second) /
                               (weight == aContext.Weights().end()
                                  ? 1
                                  : std::max(1, weight->second)),
                         job.QueuedAt());
    }
    auto order = Positions(aJobs.size());
    std::stable_sort(
      order.begin(), order.end(), [&ranks](std::size_t aLeft, auto aRight) {
        return ranks[aLeft] < ranks[aRight];
      });
    return order;
  }
};

const Fifo kFifo;
const Fair kFair;
const std::array<const JobOrderPolicy*, 2> kPolicies{ &kFifo, &kFair };

} // namespace

std::span<const JobOrderPolicy* const>
AllJobOrderPolicies()
{
  return kPolicies;
}

const JobOrderPolicy*
FindJobOrderPolicy(std::string_view aName)
{
  const auto* it = std::find_if(
    kPolicies.begin(), kPolicies.end(), [aName](const auto* aPolicy) {
      return aPolicy->Name() == aName;
    });
  return it != kPolicies.end() ? *it : nullptr;
}

} // namespace cornelrudder::state
