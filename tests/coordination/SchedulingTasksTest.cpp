#include "coordination/FakeFleet.h"
#include "coordination/FakeTable.h"
#include "coordination/SystemConfig.h"
#include "cornelrudder/coordination/CatalogTask.h"
#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/JobGatewayTask.h"
#include "cornelrudder/coordination/SchedulerTask.h"
#include "cornelrudder/coordination/SchedulingMessages.h"
#include "cornelrudder/coordination/SchedulingTables.h"
#include "cornelrudder/protocol/JsonSchedulingCodec.h"
#include "cornelrudder/state/scheduling/OwnerTenure.h"

#include <CppUTest/TestHarness.h>

#include <caf/actor_system.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <memory>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using namespace cornelrudder::state::scheduling;
using std::chrono::milliseconds;
using tests::FakeFeedStore;
using tests::FakeLog;
using tests::FakeTaskWorkers;
using tests::WaitUntil;
using tests::WriteFault;

namespace {

/** A clock that can be advanced, as by a suspension of the process. */
class JumpClock final : public Clock
{
public:
  milliseconds Now() const override { return mClock.Now() + mAhead.load(); }
  void Jump(milliseconds aTime) { mAhead = aTime; }

private:
  BootClock mClock;
  std::atomic<milliseconds> mAhead{ milliseconds(0) };
};

/** Tasks of a job with checkpoints. */
constexpr int kCheckpointingTasks = 72;

/** The tasks of one daemon. */
struct DaemonTasks
{
  caf::actor mCatalog;
  caf::actor mGateway;
  caf::actor mScheduler;
  std::shared_ptr<tests::FakeWorkerPath> mPath;
};

/** Daemons that share a store and two workers of 8 accelerators each. */
class Daemons
{
public:
  Daemons()
    : mSystem(mConfig)
    , mSelf(mSystem)
  {
    mStore.Put(kCatalogKey, "1 key");
    RefreshWorkers();
    mStep.mDemand = Resources(1'000, 1'000, 4);
    mSchedulerOptions.mRenewInterval = milliseconds(50);
    mSchedulerOptions.mOwnerTimeout = milliseconds(600);
  }

  ~Daemons()
  {
    for (const DaemonTasks& tasks : mDaemons) {
      Kill(tasks);
    }
  }

  Daemons(const Daemons&) = delete;
  Daemons& operator=(const Daemons&) = delete;

  /** Options of the scheduler tasks that are started from now on. */
  SchedulerTaskOptions mSchedulerOptions;
  /** Memory for jobs of the daemons that are started from now on. */
  std::uint64_t mMaxJobBytes = kDefaultJobBytes;
  /** The only step and the payload of the jobs submitted from now on. */
  StepSpecValues mStep;
  std::string mPayload = "payload";

  const DaemonTasks& Start(const std::string& aName,
                           milliseconds aRetention = milliseconds(600'000))
  {
    DaemonTasks tasks;
    tasks.mPath = std::make_shared<tests::FakeWorkerPath>(mWorkers);
    mPaths.push_back(tasks.mPath);
    tasks.mCatalog =
      SpawnCatalogTask(mSystem, mStore, mPlatformCodec, mClock, mLog, {});
    JobGatewayTaskOptions gateway;
    gateway.mIncarnation = aName + "-incarnation";
    gateway.mMaxJobBytes = mMaxJobBytes;
    tasks.mGateway = SpawnJobGatewayTask(mSystem,
                                         tasks.mCatalog,
                                         mStore,
                                         mStore,
                                         mCodec,
                                         mPlatformCodec,
                                         mClock,
                                         mLog,
                                         gateway);
    SchedulerTaskOptions scheduler = mSchedulerOptions;
    scheduler.mSelf = aName;
    scheduler.mIncarnation = aName + "-incarnation";
    scheduler.mJobRetention = aRetention;
    scheduler.mMaxJobBytes = mMaxJobBytes;
    tasks.mScheduler = SpawnSchedulerTask(
      mSystem,
      { mStore, mStore, *tasks.mPath, mCodec, mPlatformCodec, mClock, mLog },
      scheduler);
    caf::anon_send(tasks.mCatalog, Subscribe{ tasks.mScheduler });
    mDaemons.push_back(tasks);
    CHECK(WaitUntil([&] { return IsReady(tasks); }));
    return mDaemons.back();
  }

  /**
   * Starts a daemon and submits a job whose tasks run together and end at their
   * lease with checkpoints, to be resumed once.
   */
  const DaemonTasks& StartCheckpointing(const std::string& aName,
                                        std::size_t aCheckpointBytes)
  {
    mStore.SetRowLimit(mSchedulerOptions.mMaxRowBytes);
    mWorkers.SetRunsBlocked(true);
    mWorkers.SetCheckpointBytes(aCheckpointBytes);
    const DaemonTasks& tasks = Start(aName);
    mStep.mTasks = kCheckpointingTasks;
    mStep.mDemand = Resources(1, 1, 0);
    CHECK(Submit(tasks, "j1") == JobCallStatus::kOk);
    CHECK(WaitWithLiveWorkers(
      [&] { return mWorkers.Starts() == kCheckpointingTasks; }));
    mWorkers.SetRunsBlocked(false);
    return tasks;
  }

  void Kill(const DaemonTasks& aTasks)
  {
    for (const auto& task :
         { aTasks.mCatalog, aTasks.mGateway, aTasks.mScheduler }) {
      mSelf->send_exit(task, caf::exit_reason::kill);
    }
  }

  /** Makes a daemon read its settings again; returns when it has been told. */
  void Refresh(const DaemonTasks& aTasks)
  {
    caf::anon_send(aTasks.mCatalog, RefreshCatalog{});
    mSelf->request(aTasks.mCatalog, caf::infinite, GetCounters{})
      .receive(
        [](const Counters&) {},
        [](const caf::error&) { FAIL("the catalog task does not respond"); });
  }

  bool IsReady(const DaemonTasks& aTasks)
  {
    auto promise = std::make_shared<std::promise<bool>>();
    caf::anon_send(aTasks.mGateway,
                   GetGatewayReadiness{
                     [promise](bool aReady) { promise->set_value(aReady); } });
    return promise->get_future().get();
  }

  /** Writes the rows of the workers, as running workers do. */
  void RefreshWorkers()
  {
    mStore.Put("workers/w1", "8 z1");
    mStore.Put("workers/w2", "8 z2");
  }

  /** Submits jobs that fill both workers. */
  void SubmitToAllWorkers(const DaemonTasks& aTasks)
  {
    for (const char* job : { "j1", "j2", "j3", "j4" }) {
      CHECK(Submit(aTasks, job) == JobCallStatus::kOk);
    }
  }

  OwnerLease Lease()
  {
    return mCodec.DecodeOwnerLease(mStore.ValueOf(kOwnerLeaseKey));
  }

  /** Waits for a condition while the workers refresh their rows. */
  bool WaitWithLiveWorkers(const std::function<bool()>& aCondition)
  {
    int n = 0;
    return WaitUntil([&] {
      if (n++ % kRefreshEvery == 0) {
        RefreshWorkers();
      }
      return aCondition();
    });
  }

  JobCallReply Call(const DaemonTasks& aTasks,
                    JobCallKind aKind,
                    const std::string& aJob,
                    const std::string& aKey = "key")
  {
    auto promise = std::make_shared<std::promise<JobCallReply>>();
    JobCall call;
    call.mKind = aKind;
    call.mHost = "host";
    call.mPath = "/q/" + aJob;
    call.mApiKey = aKey;
    call.mTimeout = milliseconds(1'500);
    call.mDecodeBody = [step = mStep, payload = mPayload](const CallLimits&) {
      return Submission{ payload, { StepSpec(step, 0) }, {} };
    };
    call.mRespond = [promise](const JobCallReply& aReply) {
      promise->set_value(aReply);
    };
    caf::anon_send(aTasks.mGateway, call);
    return promise->get_future().get();
  }

  JobCallStatus Submit(const DaemonTasks& aTasks, const std::string& aJob)
  {
    return Call(aTasks, JobCallKind::kSubmit, aJob).mStatus;
  }

  bool HasPhase(const DaemonTasks& aTasks,
                const std::string& aJob,
                JobPhase aPhase)
  {
    const JobCallReply reply = Call(aTasks, JobCallKind::kQuery, aJob);
    return reply.mStatus == JobCallStatus::kOk && reply.mPhase == aPhase;
  }

  /** Makes the daemons find that they were suspended for some time. */
  void Suspend(milliseconds aTime) { mClock.Jump(aTime); }

  milliseconds Now() const { return mClock.Now(); }

  /** Waits until so many more writes have reached the store or failed. */
  void AwaitWrites(int aCount)
  {
    const int begin = mStore.Writes();
    CHECK(WaitUntil([&] { return mStore.Writes() >= begin + aCount; }));
  }

  FakeFeedStore mStore;
  FakeTaskWorkers mWorkers;
  FakeLog mLog;

private:
  /** Number of attempts of WaitUntil() between two refreshes of the rows. */
  static constexpr int kRefreshEvery = 50;

  /** The paths are used by actors and outlive the actor system. */
  std::vector<std::shared_ptr<tests::FakeWorkerPath>> mPaths;
  tests::SystemConfig mConfig;
  protocol::JsonSchedulingCodec mCodec;
  tests::FakePlatformRowCodec mPlatformCodec;
  JumpClock mClock;
  caf::actor_system mSystem;
  caf::scoped_actor mSelf;
  std::vector<DaemonTasks> mDaemons;
};

/**
 * Less than the milliseconds that a new owner waits for leases of which it is
 * not told.
 */
constexpr std::uint64_t kWaitForUntoldLease = 8'680;

/** Row size of the store, and a step whose record is larger than one row. */
constexpr std::size_t kRowBytes = 65'536;
constexpr std::size_t kWideStep = 2'760;
/** Memory for two jobs, but not three, with such a step. */
constexpr std::uint64_t kMemoryOfTwoJobs = 8'000'000;

void
CheckStatus(JobCallStatus aExpected, JobCallStatus aFound)
{
  CHECK_EQUAL(static_cast<int>(aExpected), static_cast<int>(aFound));
}

/** Writes of an owner in which it would have started a job. */
constexpr int kEvacuationWrites = 8;

/** Waits until a job is done while the workers refresh their rows. */
bool
WaitWithWorkers(Daemons& aDaemons,
                const DaemonTasks& aDaemon,
                const std::string& aJob)
{
  return aDaemons.WaitWithLiveWorkers(
    [&] { return aDaemons.HasPhase(aDaemon, aJob, JobPhase::kDone); });
}

} // namespace

TEST_GROUP(SchedulingTasks){};

TEST(SchedulingTasks, AcceptedJobIsStoredRunAndReported)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(daemons.mStore.Has("jobs/j1"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against rows of finished jobs that accumulate in the store and slow
// down the load of each new owner.
TEST(SchedulingTasks, RowsOfFinishedJobAreRemoved)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a", milliseconds(300));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK(WaitUntil([&] {
    return !daemons.mStore.Has("jobs/j1") && !daemons.mStore.Has("runs/j1");
  }));
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(daemon, JobCallKind::kQuery, "j1").mStatus);
}

