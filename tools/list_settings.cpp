/**
 * @file
 * Prints docs/settings.md from the settings schema.
 */

#include "cornelrudder/state/SettingsSchema.h"

#include <array>
#include <cstdio>
#include <string>

namespace {

using namespace cornelrudder::state;

std::string
Allowed(const SettingKey& aKey)
{
  if (aKey.mType == SettingType::kFlag) {
    return "true, false";
  }
  const std::string range =
    std::to_string(aKey.mMinimum) + " to " + std::to_string(aKey.mMaximum);
  if (aKey.mType == SettingType::kInteger) {
    return range;
  }
  if (aKey.mChoices.empty()) {
    return "text of " + range + " characters";
  }
  std::string choices(aKey.mChoices);
  for (std::size_t n = choices.find('|'); n != std::string::npos;
       n = choices.find('|', n + 2)) {
    choices.replace(n, 1, ", ");
  }
  return choices;
}

void
PrintKind(const SettingsKind& aKind)
{
  std::printf("\n## `%s`: %s\n\n| key | required | allowed | meaning |\n"
              "|---|---|---|---|\n",
              std::string(aKind.mPattern).c_str(),
              std::string(aKind.mDescription).c_str());
  for (const SettingKey& key : aKind.mKeys) {
    std::printf("| `%s` | %s | %s | %s |\n",
                std::string(key.mName).c_str(),
                key.mRequired ? "yes" : "no",
                Allowed(key).c_str(),
                std::string(key.mDescription).c_str());
  }
}

} // namespace

int
main()
{
  std::puts("# Settings documents\n\n"
            "Operators change the system only through these documents. Each "
            "has a path and a\n"
            "version; a change states the version that it replaces. `*` stands "
            "for a name. CI\n"
            "compares this page with the schema in the code "
            "(`build/tools/list_settings`).");
  for (const SettingsKind& kind : AllSettingsKinds()) {
    PrintKind(kind);
  }
  return 0;
}
