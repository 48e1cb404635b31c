#include "PlacementFixture.h"

#include "cornelrudder/state/GuaranteeVerifier.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace cornelrudder::state;
using namespace cornelrudder::state::placement_test;

namespace {

constexpr std::size_t kNoLimit = 100000000;

GuaranteeResult
CheckAll(std::string_view aVerifier, const FleetSnapshot& aSnapshot)
{
  const FleetCapacity capacity(aSnapshot);
  return FindGuaranteeVerifier(aVerifier)->Check(
    capacity, AllGuarantees(capacity), kNoLimit);
}

/**
 * Random small fleets with lost workers, gangs that hold accelerators, and
 * guaranteed shapes.
 */
rc::Gen<FleetSnapshot>
GenFleet()
{
  return rc::gen::exec([] {
    const int zones = *rc::gen::inRange(1, 3);
    const int racks = *rc::gen::inRange(1, 3);
    const int perRack = *rc::gen::inRange(1, 5);
    const int holders = *rc::gen::inRange(5, 40);
    std::vector<Vm> workers;
    std::vector<PlacedGang> gangs;
    for (int i = 0; i < zones * racks * perRack; ++i) {
      const int accelerators = *rc::gen::inRange(0, 5);
      const int rack = i / perRack;
      if (*rc::gen::inRange(0, 12) != 11) {
        workers.push_back(Worker(i, rack / racks, rack, accelerators));
      }
      for (int a = 0; a < accelerators; ++a) {
        const int holder = *rc::gen::inRange(0, holders);
        if (holder < 4) {
          gangs.push_back(Gang("j" + std::to_string(gangs.size()),
                               "o" + std::to_string(holder),
                               *rc::gen::inRange(0, 3) == 0,
                               1.0,
                               { { i, { a } } }));
        }
      }
    }
    std::vector<GuaranteedShape> guarantees;
    const int shapes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < shapes; ++i) {
      const auto within = static_cast<Adjacency>(*rc::gen::inRange(0, 4));
      const int n = within == Adjacency::kWorker ? 1 : *rc::gen::inRange(1, 4);
      guarantees.push_back(
        Guarantee("o" + std::to_string(*rc::gen::inRange(0, 3)),
                  Shape(n, *rc::gen::inRange(1, 4), within)));
    }
    return FleetSnapshot(
      VmList(std::move(workers)), std::move(gangs), std::move(guarantees));
  });
}

/**
 * Checks an allocation independently of the verifiers: each shape gets distinct
 * workers of one group, and no accelerator is used twice.
 */
void
RequireValidAllocation(const FleetSnapshot& aSnapshot,
                       const GuaranteeResult& aResult)
{
  RC_ASSERT(aResult.Placements().size() == aSnapshot.Guarantees().size());
  const auto& workers = aSnapshot.Workers().All();
  std::vector<int> shared;
  std::vector<std::map<OrganisationId, int>> own(workers.size());
  for (const Vm& worker : workers) {
    shared.push_back(worker.Accelerators());
  }
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    for (const MemberPlacement& member : gang.Placement().Members()) {
      for (std::size_t w = 0; w < workers.size(); ++w) {
        if (workers[w].Name() == member.Worker() && !gang.Preemptible()) {
          const int n = static_cast<int>(member.Accelerators().size());
          shared[w] -= n;
          own[w][gang.Organisation()] += n;
        }
      }
    }
  }
  for (std::size_t i = 0; i < aResult.Placements().size(); ++i) {
    const GuaranteedShape& guarantee = aSnapshot.Guarantees()[i];
    const auto& workersOfShape = aResult.Placements()[i];
    RC_ASSERT(std::set(workersOfShape.begin(), workersOfShape.end()).size() ==
              static_cast<std::size_t>(guarantee.GangShape().Workers()));
    const auto level = guarantee.GangShape().AdjacencyLevel();
    for (const std::size_t w : workersOfShape) {
      RC_ASSERT(aSnapshot.Topology().GroupOf(level, w) ==
                aSnapshot.Topology().GroupOf(level, workersOfShape.front()));
      int& available = own[w][guarantee.Organisation()];
      const int fromOwn =
        std::min(available, guarantee.GangShape().AcceleratorsPerWorker());
      available -= fromOwn;
      shared[w] -= guarantee.GangShape().AcceleratorsPerWorker() - fromOwn;
      RC_ASSERT(shared[w] >= 0);
    }
  }
}

} // namespace

TEST_GROUP(GuaranteeVerifier){};

