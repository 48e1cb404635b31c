#include "cornelrudder/coordination/PlacementTask.h"
#include "PlacementFakes.h"
#include "coordination/SystemConfig.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/StoreTask.h"
#include "cornelrudder/protocol/JsonRowCodec.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

#include <atomic>
#include <thread>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using namespace cornelrudder::state;
using std::chrono::milliseconds;
using tests::FakeTable;
using tests::FakeWorkers;

namespace {

/** Lease duration that no test outlasts. */
constexpr milliseconds kLongLease{ 3'600'000 };

SettingsSnapshot
Settings(std::optional<std::int64_t> aMaxAccelerators = std::nullopt,
         std::optional<std::int64_t> aMaxQueued = std::nullopt)
{
  const auto classOf = [](bool aIdempotent) {
    return SettingValues{ { "idempotent", aIdempotent },
                          { "max_wait_ms", std::int64_t{ 0 } },
                          { "timeout_ms", std::int64_t{ 500 } } };
  };
  SettingValues team;
  if (aMaxAccelerators) {
    team.emplace("max_accelerators", *aMaxAccelerators);
  }
  if (aMaxQueued) {
    team.emplace("max_queued_jobs", *aMaxQueued);
  }
  auto view =
    *SettingsSnapshot().WithDocument({ "organisations/acme", 1, {}, {} });
  view = *view.WithDocument({ "organisations/acme/teams/night", 1, team, {} });
  view = *view.WithDocument({ "classes/nest", 1, classOf(true), {} });
  SettingValues borrowed = classOf(true);
  borrowed.emplace("preemptible", true);
  view = *view.WithDocument({ "classes/borrowed", 1, borrowed, {} });
  return *view.WithDocument({ "classes/billed", 1, classOf(false), {} });
}

std::string
AddressOf(int aWorker)
{
  return "127.0.0.1:" + std::to_string(aWorker);
}

VmList
Workers(int aCount)
{
  std::vector<Vm> vms;
  const VmLocation location(RegionId("r"), ZoneId("z"), RackId("k"));
  for (int i = 1; i <= aCount; ++i) {
    vms.emplace_back(VmId("worker-" + std::to_string(i)),
                     VmRole::kWorker,
                     AddressOf(i),
                     location,
                     8,
                     VmState::kLive);
  }
  return VmList(std::move(vms));
}

/** One worker for each of these availability zones. */
VmList
WorkersInZones(const std::vector<std::string>& aZones)
{
  std::vector<Vm> vms;
  int number = 0;
  for (const std::string& zone : aZones) {
    ++number;
    vms.emplace_back(
      VmId("worker-" + std::to_string(number)),
      VmRole::kWorker,
      AddressOf(number),
      VmLocation(RegionId("r"), ZoneId(zone), RackId("k-" + zone)),
      8,
      VmState::kLive);
  }
  return VmList(std::move(vms));
}

SettingsSnapshot
WithEvacuated(SettingsSnapshot aSettings,
              const std::vector<std::string>& aZones)
{
  for (const std::string& zone : aZones) {
    aSettings = *aSettings.WithDocument(
      { "zones/" + zone, 1, { { "evacuated", true } }, {} });
  }
  return aSettings;
}

JobSpec
Spec(const std::string& aId,
     int aWorkers,
     const std::string& aKey = "",
     const std::string& aClass = "nest",
     std::chrono::seconds aExpected = std::chrono::seconds(0))
{
  return { JobId(aId),
           OrganisationId("acme"),
           TeamId("night"),
           ClassName(aClass),
           Shape(aWorkers, 8, Adjacency::kRack),
           aKey,
           aExpected };
}

/** A clock that a test can advance, which simulates a process pause. */
class ShiftedClock final : public Clock
{
public:
  milliseconds Now() const override
  {
    return mClock.Now() + milliseconds(mShift.load());
  }

