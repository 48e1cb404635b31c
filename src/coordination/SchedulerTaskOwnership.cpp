#include "SchedulerTaskImpl.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/SchedulingTables.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

using state::RowWrite;
using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using state::Transaction;
using state::scheduling::JobProgress;
using state::scheduling::OwnerLease;
using std::chrono::milliseconds;

/** Delay before a failed write is retried. */
constexpr milliseconds kWriteRetry{ 100 };
/**
 * Limit on job records in one write: the store accepts 100 rows and 1 MB in a
 * transaction, and the records of the widest jobs have about 20 KB.
 */
constexpr std::size_t kMaxJobsPerWrite = 40;

/**
 * Limit on ended jobs that one write removes, with three rows each. Removals
 * are added only to writes with few records, to stay below 100 rows.
 */
constexpr std::size_t kMaxRemovals = 20;
constexpr std::size_t kMaxRecordsBesideRemovals = 20;

} // namespace

StorePort::Completion
SchedulerTask::Expect(AnswerStep aThen)
{
  const std::uint64_t ticket = ++mTickets;
  mExchanges.emplace(ticket, aThen);
  return
    [self = caf::actor_cast<caf::actor>(this), ticket](StoreResult aResult) {
      caf::anon_send(self, StoreCallCompleted{ ticket, std::move(aResult) });
    };
}

void
SchedulerTask::TakeAnswer(const StoreCallCompleted& aAnswer)
{
  const auto it = mExchanges.find(aAnswer.mOperationId);
  if (it == mExchanges.end()) {
    // The call was made before the ownership changed.
    return;
  }
  const AnswerStep then = it->second;
  mExchanges.erase(it);
  NoteStore(aAnswer.mResult);
  (this->*then)(aAnswer.mResult);
}

void
SchedulerTask::NoteStore(const StoreResult& aResult)
{
  const bool isLost = aResult.Status() == StoreStatus::kUnavailable ||
                      aResult.Status() == StoreStatus::kOutcomeUnknown;
  mCounters["store_failures_total"] += isLost ? 1 : 0;
  if (isLost != mStoreLost) {
    mStoreLost = isLost;
    mPorts.mLog.Write(
      { isLost ? LogEvent::kStoreLost : LogEvent::kStoreBack,
        { { "owner", mMode == Mode::kOwning ? "yes" : "no" } } });
  }
  if (aResult.StoreTime().count() > 0) {
    mStoreClock = { aResult.StoreTime(), Now() };
  }
}

void
SchedulerTask::ReadLease()
{
  if (!mReadingLease) {
    mReadingLease = true;
    mPorts.mStore.ReadRow(kOwnerLeaseKey, Expect(&SchedulerTask::TakeLeaseRow));
  }
}

void
SchedulerTask::TakeLeaseRow(const StoreResult& aResult)
{
  mReadingLease = false;
  if (mMode != Mode::kFollowing || mReleasing) {
    return;
  }
  if (aResult.Status() != StoreStatus::kOk) {
    mObserver.Reset();
    return;
  }
  if (aResult.Rows().empty() || aResult.Rows().front().Version() == 0) {
    Take(0, OwnerLease{}, "no_owner_yet");
    return;
  }
  const StoreRow& row = aResult.Rows().front();
  try {
    const OwnerLease lease = mPorts.mCodec.DecodeOwnerLease(row.Value());
    mObserver.Observe(row.Version(), aResult.StoreTime());
    if (lease.mIncarnation == mOptions.mIncarnation) {
      // The write that acquired the lease succeeded, but its result was lost.
      mLease = lease;
      BeginOwning(row.Version());
    } else if (lease.mOwner.empty()) {
      mReleaseObserver.Observe(row.Version(), aResult.StoreTime());
      if (mReleaseObserver.IsExpired()) {
        Take(row.Version(), lease, "released");
      }
    } else if (lease.mOwner == mOptions.mSelf) {
      Take(row.Version(), lease, "own_earlier_life");
    } else if (mObserver.IsExpired()) {
      Take(row.Version(), lease, "owner_silent");
    }
  } catch (const CoordinationError& error) {
    LogMalformed(kOwnerLeaseKey, error.what());
  }
}

void
SchedulerTask::Take(std::uint64_t aVersion,
                    const OwnerLease& aSeen,
                    const char* aReason)
{
  mMode = Mode::kTaking;
  mLease = aSeen;
  mLease.mOwner = mOptions.mSelf;
  mLease.mIncarnation = mOptions.mIncarnation;
  mLease.mEpoch = aSeen.mEpoch + 1;
  mLease.mSequence = 1;
  mPorts.mLog.Write({ LogEvent::kDomainOwnerChanged,
                      { { "owner", aSeen.mOwner },
                        { "epoch", std::to_string(aSeen.mEpoch) },
                        { "reason", aReason } } });
  mPorts.mStore.Transact(
    Transaction(
      mWriteIds.Next(),
      { { kOwnerLeaseKey, aVersion, mPorts.mCodec.EncodeOwnerLease(mLease) } }),
    Expect(&SchedulerTask::FinishTake));
}

