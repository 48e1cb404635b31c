#include "cornelrudder/state/scheduling/JobMemory.h"
#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

#include <malloc.h>

using namespace cornelrudder::state::scheduling;
using cornelrudder::tests::FleetModel;
using cornelrudder::tests::FleetModelOptions;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMebibyte = 1'048'576;
constexpr std::uint64_t kLimit = 64 * kMebibyte;
/** A report that contains every job stored so far. */
constexpr std::uint64_t kLatest = 1'000;
/** Waiting units of a planning pass beyond which steps share it. */
constexpr std::uint64_t kMaxUnits = 16'384;

/** @return A job of one step of equal tasks. */
TaskJob
WideJob(const std::string& aId,
        std::size_t aTasks,
        const Resources& aDemand = Resources(1'000, 1'000, 1),
        int aPriority = 1,
        const std::string& aLabel = "")
{
  StepSpecValues step;
  step.mTasks = aTasks;
  step.mDemand = aDemand;
  step.mEstimatedRunTime = milliseconds(2'000);
  step.mRequiredLabel = aLabel;
  QueueSettings settings;
  settings.mQueue = "q";
  settings.mService = "s";
  settings.mPriority = aPriority;
  return { aId, "acme", settings, "", { StepSpec(step, 0) }, {}, {} };
}

JobAdmission
AdmissionWith(std::uint64_t aBytes, const std::string& aOrganisation)
{
  JobMemory report;
  report.mBytes = aBytes;
  report.mByOrganisation = { { aOrganisation, aBytes } };
  report.mJobsVersion = 1;
  return JobAdmission(kLimit).WithReport(report);
}

/** @return Memory that the process has allocated, mapped blocks included. */
std::size_t
AllocatedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void
CheckVerdict(AdmissionVerdict aExpected, AdmissionVerdict aFound)
{
  CHECK_EQUAL(static_cast<int>(aExpected), static_cast<int>(aFound));
}

} // namespace

TEST_GROUP(JobMemory){};

// Guards against an estimate below the memory that an owner takes for a job.
TEST(JobMemory, EstimateCoversTheStateOfAJob)
{
  constexpr std::size_t kTasks = 10'000;
  Scheduler scheduler{ SchedulerOptions() };
  const std::size_t before = AllocatedBytes();
  const TaskJob job = WideJob("00000000000000a1", kTasks);
  scheduler.AddJob(job, milliseconds(0), nullptr, milliseconds(1));
  scheduler.Plan(milliseconds(2), milliseconds(2));
  CHECK(AllocatedBytes() - before <= JobBytes(job));
}

