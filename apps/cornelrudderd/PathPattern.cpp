#include "cornelrudderd/PathPattern.h"

namespace cornelrudder::daemon {

std::optional<PathArguments>
MatchPath(std::string_view aPattern, std::string_view aPath)
{
  PathArguments arguments;
  while (true) {
    const auto n = aPattern.find('/');
    const std::string_view part = aPattern.substr(0, n);
    if (part == "**" && !aPath.empty()) {
      arguments.emplace_back(aPath);
      return arguments;
    }
    const auto m = aPath.find('/');
    const std::string_view segment = aPath.substr(0, m);
    if (part == "*" && !segment.empty()) {
      arguments.emplace_back(segment);
    } else if (part != segment) {
      return std::nullopt;
    }
    const bool patternEnds = n == std::string_view::npos;
    const bool pathEnds = m == std::string_view::npos;
    if (patternEnds || pathEnds) {
      return patternEnds && pathEnds ? std::optional(arguments) : std::nullopt;
    }
    aPattern.remove_prefix(n + 1);
    aPath.remove_prefix(m + 1);
  }
}

} // namespace cornelrudder::daemon
