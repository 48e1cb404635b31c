#include "SchedulerImpl.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

/** Delay before an unacknowledged stop is retried. */
constexpr Millis kStopRetryDelay{ 300 };
/**
 * How long a worker gets no new runs after it rejected a start for want of
 * capacity: its capacity has shrunk, and its row shows that within one refresh
 * (1.5 s).
 */
constexpr Millis kNoCapacityPause{ 1'500 };
/** Limit of retries of a start command whose outcome is unknown. */
constexpr int kMaxStartRetries = 2;
/** Run time lost by stopping and resuming a task that writes checkpoints. */
constexpr Millis kRestartCost{ 500 };

/** @return Why a terminated run has lost its work. */
LossCause
CauseOf(TerminationReason aReason, const Task& aTask)
{
  if (aReason == TerminationReason::kFailed) {
    return LossCause::kFailed;
  }
  if (aTask.mStopRequested) {
    return aTask.mStopCause;
  }
  return aReason == TerminationReason::kGangBroken ? LossCause::kGangBroken
                                                   : LossCause::kOther;
}

} // namespace

void
Scheduler::Impl::Assign(JobState& aJob,
                        std::size_t aTask,
                        WorkerState& aWorker,
                        std::uint64_t aRun)
{
  Task& task = aJob.mTasks[aTask];
  const int failures = task.mFailures;
  CrashCount crashes = std::move(task.mCrashes);
  CrashEvidence memberCrashes = std::move(task.mMemberCrashes);
  const std::uint64_t lastCrashedRun = task.mLastCrashedRun;
  std::string checkpoint = std::move(task.mCheckpoint);
  std::string avoidedWorker = std::move(task.mAvoidedWorker);
  task = Task();
  task.mPhase = TaskPhase::kPlanned;
  task.mRun = aRun;
  task.mWorker = aWorker.mInfo.mId;
  task.mFailures = failures;
  task.mCrashes = std::move(crashes);
  task.mMemberCrashes = std::move(memberCrashes);
  task.mLastCrashedRun = lastCrashedRun;
  task.mEarliestStart = mPlannedAt;
  task.mIncarnation = aWorker.mInfo.mIncarnation;
  task.mStartedFromScratch = checkpoint.empty();
  task.mCheckpoint = std::move(checkpoint);
  task.mAvoidedWorker = std::move(avoidedWorker);
  aWorker.mAssigned.insert({ aJob.mJob.Id(), aTask });
  aWorker.mUsed = aWorker.mUsed.Plus(aJob.StepOf(aTask).Demand());
}

void
Scheduler::Impl::ReplaceCheckpoint(Task& aTask, const std::string& aCheckpoint)
{
  mCheckpointBytes += aCheckpoint.size();
  mCheckpointBytes -= aTask.mCheckpoint.size();
  aTask.mCheckpoint = aCheckpoint;
  aTask.mIsCheckpointUnstored = false;
}

/**
 * Replaces the checkpoint of a task, unless all checkpoints together would take
 * too much memory: the next run resumes from the earlier one then.
 */
void
Scheduler::Impl::SetCheckpoint(Task& aTask, const std::string& aCheckpoint)
{
  const std::size_t others = mCheckpointBytes - aTask.mCheckpoint.size();
  const bool isLonger = aCheckpoint.size() > aTask.mCheckpoint.size();
  const bool isKept =
    !isLonger || others + aCheckpoint.size() <= mOptions.mMaxCheckpointBytes;
  if (isKept) {
    ReplaceCheckpoint(aTask, aCheckpoint);
    // Hysteresis bounds the log lines.
    mIsCheckpointLimitReached =
      mIsCheckpointLimitReached &&
      mCheckpointBytes > mOptions.mMaxCheckpointBytes / 2;
    return;
  }
  if (!mIsCheckpointLimitReached) {
    mIsCheckpointLimitReached = true;
    RecordEvent(SchedulerEvent::Kind::kCheckpointsLimited,
                { { "bytes", std::to_string(mCheckpointBytes) },
                  { "max_bytes", std::to_string(mOptions.mMaxCheckpointBytes) },
                  { "rejected_bytes", std::to_string(aCheckpoint.size()) } });
  }
}

/** Records that a worker has started a run of a job. */
void
Scheduler::Impl::RecordStart(JobState& aJob, Millis aNow)
{
  if (!aJob.mStarted) {
    aJob.mStarted = true;
    UpdatePhase(aJob, aNow);
    MarkChanged(aJob);
  }
}

