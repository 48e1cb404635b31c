#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_MODEL_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_MODEL_H

#include "CrashRate.h"
#include "LossBasis.h"
#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/OwnerReachability.h"
#include "cornelrudder/state/scheduling/RunTimePredictor.h"
#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"
#include "cornelrudder/state/scheduling/WorkerInfo.h"
#include "cornelrudder/state/scheduling/WorkerSpeed.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

/**
 * @file
 * Mutable state that is private to the scheduler.
 */

namespace cornelrudder::state::scheduling {

using Millis = std::chrono::milliseconds;

/** Progress, in percent, of a run that has done all its work. */
constexpr int kCompletePercent = 100;

/** Phase of a task and of its current run. */
enum class TaskPhase
{
  kWaiting,
  /**
   * A worker is chosen; the start command is not sent until the record is
   * stored.
   */
  kPlanned,
  /** The start command was sent, or an earlier owner may have sent it. */
  kStarting,
  kRunning,
  kDone
};

/** @return Name of a phase, for the log. */
const char*
TaskPhaseName(TaskPhase aPhase);

/** Why the work of a run was lost. */
enum class LossCause
{
  /** Not stopped by this owner, or the cause is not known to it. */
  kOther,
  /** The run failed. */
  kFailed,
  /** Another member of the gang failed, was lost or ended. */
  kGangBroken,
  kPreempted,
  /** Stopped to be started elsewhere. */
  kStalled,
  kSlow,
  kWorkerLeaves,
  /** The job was cancelled or has failed. */
  kJobEnded,
  /** Presumed lost with its worker or after its lease. */
  kWorkerLost
};

constexpr std::size_t kLossCauses = 9;

/** @return Name of a cause, for logs and metrics. */
const char*
LossCauseName(LossCause aCause);

/** Job and number of a task within the job. */
using TaskKey = std::pair<std::string, std::size_t>;

/** A crash of a worker under a run. */
struct CrashedRun
{
  TaskKey mTask;
  std::uint64_t mRun = 0;
  RunCrash mCrash;
  /** From the earliest start of the run to the first sign of the crash. */
  CrashSpan mSpan;
  /** Probability that a run of another task or gang crashed the worker. */
  double mOthersChance = 0.0;
  /** Jobs or gangs with a run on the worker, this one included. */
  std::size_t mUnits = 0;

  auto operator<=>(const CrashedRun&) const = default;
};

/** State of a task and of its current run. */
struct Task
{
  TaskPhase mPhase = TaskPhase::kWaiting;
  std::uint64_t mRun = 0;
  std::string mWorker;
  int mFailures = 0;
  std::string mCheckpoint;
  /** Incarnation of the worker when the run was planned; 0 if unknown. */
  std::uint64_t mIncarnation = 0;
  CrashCount mCrashes;
  /** Crashes of the worker of this task, or of this member of a gang. */
  CrashEvidence mMemberCrashes;
  /** The last run counted in mMemberCrashes. */
  std::uint64_t mLastCrashedRun = 0;
  /**
   * The worker has restarted, and its new incarnation has not shown yet whether
   * it has the run.
   */
  std::optional<CrashedRun> mPendingCrash;
  /**
   * The record leaves the checkpoint out, since with it the record of this task
   * alone is too large for a row. This owner still resumes the task from it.
   */
  bool mIsCheckpointUnstored = false;
  /** Number of the write that contains the planned run; 0 before that write. */
  std::uint64_t mPlanWrite = 0;
  /**
   * The run has not started earlier: when it was planned, or when this owner
   * first sent the start command.
   */
  Millis mEarliestStart{ 0 };
  /**
   * An earlier owner may have started the run, and no renewal reply has listed
   * it yet.
   */
  bool mRecovered = false;
  /** An earlier owner has planned the run. */
  bool mIsInherited = false;
  /** The outcome of the start command is unknown. */
  bool mOutcomeUnknown = false;
  /** Number of retries of the start command, and whether another one is due. */
  int mStartRetries = 0;
  bool mStartRetryDue = false;
  /**
   * The worker's reply to a renewal that is sent from this time on lists the
   * run or its termination, if the worker has started the run.
   */
  std::optional<Millis> mReportableSince;
  /**
   * An earlier run, which was presumed lost, has completed the task. The
   * current run is being stopped and uses its capacity until it is gone.
   */
  bool mCompletedEarlier = false;
  bool mStopRequested = false;
  /** Why the run was stopped; kOther if it was not. */
  LossCause mStopCause = LossCause::kOther;
  bool mStopInFlight = false;
  /**
   * When the worker acknowledged the stop; the run cannot start after this
   * time.
   */
  std::optional<Millis> mStoppedAt;
  Millis mStopRetryAt{ 0 };
  int mProgressPercent = 0;
  Millis mProgressAt{ 0 };
  /** Time of the last renewal reply that lists the run. */
  Millis mReportedAt{ 0 };
  /**
   * Incarnation of the worker that last reported the run; 0 before any report.
   */
  std::uint64_t mReportedIncarnation = 0;
  /** The run started without a checkpoint. */
  bool mStartedFromScratch = true;
  /** The worker's speed contains the progress of the run. */
  bool mIsSpeedNoted = false;
  Millis mRunningSince{ 0 };
  /** When a new checkpoint was last reported. */
  Millis mCheckpointAt{ 0 };
  /** Worker on which the last run failed, or from which it was moved. */
  std::string mAvoidedWorker;

