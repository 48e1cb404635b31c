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
  /** Bounds of an integer, or of the length of a text; both are allowed. */
  std::int64_t mMinimum;
  std::int64_t mMaximum;
  /** Allowed texts separated by '|', or empty for any. */
  std::string_view mChoices;
  std::string_view mDescription;
};

/** A kind of document: a path pattern, where '*' is one segment. */
struct SettingsKind
{
  std::string_view mPattern;
  std::string_view mDescription;
  std::span<const SettingKey> mKeys;
};

/** A fault found in a document. */
struct SettingsViolation
{
  std::string mKey;
  std::string mFound;
  std::string mAllowed;

  auto operator<=>(const SettingsViolation&) const = default;
};

/** @return All kinds of documents; the reference page is tested against it. */
std::span<const SettingsKind>
AllSettingsKinds();

/** @return The kind whose pattern matches a path, or null. */
const SettingsKind*
FindSettingsKind(std::string_view aPath);

/**
 * Checks the values of a document against its kind.
 * @param aPath Path of the document.
 * @param aValues The values.
 * @return All faults found; empty if the document is acceptable.
 */
std::vector<SettingsViolation>
CheckSettings(std::string_view aPath, const SettingValues& aValues);

/**
 * Finds the name most like a misspelt one, by edit distance.
 * @param aName The misspelt name.
 * @param aNames The known names.
 * @return The nearest known name, or empty if none is near.
 */
std::string
NearestName(std::string_view aName, std::span<const std::string_view> aNames);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SETTINGS_SCHEMA_H
