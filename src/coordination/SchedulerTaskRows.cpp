#include "SchedulerTaskImpl.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/SchedulingTables.h"
#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <string_view>

namespace cornelrudder::coordination {

namespace {

using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using state::scheduling::JobProgress;
using state::scheduling::SchedulerOptions;
using state::scheduling::TaskJob;
using std::chrono::milliseconds;

/** Delay before a failed read is retried. */
constexpr milliseconds kReadRetryDelay{ 100 };

bool
IsWithdrawal(const std::string& aKey)
{
  return aKey.find(kWithdrawnSuffix) != std::string::npos;
}

bool
IsCancellation(const std::string& aKey)
{
  return aKey.ends_with(kCancelSuffix);
}

} // namespace

void
SchedulerTask::LogMalformed(const std::string& aKey, const std::string& aError)
{
  ++mCounters["rows_malformed_total"];
  mPorts.mLog.Write(
    { LogEvent::kRowMalformed, { { "key", aKey }, { "error", aError } } });
}

void
SchedulerTask::RetryLater(Millis aDelay, Step aStep)
{
  delayed_send(this, aDelay, RetryStep{ mLease.mEpoch, aStep });
}

template<SchedulerTask::TableRead SchedulerTask::*Read>
void
SchedulerTask::ReadTable(Step aOnFailure, Step aOnComplete)
{
  (this->*Read) = { (this->*Read).mTable, aOnFailure, aOnComplete, {}, 0 };
  ReadPage<Read>("");
}

template<SchedulerTask::TableRead SchedulerTask::*Read>
void
SchedulerTask::ReadPage(const std::string& aFrom)
{
  mPorts.mFeed.ReadRange((this->*Read).mTable,
                         aFrom,
                         "",
                         ExpectResult(&SchedulerTask::HandlePage<Read>));
}

template<SchedulerTask::TableRead SchedulerTask::*Read>
void
SchedulerTask::HandlePage(const StoreResult& aResult)
{
  TableRead& read = this->*Read;
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetryDelay, read.mOnFailure);
    return;
  }
  // Changes are polled from the version of the first page, so that changes
  // made between pages are not missed.
  read.mVersion = read.mVersion == 0 ? aResult.Version() : read.mVersion;
  read.mRows.insert(
    read.mRows.end(), aResult.Rows().begin(), aResult.Rows().end());
  if (aResult.HasMore() && !aResult.Rows().empty()) {
    ReadPage<Read>(NextPageStart(aResult));
    return;
  }
  (this->*read.mOnComplete)();
}

void
SchedulerTask::BeginLoad()
{
  mMode = Mode::kLoading;
  mLoadStart = Now();
  ReadTable<&SchedulerTask::mWorkersRead>(&SchedulerTask::BeginLoad,
                                          &SchedulerTask::LoadProgress);
}

void
SchedulerTask::LoadProgress()
{
  ReadTable<&SchedulerTask::mProgressRead>(&SchedulerTask::BeginLoad,
                                           &SchedulerTask::LoadJobs);
}

void
SchedulerTask::LoadJobs()
{
  ReadTable<&SchedulerTask::mJobsRead>(&SchedulerTask::BeginLoad,
                                       &SchedulerTask::FinishLoad);
}

