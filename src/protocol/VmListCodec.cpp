#include "cornelrudder/protocol/VmListCodec.h"

#include "JsonText.h"

#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;

namespace {

/** Indexed by state::VmRole. */
constexpr std::array<std::string_view, 3> kRoles{ "entry", "runner", "worker" };

/** Indexed by state::VmState. */
constexpr std::array<std::string_view, 2> kStates{ "live", "leaving" };

} // namespace

std::string
EncodeVmList(const state::VmList& aVms,
             const state::scheduling::Evacuations& aEvacuations)
{
  json vms = json::array();
  for (const state::Vm& vm : aVms.All()) {
    const state::VmLocation& location = vm.Location();
    vms.push_back(
      { { "id", vm.Name().Text() },
        { "role", kRoles.at(static_cast<std::size_t>(vm.Role())) },
        { "address", vm.Address() },
        { "region", location.Region().Text() },
        { "zone", location.Zone().Text() },
        { "rack", location.Rack().Text() },
        { "accelerators", vm.Accelerators() },
        { "state", kStates.at(static_cast<std::size_t>(vm.State())) },
        { "evacuated", aEvacuations.Contains(location.Zone().Text()) } });
  }
  return ToText(
    { { "evacuated_zones", aEvacuations.Zones() }, { "vms", vms } });
}

} // namespace cornelrudder::protocol