// Guards against an exact verifier that accepts guaranteed shapes that do not
// fit the fleet, or rejects shapes that do: it must agree with the exhaustive
// reference implementation.
TEST(GuaranteeVerifier, ExactAgreesWithExhaustive)
{
  int feasible = 0;
  int infeasible = 0;
  // With a fixed seed, each run of a property checks the same 100 cases. Each
  // case therefore checks 100 fleets, which makes 10,000.
  const bool passed = rc::check("exact agrees with exhaustive", [&] {
    for (int i = 0; i < 100; ++i) {
      const FleetSnapshot snapshot = *rc::gen::noShrink(GenFleet());
      const GuaranteeResult reference = CheckAll("exhaustive", snapshot);
      const GuaranteeResult exact = CheckAll("exact", snapshot);
      RC_ASSERT(reference.Verdict() != Feasibility::kUndecided);
      RC_ASSERT(reference.Verdict() == exact.Verdict());
      if (exact.Feasible()) {
        RequireValidAllocation(snapshot, exact);
        RequireValidAllocation(snapshot, reference);
        ++feasible;
      } else {
        ++infeasible;
      }
    }
  });
  CHECK(passed);
  // The random fleets must include enough of both verdicts.
  CHECK(feasible > 1000);
  CHECK(infeasible > 1000);
}

// Guards against a shape that counts on accelerators which a non-preemptible
// gang of another organisation holds.
TEST(GuaranteeVerifier, NonPreemptibleGangsCountForTheirOrganisationOnly)
{
  const Shape shape(1, 2, Adjacency::kWorker);
  const auto gang = Gang("j", "a", false, 1.0, { { 0, { 0, 1 } } });
  CHECK(CheckAll(
          "exact",
          FleetSnapshot(Fleet(1, 1, 1, 2), { gang }, { Guarantee("a", shape) }))
          .Feasible());
  CHECK(!CheckAll("exact",
                  FleetSnapshot(
                    Fleet(1, 1, 1, 2), { gang }, { Guarantee("b", shape) }))
           .Feasible());
}

// Guards against a shape that counts on accelerators of another organisation's
// non-preemptible gang, or that does not count those of a preemptible gang.
TEST(GuaranteeVerifier, OnlyPreemptibleGangsCountAsReclaimable)
{
  const Shape shape(2, 8, Adjacency::kRack);
  for (const bool preemptible : { true, false }) {
    const auto gang = Gang("j", "b", preemptible, 1.0, { { 1, { 3 } } });
    const FleetSnapshot snapshot(
      Fleet(1, 1, 2, 8), { gang }, { Guarantee("a", shape) });
    LONGS_EQUAL(preemptible, CheckAll("exact", snapshot).Feasible());
  }
}

// Guards against a check that ignores racks: the fleet has enough accelerators
// in total, but not within single racks.
TEST(GuaranteeVerifier, RackShapeNeedsOneRack)
{
  const FleetSnapshot snapshot(
    Fleet(1, 2, 2, 8),
    {},
    { Guarantee("a", Shape(2, 5, Adjacency::kRack)),
      Guarantee("b", Shape(2, 5, Adjacency::kRack)),
      Guarantee("c", Shape(2, 5, Adjacency::kRegion)) });
  CHECK(!CheckAll("exact", snapshot).Feasible());
}

// Guards against dropping all guaranteed shapes after a loss of workers: only
// the shape that no longer fits must be dropped.
TEST(GuaranteeVerifier, ShapesThatStillFitStayCoveredAfterALoss)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 2, 8),
    {},
    { Guarantee("a", Shape(3, 8, Adjacency::kRack)),
      Guarantee("b", Shape(1, 8, Adjacency::kWorker)),
      Guarantee("c", Shape(1, 8, Adjacency::kWorker)) });
  const auto covered =
    CoveredGuarantees(*FindGuaranteeVerifier("exact"), FleetCapacity(snapshot));
  CHECK((covered == std::vector<std::size_t>{ 1, 2 }));
}

// Guards against a search that treats equal racks of unequal zones as
// interchangeable: the rack shape must use the rack of the small zone, or the
// zone shape does not fit.
TEST(GuaranteeVerifier, EqualRacksOfUnequalZonesAreNotMerged)
{
  std::vector<Vm> workers;
  for (int i = 0; i < 6; ++i) {
    const int rack = i / 2;
    workers.push_back(Worker(i, rack == 2 ? 1 : 0, rack, 2));
  }
  const FleetSnapshot snapshot(
    VmList(std::move(workers)),
    {},
    { Guarantee("a", Shape(2, 2, Adjacency::kRack)),
      Guarantee("b", Shape(4, 2, Adjacency::kZone)) });
  CHECK(CheckAll("exhaustive", snapshot).Feasible());
  CHECK(CheckAll("exact", snapshot).Feasible());
}