  void Shift(milliseconds aBy) { mShift += aBy.count(); }

private:
  BootClock mClock;
  std::atomic<std::int64_t> mShift{ 0 };
};

/** First fit that preempts all preemptible gangs if no capacity is free. */
class ReclaimAllStrategy final : public PlacementStrategy
{
public:
  std::string_view Name() const override { return "reclaim_all"; }
  std::string_view Description() const override { return "for tests"; }

  PlacementDecision Place(const FleetSnapshot& aSnapshot,
                          const PlacementRequest& aRequest) const override
  {
    const auto& firstFit = *FindPlacementStrategy("first_fit");
    PlacementDecision decision = firstFit.Place(aSnapshot, aRequest);
    if (decision.Kind() != PlacementKind::kWait || aRequest.Preemptible()) {
      return decision;
    }
    std::vector<PlacedGang> kept;
    std::vector<JobId> victims;
    for (const PlacedGang& gang : aSnapshot.Gangs()) {
      if (gang.Preemptible()) {
        victims.push_back(gang.Job());
      } else {
        kept.push_back(gang);
      }
    }
    const auto reclaim =
      firstFit.Place({ aSnapshot.Workers(), kept, {} }, aRequest);
    if (reclaim.Kind() != PlacementKind::kPlaced) {
      return decision;
    }
    return { PlacementKind::kReclaim,
             reclaim.Placement(),
             victims,
             "the organisation's guaranteed shape is reclaimed" };
  }
};

} // namespace

