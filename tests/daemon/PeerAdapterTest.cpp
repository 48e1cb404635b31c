#include "cornelrudderd/PeerAdapter.h"
#include "LinkRelay.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/MembershipTask.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/transport/PeerSocket.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

#include <functional>
#include <memory>
#include <thread>

using namespace cornelrudder;
using namespace cornelrudder::coordination;

namespace {

constexpr std::chrono::milliseconds kHeartbeat{ 20 };
constexpr std::chrono::seconds kTestTimeout{ 60 };

class SilentLog final : public EventLog
{
public:
  void Write(const LogRecord& /*aRecord*/) override {}
};

class EmptyFleet final : public FleetPort
{
public:
  void ListVms(Completion aCompletion) override
  {
    aCompletion(state::VmList());
  }
};

class TaskConfig : public caf::actor_system_config
{
public:
  TaskConfig()
  {
    set("scheduler.policy", caf::atom("sharing"));
    set("scheduler.max-threads", std::size_t{ 2 });
  }
};

/** @return Whether a condition became true within kTestTimeout. */
bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kHeartbeat);
  }
  return true;
}

/** A link relay on a dedicated thread. */
class RunningRelay
{
public:
  RunningRelay(const std::string& aTarget,
               const tools::LinkFaults& aFaults,
               std::uint64_t aSeed)
    : mRelay("127.0.0.1:0", aTarget, aFaults, aSeed)
    , mThread([this] { mRelay.Run(); })
  {
  }

  ~RunningRelay()
  {
    mRelay.Stop();
    mThread.join();
  }

  RunningRelay(const RunningRelay&) = delete;
  RunningRelay& operator=(const RunningRelay&) = delete;

  tools::LinkRelay& Relay() { return mRelay; }

private:
  tools::LinkRelay mRelay;
  std::thread mThread;
};

/** Three membership tasks over real sockets; peers reach each by a relay. */
class RelayedDaemons
{
public:
  static constexpr std::size_t kDaemons = 3;

  explicit RelayedDaemons(const tools::LinkFaults& aFaults)
    : mFaults(aFaults)
    , mSystem(mConfig)
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      mPeers.push_back(std::make_unique<daemon::PeerAdapter>("127.0.0.1:0"));
      mRelays.push_back(std::make_unique<RunningRelay>(
        mPeers[i]->Address(), aFaults, 20261204 + i));
      Start(i);
    }
  }

  ~RelayedDaemons()
  {
    for (const auto& peer : mPeers) {
      peer->SetReceiver(nullptr);
    }
    for (const caf::actor& task : mTasks) {
      caf::anon_send_exit(task, caf::exit_reason::user_shutdown);
    }
    mTasks.clear();
    mSystem.await_all_actors_done();
  }

  RelayedDaemons(const RelayedDaemons&) = delete;
  RelayedDaemons& operator=(const RelayedDaemons&) = delete;

  void SetFaults(const tools::LinkFaults& aFaults)
  {
    for (const auto& relay : mRelays) {
      relay->Relay().SetFaults(aFaults);
    }
  }

  /** @return Whether each daemon reports both other daemons in this state. */
  bool AllReport(state::PeerState aState)
  {
    caf::scoped_actor self(mSystem);
    bool all = true;
    for (const caf::actor& task : mTasks) {
      self->request(task, caf::infinite, GetMembers{})
        .receive(
          [&all, aState](const MemberList& aList) {
            all = all && aList.mMembers.size() == kDaemons - 1;
            for (const state::Member& member : aList.mMembers) {
              all = all && member.State() == aState;
            }
          },
          [&all](const caf::error&) { all = false; });
    }
    return all;
  }

