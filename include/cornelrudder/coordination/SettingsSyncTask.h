#ifndef CORNELRUDDER_COORDINATION_SETTINGS_SYNC_TASK_H
#define CORNELRUDDER_COORDINATION_SETTINGS_SYNC_TASK_H

#include "cornelrudder/coordination/EventLog.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct SettingsSyncTaskOptions
{
  /** How often peers are asked until the settings are known. */
  std::chrono::milliseconds mQueryInterval{ 500 };
  /**
   * Between two queries to peers that hold newer settings. A query names all
   * documents, some 6 KB for 150 of them, while the budget for all control
   * traffic is 7 KB/s.
   */
  std::chrono::milliseconds mCatchUpInterval{ 5'000 };
};

/**
 * Starts the task that distributes settings between daemons: it tells peers
 * of changes accepted here, gives their documents to the settings task and
 * answers their queries. It takes PeerMessageReceived, PeerHasNewerSettings and
 * GetSettingsReadiness.
 * @param aSettings The settings task.
 * @param aMembership The membership task.
 * @param aLog Must outlive the actor system.
 */
caf::actor
SpawnSettingsSyncTask(caf::actor_system& aSystem,
                      const caf::actor& aSettings,
                      const caf::actor& aMembership,
                      EventLog& aLog,
                      SettingsSyncTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SETTINGS_SYNC_TASK_H
