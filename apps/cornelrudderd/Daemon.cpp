#include "cornelrudderd/Daemon.h"

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/MembershipTask.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/PlacementTask.h"
#include "cornelrudder/coordination/RoutingTask.h"
#include "cornelrudder/coordination/SettingsTask.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/IoThread.h"
#include "cornelrudderd/FrontTask.h"
#include "cornelrudderd/PlatformAdapters.h"
#include "cornelrudderd/RunnerAdapter.h"
#include "cornelrudderd/SpdlogEventLog.h"
#include "cornelrudderd/WorkerAdapter.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>

#include <future>
#include <random>

namespace cornelrudder::daemon {

namespace {

using coordination::LogEvent;

constexpr std::size_t kStoreConnections = 8;

/** Two threads are enough: tasks only decide, they never block. */
constexpr std::size_t kTaskThreads = 2;

/** Shorter than the bound that gangs assume for the way of a command. */
constexpr std::chrono::milliseconds kWorkerTimeout{ 1'000 };

/** Differs for each life of the process, so that ids are never used again. */
std::string
MakeIncarnation(const state::VmId& aId)
{
  std::random_device random;
  const std::uint64_t n =
    (static_cast<std::uint64_t>(random()) << 32U) | random();
  return aId.Text().substr(0, 24) + "-" + std::to_string(n);
}

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
    , mPlatformClient(mThread, { kStoreConnections })
    , mRunnerClient(mThread, {})
    , mStore(mPlatformClient,
             aSettings.PlatformAddress(),
             aSettings.StoreTimeout())
    , mFleet(mPlatformClient,
             aSettings.PlatformAddress(),
             aSettings.StoreTimeout())
    , mRunners(mRunnerClient)
    , mWorkerClient(mThread, {})
    , mWorkers(mWorkerClient, kWorkerTimeout)
    , mSystem(mConfig)
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
  }

  ~Impl()
  {
    mServer.reset();
    for (const caf::actor& task : mTasks) {
      caf::anon_send_exit(task, caf::exit_reason::user_shutdown);
    }
    mTasks.clear();
    mFront = nullptr;
    mSystem.await_all_actors_done();
    mThread.Stop();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::size_t Run()
  {
    mThread.WatchStopSignals([this] { BeginStop(); });
    mLog.Write({ LogEvent::kStarted,
                 { { "http", mServer->Address() },
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
  void StartTasks()
  {
    const caf::actor store = Add(SpawnStoreTask(mSystem, mStore, mLog));
    const caf::actor settings =
      Add(SpawnSettingsTask(mSystem,
                            store,
                            mCodec,
                            mLog,
                            coordination::WriteIds(mIncarnation),
                            { mSettings.PollInterval() }));
    const caf::actor membership = Add(SpawnMembershipTask(
      mSystem, mFleet, mLog, { mSettings.Id(), mSettings.PollInterval() }));
    const caf::actor routing = Add(SpawnRoutingTask(
      mSystem, mRunners, mLog, { mSettings.Id(), mSettings.Zone() }));
    caf::anon_send(settings, coordination::Subscribe{ routing });
    caf::anon_send(membership, coordination::Subscribe{ routing });
    const caf::actor placement =
      Add(SpawnPlacementTask(mSystem,
                             store,
                             { mWorkers, mCodec, mClock, mLog },
                             coordination::WriteIds(mIncarnation + "-jobs"),
                             { mSettings.Id(), mSettings.Region() }));
    caf::anon_send(settings, coordination::Subscribe{ placement });
    caf::anon_send(membership, coordination::Subscribe{ placement });
    // TEMPORARY, until the lease task sends DomainOwner: one daemon of the
    // region, "entry-2" by its identifier, owns placement for ever.
    if (mSettings.Id().Text() == "entry-2") {
      caf::anon_send(placement, TemporaryOwner());
    }
    mFront = Add(SpawnFrontTask(mSystem,
                                { routing,
                                  settings,
                                  { routing, settings, membership, placement },
                                  placement },
                                mIncarnation));
  }

  // TEMPORARY, goes with its use in StartTasks().
  coordination::DomainOwner TemporaryOwner() const
  {
    return { mSettings.Region(),
             { mSettings.Id() },
             state::Lease(mSettings.Region(),
                          static_cast<std::uint64_t>(mClock.Now().count()),
                          mClock.Now() + std::chrono::hours(24)) };
  }

  caf::actor Add(caf::actor aTask)
  {
    mTasks.push_back(aTask);
    return aTask;
  }

  /** Runs on the I/O thread for each stop signal. */
  void BeginStop()
  {
    if (mStopping) {
      FinishStop(0);
      return;
    }
    mStopping = true;
    mLog.Write({ LogEvent::kStopping, {} });
    caf::anon_send(mFront, BeginDrain{});
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
  protocol::JsonRowCodec mCodec;
  transport::IoThread mThread;
  transport::HttpClient mPlatformClient;
  transport::HttpClient mRunnerClient;
  StoreAdapter mStore;
  FleetAdapter mFleet;
  RunnerAdapter mRunners;
  transport::HttpClient mWorkerClient;
  WorkerAdapter mWorkers;
  coordination::BootClock mClock;
  TaskSystemConfig mConfig;
  caf::actor_system mSystem;
  std::vector<caf::actor> mTasks;
  caf::actor mFront;
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
