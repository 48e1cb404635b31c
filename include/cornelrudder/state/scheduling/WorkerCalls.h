#ifndef CORNELRUDDER_STATE_SCHEDULING_WORKER_CALLS_H
#define CORNELRUDDER_STATE_SCHEDULING_WORKER_CALLS_H

#include "cornelrudder/state/scheduling/TaskId.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Which life of which worker a call is for. */
struct WorkerTarget
{
  std::string mId;
  std::string mAddress;

  auto operator<=>(const WorkerTarget&) const = default;
};

/** Commands a worker to start a run of a task. */
struct StartCommand
{
  WorkerTarget mWorker;
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::string mPayload;
  /** Where to resume; empty for the beginning. */
  std::string mCheckpoint;
  /** End of the lease of all runs on the worker, on the worker's clock. */
  std::chrono::milliseconds mLeaseExpiry{ 0 };
  /** Fencing token. */
  std::uint64_t mEpoch = 0;

  auto operator<=>(const StartCommand&) const = default;
};

/** Commands a worker to stop a run. */
struct StopCommand
{
  WorkerTarget mWorker;
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::uint64_t mEpoch = 0;

  auto operator<=>(const StopCommand&) const = default;
};

/** Renews the lease of a worker's runs and asks for their state. */
struct RenewCommand
{
  WorkerTarget mWorker;
  /** On the worker's clock; 0 leaves the lease as it is. */
  std::chrono::milliseconds mLeaseExpiry{ 0 };
  std::uint64_t mEpoch = 0;
  /** Ends up to this number were recorded, the worker may forget them. */
  std::uint64_t mAckedUpTo = 0;
  /** How long the worker may hold its answer until a run ends. */
  std::chrono::milliseconds mMaxWait{ 0 };

  auto operator<=>(const RenewCommand&) const = default;
};

/** How a worker answered a command. */
enum class CommandOutcome
{
  kDone,
  /** The worker did not carry it out, and never will. */
  kRejected,
  /** The worker lacks the capacity. */
  kNoCapacity,
  /** The worker has seen a higher epoch. */
  kFenced,
  /** Another life of the worker answered: the one meant is gone. */
  kIncarnationMismatch,
  /** It may have been carried out, or may yet be. */
  kUnknown
};

/** Answer to a start or a stop. */
struct CommandReply
{
  CommandOutcome mOutcome = CommandOutcome::kUnknown;
  /** The worker's clock; 0 if it was not told. */
  std::chrono::milliseconds mClock{ 0 };
  /** The worker's words for a refusal, for the log. */
  std::string mDetail;

  auto operator<=>(const CommandReply&) const = default;
};

/** A run that a worker reports as running. */
struct RunningRun
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  std::string mCheckpoint;
  /** Share of its work that is done, 0 to 100. */
  int mProgressPercent = 0;

  auto operator<=>(const RunningRun&) const = default;
};

enum class TerminationReason
{
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  /** Another member of the gang ended. */
  kGangBroken,
  /** The other members of the gang did not come in time. */
  kGangIncomplete
};

/** @return The name of an end, for the log. */
const char*
TerminationReasonName(TerminationReason aReason);

/** A run that a worker reports as ended. */
struct TerminatedRun
{
  /** Number of the end in this life of the worker. */
  std::uint64_t mSequence = 0;
  TaskId mTask;
  std::uint64_t mRun = 0;
  TerminationReason mReason = TerminationReason::kStopped;
  std::string mCheckpoint;

  auto operator<=>(const TerminatedRun&) const = default;
};

/** Answer to a renewal. */
struct RenewReply
{
  CommandOutcome mOutcome = CommandOutcome::kUnknown;
  std::uint64_t mIncarnation = 0;
  std::chrono::milliseconds mClock{ 0 };
  std::vector<RunningRun> mRunning;
  std::vector<TerminatedRun> mTerminated;
  /** Why there is no report, for the log. */
  std::string mDetail;

  auto operator<=>(const RenewReply&) const = default;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_WORKER_CALLS_H
