#include "cornelrudder/state/SettingsSchema.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace cornelrudder::state {

namespace {

constexpr std::int64_t kMaxTextLength = 256;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kDayMs = 24 * kHourMs;

constexpr std::array kOrganisationKeys{
  SettingKey{ "display_name",
              SettingType::kText,
              false,
              0,
              kMaxTextLength,
              "",
              "name shown to people" },
  SettingKey{
    "active",
    SettingType::kFlag,
    false,
    0,
    0,
    "",
    "false rejects new requests and jobs of the organisation; nothing "
    "is deleted" },
  SettingKey{ "weight",
              SettingType::kInteger,
              false,
              1,
              1000,
              "",
              "share of contended capacity, relative to other organisations" },
};

constexpr std::array kTeamKeys{
  SettingKey{ "display_name",
              SettingType::kText,
              false,
              0,
              kMaxTextLength,
              "",
              "name shown to people" },
  SettingKey{ "active",
              SettingType::kFlag,
              false,
              0,
              0,
              "",
              "false rejects new requests and jobs of the team; nothing is "
              "deleted" },
  SettingKey{ "max_accelerators",
              SettingType::kInteger,
              false,
              0,
              100'000,
              "",
              "quota: accelerators that the team's gangs may use at once" },
  SettingKey{ "max_queued_jobs",
              SettingType::kInteger,
              false,
              0,
              100'000,
              "",
              "quota: gang jobs of the team that may wait in the queue" },
};

constexpr std::array kShapeKeys{
  SettingKey{ "region",
              SettingType::kText,
              true,
              1,
              64,
              "",
              "region in which the shape is guaranteed" },
  SettingKey{ "workers",
              SettingType::kInteger,
              true,
              1,
              1000,
              "",
              "number of workers" },
  SettingKey{ "accelerators_per_worker",
              SettingType::kInteger,
              true,
              1,
              64,
              "",
              "accelerators on each worker" },
  SettingKey{ "adjacency",
              SettingType::kText,
              true,
              1,
              16,
              "worker|rack|zone|region",
              "domain that must contain all workers of the shape" },
  SettingKey{ "active",
              SettingType::kFlag,
              false,
              0,
              0,
              "",
              "false suspends the guarantee" },
};

constexpr std::array kClassKeys{
  SettingKey{ "idempotent",
              SettingType::kFlag,
              true,
              0,
              0,
              "",
              "whether a request may be retried even if it may have run" },
  SettingKey{ "preemptible",
              SettingType::kFlag,
              false,
              0,
              0,
              "",
              "whether gangs of the class may borrow guaranteed accelerators" },
  SettingKey{ "urgency",
              SettingType::kInteger,
              false,
              0,
              9,
              "",
              "priority of the class; 0 is the least urgent" },
  SettingKey{ "max_wait_ms",
              SettingType::kInteger,
              true,
              0,
              kDayMs,
              "",
              "longest wait in the queue; 0 means that requests never queue" },
  SettingKey{ "timeout_ms",
              SettingType::kInteger,
              true,
              1,
              kHourMs,
              "",
              "longest run time of a request on a runner" },
  SettingKey{ "reclaim_ms",
              SettingType::kInteger,
              false,
              0,
              kHourMs,
              "",
              "time that a preempted gang has to write a checkpoint" },
  SettingKey{ "weight",
              SettingType::kInteger,
              false,
              1,
              1000,
              "",
              "minimum share of slots, relative to the other classes" },
};

constexpr std::array kZoneKeys{
  SettingKey{ "evacuated",
              SettingType::kFlag,
              true,
              0,
              0,
              "",
              "true sends nothing new to the zone's runners and workers; work "
              "there continues" },
};

constexpr std::array kPolicyKeys{
  SettingKey{ "placement",
              SettingType::kText,
              false,
              1,
              32,
              "first_fit|best_fit",
              "placement strategy" },
  SettingKey{ "admission",
              SettingType::kText,
              false,
              1,
              32,
              "fifo|fair",
              "admission strategy" },
  SettingKey{ "routing",
              SettingType::kText,
              false,
              1,
              32,
              "first_free|own_zone",
              "runner selection strategy" },
};

constexpr std::array kKinds{
  SettingsKind{ "organisations/*", "an organisation", kOrganisationKeys },
  SettingsKind{ "organisations/*/teams/*", "a team", kTeamKeys },
  SettingsKind{ "organisations/*/shapes/*",
                "a guaranteed shape of adjacent accelerators",
                kShapeKeys },
  SettingsKind{ "classes/*", "a job class", kClassKeys },
  SettingsKind{ "zones/*", "an availability zone", kZoneKeys },
  SettingsKind{ "policy", "strategies in use", kPolicyKeys },
};

bool
MatchesPattern(std::string_view aPattern, std::string_view aPath)
{
  while (true) {
    const auto n = aPattern.find('/');
    const auto m = aPath.find('/');
    const std::string_view segment = aPattern.substr(0, n);
    if (segment != "*" && segment != aPath.substr(0, m)) {
      return false;
    }
    const bool patternEnds = n == std::string_view::npos;
    const bool pathEnds = m == std::string_view::npos;
    if (patternEnds || pathEnds) {
      return patternEnds && pathEnds;
    }
    aPattern.remove_prefix(n + 1);
    aPath.remove_prefix(m + 1);
  }
}

bool
IsChoice(std::string_view aChoices, std::string_view aText)
{
  while (true) {
    const auto n = aChoices.find('|');
    if (aChoices.substr(0, n) == aText) {
      return true;
    }
    if (n == std::string_view::npos) {
      return false;
    }
    aChoices.remove_prefix(n + 1);
  }
}

std::string
FormatValue(const SettingValue& aValue)
{
  if (const auto* flag = std::get_if<bool>(&aValue)) {
    return *flag ? "true" : "false";
  }
  if (const auto* n = std::get_if<std::int64_t>(&aValue)) {
    return std::to_string(*n);
  }
  return "\"" + std::get<std::string>(aValue) + "\"";
}

std::string
FormatAllowed(const SettingKey& aKey)
{
  if (aKey.mType == SettingType::kFlag) {
    return "true or false";
  }
  const std::string range =
    std::to_string(aKey.mMinimum) + " to " + std::to_string(aKey.mMaximum);
  if (aKey.mType == SettingType::kInteger) {
    return "a whole number from " + range;
  }
  if (!aKey.mChoices.empty()) {
    return "one of " + std::string(aKey.mChoices);
  }
  return "a text of " + range + " characters";
}

bool
IsAllowed(const SettingKey& aKey, const SettingValue& aValue)
{
  if (aKey.mType == SettingType::kFlag) {
    return std::holds_alternative<bool>(aValue);
  }
  if (aKey.mType == SettingType::kInteger) {
    const auto* n = std::get_if<std::int64_t>(&aValue);
    return n != nullptr && *n >= aKey.mMinimum && *n <= aKey.mMaximum;
  }
  const auto* text = std::get_if<std::string>(&aValue);
  if (text == nullptr) {
    return false;
  }
  const auto length = static_cast<std::int64_t>(text->size());
  const bool inRange = length >= aKey.mMinimum && length <= aKey.mMaximum;
  return inRange && (aKey.mChoices.empty() || IsChoice(aKey.mChoices, *text));
}

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t replaced =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
    }
  }
  return row.back();
}

