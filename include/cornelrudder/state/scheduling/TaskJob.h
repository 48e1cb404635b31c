#ifndef CORNELRUDDER_STATE_SCHEDULING_TASK_JOB_H
#define CORNELRUDDER_STATE_SCHEDULING_TASK_JOB_H

#include "cornelrudder/state/scheduling/StepSpec.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** What a queue promises and allows; a job keeps the settings it came under. */
struct QueueSettings
{
  std::string mQueue;
  /** Service whose workers run the tasks. */
  std::string mService;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** Failed runs of a task, or of a gang, after which the job has failed. */
  int mMaxAttempts = 1;
  /** The objective is this many times the longest chain of work ... */
  double mSlackFactor = 1.0;
  /** ... and this much more. */
  std::chrono::milliseconds mTargetLatency{ 0 };

  auto operator<=>(const QueueSettings&) const = default;
};

/** When the occurrences of a job are due. */
struct Schedule
{
  /** Number of occurrences; 0 for a job that runs once, at once. */
  std::size_t mOccurrences = 0;
  /** Wall clock, since 1970. */
  std::chrono::milliseconds mStart{ 0 };
  std::chrono::milliseconds mInterval{ 0 };

  auto operator<=>(const Schedule&) const = default;
};

/** An accepted job: steps of tasks. */
class TaskJob
{
public:
  static constexpr std::size_t kMaxOccurrences = 1'000;
  static constexpr std::size_t kMaxSteps = 100;

  /**
   * @param aPayload Opaque text that each task is started with.
   * @param aSubmittedAt The store's clock when the job was handed in.
   * @throws StateError if there is no step or there are too many.
   */
  TaskJob(std::string aId,
          std::string aOrganisation,
          QueueSettings aSettings,
          std::string aPayload,
          std::vector<StepSpec> aSteps,
          Schedule aSchedule,
          std::chrono::milliseconds aSubmittedAt);

  const std::string& Id() const { return mId; }
  const std::string& Organisation() const { return mOrganisation; }
  const QueueSettings& Settings() const { return mSettings; }
  const std::string& Payload() const { return mPayload; }
  const std::vector<StepSpec>& Steps() const { return mSteps; }
  const Schedule& Timing() const { return mSchedule; }
  std::chrono::milliseconds SubmittedAt() const { return mSubmittedAt; }

  bool IsScheduled() const { return mSchedule.mOccurrences > 0; }

  /** @return Number of times that the steps run, at least 1. */
  std::size_t Occurrences() const
  {
    return IsScheduled() ? mSchedule.mOccurrences : 1;
  }

  /** @return Number of tasks of one occurrence. */
  std::size_t TasksPerOccurrence() const;

  /** @return Most accelerators that one of its steps needs at a time. */
  std::int64_t PeakAccelerators() const;

  /** @return The estimated longest chain of steps. */
  std::chrono::milliseconds EstimatedCriticalPath() const;

  auto operator<=>(const TaskJob&) const = default;

private:
  std::string mId;
  std::string mOrganisation;
  QueueSettings mSettings;
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  Schedule mSchedule;
  std::chrono::milliseconds mSubmittedAt;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_TASK_JOB_H
