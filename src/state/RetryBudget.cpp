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
  , mLimit(aReserve * kRetryCost)
  , mLeft(mLimit)
{
  if (aPercent < 0 || aReserve < 0) {
    throw StateError("retry budget of " + std::to_string(aPercent) +
                     "% with a reserve of " + std::to_string(aReserve) +
                     "; allowed are numbers from 0");
  }
}

RetryBudget
RetryBudget::WithFirstTry() const
{
  RetryBudget next = *this;
  next.mLeft = std::min(mLimit, mLeft + mPercent);
  return next;
}

std::optional<RetryBudget>
RetryBudget::WithRetry() const
{
  if (mLeft < kRetryCost) {
    return std::nullopt;
  }
  RetryBudget next = *this;
  next.mLeft -= kRetryCost;
  return next;
}

} // namespace cornelrudder::state