SettingsViolation
UnknownKeyViolation(std::span<const SettingKey> aKeys, const std::string& aName)
{
  std::vector<std::string_view> names;
  for (const SettingKey& key : aKeys) {
    names.push_back(key.mName);
  }
  const std::string nearest = NearestName(aName, names);
  std::string allowed = "a known key";
  if (!nearest.empty()) {
    allowed += "; nearest is " + nearest;
  }
  return { aName, "unknown key", allowed };
}

} // namespace

std::span<const SettingsKind>
AllSettingsKinds()
{
  return kKinds;
}

const SettingsKind*
FindSettingsKind(std::string_view aPath)
{
  const auto* it =
    std::find_if(kKinds.begin(), kKinds.end(), [aPath](const auto& aKind) {
      return MatchesPattern(aKind.mPattern, aPath);
    });
  return it != kKinds.end() ? it : nullptr;
}

std::vector<SettingsViolation>
CheckSettings(std::string_view aPath, const SettingValues& aValues)
{
  const SettingsKind* kind = FindSettingsKind(aPath);
  if (kind == nullptr) {
    std::string allowed;
    for (const SettingsKind& known : kKinds) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(known.mPattern);
    }
    return { { "", "unknown path " + std::string(aPath), allowed } };
  }
  std::vector<SettingsViolation> violations;
  for (const auto& [name, value] : aValues) {
    const auto it = std::find_if(
      kind->mKeys.begin(),
      kind->mKeys.end(),
      [&key = name](const SettingKey& aKey) { return aKey.mName == key; });
    if (it == kind->mKeys.end()) {
      violations.push_back(UnknownKeyViolation(kind->mKeys, name));
    } else if (!IsAllowed(*it, value)) {
      violations.push_back({ name, FormatValue(value), FormatAllowed(*it) });
    }
  }
  for (const SettingKey& key : kind->mKeys) {
    if (key.mRequired && !aValues.contains(key.mName)) {
      violations.push_back(
        { std::string(key.mName), "missing", FormatAllowed(key) });
    }
  }
  return violations;
}

std::string
NearestName(std::string_view aName, std::span<const std::string_view> aNames)
{
  std::string_view nearest;
  std::size_t best = aName.size() / 2 + 1;
  for (const std::string_view name : aNames) {
    const std::size_t distance = EditDistance(aName, name);
    if (distance < best) {
      best = distance;
      nearest = name;
    }
  }
  return std::string(nearest);
}

} // namespace cornelrudder::state
