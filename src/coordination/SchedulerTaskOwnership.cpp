#include "SchedulerTaskImpl.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/SchedulingTables.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace cornelrudder::coordination {

namespace {

using state::RowWrite;
using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using state::Transaction;
using state::scheduling::JobProgress;
using state::scheduling::LeaseObserver;
using state::scheduling::LeaseWrite;
using state::scheduling::OwnerLease;
using state::scheduling::OwnerReachability;
using state::scheduling::OwnerTenure;
using state::scheduling::StoreTiming;
using state::scheduling::WriteLimits;
using std::chrono::milliseconds;

/**
 * Size of the record of a task in bytes by which the records of new jobs are
 * divided: a worker identifier of the longest accepted length, 200 bytes, and a
 * checkpoint of 100 bytes beside the counts.
 */
constexpr std::size_t kUsualTaskRecordBytes = 360;

/**
 * Limit on the size of the records in one write, in bytes: encoded, they take a
 * third more, and the store accepts 1 MB in a transaction.
 */
constexpr std::size_t kMaxWriteBytes = 512'000;

/**
 * Limits on terminated jobs that one write removes, with three rows each, and
 * on all rows that it removes. Removals are added only to writes with few
 * records, since the store accepts 100 rows.
 */
constexpr std::size_t kMaxRemovals = 20;
constexpr std::size_t kMaxRemovedRows = 60;
constexpr std::size_t kMaxRecordsBesideRemovals = 20;

/** Part of the memory for jobs whose change is reported at once. */
constexpr std::uint64_t kMemoryReportShare = 64;

/** Writes of unknown outcome whose sending is remembered. */
constexpr std::size_t kMaxSentWrites = 32;

} // namespace

StorePort::Completion
SchedulerTask::ExpectResult(ResultHandler aOnComplete)
{
  const std::uint64_t operationId = ++mLastOperationId;
  mStoreCalls.emplace(operationId, aOnComplete);
  return [self = caf::actor_cast<caf::actor>(this),
          operationId](StoreResult aResult) {
    caf::anon_send(self, StoreCallCompleted{ operationId, std::move(aResult) });
  };
}

void
SchedulerTask::HandleStoreReply(const StoreCallCompleted& aCompleted)
{
  const auto it = mStoreCalls.find(aCompleted.mOperationId);
  if (it == mStoreCalls.end()) {
    // The call was made before this daemon lost or released ownership.
    return;
  }
  const ResultHandler handler = it->second;
  mStoreCalls.erase(it);
  TrackStoreAvailability(aCompleted.mResult);
  (this->*handler)(aCompleted.mResult);
}

void
SchedulerTask::TrackStoreAvailability(const StoreResult& aResult)
{
  const bool isUnavailable = aResult.Status() == StoreStatus::kUnavailable ||
                             aResult.Status() == StoreStatus::kOutcomeUnknown;
  mCounters["store_failures_total"] += isUnavailable ? 1 : 0;
  if (isUnavailable != mStoreUnavailable) {
    mStoreUnavailable = isUnavailable;
    mPorts.mLog.Write(
      { isUnavailable ? LogEvent::kStoreLost : LogEvent::kStoreBack,
        { { "owner", mMode == Mode::kOwning ? "yes" : "no" } } });
  }
  if (aResult.StoreTime().count() > 0) {
    mStoreClock = { aResult.StoreTime(), Now() };
  }
}

void
SchedulerTask::ReadLease()
{
  if (!mLeaseReadInFlight) {
    mLeaseReadInFlight = true;
    mLeaseReadSentAt = Now();
    mPorts.mStore.ReadRow(kOwnerLeaseKey,
                          ExpectResult(&SchedulerTask::HandleLeaseRow));
  }
}

