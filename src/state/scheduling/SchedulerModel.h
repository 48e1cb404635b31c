#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_MODEL_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_MODEL_H

#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"
#include "cornelrudder/state/scheduling/WorkerInfo.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/**
 * @file
 * The scheduler's own mutable state; nothing of it leaves the scheduler.
 */

namespace cornelrudder::state::scheduling {

using Millis = std::chrono::milliseconds;

/** Percent of its work at which a run has nothing left to do. */
constexpr int kWholeWork = 100;

enum class TaskPhase
{
  kWaiting,
  /** A worker was chosen; the command waits for the record to be stored. */
  kPlanned,
  /** The command was sent, or an earlier owner may have sent it. */
  kStarting,
  kRunning,
  kDone
};

struct Task
{
  TaskPhase mPhase = TaskPhase::kWaiting;
  std::uint64_t mRun = 0;
  std::string mWorker;
  int mFailures = 0;
  std::string mCheckpoint;
  /** Number of the write that holds the plan; 0 before it was begun. */
  std::uint64_t mPlanWrite = 0;
  /** An earlier owner ordered the run, and no report has shown it yet. */
  bool mRecovered = false;
  /** The command's outcome is unknown. */
  bool mUnknown = false;
  /** Times that the command was repeated, and whether it is due again. */
  int mRepeats = 0;
  bool mRepeatDue = false;
  /** Reports that were asked for later show the run or its end. */
  std::optional<Millis> mVisibleAt;
  bool mStopWanted = false;
  bool mStopInFlight = false;
  /** From here on the run can no longer begin. */
  std::optional<Millis> mStoppedAt;
  Millis mStopRetryAt{ 0 };
  int mProgressPercent = 0;
  Millis mProgressAt{ 0 };
  /** When the worker last reported the run. */
  Millis mReportedAt{ 0 };
  /** Life of the worker that last reported the run; 0 before any report. */
  std::uint64_t mReportedIncarnation = 0;
  /** The run did not resume from a checkpoint. */
  bool mStartedAnew = true;
  Millis mRunningSince{ 0 };
  /** When the last checkpoint was seen. */
  Millis mCheckpointAt{ 0 };
  /** Worker on which the last run failed or stalled. */
  std::string mAvoidedWorker;

  bool IsAssigned() const
  {
    return mPhase == TaskPhase::kPlanned || mPhase == TaskPhase::kStarting ||
           mPhase == TaskPhase::kRunning;
  }
};

/** Position of a task: its job and its number within the job. */
using TaskKey = std::pair<std::string, std::size_t>;

struct JobState
{
  JobState(TaskJob aJob, Millis aSubmittedAt)
    : mJob(std::move(aJob))
    , mSubmittedAt(aSubmittedAt)
  {
  }

  TaskJob mJob;
  /** When the job was handed in. */
  Millis mSubmittedAt;
  JobPhase mPhase = JobPhase::kQueued;
  bool mStarted = false;
  std::vector<Task> mTasks;
  /** Last run that counted as failed, by first task of a gang. */
  std::map<std::size_t, std::uint64_t> mFailedRuns;

  /** @return Number of the first task of a step of an occurrence. */
  std::size_t FirstTask(std::size_t aOccurrence, std::size_t aStep) const;

  /** @return Step of a task and its index there. */
  std::pair<std::size_t, std::size_t> PlaceOf(std::size_t aTask) const;

  /** @return The identifier of a task. */
  TaskId IdOf(std::size_t aTask) const;

  /** @return The number of a task, or nothing if the job has none such. */
  std::optional<std::size_t> Find(const TaskId& aTask) const;

  const StepSpec& StepOf(std::size_t aTask) const
  {
    return mJob.Steps()[PlaceOf(aTask).first];
  }

  /** @return Numbers of the tasks of a step, the end exclusive. */
  std::pair<std::size_t, std::size_t> StepRange(std::size_t aTask) const;

  /** @return Whether all tasks of a step are done. */
  bool IsStepDone(std::size_t aOccurrence, std::size_t aStep) const;

  /** @return Whether all earlier steps that a step needs are done. */
  bool IsStepReady(std::size_t aOccurrence, std::size_t aStep) const;

  bool IsAnyAssigned() const;

  /**
   * @return Whether a run has done its work and waits for other members of its
   * gang, which end together.
   */
  bool IsWaitingForGang(std::size_t aTask) const;

  JobProgress Record() const;
};

struct WorkerState
{
  WorkerInfo mInfo;
  /** Whether the list of workers has it. */
  bool mListed = true;
  Resources mUsed;
  std::set<TaskKey> mAssigned;
  /** The worker's clock and when it was told. */
  Millis mClock{ 0 };
  Millis mClockAt{ 0 };
  /** Ends that were taken in, that the write under way holds, and that are
   * stored. */
  std::uint64_t mReceivedUpTo = 0;
  std::uint64_t mWritingUpTo = 0;
  std::uint64_t mAckedUpTo = 0;
  bool mRenewing = false;
  Millis mNextRenewal{ 0 };
  int mFailedRenewals = 0;
  Millis mLastReplyAt{ 0 };
  /** After this, no run that was ordered so far can still exist. */
  Millis mLeaseEnd{ 0 };
  int mFailStreak = 0;
  Millis mSuspectedUntil{ 0 };
  /** Time at which a leaving worker may be gone; 0 if it was not told. */
  Millis mShutdownAt{ 0 };
  /** Its runs stand still, or get on much slower than others like them. */
  Millis mSluggishUntil{ 0 };

  Resources Free() const { return mInfo.mCapacity.Minus(mUsed); }
  bool HasUnackedTerminations() const { return mReceivedUpTo > mAckedUpTo; }

  /** The ends and the clock of another life start anew. */
  void ResetIncarnation()
  {
    mReceivedUpTo = 0;
    mWritingUpTo = 0;
    mAckedUpTo = 0;
    mClock = Millis(0);
    mFailedRenewals = 0;
  }
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_MODEL_H
