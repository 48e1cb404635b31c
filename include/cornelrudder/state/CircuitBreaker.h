#ifndef CORNELRUDDER_STATE_CIRCUIT_BREAKER_H
#define CORNELRUDDER_STATE_CIRCUIT_BREAKER_H

#include <chrono>
#include <compare>
#include <optional>

namespace cornelrudder::state {

/**
 * Stops requests to a failing component. The breaker opens after a number of
 * consecutive failures, then lets one probe per interval through, and closes
 * on the first success.
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
   * Checks whether a request may be sent now.
   * @return The breaker after sending the request, or nothing if the request
   *   must not be sent.
   */
  std::optional<CircuitBreaker> WithRequest(
    std::chrono::milliseconds aNow) const;

  /** @return The breaker after a successful request. */
  CircuitBreaker WithSuccess() const;

  /** @return The breaker after a failed request. */
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
