#include "cornelrudder/state/scheduling/TaskId.h"

#include <array>
#include <charconv>

namespace cornelrudder::state::scheduling {

std::string
TaskId::Text() const
{
  return mJob + "." + std::to_string(mOccurrence) + "." +
         std::to_string(mStep) + "." + std::to_string(mIndex);
}

std::optional<TaskId>
TaskId::Parse(std::string_view aText)
{
  std::array<std::size_t, 3> numbers{};
  // Parses from the end, since only the job identifier may contain dots.
  for (auto it = numbers.rbegin(); it != numbers.rend(); ++it) {
    const auto dot = aText.rfind('.');
    if (dot == std::string_view::npos || dot + 1 == aText.size()) {
      return std::nullopt;
    }
    const char* begin = aText.data() + dot + 1;
    const char* end = aText.data() + aText.size();
    const auto [rest, ec] = std::from_chars(begin, end, *it);
    if (ec != std::errc() || rest != end) {
      return std::nullopt;
    }
    aText = aText.substr(0, dot);
  }
  if (aText.empty()) {
    return std::nullopt;
  }
  return TaskId(std::string(aText), numbers[0], numbers[1], numbers[2]);
}

} // namespace cornelrudder::state::scheduling
