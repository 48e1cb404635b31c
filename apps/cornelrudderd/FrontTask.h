#ifndef CORNELRUDDERD_FRONT_TASK_H
#define CORNELRUDDERD_FRONT_TASK_H

#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/HttpServer.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cornelrudder::daemon {

/** An HTTP request and the function that sends its response. */
struct HttpCall
{
  const protocol::HttpRequest mRequest;
  const transport::HttpResponder mRespond;
};

/** Notifies the front task that a graceful shutdown has started. */
struct BeginDrain
{
  auto operator<=>(const BeginDrain&) const = default;
};

/** The tasks and functions that the front task calls. */
struct FrontDependencies
{
  /** Accepts RunRequest. */
  caf::actor mIntents;
  caf::actor mSettings;
  caf::actor mLease;
  /** Tasks whose counters /metrics reports; each accepts GetCounters. */
  std::vector<caf::actor> mCounterSources;
  caf::actor mMembership;
  caf::actor mSettingsSync;
  /** Starts the graceful shutdown that SIGTERM also starts. */
  std::function<void()> mBeginDrain;
  /** Accepts JobCommand. */
  caf::actor mJobs;
  /**
   * Returns the traffic counters of the HTTP clients, which belong to no task.
   * May be called on any thread.
   */
  std::function<coordination::Counters()> mCountTraffic;
};

/**
 * Starts the task that turns HTTP requests into messages to the other tasks.
 * The task accepts HttpCall and BeginDrain.
 * @param aIdPrefix Prefix of request and job identifiers, unique for this
 *   incarnation of the daemon.
 */
caf::actor
SpawnFrontTask(caf::actor_system& aSystem,
               FrontDependencies aDependencies,
               std::string aIdPrefix);

} // namespace cornelrudder::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::daemon::HttpCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::daemon::BeginDrain)

#endif // CORNELRUDDERD_FRONT_TASK_H
