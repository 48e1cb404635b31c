#include "FleetModel.h"

#include "cornelrudder/state/scheduling/OwnerLease.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

constexpr std::uint64_t kIncarnation = 1'000;
constexpr std::size_t kWorkers = 4;
constexpr WriteLimits kWholeWrite{ 40, 1'000 };
constexpr WriteLimits kOneRow{ 1, 1'000 };
constexpr std::size_t kMaxRowBytes = 1'000;
constexpr std::size_t kAttempts = 2;
constexpr std::uint64_t kScripts = 5'000;
constexpr int kScriptSteps = 60;

/** Index of a task and number of a run. */
using RunKey = std::pair<std::size_t, std::uint64_t>;

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
  OwnersOfOneJob(std::size_t aTasks,
                 bool aGang,
                 Division aDivision,
                 int aAttempts = static_cast<int>(kAttempts))
    : mJob(MakeJob("j", Step(aTasks, aGang), 1, aAttempts))
    , mIsGang(aGang)
    , mDivision(aDivision)
  {
    Replace();
  }

  /** Replaces the owner by one that knows only what is stored. */
  void Replace(const std::vector<UnrecordedEnd>& aEnds = {})
  {
    HasFailed();
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
      if (!IsInUse(WorkerName(i))) {
        Reply(WorkerName(i));
      }
    }
  }

  /** Replaces a stored record. */
  void Store(const JobProgress& aRow) { mRows.insert_or_assign(0, aRow); }

  const JobProgress& Stored() const { return mRows.at(0); }

  void Advance(milliseconds aTime) { mNow += aTime; }

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
   * Plans, stores the plan and sends commands; workers discard the ends that
   * are acknowledged.
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
      const RunKey run{ start.mTask.Index(), start.mRun };
      CHECK(FailedRuns(run.first) <
            static_cast<std::size_t>(mJob.Settings().mMaxAttempts));
      mHosts.insert_or_assign(run, start.mWorker);
      mRunning.insert(run);
    }
    for (const RenewCommand& renewal : commands.mRenewals) {
      std::erase_if(mEnds[renewal.mWorker.mId], [&renewal](const auto& aEnd) {
        return aEnd.mSequence <= renewal.mAckedUpTo;
      });
    }
    return commands.mStarts.size();
  }

  /** Lets the worker of a run report that it has ended. */
  void Report(std::size_t aTask, std::uint64_t aRun, TerminationReason aReason)
  {
    End({ aTask, aRun }, aReason);
    Reply(mHosts.at({ aTask, aRun }).mId);
  }

  /** Ends a run; its worker tells with its next reply. */
  void End(const RunKey& aRun, TerminationReason aReason)
  {
    if (mRunning.erase(aRun) > 0) {
      if (aReason == TerminationReason::kFailed) {
        mFailed.insert(aRun);
      }
      const std::string& worker = mHosts.at(aRun).mId;
      mEnds[worker].push_back({ ++mSequences[worker],
                                { "j", 0, 0, aRun.first },
                                aRun.second,
                                aReason,
                                "" });
    }
  }

  /** Lets a worker report its runs and all ends that it has not discarded. */
  void Reply(const std::string& aWorker)
  {
    mNow += milliseconds(10);
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kDone;
    reply.mIncarnation = kIncarnation;
    reply.mClock = mNow;
    reply.mTerminated = mEnds[aWorker];
    for (const auto& [task, run] : mRunning) {
      if (mHosts.at({ task, run }).mId == aWorker) {
        reply.mRunning.push_back({ { "j", 0, 0, task }, run, "", 0 });
      }
    }
    RenewCommand command;
    command.mWorker = { aWorker, aWorker + ":1" };
    mOwner->ApplyRenewReply(command, reply, mNow, mNow);
  }

  void ReplyOfAll()
  {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      Reply(WorkerName(i));
    }
  }

  const std::set<RunKey>& Running() const { return mRunning; }

  /** @return Failed runs of a task, or of the gang that it belongs to. */
  std::size_t FailedRuns(std::size_t aTask) const
  {
    std::set<std::uint64_t> runs;
    for (const auto& [task, run] : mFailed) {
      if (mIsGang || task == aTask) {
        runs.insert(run);
      }
    }
    return runs.size();
  }

  bool IsOutOfAttempts() const
  {
    return std::max(FailedRuns(0), FailedRuns(1)) >= kAttempts;
  }

  /** @return Whether an owner has ended the job as failed. */
  bool HasFailed()
  {
    const auto events =
      mOwner ? mOwner->TakeEvents() : std::vector<SchedulerEvent>();
    for (const SchedulerEvent& event : events) {
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
  /** @return Whether a worker has a run or the end of one. */
  bool IsInUse(const std::string& aWorker)
  {
    return !mEnds[aWorker].empty() ||
           std::any_of(
             mRunning.begin(), mRunning.end(), [&](const RunKey& aRun) {
               return mHosts.at(aRun).mId == aWorker;
             });
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
  bool mIsGang;
  Division mDivision;
  milliseconds mNow{ 1'000 };
  std::uint64_t mEpoch = 0;
  std::optional<Scheduler> mOwner;
  std::map<std::size_t, JobProgress> mRows;
  /** Worker of each run. */
  std::map<RunKey, WorkerTarget> mHosts;
  std::set<RunKey> mRunning;
  std::set<RunKey> mFailed;
  /** Ends that each worker reports, and the number of its last end. */
  std::map<std::string, std::vector<TerminatedRun>> mEnds;
  std::map<std::string, std::uint64_t> mSequences;
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

/** Ends a run; the members of a gang end together. */
void
EndRun(OwnersOfOneJob& aOwners,
       const RunKey& aRun,
       bool aGang,
       std::mt19937_64& aRandom)
{
  const bool fails = aRandom() % 2 == 0;
  const std::set<RunKey> running = aOwners.Running();
  for (const RunKey& run : running) {
    const bool isMember = aGang && run.second == aRun.second;
    if (run == aRun) {
      aOwners.End(
        run, fails ? TerminationReason::kFailed : TerminationReason::kStopped);
    } else if (isMember) {
      aOwners.End(run,
                  fails && aRandom() % 2 == 0 ? TerminationReason::kFailed
                                              : TerminationReason::kGangBroken);
    }
  }
}

/** Lets something happen; all workers reply to a new owner. */
void
PlayStep(OwnersOfOneJob& aOwners, bool aGang, std::mt19937_64& aRandom)
{
  const std::set<RunKey>& running = aOwners.Running();
  switch (aRandom() % 8) {
    case 0:
    case 1:
      aOwners.StartRuns();
      break;
    case 2:
      if (!running.empty()) {
        EndRun(
          aOwners,
          *std::next(running.begin(),
                     static_cast<std::ptrdiff_t>(aRandom() % running.size())),
          aGang,
          aRandom);
      }
      break;
    case 3:
    case 4:
      aOwners.Reply("w" + std::to_string(aRandom() % kWorkers));
      break;
    case 5:
    case 6:
      aOwners.Write(kOneRow);
      break;
    default:
      aOwners.Replace();
      aOwners.ReplyOfAll();
      break;
  }
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

// Guards against a record that grows with each failed run of a task with many
// attempts.
TEST(FailureCount, RecordHasTheNumbersOfTheLatestFailedRunsOnly)
{
  constexpr std::uint64_t kRuns = TaskRecord::kMaxFailedRuns + 4;
  OwnersOfOneJob owners(1, false, Division::kWhole, 100);
  for (std::uint64_t run = 1; run <= kRuns; ++run) {
    for (int i = 0; i < 100 && owners.Running().empty(); ++i) {
      owners.Advance(milliseconds(1'000));
      owners.StartRuns();
    }
    owners.Report(0, run, TerminationReason::kFailed);
  }
  owners.Write();
  const TaskRecord& record = owners.Stored().Tasks().front();
  CHECK_EQUAL(kRuns, record.mFailures);
  CHECK_EQUAL(TaskRecord::kMaxFailedRuns, record.mFailedRuns.size());
  CHECK_EQUAL(kRuns, record.mFailedRuns.back());
  owners.Replace();
  owners.Report(0, kRuns, TerminationReason::kFailed);
  owners.Write();
  CHECK_EQUAL(kRuns, owners.Stored().Tasks().front().mFailures);
}

// Guards against a verdict that depends on the order of ends, partial writes
// and changes of owner.
TEST(FailureCount, JobFailsAfterAsManyFailedRunsAsItHasAttempts)
{
  std::size_t failed = 0;
  for (std::uint64_t seed = 1; seed <= kScripts; ++seed) {
    std::mt19937_64 random(seed);
    const bool isGang = random() % 2 == 0;
    OwnersOfOneJob owners(2, isGang, static_cast<Division>(random() % 3));
    for (int i = 0; i < kScriptSteps && !owners.HasFailed(); ++i) {
      PlayStep(owners, isGang, random);
      CHECK(owners.IsOutOfAttempts() || !owners.HasFailed());
    }
    owners.ReplyOfAll();
    CHECK_EQUAL(owners.IsOutOfAttempts(), owners.HasFailed());
    failed += owners.HasFailed() ? 1 : 0;
  }
  CHECK(failed > kScripts / 10);
  CHECK(failed < kScripts);
}
