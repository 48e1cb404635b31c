#ifndef CORNELRUDDER_COORDINATION_COMMON_MESSAGES_H
#define CORNELRUDDER_COORDINATION_COMMON_MESSAGES_H

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <map>
#include <string>

/**
 * @file
 * Messages that many tasks handle.
 */

namespace cornelrudder::coordination {

/** Requests a task's snapshots, sent immediately and after each change. */
struct Subscribe
{
  caf::actor mReceiver;
};

/** Requests a task's counters; the response is Counters. */
struct GetCounters
{
  auto operator<=>(const GetCounters&) const = default;
};

/** Counter values by metric name. */
using Counters = std::map<std::string, std::uint64_t>;

/** Signals that the task's periodic timer has elapsed. */
struct Tick
{
  auto operator<=>(const Tick&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Subscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetCounters)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Tick)

#endif // CORNELRUDDER_COORDINATION_COMMON_MESSAGES_H
