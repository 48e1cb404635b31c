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
  /** Retries allowed per 100 first attempts, and the most that accumulate. */
  int mRetryBudgetPercent = 10;
  int mRetryBudgetCapacity = 20;
  int mBreakerFailureThreshold = 5;
  std::chrono::milliseconds mBreakerProbeInterval{ 1'000 };
  /**
   * No retry is scheduled for later than this after the request; a process
   * pause may delay a scheduled one. Shorter than the 5 s for which a daemon
   * relies on its lease, so that a failed renewal is sent again as a new
   * request with a new start time.
   */
  std::chrono::milliseconds mRetryWindow{ 4'000 };
  std::uint64_t mJitterSeed = 1;
};

/**
 * Starts the task through which all other tasks access the table. It handles
 * ReadRow, ListRows and Transaction and responds with StoreResult. The status
 * of a transaction is one of:
 *
 * - kOk: it took effect.
 * - kConflict: it has had no effect and never will.
 * - kUnavailable: it was never sent, so it will have no effect.
 * - kOutcomeUnknown: it may have taken effect, or may yet take effect when a
 *   delayed request arrives. The result contains the rows as last read, if any.
 *   A retry must use the same versions, so that at most one copy takes effect,
 *   and the same write id, or it conflicts with an earlier copy that did.
 *
 * The status of a read is kOk or kUnavailable.
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
