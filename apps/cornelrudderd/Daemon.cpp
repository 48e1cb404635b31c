#include "cornelrudderd/Daemon.h"

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/ForwardTask.h"
#include "cornelrudder/coordination/IntentTask.h"
#include "cornelrudder/coordination/LeaseTask.h"
#include "cornelrudder/coordination/MembershipTask.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/RoutingTask.h"
#include "cornelrudder/coordination/SettingsSyncTask.h"
#include "cornelrudder/coordination/SettingsTask.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/IoThread.h"
#include "cornelrudderd/FrontTask.h"
#include "cornelrudderd/PeerAdapter.h"
#include "cornelrudderd/PlatformAdapters.h"
#include "cornelrudderd/RunnerAdapter.h"
#include "cornelrudderd/SpdlogEventLog.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>

#include <algorithm>
#include <future>
#include <random>

namespace cornelrudder::daemon {

namespace {

using coordination::LogEvent;

constexpr std::size_t kStoreConnections = 8;

/** Two threads are enough: tasks only decide, they never block. */
constexpr std::size_t kTaskThreads = 2;

/** Differs for each life of the process, so that ids are never used again. */
std::string
MakeIncarnation(const state::VmId& aId)
{
  std::random_device random;
  const std::uint64_t n =
    (static_cast<std::uint64_t>(random()) << 32U) | random();
  return aId.Text().substr(0, 24) + "-" + std::to_string(n);
}

/**
 * Daemons have no disk, so the wall clock orders the lives of one daemon.
 */
state::Incarnation
MakeIncarnationNumber()
{
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<state::Incarnation>(
    std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/** Silence is measured in heartbeats, so that tests can use short ones. */
state::MembershipTimeouts
TimeoutsFor(std::chrono::milliseconds aHeartbeat)
{
  return { 3 * aHeartbeat, 10 * aHeartbeat, 60 * aHeartbeat };
}

/** Ends its tasks, also if the daemon cannot be set up after they started. */
class TaskGroup
{
public:
  explicit TaskGroup(caf::actor_system& aSystem)
    : mSystem(aSystem)
  {
  }

  ~TaskGroup() { Stop(); }

  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

  void Add(const caf::actor& aTask) { mTasks.push_back(aTask); }

  /** Waits until all tasks have ended. */
  void Stop()
  {
    for (const caf::actor& task : mTasks) {
      caf::anon_send_exit(task, caf::exit_reason::user_shutdown);
    }
    mTasks.clear();
    mSystem.await_all_actors_done();
  }

private:
  caf::actor_system& mSystem;
  std::vector<caf::actor> mTasks;
};

class TaskSystemConfig : public caf::actor_system_config
{
public:
  TaskSystemConfig()
  {
    // The default policy polls while idle.
    set("scheduler.policy", caf::atom("sharing"));
    set("scheduler.max-threads", kTaskThreads);
  }
};

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
    , mPlatformClient(mThread, { kStoreConnections })
    , mRunnerClient(mThread, {})
    , mStore(mPlatformClient,
             aSettings.PlatformAddress(),
             aSettings.StoreTimeout())
    , mFleet(mThread,
             mPlatformClient,
             aSettings.PlatformAddress(),
             aSettings.StoreTimeout())
    , mRunners(mRunnerClient)
    , mSystem(mConfig)
    , mTasks(mSystem)
  {
    StartTasks();
    mServer = std::make_unique<transport::HttpServer>(
      mThread,
      aSettings.HttpAddress(),
      transport::HttpServerLimits{},
      [front = mFront](protocol::HttpRequest aRequest,
                       transport::HttpResponder aRespond) {
        caf::anon_send(front,
                       HttpCall{ std::move(aRequest), std::move(aRespond) });
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
    mThread.WatchStopSignals([this] { BeginStop(); });
    mLog.Write({ LogEvent::kStarted,
                 { { "http", mServer->Address() },
                   { "peer", PeerAddress() },
                   { "zone", mSettings.Zone().Text() },
                   { "incarnation", mIncarnation } } });
    const std::size_t cutOff = mDone.get_future().get();
    if (cutOff > 0) {
      mLog.Write(
        { LogEvent::kCutOff, { { "requests", std::to_string(cutOff) } } });
    }
    mLog.Write({ LogEvent::kStopped, {} });
    return cutOff;
  }

private:
  /** The address that peers are told. */
  const std::string& PeerAddress() const
  {
    const std::string& announced = mSettings.AnnouncedPeerAddress();
    return announced.empty() ? mPeers.Address() : announced;
  }

  void StartTasks()
  {
    coordination::StoreTaskOptions storeOptions;
    storeOptions.mSeed = std::random_device()();
    // A renewal that is repeated for longer could not extend the hold.
    storeOptions.mBound =
      std::min(storeOptions.mBound, mSettings.LeaseTime() * 2 / 3);
    const caf::actor store =
      Add(SpawnStoreTask(mSystem, mStore, mLog, mClock, storeOptions));
    const caf::actor settings =
      Add(SpawnSettingsTask(mSystem,
                            store,
                            mCodec,
                            mLog,
                            coordination::WriteIds(mIncarnation),
                            { mSettings.PollInterval() }));
    mMembership =
      Add(SpawnMembershipTask(mSystem,
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
                                TimeoutsFor(mSettings.HeartbeatInterval()) }));
    const caf::actor sync =
      Add(SpawnSettingsSyncTask(mSystem, settings, mMembership, mLog, {}));
    // Without a placement task this daemon refuses forwarded commands.
    const caf::actor forward = Add(SpawnForwardTask(
      mSystem,
      mMembership,
      caf::actor(),
      mClock,
      mLog,
      { mSettings.Id(), mSettings.Region(), mIncarnationNumber }));
    caf::anon_send(mMembership, coordination::UsePeerHandlers{ sync, forward });
    caf::anon_send(settings, coordination::Subscribe{ mMembership });
    const caf::actor routing = Add(SpawnRoutingTask(
      mSystem, mRunners, mLog, { mSettings.Id(), mSettings.Zone() }));
    caf::anon_send(settings, coordination::Subscribe{ routing });
    caf::anon_send(mMembership, coordination::Subscribe{ routing });
    const caf::actor intents =
      Add(SpawnIntentTask(mSystem,
                          store,
                          routing,
                          mCodec,
                          mClock,
                          mLog,
                          coordination::WriteIds(mIncarnation + "-intent"),
                          { mIncarnation }));
    caf::anon_send(settings, coordination::Subscribe{ intents });
    mLease = Add(SpawnLeaseTask(mSystem,
                                store,
                                mCodec,
                                mClock,
                                mLog,
                                coordination::WriteIds(mIncarnation + "-lease"),
                                { mSettings.Region(),
                                  mSettings.Id(),
                                  mIncarnation,
                                  mSettings.LeaseTime() }));
    mFront =
      Add(SpawnFrontTask(mSystem,
                         { intents,
                           settings,
                           mLease,
                           { routing,
                             settings,
                             mMembership,
                             store,
                             intents,
                             mLease,
                             sync,
                             forward },
                           mMembership,
                           sync,
                           [this] { mThread.Post([this] { StartDrain(); }); } },
                         mIncarnation));
  }

  caf::actor Add(caf::actor aTask)
  {
    mTasks.Add(aTask);
    return aTask;
  }

  /** Runs on the I/O thread for each stop signal. */
  void BeginStop()
  {
    if (mStopping) {
      FinishStop(0);
      return;
    }
    StartDrain();
  }

  /** A repeated call has no effect. */
  void StartDrain()
  {
    if (mStopping) {
      return;
    }
    mStopping = true;
    mLog.Write({ LogEvent::kStopping, {} });
    caf::anon_send(mFront, BeginDrain{});
    caf::anon_send(mMembership, coordination::BeginLeaving{});
    caf::anon_send(mLease, coordination::ReleaseLease{});
    // The balancer needs time to see /readyz before the listener closes.
    mThread.PostAfter(mSettings.DrainNotice(), [this] {
      mServer->Drain(mSettings.DrainGrace(),
                     [this](std::size_t aCutOff) { FinishStop(aCutOff); });
    });
  }

  void FinishStop(std::size_t aCutOff)
  {
    if (!mFinished) {
      mFinished = true;
      mDone.set_value(aCutOff);
    }
  }

  DaemonSettings mSettings;
  SpdlogEventLog mLog;
  std::string mIncarnation;
  state::Incarnation mIncarnationNumber;
  coordination::BootClock mClock;
  PeerAdapter mPeers;
  protocol::JsonRowCodec mCodec;
  transport::IoThread mThread;
  transport::HttpClient mPlatformClient;
  transport::HttpClient mRunnerClient;
  StoreAdapter mStore;
  FleetAdapter mFleet;
  RunnerAdapter mRunners;
  TaskSystemConfig mConfig;
  caf::actor_system mSystem;
  TaskGroup mTasks;
  caf::actor mFront;
  caf::actor mMembership;
  caf::actor mLease;
  std::unique_ptr<transport::HttpServer> mServer;
  std::promise<std::size_t> mDone;
  /** Both are used on the I/O thread only. */
  bool mStopping = false;
  bool mFinished = false;
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