// Guards against a repeated submission that creates a second job.
TEST(SchedulingTasks, RepeatedSubmissionIsOneJob)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(daemons.HasPhase(daemon, "j1", JobPhase::kDone));
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against accepting a call under outdated settings while the feed has
// not reported the change yet.
TEST(SchedulingTasks, WithdrawnKeyIsRejectedBeforeTheFeedReportsIt)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetFeedSuppressed(true);
  daemons.mStore.Put(kCatalogKey, "2 other");
  CheckStatus(JobCallStatus::kUnknownApiKey, daemons.Submit(daemon, "j1"));
  CHECK(!daemons.mStore.Has("jobs/j1"));
}

// Guards against outdated settings after the store has dropped its history.
TEST(SchedulingTasks, SettingsAreReadAgainAfterLostHistory)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.DropHistory();
  daemons.mStore.Put(kCatalogKey, "2 key second");
  CHECK(WaitUntil([&] {
    return daemons.Call(daemon, JobCallKind::kQuery, "none", "second")
             .mStatus == JobCallStatus::kNoJob;
  }));
}

// Guards against an owner that falls behind the changes of a large fleet, one
// page in each interval, and starts work on workers that have long been
// leaving.
TEST(SchedulingTasks, FullPagesOfWorkerChangesAreFollowedAtOnce)
{
  constexpr std::size_t kWorkers = 60;
  constexpr std::size_t kPage = 2;
  Daemons daemons;
  daemons.mSchedulerOptions.mFullPageRows = kPage;
  // With one page in each interval, the last workers would be known after 300
  // s.
  daemons.mSchedulerOptions.mWorkerPollInterval = milliseconds(3'000);
  daemons.Start("a");
  CHECK(WaitUntil([&] { return daemons.mWorkers.RenewedWorkers() == 2; }));
  daemons.mStore.SetFeedPage(kPage);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    daemons.mStore.Put("workers/x" + std::to_string(i), "8");
  }
  CHECK(WaitUntil(
    [&] { return daemons.mWorkers.RenewedWorkers() == kWorkers + 2; }));
}

// Guards against reporting "not run" for a job that was stored although the
// reply to the write was lost.
TEST(SchedulingTasks, RetryDetectsAWriteWithLostReply)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetWriteFault(WriteFault::kReplyLost);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(daemons.mStore.Has("jobs/j1"));
}

// Guards against reporting "not run" while a write may still take effect.
TEST(SchedulingTasks, UnresolvedWriteIsReportedAsUnknown)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetWriteFault(WriteFault::kRequestLost);
  CheckStatus(JobCallStatus::kUnknown, daemons.Submit(daemon, "j1"));
}

// Guards against calls that are refused while only the operator's part of the
// store refuses writes.
TEST(SchedulingTasks, CallsAreServedWhileThePartOfTheSettingsIsOverloaded)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  daemons.mStore.SetRefusedTable(kOperatorTable);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CheckStatus(JobCallStatus::kOk,
              daemons.Call(daemon, JobCallKind::kCancel, "j1").mStatus);
}

