#include "cornelrudder/state/JobClass.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

namespace {

constexpr std::string_view kClassPrefix = "classes/";
constexpr std::int64_t kDefaultTimeoutMs = 30'000;
constexpr std::int64_t kDefaultReclaimMs = 30'000;

ClassName
NameFromPath(const std::string& aPath)
{
  if (!aPath.starts_with(kClassPrefix)) {
    throw StateError("settings path " + aPath +
                     " does not start with classes/");
  }
  return ClassName(aPath.substr(kClassPrefix.size()));
}

bool
IsActive(const SettingsSnapshot& aSettings, const std::string& aPath)
{
  const SettingsDocument* document = aSettings.Find(aPath);
  return document != nullptr && document->FlagOr("active", true);
}

} // namespace

JobClass::JobClass(const SettingsDocument& aDocument)
  : mName(NameFromPath(aDocument.Path()))
  , mIdempotent(aDocument.FlagOr("idempotent", false))
  , mPreemptible(aDocument.FlagOr("preemptible", false))
  , mUrgency(static_cast<int>(aDocument.IntegerOr("urgency", 0)))
  , mMaxWait(aDocument.IntegerOr("max_wait_ms", 0))
  , mTimeout(aDocument.IntegerOr("timeout_ms", kDefaultTimeoutMs))
  , mReclaimTimeout(aDocument.IntegerOr("reclaim_ms", kDefaultReclaimMs))
  , mWeight(static_cast<int>(aDocument.IntegerOr("weight", 1)))
{
}

std::optional<JobClass>
FindJobClass(const SettingsSnapshot& aSettings, const ClassName& aName)
{
  const SettingsDocument* document =
    aSettings.Find(std::string(kClassPrefix) + aName.Text());
  if (document == nullptr) {
    return std::nullopt;
  }
  return JobClass(*document);
}

bool
IsActiveOrganisation(const SettingsSnapshot& aSettings,
                     const OrganisationId& aOrganisation)
{
  return IsActive(aSettings, "organisations/" + aOrganisation.Text());
}

bool
IsActiveTeam(const SettingsSnapshot& aSettings,
             const OrganisationId& aOrganisation,
             const TeamId& aTeam)
{
  return IsActiveOrganisation(aSettings, aOrganisation) &&
         IsActive(aSettings,
                  "organisations/" + aOrganisation.Text() + "/teams/" +
                    aTeam.Text());
}

} // namespace cornelrudder::state