void
Scheduler::Impl::Unassign(JobState& aJob, std::size_t aTask)
{
  Task& task = aJob.mTasks[aTask];
  const auto it = mWorkers.find(task.mWorker);
  if (it != mWorkers.end() &&
      it->second.mAssigned.erase({ aJob.mJob.Id(), aTask }) > 0) {
    it->second.mUsed = it->second.mUsed.Minus(aJob.StepOf(aTask).Demand());
  }
  MarkChanged(aJob, aTask);
}

void
Scheduler::Impl::Requeue(JobState& aJob, std::size_t aTask, Millis aNow)
{
  Unassign(aJob, aTask);
  Task& task = aJob.mTasks[aTask];
  // The other members of a gang lose their work for the same reason.
  const LossCause cause =
    task.mStopRequested ? task.mStopCause : LossCause::kGangBroken;
  task.mPhase = task.IsDone() ? TaskPhase::kDone : TaskPhase::kWaiting;
  task.mStopRequested = false;
  if (aJob.StepOf(aTask).IsGang()) {
    StopGang(aJob, aTask, cause, aNow);
  }
}

void
Scheduler::Impl::StopGang(JobState& aJob,
                          std::size_t aTask,
                          LossCause aCause,
                          Millis aNow)
{
  const auto [first, end] = aJob.StepRange(aTask);
  for (std::size_t i = first; i < end; ++i) {
    if (aJob.mTasks[i].IsAssigned()) {
      RequestStop(aJob, i, aCause, aNow);
    }
  }
}

void
Scheduler::Impl::RequestStop(JobState& aJob,
                             std::size_t aTask,
                             LossCause aCause,
                             Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  if (task.mPhase == TaskPhase::kPlanned) {
    // The start command has not been sent and will not be, so there is no run
    // to stop.
    Unassign(aJob, aTask);
    task.mPhase = task.IsDone() ? TaskPhase::kDone : TaskPhase::kWaiting;
    if (aJob.StepOf(aTask).IsGang()) {
      StopGang(aJob, aTask, aCause, aNow);
    }
    return;
  }
  if (!task.mStopRequested) {
    task.mStopCause = aCause;
  }
  task.mStopRequested = true;
}

void
Scheduler::Impl::StopAll(JobState& aJob, Millis aNow)
{
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    if (aJob.mTasks[i].IsAssigned()) {
      RequestStop(aJob, i, LossCause::kJobEnded, aNow);
    }
  }
}

void
Scheduler::Impl::FinishTask(JobState& aJob, std::size_t aTask, Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  if (task.IsAssigned()) {
    const bool isFullRun =
      task.mCheckpoint.empty() && task.mRunningSince.count();
    if (isFullRun) {
      RecordRun(aJob, aTask, aNow - task.mRunningSince);
    }
    Unassign(aJob, aTask);
  }
  task.mPhase = TaskPhase::kDone;
  SetCheckpoint(task, "");
}

/**
 * Completes a task through a run that was presumed lost, and stops its current
 * run. The completion of a gang's member completes all members.
 */
void
Scheduler::Impl::CompleteEarlier(JobState& aJob, std::size_t aTask, Millis aNow)
{
  auto [first, end] = aJob.StepRange(aTask);
  if (!aJob.StepOf(aTask).IsGang()) {
    first = aTask;
    end = aTask + 1;
  }
  for (std::size_t i = first; i < end; ++i) {
    Task& task = aJob.mTasks[i];
    if (task.IsAssigned()) {
      task.mCompletedEarlier = true;
      RequestStop(aJob, i, LossCause::kOther, aNow);
    } else {
      FinishTask(aJob, i, aNow);
    }
    MarkChanged(aJob, i);
  }
  const std::string id = aJob.mJob.Id();
  UpdatePhase(aJob, aNow);
  RemoveIfTerminated(id);
}

