#include "cornelrudder/coordination/JobGatewayTask.h"

#include "LatencyCounters.h"
#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/SchedulingMessages.h"
#include "cornelrudder/coordination/SchedulingTables.h"
#include "cornelrudder/coordination/WriteIdGenerator.h"
#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/TokenBucket.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace cornelrudder::coordination {

namespace {

using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using state::Transaction;
using state::scheduling::AdmissionVerdict;
using state::scheduling::Catalog;
using state::scheduling::JobAdmission;
using state::scheduling::JobMemory;
using state::scheduling::JobPhase;
using state::scheduling::Queue;
using state::scheduling::TaskJob;
using std::chrono::milliseconds;

/**
 * Limits on the withdrawals that a daemon writes. With ten daemons and
 * SchedulerTaskOptions::mWithdrawalRetention, they keep the rows below 10,000
 * however many identifiers callers make up.
 */
constexpr std::int64_t kWithdrawalBurst = 400;
constexpr std::int64_t kWithdrawalsPerSecond = 10;

/** Limit on repeated evaluations of a call after write conflicts. */
constexpr int kMaxReevaluations = 5;

/** Indexed by JobCallKind. */
constexpr std::array kKindNames{ "submit", "query", "cancel", "count" };
/** Indexed by JobCallStatus. */
constexpr std::array kStatusNames{ "ok",      "unavailable", "no_queue",
                                   "bad_key", "no_job",      "bad_request",
                                   "unknown" };

/** Job ids have no dots, which separate the parts of task ids and row keys. */
bool
IsJobId(const std::string& aText)
{
  return state::IsValidId(aText) && aText.find('.') == std::string::npos;
}

/** A call that has no reply yet. */
struct Pending
{
  JobCall mCall;
  /**
   * Job identifier: the path after the queue's prefix; empty for a count of the
   * queue's pending jobs.
   */
  std::string mJob;
  std::string mQueue;
  std::string mOrganisation;
  milliseconds mStartedAt{ 0 };
  /** Whether a write may have taken effect or may still take effect. */
  bool mMayBeWritten = false;
  /** Whether a probe read was sent to the store for this call. */
  bool mIsProbed = false;
  /**
   * Whether a poll during this call found the settings unchanged, so that its
   * writes need no condition on their row.
   */
  bool mIsCatalogChecked = false;
  /** Whether the owner's report of the jobs was read for this call. */
  bool mIsReportRead = false;
  /** Why a submission is refused for the memory of the jobs, if it is. */
  AdmissionVerdict mVerdict = AdmissionVerdict::kAccepted;
  std::uint64_t mJobBytes = 0;
  int mReevaluations = 0;
};

class JobGatewayTask : public caf::event_based_actor
{
public:
  JobGatewayTask(caf::actor_config& aConfig,
                 caf::actor aCatalog,
                 StorePort& aStore,
                 ChangeFeedPort& aFeed,
                 const SchedulingCodec& aCodec,
                 const PlatformRowCodec& aPlatformCodec,
                 const Clock& aClock,
                 EventLog& aLog,
                 const JobGatewayTaskOptions& aOptions)
    : caf::event_based_actor(aConfig)
    , mCatalogTask(std::move(aCatalog))
    , mStore(aStore)
    , mFeed(aFeed)
    , mCodec(aCodec)
    , mPlatformCodec(aPlatformCodec)
    , mClock(aClock)
    , mLog(aLog)
    , mOptions(aOptions)
    , mWriteIds(aOptions.mIncarnation + "-call")
    , mAdmission(aOptions.mMaxJobBytes)
  {
  }

  caf::behavior make_behavior() override
  {
    send(mCatalogTask, Subscribe{ this });
    return {
      [this](const CatalogView& aView) { ApplyView(aView); },
      [this](const JobCall& aCall) { StartCall(aCall); },
      [this](const StoreCallCompleted& aCompleted) {
        HandleStoreReply(aCompleted);
      },
      [this](const GetGatewayReadiness& aCall) {
        aCall.mRespond(!mIsDraining &&
                       IsConfirmed(mOptions.mReadyCatalogMaxAge));
      },
      [this](const BeginGatewayDrain&) { mIsDraining = true; },
      [this](const ResumeCall& aResume) {
        const auto it = mPending.find(aResume.mCallId);
        if (it != mPending.end()) {
          Evaluate(it->first, it->second);
        }
      },
      [this](const GetCounters&) { return CollectCounters(); },
    };
  }

private:
  using Step = void (JobGatewayTask::*)(std::uint64_t, Pending&);
  using ResultHandler = void (JobGatewayTask::*)(std::uint64_t,
                                                 Pending&,
                                                 const StoreResult&);

