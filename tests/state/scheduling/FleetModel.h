#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_MODEL_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_MODEL_H

#include "cornelrudder/state/scheduling/Scheduler.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::tests {

namespace scheduling = state::scheduling;
using std::chrono::milliseconds;

/** Size of a model fleet and its fault rates. */
struct FleetModelOptions
{
  std::size_t mWorkers = 4;
  std::size_t mWorkersPerRack = 2;
  scheduling::Resources mCapacity{ 32'000, 64'000, 8 };
  /**
   * Share of commands without a reply, and share of start commands that are
   * executed seconds late; 0 to 1.
   */
  double mLostReplyShare = 0.0;
  double mLateStartShare = 0.0;
  std::uint64_t mSeed = 1;
  std::string mPolicy = "urgency";
  /** Name of the predictor of run times; empty for the default. */
  std::string mRunTimes{};
  /** Records a violation for a job that waits although capacity is free. */
  bool mCheckWorkConservation = false;
  /** Maximum number of records in one write of the owner. */
  std::size_t mJobsPerWrite = 40;
  /** Time for which a worker is down after a crash under a deadly task. */
  milliseconds mCrashTime{ 3'000 };
  /** Crashed workers return under another identifier. */
  bool mHasNewIdentifiers = false;
  /** Workers of each zone, z0, z1 and so on; 0 for workers without a zone. */
  std::size_t mWorkersPerZone = 0;
  /** See scheduling::SchedulerOptions::mMaxJobBytes. */
  std::uint64_t mMaxJobBytes = std::numeric_limits<std::uint64_t>::max();
};

/** Result of a job as reported to its caller. */
struct JobOutcome
{
  milliseconds mSubmittedAt{ 0 };
  std::optional<milliseconds> mEndedAt;
  scheduling::JobPhase mPhase = scheduling::JobPhase::kQueued;
};

/**
 * Runs a scheduler against a simulated store and simulated workers on one
 * virtual clock. The workers implement the rules of the platform: leases,
 * fencing, and gangs whose members start and terminate together. They do not
 * enforce their own capacity. Every broken invariant is recorded as a
 * violation.
 */
class FleetModel
{
public:
  explicit FleetModel(FleetModelOptions aOptions);

  /** @param aRunTime Actual run time of each task. */
  void Submit(const scheduling::TaskJob& aJob, milliseconds aRunTime);
  void Cancel(const std::string& aJob);

  /**
   * Makes the first runs of a job fail.
   * @param aTimes Number of runs that fail before one completes.
   */
  void FailRuns(const std::string& aJob, int aTimes);

  /**
   * Makes each run of a task crash its worker, which restarts with a new
   * incarnation after FleetModelOptions::mCrashTime.
   * @param aDelay Time from the start of the run to the crash.
   */
  void MakeDeadly(const scheduling::TaskId& aTask,
                  milliseconds aDelay = milliseconds(10));

  /** Advances the virtual clock. */
  void Run(milliseconds aTime);

  /** Replaces the owner by one that knows only the stored records. */
  void ReplaceOwner();

  /**
   * Makes the owner release the lease; a successor takes over when the release
   * is stored. Until then the owner continues.
   */
  void HandOver(milliseconds aWriteTime = milliseconds(15));

