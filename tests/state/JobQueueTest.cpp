#include "cornelrudder/state/JobQueue.h"
#include "cornelrudder/state/FleetHealth.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

VmList
Workers(int aCount)
{
  std::vector<Vm> vms;
  const VmLocation place(RegionId("r"), ZoneId("z"), RackId("k"));
  for (int i = 0; i < aCount; ++i) {
    vms.emplace_back(VmId("worker-" + std::to_string(i)),
                     VmRole::kWorker,
                     "127.0.0.1:1",
                     place,
                     8,
                     VmState::kLive);
  }
  return VmList(std::move(vms));
}

JobSpec
Spec(const std::string& aId, const std::string& aOrganisation, Shape aShape)
{
  return { JobId(aId),
           OrganisationId(aOrganisation),
           TeamId("night"),
           ClassName("nest"),
           aShape,
           "",
           std::chrono::seconds(1) };
}

WaitingJob
Waiting(const std::string& aId,
        const std::string& aOrganisation,
        int aWorkers,
        int aUrgency = 0,
        std::optional<int> aLimit = std::nullopt)
{
  return { Spec(aId, aOrganisation, Shape(aWorkers, 8, Adjacency::kRack)),
           aUrgency,
           false,
           aLimit,
           {},
           false };
}

PlacedGang
Running(const std::string& aId, int aWorker)
{
  return { JobId(aId),
           OrganisationId("acme"),
           false,
           0.0,
           GangPlacement(
             { MemberPlacement(VmId("worker-" + std::to_string(aWorker)),
                               { 0, 1, 2, 3, 4, 5, 6, 7 }) }) };
}

std::vector<QueueDecision>
Decide(const FleetSnapshot& aSnapshot, std::vector<WaitingJob> aQueue)
{
  return DecideQueue(
    aSnapshot, std::move(aQueue), {}, {}, *FindPlacementStrategy("first_fit"));
}

} // namespace

TEST_GROUP(JobQueue){};

// Guards against a queue that ignores urgency, serves the organisation with the
// larger share first, or prefers newer jobs.
TEST(JobQueue, OrderIsUrgencyThenShareThenAge)
{
  const auto decisions = Decide(FleetSnapshot(Workers(1), {}, {}),
                                { Waiting("job-1", "acme", 1),
                                  Waiting("job-2", "acme", 1),
                                  Waiting("job-3", "zeta", 1),
                                  Waiting("job-4", "zeta", 1, 9) });
  STRCMP_EQUAL("job-4", decisions[0].mJob.Text().c_str());
  CHECK(decisions[0].mDecision.Kind() == PlacementKind::kPlaced);
  STRCMP_EQUAL("job-1", decisions[1].mJob.Text().c_str());
  CHECK(decisions[1].mDecision.Kind() == PlacementKind::kWait);
}

// Guards against small jobs that occupy the accelerators for which a large job
// waits, so that it never starts.
TEST(JobQueue, BackfillDoesNotUseTheReservationOfTheFirstJob)
{
  // The first job needs all workers, of which worker 0 is still in use.
  const auto overlapping =
    Decide(FleetSnapshot(Workers(3), { Running("job-0", 0) }, {}),
           { Waiting("job-2", "acme", 3, 4), Waiting("job-3", "acme", 1) });
  CHECK(overlapping[0].mDecision.Kind() == PlacementKind::kWait);
  CHECK(overlapping[1].mDecision.Kind() == PlacementKind::kWait);
  // The first job needs workers 0 and 1, so the other job may use worker 2.
  const auto outside = Decide(
    FleetSnapshot(Workers(3), { Running("job-0", 0), Running("job-1", 1) }, {}),
    { Waiting("job-2", "acme", 2, 4), Waiting("job-3", "acme", 1) });
  CHECK(outside[0].mDecision.Kind() == PlacementKind::kWait);
  CHECK(outside[1].mDecision.Kind() == PlacementKind::kPlaced);
}

// Guards against a team that exceeds its quota when several of its jobs are
// placed at once.
TEST(JobQueue, TeamLimitAppliesAcrossOneDecisionRound)
{
  const auto decisions = Decide(
    FleetSnapshot(Workers(4), {}, {}),
    { Waiting("job-1", "acme", 1, 0, 8), Waiting("job-2", "acme", 1, 0, 8) });
  CHECK(decisions[0].mDecision.Kind() == PlacementKind::kPlaced);
  CHECK(decisions[1].mDecision.Kind() == PlacementKind::kWait);
  STRCMP_CONTAINS("team", decisions[1].mDecision.Reason().c_str());
}

TEST_GROUP(FleetHealth)
{
  FleetHealth mHealth;

  void Add(const std::string& aWorker, const std::string& aJob, bool aOk)
  {
    mHealth =
      mHealth.WithOutcome(VmId(aWorker),
                          MemberOutcome(JobId(aJob), ClassName("nest"), aOk),
                          milliseconds(0));
  }
};

// Guards against a faulty worker that fails every task and still gets new ones.
TEST(FleetHealth, FailingWorkerIsQuarantinedUntilProbesSucceed)
{
  Add("w2", "job-0", true);
  Add("w1", "job-1", false);
  Add("w1", "job-2", false);
  CHECK_FALSE(mHealth.IsQuarantined(VmId("w1")));
  Add("w1", "job-3", false);
  CHECK(mHealth.IsQuarantined(VmId("w1")));
  CHECK_FALSE(mHealth.MayProbe(VmId("w1"), milliseconds(9'999)));
  CHECK(mHealth.MayProbe(VmId("w1"), milliseconds(10'000)));
  for (int i = 0; i < FleetHealth::kProbesToRelease; ++i) {
    CHECK(mHealth.IsQuarantined(VmId("w1")));
    Add("w1", "job-4", true);
  }
  CHECK_FALSE(mHealth.IsQuarantined(VmId("w1")));
}

// Guards against a single faulty job that quarantines healthy workers.
TEST(FleetHealth, FaultyJobQuarantinesNoWorker)
{
  Add("w2", "job-0", true);
  for (int i = 0; i < 20; ++i) {
    Add("w1", "job-1", false);
  }
  CHECK_FALSE(mHealth.IsQuarantined(VmId("w1")));
  CHECK(mHealth.IsHealthyFor(VmId("w1"), JobId("job-1")));
  CHECK_FALSE(mHealth.IsHealthyFor(VmId("w1"), JobId("job-2")));
}
