#ifndef CORNELRUDDERD_DAEMON_H
#define CORNELRUDDERD_DAEMON_H

#include "cornelrudderd/DaemonSettings.h"

#include <memory>

namespace cornelrudder::daemon {

/**
 * A daemon on the stand-in platform. Creates the adapters and tasks and
 * connects them to each other.
 */
class Daemon
{
public:
  /** @throws TransportError if an address cannot be used. */
  explicit Daemon(const DaemonSettings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /**
   * Serves until a stop signal arrives and the drain after it has completed.
   * @return The number of requests that the shutdown interrupted.
   */
  std::size_t Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_DAEMON_H
