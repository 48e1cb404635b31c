#ifndef CORNELRUDDER_STATE_RETRY_BUDGET_H
#define CORNELRUDDER_STATE_RETRY_BUDGET_H

#include <compare>
#include <cstdint>
#include <optional>

namespace cornelrudder::state {

/**
 * Limits retries to a share of the first tries, so that retries cannot
 * multiply the load on a part that fails. A reserve lets a client retry that
 * sends little.
 */
class RetryBudget
{
public:
  /**
   * @param aPercent Retries per 100 first tries.
   * @param aReserve Retries that are available at the start, and the most
   *   that can be saved up.
   * @throws StateError if one of them is negative.
   */
  RetryBudget(int aPercent, int aReserve);

  /** @return The budget after a first try. */
  RetryBudget WithFirstAttempt() const;

  /** @return The budget after a retry, or nothing if none is left. */
  std::optional<RetryBudget> WithRetry() const;

  auto operator<=>(const RetryBudget&) const = default;

private:
  int mPercent;
  /** Hundredths of a retry. */
  std::int64_t mMaxCreditHundredths;
  std::int64_t mCreditHundredths;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RETRY_BUDGET_H