void
Scheduler::Impl::HandleTermination(JobState& aJob,
                                   std::size_t aTask,
                                   TerminationReason aReason,
                                   const std::string& aCheckpoint,
                                   Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  const std::string id = aJob.mJob.Id();
  EventFields fields{ { "task", aJob.IdOf(aTask).Text() },
                      { "run", std::to_string(task.mRun) },
                      { "worker", task.mWorker },
                      { "end", TerminationReasonName(aReason) } };
  if (aReason != TerminationReason::kDone) {
    const LossCause cause = CauseOf(aReason, task);
    const double lost = CountLoss(aJob, task, cause, aNow);
    if (cause != LossCause::kFailed && cause != LossCause::kStalled &&
        cause != LossCause::kSlow) {
      RecordUnfinishedRun(aJob, aTask);
    }
    fields.emplace_back("cause", LossCauseName(cause));
    fields.emplace_back("lost_core_s", std::to_string(std::lround(lost)));
  }
  RecordEvent(SchedulerEvent::Kind::kRunEnded, std::move(fields));
  if (!aCheckpoint.empty()) {
    SetCheckpoint(task, aCheckpoint);
  }
  const bool isLongRunning = aJob.StepOf(aTask).IsLongRunning();
  if (aReason == TerminationReason::kDone && !isLongRunning) {
    // Members of a gang terminate together: one completed member completes all.
    auto [first, end] = aJob.StepRange(aTask);
    if (!aJob.StepOf(aTask).IsGang()) {
      first = aTask;
      end = aTask + 1;
    }
    const std::uint64_t run = task.mRun;
    for (std::size_t i = first; i < end; ++i) {
      Task& member = aJob.mTasks[i];
      if (member.mRun != run) {
        continue;
      }
      if (i != aTask && member.IsAssigned() && member.mStartRetries > 0) {
        // A repeated start may have executed after the gang completed, on a
        // worker that restarted in between. The run uses its capacity until
        // the worker shows that it is gone.
        member.mCompletedEarlier = true;
        RequestStop(aJob, i, LossCause::kOther, aNow);
      } else {
        FinishTask(aJob, i, aNow);
      }
    }
  } else if (aReason == TerminationReason::kFailed && !isLongRunning &&
             !task.IsDone()) {
    FailRun(aJob, aTask, aNow);
  } else {
    Requeue(aJob, aTask, aNow);
  }
  UpdatePhase(aJob, aNow);
  RemoveIfTerminated(id);
}

void
Scheduler::Impl::FailRun(JobState& aJob, std::size_t aTask, Millis aNow)
{
  Task& task = aJob.mTasks[aTask];
  const std::uint64_t run = task.mRun;
  task.mAvoidedWorker = task.mWorker;
  if (const auto it = mWorkers.find(task.mWorker); it != mWorkers.end()) {
    RecordFailure(it->second, aJob, aNow);
  }
  Requeue(aJob, aTask, aNow);
  CountFailure(aJob, aTask, run, aNow);
}

/** Counts an attempt, and ends the job after the last one that is allowed. */
void
Scheduler::Impl::CountFailure(JobState& aJob,
                              std::size_t aTask,
                              std::uint64_t aRun,
                              Millis aNow)
{
  const std::size_t countedTask = aJob.CountedTask(aTask);
  // A failed run of a gang counts once, however many members report it.
  if (aJob.mFailedRuns[countedTask].insert(aRun).second) {
    ++aJob.mTasks[countedTask].mFailures;
    MarkChanged(aJob, countedTask);
  }
  const int failures = aJob.mTasks[countedTask].mFailures;
  const int maxAttempts = aJob.mJob.Settings().mMaxAttempts;
  if (!IsFinal(aJob.mPhase) && failures >= maxAttempts) {
    ++mJobsOutOfAttempts;
    TerminateJob(aJob,
                 JobPhase::kFailed,
                 aNow,
                 { { "reason", "attempts" },
                   { "task", aJob.IdOf(aTask).Text() },
                   { "run", std::to_string(aRun) },
                   { "failures", std::to_string(failures) },
                   { "attempts", std::to_string(maxAttempts) },
                   { "source", "run" } });
  }
}

void
Scheduler::Impl::HandleLostRun(const TaskKey& aKey,
                               const char* aReason,
                               LossBasis aBasis,
                               Millis aNow,
                               const EventFields& aDetails)
{
  JobState* job = FindJob(aKey.first);
  if (job == nullptr || !job->mTasks[aKey.second].IsAssigned()) {
    return;
  }
  const Task& task = job->mTasks[aKey.second];
  const double lost = CountLoss(*job, task, LossCause::kWorkerLost, aNow);
  ++mLostRunsByBasis.at(static_cast<std::size_t>(aBasis));
  RecordUnfinishedRun(*job, aKey.second);
  EventFields fields{ { "task", job->IdOf(aKey.second).Text() },
                      { "run", std::to_string(task.mRun) },
                      { "worker", task.mWorker },
                      { "reason", aReason },
                      { "lost_core_s", std::to_string(std::lround(lost)) },
                      { "basis", LossBasisName(aBasis) },
                      { "ordered_by", OrderedBy(task) } };
  fields.insert(fields.end(), aDetails.begin(), aDetails.end());
  RecordEvent(SchedulerEvent::Kind::kRunLost, std::move(fields));
  job->mLostRuns.emplace(aKey.second, task.mRun);
  Requeue(*job, aKey.second, aNow);
  RemoveIfTerminated(aKey.first);
}