// Guards against a call that is accepted under outdated settings while their
// row cannot be a condition of the write.
TEST(SchedulingTasks, WithdrawnKeyIsRejectedWhileThePartIsOverloaded)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetRefusedTable(kOperatorTable);
  daemons.mStore.Put(kCatalogKey, "2 other");
  CheckStatus(JobCallStatus::kUnknownApiKey, daemons.Submit(daemon, "j1"));
  CHECK(!daemons.mStore.Has("jobs/j1"));
}

// Guards against a call that is accepted under older settings than those that
// the daemon has read and cannot decode.
TEST(SchedulingTasks, UnreadableSettingsAreNotConfirmedByAPoll)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.Put(kCatalogKey, "unreadable");
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kRowMalformed) > 0; }));
  daemons.mStore.SetRefusedTable(kOperatorTable);
  CheckStatus(JobCallStatus::kUnavailable, daemons.Submit(daemon, "j1"));
  CHECK(!daemons.mStore.Has("jobs/j1"));
}

// Guards against an owner whose renewals are refused together with the removal
// of ended jobs.
TEST(SchedulingTasks, OwnerRenewsWhileRemovalsAreRefused)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a", milliseconds(300));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  daemons.mStore.SetRefusedTable(kJobsTable);
  const std::uint64_t begin = daemons.Lease().mSequence;
  constexpr std::uint64_t kWrites = 60;
  const std::uint64_t version = daemons.Lease().mEpoch;
  CHECK(
    WaitUntil([&] { return daemons.Lease().mSequence >= begin + kWrites; }));
  CHECK_EQUAL(version, daemons.Lease().mEpoch);
}

// Guards against a job whose record outgrows the rows of the store, so that no
// write of any owner succeeds and no job starts.
TEST(SchedulingTasks, RecordOfAWideJobFitsTheRowsOfTheStore)
{
  Daemons daemons;
  daemons.mStore.SetRowLimit(kRowBytes);
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStep.mTasks = kWideStep;
  daemons.mStep.mDemand = Resources(1, 1, 0);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  daemons.mStep.mTasks = 1;
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j2"));
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j2", JobPhase::kDone); }));
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(1, daemons.Lease().mEpoch);
}

// Guards against a job that never goes on after its checkpoints have made its
// record larger than a row.
TEST(SchedulingTasks, RecordWithLongCheckpointsFitsTheRowsOfTheStore)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.StartCheckpointing("a", 800);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(kCheckpointingTasks, daemons.mWorkers.Resumptions());
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kJobSetAside));
  CHECK_EQUAL(1, daemons.Lease().mEpoch);
}

// Guards against the same after a takeover by an owner with a lower limit, and
// against a successor that misreads a record that was divided while it grew.
TEST(SchedulingTasks, SuccessorWithALowerLimitDividesTheRecordFurther)
{
  constexpr std::size_t kLowerLimit = 8'000;
  Daemons daemons;
  const DaemonTasks first = daemons.StartCheckpointing("a", 800);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.Resumptions() == kCheckpointingTasks; }));
  daemons.mSchedulerOptions.mMaxRowBytes = kLowerLimit;
  const DaemonTasks second = daemons.Start("b");
  daemons.mStore.SetRowLimit(kLowerLimit);
  daemons.Kill(first);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(second, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kJobSetAside));
  CHECK_EQUAL(2 * kCheckpointingTasks, daemons.mWorkers.Starts());
}

// Guards against a record that the store rejects unchanged again and again,
// since its limit is lower than the daemon's setting.
TEST(SchedulingTasks, RejectedRecordIsDividedFurther)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.StartCheckpointing("a", 800);
  daemons.mStore.SetRowLimit(8'000);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(kCheckpointingTasks, daemons.mWorkers.Resumptions());
}

// Guards against a job that never goes on because a single checkpoint is longer
// than a row: the owner keeps it, and the record leaves it out.
TEST(SchedulingTasks, CheckpointLongerThanARowDoesNotHoldUpItsJob)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.StartCheckpointing("a", 60'000);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(kCheckpointingTasks, daemons.mWorkers.Resumptions());
  CHECK(daemons.mLog.Count(LogEvent::kCheckpointNotStored) > 0);

  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kJobSetAside));
}

// Guards against accepting a job that no row of the store can hold.
TEST(SchedulingTasks, JobThatTheStoreCannotHoldIsRefused)
{
  Daemons daemons;
  daemons.mStore.SetRowLimit(kRowBytes);
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mPayload.assign(kRowBytes, 'x');
  CheckStatus(JobCallStatus::kBadRequest, daemons.Submit(daemon, "j1"));
  CHECK(!daemons.mStore.Has("jobs/j1"));
}

// Guards against a successor that loses a part of a divided record and starts
// tasks again that are running or done.
TEST(SchedulingTasks, SuccessorReadsADividedRecord)
{
  Daemons daemons;
  daemons.mStore.SetRowLimit(kRowBytes);
  daemons.mWorkers.SetRunsBlocked(true);
  const DaemonTasks first = daemons.Start("a");
  daemons.mStep.mTasks = kWideStep;
  daemons.mStep.mDemand = Resources(1, 1, 0);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.Starts() == static_cast<int>(kWideStep); }));
  const DaemonTasks second = daemons.Start("b");
  daemons.Kill(first);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.HighestEpoch() == 2; }));
  daemons.mWorkers.SetRunsBlocked(false);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(second, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(static_cast<int>(kWideStep), daemons.mWorkers.Starts());
}

// Guards against a write that the store rejects for good and that is repeated
// for ever, with the lease and the records of all other jobs.
TEST(SchedulingTasks, RejectedRecordHoldsUpOnlyItsJob)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetRejectedRow("runs/j1");
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  for (const char* job : { "j2", "j3", "j4" }) {
    CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, job));
  }
  CHECK(daemons.WaitWithLiveWorkers([&] {
    return daemons.HasPhase(daemon, "j2", JobPhase::kDone) &&
           daemons.HasPhase(daemon, "j3", JobPhase::kDone) &&
           daemons.HasPhase(daemon, "j4", JobPhase::kDone);
  }));
  CHECK_EQUAL(1, daemons.Lease().mEpoch);
  CHECK_EQUAL(3, daemons.mWorkers.Starts());
  daemons.mStore.SetRejectedRow("");
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
}

// Guards against a job whose record the store rejects for any cause and that
// stops the acknowledgement of all ends of its workers: each worker reports
// only the first 500. The ends of the job itself must outlast a change of
// owner.
TEST(SchedulingTasks, RejectedRecordStopsNoAcknowledgements)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.mStore.SetRejectedRow("runs/j1");
  daemons.mWorkers.SetRunsBlocked(false);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mLog.Count(LogEvent::kJobSetAside) > 0; }));
  for (const char* job : { "j2", "j3", "j4" }) {
    CheckStatus(JobCallStatus::kOk, daemons.Submit(first, job));
    CHECK(daemons.WaitWithLiveWorkers(
      [&] { return daemons.HasPhase(first, job, JobPhase::kDone); }));
  }
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.UnacknowledgedEnds() == 0; }));
  const DaemonTasks second = daemons.Start("b");
  daemons.Kill(first);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.HighestEpoch() == 2; }));
  daemons.mStore.SetRejectedRow("");
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(second, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(4, daemons.mWorkers.Starts());
}