void
SchedulerTask::FinishLoad()
{
  SchedulerOptions options;
  options.mEpoch = mLease.mEpoch;
  options.mWorkerLease = mOptions.mWorkerLease;
  options.mMaxWorkerLease = mOptions.mMaxWorkerLease;
  options.mRenewWait = mOptions.mRenewWait;
  options.mSilenceLimit = mOptions.mSilenceLimit;
  options.mJobRetention = mOptions.mJobRetention;
  options.mPolicy = mOptions.mPolicy;
  options.mRunTimes = mOptions.mRunTimes;
  options.mInheritedLeases = std::move(mInheritedLeases);
  options.mLastEarlierCommandAt = mLastEarlierCommandAt;
  options.mLastEarlierStartAt = mLastEarlierStartAt;
  options.mTasksPerRecord = TasksPerRecord();
  options.mMaxJobBytes = mOptions.mMaxJobBytes;
  mInheritedLeases.clear();
  mScheduler.emplace(std::move(options));
  if (mCatalog) {
    mScheduler->ApplyCatalog(*mCatalog);
  }
  mListedWorkers.clear();
  mWithdrawals.clear();
  mUnreadableJobs.clear();
  mIsRereadingJobs = false;
  mRemovedDuringReread.clear();
  for (const StoreRow& row : mWorkersRead.mRows) {
    ApplyWorkerRow(row);
  }
  std::map<std::string, std::vector<const StoreRow*>> progressRows;
  for (const StoreRow& row : mProgressRead.mRows) {
    progressRows[JobOfProgressRow(NameInTable(row.Key()))].push_back(&row);
  }
  // Jobs with a record come first: others may be held back for them.
  std::vector<const StoreRow*> otherRows;
  for (const StoreRow& row : mJobsRead.mRows) {
    const auto it = progressRows.find(NameInTable(row.Key()));
    if (it == progressRows.end()) {
      otherRows.push_back(&row);
    } else if (const auto progress = DecodeRecord(it->second)) {
      ApplyJobRow(row, &*progress);
    } else {
      mUnreadableJobs.insert(row.Key());
    }
  }
  for (const StoreRow* row : otherRows) {
    ApplyJobRow(*row, nullptr);
  }
  mScheduler->RestoreUnrecordedEnds(mLease.mUnrecordedEnds, Now());
  mScheduler->ApplyEvacuations(mEvacuations, Now());
  mPorts.mLog.Write(
    { LogEvent::kJobsRecovered,
      { { "epoch", std::to_string(mLease.mEpoch) },
        { "jobs", std::to_string(mJobsRead.mRows.size()) },
        { "workers", std::to_string(mListedWorkers.size()) },
        { "took_ms", std::to_string((Now() - mLoadStart).count()) } } });
  LogTakeover();
  mWorkersVersion = mWorkersRead.mVersion;
  mWorkersCurrentAt = mLoadStart;
  mJobsVersion = mJobsRead.mVersion;
  mWorkersRead.mRows.clear();
  mProgressRead.mRows.clear();
  mJobsRead.mRows.clear();
  mMode = Mode::kOwning;
  PollJobs();
  PollWorkers();
  ScheduleCycle(Millis(0));
}

/**
 * @param aRows All rows of a job's record.
 * @return The record, or nothing if a row cannot be decoded. The job is then
 *   skipped until the next load: without its whole record it could run twice.
 */
std::optional<JobProgress>
SchedulerTask::DecodeRecord(const std::vector<const StoreRow*>& aRows)
{
  std::string key;
  try {
    std::vector<JobProgress> parts;
    for (const StoreRow* row : aRows) {
      key = row->Key();
      parts.push_back(mPorts.mCodec.DecodeProgress(row->Value()));
    }
    return JobProgress::Join(std::move(parts));
  } catch (const CoordinationError& error) {
    LogMalformed(key, error.what());
  } catch (const state::StateError& error) {
    LogMalformed(key, error.what());
  }
  return std::nullopt;
}

void
SchedulerTask::ApplyJobRow(const StoreRow& aRow, const JobProgress* aProgress)
{
  const std::string name = NameInTable(aRow.Key());
  if (IsWithdrawal(name)) {
    mWithdrawals.emplace_back(Now(), aRow.Key());
    return;
  }
  if (IsCancellation(name)) {
    mScheduler->CancelJob(
      name.substr(0, name.size() - std::string_view(kCancelSuffix).size()),
      Now());
    return;
  }
  if (mUnreadableJobs.contains(aRow.Key())) {
    return;
  }
  try {
    const TaskJob job = mPorts.mCodec.DecodeTaskJob(aRow.Value());
    const Millis now = Now();
    mScheduler->AddJob(
      job, mStoreClock.StoreTimeAt(now) - job.SubmittedAt(), aProgress, now);
  } catch (const CoordinationError& error) {
    LogMalformed(aRow.Key(), error.what());
  }
}