/** @return The epoch of the owner that planned a run, as far as known. */
std::string
Scheduler::Impl::OrderedBy(const Task& aTask) const
{
  return aTask.mIsInherited ? "earlier" : std::to_string(mOptions.mEpoch);
}

void
Scheduler::Impl::ApplyStartReply(const StartCommand& aCommand,
                                 const CommandReply& aReply,
                                 Millis aNow)
{
  const auto workerIt = mWorkers.find(aCommand.mWorker.mId);
  if (aReply.mOutcome == CommandOutcome::kFenced) {
    mFenced = true;
    return;
  }
  JobState* job = FindJob(aCommand.mTask.Job());
  const auto index = job != nullptr ? job->Find(aCommand.mTask) : std::nullopt;
  if (!index) {
    return;
  }
  Task& task = job->mTasks[*index];
  if (task.mPhase != TaskPhase::kStarting || task.mRun != aCommand.mRun) {
    return;
  }
  const TaskKey key{ aCommand.mTask.Job(), *index };
  switch (aReply.mOutcome) {
    case CommandOutcome::kDone:
      RecordStart(*job, aNow);
      task.mPhase = TaskPhase::kRunning;
      task.mOutcomeUnknown = false;
      task.mReportableSince = aNow;
      task.mRunningSince = aNow;
      task.mProgressAt = aNow;
      break;
    case CommandOutcome::kNotSent:
    case CommandOutcome::kWithheld:
    case CommandOutcome::kNoCapacity:
    case CommandOutcome::kRejected:
      if (workerIt != mWorkers.end() &&
          aReply.mOutcome != CommandOutcome::kWithheld) {
        // A missing connection says nothing about how the worker runs tasks:
        // it is unresponsive until it replies to a renewal.
        if (aReply.mOutcome == CommandOutcome::kNotSent) {
          RecordMissedReply(workerIt->second, aReply.mDetail, aNow);
        } else if (aReply.mOutcome == CommandOutcome::kNoCapacity) {
          workerIt->second.mSlowUntil =
            std::max(workerIt->second.mSlowUntil, aNow + kNoCapacityPause);
        } else {
          RecordFailure(workerIt->second, *job, aNow);
        }
      }
      if (task.mStartRetries > 0) {
        // An earlier copy of the start command may still be executed.
        task.mOutcomeUnknown = true;
        RequestStop(*job, *index, LossCause::kOther, aNow);
      } else {
        HandleLostRun(
          key, aReply.mDetail.c_str(), LossBasis::kStartReply, aNow);
      }
      break;
    case CommandOutcome::kIncarnationMismatch:
      if (task.mStartRetries == 0) {
        // The addressed incarnation did not execute this command.
        HandleLostRun(key, "other_life", LossBasis::kStartReply, aNow);
      }
      if (workerIt != mWorkers.end()) {
        HandleReplacedWorker(workerIt->second, aCommand.mWorker, aNow);
      }
      break;
    case CommandOutcome::kFenced:
    case CommandOutcome::kUnknown:
      task.mOutcomeUnknown = true;
      task.mReportableSince = aNow;
      if (workerIt != mWorkers.end()) {
        workerIt->second.mNextRenewal = Millis(0);
      }
      break;
  }
}

void
Scheduler::Impl::ApplyStopReply(const StopCommand& aCommand,
                                const CommandReply& aReply,
                                Millis aNow)
{
  const auto workerIt = mWorkers.find(aCommand.mWorker.mId);
  if (aReply.mOutcome == CommandOutcome::kFenced) {
    mFenced = true;
    return;
  }
  if (aReply.mOutcome == CommandOutcome::kIncarnationMismatch &&
      (workerIt == mWorkers.end() ||
       HandleReplacedWorker(workerIt->second, aCommand.mWorker, aNow))) {
    return;
  }
  JobState* job = FindJob(aCommand.mTask.Job());
  const auto index = job != nullptr ? job->Find(aCommand.mTask) : std::nullopt;
  if (!index) {
    return;
  }
  Task& task = job->mTasks[*index];
  if (!task.IsAssigned() || task.mRun != aCommand.mRun) {
    return;
  }
  task.mStopInFlight = false;
  if (aReply.mOutcome == CommandOutcome::kDone) {
    task.mStoppedAt = aNow;
  } else {
    task.mStopRetryAt = aNow + kStopRetryDelay;
  }
}