// Guards against jobs that together exceed the memory of every owner in turn.
TEST(JobMemory, AllJobsTogetherStayWithinTheLimit)
{
  JobAdmission admission = AdmissionWith(0, "");
  const std::uint64_t bytes = JobBytes(WideJob("j", 10'000));
  std::uint64_t version = 1;
  JobMemory report;
  for (int i = 0; i < 100; ++i) {
    const std::string organisation = "o" + std::to_string(i % 10);
    if (admission.Judge(organisation, bytes) != AdmissionVerdict::kAccepted) {
      continue;
    }
    admission =
      admission.WithAccepted(1, organisation, bytes).WithStored(1, ++version);
    report.mBytes += bytes;
    report.mByOrganisation[organisation] += bytes;
    report.mJobsVersion = version;
    admission = admission.WithReport(report);
  }
  CHECK(admission.Used() <= kLimit);
  CHECK(admission.Used() > kLimit / 4);
}

// Guards against one client's large jobs that refuse the small jobs of all
// other organisations.
TEST(JobMemory, LargeJobsOfAnOrganisationLeaveRoomForOthers)
{
  const JobAdmission admission = AdmissionWith(kLimit / 3 * 2, "large");
  CheckVerdict(AdmissionVerdict::kShareUsed,
               admission.Judge("large", kMebibyte));
  CheckVerdict(AdmissionVerdict::kAccepted,
               admission.Judge("small", kMebibyte));
}

// Guards against large jobs of a client that refuse the small ones of others of
// the same organisation until they have ended.
TEST(JobMemory, LargeJobsLeaveRoomForSmallOnes)
{
  const std::uint64_t large = JobBytes(WideJob("j", 10'000));
  std::uint64_t held = 0;
  while (held < kLimit && AdmissionWith(held, "o").Judge("o", large) ==
                            AdmissionVerdict::kAccepted) {
    held += large;
  }
  CHECK(held >= large);
  constexpr std::uint64_t kSmallTasks = 72;
  constexpr int kSmallJobs = 100;
  const std::uint64_t small = JobBytes(WideJob("j", kSmallTasks));
  for (int i = 0; i < kSmallJobs; ++i) {
    CheckVerdict(AdmissionVerdict::kAccepted,
                 AdmissionWith(held, "o").Judge("o", small));
    held += small;
  }
}

// Guards against a limit below the largest job that a submission may have.
TEST(JobMemory, LargestJobIsAcceptedAlone)
{
  CheckVerdict(AdmissionVerdict::kAccepted,
               AdmissionWith(0, "").Judge("o", TaskJob::kMaxTasks * 1'100));
}

// Guards against daemons that each fill the limit before the owner has read
// the jobs that they accepted.
TEST(JobMemory, DaemonAcceptsAPartOfTheLimitBeyondTheReport)
{
  JobAdmission admission = AdmissionWith(0, "");
  admission =
    admission.WithAccepted(1, "other", 10 * kMebibyte).WithStored(1, kLatest);
  CheckVerdict(AdmissionVerdict::kUnconfirmed,
               admission.Judge("large", 10 * kMebibyte));
  JobMemory report;
  report.mJobsVersion = kLatest;
  CheckVerdict(AdmissionVerdict::kAccepted,
               admission.WithReport(report).Judge("large", 10 * kMebibyte));
}

// Guards against a job that is counted twice, or never given back after its
// write failed.
TEST(JobMemory, JobIsCountedOnce)
{
  const JobAdmission idle = AdmissionWith(kMebibyte, "o");
  const JobAdmission writing = idle.WithAccepted(1, "o", kMebibyte);
  CHECK_EQUAL(2 * kMebibyte, writing.Used());
  CHECK_EQUAL(kMebibyte, writing.WithEnded(1).Used());
  const JobAdmission stored = writing.WithStored(1, kLatest).WithEnded(1);
  CHECK_EQUAL(2 * kMebibyte, stored.Used());
  JobMemory report;
  report.mBytes = 2 * kMebibyte;
  report.mJobsVersion = kLatest;
  CHECK_EQUAL(2 * kMebibyte, stored.WithReport(report).Used());
}

// Guards against refusing all jobs while the owner is of an earlier version.
TEST(JobMemory, OwnerWithoutReportsLimitsNothing)
{
  const JobAdmission admission = JobAdmission(kLimit)
                                   .WithAccepted(1, "o", kLimit)
                                   .WithStored(1, kLatest)
                                   .WithReport(std::nullopt);
  CheckVerdict(AdmissionVerdict::kAccepted, admission.Judge("o", kLimit / 2));
}

// Guards against a read of the report for every submission, and against a
// refusal by an outdated report.
TEST(JobMemory, ReportIsReadAgainAfterManyJobsOrBeforeARefusal)
{
  CHECK(!AdmissionWith(0, "").NeedsReport("o", kMebibyte / 2));
  CHECK(AdmissionWith(0, "")
          .WithAccepted(1, "o", kMebibyte)
          .NeedsReport("o", kMebibyte / 2));
  CHECK(AdmissionWith(kLimit, "o").NeedsReport("o", 1));
}

// Guards against stored jobs that end each owner that loads them.
TEST(JobMemory, StoredJobsBeyondTheLimitAreHeldBack)
{
  FleetModelOptions options;
  const std::uint64_t bytes = JobBytes(WideJob("j", 100));
  options.mMaxJobBytes = 3 * bytes;
  FleetModel model(options);
  for (int i = 0; i < 8; ++i) {
    model.Submit(WideJob("j" + std::to_string(i), 100), milliseconds(500));
  }
  model.Run(milliseconds(1'000));
  model.ReplaceOwner();
  model.Run(milliseconds(500));
  CHECK(model.Gauge("scheduler_job_bytes") <= options.mMaxJobBytes);
  CHECK(model.Gauge("scheduler_jobs_deferred") > 0);
  model.Run(milliseconds(120'000));
  for (int i = 0; i < 8; ++i) {
    CHECK(model.OutcomeOf("j" + std::to_string(i)).mPhase == JobPhase::kDone);
  }
  CHECK(model.Violations().empty());
}

// Guards against a job that is held back and can't be cancelled.
TEST(JobMemory, HeldBackJobIsCancelled)
{
  FleetModelOptions options;
  options.mMaxJobBytes = JobBytes(WideJob("j", 100));
  FleetModel model(options);
  model.Submit(WideJob("j1", 100), milliseconds(5'000));
  model.Submit(WideJob("j2", 100), milliseconds(5'000));
  model.Run(milliseconds(500));
  CHECK_EQUAL(1, model.Gauge("scheduler_jobs_deferred"));
  model.Cancel("j2");
  model.Run(milliseconds(500));
  CHECK(model.OutcomeOf("j2").mPhase == JobPhase::kCancelled);
}

TEST_GROUP(UnitLimits){};

// Guards against planning passes whose memory grows with the waiting tasks of
// all jobs.
TEST(UnitLimits, PassIsBoundedByTheSlotsOfTheWorkers)
{
  constexpr std::size_t kJobs = 24;
  constexpr std::size_t kTasks = 10'000;
  FleetModelOptions options;
  FleetModel model(options);
  for (std::size_t i = 0; i < kJobs; ++i) {
    model.Submit(WideJob("j" + std::to_string(i), kTasks), milliseconds(9'500));
  }
  model.Run(milliseconds(100));
  CHECK(model.Gauge("scheduler_planned_units") <= kJobs * 64);
  // All accelerators are in use.
  CHECK_EQUAL(32, model.Gauge("scheduler_tasks_assigned"));
}

// Guards against the same with tasks so small that each worker has room for
// thousands, and against steps that get no unit then.
TEST(UnitLimits, ManySmallTasksShareThePass)
{
  FleetModelOptions options;
  FleetModel model(options);
  // No worker has the label, so that all tasks stay in the passes.
  for (std::size_t i = 0; i < 2; ++i) {
    model.Submit(
      WideJob("j" + std::to_string(i), 10'000, Resources(1, 1, 0), 0, "absent"),
      milliseconds(9'500));
  }
  model.Submit(WideJob("small", 1), milliseconds(500));
  model.Run(milliseconds(100));
  CHECK(model.Gauge("scheduler_planned_units") <= kMaxUnits);
  CHECK(model.Gauge("scheduler_planned_units") > kMaxUnits / 2);
  model.Run(milliseconds(2'000));
  CHECK(model.OutcomeOf("small").mPhase == JobPhase::kDone);
}

// Guards against an urgent task that waits behind the units of a wide step.
TEST(UnitLimits, UrgentTaskStartsBesideWideSteps)
{
  FleetModelOptions options;
  FleetModel model(options);
  model.Submit(WideJob("wide", 10'000), milliseconds(2'000));
  model.Run(milliseconds(500));
  model.Submit(WideJob("urgent", 1, Resources(1'000, 1'000, 1), 0),
               milliseconds(500));
  model.Run(milliseconds(5'000));
  CHECK(model.OutcomeOf("urgent").mPhase == JobPhase::kDone);
}