void
SchedulerTask::ApplyWorkerRow(const StoreRow& aRow)
{
  const std::string id = NameInTable(aRow.Key());
  if (aRow.Version() == 0) {
    mListedWorkers.erase(id);
    mScheduler->RemoveWorker(id, Now());
    return;
  }
  try {
    mScheduler->UpdateWorker(
      mPorts.mPlatformCodec.DecodeWorker(id, aRow.Value()), Now());
    mListedWorkers.insert(id);
  } catch (const CoordinationError& error) {
    // A row that cannot be decoded describes no usable worker.
    if (mListedWorkers.erase(id) > 0) {
      mScheduler->HandleUnusableEntry(id);
    }
    LogMalformed(aRow.Key(), error.what());
  }
}

void
SchedulerTask::PollJobs()
{
  mPorts.mFeed.PollChanges(kJobsTable,
                           mJobsVersion,
                           mOptions.mFeedPollTimeout,
                           ExpectResult(&SchedulerTask::HandleJobChanges));
}

void
SchedulerTask::HandleJobChanges(const StoreResult& aResult)
{
  if (aResult.Status() == StoreStatus::kConflict) {
    RereadJobs();
    return;
  }
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetryDelay, &SchedulerTask::PollJobs);
    return;
  }
  for (const StoreRow& row : aResult.Rows()) {
    if (row.Version() != 0) {
      ApplyJobRow(row, nullptr);
    }
  }
  mJobsVersion = std::max(mJobsVersion, aResult.Version());
  PollJobs();
  if (!aResult.Rows().empty()) {
    ScheduleCycle(Millis(0));
  }
}

void
SchedulerTask::RereadJobs()
{
  mIsRereadingJobs = true;
  ReadTable<&SchedulerTask::mJobsRead>(&SchedulerTask::RereadJobs,
                                       &SchedulerTask::FinishRereadJobs);
}

void
SchedulerTask::FinishRereadJobs()
{
  mWithdrawals.clear();
  for (const StoreRow& row : mJobsRead.mRows) {
    // The scheduler ignores active jobs and terminated jobs that it still
    // keeps.
    if (!mRemovedDuringReread.contains(row.Key())) {
      ApplyJobRow(row, nullptr);
    }
  }
  mIsRereadingJobs = false;
  mRemovedDuringReread.clear();
  mJobsRead.mRows.clear();
  mJobsVersion = mJobsRead.mVersion;
  PollJobs();
  ScheduleCycle(Millis(0));
}

void
SchedulerTask::PollWorkers()
{
  mWorkersPolledAt = Now();
  mPorts.mFeed.PollChanges(kWorkersTable,
                           mWorkersVersion,
                           Millis(0),
                           ExpectResult(&SchedulerTask::HandleWorkerChanges));
}

void
SchedulerTask::HandleWorkerChanges(const StoreResult& aResult)
{
  if (aResult.Status() == StoreStatus::kConflict) {
    RereadWorkers();
    return;
  }
  if (aResult.Status() == StoreStatus::kOk) {
    for (const StoreRow& row : aResult.Rows()) {
      ApplyWorkerRow(row);
    }
    const bool isFullPage =
      aResult.HasMore() || aResult.Rows().size() >= mOptions.mFullPageRows;
    const bool isAhead = aResult.Version() > mWorkersVersion;
    mWorkersVersion = std::max(mWorkersVersion, aResult.Version());
    // A fleet that changes faster than one page in each interval would
    // otherwise leave this owner further and further behind.
    if (isFullPage && isAhead) {
      PollWorkers();
      return;
    }
    mWorkersCurrentAt = mWorkersPolledAt;
  }
  RetryLater(mOptions.mWorkerPollInterval, &SchedulerTask::PollWorkers);
}

void
SchedulerTask::RereadWorkers()
{
  ReadTable<&SchedulerTask::mWorkersRead>(&SchedulerTask::RereadWorkers,
                                          &SchedulerTask::FinishRereadWorkers);
}

void
SchedulerTask::FinishRereadWorkers()
{
  std::set<std::string> removed = mListedWorkers;
  for (const StoreRow& row : mWorkersRead.mRows) {
    removed.erase(NameInTable(row.Key()));
    ApplyWorkerRow(row);
  }
  for (const std::string& id : removed) {
    mListedWorkers.erase(id);
    mScheduler->RemoveWorker(id, Now());
  }
  mWorkersRead.mRows.clear();
  mWorkersVersion = mWorkersRead.mVersion;
  mWorkersCurrentAt = Now();
  PollWorkers();
}

} // namespace cornelrudder::coordination
