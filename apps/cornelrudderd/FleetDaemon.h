#ifndef CORNELRUDDERD_FLEET_DAEMON_H
#define CORNELRUDDERD_FLEET_DAEMON_H

#include "cornelrudderd/DaemonSettings.h"

#include <memory>

namespace cornelrudder::daemon {

/**
 * The daemon on the users' platform: takes calls about jobs of tasks, and one
 * of all daemons schedules the tasks on the platform's workers. Everything
 * that lasts is in the platform's store, so that daemons do not talk to each
 * other.
 */
class FleetDaemon
{
public:
  /** @throws TransportError if an address cannot be used. */
  FleetDaemon(const DaemonSettings& aSettings, const std::string& aPath);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /**
   * Serves until a stop signal and the drain that follows it.
   * @return The number of calls that were cut off.
   */
  std::size_t Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_FLEET_DAEMON_H
