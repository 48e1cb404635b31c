#include "PlacementTaskImpl.h"

namespace cornelrudder::coordination {

const std::array<PlacementTask::CommandRow, 5> PlacementTask::kCommands{ {
  { JobCommandKind::kSubmit, &PlacementTask::Submit },
  { JobCommandKind::kGet, &PlacementTask::Get },
  { JobCommandKind::kList, &PlacementTask::List },
  { JobCommandKind::kCancel, &PlacementTask::Cancel },
  { JobCommandKind::kExplain, &PlacementTask::Explain },
} };

caf::actor
SpawnPlacementTask(caf::actor_system& aSystem,
                   const caf::actor& aStore,
                   PlacementPorts aPorts,
                   WriteIdGenerator aWriteIds,
                   PlacementTaskOptions aOptions)
{
  return aSystem.spawn<PlacementTask>(
    aStore, aPorts, std::move(aWriteIds), std::move(aOptions));
}

} // namespace cornelrudder::coordination
