#include "cornelrudder/state/AdmissionSettings.h"

namespace cornelrudder::state {

namespace {

constexpr std::string_view kClassPrefix = "classes/";
constexpr std::string_view kOrganisationPrefix = "organisations/";

/** @return Whether a path consists of the prefix and one more segment. */
bool
IsChildOf(std::string_view aPath, std::string_view aPrefix)
{
  return aPath.starts_with(aPrefix) &&
         aPath.find('/', aPrefix.size()) == std::string_view::npos;
}

} // namespace

AdmissionSettings::AdmissionSettings(const SettingsSnapshot& aSettings)
{
  for (const auto& [path, document] : aSettings.All()) {
    if (IsChildOf(path, kClassPrefix)) {
      JobClass jobClass(document);
      ClassName name = jobClass.Name();
      mClasses.emplace(std::move(name), std::move(jobClass));
    } else if (IsChildOf(path, kOrganisationPrefix) &&
               document.FlagOr("active", true)) {
      mWeights.emplace(OrganisationId(path.substr(kOrganisationPrefix.size())),
                       static_cast<int>(document.IntegerOr("weight", 1)));
    }
  }
}

} // namespace cornelrudder::state
