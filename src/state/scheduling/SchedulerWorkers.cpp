#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/** Workers' clocks may run slower than this daemon's by two percent. */
constexpr double kClockDrift = 1.03;
/** Covers the way of a command to the worker. */
constexpr Millis kOrderTime{ 300 };
/**
 * An earlier owner may go on renewing until it learns of its successor, at
 * the latest from the worker's refusal of its next renewal.
 */
constexpr Millis kFormerOwnerTime{ 2'500 };
/** Pause after a renewal without an answer. */
constexpr Millis kSilentRetry{ 400 };
/** The same, for a worker without runs. */
constexpr Millis kIdleRetry{ 1'000 };
/** Pause between renewals while ends wait to be recorded. */
constexpr Millis kUnackedRetry{ 800 };
/**
 * Longest wait of a renewal while it is open whether a run exists: a run that
 * never began has no end that could wake the answer.
 */
constexpr Millis kPressingWait{ 200 };
/**
 * The same for a worker with urgent work: a lost answer or a stalled run is
 * noticed while its caller can still be served in time.
 */
constexpr Millis kUrgentWait{ 500 };
/** Failed runs in a row after which a worker is avoided for a while. */
constexpr int kSuspectStreak = 2;
constexpr Millis kSuspectTime{ 10'000 };

Millis
Stretch(Millis aTime)
{
  return Millis(
    static_cast<Millis::rep>(static_cast<double>(aTime.count()) * kClockDrift));
}

} // namespace

WorkerState&
Scheduler::Impl::GetWorker(const std::string& aId, Millis aNow)
{
  const auto [it, isNew] = mWorkers.try_emplace(aId);
  if (isNew) {
    WorkerState& worker = it->second;
    worker.mInfo.mId = aId;
    worker.mListed = false;
    worker.mLastReplyAt = aNow;
    // Only an earlier owner can have runs on a worker that is new here.
    worker.mLeaseEnd =
      aNow + kFormerOwnerTime + Stretch(mOptions.mWorkerLease) + kOrderTime;
  }
  return it->second;
}

void
Scheduler::Impl::UpdateWorker(const WorkerInfo& aInfo, Millis aNow)
{
  // Another life at the same address means that the earlier one is over.
  for (auto& [id, other] : mWorkers) {
    if (id != aInfo.mId && other.mInfo.mAddress == aInfo.mAddress &&
        other.mInfo.mIncarnation <= aInfo.mIncarnation) {
      LoseWorker(other, "replaced", aNow);
      other.mListed = false;
    }
  }
  WorkerState& worker = GetWorker(aInfo.mId, aNow);
  if (worker.mInfo.mIncarnation > aInfo.mIncarnation) {
    return;
  }
  const bool isRestarted = worker.mInfo.mIncarnation != 0 &&
                           worker.mInfo.mIncarnation < aInfo.mIncarnation;
  if (isRestarted) {
    HandleRestart(worker, aNow);
  }
  const bool isFirst = worker.mClock.count() == 0 || isRestarted;
  if (aInfo.mDraining && !worker.mInfo.mDraining) {
    RecordEvent(
      SchedulerEvent::Kind::kWorkerLeaving,
      { { "worker", aInfo.mId },
        { "leaves_after_ms", std::to_string(aInfo.mShutdownAfter.count()) },
        { "runs", std::to_string(worker.mAssigned.size()) } });
  }
  worker.mInfo = aInfo;
  worker.mListed = true;
  worker.mShutdownAt =
    aInfo.mShutdownAfter.count() > 0 ? aNow + aInfo.mShutdownAfter : Millis(0);
  if (isFirst || aInfo.mClock > worker.mClock) {
    UpdateClock(worker, aInfo.mClock, aNow);
  }
}

void
Scheduler::Impl::RemoveWorker(const std::string& aWorker, Millis aNow)
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return;
  }
  it->second.mListed = false;
  // A worker that announced its end takes its runs with it. Any other one may
  // be out of reach and run on until its lease ends.
  if (it->second.mInfo.mDraining) {
    LoseWorker(it->second, "left", aNow);
  }
  ForgetUnlistedWorkers();
}

