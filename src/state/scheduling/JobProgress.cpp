#include "cornelrudder/state/scheduling/JobProgress.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

JobProgress
JobProgress::AsPart(std::size_t aPart, std::size_t aTasksPerPart) const
{
  JobProgress part = *this;
  part.mPart = aPart;
  part.mTasksPerPart = aTasksPerPart;
  return part;
}

JobProgress
JobProgress::Join(std::vector<JobProgress> aParts)
{
  std::sort(
    aParts.begin(), aParts.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.mPart < aTwo.mPart;
    });
  JobProgress joined = aParts.front();
  const std::size_t size = joined.mTasksPerPart;
  if (joined.mPart != 0 || (aParts.size() > 1 && joined.mTasks.size() > size)) {
    throw StateError("job progress: the first part is missing or too long");
  }
  for (std::size_t i = 1; i < aParts.size(); ++i) {
    const JobProgress& part = aParts[i];
    if (part.mTasksPerPart != size || part.mPart == aParts[i - 1].mPart ||
        part.mTasks.size() > size) {
      throw StateError("job progress: part " + std::to_string(part.mPart) +
                       " does not match the first one");
    }
    if (!part.mTasks.empty()) {
      joined.mTasks.resize(part.mPart * size);
      joined.mTasks.insert(
        joined.mTasks.end(), part.mTasks.begin(), part.mTasks.end());
    }
  }
  return joined;
}

} // namespace cornelrudder::state::scheduling
