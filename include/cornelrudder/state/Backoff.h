#ifndef CORNELRUDDER_STATE_BACKOFF_H
#define CORNELRUDDER_STATE_BACKOFF_H

#include <chrono>
#include <compare>

namespace cornelrudder::state {

/** Exponential backoff with full jitter. */
class Backoff
{
public:
  /** @throws StateError unless 0 < aBase <= aCap. */
  Backoff(std::chrono::milliseconds aBase, std::chrono::milliseconds aCap);

  /**
   * @param aFailedAttempts Number of failed attempts so far; at least 1.
   * @return The longest delay before the next attempt.
   */
  std::chrono::milliseconds MaxDelay(int aFailedAttempts) const;

  /**
   * Computes a delay with full jitter, which spreads the retries of clients
   * that failed at the same time.
   * @param aRandom Random number, uniform in [0, 1).
   * @return A delay from 0 to MaxDelay().
   */
  std::chrono::milliseconds Delay(int aFailedAttempts, double aRandom) const;

  auto operator<=>(const Backoff&) const = default;

private:
  std::chrono::milliseconds mBase;
  std::chrono::milliseconds mCap;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_BACKOFF_H