void
SchedulerTask::HandleLeaseRow(const StoreResult& aResult)
{
  mLeaseReadInFlight = false;
  if (mMode != Mode::kFollowing || mReleasing) {
    return;
  }
  if (aResult.Status() != StoreStatus::kOk) {
    mOwnerObserver.Reset();
    mUnclaimedObserver.Reset();
    return;
  }
  if (aResult.Rows().empty() || aResult.Rows().front().Version() == 0) {
    AcquireLease(0, OwnerLease{}, "no_owner_yet");
    return;
  }
  mStoreTiming = mStoreTiming.WithRead(Now(), Now() - mLeaseReadSentAt);
  const StoreRow& row = aResult.Rows().front();
  mLeaseSighting = mLeaseSighting.WithRead(row.Version(), Now());
  try {
    const OwnerLease lease = mPorts.mCodec.DecodeOwnerLease(row.Value());
    mOwnerObserver.Observe(row.Version(), aResult.StoreTime());
    mUnclaimedObserver.Observe(row.Version(), aResult.StoreTime());
    const bool isOwnRow = lease.mIncarnation == mOptions.mIncarnation;
    if (isOwnRow && !lease.mOwner.empty()) {
      // The write that acquired the lease succeeded, but its result was lost.
      if (lease.mEpoch != mLease.mEpoch) {
        mInheritedLeases.clear();
        mLastEarlierCommandAt = mLeaseSighting.LastCommandAt();
        mLastEarlierStartAt = mLastEarlierCommandAt;
      }
      mLease = lease;
      FinishAcquire(row.Version());
      // An earlier attempt than the last one may have written the row.
      mTenure = OwnerTenure();
    } else if (Now() < mAbstainUntil) {
      if (mUnclaimedObserver.IsExpired()) {
        AcquireLease(row.Version(), lease, "unclaimed");
      }
    } else if (lease.mOwner.empty()) {
      mReleaseObserver.Observe(row.Version(), aResult.StoreTime());
      if (mReleaseObserver.IsExpired()) {
        AcquireLease(row.Version(), lease, "released");
      }
    } else if (lease.mOwner == mOptions.mSelf) {
      AcquireLease(row.Version(), lease, "own_earlier_life");
    } else if (IsOwnerSilent(lease)) {
      AcquireLease(row.Version(), lease, "owner_silent");
    }
  } catch (const CoordinationError& error) {
    HandleMalformedLease(row, aResult.StoreTime(), error.what());
  }
}

/**
 * Acquires the lease if its row names no owner and is unchanged for the owner
 * timeout: a row that changes may be that of an owner of another version. Each
 * change of owner raises the epoch by one and writes the row, so the version of
 * the row is at least as high as any epoch that workers may have seen.
 */
void
SchedulerTask::HandleMalformedLease(const StoreRow& aRow,
                                    milliseconds aStoreTime,
                                    const std::string& aError)
{
  if (aRow.Version() != mMalformedLeaseVersion) {
    mMalformedLeaseVersion = aRow.Version();
    LogMalformed(aRow.Key(), aError);
  }
  mOwnerObserver.Observe(aRow.Version(), aStoreTime);
  mUnclaimedObserver.Observe(aRow.Version(), aStoreTime);
  const LeaseObserver& observer =
    Now() < mAbstainUntil ? mUnclaimedObserver : mOwnerObserver;
  if (observer.IsExpired()) {
    OwnerLease base;
    base.mEpoch = aRow.Version();
    AcquireLease(aRow.Version(), base, "malformed");
    // The row does not tell how long its writer starts runs.
    mLastEarlierStartAt = mLastEarlierCommandAt;
  }
}

/**
 * @return Whether the owner counts as failed and this daemon's turn has come.
 *   The limit follows the speed of the store, which delays renewals and reads.
 */
bool
SchedulerTask::IsOwnerSilent(const OwnerLease& aLease)
{
  const Millis limit = mStoreTiming.SilenceLimit(
                         Now(), aLease.mRenewalBound, mOptions.mOwnerTimeout) +
                       mOptions.mTakeoverDelay;
  if (!mOwnerObserver.IsExpired(limit)) {
    mTakeoverAt.reset();
    // The next regular read would be up to an interval later than the expiry,
    // in which nothing starts.
    const Millis left = mOwnerObserver.TimeToExpiry(limit);
    if (left < mOptions.mRenewInterval && !mExpiryReadScheduled) {
      mExpiryReadScheduled = true;
      delayed_send(this, left, ReadLeaseAtExpiry{});
    }
    return false;
  }
  if (!mTakeoverAt) {
    const auto spread =
      static_cast<double>(mStoreTiming.AcquireSpread(Now()).count());
    mTakeoverAt =
      Now() + Millis(static_cast<Millis::rep>(
                spread * std::uniform_real_distribution<double>()(mRandom)));
  }
  return Now() >= *mTakeoverAt;
}

/**
 * @param aVersion Version of the row that an acquisition replaces; 0 for none.
 * @param aLease The lease in that row.
 * @return Time from which earlier owners start no runs.
 */
