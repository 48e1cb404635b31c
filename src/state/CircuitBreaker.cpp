#include "cornelrudder/state/CircuitBreaker.h"

#include "cornelrudder/state/StateError.h"

#include <string>

namespace cornelrudder::state {

CircuitBreaker::CircuitBreaker(int aFailures,
                               std::chrono::milliseconds aProbeInterval)
  : mMaxFailures(aFailures)
  , mProbeInterval(aProbeInterval)
{
  if (mMaxFailures < 1 || mProbeInterval.count() <= 0) {
    throw StateError("circuit breaker of " + std::to_string(mMaxFailures) +
                     " failures and a probe per " +
                     std::to_string(mProbeInterval.count()) +
                     " ms; allowed are numbers from 1");
  }
}

std::optional<CircuitBreaker>
CircuitBreaker::WithRequest(std::chrono::milliseconds aNow) const
{
  if (!mOpen) {
    return *this;
  }
  if (aNow < mNextProbe) {
    return std::nullopt;
  }
  CircuitBreaker next = *this;
  next.mNextProbe = aNow + mProbeInterval;
  return next;
}

CircuitBreaker
CircuitBreaker::WithSuccess() const
{
  return { mMaxFailures, mProbeInterval };
}

CircuitBreaker
CircuitBreaker::WithFailure(std::chrono::milliseconds aNow) const
{
  CircuitBreaker next = *this;
  if (mOpen) {
    return next;
  }
  ++next.mFailures;
  if (next.mFailures >= mMaxFailures) {
    next.mOpen = true;
    next.mNextProbe = aNow + mProbeInterval;
  }
  return next;
}

} // namespace cornelrudder::state
