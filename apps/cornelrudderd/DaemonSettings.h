#ifndef CORNELRUDDERD_DAEMON_SETTINGS_H
#define CORNELRUDDERD_DAEMON_SETTINGS_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/transport/HttpServer.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::daemon {

/** Thrown for an invalid settings file; the text has a line for each error. */
class SettingsFileError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Values of the settings file as written; initializers are the defaults. */
struct DaemonSettingsValues
{
  std::string mId;
  std::string mRegion;
  std::string mZone;
  std::string mHttpAddress;
  std::string mPeerAddress;
  std::string mAnnouncedPeerAddress;
  std::vector<std::string> mSeeds;
  std::string mReadinessAddress;
  std::string mMetricsAddress;
  std::string mPlatformAddress;
  std::string mPlatformKind = "standin";
  std::int64_t mRowBytes = 65'536;
  std::string mLogLevel = "info";
  std::string mLogFormat = "text";
  std::int64_t mPollMs = 2'000;
  std::int64_t mStoreTimeoutMs = 1'000;
  std::int64_t mDrainNoticeMs = 2'000;
  std::int64_t mDrainGraceMs = 30'000;
  std::int64_t mLeaseMs = 6'000;
  std::int64_t mHeartbeatMs = 1'000;
  /** Memory of the VM; 0 if unknown. */
  std::int64_t mMemoryMb = 0;
  /** Memory of all connections; 0 for a part of the VM's. */
  std::int64_t mHttpMemoryMb = 0;
  /** Memory of all jobs; 0 for a part of the VM's. */
  std::int64_t mJobMemoryMb = 0;
  std::int64_t mHttpMaxConnections = 1'000;
  std::int64_t mHttpMaxHeaderBytes = 16'384;
  std::int64_t mHttpMaxHeaderFields = 128;
  std::int64_t mHttpMaxBodyBytes = 8'388'608;
  std::int64_t mHttpIdleTimeoutMs = 60'000;
  std::int64_t mHttpHeaderTimeoutMs = 10'000;
  std::int64_t mHttpBodyTimeoutMs = 15'000;
  std::int64_t mHttpWriteTimeoutMs = 15'000;
  double mCpuShare = 1.0;
  double mLinkMbps = 1'000.0;
  std::int64_t mStoreReadTimeoutMs = 500;
  std::int64_t mWorkerTimeoutMs = 600;
  std::int64_t mWorkerLeaseMs = 6'000;
  std::int64_t mWorkerWaitMs = 1'500;
  std::int64_t mWorkerReportMs = 1'500;
  std::int64_t mWorkerMaxLeaseMs = 10'000;
  std::int64_t mOwnerTimeoutMs = 1'300;
  std::int64_t mJobRetentionMs = 600'000;
  std::int64_t mCatalogMaxAgeMs = 3'000;
  std::int64_t mEvacuationMs = 0;
  std::string mPlacementPolicy;
  /** Name of the predictor of run times; empty for the default. */
  std::string mRunTimes;

  auto operator<=>(const DaemonSettingsValues&) const = default;
};

/** The validated settings of a daemon. */
class DaemonSettings
{
public:
  /**
   * Reads a TOML file.
   * @throws SettingsFileError with file, line, key, the value found and the
   *   values allowed, for each error.
   */
  static DaemonSettings Load(const std::string& aPath);

  /**
   * Reads TOML text.
   * @param aName Name of the source, used in error messages.
   * @throws SettingsFileError
   */
  static DaemonSettings Parse(std::string_view aText, const std::string& aName);

  state::VmId Id() const { return state::VmId(mValues.mId); }
  state::RegionId Region() const { return state::RegionId(mValues.mRegion); }
  state::ZoneId Zone() const { return state::ZoneId(mValues.mZone); }
  const std::string& HttpAddress() const { return mValues.mHttpAddress; }
  const std::string& PeerAddress() const { return mValues.mPeerAddress; }

