#include "cornelrudder/state/scheduling/JobProgress.h"

#include "cornelrudder/state/StateError.h"
#include "cornelrudder/state/scheduling/TaskJob.h"

#include <algorithm>
#include <functional>

namespace cornelrudder::state::scheduling {

namespace {

/** @throws StateError if a part cannot belong to a divided record. */
void
CheckPart(const JobProgress& aPart, const JobProgress& aFirst)
{
  const bool isTooLong =
    aPart.TasksPerPart() > 0 && aPart.Tasks().size() > aPart.TasksPerPart();
  const bool isEqual = !aPart.IsRow() && !aFirst.IsRow();
  const bool isBeyondJob =
    aPart.FirstTask() + aPart.Tasks().size() > TaskJob::kMaxTasks;
  if (isTooLong || isBeyondJob ||
      (isEqual && aPart.TasksPerPart() != aFirst.TasksPerPart())) {
    throw StateError("job progress: part " + std::to_string(aPart.Part()) +
                     " does not match the first one");
  }
}

} // namespace

JobProgress
JobProgress::AsPart(std::size_t aPart, std::size_t aTasksPerPart) const
{
  JobProgress part = *this;
  part.mPart = aPart;
  part.mTasksPerPart = aTasksPerPart;
  part.mFirstTask = aPart * aTasksPerPart;
  return part;
}

JobProgress
JobProgress::AsRow(const RecordRow& aRow) const
{
  JobProgress row = *this;
  row.mPart = aRow.mNumber;
  row.mFirstTask = aRow.mFirstTask;
  row.mTasksPerPart = 0;
  row.mIsRow = true;
  return row;
}

JobProgress
JobProgress::Join(std::vector<JobProgress> aParts)
{
  std::sort(
    aParts.begin(), aParts.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.mFirstTask < aTwo.mFirstTask;
    });
  const auto isRow = std::mem_fn(&JobProgress::IsRow);
  const JobProgress& first = aParts.front();
  // Rows of a record that is divided unequally are written last to first.
  const bool isFirstPart = first.mFirstTask == 0 && first.mPart == 0;
  if (!isFirstPart && !std::all_of(aParts.begin(), aParts.end(), isRow)) {
    throw StateError("job progress: the first part is missing");
  }
  JobProgress joined = first;
  joined.mPart = 0;
  joined.mFirstTask = 0;
  joined.mTasks.clear();
  std::vector<RecordRow> rows;
  if (!isFirstPart) {
    rows.push_back({ 0, 0 });
  }
  for (const JobProgress& part : aParts) {
    CheckPart(part, first);
    if (!rows.empty() && part.mFirstTask == rows.back().mFirstTask) {
      throw StateError("job progress: two parts have task " +
                       std::to_string(part.mFirstTask));
    }
    // Also cuts the tasks that the earlier row has no longer.
    joined.mTasks.resize(part.mFirstTask);
    joined.mTasks.insert(
      joined.mTasks.end(), part.mTasks.begin(), part.mTasks.end());
    rows.push_back({ part.mFirstTask, part.mPart });
  }
  if (std::any_of(aParts.begin(), aParts.end(), isRow)) {
    joined.mTasksPerPart = 0;
    joined.mRows = std::move(rows);
  }
  return joined;
}

} // namespace cornelrudder::state::scheduling
