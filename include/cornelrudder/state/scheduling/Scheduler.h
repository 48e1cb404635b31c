#ifndef CORNELRUDDER_STATE_SCHEDULING_SCHEDULER_H
#define CORNELRUDDER_STATE_SCHEDULING_SCHEDULER_H

#include "cornelrudder/state/scheduling/Catalog.h"
#include "cornelrudder/state/scheduling/Evacuations.h"
#include "cornelrudder/state/scheduling/JobMemory.h"
#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/OwnerReachability.h"
#include "cornelrudder/state/scheduling/Planning.h"
#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"
#include "cornelrudder/state/scheduling/WorkerInfo.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Times and limits of a scheduler. */
struct SchedulerOptions
{
  /** Fencing token of all commands. */
  std::uint64_t mEpoch = 0;
  /** Time that the runs of a worker continue without a lease renewal. */
  std::chrono::milliseconds mWorkerLease{ 6'000 };
  /** Longest lease that a worker grants; it shortens longer ones. */
  std::chrono::milliseconds mMaxWorkerLease{ 10'000 };
  /**
   * Shortest silence for which the store removes the entry of a worker. A
   * younger entry is only removed when its worker leaves.
   */
  std::chrono::milliseconds mSilenceLimit{ 4'500 };
  /** Maximum time that a worker may delay its reply to a renewal. */
  std::chrono::milliseconds mRenewWait{ 1'500 };
  /** Time that the rows of a terminated job are kept. */
  std::chrono::milliseconds mJobRetention{ 600'000 };
  /** Name of the placement policy; empty for the default. */
  std::string mPolicy;
  /** Name of the predictor of run times; empty for the default. */
  std::string mRunTimes;
  /**
   * Local times from which none of the runs that earlier owners started can
   * exist, by worker, as far as the earlier owner told. The lease of any other
   * worker may have been extended until mLastEarlierCommandAt.
   */
  std::map<std::string, std::chrono::milliseconds> mInheritedLeases{};
  /**
   * Local time from which earlier owners send no commands to workers; see
   * OwnerTenure.
   */
  std::chrono::milliseconds mLastEarlierCommandAt{ 0 };
  /**
   * Local time from which earlier owners start no runs. Until then, a worker
   * that restarts may start a run that it has reported as ended or not started.
   */
  std::chrono::milliseconds mLastEarlierStartAt{ 0 };
  /**
   * Number of tasks in each row of the record of a new job; the default divides
   * no record. BeginWrite() divides rows further whose records are too large.
   */
  std::size_t mTasksPerRecord = TaskJob::kMaxTasks;
  /**
   * Limit on the checkpoints of all tasks together, in bytes. Beyond it, tasks
   * keep the checkpoints that they have.
   */
  std::size_t mMaxCheckpointBytes = 24'000'000;
  /**
   * Memory of jobs beyond which further jobs are held back until others have
   * ended, in bytes by JobBytes(). Jobs with a record are never held back.
   */
  std::uint64_t mMaxJobBytes = std::numeric_limits<std::uint64_t>::max();
  auto operator<=>(const SchedulerOptions&) const = default;
};

/** Limits of one write of records. */
struct WriteLimits
{
  std::size_t mRecords = 0;
  /** The last record may exceed it. */
  std::size_t mTasks = 0;
  /** Largest size of a record in bytes. */
  std::size_t mRecordBytes = std::numeric_limits<std::size_t>::max();
  /** Size of all records in bytes; the last record may exceed it. */
  std::size_t mBytes = std::numeric_limits<std::size_t>::max();

  auto operator<=>(const WriteLimits&) const = default;
};

/** Returns the size of a record in bytes as it is stored. */
using RecordSizer = std::function<std::size_t(const JobProgress&)>;

/** Commands to send now. */
struct WorkerCommands
{
  std::vector<StartCommand> mStarts;
  std::vector<StopCommand> mStops;
  std::vector<RenewCommand> mRenewals;
};

/** What an owner has taken over from earlier ones, for the log. */
struct TakeoverSummary
{
  /** Runs that earlier owners have planned, and the workers that have them. */
  std::size_t mRuns = 0;
  std::size_t mWorkers = 0;
  /** Workers whose lease ends a release tells, and the time left of these. */
  std::size_t mReleasedWorkers = 0;
  std::chrono::milliseconds mShortestRelease{ 0 };
  std::chrono::milliseconds mLongestRelease{ 0 };
  /** Workers with such runs whose lease end is presumed, and the time left. */
  std::size_t mPresumedWorkers = 0;
  std::chrono::milliseconds mLongestPresumption{ 0 };

  auto operator<=>(const TakeoverSummary&) const = default;
};

/** When an owner last extended the lease of a worker with runs, for the log. */
struct LeaseExtension
{
  std::optional<std::chrono::milliseconds> mAt;
  std::string mWorker;

  auto operator<=>(const LeaseExtension&) const = default;
};

/** A decision or a detected state change, for the log. */
struct SchedulerEvent
{
  enum class Kind
  {
    kPlaced,
    kWaits,
    kPreempted,
    kRunEnded,
    kRunLost,
    kJobEnded,
    kWorkerSilent,
    kWorkerBack,
    kWorkerGone,
    kWorkerSuspected,
    kRunMoved,
    kWorkerLeaving,
    kJobStalled,
    kEndIgnored,
    kReplyIgnored,
    kWorkerCapacityChanged,
    kRunCrashed,
    kJobSetAside,
    kCheckpointNotStored,
    kCheckpointsLimited,
    kEvacuated
  };

  Kind mKind;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/**
 * Runs the jobs of a fleet: decides where tasks start, tracks their runs and
 * handles workers that are unresponsive, late or gone.
 *
 * Effects follow a fixed sequence. Every decision first changes the records of
 * its jobs. A start command is issued only after the assignment is stored, and
 * a termination is acknowledged to the worker only after the termination is
 * stored. The records therefore show a new owner every run that may exist.
 *
 * All times named aNow are on the monotonic clock of the caller.
 */
class Scheduler
{
public:
  using Millis = std::chrono::milliseconds;

  /** @throws StateError if the policy is unknown. */
  explicit Scheduler(SchedulerOptions aOptions);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /**
   * Applies the guarantees of the organisations; each job keeps the queue
   * settings that it was accepted with.
   */
  void ApplyCatalog(const Catalog& aCatalog);

  /**
   * Replaces the evacuated zones. From now on, nothing is planned or started
   * there; planned runs whose start has not been sent are withdrawn, and runs
   * at work continue.
   */
  void ApplyEvacuations(const Evacuations& aEvacuations, Millis aNow);

  /**
   * Adds an accepted job; does nothing if the job is already known.
   * @param aAge Time since the job was submitted.
   * @param aProgress Progress recorded by an earlier owner, or null.
   */
  void AddJob(const TaskJob& aJob,
              Millis aAge,
              const JobProgress* aProgress,
              Millis aNow);

  /** Cancels a job; does nothing if the job is unknown or terminated. */
  void CancelJob(const std::string& aJob, Millis aNow);

  /** Updates a worker from the list of workers. */
  void UpdateWorker(const WorkerInfo& aWorker, Millis aNow);

  /** Handles the removal of a worker from the list of workers. */
  void RemoveWorker(const std::string& aWorker, Millis aNow);

  /**
   * Handles an entry in the list of workers that describes no usable worker:
   * the worker gets no new runs, but nothing tells that it has left.
   */
  void HandleUnusableEntry(const std::string& aWorker);

  void ApplyStartReply(const StartCommand& aCommand,
                       const CommandReply& aReply,
                       Millis aNow);

  void ApplyStopReply(const StopCommand& aCommand,
                      const CommandReply& aReply,
                      Millis aNow);

  /** @param aSentAt Time at which the renewal was sent. */
  void ApplyRenewReply(const RenewCommand& aCommand,
                       const RenewReply& aReply,
                       Millis aSentAt,
                       Millis aNow);

  /**
   * Requeues the runs of unresponsive workers whose leases have expired, checks
   * the progress of running tasks, and plans waiting tasks.
   * @param aWallClock Time since 1970, for scheduled jobs.
   */
  void Plan(Millis aNow, Millis aWallClock);

  /** @return Whether there are changes that no write contains yet. */
  bool HasChanges() const;

  /**
   * Starts a write of changed records; only one write may be pending.
   * @param aSizeOf Called once for each record of the write, and before that
   *   for records that are too large and are divided; empty for no limits in
   *   bytes.
   * @return The records to write: each is that of a job or a part of it. A part
   *   other than the first one that has no tasks is to be deleted. A record
   *   exceeds the limit only if it is that of a single task without its
   *   checkpoint.
   */
  std::vector<JobProgress> BeginWrite(const WriteLimits& aLimits,
                                      const RecordSizer& aSizeOf = {});

  /**
   * Completes the pending write.
   * @param aStored Whether the write is known to be stored.
   */
  void FinishWrite(bool aStored);

  /**
   * Completes the pending write, which has a single record, after the store
   * rejected it: a repetition would be rejected, too. The record is divided, or
   * its job waits and is tried again later, so that the records of other jobs
   * are written.
   */
  void HandleRejectedRecord(Millis aNow);

  /**
   * @return Terminations of jobs whose records the store rejects, to be stored
   *   in the lease row by the pending write. Workers may forget them then.
   */
  std::vector<UnrecordedEnd> UnrecordedEnds() const;

  /**
   * Applies the terminations that an earlier owner stored in the lease row;
   * called after the jobs were added.
   */
  void RestoreUnrecordedEnds(const std::vector<UnrecordedEnd>& aEnds,
                             Millis aNow);

  /**
   * @return Terminated jobs whose rows were kept for mJobRetention, oldest
   *   first, at most aMax. The time counts from when this owner removed the job
   *   from its active jobs, to the accuracy of a planning pass. Of the record
   * of such a job, only the first part is stored.
   */
  std::vector<std::string> ExpiredJobs(Millis aNow, std::size_t aMax) const;

  /**
   * Removes the first jobs of ExpiredJobs() after their rows were deleted.
   * @param aCount Number of jobs to remove.
   */
  void RemoveExpiredJobs(std::size_t aCount);

  /**
   * Stops to extend the leases of unresponsive workers with runs, and to start
   * runs there, for as long as this owner has the lease. A worker whose reply
   * to a renewal is overdue counts as unresponsive before the call fails. A
   * successor that is told the result does not have to assume a later
   * extension.
   * @return Time after which none of the runs on such a worker can exist, by
   *   worker; repeated calls contain the workers of earlier ones.
   */
  std::map<std::string, std::chrono::milliseconds> WithholdLeases(
    std::chrono::milliseconds aNow);

  /**
   * @param aStartsUntil Time from which this owner may not start runs.
   * @return Commands that are due; start commands only for stored assignments.
   */
  WorkerCommands CollectCommands(Millis aNow,
                                 Millis aStartsUntil = Millis::max());

  /** @return Events since the last call. */
  std::vector<SchedulerEvent> TakeEvents();

  /**
   * @return Whether a worker rejected a command because it knows a higher
   *   epoch.
   */
  bool IsFenced() const;

  /** @return Which workers this owner reaches. */
  OwnerReachability Reachability(Millis aNow) const;

  /** @return What this owner has taken over and not given up yet. */
  TakeoverSummary Inherited(Millis aNow) const;

  /** @return The last extensions of leases, latest first. */
  std::vector<LeaseExtension> LeaseExtensions() const;

  /** @return Number of jobs not started yet, by queue. */
  std::map<std::string, std::uint64_t> PendingJobs() const;

  /** @return Memory of the jobs, in bytes. */
  std::uint64_t BytesOfJobs() const;

  /** @return Memory of the jobs, without the version up to which they are read.
   */
  JobMemory MemoryOfJobs() const;

  /** @return Whether no job is active and no change is unwritten. */
  bool IsIdle() const;

  /** @return Counts of jobs, tasks and workers by state. */
  std::map<std::string, std::uint64_t> Gauges() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_SCHEDULER_H