TEST_GROUP(PlacementTask)
{
  tests::SilentLog mLog;
  FakeTable mTable;
  FakeWorkers mWorkers;
  ShiftedClock mClock;
  ReclaimAllStrategy mReclaimAll;
  const PlacementStrategy* mStrategy = nullptr;
  protocol::JsonRowCodec mCodec;
  tests::SystemConfig mConfig;
  std::unique_ptr<caf::actor_system> mSystem;
  std::unique_ptr<caf::scoped_actor> mSelf;
  std::vector<caf::actor> mTasks;
  int mTaskCount = 0;

  void setup() override
  {
    mSystem = std::make_unique<caf::actor_system>(mConfig);
    mSelf = std::make_unique<caf::scoped_actor>(*mSystem);
  }

  void teardown() override
  {
    for (const caf::actor& task : mTasks) {
      (*mSelf)->send_exit(task, caf::exit_reason::user_shutdown);
    }
    mTasks.clear();
    mSelf.reset();
    mSystem->await_all_actors_done();
    mSystem.reset();
  }

  /** Starts a placement task without the lease. */
  caf::actor StartTask(int aWorkers, const SettingsSnapshot& aSettings)
  {
    const caf::actor store = SpawnStoreTask(*mSystem, mTable, mLog);
    const std::string name = "entry-" + std::to_string(++mTaskCount);
    PlacementTaskOptions options{ VmId(name), RegionId("r") };
    options.mTiming = {
      milliseconds(600), milliseconds(50), milliseconds(100), milliseconds(100)
    };
    options.mTickInterval = milliseconds(10);
    options.mRowRetryDelay = milliseconds(10);
    options.mReplyTimeout = milliseconds(500);
    options.mRequeueBackoff = milliseconds(1);
    options.mStrategy = mStrategy;
    const caf::actor task =
      SpawnPlacementTask(*mSystem,
                         store,
                         { mWorkers, mCodec, mClock, mLog },
                         WriteIdGenerator(name),
                         options);
    (*mSelf)->send(task, aSettings);
    (*mSelf)->send(task, Workers(aWorkers));
    mTasks.push_back(store);
    mTasks.push_back(task);
    return task;
  }

  void GrantLease(const caf::actor& aTask,
                  std::uint64_t aEpoch,
                  milliseconds aDuration = kLongLease)
  {
    (*mSelf)->send(
      aTask,
      DomainOwner{ RegionId("r"),
                   {},
                   Lease(RegionId("r"), aEpoch, mClock.Now() + aDuration) });
  }

  JobReply Ask(const caf::actor& aTask, const JobCommand& aCommand)
  {
    JobReply reply(FailureReason::kNoOwner, WasRun::kUnknown, "no reply", {});
    (*mSelf)
      ->request(aTask, caf::infinite, aCommand)
      .receive([&reply](const JobReply& aReply) { reply = aReply; },
               [](const caf::error&) { FAIL("the task failed"); });
    return reply;
  }

  /** Fails the test if a condition does not hold within a minute. */
  template<typename Condition>
  void WaitUntil(Condition aCondition)
  {
    for (int i = 0; i < 6'000; ++i) {
      if (aCondition()) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    FAIL("condition not met before the deadline");
  }

  /** Waits until the task has read the jobs of its domain. */
  void WaitForRecovery(const caf::actor& aTask)
  {
    WaitUntil([&] {
      return Ask(aTask, JobCommand::List()).Reason() == FailureReason::kNone;
    });
  }

  caf::actor StartOwner(int aWorkers,
                        const SettingsSnapshot& aSettings = Settings())
  {
    const caf::actor task = StartTask(aWorkers, aSettings);
    GrantLease(task, static_cast<std::uint64_t>(mTaskCount));
    WaitForRecovery(task);
    return task;
  }

  Job WaitForFinalState(const caf::actor& aTask, const std::string& aJob)
  {
    std::optional<Job> job;
    WaitUntil([&] {
      const auto reply = Ask(aTask, JobCommand::Get(JobId(aJob)));
      if (reply.Jobs().empty() || !IsFinal(reply.Jobs().front().State())) {
        return false;
      }
      job = reply.Jobs().front();
      return true;
    });
    return *job;
  }

  Job StoredJob(const std::string& aJob)
  {
    for (const StoreRow& row : mTable.Rows()) {
      if (row.Key() == "job/r/" + aJob) {
        return mCodec.DecodeJob(row.Value());
      }
    }
    FAIL("the job is not in the table");
    return Job::Queued(Spec(aJob, 1));
  }

  /** @return Number of the job's first worker. */
  int WorkerOf(const std::string& aJob)
  {
    const std::string name =
      StoredJob(aJob).Placement().Members().front().Worker().Text();
    return std::stoi(name.substr(name.find('-') + 1));
  }

  /** @return How often a member of the job was started on a worker. */
  int CountStartsOn(int aWorker, const std::string& aJob)
  {
    int n = 0;
    mWorkers.UseModel(AddressOf(aWorker), [&](const auto& aModel) {
      for (const auto& entry : aModel.Journal()) {
        n += entry.mEvent == "start" && entry.mGang.Text() == aJob ? 1 : 0;
      }
    });
    return n;
  }

  /** Waits until a planning pass has looked at a queued job. */
  std::string WaitForExplanation(const caf::actor& aTask,
                                 const std::string& aJob)
  {
    std::string text;
    WaitUntil([&] {
      text = Ask(aTask, JobCommand::Explain(JobId(aJob))).Detail();
      return text != "not looked at yet";
    });
    return text;
  }

  int CountEvents(const std::string& aEvent)
  {
    int n = 0;
    for (const auto& entry : mWorkers.Journal()) {
      n += entry.mEvent == aEvent ? 1 : 0;
    }
    return n;
  }
};

// Guards against accepting a job that is not stored in the table, and against
// a job that succeeds although not all members ran.
TEST(PlacementTask, AcceptedJobIsStoredAndAllMembersRun)
{
  const caf::actor owner = StartOwner(4);
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-1", 3)));
  CHECK(reply.Reason() == FailureReason::kNone);
  STRCMP_EQUAL("job-1", StoredJob("job-1").Spec().Name().Text().c_str());
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kSucceeded);
  CHECK(StoredJob("job-1").State() == JobState::kSucceeded);
  LONGS_EQUAL(3, CountEvents("commit"));
  LONGS_EQUAL(3, CountEvents("start"));
  LONGS_EQUAL(3, CountEvents("finish"));
}

