#include "cornelrudder/state/LeaseTimes.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

namespace {

constexpr std::chrono::milliseconds kMinDuration{ 6 };

} // namespace

LeaseTimes::LeaseTimes(std::chrono::milliseconds aDuration)
  : LeaseTimes(aDuration / 3,
               aDuration - aDuration / 6,
               aDuration + aDuration / 6)
{
  if (aDuration < kMinDuration) {
    throw StateError("lease duration of " + std::to_string(aDuration.count()) +
                     " ms is too short; the minimum is " +
                     std::to_string(kMinDuration.count()) + " ms");
  }
}

LeaseTimes::LeaseTimes(std::chrono::milliseconds aRenewInterval,
                       std::chrono::milliseconds aHoldDuration,
                       std::chrono::milliseconds aTakeoverDelay)
  : mRenewInterval(aRenewInterval)
  , mHoldDuration(aHoldDuration)
  , mTakeoverDelay(aTakeoverDelay)
{
}

} // namespace cornelrudder::state
