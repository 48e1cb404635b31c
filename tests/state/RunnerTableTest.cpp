#include "cornelrudder/state/RunnerTable.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

const ClassName kProof("proof");
const ZoneId kZone("z");

Vm
Runner(int aNumber, VmState aState = VmState::kLive, int aPort = 1)
{
  return { VmId("runner-" + std::to_string(aNumber)),
           VmRole::kRunner,
           "127.0.0.1:" + std::to_string(aPort),
           VmLocation(RegionId("r"), kZone, RackId("k")),
           0,
           aState };
}

RunnerTable
TwoRunners()
{
  RunnerTable table(VmId("e1"), 8);
  table.Apply(VmList({ Runner(1), Runner(2) }));
  return table;
}

/** Sends one request; the runner is named by the result. */
VmId
Exchange(RunnerTable& aTable,
         const std::map<std::string, RunnerStatus>& aStatus,
         milliseconds aNow)
{
  const auto i =
    aTable.Choose(*FindRunnerSelector("own_zone"), kZone, {}, true, aNow);
  const VmId runner = aTable.At(*i).Name();
  aTable.AcquireSlot(*i, aNow);
  const auto it = aStatus.find(runner.Text());
  const RunnerStatus status =
    it != aStatus.end() ? it->second : RunnerStatus::kAnswered;
  aTable.ReleaseSlot(
    runner, kProof, RunnerResult(status, false, ""), true, aNow);
  return runner;
}

/** Takes a slot of a runner and gives it back with a leaving answer. */
RunnerChange
SayLeaving(RunnerTable& aTable)
{
  aTable.AcquireSlot(0, milliseconds(0));
  return aTable.ReleaseSlot(aTable.At(0).Name(),
                            kProof,
                            RunnerResult(RunnerStatus::kNotStarted, true, ""),
                            true,
                            milliseconds(0));
}

} // namespace

TEST_GROUP(RunnerTable){};

// Guards against new work for a leaving runner while the VM list lags.
TEST(RunnerTable, LeavingRunnerReturnsOnlyAfterANewerState)
{
  RunnerTable table = TwoRunners();
  CHECK(SayLeaving(table) == RunnerChange::kLeaving);
  LONGS_EQUAL(8, table.FreeSlots());
  table.Apply(VmList({ Runner(1), Runner(2) }));
  LONGS_EQUAL(8, table.FreeSlots());
  table.Apply(VmList({ Runner(1, VmState::kLeaving), Runner(2) }));
  LONGS_EQUAL(8, table.FreeSlots());
  table.Apply(VmList({ Runner(1), Runner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a runner that stays unusable because the list knew first.
TEST(RunnerTable, ListMayKnowBeforeTheRunnerSays)
{
  RunnerTable table = TwoRunners();
  table.Apply(VmList({ Runner(1, VmState::kLeaving), Runner(2) }));
  SayLeaving(table);
  table.Apply(VmList({ Runner(1), Runner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a replaced VM that stays unusable for its predecessor's word.
TEST(RunnerTable, ReplacedRunnerIsUsable)
{
  RunnerTable table = TwoRunners();
  SayLeaving(table);
  table.Apply(VmList({ Runner(1, VmState::kLive, 2), Runner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
  SayLeaving(table);
  table.Apply(VmList({ Runner(2) }));
  table.Apply(VmList({ Runner(1, VmState::kLive, 2), Runner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against slots that are lost when a runner vanishes from the list
// while it still runs something.
TEST(RunnerTable, VanishedRunnerKeepsItsExchanges)
{
  RunnerTable table = TwoRunners();
  table.AcquireSlot(0, milliseconds(0));
  table.Apply(VmList({ Runner(2) }));
  LONGS_EQUAL(8, table.FreeSlots());
  table.ReleaseSlot(VmId("runner-1"),
                    kProof,
                    RunnerResult(RunnerStatus::kAnswered, false, ""),
                    true,
                    milliseconds(1));
  table.Apply(VmList({ Runner(1), Runner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a runner that fails everything fast and so attracts work.
TEST(RunnerTable, FastFailingRunnerIsQuarantined)
{
  RunnerTable table = TwoRunners();
  int failed = 0;
  for (int i = 0; i < 100; ++i) {
    // The second of two requests at a time goes to the other runner.
    table.AcquireSlot(0, milliseconds(i));
    failed += Exchange(table,
                       { { "runner-2", RunnerStatus::kFailed } },
                       milliseconds(i)) == VmId("runner-2")
                ? 1
                : 0;
    table.ReleaseSlot(VmId("runner-1"),
                      kProof,
                      RunnerResult(RunnerStatus::kAnswered, false, ""),
                      true,
                      milliseconds(i));
  }
  LONGS_EQUAL(EndpointHealth::kMinExchanges, failed);
  LONGS_EQUAL(8, table.FreeSlots());
}

// Guards against a quarantine without end, and against probes that are
// requests that must not run twice.
TEST(RunnerTable, ProbesEndTheQuarantine)
{
  RunnerTable table = TwoRunners();
  const RunnerSelector& selector = *FindRunnerSelector("own_zone");
  table.AcquireSlot(1, milliseconds(0));
  table.ReleaseSlot(VmId("runner-2"),
                    kProof,
                    RunnerResult(RunnerStatus::kAnswered, false, ""),
                    true,
                    milliseconds(0));
  for (int i = 0; i < 5; ++i) {
    table.AcquireSlot(0, milliseconds(0));
    table.ReleaseSlot(VmId("runner-1"),
                      kProof,
                      RunnerResult(RunnerStatus::kConnectionLost, false, ""),
                      true,
                      milliseconds(0));
  }
  LONGS_EQUAL(8, table.FreeSlots());
  milliseconds now{ 0 };
  for (int probe = 0; probe < 5; ++probe) {
    LONGS_EQUAL(1, *table.Choose(selector, kZone, {}, true, now));
    now += EndpointHealth::kProbeInterval;
    LONGS_EQUAL(1, *table.Choose(selector, kZone, {}, false, now));
    CHECK(Exchange(table, {}, now) == VmId("runner-1"));
  }
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a quarantine of the last runner that still works at all.
TEST(RunnerTable, OneRunnerStaysUsable)
{
  RunnerTable table = TwoRunners();
  for (int i = 0; i < 200; ++i) {
    const auto status =
      i < 20 ? RunnerStatus::kAnswered : RunnerStatus::kFailed;
    Exchange(table,
             { { "runner-1", status }, { "runner-2", status } },
             milliseconds(i));
  }
  CHECK(table.FreeSlots() >= 8);
}

// Guards against use of slots that belong to another daemon.
TEST(RunnerTable, MembershipChangeRehashesSlots)
{
  RunnerTable table = TwoRunners();
  RunnerTable other(VmId("e2"), 8);
  other.Apply(VmList({ Runner(1), Runner(2) }));
  const std::vector<VmId> daemons{ VmId("e1"), VmId("e2") };
  table.Apply(daemons);
  other.Apply(daemons);
  LONGS_EQUAL(16, table.FreeSlots() + other.FreeSlots());
  CHECK(table.FreeSlots() < 16);
  table.Apply(std::vector<VmId>{ VmId("e1") });
  LONGS_EQUAL(16, table.FreeSlots());
}