// Guards against a daemon that accepts jobs without the region's lease.
TEST(PlacementTask, SubmissionWithoutLeaseIsRejectedAsNotRun)
{
  const caf::actor task = StartTask(2, Settings());
  const auto reply = Ask(task, JobCommand::Submit(Spec("job-1", 1)));
  CHECK(reply.Reason() == FailureReason::kNoOwner);
  CHECK(reply.HasRun() == WasRun::kNo);
  CHECK(mTable.Rows().empty());
}

// Guards against accepting jobs that can never run or are not allowed to.
TEST(PlacementTask, InvalidSubmissionIsRejected)
{
  const caf::actor owner = StartOwner(2, Settings(16, 1));
  const auto reasonOf = [&](const JobSpec& aSpec) {
    const auto reply = Ask(owner, JobCommand::Submit(aSpec));
    CHECK(reply.HasRun() == WasRun::kNo);
    return reply.Reason();
  };
  CHECK(reasonOf(Spec("job-1", 3)) == FailureReason::kNeverFits);
  CHECK(reasonOf(Spec("job-2", 1, "", "nothing")) ==
        FailureReason::kUnknownClass);
  CHECK(reasonOf(Spec("job-3", 1, "", "billed")) ==
        FailureReason::kKeyRequired);
  const JobSpec unknownTeam(JobId("job-4"),
                            OrganisationId("acme"),
                            TeamId("day"),
                            ClassName("nest"),
                            Shape(1, 1, Adjacency::kWorker),
                            "",
                            std::chrono::seconds(0));
  CHECK(reasonOf(unknownTeam) == FailureReason::kUnknownOrganisation);
  CHECK(mTable.Rows().empty());
}

// Guards against a team that exceeds its quota of queued jobs or accelerators.
TEST(PlacementTask, TeamQuotasAreEnforced)
{
  const caf::actor owner = StartOwner(4, Settings(8, 1));
  const auto submit = [&](const std::string& aId, int aCount) {
    return Ask(owner,
               JobCommand::Submit(
                 Spec(aId, aCount, "", "nest", std::chrono::hours(1))))
      .Reason();
  };
  CHECK(submit("job-1", 2) == FailureReason::kQuotaExceeded);
  CHECK(submit("job-2", 1) == FailureReason::kNone);
  WaitUntil([&] { return CountEvents("start") == 1; });
  CHECK(submit("job-3", 1) == FailureReason::kNone);
  CHECK(submit("job-4", 1) == FailureReason::kQuotaExceeded);
  const auto explain = [&] {
    return Ask(owner, JobCommand::Explain(JobId("job-3"))).Detail();
  };
  // The job is explained by the first planning pass after its submission.
  WaitUntil([&] { return explain() != "not looked at yet"; });
  STRCMP_CONTAINS("the team holds 8 of its 8", explain().c_str());
}

// Guards against running a job twice when its caller repeats the submission.
TEST(PlacementTask, RepeatedKeyReturnsTheSameJob)
{
  const caf::actor owner = StartOwner(2);
  Ask(owner, JobCommand::Submit(Spec("job-1", 1, "k")));
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-2", 1, "k")));
  STRCMP_EQUAL("job-1", reply.Jobs().at(0).Spec().Name().Text().c_str());
  const auto other = Ask(owner, JobCommand::Submit(Spec("job-3", 2, "k")));
  CHECK(other.Reason() == FailureReason::kKeyReused);
  WaitForFinalState(owner, "job-1");
  const auto late = Ask(owner, JobCommand::Submit(Spec("job-4", 1, "k")));
  STRCMP_EQUAL("job-1", late.Jobs().at(0).Spec().Name().Text().c_str());
  LONGS_EQUAL(1, CountEvents("start"));
}