milliseconds
SchedulerTask::LastEarlierStartAt(std::uint64_t aVersion,
                                  const OwnerLease& aLease) const
{
  // An earlier process of this daemon has ended.
  const bool isEnded = aVersion == 0 || aLease.mOwner == mOptions.mSelf;
  return isEnded ? Now()
                 : mLeaseSighting.LastStartAt(StoreTiming::LeastSilence(
                     aLease.mRenewalBound, mOptions.mOwnerTimeout));
}

void
SchedulerTask::AcquireLease(std::uint64_t aVersion,
                            const OwnerLease& aObserved,
                            const char* aReason)
{
  if (Now() < mNextAcquireAt) {
    return;
  }
  mMode = Mode::kAcquiring;
  mLease = aObserved;
  mLease.mWorkerLeases.clear();
  if (aVersion == 0) {
    mLease.mJobMemory = state::scheduling::JobMemory{};
  }
  mInheritedLeases.clear();
  if (!aObserved.mOwner.empty()) {
    mLease.mHandovers = 0;
  } else {
    // The row was written before it was read, so counting from now is safe.
    for (const auto& [worker, remaining] : aObserved.mWorkerLeases) {
      mInheritedLeases.emplace(
        worker, Now() + Millis(static_cast<Millis::rep>(remaining)));
    }
  }
  mLastEarlierCommandAt =
    aVersion != 0 ? mLeaseSighting.LastCommandAt() : Now();
  mLastEarlierStartAt = LastEarlierStartAt(aVersion, aObserved);
  mAcquireWrite = MakeLeaseWrite(Now());
  mLease.mOwner = mOptions.mSelf;
  mLease.mIncarnation = mOptions.mIncarnation;
  mLease.mEpoch = aObserved.mEpoch + 1;
  mLease.mSequence = 1;
  mTakeoverAt.reset();
  mTakeover = { aObserved.mOwner,
                aObserved.mEpoch,
                aReason,
                aVersion != 0 ? Now() - mLeaseSighting.SeenAt() : Millis(0) };
  mPorts.mLog.Write({ LogEvent::kDomainOwnerChanged,
                      { { "owner", aObserved.mOwner },
                        { "epoch", std::to_string(aObserved.mEpoch) },
                        { "reason", aReason } } });
  mPorts.mStore.Transact(
    Transaction(
      mWriteIds.Next(),
      { { kOwnerLeaseKey, aVersion, mPorts.mCodec.EncodeOwnerLease(mLease) } }),
    ExpectResult(&SchedulerTask::HandleAcquireResult));
}

void
SchedulerTask::HandleAcquireResult(const StoreResult& aResult)
{
  if (aResult.Status() == StoreStatus::kOk) {
    FinishAcquire(aResult.Version());
    return;
  }
  if (aResult.Status() != StoreStatus::kConflict) {
    mNextAcquireAt = Now() + Delay(mAcquireBackoff, ++mFailedAcquisitions);
  }
  // Another daemon acquired the lease, or the outcome is unknown and the next
  // read of the lease row shows it.
  mMode = Mode::kFollowing;
  mOwnerObserver.Reset();
}

/** Starts to load the tables after the lease was acquired. */
void
SchedulerTask::FinishAcquire(std::uint64_t aVersion)
{
  mLeaseVersion = aVersion;
  mTenure = OwnerTenure().WithStoredWrite(mAcquireWrite);
  mSentWrites.clear();
  mLastWriteAt = mAcquireWrite.mSentAt;
  mLastCycleAt = Now();
  mConfirmLeaseFrom = Millis(0);
  mIsWriteRetry = false;
  mAcquiredAt = Now();
  mWriteInFlight = false;
  mNextWriteAt = Millis(0);
  mMaxRecords = kMaxRecordsPerWrite;
  mIsRenewalFirst = false;
  mFailedWrites = 0;
  mFailedAcquisitions = 0;
  mPorts.mLog.Write(
    { LogEvent::kLeaseTaken, { { "epoch", std::to_string(mLease.mEpoch) } } });
  ++mCounters["lease_taken_total"];
  BeginLoad();
}

