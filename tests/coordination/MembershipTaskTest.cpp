#include "PeerTestSystem.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder;
using namespace cornelrudder::coordination;

namespace {

state::PeerMessage
MakeHeartbeat(const std::string& aName, state::Incarnation aIncarnation)
{
  return { state::VmId(aName),
           aIncarnation,
           state::Heartbeat(state::ZoneId("zone"), "http", aName, false, 0) };
}

} // namespace

TEST_GROUP(MembershipTask){};

// Guards against daemons that discover only their seed and not each other.
TEST(MembershipTask, DaemonsWithACommonSeedDiscoverEachOther)
{
  PeerTestSystem system;
  const auto& first = system.Start("e1", {});
  const auto& second = system.Start("e2", { "e1" });
  const auto& third = system.Start("e3", { "e1" });
  CHECK(system.WaitUntil([&] {
    return system.StateOf(second, "e3") == "alive" &&
           system.StateOf(third, "e2") == "alive" &&
           system.StateOf(first, "e2") == "alive" &&
           system.StateOf(first, "e3") == "alive";
  }));
}

// Guards against assigning slots to a daemon that shuts down, or to one that
// has crashed although the VM list still contains it.
TEST(MembershipTask, LeavingAndGonePeersAreDetected)
{
  PeerTestSystem system;
  const auto& first = system.Start("e1", {});
  auto& second = system.Start("e2", { "e1" });
  auto& third = system.Start("e3", { "e1" });
  CHECK(system.WaitUntil([&] {
    return system.StateOf(first, "e2") == "alive" &&
           system.StateOf(first, "e3") == "alive";
  }));
  caf::anon_send(second.mMembership, AnnounceLeaving{});
  CHECK(
    system.WaitUntil([&] { return system.StateOf(first, "e2") == "leaving"; }));
  system.Crash("e3", third);
  system.mClock.Skip(std::chrono::milliseconds(4'000));
  CHECK(system.WaitUntil([&] {
    return system.StateOf(first, "e3") == "suspected" &&
           system.StateOf(first, "e2") == "leaving";
  }));
  system.mClock.Skip(std::chrono::milliseconds(10'000));
  CHECK(system.WaitUntil([&] {
    return system.StateOf(first, "e3") == "gone" &&
           system.StateOf(first, "e2") == "leaving";
  }));
}

// Guards against waiting minutes for TCP to retransmit after a network
// partition.
TEST(MembershipTask, SilentPeersAreReconnected)
{
  PeerTestSystem system;
  auto& node = system.Start("e1", { "absent", "malformed" });
  CHECK(
    system.WaitUntil([&] { return node.mPort.ConnectCount("absent") == 1; }));
  system.mClock.Skip(std::chrono::milliseconds(10'000));
  CHECK(
    system.WaitUntil([&] { return node.mPort.ConnectCount("absent") == 2; }));
  LONGS_EQUAL(2, node.mPort.ConnectCount("malformed"));
}

// Guards against applying a delayed message of an earlier incarnation.
TEST(MembershipTask, EarlierIncarnationsAndUnknownSendersAreRejected)
{
  PeerTestSystem system;
  const auto& node = system.Start("e1", {});
  const state::PeerBody query = state::SettingsQuery({});
  const auto send = [&](const state::PeerMessage& aMessage) {
    caf::anon_send(node.mMembership, PeerMessageReceived{ aMessage });
  };
  send(MakeHeartbeat("e2", 5));
  send(MakeHeartbeat("e2", 4));
  send({ state::VmId("e2"), 4, query });
  send({ state::VmId("e9"), 1, query });
  CHECK(system.WaitUntil([&] {
    auto counters = system.Ask<Counters>(node.mMembership, GetCounters{});
    return counters["peer_rejected_total"] == 2 &&
           counters["peer_heartbeats_ignored_total"] == 1;
  }));
  const auto list = system.Ask<MemberList>(node.mMembership, GetMembers{});
  LONGS_EQUAL(1, list.mMembers.size());
  LONGS_EQUAL(5, list.mMembers.front().Record()->CurrentIncarnation());
}

// Guards against reporting a message as sent that has no known recipient.
TEST(MembershipTask, SendingToAnUnknownPeerReturnsFalse)
{
  PeerTestSystem system;
  const auto& node = system.Start("e1", {});
  CHECK_FALSE(system.Ask<bool>(
    node.mMembership,
    SendToPeer{ state::VmId("e2"), state::SettingsQuery({}) }));
}

// Guards against a new daemon that uses all slots before it has received the
// heartbeats of the others.
TEST(MembershipTask, ListedDaemonsCountAsActiveBeforeTheirHeartbeats)
{
  PeerTestSystem system;
  const state::VmLocation place(
    state::RegionId("r"), state::ZoneId("z"), state::RackId("k"));
  system.mFleet.Set(state::VmList({ state::Vm(state::VmId("e2"),
                                              state::VmRole::kEntry,
                                              "127.0.0.1:1",
                                              place,
                                              0,
                                              state::VmState::kLive) }));
  const auto& node = system.Start("e1", {});
  caf::scoped_actor self(system.mSystem);
  self->send(node.mMembership, Subscribe{ caf::actor(self) });
  bool shared = false;
  while (!shared) {
    self->receive(
      [&shared](const ActiveDaemonsView& aView) {
        shared =
          aView.mDaemons ==
          std::vector<state::VmId>{ state::VmId("e1"), state::VmId("e2") };
      },
      [](const state::VmList&) {},
      caf::after(std::chrono::seconds(60)) >>
        [] { FAIL("no view with the listed daemon"); });
  }
}
