#ifndef CORNELRUDDER_COORDINATION_SETTINGS_TASK_H
#define CORNELRUDDER_COORDINATION_SETTINGS_TASK_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/RowCodec.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct SettingsTaskOptions
{
  std::chrono::milliseconds mPollInterval{ 2'000 };
};

/**
 * Starts the task that owns the current settings. It handles GetSettings,
 * PutSettings, ApplyPeerSettings, Subscribe and WatchSettings. Subscribers
 * receive SettingsSnapshot; watchers receive SettingsAccepted and
 * SettingsHeadRead.
 * @param aStore The store task.
 * @param aCodec Must outlive the actor system, as must aLog.
 */
caf::actor
SpawnSettingsTask(caf::actor_system& aSystem,
                  const caf::actor& aStore,
                  const RowCodec& aCodec,
                  EventLog& aLog,
                  WriteIdGenerator aWriteIds,
                  SettingsTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SETTINGS_TASK_H
