#ifndef CORNELRUDDER_PROTOCOL_PEER_CODEC_H
#define CORNELRUDDER_PROTOCOL_PEER_CODEC_H

#include "cornelrudder/state/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** Protocol version; the first byte of each frame. */
inline constexpr std::uint8_t kPeerProtocolVersion = 1;

/** Longest frame between daemons, in bytes. */
inline constexpr std::size_t kMaxPeerFrameBytes = 1024ULL * 1024;

/**
 * @return The message as a frame.
 * @throws ProtocolError if a field or the frame exceeds its maximum length.
 */
std::string
EncodePeerMessage(const state::PeerMessage& aMessage);

/**
 * @param aFrame A frame from an untrusted sender.
 * @throws ProtocolError if the frame is not exactly one encoded message.
 */
state::PeerMessage
DecodePeerMessage(std::string_view aFrame);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_PEER_CODEC_H
