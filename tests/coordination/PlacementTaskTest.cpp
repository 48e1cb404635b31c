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

/** Far longer than any test needs. */
constexpr milliseconds kForever{ 3'600'000 };

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
  const VmLocation place(RegionId("r"), ZoneId("z"), RackId("k"));
  for (int i = 1; i <= aCount; ++i) {
    vms.emplace_back(VmId("worker-" + std::to_string(i)),
                     VmRole::kWorker,
                     AddressOf(i),
                     place,
                     8,
                     VmState::kLive);
  }
  return VmList(std::move(vms));
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

/** A clock that a test moves forward, as a pause of the process does. */
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

/** First fit that takes the place of all preemptible gangs if none is free. */
class ReclaimAll final : public PlacementStrategy
{
public:
  std::string_view Name() const override { return "reclaim_all"; }
  std::string_view Description() const override { return "for tests"; }

  PlacementDecision Place(const FleetSnapshot& aLoad,
                          const PlacementRequest& aRequest) const override
  {
    const auto& firstFit = *FindPlacementStrategy("first_fit");
    PlacementDecision decision = firstFit.Place(aLoad, aRequest);
    if (decision.Kind() != PlacementKind::kWait || aRequest.Preemptible()) {
      return decision;
    }
    std::vector<PlacedGang> kept;
    std::vector<JobId> victims;
    for (const PlacedGang& gang : aLoad.Gangs()) {
      if (gang.Preemptible()) {
        victims.push_back(gang.Job());
      } else {
        kept.push_back(gang);
      }
    }
    const auto place = firstFit.Place({ aLoad.Workers(), kept, {} }, aRequest);
    if (place.Kind() != PlacementKind::kPlaced) {
      return decision;
    }
    return { PlacementKind::kReclaim,
             place.Placement(),
             victims,
             "the organisation is owed its shape" };
  }
};

} // namespace

