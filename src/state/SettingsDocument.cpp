#include "cornelrudder/state/SettingsDocument.h"

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/StateError.h"

#include <algorithm>

namespace cornelrudder::state {

namespace {

void
RequireValidPath(std::string_view aPath)
{
  std::string_view rest = aPath;
  while (true) {
    const auto n = rest.find('/');
    RequireValidId("settings path segment", rest.substr(0, n));
    if (n == std::string_view::npos) {
      return;
    }
    rest.remove_prefix(n + 1);
  }
}

} // namespace

SettingsDocument::SettingsDocument(std::string aPath,
                                   SettingsVersion aVersion,
                                   SettingValues aValues,
                                   std::vector<SettingsChange> aHistory)
  : mPath(std::move(aPath))
  , mVersion(aVersion)
  , mValues(std::move(aValues))
  , mHistory(std::move(aHistory))
{
  RequireValidPath(mPath);
  if (mVersion == 0) {
    throw StateError("settings document " + mPath +
                     " has version 0; versions start at 1");
  }
}

std::optional<SettingValue>
SettingsDocument::Find(std::string_view aKey) const
{
  const auto it = mValues.find(aKey);
  if (it == mValues.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::int64_t
SettingsDocument::IntegerOr(std::string_view aKey, std::int64_t aFallback) const
{
  const auto it = mValues.find(aKey);
  if (it == mValues.end()) {
    return aFallback;
  }
  const auto* n = std::get_if<std::int64_t>(&it->second);
  return n != nullptr ? *n : aFallback;
}

bool
SettingsDocument::FlagOr(std::string_view aKey, bool aFallback) const
{
  const auto it = mValues.find(aKey);
  if (it == mValues.end()) {
    return aFallback;
  }
  const auto* flag = std::get_if<bool>(&it->second);
  return flag != nullptr ? *flag : aFallback;
}

std::string
SettingsDocument::TextOr(std::string_view aKey,
                         std::string_view aFallback) const
{
  const auto it = mValues.find(aKey);
  if (it == mValues.end()) {
    return std::string(aFallback);
  }
  const auto* text = std::get_if<std::string>(&it->second);
  return text != nullptr ? *text : std::string(aFallback);
}

SettingsDocument
SettingsDocument::WithValues(SettingValues aValues,
                             std::string aWriteId,
                             std::string aAuthor) const
{
  const SettingsVersion next = mVersion + 1;
  std::vector<SettingsChange> history = mHistory;
  history.emplace_back(next, std::move(aWriteId), std::move(aAuthor));
  if (history.size() > kMaxHistory) {
    history.erase(history.begin());
  }
  return { mPath, next, std::move(aValues), std::move(history) };
}

bool
SettingsDocument::HasWrite(std::string_view aWriteId) const
{
  return std::any_of(mHistory.begin(),
                     mHistory.end(),
                     [aWriteId](const SettingsChange& aChange) {
                       return aChange.WriteId() == aWriteId;
                     });
}

const SettingsDocument*
SettingsSnapshot::Find(std::string_view aPath) const
{
  const auto it = mDocuments.find(aPath);
  return it != mDocuments.end() ? &it->second : nullptr;
}

std::optional<SettingsSnapshot>
SettingsSnapshot::WithDocument(const SettingsDocument& aDocument) const
{
  const SettingsDocument* current = Find(aDocument.Path());
  if (current != nullptr && current->Version() >= aDocument.Version()) {
    return std::nullopt;
  }
  SettingsSnapshot snapshot = *this;
  snapshot.mDocuments.insert_or_assign(aDocument.Path(), aDocument);
  return snapshot;
}

SettingsHead
SettingsSnapshot::Head() const
{
  SettingsHead head;
  for (const auto& [path, document] : mDocuments) {
    head.emplace(path, document.Version());
  }
  return head;
}

} // namespace cornelrudder::state
