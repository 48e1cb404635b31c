#include "BestFit.h"

#include "PlacementContext.h"
#include "ShapeScore.h"

#include <algorithm>
#include <tuple>

namespace cornelrudder::state {

namespace {

/** Places to check with the exact test before the request has to wait. */
constexpr std::size_t kMaxChecks = 3;

struct FreePlace
{
  std::vector<std::size_t> mWorkers;
  int mLoss;
  /** Free accelerators of the group that remain. */
  int mLeft;
};

/** @return The best place of each group; the best one first. */
std::vector<FreePlace>
RankPlaces(const PlacementContext& aContext,
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
  std::vector<FreePlace> places;
  for (const auto& group : aContext.Groups()) {
    std::vector<std::size_t> workers;
    int free = 0;
    for (const std::size_t w : group) {
      free += capacity.FreeAccelerators(w);
      const int room = aUnassignedOnly
                         ? std::min(aContext.Room(w), aContext.Unassigned(w))
                         : aContext.Room(w);
      if (room >= aContext.PerWorker()) {
        workers.push_back(w);
      }
    }
    if (workers.size() < aContext.Members()) {
      continue;
    }
    // The fullest workers of the fullest racks first.
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
    places.push_back({ std::move(workers),
                       loss,
                       free - aContext.Request().GangShape().Accelerators() });
  }
  std::stable_sort(places.begin(),
                   places.end(),
                   [](const FreePlace& aLeft, const FreePlace& aRight) {
                     return std::tuple(aLeft.mLoss, aLeft.mLeft) <
                            std::tuple(aRight.mLoss, aRight.mLeft);
                   });
  return places;
}

} // namespace

PlacementDecision
BestFit::Place(const FleetSnapshot& aSnapshot,
               const PlacementRequest& aRequest) const
{
  const PlacementContext context(aSnapshot, aRequest);
  if (!context.MayUseSpare()) {
    return context.ReclaimOrWait();
  }
  const ShapeScore score(context.Capacity());
  const auto safe = RankPlaces(context, score, true);
  if (!safe.empty()) {
    return context.Placed(safe.front().mWorkers, "best free place");
  }
  // The joint allocation in use may be in the way while another one is not.
  auto places = RankPlaces(context, score, false);
  // Places that cost the same are mostly alike, and one check is enough.
  places.erase(std::unique(places.begin(),
                           places.end(),
                           [](const FreePlace& aLeft, const FreePlace& aRight) {
                             return aLeft.mLoss == aRight.mLoss &&
                                    aLeft.mLeft == aRight.mLeft;
                           }),
               places.end());
  places.resize(std::min(places.size(), kMaxChecks), FreePlace{});
  for (const FreePlace& place : places) {
    if (context.Keeps(place.mWorkers)) {
      return context.Placed(place.mWorkers, "best free place");
    }
  }
  return context.ReclaimOrWait();
}

} // namespace cornelrudder::state
