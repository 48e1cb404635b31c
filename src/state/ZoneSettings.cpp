#include "cornelrudder/state/ZoneSettings.h"

namespace cornelrudder::state {

namespace {

constexpr std::string_view kZonePrefix = "zones/";

} // namespace

scheduling::Evacuations
EvacuationsOf(const SettingsSnapshot& aSettings)
{
  std::set<std::string> zones;
  const auto& documents = aSettings.All();
  for (auto it = documents.lower_bound(kZonePrefix);
       it != documents.end() && it->first.starts_with(kZonePrefix);
       ++it) {
    if (it->second.FlagOr("evacuated", false)) {
      zones.insert(it->first.substr(kZonePrefix.size()));
    }
  }
  return scheduling::Evacuations(std::move(zones));
}

} // namespace cornelrudder::state
