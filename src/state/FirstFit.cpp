#include "FirstFit.h"

#include "PlacementContext.h"

namespace cornelrudder::state {

PlacementDecision
FirstFit::Place(const FleetSnapshot& aSnapshot,
                const PlacementRequest& aRequest) const
{
  const PlacementContext context(aSnapshot, aRequest);
  if (context.MayUseSpare()) {
    for (const auto& group : context.Groups()) {
      std::vector<std::size_t> workers;
      for (const std::size_t w : group) {
        if (workers.size() < context.Members() &&
            context.Room(w) >= context.PerWorker()) {
          workers.push_back(w);
        }
      }
      if (workers.size() == context.Members() && context.Keeps(workers)) {
        return context.Placed(workers, "first free place");
      }
    }
  }
  return context.ReclaimOrWait();
}

} // namespace cornelrudder::state
