#include "FleetModel.h"

#include "cornelrudder/state/scheduling/OwnerLease.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

constexpr std::uint64_t kIncarnation = 1'000;
constexpr std::size_t kWorkers = 4;
constexpr WriteLimits kWholeWrite{ 40, 1'000 };
constexpr WriteLimits kOneRow{ 1, 1'000 };
constexpr std::size_t kMaxRowBytes = 1'000;

/** How the record of a job with two tasks is divided. */
enum class Division
{
  kWhole,
  /** Two equal parts, which are written first to last. */
  kEqual,
  /** Two rows, which are written last to first. */
  kUnequal
};

/** @return A size that lets a record have one task only. */
std::size_t
SizeWithOneTask(const JobProgress& aRecord)
{
  return aRecord.Tasks().size() > 1 ? kMaxRowBytes + 1 : 1;
}

/**
 * Owners in turn that schedule one job with two attempts, a store that takes
 * what the test lets it take, and workers that each fit one run.
 */
class OwnersOfOneJob
{
public:
  OwnersOfOneJob(std::size_t aTasks, bool aGang, Division aDivision)
    : mJob(MakeJob("j", Step(aTasks, aGang), 1))
    , mDivision(aDivision)
  {
    Replace();
  }

  /** Replaces the owner by one that knows only what is stored. */
  void Replace(const std::vector<UnrecordedEnd>& aEnds = {})
  {
    SchedulerOptions options;
    options.mEpoch = ++mEpoch;
    options.mTasksPerRecord =
      mDivision == Division::kEqual ? 1 : TaskJob::kMaxTasks;
    mOwner.emplace(std::move(options));
    for (std::size_t i = 0; i < kWorkers; ++i) {
      WorkerInfo info;
      info.mId = WorkerName(i);
      info.mIncarnation = kIncarnation;
      info.mAddress = info.mId + ":1";
      info.mService = "s";
      info.mCapacity = Resources(1'000, 1'000, 1);
      info.mClock = mNow;
      mOwner->UpdateWorker(info, mNow);
    }
    std::vector<JobProgress> rows;
    for (const auto& [part, row] : mRows) {
      rows.push_back(row);
    }
    const auto record =
      rows.empty() ? std::nullopt : std::make_optional(JobProgress::Join(rows));
    mOwner->AddJob(mJob, milliseconds(0), record ? &*record : nullptr, mNow);
    mOwner->RestoreUnrecordedEnds(aEnds, mNow);
    mOwner->Plan(mNow, mNow);
    for (std::size_t i = 0; i < kWorkers; ++i) {
      const WorkerTarget worker{ WorkerName(i), WorkerName(i) + ":1" };
      const bool isHost =
        std::any_of(mHosts.begin(), mHosts.end(), [&worker](const auto& aIt) {
          return aIt.second.mId == worker.mId;
        });
      if (!isHost) {
        Reply(worker);
      }
    }
  }

  /** Replaces a stored record. */
  void Store(const JobProgress& aRow) { mRows.insert_or_assign(0, aRow); }

  void Write(WriteLimits aLimits = kWholeWrite)
  {
    aLimits.mRecordBytes = kMaxRowBytes;
    const RecordSizer sizer =
      mDivision == Division::kUnequal ? SizeWithOneTask : RecordSizer();
    for (const JobProgress& row : mOwner->BeginWrite(aLimits, sizer)) {
      mRows.insert_or_assign(row.Part(), row);
    }
    mOwner->FinishWrite(true);
  }

  /**
   * Plans and stores the plan.
   * @return Number of runs that are started.
   */
  std::size_t StartRuns()
  {
    mNow += milliseconds(10);
    mOwner->Plan(mNow, mNow);
    Write();
    const WorkerCommands commands = mOwner->CollectCommands(mNow);
    for (const StartCommand& start : commands.mStarts) {
      mOwner->ApplyStartReply(start, { CommandOutcome::kDone, mNow, "" }, mNow);
      mHosts.insert_or_assign({ start.mTask.Index(), start.mRun },
                              start.mWorker);
    }
    return commands.mStarts.size();
  }

  /** Lets the worker of a run report that it has ended. */
  void Report(std::size_t aTask, std::uint64_t aRun, TerminationReason aReason)
  {
    const WorkerTarget& worker = mHosts.at({ aTask, aRun });
    auto& ends = mEnds[worker.mId];
    const TerminatedRun end{ 0, { "j", 0, 0, aTask }, aRun, aReason, "" };
    const bool isKnown =
      std::any_of(ends.begin(), ends.end(), [&end](const auto& aIt) {
        return aIt.mTask == end.mTask && aIt.mRun == end.mRun;
      });
    if (!isKnown) {
      ends.push_back(end);
      ends.back().mSequence = ends.size();
    }
    Reply(worker);
  }

  /** @return Whether an owner has ended the job as failed. */
  bool HasFailed()
  {
    for (const SchedulerEvent& event : mOwner->TakeEvents()) {
      const bool isFailure =
        event.mKind == SchedulerEvent::Kind::kJobEnded &&
        std::find(event.mFields.begin(),
                  event.mFields.end(),
                  std::pair<std::string, std::string>("state", "failed")) !=
          event.mFields.end();
      mIsFailed = mIsFailed || isFailure;
    }
    return mIsFailed;
  }

private:
  void Reply(const WorkerTarget& aWorker)
  {
    mNow += milliseconds(10);
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kDone;
    reply.mIncarnation = kIncarnation;
    reply.mClock = mNow;
    reply.mTerminated = mEnds[aWorker.mId];
    RenewCommand command;
    command.mWorker = aWorker;
    mOwner->ApplyRenewReply(command, reply, mNow, mNow);
  }

  static std::string WorkerName(std::size_t aWorker)
  {
    return "w" + std::to_string(aWorker);
  }

  static StepSpecValues Step(std::size_t aTasks, bool aGang)
  {
    StepSpecValues step;
    step.mTasks = aTasks;
    step.mDemand = Resources(1'000, 1'000, 1);
    step.mEstimatedRunTime = milliseconds(60'000);
    step.mGang = aGang;
    return step;
  }

  TaskJob mJob;
  Division mDivision;
  milliseconds mNow{ 1'000 };
  std::uint64_t mEpoch = 0;
  std::optional<Scheduler> mOwner;
  std::map<std::size_t, JobProgress> mRows;
  /** Worker of each run, by the index of its task and its number. */
  std::map<std::pair<std::size_t, std::uint64_t>, WorkerTarget> mHosts;
  /** Ends that each worker reports until they are acknowledged. */
  std::map<std::string, std::vector<TerminatedRun>> mEnds;
  bool mIsFailed = false;
};

/** Lets the next run of a gang with two members fail. */
void
FailNextRun(OwnersOfOneJob& aOwners, std::uint64_t aRun)
{
  CHECK_EQUAL(2, aOwners.StartRuns());
  aOwners.Report(0, aRun, TerminationReason::kFailed);
  aOwners.Report(1, aRun, TerminationReason::kGangBroken);
}

} // namespace

TEST_GROUP(FailureCount){};

// Guards against a failed run that fails its job alone because a successor
// counts it again.
TEST(FailureCount, EndReportedAgainAfterTheFirstRowWasStoredCountsOnce)
{
  OwnersOfOneJob owners(2, true, Division::kEqual);
  CHECK_EQUAL(2, owners.StartRuns());
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Write(kOneRow);
  owners.Replace();
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Report(0, 1, TerminationReason::kGangBroken);
  CHECK(!owners.HasFailed());
  FailNextRun(owners, 2);
  CHECK(owners.HasFailed());
  CHECK_EQUAL(0, owners.StartRuns());
}

// Guards against a failed run of a gang that counts once for each owner to
// which a member reports it.
TEST(FailureCount, MembersThatReportOneFailedRunToTwoOwnersCountOnce)
{
  OwnersOfOneJob owners(2, true, Division::kWhole);
  CHECK_EQUAL(2, owners.StartRuns());
  owners.Report(0, 1, TerminationReason::kFailed);
  owners.Write();
  owners.Replace();
  owners.Report(1, 1, TerminationReason::kFailed);
  CHECK(!owners.HasFailed());
  FailNextRun(owners, 2);
  CHECK(owners.HasFailed());
  CHECK_EQUAL(0, owners.StartRuns());
}

// Guards against counting an end in the lease row that the first row of the
// record contains already.
TEST(FailureCount, EndInTheLeaseRowCountsOnce)
{
  OwnersOfOneJob owners(2, true, Division::kEqual);
  CHECK_EQUAL(2, owners.StartRuns());
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Write(kOneRow);
  owners.Replace({ { { "j", 0, 0, 1 }, 1, TerminationReason::kFailed } });
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Report(0, 1, TerminationReason::kGangBroken);
  CHECK(!owners.HasFailed());
  FailNextRun(owners, 2);
  CHECK(owners.HasFailed());
}

// Guards against a failed run that no owner counts, since the row of its member
// was stored before the row with the count.
TEST(FailureCount, EndReportedAgainBeforeTheFirstRowWasStoredCounts)
{
  OwnersOfOneJob owners(2, true, Division::kUnequal);
  CHECK_EQUAL(2, owners.StartRuns());
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Write(kOneRow);
  owners.Replace();
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Report(0, 1, TerminationReason::kGangBroken);
  CHECK(!owners.HasFailed());
  FailNextRun(owners, 2);
  CHECK(owners.HasFailed());
  CHECK_EQUAL(0, owners.StartRuns());
}

// Guards against losing an acknowledged failure whose count only the lease row
// contains.
TEST(FailureCount, EndInTheLeaseRowCountsIfOnlyTheMemberIsStored)
{
  OwnersOfOneJob owners(2, true, Division::kUnequal);
  CHECK_EQUAL(2, owners.StartRuns());
  owners.Report(1, 1, TerminationReason::kFailed);
  owners.Write(kOneRow);
  owners.Replace({ { { "j", 0, 0, 1 }, 1, TerminationReason::kFailed } });
  owners.Report(0, 1, TerminationReason::kGangBroken);
  CHECK(!owners.HasFailed());
  FailNextRun(owners, 2);
  CHECK(owners.HasFailed());
}

// Guards against a start after the last attempt: a worker out of reach reports
// a failed run only after a change of owner.
TEST(FailureCount, LateFailureCountsForTheSuccessor)
{
  FleetModel model({ 2, 1 });
  StepSpecValues step;
  step.mDemand = Resources(1'000, 1'000, 8);
  step.mEstimatedRunTime = milliseconds(1'000);
  model.Submit(MakeJob("a", step, 1), milliseconds(5'000));
  model.FailRuns("a", 3);
  model.Run(milliseconds(500));
  const std::size_t host = model.RunningOn(0) > 0 ? 0 : 1;
  model.SetReachable(host, false);
  model.Run(milliseconds(9'500));
  CHECK_EQUAL(2, model.Starts());
  model.ReplaceOwner();
  model.SetReachable(host, true);
  model.Run(milliseconds(12'000));
  CHECK_EQUAL(2, model.Starts());
  CHECK_EQUAL(static_cast<int>(JobPhase::kFailed),
              static_cast<int>(model.OutcomeOf("a").mPhase));
  for (const std::string& violation : model.Violations()) {
    FAIL(violation.c_str());
  }
}

// Guards against counting a run again that a record of an earlier version
// counts without its number.
TEST(FailureCount, EarlierRunOfARecordWithoutNumbersIsNotCountedAgain)
{
  OwnersOfOneJob owners(1, false, Division::kWhole);
  CHECK_EQUAL(1, owners.StartRuns());
  TaskRecord record;
  record.mRun = 1;
  record.mFailures = 1;
  owners.Store({ "j", "acme", JobPhase::kRunning, true, { record } });
  owners.Replace();
  owners.Report(0, 1, TerminationReason::kFailed);
  CHECK(!owners.HasFailed());
  CHECK_EQUAL(1, owners.StartRuns());
  owners.Report(0, 2, TerminationReason::kFailed);
  CHECK(owners.HasFailed());
}