// Guards against reporting an unknown outcome for a job that was definitely
// not stored.
TEST(PlacementTask, UnavailableStoreIsReportedAsNotRun)
{
  const caf::actor owner = StartOwner(2);
  mTable.SetMode(tests::TableMode::kUnavailable);
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-1", 1)));
  CHECK(reply.Reason() == FailureReason::kStoreUnavailable);
  CHECK(reply.HasRun() == WasRun::kNo);
}

// Guards against reporting "not run" for a job that may be stored. The write
// must be sent, so the store task's circuit breaker must be closed.
TEST(PlacementTask, UnknownWriteIsReportedAsUnknown)
{
  const caf::actor owner = StartOwner(2);
  mTable.SetMode(tests::TableMode::kSilent);
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-2", 1)));
  CHECK(reply.Reason() == FailureReason::kStoreUnavailable);
  CHECK(reply.HasRun() == WasRun::kUnknown);
  mTable.SetMode(tests::TableMode::kNormal);
  CHECK(WaitForFinalState(owner, "job-2").State() == JobState::kSucceeded);
}

// Guards against repeating a step whose write response was lost.
TEST(PlacementTask, LostWriteResponsesAreResolvedByReading)
{
  const caf::actor owner = StartOwner(2);
  mTable.SetMode(tests::TableMode::kLoseResponses);
  CHECK(Ask(owner, JobCommand::Submit(Spec("job-1", 2))).Reason() ==
        FailureReason::kNone);
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kSucceeded);
  CHECK(StoredJob("job-1").Attempt() == 1);
  LONGS_EQUAL(2, CountEvents("start"));
}

// Guards against losing running gangs during a store outage, and against any
// action other than renewing worker leases after the domain lease is lost.
TEST(PlacementTask, WorkerLeasesAreRenewedWithoutStoreOrDomainLease)
{
  const caf::actor owner = StartOwner(2);
  Ask(
    owner,
    JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::seconds(2))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  mTable.SetMode(tests::TableMode::kSilent);
  GrantLease(owner, 0, milliseconds(0));
  const int before = mWorkers.CommandCount(WorkerAction::kRenew);
  WaitUntil([&] { return CountEvents("finish") == 2; });
  CHECK(mWorkers.CommandCount(WorkerAction::kRenew) > before);
  LONGS_EQUAL(0, mWorkers.CommandCount(WorkerAction::kStop));
  CHECK(StoredJob("job-1").State() == JobState::kCommitted);
  mTable.SetMode(tests::TableMode::kNormal);
  GrantLease(owner, 2);
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kSucceeded);
  LONGS_EQUAL(2, CountEvents("start"));
}