  /**
   * Makes a worker lose all commands, or receive them again; its runs continue.
   */
  void SetReachable(std::size_t aWorker, bool aReachable);
  /** Makes connections to a worker fail, or succeed again. */
  void SetConnectable(std::size_t aWorker, bool aConnectable);
  void CrashWorker(std::size_t aWorker);
  /**
   * Crashes a worker, which restarts with a new incarnation after a time. Its
   * connections end, and the other members of its gangs terminate.
   */
  void CrashWorkerFor(std::size_t aWorker, milliseconds aDownTime);
  /** @return Whether a worker has crashed and not restarted yet. */
  bool IsDown(std::size_t aWorker) const { return mWorkers[aWorker].mIsDown; }
  /** Restarts a worker without updating the list of workers. */
  void RestartUnannounced(std::size_t aWorker);
  /** Updates the list of workers with the current state of a worker. */
  void PublishWorker(std::size_t aWorker);
  /**
   * Adds an entry of another writer to the list of workers: it has the address
   * of a worker, another identifier and a higher incarnation.
   */
  void PublishCopyOf(std::size_t aWorker);
  /** Updates the clock in the list of workers, as a live worker does. */
  void RefreshRow(std::size_t aWorker);
  void AddLabel(std::size_t aWorker, const std::string& aLabel);
  /**
   * Updates the list of workers with a clock that is outdated.
   * @param aAge Time since the worker read the clock.
   */
  void PublishStaleClock(std::size_t aWorker, milliseconds aAge);
  /** Removes a worker from the list of workers; its runs continue. */
  void UnlistWorker(std::size_t aWorker);
  /** Makes the entry of a worker undecodable; its runs continue. */
  void GarbleEntry(std::size_t aWorker);
  /**
   * Restarts a worker whose time of day was set back, without updating the list
   * of workers: the new incarnation has a lower number.
   */
  void RestartWithLowerIncarnation(std::size_t aWorker);
  /**
   * @param aShutdownAfter Announced minimum time until the shutdown; 0 for
   *   none.
   */
  void SetDraining(std::size_t aWorker,
                   milliseconds aShutdownAfter = milliseconds(0));
  /** Makes every run on a worker fail, or stop making progress. */
  void SetFailing(std::size_t aWorker, bool aFailing);
  void SetStalled(std::size_t aWorker, bool aStalled);
  /** Makes a worker reject all start commands. */
  void SetRejecting(std::size_t aWorker, bool aRejecting);
  /** Makes a worker reject all start commands for want of capacity. */
  void SetLackingCapacity(std::size_t aWorker, bool aLacking);
  /**
   * Changes the capacity of a worker and updates the list of workers; its runs
   * continue. From then on, no start may be sent that exceeds the capacity.
   */
  void SetCapacity(std::size_t aWorker, const scheduling::Resources& aCapacity);
  /** Multiplies the run time of runs on a worker by a factor. */
  void SetSlowdown(std::size_t aWorker, double aFactor);
  /** Makes the next start commands time out and execute late. */
  void DelayStarts(int aCount);
  /** Loses the replies to the next start commands, which are executed. */
  void LoseStartReplies(int aCount);
  void SetStoreUp(bool aUp);
  void ApplyCatalog(const scheduling::Catalog& aCatalog);
  /**
   * Replaces the evacuated zones, for this owner and later ones. From then on,
   * no start may be sent to a worker there.
   */
  void Evacuate(const std::set<std::string>& aZones);

  const std::vector<std::string>& Violations() const { return mViolations; }
  /** @return Which workers the owner reaches. */
  scheduling::OwnerReachability Reachability() const
  {
    return mOwner->Reachability(mNow);
  }
  JobOutcome OutcomeOf(const std::string& aJob) const;
  std::size_t RunningOn(std::size_t aWorker) const;
  /** @return Crashes in the stored record of the first task of a job. */
  scheduling::CrashCount StoredCrashes(const std::string& aJob) const
  {
    return mRecords.at(aJob).Tasks().front().mCrashes;
  }
  /** @return Number of terminations that a worker still reports. */
  std::size_t UnackedOn(std::size_t aWorker) const;
  /** @return Number of jobs that the owner reports as pending. */
  std::size_t PendingJobs() const;
  /** @return A gauge of the owner, or 0. */
  std::uint64_t Gauge(const std::string& aName) const
  {
    const auto gauges = mOwner->Gauges();
    const auto it = gauges.find(aName);
    return it != gauges.end() ? it->second : 0;
  }
  std::size_t Starts() const { return mStarts; }
  /** @return Number of workers that crashed under a task. */
  int CrashesUnder(const scheduling::TaskId& aTask) const;
  /** @return When a run of a task completed first. */
  std::optional<milliseconds> CompletedAt(
    const scheduling::TaskId& aTask) const;
  std::size_t Stops() const { return mStops; }
  std::size_t RejectedStarts() const { return mRejectedStarts; }
  /** Lost work of stopped runs without checkpoints, in core seconds. */
  double WastedWork() const { return mWastedWork; }
  milliseconds Now() const { return mNow; }
  /** @return Events of all owners. */
  const std::vector<scheduling::SchedulerEvent>& OwnerEvents() const
  {
    return mOwnerEvents;
  }

private:
  struct ModelRun
  {
    scheduling::TaskId mTask;
    std::uint64_t mRun;
    milliseconds mStartedAt;
    /** Remaining work; decreases only while all members of a gang run. */
    std::chrono::microseconds mRemaining;
    std::optional<milliseconds> mStopAt;
    /** Work restored from the checkpoint. */
    milliseconds mResumedWork{ 0 };
  };

