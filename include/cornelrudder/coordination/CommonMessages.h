#ifndef CORNELRUDDER_COORDINATION_COMMON_MESSAGES_H
#define CORNELRUDDER_COORDINATION_COMMON_MESSAGES_H

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <map>
#include <string>

/**
 * @file
 * Messages that many tasks take.
 */

namespace cornelrudder::coordination {

/** Asks a task to send its snapshots to a receiver, at once and on change. */
struct Subscribe
{
  caf::actor mReceiver;
};

/** Asks a task for its counters; the answer is Counters. */
struct GetCounters
{
  auto operator<=>(const GetCounters&) const = default;
};

using Counters = std::map<std::string, std::uint64_t>;

/** Tells a task that its timer elapsed. */
struct Tick
{
  auto operator<=>(const Tick&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Subscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetCounters)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Tick)

#endif // CORNELRUDDER_COORDINATION_COMMON_MESSAGES_H
