#include "cornelrudderd/FleetDaemon.h"

#include "cornelrudder/coordination/CatalogTask.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/JobGatewayTask.h"
#include "cornelrudder/coordination/SchedulerTask.h"
#include "cornelrudder/coordination/SchedulingMessages.h"
#include "cornelrudder/protocol/JsonSchedulingCodec.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/IoThread.h"
#include "cornelrudderd/ClientLimits.h"
#include "cornelrudderd/GracefulStop.h"
#include "cornelrudderd/Incarnation.h"
#include "cornelrudderd/MetricsTask.h"
#include "cornelrudderd/SpdlogEventLog.h"
#include "cornelrudderd/TaskGroup.h"
#include "platform/CallerFront.h"
#include "platform/FleetCodec.h"
#include "platform/RunnerClient.h"
#include "platform/TableStore.h"

#include <caf/send.hpp>

#include <functional>

namespace cornelrudder::daemon {

namespace {

using coordination::LogEvent;
using transport::HttpClientLimits;
using transport::HttpServer;

/** Enough for long polls of the change feeds and short calls in parallel. */
constexpr std::size_t kStoreConnections = 24;
/** Enough for one long-polled renewal and a few commands in parallel. */
constexpr std::size_t kWorkerConnections = 8;
/**
 * A VM below either minimum delays its attempt to become the owner: at 350
 * workers, the owner needs about 0.1 of a core and transfers tables of 1 MB.
 */
constexpr double kMinOwnerCpuShare = 0.2;
constexpr double kMinOwnerLinkMbps = 40.0;
/** Two polls of the owner record, so that a larger VM can take over first. */
constexpr std::chrono::milliseconds kSmallVmTakeoverDelay{ 800 };
/** The store removes the entry of a worker after so many missed reports. */
constexpr int kReportsBeforeRemoval = 3;

std::chrono::milliseconds
TakeoverDelay(const DaemonSettings& aSettings)
{
  const bool isLargeEnough = aSettings.CpuShare() >= kMinOwnerCpuShare &&
                             aSettings.LinkMbps() >= kMinOwnerLinkMbps;
  return isLargeEnough ? std::chrono::milliseconds(0) : kSmallVmTakeoverDelay;
}

} // namespace

class FleetDaemon::Impl
{
public:
  Impl(const DaemonSettings& aSettings, std::string aPath)
    : mSettings(aSettings)
    , mPath(std::move(aPath))
    , mLog(aSettings.Id().Text(),
           aSettings.LogLevelName(),
           aSettings.LogsJson())
    , mIncarnation(MakeIncarnation(aSettings.Id()))
    , mLimiter(MakeConnectionLimiter(mThread, aSettings, mLog))
    , mStoreClient(mThread, HttpClientLimits{ kStoreConnections })
    , mWorkerClient(mThread, HttpClientLimits{ kWorkerConnections })
    , mStore(mStoreClient,
             aSettings.PlatformAddress(),
             aSettings.StoreReadTimeout(),
             aSettings.StoreTimeout(),
             platform::TableLimits{ aSettings.RowBytes() },
             mLog)
    , mWorkers(mWorkerClient, mClock, aSettings.WorkerTimeout())
    , mSystem(mConfig)
    , mTasks(mSystem, mLog)
  {
    StartTasks();
    mServer =
      std::make_unique<HttpServer>(mThread,
                                   aSettings.HttpAddress(),
                                   aSettings.HttpLimits(),
                                   platform::MakeCallerHandler(mGateway),
                                   mLimiter);
    mTasks.Add(
      SpawnBodyLimitTask(mSystem, mCatalog, mServer->BodyLimitSetter()),
      "body_limit");
    mReadinessServer =
      std::make_unique<HttpServer>(mThread,
                                   aSettings.ReadinessAddress(),
                                   MonitoringLimits(aSettings),
                                   platform::MakeReadinessHandler(mGateway),
                                   mLimiter);
    if (!aSettings.MetricsAddress().empty()) {
      mMetricsServer =
        std::make_unique<HttpServer>(mThread,
                                     aSettings.MetricsAddress(),
                                     MonitoringLimits(aSettings),
                                     MakeMetricsHandler(mMetricsTask),
                                     mLimiter);
    }
    mStop = std::make_unique<GracefulStop>(
      mThread,
      *mServer,
      mLog,
      StopTimes{ aSettings.DrainNotice(), aSettings.DrainGrace() },
      [this] {
        caf::anon_send(mGateway, coordination::BeginGatewayDrain{});
        caf::anon_send(mScheduler, coordination::ReleaseOwnership{});
      });
  }

