#include "cornelrudder/state/Membership.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <algorithm>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

const VmId kSelf("entry-0");
const VmId kPeer("entry-1");

Heartbeat
MakeHeartbeat(bool aLeaving = false)
{
  return { ZoneId("zone-1"), "127.0.0.1:1", "127.0.0.1:2", aLeaving, 0 };
}

VmList
MakeVmList(const std::vector<VmId>& aIds, VmState aState = VmState::kLive)
{
  const VmLocation place(RegionId("r"), ZoneId("z"), RackId("k"));
  std::vector<Vm> vms;
  for (const VmId& id : aIds) {
    vms.emplace_back(id, VmRole::kEntry, "127.0.0.1:1", place, 0, aState);
  }
  return VmList(std::move(vms));
}

Membership
EmptyTable()
{
  return { kSelf, {} };
}

Membership
AfterHeartbeat(const Membership& aTable,
               Incarnation aIncarnation,
               milliseconds aNow,
               bool aLeaving = false)
{
  return aTable
    .WithHeartbeat(kPeer, aIncarnation, MakeHeartbeat(aLeaving), aNow)
    .value_or(aTable);
}

std::string
StateAt(const Membership& aTable, milliseconds aNow)
{
  for (const Member& member : aTable.Members(aNow)) {
    if (member.Name() == kPeer) {
      return std::string(PeerStateName(member.State()));
    }
  }
  return "unknown";
}

bool
IsActive(const Membership& aTable, const VmId& aId, milliseconds aNow)
{
  const auto daemons = aTable.ActiveDaemons(aNow);
  return std::find(daemons.begin(), daemons.end(), aId) != daemons.end();
}

} // namespace

TEST_GROUP(Membership){};