TEST_GROUP(PlacementTask)
{
  tests::SilentLog mLog;
  FakeTable mTable;
  FakeWorkers mWorkers;
  ShiftedClock mClock;
  ReclaimAll mReclaimAll;
  const PlacementStrategy* mStrategy = nullptr;
  protocol::JsonRowCodec mCodec;
  tests::SystemConfig mConfig;
  std::unique_ptr<caf::actor_system> mSystem;
  std::unique_ptr<caf::scoped_actor> mSelf;
  std::vector<caf::actor> mTasks;
  int mOwners = 0;

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

  /** Starts a task without the lease. */
  caf::actor SpawnOwner(int aWorkers, const SettingsSnapshot& aSettings)
  {
    const caf::actor store = SpawnStoreTask(*mSystem, mTable, mLog);
    const std::string name = "entry-" + std::to_string(++mOwners);
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

  void Own(
    const caf::actor& aTask, std::uint64_t aEpoch, milliseconds aFor = kForever)
  {
    (*mSelf)->send(
      aTask,
      DomainOwner{
        RegionId("r"), {}, Lease(RegionId("r"), aEpoch, mClock.Now() + aFor) });
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

  /** Waits until a condition holds, under a generous deadline. */
  template<typename Condition>
  void WaitUntil(Condition aCondition)
  {
    for (int i = 0; i < 6'000; ++i) {
      if (aCondition()) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    FAIL("a condition did not come true");
  }

  /** Waits until the task has read the jobs of its domain. */
  void WaitForOwner(const caf::actor& aTask)
  {
    WaitUntil([&] {
      return Ask(aTask, JobCommand::List()).Reason() == FailureReason::kNone;
    });
  }

  caf::actor Owner(int aWorkers, const SettingsSnapshot& aSettings = Settings())
  {
    const caf::actor task = SpawnOwner(aWorkers, aSettings);
    Own(task, static_cast<std::uint64_t>(mOwners));
    WaitForOwner(task);
    return task;
  }

  Job WaitForEnd(const caf::actor& aTask, const std::string& aJob)
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

  Job Recorded(const std::string& aJob)
  {
    for (const StoreRow& row : mTable.Rows()) {
      if (row.Key() == "job/r/" + aJob) {
        return mCodec.DecodeJob(row.Value());
      }
    }
    FAIL("the job is not in the table");
    return Job::Queued(Spec(aJob, 1));
  }

  int Events(const std::string& aEvent)
  {
    int n = 0;
    for (const auto& entry : mWorkers.Journal()) {
      n += entry.mEvent == aEvent ? 1 : 0;
    }
    return n;
  }
};

// Guards against an acceptance that the table does not know of, and against
// a gang that is reported as done in part.
TEST(PlacementTask, AcceptedJobIsRecordedAndRunsWhole)
{
  const caf::actor owner = Owner(4);
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-1", 3)));
  CHECK(reply.Reason() == FailureReason::kNone);
  STRCMP_EQUAL("job-1", Recorded("job-1").Spec().Name().Text().c_str());
  CHECK(WaitForEnd(owner, "job-1").State() == JobState::kSucceeded);
  CHECK(Recorded("job-1").State() == JobState::kSucceeded);
  LONGS_EQUAL(3, Events("commit"));
  LONGS_EQUAL(3, Events("start"));
  LONGS_EQUAL(3, Events("finish"));
}

// Guards against a daemon that acts without the lease.
TEST(PlacementTask, WithoutTheLeaseCommandsAreRefusedAsNotRun)
{
  const caf::actor task = SpawnOwner(2, Settings());
  const auto reply = Ask(task, JobCommand::Submit(Spec("job-1", 1)));
  CHECK(reply.Reason() == FailureReason::kNoOwner);
  CHECK(reply.HasRun() == WasRun::kNo);
  CHECK(mTable.Rows().empty());
}

// Guards against accepting jobs that can or must never run.
TEST(PlacementTask, BadSubmissionsAreRefusedBeforeAcceptance)
{
  const caf::actor owner = Owner(2, Settings(16, 1));
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
  const JobSpec stranger(JobId("job-4"),
                         OrganisationId("acme"),
                         TeamId("day"),
                         ClassName("nest"),
                         Shape(1, 1, Adjacency::kWorker),
                         "",
                         std::chrono::seconds(0));
  CHECK(reasonOf(stranger) == FailureReason::kUnknownOrganisation);
  CHECK(mTable.Rows().empty());
}

// Guards against a team that fills the queue or holds too much.
TEST(PlacementTask, QuotasHold)
{
  const caf::actor owner = Owner(4, Settings(8, 1));
  const auto submit = [&](const std::string& aId, int aCount) {
    return Ask(owner,
               JobCommand::Submit(
                 Spec(aId, aCount, "", "nest", std::chrono::hours(1))))
      .Reason();
  };
  CHECK(submit("job-1", 2) == FailureReason::kQuotaExceeded);
  CHECK(submit("job-2", 1) == FailureReason::kNone);
  WaitUntil([&] { return Events("start") == 1; });
  CHECK(submit("job-3", 1) == FailureReason::kNone);
  CHECK(submit("job-4", 1) == FailureReason::kQuotaExceeded);
  const auto reply = Ask(owner, JobCommand::Explain(JobId("job-3")));
  STRCMP_CONTAINS("the team holds 8 of its 8", reply.Detail().c_str());
}

// Guards against running a job twice because its caller repeated it.
TEST(PlacementTask, RepeatedKeyGivesTheSameJob)
{
  const caf::actor owner = Owner(2);
  Ask(owner, JobCommand::Submit(Spec("job-1", 1, "k")));
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-2", 1, "k")));
  STRCMP_EQUAL("job-1", reply.Jobs().at(0).Spec().Name().Text().c_str());
  const auto other = Ask(owner, JobCommand::Submit(Spec("job-3", 2, "k")));
  CHECK(other.Reason() == FailureReason::kKeyReused);
  WaitForEnd(owner, "job-1");
  const auto late = Ask(owner, JobCommand::Submit(Spec("job-4", 1, "k")));
  STRCMP_EQUAL("job-1", late.Jobs().at(0).Spec().Name().Text().c_str());
  LONGS_EQUAL(1, Events("start"));
}

// Guards against an open outcome for a job that certainly was not recorded.
TEST(PlacementTask, UnavailableStoreIsReportedAsNotRun)
{
  const caf::actor owner = Owner(2);
  mTable.SetMode(tests::TableMode::kUnavailable);
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-1", 1)));
  CHECK(reply.Reason() == FailureReason::kStoreUnavailable);
  CHECK(reply.HasRun() == WasRun::kNo);
}

// Guards against "not run" for a job that may be in the table. The write must
// leave, so the circuit breaker of the store task must be closed before.
TEST(PlacementTask, UnknownWriteIsReportedAsUnknown)
{
  const caf::actor owner = Owner(2);
  mTable.SetMode(tests::TableMode::kSilent);
  const auto reply = Ask(owner, JobCommand::Submit(Spec("job-2", 1)));
  CHECK(reply.Reason() == FailureReason::kStoreUnavailable);
  CHECK(reply.HasRun() == WasRun::kUnknown);
  mTable.SetMode(tests::TableMode::kNormal);
  CHECK(WaitForEnd(owner, "job-2").State() == JobState::kSucceeded);
}

// Guards against a step taken twice because an answer was lost.
TEST(PlacementTask, LostAnswersAreResolvedByReading)
{
  const caf::actor owner = Owner(2);
  mTable.SetMode(tests::TableMode::kLoseAnswers);
  CHECK(Ask(owner, JobCommand::Submit(Spec("job-1", 2))).Reason() ==
        FailureReason::kNone);
  CHECK(WaitForEnd(owner, "job-1").State() == JobState::kSucceeded);
  CHECK(Recorded("job-1").Attempt() == 1);
  LONGS_EQUAL(2, Events("start"));
}

// Guards against losing running gangs to an outage of the store, and against
// acting on anything else without the lease.
TEST(PlacementTask, LeasesAreRenewedWithoutStoreAndWithoutLease)
{
  const caf::actor owner = Owner(2);
  Ask(
    owner,
    JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::seconds(2))));
  WaitUntil([&] { return Events("start") == 2; });
  mTable.SetMode(tests::TableMode::kSilent);
  Own(owner, 0, milliseconds(0));
  const int before = mWorkers.Count(WorkerAction::kRenew);
  WaitUntil([&] { return Events("finish") == 2; });
  CHECK(mWorkers.Count(WorkerAction::kRenew) > before);
  LONGS_EQUAL(0, mWorkers.Count(WorkerAction::kStop));
  CHECK(Recorded("job-1").State() == JobState::kCommitted);
  mTable.SetMode(tests::TableMode::kNormal);
  Own(owner, 2);
  CHECK(WaitForEnd(owner, "job-1").State() == JobState::kSucceeded);
  LONGS_EQUAL(2, Events("start"));
}

// Guards against a takeover that loses a running gang or starts it again.
TEST(PlacementTask, NewOwnerCarriesOnWithARunningGang)
{
  const caf::actor first = Owner(2);
  Ask(first,
      JobCommand::Submit(
        Spec("job-1", 2, "k", "billed", std::chrono::seconds(1))));
  WaitUntil([&] { return Events("start") == 2; });
  (*mSelf)->send_exit(first, caf::exit_reason::kill);
  const caf::actor second = Owner(2);
  const Job job = WaitForEnd(second, "job-1");
  CHECK(job.State() == JobState::kSucceeded);
  LONGS_EQUAL(1, job.Attempt());
  LONGS_EQUAL(2, Events("start"));
}

// Guards against two owners: the workers stop listening to the first one.
TEST(PlacementTask, FormerOwnerIsFenced)
{
  const caf::actor first = Owner(2);
  Ask(
    first,
    JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::seconds(1))));
  WaitUntil([&] { return Events("start") == 2; });
  const caf::actor second = Owner(2);
  CHECK(WaitForEnd(second, "job-1").State() == JobState::kSucceeded);
  LONGS_EQUAL(2, Events("start"));
  LONGS_EQUAL(0, Events("stop"));
  CHECK(Recorded("job-1").State() == JobState::kSucceeded);
}