  struct ModelTermination
  {
    scheduling::TerminatedRun mRun;
    milliseconds mAt;
    /** The lease expired before the termination was acknowledged. */
    bool mIsLeaseExpired = false;
  };

  struct ModelWorker
  {
    scheduling::WorkerInfo mInfo;
    bool mReachable = true;
    bool mConnectable = true;
    /** Crashed by CrashWorkerFor() and not restarted yet. */
    bool mIsDown = false;
    /** Ends the open renewals of this worker, by number of the call. */
    std::map<std::uint64_t, std::function<void()>> mOpenCalls;
    bool mFailing = false;
    bool mStalled = false;
    bool mRejecting = false;
    bool mLackingCapacity = false;
    bool mListed = true;
    double mSlowdown = 1.0;
    std::uint64_t mEpoch = 0;
    milliseconds mLeaseExpiry{ 0 };
    std::vector<ModelRun> mRuns;
    std::vector<ModelTermination> mTerminated;
    std::uint64_t mTerminations = 0;
    /** Highest run number of each task that was stopped or terminated here. */
    std::map<scheduling::TaskId, std::uint64_t> mHighestEndedRuns;
  };

  /** An action at a point in virtual time. */
  struct Event
  {
    milliseconds mAt;
    std::function<void()> mAction;
  };

  void ScheduleEvent(milliseconds aDelay, std::function<void()> aAction);
  void Step();
  /** @param aLeases Leases that the former owner told, by worker. */
  void StartOwner(std::map<std::string, milliseconds> aLeases = {});
  void RunOwner();
  void WriteRecords();
  void SendStart(const scheduling::StartCommand& aCommand);
  void SendStop(const scheduling::StopCommand& aCommand);
  void SendRenewal(const scheduling::RenewCommand& aCommand);
  /**
   * @param aCapacity Capacity that the worker had announced when the command
   *   was sent.
   */
  scheduling::CommandReply HandleStart(const scheduling::StartCommand& aCommand,
                                       const scheduling::Resources& aCapacity);
  scheduling::CommandReply HandleStop(const scheduling::StopCommand& aCommand);
  scheduling::RenewReply HandleRenewal(
    const scheduling::RenewCommand& aCommand);
  ModelWorker* FindWorker(const std::string& aId);
  void Advance(ModelWorker& aWorker);
  void TerminateRun(ModelWorker& aWorker,
                    const ModelRun& aRun,
                    scheduling::TerminationReason aReason);
  /** Terminates the other members of the gang of a run that has ended. */
  void TerminateMembers(const ModelRun& aRun,
                        scheduling::TerminationReason aReason);
  void DiscardTerminations(ModelWorker& aWorker, std::uint64_t aUpTo);
  const scheduling::StepSpec& StepOf(const ModelRun& aRun) const;
  milliseconds CompletedWork(const ModelRun& aRun) const;
  /** @return Factor on the run time on the worker that executes the run. */
  double SlowdownOf(const ModelWorker& aWorker, const ModelRun& aRun) const;
  /**
   * @return Running members of the gang of a run; only the run itself for other
   *   steps.
   */
  std::vector<ModelRun> MembersOf(const ModelRun& aRun) const;
  bool IsGangComplete(const ModelRun& aRun) const;
  /** @return Whether all members of the gang of a run have done their work. */
  bool IsWorkDone(const ModelRun& aRun) const;
  void CheckStart(const ModelWorker& aWorker,
                  const scheduling::StartCommand& aCommand,
                  const scheduling::Resources& aCapacity);
  void RecordViolation(const std::string& aText);
  void RestartWorker(ModelWorker& aWorker, std::uint64_t aIncarnation);
  /** Executes the crash of a run that a worker has just started. */
  void StartDeadlyRun(ModelWorker& aWorker, const scheduling::TaskId& aTask);
  void CrashUnder(std::size_t aWorker,
                  const scheduling::TaskId& aTask,
                  std::uint64_t aIncarnation);

