#include "cornelrudder/coordination/SettingsSyncTask.h"
#include "PeerTestSystem.h"

#include <CppUTest/TestHarness.h>

#include <caf/event_based_actor.hpp>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using state::SettingsDocument;
using state::SettingsUpdate;

namespace {

/** Stands for the settings task: holds a view and tells its watcher. */
class FakeSettings : public caf::event_based_actor
{
public:
  using caf::event_based_actor::event_based_actor;

  caf::behavior make_behavior() override
  {
    return {
      [this](const Subscribe& aSubscribe) {
        mReceiver = aSubscribe.mReceiver;
        send(mReceiver, mView);
      },
      [this](const WatchSettings&) { SendHead(); },
      [this](const ApplyPeerSettings& aApply) {
        for (const SettingsDocument& document : aApply.mDocuments) {
          mView = mView.WithDocument(document).value_or(mView);
          ++mApplied;
        }
        send(mReceiver, mView);
      },
      [this](const GetSettings&) { return mView; },
      [this](const GetCounters&) {
        return Counters{ { "applied", mApplied } };
      },
      // Stands for a read of the head: the documents follow.
      [this](const state::SettingsSnapshot& aStored) {
        mHead = aStored.Head();
        SendHead();
        mView = aStored;
        send(mReceiver, mView);
      },
      // Stands for a change by an operator.
      [this](const SettingsAccepted& aAccepted) {
        mView = mView.WithDocument(aAccepted.mDocument).value_or(mView);
        send(mReceiver, mView);
        send(mReceiver, aAccepted);
      },
    };
  }

private:
  /** The real task repeats the head with each poll. */
  void SendHead()
  {
    if (mHead) {
      send(mReceiver, SettingsHeadRead{ *mHead });
    }
  }

  caf::actor mReceiver;
  std::optional<state::SettingsHead> mHead;
  state::SettingsSnapshot mView;
  std::uint64_t mApplied = 0;
};

struct Daemon
{
  PeerTestSystem::Node& mNode;
  caf::actor mSettings;
  caf::actor mSync;
};

Daemon
Start(PeerTestSystem& aSystem,
      const std::string& aName,
      std::vector<std::string> aSeeds)
{
  auto& node = aSystem.Start(aName, std::move(aSeeds));
  const auto settings = aSystem.Add(aSystem.mSystem.spawn<FakeSettings>());
  const auto sync = aSystem.Add(SpawnSettingsSyncTask(
    aSystem.mSystem,
    settings,
    node.mMembership,
    aSystem.mLog,
    { PeerTestSystem::kInterval, PeerTestSystem::kInterval }));
  caf::anon_send(node.mMembership, SetPeerHandlers{ sync, {} });
  return { node, settings, sync };
}

bool
IsReady(PeerTestSystem& aSystem, const Daemon& aDaemon)
{
  return aSystem.Ask<SettingsReadiness>(aDaemon.mSync, GetSettingsReadiness{})
    .mIsReady;
}

state::SettingsVersion
Held(PeerTestSystem& aSystem, const Daemon& aDaemon, const std::string& aPath)
{
  const auto view =
    aSystem.Ask<state::SettingsSnapshot>(aDaemon.mSettings, GetSettings{});
  const SettingsDocument* document = view.Find(aPath);
  return document != nullptr ? document->Version() : 0;
}

/** Settings of more documents than fit into one notice. */
state::SettingsSnapshot
Stored()
{
  state::SettingsSnapshot view;
  for (int i = 0; i < 40; ++i) {
    view =
      *view.WithDocument({ "organisations/o" + std::to_string(i), 3, {}, {} });
  }
  return view;
}

} // namespace

TEST_GROUP(SettingsSyncTask){};

// Guards against a fresh daemon that cannot start while the store is down,
// and against one that is ready with only a part of the settings.
TEST(SettingsSyncTask, FreshDaemonLearnsAllSettingsFromAPeer)
{
  PeerTestSystem system;
  const Daemon first = Start(system, "e1", {});
  caf::anon_send(first.mSettings, Stored());
  CHECK(system.WaitUntil([&] { return IsReady(system, first); }));
  const Daemon fresh = Start(system, "e2", { "e1" });
  CHECK(system.WaitUntil([&] { return IsReady(system, fresh); }));
  const auto view =
    system.Ask<state::SettingsSnapshot>(fresh.mSettings, GetSettings{});
  CHECK(view == Stored());
}

