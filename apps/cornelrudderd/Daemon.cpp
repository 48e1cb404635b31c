#include "cornelrudderd/Daemon.h"

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/ForwardTask.h"
#include "cornelrudder/coordination/IntentTask.h"
#include "cornelrudder/coordination/LeaseTask.h"
#include "cornelrudder/coordination/MembershipTask.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/PlacementTask.h"
#include "cornelrudder/coordination/RoutingTask.h"
#include "cornelrudder/coordination/SettingsSyncTask.h"
#include "cornelrudder/coordination/SettingsTask.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/IoThread.h"
#include "cornelrudderd/ClientLimits.h"
#include "cornelrudderd/FrontTask.h"
#include "cornelrudderd/GracefulStop.h"
#include "cornelrudderd/Incarnation.h"
#include "cornelrudderd/PeerAdapter.h"
#include "cornelrudderd/PlatformAdapters.h"
#include "cornelrudderd/RunnerAdapter.h"
#include "cornelrudderd/SpdlogEventLog.h"
#include "cornelrudderd/TaskGroup.h"
#include "cornelrudderd/WorkerAdapter.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>

#include <algorithm>
#include <random>

namespace cornelrudder::daemon {

namespace {

using coordination::LogEvent;

constexpr std::size_t kStoreConnections = 8;

/** Must not exceed GangTiming::mMaxCommandDelay. */
constexpr std::chrono::milliseconds kWorkerTimeout{ 1'000 };

/**
 * @return Milliseconds since the Unix epoch. Daemons have no disk to store a
 *   counter on, so the wall clock orders the incarnations of one daemon.
 */
state::Incarnation
MakeIncarnationNumber()
{
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<state::Incarnation>(
    std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/**
 * Timeouts are multiples of the heartbeat interval, so that tests can use
 * short ones.
 */
state::MembershipTimeouts
TimeoutsFor(std::chrono::milliseconds aHeartbeat)
{
  return { 3 * aHeartbeat, 10 * aHeartbeat, 60 * aHeartbeat };
}

} // namespace

class Daemon::Impl
{
public:
  explicit Impl(const DaemonSettings& aSettings)
    : mSettings(aSettings)
    , mLog(aSettings.Id().Text(),
           aSettings.LogLevelName(),
           aSettings.LogsJson())
    , mIncarnation(MakeIncarnation(aSettings.Id()))
    , mIncarnationNumber(MakeIncarnationNumber())
    , mPeers(aSettings.PeerAddress())
    , mLimiter(MakeConnectionLimiter(mThread, aSettings, mLog))
    , mPlatformClient(mThread, { kStoreConnections })
    , mRunnerClient(mThread, {})
    , mStore(mPlatformClient,
             aSettings.PlatformAddress(),
             aSettings.StoreTimeout())
    , mFleet(mThread,
             mPlatformClient,
             aSettings.PlatformAddress(),
             aSettings.StoreTimeout(),
             mLog)
    , mRunners(mRunnerClient)
    , mWorkerClient(mThread, {})
    , mWorkers(mWorkerClient, kWorkerTimeout)
    , mSystem(mConfig)
    , mTasks(mSystem, mLog)
  {
    StartTasks();
    mServer = std::make_unique<transport::HttpServer>(
      mThread,
      aSettings.HttpAddress(),
      aSettings.HttpLimits(),
      [front = mFront](protocol::HttpRequest aRequest,
                       transport::HttpResponder aRespond) {
        caf::anon_send(front,
                       HttpCall{ std::move(aRequest), std::move(aRespond) });
      },
      mLimiter);
    mStop = std::make_unique<GracefulStop>(
      mThread,
      *mServer,
      mLog,
      StopTimes{ mSettings.DrainNotice(), mSettings.DrainGrace() },
      [this] {
        caf::anon_send(mFront, BeginDrain{});
        caf::anon_send(mMembership, coordination::AnnounceLeaving{});
        caf::anon_send(mLease, coordination::ReleaseLease{});
      });
    mPeers.SetReceiver(mMembership);
    caf::anon_send(
      mMembership,
      coordination::AnnounceAddresses{ mServer->Address(), PeerAddress() });
  }

  ~Impl()
  {
    mServer.reset();
    mPeers.SetReceiver(nullptr);
    mTasks.Stop();
    mThread.Stop();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::size_t Run()
  {
    mStop->WatchSignals();
    mLog.Write({ LogEvent::kStarted,
                 { { "http", mServer->Address() },
                   { "peer", PeerAddress() },
                   { "zone", mSettings.Zone().Text() },
                   { "incarnation", mIncarnation } } });
    return mStop->Wait();
  }

private:
  /** @return The address announced to peers. */
  const std::string& PeerAddress() const
  {
    const std::string& announced = mSettings.AnnouncedPeerAddress();
    return announced.empty() ? mPeers.Address() : announced;
  }

  void StartTasks()
  {
    StartStateTasks();
    StartPeerTasks();
    StartRequestTasks();
    Subscribe(mSettingsTask, { mMembership, mRouting, mIntents, mPlacement });
    Subscribe(mMembership, { mRouting, mPlacement });
    Subscribe(mLease, { mPlacement, mForward });
    mFront = mTasks.Add(
      SpawnFrontTask(mSystem,
                     { mIntents,
                       mSettingsTask,
                       mLease,
                       mTasks.All(),
                       mMembership,
                       mSync,
                       [this] { mThread.Post([this] { mStop->Begin(); }); },
                       mForward,
                       [this] { return CountTraffic(); } },
                     mIncarnation),
      "front");
  }

  coordination::Counters CountTraffic() const
  {
    coordination::Counters counters = mLimiter->Counters();
    AddTraffic(counters, "platform", mPlatformClient.Traffic());
    AddTraffic(counters, "runner", mRunnerClient.Traffic());
    AddTraffic(counters, "worker", mWorkerClient.Traffic());
    counters["log_lines_dropped_total"] = mLog.DroppedLines();
    return counters;
  }

  static void AddTraffic(coordination::Counters& aCounters,
                         const std::string& aTarget,
                         const transport::HttpTraffic& aTraffic)
  {
    const std::string label = "{target=\"" + aTarget + "\"}";
    aCounters["http_exchanges_total" + label] = aTraffic.mExchanges;
    aCounters["http_sent_bytes_total" + label] = aTraffic.mBytesSent;
    aCounters["http_received_bytes_total" + label] = aTraffic.mBytesReceived;
  }

  /** Starts the tasks that access the platform's table. */
  void StartStateTasks()
  {
    coordination::StoreTaskOptions storeOptions;
    storeOptions.mJitterSeed = std::random_device()();
    // Retrying a lease renewal for longer is pointless: the lease would expire
    // before the write could extend it.
    storeOptions.mRetryWindow =
      std::min(storeOptions.mRetryWindow, mSettings.LeaseTime() * 2 / 3);
    mStoreTask = mTasks.Add(
      SpawnStoreTask(mSystem, mStore, mLog, mClock, storeOptions), "store");
    mSettingsTask = mTasks.Add(SpawnSettingsTask(mSystem,
                                                 mStoreTask,
                                                 mCodec,
                                                 mLog,
                                                 WriteIdsFor("settings"),
                                                 { mSettings.PollInterval() }),
                               "settings");
    mLease = mTasks.Add(SpawnLeaseTask(mSystem,
                                       mStoreTask,
                                       mCodec,
                                       mClock,
                                       mLog,
                                       WriteIdsFor("lease"),
                                       { mSettings.Region(),
                                         mSettings.Id(),
                                         mIncarnation,
                                         mSettings.LeaseTime() }),
                        "lease");
    mPlacement =
      mTasks.Add(SpawnPlacementTask(mSystem,
                                    mStoreTask,
                                    { mWorkers, mCodec, mClock, mLog },
                                    WriteIdsFor("jobs"),
                                    { mSettings.Id(), mSettings.Region() }),
                 "placement");
  }

  /** Starts the tasks that communicate with other daemons. */
  void StartPeerTasks()
  {
    mMembership = mTasks.Add(
      SpawnMembershipTask(mSystem,
                          mFleet,
                          mPeers,
                          mClock,
                          mLog,
                          { mSettings.Id(),
                            mSettings.Zone(),
                            mIncarnationNumber,
                            mSettings.Seeds(),
                            mSettings.PollInterval(),
                            mSettings.HeartbeatInterval(),
                            TimeoutsFor(mSettings.HeartbeatInterval()) }),
      "membership");
    mSync = mTasks.Add(
      SpawnSettingsSyncTask(mSystem, mSettingsTask, mMembership, mLog, {}),
      "settings_sync");
    mForward =
      mTasks.Add(SpawnForwardTask(
                   mSystem,
                   mMembership,
                   mPlacement,
                   mClock,
                   mLog,
                   { mSettings.Id(), mSettings.Region(), mIncarnationNumber }),
                 "forward");
    caf::anon_send(mMembership,
                   coordination::SetPeerHandlers{ mSync, mForward });
  }

  /** Starts the tasks that process requests. */
  void StartRequestTasks()
  {
    mRouting = mTasks.Add(
      SpawnRoutingTask(
        mSystem, mRunners, mLog, { mSettings.Id(), mSettings.Zone() }),
      "routing");
    mIntents = mTasks.Add(SpawnIntentTask(mSystem,
                                          mStoreTask,
                                          mRouting,
                                          mCodec,
                                          mClock,
                                          mLog,
                                          WriteIdsFor("intent"),
                                          { mIncarnation }),
                          "intents");
  }

  static void Subscribe(const caf::actor& aSource,
                        const std::vector<caf::actor>& aReceivers)
  {
    for (const caf::actor& receiver : aReceivers) {
      caf::anon_send(aSource, coordination::Subscribe{ receiver });
    }
  }

  /** @return A write id generator unique to a task of this incarnation. */
  coordination::WriteIdGenerator WriteIdsFor(const std::string& aTask) const
  {
    return coordination::WriteIdGenerator(mIncarnation + "-" + aTask);
  }

  DaemonSettings mSettings;
  SpdlogEventLog mLog;
  std::string mIncarnation;
  state::Incarnation mIncarnationNumber;
  coordination::BootClock mClock;
  PeerAdapter mPeers;
  protocol::JsonRowCodec mCodec;
  transport::IoThread mThread;
  std::shared_ptr<transport::ConnectionLimiter> mLimiter;
  transport::HttpClient mPlatformClient;
  transport::HttpClient mRunnerClient;
  StoreAdapter mStore;
  FleetAdapter mFleet;
  RunnerAdapter mRunners;
  transport::HttpClient mWorkerClient;
  WorkerAdapter mWorkers;
  TaskSystemConfig mConfig;
  caf::actor_system mSystem;
  TaskGroup mTasks;
  caf::actor mStoreTask;
  caf::actor mSettingsTask;
  caf::actor mLease;
  caf::actor mPlacement;
  caf::actor mMembership;
  caf::actor mSync;
  caf::actor mForward;
  caf::actor mRouting;
  caf::actor mIntents;
  caf::actor mFront;
  std::unique_ptr<transport::HttpServer> mServer;
  std::unique_ptr<GracefulStop> mStop;
};

Daemon::Daemon(const DaemonSettings& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Daemon::~Daemon() = default;

std::size_t
Daemon::Run()
{
  return mImpl->Run();
}

} // namespace cornelrudder::daemon
