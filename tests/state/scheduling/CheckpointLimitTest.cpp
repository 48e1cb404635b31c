#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

constexpr milliseconds kClock{ 500'000 };
constexpr std::size_t kTasks = 20;
constexpr std::size_t kCheckpointBytes = 1'000;

/** A job of which all tasks end at their lease with a checkpoint, again and
 * again. */
class CheckpointingJob
{
public:
  explicit CheckpointingJob(std::size_t aMaxCheckpointBytes)
    : mScheduler(Options(aMaxCheckpointBytes))
  {
    WorkerInfo worker;
    worker.mId = "w0";
    worker.mIncarnation = 1;
    worker.mAddress = "10.0.0.1:1";
    worker.mService = "s";
    worker.mCapacity = Resources(32'000, 64'000, 8);
    worker.mClock = kClock;
    mScheduler.UpdateWorker(worker, mNow);
    // The worker gets runs after its first reply.
    RunOnce();
    StepSpecValues step;
    step.mTasks = kTasks;
    step.mDemand = Resources(1, 1, 0);
    mScheduler.AddJob(MakeJob("j", step, 1), milliseconds(0), nullptr, mNow);
  }

  /** Starts all tasks and ends their runs. */
  std::vector<StartCommand> RunOnce()
  {
    mNow += milliseconds(10);
    mScheduler.Plan(mNow, mNow);
    mScheduler.BeginWrite({ 40, 1'000 });
    mScheduler.FinishWrite(true);
    const auto starts = mScheduler.CollectCommands(mNow).mStarts;
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kDone;
    reply.mIncarnation = 1;
    reply.mClock = kClock;
    for (const StartCommand& it : starts) {
      mScheduler.ApplyStartReply(
        it, { CommandOutcome::kDone, kClock, "" }, mNow);
      std::string checkpoint = std::to_string(mTerminations) + ":";
      checkpoint.resize(kCheckpointBytes, 'c');
      reply.mTerminated.push_back({ ++mTerminations,
                                    it.mTask,
                                    it.mRun,
                                    TerminationReason::kLeaseExpired,
                                    checkpoint });
    }
    RenewCommand renewal;
    renewal.mWorker = { "w0", "10.0.0.1:1" };
    mNow += milliseconds(10);
    mScheduler.ApplyRenewReply(renewal, reply, mNow - milliseconds(1), mNow);
    return starts;
  }

  std::size_t Events(SchedulerEvent::Kind aKind)
  {
    const auto events = mScheduler.TakeEvents();
    return static_cast<std::size_t>(
      std::count_if(events.begin(), events.end(), [aKind](const auto& aEvent) {
        return aEvent.mKind == aKind;
      }));
  }

  std::uint64_t Bytes() const
  {
    return mScheduler.Gauges().at("scheduler_checkpoint_bytes");
  }

  void Cancel() { mScheduler.CancelJob("j", mNow); }

  void WriteAll()
  {
    while (mScheduler.HasChanges()) {
      mScheduler.BeginWrite({ 40, 1'000 });
      mScheduler.FinishWrite(true);
    }
  }

private:
  static SchedulerOptions Options(std::size_t aMaxCheckpointBytes)
  {
    SchedulerOptions options;
    options.mEpoch = 1;
    options.mMaxCheckpointBytes = aMaxCheckpointBytes;
    return options;
  }

  Scheduler mScheduler;
  milliseconds mNow{ 1'000 };
  std::uint64_t mTerminations = 0;
};

std::size_t
CountResumed(const std::vector<StartCommand>& aStarts)
{
  return static_cast<std::size_t>(
    std::count_if(aStarts.begin(), aStarts.end(), [](const auto& aStart) {
      return !aStart.mCheckpoint.empty();
    }));
}

} // namespace

TEST_GROUP(CheckpointLimit){};

// Guards against an owner that exceeds the memory of a small VM with the
// checkpoints of large jobs, and against tasks that do not start without one.
TEST(CheckpointLimit, CheckpointsTogetherStayWithinTheLimit)
{
  constexpr std::size_t kKept = 8;
  CheckpointingJob job(kKept * kCheckpointBytes);
  job.RunOnce();
  CHECK_EQUAL(kKept * kCheckpointBytes, job.Bytes());
  const auto starts = job.RunOnce();
  CHECK_EQUAL(kTasks, starts.size());
  CHECK_EQUAL(kKept, CountResumed(starts));
  job.RunOnce();
  CHECK_EQUAL(kKept * kCheckpointBytes, job.Bytes());
  // One line while the limit is reached.
  const auto events = job.Events(SchedulerEvent::Kind::kCheckpointsLimited);
  CHECK_EQUAL(1, events);
}

// Guards against memory that counts as used after its job has ended.
TEST(CheckpointLimit, EndedJobsFreeTheirCheckpoints)
{
  CheckpointingJob job(kTasks * kCheckpointBytes);
  job.RunOnce();
  CHECK_EQUAL(kTasks * kCheckpointBytes, job.Bytes());
  job.Cancel();
  job.WriteAll();
  CHECK_EQUAL(0, job.Bytes());
}
