#include "cornelrudder/state/LeaseWatch.h"

namespace cornelrudder::state {

LeaseWatch::LeaseWatch(RegionId aDomain,
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
LeaseWatch::HeldAt(std::chrono::milliseconds aNow) const
{
  const Lease lease(mDomain, mHeldEpoch, mHeldUntil);
  return lease.HeldAt(aNow) ? lease
                            : Lease(mDomain, 0, std::chrono::milliseconds(0));
}

std::optional<VmId>
LeaseWatch::OwnerAt(std::chrono::milliseconds aNow) const
{
  if (!mRow || (IsOwn(mRow) && HeldAt(aNow).Epoch() == 0)) {
    return std::nullopt;
  }
  return mRow->Owner();
}

LeaseAction
LeaseWatch::Decide(std::chrono::milliseconds aNow) const
{
  if (!mUnchangedSince) {
    return LeaseAction::kWatch;
  }
  if (IsOwn(mRow)) {
    return LeaseAction::kRenew;
  }
  const bool isFree = !mRow || !mRow->Owner();
  return isFree || aNow - *mUnchangedSince >= mTimes.TakeAfter()
           ? LeaseAction::kTake
           : LeaseAction::kWatch;
}

LeaseRow
LeaseWatch::NextRow(LeaseAction aAction) const
{
  const std::uint64_t epoch = mRow ? mRow->Epoch() : 0;
  return { mSelf,
           aAction == LeaseAction::kTake ? epoch + 1 : epoch,
           mIncarnation };
}

LeaseWatch
LeaseWatch::WithSeen(std::optional<LeaseRow> aRow,
                     std::uint64_t aVersion,
                     std::chrono::milliseconds aNow) const
{
  LeaseWatch next = *this;
  if (!mUnchangedSince || aVersion != mVersion) {
    next.mUnchangedSince = aNow;
  }
  next.mRow = std::move(aRow);
  next.mVersion = aVersion;
  const bool keepsHold =
    IsOwn(next.mRow) && next.mRow->Epoch() == next.mHeldEpoch;
  return keepsHold ? next : next.WithoutHold();
}

LeaseWatch
LeaseWatch::WithWritten(LeaseRow aRow,
                        std::uint64_t aVersion,
                        std::chrono::milliseconds aSentAt,
                        std::chrono::milliseconds aNow) const
{
  LeaseWatch next = WithSeen(std::move(aRow), aVersion, aNow);
  next.mHeldEpoch = next.mRow->Epoch();
  next.mHeldUntil = aSentAt + mTimes.HoldFor();
  return next;
}

LeaseWatch
LeaseWatch::WithoutHold() const
{
  LeaseWatch next = *this;
  next.mHeldEpoch = 0;
  next.mHeldUntil = std::chrono::milliseconds(0);
  return next;
}

} // namespace cornelrudder::state
