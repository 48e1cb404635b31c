#include "TakeoverContext.h"

#include <utility>

namespace cornelrudder::tests {

TakeoverContext::TakeoverContext(TakeoverPlan aPlan, bool aIsTraced)
  : mPlan(std::move(aPlan))
  , mIsTraced(aIsTraced)
  , mDraws(mPlan.mSeed + 1)
{
}

void
TakeoverContext::Log(const std::string& aWho, const std::string& aText)
{
  if (mIsTraced) {
    mTrace.push_back(std::to_string(Now().count()) + " " + aWho + " " + aText);
  }
}

void
TakeoverContext::Violate(const std::string& aText)
{
  mViolations.push_back(std::to_string(Now().count()) + " " + aText);
  Log("VIOLATION", aText);
}

double
TakeoverContext::DrawRate()
{
  constexpr double kSlowestRate = 0.98;
  // Half of the clocks are at the ends of the range.
  const std::size_t end = mDraws.Below(4);
  const double share = end < 2 ? double(end) : mDraws.Share();
  return kSlowestRate + (1.0 - kSlowestRate) * share;
}

milliseconds
TakeoverContext::DrawLatency()
{
  return mDraws.Chance(0.02)
           ? mDraws.Between(milliseconds(10), milliseconds(900))
           : mDraws.Between(milliseconds(1), milliseconds(8));
}

} // namespace cornelrudder::tests