/**
 * Applies the termination of a run that is not the current one of its task. A
 * run that was presumed lost may have completed or failed before its lease
 * expired; that counts, since the worker's report outweighs the presumption.
 */
void
Scheduler::Impl::ApplyEarlierTermination(const WorkerState& aWorker,
                                         const TerminatedRun& aRun,
                                         JobState& aJob,
                                         std::size_t aTask,
                                         Millis aNow)
{
  const Task& task = aJob.mTasks[aTask];
  const bool completes = aJob.IsOpen(aTask) &&
                         aRun.mReason == TerminationReason::kDone &&
                         aRun.mRun <= task.mRun;
  const bool fails = aRun.mReason == TerminationReason::kFailed &&
                     aJob.IsUncountedFailure(aTask, aRun.mRun);
  RecordEvent(completes || fails ? SchedulerEvent::Kind::kRunEnded
                                 : SchedulerEvent::Kind::kEndIgnored,
              { { "task", aRun.mTask.Text() },
                { "run", std::to_string(aRun.mRun) },
                { "worker", aWorker.mInfo.mId },
                { "end", TerminationReasonName(aRun.mReason) },
                { "current_run", std::to_string(task.mRun) },
                { "phase", TaskPhaseName(task.mPhase) } });
  if (completes) {
    CompleteEarlier(aJob, aTask, aNow);
  } else if (fails) {
    CountFailure(aJob, aTask, aRun.mRun, aNow);
  }
}

void
Scheduler::Impl::ApplyTermination(WorkerState& aWorker,
                                  const TerminatedRun& aRun,
                                  Millis aNow)
{
  JobState* job = FindJob(aRun.mTask.Job());
  const auto index = job != nullptr ? job->Find(aRun.mTask) : std::nullopt;
  if (!index) {
    return;
  }
  const Task& task = job->mTasks[*index];
  const bool isCurrent = task.IsAssigned() && task.mRun == aRun.mRun &&
                         task.mWorker == aWorker.mInfo.mId;
  if (mRejectedJobs.contains(aRun.mTask.Job())) {
    aWorker.mAckLimit = std::min(aWorker.mAckLimit, aRun.mSequence - 1);
  }
  RecordStart(*job, aNow);
  if (!isCurrent) {
    ApplyEarlierTermination(aWorker, aRun, *job, *index, aNow);
    return;
  }
  if (aRun.mReason == TerminationReason::kDone) {
    aWorker.mConsecutiveFailures = 0;
    aWorker.mSuspectedUntil = Millis(0);
  }
  HandleTermination(*job, *index, aRun.mReason, aRun.mCheckpoint, aNow);
}

void
Scheduler::Impl::ApplyRunning(WorkerState& aWorker,
                              const RunningRun& aRun,
                              std::uint64_t aIncarnation,
                              Millis aNow)
{
  JobState* job = FindJob(aRun.mTask.Job());
  const auto index = job != nullptr ? job->Find(aRun.mTask) : std::nullopt;
  if (!index) {
    return;
  }
  Task& task = job->mTasks[*index];
  const bool isExpected =
    task.mPhase == TaskPhase::kStarting || task.mPhase == TaskPhase::kRunning;
  if (!isExpected || task.mRun != aRun.mRun ||
      task.mWorker != aWorker.mInfo.mId) {
    return;
  }
  RecordStart(*job, aNow);
  if (task.mPhase == TaskPhase::kStarting) {
    task.mPhase = TaskPhase::kRunning;
    task.mReportableSince = aNow;
    task.mRunningSince = task.mRecovered ? Millis(0) : aNow;
    task.mProgressAt = aNow;
    task.mOutcomeUnknown = false;
    task.mRecovered = false;
  }
  task.mPendingCrash.reset();
  task.mReportedAt = aNow;
  task.mReportedIncarnation = aIncarnation;
  ResetCrashCount(*job, *index, aNow);
  if (aRun.mProgressPercent != task.mProgressPercent) {
    task.mProgressPercent = aRun.mProgressPercent;
    task.mProgressAt = aNow;
  }
  if (!aRun.mCheckpoint.empty() && aRun.mCheckpoint != task.mCheckpoint) {
    // The job is not marked as changed for a checkpoint alone: a new owner
    // reads it from the worker's renewal reply.
    SetCheckpoint(task, aRun.mCheckpoint);
    task.mCheckpointAt = aNow;
  }
}