// Guards against a peer without heartbeats that keeps its share of the slots.
TEST(Membership, PeerWithoutHeartbeatIsSuspectedThenGone)
{
  const Membership table = AfterHeartbeat(EmptyTable(), 1, milliseconds(1'000));
  STRCMP_EQUAL("alive", StateAt(table, milliseconds(3'999)).c_str());
  CHECK(IsActive(table, kPeer, milliseconds(3'999)));
  STRCMP_EQUAL("suspected", StateAt(table, milliseconds(4'000)).c_str());
  CHECK_FALSE(IsActive(table, kPeer, milliseconds(4'000)));
  STRCMP_EQUAL("suspected", StateAt(table, milliseconds(10'999)).c_str());
  STRCMP_EQUAL("gone", StateAt(table, milliseconds(11'000)).c_str());
  const Membership again = AfterHeartbeat(table, 1, milliseconds(20'000));
  STRCMP_EQUAL("alive", StateAt(again, milliseconds(20'000)).c_str());
}

// Guards against slots assigned to a daemon that is shutting down.
TEST(Membership, LeavingPeersAreNotActive)
{
  const Membership reported =
    AfterHeartbeat(EmptyTable(), 1, milliseconds(0), true);
  STRCMP_EQUAL("leaving", StateAt(reported, milliseconds(5'000)).c_str());
  CHECK_FALSE(IsActive(reported, kPeer, milliseconds(0)));
  // A delayed heartbeat from before the shutdown is ignored.
  CHECK_FALSE(
    reported.WithHeartbeat(kPeer, 1, MakeHeartbeat(), milliseconds(10))
      .has_value());
  const Membership listed =
    AfterHeartbeat(EmptyTable(), 1, milliseconds(0))
      .WithVms(MakeVmList({ kPeer }, VmState::kLeaving));
  STRCMP_EQUAL("leaving", StateAt(listed, milliseconds(0)).c_str());
  // A restarted daemon is no longer leaving.
  const Membership restarted = AfterHeartbeat(reported, 2, milliseconds(100));
  STRCMP_EQUAL("alive", StateAt(restarted, milliseconds(100)).c_str());
}

// Guards against slots assigned to a VM that the platform has removed.
TEST(Membership, PeersRemovedFromTheListAreGone)
{
  const Membership alive = AfterHeartbeat(EmptyTable(), 1, milliseconds(0));
  // The list may be out of date: a daemon that was never listed counts as
  // alive.
  STRCMP_EQUAL("alive",
               StateAt(alive.WithVms(MakeVmList({})), milliseconds(0)).c_str());
  const Membership listed = alive.WithVms(MakeVmList({ kPeer }));
  const Membership removed = listed.WithVms(MakeVmList({}));
  STRCMP_EQUAL("gone", StateAt(removed, milliseconds(0)).c_str());
  STRCMP_EQUAL(
    "gone",
    StateAt(AfterHeartbeat(removed, 1, milliseconds(10)), milliseconds(10))
      .c_str());
  STRCMP_EQUAL(
    "alive",
    StateAt(AfterHeartbeat(removed, 2, milliseconds(10)), milliseconds(10))
      .c_str());
  STRCMP_EQUAL(
    "alive",
    StateAt(removed.WithVms(MakeVmList({ kPeer })), milliseconds(0)).c_str());
}

// Guards against a daemon that uses all slots right after its start, and
// against a failed daemon that counts as alive because it is still listed.
TEST(Membership, ListedDaemonsWithoutHeartbeatAreActive)
{
  const Membership listed = EmptyTable().WithVms(MakeVmList({ kSelf, kPeer }));
  CHECK(listed.ActiveDaemons(milliseconds(0)) ==
        (std::vector<VmId>{ kSelf, kPeer }));
  const Membership withHeartbeat = AfterHeartbeat(listed, 1, milliseconds(0));
  const milliseconds late(1'000'000);
  CHECK_FALSE(IsActive(withHeartbeat, kPeer, late));
  CHECK_FALSE(IsActive(withHeartbeat.WithoutExpired(late), kPeer, late));
}

// Guards against a table that grows with each VM that ever existed.
TEST(Membership, GoneAndUnlistedPeersAreRemoved)
{
  const Membership withHeartbeat =
    AfterHeartbeat(EmptyTable(), 5, milliseconds(0));
  CHECK(withHeartbeat.WithoutExpired(milliseconds(59'999)).Find(kPeer) !=
        nullptr);
  CHECK(withHeartbeat.WithoutExpired(milliseconds(60'000)).Find(kPeer) ==
        nullptr);
  Membership full = EmptyTable();
  for (std::size_t i = 1; i <= Membership::kMaxPeers; ++i) {
    full = *full.WithHeartbeat(
      VmId("vm-" + std::to_string(i)), 1, MakeHeartbeat(), milliseconds(0));
  }
  CHECK_FALSE(
    full.WithHeartbeat(kPeer, 1, MakeHeartbeat(), milliseconds(0)).has_value());
}

// Guards against ignoring a daemon forever because its wall clock was set back
// before a restart.
TEST(Membership, LowerIncarnationIsAcceptedAfterExpiry)
{
  const Membership withHeartbeat =
    AfterHeartbeat(EmptyTable(), 5, milliseconds(0))
      .WithVms(MakeVmList({ kPeer }));
  CHECK_FALSE(
    withHeartbeat.WithHeartbeat(kPeer, 4, MakeHeartbeat(), milliseconds(59'999))
      .has_value());
  CHECK(
    withHeartbeat.WithHeartbeat(kPeer, 4, MakeHeartbeat(), milliseconds(60'000))
      .has_value());
}

// Guards against a table entry for this daemon's own identifier.
TEST(Membership, OwnHeartbeatsAreIgnored)
{
  CHECK_FALSE(EmptyTable()
                .WithHeartbeat(kSelf, 9, MakeHeartbeat(), milliseconds(0))
                .has_value());
}

// Guards against a delayed heartbeat that restores an earlier incarnation: the
// highest incarnation must win in any order of arrival.
TEST(Membership, HighestIncarnationStaysInAnyOrder)
{
  const bool passed = rc::check(
    "incarnations", [](const std::vector<std::uint8_t>& aIncarnations) {
      Membership table = EmptyTable();
      Incarnation highest = 0;
      milliseconds now(0);
      for (const std::uint8_t incarnation : aIncarnations) {
        now += milliseconds(*rc::gen::inRange(0, 200));
        const auto next =
          table.WithHeartbeat(kPeer, incarnation, MakeHeartbeat(), now);
        RC_ASSERT(next.has_value() == (incarnation >= highest));
        table = next.value_or(table);
        highest = std::max<Incarnation>(highest, incarnation);
        RC_ASSERT(table.IsCurrent(kPeer, highest));
        RC_ASSERT(table.Find(kPeer)->CurrentIncarnation() == highest);
      }
    });
  CHECK(passed);
}

// Guards against wrong active daemons after any sequence of heartbeats, VM
// lists and pauses. The model tracks one peer without using the table.
TEST(Membership, ActiveDaemonsMatchTheModelAfterAnySequence)
{
  const bool passed = rc::check("sequences", [] {
    Membership table = EmptyTable();
    bool listedBefore = false;
    bool removed = false;
    bool leaving = false;
    std::optional<milliseconds> lastHeartbeat;
    Incarnation incarnation = 1;
    milliseconds now(0);
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 6'000));
      const int kind = *rc::gen::inRange(0, 4);
      if (kind <= 1) {
        const bool restart = kind == 1 && *rc::gen::arbitrary<bool>();
        const bool reportsLeaving = *rc::gen::arbitrary<bool>();
        table = AfterHeartbeat(
          table, incarnation + (restart ? 1 : 0), now, reportsLeaving);
        const bool late = lastHeartbeat.has_value() && !restart && leaving;
        if (!late || reportsLeaving) {
          leaving = reportsLeaving;
          incarnation += restart ? 1 : 0;
          removed = removed && !restart;
          lastHeartbeat = now;
        }
      } else if (kind == 2) {
        const bool listed = *rc::gen::arbitrary<bool>();
        removed =
          lastHeartbeat.has_value() && !listed && (removed || listedBefore);
        listedBefore = listed;
        table = table.WithVms(
          MakeVmList(listed ? std::vector{ kPeer } : std::vector<VmId>{}));
      }
      const bool expected =
        lastHeartbeat.has_value()
          ? !removed && !leaving && now - *lastHeartbeat < milliseconds(3'000)
          : listedBefore;
      RC_ASSERT(IsActive(table, kPeer, now) == expected);
      RC_ASSERT(IsActive(table, kSelf, now));
    }
  });
  CHECK(passed);
}