// Guards against delaying callers while the store is known to be unreachable,
// and against a write that takes effect after a rejection.
TEST(SchedulingTasks, UnreachableStoreRejectsWithoutEffect)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetDown(true);
  CheckStatus(JobCallStatus::kUnavailable, daemons.Submit(daemon, "j1"));
  daemons.mStore.SetDown(false);
  CHECK(!daemons.mStore.Has("jobs/j1"));
  CHECK(WaitUntil(
    [&] { return daemons.Submit(daemon, "j2") == JobCallStatus::kOk; }));
}

// Guards against an organisation that queries or cancels jobs of another.
TEST(SchedulingTasks, JobsOfOtherOrganisationsAreHidden)
{
  Daemons daemons;
  daemons.mStore.Put(kCatalogKey, "2 key other");
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(daemon, JobCallKind::kQuery, "j1", "other").mStatus);
  CheckStatus(
    JobCallStatus::kNoJob,
    daemons.Call(daemon, JobCallKind::kCancel, "j1", "other").mStatus);
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(daemon, JobCallKind::kQuery, "none").mStatus);
}

// Guards against parts of the record of an ended job that stay in the store.
TEST(SchedulingTasks, DividedRecordOfAnEndedJobIsRemoved)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a", milliseconds(300));
  daemons.mStep.mTasks = kWideStep;
  daemons.mStep.mDemand = Resources(1, 1, 0);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mStore.Has("runs/j1.1"); }));
  CHECK(daemons.WaitWithLiveWorkers([&] {
    return !daemons.mStore.Has("jobs/j1") && !daemons.mStore.Has("runs/j1") &&
           !daemons.mStore.Has("runs/j1.1") &&
           !daemons.mStore.Has("runs/j1.20");
  }));
}

// Guards against a job that runs after its cancellation was answered with "no
// such job", because a write of its submission took effect later.
TEST(SchedulingTasks, LateSubmissionOfACancelledJobIsNotStored)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  const DaemonTasks second = daemons.Start("b");
  daemons.mStore.SetWriteFault(WriteFault::kLate);
  CheckStatus(JobCallStatus::kUnknown, daemons.Submit(first, "j1"));
  daemons.mStore.SetWriteFault(WriteFault::kNone);
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(second, JobCallKind::kCancel, "j1").mStatus);
  daemons.mStore.DeliverLate();
  CHECK(!daemons.mStore.Has("jobs/j1"));
  // A repetition of the submission is refused, as are the late writes.
  CheckStatus(JobCallStatus::kUnavailable, daemons.Submit(first, "j1"));
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(first, JobCallKind::kCancel, "j1").mStatus);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j2"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(second, "j2", JobPhase::kDone); }));
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against the answer "no such job" while it is not certain that no write
// of the submission takes effect.
TEST(SchedulingTasks, CancellationWithoutAnAnswerOfTheStoreIsUnknown)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetWriteFault(WriteFault::kRequestLost);
  CheckStatus(JobCallStatus::kUnknown,
              daemons.Call(daemon, JobCallKind::kCancel, "j1").mStatus);
  daemons.mStore.SetWriteFault(WriteFault::kReplyLost);
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(daemon, JobCallKind::kCancel, "j1").mStatus);
}

// Guards against withdrawals that accumulate in the store, and against an
// identifier that stays unusable for ever.
TEST(SchedulingTasks, WithdrawalsAreRemoved)
{
  Daemons daemons;
  daemons.mSchedulerOptions.mWithdrawalRetention = milliseconds(300);
  const DaemonTasks daemon = daemons.Start("a");
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(daemon, JobCallKind::kCancel, "j1").mStatus);
  CHECK(WaitUntil(
    [&] { return daemons.Submit(daemon, "j1") == JobCallStatus::kOk; }));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
}

// Guards against an organisation that excludes the jobs of another by
// cancelling their identifiers.
TEST(SchedulingTasks, WithdrawalConcernsOneOrganisation)
{
  Daemons daemons;
  daemons.mStore.Put(kCatalogKey, "2 key other");
  const DaemonTasks daemon = daemons.Start("a");
  CheckStatus(
    JobCallStatus::kNoJob,
    daemons.Call(daemon, JobCallKind::kCancel, "j1", "other").mStatus);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
}

// Guards against the answer "accepted" to a submission that is never stored,
// since another organisation has chosen the same identifier.
TEST(SchedulingTasks, IdentifierOfAnotherOrganisationIsRefused)
{
  Daemons daemons;
  daemons.mStore.Put(kCatalogKey, "2 key other");
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CheckStatus(
    JobCallStatus::kUnavailable,
    daemons.Call(daemon, JobCallKind::kSubmit, "j1", "other").mStatus);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
}

// Guards against a caller that fills the store with withdrawals.
TEST(SchedulingTasks, CancellationsOfUnknownJobsAreLimited)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  constexpr int kLimit = 5'000;
  int n = 0;
  while (n < kLimit &&
         daemons.Call(daemon, JobCallKind::kCancel, "j" + std::to_string(n))
             .mStatus == JobCallStatus::kNoJob) {
    ++n;
  }
  CHECK(n < kLimit);
}

TEST(SchedulingTasks, CancelledJobIsReportedAsCancelled)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CheckStatus(JobCallStatus::kOk,
              daemons.Call(daemon, JobCallKind::kCancel, "j1").mStatus);
  CHECK(WaitUntil(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kCancelled); }));
}

