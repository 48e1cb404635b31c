#ifndef CORNELRUDDER_PROTOCOL_MEMBERS_CODEC_H
#define CORNELRUDDER_PROTOCOL_MEMBERS_CODEC_H

#include "cornelrudder/state/Membership.h"

#include <chrono>
#include <string>
#include <vector>

namespace cornelrudder::protocol {

/**
 * @param aObservedAt Monotonic time at which the states were taken.
 * @return The other daemons as JSON; addresses, incarnation and time of
 *   silence only if a heartbeat was heard.
 */
std::string
EncodeMembers(const std::vector<state::Member>& aMembers,
              std::chrono::milliseconds aObservedAt);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_MEMBERS_CODEC_H
