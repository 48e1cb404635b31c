#include "PlacementFixture.h"

#include "cornelrudder/state/GuaranteeVerifier.h"
#include "cornelrudder/state/PlacementStrategy.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace cornelrudder::state;
using namespace cornelrudder::state::placement_test;

namespace {

constexpr std::size_t kNoLimit = 100000000;

const GuaranteeVerifier&
Exact()
{
  return *FindGuaranteeVerifier("exact");
}

PlacementRequest
Request(const std::string& aOrganisation,
        const Shape& aShape,
        bool aPreemptible)
{
  return { OrganisationId(aOrganisation), aShape, aPreemptible };
}

/** The snapshot with a decision carried out. */
FleetSnapshot
After(const FleetSnapshot& aSnapshot,
      const PlacementRequest& aRequest,
      const PlacementDecision& aDecision,
      const std::string& aJob)
{
  std::vector<PlacedGang> gangs;
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    const auto& victims = aDecision.Victims();
    if (std::find(victims.begin(), victims.end(), gang.Job()) ==
        victims.end()) {
      gangs.push_back(gang);
    }
  }
  gangs.emplace_back(JobId(aJob),
                     aRequest.Organisation(),
                     aRequest.Preemptible(),
                     1.0,
                     aDecision.Placement());
  return aSnapshot.WithGangs(std::move(gangs));
}

std::set<std::pair<VmId, int>>
Held(const GangPlacement& aPlacement)
{
  std::set<std::pair<VmId, int>> held;
  for (const MemberPlacement& member : aPlacement.Members()) {
    for (const int index : member.Accelerators()) {
      held.emplace(member.Worker(), index);
    }
  }
  return held;
}

/** Checks a placed or reclaimed place against the request and the snapshot. */
void
RequirePlace(const FleetSnapshot& aSnapshot,
             const PlacementRequest& aRequest,
             const PlacementDecision& aDecision)
{
  const Shape& shape = aRequest.GangShape();
  const auto& members = aDecision.Placement().Members();
  RC_ASSERT(members.size() == static_cast<std::size_t>(shape.Workers()));
  std::set<std::size_t> workers;
  std::set<std::size_t> groups;
  for (const MemberPlacement& member : members) {
    const auto w = aSnapshot.Topology().Find(member.Worker());
    RC_ASSERT(w.has_value());
    workers.insert(*w);
    groups.insert(aSnapshot.Topology().GroupOf(shape.AdjacencyLevel(), *w));
    RC_ASSERT(member.Accelerators().size() ==
              static_cast<std::size_t>(shape.AcceleratorsPerWorker()));
    for (const int index : member.Accelerators()) {
      RC_ASSERT(index >= 0 &&
                index < aSnapshot.Workers().All()[*w].Accelerators());
    }
  }
  RC_ASSERT(workers.size() == members.size());
  RC_ASSERT(groups.size() == 1U);

  const auto wanted = Held(aDecision.Placement());
  RC_ASSERT(wanted.size() == static_cast<std::size_t>(shape.Accelerators()));
  RC_ASSERT((aDecision.Kind() == PlacementKind::kReclaim) ==
            !aDecision.Victims().empty());
  const auto& victims = aDecision.Victims();
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    const bool victim =
      std::find(victims.begin(), victims.end(), gang.Job()) != victims.end();
    RC_ASSERT(!victim || gang.Preemptible());
    bool overlap = false;
    for (const auto& accelerator : Held(gang.Placement())) {
      overlap = overlap || wanted.contains(accelerator);
    }
    RC_ASSERT(victim || !overlap);
  }
}

