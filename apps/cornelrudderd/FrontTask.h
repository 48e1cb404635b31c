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

/** A caller's request with the way to answer it. */
struct HttpCall
{
  const protocol::HttpRequest mRequest;
  const transport::HttpResponder mRespond;
};

/** Tells the front that a graceful shutdown has begun. */
struct BeginDrain
{
  auto operator<=>(const BeginDrain&) const = default;
};

/** The tasks that the front asks. */
struct FrontPeers
{
  /** Takes RunRequest. */
  caf::actor mIntents;
  caf::actor mSettings;
  caf::actor mLease;
  /** Tasks whose counters are shown. */
  std::vector<caf::actor> mCounted;
  caf::actor mMembership;
  caf::actor mSettingsSync;
  /** Begins a graceful shutdown as SIGTERM does. */
  std::function<void()> mDrain;
  /** Takes JobCommand. */
  caf::actor mJobs;
  /** Counters of the sockets, which no task owns; any thread may ask. */
  std::function<coordination::Counters()> mTraffic;
};

/**
 * Starts the task that turns HTTP requests into messages to the other tasks.
 * It takes HttpCall and BeginDrain.
 * @param aIdPrefix Prefix of request identifiers, unique for this life.
 */
caf::actor
SpawnFrontTask(caf::actor_system& aSystem,
               FrontPeers aPeers,
               std::string aIdPrefix);

} // namespace cornelrudder::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::daemon::HttpCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::daemon::BeginDrain)

#endif // CORNELRUDDERD_FRONT_TASK_H