bool
SchedulerTask::IsWriteDue() const
{
  if (mWriteInFlight || Now() < mNextWriteAt) {
    return false;
  }
  const bool hasChanges = mMode == Mode::kOwning && mScheduler &&
                          (mScheduler->HasChanges() || IsMemoryReportDue());
  return hasChanges || mReleasing || mIsolation || !IsLeaseConfirmed() ||
         Now() - mLastWriteAt >= mOptions.mRenewInterval;
}

/**
 * @return Whether the memory of the jobs differs so much from the last report
 *   that other daemons would accept too many jobs, or refuse them.
 */
bool
SchedulerTask::IsMemoryReportDue() const
{
  const std::uint64_t reported =
    mLease.mJobMemory ? mLease.mJobMemory->mBytes : 0;
  const std::uint64_t bytes = mScheduler->BytesOfJobs();
  return std::max(bytes, reported) - std::min(bytes, reported) >
         mOptions.mMaxJobBytes / kMemoryReportShare;
}

/** @return A write of the present lease. */
LeaseWrite
SchedulerTask::MakeLeaseWrite(Millis aSentAt) const
{
  return { aSentAt,
           StoreTiming::LeastSilence(mLease.mRenewalBound,
                                     mOptions.mOwnerTimeout) };
}

/** Writes changed records and removals; each write renews the lease. */
void
SchedulerTask::Write()
{
  mWriteInFlight = true;
  mRecordsInFlight = 0;
  mLastWriteAt = Now();
  if (!mIsWriteRetry) {
    mWriteBegunAt = mLastWriteAt;
  }
  mIsWriteRetry = true;
  ++mLease.mSequence;
  mLease.mRenewalBound =
    mStoreTiming.RenewalBound(Now(), mOptions.mRenewInterval);
  const LeaseWrite write = MakeLeaseWrite(mLastWriteAt);
  mTenure = mTenure.WithSentWrite(write);
  mSentWrites.emplace(mLease.mSequence, write);
  if (mSentWrites.size() > kMaxSentWrites) {
    mSentWrites.erase(mSentWrites.begin());
  }
  std::vector<RowWrite> records;
  if (mMode == Mode::kOwning) {
    records = CollectRecords();
    mLease.mPending = mScheduler->PendingJobs();
    mLease.mJobMemory = mScheduler->MemoryOfJobs();
    mLease.mJobMemory->mJobsVersion = mJobsVersion;
    mLease.mUnrecordedEnds = mScheduler->UnrecordedEnds();
  }
  if (mReleasing) {
    mLease.mOwner.clear();
  } else if (mIsolation && !mLease.mOwner.empty()) {
    mLease = mLease.HandedOver(Now() - mAcquiredAt);
  }
  if (mLease.mOwner.empty() && mMode == Mode::kOwning) {
    mLease.mWorkerLeases.clear();
    for (const auto& [worker, remaining] : mScheduler->WithholdLeases(Now())) {
      mLease.mWorkerLeases.emplace(
        worker, static_cast<std::uint64_t>(remaining.count()));
    }
  }
  std::vector<RowWrite> writes{
    { kOwnerLeaseKey, mLeaseVersion, EncodeLease() }
  };
  std::move(records.begin(), records.end(), std::back_inserter(writes));
  const std::vector<RowWrite> removals = CollectRemovals(records.size());
  writes.insert(writes.end(), removals.begin(), removals.end());
  ++mCounters["owner_writes_total"];
  mPorts.mStore.Transact(Transaction(mWriteIds.Next(), std::move(writes)),
                         ExpectResult(&SchedulerTask::FinishWrite));
}

/** @return Number of tasks whose records usually fit into one row. */
std::size_t
SchedulerTask::TasksPerRecord() const
{
  return std::max<std::size_t>(mOptions.mMaxRowBytes / kUsualTaskRecordBytes,
                               1);
}

/**
 * @return The value of the lease row. Lists that would make it too large are
 *   shortened: a successor assumes the longest lease of a worker that it is not
 *   told of, and the shortest queues are left out.
 */
std::string
SchedulerTask::EncodeLease()
{
  std::string value = mPorts.mCodec.EncodeOwnerLease(mLease);
  while (value.size() > mOptions.mMaxRowBytes && mLease.HasLists()) {
    mLease = mLease.WithShorterLists();
    value = mPorts.mCodec.EncodeOwnerLease(mLease);
  }
  return value;
}