  /** A store call in flight: the gateway call it serves and its handler. */
  struct StoreCall
  {
    std::uint64_t mCallId;
    ResultHandler mHandler;
  };

  void ApplyView(const CatalogView& aView)
  {
    const bool isNewer =
      aView.mCatalog &&
      (!mCatalog || mCatalog->RowVersion() < aView.mCatalog->RowVersion());
    if (isNewer) {
      mCatalog = aView.mCatalog;
    }
    mConfirmedAt = std::max(mConfirmedAt, aView.mConfirmedAt);
    mIsStoreReachable = aView.mIsStoreReachable;
    if (mIsStoreReachable) {
      mStoreRespondedAt = mClock.Now();
    }
    mStoreClock = aView.mStoreClock;
    mReadVersion = aView.mReadVersion;
  }

  bool IsConfirmed(milliseconds aMaxAge) const
  {
    return mCatalog && mClock.Now() - mConfirmedAt <= aMaxAge;
  }

  void StartCall(const JobCall& aCall)
  {
    const std::uint64_t id = ++mLastCallId;
    Pending pending;
    pending.mCall = aCall;
    pending.mStartedAt = mClock.Now();
    const auto it = mPending.emplace(id, std::move(pending)).first;
    Evaluate(id, it->second);
  }

  /**
   * Validates a call against the settings and starts its processing. Runs again
   * from the start after a probe, a conflict or a retry delay.
   */
  void Evaluate(std::uint64_t aId, Pending& aPending)
  {
    static constexpr std::array<Step, 4> kSteps{ &JobGatewayTask::Submit,
                                                 &JobGatewayTask::Query,
                                                 &JobGatewayTask::Cancel,
                                                 &JobGatewayTask::Count };
    if (!IsConfirmed(mOptions.mCatalogMaxAge)) {
      Reject(
        aId, JobCallStatus::kUnavailable, "the settings are not confirmed");
      return;
    }
    const Queue* queue =
      mCatalog->FindQueue(aPending.mCall.mHost, aPending.mCall.mPath);
    if (queue == nullptr) {
      Reject(aId, JobCallStatus::kNoQueue, "no queue has this host and path");
      return;
    }
    const std::string* organisation =
      mCatalog->FindOrganisation(aPending.mCall.mApiKey);
    if (organisation == nullptr && !queue->mPublic) {
      Reject(aId, JobCallStatus::kUnknownApiKey, "the key is unknown");
      return;
    }
    aPending.mQueue = queue->mSettings.mQueue;
    aPending.mOrganisation = organisation != nullptr ? *organisation : "";
    aPending.mJob = aPending.mCall.mPath.substr(queue->mPathPrefix.size());
    const bool isCount =
      aPending.mCall.mKind == JobCallKind::kQuery && aPending.mJob.empty();
    if (isCount) {
      aPending.mCall.mKind = JobCallKind::kCountPending;
    } else if (!IsJobId(aPending.mJob)) {
      Reject(aId, JobCallStatus::kBadRequest, "not an identifier of a job");
      return;
    }
    (this->*kSteps.at(static_cast<std::size_t>(aPending.mCall.mKind)))(
      aId, aPending);
  }

