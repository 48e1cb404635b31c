#ifndef CORNELRUDDERD_PATH_PATTERN_H
#define CORNELRUDDERD_PATH_PATTERN_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::daemon {

/** The path parts that the wildcards of a pattern matched, in order. */
using PathArguments = std::vector<std::string>;

/**
 * Matches a path against a pattern, in which '*' matches one non-empty segment
 * and '**' the non-empty rest of the path.
 * @return The parts that the wildcards matched, or nothing if there is no
 * match.
 */
std::optional<PathArguments>
MatchPath(std::string_view aPattern, std::string_view aPath);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_PATH_PATTERN_H