/** @return Writes of changed records, in the limits of one transaction. */
std::vector<RowWrite>
SchedulerTask::CollectRecords()
{
  WriteLimits limits;
  limits.mRecords = mIsRenewalFirst ? 0 : mMaxRecords;
  limits.mTasks = std::numeric_limits<std::size_t>::max();
  limits.mRecordBytes = mOptions.mMaxRowBytes;
  limits.mBytes = kMaxWriteBytes;
  std::map<std::string, std::string> values;
  const auto encode = [&](const JobProgress& aRecord) {
    std::string& value = values[ProgressKey(aRecord.Job(), aRecord.Part())];
    value = mPorts.mCodec.EncodeProgress(aRecord);
    return value.size();
  };
  std::vector<RowWrite> writes;
  for (const JobProgress& record : mScheduler->BeginWrite(limits, encode)) {
    const std::string key = ProgressKey(record.Job(), record.Part());
    const bool isRemoved = record.Part() > 0 && record.Tasks().empty();
    writes.emplace_back(key,
                        RowWrite::kAnyVersion,
                        isRemoved ? std::nullopt
                                  : std::optional(std::move(values[key])));
  }
  mRecordsInFlight = writes.size();
  return writes;
}

/**
 * @return Deletions of the rows of expired jobs. They cover the part of the
 *   jobs, which may refuse writes on its own.
 */
std::vector<RowWrite>
SchedulerTask::CollectRemovals(std::size_t aRecords)
{
  mRemovalsInFlight.clear();
  mWithdrawalsInFlight = 0;
  std::vector<RowWrite> writes;
  const bool isDue = mMode == Mode::kOwning && mFailedWrites == 0 &&
                     mMaxRecords == kMaxRecordsPerWrite &&
                     aRecords <= kMaxRecordsBesideRemovals;
  if (!isDue) {
    return writes;
  }
  mRemovalsInFlight = mScheduler->ExpiredJobs(Now(), kMaxRemovals);
  for (const std::string& job : mRemovalsInFlight) {
    for (const std::string& key :
         { JobKey(job), CancelKey(job), ProgressKey(job) }) {
      writes.emplace_back(key, RowWrite::kAnyVersion, std::nullopt);
    }
  }
  for (const auto& [readAt, key] : mWithdrawals) {
    if (writes.size() >= kMaxRemovedRows ||
        Now() - readAt < mOptions.mWithdrawalRetention) {
      break;
    }
    ++mWithdrawalsInFlight;
    writes.emplace_back(key, RowWrite::kAnyVersion, std::nullopt);
  }
  return writes;
}

/** Forgets the jobs whose rows the store has deleted. */
void
SchedulerTask::FinishRemovals()
{
  mScheduler->RemoveExpiredJobs(mRemovalsInFlight.size());
  mCounters["jobs_removed_total"] += mRemovalsInFlight.size();
  if (mIsRereadingJobs) {
    // Pages that were read before still contain these jobs.
    for (const std::string& job : mRemovalsInFlight) {
      mRemovedDuringReread.insert(JobKey(job));
    }
  }
}

void
SchedulerTask::FinishWrite(const StoreResult& aResult)
{
  mWriteInFlight = false;
  mWriteLatency = mWriteLatency.WithSample(Now() - mLastWriteAt);
  const bool isStored = aResult.Status() == StoreStatus::kOk;
  if (aResult.Status() == StoreStatus::kRejected && mMode == Mode::kOwning) {
    HandleRejectedWrite();
    return;
  }
  if (mMode == Mode::kOwning) {
    mScheduler->FinishWrite(isStored);
    if (isStored) {
      FinishRemovals();
      mWithdrawals.erase(mWithdrawals.begin(),
                         mWithdrawals.begin() +
                           static_cast<std::ptrdiff_t>(std::min(
                             mWithdrawalsInFlight, mWithdrawals.size())));
    }
  }
  if (isStored) {
    mStoreTiming = mStoreTiming.WithRenewal(Now(), Now() - mWriteBegunAt);
    mIsWriteRetry = false;
    mFailedWrites = 0;
    mMaxRecords = mIsRenewalFirst
                    ? mMaxRecords
                    : std::min(2 * mMaxRecords, kMaxRecordsPerWrite);
    mIsRenewalFirst = false;
    mLeaseVersion = aResult.Version();
    ConfirmLease(mLease.mSequence);
    if (mLease.mOwner.empty()) {
      LogRelease();
      EndOwnership();
      return;
    }
  } else if (aResult.Status() == StoreStatus::kConflict) {
    HandleWriteConflict(aResult);
  } else {
    mNextWriteAt = Now() + Delay(mWriteBackoff, ++mFailedWrites);
  }
  if (mMode == Mode::kOwning) {
    ScheduleCycle(Millis(0));
  }
}

