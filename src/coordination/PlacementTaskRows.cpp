#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

void
PlacementTask::WriteRow(const JobId& aJob, Entry& aEntry)
{
  aEntry.mRowStep = RowStep::kNone;
  if (!ConfirmOwnership()) {
    return;
  }
  if (!aEntry.mPendingWrite) {
    aEntry.mPendingWrite = state::Transaction(
      mWriteIds.Next(),
      { { KeyOf(aJob),
          aEntry.mRowVersion,
          mPorts.mCodec.EncodeJob(*aEntry.mGang.PendingRow()) } });
  }
  AskStore(*aEntry.mPendingWrite,
           [this, aJob, id = aEntry.mPendingWrite->WriteId()](
             const StoreResult& aResult) { FinishWrite(aJob, id, aResult); });
}

void
PlacementTask::FinishWrite(const JobId& aJob,
                           const std::string& aWriteId,
                           const StoreResult& aResult)
{
  const auto it = mJobs.find(aJob);
  const bool current = it != mJobs.end() && it->second.mPendingWrite &&
                       it->second.mPendingWrite->WriteId() == aWriteId;
  if (!current) {
    return;
  }
  Entry& entry = it->second;
  switch (aResult.Status()) {
    case StoreStatus::kOk:
      OnRowWritten(aJob,
                   entry,
                   aResult.Rows().empty() ? entry.mRowVersion + 1
                                          : aResult.Rows().front().Version());
      return;
    case StoreStatus::kConflict:
      ResolvePendingWrite(aJob, entry, aResult);
      return;
    case StoreStatus::kUnavailable:
    case StoreStatus::kRejected:
      OnWriteNotApplied(aJob, entry);
      return;
    case StoreStatus::kOutcomeUnknown:
      entry.mWriteMayHaveApplied = true;
      HandleGangEvent(
        aJob, GangEvent::ForGang(GangEventKind::kRowWriteUnknown, Now()));
      return;
  }
}

void
PlacementTask::OnWriteNotApplied(const JobId& aJob, Entry& aEntry)
{
  if (aEntry.mGang.Phase() != GangPhase::kRecordingSubmission ||
      aEntry.mWriteMayHaveApplied) {
    aEntry.mRowStep = RowStep::kWrite;
    aEntry.mRowStepAt = Now() + mOptions.mRowRetryDelay;
    return;
  }
  for (Waiter& waiter : aEntry.mSubmitWaiters) {
    ReplyWithFailure(waiter.mPromise,
                     FailureReason::kStoreUnavailable,
                     WasRun::kNo,
                     "the job could not be recorded");
  }
  RemoveJob(aJob);
}

void
PlacementTask::OnRowWritten(const JobId& aJob,
                            Entry& aEntry,
                            std::uint64_t aVersion)
{
  aEntry.mRowVersion = aVersion;
  aEntry.mPendingWrite.reset();
  aEntry.mWriteMayHaveApplied = false;
  HandleGangEvent(aJob, GangEvent::ForGang(GangEventKind::kRowWritten, Now()));
}

void
PlacementTask::StartRowRead(const JobId& aJob, Entry& aEntry)
{
  aEntry.mRowStep = RowStep::kNone;
  AskStore(ReadRow{ KeyOf(aJob) }, [this, aJob](const StoreResult& aResult) {
    const auto it = mJobs.find(aJob);
    if (it != mJobs.end()) {
      FinishRead(aJob, it->second, aResult);
    }
  });
}

void
PlacementTask::FinishRead(const JobId& aJob,
                          Entry& aEntry,
                          const StoreResult& aResult)
{
  if (aResult.Status() != StoreStatus::kOk) {
    aEntry.mRowStep = RowStep::kRead;
    aEntry.mRowStepAt = Now() + mOptions.mRowRetryDelay;
  } else if (aEntry.mGang.Phase() == GangPhase::kSuperseded) {
    ReloadSupersededJob(aJob, aEntry, aResult);
  } else if (aEntry.mPendingWrite) {
    ResolvePendingWrite(aJob, aEntry, aResult);
  }
}

void
PlacementTask::ResolvePendingWrite(const JobId& aJob,
                                   Entry& aEntry,
                                   const StoreResult& aResult)
{
  const bool absent = aResult.Rows().empty();
  const std::uint64_t version = absent ? 0 : aResult.Rows().front().Version();
  if (!absent &&
      aResult.Rows().front().WriteId() == aEntry.mPendingWrite->WriteId()) {
    OnRowWritten(aJob, aEntry, version);
    return;
  }
  HandleGangEvent(aJob,
                  GangEvent::ForGang(version == aEntry.mRowVersion
                                       ? GangEventKind::kRowWriteNotApplied
                                       : GangEventKind::kRowConflict,
                                     Now()));
}

void
PlacementTask::ReloadSupersededJob(const JobId& aJob,
                                   Entry& aEntry,
                                   const StoreResult& aResult)
{
  if (!ConfirmOwnership()) {
    return;
  }
  aEntry.mPendingWrite.reset();
  if (aResult.Rows().empty()) {
    RemoveJob(aJob);
    return;
  }
  Adopt(aResult.Rows().front());
}

} // namespace cornelrudder::coordination
