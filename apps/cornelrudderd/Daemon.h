#ifndef CORNELRUDDERD_DAEMON_H
#define CORNELRUDDERD_DAEMON_H

#include "cornelrudderd/DaemonSettings.h"

#include <memory>

namespace cornelrudder::daemon {

/** Joins the layers of a daemon: ports to adapters, tasks to each other. */
class Daemon
{
public:
  /** @throws TransportError if an address cannot be used. */
  explicit Daemon(const DaemonSettings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /**
   * Serves until a stop signal and the drain that follows it.
   * @return The number of requests that were cut off.
   */
  std::size_t Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_DAEMON_H
