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
  /** Unique for this life of the process. */
  std::string mIncarnation;
  /** Time between tries to write an outcome that could not be recorded. */
  std::chrono::milliseconds mRecordRetryInterval{ 2'000 };
};

/**
 * Starts the task that lets a non-idempotent request run once at most. It
 * takes RunRequest and answers with RunOutcome, and takes SettingsSnapshot. An
 * idempotent request goes on to the routing task at once.
 * @param aStore The store task.
 * @param aRouting The routing task; must not repeat a non-idempotent request
 *   after a byte of it was sent.
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
