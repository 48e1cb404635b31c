#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <utility>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

constexpr std::uint64_t kIncarnation = 1'000;
constexpr milliseconds kWorkerLease{ 6'000 };
/** Clock of a worker that has been up for long when a test begins. */
constexpr milliseconds kWorkerClock{ 500'000 };

/** A scheduler with a store that works and workers that the test plays. */
class ScriptedFleet
{
public:
  explicit ScriptedFleet(SchedulerOptions aOptions = {})
    : mScheduler(std::move(aOptions))
  {
  }

  void List(const std::string& aId,
            std::uint64_t aIncarnation,
            const std::string& aAddress,
            milliseconds aClock)
  {
    WorkerInfo info;
    info.mId = aId;
    info.mIncarnation = aIncarnation;
    info.mAddress = aAddress;
    info.mService = "s";
    info.mRack = "r0";
    info.mCapacity = Resources(32'000, 64'000, 8);
    info.mClock = aClock;
    mScheduler.UpdateWorker(info, mNow);
  }

  void Submit(const std::string& aJob = "j1")
  {
    StepSpecValues step;
    step.mDemand = Resources(1'000, 1'000, 1);
    step.mEstimatedRunTime = milliseconds(60'000);
    mScheduler.AddJob(MakeJob(aJob, step, 1), milliseconds(0), nullptr, mNow);
  }

  /** Lets a listed worker reply once, before it has runs. */
  void Greet(const std::string& aId, milliseconds aClock)
  {
    Cycle();
    Answer(aId, ReplyOf(kIncarnation, aClock));
  }

  /** Plans, stores the plan and collects the commands that follow. */
  WorkerCommands Cycle(milliseconds aAfter = milliseconds(10))
  {
    mNow += aAfter;
    mScheduler.Plan(mNow, mNow);
    mScheduler.BeginWrite({ 40, 1'000 });
    mScheduler.FinishWrite(true);
    WorkerCommands commands = mScheduler.CollectCommands(mNow);
    for (const RenewCommand& it : commands.mRenewals) {
      mRenewals.insert_or_assign(it.mWorker.mId, std::pair(it, mNow));
    }
    return commands;
  }

  void Answer(const StartCommand& aCommand,
              CommandOutcome aOutcome,
              milliseconds aClock)
  {
    mScheduler.ApplyStartReply(aCommand, { aOutcome, aClock, "" }, mNow);
  }

  void Answer(const StopCommand& aCommand, CommandOutcome aOutcome)
  {
    mScheduler.ApplyStopReply(
      aCommand, { aOutcome, milliseconds(0), "" }, mNow);
  }

  /** Answers the renewal of a worker that is in flight, if there is one. */
  void Answer(const std::string& aWorker, const RenewReply& aReply)
  {
    const auto it = mRenewals.find(aWorker);
    if (it != mRenewals.end()) {
      const auto [command, sentAt] = it->second;
      mRenewals.erase(it);
      mScheduler.ApplyRenewReply(command, aReply, sentAt, mNow);
    }
  }

  static RenewReply ReplyOf(std::uint64_t aIncarnation,
                            milliseconds aClock,
                            std::vector<RunningRun> aRunning = {})
  {
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kDone;
    reply.mIncarnation = aIncarnation;
    reply.mClock = aClock;
    reply.mRunning = std::move(aRunning);
    return reply;
  }

  static RenewReply NoReply()
  {
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kUnknown;
    return reply;
  }

  Scheduler mScheduler;
  milliseconds mNow{ 1'000 };

private:
  /** Renewals in flight and when they were sent, by worker. */
  std::map<std::string, std::pair<RenewCommand, milliseconds>> mRenewals;
};

/**
 * Leaves a worker without replies.
 * @return When its task was started on another worker, or nothing until then.
 */
std::optional<milliseconds>
ReplacedAt(ScriptedFleet& aFleet,
           const std::string& aWorker,
           milliseconds aUntil)
{
  while (aFleet.mNow < aUntil) {
    const WorkerCommands commands = aFleet.Cycle(milliseconds(20));
    for (const StartCommand& start : commands.mStarts) {
      if (start.mWorker.mId != aWorker) {
        return aFleet.mNow;
      }
      aFleet.Answer(start, CommandOutcome::kUnknown, milliseconds(0));
    }
    aFleet.Answer(aWorker, ScriptedFleet::NoReply());
  }
  return std::nullopt;
}

/**
 * A new owner and the run 1 of a task that the former owner has planned on the
 * worker "w0", and may still start for a while. Another worker is idle.
 */
class Successor
{
public:
  Successor()
    : mFleet(Options())
  {
    mFleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
    mFleet.List("w1", kIncarnation, "10.0.0.2:1", kWorkerClock);
    StepSpecValues step;
    step.mDemand = Resources(1'000, 1'000, 1);
    TaskRecord record;
    record.mState = RecordedState::kAssigned;
    record.mRun = 1;
    record.mWorker = "w0";
    record.mIncarnation = kIncarnation;
    const JobProgress progress(
      "j1", "acme", JobPhase::kQueued, false, { record });
    mFleet.mScheduler.AddJob(
      MakeJob("j1", step, 1), milliseconds(0), &progress, mFleet.mNow);
    mFleet.Cycle();
  }

  static TaskId Task() { return { "j1", 0, 0, 0 }; }

  /** Lets "w0" reply to the renewal in flight. */
  void AnswerOfTheWorker(const RenewReply& aReply)
  {
    mFleet.Answer("w0", aReply);
    mWorkerReply = aReply;
    mWorkerReply.mTerminated.clear();
  }

  /** @return When the task is started again, or nothing within some seconds. */
  std::optional<milliseconds> NextStartAt()
  {
    constexpr milliseconds kEnd{ 10'000 };
    while (mFleet.mNow < kEnd) {
      if (!mFleet.Cycle().mStarts.empty()) {
        return mFleet.mNow;
      }
      mFleet.Answer("w0", mWorkerReply);
      mFleet.Answer("w1", ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock));
    }
    return std::nullopt;
  }

  /** Time from which the former owner starts no runs. */
  static constexpr milliseconds kLastEarlierStart{ 3'400 };

  ScriptedFleet mFleet;

private:
  static SchedulerOptions Options()
  {
    SchedulerOptions options;
    options.mEpoch = 2;
    options.mLastEarlierStartAt = kLastEarlierStart;
    return options;
  }

  RenewReply mWorkerReply;
};

} // namespace

TEST_GROUP(WorkerBelief){};

// Guards against a second run of a task whose start was executed after a
// renewal that was sent in the same millisecond.
TEST(WorkerBelief, RenewalOfTheMillisecondOfAStartReplyEndsNoRun)
{
  ScriptedFleet fleet;
  fleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
  fleet.Greet("w0", kWorkerClock);
  fleet.Submit();
  const WorkerCommands commands = fleet.Cycle();
  CHECK_EQUAL(1, commands.mStarts.size());
  CHECK_EQUAL(1, commands.mRenewals.size());
  fleet.Answer(commands.mStarts.front(), CommandOutcome::kDone, kWorkerClock);
  fleet.Answer("w0", ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock));
  CHECK_EQUAL(0, fleet.Cycle().mStarts.size());
}

// Guards against the same for a stop that was executed after the renewal.
TEST(WorkerBelief, RenewalOfTheMillisecondOfAStopReplyEndsNoRun)
{
  ScriptedFleet fleet;
  fleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
  fleet.Greet("w0", kWorkerClock);
  fleet.Submit();
  std::optional<WorkerCommands> stopping;
  for (int i = 0; i < 100 && !stopping; ++i) {
    const WorkerCommands commands = fleet.Cycle();
    for (const StartCommand& it : commands.mStarts) {
      fleet.Answer(it, CommandOutcome::kUnknown, milliseconds(0));
    }
    if (!commands.mStops.empty() && !commands.mRenewals.empty()) {
      stopping = commands;
    } else {
      fleet.Answer("w0", ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock));
    }
  }
  CHECK(stopping.has_value());
  fleet.Answer(stopping->mStops.front(), CommandOutcome::kDone);
  fleet.Answer("w0", ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock));
  CHECK_EQUAL(0, fleet.Cycle().mStarts.size());
}

// Guards against a second run of a task after a rejection by another worker, at
// an address that the task's worker has left before the run started.
TEST(WorkerBelief, RejectionFromAFormerAddressEndsNoRuns)
{
  ScriptedFleet fleet;
  fleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
  fleet.Greet("w0", kWorkerClock);
  fleet.Submit();
  const StartCommand first = fleet.Cycle().mStarts.front();
  fleet.Answer(first, CommandOutcome::kDone, kWorkerClock);
  fleet.Answer("w0",
               ScriptedFleet::ReplyOf(kIncarnation,
                                      kWorkerClock,
                                      { { first.mTask, first.mRun, "", 1 } }));
  CHECK_EQUAL(1, fleet.Cycle().mRenewals.size());
  fleet.List("w0", kIncarnation + 1, "10.0.0.2:1", milliseconds(100));
  fleet.Submit("j2");
  const WorkerCommands commands = fleet.Cycle();
  CHECK_EQUAL(1, commands.mStarts.size());
  STRCMP_EQUAL("10.0.0.2:1", commands.mStarts.front().mWorker.mAddress.c_str());
  fleet.Answer(
    commands.mStarts.front(), CommandOutcome::kDone, milliseconds(110));
  fleet.List("w1", kIncarnation, "10.0.0.3:1", kWorkerClock);
  fleet.Greet("w1", kWorkerClock);
  RenewReply rejection;
  rejection.mOutcome = CommandOutcome::kIncarnationMismatch;
  fleet.Answer("w0", rejection);
  for (const StartCommand& start : fleet.Cycle().mStarts) {
    CHECK(start.mTask != commands.mStarts.front().mTask);
  }
}

// Guards against a second run of a task before the lease of the first one has
// ended on a slow worker whose clock was read long before.
TEST(WorkerBelief, LeaseFromAnOldReadingOfTheClockEndsBeforeTheRunIsReplaced)
{
  constexpr milliseconds kOutage{ 40'000 };
  const auto slow = [](milliseconds aTime) { return aTime * 98 / 100; };
  ScriptedFleet fleet;
  fleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
  fleet.Greet("w0", kWorkerClock);
  const milliseconds read = fleet.mNow;
  fleet.mNow += kOutage;
  fleet.Submit();
  const StartCommand start = fleet.Cycle().mStarts.front();
  fleet.Answer(start, CommandOutcome::kUnknown, milliseconds(0));
  fleet.List("w1", kIncarnation, "10.0.0.2:1", kWorkerClock);
  fleet.Greet("w1", kWorkerClock);
  const auto replaced =
    ReplacedAt(fleet, "w0", fleet.mNow + milliseconds(20'000));
  CHECK(replaced.has_value());
  CHECK(start.mLeaseExpiry <= kWorkerClock + slow(*replaced - read));
}

// Guards against a second run of a task while a late start of the first one may
// be executed by an incarnation that has not acknowledged its stop.
TEST(WorkerBelief, StopAcknowledgedByAnEarlierIncarnationEndsNoRun)
{
  constexpr int kCycles = 100;
  ScriptedFleet fleet;
  fleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
  fleet.Greet("w0", kWorkerClock);
  fleet.Submit();
  std::optional<StopCommand> stop;
  for (int i = 0; i < kCycles && !stop; ++i) {
    const WorkerCommands commands = fleet.Cycle();
    for (const StartCommand& it : commands.mStarts) {
      fleet.Answer(it, CommandOutcome::kUnknown, milliseconds(0));
    }
    if (!commands.mStops.empty()) {
      stop = commands.mStops.front();
    }
    fleet.Answer("w0", ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock));
  }
  CHECK(stop.has_value());
  fleet.Answer(*stop, CommandOutcome::kDone);
  fleet.List("w1", kIncarnation, "10.0.0.2:1", kWorkerClock);
  fleet.Greet("w1", kWorkerClock);
  fleet.List("w0", kIncarnation + 1, "10.0.0.1:1", milliseconds(100));
  fleet.Answer("w0",
               ScriptedFleet::ReplyOf(kIncarnation + 1, milliseconds(120)));
  CHECK_EQUAL(0, fleet.Cycle().mStarts.size());
}

// Guards against a second run of a task while the former owner may still start
// the first one on a worker that restarts and then knows no epoch.
TEST(WorkerBelief, RecoveredRunIsKeptWhileTheFormerOwnerMayStartIt)
{
  Successor successor;
  successor.AnswerOfTheWorker(
    ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock));
  const auto next = successor.NextStartAt();
  CHECK(next.has_value());
  CHECK(*next >= Successor::kLastEarlierStart);
}

// Guards against the same after the run has ended: its worker forgets the end
// when it restarts.
TEST(WorkerBelief, EndedRunIsNotReplacedWhileTheFormerOwnerMayStartIt)
{
  Successor successor;
  RenewReply reply = ScriptedFleet::ReplyOf(kIncarnation, kWorkerClock);
  reply.mTerminated = {
    { 1, successor.Task(), 1, TerminationReason::kStopped, "" }
  };
  successor.AnswerOfTheWorker(reply);
  const auto next = successor.NextStartAt();
  CHECK(next.has_value());
  CHECK(*next >= Successor::kLastEarlierStart);
}

// Guards against the same after the worker has restarted under the run.
TEST(WorkerBelief, CrashedRunIsNotReplacedWhileTheFormerOwnerMayStartIt)
{
  Successor successor;
  successor.AnswerOfTheWorker(ScriptedFleet::ReplyOf(
    kIncarnation, kWorkerClock, { { successor.Task(), 1, "", 1 } }));
  successor.mFleet.Cycle();
  successor.AnswerOfTheWorker(
    ScriptedFleet::ReplyOf(kIncarnation + 1, milliseconds(100)));
  const auto next = successor.NextStartAt();
  CHECK(next.has_value());
  CHECK(*next >= Successor::kLastEarlierStart);
}

// Guards against a second run of a task while a late start of the first one may
// give its restarted worker a lease of the longest time.
TEST(WorkerBelief, LateStartAfterARestartIsCountedInTheLease)
{
  constexpr milliseconds kLongestLease{ 10'000 };
  ScriptedFleet fleet;
  fleet.List("w0", kIncarnation, "10.0.0.1:1", kWorkerClock);
  fleet.Greet("w0", kWorkerClock);
  fleet.Submit();
  const StartCommand start = fleet.Cycle().mStarts.front();
  fleet.Answer(start, CommandOutcome::kUnknown, milliseconds(0));
  fleet.mNow += milliseconds(2'000);
  fleet.List("w0", kIncarnation + 1, "10.0.0.1:1", milliseconds(500));
  const milliseconds restart = fleet.mNow;
  fleet.List("w1", kIncarnation, "10.0.0.2:1", kWorkerClock);
  fleet.Greet("w1", kWorkerClock);
  const auto replaced =
    ReplacedAt(fleet, "w0", fleet.mNow + milliseconds(30'000));
  CHECK(replaced.has_value());
  CHECK(*replaced >= restart + kLongestLease);
}