void
Scheduler::Impl::ForgetUnlistedWorkers()
{
  std::erase_if(mWorkers, [](const auto& aIt) {
    return !aIt.second.mListed && aIt.second.mAssigned.empty() &&
           !aIt.second.mRenewing;
  });
}

void
Scheduler::Impl::LoseWorker(WorkerState& aWorker,
                            const char* aReason,
                            Millis aNow)
{
  if (!aWorker.mAssigned.empty()) {
    RecordEvent(SchedulerEvent::Kind::kWorkerGone,
                { { "worker", aWorker.mInfo.mId },
                  { "reason", aReason },
                  { "runs", std::to_string(aWorker.mAssigned.size()) } });
  }
  const std::set<TaskKey> assigned = aWorker.mAssigned;
  for (const TaskKey& key : assigned) {
    LoseRun(key, aReason, aNow);
  }
}

/**
 * The worker started again under the same identifier. Runs that its earlier
 * life reported are over. A run that was only answered for may belong to the
 * new life, which takes commands before its restart is known here; the next
 * report tells. A command that is still under way would reach the new life, so
 * that it is settled by a stop there.
 */
void
Scheduler::Impl::HandleRestart(WorkerState& aWorker, Millis aNow)
{
  RecordEvent(SchedulerEvent::Kind::kWorkerGone,
              { { "worker", aWorker.mInfo.mId },
                { "reason", "restarted" },
                { "runs", std::to_string(aWorker.mAssigned.size()) } });
  const std::set<TaskKey> assigned = aWorker.mAssigned;
  for (const TaskKey& key : assigned) {
    const JobState* job = FindJob(key.first);
    if (job == nullptr) {
      continue;
    }
    const Task& task = job->mTasks[key.second];
    if (task.mPhase == TaskPhase::kRunning && task.mReportedIncarnation != 0) {
      LoseRun(key, "restarted", aNow);
    }
  }
  aWorker.ResetIncarnation();
}

void
Scheduler::Impl::LoseSilentWorkers(Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    const bool isSilent = worker.mFailedRenewals > 0 || !worker.mListed;
    if (isSilent && !worker.mAssigned.empty() && !worker.mRenewing &&
        aNow >= worker.mLeaseEnd) {
      LoseWorker(worker, "lease_expired", aNow);
    }
  }
  ForgetUnlistedWorkers();
}

void
Scheduler::Impl::UpdateClock(WorkerState& aWorker, Millis aClock, Millis aNow)
{
  aWorker.mClock = aClock;
  aWorker.mClockAt = aNow;
}

void
Scheduler::Impl::RecordReply(WorkerState& aWorker, Millis aNow)
{
  if (aWorker.mFailedRenewals > 0) {
    RecordEvent(SchedulerEvent::Kind::kWorkerBack,
                { { "worker", aWorker.mInfo.mId },
                  { "silent_ms",
                    std::to_string((aNow - aWorker.mLastReplyAt).count()) } });
  }
  aWorker.mFailedRenewals = 0;
  aWorker.mLastReplyAt = aNow;
}

void
Scheduler::Impl::RecordMissedReply(WorkerState& aWorker,
                                   const std::string& aDetail,
                                   Millis aNow)
{
  if (++aWorker.mFailedRenewals == 1) {
    RecordEvent(SchedulerEvent::Kind::kWorkerSilent,
                { { "worker", aWorker.mInfo.mId },
                  { "detail", aDetail },
                  { "runs", std::to_string(aWorker.mAssigned.size()) },
                  { "lease_ends_in_ms",
                    std::to_string((aWorker.mLeaseEnd - aNow).count()) } });
  }
  aWorker.mNextRenewal =
    aNow + (aWorker.mAssigned.empty() ? kIdleRetry : kSilentRetry);
}

