#ifndef CORNELRUDDER_STATE_LEASE_TIMES_H
#define CORNELRUDDER_STATE_LEASE_TIMES_H

#include <chrono>
#include <compare>

namespace cornelrudder::state {

/**
 * Durations of a lease. The owner stops acting after 5/6 of the lease duration,
 * and another daemon waits for 7/6 of it before it acquires the lease. The
 * rates of their clocks may therefore differ by a factor of up to 7/5 without
 * two owners at the same time.
 */
class LeaseTimes
{
public:
  /** @throws StateError if the duration is less than 6 ms. */
  explicit LeaseTimes(std::chrono::milliseconds aDuration);

  /** Sets each duration; lets tests use margins that are too small. */
  LeaseTimes(std::chrono::milliseconds aRenewInterval,
             std::chrono::milliseconds aHoldDuration,
             std::chrono::milliseconds aTakeoverDelay);

  std::chrono::milliseconds RenewInterval() const { return mRenewInterval; }

  /** How long the owner may act, counted from sending its last write. */
  std::chrono::milliseconds HoldDuration() const { return mHoldDuration; }

  /** How long a row must stay unchanged before another daemon acquires it. */
  std::chrono::milliseconds TakeoverDelay() const { return mTakeoverDelay; }

  auto operator<=>(const LeaseTimes&) const = default;

private:
  std::chrono::milliseconds mRenewInterval;
  std::chrono::milliseconds mHoldDuration;
  std::chrono::milliseconds mTakeoverDelay;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_TIMES_H
