#include "FleetModel.h"

#include "cornelrudder/state/scheduling/OwnerTenure.h"

#include <algorithm>
#include <iterator>

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

/** Limits of the crashes under a task and of the starts after them. */
constexpr int kMaxCrashes = 3;
constexpr int kMaxStartsAfterCrashes = 3;
/** Step of the virtual clock. */
constexpr milliseconds kTick{ 10 };
/** One-way delay of commands and replies. */
constexpr milliseconds kNetworkDelay{ 5 };
constexpr milliseconds kStoreLatency{ 15 };
/** Silence after which an owner is replaced. */
constexpr milliseconds kOwnerTimeout{ 1'300 };
constexpr milliseconds kReplyTimeout{ 600 };
constexpr milliseconds kStopDuration{ 500 };
/** Time that a gang member waits for the start of the other members. */
constexpr milliseconds kGangTimeout{ 3'000 };
/** Factor on the run time if off the preferred rack or spread over racks. */
constexpr int kCrossRackFactor = 3;
/** Maximum number of terminations in the reply to a renewal. */
constexpr std::size_t kMaxTerminations = 500;
/** Leaves lower numbers for restarts after the time of day was set back. */
constexpr std::uint64_t kFirstIncarnation = 1'000;

milliseconds
CeilToMillis(std::chrono::microseconds aTime)
{
  return std::chrono::ceil<milliseconds>(aTime);
}

/** @return The larger value in every dimension. */
Resources
Largest(const Resources& aOne, const Resources& aTwo)
{
  return { std::max(aOne.CpuMillis(), aTwo.CpuMillis()),
           std::max(aOne.MemoryMb(), aTwo.MemoryMb()),
           std::max(aOne.Accelerators(), aTwo.Accelerators()) };
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
  , mHighestIncarnation(kFirstIncarnation)
  , mLowestIncarnation(kFirstIncarnation)
{
  for (std::size_t i = 0; i < mOptions.mWorkers; ++i) {
    ModelWorker worker;
    worker.mInfo.mId = "w" + std::to_string(i);
    worker.mInfo.mIncarnation = kFirstIncarnation;
    worker.mInfo.mAddress = "10.0.0." + std::to_string(i) + ":1";
    worker.mInfo.mService = "s";
    worker.mInfo.mRack = "r" + std::to_string(i / mOptions.mWorkersPerRack);
    if (mOptions.mWorkersPerZone > 0) {
      worker.mInfo.mZone = "z" + std::to_string(i / mOptions.mWorkersPerZone);
    }
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
FleetModel::RecordViolation(const std::string& aText)
{
  mViolations.push_back(std::to_string(mNow.count()) + " ms: " + aText);
}

void
FleetModel::ScheduleEvent(milliseconds aDelay, std::function<void()> aAction)
{
  mEvents.push_back({ mNow + aDelay, std::move(aAction) });
}

void
FleetModel::StartOwner(std::map<std::string, milliseconds> aLeases)
{
  SchedulerOptions options;
  options.mInheritedLeases = std::move(aLeases);
  options.mLastEarlierCommandAt =
    LeaseSighting().WithRead(mEpoch + 1, mNow - kOwnerTimeout).LastCommandAt();
  options.mEpoch = ++mEpoch;
  options.mPolicy = mOptions.mPolicy;
  options.mRunTimes = mOptions.mRunTimes;
  options.mMaxJobBytes = mOptions.mMaxJobBytes;
  mOwner.emplace(std::move(options));
  mWriting = false;
  mOwner->ApplyCatalog(mCatalog);
  mOwner->ApplyEvacuations(mEvacuations, mNow);
  for (ModelWorker& worker : mWorkers) {
    if (worker.mListed) {
      worker.mInfo.mClock = mNow;
      mOwner->UpdateWorker(worker.mInfo, mNow);
    }
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
  RecordFault();
  StartOwner();
}

void
FleetModel::HandOver(milliseconds aWriteTime)
{
  RecordFault();
  ScheduleEvent(
    aWriteTime,
    [this, epoch = mEpoch, leases = mOwner->WithholdLeases(mNow)]() mutable {
      if (epoch == mEpoch) {
        for (auto& [worker, lease] : leases) {
          lease += mNow;
        }
        StartOwner(std::move(leases));
      }
    });
}

void
FleetModel::ApplyCatalog(const Catalog& aCatalog)
{
  mCatalog = aCatalog;
  mOwner->ApplyCatalog(aCatalog);
}

void
FleetModel::Evacuate(const std::set<std::string>& aZones)
{
  RecordFault();
  mEvacuations = Evacuations(aZones);
  mOwner->ApplyEvacuations(mEvacuations, mNow);
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
  RecordFault();
  mWorkers[aWorker].mReachable = aReachable;
}

void
FleetModel::SetConnectable(std::size_t aWorker, bool aConnectable)
{
  RecordFault();
  mWorkers[aWorker].mConnectable = aConnectable;
}

void
FleetModel::CrashWorker(std::size_t aWorker)
{
  RestartUnannounced(aWorker);
  PublishWorker(aWorker);
}

void
FleetModel::PublishWorker(std::size_t aWorker)
{
  PublishStaleClock(aWorker, milliseconds(0));
}

void
FleetModel::PublishStaleClock(std::size_t aWorker, milliseconds aAge)
{
  RecordFault();
  ModelWorker& worker = mWorkers[aWorker];
  worker.mListed = true;
  worker.mInfo.mClock = std::max(mNow - aAge, milliseconds(1));
  mOwner->UpdateWorker(worker.mInfo, mNow);
}

void
FleetModel::RefreshRow(std::size_t aWorker)
{
  mWorkers[aWorker].mInfo.mClock = mNow;
  mOwner->UpdateWorker(mWorkers[aWorker].mInfo, mNow);
}

void
FleetModel::PublishCopyOf(std::size_t aWorker)
{
  WorkerInfo copy = mWorkers[aWorker].mInfo;
  copy.mId += "-copy";
  ++copy.mIncarnation;
  copy.mDraining = true;
  mOwner->UpdateWorker(copy, mNow);
}

void
FleetModel::AddLabel(std::size_t aWorker, const std::string& aLabel)
{
  mWorkers[aWorker].mInfo.mLabels.push_back(aLabel);
  mOwner->UpdateWorker(mWorkers[aWorker].mInfo, mNow);
}

void
FleetModel::UnlistWorker(std::size_t aWorker)
{
  RecordFault();
  mWorkers[aWorker].mListed = false;
  mOwner->RemoveWorker(mWorkers[aWorker].mInfo.mId, mNow);
}

void
FleetModel::GarbleEntry(std::size_t aWorker)
{
  RecordFault();
  mWorkers[aWorker].mListed = false;
  mOwner->HandleUnusableEntry(mWorkers[aWorker].mInfo.mId);
}

void
FleetModel::RestartWorker(ModelWorker& aWorker, std::uint64_t aIncarnation)
{
  RecordFault();
  aWorker.mRuns.clear();
  aWorker.mTerminated.clear();
  aWorker.mHighestEndedRuns.clear();
  aWorker.mTerminations = 0;
  aWorker.mEpoch = 0;
  aWorker.mInfo.mIncarnation = aIncarnation;
}

void
FleetModel::MakeDeadly(const TaskId& aTask, milliseconds aDelay)
{
  mDeadly[aTask] = aDelay;
}

int
FleetModel::CrashesUnder(const TaskId& aTask) const
{
  const auto it = mCrashes.find(aTask);
  return it != mCrashes.end() ? it->second : 0;
}

std::optional<milliseconds>
FleetModel::CompletedAt(const TaskId& aTask) const
{
  const auto it = mCompletedTasks.find(aTask);
  return it != mCompletedTasks.end() ? std::make_optional(it->second)
                                     : std::nullopt;
}

void
FleetModel::StartDeadlyRun(ModelWorker& aWorker, const TaskId& aTask)
{
  const auto it = mDeadly.find(aTask);
  if (it == mDeadly.end()) {
    return;
  }
  const auto worker = static_cast<std::size_t>(&aWorker - mWorkers.data());
  const std::uint64_t incarnation = aWorker.mInfo.mIncarnation;
  if (it->second.count() == 0) {
    CrashUnder(worker, aTask, incarnation);
    return;
  }
  ScheduleEvent(it->second, [this, worker, aTask, incarnation] {
    CrashUnder(worker, aTask, incarnation);
  });
}

void
FleetModel::CrashUnder(std::size_t aWorker,
                       const TaskId& aTask,
                       std::uint64_t aIncarnation)
{
  if (mWorkers[aWorker].mInfo.mIncarnation != aIncarnation) {
    return;
  }
  ++mCrashes[aTask];
  CrashWorkerFor(aWorker, mOptions.mCrashTime);
}

void
FleetModel::CrashWorkerFor(std::size_t aWorker, milliseconds aDownTime)
{
  ModelWorker& worker = mWorkers[aWorker];
  if (worker.mIsDown) {
    return;
  }
  const std::vector<ModelRun> runs = worker.mRuns;
  RestartUnannounced(aWorker);
  worker.mIsDown = true;
  SetConnectable(aWorker, false);
  for (auto& [call, end] : std::exchange(worker.mOpenCalls, {})) {
    ScheduleEvent(kNetworkDelay, end);
  }
  for (const ModelRun& run : runs) {
    TerminateMembers(run, TerminationReason::kGangBroken);
  }
  ScheduleEvent(aDownTime, [this, aWorker] {
    ModelWorker& restarted = mWorkers[aWorker];
    restarted.mIsDown = false;
    SetConnectable(aWorker, true);
    if (mOptions.mHasNewIdentifiers) {
      const std::string earlier = restarted.mInfo.mId;
      restarted.mInfo.mId = "w" + std::to_string(aWorker) + "-" +
                            std::to_string(restarted.mInfo.mIncarnation);
      mOwner->RemoveWorker(earlier, mNow);
    }
    PublishWorker(aWorker);
  });
}

void
FleetModel::RestartUnannounced(std::size_t aWorker)
{
  RestartWorker(mWorkers[aWorker], ++mHighestIncarnation);
}

void
FleetModel::RestartWithLowerIncarnation(std::size_t aWorker)
{
  RestartWorker(mWorkers[aWorker], --mLowestIncarnation);
}

void
FleetModel::SetDraining(std::size_t aWorker, milliseconds aShutdownAfter)
{
  RecordFault();
  mWorkers[aWorker].mInfo.mShutdownAfter = aShutdownAfter;
  mWorkers[aWorker].mInfo.mDraining = true;
  mOwner->UpdateWorker(mWorkers[aWorker].mInfo, mNow);
}

void
FleetModel::SetFailing(std::size_t aWorker, bool aFailing)
{
  RecordFault();
  mWorkers[aWorker].mFailing = aFailing;
}

void
FleetModel::SetStalled(std::size_t aWorker, bool aStalled)
{
  RecordFault();
  mWorkers[aWorker].mStalled = aStalled;
}

void
FleetModel::SetRejecting(std::size_t aWorker, bool aRejecting)
{
  RecordFault();
  mWorkers[aWorker].mRejecting = aRejecting;
}

void
FleetModel::SetLackingCapacity(std::size_t aWorker, bool aLacking)
{
  RecordFault();
  mWorkers[aWorker].mLackingCapacity = aLacking;
}

void
FleetModel::SetCapacity(std::size_t aWorker, const Resources& aCapacity)
{
  mWorkers[aWorker].mInfo.mCapacity = aCapacity;
  PublishWorker(aWorker);
}

void
FleetModel::SetSlowdown(std::size_t aWorker, double aFactor)
{
  RecordFault();
  mWorkers[aWorker].mSlowdown = aFactor;
}

void
FleetModel::DelayStarts(int aCount)
{
  RecordFault();
  mStartsToDelay = aCount;
}

void
FleetModel::LoseStartReplies(int aCount)
{
  RecordFault();
  mStartRepliesToLose = aCount;
}

void
FleetModel::SetStoreUp(bool aUp)
{
  if (aUp != mStoreUp) {
    RecordFault();
  }
  mStoreUp = aUp;
}

JobOutcome
FleetModel::OutcomeOf(const std::string& aJob) const
{
  return mOutcomes.at(aJob);
}

std::size_t
FleetModel::PendingJobs() const
{
  std::size_t n = 0;
  for (const auto& [queue, jobs] : mOwner->PendingJobs()) {
    n += jobs;
  }
  return n;
}

std::size_t
FleetModel::RunningOn(std::size_t aWorker) const
{
  return mWorkers[aWorker].mRuns.size();
}

std::size_t
FleetModel::UnackedOn(std::size_t aWorker) const
{
  return mWorkers[aWorker].mTerminated.size();
}

void
FleetModel::Run(milliseconds aTime)
{
  const milliseconds end = mNow + aTime;
  while (mNow < end) {
    mNow += kTick;
    Step();
  }
}

void
FleetModel::Step()
{
  for (std::size_t i = 0; i < mEvents.size(); ++i) {
    if (mEvents[i].mAt <= mNow && mEvents[i].mAction) {
      const std::function<void()> action = std::move(mEvents[i].mAction);
      mEvents[i].mAction = nullptr;
      action();
    }
  }
  std::erase_if(mEvents, [](const Event& aEvent) { return !aEvent.mAction; });
  for (ModelWorker& worker : mWorkers) {
    Advance(worker);
  }
  RunOwner();
  if (mOptions.mCheckWorkConservation) {
    CheckWorkConservation();
  }
}

/** Runs one cycle of the owner: plan, send commands, write records. */
void
FleetModel::RunOwner()
{
  if (mOwner->IsFenced()) {
    RecordViolation("the only owner was fenced");
    StartOwner();
  }
  mOwner->Plan(mNow, mNow);
  for (SchedulerEvent& event : mOwner->TakeEvents()) {
    mOwnerEvents.push_back(std::move(event));
  }
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
    WriteRecords();
  }
}

void
FleetModel::WriteRecords()
{
  mWriting = true;
  const auto records =
    mOwner->BeginWrite({ mOptions.mJobsPerWrite, TaskJob::kMaxTasks });
  ScheduleEvent(kStoreLatency, [this, records, epoch = mEpoch] {
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
  const auto deliver =
    [this, aCommand, epoch = mEpoch](const CommandReply& aReply) {
      if (epoch == mEpoch) {
        mOwner->ApplyStartReply(aCommand, aReply, mNow);
      }
    };
  if (FindWorker(aCommand.mWorker.mId) == nullptr) {
    // Another worker has the address and rejects the command.
    CommandReply reply;
    reply.mOutcome = CommandOutcome::kIncarnationMismatch;
    ScheduleEvent(2 * kNetworkDelay, [deliver, reply] { deliver(reply); });
    return;
  }
  if (mEvacuations.Contains(FindWorker(aCommand.mWorker.mId)->mInfo.mZone)) {
    RecordViolation(aCommand.mTask.Text() + " is ordered in an evacuated zone");
  }
  if (!FindWorker(aCommand.mWorker.mId)->mConnectable) {
    CommandReply reply;
    reply.mOutcome = CommandOutcome::kNotSent;
    ScheduleEvent(kNetworkDelay, [deliver, reply] { deliver(reply); });
    return;
  }
  const bool isCommandLost = !FindWorker(aCommand.mWorker.mId)->mReachable;
  if (isCommandLost) {
    ScheduleEvent(kReplyTimeout, [deliver] { deliver(CommandReply{}); });
    return;
  }
  const Resources capacity = FindWorker(aCommand.mWorker.mId)->mInfo.mCapacity;
  if (mStartsToDelay > 0 || Chance(mOptions.mLateStartShare)) {
    mStartsToDelay -= mStartsToDelay > 0 ? 1 : 0;
    RecordFault();
    ScheduleEvent(kReplyTimeout, [deliver] { deliver(CommandReply{}); });
    // The delayed command is queued in the worker and lost if that restarts.
    ScheduleEvent(
      milliseconds(3'000),
      [this,
       aCommand,
       capacity,
       incarnation = FindWorker(aCommand.mWorker.mId)->mInfo.mIncarnation] {
        RecordFault();
        if (FindWorker(aCommand.mWorker.mId)->mInfo.mIncarnation ==
            incarnation) {
          HandleStart(aCommand, capacity);
        }
      });
    return;
  }
  const bool isReplyLost =
    mStartRepliesToLose > 0 || Chance(mOptions.mLostReplyShare);
  mStartRepliesToLose -= mStartRepliesToLose > 0 ? 1 : 0;
  ScheduleEvent(
    kNetworkDelay, [this, aCommand, capacity, deliver, isReplyLost] {
      if (FindWorker(aCommand.mWorker.mId) == nullptr ||
          FindWorker(aCommand.mWorker.mId)->mIsDown) {
        ScheduleEvent(kNetworkDelay, [deliver] { deliver(CommandReply{}); });
        return;
      }
      const ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
      const std::uint64_t incarnation = worker.mInfo.mIncarnation;
      const CommandReply reply = HandleStart(aCommand, capacity);
      if (isReplyLost || worker.mInfo.mIncarnation != incarnation) {
        ScheduleEvent(kReplyTimeout, [deliver] { deliver(CommandReply{}); });
      } else {
        ScheduleEvent(kNetworkDelay, [deliver, reply] { deliver(reply); });
      }
    });
}

void
FleetModel::SendStop(const StopCommand& aCommand)
{
  ++mStops;
  const auto deliver =
    [this, aCommand, epoch = mEpoch](const CommandReply& aReply) {
      if (epoch == mEpoch) {
        mOwner->ApplyStopReply(aCommand, aReply, mNow);
      }
    };
  if (FindWorker(aCommand.mWorker.mId) == nullptr) {
    CommandReply reply;
    reply.mOutcome = CommandOutcome::kIncarnationMismatch;
    ScheduleEvent(2 * kNetworkDelay, [deliver, reply] { deliver(reply); });
    return;
  }
  const bool isCommandLost = !FindWorker(aCommand.mWorker.mId)->mReachable ||
                             !FindWorker(aCommand.mWorker.mId)->mConnectable ||
                             Chance(mOptions.mLostReplyShare);
  if (isCommandLost) {
    ScheduleEvent(kReplyTimeout, [deliver] { deliver(CommandReply{}); });
    return;
  }
  ScheduleEvent(kNetworkDelay, [this, aCommand, deliver] {
    if (FindWorker(aCommand.mWorker.mId) == nullptr) {
      ScheduleEvent(kNetworkDelay, [deliver] { deliver(CommandReply{}); });
      return;
    }
    const CommandReply reply = HandleStop(aCommand);
    ScheduleEvent(kNetworkDelay, [deliver, reply] { deliver(reply); });
  });
}

void
FleetModel::SendRenewal(const RenewCommand& aCommand)
{
  const auto deliver =
    [this, aCommand, epoch = mEpoch, sentAt = mNow](const RenewReply& aReply) {
      if (epoch == mEpoch) {
        mOwner->ApplyRenewReply(aCommand, aReply, sentAt, mNow);
      }
    };
  if (FindWorker(aCommand.mWorker.mId) == nullptr) {
    // Another worker has the address and rejects the command.
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kIncarnationMismatch;
    ScheduleEvent(2 * kNetworkDelay, [deliver, reply] { deliver(reply); });
    return;
  }
  const bool isCommandLost = !FindWorker(aCommand.mWorker.mId)->mReachable ||
                             !FindWorker(aCommand.mWorker.mId)->mConnectable ||
                             Chance(mOptions.mLostReplyShare);
  if (isCommandLost) {
    ScheduleEvent(kReplyTimeout, [deliver] { deliver(RenewReply{}); });
    return;
  }
  // The worker replies at the end of the wait. Terminations are therefore
  // reported slightly late, which the protocol allows.
  const std::uint64_t call = ++mCalls;
  FindWorker(aCommand.mWorker.mId)->mOpenCalls.emplace(call, [deliver] {
    deliver(RenewReply{});
  });
  ScheduleEvent(kNetworkDelay, [this, aCommand, call] {
    const ModelWorker* worker = FindWorker(aCommand.mWorker.mId);
    if (worker != nullptr && worker->mOpenCalls.contains(call)) {
      HandleRenewal(aCommand);
    }
  });
  ScheduleEvent(
    std::min(aCommand.mMaxWait, milliseconds(100)) + kNetworkDelay,
    [this, aCommand, deliver, call] {
      ModelWorker* worker = FindWorker(aCommand.mWorker.mId);
      if (worker == nullptr || worker->mOpenCalls.erase(call) == 0) {
        return;
      }
      const RenewReply report = HandleRenewal(aCommand);
      ScheduleEvent(kNetworkDelay, [deliver, report] { deliver(report); });
    });
}

void
FleetModel::CheckStart(const ModelWorker& aWorker,
                       const StartCommand& aCommand,
                       const Resources& aCapacity)
{
  const std::string name = aCommand.mTask.Text();
  const TaskJob& job = mJobs.at(aCommand.mTask.Job());
  for (const ModelWorker& other : mWorkers) {
    for (const ModelRun& run : other.mRuns) {
      if (run.mTask == aCommand.mTask) {
        RecordViolation(name + " has two runs at the same time");
      }
    }
  }
  const StepSpec& step = job.Steps()[aCommand.mTask.Step()];
  const auto peers = std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const ModelRun& aRun) {
      return aRun.mTask.Job() == aCommand.mTask.Job() &&
             aRun.mTask.Occurrence() == aCommand.mTask.Occurrence() &&
             aRun.mTask.Step() == aCommand.mTask.Step();
    });
  if (step.MaxPerWorker() > 0 &&
      static_cast<std::size_t>(peers) >= step.MaxPerWorker()) {
    RecordViolation(name + " exceeds the limit of its step on " +
                    aWorker.mInfo.mId);
  }
  if (mDoneTasks.contains(aCommand.mTask)) {
    RecordViolation(name + " starts after its completion was recorded");
  }
  if (mFailedRuns[aCommand.mTask] >= job.Settings().mMaxAttempts) {
    RecordViolation(name + " starts after its last allowed attempt");
  }
  // Tasks that last are restarted however they end.
  const bool isLimited = !job.Steps()[aCommand.mTask.Step()].IsLongRunning();
  if (isLimited && CrashesUnder(aCommand.mTask) >= kMaxCrashes &&
      ++mStartsAfterCrashes[aCommand.mTask] >= kMaxStartsAfterCrashes) {
    RecordViolation(name + " starts again although workers crash under it");
  }
  const Schedule& schedule = job.Timing();
  const auto occurrence =
    static_cast<milliseconds::rep>(aCommand.mTask.Occurrence());
  if (job.IsScheduled() &&
      mNow < schedule.mStart + schedule.mInterval * occurrence) {
    RecordViolation(name + " starts before it is due");
  }
  for (const std::size_t earlier :
       job.Steps()[aCommand.mTask.Step()].Dependencies()) {
    for (std::size_t i = 0; i < job.Steps()[earlier].Tasks(); ++i) {
      if (!mCompletedTasks.contains(
            { job.Id(), aCommand.mTask.Occurrence(), earlier, i })) {
        RecordViolation(name + " starts before an earlier step is done");
      }
    }
  }
  std::size_t task = aCommand.mTask.Occurrence() * job.TasksPerOccurrence() +
                     aCommand.mTask.Index();
  for (std::size_t i = 0; i < aCommand.mTask.Step(); ++i) {
    task += job.Steps()[i].Tasks();
  }
  const auto record = mRecords.find(aCommand.mTask.Job());
  if (record == mRecords.end() ||
      record->second.Tasks()[task].mRun < aCommand.mRun) {
    RecordViolation(name + " starts without a stored record");
  }
  const Resources used =
    UsedOn(aWorker).Plus(job.Steps()[aCommand.mTask.Step()].Demand());
  // The owner may have counted on the capacity at the time of sending; if that
  // has grown since, other runs may have started in between.
  if (!used.FitsIn(Largest(aCapacity, aWorker.mInfo.mCapacity))) {
    RecordViolation(name + " exceeds the capacity of " + aWorker.mInfo.mId);
  }
}

CommandReply
FleetModel::HandleStart(const StartCommand& aCommand,
                        const Resources& aCapacity)
{
  ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
  CommandReply reply;
  reply.mClock = mNow;
  reply.mOutcome = CommandOutcome::kRejected;
  if (aCommand.mEpoch < worker.mEpoch) {
    reply.mOutcome = CommandOutcome::kFenced;
    return reply;
  }
  worker.mEpoch = aCommand.mEpoch;
  const bool isRunning = std::any_of(
    worker.mRuns.begin(), worker.mRuns.end(), [&](const ModelRun& aRun) {
      return aRun.mTask == aCommand.mTask && aRun.mRun == aCommand.mRun;
    });
  if (isRunning) {
    reply.mOutcome = CommandOutcome::kDone;
    return reply;
  }
  const auto highestEnded = worker.mHighestEndedRuns.find(aCommand.mTask);
  const bool isObsolete = highestEnded != worker.mHighestEndedRuns.end() &&
                          aCommand.mRun <= highestEnded->second;
  if (aCommand.mLeaseExpiry <= mNow || isObsolete || worker.mRejecting) {
    ++mRejectedStarts;
    return reply;
  }
  if (worker.mLackingCapacity) {
    ++mRejectedStarts;
    reply.mOutcome = CommandOutcome::kNoCapacity;
    return reply;
  }
  CheckStart(worker, aCommand, aCapacity);
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
  reply.mOutcome = CommandOutcome::kDone;
  StartDeadlyRun(worker, aCommand.mTask);
  return reply;
}

CommandReply
FleetModel::HandleStop(const StopCommand& aCommand)
{
  ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
  CommandReply reply;
  reply.mClock = mNow;
  if (aCommand.mEpoch < worker.mEpoch) {
    reply.mOutcome = CommandOutcome::kFenced;
    return reply;
  }
  worker.mEpoch = aCommand.mEpoch;
  std::uint64_t& highestEnded = worker.mHighestEndedRuns[aCommand.mTask];
  highestEnded = std::max(highestEnded, aCommand.mRun);
  for (ModelRun& run : worker.mRuns) {
    if (run.mTask == aCommand.mTask && run.mRun == aCommand.mRun &&
        !run.mStopAt) {
      run.mStopAt = mNow + kStopDuration;
    }
  }
  reply.mOutcome = CommandOutcome::kDone;
  return reply;
}

RenewReply
FleetModel::HandleRenewal(const RenewCommand& aCommand)
{
  ModelWorker& worker = *FindWorker(aCommand.mWorker.mId);
  RenewReply report;
  if (aCommand.mEpoch < worker.mEpoch) {
    report.mOutcome = CommandOutcome::kFenced;
    return report;
  }
  worker.mEpoch = aCommand.mEpoch;
  worker.mLeaseExpiry = std::max(worker.mLeaseExpiry, aCommand.mLeaseExpiry);
  DiscardTerminations(worker, aCommand.mAckedUpTo);
  report.mOutcome = CommandOutcome::kDone;
  report.mIncarnation = worker.mInfo.mIncarnation;
  report.mClock = mNow;
  for (const ModelTermination& termination : worker.mTerminated) {
    if (report.mTerminated.size() == kMaxTerminations) {
      report.mHasMoreTerminations = true;
      break;
    }
    report.mTerminated.push_back(termination.mRun);
  }
  for (const ModelRun& run : worker.mRuns) {
    const auto total = mRunTimes.at(run.mTask.Job()).count();
    const auto percent =
      100 - 100 * CeilToMillis(run.mRemaining).count() / total;
    report.mRunning.push_back(
      { run.mTask,
        run.mRun,
        "",
        static_cast<int>(std::min<milliseconds::rep>(percent, 100)) });
  }
  return report;
}

/**
 * Discards acknowledged terminations. A completion that is acknowledged before
 * the lease expires is permanent, so a later start is a violation.
 */
void
FleetModel::DiscardTerminations(ModelWorker& aWorker, std::uint64_t aUpTo)
{
  for (const ModelTermination& termination : aWorker.mTerminated) {
    const bool isPermanent =
      termination.mRun.mSequence <= aUpTo && !termination.mIsLeaseExpired &&
      termination.mRun.mReason == TerminationReason::kDone;
    if (!isPermanent) {
      continue;
    }
    mDoneTasks.insert(termination.mRun.mTask);
    if (mLastStarts[termination.mRun.mTask] > termination.mAt) {
      RecordViolation(termination.mRun.mTask.Text() +
                      " was started after it completed");
    }
  }
  std::erase_if(aWorker.mTerminated,
                [aUpTo](const ModelTermination& aTermination) {
                  return aTermination.mRun.mSequence <= aUpTo;
                });
}

const StepSpec&
FleetModel::StepOf(const ModelRun& aRun) const
{
  return mJobs.at(aRun.mTask.Job()).Steps()[aRun.mTask.Step()];
}

milliseconds
FleetModel::CompletedWork(const ModelRun& aRun) const
{
  return mRunTimes.at(aRun.mTask.Job()) - CeilToMillis(aRun.mRemaining);
}

double
FleetModel::SlowdownOf(const ModelWorker& aWorker, const ModelRun& aRun) const
{
  const StepSpec& step = StepOf(aRun);
  const bool isOffRack =
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
  return aWorker.mSlowdown * (isOffRack || isSplit ? kCrossRackFactor : 1);
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
FleetModel::IsGangComplete(const ModelRun& aRun) const
{
  return !StepOf(aRun).IsGang() ||
         MembersOf(aRun).size() == StepOf(aRun).Tasks();
}

bool
FleetModel::IsWorkDone(const ModelRun& aRun) const
{
  if (aRun.mRemaining.count() > 0) {
    return false;
  }
  const std::vector<ModelRun> members = MembersOf(aRun);
  return std::all_of(
    members.begin(), members.end(), [](const ModelRun& aMember) {
      return aMember.mRemaining.count() <= 0;
    });
}

void
FleetModel::Advance(ModelWorker& aWorker)
{
  if (mNow >= aWorker.mLeaseExpiry) {
    for (ModelTermination& termination : aWorker.mTerminated) {
      termination.mIsLeaseExpired = true;
    }
  }
  for (std::size_t i = 0; i < aWorker.mRuns.size();) {
    ModelRun& run = aWorker.mRuns[i];
    const bool isGangComplete = IsGangComplete(run);
    if (isGangComplete && !aWorker.mStalled && run.mRemaining.count() > 0) {
      run.mRemaining -= std::chrono::duration_cast<std::chrono::microseconds>(
        kTick / SlowdownOf(aWorker, run));
    }
    std::optional<TerminationReason> reason;
    if (mNow >= aWorker.mLeaseExpiry) {
      reason = TerminationReason::kLeaseExpired;
    } else if (run.mStopAt && mNow >= *run.mStopAt) {
      reason = TerminationReason::kStopped;
    } else if (!isGangComplete && mNow - run.mStartedAt > kGangTimeout) {
      reason = TerminationReason::kGangIncomplete;
    } else if (IsWorkDone(run)) {
      const bool fails = aWorker.mFailing || mFailures[run.mTask.Job()] > 0;
      mFailures[run.mTask.Job()] -= fails && !aWorker.mFailing ? 1 : 0;
      reason = fails ? TerminationReason::kFailed : TerminationReason::kDone;
    }
    if (!reason) {
      ++i;
      continue;
    }
    const ModelRun ended = run;
    aWorker.mRuns.erase(aWorker.mRuns.begin() + static_cast<std::ptrdiff_t>(i));
    TerminateRun(aWorker, ended, *reason);
  }
}

void
FleetModel::TerminateRun(ModelWorker& aWorker,
                         const ModelRun& aRun,
                         TerminationReason aReason)
{
  std::uint64_t& highestEnded = aWorker.mHighestEndedRuns[aRun.mTask];
  highestEnded = std::max(highestEnded, aRun.mRun);
  std::string checkpoint;
  if (aReason != TerminationReason::kDone && StepOf(aRun).IsCheckpointing()) {
    checkpoint = std::to_string(CompletedWork(aRun).count());
  } else if (aReason == TerminationReason::kStopped ||
             aReason == TerminationReason::kGangBroken) {
    mWastedWork +=
      StepOf(aRun).Demand().WeightedCores() *
      static_cast<double>((CompletedWork(aRun) - aRun.mResumedWork).count()) /
      1'000.0;
  }
  aWorker.mTerminated.push_back(
    { { ++aWorker.mTerminations, aRun.mTask, aRun.mRun, aReason, checkpoint },
      mNow });
  mFailedRuns[aRun.mTask] += aReason == TerminationReason::kFailed ? 1 : 0;
  if (aReason == TerminationReason::kDone) {
    mCompletedTasks.emplace(aRun.mTask, mNow);
  }
  // The termination of one member terminates all members.
  TerminateMembers(aRun,
                   aReason == TerminationReason::kDone
                     ? TerminationReason::kDone
                     : TerminationReason::kGangBroken);
}

void
FleetModel::TerminateMembers(const ModelRun& aRun, TerminationReason aReason)
{
  if (!StepOf(aRun).IsGang()) {
    return;
  }
  for (ModelWorker& worker : mWorkers) {
    for (std::size_t i = 0; i < worker.mRuns.size(); ++i) {
      const ModelRun run = worker.mRuns[i];
      if (run.mTask.Job() == aRun.mTask.Job() &&
          run.mTask.Step() == aRun.mTask.Step() && run.mRun == aRun.mRun) {
        worker.mRuns.erase(worker.mRuns.begin() +
                           static_cast<std::ptrdiff_t>(i));
        TerminateRun(worker, run, aReason);
        return;
      }
    }
  }
}

} // namespace cornelrudder::tests
