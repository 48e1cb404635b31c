#include "TakeoverDaemon.h"

#include <algorithm>

namespace cornelrudder::tests {

using namespace state::scheduling;
using state::StoreStatus;

namespace {

constexpr milliseconds kHandoverAbstention{ 10'000 };
constexpr std::size_t kRecordsPerWrite = 40;

} // namespace

void
TakeoverDaemon::ReadLease()
{
  if (!mState.mLeaseReadInFlight) {
    mState.mLeaseReadInFlight = true;
    mState.mLeaseReadSentAt = LocalNow();
    CallStore(
      false,
      [](ModelStore& aStore) { return aStore.ReadLease(); },
      &TakeoverDaemon::HandleLeaseRow);
  }
}

void
TakeoverDaemon::HandleLeaseRow(const StoreReply& aReply)
{
  mState.mLeaseReadInFlight = false;
  if (mState.mMode != Mode::kFollowing || mState.mReleasing) {
    return;
  }
  if (aReply.mStatus != StoreStatus::kOk) {
    mState.mOwnerObserver.Reset();
    mState.mUnclaimedObserver.Reset();
    return;
  }
  if (aReply.mVersion == 0) {
    AcquireLease(0, OwnerLease{});
    return;
  }
  const milliseconds now = LocalNow();
  const OwnerLease& lease = aReply.mLease;
  mState.mStoreTiming =
    mState.mStoreTiming.WithRead(now, now - mState.mLeaseReadSentAt);
  mState.mSighting = mState.mSighting.WithRead(aReply.mVersion, now);
  mState.mOwnerObserver.Observe(aReply.mVersion, aReply.mStoreTime);
  mState.mUnclaimedObserver.Observe(aReply.mVersion, aReply.mStoreTime);
  if (lease.mIncarnation == mState.mIncarnation && !lease.mOwner.empty()) {
    if (lease.mEpoch != mState.mLease.mEpoch) {
      mState.mInheritedLeases.clear();
      mState.mEarlierCommands.mBySighting = mState.mSighting.LastCommandAt();
      mState.mEarlierCommands.mStartsBySighting =
        mState.mEarlierCommands.mBySighting;
    }
    mState.mLease = lease;
    FinishAcquire(aReply.mVersion);
    // An earlier attempt than the last one may have written the row.
    mState.mTenure = OwnerTenure();
  } else if (IsAcquisitionDue(aReply)) {
    AcquireLease(aReply.mVersion, lease);
  }
}

/** @param aReply The row of another daemon, or of an earlier incarnation. */
bool
TakeoverDaemon::IsAcquisitionDue(const StoreReply& aReply)
{
  const OwnerLease& lease = aReply.mLease;
  if (LocalNow() < mState.mAbstainUntil) {
    return mState.mUnclaimedObserver.IsExpired();
  }
  if (lease.mOwner.empty()) {
    mState.mReleaseObserver.Observe(aReply.mVersion, aReply.mStoreTime);
    return mState.mReleaseObserver.IsExpired();
  }
  return lease.mOwner == mName || IsOwnerSilent(lease);
}

bool
TakeoverDaemon::IsOwnerSilent(const OwnerLease& aLease)
{
  const milliseconds now = LocalNow();
  const milliseconds limit =
    mState.mStoreTiming.SilenceLimit(now, aLease.mRenewalBound, kOwnerTimeout) +
    mTakeoverDelay;
  if (!mState.mOwnerObserver.IsExpired(limit)) {
    mState.mTakeoverAt.reset();
    const milliseconds left = mState.mOwnerObserver.TimeToExpiry(limit);
    if (left < kRenewInterval && !mState.mExpiryReadScheduled) {
      mState.mExpiryReadScheduled = true;
      PostLocal(left, [this] {
        mState.mExpiryReadScheduled = false;
        if (mState.mMode == Mode::kFollowing) {
          ReadLease();
        }
      });
    }
    return false;
  }
  if (!mState.mTakeoverAt) {
    const milliseconds spread = mState.mStoreTiming.AcquireSpread(now);
    mState.mTakeoverAt = now + mContext.mDraws.Between(milliseconds(0), spread);
  }
  return now >= *mState.mTakeoverAt;
}

void
TakeoverDaemon::AcquireLease(std::uint64_t aVersion,
                             const OwnerLease& aObserved)
{
  const milliseconds now = LocalNow();
  if (now < mState.mNextAcquireAt) {
    return;
  }
  mState.mMode = Mode::kAcquiring;
  mState.mLease = aObserved;
  mState.mLease.mWorkerLeases.clear();
  mState.mInheritedLeases.clear();
  if (!aObserved.mOwner.empty()) {
    mState.mLease.mHandovers = 0;
  } else {
    for (const auto& [worker, remaining] : aObserved.mWorkerLeases) {
      mState.mInheritedLeases.emplace(
        worker, now + milliseconds(static_cast<milliseconds::rep>(remaining)));
    }
  }
  mState.mEarlierCommands.mBySighting =
    aVersion != 0 ? mState.mSighting.LastCommandAt() : now;
  mState.mEarlierCommands.mStartsBySighting =
    aVersion == 0 || aObserved.mOwner == mName
      ? now
      : mState.mSighting.LastStartAt(
          StoreTiming::LeastSilence(aObserved.mRenewalBound, kOwnerTimeout));
  mState.mAcquireWrite = MakeLeaseWrite(now);
  mState.mLease.mOwner = mName;
  mState.mLease.mIncarnation = mState.mIncarnation;
  mState.mLease.mEpoch = aObserved.mEpoch + 1;
  mState.mLease.mSequence = 1;
  mState.mTakeoverAt.reset();
  CallStore(
    true,
    [aVersion, lease = mState.mLease](ModelStore& aStore) {
      return aStore.WriteLease(aVersion, lease, {});
    },
    &TakeoverDaemon::HandleAcquireResult);
}

void
TakeoverDaemon::HandleAcquireResult(const StoreReply& aReply)
{
  if (aReply.mStatus == StoreStatus::kOk) {
    FinishAcquire(aReply.mVersion);
    return;
  }
  if (aReply.mStatus != StoreStatus::kConflict) {
    mState.mNextAcquireAt =
      LocalNow() + mAcquireBackoff.Delay(++mState.mFailedAcquisitions,
                                         mContext.mDraws.Share());
  }
  mState.mMode = Mode::kFollowing;
  mState.mOwnerObserver.Reset();
}

void
TakeoverDaemon::FinishAcquire(std::uint64_t aVersion)
{
  mState.mLeaseVersion = aVersion;
  mState.mTenure = OwnerTenure().WithStoredWrite(mState.mAcquireWrite);
  mState.mSentWrites.clear();
  mState.mLastWriteAt = mState.mAcquireWrite.mSentAt;
  mState.mLastCycleAt = LocalNow();
  mState.mConfirmLeaseFrom = milliseconds(0);
  mState.mIsWriteRetry = false;
  mState.mAcquiredAt = LocalNow();
  mState.mWriteInFlight = false;
  mState.mNextWriteAt = milliseconds(0);
  mState.mFailedWrites = 0;
  mState.mFailedAcquisitions = 0;
  Log("takes the lease, epoch " + std::to_string(mState.mLease.mEpoch));
  BeginLoad();
}

bool
TakeoverDaemon::IsLeaseConfirmed() const
{
  return (!mRules.mIsTenureLimited || mState.mTenure.MayCommand(LocalNow())) &&
         mState.mTenure.ConfirmedAt() >= mState.mConfirmLeaseFrom;
}

LeaseWrite
TakeoverDaemon::MakeLeaseWrite(milliseconds aSentAt) const
{
  return { aSentAt,
           StoreTiming::LeastSilence(mState.mLease.mRenewalBound,
                                     kOwnerTimeout) };
}

/** @return Time from which no run is started. */
milliseconds
TakeoverDaemon::StartsUntil() const
{
  const milliseconds now = LocalNow();
  if (!mRules.mAreStartsLimited) {
    return milliseconds::max();
  }
  return mState.mIsolated
           ? now
           : std::min(mState.mTenure.StartsUntil(),
                      now + OwnerTenure::StartTime(kOwnerTimeout));
}

bool
TakeoverDaemon::IsWriteDue() const
{
  const milliseconds now = LocalNow();
  if (mState.mWriteInFlight || now < mState.mNextWriteAt) {
    return false;
  }
  const bool hasChanges =
    mState.mMode == Mode::kOwning && mState.mScheduler->HasChanges();
  return hasChanges || mState.mReleasing || mState.mIsolated ||
         !IsLeaseConfirmed() || now - mState.mLastWriteAt >= kRenewInterval;
}

void
TakeoverDaemon::Write()
{
  const milliseconds now = LocalNow();
  mState.mWriteInFlight = true;
  mState.mLastWriteAt = now;
  if (!mState.mIsWriteRetry) {
    mState.mWriteBegunAt = now;
  }
  mState.mIsWriteRetry = true;
  ++mState.mLease.mSequence;
  mState.mLease.mRenewalBound =
    mState.mStoreTiming.RenewalBound(now, kRenewInterval);
  const LeaseWrite write = MakeLeaseWrite(now);
  mState.mTenure = mState.mTenure.WithSentWrite(write);
  mState.mSentWrites.emplace(mState.mLease.mSequence, write);
  std::vector<JobProgress> records;
  if (mState.mMode == Mode::kOwning) {
    records =
      mState.mScheduler->BeginWrite({ kRecordsPerWrite, TaskJob::kMaxTasks });
  }
  RelinquishLease(now);
  CallStore(
    true,
    [version = mState.mLeaseVersion, lease = mState.mLease, records](
      ModelStore& aStore) {
      return aStore.WriteLease(version, lease, records);
    },
    &TakeoverDaemon::FinishWrite);
}

/** Makes the next write release the lease if that is due. */
void
TakeoverDaemon::RelinquishLease(milliseconds aNow)
{
  if (mState.mReleasing) {
    mState.mLease.mOwner.clear();
  } else if (mState.mIsolated && !mState.mLease.mOwner.empty()) {
    mState.mLease = mState.mLease.HandedOver(aNow - mState.mAcquiredAt);
  }
  if (mState.mLease.mOwner.empty() && mState.mMode == Mode::kOwning) {
    mState.mLease.mWorkerLeases.clear();
    for (const auto& [worker, remaining] :
         mState.mScheduler->WithholdLeases(aNow)) {
      mState.mLease.mWorkerLeases.emplace(
        worker, static_cast<std::uint64_t>(remaining.count()));
    }
  }
}

void
TakeoverDaemon::FinishWrite(const StoreReply& aReply)
{
  const milliseconds now = LocalNow();
  const bool isStored = aReply.mStatus == StoreStatus::kOk;
  mState.mWriteInFlight = false;
  if (mState.mMode == Mode::kOwning) {
    mState.mScheduler->FinishWrite(isStored);
  }
  if (isStored) {
    mState.mStoreTiming =
      mState.mStoreTiming.WithRenewal(now, now - mState.mWriteBegunAt);
    mState.mIsWriteRetry = false;
    mState.mFailedWrites = 0;
    mState.mLeaseVersion = aReply.mVersion;
    ConfirmLease(mState.mLease.mSequence);
    if (mState.mLease.mOwner.empty()) {
      Log("released the lease");
      EndOwnership();
      return;
    }
  } else if (aReply.mStatus != StoreStatus::kConflict) {
    mState.mNextWriteAt = now + mWriteBackoff.Delay(++mState.mFailedWrites,
                                                    mContext.mDraws.Share());
  } else if (aReply.mLease.mIncarnation == mState.mIncarnation &&
             aReply.mLease.mEpoch == mState.mLease.mEpoch) {
    mState.mLeaseVersion = aReply.mVersion;
    ConfirmLease(aReply.mLease.mSequence);
    if (mRules.mIsConfirmedByConflict) {
      mState.mTenure =
        mState.mTenure.WithStoredWrite(MakeLeaseWrite(mState.mLastWriteAt));
    }
  } else {
    StepDown("overtaken");
  }
  if (mState.mMode == Mode::kOwning) {
    ScheduleCycle(milliseconds(0));
  }
}

void
TakeoverDaemon::ConfirmLease(std::uint64_t aSequence)
{
  auto& sent = mState.mSentWrites;
  if (const auto it = sent.find(aSequence); it != sent.end()) {
    mState.mTenure = mState.mTenure.WithStoredWrite(it->second);
    sent.erase(sent.begin(), std::next(it));
  }
}

void
TakeoverDaemon::StepDown(const char* aReason)
{
  Log(std::string("steps down: ") + aReason);
  EndOwnership();
}

void
TakeoverDaemon::EndOwnership()
{
  if (mState.mIsolated) {
    mState.mAbstainUntil = LocalNow() + kHandoverAbstention;
  }
  mState.mIsolated = false;
  mState.mInheritedLeases.clear();
  mState.mScheduler.reset();
  mState.mFirstCall = mContext.NextNumber();
  mState.mLeaseReadInFlight = false;
  mState.mWriteInFlight = false;
  mState.mOwnerObserver.Reset();
  mState.mReleaseObserver.Reset();
  mState.mUnclaimedObserver.Reset();
  mState.mMode = mState.mReleasing ? Mode::kReleased : Mode::kFollowing;
}

void
TakeoverDaemon::Release()
{
  Log("stops");
  mState.mReleasing = true;
  if (mState.mMode == Mode::kOwning || mState.mMode == Mode::kLoading) {
    if (!mState.mWriteInFlight) {
      Write();
    }
    return;
  }
  mState.mMode = Mode::kReleased;
}

} // namespace cornelrudder::tests
