#include "cornelrudder/state/EndpointHealth.h"

#include <algorithm>

namespace cornelrudder::state {

bool
EndpointHealth::FailsMostly() const
{
  const auto failures = static_cast<std::size_t>(std::count_if(
    mExchanges.begin(), mExchanges.end(), [](const auto& aExchange) {
      return aExchange.Failed();
    }));
  return mExchanges.size() >= kLeastExchanges &&
         2 * failures > mExchanges.size();
}

bool
EndpointHealth::HasSucceeded(const ClassName& aClass) const
{
  return std::any_of(
    mExchanges.begin(), mExchanges.end(), [&aClass](const auto& aExchange) {
      return !aExchange.Failed() && aExchange.Class() == aClass;
    });
}

EndpointHealth
EndpointHealth::WithExchange(const EndpointExchange& aExchange,
                             bool aSucceedsElsewhere,
                             std::chrono::milliseconds aNow) const&
{
  return EndpointHealth(*this).WithExchange(
    aExchange, aSucceedsElsewhere, aNow);
}

EndpointHealth
EndpointHealth::WithExchange(const EndpointExchange& aExchange,
                             bool aSucceedsElsewhere,
                             std::chrono::milliseconds aNow) &&
{
  if (mExchanges.size() == kWindow) {
    mExchanges.erase(mExchanges.begin());
  }
  mExchanges.push_back(aExchange);
  mSuccessesInRow = aExchange.Failed() ? 0 : mSuccessesInRow + 1;
  if (mState == EndpointState::kQuarantined) {
    return mSuccessesInRow >= kSuccessesToRecover ? EndpointHealth()
                                                  : std::move(*this);
  }
  if (aExchange.Failed() && aSucceedsElsewhere && FailsMostly()) {
    mState = EndpointState::kQuarantined;
    mNextProbe = aNow + kProbeInterval;
  }
  return std::move(*this);
}

bool
EndpointHealth::ProbeDue(std::chrono::milliseconds aNow) const
{
  return mState == EndpointState::kQuarantined && aNow >= mNextProbe;
}

EndpointHealth
EndpointHealth::WithProbe(std::chrono::milliseconds aNow) const
{
  EndpointHealth health = *this;
  health.mNextProbe = aNow + kProbeInterval;
  return health;
}

} // namespace cornelrudder::state
