#ifndef CORNELRUDDER_PROTOCOL_JSON_TEXT_H
#define CORNELRUDDER_PROTOCOL_JSON_TEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cornelrudder::protocol {

/**
 * Encodes a JSON value. Text that came from outside may hold bytes that are
 * no UTF-8; they are replaced, so that the encoding never throws.
 */
std::string
ToText(const nlohmann::json& aValue);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_JSON_TEXT_H