void
Scheduler::Impl::RecordFailure(WorkerState& aWorker,
                               const JobState& aJob,
                               Millis aNow)
{
  if (++aWorker.mFailStreak >= kSuspectStreak) {
    aWorker.mSuspectedUntil = aNow + kSuspectTime;
    RecordEvent(SchedulerEvent::Kind::kWorkerSuspected,
                { { "worker", aWorker.mInfo.mId },
                  { "failures", std::to_string(aWorker.mFailStreak) },
                  { "job", aJob.mJob.Id() } });
  }
}

Millis
Scheduler::Impl::ExtendLease(WorkerState& aWorker, Millis aNow)
{
  aWorker.mLeaseEnd = std::max(
    aWorker.mLeaseEnd, aNow + Stretch(mOptions.mWorkerLease) + kOrderTime);
  return aWorker.mClock + (aNow - aWorker.mClockAt) + mOptions.mWorkerLease;
}

bool
Scheduler::Impl::IsSchedulable(const WorkerState& aWorker, Millis aNow) const
{
  return aWorker.mListed && !aWorker.mInfo.mDraining &&
         aWorker.mFailedRenewals == 0 && aWorker.mClock.count() > 0 &&
         aNow >= aWorker.mSuspectedUntil && aNow >= aWorker.mSluggishUntil;
}

void
Scheduler::Impl::ApplyRenewReply(const RenewCommand& aCommand,
                                 const RenewReply& aReply,
                                 Millis aSentAt,
                                 Millis aNow)
{
  const auto it = mWorkers.find(aCommand.mWorker.mId);
  if (it == mWorkers.end()) {
    return;
  }
  WorkerState& worker = it->second;
  worker.mRenewing = false;
  if (aReply.mOutcome == CommandOutcome::kFenced) {
    mFenced = true;
    return;
  }
  if (aReply.mOutcome == CommandOutcome::kIncarnationMismatch) {
    LoseWorker(worker, "other_life", aNow);
    worker.mListed = false;
    ForgetUnlistedWorkers();
    return;
  }
  if (aReply.mOutcome != CommandOutcome::kDone) {
    RecordMissedReply(worker, aReply.mDetail, aNow);
    return;
  }
  if (aReply.mIncarnation < worker.mInfo.mIncarnation) {
    // An earlier life sent it; the list of workers knows a newer one.
    return;
  }
  RecordReply(worker, aNow);
  if (worker.mInfo.mIncarnation != 0 &&
      aReply.mIncarnation > worker.mInfo.mIncarnation) {
    HandleRestart(worker, aNow);
  }
  worker.mInfo.mIncarnation = aReply.mIncarnation;
  UpdateClock(worker, aReply.mClock, aNow);
  std::set<TaskKey> listed;
  for (const RunningRun& run : aReply.mRunning) {
    ApplyRunning(worker, run, aReply.mIncarnation, aNow);
    const JobState* job = FindJob(run.mTask.Job());
    const auto index = job != nullptr ? job->Find(run.mTask) : std::nullopt;
    const TaskKey key{ run.mTask.Job(), index.value_or(0) };
    if (index && job->mTasks[*index].mRun == run.mRun &&
        worker.mAssigned.contains(key)) {
      listed.insert(key);
    } else {
      // Given up, but it runs: nobody waits for it any more.
      mStrays.push_back(
        { aCommand.mWorker, run.mTask, run.mRun, mOptions.mEpoch });
    }
  }
  for (const TerminatedRun& end : aReply.mTerminated) {
    if (end.mSequence > worker.mReceivedUpTo) {
      ApplyTermination(worker, end, aNow);
    }
  }
  for (const TerminatedRun& end : aReply.mTerminated) {
    worker.mReceivedUpTo = std::max(worker.mReceivedUpTo, end.mSequence);
  }
  CheckMissing(worker, listed, aSentAt, aNow);
  worker.mNextRenewal =
    worker.HasUnackedTerminations() ? aNow + kUnackedRetry : aNow;
  ForgetUnlistedWorkers();
}

WorkerCommands
Scheduler::Impl::CollectCommands(Millis aNow)
{
  WorkerCommands commands;
  if (!mFenced) {
    commands.mStops.swap(mStrays);
    CollectRuns(commands, aNow);
    CollectRenewCommands(commands, aNow);
  }
  return commands;
}

