#include "FleetModel.h"

#include <algorithm>
#include <iterator>

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kWay{ 5 };
constexpr milliseconds kStoreTime{ 15 };
constexpr milliseconds kAnswerTimeout{ 600 };
constexpr milliseconds kStopTime{ 500 };
constexpr milliseconds kGangTime{ 3'000 };
constexpr int kCrossRackFactor = 3;
constexpr std::size_t kJobsPerWrite = 40;

milliseconds
Whole(std::chrono::microseconds aTime)
{
  return std::chrono::ceil<milliseconds>(aTime);
}

} // namespace

TaskJob
MakeJob(const std::string& aId,
        const StepSpecValues& aStep,
        int aPriority,
        int aAttempts)
{
  QueueSettings settings;
  settings.mQueue = "q" + std::to_string(aPriority);
  settings.mService = "s";
  settings.mPriority = aPriority;
  settings.mMaxAttempts = aAttempts;
  settings.mSlackFactor = 3.0;
  settings.mTargetLatency = milliseconds(1'000);
  return { aId, "acme", settings, "payload", { StepSpec(aStep, 0) }, {}, {} };
}

FleetModel::FleetModel(FleetModelOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
  for (std::size_t i = 0; i < mOptions.mWorkers; ++i) {
    ModelWorker worker;
    worker.mInfo.mId = "w" + std::to_string(i);
    worker.mInfo.mIncarnation = 1;
    worker.mInfo.mAddress = "10.0.0." + std::to_string(i) + ":1";
    worker.mInfo.mService = "s";
    worker.mInfo.mRack = "r" + std::to_string(i / mOptions.mWorkersPerRack);
    worker.mInfo.mCapacity = mOptions.mCapacity;
    worker.mInfo.mClock = mNow;
    mWorkers.push_back(std::move(worker));
  }
  StartOwner();
}

bool
FleetModel::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aShare;
}

void
FleetModel::Violate(const std::string& aText)
{
  mViolations.push_back(std::to_string(mNow.count()) + " ms: " + aText);
}

void
FleetModel::At(milliseconds aDelay, std::function<void()> aAct)
{
  mEvents.push_back({ mNow + aDelay, std::move(aAct) });
}

void
FleetModel::StartOwner()
{
  SchedulerOptions options;
  options.mEpoch = ++mEpoch;
  options.mPolicy = mOptions.mPolicy;
  mOwner.emplace(std::move(options));
  mWriting = false;
  mOwner->ApplyCatalog(mCatalog);
  for (ModelWorker& worker : mWorkers) {
    worker.mInfo.mClock = mNow;
    mOwner->UpdateWorker(worker.mInfo, mNow);
  }
  for (const auto& [id, job] : mJobs) {
    const auto it = mRecords.find(id);
    mOwner->AddJob(job,
                   mNow - mOutcomes[id].mSubmittedAt,
                   it != mRecords.end() ? &it->second : nullptr,
                   mNow);
    if (mCancelled.contains(id)) {
      mOwner->CancelJob(id, mNow);
    }
  }
}

void
FleetModel::ReplaceOwner()
{
  StartOwner();
}

void
FleetModel::ApplyCatalog(const Catalog& aCatalog)
{
  mCatalog = aCatalog;
  mOwner->ApplyCatalog(aCatalog);
}

void
FleetModel::Submit(const TaskJob& aJob, milliseconds aRunTime)
{
  mJobs.emplace(aJob.Id(), aJob);
  mRunTimes[aJob.Id()] = aRunTime;
  mOutcomes[aJob.Id()].mSubmittedAt = mNow;
  mOwner->AddJob(aJob, milliseconds(0), nullptr, mNow);
}

void
FleetModel::Cancel(const std::string& aJob)
{
  mCancelled.insert(aJob);
  mOwner->CancelJob(aJob, mNow);
}

