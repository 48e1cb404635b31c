#ifndef CORNELRUDDER_COORDINATION_SETTINGS_SYNC_TASK_H
#define CORNELRUDDER_COORDINATION_SETTINGS_SYNC_TASK_H

#include "cornelrudder/coordination/EventLog.h"

#include <caf/fwd.hpp>

#include <chrono>

namespace cornelrudder::coordination {

struct SettingsSyncTaskOptions
{
  /** Interval of the queries to all peers until the settings are complete. */
  std::chrono::milliseconds mQueryInterval{ 500 };
  /**
   * Minimum interval between queries to peers with newer settings. A query
   * lists all documents, about 6 KB for 150 of them, and the budget for all
   * control traffic is 7 KB/s.
   */
  std::chrono::milliseconds mCatchUpInterval{ 5'000 };
};

/**
 * Starts the task that synchronizes settings between daemons: it sends changes
 * accepted by this daemon to the peers, passes their documents to the settings
 * task and replies to their queries. It handles PeerMessageReceived,
 * PeerHasNewerSettings and GetSettingsReadiness.
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