// Guards against a non-idempotent job that is repeated after a failure.
TEST(PlacementTask, NonIdempotentJobFailsWithUnknownOutcome)
{
  const caf::actor owner = Owner(2);
  Ask(
    owner,
    JobCommand::Submit(Spec("job-1", 2, "k", "billed", std::chrono::hours(1))));
  WaitUntil([&] { return Events("start") == 2; });
  mWorkers.SetCut(AddressOf(1), true);
  const Job job = WaitForEnd(owner, "job-1");
  CHECK(job.State() == JobState::kFailed);
  CHECK(job.HasRun() != WasRun::kNo);
  LONGS_EQUAL(2, Events("start"));
  WaitUntil([&] { return Events("stop") + Events("expire") == 2; });
}

// Guards against members that keep running when another one is lost.
TEST(PlacementTask, IdempotentJobRunsAgainElsewhere)
{
  const caf::actor owner = Owner(3);
  Ask(
    owner,
    JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::seconds(2))));
  WaitUntil([&] { return Events("start") == 2; });
  mWorkers.SetCut(AddressOf(1), true);
  const Job job = WaitForEnd(owner, "job-1");
  CHECK(job.State() == JobState::kSucceeded);
  CHECK(job.Attempt() > 1);
}

// Guards against a cancelled job that runs on.
TEST(PlacementTask, CancelStopsAllMembers)
{
  const caf::actor owner = Owner(2);
  Ask(owner,
      JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::hours(1))));
  WaitUntil([&] { return Events("start") == 2; });
  const auto reply = Ask(owner, JobCommand::Cancel(JobId("job-1")));
  CHECK(reply.Reason() == FailureReason::kNone);
  CHECK(Recorded("job-1").Reason() == FailureReason::kCancelled);
  CHECK(WaitForEnd(owner, "job-1").State() == JobState::kCancelled);
  LONGS_EQUAL(2, Events("stop"));
}

