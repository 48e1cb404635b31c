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
 * Starts the task that holds the settings in force. It takes GetSettings,
 * PutSettings, ApplyPeerSettings and Subscribe, and sends SettingsSnapshot to
 * its subscribers; WatchSettings asks for SettingsAccepted and
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
