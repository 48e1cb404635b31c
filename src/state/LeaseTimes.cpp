#include "cornelrudder/state/LeaseTimes.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

namespace {

constexpr std::chrono::milliseconds kMinLength{ 6 };

} // namespace

LeaseTimes::LeaseTimes(std::chrono::milliseconds aLength)
  : LeaseTimes(aLength / 3, aLength - aLength / 6, aLength + aLength / 6)
{
  if (aLength < kMinLength) {
    throw StateError("a lease of " + std::to_string(aLength.count()) +
                     " ms is too short; allowed is at least " +
                     std::to_string(kMinLength.count()) + " ms");
  }
}

LeaseTimes::LeaseTimes(std::chrono::milliseconds aRenewEvery,
                       std::chrono::milliseconds aHoldFor,
                       std::chrono::milliseconds aTakeAfter)
  : mRenewEvery(aRenewEvery)
  , mHoldFor(aHoldFor)
  , mTakeAfter(aTakeAfter)
{
}

} // namespace cornelrudder::state