void
SchedulerTask::FinishTake(const StoreResult& aResult)
{
  if (aResult.Status() == StoreStatus::kOk) {
    BeginOwning(aResult.Version());
    return;
  }
  // Another daemon acquired the lease, or the outcome is unknown and the next
  // read of the lease row shows it.
  mMode = Mode::kFollowing;
  mObserver.Reset();
}

void
SchedulerTask::BeginOwning(std::uint64_t aVersion)
{
  mLeaseVersion = aVersion;
  mLastWrite = Now();
  mWriting = false;
  mWriteAfter = Millis(0);
  mPorts.mLog.Write(
    { LogEvent::kLeaseTaken, { { "epoch", std::to_string(mLease.mEpoch) } } });
  ++mCounters["lease_taken_total"];
  BeginLoad();
}

bool
SchedulerTask::IsWriteDue() const
{
  if (mWriting || Now() < mWriteAfter) {
    return false;
  }
  const bool hasChanges =
    mMode == Mode::kOwning && mScheduler && mScheduler->HasChanges();
  return hasChanges || mReleasing ||
         Now() - mLastWrite >= mOptions.mRenewInterval;
}

/** Writes changed records and removals; each write renews the lease. */
void
SchedulerTask::Write()
{
  mWriting = true;
  mLastWrite = Now();
  ++mLease.mSequence;
  std::vector<JobProgress> records;
  if (mMode == Mode::kOwning) {
    records = mScheduler->BeginWrite(kMaxJobsPerWrite);
    mLease.mPending = mScheduler->PendingJobs();
  }
  if (mReleasing) {
    mLease.mOwner.clear();
  }
  std::vector<RowWrite> writes;
  writes.emplace_back(
    kOwnerLeaseKey, mLeaseVersion, mPorts.mCodec.EncodeOwnerLease(mLease));
  for (const JobProgress& record : records) {
    writes.emplace_back(ProgressKey(record.Job()),
                        RowWrite::kAnyVersion,
                        mPorts.mCodec.EncodeProgress(record));
  }
  std::vector<std::string> expired;
  if (mMode == Mode::kOwning && records.size() <= kMaxRecordsBesideRemovals) {
    expired = mScheduler->ExpiredJobs(Now(), kMaxRemovals);
  }
  mRemoving = expired.size();
  for (const std::string& job : expired) {
    for (const std::string& key :
         { JobKey(job), CancelKey(job), ProgressKey(job) }) {
      writes.emplace_back(key, RowWrite::kAnyVersion, std::nullopt);
    }
  }
  ++mCounters["owner_writes_total"];
  mPorts.mStore.Transact(Transaction(mWriteIds.Next(), std::move(writes)),
                         Expect(&SchedulerTask::FinishWrite));
}

void
SchedulerTask::FinishWrite(const StoreResult& aResult)
{
  mWriting = false;
  mWriteLatency = mWriteLatency.WithSample(Now() - mLastWrite);
  const bool isStored = aResult.Status() == StoreStatus::kOk;
  if (mMode == Mode::kOwning) {
    mScheduler->FinishWrite(isStored);
    if (isStored) {
      mScheduler->RemoveExpiredJobs(mRemoving);
      mCounters["jobs_removed_total"] += mRemoving;
    }
  }
  if (isStored) {
    mLeaseVersion = aResult.Version();
    if (mReleasing && mLease.mOwner.empty()) {
      mPorts.mLog.Write({ LogEvent::kLeaseReleased,
                          { { "epoch", std::to_string(mLease.mEpoch) } } });
      mScheduler.reset();
      mExchanges.clear();
      mMode = Mode::kReleased;
      return;
    }
  } else if (aResult.Status() == StoreStatus::kConflict) {
    TakeConflict(aResult);
  } else {
    mWriteAfter = Now() + kWriteRetry;
  }
  if (mMode == Mode::kOwning) {
    QueueAdvance(Millis(0));
  }
}

void
SchedulerTask::TakeConflict(const StoreResult& aResult)
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
        return;
      }
    } catch (const CoordinationError& error) {
      LogMalformed(row.Key(), error.what());
    }
  }
  StepDown("overtaken");
}

void
SchedulerTask::StepDown(const char* aReason)
{
  mPorts.mLog.Write(
    { LogEvent::kLeaseLost,
      { { "epoch", std::to_string(mLease.mEpoch) }, { "reason", aReason } } });
  ++mCounters["lease_lost_total"];
  mScheduler.reset();
  mExchanges.clear();
  mReadingLease = false;
  mWriting = false;
  mObserver.Reset();
  mMode = mReleasing ? Mode::kReleased : Mode::kFollowing;
}

void
SchedulerTask::Release()
{
  mReleasing = true;
  if (mMode == Mode::kOwning || mMode == Mode::kLoading) {
    if (!mWriting) {
      Write();
    }
    return;
  }
  mMode = Mode::kReleased;
}

} // namespace cornelrudder::coordination
