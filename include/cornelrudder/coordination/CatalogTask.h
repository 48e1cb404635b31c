#ifndef CORNELRUDDER_COORDINATION_CATALOG_TASK_H
#define CORNELRUDDER_COORDINATION_CATALOG_TASK_H

#include "cornelrudder/coordination/ChangeFeedPort.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/SchedulingCodec.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct CatalogTaskOptions
{
  /** Longest time that a poll of the feed waits for a change. */
  std::chrono::milliseconds mFeedPollTimeout{ 700 };
  /** Delay before a failed read or poll is retried. */
  std::chrono::milliseconds mRetryDelay{ 150 };
  /** Age of the last confirmation above which the settings are stale. */
  std::chrono::milliseconds mStaleAfter{ 3'000 };
};

/**
 * Starts the task that watches the operator's settings: the catalog and the
 * evacuated zones. It handles Subscribe, RefreshCatalog and GetCounters. It
 * sends a CatalogView to its subscribers on subscription, for each new version,
 * for each confirmation of the current one, and when the store becomes
 * unreachable.
 * @param aFeed Must outlive the actor system, as must all references.
 */
caf::actor
SpawnCatalogTask(caf::actor_system& aSystem,
                 ChangeFeedPort& aFeed,
                 const PlatformRowCodec& aCodec,
                 const Clock& aClock,
                 EventLog& aLog,
                 CatalogTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_CATALOG_TASK_H