void
FleetModel::FailRuns(const std::string& aJob, int aTimes)
{
  mFailures[aJob] = aTimes;
}

void
FleetModel::SetReachable(std::size_t aWorker, bool aReachable)
{
  mWorkers[aWorker].mReachable = aReachable;
}

void
FleetModel::CrashWorker(std::size_t aWorker)
{
  RestartUnnoticed(aWorker);
  Announce(aWorker);
}

void
FleetModel::Announce(std::size_t aWorker)
{
  mWorkers[aWorker].mInfo.mClock = mNow;
  mOwner->UpdateWorker(mWorkers[aWorker].mInfo, mNow);
}

void
FleetModel::RestartUnnoticed(std::size_t aWorker)
{
  ModelWorker& worker = mWorkers[aWorker];
  worker.mRuns.clear();
  worker.mTerminated.clear();
  worker.mOver.clear();
  worker.mEnds = 0;
  worker.mEpoch = 0;
  ++worker.mInfo.mIncarnation;
}

void
FleetModel::SetLeaving(std::size_t aWorker, milliseconds aShutdownAfter)
{
  mWorkers[aWorker].mInfo.mShutdownAfter = aShutdownAfter;
  mWorkers[aWorker].mInfo.mDraining = true;
  mOwner->UpdateWorker(mWorkers[aWorker].mInfo, mNow);
}

void
FleetModel::SetFailing(std::size_t aWorker, bool aFailing)
{
  mWorkers[aWorker].mFailing = aFailing;
}

void
FleetModel::SetStalled(std::size_t aWorker, bool aStalled)
{
  mWorkers[aWorker].mStalled = aStalled;
}

void
FleetModel::SetSlowdown(std::size_t aWorker, double aFactor)
{
  mWorkers[aWorker].mSlowdown = aFactor;
}

JobOutcome
FleetModel::OutcomeOf(const std::string& aJob) const
{
  return mOutcomes.at(aJob);
}

std::size_t
FleetModel::RunningOn(std::size_t aWorker) const
{
  return mWorkers[aWorker].mRuns.size();
}

void
FleetModel::Run(milliseconds aTime)
{
  const milliseconds end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    Step();
  }
}

void
FleetModel::Step()
{
  for (std::size_t i = 0; i < mEvents.size(); ++i) {
    if (mEvents[i].mAt <= mNow && mEvents[i].mAct) {
      const std::function<void()> act = std::move(mEvents[i].mAct);
      mEvents[i].mAct = nullptr;
      act();
    }
  }
  std::erase_if(mEvents, [](const Event& aEvent) { return !aEvent.mAct; });
  for (ModelWorker& worker : mWorkers) {
    Advance(worker);
  }
  Drive();
}

/** One round of the owner: plan, write, send. */
void
FleetModel::Drive()
{
  if (mOwner->IsFenced()) {
    Violate("the only owner was fenced");
    StartOwner();
  }
  mOwner->Plan(mNow, milliseconds(0));
  mOwner->TakeEvents();
  const WorkerCommands commands = mOwner->CollectCommands(mNow);
  for (const StopCommand& command : commands.mStops) {
    SendStop(command);
  }
  for (const StartCommand& command : commands.mStarts) {
    SendStart(command);
  }
  for (const RenewCommand& command : commands.mRenewals) {
    SendRenewal(command);
  }
  if (!mWriting && mOwner->HasChanges()) {
    Store();
  }
}

void
FleetModel::Store()
{
  mWriting = true;
  const auto records = mOwner->BeginWrite(kJobsPerWrite);
  At(kStoreTime, [this, records, epoch = mEpoch] {
    if (epoch != mEpoch) {
      return;
    }
    mWriting = false;
    if (mStoreUp) {
      for (const JobProgress& record : records) {
        mRecords.insert_or_assign(record.Job(), record);
        JobOutcome& outcome = mOutcomes[record.Job()];
        if (IsFinal(record.Phase()) && !outcome.mEndedAt) {
          outcome.mEndedAt = mNow;
        }
        outcome.mPhase = record.Phase();
      }
    }
    mOwner->FinishWrite(mStoreUp);
  });
}

