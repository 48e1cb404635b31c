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
    const json object = ParseJson(aText, "lease row");
    const JsonReader row(object, "lease row");
    std::optional<state::VmId> owner;
    if (!object.at("owner").is_null()) {
      owner = state::VmId(row.Text("owner"));
    }
    return { std::move(owner), row.Counter("epoch"), row.Text("incarnation") };
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("lease row: ") + error.what());
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string("lease row: ") + error.what());
  }
}

} // namespace cornelrudder::protocol
