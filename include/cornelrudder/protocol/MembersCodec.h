#ifndef CORNELRUDDER_PROTOCOL_MEMBERS_CODEC_H
#define CORNELRUDDER_PROTOCOL_MEMBERS_CODEC_H

#include "cornelrudder/state/Membership.h"

#include <chrono>
#include <string>
#include <vector>

namespace cornelrudder::protocol {

/**
 * @param aObservedAt Monotonic time at which the states were read.
 * @return The other daemons as JSON. Addresses, incarnation and time since the
 *   last heartbeat are present only if a heartbeat was received.
 */
std::string
EncodeMembers(const std::vector<state::Member>& aMembers,
              std::chrono::milliseconds aObservedAt);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_MEMBERS_CODEC_H
