#include "TakeoverDaemon.h"

#include <utility>

namespace cornelrudder::tests {

using namespace state::scheduling;
using state::StoreStatus;

namespace {

constexpr milliseconds kReadRetryDelay{ 100 };
constexpr milliseconds kPollInterval{ 400 };
/** Time that a new owner presumed that its predecessor extends leases. */
constexpr milliseconds kPresumedCommandTime{ 2'500 };

} // namespace

template<auto Table, TakeoverDaemon::StoreHandler Next>
void
TakeoverDaemon::LoadTable()
{
  CallStore(
    false, [](ModelStore& aStore) { return aStore.ReadTable<Table>(); }, Next);
}

void
TakeoverDaemon::BeginLoad()
{
  mState.mMode = Mode::kLoading;
  LoadTable<&Tables::mWorkers, &TakeoverDaemon::HandleWorkers>();
}

/** @return Whether the read failed; the load starts again then. */
bool
TakeoverDaemon::RetryLoad(const StoreReply& aReply)
{
  if (aReply.mStatus == StoreStatus::kOk) {
    return false;
  }
  PostLocal(kReadRetryDelay, [this, epoch = mState.mLease.mEpoch] {
    if (mState.mMode == Mode::kLoading && mState.mLease.mEpoch == epoch) {
      BeginLoad();
    }
  });
  return true;
}

void
TakeoverDaemon::HandleWorkers(const StoreReply& aReply)
{
  if (!RetryLoad(aReply)) {
    mState.mLoaded = aReply.mTables;
    LoadTable<&Tables::mRecords, &TakeoverDaemon::HandleRecords>();
  }
}

void
TakeoverDaemon::HandleRecords(const StoreReply& aReply)
{
  if (!RetryLoad(aReply)) {
    mState.mLoaded.mRecords = aReply.mTables.mRecords;
    LoadTable<&Tables::mJobs, &TakeoverDaemon::HandleJobs>();
  }
}

void
TakeoverDaemon::HandleJobs(const StoreReply& aReply)
{
  if (!RetryLoad(aReply)) {
    mState.mLoaded.mJobs = aReply.mTables.mJobs;
    FinishLoad(aReply.mStoreTime);
  }
}

void
TakeoverDaemon::FinishLoad(milliseconds aStoreTime)
{
  mState.mEarlierCommands.mByLoad = LocalNow() + kPresumedCommandTime;
  SchedulerOptions options;
  options.mEpoch = mState.mLease.mEpoch;
  options.mInheritedLeases = std::move(mState.mInheritedLeases);
  options.mLastEarlierCommandAt =
    mState.mEarlierCommands.*mRules.mLastEarlierCommandAt;
  options.mLastEarlierStartAt =
    mState.mEarlierCommands.*mRules.mLastEarlierStartAt;
  mState.mInheritedLeases.clear();
  mState.mScheduler.emplace(std::move(options));
  mState.mTablesVersion = mState.mLoaded.mVersion;
  Log("loaded");
  ApplyTables(mState.mLoaded, aStoreTime);
  mState.mLoaded = Tables();
  mState.mMode = Mode::kOwning;
  PollTables();
  ScheduleCycle(milliseconds(0));
}

void
TakeoverDaemon::PollTables()
{
  CallStore(
    false,
    [since = mState.mTablesVersion](ModelStore& aStore) {
      return aStore.ReadChanges(since);
    },
    &TakeoverDaemon::HandleChanges);
}

void
TakeoverDaemon::HandleChanges(const StoreReply& aReply)
{
  if (aReply.mStatus == StoreStatus::kOk) {
    mState.mTablesVersion = aReply.mTables.mVersion;
    ApplyTables(aReply.mTables, aReply.mStoreTime);
    if (!aReply.mTables.mJobs.empty()) {
      ScheduleCycle(milliseconds(0));
    }
  }
  PostLocal(kPollInterval, [this, epoch = mState.mLease.mEpoch] {
    if (mState.mMode == Mode::kOwning && mState.mLease.mEpoch == epoch) {
      PollTables();
    }
  });
}

void
TakeoverDaemon::ApplyTables(const Tables& aTables, milliseconds aStoreTime)
{
  Scheduler& scheduler = *mState.mScheduler;
  const milliseconds now = LocalNow();
  for (const auto& [id, row] : aTables.mWorkers) {
    if (row.mInfo) {
      scheduler.UpdateWorker(*row.mInfo, now);
    } else {
      scheduler.RemoveWorker(id, now);
    }
  }
  for (const JobRow& row : aTables.mJobs) {
    const std::string& id = row.mJob.Id();
    if (row.mIsCancelled) {
      scheduler.CancelJob(id, now);
      continue;
    }
    const auto record = aTables.mRecords.find(id);
    scheduler.AddJob(row.mJob,
                     aStoreTime - row.mJob.SubmittedAt(),
                     record != aTables.mRecords.end() ? &record->second
                                                      : nullptr,
                     now);
  }
}

} // namespace cornelrudder::tests
