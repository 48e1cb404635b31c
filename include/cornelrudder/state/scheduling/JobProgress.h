#ifndef CORNELRUDDER_STATE_SCHEDULING_JOB_PROGRESS_H
#define CORNELRUDDER_STATE_SCHEDULING_JOB_PROGRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state::scheduling {

/** State of a job as callers see it. */
enum class JobPhase
{
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kCancelled
};

/** @return Whether the phase is never left. */
bool
IsFinal(JobPhase aPhase);

/** @return The name of a phase, in records and in the log. */
const char*
JobPhaseName(JobPhase aPhase);

/** @return The phase with a name, or nothing. */
std::optional<JobPhase>
JobPhaseFromName(std::string_view aName);

/** State of a task as it is recorded. */
enum class RecordedState
{
  kWaiting,
  /** It may run, or come to run, on the worker of the record. */
  kAssigned,
  kDone
};

/** What must be known of a task after its owner is lost. */
struct TaskRecord
{
  RecordedState mState = RecordedState::kWaiting;
  /** Highest number of a run that may have been ordered; 0 for none. */
  std::uint64_t mRun = 0;
  /** Worker of an assigned task. */
  std::string mWorker;
  /** Runs that ended as failed. */
  int mFailures = 0;
  /** Where the next run resumes; empty for the beginning. */
  std::string mCheckpoint;

  auto operator<=>(const TaskRecord&) const = default;
};

/** The recorded progress of a job; tasks by occurrence, step and index. */
class JobProgress
{
public:
  /**
   * @param aStarted Whether a run of any task was ordered.
   */
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

  const std::string& Job() const { return mJob; }
  const std::string& Organisation() const { return mOrganisation; }
  JobPhase Phase() const { return mPhase; }
  bool HasStarted() const { return mStarted; }
  const std::vector<TaskRecord>& Tasks() const { return mTasks; }

  auto operator<=>(const JobProgress&) const = default;

private:
  std::string mJob;
  std::string mOrganisation;
  JobPhase mPhase;
  bool mStarted;
  std::vector<TaskRecord> mTasks;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_JOB_PROGRESS_H
