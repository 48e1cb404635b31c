#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;
using namespace cornelrudder::state::scheduling;

namespace {

constexpr std::size_t kTasksPerPart = 2;

/** @return A part of a record, with the run numbers of its tasks. */
JobProgress
Part(std::size_t aPart, const std::vector<std::uint64_t>& aRuns)
{
  std::vector<TaskRecord> tasks;
  for (const std::uint64_t run : aRuns) {
    tasks.emplace_back();
    tasks.back().mRun = run;
  }
  return JobProgress("j", "o", JobPhase::kRunning, true, std::move(tasks))
    .AsPart(aPart, kTasksPerPart);
}

std::vector<std::uint64_t>
RunsOf(const JobProgress& aProgress)
{
  std::vector<std::uint64_t> runs;
  for (const TaskRecord& task : aProgress.Tasks()) {
    runs.push_back(task.mRun);
  }
  return runs;
}

} // namespace

TEST_GROUP(JobProgress){};

// Guards against records of tasks that move when a part between them has never
// been written: the tasks would run again under used run numbers.
TEST(JobProgress, JoinedPartsKeepThePlacesOfTheirTasks)
{
  const auto joined = JobProgress::Join({ Part(2, { 5 }), Part(0, { 1, 2 }) });
  CHECK(RunsOf(joined) == (std::vector<std::uint64_t>{ 1, 2, 0, 0, 5 }));
  CHECK(RunsOf(JobProgress::Join({ Part(0, { 1, 2 }), Part(1, { 3, 4 }) })) ==
        (std::vector<std::uint64_t>{ 1, 2, 3, 4 }));
}

// Guards against a job that is restored from a part of its record.
TEST(JobProgress, PartsThatDoNotMatchAreRejected)
{
  CHECK_THROWS(StateError, JobProgress::Join({ Part(1, { 1 }) }));
  CHECK_THROWS(StateError,
               JobProgress::Join({ Part(0, { 1 }), Part(0, { 1 }) }));
  CHECK_THROWS(StateError,
               JobProgress::Join({ Part(0, { 1, 2, 3 }), Part(1, { 1 }) }));
  CHECK_THROWS(
    StateError,
    JobProgress::Join({ Part(0, { 1 }), Part(1, { 1 }).AsPart(1, 5) }));
}

// Guards against tasks of a divided row that are read from the row that had
// them before, and against tasks that are read twice.
TEST(JobProgress, DividedRowsHideTheTasksOfTheRowTheyWereDividedFrom)
{
  const JobProgress whole(
    "j", "o", JobPhase::kRunning, true, Part(0, { 1, 1, 1, 1 }).Tasks());
  const auto joined = JobProgress::Join({ whole,
                                          Part(0, { 4 }).AsRow({ 3, 2 }),
                                          Part(0, { 2, 3 }).AsRow({ 1, 1 }) });
  CHECK(RunsOf(joined) == (std::vector<std::uint64_t>{ 1, 2, 3, 4 }));
  const std::vector<RecordRow> rows{ { 0, 0 }, { 1, 1 }, { 3, 2 } };
  CHECK(joined.Rows() == rows);
  CHECK_EQUAL(0, joined.TasksPerPart());
}

// Guards against memory for tasks that no job can have.
TEST(JobProgress, RowBeyondTheLargestJobIsRejected)
{
  CHECK_THROWS(StateError,
               JobProgress::Join(
                 { Part(0, { 1, 2 }), Part(0, { 1 }).AsRow({ 900'000, 1 }) }));
}
