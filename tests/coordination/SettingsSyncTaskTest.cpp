#include "cornelrudder/coordination/SettingsSyncTask.h"
#include "PeerTestSystem.h"

#include <CppUTest/TestHarness.h>

#include <caf/event_based_actor.hpp>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using state::SettingsDocument;
using state::SettingsUpdate;

namespace {

/** Stand-in for the settings task with one subscriber, which also watches. */
class FakeSettings : public caf::event_based_actor
{
public:
  using caf::event_based_actor::event_based_actor;

  caf::behavior make_behavior() override
  {
    return {
      [this](const Subscribe& aSubscribe) {
        mReceiver = aSubscribe.mReceiver;
        send(mReceiver, mSnapshot);
      },
      [this](const WatchSettings&) { SendHead(); },
      [this](const ApplyPeerSettings& aApply) {
        for (const SettingsDocument& document : aApply.mDocuments) {
          mSnapshot = mSnapshot.WithDocument(document).value_or(mSnapshot);
          ++mApplied;
        }
        send(mReceiver, mSnapshot);
      },
      [this](const GetSettings&) { return mSnapshot; },
      [this](const GetCounters&) {
        return Counters{ { "applied", mApplied } };
      },
      // Simulates a read of the head and then of the documents.
      [this](const state::SettingsSnapshot& aSnapshot) {
        mHead = aSnapshot.Head();
        SendHead();
        mSnapshot = aSnapshot;
        send(mReceiver, mSnapshot);
      },
      // Simulates an operator's change.
      [this](const SettingsAccepted& aAccepted) {
        mSnapshot =
          mSnapshot.WithDocument(aAccepted.mDocument).value_or(mSnapshot);
        send(mReceiver, mSnapshot);
        send(mReceiver, aAccepted);
      },
    };
  }

private:
  /** The real task sends the head after each poll of the store. */
  void SendHead()
  {
    if (mHead) {
      send(mReceiver, SettingsHeadRead{ *mHead });
    }
  }

  caf::actor mReceiver;
  std::optional<state::SettingsHead> mHead;
  state::SettingsSnapshot mSnapshot;
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
VersionOf(PeerTestSystem& aSystem,
          const Daemon& aDaemon,
          const std::string& aPath)
{
  const auto view =
    aSystem.Ask<state::SettingsSnapshot>(aDaemon.mSettings, GetSettings{});
  const SettingsDocument* document = view.Find(aPath);
  return document != nullptr ? document->Version() : 0;
}

/** Settings with more documents than fit into one update. */
state::SettingsSnapshot
StoredSettings()
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

// Guards against a new daemon that cannot become ready while the store is down,
// and against one that is ready with only part of the settings.
TEST(SettingsSyncTask, FreshDaemonReceivesAllSettingsFromAPeer)
{
  PeerTestSystem system;
  const Daemon first = Start(system, "e1", {});
  caf::anon_send(first.mSettings, StoredSettings());
  CHECK(system.WaitUntil([&] { return IsReady(system, first); }));
  const Daemon fresh = Start(system, "e2", { "e1" });
  CHECK(system.WaitUntil([&] { return IsReady(system, fresh); }));
  const auto view =
    system.Ask<state::SettingsSnapshot>(fresh.mSettings, GetSettings{});
  CHECK(view == StoredSettings());
}

// Guards against a daemon that becomes ready from a reply of a peer without
// settings.
TEST(SettingsSyncTask, UnreadyDaemonsDoNotReply)
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
  // An empty head in the store also makes the daemon ready.
  caf::anon_send(first.mSettings, state::SettingsSnapshot());
  CHECK(system.WaitUntil([&] { return IsReady(system, second); }));
}

// Guards against a change that peers apply only after their next store poll.
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
    return VersionOf(system, first, "policy") == 1 &&
           VersionOf(system, third, "policy") == 1;
  }));
}

// Guards against a change that peers never receive when its update is lost
// while the store is down.
TEST(SettingsSyncTask, LostUpdateIsRecoveredByHeartbeats)
{
  PeerTestSystem system;
  const Daemon first = Start(system, "e1", {});
  const Daemon second = Start(system, "e2", { "e1" });
  for (const Daemon& daemon : { first, second }) {
    caf::anon_send(daemon.mSettings, StoredSettings());
    // Heartbeats carry the sum of the settings' versions.
    caf::anon_send(daemon.mNode.mMembership, StoredSettings());
    CHECK(system.WaitUntil([&] { return IsReady(system, daemon); }));
  }
  system.mNet.LoseIf([](const state::PeerMessage& aMessage) {
    const auto* update = std::get_if<SettingsUpdate>(&aMessage.Body());
    return update != nullptr && !update->Head().has_value();
  });
  caf::anon_send(first.mSettings, SettingsAccepted{ { "policy", 1, {}, {} } });
  state::SettingsSnapshot changed =
    *StoredSettings().WithDocument({ "policy", 1, {}, {} });
  caf::anon_send(first.mNode.mMembership, changed);
  CHECK(
    system.WaitUntil([&] { return VersionOf(system, second, "policy") == 1; }));
}

// Guards against a delayed update that restores an older version.
TEST(SettingsSyncTask, OlderDocumentsAreNotApplied)
{
  PeerTestSystem system;
  const Daemon daemon = Start(system, "e1", {});
  caf::anon_send(daemon.mSettings, StoredSettings());
  CHECK(system.WaitUntil([&] { return IsReady(system, daemon); }));
  const auto update = [&](const std::string& aPath,
                          state::SettingsVersion aVersion) {
    caf::anon_send(
      daemon.mSync,
      PeerMessageReceived{
        { state::VmId("e2"),
          1,
          SettingsUpdate({ { aPath, aVersion, {}, {} } }, std::nullopt) } });
  };
  update("organisations/o1", 2);
  update("organisations/o2", 3);
  update("organisations/o3", 4);
  CHECK(system.WaitUntil(
    [&] { return VersionOf(system, daemon, "organisations/o3") == 4; }));
  LONGS_EQUAL(3, VersionOf(system, daemon, "organisations/o1"));
  LONGS_EQUAL(1,
              system.Ask<Counters>(daemon.mSettings, GetCounters{})["applied"]);
}
