#ifndef CORNELRUDDER_STATE_CIRCUIT_BREAKER_H
#define CORNELRUDDER_STATE_CIRCUIT_BREAKER_H

#include <chrono>
#include <compare>
#include <optional>

namespace cornelrudder::state {

/**
 * Stops requests to a part that fails. It opens after a number of failures in
 * a row, then lets one probe through per interval, and closes with the first
 * success.
 */
class CircuitBreaker
{
public:
  /** @throws StateError unless aFailureThreshold >= 1 and the interval is
   * positive. */
  CircuitBreaker(int aFailureThreshold,
                 std::chrono::milliseconds aProbeInterval);

  bool IsOpen() const { return mOpen; }

  /**
   * Asks to send a request.
   * @return The breaker after the request was sent, or nothing if it must not
   *   be sent now.
   */
  std::optional<CircuitBreaker> WithRequest(
    std::chrono::milliseconds aNow) const;

  /** @return The breaker after a response arrived. */
  CircuitBreaker WithSuccess() const;

  /** @return The breaker after a request failed. */
  CircuitBreaker WithFailure(std::chrono::milliseconds aNow) const;

  auto operator<=>(const CircuitBreaker&) const = default;

private:
  int mFailureThreshold;
  std::chrono::milliseconds mProbeInterval;
  int mConsecutiveFailures = 0;
  bool mOpen = false;
  std::chrono::milliseconds mNextProbeAt{ 0 };
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_CIRCUIT_BREAKER_H
