#include "SchedulerTaskImpl.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/SchedulingTables.h"

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

/** Pause after a read that failed. */
constexpr milliseconds kReadRetry{ 100 };

bool
IsCancellation(const std::string& aKey)
{
  return aKey.ends_with(kCancelSuffix);
}

/** @return The first name behind the last one of a page. */
std::string
NextName(const StoreResult& aPage)
{
  return NameInTable(aPage.Rows().back().Key()) + "\x01";
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
SchedulerTask::RetryLater(Millis aDelay, void (SchedulerTask::*aStep)())
{
  delayed_send(this, aDelay, RetryStep{ mLease.mEpoch, aStep });
}

void
SchedulerTask::BeginLoad()
{
  mMode = Mode::kLoading;
  mLoadStart = Now();
  mJobRows.clear();
  mRunRows.clear();
  mWorkerRows.clear();
  mJobsVersion = 0;
  mWorkersVersion = 0;
  ReadPage(kWorkersTable, "", &SchedulerTask::TakeWorkersPage);
}

void
SchedulerTask::ReadPage(const std::string& aTable,
                        const std::string& aFrom,
                        AnswerStep aThen)
{
  mPorts.mFeed.ReadRange(aTable, aFrom, "", Expect(aThen));
}

void
SchedulerTask::TakeWorkersPage(const StoreResult& aResult)
{
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetry, &SchedulerTask::BeginLoad);
    return;
  }
  // Changes are followed from the first page on, so that none is missed.
  mWorkersVersion = mWorkersVersion == 0 ? aResult.Version() : mWorkersVersion;
  mWorkerRows.insert(
    mWorkerRows.end(), aResult.Rows().begin(), aResult.Rows().end());
  if (aResult.HasMore() && !aResult.Rows().empty()) {
    ReadPage(kWorkersTable, NextName(aResult), &SchedulerTask::TakeWorkersPage);
    return;
  }
  ReadPage(kRunsTable, "", &SchedulerTask::TakeRunsPage);
}

void
SchedulerTask::TakeRunsPage(const StoreResult& aResult)
{
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetry, &SchedulerTask::BeginLoad);
    return;
  }
  for (const StoreRow& row : aResult.Rows()) {
    mRunRows.insert_or_assign(NameInTable(row.Key()), row);
  }
  if (aResult.HasMore() && !aResult.Rows().empty()) {
    ReadPage(kRunsTable, NextName(aResult), &SchedulerTask::TakeRunsPage);
    return;
  }
  ReadPage(kJobsTable, "", &SchedulerTask::TakeJobsPage);
}

void
SchedulerTask::TakeJobsPage(const StoreResult& aResult)
{
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetry, &SchedulerTask::BeginLoad);
    return;
  }
  mJobsVersion = mJobsVersion == 0 ? aResult.Version() : mJobsVersion;
  mJobRows.insert(mJobRows.end(), aResult.Rows().begin(), aResult.Rows().end());
  if (aResult.HasMore() && !aResult.Rows().empty()) {
    ReadPage(kJobsTable, NextName(aResult), &SchedulerTask::TakeJobsPage);
    return;
  }
  FinishLoad();
}

void
SchedulerTask::FinishLoad()
{
  SchedulerOptions options;
  options.mEpoch = mLease.mEpoch;
  options.mWorkerLease = mOptions.mWorkerLease;
  options.mRenewWait = mOptions.mRenewWait;
  options.mJobRetention = mOptions.mJobRetention;
  options.mPolicy = mOptions.mPolicy;
  mScheduler.emplace(std::move(options));
  if (mCatalog) {
    mScheduler->UseCatalog(*mCatalog);
  }
  mListedWorkers.clear();
  for (const StoreRow& row : mWorkerRows) {
    ApplyWorkerRow(row);
  }
  for (const StoreRow& row : mJobRows) {
    const auto it = mRunRows.find(NameInTable(row.Key()));
    if (it == mRunRows.end()) {
      ApplyJobRow(row, nullptr);
      continue;
    }
    try {
      const JobProgress progress =
        mPorts.mCodec.DecodeProgress(it->second.Value());
      ApplyJobRow(row, &progress);
    } catch (const CoordinationError& error) {
      // Without its record the job could run twice; it is left alone.
      LogMalformed(it->second.Key(), error.what());
    }
  }
  mPorts.mLog.Write(
    { LogEvent::kJobsRecovered,
      { { "epoch", std::to_string(mLease.mEpoch) },
        { "jobs", std::to_string(mJobRows.size()) },
        { "workers", std::to_string(mListedWorkers.size()) },
        { "took_ms", std::to_string((Now() - mLoadStart).count()) } } });
  mJobRows.clear();
  mRunRows.clear();
  mWorkerRows.clear();
  mMode = Mode::kOwning;
  FollowJobs();
  FollowWorkers();
  QueueAdvance(Millis(0));
}

