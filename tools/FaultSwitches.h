#ifndef CORNELRUDDER_TOOLS_FAULT_SWITCHES_H
#define CORNELRUDDER_TOOLS_FAULT_SWITCHES_H

#include <cstdint>
#include <string>

namespace cornelrudder::tools {

/** Faults that a stand-in simulates; `PUT /faults` sets them. */
struct FaultSwitches
{
  /** Delay of each request before it is processed, in milliseconds. */
  std::int64_t mSlowMs = 0;
  /** Number of next requests to fail with status 500 without any effect. */
  std::int64_t mFailNext = 0;
  /** Number of next writes that take effect but whose response is lost. */
  std::int64_t mLoseAnswers = 0;
  /** Number of next responses with the identifier of another request. */
  std::int64_t mCrossNext = 0;
  /** Number of next responses with a truncated body. */
  std::int64_t mTruncateNext = 0;
  /** Whether no request gets a response. */
  std::int64_t mDown = 0;
  /** Whether every request fails after it has started. */
  std::int64_t mFailAll = 0;
  /** Whether the endpoint rejects new work and reports that it is leaving. */
  std::int64_t mLeaving = 0;

  auto operator<=>(const FaultSwitches&) const = default;
};

/**
 * Parses a JSON object with any of slow_ms, fail_next, lose_answers,
 * cross_next, truncate_next, down, fail_all, leaving; keys not given are 0.
 * @throws std::runtime_error that names an unknown key.
 * @throws nlohmann::json::exception if the text is not such an object.
 */
FaultSwitches
ParseFaultSwitches(const std::string& aText);

/**
 * Consumes one occurrence of a counted fault.
 * @param aCount Number of remaining occurrences; decremented if positive.
 * @return Whether the fault applies now.
 */
bool
TakeFault(std::int64_t& aCount);

} // namespace cornelrudder::tools

#endif // CORNELRUDDER_TOOLS_FAULT_SWITCHES_H
