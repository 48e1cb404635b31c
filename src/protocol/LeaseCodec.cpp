#include "cornelrudder/protocol/LeaseCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;

std::string
EncodeLeaseRow(const state::LeaseRow& aRow)
{
  json owner = nullptr;
  if (aRow.Owner()) {
    owner = aRow.Owner()->Text();
  }
  return ToText({ { "owner", owner },
                  { "epoch", aRow.Epoch() },
                  { "incarnation", aRow.Incarnation() } });
}

state::LeaseRow
DecodeLeaseRow(std::string_view aText)
{
  try {
    const json object = json::parse(aText);
    std::optional<state::VmId> owner;
    if (!object.at("owner").is_null()) {
      owner = state::VmId(object.at("owner").get<std::string>());
    }
    return { std::move(owner),
             object.at("epoch").get<std::uint64_t>(),
             object.at("incarnation").get<std::string>() };
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("lease row: ") + error.what());
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string("lease row: ") + error.what());
  }
}

} // namespace cornelrudder::protocol
