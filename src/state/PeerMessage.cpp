#include "cornelrudder/state/PeerMessage.h"

#include <array>

namespace cornelrudder::state {

std::string_view
PeerBodyName(const PeerBody& aBody)
{
  static constexpr std::array<std::string_view, std::variant_size_v<PeerBody>>
    kNames{ "heartbeat",
            "settings_notice",
            "settings_query",
            "forward",
            "forward_reply" };
  return kNames.at(aBody.index());
}

} // namespace cornelrudder::state