// Guards against a daemon without settings that makes another one ready.
TEST(SettingsSyncTask, UnreadyDaemonsDoNotAnswer)
{
  PeerTestSystem system;
  const Daemon first = Start(system, "e1", {});
  const Daemon second = Start(system, "e2", { "e1" });
  CHECK(system.WaitUntil([&] {
    return system.mNet.Count<state::SettingsQuery>() > 10 &&
           system.StateOf(first.mNode, "e2") == "alive" &&
           system.StateOf(second.mNode, "e1") == "alive";
  }));
  LONGS_EQUAL(0, system.mNet.Count<SettingsUpdate>());
  CHECK_FALSE(IsReady(system, first));
  CHECK_FALSE(IsReady(system, second));
  // An empty head in the store is an answer too.
  caf::anon_send(first.mSettings, state::SettingsSnapshot());
  CHECK(system.WaitUntil([&] { return IsReady(system, second); }));
}

// Guards against a change that other daemons see only at their next poll.
TEST(SettingsSyncTask, AcceptedChangeReachesAllPeers)
{
  PeerTestSystem system;
  const Daemon first = Start(system, "e1", {});
  const Daemon second = Start(system, "e2", { "e1" });
  const Daemon third = Start(system, "e3", { "e1" });
  CHECK(system.WaitUntil([&] {
    return system.StateOf(second.mNode, "e3") == "alive" &&
           system.StateOf(second.mNode, "e1") == "alive";
  }));
  caf::anon_send(second.mSettings, SettingsAccepted{ { "policy", 1, {}, {} } });
  CHECK(system.WaitUntil([&] {
    return Held(system, first, "policy") == 1 &&
           Held(system, third, "policy") == 1;
  }));
}

// Guards against a change that is missed for good when its notice is lost
// while the store is down.
TEST(SettingsSyncTask, LostNoticeIsMadeGoodByHeartbeats)
{
  PeerTestSystem system;
  const Daemon first = Start(system, "e1", {});
  const Daemon second = Start(system, "e2", { "e1" });
  for (const Daemon& daemon : { first, second }) {
    caf::anon_send(daemon.mSettings, Stored());
    // Heartbeats carry the total of the settings.
    caf::anon_send(daemon.mNode.mMembership, Stored());
    CHECK(system.WaitUntil([&] { return IsReady(system, daemon); }));
  }
  system.mNet.LoseIf([](const state::PeerMessage& aMessage) {
    const auto* notice = std::get_if<SettingsUpdate>(&aMessage.Body());
    return notice != nullptr && !notice->Head().has_value();
  });
  caf::anon_send(first.mSettings, SettingsAccepted{ { "policy", 1, {}, {} } });
  state::SettingsSnapshot changed =
    *Stored().WithDocument({ "policy", 1, {}, {} });
  caf::anon_send(first.mNode.mMembership, changed);
  CHECK(system.WaitUntil([&] { return Held(system, second, "policy") == 1; }));
}

// Guards against a late notice that brings back an older version.
TEST(SettingsSyncTask, OlderDocumentsAreNotApplied)
{
  PeerTestSystem system;
  const Daemon daemon = Start(system, "e1", {});
  caf::anon_send(daemon.mSettings, Stored());
  CHECK(system.WaitUntil([&] { return IsReady(system, daemon); }));
  const auto notice = [&](const std::string& aPath,
                          state::SettingsVersion aVersion) {
    caf::anon_send(
      daemon.mSync,
      PeerMessageReceived{
        { state::VmId("e2"),
          1,
          SettingsUpdate({ { aPath, aVersion, {}, {} } }, std::nullopt) } });
  };
  notice("organisations/o1", 2);
  notice("organisations/o2", 3);
  notice("organisations/o3", 4);
  CHECK(system.WaitUntil(
    [&] { return Held(system, daemon, "organisations/o3") == 4; }));
  LONGS_EQUAL(3, Held(system, daemon, "organisations/o1"));
  LONGS_EQUAL(1,
              system.Ask<Counters>(daemon.mSettings, GetCounters{})["applied"]);
}
