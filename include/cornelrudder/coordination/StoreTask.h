#ifndef CORNELRUDDER_COORDINATION_STORE_TASK_H
#define CORNELRUDDER_COORDINATION_STORE_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/StorePort.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <cstdint>

namespace cornelrudder::coordination {

struct StoreTaskOptions
{
  std::chrono::milliseconds mBackoffBase{ 50 };
  std::chrono::milliseconds mBackoffCap{ 5'000 };
  /** Retries per 100 first tries, and how many can be saved up. */
  int mRetryBudgetPercent = 10;
  int mRetryBudgetCapacity = 20;
  int mBreakerFailureThreshold = 5;
  std::chrono::milliseconds mBreakerProbeInterval{ 1'000 };
  /**
   * No attempt starts later than this after the first one. Below the 5 s for
   * which a lease is held, so that a renewal is repeated with a new time.
   */
  std::chrono::milliseconds mRetryWindow{ 4'000 };
  /** Seed of the jitter. */
  std::uint64_t mJitterSeed = 1;
};

/**
 * Starts the task through which all others use the table. It takes ReadRow,
 * ListRows and Transaction and answers with StoreResult. For a transaction:
 *
 * - kOk: it took effect.
 * - kConflict: it has had no effect and will have none.
 * - kUnavailable: no copy of it was sent, so that it will have no effect.
 * - kUnknown: it may have taken effect, or may still do so when a delayed copy
 *   arrives. The result holds the rows as last read, if any. A caller that
 *   sends it again must use the same write id and the same versions.
 *
 * A read gives kOk or kUnavailable.
 * @param aPort Must outlive the actor system, as must aLog and aClock.
 */
caf::actor
SpawnStoreTask(caf::actor_system& aSystem,
               StorePort& aPort,
               EventLog& aLog,
               const Clock& aClock,
               StoreTaskOptions aOptions);

/** Starts the task with the boot clock and default options. */
caf::actor
SpawnStoreTask(caf::actor_system& aSystem, StorePort& aPort, EventLog& aLog);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_STORE_TASK_H
