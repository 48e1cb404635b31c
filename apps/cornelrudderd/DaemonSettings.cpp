#include "cornelrudderd/DaemonSettings.h"

#include "cornelrudder/state/SettingsSchema.h"
#include "cornelrudder/state/scheduling/JobMemory.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <variant>

#include <toml++/toml.h>

namespace cornelrudder::daemon {

namespace {

using Values = DaemonSettingsValues;
using TextMember = std::string Values::*;
using NumberMember = std::int64_t Values::*;
using RealMember = double Values::*;
using ListMember = std::vector<std::string> Values::*;

/** One key of the settings file and the member that stores its value. */
struct FileKey
{
  std::string_view mSection;
  std::string_view mName;
  std::variant<TextMember, NumberMember, RealMember, ListMember> mMember;
  bool mRequired;
  std::int64_t mMinimum;
  std::int64_t mMaximum;
  std::string_view mChoices;
};

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kDayMs = 1'440 * kMinuteMs;
constexpr std::int64_t kMinEvacuationMs = 2'000;

constexpr std::int64_t kMebibyte = 1'048'576;
constexpr std::int64_t kMaxMb = 1'048'576;
/** Part of the VM's memory for connections. */
constexpr std::int64_t kConnectionShare = 4;
/** Part of the VM's memory for jobs. */
constexpr std::int64_t kJobShare = 4;

/** A row holds at least the lease of the owner. */
constexpr std::int64_t kMinRowBytes = 1'024;
constexpr std::int64_t kMaxRowBytes = 16'777'216;

const std::array kFileKeys{
  FileKey{ "daemon", "id", &Values::mId, true, 1, 64, "" },
  FileKey{ "daemon", "region", &Values::mRegion, true, 1, 64, "" },
  FileKey{ "daemon", "zone", &Values::mZone, true, 1, 64, "" },
  FileKey{ "daemon", "http_address", &Values::mHttpAddress, true, 1, 64, "" },
  FileKey{ "daemon", "peer_address", &Values::mPeerAddress, false, 1, 64, "" },
  FileKey{ "daemon",
           "announced_peer_address",
           &Values::mAnnouncedPeerAddress,
           false,
           1,
           64,
           "" },
  FileKey{ "daemon", "seeds", &Values::mSeeds, false, 0, 64, "" },
  FileKey{ "daemon", "memory_mb", &Values::mMemoryMb, false, 0, kMaxMb, "" },
  FileKey{ "http", "memory_mb", &Values::mHttpMemoryMb, false, 0, kMaxMb, "" },
  FileKey{ "http",
           "max_connections",
           &Values::mHttpMaxConnections,
           false,
           1,
           100'000,
           "" },
  FileKey{ "http",
           "max_header_bytes",
           &Values::mHttpMaxHeaderBytes,
           false,
           1'024,
           kMebibyte,
           "" },
  FileKey{ "http",
           "max_header_fields",
           &Values::mHttpMaxHeaderFields,
           false,
           8,
           10'000,
           "" },
  FileKey{ "http",
           "max_body_bytes",
           &Values::mHttpMaxBodyBytes,
           false,
           1'024,
           64 * kMebibyte,
           "" },
  FileKey{ "http",
           "idle_timeout_ms",
           &Values::mHttpIdleTimeoutMs,
           false,
           100,
           10 * kMinuteMs,
           "" },
  FileKey{ "http",
           "header_timeout_ms",
           &Values::mHttpHeaderTimeoutMs,
           false,
           100,
           10 * kMinuteMs,
           "" },
  FileKey{ "http",
           "body_timeout_ms",
           &Values::mHttpBodyTimeoutMs,
           false,
           100,
           10 * kMinuteMs,
           "" },
  FileKey{ "http",
           "write_timeout_ms",
           &Values::mHttpWriteTimeoutMs,
           false,
           100,
           10 * kMinuteMs,
           "" },
  FileKey{ "daemon", "cpu_share", &Values::mCpuShare, false, 0, 1'024, "" },
  FileKey{ "daemon", "link_mbps", &Values::mLinkMbps, false, 0, 1'000'000, "" },
  FileKey{ "daemon",
           "readiness_address",
           &Values::mReadinessAddress,
           false,
           1,
           64,
           "" },
  FileKey{ "daemon",
           "metrics_address",
           &Values::mMetricsAddress,
           false,
           1,
           64,
           "" },
  FileKey{ "platform", "address", &Values::mPlatformAddress, true, 1, 64, "" },
  FileKey{ "platform",
           "kind",
           &Values::mPlatformKind,
           false,
           1,
           16,
           "standin|fleet" },
  FileKey{ "platform",
           "row_bytes",
           &Values::mRowBytes,
           false,
           kMinRowBytes,
           kMaxRowBytes,
           "" },
  FileKey{ "log",
           "level",
           &Values::mLogLevel,
           false,
           1,
           16,
           "info|warning|error" },
  FileKey{ "log", "format", &Values::mLogFormat, false, 1, 16, "text|json" },
  FileKey{ "timing", "poll_ms", &Values::mPollMs, false, 50, kMinuteMs, "" },
  FileKey{ "timing",
           "store_timeout_ms",
           &Values::mStoreTimeoutMs,
           false,
           50,
           kMinuteMs,
           "" },
  FileKey{ "timing",
           "drain_notice_ms",
           &Values::mDrainNoticeMs,
           false,
           0,
           kMinuteMs,
           "" },
  FileKey{ "timing",
           "drain_grace_ms",
           &Values::mDrainGraceMs,
           false,
           0,
           10 * kMinuteMs,
           "" },
  FileKey{ "timing", "lease_ms", &Values::mLeaseMs, false, 300, kMinuteMs, "" },
  FileKey{ "timing",
           "heartbeat_ms",
           &Values::mHeartbeatMs,
           false,
           50,
           kMinuteMs,
           "" },
  FileKey{ "timing",
           "store_read_timeout_ms",
           &Values::mStoreReadTimeoutMs,
           false,
           50,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "worker_timeout_ms",
           &Values::mWorkerTimeoutMs,
           false,
           50,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "worker_lease_ms",
           &Values::mWorkerLeaseMs,
           false,
           500,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "worker_max_lease_ms",
           &Values::mWorkerMaxLeaseMs,
           false,
           500,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "worker_report_ms",
           &Values::mWorkerReportMs,
           false,
           50,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "worker_wait_ms",
           &Values::mWorkerWaitMs,
           false,
           0,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "job_memory_mb",
           &Values::mJobMemoryMb,
           false,
           0,
           kMaxMb,
           "" },
  FileKey{ "scheduling",
           "job_retention_ms",
           &Values::mJobRetentionMs,
           false,
           kMinuteMs,
           kDayMs,
           "" },
  FileKey{ "scheduling",
           "owner_timeout_ms",
           &Values::mOwnerTimeoutMs,
           false,
           300,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "catalog_max_age_ms",
           &Values::mCatalogMaxAgeMs,
           false,
           300,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "evacuation_ms",
           &Values::mEvacuationMs,
           false,
           0,
           kMinuteMs,
           "" },
  FileKey{ "scheduling",
           "policy",
           &Values::mPlacementPolicy,
           false,
           1,
           32,
           "urgency|arrival" },
  FileKey{ "scheduling",
           "run_times",
           &Values::mRunTimes,
           false,
           1,
           32,
           "learned|mean" },
};

/** Collects the errors found in a settings file. */
class ErrorList
{
public:
  explicit ErrorList(std::string aName)
    : mName(std::move(aName))
  {
  }

  void Add(std::size_t aLine,
           const std::string& aKey,
           const std::string& aFound,
           const std::string& aAllowed)
  {
    mText << mName << ":" << aLine << ": " << aKey << ": found " << aFound
          << "; allowed is " << aAllowed << "\n";
  }

  void ThrowIfAny() const
  {
    const std::string text = mText.str();
    if (!text.empty()) {
      throw SettingsFileError(text.substr(0, text.size() - 1));
    }
  }

private:
  std::string mName;
  std::ostringstream mText;
};

std::string
FullName(const FileKey& aKey)
{
  return std::string(aKey.mSection) + "." + std::string(aKey.mName);
}

std::string
FormatNode(const toml::node& aNode)
{
  std::ostringstream text;
  aNode.visit([&text](const auto& aValue) { text << aValue; });
  return text.str();
}

std::string
RangeOf(const FileKey& aKey)
{
  return std::to_string(aKey.mMinimum) + " to " + std::to_string(aKey.mMaximum);
}

bool
IsChoice(std::string_view aChoices, const std::string& aText)
{
  const std::string choices = "|" + std::string(aChoices) + "|";
  return choices.find("|" + aText + "|") != std::string::npos;
}

/** Stores the value of a node in the member of its key, or adds an error. */
class KeyReader
{
public:
  KeyReader(const FileKey& aKey,
            const toml::node& aNode,
            Values& aValues,
            ErrorList& aErrors)
    : mKey(aKey)
    , mNode(aNode)
    , mValues(aValues)
    , mErrors(aErrors)
  {
  }

  void operator()(TextMember aMember)
  {
    const auto text = mNode.value_exact<std::string>();
    if (!mKey.mChoices.empty()) {
      if (!text || !IsChoice(mKey.mChoices, *text)) {
        AddError("one of " + std::string(mKey.mChoices));
        return;
      }
    } else if (!text || !InRange(text->size())) {
      AddError("a string of " + RangeOf(mKey) + " characters");
      return;
    }
    mValues.*aMember = *text;
  }

  void operator()(NumberMember aMember)
  {
    const auto n = mNode.value_exact<std::int64_t>();
    if (!n || *n < mKey.mMinimum || *n > mKey.mMaximum) {
      AddError("an integer from " + RangeOf(mKey));
      return;
    }
    mValues.*aMember = *n;
  }

  void operator()(RealMember aMember)
  {
    const auto n = mNode.value<double>();
    const bool inRange = n && *n >= static_cast<double>(mKey.mMinimum) &&
                         *n <= static_cast<double>(mKey.mMaximum);
    if (!inRange) {
      AddError("a number from " + RangeOf(mKey));
      return;
    }
    mValues.*aMember = *n;
  }

  void operator()(ListMember aMember)
  {
    const toml::array* list = mNode.as_array();
    if (list == nullptr || !InRange(list->size())) {
      AddError("a list of up to " + std::to_string(mKey.mMaximum) + " strings");
      return;
    }
    std::vector<std::string> texts;
    for (const toml::node& node : *list) {
      const auto text = node.value_exact<std::string>();
      if (!text) {
        AddError("a list of strings");
        return;
      }
      texts.push_back(*text);
    }
    mValues.*aMember = std::move(texts);
  }

private:
  bool InRange(std::size_t aSize) const
  {
    const auto n = static_cast<std::int64_t>(aSize);
    return n >= mKey.mMinimum && n <= mKey.mMaximum;
  }

  void AddError(const std::string& aAllowed)
  {
    mErrors.Add(
      mNode.source().begin.line, FullName(mKey), FormatNode(mNode), aAllowed);
  }

  const FileKey& mKey;
  const toml::node& mNode;
  Values& mValues;
  ErrorList& mErrors;
};

void
AddUnknownKey(const std::string& aName, std::size_t aLine, ErrorList& aErrors)
{
  std::vector<std::string> names;
  names.reserve(kFileKeys.size());
  for (const FileKey& key : kFileKeys) {
    names.push_back(FullName(key));
  }
  const std::vector<std::string_view> views(names.begin(), names.end());
  const std::string nearest = state::NearestName(aName, views);
  aErrors.Add(aLine,
              aName,
              "an unknown key",
              nearest.empty() ? "a known key"
                              : "a known key; nearest is " + nearest);
}

void
CheckUnknownKeys(const toml::table& aFile, ErrorList& aErrors)
{
  for (const auto& [section, node] : aFile) {
    const std::string sectionName(section.str());
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      AddUnknownKey(sectionName, node.source().begin.line, aErrors);
      continue;
    }
    for (const auto& [name, value] : *table) {
      const std::string full = sectionName + "." + std::string(name.str());
      const bool known =
        std::any_of(kFileKeys.begin(), kFileKeys.end(), [&](const auto& aKey) {
          return FullName(aKey) == full;
        });
      if (!known) {
        AddUnknownKey(full, value.source().begin.line, aErrors);
      }
    }
  }
}

void
CheckId(std::string_view aKey, const std::string& aText, ErrorList& aErrors)
{
  if (!aText.empty() && !state::IsValidId(aText)) {
    aErrors.Add(
      0, std::string(aKey), aText, "1 to 64 characters of A-Z a-z 0-9 . _ -");
  }
}

/**
 * Checks the address that only one kind of platform requires: the readiness
 * address on the fleet platform, else the peer address.
 */
void
CheckAddresses(const Values& aValues, ErrorList& aErrors)
{
  const bool isOnFleet = aValues.mPlatformKind == "fleet";
  const std::string& address =
    isOnFleet ? aValues.mReadinessAddress : aValues.mPeerAddress;
  if (address.empty()) {
    aErrors.Add(0,
                isOnFleet ? "daemon.readiness_address" : "daemon.peer_address",
                "nothing",
                "a value; the key is required");
  }
}

/**
 * A bound below the interval at which the settings are confirmed would stop all
 * starts.
 */
void
CheckEvacuationTime(const Values& aValues, ErrorList& aErrors)
{
  if (aValues.mEvacuationMs > 0 && aValues.mEvacuationMs < kMinEvacuationMs) {
    aErrors.Add(0,
                "scheduling.evacuation_ms",
                std::to_string(aValues.mEvacuationMs),
                "0 or an integer from " + std::to_string(kMinEvacuationMs) +
                  " to " + std::to_string(kMinuteMs));
  }
}

} // namespace

transport::HttpServerLimits
DaemonSettings::HttpLimits() const
{
  using std::chrono::milliseconds;
  transport::HttpServerLimits limits;
  limits.mMaxHeaderBytes =
    static_cast<std::uint32_t>(mValues.mHttpMaxHeaderBytes);
  limits.mMaxHeaderFields =
    static_cast<std::size_t>(mValues.mHttpMaxHeaderFields);
  limits.mMaxBodyBytes = static_cast<std::uint64_t>(mValues.mHttpMaxBodyBytes);
  limits.mMaxConnections =
    static_cast<std::size_t>(mValues.mHttpMaxConnections);
  limits.mIdleTimeout = milliseconds(mValues.mHttpIdleTimeoutMs);
  limits.mHeaderTimeout = milliseconds(mValues.mHttpHeaderTimeoutMs);
  limits.mBodyTimeout = milliseconds(mValues.mHttpBodyTimeoutMs);
  limits.mWriteTimeout = milliseconds(mValues.mHttpWriteTimeoutMs);
  return limits;
}

std::uint64_t
DaemonSettings::JobBytes() const
{
  if (mValues.mJobMemoryMb > 0) {
    return static_cast<std::uint64_t>(mValues.mJobMemoryMb * kMebibyte);
  }
  if (mValues.mMemoryMb > 0) {
    return static_cast<std::uint64_t>(mValues.mMemoryMb * kMebibyte /
                                      kJobShare);
  }
  return state::scheduling::kDefaultJobBytes;
}

std::size_t
DaemonSettings::ConnectionBytes() const
{
  if (mValues.mHttpMemoryMb > 0) {
    return static_cast<std::size_t>(mValues.mHttpMemoryMb * kMebibyte);
  }
  if (mValues.mMemoryMb > 0) {
    return static_cast<std::size_t>(mValues.mMemoryMb * kMebibyte /
                                    kConnectionShare);
  }
  return transport::kDefaultConnectionBytes;
}

DaemonSettings
DaemonSettings::Load(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw SettingsFileError(aPath + ": cannot read the settings file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return Parse(text.str(), aPath);
}

DaemonSettings
DaemonSettings::Parse(std::string_view aText, const std::string& aName)
{
  toml::table file;
  try {
    file = toml::parse(aText);
  } catch (const toml::parse_error& error) {
    throw SettingsFileError(aName + ":" +
                            std::to_string(error.source().begin.line) + ": " +
                            std::string(error.description()));
  }
  ErrorList errors(aName);
  DaemonSettingsValues values;
  CheckUnknownKeys(file, errors);
  for (const FileKey& key : kFileKeys) {
    const toml::node* node = file[key.mSection][key.mName].node();
    if (node != nullptr) {
      std::visit(KeyReader(key, *node, values, errors), key.mMember);
    } else if (key.mRequired) {
      errors.Add(0, FullName(key), "nothing", "a value; the key is required");
    }
  }
  CheckId("daemon.id", values.mId, errors);
  CheckId("daemon.region", values.mRegion, errors);
  CheckId("daemon.zone", values.mZone, errors);
  CheckAddresses(values, errors);
  CheckEvacuationTime(values, errors);
  errors.ThrowIfAny();
  return DaemonSettings(std::move(values));
}

} // namespace cornelrudder::daemon
