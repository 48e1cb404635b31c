#include "cornelrudder/state/scheduling/OwnerLease.h"

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Handovers in a row without a pause. If half of the daemons reach the workers,
 * the lease gets to one of them with a probability of 88%.
 */
constexpr std::uint64_t kMaxQuickHandovers = 3;
/**
 * Time that an owner keeps the lease after that many handovers. A new owner
 * presumes the runs of unresponsive workers lost after 9 s; with a shorter
 * pause, tasks on workers that no daemon reaches would never be replaced.
 */
constexpr std::chrono::milliseconds kHandoverPause{ 12'000 };
/** Time of ownership after which earlier handovers do not count any more. */
constexpr std::chrono::milliseconds kHandoverMemory{ 30'000 };

} // namespace

bool
OwnerLease::MayHandOver(std::chrono::milliseconds aHeld) const
{
  return mHandovers < kMaxQuickHandovers || aHeld >= kHandoverPause;
}

OwnerLease
OwnerLease::HandedOver(std::chrono::milliseconds aHeld) const
{
  OwnerLease lease = *this;
  lease.mOwner.clear();
  lease.mHandovers = aHeld >= kHandoverMemory ? 1 : mHandovers + 1;
  return lease;
}

void
LeaseObserver::Observe(std::uint64_t aVersion,
                       std::chrono::milliseconds aStoreTime)
{
  // A store clock that went backwards also restarts the observation.
  if (!mHasObservation || aVersion != mVersion || aStoreTime < mLastReadAt) {
    mHasObservation = true;
    mVersion = aVersion;
    mFirstReadAt = aStoreTime;
  }
  mLastReadAt = aStoreTime;
}

} // namespace cornelrudder::state::scheduling
