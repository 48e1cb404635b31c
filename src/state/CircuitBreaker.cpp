#include "cornelrudder/state/CircuitBreaker.h"

#include "cornelrudder/state/StateError.h"

#include <string>

namespace cornelrudder::state {

CircuitBreaker::CircuitBreaker(int aFailureThreshold,
                               std::chrono::milliseconds aProbeInterval)
  : mFailureThreshold(aFailureThreshold)
  , mProbeInterval(aProbeInterval)
{
  if (mFailureThreshold < 1 || mProbeInterval.count() <= 0) {
    throw StateError("invalid circuit breaker: failure threshold " +
                     std::to_string(mFailureThreshold) + ", probe interval " +
                     std::to_string(mProbeInterval.count()) +
                     " ms; both must be at least 1");
  }
}

std::optional<CircuitBreaker>
CircuitBreaker::WithRequest(std::chrono::milliseconds aNow) const
{
  if (!mOpen) {
    return *this;
  }
  if (aNow < mNextProbeAt) {
    return std::nullopt;
  }
  CircuitBreaker next = *this;
  next.mNextProbeAt = aNow + mProbeInterval;
  return next;
}

CircuitBreaker
CircuitBreaker::WithSuccess() const
{
  return { mFailureThreshold, mProbeInterval };
}

CircuitBreaker
CircuitBreaker::WithFailure(std::chrono::milliseconds aNow) const
{
  CircuitBreaker next = *this;
  if (mOpen) {
    return next;
  }
  ++next.mConsecutiveFailures;
  if (next.mConsecutiveFailures >= mFailureThreshold) {
    next.mOpen = true;
    next.mNextProbeAt = aNow + mProbeInterval;
  }
  return next;
}

} // namespace cornelrudder::state
