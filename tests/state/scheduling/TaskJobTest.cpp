#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;
using namespace cornelrudder::state::scheduling;

namespace {

/** @return A job of one step that runs a number of times. */
TaskJob
MakeScheduledJob(std::size_t aTasks, std::size_t aOccurrences)
{
  StepSpecValues step;
  step.mTasks = aTasks;
  Schedule schedule;
  schedule.mOccurrences = aOccurrences;
  return { "j",
           "o",
           QueueSettings(),
           "payload",
           { StepSpec(step, 0) },
           schedule,
           std::chrono::milliseconds(0) };
}

} // namespace

TEST_GROUP(TaskJob){};

// Guards against a job that takes the memory of the owner: the limits on tasks
// of a step and on occurrences allow ten million tasks of one step.
TEST(TaskJob, TasksOfAllOccurrencesAreLimited)
{
  constexpr std::size_t kOccurrences = 100;
  constexpr std::size_t kTasks = TaskJob::kMaxTasks / kOccurrences;
  CHECK_EQUAL(TaskJob::kMaxTasks,
              MakeScheduledJob(kTasks, kOccurrences).Tasks());
  CHECK_THROWS(StateError, MakeScheduledJob(kTasks + 1, kOccurrences));
}