  // Work conservation.
  /** Excludes the time from now to the end of the grace time from the check. */
  void RecordFault() { mLastFaultAt = mNow; }
  bool IsFaultInForce() const;
  void CheckWorkConservation();
  void CheckLastingTasks();
  bool CouldRun(const scheduling::TaskJob& aJob) const;
  bool IsStepReady(const scheduling::TaskJob& aJob, std::size_t aStep) const;
  bool HasCapacityTwice(const scheduling::TaskJob& aJob,
                        std::size_t aStep) const;
  bool IsMostCapacityFree() const;
  scheduling::Resources UsedOn(const ModelWorker& aWorker) const;
  bool Chance(double aShare);

  FleetModelOptions mOptions;
  std::mt19937_64 mRandom;
  milliseconds mNow{ 1'000 };
  std::vector<Event> mEvents;
  std::vector<ModelWorker> mWorkers;
  std::map<std::string, scheduling::TaskJob> mJobs;
  std::map<std::string, milliseconds> mRunTimes;
  std::map<std::string, int> mFailures;
  /** Time from the start to the crash of the worker, by task. */
  std::map<scheduling::TaskId, milliseconds> mDeadly;
  std::map<scheduling::TaskId, int> mCrashes;
  /** Starts of a task under which kMaxCrashes workers have crashed. */
  std::map<scheduling::TaskId, int> mStartsAfterCrashes;
  std::set<std::string> mCancelled;
  std::map<std::string, JobOutcome> mOutcomes;
  /** Records in the simulated store. */
  std::map<std::string, scheduling::JobProgress> mRecords;
  /** Tasks whose completion is recorded. */
  std::set<scheduling::TaskId> mDoneTasks;
  std::map<scheduling::TaskId, milliseconds> mLastStarts;
  std::map<scheduling::TaskId, int> mFailedRuns;
  /**
   * When a run of each task completed first, whether or not the owner knows it.
   */
  std::map<scheduling::TaskId, milliseconds> mCompletedTasks;
  milliseconds mLastFaultAt{ 0 };
  /** Time since which a job waits although capacity is free. */
  std::map<std::string, milliseconds> mIdleSince;
  /** Time since which a task that lasts is down although it has capacity. */
  std::map<scheduling::TaskId, milliseconds> mDownSince;
  scheduling::Catalog mCatalog;
  scheduling::Evacuations mEvacuations;
  std::optional<scheduling::Scheduler> mOwner;
  std::uint64_t mEpoch = 0;
  std::uint64_t mCalls = 0;
  /** No two incarnations have the same number. */
  std::uint64_t mHighestIncarnation;
  std::uint64_t mLowestIncarnation;
  bool mWriting = false;
  bool mStoreUp = true;
  int mStartsToDelay = 0;
  int mStartRepliesToLose = 0;
  std::size_t mStarts = 0;
  std::size_t mStops = 0;
  std::size_t mRejectedStarts = 0;
  double mWastedWork = 0.0;
  std::vector<std::string> mViolations;
  std::vector<scheduling::SchedulerEvent> mOwnerEvents;
};

/** @return A job with one step. */
scheduling::TaskJob
MakeJob(const std::string& aId,
        const scheduling::StepSpecValues& aStep,
        int aPriority,
        int aAttempts = 2);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_MODEL_H
