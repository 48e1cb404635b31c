#include "PlacementFixture.h"

#include "cornelrudder/state/QueuePass.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace cornelrudder::state;
using namespace cornelrudder::state::placement_test;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHour = std::chrono::hours(1);

QueuedJob
Queued(const std::string& aJob,
       const std::string& aOrganisation,
       const Shape& aShape,
       milliseconds aQueuedAt,
       int aUrgency = 0,
       bool aPreemptible = true)
{
  return { JobId(aJob),
           PlacementRequest(
             OrganisationId(aOrganisation), aShape, aPreemptible),
           aUrgency,
           aQueuedAt };
}

std::vector<std::string>
OrderOf(const std::vector<QueuedJob>& aJobs,
        const FleetSnapshot& aSnapshot,
        const JobOrderContext& aContext)
{
  std::vector<std::string> names;
  for (const std::size_t i :
       FindJobOrderPolicy("fair")->ServiceOrder(aJobs, aSnapshot, aContext)) {
    names.push_back(aJobs[i].Job().Text());
  }
  return names;
}

QueueStep
Step(const std::vector<QueuedJob>& aJobs,
     const FleetSnapshot& aSnapshot,
     std::string_view aOrder,
     const std::optional<Reservation>& aReservation,
     milliseconds aNow = milliseconds(0))
{
  return NextQueueStep(aJobs,
                       aSnapshot,
                       *FindJobOrderPolicy(aOrder),
                       *FindPlacementStrategy("best_fit"),
                       JobOrderContext({}, aNow),
                       aReservation);
}

const Shape kSmall(1, 2, Adjacency::kWorker);
const Shape kFullWorker(1, 8, Adjacency::kWorker);
const Shape kLarge(2, 8, Adjacency::kRack);

} // namespace

TEST_GROUP(JobOrderPolicy){};

// Guards against urgent jobs behind less urgent ones, and against an
// organisation that is served beyond its weighted share while another one
// waits.
TEST(JobOrderPolicy, UrgencyThenShareThenAge)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 2, 8),
    { Gang("x", "a", true, 1.0, { { 0, { 0, 1, 2, 3 } } }),
      Gang("y", "b", true, 1.0, { { 1, { 0, 1 } } }) },
    {});
  const std::vector jobs{ Queued("a-old", "a", kSmall, milliseconds(1)),
                          Queued("b-new", "b", kSmall, milliseconds(3)),
                          Queued("b-old", "b", kSmall, milliseconds(2)),
                          Queued("a-urgent", "a", kSmall, milliseconds(4), 1) };
  const JobOrderContext even({}, milliseconds(5));
  CHECK((OrderOf(jobs, snapshot, even) ==
         std::vector<std::string>{ "a-urgent", "b-old", "b-new", "a-old" }));
  // With weight 4, organisation a holds 1 accelerator per weight and b holds 2.
  const JobOrderContext heavy({ { OrganisationId("a"), 4 } }, milliseconds(5));
  CHECK((OrderOf(jobs, snapshot, heavy) ==
         std::vector<std::string>{ "a-urgent", "a-old", "b-old", "b-new" }));
}

// Guards against the starvation of a job by many urgent jobs or by
// organisations with a smaller share.
TEST(JobOrderPolicy, OverdueJobsGoFirst)
{
  const FleetSnapshot snapshot(Fleet(1, 1, 2, 8), {}, {});
  const std::vector jobs{ Queued("urgent", "a", kSmall, kHour, 2),
                          Queued("overdue", "b", kSmall, milliseconds(0)) };
  CHECK((OrderOf(jobs, snapshot, JobOrderContext({}, kHour)) ==
         std::vector<std::string>{ "urgent", "overdue" }));
  CHECK(
    (OrderOf(jobs, snapshot, JobOrderContext({}, kHour + milliseconds(1))) ==
     std::vector<std::string>{ "overdue", "urgent" }));
}

// Guards against serving other organisations first while a loss of workers
// leaves an organisation's guaranteed shape uncovered.
TEST(JobOrderPolicy, OrganisationWithUncoveredShapeGoesFirst)
{
  const FleetSnapshot snapshot(Fleet(1, 1, 2, 8),
                               {},
                               { Guarantee("a", kFullWorker),
                                 Guarantee("b", kFullWorker),
                                 Guarantee("c", kLarge) });
  const std::vector jobs{ Queued("a", "a", kSmall, milliseconds(1), 2),
                          Queued("c", "c", kSmall, milliseconds(2)) };
  CHECK((OrderOf(jobs, snapshot, JobOrderContext({}, milliseconds(3))) ==
         std::vector<std::string>{ "c", "a" }));
}

TEST_GROUP(QueuePass){};

// Guards against backfill in the fifo baseline, which must stop at the first
// job that has to wait.
TEST(QueuePass, FifoDoesNotBackfill)
{
  const FleetSnapshot snapshot(
    Fleet(1, 1, 2, 8), { Gang("x", "a", true, 1.0, { { 0, { 0 } } }) }, {});
  const std::vector jobs{ Queued("large", "a", kLarge, milliseconds(1)),
                          Queued("small", "a", kSmall, milliseconds(2)) };
  const auto step = Step(jobs, snapshot, "fifo", std::nullopt);
  CHECK(!step.Job());
  STRCMP_CONTAINS("only 15 accelerators are free",
                  step.Decision().Reason().c_str());
}