  bool IsDone() const
  {
    return mPhase == TaskPhase::kDone || mCompletedEarlier;
  }

  bool IsAssigned() const
  {
    return mPhase == TaskPhase::kPlanned || mPhase == TaskPhase::kStarting ||
           mPhase == TaskPhase::kRunning;
  }
};

/** Job and number of an occurrence; 0 for an unscheduled job. */
using OccurrenceKey = std::pair<std::string, std::size_t>;

/** A suspect crash that an owner has counted. */
struct CountedCrash
{
  std::uint64_t mRun = 0;
  CrashSpan mSpan;
  /** See CrashedRun. */
  double mOthersChance = 0.0;
  /** Expected crashes of other causes on the worker, in millionths. */
  std::int64_t mExpected = 0;
  /** Tasks that count it as a crash of their worker. */
  std::vector<std::size_t> mMembers;

  auto operator<=>(const CountedCrash&) const = default;
};

/**
 * Runs that were presumed lost when the lease of a silent worker expired. They
 * have crashed if a later incarnation of the worker appears.
 */
struct PresumedCrash
{
  std::string mWorker;
  std::uint64_t mIncarnation = 0;
  std::vector<CrashedRun> mRuns;
  /** The crash, if none of the runs is suspected. */
  std::optional<WorkerCrash> mCrash;

  auto operator<=>(const PresumedCrash&) const = default;
};

/** A job and the state of its tasks. */
struct JobState
{
  /**
   * @param aTasksPerPart Number of tasks in each row of the job's record; 0 if
   *   it is divided unequally.
   * @param aRows The rows in that case.
   */
  JobState(TaskJob aJob,
           Millis aSubmittedAt,
           std::size_t aTasksPerPart,
           std::vector<RecordRow> aRows = {});

  TaskJob mJob;
  /** When the job was submitted. */
  Millis mSubmittedAt;
  /** Number of tasks in each row of the record; 0 after DivideRow(). */
  std::size_t mTasksPerPart;
  /** The rows of the record, by first task. */
  std::vector<RecordRow> mRows;
  /**
   * First tasks of the rows with changes that no write contains yet.
   */
  std::set<std::size_t> mChangedRows;
  /**
   * Until this time the record is not written and no task is planned, since the
   * store rejected the record.
   */
  Millis mSetAsideUntil{ 0 };
  /** How often in a row the record was rejected. */
  int mRejections = 0;
  JobPhase mPhase = JobPhase::kQueued;
  /** Whether a worker has acknowledged or reported a run. */
  bool mStarted = false;
  std::vector<Task> mTasks;
  /** Run times of the tasks of each step that this owner has seen. */
  std::vector<StepRunTimes> mStepRuns;
  /** Runs counted as failed, by first task for a gang and by task otherwise. */
  std::map<std::size_t, std::set<std::uint64_t>> mFailedRuns;
  /** Tasks and runs that this owner presumed lost. */
  std::set<std::pair<std::size_t, std::uint64_t>> mLostRuns;
  /**
   * Number of the last run counted as crashed, by CountedTask(); empty while no
   * crash is counted.
   */
  std::map<std::size_t, std::uint64_t> mCrashedRuns;
  /** Crashes that this owner counted as suspect ones, by CountedTask(). */
  std::map<std::size_t, std::vector<CountedCrash>> mCountedCrashes;
  /**
   * Since when the job makes no progress, as seen by
   * Scheduler::Impl::ReportStalledJobs(); 0 otherwise.
   */
  Millis mStalledSince{ 0 };

  /** @return Occurrence that a task belongs to; 0 for an unscheduled job. */
  std::size_t OccurrenceOf(std::size_t aTask) const
  {
    return aTask / mJob.TasksPerOccurrence();
  }

  /** @return Number of the first task of a step in an occurrence. */
  std::size_t FirstTask(std::size_t aOccurrence, std::size_t aStep) const;