/** A random fleet of racks with a few guaranteed shapes that fit it. */
rc::Gen<FleetSnapshot>
GenEmptyLoad()
{
  return rc::gen::exec([] {
    const int zones = *rc::gen::inRange(1, 4);
    const int racks = *rc::gen::inRange(1, 4);
    const int perRack = *rc::gen::inRange(1, 6);
    std::vector<Vm> workers;
    for (int i = 0; i < zones * racks * perRack; ++i) {
      const int rack = i / perRack;
      workers.push_back(Worker(i, rack / racks, rack, *rc::gen::inRange(1, 9)));
    }
    const VmList list(std::move(workers));
    std::vector<GuaranteedShape> guarantees;
    const int shapes = *rc::gen::inRange(0, 7);
    for (int i = 0; i < shapes; ++i) {
      const auto within = static_cast<Adjacency>(*rc::gen::inRange(0, 4));
      const int n = within == Adjacency::kWorker ? 1 : *rc::gen::inRange(1, 5);
      auto more = guarantees;
      more.push_back(Guarantee("o" + std::to_string(*rc::gen::inRange(0, 3)),
                               Shape(n, *rc::gen::inRange(1, 9), within)));
      const FleetSnapshot snapshot(list, {}, more);
      const FleetCapacity capacity(snapshot);
      if (Exact()
            .Check(capacity, AllGuarantees(capacity), kNoLimit)
            .Feasible()) {
        guarantees = std::move(more);
      }
    }
    return FleetSnapshot(list, {}, std::move(guarantees));
  });
}

rc::Gen<PlacementRequest>
GenRequest()
{
  return rc::gen::exec([] {
    const auto within = static_cast<Adjacency>(*rc::gen::inRange(0, 4));
    const int n = within == Adjacency::kWorker ? 1 : *rc::gen::inRange(1, 6);
    return Request("o" + std::to_string(*rc::gen::inRange(0, 4)),
                   Shape(n, *rc::gen::inRange(1, 9), within),
                   *rc::gen::inRange(0, 2) == 1);
  });
}

/** A random request, often for a guaranteed shape. */
PlacementRequest
AnyRequest(const FleetSnapshot& aSnapshot)
{
  const int n = static_cast<int>(aSnapshot.Guarantees().size());
  if (n == 0 || *rc::gen::inRange(0, 2) == 0) {
    return *rc::gen::noShrink(GenRequest());
  }
  const auto position = static_cast<std::size_t>(*rc::gen::inRange(0, n));
  const GuaranteedShape& guarantee = aSnapshot.Guarantees()[position];
  return { guarantee.Organisation(),
           guarantee.GangShape(),
           *rc::gen::inRange(0, 2) == 1 };
}

bool
FitsEmptyFleet(const FleetSnapshot& aSnapshot, const Shape& aShape)
{
  std::map<std::size_t, int> fitting;
  for (std::size_t w = 0; w < aSnapshot.Topology().Size(); ++w) {
    if (aSnapshot.Workers().All()[w].Accelerators() >=
        aShape.AcceleratorsPerWorker()) {
      ++fitting[aSnapshot.Topology().GroupOf(aShape.AdjacencyLevel(), w)];
    }
  }
  return std::any_of(fitting.begin(), fitting.end(), [&](const auto& aGroup) {
    return aGroup.second >= aShape.Workers();
  });
}

/** Removes a random gang, or a random worker, now and then. */
FleetSnapshot
Disturb(const FleetSnapshot& aSnapshot, bool aMayLoseWorkers)
{
  const int choice = *rc::gen::inRange(0, 10);
  if (choice < 2 && !aSnapshot.Gangs().empty()) {
    auto gangs = aSnapshot.Gangs();
    gangs.erase(gangs.begin() +
                *rc::gen::inRange(0, static_cast<int>(gangs.size())));
    return aSnapshot.WithGangs(std::move(gangs));
  }
  if (choice == 9 && aMayLoseWorkers && aSnapshot.Workers().All().size() > 1) {
    auto workers = aSnapshot.Workers().All();
    workers.erase(workers.begin() +
                  *rc::gen::inRange(0, static_cast<int>(workers.size())));
    return { VmList(std::move(workers)),
             aSnapshot.Gangs(),
             aSnapshot.Guarantees() };
  }
  return aSnapshot;
}