// Guards against a successor that ends a job by the present settings of its
// queue, which allow two attempts.
TEST(SchedulingTasks, SuccessorKeepsTheAttemptsThatAJobWasAcceptedWith)
{
  Daemons daemons;
  constexpr int kAttempts = 3;
  const TaskJob job("j1",
                    "org-key",
                    { "q", "s", 1, kAttempts, 3.0, milliseconds(1'000) },
                    "payload",
                    { StepSpec(daemons.mStep, 0) },
                    {},
                    {});
  TaskRecord record;
  record.mRun = 2;
  record.mFailures = 2;
  const protocol::JsonSchedulingCodec codec;
  daemons.mStore.Put("jobs/j1", codec.EncodeTaskJob(job));
  daemons.mStore.Put(
    ProgressKey("j1"),
    codec.EncodeProgress(
      { "j1", "org-key", JobPhase::kRunning, true, { record } }));
  const DaemonTasks daemon = daemons.Start("a");
  CHECK(WaitWithWorkers(daemons, daemon, "j1"));
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against queue lengths that only the owner reports.
TEST(SchedulingTasks, EveryDaemonReportsQueuedJobs)
{
  Daemons daemons;
  daemons.Start("a");
  const DaemonTasks other = daemons.Start("b");
  daemons.mWorkers.SetRunsBlocked(true);
  for (int i = 0; i < 6; ++i) {
    CheckStatus(JobCallStatus::kOk,
                daemons.Submit(other, "j" + std::to_string(i)));
  }
  // The workers have capacity for four of the six jobs.
  CHECK(WaitUntil([&] {
    return daemons.Call(other, JobCallKind::kQuery, "").mPendingJobs == 2;
  }));
}

// Guards against jobs that together exceed the memory of every owner in turn:
// a submission beyond the limit is refused before it is stored, on any daemon.
TEST(SchedulingTasks, JobBeyondTheMemoryOfAllJobsIsRefused)
{
  Daemons daemons;
  daemons.mMaxJobBytes = kMemoryOfTwoJobs;
  daemons.Start("a");
  const DaemonTasks other = daemons.Start("b");
  daemons.mWorkers.SetRunsBlocked(true);
  daemons.mStep.mTasks = kWideStep;
  CheckStatus(JobCallStatus::kOk, daemons.Submit(other, "j1"));
  CHECK(WaitUntil([&] {
    const OwnerLease lease = daemons.Lease();
    return lease.mJobMemory && lease.mJobMemory->mBytes > 0;
  }));
  const JobCallReply refusal = daemons.Call(other, JobCallKind::kSubmit, "j2");
  CheckStatus(JobCallStatus::kUnavailable, refusal.mStatus);
  CHECK(!daemons.mStore.Has("jobs/j2"));
  CheckStatus(JobCallStatus::kNoJob,
              daemons.Call(other, JobCallKind::kQuery, "j2").mStatus);
  daemons.mStep.mTasks = 1;
  CheckStatus(JobCallStatus::kOk, daemons.Submit(other, "j3"));
  CheckStatus(JobCallStatus::kOk,
              daemons.Call(other, JobCallKind::kCancel, "j1").mStatus);
  daemons.mWorkers.SetRunsBlocked(false);
  daemons.mStep.mTasks = kWideStep;
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.Submit(other, "j2") == JobCallStatus::kOk; }));
}

// Guards against "not run" for a job that an earlier call has stored.
TEST(SchedulingTasks, RepeatedSubmissionIsAcceptedWhileTheMemoryIsUsed)
{
  Daemons daemons;
  daemons.mMaxJobBytes = kMemoryOfTwoJobs;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  daemons.mStep.mTasks = kWideStep;
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CheckStatus(JobCallStatus::kUnavailable, daemons.Submit(daemon, "j2"));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
}

// Guards against asking a caller to come back with a job that never fits.
TEST(SchedulingTasks, JobLargerThanTheMemoryOfAllJobsIsRejected)
{
  Daemons daemons;
  daemons.mMaxJobBytes = kMemoryOfTwoJobs;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStep.mTasks = 2 * kWideStep;
  const JobCallReply refusal = daemons.Call(daemon, JobCallKind::kSubmit, "j1");
  CheckStatus(JobCallStatus::kBadRequest, refusal.mStatus);
  CHECK(refusal.mDetail.find("memory for jobs") != std::string::npos);
}

// Guards against an attempt to acquire the lease after each look at its row
// while the store refuses writes, which keeps an overloaded store overloaded.
TEST(SchedulingTasks, AcquisitionBacksOffWhileWritesFail)
{
  Daemons daemons;
  daemons.mStore.SetWriteFault(WriteFault::kRequestLost);
  const DaemonTasks daemon = daemons.Start("a");
  constexpr int kReads = 40;
  CHECK(WaitUntil([&] { return daemons.mStore.RowReads() >= kReads; }));
  CHECK(daemons.mLog.Count(LogEvent::kDomainOwnerChanged) <= kReads / 2);
  daemons.mStore.SetWriteFault(WriteFault::kNone);
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
}

// Guards against takeovers from a live owner whose renewals a slow store
// delays.
TEST(SchedulingTasks, SlowStoreDoesNotChangeTheOwner)
{
  Daemons daemons;
  daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  daemons.Start("b");
  // Longer than the owner timeout of 600 ms.
  daemons.mStore.SetDelays(milliseconds(300), milliseconds(700));
  const std::uint64_t begin = daemons.Lease().mSequence;
  constexpr std::uint64_t kRenewals = 5;
  CHECK(WaitUntil([&] {
    const OwnerLease lease = daemons.Lease();
    return lease.mEpoch > 1 || lease.mSequence >= begin + kRenewals;
  }));
  CHECK_EQUAL(std::string("a"), daemons.Lease().mOwner);
  CHECK_EQUAL(1, daemons.mLog.Count(LogEvent::kDomainOwnerChanged));
}

// Guards against losing jobs when their owner is killed or releases ownership.
TEST(SchedulingTasks, AnotherDaemonTakesOver)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  const DaemonTasks second = daemons.Start("b");
  daemons.Kill(first);
  CHECK(WaitUntil([&] { return daemons.mWorkers.HighestEpoch() == 2; }));
  const DaemonTasks third = daemons.Start("c");
  caf::anon_send(second.mScheduler, ReleaseOwnership{});
  CHECK(WaitUntil([&] { return daemons.mWorkers.HighestEpoch() == 3; }));
  daemons.mWorkers.SetRunsBlocked(false);
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(third, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against a takeover that waits for a regular read of the lease row
// after the owner counts as silent.
TEST(SchedulingTasks, SilentOwnerIsReplacedBeforeTheNextRegularRead)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  daemons.Kill(first);
  // The regular reads are further apart than WaitUntil() waits.
  daemons.mSchedulerOptions.mRenewInterval = milliseconds(300'000);
  daemons.Start("b");
  CHECK(WaitUntil([&] { return daemons.Lease().mOwner == "b"; }));
}

// Guards against an owner that was suspended and then extends the leases of
// workers or starts runs although a successor may have presumed them to end.
TEST(SchedulingTasks, SuspendedOwnerSendsNoCommandsBeforeItsLeaseIsConfirmed)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.mStore.SetDown(true);
  daemons.Suspend(milliseconds(5'000));
  // The first write may be that of a cycle from before the suspension.
  daemons.AwaitWrites(2);
  const int renewals = daemons.mWorkers.Renewals();
  daemons.AwaitWrites(3);
  CHECK_EQUAL(renewals, daemons.mWorkers.Renewals());
  daemons.mStore.SetDown(false);
  CHECK(WaitUntil([&] { return daemons.mWorkers.Renewals() > renewals; }));
  daemons.mWorkers.SetRunsBlocked(false);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
}

// Guards against a start by an owner that reads the reply to its write after a
// successor may have acquired the lease, on a worker that has restarted since.
TEST(SchedulingTasks, OwnerThatSeesItsWriteLateStartsNoRuns)
{
  // Too short to count as a suspension, and longer than the owner timeout.
  constexpr milliseconds kPause{ 1'500 };
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mStore.SetWriteRepliesHeld(kProgressTable);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(WaitUntil([&] { return daemons.mStore.RepliesHeld() > 0; }));
  CHECK(daemons.mStore.Has(ProgressKey("j1")));
  daemons.mStore.SetDown(true);
  daemons.Suspend(kPause);
  daemons.mStore.SetWriteRepliesHeld("");
  daemons.AwaitWrites(3);
  CHECK_EQUAL(0, daemons.mWorkers.Starts());
  daemons.mStore.SetDown(false);
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
}

// Guards against a second run of a job whose record cannot be decoded, when its
// row is read again.
TEST(SchedulingTasks, JobWithUndecodableRecordIsNotStartedAnew)
{
  Daemons daemons;
  daemons.mWorkers.SetRunsBlocked(true);
  const DaemonTasks first = daemons.Start("a");
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.Kill(first);
  daemons.mStore.Put(ProgressKey("j1"), "garbled");
  const DaemonTasks second = daemons.Start("b");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 2; }));
  daemons.mStore.Put("jobs/j1", daemons.mStore.ValueOf("jobs/j1"));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(second, "j2"));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(second, "j3"));
  for (const char* job : { "j2", "j3" }) {
    CHECK(WaitUntil(
      [&] { return daemons.HasPhase(second, job, JobPhase::kRunning); }));
  }
  CHECK_EQUAL(3, daemons.mWorkers.Starts());
}

