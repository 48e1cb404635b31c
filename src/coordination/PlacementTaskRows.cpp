#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

void
PlacementTask::WriteRow(const JobId& aJob, Entry& aEntry)
{
  aEntry.mRowStep = RowStep::kNone;
  if (!MayAct()) {
    return;
  }
  if (!aEntry.mPending) {
    aEntry.mPending = state::Transaction(
      mWriteIds.Next(),
      { { KeyOf(aJob),
          aEntry.mVersion,
          mPorts.mCodec.EncodeJob(*aEntry.mGang.PendingRow()) } });
  }
  AskStore(*aEntry.mPending,
           [this, aJob, id = aEntry.mPending->WriteId()](
             const StoreResult& aResult) { FinishWrite(aJob, id, aResult); });
}

void
PlacementTask::FinishWrite(const JobId& aJob,
                           const std::string& aWriteId,
                           const StoreResult& aResult)
{
  const auto it = mJobs.find(aJob);
  const bool current = it != mJobs.end() && it->second.mPending &&
                       it->second.mPending->WriteId() == aWriteId;
  if (!current) {
    return;
  }
  Entry& entry = it->second;
  switch (aResult.Status()) {
    case StoreStatus::kOk:
      RowWritten(aJob,
                 entry,
                 aResult.Rows().empty() ? entry.mVersion + 1
                                        : aResult.Rows().front().Version());
      return;
    case StoreStatus::kConflict:
      Compare(aJob, entry, aResult);
      return;
    case StoreStatus::kUnavailable:
      WriteFailed(aJob, entry);
      return;
    case StoreStatus::kOutcomeUnknown:
      entry.mUncertain = true;
      Handle(aJob, GangEvent::ForGang(GangEventKind::kRowWriteUnknown, Now()));
      return;
  }
}

void
PlacementTask::WriteFailed(const JobId& aJob, Entry& aEntry)
{
  if (aEntry.mGang.Phase() != GangPhase::kRecordingSubmission ||
      aEntry.mUncertain) {
    aEntry.mRowStep = RowStep::kWrite;
    aEntry.mRowDue = Now() + mOptions.mRowRetryDelay;
    return;
  }
  for (Waiter& waiter : aEntry.mSubmitters) {
    Refuse(waiter.mPromise,
           FailureReason::kStoreUnavailable,
           WasRun::kNo,
           "the job could not be recorded");
  }
  Forget(aJob);
}

void
PlacementTask::RowWritten(const JobId& aJob,
                          Entry& aEntry,
                          std::uint64_t aVersion)
{
  aEntry.mVersion = aVersion;
  aEntry.mPending.reset();
  aEntry.mUncertain = false;
  Handle(aJob, GangEvent::ForGang(GangEventKind::kRowWritten, Now()));
}

void
PlacementTask::ReadRowOf(const JobId& aJob, Entry& aEntry)
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
    aEntry.mRowDue = Now() + mOptions.mRowRetryDelay;
  } else if (aEntry.mGang.Phase() == GangPhase::kSuperseded) {
    Reload(aJob, aEntry, aResult);
  } else if (aEntry.mPending) {
    Compare(aJob, aEntry, aResult);
  }
}

void
PlacementTask::Compare(const JobId& aJob,
                       Entry& aEntry,
                       const StoreResult& aResult)
{
  const bool absent = aResult.Rows().empty();
  const std::uint64_t version = absent ? 0 : aResult.Rows().front().Version();
  if (!absent &&
      aResult.Rows().front().WriteId() == aEntry.mPending->WriteId()) {
    RowWritten(aJob, aEntry, version);
    return;
  }
  Handle(aJob,
         GangEvent::ForGang(version == aEntry.mVersion
                              ? GangEventKind::kRowWriteNotApplied
                              : GangEventKind::kRowConflict,
                            Now()));
}

void
PlacementTask::Reload(const JobId& aJob,
                      Entry& aEntry,
                      const StoreResult& aResult)
{
  if (!MayAct()) {
    return;
  }
  aEntry.mPending.reset();
  if (aResult.Rows().empty()) {
    Forget(aJob);
    return;
  }
  Adopt(aResult.Rows().front());
}

} // namespace cornelrudder::coordination