  void Submit(std::uint64_t aId, Pending& aPending)
  {
    if (!EnsureStoreReachable(aId, aPending)) {
      return;
    }
    const Queue& queue =
      *mCatalog->FindQueue(aPending.mCall.mHost, aPending.mCall.mPath);
    try {
      Submission submission = aPending.mCall.mDecodeBody(mCatalog->Limits());
      const TaskJob job(aPending.mJob,
                        aPending.mOrganisation,
                        queue.mSettings,
                        std::move(submission.mPayload),
                        std::move(submission.mSteps),
                        submission.mSchedule,
                        mStoreClock.StoreTimeAt(aPending.mStartedAt));
      std::string row = mCodec.EncodeTaskJob(job);
      if (row.size() > mOptions.mMaxRowBytes) {
        Reject(aId,
               JobCallStatus::kBadRequest,
               "the job takes " + std::to_string(row.size()) +
                 " bytes in the store; allowed are at most " +
                 std::to_string(mOptions.mMaxRowBytes));
        return;
      }
      if (!Admit(aId, aPending, JobBytes(job))) {
        return;
      }
      Write(aId,
            { { JobKey(aPending.mJob), 0, std::move(row) } },
            &JobGatewayTask::HandleSubmitResult,
            { { WithdrawnKey(aPending.mJob, aPending.mOrganisation), 0 } });
    } catch (const std::exception& error) {
      Reject(aId, JobCallStatus::kBadRequest, error.what());
    }
  }

  /**
   * Checks that the memory of the owner allows another job. The owner's report
   * is read again if it does not, or if much was accepted since. A call whose
   * write may be stored already is not judged again.
   * @return Whether the write may be sent now.
   */
  bool Admit(std::uint64_t aId, Pending& aPending, std::uint64_t aBytes)
  {
    if (aPending.mMayBeWritten) {
      return true;
    }
    mAdmission = mAdmission.WithEnded(aId);
    const std::string& organisation = aPending.mOrganisation;
    if (!aPending.mIsReportRead &&
        mAdmission.NeedsReport(organisation, aBytes)) {
      aPending.mIsReportRead = true;
      mStore.ReadRow(kOwnerLeaseKey,
                     ExpectResult(aId, &JobGatewayTask::HandleReport));
      return false;
    }
    aPending.mVerdict = mAdmission.Judge(organisation, aBytes);
    if (aPending.mVerdict != AdmissionVerdict::kAccepted) {
      aPending.mJobBytes = aBytes;
      mStore.ReadRow(JobKey(aPending.mJob),
                     ExpectResult(aId, &JobGatewayTask::HandleRefusedJob));
      return false;
    }
    mAdmission = mAdmission.WithAccepted(aId, organisation, aBytes);
    return true;
  }

  /** Refuses a job unless an earlier call has stored it. */
  void HandleRefusedJob(std::uint64_t aId,
                        Pending& aPending,
                        const StoreResult& aResult)
  {
    if (aResult.Status() != StoreStatus::kOk) {
      RejectOrRetry(aId, aPending, "the store does not answer");
    } else if (HasRow(aResult)) {
      ReplyStored(aId, aPending, aResult.Rows().front());
    } else {
      RejectForMemory(aId, aPending);
    }
  }

  void RejectForMemory(std::uint64_t aId, const Pending& aPending)
  {
    static constexpr std::array kVerdicts{
      std::pair{ "accepted", "" },
      std::pair{ "job_too_large",
                 "the job takes more than half of the memory for jobs" },
      std::pair{ "memory_used", "the jobs that have not ended use the memory" },
      std::pair{ "share_used",
                 "the jobs of the organisation that have not ended use its "
                 "share of the memory" },
      std::pair{ "unconfirmed", "the owner has not read the last jobs yet" }
    };
    const auto& [reason, detail] =
      kVerdicts.at(static_cast<std::size_t>(aPending.mVerdict));
    ++mCounters[std::string("jobs_refused_total{reason=\"") + reason + "\"}"];
    Reject(aId,
           aPending.mVerdict == AdmissionVerdict::kTooLarge
             ? JobCallStatus::kBadRequest
             : JobCallStatus::kUnavailable,
           std::string(detail) + ": the job takes " +
             std::to_string(aPending.mJobBytes) + " bytes, all others " +
             std::to_string(mAdmission.Used()) + "; allowed are " +
             std::to_string(mAdmission.Limit()));
  }

  void HandleReport(std::uint64_t aId,
                    Pending& aPending,
                    const StoreResult& aResult)
  {
    if (aResult.Status() != StoreStatus::kOk) {
      RejectOrRetry(aId, aPending, "the store does not answer");
      return;
    }
    try {
      std::optional<JobMemory> report{ JobMemory{} };
      if (HasRow(aResult)) {
        report =
          mCodec.DecodeOwnerLease(aResult.Rows().front().Value()).mJobMemory;
      }
      mAdmission = mAdmission.WithReport(std::move(report));
    } catch (const CoordinationError&) {
      // The row of an owner of another version; the owner task logs it.
      mAdmission = mAdmission.WithReport(std::nullopt);
    }
    Evaluate(aId, aPending);
  }