// Guards against a former owner that extends leases after the time from which
// its successor presumes that it does not.
TEST(SchedulingTasks, OwnerWithoutTheStoreStopsExtendingLeases)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.mStore.SetDown(true);
  const milliseconds down = daemons.Now();
  CHECK(WaitUntil(
    [&] { return daemons.Now() - down > OwnerTenure::kCommandTime; }));
  daemons.AwaitWrites(2);
  const int extensions = daemons.mWorkers.Extensions();
  daemons.AwaitWrites(3);
  CHECK_EQUAL(extensions, daemons.mWorkers.Extensions());
  daemons.mStore.SetDown(false);
  CHECK(WaitUntil([&] { return daemons.mWorkers.Extensions() > extensions; }));
}

// Guards against runs that end because the store executes the owner's writes
// but all replies are lost.
TEST(SchedulingTasks, OwnerWhoseRepliesAreLostExtendsLeases)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.mStore.SetWriteFault(WriteFault::kReplyLost);
  const milliseconds lost = daemons.Now();
  CHECK(WaitUntil(
    [&] { return daemons.Now() - lost > OwnerTenure::kCommandTime; }));
  const int extensions = daemons.mWorkers.Extensions();
  daemons.AwaitWrites(4);
  CHECK(daemons.mWorkers.Extensions() > extensions);
}

// Guards against commands of a daemon that was suspended while it acquired the
// lease and has a successor already.
TEST(SchedulingTasks, SuspendedAcquirerSendsNoCommandsBeforeItsLeaseIsConfirmed)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.Kill(first);
  daemons.mStore.SetDelays(milliseconds(0), milliseconds(500));
  const int writes = daemons.mStore.Writes();
  daemons.Start("b");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kDomainOwnerChanged) == 2; }));
  daemons.Suspend(milliseconds(10'000));
  CHECK(WaitUntil([&] { return daemons.mStore.Writes() > writes; }));
  daemons.mStore.SetWriteFault(WriteFault::kRequestLost);
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 2; }));
  const int renewals = daemons.mWorkers.Renewals();
  daemons.AwaitWrites(3);
  CHECK_EQUAL(renewals, daemons.mWorkers.Renewals());
  daemons.mStore.SetWriteFault(WriteFault::kNone);
  CHECK(WaitUntil([&] { return daemons.mWorkers.HighestEpoch() == 2; }));
}

// Guards against a second run of an ended job whose rows are deleted while the
// jobs are read again.
TEST(SchedulingTasks, JobRemovedDuringARereadIsNotRunAgain)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a", milliseconds(3'000));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  daemons.mStore.SetRepliesHeld(kJobsTable);
  daemons.mStore.DropHistory(kJobsTable);
  CHECK(WaitUntil([&] { return daemons.mStore.RepliesHeld() > 0; }));
  CHECK(daemons.mStore.Has("jobs/j1"));
  CHECK(WaitUntil([&] { return !daemons.mStore.Has("jobs/j1"); }));
  daemons.AwaitWrites(3);
  daemons.mStore.SetRepliesHeld("");
  daemons.AwaitWrites(10);
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against a second run of a task whose record the owner could not decode
// when it loaded the tables.
TEST(SchedulingTasks, JobWithUnreadableRecordIsNotStartedAfterAReread)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.Kill(first);
  daemons.mStore.Put("runs/j1", "unreadable");
  daemons.Start("b");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 2; }));
  daemons.mStore.DropHistory(kJobsTable);
  daemons.mStore.Put("jobs/other", "unreadable");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kRowMalformed) >= 2; }));
  daemons.AwaitWrites(10);
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
}

// Guards against a former owner that continues to write after another daemon
// has acquired the lease row.
TEST(SchedulingTasks, SupersededOwnerStepsDown)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  CHECK(WaitUntil([&] { return daemons.mStore.Has(kOwnerLeaseKey); }));
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  const protocol::JsonSchedulingCodec codec;
  daemons.mStore.Put(
    kOwnerLeaseKey,
    codec.EncodeOwnerLease({ "b", "b-incarnation", 7, 1, {}, 0 }));
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kLeaseLost) == 1; }));
  CHECK(codec.DecodeOwnerLease(daemons.mStore.ValueOf(kOwnerLeaseKey)).mEpoch >=
        7);
}

// Guards against a fleet without an owner after another writer has overwritten
// the lease row, and against a new owner with an epoch that workers reject.
TEST(SchedulingTasks, MalformedLeaseRowIsReplaced)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  const DaemonTasks second = daemons.Start("b");
  daemons.Kill(first);
  CHECK(WaitUntil([&] { return daemons.mWorkers.HighestEpoch() == 2; }));
  daemons.mStore.Put(kOwnerLeaseKey, "no lease");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 3; }));
  CHECK(daemons.Lease().mEpoch > 2);
  daemons.mWorkers.SetRunsBlocked(false);
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(second, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(1, daemons.mWorkers.Starts());
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kOwnerFenced));
  // One line of the former owner's refused write, and one of the reads.
  CHECK_EQUAL(2, daemons.mLog.Count(LogEvent::kRowMalformed));
}

// Guards against an owner that steps down after lost replies to its own writes.
TEST(SchedulingTasks, OwnerRecognisesItsOwnWrites)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  daemons.mStore.SetWriteFault(WriteFault::kReplyLost);
  daemons.Submit(daemon, "j1");
  daemons.mStore.SetWriteFault(WriteFault::kNone);
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kLeaseLost));
}

// Guards against an odd entry in the list of workers that hides the others,
// stops the reading of later changes or is logged again and again.
TEST(SchedulingTasks, OddWorkerEntryLeavesTheOthersInUse)
{
  Daemons daemons;
  daemons.mStore.Put("workers/odd", "no number");
  const DaemonTasks daemon = daemons.Start("a");
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(1, daemons.mLog.Count(LogEvent::kRowMalformed));
  daemons.mStore.Put("workers/odd", "odd again");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kRowMalformed) == 2; }));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j2"));
  CHECK(
    WaitUntil([&] { return daemons.HasPhase(daemon, "j2", JobPhase::kDone); }));
  CHECK_EQUAL(2, daemons.mLog.Count(LogEvent::kRowMalformed));
}