// Guards against backfill into the reservation of the first job, and against
// accelerators outside it that stay idle.
TEST(QueuePass, BackfillStaysOutsideTheReservation)
{
  const FleetSnapshot snapshot(
    Fleet(1, 2, 2, 8),
    { Gang("x", "a", true, 1.0, { { 0, { 0 } } }),
      Gang("y", "a", true, 1.0, { { 2, { 0, 1 } }, { 3, { 0, 1 } } }) },
    {});
  const std::vector jobs{ Queued("large", "a", kLarge, milliseconds(1)),
                          Queued("small", "b", kSmall, milliseconds(2), -1) };
  const auto step = Step(jobs, snapshot, "fair", std::nullopt);
  CHECK(step.NextReservation().has_value());
  CHECK(step.NextReservation()->Job() == JobId("large"));
  // In this rack the fewest accelerators still have to become free.
  CHECK((std::set(step.NextReservation()->Workers().begin(),
                  step.NextReservation()->Workers().end()) ==
         std::set{ VmId("w000"), VmId("w001") }));
  CHECK(step.Job() == std::optional<std::size_t>(1));
  const VmId worker = step.Decision().Placement().Members().front().Worker();
  CHECK(worker == VmId("w002") || worker == VmId("w003"));

  const FleetSnapshot fullRack =
    snapshot.WithGangs({ Gang("x", "a", true, 1.0, { { 0, { 0 } } }),
                         Gang("z",
                              "a",
                              true,
                              1.0,
                              { { 2, { 0, 1, 2, 3, 4, 5, 6, 7 } },
                                { 3, { 0, 1, 2, 3, 4, 5, 6, 7 } } }) });
  CHECK(!Step(jobs, fullRack, "fair", step.NextReservation()).Job());
}

// Guards against the starvation of a large gang by many small jobs: it must
// start once the gangs on its reserved workers complete, regardless of new
// jobs.
TEST(QueuePass, LargeGangStartsDespiteManySmallJobs)
{
  constexpr int kRunTicks = 10;
  const FleetSnapshot empty(Fleet(1, 1, 2, 8), {}, {});
  std::vector<std::pair<int, PlacedGang>> running;
  std::optional<Reservation> reservation;
  std::vector<QueuedJob> jobs;
  int number = 0;
  std::optional<int> started;
  for (int tick = 0; tick < 200 && !started; ++tick) {
    if (tick == 20) {
      jobs.push_back(Queued("large", "a", kLarge, milliseconds(tick)));
    }
    // Small jobs fill every gap without pause and complete at different times.
    while (jobs.size() < 4) {
      jobs.push_back(Queued("small-" + std::to_string(number++),
                            "b",
                            kSmall,
                            milliseconds(tick),
                            0));
    }
    running.erase(
      std::remove_if(running.begin(),
                     running.end(),
                     [tick](const auto& aGang) { return aGang.first <= tick; }),
      running.end());
    for (int placed = 0; placed < 2; ++placed) {
      std::vector<PlacedGang> gangs;
      for (const auto& [completion, gang] : running) {
        gangs.push_back(gang);
      }
      const auto step = Step(jobs,
                             empty.WithGangs(std::move(gangs)),
                             "fair",
                             reservation,
                             milliseconds(tick));
      reservation = step.NextReservation();
      if (!step.Job()) {
        break;
      }
      const QueuedJob job = jobs[*step.Job()];
      jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(*step.Job()));
      if (job.Job() == JobId("large")) {
        started = tick;
      }
      running.emplace_back(tick + kRunTicks,
                           PlacedGang(job.Job(),
                                      job.Request().Organisation(),
                                      true,
                                      1.0,
                                      step.Decision().Placement()));
    }
  }
  CHECK(started.has_value());
  CHECK(*started <= 20 + kRunTicks);
}

// Guards against a reservation that delays a guaranteed shape (P1).
TEST(QueuePass, ReclaimMayUseTheReservation)
{
  const FleetSnapshot snapshot(Fleet(1, 1, 2, 8),
                               { Gang("x", "b", true, 1.0, { { 0, { 0 } } }) },
                               { Guarantee("a", kLarge) });
  const std::vector jobs{ Queued("large", "b", kLarge, milliseconds(1)),
                          Queued(
                            "owed", "a", kLarge, milliseconds(2), -1, false) };
  const Reservation reservation(
    JobId("large"), { VmId("w000"), VmId("w001") }, 8);
  const auto step = Step(jobs, snapshot, "fair", reservation);
  CHECK(step.Job() == std::optional<std::size_t>(1));
  CHECK(step.Decision().Kind() == PlacementKind::kReclaim);
}

// Guards against accelerators that stay reserved for a job that left the queue,
// or on a worker that was lost.
TEST(QueuePass, ReservationIsDroppedWithItsJobOrWorker)
{
  const FleetSnapshot snapshot(Fleet(1, 1, 2, 8), {}, {});
  const std::vector jobs{ Queued("small", "b", kSmall, milliseconds(2)) };
  const Reservation cancelled(
    JobId("large"), { VmId("w000"), VmId("w001") }, 8);
  CHECK(Step(jobs, snapshot, "fair", cancelled).Job().has_value());
  CHECK(!Step(jobs, snapshot, "fair", cancelled).NextReservation());
  const std::vector both{ Queued("large", "a", kLarge, milliseconds(1)),
                          Queued("small", "b", kSmall, milliseconds(2), 1) };
  const Reservation lost(JobId("large"), { VmId("w000"), VmId("w009") }, 8);
  CHECK(Step(both, snapshot, "fair", lost).Job() ==
        std::optional<std::size_t>(1));
}