private:
  void Start(std::size_t aIndex)
  {
    std::vector<std::string> seeds;
    if (aIndex > 0) {
      seeds.push_back(mRelays.front()->Relay().Address());
    }
    // The last timeout is long enough that no daemon forgets a peer while the
    // links are cut.
    const state::MembershipTimeouts timeouts{ 3 * kHeartbeat,
                                              10 * kHeartbeat,
                                              kTestTimeout };
    mTasks.push_back(
      SpawnMembershipTask(mSystem,
                          mFleet,
                          *mPeers[aIndex],
                          mClock,
                          mLog,
                          { state::VmId("e" + std::to_string(aIndex)),
                            state::ZoneId("z" + std::to_string(aIndex)),
                            1,
                            std::move(seeds),
                            kHeartbeat,
                            kHeartbeat,
                            timeouts }));
    mPeers[aIndex]->SetReceiver(mTasks.back());
    // The announced address is the relay's, so that peers connect to the relay.
    caf::anon_send(
      mTasks.back(),
      AnnounceAddresses{ "http", mRelays[aIndex]->Relay().Address() });
  }

  tools::LinkFaults mFaults;
  SilentLog mLog;
  EmptyFleet mFleet;
  BootClock mClock;
  TaskConfig mConfig;
  std::vector<std::unique_ptr<daemon::PeerAdapter>> mPeers;
  std::vector<std::unique_ptr<RunningRelay>> mRelays;
  caf::actor_system mSystem;
  std::vector<caf::actor> mTasks;
};

tools::LinkFaults
ZoneLink()
{
  return tools::ParseLinkFaults(
    R"({"min_delay_ms":3,"max_delay_ms":4,"loss_per_mille":5})", {});
}

} // namespace

TEST_GROUP(PeerAdapter){};

// Guards against an undecodable frame from a peer that terminates the daemon,
// is dropped without a report or blocks the messages of other peers.
TEST(PeerAdapter, InvalidFramesAreReportedAndMessagesArrive)
{
  TaskConfig config;
  caf::actor_system system(config);
  {
    caf::scoped_actor self(system);
    daemon::PeerAdapter receiver("127.0.0.1:0");
    receiver.SetReceiver(caf::actor(self));
    daemon::PeerAdapter sender("127.0.0.1:0");
    transport::PeerSocket invalidSender(
      "127.0.0.1:0", {}, [](const std::string&) {});
    CHECK_FALSE(sender.Connect("not an address"));
    CHECK(sender.Connect(receiver.Address()));
    invalidSender.Connect(receiver.Address());
    const state::PeerMessage message(
      state::VmId("e1"), 7, state::SettingsQuery({ { "policy", 3 } }));
    CHECK(WaitUntil(
      [&] { return invalidSender.Send(receiver.Address(), "garbage"); }));
    bool rejected = false;
    self->receive([&](const PeerFrameRejected&) { rejected = true; },
                  caf::after(kTestTimeout) >> [] {});
    CHECK(rejected);
    CHECK(WaitUntil([&] { return sender.Send(receiver.Address(), message); }));
    bool same = false;
    self->receive(
      [&](const PeerMessageReceived& aReceived) {
        same = aReceived.mMessage == message;
      },
      caf::after(kTestTimeout) >> [] {});
    CHECK(same);
    receiver.SetReceiver(nullptr);
  }
}

// Guards against daemons that never reach the alive state over links with the
// delay and packet loss between zones.
TEST(PeerAdapter, DaemonsDetectEachOtherOverSlowLinks)
{
  RelayedDaemons daemons(ZoneLink());
  CHECK(WaitUntil([&] { return daemons.AllReport(state::PeerState::kAlive); }));
}

// Guards against daemons that do not reconnect after a network partition, in
// which connections either closed or stayed open without delivering data.
TEST(PeerAdapter, DaemonsReconnectAfterAPartition)
{
  RelayedDaemons daemons(ZoneLink());
  CHECK(WaitUntil([&] { return daemons.AllReport(state::PeerState::kAlive); }));
  for (const char* fault : { R"({"cut":1})", R"({"stall":1})" }) {
    daemons.SetFaults(tools::ParseLinkFaults(fault, ZoneLink()));
    CHECK(
      WaitUntil([&] { return daemons.AllReport(state::PeerState::kGone); }));
    daemons.SetFaults(ZoneLink());
    CHECK(
      WaitUntil([&] { return daemons.AllReport(state::PeerState::kAlive); }));
  }
}