/**
 * Renews the lease apart from the records, and finds the record that the store
 * rejects by halving the writes: neither the lease nor the other jobs depend on
 * a write that can never succeed.
 */
void
SchedulerTask::HandleRejectedWrite()
{
  ++mCounters["owner_writes_rejected_total"];
  ++mFailedWrites;
  const std::size_t removals = mRemovalsInFlight.size() + mWithdrawalsInFlight;
  if (mRecordsInFlight == 1 && removals == 0) {
    mScheduler->HandleRejectedRecord(Now());
  } else {
    mScheduler->FinishWrite(false);
    mMaxRecords = std::max<std::size_t>(mRecordsInFlight / 2, 1);
  }
  if (mRecordsInFlight + removals == 0) {
    mNextWriteAt = Now() + Delay(mWriteBackoff, mFailedWrites);
  }
  mIsRenewalFirst = true;
  ScheduleCycle(Millis(0));
}

void
SchedulerTask::HandleWriteConflict(const StoreResult& aResult)
{
  for (const StoreRow& row : aResult.Rows()) {
    if (row.Key() != kOwnerLeaseKey) {
      continue;
    }
    try {
      const OwnerLease lease = mPorts.mCodec.DecodeOwnerLease(row.Value());
      if (lease.mIncarnation == mOptions.mIncarnation &&
          lease.mEpoch == mLease.mEpoch) {
        // An earlier write of this daemon took effect although its result was
        // lost. Its records, and later changes, are written again.
        mLeaseVersion = row.Version();
        ConfirmLease(lease.mSequence);
        return;
      }
    } catch (const CoordinationError& error) {
      LogMalformed(row.Key(), error.what());
    }
  }
  StepDown("overtaken");
}

/** Extends the tenure after a write of this daemon is known to be stored. */
void
SchedulerTask::ConfirmLease(std::uint64_t aSequence)
{
  if (const auto it = mSentWrites.find(aSequence); it != mSentWrites.end()) {
    mTenure = mTenure.WithStoredWrite(it->second);
    mSentWrites.erase(mSentWrites.begin(), std::next(it));
  }
}

void
SchedulerTask::StepDown(const char* aReason)
{
  mPorts.mLog.Write(
    { LogEvent::kLeaseLost,
      { { "epoch", std::to_string(mLease.mEpoch) }, { "reason", aReason } } });
  ++mCounters["lease_lost_total"];
  LogOwnerStopped(aReason);
  EndOwnership();
}

milliseconds
SchedulerTask::Delay(const state::Backoff& aBackoff, int aFailedAttempts)
{
  return aBackoff.Delay(aFailedAttempts,
                        std::uniform_real_distribution<double>()(mRandom));
}

/** Continues as a follower, or stops for a planned stop. */
void
SchedulerTask::EndOwnership()
{
  if (mIsolation) {
    mAbstainUntil = Now() + mOptions.mHandoverAbstention;
  }
  mIsolation.reset();
  EndCommandPause();
  mStartsPausedAt.reset();
  mInheritedLeases.clear();
  mScheduler.reset();
  mStoreCalls.clear();
  mLeaseReadInFlight = false;
  mWriteInFlight = false;
  mOwnerObserver.Reset();
  mReleaseObserver.Reset();
  mUnclaimedObserver.Reset();
  mMode = mReleasing ? Mode::kReleased : Mode::kFollowing;
}

/** Starts to release the lease if other daemons may reach more workers. */
void
SchedulerTask::CheckReachability()
{
  const OwnerReachability reachability = mScheduler->Reachability(Now());
  if (!mReleasing && !mIsolation && reachability.IsIsolated() &&
      mLease.MayHandOver(Now() - mAcquiredAt)) {
    mIsolation = reachability;
    ++mCounters["lease_handovers_total"];
  }
}

void
SchedulerTask::Release()
{
  mReleasing = true;
  if (mMode == Mode::kOwning || mMode == Mode::kLoading) {
    if (!mWriteInFlight) {
      Write();
    }
    return;
  }
  mMode = Mode::kReleased;
}

} // namespace cornelrudder::coordination
