#ifndef CORNELRUDDER_PROTOCOL_SETTINGS_CODEC_H
#define CORNELRUDDER_PROTOCOL_SETTINGS_CODEC_H

#include "cornelrudder/state/SettingsDocument.h"

#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** @return The values as a JSON object. */
std::string
EncodeSettingValues(const state::SettingValues& aValues);

/**
 * @param aText A JSON object of booleans, integers and strings.
 * @throws ProtocolError naming the key whose value has another type.
 */
state::SettingValues
DecodeSettingValues(std::string_view aText);

/** @return The document as JSON, with version and history. */
std::string
EncodeSettingsDocument(const state::SettingsDocument& aDocument);

/** @throws ProtocolError if the text is not an encoded document. */
state::SettingsDocument
DecodeSettingsDocument(std::string_view aText);

/** @return The head (version of each document, by path) as JSON. */
std::string
EncodeSettingsHead(const state::SettingsHead& aHead);

/** @throws ProtocolError if the text is not an encoded head. */
state::SettingsHead
DecodeSettingsHead(std::string_view aText);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_SETTINGS_CODEC_H
