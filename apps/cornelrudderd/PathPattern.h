#ifndef CORNELRUDDERD_PATH_PATTERN_H
#define CORNELRUDDERD_PATH_PATTERN_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::daemon {

/** What the wildcards of a pattern matched, in order. */
using PathArguments = std::vector<std::string>;

/**
 * Matches a path with a pattern, where '*' is one segment and '**' the rest.
 * @return What the wildcards matched, or nothing.
 */
std::optional<PathArguments>
MatchPath(std::string_view aPattern, std::string_view aPath);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_PATH_PATTERN_H