  /**
   * Checks that the store is reachable before a write. If it is not, the call
   * is rejected without a write, so that the rejection is certain. If the
   * store's last reply is too old, a probe read is sent first.
   * @return Whether the write may be sent now.
   */
  bool EnsureStoreReachable(std::uint64_t aId, Pending& aPending)
  {
    if (!mIsStoreReachable) {
      RejectOrRetry(aId, aPending, "the store does not answer");
      return false;
    }
    if (mClock.Now() - mStoreRespondedAt > mOptions.mProbeAfterIdle &&
        !aPending.mIsProbed) {
      aPending.mIsProbed = true;
      mStore.ReadRow(kOwnerLeaseKey,
                     ExpectResult(aId, &JobGatewayTask::HandleProbe));
      return false;
    }
    return true;
  }

  void HandleProbe(std::uint64_t aId,
                   Pending& aPending,
                   const StoreResult& aResult)
  {
    if (aResult.Status() != StoreStatus::kOk) {
      RejectOrRetry(aId, aPending, "the store does not answer");
      return;
    }
    Evaluate(aId, aPending);
  }

  /**
   * Rejects a call, or retries it if one of its writes may have taken effect
   * and its timeout allows another try.
   */
  void RejectOrRetry(std::uint64_t aId, Pending& aPending, const char* aReason)
  {
    if (!aPending.mMayBeWritten) {
      Reject(aId, JobCallStatus::kUnavailable, aReason);
      return;
    }
    const milliseconds spent = mClock.Now() - aPending.mStartedAt;
    if (spent + mOptions.mWriteRetryDelay + mOptions.mReplyTimeReserve >=
        aPending.mCall.mTimeout) {
      Reject(aId,
             JobCallStatus::kUnknown,
             "the store did not say whether the write took effect");
      return;
    }
    delayed_send(this, mOptions.mWriteRetryDelay, ResumeCall{ aId });
  }

  /**
   * Writes on condition that the settings used for the call are unchanged,
   * unless that has been checked since the call arrived.
   */
  void Write(std::uint64_t aId,
             std::vector<state::RowWrite> aWrites,
             ResultHandler aHandler,
             std::vector<state::RowCondition> aConditions = {})
  {
    const auto call = mPending.find(aId);
    if (call == mPending.end() || !call->second.mIsCatalogChecked) {
      aConditions.emplace_back(kCatalogKey, mCatalog->RowVersion());
    }
    mStore.Transact(
      Transaction(mWriteIds.Next(), std::move(aWrites), std::move(aConditions)),
      ExpectResult(aId, aHandler));
  }

  /** @return A completion that passes the store's result to a handler. */
  StorePort::Completion ExpectResult(std::uint64_t aId, ResultHandler aHandler)
  {
    const std::uint64_t operationId = ++mLastOperationId;
    mStoreCalls.emplace(operationId, StoreCall{ aId, aHandler });
    return [self = caf::actor_cast<caf::actor>(this),
            operationId](StoreResult aResult) {
      caf::anon_send(self,
                     StoreCallCompleted{ operationId, std::move(aResult) });
    };
  }

  void HandleStoreReply(const StoreCallCompleted& aCompleted)
  {
    const auto it = mStoreCalls.find(aCompleted.mOperationId);
    if (it == mStoreCalls.end()) {
      return;
    }
    const StoreCall storeCall = it->second;
    mStoreCalls.erase(it);
    const auto call = mPending.find(storeCall.mCallId);
    const StoreStatus status = aCompleted.mResult.Status();
    if (status == StoreStatus::kOk || status == StoreStatus::kConflict) {
      mStoreRespondedAt = mClock.Now();
    }
    if (call != mPending.end()) {
      (this->*storeCall.mHandler)(
        storeCall.mCallId, call->second, aCompleted.mResult);
    }
  }

