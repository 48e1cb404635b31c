#include "cornelrudder/state/LeaseTracker.h"

namespace cornelrudder::state {

LeaseTracker::LeaseTracker(RegionId aDomain,
                           VmId aSelf,
                           std::string aIncarnation,
                           LeaseTimes aTimes)
  : mDomain(std::move(aDomain))
  , mSelf(std::move(aSelf))
  , mIncarnation(std::move(aIncarnation))
  , mTimes(aTimes)
{
}

Lease
LeaseTracker::HeldLeaseAt(std::chrono::milliseconds aNow) const
{
  const Lease lease(mDomain, mHeldEpoch, mHeldUntil);
  return lease.HeldAt(aNow) ? lease
                            : Lease(mDomain, 0, std::chrono::milliseconds(0));
}

std::optional<VmId>
LeaseTracker::OwnerAt(std::chrono::milliseconds aNow) const
{
  if (!mRow || (IsOwn(mRow) && HeldLeaseAt(aNow).Epoch() == 0)) {
    return std::nullopt;
  }
  return mRow->Owner();
}

LeaseAction
LeaseTracker::Decide(std::chrono::milliseconds aNow) const
{
  if (!mUnchangedSince) {
    return LeaseAction::kObserve;
  }
  if (IsOwn(mRow)) {
    return LeaseAction::kRenew;
  }
  const bool isFree = !mRow || !mRow->Owner();
  return isFree || aNow - *mUnchangedSince >= mTimes.TakeoverDelay()
           ? LeaseAction::kAcquire
           : LeaseAction::kObserve;
}

LeaseRow
LeaseTracker::NextRow(LeaseAction aAction) const
{
  const std::uint64_t epoch = mRow ? mRow->Epoch() : 0;
  return { mSelf,
           aAction == LeaseAction::kAcquire ? epoch + 1 : epoch,
           mIncarnation };
}

LeaseTracker
LeaseTracker::WithObservedRow(std::optional<LeaseRow> aRow,
                              std::uint64_t aVersion,
                              std::chrono::milliseconds aNow) const
{
  LeaseTracker next = *this;
  if (!mUnchangedSince || aVersion != mVersion) {
    next.mUnchangedSince = aNow;
  }
  next.mRow = std::move(aRow);
  next.mVersion = aVersion;
  const bool keepsLease =
    IsOwn(next.mRow) && next.mRow->Epoch() == next.mHeldEpoch;
  return keepsLease ? next : next.WithoutHeldLease();
}

LeaseTracker
LeaseTracker::WithAppliedWrite(LeaseRow aRow,
                               std::uint64_t aVersion,
                               std::chrono::milliseconds aSentAt,
                               std::chrono::milliseconds aNow) const
{
  LeaseTracker next = WithObservedRow(std::move(aRow), aVersion, aNow);
  next.mHeldEpoch = next.mRow->Epoch();
  next.mHeldUntil = aSentAt + mTimes.HoldDuration();
  return next;
}

LeaseTracker
LeaseTracker::WithoutHeldLease() const
{
  LeaseTracker next = *this;
  next.mHeldEpoch = 0;
  next.mHeldUntil = std::chrono::milliseconds(0);
  return next;
}

} // namespace cornelrudder::state
