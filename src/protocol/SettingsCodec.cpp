#include "cornelrudder/protocol/SettingsCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;

namespace {

json
ToJson(const state::SettingValues& aValues)
{
  json object = json::object();
  for (const auto& [key, value] : aValues) {
    std::visit(
      [&object, &name = key](const auto& aValue) { object[name] = aValue; },
      value);
  }
  return object;
}

state::SettingValue
ToValue(const std::string& aKey, const json& aValue)
{
  if (aValue.is_boolean()) {
    return aValue.get<bool>();
  }
  if (aValue.is_number_integer()) {
    return aValue.get<std::int64_t>();
  }
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  throw ProtocolError("key " + aKey + ": found " + aValue.type_name() +
                      "; allowed are true, false, an integer or a string");
}

state::SettingValues
ToValues(const json& aObject)
{
  if (!aObject.is_object()) {
    throw ProtocolError(std::string("settings: found ") + aObject.type_name() +
                        "; allowed is an object of keys and values");
  }
  state::SettingValues values;
  for (const auto& [key, value] : aObject.items()) {
    values.emplace(key, ToValue(key, value));
  }
  return values;
}

/** Parses the text, decodes it and converts errors to ProtocolError. */
template<typename Decoder>
auto
Decode(std::string_view aWhat, std::string_view aText, Decoder aDecoder)
{
  try {
    return aDecoder(json::parse(aText));
  } catch (const json::exception& error) {
    throw ProtocolError(std::string(aWhat) + ": " + error.what());
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string(aWhat) + ": " + error.what());
  }
}

} // namespace

std::string
EncodeSettingValues(const state::SettingValues& aValues)
{
  return ToText(ToJson(aValues));
}

state::SettingValues
DecodeSettingValues(std::string_view aText)
{
  return Decode("settings", aText, ToValues);
}

std::string
EncodeSettingsDocument(const state::SettingsDocument& aDocument)
{
  json history = json::array();
  for (const state::SettingsChange& change : aDocument.History()) {
    history.push_back({ { "version", change.Version() },
                        { "write_id", change.WriteId() },
                        { "author", change.Author() } });
  }
  const json object{ { "path", aDocument.Path() },
                     { "version", aDocument.Version() },
                     { "values", ToJson(aDocument.Values()) },
                     { "history", history } };
  return ToText(object);
}

state::SettingsDocument
DecodeSettingsDocument(std::string_view aText)
{
  return Decode("settings document", aText, [](const json& aObject) {
    std::vector<state::SettingsChange> history;
    for (const json& change : aObject.at("history")) {
      history.emplace_back(change.at("version").get<std::uint64_t>(),
                           change.at("write_id").get<std::string>(),
                           change.at("author").get<std::string>());
    }
    return state::SettingsDocument(aObject.at("path").get<std::string>(),
                                   aObject.at("version").get<std::uint64_t>(),
                                   ToValues(aObject.at("values")),
                                   std::move(history));
  });
}

std::string
EncodeSettingsHead(const state::SettingsHead& aHead)
{
  json object = json::object();
  for (const auto& [path, version] : aHead) {
    object[path] = version;
  }
  return ToText(object);
}

state::SettingsHead
DecodeSettingsHead(std::string_view aText)
{
  return Decode("settings head", aText, [](const json& aObject) {
    state::SettingsHead head;
    for (const auto& [path, version] : aObject.items()) {
      head.emplace(path, version.get<std::uint64_t>());
    }
    return head;
  });
}

} // namespace cornelrudder::protocol
