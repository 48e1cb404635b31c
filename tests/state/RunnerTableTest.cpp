#include "cornelrudder/state/RunnerTable.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

const ClassName kProof("proof");
const ZoneId kZone("z");

Vm
MakeRunner(int aNumber, VmState aState = VmState::kLive, int aPort = 1)
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
  table.Apply(VmList({ MakeRunner(1), MakeRunner(2) }));
  return table;
}

/**
 * Runs one request.
 * @param aStatus Status by runner; kAnswered for other runners.
 * @return The chosen runner.
 */
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

/** Runs one request on the first runner, which reports that it is leaving. */
RunnerChange
ReportLeaving(RunnerTable& aTable)
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

// Guards against requests to a leaving runner while the VM list is out of date.
TEST(RunnerTable, LeavingRunnerReturnsOnlyAfterANewerState)
{
  RunnerTable table = TwoRunners();
  CHECK(ReportLeaving(table) == RunnerChange::kLeaving);
  LONGS_EQUAL(8, table.FreeSlots());
  table.Apply(VmList({ MakeRunner(1), MakeRunner(2) }));
  LONGS_EQUAL(8, table.FreeSlots());
  table.Apply(VmList({ MakeRunner(1, VmState::kLeaving), MakeRunner(2) }));
  LONGS_EQUAL(8, table.FreeSlots());
  table.Apply(VmList({ MakeRunner(1), MakeRunner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a runner that stays unusable because the VM list showed it as
// leaving before the runner reported it.
TEST(RunnerTable, ListMayShowLeavingBeforeTheRunnerReports)
{
  RunnerTable table = TwoRunners();
  table.Apply(VmList({ MakeRunner(1, VmState::kLeaving), MakeRunner(2) }));
  ReportLeaving(table);
  table.Apply(VmList({ MakeRunner(1), MakeRunner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a replaced VM that stays unusable because its predecessor
// reported that it was leaving.
TEST(RunnerTable, ReplacedRunnerIsUsable)
{
  RunnerTable table = TwoRunners();
  ReportLeaving(table);
  table.Apply(VmList({ MakeRunner(1, VmState::kLive, 2), MakeRunner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
  ReportLeaving(table);
  table.Apply(VmList({ MakeRunner(2) }));
  table.Apply(VmList({ MakeRunner(1, VmState::kLive, 2), MakeRunner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against lost slots when a runner is removed from the VM list while it
// runs a request.
TEST(RunnerTable, UnlistedRunnerKeepsItsSlotsInUse)
{
  RunnerTable table = TwoRunners();
  table.AcquireSlot(0, milliseconds(0));
  table.Apply(VmList({ MakeRunner(2) }));
  LONGS_EQUAL(8, table.FreeSlots());
  table.ReleaseSlot(VmId("runner-1"),
                    kProof,
                    RunnerResult(RunnerStatus::kAnswered, false, ""),
                    true,
                    milliseconds(1));
  table.Apply(VmList({ MakeRunner(1), MakeRunner(2) }));
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against a runner that attracts requests because it fails them quickly.
TEST(RunnerTable, FastFailingRunnerIsQuarantined)
{
  RunnerTable table = TwoRunners();
  int failed = 0;
  for (int i = 0; i < 100; ++i) {
    // The request in flight on runner-1 makes runner-2 the less loaded one.
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

// Guards against a quarantine that never ends, and against a non-idempotent
// request that is used as a probe as soon as the probe is due.
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

// Guards against a quarantine of all runners.
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

// Guards against the use of slots that are assigned to another daemon.
TEST(RunnerTable, MembershipChangeReassignsSlots)
{
  RunnerTable table = TwoRunners();
  RunnerTable other(VmId("e2"), 8);
  other.Apply(VmList({ MakeRunner(1), MakeRunner(2) }));
  const std::vector<VmId> daemons{ VmId("e1"), VmId("e2") };
  table.Apply(daemons);
  other.Apply(daemons);
  LONGS_EQUAL(16, table.FreeSlots() + other.FreeSlots());
  CHECK(table.FreeSlots() < 16);
  table.Apply(std::vector<VmId>{ VmId("e1") });
  LONGS_EQUAL(16, table.FreeSlots());
}

// Guards against requests to an evacuated zone, also as probes, and against a
// zone whose slots are lost after its return.
TEST(RunnerTable, EvacuatedZoneGetsNoRequests)
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
                      RunnerResult(RunnerStatus::kFailed, false, ""),
                      true,
                      milliseconds(0));
  }
  LONGS_EQUAL(8, table.FreeSlots());
  table.AcquireSlot(1, milliseconds(0));
  const milliseconds probeDue = 2 * EndpointHealth::kProbeInterval;
  table.Apply(scheduling::Evacuations({ kZone.Text() }));
  LONGS_EQUAL(0, table.FreeSlots());
  CHECK_FALSE(table.HasUntried({}));
  CHECK_FALSE(table.Choose(selector, kZone, {}, true, probeDue).has_value());
  table.Apply(VmList({ MakeRunner(1), MakeRunner(2), MakeRunner(3) }));
  LONGS_EQUAL(0, table.FreeSlots());
  table.ReleaseSlot(VmId("runner-2"),
                    kProof,
                    RunnerResult(RunnerStatus::kAnswered, false, ""),
                    true,
                    milliseconds(1));
  LONGS_EQUAL(0, table.FreeSlots());
  table.Apply(scheduling::Evacuations({ "other" }));
  LONGS_EQUAL(16, table.FreeSlots());
  LONGS_EQUAL(0, *table.Choose(selector, kZone, {}, true, probeDue));
}

// Guards against a quarantine of all usable runners because a class succeeded
// on a runner that gets no requests any more.
TEST(RunnerTable, EvacuatedRunnersDoNotQuarantineTheOthers)
{
  RunnerTable table(VmId("e1"), 8);
  const Vm remote(VmId("runner-2"),
                  VmRole::kRunner,
                  "127.0.0.1:1",
                  VmLocation(RegionId("r"), ZoneId("other"), RackId("k")),
                  0,
                  VmState::kLive);
  table.Apply(VmList({ MakeRunner(1), remote }));
  CHECK(Exchange(table, {}, milliseconds(0)) == VmId("runner-1"));
  table.Apply(scheduling::Evacuations({ kZone.Text() }));
  for (int i = 0; i < 20; ++i) {
    CHECK(Exchange(table,
                   { { "runner-2", RunnerStatus::kFailed } },
                   milliseconds(i)) == VmId("runner-2"));
  }
  LONGS_EQUAL(8, table.FreeSlots());
}
