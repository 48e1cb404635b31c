#include "cornelrudder/coordination/SchedulingTables.h"
#include "cornelrudder/protocol/JsonSchedulingCodec.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace cornelrudder;
using namespace cornelrudder::state::scheduling;
using cornelrudder::coordination::ProgressKey;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxTasks = 40;
constexpr milliseconds kClock{ 500'000 };

/**
 * A job whose tasks end with checkpoints of any length, and the rows of a store
 * that has its records. Writes are lost, stored without a reply or rejected,
 * and owners with other limits take over.
 */
class RecordHistory
{
public:
  explicit RecordHistory(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mTasks(1 + Below(kMaxTasks))
    , mExpected(mTasks, "")
  {
    BeginOwner(nullptr);
  }

  void Play()
  {
    for (int i = 0; i < 6; ++i) {
      PlanAndStart();
      WriteAll();
      EndSomeRuns();
      WriteAll();
      CheckRows();
      if (Below(2) == 0) {
        const JobProgress progress = Joined();
        BeginOwner(&progress);
      }
    }
  }

private:
  std::size_t Below(std::size_t aEnd) { return mRandom() % aEnd; }

  std::string DrawCheckpoint()
  {
    static const std::vector<std::string> kTexts{ "c", "\x01", "\"", "\u00e9" };
    const std::size_t longest = Below(4) == 0 ? 2 * mRecordBytes : 100;
    const std::string& text = kTexts[Below(kTexts.size())];
    std::string checkpoint = std::to_string(++mCheckpoints);
    while (checkpoint.size() < longest && Below(50) != 0) {
      checkpoint += text;
    }
    return checkpoint;
  }

  void BeginOwner(const JobProgress* aProgress)
  {
    SchedulerOptions options;
    options.mEpoch = ++mEpoch;
    options.mTasksPerRecord = 1 + Below(kMaxTasks);
    mRecordBytes = 300 + Below(2'000);
    mScheduler.emplace(std::move(options));
    WorkerInfo worker;
    worker.mId = "w0";
    worker.mIncarnation = 1;
    worker.mAddress = "10.0.0.1:1";
    worker.mService = "s";
    worker.mCapacity = Resources(32'000, 64'000, 8);
    worker.mClock = kClock;
    mScheduler->UpdateWorker(worker, mNow);
    StepSpecValues step;
    step.mTasks = mTasks;
    step.mDemand = Resources(1, 1, 0);
    QueueSettings settings;
    settings.mQueue = "q";
    settings.mService = "s";
    const TaskJob job("j", "o", settings, "p", { StepSpec(step, 0) }, {}, {});
    mScheduler->AddJob(job, milliseconds(0), aProgress, mNow);
    // The worker has lost its runs.
    mRuns.clear();
    Reply({}, {});
  }

  /** Lets the worker reply to a renewal that is sent now. */
  void Reply(std::vector<RunningRun> aRunning,
             std::vector<TerminatedRun> aTerminated)
  {
    mNow += milliseconds(10);
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kDone;
    reply.mIncarnation = 1;
    reply.mClock = kClock;
    reply.mRunning = std::move(aRunning);
    reply.mTerminated = std::move(aTerminated);
    RenewCommand command;
    command.mWorker = { "w0", "10.0.0.1:1" };
    mScheduler->ApplyRenewReply(command, reply, mNow - milliseconds(1), mNow);
  }

  void PlanAndStart()
  {
    mNow += milliseconds(10);
    mScheduler->Plan(mNow, mNow);
    WriteAll();
    for (const StartCommand& it : mScheduler->CollectCommands(mNow).mStarts) {
      const std::size_t task = it.mTask.Index();
      RC_ASSERT(it.mCheckpoint.empty() || it.mCheckpoint == mExpected[task]);
      mRuns[task] = it.mRun;
      mScheduler->ApplyStartReply(
        it, { CommandOutcome::kDone, kClock, "" }, mNow);
    }
  }

  void EndSomeRuns()
  {
    std::vector<RunningRun> running;
    std::vector<TerminatedRun> terminated;
    for (auto it = mRuns.begin(); it != mRuns.end();) {
      const auto [index, run] = *it;
      const TaskId task("j", 0, 0, index);
      if (Below(3) == 0) {
        running.push_back({ task, run, "", 1 });
        ++it;
        continue;
      }
      const bool isDone = Below(6) == 0;
      mExpected[index] =
        isDone ? std::nullopt : std::optional(DrawCheckpoint());
      terminated.push_back(
        { ++mTerminations,
          task,
          run,
          isDone ? TerminationReason::kDone : TerminationReason::kLeaseExpired,
          mExpected[index].value_or("") });
      it = mRuns.erase(it);
    }
    Reply(std::move(running), std::move(terminated));
  }

  /** Writes all changes; each state of the rows on the way must be readable. */
  void WriteAll()
  {
    // Faults end at some time, as for the store.
    for (int n = 0; mScheduler->HasChanges(); ++n) {
      RC_ASSERT(n < 2'000);
      Write(n < 200 ? Below(4) : 0);
    }
  }

  void Write(std::size_t aFault)
  {
    WriteLimits limits;
    limits.mRecords = 1 + Below(4);
    limits.mTasks = kMaxTasks;
    limits.mRecordBytes = mRecordBytes;
    limits.mBytes = 1 + Below(3 * mRecordBytes);
    const auto records =
      mScheduler->BeginWrite(limits, [this](const JobProgress& aRecord) {
        return mCodec.EncodeProgress(aRecord).size();
      });
    for (const JobProgress& record : records) {
      const std::string value = mCodec.EncodeProgress(record);
      RC_ASSERT(value.size() <= mRecordBytes || record.Tasks().size() <= 1);
    }
    if (aFault == 1) {
      mScheduler->FinishWrite(false);
    } else if (aFault == 2 && records.size() == 1) {
      mScheduler->HandleRejectedRecord(mNow);
      // A job that is set aside is tried again after a while.
      mNow += milliseconds(70'000);
      mScheduler->Plan(mNow, mNow);
    } else {
      for (const JobProgress& record : records) {
        mRows.insert_or_assign(ProgressKey(record.Job(), record.Part()),
                               mCodec.EncodeProgress(record));
      }
      // The reply to a stored write may be lost.
      mScheduler->FinishWrite(aFault != 3);
      CheckRuns();
    }
  }

  JobProgress Joined()
  {
    std::vector<JobProgress> parts;
    for (const auto& [key, value] : mRows) {
      parts.push_back(mCodec.DecodeProgress(value));
    }
    return JobProgress::Join(std::move(parts));
  }

  /** Run numbers must not be forgotten: they would be used again. */
  void CheckRuns()
  {
    const JobProgress progress = Joined();
    if (IsFinal(progress.Phase())) {
      return;
    }
    mStoredRuns.resize(mTasks);
    RC_ASSERT(progress.Tasks().size() <= mTasks);
    for (std::size_t i = 0; i < mTasks; ++i) {
      const std::uint64_t run =
        i < progress.Tasks().size() ? progress.Tasks()[i].mRun : 0;
      RC_ASSERT(run >= mStoredRuns[i]);
      mStoredRuns[i] = run;
    }
  }

  /** Compares the rows with the state after all changes were written. */
  void CheckRows()
  {
    const JobProgress progress = Joined();
    for (std::size_t i = 0; i < progress.Tasks().size(); ++i) {
      const TaskRecord& record = progress.Tasks()[i];
      if (IsFinal(progress.Phase())) {
        continue;
      }
      RC_ASSERT((record.mState == RecordedState::kDone) ==
                !mExpected[i].has_value());
      RC_ASSERT(record.mCheckpoint.empty() ||
                record.mCheckpoint == mExpected[i]);
    }
  }

  std::mt19937_64 mRandom;
  std::size_t mTasks;
  protocol::JsonSchedulingCodec mCodec;
  std::optional<Scheduler> mScheduler;
  milliseconds mNow{ 1'000 };
  std::uint64_t mEpoch = 0;
  std::size_t mRecordBytes = 0;
  std::uint64_t mTerminations = 0;
  std::uint64_t mCheckpoints = 0;
  /** Rows of the store by key. */
  std::map<std::string, std::string> mRows;
  std::vector<std::uint64_t> mStoredRuns;
  /** Runs that the worker has, by task. */
  std::map<std::size_t, std::uint64_t> mRuns;
  /** The last checkpoint of each task; nothing once it is done. */
  std::vector<std::optional<std::string>> mExpected;
};

} // namespace

TEST_GROUP(RecordRows){};

// Guards against records that outgrow a row, and against tasks that are in no
// row while a record is divided.
TEST(RecordRows, RecordsOfAnyLengthFitAndCanBeReadAtAnyTime)
{
  CHECK(rc::check("records of any length",
                  [](std::uint64_t aSeed) { RecordHistory(aSeed).Play(); }));
}

// Guards against a crash over rows that the job has no tasks for.
TEST(RecordRows, RowsBeyondTheJobAreIgnored)
{
  const JobProgress row("j", "o", JobPhase::kRunning, true, { TaskRecord{} });
  const JobProgress progress =
    JobProgress::Join({ row.AsRow({ 0, 0 }), row.AsRow({ 50, 1 }) });
  StepSpecValues step;
  step.mTasks = 2;
  Scheduler scheduler{ SchedulerOptions() };
  scheduler.AddJob(
    TaskJob("j", "o", QueueSettings(), "p", { StepSpec(step, 0) }, {}, {}),
    milliseconds(0),
    &progress,
    milliseconds(1'000));
  scheduler.CancelJob("j", milliseconds(1'000));
  const auto records = scheduler.BeginWrite({ 40, 1'000 });
  CHECK_EQUAL(1, records.size());
}
