#ifndef CORNELRUDDER_PROTOCOL_JSON_TEXT_H
#define CORNELRUDDER_PROTOCOL_JSON_TEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cornelrudder::protocol {

/**
 * Encodes a JSON value. Replaces bytes that are not valid UTF-8, which external
 * input may contain, so that encoding does not throw.
 */
std::string
ToText(const nlohmann::json& aValue);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_JSON_TEXT_H
