#ifndef CORNELRUDDERD_METRICS_TASK_H
#define CORNELRUDDERD_METRICS_TASK_H

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/HttpServer.h"

#include <caf/actor.hpp>

#include <vector>

namespace cornelrudder::daemon {

/** @return Counters in the text format of metrics collectors. */
protocol::HttpResponse
EncodeCounters(const coordination::Counters& aCounters);

/**
 * Starts the task that adds up the counters of other tasks.
 * @param aTasks Tasks that take GetCounters.
 */
caf::actor
SpawnMetricsTask(caf::actor_system& aSystem, std::vector<caf::actor> aTasks);

/** @return A handler that answers with all counters. */
transport::HttpHandler
MakeMetricsHandler(const caf::actor& aMetrics);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_METRICS_TASK_H
