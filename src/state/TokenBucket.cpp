#include "cornelrudder/state/TokenBucket.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <string>

namespace cornelrudder::state {

namespace {

constexpr std::int64_t kToken = 1'000;

} // namespace

TokenBucket::TokenBucket(std::int64_t aBurst, std::int64_t aPerSecond)
  : mBurst(aBurst)
  , mPerSecond(aPerSecond)
  , mThousandths(aBurst * kToken)
{
  if (aBurst <= 0 || aPerSecond <= 0) {
    throw StateError("invalid token bucket: burst " + std::to_string(aBurst) +
                     ", " + std::to_string(aPerSecond) +
                     " tokens a second; both must be positive");
  }
}

std::optional<TokenBucket>
TokenBucket::WithTake(std::chrono::milliseconds aNow) const
{
  TokenBucket next = *this;
  // A thousandth of a token in each millisecond per token a second.
  const std::int64_t added =
    (aNow - mFilledAt.value_or(aNow)).count() * mPerSecond;
  next.mThousandths = std::min(mThousandths + added, mBurst * kToken) - kToken;
  next.mFilledAt = aNow;
  return next.mThousandths >= 0 ? std::optional(next) : std::nullopt;
}

} // namespace cornelrudder::state