// Guards against a failover that loses a running gang or starts it again.
TEST(PlacementTask, NewOwnerContinuesRunningGang)
{
  const caf::actor first = StartOwner(2);
  Ask(first,
      JobCommand::Submit(
        Spec("job-1", 2, "k", "billed", std::chrono::seconds(1))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  (*mSelf)->send_exit(first, caf::exit_reason::kill);
  const caf::actor second = StartOwner(2);
  const Job job = WaitForFinalState(second, "job-1");
  CHECK(job.State() == JobState::kSucceeded);
  LONGS_EQUAL(1, job.Attempt());
  LONGS_EQUAL(2, CountEvents("start"));
}

// Guards against two active owners: workers must reject the first one.
TEST(PlacementTask, FormerOwnerIsFenced)
{
  const caf::actor first = StartOwner(2);
  Ask(
    first,
    JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::seconds(1))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  const caf::actor second = StartOwner(2);
  CHECK(WaitForFinalState(second, "job-1").State() == JobState::kSucceeded);
  LONGS_EQUAL(2, CountEvents("start"));
  LONGS_EQUAL(0, CountEvents("stop"));
  CHECK(StoredJob("job-1").State() == JobState::kSucceeded);
}

// Guards against retrying a non-idempotent job after a failure.
TEST(PlacementTask, NonIdempotentJobFailsWithUnknownOutcome)
{
  const caf::actor owner = StartOwner(2);
  Ask(
    owner,
    JobCommand::Submit(Spec("job-1", 2, "k", "billed", std::chrono::hours(1))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  mWorkers.SetUnreachable(AddressOf(1), true);
  const Job job = WaitForFinalState(owner, "job-1");
  CHECK(job.State() == JobState::kFailed);
  CHECK(job.HasRun() != WasRun::kNo);
  LONGS_EQUAL(2, CountEvents("start"));
  WaitUntil([&] { return CountEvents("stop") + CountEvents("expire") == 2; });
}

// Guards against an idempotent job that is not retried when a member is lost.
TEST(PlacementTask, IdempotentJobIsRetriedOnOtherWorkers)
{
  const caf::actor owner = StartOwner(3);
  Ask(
    owner,
    JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::seconds(2))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  mWorkers.SetUnreachable(AddressOf(1), true);
  const Job job = WaitForFinalState(owner, "job-1");
  CHECK(job.State() == JobState::kSucceeded);
  CHECK(job.Attempt() > 1);
}

// Guards against a cancelled job that keeps running.
TEST(PlacementTask, CancelStopsAllMembers)
{
  const caf::actor owner = StartOwner(2);
  Ask(owner,
      JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::hours(1))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  const auto reply = Ask(owner, JobCommand::Cancel(JobId("job-1")));
  CHECK(reply.Reason() == FailureReason::kNone);
  CHECK(StoredJob("job-1").Reason() == FailureReason::kCancelled);
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kCancelled);
  LONGS_EQUAL(2, CountEvents("stop"));
}

// Guards against retrying a faulty job without limit.
TEST(PlacementTask, JobThatFailsOnThreeWorkersIsRefused)
{
  for (int i = 1; i <= 4; ++i) {
    mWorkers.UseModel(AddressOf(i),
                      [](auto& aModel) { aModel.SetFailAll(true); });
  }
  const caf::actor owner = StartOwner(4);
  Ask(owner, JobCommand::Submit(Spec("job-1", 1)));
  const Job job = WaitForFinalState(owner, "job-1");
  CHECK(job.State() == JobState::kRefused);
  CHECK(job.Reason() == FailureReason::kJobFails);
  CHECK(job.HasRun() == WasRun::kYes);
  LONGS_EQUAL(3, CountEvents("start"));
}

// Guards against placing more jobs on a worker that fails every job.
TEST(PlacementTask, FailingWorkerGetsNoMoreJobs)
{
  mWorkers.UseModel(AddressOf(1),
                    [](auto& aModel) { aModel.SetFailAll(true); });
  const caf::actor owner = StartOwner(3);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "job-" + std::to_string(i);
    Ask(owner, JobCommand::Submit(Spec(id, 1)));
    CHECK(WaitForFinalState(owner, id).State() == JobState::kSucceeded);
  }
  LONGS_EQUAL(3, CountEvents("fail"));
}

// Guards against an owner that acts after a process pause longer than its
// lease.
TEST(PlacementTask, OwnerPausedPastItsLeaseDoesNotAct)
{
  const caf::actor owner = StartOwner(2);
  Ask(owner,
      JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::hours(1))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  mClock.Shift(2 * kLongLease);
  CHECK(Ask(owner, JobCommand::Submit(Spec("job-2", 1))).Reason() ==
        FailureReason::kNoOwner);
  CHECK(Ask(owner, JobCommand::Cancel(JobId("job-1"))).Reason() ==
        FailureReason::kNoOwner);
  const int before = mWorkers.CommandCount(WorkerAction::kRenew);
  WaitUntil(
    [&] { return mWorkers.CommandCount(WorkerAction::kRenew) > before + 4; });
  LONGS_EQUAL(0, mWorkers.CommandCount(WorkerAction::kStop));
  LONGS_EQUAL(1, mTable.Rows().size());
  CHECK(StoredJob("job-1").State() == JobState::kCommitted);
}

// Guards against placing a job on reclaimed accelerators that are still in use,
// and against losing the preempted job.
TEST(PlacementTask, ReclaimStopsTheVictimFirstAndRequeuesIt)
{
  mStrategy = &mReclaimAll;
  const caf::actor owner = StartOwner(2);
  Ask(owner,
      JobCommand::Submit(
        Spec("job-1", 2, "", "borrowed", std::chrono::hours(1))));
  WaitUntil([&] { return CountEvents("start") == 2; });
  Ask(owner, JobCommand::Submit(Spec("job-2", 2)));
  CHECK(WaitForFinalState(owner, "job-2").State() == JobState::kSucceeded);
  LONGS_EQUAL(2, CountEvents("checkpoint"));
  LONGS_EQUAL(2, CountEvents("stop"));
  WaitUntil([&] { return CountEvents("start") == 6; });
  LONGS_EQUAL(2, StoredJob("job-1").Attempt());
}

// Guards against placing jobs on a worker that reports leaving while the VM
// list still has it as live.
TEST(PlacementTask, LeavingWorkerGetsNoNewWork)
{
  mWorkers.UseModel(AddressOf(1),
                    [](auto& aModel) { aModel.SetLeaving(true); });
  const caf::actor owner = StartOwner(2);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "job-" + std::to_string(i);
    Ask(owner, JobCommand::Submit(Spec(id, 1)));
    CHECK(WaitForFinalState(owner, id).State() == JobState::kSucceeded);
  }
  // Only the first job was offered to the leaving worker.
  LONGS_EQUAL(4, mWorkers.CommandCount(WorkerAction::kReserve));
  LONGS_EQUAL(3, CountEvents("start"));
}

// Guards against new gangs in an evacuated zone, against stopping those that
// run there, and against workers that stay unused after the zone's return.
TEST(PlacementTask, EvacuatedZoneKeepsItsGangsAndGetsNoNew)
{
  const std::vector<std::string> zones{ "za", "zb" };
  const caf::actor owner = StartOwner(0);
  (*mSelf)->send(owner, WorkersInZones(zones));
  const auto submit = [&](const std::string& aJob) {
    const auto reply =
      Ask(owner,
          JobCommand::Submit(Spec(aJob, 1, "", "nest", std::chrono::hours(1))));
    CHECK(reply.Reason() == FailureReason::kNone);
  };
  submit("job-1");
  WaitUntil([&] { return CountEvents("start") == 1; });
  const int first = WorkerOf("job-1");
  const std::string& zone = zones.at(static_cast<std::size_t>(first - 1));

  (*mSelf)->send(owner, WithEvacuated(Settings(), { zone }));
  submit("job-2");
  WaitUntil([&] { return CountEvents("start") == 2; });
  CHECK(WorkerOf("job-2") != first);
  LONGS_EQUAL(0, CountEvents("stop"));
  Ask(owner, JobCommand::Cancel(JobId("job-1")));
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kCancelled);
  submit("job-3");
  STRCMP_CONTAINS(("not counted: 1 workers of evacuated zones " + zone).c_str(),
                  WaitForExplanation(owner, "job-3").c_str());
  LONGS_EQUAL(2, CountEvents("reserve"));

  (*mSelf)->send(owner, Settings());
  WaitUntil([&] { return CountEvents("start") == 3; });
  LONGS_EQUAL(first, WorkerOf("job-3"));
}

