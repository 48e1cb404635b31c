#include "cornelrudder/protocol/IntentCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <array>

#include <cereal/external/base64.hpp>
#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;
using state::IntentState;

namespace {

constexpr std::array kStates{ IntentState::kDispatched,
                              IntentState::kDone,
                              IntentState::kNotRun };

IntentState
DecodeState(const std::string& aText)
{
  for (const IntentState state : kStates) {
    if (state::IntentStateName(state) == aText) {
      return state;
    }
  }
  throw ProtocolError("intent: field state: found \"" + aText +
                      "\"; allowed are dispatched, done, not_run");
}

std::string
ToBase64(const std::string& aText)
{
  return cereal::base64::encode(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size());
}

std::string
FromBase64(const std::string& aText)
{
  std::string text = cereal::base64::decode(aText);
  // The decoder ignores all input after the first invalid character.
  if (ToBase64(text) != aText) {
    throw ProtocolError("intent: field answer is not valid base64");
  }
  return text;
}

} // namespace

std::string
EncodeIntent(const state::Intent& aIntent)
{
  json object{ { "digest", aIntent.Digest() },
               { "owner", aIntent.Owner() },
               { "attempt", aIntent.Attempt() },
               { "state", state::IntentStateName(aIntent.State()) } };
  if (aIntent.Answer()) {
    object["answer"] = ToBase64(*aIntent.Answer());
  }
  return ToText(object);
}

state::Intent
DecodeIntent(std::string_view aText)
{
  try {
    const json object = ParseJson(aText, "intent");
    const JsonReader row(object, "intent");
    std::optional<std::string> answer;
    if (row.Has("answer")) {
      answer = FromBase64(row.Text("answer"));
    }
    return { row.Text("digest"),
             row.Text("owner"),
             row.Text("attempt"),
             DecodeState(row.Text("state")),
             std::move(answer) };
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string("intent: ") + error.what());
  }
}

} // namespace cornelrudder::protocol