// Guards against an owner that keeps the lease although it reaches none of the
// workers that another daemon reaches.
TEST(SchedulingTasks, OwnerCutFromLiveWorkersHandsOver)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  const DaemonTasks second = daemons.Start("b");
  first.mPath->SetCut(true);
  daemons.SubmitToAllWorkers(second);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(second, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(std::string("b"), daemons.Lease().mOwner);
  CHECK_EQUAL(1, daemons.mLog.Count(LogEvent::kLeaseReleased));
}

// Guards against a handover that leaves the lease without an owner or among
// daemons that do not reach the workers either.
TEST(SchedulingTasks, CutSuccessorHandsOverInTurn)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  const DaemonTasks second = daemons.Start("b");
  first.mPath->SetCut(true);
  second.mPath->SetCut(true);
  daemons.SubmitToAllWorkers(second);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mLog.Count(LogEvent::kLeaseReleased) >= 2; }));
  const DaemonTasks third = daemons.Start("c");
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(third, "j1", JobPhase::kDone); }));
}

// Guards against a release that does not tell when the leases of silent workers
// end, so that the successor waits longer than they last.
TEST(SchedulingTasks, ReleaseTellsLeasesOfSilentWorkers)
{
  Daemons daemons;
  daemons.mWorkers.SetRunsBlocked(true);
  const DaemonTasks daemon = daemons.Start("a");
  daemons.SubmitToAllWorkers(daemon);
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 4; }));
  CHECK(daemons.Lease().mWorkerLeases.empty());
  daemon.mPath->SetCut(true);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mLog.Count(LogEvent::kLeaseReleased) == 1; }));
  const OwnerLease lease = daemons.Lease();
  CHECK_EQUAL(2, lease.mWorkerLeases.size());
  for (const auto& [worker, remaining] : lease.mWorkerLeases) {
    CHECK(remaining < kWaitForUntoldLease);
  }
}

// Guards against a successor that does not use these leases.
TEST(SchedulingTasks, SuccessorReplacesRunsWhenToldLeasesEnd)
{
  Daemons daemons;
  daemons.mWorkers.SetRunsBlocked(true);
  const DaemonTasks first = daemons.Start("a");
  daemons.SubmitToAllWorkers(first);
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 4; }));
  const DaemonTasks second = daemons.Start("b");
  second.mPath->SetCut(true);
  daemons.Kill(first);
  OwnerLease lease = daemons.Lease();
  lease.mOwner.clear();
  lease.mWorkerLeases = { { "w1", 0 }, { "w2", 0 } };
  const protocol::JsonSchedulingCodec codec;
  daemons.mStore.Put(kOwnerLeaseKey, codec.EncodeOwnerLease(lease));
  const auto start = std::chrono::steady_clock::now();
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kWorkerGone) == 2; }));
  CHECK(std::chrono::steady_clock::now() - start <
        milliseconds(kWaitForUntoldLease));
  CHECK(daemons.Lease().mWorkerLeases.empty());
}

// Guards against a handover that cannot help because the workers are gone.
TEST(SchedulingTasks, OwnerOfLostWorkersKeepsTheLease)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  const DaemonTasks second = daemons.Start("b");
  // A worker that the owner has not reached yet would get no runs.
  CHECK(WaitUntil([&] { return daemons.mWorkers.RenewedWorkers() == 2; }));
  first.mPath->SetCut(true);
  daemons.SubmitToAllWorkers(second);
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kWorkerGone) == 2; }));
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kLeaseReleased));
  CHECK_EQUAL(std::string("a"), daemons.Lease().mOwner);
}

// Guards against a fleet without an owner, and against a released lease row
// that its former owner takes for its own pending acquisition.
TEST(SchedulingTasks, SingleDaemonTakesTheLeaseBack)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kJobsRecovered) == 1; }));
  daemon.mPath->SetCut(true);
  daemons.SubmitToAllWorkers(daemon);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mLog.Count(LogEvent::kLeaseReleased) == 1; }));
  daemon.mPath->SetCut(false);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.HasPhase(daemon, "j1", JobPhase::kDone); }));
  CHECK_EQUAL(2, daemons.Lease().mEpoch);
}

// Guards against a takeover that does not tell what it inherits.
TEST(SchedulingTasks, TakeoverFromSilentOwnerTellsPresumedLeases)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kTakeover));
  daemons.Start("b");
  daemons.Kill(first);
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kTakeover) == 1; }));
  const auto field = [&daemons](const char* aName) {
    return daemons.mLog.LastField(LogEvent::kTakeover, aName);
  };
  CHECK_EQUAL(std::string("2"), field("epoch"));
  CHECK_EQUAL(std::string("a"), field("former_owner"));
  CHECK_EQUAL(std::string("1"), field("former_epoch"));
  CHECK_EQUAL(std::string("owner_silent"), field("reason"));
  CHECK(milliseconds(std::stoi(field("row_age_ms"))) >=
        daemons.mSchedulerOptions.mOwnerTimeout);
  CHECK_EQUAL(std::string("1"), field("runs"));
  CHECK_EQUAL(std::string("1"), field("workers"));
  CHECK_EQUAL(std::string("0"), field("released_workers"));
  CHECK_EQUAL(std::string("1"), field("presumed_workers"));
  CHECK(std::stoi(field("presumption_ends_ms")) > 0);
}

TEST(SchedulingTasks, TakeoverAfterReleaseTellsReleasedLeases)
{
  Daemons daemons;
  daemons.mWorkers.SetRunsBlocked(true);
  const DaemonTasks first = daemons.Start("a");
  daemons.SubmitToAllWorkers(first);
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 4; }));
  daemons.Start("b");
  daemons.Kill(first);
  OwnerLease lease = daemons.Lease();
  lease.mOwner.clear();
  lease.mWorkerLeases = { { "w1", 30'000 }, { "w2", 60'000 } };
  const protocol::JsonSchedulingCodec codec;
  daemons.mStore.Put(kOwnerLeaseKey, codec.EncodeOwnerLease(lease));
  CHECK(
    WaitUntil([&] { return daemons.mLog.Count(LogEvent::kTakeover) == 1; }));
  const auto field = [&daemons](const char* aName) {
    return daemons.mLog.LastField(LogEvent::kTakeover, aName);
  };
  CHECK_EQUAL(std::string("released"), field("reason"));
  CHECK_EQUAL(std::string("4"), field("runs"));
  CHECK_EQUAL(std::string("2"), field("workers"));
  CHECK_EQUAL(std::string("2"), field("released_workers"));
  CHECK_EQUAL(std::string("0"), field("presumed_workers"));
  CHECK(std::stoi(field("first_release_ends_ms")) <= 30'000);
  CHECK(std::stoi(field("last_release_ends_ms")) > 30'000);
}

// Guards against a former owner that does not tell how long it has extended the
// leases of workers.
TEST(SchedulingTasks, OvertakenOwnerTellsItsLastExtensions)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  const protocol::JsonSchedulingCodec codec;
  daemons.mStore.Put(
    kOwnerLeaseKey,
    codec.EncodeOwnerLease({ "b", "b-incarnation", 7, 1, {}, 0 }));
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kOwnerStopped) == 1; }));
  const auto field = [&daemons](const char* aName) {
    return daemons.mLog.LastField(LogEvent::kOwnerStopped, aName);
  };
  CHECK_EQUAL(std::string("1"), field("epoch"));
  CHECK_EQUAL(std::string("overtaken"), field("reason"));
  CHECK(std::stoi(field("since_stored_ms")) >= 0);
  CHECK_EQUAL(std::string("1"), field("workers"));
  CHECK(std::stoi(field("extended_ms_ago")) >= 0);
  CHECK(field("extended").ends_with(":" + field("extended_ms_ago")));
  CHECK_EQUAL(std::string(), field("more"));
}

