#ifndef CORNELRUDDER_STATE_SCHEDULING_SCHEDULER_H
#define CORNELRUDDER_STATE_SCHEDULING_SCHEDULER_H

#include "cornelrudder/state/scheduling/Catalog.h"
#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/Planning.h"
#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"
#include "cornelrudder/state/scheduling/WorkerInfo.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Times and limits of a scheduler. */
struct SchedulerOptions
{
  /** Fencing token of all commands. */
  std::uint64_t mEpoch = 0;
  /** How long runs go on without a renewal. */
  std::chrono::milliseconds mWorkerLease{ 6'000 };
  /** How long a worker may hold the answer to a renewal. */
  std::chrono::milliseconds mRenewWait{ 1'500 };
  /** How long the rows of an ended job are kept. */
  std::chrono::milliseconds mJobRetention{ 600'000 };
  std::string mPolicy;
  auto operator<=>(const SchedulerOptions&) const = default;
};

/** Commands that are to be sent now. */
struct WorkerCommands
{
  std::vector<StartCommand> mStarts;
  std::vector<StopCommand> mStops;
  std::vector<RenewCommand> mRenewals;
};

/** A decision or a change of belief, for the log. */
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
    kWorkerLeaving
  };

  Kind mKind;
  std::vector<std::pair<std::string, std::string>> mFields;
};

/**
 * Runs the jobs of a fleet: decides where tasks start, follows their runs and
 * survives workers that are silent, late or gone.
 *
 * It keeps to one order of effects. Every decision changes the records of its
 * jobs first; a run is ordered only after the write with its record was
 * stored, and a worker may forget an end only after the write with that end
 * was stored. A successor that reads the records therefore knows each run that
 * may exist.
 *
 * Time is the caller's monotonic clock.
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

  /** Takes in guarantees; jobs keep the settings that they came under. */
  void ApplyCatalog(const Catalog& aCatalog);

  /**
   * Adds an accepted job; a job that is known already is left as it is.
   * @param aAge Time since the job was handed in.
   * @param aProgress What an earlier owner recorded, or null.
   */
  void AddJob(const TaskJob& aJob,
              Millis aAge,
              const JobProgress* aProgress,
              Millis aNow);

  /** Cancels a job; an unknown or ended one is left as it is. */
  void CancelJob(const std::string& aJob, Millis aNow);

  /** Takes in what a worker says of itself. */
  void UpdateWorker(const WorkerInfo& aWorker, Millis aNow);

  /** A worker left the list of workers. */
  void RemoveWorker(const std::string& aWorker, Millis aNow);

  void ApplyStartReply(const StartCommand& aCommand,
                       const CommandReply& aReply,
                       Millis aNow);

  void ApplyStopReply(const StopCommand& aCommand,
                      const CommandReply& aReply,
                      Millis aNow);

  /** @param aSentAt When the renewal was sent. */
  void ApplyRenewReply(const RenewCommand& aCommand,
                       const RenewReply& aReply,
                       Millis aSentAt,
                       Millis aNow);

  /**
   * Gives up on silent workers and decides on waiting tasks.
   * @param aWallClock Time since 1970, for scheduled jobs.
   */
  void Plan(Millis aNow, Millis aWallClock);

  /** @return Whether records have changed since the last BeginWrite(). */
  bool HasChanges() const;

  /**
   * Starts a write of changed records; one is under way at a time.
   * @param aMaxJobs Most jobs to write at a time.
   */
  std::vector<JobProgress> BeginWrite(std::size_t aMaxJobs);

  /** @param aStored Whether the write of BeginWrite() certainly took effect. */
  void FinishWrite(bool aStored);

  /**
   * @return Ended jobs whose rows have been kept long enough, oldest first, at
   *   most so many. An owner counts from when it learned of the end.
   */
  std::vector<std::string> ExpiredJobs(Millis aNow, std::size_t aMax) const;

  /** Forgets the first jobs of ExpiredJobs(), whose rows are gone. */
  void RemoveExpiredJobs(std::size_t aCount);

  /** @return Commands that are due and covered by stored records. */
  WorkerCommands CollectCommands(Millis aNow);

  /** @return What was noted since the last call. */
  std::vector<SchedulerEvent> TakeEvents();

  /** @return Whether a worker has seen a higher epoch. */
  bool IsFenced() const;

  /** @return Number of jobs that have not begun, by queue. */
  std::map<std::string, std::uint64_t> PendingJobs() const;

  /** @return Whether any job or run needs attention. */
  bool IsIdle() const;

  /** @return Counts of jobs, tasks and workers by state. */
  std::map<std::string, std::uint64_t> Gauges() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_SCHEDULER_H