  ~Impl()
  {
    mServer.reset();
    mReadinessServer.reset();
    mMetricsServer.reset();
    mTasks.Stop();
    mThread.Stop();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::size_t Run()
  {
    mStop->WatchSignals();
    mThread.WatchReloadSignal([this] { Reload(); });
    mLog.Write({ LogEvent::kStarted,
                 { { "http", mServer->Address() },
                   { "zone", mSettings.Zone().Text() },
                   { "incarnation", mIncarnation } } });
    return mStop->Wait();
  }

private:
  void StartTasks()
  {
    mCatalog = mTasks.Add(
      SpawnCatalogTask(mSystem, mStore, mPlatformCodec, mClock, mLog, {}),
      "catalog");
    coordination::JobGatewayTaskOptions gateway;
    gateway.mIncarnation = mIncarnation;
    gateway.mCatalogMaxAge = mSettings.CatalogMaxAge();
    const std::size_t maxRowBytes =
      platform::TableLimits{ mSettings.RowBytes() }.MaxValueBytes();
    gateway.mMaxRowBytes = maxRowBytes;
    gateway.mMaxJobBytes = mSettings.JobBytes();
    mGateway = mTasks.Add(SpawnJobGatewayTask(mSystem,
                                              mCatalog,
                                              mStore,
                                              mStore,
                                              mCodec,
                                              mPlatformCodec,
                                              mClock,
                                              mLog,
                                              std::move(gateway)),
                          "gateway");
    coordination::SchedulerTaskOptions scheduler;
    scheduler.mSelf = mSettings.Id().Text();
    scheduler.mIncarnation = mIncarnation;
    scheduler.mJitterSeed = std::hash<std::string>{}(mIncarnation);
    scheduler.mOwnerTimeout = mSettings.OwnerTimeout();
    scheduler.mTakeoverDelay = TakeoverDelay(mSettings);
    scheduler.mWorkerLease = mSettings.WorkerLease();
    scheduler.mMaxWorkerLease = mSettings.WorkerMaxLease();
    scheduler.mRenewWait = mSettings.WorkerWait();
    scheduler.mSilenceLimit =
      kReportsBeforeRemoval * mSettings.WorkerReportInterval();
    scheduler.mJobRetention = mSettings.JobRetention();
    scheduler.mPolicy = mSettings.PlacementPolicy();
    scheduler.mRunTimes = mSettings.RunTimes();
    scheduler.mMaxRowBytes = maxRowBytes;
    scheduler.mMaxJobBytes = mSettings.JobBytes();
    scheduler.mEvacuationTime = mSettings.EvacuationTime();
    mScheduler = mTasks.Add(
      SpawnSchedulerTask(
        mSystem,
        { mStore, mStore, mWorkers, mCodec, mPlatformCodec, mClock, mLog },
        std::move(scheduler)),
      "scheduler");
    caf::anon_send(mCatalog, coordination::Subscribe{ mScheduler });
    mLogCounters =
      mTasks.Add(SpawnCounterTask(mSystem,
                                  [this] {
                                    coordination::Counters counters =
                                      mLimiter->Counters();
                                    counters["log_lines_dropped_total"] =
                                      mLog.DroppedLines();
                                    return counters;
                                  }),
                 "log_counters");
    mMetricsTask =
      mTasks.Add(SpawnMetricsTask(
                   mSystem, { mCatalog, mGateway, mScheduler, mLogCounters }),
                 "metrics");
  }

  /**
   * Validates the settings file and logs the result. Changes take effect at the
   * next start, since addresses and identity cannot change while running.
   */
  void Reload()
  {
    try {
      const DaemonSettings settings = DaemonSettings::Load(mPath);
      mLog.Write({ LogEvent::kReloaded,
                   { { "changed", settings == mSettings ? "no" : "yes" },
                     { "applied", "at the next start" } } });
    } catch (const SettingsFileError& error) {
      mLog.Write({ LogEvent::kBadSettingsFile, { { "error", error.what() } } });
    }
  }

  DaemonSettings mSettings;
  std::string mPath;
  SpdlogEventLog mLog;
  std::string mIncarnation;
  coordination::BootClock mClock;
  protocol::JsonSchedulingCodec mCodec;
  platform::FleetCodec mPlatformCodec;
  transport::IoThread mThread;
  std::shared_ptr<transport::ConnectionLimiter> mLimiter;
  transport::HttpClient mStoreClient;
  transport::HttpClient mWorkerClient;
  platform::TableStore mStore;
  platform::RunnerClient mWorkers;
  TaskSystemConfig mConfig;
  caf::actor_system mSystem;
  TaskGroup mTasks;
  caf::actor mCatalog;
  caf::actor mGateway;
  caf::actor mScheduler;
  caf::actor mLogCounters;
  caf::actor mMetricsTask;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mReadinessServer;
  std::unique_ptr<HttpServer> mMetricsServer;
  std::unique_ptr<GracefulStop> mStop;
};

FleetDaemon::FleetDaemon(const DaemonSettings& aSettings,
                         const std::string& aPath)
  : mImpl(std::make_unique<Impl>(aSettings, aPath))
{
}

FleetDaemon::~FleetDaemon() = default;

std::size_t
FleetDaemon::Run()
{
  return mImpl->Run();
}

} // namespace cornelrudder::daemon