FleetModel::ModelWorker*
FleetModel::FindWorker(const std::string& aId)
{
  for (ModelWorker& worker : mWorkers) {
    if (worker.mInfo.mId == aId) {
      return &worker;
    }
  }
  return nullptr;
}

void
FleetModel::SendStart(const StartCommand& aCommand)
{
  const auto reply =
    [this, aCommand, epoch = mEpoch](const CommandReply& aReply) {
      if (epoch == mEpoch) {
        mOwner->ApplyStartReply(aCommand, aReply, mNow);
      }
    };
  const bool isLost = !FindWorker(aCommand.mWorker.mId)->mReachable;
  if (isLost) {
    At(kAnswerTimeout, [reply] { reply(CommandReply{}); });
    return;
  }
  if (mDelayedStarts > 0 || Chance(mOptions.mLateOrders)) {
    mDelayedStarts -= mDelayedStarts > 0 ? 1 : 0;
    At(kAnswerTimeout, [reply] { reply(CommandReply{}); });
    // The command waits inside the worker and is gone if that crashes.
    At(milliseconds(3'000),
       [this,
        aCommand,
        life = FindWorker(aCommand.mWorker.mId)->mInfo.mIncarnation] {
         if (FindWorker(aCommand.mWorker.mId)->mInfo.mIncarnation == life) {
           DoStart(aCommand);
         }
       });
    return;
  }
  const bool isAnswerLost = Chance(mOptions.mLostAnswers);
  At(kWay, [this, aCommand, reply, isAnswerLost] {
    const CommandReply answer = DoStart(aCommand);
    if (isAnswerLost) {
      At(kAnswerTimeout, [reply] { reply(CommandReply{}); });
    } else {
      At(kWay, [reply, answer] { reply(answer); });
    }
  });
}

void
FleetModel::SendStop(const StopCommand& aCommand)
{
  ++mStops;
  const auto reply =
    [this, aCommand, epoch = mEpoch](const CommandReply& aReply) {
      if (epoch == mEpoch) {
        mOwner->ApplyStopReply(aCommand, aReply, mNow);
      }
    };
  const bool isLost = !FindWorker(aCommand.mWorker.mId)->mReachable ||
                      Chance(mOptions.mLostAnswers);
  if (isLost) {
    At(kAnswerTimeout, [reply] { reply(CommandReply{}); });
    return;
  }
  At(kWay, [this, aCommand, reply] {
    const CommandReply answer = DoStop(aCommand);
    At(kWay, [reply, answer] { reply(answer); });
  });
}

void
FleetModel::SendRenewal(const RenewCommand& aCommand)
{
  const auto reply =
    [this, aCommand, epoch = mEpoch, sentAt = mNow](const RenewReply& aReply) {
      if (epoch == mEpoch) {
        mOwner->ApplyRenewReply(aCommand, aReply, sentAt, mNow);
      }
    };
  const bool isLost = !FindWorker(aCommand.mWorker.mId)->mReachable ||
                      Chance(mOptions.mLostAnswers);
  if (isLost) {
    At(kAnswerTimeout, [reply] { reply(RenewReply{}); });
    return;
  }
  // A worker answers at the end of the wait; ends are told a little late,
  // which is allowed.
  At(kWay, [this, aCommand] { DoRenew(aCommand); });
  At(std::min(aCommand.mMaxWait, milliseconds(100)) + kWay,
     [this, aCommand, reply] {
       const RenewReply report = DoRenew(aCommand);
       At(kWay, [reply, report] { reply(report); });
     });
}

void
FleetModel::CheckStart(const ModelWorker& aWorker, const StartCommand& aCommand)
{
  const std::string name = aCommand.mTask.Text();
  const TaskJob& job = mJobs.at(aCommand.mTask.Job());
  for (const ModelWorker& other : mWorkers) {
    for (const ModelRun& run : other.mRuns) {
      if (run.mTask == aCommand.mTask) {
        Violate(name + " runs twice at a time");
      }
    }
  }
  if (mDone.contains(aCommand.mTask)) {
    Violate(name + " starts after it was done");
  }
  if (mFailedRuns[aCommand.mTask] >= job.Settings().mMaxAttempts) {
    Violate(name + " starts after its last attempt");
  }
  const auto record = mRecords.find(aCommand.mTask.Job());
  if (record == mRecords.end() ||
      record->second.Tasks()[aCommand.mTask.Index()].mRun < aCommand.mRun) {
    Violate(name + " starts without a record");
  }
  Resources used = job.Steps()[aCommand.mTask.Step()].Demand();
  for (const ModelRun& run : aWorker.mRuns) {
    used =
      used.Plus(mJobs.at(run.mTask.Job()).Steps()[run.mTask.Step()].Demand());
  }
  if (!used.FitsIn(aWorker.mInfo.mCapacity)) {
    Violate(name + " overfills " + aWorker.mInfo.mId);
  }
}

CommandReply
FleetModel::DoStart(const StartCommand& aCommand)
{
  ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
  CommandReply answer;
  answer.mClock = mNow;
  answer.mOutcome = CommandOutcome::kRejected;
  if (aCommand.mEpoch < worker.mEpoch) {
    answer.mOutcome = CommandOutcome::kFenced;
    return answer;
  }
  worker.mEpoch = aCommand.mEpoch;
  const bool isThere = std::any_of(
    worker.mRuns.begin(), worker.mRuns.end(), [&](const ModelRun& aRun) {
      return aRun.mTask == aCommand.mTask && aRun.mRun == aCommand.mRun;
    });
  if (isThere) {
    answer.mOutcome = CommandOutcome::kDone;
    return answer;
  }
  const auto over = worker.mOver.find(aCommand.mTask);
  const bool isOld =
    over != worker.mOver.end() && aCommand.mRun <= over->second;
  if (aCommand.mLeaseExpiry <= mNow || isOld) {
    return answer;
  }
  CheckStart(worker, aCommand);
  ++mStarts;
  mLastStarts[aCommand.mTask] = mNow;
  worker.mLeaseExpiry = std::max(worker.mLeaseExpiry, aCommand.mLeaseExpiry);
  const milliseconds resumed(
    aCommand.mCheckpoint.empty() ? 0 : std::stoll(aCommand.mCheckpoint));
  worker.mRuns.push_back({ aCommand.mTask,
                           aCommand.mRun,
                           mNow,
                           mRunTimes.at(aCommand.mTask.Job()) - resumed,
                           std::nullopt,
                           resumed });
  answer.mOutcome = CommandOutcome::kDone;
  return answer;
}

CommandReply
FleetModel::DoStop(const StopCommand& aCommand)
{
  ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
  CommandReply answer;
  answer.mClock = mNow;
  if (aCommand.mEpoch < worker.mEpoch) {
    answer.mOutcome = CommandOutcome::kFenced;
    return answer;
  }
  worker.mEpoch = aCommand.mEpoch;
  std::uint64_t& over = worker.mOver[aCommand.mTask];
  over = std::max(over, aCommand.mRun);
  for (ModelRun& run : worker.mRuns) {
    if (run.mTask == aCommand.mTask && run.mRun == aCommand.mRun &&
        !run.mStopAt) {
      run.mStopAt = mNow + kStopTime;
    }
  }
  answer.mOutcome = CommandOutcome::kDone;
  return answer;
}

RenewReply
FleetModel::DoRenew(const RenewCommand& aCommand)
{
  ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
  RenewReply report;
  if (aCommand.mEpoch < worker.mEpoch) {
    report.mOutcome = CommandOutcome::kFenced;
    return report;
  }
  worker.mEpoch = aCommand.mEpoch;
  worker.mLeaseExpiry = std::max(worker.mLeaseExpiry, aCommand.mLeaseExpiry);
  Forget(worker, aCommand.mAckedUpTo);
  report.mOutcome = CommandOutcome::kDone;
  report.mIncarnation = worker.mInfo.mIncarnation;
  report.mClock = mNow;
  for (const ModelEnd& end : worker.mTerminated) {
    report.mTerminated.push_back(end.mRun);
  }
  for (const ModelRun& run : worker.mRuns) {
    const auto total = mRunTimes.at(run.mTask.Job()).count();
    const auto percent = 100 - 100 * Whole(run.mLeft).count() / total;
    report.mRunning.push_back(
      { run.mTask,
        run.mRun,
        "",
        static_cast<int>(std::min<milliseconds::rep>(percent, 100)) });
  }
  return report;
}

/** An end that is recorded before the lease ends stands for good. */
void
FleetModel::Forget(ModelWorker& aWorker, std::uint64_t aUpTo)
{
  for (const ModelEnd& end : aWorker.mTerminated) {
    const bool stands = end.mRun.mSequence <= aUpTo && !end.mLapsed &&
                        end.mRun.mReason == TerminationReason::kDone;
    if (!stands) {
      continue;
    }
    mDone.insert(end.mRun.mTask);
    if (mLastStarts[end.mRun.mTask] > end.mAt) {
      Violate(end.mRun.mTask.Text() + " was started after it was done");
    }
  }
  std::erase_if(aWorker.mTerminated, [aUpTo](const ModelEnd& aEnd) {
    return aEnd.mRun.mSequence <= aUpTo;
  });
}

const StepSpec&
FleetModel::StepOf(const ModelRun& aRun) const
{
  return mJobs.at(aRun.mTask.Job()).Steps()[aRun.mTask.Step()];
}

milliseconds
FleetModel::DoneBy(const ModelRun& aRun) const
{
  return mRunTimes.at(aRun.mTask.Job()) - Whole(aRun.mLeft);
}

double
FleetModel::Slowdown(const ModelWorker& aWorker, const ModelRun& aRun) const
{
  const StepSpec& step = StepOf(aRun);
  const bool isAway =
    !step.AffinityRack().empty() && step.AffinityRack() != aWorker.mInfo.mRack;
  bool isSplit = false;
  if (step.IsGang() && step.IsSameRack()) {
    for (const ModelWorker& worker : mWorkers) {
      for (const ModelRun& run : worker.mRuns) {
        isSplit = isSplit || (run.mTask.Job() == aRun.mTask.Job() &&
                              worker.mInfo.mRack != aWorker.mInfo.mRack);
      }
    }
  }
  return aWorker.mSlowdown * (isAway || isSplit ? kCrossRackFactor : 1);
}

std::vector<FleetModel::ModelRun>
FleetModel::MembersOf(const ModelRun& aRun) const
{
  if (!StepOf(aRun).IsGang()) {
    return { aRun };
  }
  std::vector<ModelRun> members;
  for (const ModelWorker& worker : mWorkers) {
    std::copy_if(worker.mRuns.begin(),
                 worker.mRuns.end(),
                 std::back_inserter(members),
                 [&](const ModelRun& aOther) {
                   return aOther.mTask.Job() == aRun.mTask.Job() &&
                          aOther.mTask.Step() == aRun.mTask.Step() &&
                          aOther.mRun == aRun.mRun;
                 });
  }
  return members;
}

bool
FleetModel::IsGangWhole(const ModelRun& aRun) const
{
  return !StepOf(aRun).IsGang() ||
         MembersOf(aRun).size() == StepOf(aRun).Tasks();
}

bool
FleetModel::IsWorkDone(const ModelRun& aRun) const
{
  if (aRun.mLeft.count() > 0) {
    return false;
  }
  const std::vector<ModelRun> members = MembersOf(aRun);
  return std::all_of(
    members.begin(), members.end(), [](const ModelRun& aMember) {
      return aMember.mLeft.count() <= 0;
    });
}

void
FleetModel::Advance(ModelWorker& aWorker)
{
  if (mNow >= aWorker.mLeaseExpiry) {
    for (ModelEnd& end : aWorker.mTerminated) {
      end.mLapsed = true;
    }
  }
  for (std::size_t i = 0; i < aWorker.mRuns.size();) {
    ModelRun& run = aWorker.mRuns[i];
    const bool isWhole = IsGangWhole(run);
    if (isWhole && !aWorker.mStalled && run.mLeft.count() > 0) {
      run.mLeft -= std::chrono::duration_cast<std::chrono::microseconds>(
        kStep / Slowdown(aWorker, run));
    }
    std::optional<TerminationReason> end;
    if (mNow >= aWorker.mLeaseExpiry) {
      end = TerminationReason::kLeaseExpired;
    } else if (run.mStopAt && mNow >= *run.mStopAt) {
      end = TerminationReason::kStopped;
    } else if (!isWhole && mNow - run.mStartedAt > kGangTime) {
      end = TerminationReason::kGangIncomplete;
    } else if (IsWorkDone(run)) {
      const bool fails = aWorker.mFailing || mFailures[run.mTask.Job()] > 0;
      mFailures[run.mTask.Job()] -= fails && !aWorker.mFailing ? 1 : 0;
      end = fails ? TerminationReason::kFailed : TerminationReason::kDone;
    }
    if (!end) {
      ++i;
      continue;
    }
    const ModelRun ended = run;
    aWorker.mRuns.erase(aWorker.mRuns.begin() + static_cast<std::ptrdiff_t>(i));
    EndRun(aWorker, ended, *end);
  }
}

void
FleetModel::EndRun(ModelWorker& aWorker,
                   const ModelRun& aRun,
                   TerminationReason aEnd)
{
  std::uint64_t& over = aWorker.mOver[aRun.mTask];
  over = std::max(over, aRun.mRun);
  std::string checkpoint;
  if (aEnd != TerminationReason::kDone && StepOf(aRun).IsCheckpointing()) {
    checkpoint = std::to_string(DoneBy(aRun).count());
  } else if (aEnd == TerminationReason::kStopped ||
             aEnd == TerminationReason::kGangBroken) {
    mWastedWork += StepOf(aRun).Demand().WeightedCores() *
                   static_cast<double>((DoneBy(aRun) - aRun.mResumed).count()) /
                   1'000.0;
  }
  aWorker.mTerminated.push_back(
    { { ++aWorker.mEnds, aRun.mTask, aRun.mRun, aEnd, checkpoint }, mNow });
  mFailedRuns[aRun.mTask] += aEnd == TerminationReason::kFailed ? 1 : 0;
  const StepSpec& step = mJobs.at(aRun.mTask.Job()).Steps()[aRun.mTask.Step()];
  if (!step.IsGang()) {
    return;
  }
  // Members end with the first of them.
  const TerminationReason others = aEnd == TerminationReason::kDone
                                     ? TerminationReason::kDone
                                     : TerminationReason::kGangBroken;
  for (ModelWorker& worker : mWorkers) {
    for (std::size_t i = 0; i < worker.mRuns.size(); ++i) {
      const ModelRun run = worker.mRuns[i];
      if (run.mTask.Job() == aRun.mTask.Job() &&
          run.mTask.Step() == aRun.mTask.Step() && run.mRun == aRun.mRun) {
        worker.mRuns.erase(worker.mRuns.begin() +
                           static_cast<std::ptrdiff_t>(i));
        EndRun(worker, run, others);
        return;
      }
    }
  }
}

} // namespace cornelrudder::tests
