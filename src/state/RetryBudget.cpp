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
    throw StateError("retry budget of " + std::to_string(aPercent) +
                     "% with a reserve of " + std::to_string(aReserve) +
                     "; allowed are numbers from 0");
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
