#ifndef CORNELRUDDERD_FLEET_DAEMON_H
#define CORNELRUDDERD_FLEET_DAEMON_H

#include "cornelrudderd/DaemonSettings.h"

#include <memory>

namespace cornelrudder::daemon {

/**
 * A daemon on the production platform. Each daemon accepts calls about jobs,
 * which consist of tasks; one daemon, the owner, schedules the tasks on the
 * platform's workers. All durable state is in the platform's store, and
 * daemons exchange no messages with each other.
 */
class FleetDaemon
{
public:
  /**
   * @param aPath Path of the settings file, which a reload signal reads again.
   * @throws TransportError if an address cannot be used.
   */
  FleetDaemon(const DaemonSettings& aSettings, const std::string& aPath);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /**
   * Serves until a stop signal arrives and the drain after it has completed.
   * @return The number of calls that the shutdown interrupted.
   */
  std::size_t Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_FLEET_DAEMON_H