  void HandleSubmitResult(std::uint64_t aId,
                          Pending& aPending,
                          const StoreResult& aResult)
  {
    if (aResult.Status() == StoreStatus::kOk) {
      mAdmission = mAdmission.WithStored(aId, aResult.Version());
    }
    if (aResult.Status() == StoreStatus::kConflict) {
      const StoreRow* row = FindRow(aResult, JobKey(aPending.mJob));
      if (row != nullptr && row->Version() != 0) {
        ReplyStored(aId, aPending, *row);
        return;
      }
      const StoreRow* withdrawn =
        FindRow(aResult, WithdrawnKey(aPending.mJob, aPending.mOrganisation));
      if (withdrawn != nullptr && withdrawn->Version() != 0) {
        // No write of the job can take effect any more, this call's included.
        aPending.mMayBeWritten = false;
        Reject(aId, JobCallStatus::kUnavailable, "the job was cancelled");
        return;
      }
    }
    HandleWriteResult(aId, aPending, aResult);
  }

  /**
   * Answers a submission whose job has a row already, by an earlier write of
   * this call, an earlier call or another organisation.
   */
  void ReplyStored(std::uint64_t aId, Pending& aPending, const StoreRow& aRow)
  {
    try {
      const TaskJob job = mCodec.DecodeTaskJob(aRow.Value());
      if (job.Organisation() == aPending.mOrganisation) {
        Reply(aId, {});
        return;
      }
      // While the row exists, no write of this call can take effect.
      aPending.mMayBeWritten = false;
      Reject(aId,
             JobCallStatus::kUnavailable,
             "another organisation uses the identifier");
    } catch (const CoordinationError& error) {
      Reject(aId, JobCallStatus::kUnknown, error.what());
    }
  }

  /** Handles the store's reply to a write of any kind. */
  void HandleWriteResult(std::uint64_t aId,
                         Pending& aPending,
                         const StoreResult& aResult)
  {
    switch (aResult.Status()) {
      case StoreStatus::kOk:
        Reply(aId, {});
        return;
      case StoreStatus::kConflict:
        Reevaluate(aId, aPending, aResult);
        return;
      case StoreStatus::kUnavailable:
        if (!aPending.mIsCatalogChecked && mReadVersion != 0) {
          CheckCatalog(aId, aPending);
          return;
        }
        break;
      case StoreStatus::kOutcomeUnknown:
        aPending.mMayBeWritten = true;
        break;
      case StoreStatus::kRejected:
        Reject(aId, JobCallStatus::kUnavailable, "the store rejects the write");
        return;
    }
    // Retrying is safe: a job's row is written only if it does not exist, and a
    // second write of the same cancellation changes nothing.
    RejectOrRetry(aId, aPending, "the store is unavailable");
  }

  /**
   * Checks the settings with a read after a refused write. The store may refuse
   * writes that cover the operator's rows while it accepts others.
   */
  void CheckCatalog(std::uint64_t aId, Pending& aPending)
  {
    aPending.mIsCatalogChecked = true;
    mFeed.PollChanges(kOperatorTable,
                      mReadVersion,
                      milliseconds(0),
                      ExpectResult(aId, &JobGatewayTask::HandleCatalogCheck));
  }

  void HandleCatalogCheck(std::uint64_t aId,
                          Pending& aPending,
                          const StoreResult& aResult)
  {
    if (aResult.Status() != StoreStatus::kOk) {
      aPending.mIsCatalogChecked = false;
      RejectOrRetry(aId, aPending, "the store is unavailable");
      return;
    }
    ApplyNewerCatalog(aResult);
    const StoreRow* row = FindRow(aResult, kCatalogKey);
    if (row != nullptr && row->Version() > mCatalog->RowVersion()) {
      aPending.mIsCatalogChecked = false;
      RejectOrRetry(aId, aPending, "the newest settings cannot be decoded");
      return;
    }
    Evaluate(aId, aPending);
  }

  /** Applies the settings of a store result if they are newer. */
  void ApplyNewerCatalog(const StoreResult& aResult)
  {
    const StoreRow* row = FindRow(aResult, kCatalogKey);
    if (row == nullptr || row->Version() <= mCatalog->RowVersion()) {
      return;
    }
    try {
      mCatalog = std::make_shared<const Catalog>(
        mPlatformCodec.DecodeCatalog(row->Value(), row->Version()));
      mConfirmedAt = mClock.Now();
    } catch (const CoordinationError& error) {
      mLog.Write({ LogEvent::kRowMalformed,
                   { { "key", row->Key() }, { "error", error.what() } } });
    }
  }

