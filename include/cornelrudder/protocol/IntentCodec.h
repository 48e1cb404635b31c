#ifndef CORNELRUDDER_PROTOCOL_INTENT_CODEC_H
#define CORNELRUDDER_PROTOCOL_INTENT_CODEC_H

#include "cornelrudder/state/Intent.h"

#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** @return The row's value as JSON, with the recorded result in base64. */
std::string
EncodeIntent(const state::Intent& aIntent);

/** @throws ProtocolError if the text is not an encoded intent. */
state::Intent
DecodeIntent(std::string_view aText);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_INTENT_CODEC_H