void
Scheduler::Impl::HandleUnlistedRuns(WorkerState& aWorker,
                                    const std::set<TaskKey>& aListed,
                                    Millis aSentAt,
                                    Millis aNow)
{
  MarkRecoveredCrashes(aWorker, aNow);
  const std::set<TaskKey> assigned = aWorker.mAssigned;
  for (const TaskKey& key : assigned) {
    JobState* job = FindJob(key.first);
    if (aListed.contains(key) || job == nullptr ||
        !job->mTasks[key.second].IsAssigned()) {
      continue;
    }
    Task& task = job->mTasks[key.second];
    if (MayEarlierOwnerStart(task, aSentAt)) {
      // The worker knows this owner's epoch, but not after a restart.
      continue;
    }
    // The renewal carried this owner's epoch, so the worker rejects late start
    // commands of earlier owners: an unlisted recovered run cannot start.
    // Times are in milliseconds: a renewal of the same millisecond as the reply
    // may have been sent, and executed, before it.
    const bool cannotRun =
      task.mRecovered || (task.mStoppedAt && *task.mStoppedAt < aSentAt);
    const bool shouldBeListed =
      task.mReportableSince && *task.mReportableSince < aSentAt;
    if (cannotRun || (shouldBeListed && task.mPhase == TaskPhase::kRunning)) {
      HandleUnlistedRun(
        aWorker, key, cannotRun ? "not_started" : "not_listed", aSentAt, aNow);
    } else if (shouldBeListed && task.mOutcomeUnknown) {
      // The start command may still be in flight. A worker starts a run only
      // once even if it receives the command repeatedly, so retries are safe.
      // After kMaxStartRetries, the run is stopped, since only an acknowledged
      // stop proves that it cannot start any more. A start that may have
      // crashed the worker is not retried.
      if (task.mStartRetries < kMaxStartRetries && !task.mStopRequested &&
          !task.mPendingCrash) {
        ++task.mStartRetries;
        task.mStartRetryDue = true;
      } else {
        RequestStop(*job, key.second, LossCause::kOther, aNow);
      }
    }
  }
}

/**
 * @return Time that a run has worked. When an earlier owner's run started is
 *   unknown: its reported progress tells, or before the first report the age of
 *   its occurrence.
 */
Millis
Scheduler::Impl::WorkedTime(const JobState& aJob,
                            std::size_t aTask,
                            Millis aNow) const
{
  const Task& task = aJob.mTasks[aTask];
  if (task.mRunningSince.count() > 0) {
    return aNow - task.mRunningSince;
  }
  const Millis expected = Expect(aJob, aTask).mExpected;
  if (task.mRecovered) {
    const Millis age = aNow - DueSince(aJob, aJob.OccurrenceOf(aTask));
    return std::clamp(age, Millis(0), expected);
  }
  return expected * task.mProgressPercent / kCompletePercent;
}

/**
 * Adds the work that a run loses to the total of its cause.
 * @return The lost work in core seconds.
 */
double
Scheduler::Impl::CountLoss(const JobState& aJob,
                           const Task& aTask,
                           LossCause aCause,
                           Millis aNow)
{
  const double lost = LostCoreSeconds(aJob, aTask, aNow);
  mLostWork.at(static_cast<std::size_t>(aCause)) += lost;
  return lost;
}

double
Scheduler::Impl::LostCoreSeconds(const JobState& aJob,
                                 const Task& aTask,
                                 Millis aNow) const
{
  const auto index = static_cast<std::size_t>(&aTask - aJob.mTasks.data());
  const StepSpec& step = aJob.StepOf(index);
  Millis lost{ 0 };
  if (step.IsCheckpointing()) {
    // The task writes a checkpoint when it is stopped, so only the time of
    // stopping and resuming is lost.
    lost = kRestartCost;
  } else {
    lost = WorkedTime(aJob, index, aNow);
  }
  return step.Demand().WeightedCores() * static_cast<double>(lost.count()) /
         1'000.0;
}

} // namespace cornelrudder::state::scheduling
