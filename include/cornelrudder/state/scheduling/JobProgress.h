#ifndef CORNELRUDDER_STATE_SCHEDULING_JOB_PROGRESS_H
#define CORNELRUDDER_STATE_SCHEDULING_JOB_PROGRESS_H

#include "cornelrudder/state/scheduling/CrashCount.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state::scheduling {

/** State of a job as reported to callers. */
enum class JobPhase
{
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kCancelled
};

/** @return Whether a job never leaves the phase. */
bool
IsFinal(JobPhase aPhase);

/** @return Name of a phase, in records and in the log. */
const char*
JobPhaseName(JobPhase aPhase);

/** @return The phase with a name, or nothing for an unknown name. */
std::optional<JobPhase>
JobPhaseFromName(std::string_view aName);

/** State of a task in the job record. */
enum class RecordedState
{
  kWaiting,
  /** A run exists or may still start on the recorded worker. */
  kAssigned,
  kDone
};

/** State of a task that a new owner needs after the previous one is lost. */
struct TaskRecord
{
  /** Limit on the length of mFailedRuns. */
  static constexpr std::size_t kMaxFailedRuns = 16;

  RecordedState mState = RecordedState::kWaiting;
  /** Highest run number that a start command may have used; 0 for none. */
  std::uint64_t mRun = 0;
  /**
   * Worker on which the run exists or may still start; empty if there is none.
   * A task that is done has one if an earlier run completed it.
   */
  std::string mWorker;
  /**
   * Number of failed runs; a gang counts them on its first task.
   */
  int mFailures = 0;
  /** Checkpoint that the next run resumes from; empty to start from scratch. */
  std::string mCheckpoint;
  /** Incarnation of mWorker when the run was planned; 0 if unknown. */
  std::uint64_t mIncarnation = 0;
  /** Crashes of workers under runs; a gang counts them on its first task. */
  CrashCount mCrashes = {};
  /** Crashes of the worker of this task, or of this member of a gang. */
  CrashEvidence mMemberCrashes = {};
  /**
   * The last run that mCrashes counts; 0 for none. Workers of other members may
   * be found to have crashed under it only by a new owner.
   */
  std::uint64_t mLastCrashedRun = 0;
  /**
   * Time from the submission of the job before which the run has not started; 0
   * if there is no run, or if it is unknown.
   */
  std::chrono::milliseconds mStartAfter{ 0 };
  /**
   * The latest runs that mFailures counts, in ascending order. Their ends may
   * be reported again to a new owner. Empty for a task that is done.
   */
  std::vector<std::uint64_t> mFailedRuns = {};

  auto operator<=>(const TaskRecord&) const = default;
};

/**
 * A row of a divided record. It has the tasks up to the first one of the next
 * row.
 */
struct RecordRow
{
  std::size_t mFirstTask = 0;
  /** Distinguishes the rows of a job; that of the first task has 0. */
  std::size_t mNumber = 0;

  auto operator<=>(const RecordRow&) const = default;
};

/**
 * The recorded progress of a job, or one part of it: the record of a job with
 * many tasks is divided, since a row of the store has a limited size. It is
 * divided into equal parts at first; a part that outgrows a row is divided
 * further. Tasks are sorted by occurrence, step and index. A terminated job of
 * which no run can exist has no task records.
 */
class JobProgress
{
public:
  /** @param aStarted Whether a worker has started any run of the job. */
  JobProgress(std::string aJob,
              std::string aOrganisation,
              JobPhase aPhase,
              bool aStarted,
              std::vector<TaskRecord> aTasks)
    : mJob(std::move(aJob))
    , mOrganisation(std::move(aOrganisation))
    , mPhase(aPhase)
    , mStarted(aStarted)
    , mTasks(std::move(aTasks))
  {
  }

  /**
   * @param aPart Number of the part.
   * @param aTasksPerPart Number of tasks of each part but the last one; 0 if
   *   the record is not divided.
   * @return This record as a part of one that is divided equally.
   */
  JobProgress AsPart(std::size_t aPart, std::size_t aTasksPerPart) const;

  /** @return This record as a row of one that is divided unequally. */
  JobProgress AsRow(const RecordRow& aRow) const;

  /**
   * Joins the parts of a divided record. The first part tells the phase of the
   * job; tasks of a part that has never been written have default records. Of
   * tasks in two rows, the later row has the present records: it was divided
   * from the earlier row, which was not written again since.
   * @param aParts All parts that were stored, at least one.
   * @throws StateError if the parts contradict each other.
   */
  static JobProgress Join(std::vector<JobProgress> aParts);

  const std::string& Job() const { return mJob; }
  const std::string& Organisation() const { return mOrganisation; }
  JobPhase Phase() const { return mPhase; }
  bool HasStarted() const { return mStarted; }
  const std::vector<TaskRecord>& Tasks() const { return mTasks; }
  std::size_t Part() const { return mPart; }
  std::size_t TasksPerPart() const { return mTasksPerPart; }
  std::size_t FirstTask() const { return mFirstTask; }
  /** @return The rows of a joined record that is divided unequally. */
  const std::vector<RecordRow>& Rows() const { return mRows; }
  /** @return Whether this is a row of a record that is divided unequally. */
  bool IsRow() const { return mIsRow; }

  auto operator<=>(const JobProgress&) const = default;

private:
  std::string mJob;
  std::string mOrganisation;
  JobPhase mPhase;
  bool mStarted;
  std::vector<TaskRecord> mTasks;
  std::size_t mPart = 0;
  std::size_t mTasksPerPart = 0;
  std::size_t mFirstTask = 0;
  bool mIsRow = false;
  std::vector<RecordRow> mRows;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_JOB_PROGRESS_H
