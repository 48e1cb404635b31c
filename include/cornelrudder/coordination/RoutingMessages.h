#ifndef CORNELRUDDER_COORDINATION_ROUTING_MESSAGES_H
#define CORNELRUDDER_COORDINATION_ROUTING_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/RunRequest.h"
#include "cornelrudder/state/RunnerExchange.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <string>

/**
 * @file
 * Messages of the routing and intent tasks.
 */

namespace cornelrudder::coordination {

/** Reports the result of an attempt on a runner to the routing task. */
struct RunAttemptCompleted
{
  const state::RequestId mRequest;
  const state::VmId mRunner;
  const state::RunnerResult mResult;

  auto operator<=>(const RunAttemptCompleted&) const = default;
};

/** Makes the intent task retry the write of an attempt's outcome. */
struct RetryIntentRecord
{
  const std::string mAttempt;

  auto operator<=>(const RetryIntentRecord&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RunAttemptCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RetryIntentRecord)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::RunRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::RunOutcome)

#endif // CORNELRUDDER_COORDINATION_ROUTING_MESSAGES_H