// Guards against a job that is refused for good because of an evacuation, which
// may end at any time.
TEST(PlacementTask, JobsWaitWhileAllZonesAreEvacuated)
{
  const caf::actor owner =
    StartOwner(0, WithEvacuated(Settings(), { "za", "zb" }));
  (*mSelf)->send(owner, WorkersInZones({ "za", "za", "zb" }));
  CHECK(Ask(owner, JobCommand::Submit(Spec("job-1", 2))).Reason() ==
        FailureReason::kNone);
  CHECK(Ask(owner, JobCommand::Submit(Spec("job-2", 3))).Reason() ==
        FailureReason::kNeverFits);
  STRCMP_CONTAINS("not counted: 3 workers of evacuated zones za zb",
                  WaitForExplanation(owner, "job-1").c_str());
  LONGS_EQUAL(0, mWorkers.CommandCount(WorkerAction::kReserve));
  (*mSelf)->send(owner, WithEvacuated(Settings(), { "zb" }));
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kSucceeded);
}

// Guards against a guaranteed shape that counts on an evacuated zone.
TEST(PlacementTask, GuaranteesHoldOnTheRemainingZones)
{
  SettingsSnapshot settings = *Settings().WithDocument(
    { "organisations/acme/shapes/one",
      1,
      { { "region", "r" },
        { "workers", std::int64_t{ 1 } },
        { "accelerators_per_worker", std::int64_t{ 8 } },
        { "adjacency", "rack" } },
      {} });
  settings = *settings.WithDocument({ "organisations/bolt", 1, {}, {} });
  settings =
    *settings.WithDocument({ "organisations/bolt/teams/night", 1, {}, {} });
  const caf::actor owner = StartOwner(0, WithEvacuated(settings, { "za" }));
  (*mSelf)->send(owner, WorkersInZones({ "za", "zb" }));
  const JobSpec spec(JobId("job-1"),
                     OrganisationId("bolt"),
                     TeamId("night"),
                     ClassName("nest"),
                     Shape(1, 8, Adjacency::kRack),
                     "",
                     std::chrono::seconds(0));
  CHECK(Ask(owner, JobCommand::Submit(spec)).Reason() == FailureReason::kNone);
  STRCMP_CONTAINS("guaranteed shape of organisation acme",
                  WaitForExplanation(owner, "job-1").c_str());
  (*mSelf)->send(owner, settings);
  CHECK(WaitForFinalState(owner, "job-1").State() == JobState::kSucceeded);
}