/** Runs random decisions and checks each against the promises. */
void
RequireRandomRun(const PlacementStrategy& aStrategy,
                 bool aMayLoseWorkers,
                 std::map<PlacementKind, int>& aSeen)
{
  FleetSnapshot snapshot = *rc::gen::noShrink(GenEmptyLoad());
  for (int step = 0; step < 60; ++step) {
    snapshot = Disturb(snapshot, aMayLoseWorkers);
    const FleetCapacity capacity(snapshot);
    const auto covered = CoveredGuarantees(Exact(), capacity);
    RC_ASSERT(aMayLoseWorkers ||
              covered.size() == snapshot.Guarantees().size());
    const auto request = AnyRequest(snapshot);
    const auto decision = aStrategy.Place(snapshot, request);
    ++aSeen[decision.Kind()];
    RC_ASSERT(!decision.Reason().empty());
    RC_ASSERT((decision.Kind() == PlacementKind::kNeverFits) ==
              !FitsEmptyFleet(snapshot, request.GangShape()));
    if (decision.Kind() != PlacementKind::kPlaced &&
        decision.Kind() != PlacementKind::kReclaim) {
      RC_ASSERT(decision.Placement().Members().empty());
      continue;
    }
    RequirePlace(snapshot, request, decision);
    snapshot = After(snapshot, request, decision, "j" + std::to_string(step));
    const FleetCapacity after(snapshot);
    RC_ASSERT(Exact().Check(after, covered, kNoLimit).Feasible());
  }
}

/** Checks that an organisation without gangs gets each of its shapes. */
void
RequireShapesAvailable(const PlacementStrategy& aStrategy,
                       const FleetSnapshot& aSnapshot,
                       bool aPreemptible)
{
  for (const GuaranteedShape& guarantee : aSnapshot.Guarantees()) {
    const bool holds =
      std::any_of(aSnapshot.Gangs().begin(),
                  aSnapshot.Gangs().end(),
                  [&](const auto& aGang) {
                    return aGang.Organisation() == guarantee.Organisation();
                  });
    if (holds) {
      continue;
    }
    const PlacementRequest request(
      guarantee.Organisation(), guarantee.GangShape(), aPreemptible);
    const auto decision = aStrategy.Place(aSnapshot, request);
    RC_ASSERT(decision.Kind() == PlacementKind::kPlaced ||
              decision.Kind() == PlacementKind::kReclaim);
    RequirePlace(aSnapshot, request, decision);
  }
}

} // namespace

TEST_GROUP(PlacementStrategy){};

// Guards against a placement that overlaps, leaves its group, stops
// non-preemptible work, or breaks a guaranteed shape that held before.
TEST(PlacementStrategy, DecisionsKeepTheGuarantee)
{
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    std::map<PlacementKind, int> seen;
    CHECK(rc::check("decisions keep the guarantee", [&] {
      for (int i = 0; i < 4; ++i) {
        RequireRandomRun(*strategy, false, seen);
      }
    }));
    // Each kind of decision must be exercised.
    CHECK(seen[PlacementKind::kPlaced] > 100);
    CHECK(seen[PlacementKind::kReclaim] > 100);
    CHECK(seen[PlacementKind::kWait] > 100);
    CHECK(seen[PlacementKind::kNeverFits] > 100);
  }
}

// Guards against a placement that makes things worse after a loss of workers
// has broken the guarantee.
TEST(PlacementStrategy, DecisionsKeepWhatALossLeaves)
{
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    std::map<PlacementKind, int> seen;
    CHECK(rc::check("decisions keep what a loss leaves", [&] {
      for (int i = 0; i < 4; ++i) {
        RequireRandomRun(*strategy, true, seen);
      }
    }));
  }
}

// Guards against the refusal of a guaranteed shape (P1) to an organisation
// that holds nothing, whatever the others were given.
TEST(PlacementStrategy, GuaranteedShapeIsAlwaysAvailable)
{
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    CHECK(rc::check("guaranteed shape is available", [&] {
      FleetSnapshot snapshot = *rc::gen::noShrink(GenEmptyLoad());
      for (int step = 0; step < 30; ++step) {
        snapshot = Disturb(snapshot, false);
        // Organisation o0 asks for nothing.
        auto request = *rc::gen::noShrink(GenRequest());
        if (request.Organisation() == OrganisationId("o0")) {
          request = Request("o3", request.GangShape(), request.Preemptible());
        }
        const auto decision = strategy->Place(snapshot, request);
        if (!decision.Placement().Members().empty()) {
          snapshot =
            After(snapshot, request, decision, "j" + std::to_string(step));
        }
        RequireShapesAvailable(*strategy, snapshot, true);
        RequireShapesAvailable(*strategy, snapshot, false);
      }
    }));
  }
}