  /**
   * Evaluates a call again after a write conflict, under the settings that the
   * conflict returned if they are newer.
   */
  void Reevaluate(std::uint64_t aId,
                  Pending& aPending,
                  const StoreResult& aResult)
  {
    ApplyNewerCatalog(aResult);
    send(mCatalogTask, RefreshCatalog{});
    if (++aPending.mReevaluations > kMaxReevaluations) {
      Reject(aId, JobCallStatus::kUnavailable, "the settings keep changing");
      return;
    }
    Evaluate(aId, aPending);
  }

  /** Rejects a call whose read failed. @return Whether the read succeeded. */
  bool RejectIfFailed(std::uint64_t aId, const StoreResult& aResult)
  {
    const bool isOk = aResult.Status() == StoreStatus::kOk;
    if (!isOk) {
      Reject(aId, JobCallStatus::kUnavailable, "the store is unavailable");
    }
    return isOk;
  }

  /** @return Whether the read of a single row found it. */
  static bool HasRow(const StoreResult& aResult)
  {
    return !aResult.Rows().empty() && aResult.Rows().front().Version() != 0;
  }

  void Query(std::uint64_t aId, Pending& aPending)
  {
    mStore.ReadRow(ProgressKey(aPending.mJob),
                   ExpectResult(aId, &JobGatewayTask::HandleProgressRow));
  }

  void HandleProgressRow(std::uint64_t aId,
                         Pending& aPending,
                         const StoreResult& aResult)
  {
    if (!RejectIfFailed(aId, aResult)) {
      return;
    }
    if (!HasRow(aResult)) {
      mStore.ReadRow(JobKey(aPending.mJob),
                     ExpectResult(aId, &JobGatewayTask::HandleJobRow));
      return;
    }
    try {
      const auto progress =
        mCodec.DecodeProgress(aResult.Rows().front().Value());
      ReplyPhase(aId, aPending, progress.Organisation(), progress.Phase());
    } catch (const CoordinationError& error) {
      Reject(aId, JobCallStatus::kUnavailable, error.what());
    }
  }

  /** Handles a query for a job without progress: queued if its row exists. */
  void HandleJobRow(std::uint64_t aId,
                    Pending& aPending,
                    const StoreResult& aResult)
  {
    if (!RejectIfFailed(aId, aResult)) {
      return;
    }
    if (!HasRow(aResult)) {
      Reject(aId, JobCallStatus::kNoJob, "no such job");
      return;
    }
    try {
      const TaskJob job = mCodec.DecodeTaskJob(aResult.Rows().front().Value());
      ReplyPhase(aId, aPending, job.Organisation(), JobPhase::kQueued);
    } catch (const CoordinationError& error) {
      Reject(aId, JobCallStatus::kUnavailable, error.what());
    }
  }

  /**
   * @return Whether the caller may see a job: jobs of an organisation are
   * visible only to that organisation, jobs without one to every caller.
   */
  static bool IsVisible(const Pending& aPending, const std::string& aOwner)
  {
    return aOwner.empty() || aOwner == aPending.mOrganisation;
  }

  void ReplyPhase(std::uint64_t aId,
                  const Pending& aPending,
                  const std::string& aOwner,
                  JobPhase aPhase)
  {
    if (!IsVisible(aPending, aOwner)) {
      Reject(aId, JobCallStatus::kNoJob, "a job of another organisation");
      return;
    }
    JobCallReply reply;
    reply.mStatus = JobCallStatus::kOk;
    reply.mPhase = aPhase;
    Reply(aId, reply);
  }

  void Cancel(std::uint64_t aId, Pending& aPending)
  {
    if (!mIsStoreReachable) {
      RejectOrRetry(aId, aPending, "the store does not answer");
      return;
    }
    // Reads the job's row and those of its cancellation and withdrawal, whose
    // keys sort right after it.
    mFeed.ReadRange(kJobsTable,
                    aPending.mJob,
                    aPending.mJob + "/",
                    ExpectResult(aId, &JobGatewayTask::HandleCancelRows));
  }

