#include "cornelrudder/state/scheduling/TaskJob.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

TaskJob::TaskJob(std::string aId,
                 std::string aOrganisation,
                 QueueSettings aSettings,
                 std::string aPayload,
                 std::vector<StepSpec> aSteps,
                 Schedule aSchedule,
                 std::chrono::milliseconds aSubmittedAt)
  : mId(std::move(aId))
  , mOrganisation(std::move(aOrganisation))
  , mSettings(std::move(aSettings))
  , mPayload(std::move(aPayload))
  , mSteps(std::move(aSteps))
  , mSchedule(aSchedule)
  , mSubmittedAt(aSubmittedAt)
{
  if (mSteps.empty() || mSteps.size() > kMaxSteps) {
    throw StateError("job: found " + std::to_string(mSteps.size()) +
                     " steps; allowed are 1 to " + std::to_string(kMaxSteps));
  }
  if (mSchedule.mOccurrences > kMaxOccurrences ||
      mSchedule.mInterval.count() < 0) {
    throw StateError("job: a schedule has at most " +
                     std::to_string(kMaxOccurrences) +
                     " occurrences and no negative interval");
  }
  if (Tasks() > kMaxTasks) {
    throw StateError("job: found " + std::to_string(Tasks()) +
                     " tasks in all occurrences; allowed are at most " +
                     std::to_string(kMaxTasks));
  }
}

std::size_t
TaskJob::TasksPerOccurrence() const
{
  std::size_t n = 0;
  for (const StepSpec& step : mSteps) {
    n += step.Tasks();
  }
  return n;
}

std::int64_t
TaskJob::PeakAccelerators() const
{
  std::int64_t peak = 0;
  for (const StepSpec& step : mSteps) {
    peak = std::max(peak,
                    step.Demand().Accelerators() *
                      static_cast<std::int64_t>(step.Tasks()));
  }
  return peak;
}

std::chrono::milliseconds
TaskJob::EstimatedCriticalPath() const
{
  std::vector<std::chrono::milliseconds> finishTimes;
  std::chrono::milliseconds longest{ 0 };
  for (const StepSpec& step : mSteps) {
    std::chrono::milliseconds start{ 0 };
    for (const std::size_t earlier : step.Dependencies()) {
      start = std::max(start, finishTimes[earlier]);
    }
    finishTimes.push_back(start + step.EstimatedRunTime());
    longest = std::max(longest, finishTimes.back());
  }
  return longest;
}

} // namespace cornelrudder::state::scheduling