void
Scheduler::Impl::CollectRuns(WorkerCommands& aCommands, Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    for (const TaskKey& key : worker.mAssigned) {
      CollectRun(key, worker, aCommands, aNow);
    }
  }
}

void
Scheduler::Impl::CollectRun(const TaskKey& aKey,
                            WorkerState& aWorker,
                            WorkerCommands& aCommands,
                            Millis aNow)
{
  JobState& job = mJobs.at(aKey.first);
  Task& task = job.mTasks[aKey.second];
  const WorkerTarget target{ aWorker.mInfo.mId, aWorker.mInfo.mAddress };
  const bool isStored =
    task.mPlanWrite != 0 && task.mPlanWrite <= mStoredWrites;
  const bool isRepeat =
    task.mPhase == TaskPhase::kStarting && task.mRepeatDue && !task.mStopWanted;
  if ((task.mPhase == TaskPhase::kPlanned && isStored) || isRepeat) {
    task.mPhase = TaskPhase::kStarting;
    task.mRepeatDue = false;
    task.mUnknown = false;
    aCommands.mStarts.push_back({ target,
                                  job.IdOf(aKey.second),
                                  task.mRun,
                                  job.mJob.Payload(),
                                  task.mCheckpoint,
                                  ExtendLease(aWorker, aNow),
                                  mOptions.mEpoch });
    return;
  }
  const bool wantsStop = task.mStopWanted && !task.mStopInFlight &&
                         !task.mStoppedAt && aNow >= task.mStopRetryAt &&
                         !target.mAddress.empty();
  // A stop must not overtake a start whose answer is still awaited.
  const bool isSettled =
    task.mPhase == TaskPhase::kRunning || task.mUnknown || task.mRecovered;
  if (wantsStop && isSettled) {
    task.mStopInFlight = true;
    aCommands.mStops.push_back(
      { target, job.IdOf(aKey.second), task.mRun, mOptions.mEpoch });
  }
}

bool
Scheduler::Impl::HasUrgentRun(const WorkerState& aWorker) const
{
  return std::any_of(aWorker.mAssigned.begin(),
                     aWorker.mAssigned.end(),
                     [this](const TaskKey& aKey) {
                       return mJobs.at(aKey.first).mJob.Settings().mPriority ==
                              0;
                     });
}

void
Scheduler::Impl::CollectRenewCommands(WorkerCommands& aCommands, Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    // A silent worker without runs is asked until it can be used again.
    const bool isNeeded = !worker.mAssigned.empty() ||
                          worker.HasUnackedTerminations() ||
                          (worker.mFailedRenewals > 0 && worker.mListed);
    if (!isNeeded || worker.mRenewing || aNow < worker.mNextRenewal ||
        worker.mInfo.mAddress.empty()) {
      continue;
    }
    worker.mRenewing = true;
    RenewCommand command;
    command.mWorker = { id, worker.mInfo.mAddress };
    command.mEpoch = mOptions.mEpoch;
    command.mAckedUpTo = worker.mAckedUpTo;
    // A silent worker may still hear: renewing its lease would put off the
    // time from which its runs are known to be over.
    const bool isHeard =
      worker.mFailedRenewals == 0 && worker.mClock.count() > 0;
    if (isHeard) {
      command.mLeaseExpiry = ExtendLease(worker, aNow);
      command.mMaxWait = worker.HasUnackedTerminations() ? Millis(0)
                         : HasUrgentRun(worker)          ? kUrgentWait
                                                         : mOptions.mRenewWait;
    }
    const bool isPressing = std::any_of(
      worker.mAssigned.begin(),
      worker.mAssigned.end(),
      [this](const TaskKey& aKey) {
        const Task& task = mJobs.at(aKey.first).mTasks[aKey.second];
        return task.mUnknown || task.mRecovered || task.mStoppedAt.has_value();
      });
    if (isPressing) {
      command.mMaxWait = std::min(command.mMaxWait, kPressingWait);
    }
    aCommands.mRenewals.push_back(std::move(command));
  }
}

} // namespace cornelrudder::state::scheduling