  /** @return Step of a task and the index of the task within the step. */
  std::pair<std::size_t, std::size_t> StepAndIndexOf(std::size_t aTask) const;

  TaskId IdOf(std::size_t aTask) const;

  /** @return The number of a task, or nothing if the job has no such task. */
  std::optional<std::size_t> Find(const TaskId& aTask) const;

  const StepSpec& StepOf(std::size_t aTask) const
  {
    return mJob.Steps()[StepAndIndexOf(aTask).first];
  }

  /** @return Range of task numbers of the step of a task, end exclusive. */
  std::pair<std::size_t, std::size_t> StepRange(std::size_t aTask) const;

  /** @return The task that counts failures and crashes: the first of a gang. */
  std::size_t CountedTask(std::size_t aTask) const
  {
    return StepOf(aTask).IsGang() ? StepRange(aTask).first : aTask;
  }

  /** @return Number of members of the gang of a task; 1 if it has none. */
  std::size_t MembersOf(std::size_t aTask) const
  {
    const auto [first, end] = StepRange(aTask);
    return StepOf(aTask).IsGang() ? end - first : 1;
  }

  const CrashCount& CrashesOf(std::size_t aTask) const
  {
    static const CrashCount kNone;
    return mCrashedRuns.empty() ? kNone : mTasks[CountedTask(aTask)].mCrashes;
  }

  /** @return Whether an earlier run of a task may still complete or fail it. */
  bool IsOpen(std::size_t aTask) const
  {
    return !mTasks[aTask].IsDone() && !IsFinal(mPhase) &&
           !StepOf(aTask).IsLongRunning();
  }

  /**
   * @return Whether the failure of an earlier run is an attempt that is not
   *   counted yet.
   */
  bool IsUncountedFailure(std::size_t aTask, std::uint64_t aRun) const;

  /** @return Whether all tasks of a step are done. */
  bool IsStepDone(std::size_t aOccurrence, std::size_t aStep) const;

  /** @return Whether all steps that a step depends on are done. */
  bool IsStepReady(std::size_t aOccurrence, std::size_t aStep) const;

  bool IsAnyAssigned() const;

  /** @return Whether a task of one occurrence is assigned. */
  bool IsAnyAssigned(std::size_t aOccurrence) const;

  /** @return Whether all tasks of one occurrence are done. */
  bool IsOccurrenceDone(std::size_t aOccurrence) const;

  /** @return The tasks of one occurrence. */
  std::span<const Task> TasksOf(std::size_t aOccurrence) const;

  /**
   * @return Whether a run has done its work and waits for other members of its
   *   gang; all members terminate together.
   */
  bool IsWaitingForGang(std::size_t aTask) const;

  /** @return The row of the record that has a task. */
  const RecordRow& RowOf(std::size_t aTask) const;

  /**
   * @param aFirst First task of a row.
   * @return Range of task numbers of the row, end exclusive.
   */
  std::pair<std::size_t, std::size_t> RowRange(std::size_t aFirst) const;

  /**
   * @return First task of the changed row to write next. A row comes after
   *   those that were divided from it: it is shorter then, and their tasks must
   *   not be in no row. The first row of a terminated job comes before the
   *   others, which are deleted.
   */
  std::size_t NextChangedRow() const;

  /** Divides a row that has several tasks into two. */
  void DivideRow(std::size_t aFirst);

  /** @return TaskRecord::mFailedRuns of a task that is not done. */
  std::vector<std::uint64_t> LatestFailedRuns(std::size_t aTask) const;

  /** @return A row of the job's record. */
  JobProgress ToProgress(std::size_t aFirst) const;
};

/** Whether a worker may get new runs; otherwise the reason why not. */
enum class WorkerCondition
{
  kUsable,
  kUnlisted,
  kDraining,
  kSilent,
  /** Listed again; WorkerState::mIsQueryDue. */
  kUnconfirmed,
  /** No reading of the worker's clock, which its lease needs. */
  kClockUnknown,
  kSuspected,
  kSlow,
  /** In an evacuated zone. */
  kEvacuated
};

constexpr std::size_t kWorkerConditions = 9;

/** @return Name of a condition, for logs and metrics. */
const char*
WorkerConditionName(WorkerCondition aCondition);

/** State of a worker, its lease and the tasks assigned to it. */
struct WorkerState
{
  static constexpr std::uint64_t kNoAckLimit =
    std::numeric_limits<std::uint64_t>::max();