  void HandleCancelRows(std::uint64_t aId,
                        Pending& aPending,
                        const StoreResult& aResult)
  {
    if (aResult.Status() != StoreStatus::kOk) {
      RejectOrRetry(aId, aPending, "the store is unavailable");
      return;
    }
    const StoreRow* job = FindRow(aResult, JobKey(aPending.mJob));
    if (job == nullptr) {
      Withdraw(aId, aPending, aResult);
      return;
    }
    if (FindRow(aResult, CancelKey(aPending.mJob)) != nullptr) {
      Reply(aId, {});
      return;
    }
    try {
      if (!IsVisible(aPending,
                     mCodec.DecodeTaskJob(job->Value()).Organisation())) {
        Reject(aId, JobCallStatus::kNoJob, "a job of another organisation");
        return;
      }
    } catch (const CoordinationError& error) {
      Reject(aId, JobCallStatus::kUnavailable, error.what());
      return;
    }
    Write(aId,
          { { CancelKey(aPending.mJob),
              state::RowWrite::kAnyVersion,
              aPending.mOrganisation } },
          &JobGatewayTask::HandleWriteResult,
          { { JobKey(aPending.mJob), job->Version() } });
  }

  /**
   * Answers the cancellation of a job that is not stored. A write of its
   * submission may still be on its way, from any daemon, so a row is written
   * first that excludes it.
   */
  void Withdraw(std::uint64_t aId, Pending& aPending, const StoreResult& aRows)
  {
    const std::string key = WithdrawnKey(aPending.mJob, aPending.mOrganisation);
    if (FindRow(aRows, key) != nullptr) {
      RejectWithdrawn(aId, aPending);
      return;
    }
    const auto withdrawals = mWithdrawals.WithTake(mClock.Now());
    if (!withdrawals) {
      Reject(aId,
             JobCallStatus::kUnavailable,
             "too many cancellations of unknown jobs");
      return;
    }
    mWithdrawals = *withdrawals;
    Write(aId,
          { { key, state::RowWrite::kAnyVersion, aPending.mOrganisation } },
          &JobGatewayTask::HandleWithdrawResult,
          { { JobKey(aPending.mJob), 0 } });
  }

  void HandleWithdrawResult(std::uint64_t aId,
                            Pending& aPending,
                            const StoreResult& aResult)
  {
    if (aResult.Status() == StoreStatus::kOk) {
      RejectWithdrawn(aId, aPending);
      return;
    }
    // After a conflict with the job's row, the job itself is cancelled.
    HandleWriteResult(aId, aPending, aResult);
  }

  void RejectWithdrawn(std::uint64_t aId, Pending& aPending)
  {
    // Whatever became of earlier writes of this call, the row is stored.
    aPending.mMayBeWritten = false;
    Reject(aId, JobCallStatus::kNoJob, "no such job");
  }

  void Count(std::uint64_t aId, Pending& /*aPending*/)
  {
    mStore.ReadRow(kOwnerLeaseKey,
                   ExpectResult(aId, &JobGatewayTask::HandlePendingCounts));
  }

  void HandlePendingCounts(std::uint64_t aId,
                           Pending& aPending,
                           const StoreResult& aResult)
  {
    if (!RejectIfFailed(aId, aResult)) {
      return;
    }
    JobCallReply reply;
    reply.mStatus = JobCallStatus::kOk;
    try {
      if (HasRow(aResult)) {
        const auto lease =
          mCodec.DecodeOwnerLease(aResult.Rows().front().Value());
        const auto it = lease.mPending.find(aPending.mQueue);
        reply.mPendingJobs = it != lease.mPending.end() ? it->second : 0;
      }
      Reply(aId, reply);
    } catch (const CoordinationError& error) {
      Reject(aId, JobCallStatus::kUnavailable, error.what());
    }
  }

  static const StoreRow* FindRow(const StoreResult& aResult,
                                 const std::string& aKey)
  {
    const auto it =
      std::find_if(aResult.Rows().begin(),
                   aResult.Rows().end(),
                   [&](const auto& aRow) { return aRow.Key() == aKey; });
    return it != aResult.Rows().end() ? &*it : nullptr;
  }

  Counters CollectCounters() const
  {
    Counters counters = mCounters;
    for (std::size_t i = 0; i < mLatencies.size(); ++i) {
      AddLatency("job_call_ms",
                 "kind=\"" + std::string(kKindNames.at(i)) + "\"",
                 mLatencies.at(i),
                 counters);
    }
    return counters;
  }

