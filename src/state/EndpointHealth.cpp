#include "cornelrudder/state/EndpointHealth.h"

#include <algorithm>

namespace cornelrudder::state {

bool
EndpointHealth::MajorityFailed() const
{
  const auto failures = static_cast<std::size_t>(std::count_if(
    mExchanges.begin(), mExchanges.end(), [](const auto& aExchange) {
      return aExchange.Failed();
    }));
  return mExchanges.size() >= kMinExchanges && 2 * failures > mExchanges.size();
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
                             bool aClassSucceedsElsewhere,
                             std::chrono::milliseconds aNow) const&
{
  return EndpointHealth(*this).WithExchange(
    aExchange, aClassSucceedsElsewhere, aNow);
}

EndpointHealth
EndpointHealth::WithExchange(const EndpointExchange& aExchange,
                             bool aClassSucceedsElsewhere,
                             std::chrono::milliseconds aNow) &&
{
  if (mExchanges.size() == kWindowExchanges) {
    mExchanges.erase(mExchanges.begin());
  }
  mExchanges.push_back(aExchange);
  mConsecutiveSuccesses = aExchange.Failed() ? 0 : mConsecutiveSuccesses + 1;
  if (mState == EndpointState::kQuarantined) {
    return mConsecutiveSuccesses >= kSuccessesToRecover ? EndpointHealth()
                                                        : std::move(*this);
  }
  if (aExchange.Failed() && aClassSucceedsElsewhere && MajorityFailed()) {
    mState = EndpointState::kQuarantined;
    mNextProbeAt = aNow + kProbeInterval;
  }
  return std::move(*this);
}

bool
EndpointHealth::IsProbeDue(std::chrono::milliseconds aNow) const
{
  return mState == EndpointState::kQuarantined && aNow >= mNextProbeAt;
}

EndpointHealth
EndpointHealth::WithProbe(std::chrono::milliseconds aNow) const
{
  EndpointHealth health = *this;
  health.mNextProbeAt = aNow + kProbeInterval;
  return health;
}

} // namespace cornelrudder::state
