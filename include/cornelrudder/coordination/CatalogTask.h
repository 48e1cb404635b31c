#ifndef CORNELRUDDER_COORDINATION_CATALOG_TASK_H
#define CORNELRUDDER_COORDINATION_CATALOG_TASK_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/SchedulingCodec.h"
#include "cornelrudder/coordination/StorePort.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct CatalogTaskOptions
{
  /** How long the store may hold the answer of the feed. */
  std::chrono::milliseconds mFeedPollTimeout{ 700 };
  /** Pause after a failure. */
  std::chrono::milliseconds mRetryDelay{ 150 };
  /** Age of the last confirmation at which the loss is logged. */
  std::chrono::milliseconds mStaleAfter{ 3'000 };
};

/**
 * Starts the task that follows the operator's settings. It takes Subscribe,
 * RefreshCatalog and GetCounters, and sends a CatalogView to its subscribers
 * for each new version and each confirmation of the present one.
 * @param aStore Must outlive the actor system, as must all references.
 */
caf::actor
SpawnCatalogTask(caf::actor_system& aSystem,
                 StorePort& aStore,
                 ChangeFeedPort& aFeed,
                 const PlatformRowCodec& aCodec,
                 const Clock& aClock,
                 EventLog& aLog,
                 CatalogTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_CATALOG_TASK_H
