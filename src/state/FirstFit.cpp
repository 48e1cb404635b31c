#include "FirstFit.h"

#include "PlacementContext.h"

namespace cornelrudder::state {

PlacementDecision
FirstFit::Place(const FleetSnapshot& aSnapshot,
                const PlacementRequest& aRequest) const
{
  const PlacementContext context(aSnapshot, aRequest);
  if (context.MayUseFreeAccelerators()) {
    for (const auto& group : context.Groups()) {
      std::vector<std::size_t> workers;
      for (const std::size_t w : group) {
        if (workers.size() < context.Members() &&
            context.AvailableAccelerators(w) >= context.PerWorker()) {
          workers.push_back(w);
        }
      }
      if (workers.size() == context.Members() &&
          context.PreservesGuarantees(workers)) {
        return context.PlacedDecision(workers, "first free place");
      }
    }
  }
  return context.ReclaimOrWait();
}

} // namespace cornelrudder::state
