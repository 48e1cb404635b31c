#ifndef CORNELRUDDER_STATE_SETTINGS_SCHEMA_H
#define CORNELRUDDER_STATE_SETTINGS_SCHEMA_H

#include "cornelrudder/state/SettingsDocument.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

enum class SettingType
{
  kFlag,
  kInteger,
  kText
};

/** One key that a document may have. */
struct SettingKey
{
  std::string_view mName;
  SettingType mType;
  bool mRequired;
  /** Inclusive bounds of an integer, or of the length of a text in bytes. */
  std::int64_t mMinimum;
  std::int64_t mMaximum;
  /** Allowed texts separated by '|', or empty for any. */
  std::string_view mChoices;
  std::string_view mDescription;
};

/** A kind of document; in its path pattern, '*' matches one segment. */
struct SettingsKind
{
  std::string_view mPattern;
  std::string_view mDescription;
  std::span<const SettingKey> mKeys;
};

/** A violation of the schema: the key, the value found and what is allowed. */
struct SettingsViolation
{
  std::string mKey;
  std::string mFound;
  std::string mAllowed;

  auto operator<=>(const SettingsViolation&) const = default;
};

/** @return All kinds of documents; the reference page is generated from them.
 */
std::span<const SettingsKind>
AllSettingsKinds();

/** @return The kind whose pattern matches a path, or null. */
const SettingsKind*
FindSettingsKind(std::string_view aPath);

/**
 * Checks the values of a document against its kind.
 * @param aPath Path of the document.
 * @param aValues The values.
 * @return All violations found; empty if the document is valid.
 */
std::vector<SettingsViolation>
CheckSettings(std::string_view aPath, const SettingValues& aValues);

/**
 * Finds the known name with the smallest edit distance to a misspelt name.
 * @param aName The misspelt name.
 * @param aNames The known names.
 * @return The nearest known name; empty if the distance of all is more than
 *   half the length of aName.
 */
std::string
NearestName(std::string_view aName, std::span<const std::string_view> aNames);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SETTINGS_SCHEMA_H
