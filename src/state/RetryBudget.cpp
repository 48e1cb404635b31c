#include "cornelrudder/state/RetryBudget.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <string>

namespace cornelrudder::state {

namespace {

constexpr std::int64_t kRetryCost = 100;

} // namespace

RetryBudget::RetryBudget(int aPercent, int aReserve)
  : mPercent(aPercent)
  , mMaxCreditHundredths(aReserve * kRetryCost)
  , mCreditHundredths(mMaxCreditHundredths)
{
  if (aPercent < 0 || aReserve < 0) {
    throw StateError("invalid retry budget: " + std::to_string(aPercent) +
                     "% of first attempts, reserve " +
                     std::to_string(aReserve) + "; neither may be negative");
  }
}

RetryBudget
RetryBudget::WithFirstAttempt() const
{
  RetryBudget next = *this;
  next.mCreditHundredths =
    std::min(mMaxCreditHundredths, mCreditHundredths + mPercent);
  return next;
}

std::optional<RetryBudget>
RetryBudget::WithRetry() const
{
  if (mCreditHundredths < kRetryCost) {
    return std::nullopt;
  }
  RetryBudget next = *this;
  next.mCreditHundredths -= kRetryCost;
  return next;
}

} // namespace cornelrudder::state
