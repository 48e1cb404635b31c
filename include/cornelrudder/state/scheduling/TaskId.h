#ifndef CORNELRUDDER_STATE_SCHEDULING_TASK_ID_H
#define CORNELRUDDER_STATE_SCHEDULING_TASK_ID_H

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornelrudder::state::scheduling {

/** Identifies a task by job, occurrence, step and index. */
class TaskId
{
public:
  TaskId(std::string aJob,
         std::size_t aOccurrence,
         std::size_t aStep,
         std::size_t aIndex)
    : mJob(std::move(aJob))
    , mOccurrence(aOccurrence)
    , mStep(aStep)
    , mIndex(aIndex)
  {
  }

  const std::string& Job() const { return mJob; }
  std::size_t Occurrence() const { return mOccurrence; }
  std::size_t Step() const { return mStep; }
  std::size_t Index() const { return mIndex; }

  /** @return "job.occurrence.step.index". */
  std::string Text() const;

  /** @return The identifier, or nothing for a malformed text. */
  static std::optional<TaskId> Parse(std::string_view aText);

  auto operator<=>(const TaskId&) const = default;

private:
  std::string mJob;
  std::size_t mOccurrence;
  std::size_t mStep;
  std::size_t mIndex;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_TASK_ID_H
