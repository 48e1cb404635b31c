#ifndef CORNELRUDDER_STATE_RETRY_BUDGET_H
#define CORNELRUDDER_STATE_RETRY_BUDGET_H

#include <compare>
#include <cstdint>
#include <optional>

namespace cornelrudder::state {

/**
 * Limits retries to a percentage of first attempts, so that retries cannot
 * multiply the load on a failing component. The reserve allows a client that
 * sends few requests to retry some of them.
 */
class RetryBudget
{
public:
  /**
   * @param aPercent Retries per 100 first attempts.
   * @param aReserve Initial and largest number of available retries.
   * @throws StateError if a parameter is negative.
   */
  RetryBudget(int aPercent, int aReserve);

  /** @return The budget after a first attempt. */
  RetryBudget WithFirstAttempt() const;

  /** @return The budget after a retry, or nothing if no retry is available. */
  std::optional<RetryBudget> WithRetry() const;

  auto operator<=>(const RetryBudget&) const = default;

private:
  int mPercent;
  /** In hundredths of a retry, like mCreditHundredths. */
  std::int64_t mMaxCreditHundredths;
  std::int64_t mCreditHundredths;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RETRY_BUDGET_H
