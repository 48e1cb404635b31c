#ifndef CORNELRUDDER_COORDINATION_INTENT_TASK_H
#define CORNELRUDDER_COORDINATION_INTENT_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/RowCodec.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>

namespace cornelrudder::coordination {

struct IntentTaskOptions
{
  /** Identifies the process incarnation; never reused after a restart. */
  std::string mIncarnation;
  /** Delay before a failed write of an outcome is retried. */
  std::chrono::milliseconds mRecordRetryInterval{ 2'000 };
};

/**
 * Starts the task that runs each non-idempotent request at most once. It
 * replies to RunRequest with RunOutcome, and handles SettingsSnapshot and
 * GetCounters. It passes an idempotent request directly to the routing task.
 * @param aStore The store task.
 * @param aRouting The routing task. It must retry a non-idempotent request only
 *   if it is certain that the previous attempt did not run.
 * @param aCodec Must outlive the actor system, as must aClock and aLog.
 */
caf::actor
SpawnIntentTask(caf::actor_system& aSystem,
                const caf::actor& aStore,
                const caf::actor& aRouting,
                const RowCodec& aCodec,
                const Clock& aClock,
                EventLog& aLog,
                WriteIdGenerator aWriteIds,
                IntentTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_INTENT_TASK_H