  void Reject(std::uint64_t aId, JobCallStatus aStatus, std::string aDetail)
  {
    JobCallReply reply;
    // A call that may have taken effect must not be reported as rejected.
    reply.mStatus =
      mPending.at(aId).mMayBeWritten ? JobCallStatus::kUnknown : aStatus;
    reply.mDetail = std::move(aDetail);
    Reply(aId, reply);
  }

  void Reply(std::uint64_t aId, const JobCallReply& aReply)
  {
    const auto it = mPending.find(aId);
    const Pending& pending = it->second;
    const auto kind = static_cast<std::size_t>(pending.mCall.mKind);
    const auto status = static_cast<std::size_t>(aReply.mStatus);
    ++mCounters["job_calls_total{kind=\"" + std::string(kKindNames.at(kind)) +
                "\",status=\"" + kStatusNames.at(status) + "\"}"];
    mLatencies.at(kind) =
      mLatencies.at(kind).WithSample(mClock.Now() - pending.mStartedAt);
    // Successful queries are too many to log; they are only counted.
    const bool isRoutine = aReply.mStatus == JobCallStatus::kOk &&
                           (pending.mCall.mKind == JobCallKind::kQuery ||
                            pending.mCall.mKind == JobCallKind::kCountPending);
    if (!isRoutine) {
      mLog.Write(
        { LogEvent::kCallAnswered,
          { { "job", pending.mJob },
            { "call", kKindNames.at(kind) },
            { "status", kStatusNames.at(status) },
            { "queue", pending.mQueue },
            { "organisation", pending.mOrganisation },
            { "settings",
              std::to_string(mCatalog ? mCatalog->OperatorVersion() : 0) },
            { "took_ms",
              std::to_string((mClock.Now() - pending.mStartedAt).count()) },
            { "detail", aReply.mDetail } } });
    }
    if (pending.mCall.mKind == JobCallKind::kSubmit) {
      mAdmission = mAdmission.WithEnded(aId);
    }
    const auto respond = pending.mCall.mRespond;
    JobCallReply reply = aReply;
    reply.mKind = pending.mCall.mKind;
    mPending.erase(it);
    respond(reply);
  }

  caf::actor mCatalogTask;
  StorePort& mStore;
  ChangeFeedPort& mFeed;
  const SchedulingCodec& mCodec;
  const PlatformRowCodec& mPlatformCodec;
  const Clock& mClock;
  EventLog& mLog;
  JobGatewayTaskOptions mOptions;
  WriteIdGenerator mWriteIds;
  state::TokenBucket mWithdrawals{ kWithdrawalBurst, kWithdrawalsPerSecond };
  std::shared_ptr<const Catalog> mCatalog;
  milliseconds mConfirmedAt{ 0 };
  StoreClockReading mStoreClock;
  JobAdmission mAdmission;
  bool mIsStoreReachable = false;
  /** Store version up to which the catalog task has read the settings table. */
  std::uint64_t mReadVersion = 0;
  milliseconds mStoreRespondedAt{ 0 };
  std::map<std::uint64_t, Pending> mPending;
  std::map<std::uint64_t, StoreCall> mStoreCalls;
  /** Time from call to reply, by kind. */
  std::array<state::LatencyHistogram, kKindNames.size()> mLatencies;
  bool mIsDraining = false;
  std::uint64_t mLastCallId = 0;
  std::uint64_t mLastOperationId = 0;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnJobGatewayTask(caf::actor_system& aSystem,
                    const caf::actor& aCatalog,
                    StorePort& aStore,
                    ChangeFeedPort& aFeed,
                    const SchedulingCodec& aCodec,
                    const PlatformRowCodec& aPlatformCodec,
                    const Clock& aClock,
                    EventLog& aLog,
                    JobGatewayTaskOptions aOptions)
{
  return aSystem.spawn<JobGatewayTask>(aCatalog,
                                       std::ref(aStore),
                                       std::ref(aFeed),
                                       std::cref(aCodec),
                                       std::cref(aPlatformCodec),
                                       std::cref(aClock),
                                       std::ref(aLog),
                                       std::move(aOptions));
}

} // namespace cornelrudder::coordination
