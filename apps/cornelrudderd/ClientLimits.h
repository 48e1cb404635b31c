#ifndef CORNELRUDDERD_CLIENT_LIMITS_H
#define CORNELRUDDERD_CLIENT_LIMITS_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudderd/DaemonSettings.h"

#include <caf/actor.hpp>

#include <functional>
#include <memory>

namespace cornelrudder::daemon {

/** @return Limits of listeners for the load balancer and for monitoring. */
transport::HttpServerLimits
MonitoringLimits(const DaemonSettings& aSettings);

/**
 * @param aLog Must outlive the I/O thread.
 * @return The limiter of all listeners, which logs overloads.
 */
std::shared_ptr<transport::ConnectionLimiter>
MakeConnectionLimiter(transport::IoThread& aThread,
                      const DaemonSettings& aSettings,
                      coordination::EventLog& aLog);

/**
 * Starts the task that passes on the limit of bodies of each version of the
 * platform's settings.
 * @param aCatalog Task that sends the versions.
 */
caf::actor
SpawnBodyLimitTask(caf::actor_system& aSystem,
                   const caf::actor& aCatalog,
                   std::function<void(std::uint64_t)> aSetBodyLimit);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_CLIENT_LIMITS_H
