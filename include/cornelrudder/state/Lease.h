#ifndef CORNELRUDDER_STATE_LEASE_H
#define CORNELRUDDER_STATE_LEASE_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace cornelrudder::state {

/**
 * Lease of a placement domain, as known to its owner. The owner must check
 * HeldAt() immediately before each action, since the process may have been
 * paused.
 */
class Lease
{
public:
  /**
   * @param aDomain The region whose placement is owned.
   * @param aEpoch Fencing token; 0 if the lease is not owned.
   * @param aExpiresAt Monotonic time at which the owner must stop acting.
   */
  Lease(RegionId aDomain,
        std::uint64_t aEpoch,
        std::chrono::milliseconds aExpiresAt)
    : mDomain(std::move(aDomain))
    , mEpoch(aEpoch)
    , mExpiresAt(aExpiresAt)
  {
  }

  const RegionId& Domain() const { return mDomain; }
  std::uint64_t Epoch() const { return mEpoch; }
  std::chrono::milliseconds ExpiresAt() const { return mExpiresAt; }

  bool HeldAt(std::chrono::milliseconds aNow) const
  {
    return mEpoch != 0 && aNow < mExpiresAt;
  }

  auto operator<=>(const Lease&) const = default;

private:
  RegionId mDomain;
  std::uint64_t mEpoch;
  std::chrono::milliseconds mExpiresAt;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_H
