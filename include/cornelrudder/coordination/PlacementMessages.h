#ifndef CORNELRUDDER_COORDINATION_PLACEMENT_MESSAGES_H
#define CORNELRUDDER_COORDINATION_PLACEMENT_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/JobCommand.h"
#include "cornelrudder/state/WorkerExchange.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>

/**
 * @file
 * Messages of the forward and placement tasks.
 */

namespace cornelrudder::coordination {

/** Signals that a forwarded command's reply timeout has elapsed. */
struct ForwardTimeout
{
  const std::uint64_t mCorrelation;

  auto operator<=>(const ForwardTimeout&) const = default;
};

/** Reports a worker's reply to a command, or that it was unreachable. */
struct WorkerCallCompleted
{
  const state::WorkerCommand mCommand;
  const state::VmId mWorker;
  const state::WorkerReply mReply;

  auto operator<=>(const WorkerCallCompleted&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ForwardTimeout)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::WorkerCallCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::JobCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::JobReply)

#endif // CORNELRUDDER_COORDINATION_PLACEMENT_MESSAGES_H
