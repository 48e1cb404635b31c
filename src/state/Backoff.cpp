#include "cornelrudder/state/Backoff.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>

namespace cornelrudder::state {

Backoff::Backoff(std::chrono::milliseconds aBase,
                 std::chrono::milliseconds aCap)
  : mBase(aBase)
  , mCap(aCap)
{
  if (mBase.count() <= 0 || mCap < mBase) {
    throw StateError("invalid backoff: base " + std::to_string(mBase.count()) +
                     " ms, cap " + std::to_string(mCap.count()) +
                     " ms; required is 0 < base <= cap");
  }
}

std::chrono::milliseconds
Backoff::MaxDelay(int aFailedAttempts) const
{
  std::chrono::milliseconds ceiling = mBase;
  for (int i = 1; i < aFailedAttempts && ceiling < mCap; ++i) {
    ceiling *= 2;
  }
  return std::min(ceiling, mCap);
}

std::chrono::milliseconds
Backoff::Delay(int aFailedAttempts, double aRandom) const
{
  const double random = std::clamp(aRandom, 0.0, 1.0);
  const auto n =
    static_cast<double>(MaxDelay(aFailedAttempts).count()) * random;
  return std::chrono::milliseconds(static_cast<std::int64_t>(n));
}

} // namespace cornelrudder::state
