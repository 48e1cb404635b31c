#include "cornelrudder/protocol/MembersCodec.h"

#include "JsonText.h"
#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;

std::string
EncodeMembers(const std::vector<state::Member>& aMembers,
              std::chrono::milliseconds aObservedAt)
{
  json members = json::array();
  for (const state::Member& member : aMembers) {
    json entry{ { "id", member.Name().Text() },
                { "state", state::PeerStateName(member.State()) } };
    if (member.Known()) {
      const state::Peer& peer = *member.Known();
      entry["incarnation"] = peer.Life();
      entry["zone"] = peer.Last().Zone().Text();
      entry["http_address"] = peer.Last().HttpAddress();
      entry["peer_address"] = peer.Last().PeerAddress();
      entry["settings_total"] = peer.Last().SettingsTotal();
      entry["silent_ms"] = (aObservedAt - peer.Heard()).count();
    }
    members.push_back(std::move(entry));
  }
  return ToText({ { "members", members } });
}

} // namespace cornelrudder::protocol
