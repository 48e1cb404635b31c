#ifndef CORNELRUDDER_COORDINATION_SCHEDULING_MESSAGES_H
#define CORNELRUDDER_COORDINATION_SCHEDULING_MESSAGES_H

#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/scheduling/Catalog.h"
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
 * Messages of the tasks that run jobs of single tasks.
 */

namespace cornelrudder::coordination {

/** The store's steady clock and when it was read. */
struct StoreClockReading
{
  std::chrono::milliseconds mStoreTime{ 0 };
  std::chrono::milliseconds mReadAt{ 0 };

  /** @return The store's clock at a time of the own clock. */
  std::chrono::milliseconds StoreTimeAt(std::chrono::milliseconds aNow) const
  {
    return mStoreTime + (aNow - mReadAt);
  }

  auto operator<=>(const StoreClockReading&) const = default;
};

/** The operator's settings and how fresh they are; sent by the catalog task. */
struct CatalogView
{
  /** Null before any version is known. */
  const std::shared_ptr<const state::scheduling::Catalog> mCatalog;
  /** Until when the store has confirmed that there is no newer version. */
  const std::chrono::milliseconds mConfirmedAt;
  const StoreClockReading mStoreClock;
  /** Whether the last read of the store was answered. */
  const bool mIsStoreReachable;

  auto operator<=>(const CatalogView&) const = default;
};

/** What a caller asks about a job. */
enum class JobCallKind
{
  kSubmit,
  kQuery,
  kCancel,
  kCountPending
};

/** Body of a submission. */
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
  /** The call was refused; a job of a submission never runs. */
  kUnavailable,
  kNoQueue,
  kUnknownApiKey,
  kNoJob,
  kBadRequest,
  /** A submission or cancellation may have taken effect, or may yet. */
  kUnknown
};

/** Answer to a call. */
struct JobCallReply
{
  JobCallStatus mStatus = JobCallStatus::kOk;
  /** Set if the path made another call of it than the method said. */
  std::optional<JobCallKind> mKind;
  /** For kQuery: the state of the job. */
  state::scheduling::JobPhase mPhase = state::scheduling::JobPhase::kQueued;
  /** For kCountPending: jobs of the queue that have not begun. */
  std::uint64_t mPendingJobs = 0;
  std::string mDetail;

  auto operator<=>(const JobCallReply&) const = default;
};

/** A call about a job or a queue; answered exactly once, on any thread. */
struct JobCall
{
  JobCallKind mKind = JobCallKind::kQuery;
  std::string mHost;
  std::string mPath;
  std::string mApiKey;
  /** Time left for the answer. */
  std::chrono::milliseconds mTimeout{ 0 };
  /** Decodes the body under the limits in force; only for submissions. */
  std::function<Submission(const state::scheduling::CallLimits&)> mDecodeBody;
  std::function<void(JobCallReply)> mRespond;
};

/** Asks the gateway whether callers may be sent to this daemon. */
struct GetGatewayReadiness
{
  std::function<void(bool)> mRespond;
};

/** Tells the gateway that a graceful shutdown has begun. */
struct BeginGatewayDrain
{
  auto operator<=>(const BeginGatewayDrain&) const = default;
};

/** Tells a task of an answer of the store to one of its reads or writes. */
struct StoreCallCompleted
{
  /** Which exchange, in the task's own numbering. */
  const std::uint64_t mOperationId;
  const state::StoreResult mResult;

  auto operator<=>(const StoreCallCompleted&) const = default;
};

/** Tells the scheduler task of the answer to a start. */
struct StartCallCompleted
{
  const std::uint64_t mEpoch;
  const state::scheduling::StartCommand mCommand;
  const state::scheduling::CommandReply mReply;

  auto operator<=>(const StartCallCompleted&) const = default;
};

/** Tells the scheduler task of the answer to a stop. */
struct StopCallCompleted
{
  const std::uint64_t mEpoch;
  const state::scheduling::StopCommand mCommand;
  const state::scheduling::CommandReply mReply;

  auto operator<=>(const StopCallCompleted&) const = default;
};

/** Tells the scheduler task of the answer to a renewal. */
struct RenewCallCompleted
{
  const std::uint64_t mEpoch;
  const state::scheduling::RenewCommand mCommand;
  const std::chrono::milliseconds mSentAt;
  const state::scheduling::RenewReply mReport;

  auto operator<=>(const RenewCallCompleted&) const = default;
};

/** Tells the scheduler task to plan, write and send what is due. */
struct RunSchedulingCycle
{
  auto operator<=>(const RunSchedulingCycle&) const = default;
};

/** Tells the gateway to go on with a call. */
struct ResumeCall
{
  const std::uint64_t mCallId;

  auto operator<=>(const ResumeCall&) const = default;
};

/** Tells the catalog task to read the settings again at once. */
struct RefreshCatalog
{
  auto operator<=>(const RefreshCatalog&) const = default;
};

/** Tells the scheduler task to give up ownership for good (planned stop). */
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
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RunSchedulingCycle)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ResumeCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RefreshCatalog)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReleaseOwnership)

#endif // CORNELRUDDER_COORDINATION_SCHEDULING_MESSAGES_H
