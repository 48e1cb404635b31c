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
ExactVerifier()
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

/** @return The snapshot after a decision is executed. */
FleetSnapshot
ApplyDecision(const FleetSnapshot& aSnapshot,
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
AcceleratorsOf(const GangPlacement& aPlacement)
{
  std::set<std::pair<VmId, int>> held;
  for (const MemberPlacement& member : aPlacement.Members()) {
    for (const int index : member.Accelerators()) {
      held.emplace(member.Worker(), index);
    }
  }
  return held;
}

/** Checks a placement against the request, the fleet and the other gangs. */
void
RequireValidPlacement(const FleetSnapshot& aSnapshot,
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

  const auto wanted = AcceleratorsOf(aDecision.Placement());
  RC_ASSERT(wanted.size() == static_cast<std::size_t>(shape.Accelerators()));
  RC_ASSERT((aDecision.Kind() == PlacementKind::kReclaim) ==
            !aDecision.Victims().empty());
  const auto& victims = aDecision.Victims();
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    const bool victim =
      std::find(victims.begin(), victims.end(), gang.Job()) != victims.end();
    RC_ASSERT(!victim || gang.Preemptible());
    bool overlap = false;
    for (const auto& accelerator : AcceleratorsOf(gang.Placement())) {
      overlap = overlap || wanted.contains(accelerator);
    }
    RC_ASSERT(victim || !overlap);
  }
}

/** A random fleet without gangs, with a few guaranteed shapes that fit it. */
rc::Gen<FleetSnapshot>
GenEmptyFleet()
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
      if (ExactVerifier()
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
RandomRequest(const FleetSnapshot& aSnapshot)
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

/** Removes a random gang or a random worker in some of the calls. */
FleetSnapshot
RemoveGangOrWorker(const FleetSnapshot& aSnapshot, bool aMayLoseWorkers)
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

/** Executes random decisions and checks the guarantee after each. */
void
RequireGuaranteeInRandomRun(const PlacementStrategy& aStrategy,
                            bool aMayLoseWorkers,
                            std::map<PlacementKind, int>& aCounts)
{
  FleetSnapshot snapshot = *rc::gen::noShrink(GenEmptyFleet());
  for (int step = 0; step < 60; ++step) {
    snapshot = RemoveGangOrWorker(snapshot, aMayLoseWorkers);
    const FleetCapacity capacity(snapshot);
    const auto covered = CoveredGuarantees(ExactVerifier(), capacity);
    RC_ASSERT(aMayLoseWorkers ||
              covered.size() == snapshot.Guarantees().size());
    const auto request = RandomRequest(snapshot);
    const auto decision = aStrategy.Place(snapshot, request);
    ++aCounts[decision.Kind()];
    RC_ASSERT(!decision.Reason().empty());
    RC_ASSERT((decision.Kind() == PlacementKind::kNeverFits) ==
              !FitsEmptyFleet(snapshot, request.GangShape()));
    if (decision.Kind() != PlacementKind::kPlaced &&
        decision.Kind() != PlacementKind::kReclaim) {
      RC_ASSERT(decision.Placement().Members().empty());
      continue;
    }
    RequireValidPlacement(snapshot, request, decision);
    snapshot =
      ApplyDecision(snapshot, request, decision, "j" + std::to_string(step));
    const FleetCapacity after(snapshot);
    RC_ASSERT(ExactVerifier().Check(after, covered, kNoLimit).Feasible());
  }
}

/** Checks that organisations without gangs can place each of their shapes. */
void
RequireShapesAvailable(const PlacementStrategy& aStrategy,
                       const FleetSnapshot& aSnapshot,
                       bool aPreemptible)
{
  for (const GuaranteedShape& guarantee : aSnapshot.Guarantees()) {
    const bool hasGangs =
      std::any_of(aSnapshot.Gangs().begin(),
                  aSnapshot.Gangs().end(),
                  [&](const auto& aGang) {
                    return aGang.Organisation() == guarantee.Organisation();
                  });
    if (hasGangs) {
      continue;
    }
    const PlacementRequest request(
      guarantee.Organisation(), guarantee.GangShape(), aPreemptible);
    const auto decision = aStrategy.Place(aSnapshot, request);
    RC_ASSERT(decision.Kind() == PlacementKind::kPlaced ||
              decision.Kind() == PlacementKind::kReclaim);
    RequireValidPlacement(aSnapshot, request, decision);
  }
}

} // namespace

TEST_GROUP(PlacementStrategy){};

// Guards against a placement that overlaps another gang, spans several groups,
// stops non-preemptible gangs, or makes a guaranteed shape unavailable.
TEST(PlacementStrategy, DecisionsKeepTheGuarantee)
{
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    std::map<PlacementKind, int> counts;
    CHECK(rc::check("decisions keep the guarantee", [&] {
      for (int i = 0; i < 4; ++i) {
        RequireGuaranteeInRandomRun(*strategy, false, counts);
      }
    }));
    // Each kind of decision must be exercised.
    CHECK(counts[PlacementKind::kPlaced] > 100);
    CHECK(counts[PlacementKind::kReclaim] > 100);
    CHECK(counts[PlacementKind::kWait] > 100);
    CHECK(counts[PlacementKind::kNeverFits] > 100);
  }
}

// Guards against a placement that makes a further guaranteed shape unavailable
// after a loss of workers has broken the joint guarantee.
TEST(PlacementStrategy, DecisionsKeepRemainingGuaranteesAfterALoss)
{
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    std::map<PlacementKind, int> counts;
    CHECK(rc::check("decisions keep what a loss leaves", [&] {
      for (int i = 0; i < 4; ++i) {
        RequireGuaranteeInRandomRun(*strategy, true, counts);
      }
    }));
  }
}

// Guards against a guaranteed shape (P1) that an organisation without gangs
// cannot place because of the gangs of others.
TEST(PlacementStrategy, GuaranteedShapeIsAlwaysAvailable)
{
  for (const PlacementStrategy* strategy : AllPlacementStrategies()) {
    CHECK(rc::check("guaranteed shape is available", [&] {
      FleetSnapshot snapshot = *rc::gen::noShrink(GenEmptyFleet());
      for (int step = 0; step < 30; ++step) {
        snapshot = RemoveGangOrWorker(snapshot, false);
        // Organisation o0 submits no requests.
        auto request = *rc::gen::noShrink(GenRequest());
        if (request.Organisation() == OrganisationId("o0")) {
          request = Request("o3", request.GangShape(), request.Preemptible());
        }
        const auto decision = strategy->Place(snapshot, request);
        if (!decision.Placement().Members().empty()) {
          snapshot = ApplyDecision(
            snapshot, request, decision, "j" + std::to_string(step));
        }
        RequireShapesAvailable(*strategy, snapshot, true);
        RequireShapesAvailable(*strategy, snapshot, false);
      }
    }));
  }
}

// Guards against a non-preemptible gang on the only accelerators for another
// organisation's shape; the reason must name that organisation.
TEST(PlacementStrategy, NonPreemptibleGangsStayWithinTheGuarantee)
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

// Guards against a reclaim that stops gangs with more unsaved work than
// necessary.
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

// Guards against a reclaim for a request beyond the guaranteed shape, with
// which preemptible gangs would stop each other in turns.
TEST(PlacementStrategy, ReclaimsOnlyWithinTheGuaranteedShape)
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

// Guards against a misleading wait reason when enough accelerators are free but
// not on one worker.
TEST(PlacementStrategy, FragmentationIsGivenAsReason)
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

// Guards against small gangs that are spread over racks which large shapes
// need.
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
