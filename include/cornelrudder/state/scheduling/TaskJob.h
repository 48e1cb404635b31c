#ifndef CORNELRUDDER_STATE_SCHEDULING_TASK_JOB_H
#define CORNELRUDDER_STATE_SCHEDULING_TASK_JOB_H

#include "cornelrudder/state/scheduling/StepSpec.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Settings of a queue. A job keeps the settings it was accepted with. */
struct QueueSettings
{
  std::string mQueue;
  /** Service whose workers run the tasks. */
  std::string mService;
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** Number of failed runs of a task or gang at which the job fails. */
  int mMaxAttempts = 1;
  /**
   * The latency objective is mSlackFactor times the run time of the critical
   * path, plus mTargetLatency.
   */
  double mSlackFactor = 1.0;
  std::chrono::milliseconds mTargetLatency{ 0 };

  auto operator<=>(const QueueSettings&) const = default;
};

/** When the occurrences of a job are due. */
struct Schedule
{
  /**
   * Number of occurrences; 0 for an unscheduled job, which runs once as soon as
   * it is accepted.
   */
  std::size_t mOccurrences = 0;
  /** Due time of the first occurrence, since 1970. */
  std::chrono::milliseconds mStart{ 0 };
  std::chrono::milliseconds mInterval{ 0 };

  /** @return Due time of an occurrence, since 1970. */
  std::chrono::milliseconds DueAt(std::size_t aOccurrence) const
  {
    return mStart + mInterval * static_cast<std::int64_t>(aOccurrence);
  }

  auto operator<=>(const Schedule&) const = default;
};

/** An accepted job: steps, each of which consists of identical tasks. */
class TaskJob
{
public:
  static constexpr std::size_t kMaxOccurrences = 1'000;
  static constexpr std::size_t kMaxSteps = 100;
  /**
   * Limit on the tasks of all occurrences. The owner keeps the state of each
   * task of an active job in memory.
   */
  static constexpr std::size_t kMaxTasks = 20'000;

  /**
   * @param aPayload Opaque text passed to each task at its start.
   * @param aSubmittedAt Time of the submission by the clock of the store.
   * @throws StateError if the number of steps, occurrences or tasks is out of
   *   range or the interval is negative.
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

  std::size_t TasksPerOccurrence() const;

  /** @return Number of tasks of all occurrences. */
  std::size_t Tasks() const { return TasksPerOccurrence() * Occurrences(); }

  /**
   * @return Largest number of accelerators that the tasks of a single step use
   *   in parallel. Steps that run at the same time are not added up.
   */
  std::int64_t PeakAccelerators() const;

  /** @return Estimated run time of the longest chain of dependent steps. */
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
