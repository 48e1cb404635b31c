#ifndef CORNELRUDDER_TESTS_HOSTILE_JSON_H
#define CORNELRUDDER_TESTS_HOSTILE_JSON_H

#include <string>
#include <vector>

namespace cornelrudder::tests {

/** An array that is nested deeper than any stack allows to recurse. */
inline std::string
DeepArray()
{
  constexpr std::size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/** Values that are no string. */
inline std::vector<std::string>
NoStrings()
{
  return { "null", "true", "7", "[]", "{}", "[\"a\"]" };
}

/** Values that are no whole number from 0 to 2^63 - 1. */
inline std::vector<std::string>
NoCounters()
{
  return { "null",
           "true",
           "\"7\"",
           "[]",
           "{}",
           "-1",
           "1e300",
           "-1e300",
           "0.5",
           "9223372036854775808",
           "1e19",
           "1e999",
           "18446744073709551616" };
}

/** Values that are no time in milliseconds. */
inline std::vector<std::string>
NoTimes()
{
  return { "null",
           "true",
           "\"7\"",
           "[]",
           "-1",
           "1e300",
           "9223372036854775807",
           "18446744073709551615" };
}

/** @return The text with a marker replaced by a value. */
inline std::string
Fill(std::string aText, const std::string& aValue)
{
  return aText.replace(aText.find('@'), 1, aValue);
}

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_HOSTILE_JSON_H