// Guards against an owner that withholds its commands unnoticed.
TEST(SchedulingTasks, PauseOfCommandsIsLogged)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  CHECK(WaitUntil([&] { return daemons.mWorkers.Starts() == 1; }));
  daemons.mStore.SetDown(true);
  daemons.Suspend(milliseconds(5'000));
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kCommandsPaused) == 1; }));
  CHECK(std::stoi(daemons.mLog.LastField(LogEvent::kCommandsPaused,
                                         "since_stored_ms")) >= 5'000);
  CHECK_EQUAL(std::string("suspended"),
              daemons.mLog.LastField(LogEvent::kOwnerStopped, "reason"));
  daemons.mStore.SetDown(false);
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kCommandsResumed) == 1; }));
  CHECK(std::stoi(daemons.mLog.LastField(LogEvent::kCommandsResumed,
                                         "paused_ms")) >= 0);
  CHECK_EQUAL(1, daemons.mLog.Count(LogEvent::kCommandsPaused));
}

// Guards against an evacuation that only the owner at the time of the request
// knows of.
TEST(SchedulingTasks, EvacuationHoldsAcrossAChangeOfOwner)
{
  Daemons daemons;
  const DaemonTasks first = daemons.Start("a");
  const DaemonTasks second = daemons.Start("b");
  for (const char* zone : { "z1", "z2" }) {
    daemons.mStore.Put(kEvacuationPrefix + std::string(zone), "{}");
  }
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kZoneEvacuated) == 4; }));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(first, "j1"));
  daemons.Kill(first);
  CHECK(WaitUntil([&] { return daemons.mLog.Count(LogEvent::kTakeover) > 0; }));
  daemons.AwaitWrites(kEvacuationWrites);
  CHECK_EQUAL(0, daemons.mWorkers.Starts());
  daemons.mStore.Remove(kEvacuationPrefix + std::string("z2"));
  CHECK(WaitWithWorkers(daemons, second, "j1"));
}

// Guards against a daemon that starts during an evacuation, and reads a table
// in which the evacuation is older than the settings.
TEST(SchedulingTasks, DaemonThatStartsDuringAnEvacuationKeepsIt)
{
  Daemons daemons;
  daemons.mStore.Put(kEvacuationPrefix + std::string("z1"), "not JSON");
  daemons.mStore.Put(kEvacuationPrefix + std::string("z2"), "");
  daemons.mStore.Put(kCatalogKey, "2 key");
  const DaemonTasks daemon = daemons.Start("a");
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  daemons.AwaitWrites(kEvacuationWrites);
  CHECK_EQUAL(0, daemons.mWorkers.Starts());
}

// Guards against an evacuation that never ends, since the row was removed while
// the store dropped its history.
TEST(SchedulingTasks, WithdrawalDuringLostHistoryIsNoticed)
{
  Daemons daemons;
  const DaemonTasks daemon = daemons.Start("a");
  for (const char* zone : { "z1", "z2" }) {
    daemons.mStore.Put(kEvacuationPrefix + std::string(zone), "{}");
  }
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kZoneEvacuated) == 2; }));
  daemons.mStore.SetFeedSuppressed(true);
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "j1"));
  daemons.mStore.Remove(kEvacuationPrefix + std::string("z1"));
  daemons.mStore.DropHistory("operator");
  CHECK(WaitUntil(
    [&] { return daemons.mLog.Count(LogEvent::kZoneReturned) == 1; }));
  daemons.mStore.SetFeedSuppressed(false);
  CHECK(WaitWithWorkers(daemons, daemon, "j1"));
  CHECK_EQUAL(1, daemons.mLog.Count(LogEvent::kZoneReturned));
}

// Guards against evacuations on a later page of the table, and against reads of
// the table that are restarted by each conflict and never complete.
TEST(SchedulingTasks, TableOfSeveralPagesIsReadOnceAtATime)
{
  Daemons daemons;
  daemons.mStore.SetRangePage(1);
  for (const char* zone : { "z1", "z2" }) {
    daemons.mStore.Put(kEvacuationPrefix + std::string(zone), "{}");
  }
  const DaemonTasks daemon = daemons.Start("a");
  CHECK_EQUAL(2, daemons.mLog.Count(LogEvent::kZoneEvacuated));
  daemons.mStore.SetRepliesHeld("operator");
  daemons.mStore.DropHistory("operator");
  CHECK(WaitUntil([&] { return daemons.mStore.RepliesHeld() == 1; }));
  daemons.Refresh(daemon);
  daemons.Refresh(daemon);
  CHECK_EQUAL(1, daemons.mStore.RepliesHeld());
  daemons.mStore.SetRepliesHeld("");
  CHECK(WaitUntil([&] { return daemons.IsReady(daemon); }));
  CHECK_EQUAL(0, daemons.mLog.Count(LogEvent::kZoneReturned));
}

// Guards against starts by an owner that writes to the store, but whose reads
// of the settings get no reply: a zone may be evacuated meanwhile.
TEST(SchedulingTasks, OwnerWithOldSettingsStartsNothingWhereABoundIsSet)
{
  constexpr milliseconds kBound{ 1'500 };
  Daemons daemons;
  daemons.mSchedulerOptions.mEvacuationTime = kBound;
  const DaemonTasks daemon = daemons.Start("a");
  daemons.mWorkers.SetRunsBlocked(true);
  daemons.SubmitToAllWorkers(daemon);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.Starts() == 4; }));
  CheckStatus(JobCallStatus::kOk, daemons.Submit(daemon, "waiting"));
  daemons.mStore.SetRepliesHeld("operator");
  daemons.mStore.DropHistory("operator");
  CHECK(WaitUntil([&] { return daemons.mStore.RepliesHeld() > 0; }));
  const milliseconds held = daemons.Now();
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.Now() - held >= kBound; }));
  daemons.mWorkers.SetRunsBlocked(false);
  CHECK(daemons.WaitWithLiveWorkers(
    [&] { return daemons.mWorkers.UnacknowledgedEnds() == 0; }));
  daemons.AwaitWrites(kEvacuationWrites);
  CHECK_EQUAL(4, daemons.mWorkers.Starts());
  daemons.mStore.SetRepliesHeld("");
  CHECK(WaitWithWorkers(daemons, daemon, "waiting"));
}