// Guards against a faulty job that is repeated for ever.
TEST(PlacementTask, JobThatFailsOnThreeWorkersIsRefused)
{
  for (int i = 1; i <= 4; ++i) {
    mWorkers.With(AddressOf(i), [](auto& aModel) { aModel.SetFailAll(true); });
  }
  const caf::actor owner = Owner(4);
  Ask(owner, JobCommand::Submit(Spec("job-1", 1)));
  const Job job = WaitForEnd(owner, "job-1");
  CHECK(job.State() == JobState::kRefused);
  CHECK(job.Reason() == FailureReason::kJobFails);
  CHECK(job.HasRun() == WasRun::kYes);
  LONGS_EQUAL(3, Events("start"));
}

// Guards against a worker that takes every job and fails it.
TEST(PlacementTask, WorkerThatFailsEverythingGetsNoMoreWork)
{
  mWorkers.With(AddressOf(1), [](auto& aModel) { aModel.SetFailAll(true); });
  const caf::actor owner = Owner(3);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "job-" + std::to_string(i);
    Ask(owner, JobCommand::Submit(Spec(id, 1)));
    CHECK(WaitForEnd(owner, id).State() == JobState::kSucceeded);
  }
  LONGS_EQUAL(3, Events("fail"));
}

// Guards against an owner that acts after a pause longer than its lease.
TEST(PlacementTask, PausedOwnerActsNoMore)
{
  const caf::actor owner = Owner(2);
  Ask(owner,
      JobCommand::Submit(Spec("job-1", 2, "", "nest", std::chrono::hours(1))));
  WaitUntil([&] { return Events("start") == 2; });
  mClock.Shift(2 * kForever);
  CHECK(Ask(owner, JobCommand::Submit(Spec("job-2", 1))).Reason() ==
        FailureReason::kNoOwner);
  CHECK(Ask(owner, JobCommand::Cancel(JobId("job-1"))).Reason() ==
        FailureReason::kNoOwner);
  const int before = mWorkers.Count(WorkerAction::kRenew);
  WaitUntil([&] { return mWorkers.Count(WorkerAction::kRenew) > before + 4; });
  LONGS_EQUAL(0, mWorkers.Count(WorkerAction::kStop));
  LONGS_EQUAL(1, mTable.Rows().size());
  CHECK(Recorded("job-1").State() == JobState::kCommitted);
}

// Guards against placing a reclaimed shape on accelerators still in use, and
// against losing the job that had to give way.
TEST(PlacementTask, ReclaimStopsTheVictimFirstAndRequeuesIt)
{
  mStrategy = &mReclaimAll;
  const caf::actor owner = Owner(2);
  Ask(owner,
      JobCommand::Submit(
        Spec("job-1", 2, "", "borrowed", std::chrono::hours(1))));
  WaitUntil([&] { return Events("start") == 2; });
  Ask(owner, JobCommand::Submit(Spec("job-2", 2)));
  CHECK(WaitForEnd(owner, "job-2").State() == JobState::kSucceeded);
  LONGS_EQUAL(2, Events("checkpoint"));
  LONGS_EQUAL(2, Events("stop"));
  WaitUntil([&] { return Events("start") == 6; });
  LONGS_EQUAL(2, Recorded("job-1").Attempt());
}

// Guards against new work for a worker that the VM list still calls live.
TEST(PlacementTask, LeavingWorkerGetsNoNewWork)
{
  mWorkers.With(AddressOf(1), [](auto& aModel) { aModel.SetLeaving(true); });
  const caf::actor owner = Owner(2);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "job-" + std::to_string(i);
    Ask(owner, JobCommand::Submit(Spec(id, 1)));
    CHECK(WaitForEnd(owner, id).State() == JobState::kSucceeded);
  }
  // Only the first job was offered to it.
  LONGS_EQUAL(4, mWorkers.Count(WorkerAction::kReserve));
  LONGS_EQUAL(3, Events("start"));
}
