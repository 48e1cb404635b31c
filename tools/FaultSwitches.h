#ifndef CORNELRUDDER_TOOLS_FAULT_SWITCHES_H
#define CORNELRUDDER_TOOLS_FAULT_SWITCHES_H

#include <cstdint>
#include <string>

namespace cornelrudder::tools {

/** Faults that a stand-in shows; set by `PUT /faults`. */
struct FaultSwitches
{
  /** Delay of each answer. */
  std::int64_t mSlowMs = 0;
  /** The next answers to fail with status 500 before any effect. */
  std::int64_t mFailNext = 0;
  /** The next writes to take effect without an answer. */
  std::int64_t mLoseAnswers = 0;
  /** The next answers that carry another request's identifier. */
  std::int64_t mCrossNext = 0;
  /** The next answers whose body is cut short. */
  std::int64_t mTruncateNext = 0;
  /** Whether nothing is answered at all. */
  std::int64_t mDown = 0;
  /** Whether every request fails after its start. */
  std::int64_t mFailAll = 0;
  /** Whether the endpoint says that it is leaving. */
  std::int64_t mLeaving = 0;

  auto operator<=>(const FaultSwitches&) const = default;
};

/**
 * Parses a JSON object with any of slow_ms, fail_next, lose_answers,
 * cross_next, truncate_next, down, fail_all, leaving; the others become 0.
 * @throws std::runtime_error naming an unknown key.
 */
FaultSwitches
ParseFaultSwitches(const std::string& aText);

/** Takes one of a counted fault. @return Whether there was one left. */
bool
TakeFault(std::int64_t& aCount);

} // namespace cornelrudder::tools

#endif // CORNELRUDDER_TOOLS_FAULT_SWITCHES_H
