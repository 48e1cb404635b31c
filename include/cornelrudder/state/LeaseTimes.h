#ifndef CORNELRUDDER_STATE_LEASE_TIMES_H
#define CORNELRUDDER_STATE_LEASE_TIMES_H

#include <chrono>
#include <compare>

namespace cornelrudder::state {

/**
 * The times of a lease. The holder stops one sixth early and a taker waits
 * one sixth longer, so that the clocks of the two may differ in rate by up to
 * 7/5 without an overlap.
 */
class LeaseTimes
{
public:
  /** @throws StateError if the length is less than 6 ms. */
  explicit LeaseTimes(std::chrono::milliseconds aDuration);

  /** Sets each time; for tests of margins that are too small. */
  LeaseTimes(std::chrono::milliseconds aRenewInterval,
             std::chrono::milliseconds aHoldDuration,
             std::chrono::milliseconds aTakeoverDelay);

  std::chrono::milliseconds RenewInterval() const { return mRenewInterval; }

  /** How long the holder may act, from before it sent its last write. */
  std::chrono::milliseconds HoldDuration() const { return mHoldDuration; }

  /** How long a taker must see the row unchanged. */
  std::chrono::milliseconds TakeoverDelay() const { return mTakeoverDelay; }

  auto operator<=>(const LeaseTimes&) const = default;

private:
  std::chrono::milliseconds mRenewInterval;
  std::chrono::milliseconds mHoldDuration;
  std::chrono::milliseconds mTakeoverDelay;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_TIMES_H
