#ifndef CORNELRUDDER_STATE_SETTINGS_DOCUMENT_H
#define CORNELRUDDER_STATE_SETTINGS_DOCUMENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelrudder::state {

using SettingValue = std::variant<bool, std::int64_t, std::string>;
using SettingValues = std::map<std::string, SettingValue, std::less<>>;

/** Version of a document; 0 means that it does not exist. */
using SettingsVersion = std::uint64_t;

/** One accepted change in the history of a document. */
class SettingsChange
{
public:
  SettingsChange(SettingsVersion aVersion,
                 std::string aWriteId,
                 std::string aAuthor)
    : mVersion(aVersion)
    , mWriteId(std::move(aWriteId))
    , mAuthor(std::move(aAuthor))
  {
  }

  SettingsVersion Version() const { return mVersion; }
  const std::string& WriteId() const { return mWriteId; }
  const std::string& Author() const { return mAuthor; }

  auto operator<=>(const SettingsChange&) const = default;

private:
  SettingsVersion mVersion;
  std::string mWriteId;
  std::string mAuthor;
};

/** The settings at one path, with their version and recent changes. */
class SettingsDocument
{
public:
  /** Changes kept; enough to recognise a write whose response was lost. */
  static constexpr std::size_t kMaxHistory = 16;

  /** @throws StateError if the path is malformed or the version is 0. */
  SettingsDocument(std::string aPath,
                   SettingsVersion aVersion,
                   SettingValues aValues,
                   std::vector<SettingsChange> aHistory);

  const std::string& Path() const { return mPath; }
  SettingsVersion Version() const { return mVersion; }
  const SettingValues& Values() const { return mValues; }
  const std::vector<SettingsChange>& History() const { return mHistory; }

  /** @return The value of a key, or nothing. */
  std::optional<SettingValue> Find(std::string_view aKey) const;

  /** @return The integer at a key, or the fallback if there is none. */
  std::int64_t IntegerOr(std::string_view aKey, std::int64_t aFallback) const;

  /** @return The flag at a key, or the fallback if there is none. */
  bool FlagOr(std::string_view aKey, bool aFallback) const;

  /** @return The text at a key, or the fallback if there is none. */
  std::string TextOr(std::string_view aKey, std::string_view aFallback) const;

  /**
   * @param aValues The values that replace the current ones.
   * @param aWriteId Identifier of the write.
   * @param aAuthor Author of the change.
   * @return The next version of the document.
   */
  SettingsDocument WithValues(SettingValues aValues,
                              std::string aWriteId,
                              std::string aAuthor) const;

  /** @return Whether the history contains a write. */
  bool HasWrite(std::string_view aWriteId) const;

  auto operator<=>(const SettingsDocument&) const = default;

private:
  std::string mPath;
  SettingsVersion mVersion;
  SettingValues mValues;
  std::vector<SettingsChange> mHistory;
};

/** Versions of all documents by path. */
using SettingsHead = std::map<std::string, SettingsVersion, std::less<>>;

/** The current version of all documents, by path. */
class SettingsSnapshot
{
public:
  SettingsSnapshot() = default;

  /** @return The document at a path, or null. */
  const SettingsDocument* Find(std::string_view aPath) const;

  /**
   * Adds a document unless the snapshot has the same or a newer version of it.
   * @return The changed snapshot, or nothing if the document is not newer.
   */
  std::optional<SettingsSnapshot> WithDocument(
    const SettingsDocument& aDocument) const;

  const std::map<std::string, SettingsDocument, std::less<>>& All() const
  {
    return mDocuments;
  }

  SettingsHead Head() const;

  auto operator<=>(const SettingsSnapshot&) const = default;

private:
  std::map<std::string, SettingsDocument, std::less<>> mDocuments;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SETTINGS_DOCUMENT_H
