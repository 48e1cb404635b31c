#ifndef CORNELRUDDERD_METRICS_TASK_H
#define CORNELRUDDERD_METRICS_TASK_H

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/HttpServer.h"

#include <caf/actor.hpp>

#include <functional>
#include <vector>

namespace cornelrudder::daemon {

/** @return Counters in the Prometheus text format. */
protocol::HttpResponse
EncodeCounters(const coordination::Counters& aCounters);

/**
 * Starts the task that sums the counters of other tasks.
 * @param aTasks Tasks that accept GetCounters.
 */
caf::actor
SpawnMetricsTask(caf::actor_system& aSystem, std::vector<caf::actor> aTasks);

/**
 * Starts a task with counters that belong to no other task.
 * @param aCount Called for each GetCounters; must stay callable.
 */
caf::actor
SpawnCounterTask(caf::actor_system& aSystem,
                 std::function<coordination::Counters()> aCount);

/** @return A handler that responds with the sums of all counters. */
transport::HttpHandler
MakeMetricsHandler(const caf::actor& aMetrics);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_METRICS_TASK_H