// Guards against starting a gang whose zone was evacuated after its placement,
// at each write between the two.
TEST(PlacementTask, GangOfEvacuatedZoneIsWithdrawnBeforeItsStart)
{
  for (const JobState state : { JobState::kPlaced, JobState::kCommitted }) {
    const std::vector<std::string> zones{ "za", "zb" };
    const std::string job = "job-" + std::string(JobStateName(state));
    const caf::actor owner = StartOwner(0);
    (*mSelf)->send(owner, WorkersInZones(zones));
    std::atomic<int> evacuated{ 0 };
    mTable.SetBeforeWrite([&](const Transaction& aTransaction) {
      const Job row = mCodec.DecodeJob(*aTransaction.Writes().front().Value());
      if (evacuated != 0 || row.State() != state) {
        return;
      }
      const std::string worker =
        row.Placement().Members().front().Worker().Text();
      evacuated = std::stoi(worker.substr(worker.find('-') + 1));
      const auto i = static_cast<std::size_t>(evacuated - 1);
      caf::anon_send(owner, WithEvacuated(Settings(), { zones.at(i) }));
    });
    CHECK(Ask(owner, JobCommand::Submit(Spec(job, 1))).Reason() ==
          FailureReason::kNone);
    CHECK(WaitForFinalState(owner, job).State() == JobState::kSucceeded);
    mTable.SetBeforeWrite(nullptr);
    CHECK(evacuated != 0);
    LONGS_EQUAL(0, CountStartsOn(evacuated, job));
    LONGS_EQUAL(1, CountStartsOn(3 - evacuated, job));
  }
}
