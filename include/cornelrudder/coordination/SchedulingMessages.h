#ifndef CORNELRUDDER_COORDINATION_SCHEDULING_MESSAGES_H
#define CORNELRUDDER_COORDINATION_SCHEDULING_MESSAGES_H

#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/scheduling/Catalog.h"
#include "cornelrudder/state/scheduling/Evacuations.h"
#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/**
 * @file
 * Messages of the catalog, job gateway and scheduler tasks.
 */

namespace cornelrudder::coordination {

/** A reading of the store's steady clock. */
struct StoreClockReading
{
  std::chrono::milliseconds mStoreTime{ 0 };
  /** Local clock at the time of the reading. */
  std::chrono::milliseconds mReadAt{ 0 };

  /** @return The store's time that corresponds to a local time. */
  std::chrono::milliseconds StoreTimeAt(std::chrono::milliseconds aNow) const
  {
    return mStoreTime + (aNow - mReadAt);
  }

  auto operator<=>(const StoreClockReading&) const = default;
};

/** The operator's settings and their age; sent by the catalog task. */
struct CatalogView
{
  /** Null until the settings have been read. */
  const std::shared_ptr<const state::scheduling::Catalog> mCatalog;
  /** Local time up to which the store has confirmed this version as newest. */
  const std::chrono::milliseconds mConfirmedAt;
  const StoreClockReading mStoreClock;
  /** Whether the last read of the store succeeded. */
  const bool mIsStoreReachable;
  /** Store version up to which the settings table was read; 0 if unknown. */
  const std::uint64_t mReadVersion;
  /** The evacuated zones, as of mConfirmedAt. */
  const state::scheduling::Evacuations mEvacuations;

  auto operator<=>(const CatalogView&) const = default;
};

/** Kinds of calls about a job or a queue. */
enum class JobCallKind
{
  kSubmit,
  kQuery,
  kCancel,
  kCountPending
};

/** Decoded body of a submission. */
struct Submission
{
  std::string mPayload;
  std::vector<state::scheduling::StepSpec> mSteps;
  state::scheduling::Schedule mSchedule;

  auto operator<=>(const Submission&) const = default;
};

enum class JobCallStatus
{
  kOk,
  /** The call was rejected without effect: a submitted job never runs. */
  kUnavailable,
  kNoQueue,
  kUnknownApiKey,
  kNoJob,
  kBadRequest,
  /** A submission or cancellation may have taken or may still take effect. */
  kUnknown
};

/** Reply to a JobCall. */
struct JobCallReply
{
  JobCallStatus mStatus = JobCallStatus::kOk;
  /**
   * Kind of the call as processed: a query whose path names no job is processed
   * as kCountPending.
   */
  std::optional<JobCallKind> mKind;
  /** For kQuery: the phase of the job. */
  state::scheduling::JobPhase mPhase = state::scheduling::JobPhase::kQueued;
  /** For kCountPending: number of jobs in the queue that have not started. */
  std::uint64_t mPendingJobs = 0;
  std::string mDetail;

  auto operator<=>(const JobCallReply&) const = default;
};

/** A call about a job or a queue. mRespond is called once, on any thread. */
struct JobCall
{
  JobCallKind mKind = JobCallKind::kQuery;
  std::string mHost;
  std::string mPath;
  std::string mApiKey;
  /** Time within which the caller expects the reply. */
  std::chrono::milliseconds mTimeout{ 0 };
  /** Decodes the body under the current limits; only for submissions. */
  std::function<Submission(const state::scheduling::CallLimits&)> mDecodeBody;
  std::function<void(JobCallReply)> mRespond;
};

/** Asks the gateway whether this daemon is ready for callers. */
struct GetGatewayReadiness
{
  std::function<void(bool)> mRespond;
};

/** Makes the gateway report itself not ready, for a graceful shutdown. */
struct BeginGatewayDrain
{
  auto operator<=>(const BeginGatewayDrain&) const = default;
};

/** Delivers the result of a store call to the task that made it. */
struct StoreCallCompleted
{
  /** Number that the task has given to the call. */
  const std::uint64_t mOperationId;
  const state::StoreResult mResult;

  auto operator<=>(const StoreCallCompleted&) const = default;
};

/** Delivers a worker's reply to a start command to the scheduler task. */
struct StartCallCompleted
{
  const std::uint64_t mEpoch;
  const state::scheduling::StartCommand mCommand;
  const state::scheduling::CommandReply mReply;

  auto operator<=>(const StartCallCompleted&) const = default;
};

/** Delivers a worker's reply to a stop command to the scheduler task. */
struct StopCallCompleted
{
  const std::uint64_t mEpoch;
  const state::scheduling::StopCommand mCommand;
  const state::scheduling::CommandReply mReply;

  auto operator<=>(const StopCallCompleted&) const = default;
};

/** Delivers a worker's reply to a lease renewal to the scheduler task. */
struct RenewCallCompleted
{
  const std::uint64_t mEpoch;
  const state::scheduling::RenewCommand mCommand;
  const std::chrono::milliseconds mSentAt;
  const state::scheduling::RenewReply mReport;

  auto operator<=>(const RenewCallCompleted&) const = default;
};

/** Makes a follower read the lease row when the owner may count as silent. */
struct ReadLeaseAtExpiry
{
  auto operator<=>(const ReadLeaseAtExpiry&) const = default;
};

/** Makes the scheduler task plan, send commands and write changes. */
struct RunSchedulingCycle
{
  auto operator<=>(const RunSchedulingCycle&) const = default;
};

/** Makes the gateway retry a call after a delay. */
struct ResumeCall
{
  const std::uint64_t mCallId;

  auto operator<=>(const ResumeCall&) const = default;
};

/** Makes the catalog task read the settings again at once. */
struct RefreshCatalog
{
  auto operator<=>(const RefreshCatalog&) const = default;
};

/** Makes the scheduler task release ownership permanently (planned stop). */
struct ReleaseOwnership
{
  auto operator<=>(const ReleaseOwnership&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::CatalogView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::JobCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetGatewayReadiness)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::BeginGatewayDrain)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::StoreCallCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::StartCallCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::StopCallCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RenewCallCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReadLeaseAtExpiry)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RunSchedulingCycle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ResumeCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RefreshCatalog)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReleaseOwnership)

#endif // CORNELRUDDER_COORDINATION_SCHEDULING_MESSAGES_H