// Guards against a non-preemptible gang that takes the last place of another
// organisation's shape; the reason must name that organisation.
TEST(PlacementStrategy, NonPreemptibleWorkDoesNotBorrow)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 2, 8),
    {},
    { Guarantee("a", Shape(1, 8, Adjacency::kWorker)),
      Guarantee("b", Shape(1, 8, Adjacency::kWorker)) });
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    const Shape both(2, 8, Adjacency::kRack);
    const auto refused = strategy->Place(snapshot, Request("a", both, false));
    CHECK(refused.Kind() == PlacementKind::kWait);
    STRCMP_CONTAINS("organisation b", refused.Reason().c_str());
    CHECK(strategy->Place(snapshot, Request("a", both, true)).Kind() ==
          PlacementKind::kPlaced);
  }
}

// Guards against a reclaim that stops more work than it must.
TEST(PlacementStrategy, ReclaimStopsTheLeastWork)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 3, 8),
    { Gang("j0", "b", true, 9.0, { { 0, { 0, 1, 2, 3, 4, 5, 6, 7 } } }),
      Gang("j1", "b", true, 2.0, { { 1, { 0, 1, 2, 3, 4, 5, 6, 7 } } }),
      Gang("j2", "b", true, 5.0, { { 2, { 0, 1, 2, 3, 4, 5, 6, 7 } } }) },
    { Guarantee("a", Shape(2, 8, Adjacency::kRack)) });
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    const auto decision = strategy->Place(
      snapshot, Request("a", Shape(2, 8, Adjacency::kRack), false));
    CHECK(decision.Kind() == PlacementKind::kReclaim);
    CHECK((decision.Victims() == std::vector{ JobId("j1"), JobId("j2") }));
  }
}

// Guards against a reclaim for work beyond the guaranteed shape, which would
// let borrowers stop each other in turns.
TEST(PlacementStrategy, OnlyOwedWorkReclaims)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 2, 8),
    { Gang("j0", "b", true, 1.0, { { 0, { 0, 1, 2, 3, 4, 5, 6, 7 } } }),
      Gang("j1", "a", true, 1.0, { { 1, { 0, 1, 2, 3, 4, 5, 6, 7 } } }) },
    { Guarantee("a", Shape(1, 8, Adjacency::kWorker)) });
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    const auto decision = strategy->Place(
      snapshot, Request("a", Shape(1, 8, Adjacency::kWorker), true));
    CHECK(decision.Kind() == PlacementKind::kWait);
    STRCMP_CONTAINS("quota", decision.Reason().c_str());
  }
}

// Guards against a wait without a cause: free accelerators that lie apart.
TEST(PlacementStrategy, FragmentationIsNamed)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 2, 2),
    { Gang("j0", "b", false, 1.0, { { 0, { 0 } }, { 1, { 1 } } }) },
    {});
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    const auto decision = strategy->Place(
      snapshot, Request("a", Shape(1, 2, Adjacency::kWorker), true));
    CHECK(decision.Kind() == PlacementKind::kWait);
    STRCMP_CONTAINS("fragmentation", decision.Reason().c_str());
  }
}

// Guards against small work that spreads over racks that large work needs.
TEST(PlacementStrategy, BestFitKeepsLargeShapesPossible)
{
  const FleetSnapshot snapshot(
    Fleet(1, 2, 2, 8), { Gang("j0", "b", true, 1.0, { { 2, { 0 } } }) }, {});
  const auto decision =
    FindPlacementStrategy("best_fit")
      ->Place(snapshot, Request("a", Shape(1, 2, Adjacency::kWorker), true));
  CHECK(decision.Kind() == PlacementKind::kPlaced);
  CHECK((decision.Placement().Members().front() ==
         MemberPlacement(Worker(2, 0, 0, 1).Name(), { 1, 2 })));
}