void
SchedulerTask::ApplyJobRow(const StoreRow& aRow, const JobProgress* aProgress)
{
  const std::string name = NameInTable(aRow.Key());
  if (IsCancellation(name)) {
    mScheduler->CancelJob(
      name.substr(0, name.size() - std::string_view(kCancelSuffix).size()),
      Now());
    return;
  }
  try {
    const TaskJob job = mPorts.mCodec.DecodeTaskJob(aRow.Value());
    const Millis now = Now();
    mScheduler->AddJob(
      job, mStoreClock.At(now) - job.SubmittedAt(), aProgress, now);
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
    mScheduler->DropWorker(id, Now());
    return;
  }
  try {
    mScheduler->SeeWorker(mPorts.mFleetCodec.DecodeWorker(id, aRow.Value()),
                          Now());
    mListedWorkers.insert(id);
  } catch (const CoordinationError& error) {
    // Such a row names no worker to use.
    if (mListedWorkers.erase(id) > 0) {
      mScheduler->DropWorker(id, Now());
    }
    LogMalformed(aRow.Key(), error.what());
  }
}

void
SchedulerTask::FollowJobs()
{
  mPorts.mFeed.Follow(kJobsTable,
                      mJobsVersion,
                      mOptions.mFeedWait,
                      Expect(&SchedulerTask::TakeJobChanges));
}

void
SchedulerTask::TakeJobChanges(const StoreResult& aResult)
{
  if (aResult.Status() == StoreStatus::kConflict) {
    RereadJobs();
    return;
  }
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetry, &SchedulerTask::FollowJobs);
    return;
  }
  for (const StoreRow& row : aResult.Rows()) {
    if (row.Version() != 0) {
      ApplyJobRow(row, nullptr);
    }
  }
  mJobsVersion = std::max(mJobsVersion, aResult.Version());
  FollowJobs();
  if (!aResult.Rows().empty()) {
    QueueAdvance(Millis(0));
  }
}

void
SchedulerTask::RereadJobs()
{
  mJobRows.clear();
  mJobsVersion = 0;
  ReadPage(kJobsTable, "", &SchedulerTask::TakeRereadJobs);
}

void
SchedulerTask::TakeRereadJobs(const StoreResult& aResult)
{
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetry, &SchedulerTask::RereadJobs);
    return;
  }
  mJobsVersion = mJobsVersion == 0 ? aResult.Version() : mJobsVersion;
  for (const StoreRow& row : aResult.Rows()) {
    // Jobs that are known, or have ended, are left as they are.
    ApplyJobRow(row, nullptr);
  }
  if (aResult.HasMore() && !aResult.Rows().empty()) {
    ReadPage(kJobsTable, NextName(aResult), &SchedulerTask::TakeRereadJobs);
    return;
  }
  FollowJobs();
  QueueAdvance(Millis(0));
}

void
SchedulerTask::FollowWorkers()
{
  mPorts.mFeed.Follow(kWorkersTable,
                      mWorkersVersion,
                      Millis(0),
                      Expect(&SchedulerTask::TakeWorkerChanges));
}

void
SchedulerTask::TakeWorkerChanges(const StoreResult& aResult)
{
  if (aResult.Status() == StoreStatus::kConflict) {
    RereadWorkers();
    return;
  }
  if (aResult.Status() == StoreStatus::kOk) {
    for (const StoreRow& row : aResult.Rows()) {
      ApplyWorkerRow(row);
    }
    mWorkersVersion = std::max(mWorkersVersion, aResult.Version());
  }
  RetryLater(mOptions.mWorkersEvery, &SchedulerTask::FollowWorkers);
}

void
SchedulerTask::RereadWorkers()
{
  mWorkerRows.clear();
  mWorkersVersion = 0;
  ReadPage(kWorkersTable, "", &SchedulerTask::TakeRereadWorkers);
}

void
SchedulerTask::TakeRereadWorkers(const StoreResult& aResult)
{
  if (aResult.Status() != StoreStatus::kOk) {
    RetryLater(kReadRetry, &SchedulerTask::RereadWorkers);
    return;
  }
  mWorkersVersion = mWorkersVersion == 0 ? aResult.Version() : mWorkersVersion;
  mWorkerRows.insert(
    mWorkerRows.end(), aResult.Rows().begin(), aResult.Rows().end());
  if (aResult.HasMore() && !aResult.Rows().empty()) {
    ReadPage(
      kWorkersTable, NextName(aResult), &SchedulerTask::TakeRereadWorkers);
    return;
  }
  std::set<std::string> gone = mListedWorkers;
  for (const StoreRow& row : mWorkerRows) {
    gone.erase(NameInTable(row.Key()));
    ApplyWorkerRow(row);
  }
  for (const std::string& id : gone) {
    mListedWorkers.erase(id);
    mScheduler->DropWorker(id, Now());
  }
  mWorkerRows.clear();
  FollowWorkers();
}

} // namespace cornelrudder::coordination
