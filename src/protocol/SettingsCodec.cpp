#include "cornelrudder/protocol/SettingsCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <utility>

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
  const bool isTooLarge =
    aValue.is_number_unsigned() &&
    !std::in_range<std::int64_t>(aValue.get<std::uint64_t>());
  if (aValue.is_number_integer() && !isTooLarge) {
    return aValue.get<std::int64_t>();
  }
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  throw ProtocolError("key " + aKey + ": found " + aValue.type_name() +
                      "; allowed are true, false, an integer of 64 bits or a "
                      "string");
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
    return aDecoder(ParseJson(aText, aWhat));
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
    const JsonReader document(aObject, "settings document");
    if (!document.Has("values") || !document.Has("history")) {
      throw ProtocolError(
        "settings document: field values or history is missing");
    }
    std::vector<state::SettingsChange> history;
    for (const JsonReader& change : document.Elements("history")) {
      history.emplace_back(change.Counter("version"),
                           change.Text("write_id"),
                           change.Text("author"));
    }
    return state::SettingsDocument(document.Text("path"),
                                   document.Counter("version"),
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
    const JsonReader reader(aObject, "settings head");
    state::SettingsHead head;
    for (const auto& [path, version] : aObject.items()) {
      head.emplace(path, reader.Counter(path));
    }
    return head;
  });
}

} // namespace cornelrudder::protocol
