#include "BestFit.h"

#include "PlacementContext.h"
#include "ShapeScore.h"

#include <algorithm>
#include <tuple>

namespace cornelrudder::state {

namespace {

/** Limit on the candidates verified exactly before reclaiming or waiting. */
constexpr std::size_t kMaxVerifications = 3;

struct Candidate
{
  std::vector<std::size_t> mWorkers;
  int mLoss;
  /** Free accelerators that remain in the group after the placement. */
  int mRemaining;
};

/** @return The best candidate of each group, in order of preference. */
std::vector<Candidate>
RankCandidates(const PlacementContext& aContext,
               const ShapeScore& aScore,
               bool aUnassignedOnly)
{
  const FleetCapacity& capacity = aContext.Capacity();
  const FleetTopology& topology = capacity.Topology();
  std::vector<int> rackFree(topology.Members(Adjacency::kRack).size(), 0);
  for (std::size_t w = 0; w < topology.Size(); ++w) {
    rackFree[topology.GroupOf(Adjacency::kRack, w)] +=
      capacity.FreeAccelerators(w);
  }
  std::vector<Candidate> candidates;
  for (const auto& group : aContext.Groups()) {
    std::vector<std::size_t> workers;
    int free = 0;
    for (const std::size_t w : group) {
      free += capacity.FreeAccelerators(w);
      const int available = aUnassignedOnly
                              ? std::min(aContext.AvailableAccelerators(w),
                                         aContext.UnassignedAccelerators(w))
                              : aContext.AvailableAccelerators(w);
      if (available >= aContext.PerWorker()) {
        workers.push_back(w);
      }
    }
    if (workers.size() < aContext.Members()) {
      continue;
    }
    // Workers with the fewest free accelerators first; among equals, those in
    // racks with the fewest free accelerators.
    const auto rank = [&](std::size_t aWorker) {
      const std::size_t rack = topology.GroupOf(Adjacency::kRack, aWorker);
      return std::tuple(
        capacity.FreeAccelerators(aWorker), rackFree[rack], rack, aWorker);
    };
    const auto end =
      workers.begin() + static_cast<std::ptrdiff_t>(aContext.Members());
    std::partial_sort(workers.begin(),
                      end,
                      workers.end(),
                      [&rank](std::size_t aLeft, std::size_t aRight) {
                        return rank(aLeft) < rank(aRight);
                      });
    workers.erase(end, workers.end());
    const int loss = aScore.Loss(workers, aContext.PerWorker());
    candidates.push_back(
      { std::move(workers),
        loss,
        free - aContext.Request().GangShape().Accelerators() });
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& aLeft, const Candidate& aRight) {
                     return std::tuple(aLeft.mLoss, aLeft.mRemaining) <
                            std::tuple(aRight.mLoss, aRight.mRemaining);
                   });
  return candidates;
}

} // namespace

PlacementDecision
BestFit::Place(const FleetSnapshot& aSnapshot,
               const PlacementRequest& aRequest) const
{
  const PlacementContext context(aSnapshot, aRequest);
  if (!context.MayUseFreeAccelerators()) {
    return context.ReclaimOrWait();
  }
  const ShapeScore score(context.Capacity());
  const auto unassigned = RankCandidates(context, score, true);
  if (!unassigned.empty()) {
    return context.PlacedDecision(unassigned.front().mWorkers,
                                  "best free place");
  }
  // These accelerators are assigned to other organisations by the joint
  // allocation, but a different joint allocation may leave them unassigned.
  auto candidates = RankCandidates(context, score, false);
  // Candidates with equal costs are mostly equivalent, so verifying one of
  // them is enough.
  candidates.erase(
    std::unique(candidates.begin(),
                candidates.end(),
                [](const Candidate& aLeft, const Candidate& aRight) {
                  return aLeft.mLoss == aRight.mLoss &&
                         aLeft.mRemaining == aRight.mRemaining;
                }),
    candidates.end());
  candidates.resize(std::min(candidates.size(), kMaxVerifications),
                    Candidate{});
  for (const Candidate& candidate : candidates) {
    if (context.PreservesGuarantees(candidate.mWorkers)) {
      return context.PlacedDecision(candidate.mWorkers, "best free place");
    }
  }
  return context.ReclaimOrWait();
}

} // namespace cornelrudder::state