  /**
   * @return The address at which peers reach the daemon if it differs from the
   *   listen address, else empty.
   */
  const std::string& AnnouncedPeerAddress() const
  {
    return mValues.mAnnouncedPeerAddress;
  }
  const std::vector<std::string>& Seeds() const { return mValues.mSeeds; }
  const std::string& PlatformAddress() const
  {
    return mValues.mPlatformAddress;
  }
  const std::string& LogLevelName() const { return mValues.mLogLevel; }
  bool LogsJson() const { return mValues.mLogFormat == "json"; }
  std::chrono::milliseconds PollInterval() const
  {
    return std::chrono::milliseconds(mValues.mPollMs);
  }
  std::chrono::milliseconds StoreTimeout() const
  {
    return std::chrono::milliseconds(mValues.mStoreTimeoutMs);
  }
  std::chrono::milliseconds DrainNotice() const
  {
    return std::chrono::milliseconds(mValues.mDrainNoticeMs);
  }
  std::chrono::milliseconds DrainGrace() const
  {
    return std::chrono::milliseconds(mValues.mDrainGraceMs);
  }
  std::chrono::milliseconds LeaseTime() const
  {
    return std::chrono::milliseconds(mValues.mLeaseMs);
  }
  std::chrono::milliseconds HeartbeatInterval() const
  {
    return std::chrono::milliseconds(mValues.mHeartbeatMs);
  }

  /**
   * @return The listen address for readiness checks of the load balancer; used
   *   only on the fleet platform.
   */
  const std::string& ReadinessAddress() const
  {
    return mValues.mReadinessAddress;
  }
  const std::string& MetricsAddress() const { return mValues.mMetricsAddress; }
  /** @return Whether the platform is the production one, not the stand-in. */
  bool IsOnFleet() const { return mValues.mPlatformKind == "fleet"; }
  /** @return Limit of the store on the encoded value of a row. */
  std::size_t RowBytes() const
  {
    return static_cast<std::size_t>(mValues.mRowBytes);
  }
  const std::string& PlacementPolicy() const
  {
    return mValues.mPlacementPolicy;
  }
  const std::string& RunTimes() const { return mValues.mRunTimes; }
  /** @return CPU capacity of the VM, in cores. */
  double CpuShare() const { return mValues.mCpuShare; }
  double LinkMbps() const { return mValues.mLinkMbps; }
  std::chrono::milliseconds StoreReadTimeout() const
  {
    return std::chrono::milliseconds(mValues.mStoreReadTimeoutMs);
  }
  std::chrono::milliseconds WorkerTimeout() const
  {
    return std::chrono::milliseconds(mValues.mWorkerTimeoutMs);
  }
  std::chrono::milliseconds WorkerLease() const
  {
    return std::chrono::milliseconds(mValues.mWorkerLeaseMs);
  }
  std::chrono::milliseconds WorkerWait() const
  {
    return std::chrono::milliseconds(mValues.mWorkerWaitMs);
  }
  /** @return Longest lease that a worker grants. */
  std::chrono::milliseconds WorkerMaxLease() const
  {
    return std::chrono::milliseconds(mValues.mWorkerMaxLeaseMs);
  }
  /** @return Interval at which the workers refresh their entries. */
  std::chrono::milliseconds WorkerReportInterval() const
  {
    return std::chrono::milliseconds(mValues.mWorkerReportMs);
  }
  std::chrono::milliseconds JobRetention() const
  {
    return std::chrono::milliseconds(mValues.mJobRetentionMs);
  }
  std::chrono::milliseconds OwnerTimeout() const
  {
    return std::chrono::milliseconds(mValues.mOwnerTimeoutMs);
  }
  std::chrono::milliseconds CatalogMaxAge() const
  {
    return std::chrono::milliseconds(mValues.mCatalogMaxAgeMs);
  }
  /** Time in which an evacuation has to be in force; 0 for no bound. */
  std::chrono::milliseconds EvacuationTime() const
  {
    return std::chrono::milliseconds(mValues.mEvacuationMs);
  }

  /** @return Limits of the listener for callers. */
  transport::HttpServerLimits HttpLimits() const;
  /** @return Limit of the memory of all jobs that have not ended. */
  std::uint64_t JobBytes() const;
  /** @return Limit of the memory of all connections. */
  std::size_t ConnectionBytes() const;

  auto operator<=>(const DaemonSettings&) const = default;

private:
  explicit DaemonSettings(DaemonSettingsValues aValues)
    : mValues(std::move(aValues))
  {
  }

  DaemonSettingsValues mValues;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_DAEMON_SETTINGS_H