  WorkerInfo mInfo;
  /** Whether the list of workers contains this one. */
  bool mListed = true;
  Resources mUsed;
  std::set<TaskKey> mAssigned;
  /** Last reported clock of the worker, and the local time of its receipt. */
  Millis mClock{ 0 };
  Millis mClockAt{ 0 };
  /** Clock in the last renewal reply, and when that renewal was sent. */
  Millis mReplyClock{ 0 };
  Millis mReplySentAt{ 0 };
  /** When a start command was last sent to the worker by this owner. */
  Millis mLastStartAt{ 0 };
  /** Local time of the last renewal reply of the present incarnation. */
  Millis mIncarnationRepliedAt{ 0 };
  /** See Scheduler::Impl::CanOnlyBeDeregistered(). */
  bool mIsDeregistered = false;
  /**
   * Highest sequence numbers of terminations: received from the worker, of jobs
   * in the present round of writes (see Scheduler::Impl::mRound) or earlier
   * ones, contained in the pending write, and stored (to be acknowledged).
   */
  std::uint64_t mReceivedUpTo = 0;
  std::uint64_t mRoundUpTo = 0;
  std::uint64_t mWritingUpTo = 0;
  std::uint64_t mAckedUpTo = 0;
  /**
   * Terminations above this number may belong to a job whose record the store
   * rejects, and are not acknowledged before they are in the lease row.
   */
  std::uint64_t mAckLimit = kNoAckLimit;
  /** Highest acknowledged one of which the worker is known to know. */
  std::uint64_t mConfirmedUpTo = 0;
  /**
   * The incarnation before the present one, and the local time at which this
   * owner learned of the present one.
   */
  std::uint64_t mReplacedIncarnation = 0;
  Millis mIncarnationSince{ 0 };
  bool mRenewing = false;
  Millis mNextRenewal{ 0 };
  /** Latest time at which the worker sends its reply to the last renewal. */
  Millis mReplyDueAt{ 0 };
  /** Renewals and unsent starts in a row without a valid reply. */
  int mFailedRenewals = 0;
  Millis mLastReplyAt{ 0 };
  /** For Scheduler::Reachability(); mIsSilent follows mFailedRenewals. */
  WorkerContact mContact;
  /**
   * Local time from which none of the runs that were started so far can exist.
   */
  Millis mLeaseExpiry{ 0 };
  LeaseSource mLeaseSource;
  /** When the entry of the worker was last read or was removed. */
  Millis mEntryAt{ 0 };
  /** See Scheduler::WithholdLeases(). */
  bool mIsLeaseWithheld = false;
  /**
   * Number of runs since the last completed one that failed, were rejected, or
   * were moved because they stalled or were slow.
   */
  int mConsecutiveFailures = 0;
  Millis mSuspectedUntil{ 0 };
  /**
   * Earliest time at which a draining worker shuts down; 0 if not announced.
   */
  Millis mShutdownAt{ 0 };
  /**
   * Until this time the worker gets no new runs, because one of its runs stalls
   * or is much slower than others of its step, or because it rejected a start
   * for want of capacity.
   */
  Millis mSlowUntil{ 0 };
  /**
   * The worker gets no new runs and no extension of its lease until it replies.
   * It was listed after this owner had loaded the tables, and may report
   * completions of tasks that would otherwise be started again; or another
   * entry has its address; or the owner checks whether it reaches idle workers,
   * or has not queried it yet; or it did not reply to the former owner.
   */
  bool mIsQueryDue = false;
  /** The worker is in an evacuated zone. */
  bool mIsEvacuated = false;
  WorkerSpeed mSpeed;
  /** The last renewal reply was ignored because of its incarnation. */
  bool mReplyIgnored = false;

  WorkerCondition ConditionAt(Millis aNow) const;
  /** @return Whether the last renewal got no reply at all. */
  bool IsSilent() const
  {
    return mFailedRenewals > 0 && mContact.mRepliedAt < mContact.mSilentSince;
  }
  /** @return Unused capacity; negative if the capacity shrank below the use. */
  Resources Free() const { return mInfo.mCapacity.Minus(mUsed); }
  bool IsOverCapacity() const { return !Resources().FitsIn(Free()); }
  bool HasUnackedTerminations() const { return mReceivedUpTo > mAckedUpTo; }
  bool HasUnconfirmedAck() const { return mAckedUpTo > mConfirmedUpTo; }

  /** Resets the state that belongs to one incarnation of the worker. */
  void ResetIncarnation()
  {
    mReceivedUpTo = 0;
    mRoundUpTo = 0;
    mWritingUpTo = 0;
    mAckedUpTo = 0;
    mAckLimit = kNoAckLimit;
    mConfirmedUpTo = 0;
    mClock = Millis(0);
    mReplyClock = Millis(0);
    mIncarnationRepliedAt = Millis(0);
    mFailedRenewals = 0;
    mSpeed = WorkerSpeed();
  }
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_MODEL_H
