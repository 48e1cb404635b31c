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
Beat(bool aLeaving = false)
{
  return { ZoneId("zone-1"), "127.0.0.1:1", "127.0.0.1:2", aLeaving, 0 };
}

VmList
Listed(const std::vector<VmId>& aIds, VmState aState = VmState::kLive)
{
  const VmLocation place(RegionId("r"), ZoneId("z"), RackId("k"));
  std::vector<Vm> vms;
  for (const VmId& id : aIds) {
    vms.emplace_back(id, VmRole::kEntry, "127.0.0.1:1", place, 0, aState);
  }
  return VmList(std::move(vms));
}

Membership
Empty()
{
  return { kSelf, {} };
}

Membership
Heard(const Membership& aTable,
      Incarnation aIncarnation,
      milliseconds aNow,
      bool aLeaving = false)
{
  return aTable.WithHeartbeat(kPeer, aIncarnation, Beat(aLeaving), aNow)
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
SharesWork(const Membership& aTable, const VmId& aId, milliseconds aNow)
{
  const auto daemons = aTable.ActiveDaemons(aNow);
  return std::find(daemons.begin(), daemons.end(), aId) != daemons.end();
}

} // namespace

TEST_GROUP(Membership){};

// Guards against a silent peer that keeps its share of the slots.
TEST(Membership, SilenceMakesSuspectedThenGone)
{
  const Membership table = Heard(Empty(), 1, milliseconds(1'000));
  STRCMP_EQUAL("alive", StateAt(table, milliseconds(3'999)).c_str());
  CHECK(SharesWork(table, kPeer, milliseconds(3'999)));
  STRCMP_EQUAL("suspected", StateAt(table, milliseconds(4'000)).c_str());
  CHECK_FALSE(SharesWork(table, kPeer, milliseconds(4'000)));
  STRCMP_EQUAL("suspected", StateAt(table, milliseconds(10'999)).c_str());
  STRCMP_EQUAL("gone", StateAt(table, milliseconds(11'000)).c_str());
  const Membership again = Heard(table, 1, milliseconds(20'000));
  STRCMP_EQUAL("alive", StateAt(again, milliseconds(20'000)).c_str());
}

// Guards against new work for a daemon that shuts down.
TEST(Membership, LeavingPeersGetNoShare)
{
  const Membership said = Heard(Empty(), 1, milliseconds(0), true);
  STRCMP_EQUAL("leaving", StateAt(said, milliseconds(5'000)).c_str());
  CHECK_FALSE(SharesWork(said, kPeer, milliseconds(0)));
  // A heartbeat from before, relayed late, does not bring it back.
  CHECK_FALSE(
    said.WithHeartbeat(kPeer, 1, Beat(), milliseconds(10)).has_value());
  const Membership listed = Heard(Empty(), 1, milliseconds(0))
                              .WithVms(Listed({ kPeer }, VmState::kLeaving));
  STRCMP_EQUAL("leaving", StateAt(listed, milliseconds(0)).c_str());
  // A restarted daemon leaves no more.
  const Membership restarted = Heard(said, 2, milliseconds(100));
  STRCMP_EQUAL("alive", StateAt(restarted, milliseconds(100)).c_str());
}

// Guards against a share for a VM that the platform has taken away.
TEST(Membership, PeersDroppedFromTheListAreGone)
{
  const Membership alive = Heard(Empty(), 1, milliseconds(0));
  // The list lags behind: a daemon that it never had is not dropped.
  STRCMP_EQUAL("alive",
               StateAt(alive.WithVms(Listed({})), milliseconds(0)).c_str());
  const Membership listed = alive.WithVms(Listed({ kPeer }));
  const Membership dropped = listed.WithVms(Listed({}));
  STRCMP_EQUAL("gone", StateAt(dropped, milliseconds(0)).c_str());
  STRCMP_EQUAL(
    "gone",
    StateAt(Heard(dropped, 1, milliseconds(10)), milliseconds(10)).c_str());
  STRCMP_EQUAL(
    "alive",
    StateAt(Heard(dropped, 2, milliseconds(10)), milliseconds(10)).c_str());
  STRCMP_EQUAL(
    "alive",
    StateAt(dropped.WithVms(Listed({ kPeer })), milliseconds(0)).c_str());
}

// Guards against a daemon that takes all slots right after its start, and
// against a dead one that counts as alive because the list still has it.
TEST(Membership, ListedDaemonsCountUntilHeard)
{
  const Membership listed = Empty().WithVms(Listed({ kSelf, kPeer }));
  CHECK(listed.ActiveDaemons(milliseconds(0)) ==
        (std::vector<VmId>{ kSelf, kPeer }));
  const Membership heard = Heard(listed, 1, milliseconds(0));
  const milliseconds late(1'000'000);
  CHECK_FALSE(SharesWork(heard, kPeer, late));
  CHECK_FALSE(SharesWork(heard.WithoutExpired(late), kPeer, late));
}

// Guards against a table that grows with each VM that ever was.
TEST(Membership, GoneAndUnlistedPeersAreForgotten)
{
  const Membership heard = Heard(Empty(), 5, milliseconds(0));
  CHECK(heard.WithoutExpired(milliseconds(59'999)).Find(kPeer) != nullptr);
  CHECK(heard.WithoutExpired(milliseconds(60'000)).Find(kPeer) == nullptr);
  Membership full = Empty();
  for (std::size_t i = 1; i <= Membership::kMaxPeers; ++i) {
    full = *full.WithHeartbeat(
      VmId("vm-" + std::to_string(i)), 1, Beat(), milliseconds(0));
  }
  CHECK_FALSE(
    full.WithHeartbeat(kPeer, 1, Beat(), milliseconds(0)).has_value());
}

// Guards against a daemon that is shut out because its wall clock was set back.
TEST(Membership, LowerIncarnationCountsAfterLongSilence)
{
  const Membership heard =
    Heard(Empty(), 5, milliseconds(0)).WithVms(Listed({ kPeer }));
  CHECK_FALSE(
    heard.WithHeartbeat(kPeer, 4, Beat(), milliseconds(59'999)).has_value());
  CHECK(
    heard.WithHeartbeat(kPeer, 4, Beat(), milliseconds(60'000)).has_value());
}

// Guards against another daemon with this one's identifier in the table.
TEST(Membership, OwnHeartbeatsDoNotCount)
{
  CHECK_FALSE(
    Empty().WithHeartbeat(kSelf, 9, Beat(), milliseconds(0)).has_value());
}

// Guards against a late heartbeat that brings back an earlier life: whatever
// the order of arrival, the highest incarnation stays.
TEST(Membership, HighestIncarnationStaysInAnyOrder)
{
  const bool held =
    rc::check("incarnations", [](const std::vector<std::uint8_t>& aLives) {
      Membership table = Empty();
      Incarnation highest = 0;
      milliseconds now(0);
      for (const std::uint8_t life : aLives) {
        now += milliseconds(*rc::gen::inRange(0, 200));
        const auto next = table.WithHeartbeat(kPeer, life, Beat(), now);
        RC_ASSERT(next.has_value() == (life >= highest));
        table = next.value_or(table);
        highest = std::max<Incarnation>(highest, life);
        RC_ASSERT(table.IsCurrent(kPeer, highest));
        RC_ASSERT(table.Find(kPeer)->CurrentIncarnation() == highest);
      }
    });
  CHECK(held);
}

// Guards against a view that disagrees with the rules after any sequence of
// heartbeats, lists and silence. The model is written without the table.
TEST(Membership, ViewFollowsTheRulesAfterAnySequence)
{
  const bool held = rc::check("sequences", [] {
    Membership table = Empty();
    bool listedBefore = false;
    bool dropped = false;
    bool leaving = false;
    std::optional<milliseconds> heard;
    Incarnation life = 1;
    milliseconds now(0);
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 6'000));
      const int kind = *rc::gen::inRange(0, 4);
      if (kind <= 1) {
        const bool restart = kind == 1 && *rc::gen::arbitrary<bool>();
        const bool saysLeaving = *rc::gen::arbitrary<bool>();
        table = Heard(table, life + (restart ? 1 : 0), now, saysLeaving);
        const bool late = heard.has_value() && !restart && leaving;
        if (!late || saysLeaving) {
          leaving = saysLeaving;
          life += restart ? 1 : 0;
          dropped = dropped && !restart;
          heard = now;
        }
      } else if (kind == 2) {
        const bool listed = *rc::gen::arbitrary<bool>();
        dropped = heard.has_value() && !listed && (dropped || listedBefore);
        listedBefore = listed;
        table = table.WithVms(
          Listed(listed ? std::vector{ kPeer } : std::vector<VmId>{}));
      }
      const bool expected =
        heard.has_value()
          ? !dropped && !leaving && now - *heard < milliseconds(3'000)
          : listedBefore;
      RC_ASSERT(SharesWork(table, kPeer, now) == expected);
      RC_ASSERT(SharesWork(table, kSelf, now));
    }
  });
  CHECK(held);
}
