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
    if (member.Record()) {
      const state::PeerRecord& peer = *member.Record();
      entry["incarnation"] = peer.CurrentIncarnation();
      entry["zone"] = peer.LastHeartbeat().Zone().Text();
      entry["http_address"] = peer.LastHeartbeat().HttpAddress();
      entry["peer_address"] = peer.LastHeartbeat().PeerAddress();
      entry["settings_total"] = peer.LastHeartbeat().SettingsVersionSum();
      entry["silent_ms"] = (aObservedAt - peer.LastHeartbeatAt()).count();
    }
    members.push_back(std::move(entry));
  }
  return ToText({ { "members", members } });
}

} // namespace cornelrudder::protocol
