#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_IMPL_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_IMPL_H

#include "SchedulerModel.h"
#include "WorkerEvidence.h"
#include "cornelrudder/state/scheduling/RunTimePredictor.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <array>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <tuple>

namespace cornelrudder::state::scheduling {

/**
 * Implementation of the scheduler, split into files by subject:
 * - SchedulerJobs: jobs, their records and the removal of terminated jobs.
 * - SchedulerWorkers: worker state, leases, commands and renewal replies.
 * - SchedulerRuns: state changes of runs.
 * - SchedulerHealth: suspected workers, and whether this owner reaches them.
 * - SchedulerDiagnostics: metrics and the report of stalled jobs.
 * - SchedulerExpectations: expected run times and the speeds of workers.
 * - SchedulerProgress: detection of stalled and slow runs.
 * - SchedulerCrashes: runs that were in progress when their worker crashed.
 * - SchedulerEvacuations: zones whose workers get no new runs.
 * - SchedulerPlan: the view passed to a policy, and the execution of decisions.
 */
class Scheduler::Impl
{
public:
  explicit Impl(SchedulerOptions aOptions);

  void ApplyCatalog(const Catalog& aCatalog);
  void ApplyEvacuations(const Evacuations& aEvacuations, Millis aNow);
  void AddJob(const TaskJob& aJob,
              Millis aAge,
              const JobProgress* aProgress,
              Millis aNow);
  void CancelJob(const std::string& aJob, Millis aNow);
  bool HasChanges() const
  {
    return HasUnwrittenJobs() || HasUnwrittenTerminations();
  }
  std::vector<JobProgress> BeginWrite(const WriteLimits& aLimits,
                                      const RecordSizer& aSizeOf);
  void FinishWrite(bool aStored);
  void HandleRejectedRecord(Millis aNow);
  std::vector<UnrecordedEnd> UnrecordedEnds() const;
  void RestoreUnrecordedEnds(const std::vector<UnrecordedEnd>& aEnds,
                             Millis aNow);
  std::vector<std::string> ExpiredJobs(Millis aNow, std::size_t aMax) const;
  void RemoveExpiredJobs(std::size_t aCount);
  std::map<std::string, std::uint64_t> PendingJobs() const;
  std::uint64_t BytesOfJobs() const { return mJobBytes + mDeferredBytes; }
  JobMemory MemoryOfJobs() const;
  bool IsIdle() const;
  std::map<std::string, std::uint64_t> Gauges() const;

  void UpdateWorker(const WorkerInfo& aInfo, Millis aNow);
  void RemoveWorker(const std::string& aWorker, Millis aNow);
  void HandleUnusableEntry(const std::string& aWorker);
  void ApplyStartReply(const StartCommand& aCommand,
                       const CommandReply& aReply,
                       Millis aNow);
  void ApplyStopReply(const StopCommand& aCommand,
                      const CommandReply& aReply,
                      Millis aNow);
  void ApplyRenewReply(const RenewCommand& aCommand,
                       const RenewReply& aReply,
                       Millis aSentAt,
                       Millis aNow);
  std::map<std::string, Millis> WithholdLeases(Millis aNow);
  WorkerCommands CollectCommands(Millis aNow, Millis aStartsUntil);
  bool IsFenced() const { return mFenced; }
  OwnerReachability Reachability(Millis aNow) const;
  TakeoverSummary Inherited(Millis aNow) const;
  std::vector<LeaseExtension> LeaseExtensions() const;

  void Plan(Millis aNow, Millis aWallClock);

  std::vector<SchedulerEvent> TakeEvents() { return std::move(mEvents); }

private:
  using EventFields = std::vector<std::pair<std::string, std::string>>;

  /**
   * Maps positions of workers and keys of units in a planning view to worker
   * identifiers and tasks.
   */
  struct ViewKeys
  {
    std::vector<std::string> mWorkers;
    std::map<std::string, std::size_t> mPositions;
    /** Tasks by key of the running or waiting unit. */
    std::vector<std::vector<TaskKey>> mRunning;
    std::vector<std::vector<TaskKey>> mWaiting;
  };

  /** A step of an occurrence that is due and ready and has waiting tasks. */
  struct WaitingStep
  {
    const JobState* mJob;
    std::size_t mFirst;
    std::vector<std::size_t> mTasks;
    bool mHasRunningPeers;

    /** @return Number of units that the step asks for. */
    std::size_t Units() const
    {
      return mJob->StepOf(mFirst).IsGang() ? 1 : mTasks.size();
    }
  };

  /** Why and since when a unit waits. */
  struct WaitState
  {
    /** Last reason; kept to log only changes. */
    PlanReason mReason;
    Millis mSince;
  };

  /** Priority, local time of the submission and identifier of a job. */
  using DeferralKey = std::tuple<int, Millis, std::string>;

  /** Progress of the runs of one step. */
  struct StepProgress
  {
    /** When the last member of a gang started to run; 0 for other steps. */
    Millis mStartedAt{ 0 };
    /**
     * Median progress of the step's runs in percent per second; 0 with fewer
     * than kMinRateSamples runs of known rate.
     */
    double mMedianRate = 0.0;
  };

  /** Expectation for the waiting tasks of one step. */
  struct StepExpectation
  {
    RunTimeEstimate mRunTime;
    /** Expected time of the longest chain of all steps of the job. */
    Millis mCriticalPath{ 0 };
    /** The same for the chains that begin with this step. */
    Millis mRemaining{ 0 };
  };

  void RecordEvent(SchedulerEvent::Kind aKind, EventFields aFields)
  {
    mEvents.push_back({ aKind, std::move(aFields) });
  }

  // Jobs and records.
  JobState* FindJob(const std::string& aJob);
  JobState& Insert(const TaskJob& aJob,
                   Millis aSubmittedAt,
                   const JobProgress* aProgress);
  bool HasRoomFor(const TaskJob& aJob) const;
  std::map<DeferralKey, TaskJob>::iterator FindDeferred(
    const std::string& aJob);
  void AdmitDeferred();
  void Admit(std::map<DeferralKey, TaskJob>::iterator aDeferred);
  void Restore(JobState& aJob, const JobProgress& aProgress, Millis aNow);
  void UpdateRestoredPhase(JobState& aJob, Millis aNow);
  void MarkChanged(JobState& aJob);
  void MarkChanged(JobState& aJob, std::size_t aTask);
  void MarkAllChanged(JobState& aJob);
  bool ShrinkRecord(JobState& aJob, std::size_t aFirst);
  void NoteUnrecordedEnds(WorkerState& aWorker,
                          const std::vector<TerminatedRun>& aTerminated);
  void ForgetRecordedJob(const std::string& aJob);
  void RestoreChanges(const std::string& aJob,
                      const std::set<std::size_t>& aRows);
  void RetryJobsSetAside(Millis aNow);
  void BeginRoundIfDue();
  bool HasUnwrittenJobs() const { return !mDirty.empty() || !mRound.empty(); }
  void UpdatePhase(JobState& aJob, Millis aNow);
  /** @param aCause What ended the job, for the log. */
  void TerminateJob(JobState& aJob,
                    JobPhase aPhase,
                    Millis aNow,
                    const EventFields& aCause = {});
  void RemoveIfTerminated(const std::string& aJob);
  bool HasUnwrittenTerminations() const;

  // Runs.
  void Assign(JobState& aJob,
              std::size_t aTask,
              WorkerState& aWorker,
              std::uint64_t aRun);
  void ReplaceCheckpoint(Task& aTask, const std::string& aCheckpoint);
  void SetCheckpoint(Task& aTask, const std::string& aCheckpoint);
  void RecordStart(JobState& aJob, Millis aNow);
  void Unassign(JobState& aJob, std::size_t aTask);
  void Requeue(JobState& aJob, std::size_t aTask, Millis aNow);
  void FinishTask(JobState& aJob, std::size_t aTask, Millis aNow);
  void CompleteEarlier(JobState& aJob, std::size_t aTask, Millis aNow);
  void HandleTermination(JobState& aJob,
                         std::size_t aTask,
                         TerminationReason aReason,
                         const std::string& aCheckpoint,
                         Millis aNow);
  void FailRun(JobState& aJob, std::size_t aTask, Millis aNow);
  void CountFailure(JobState& aJob,
                    std::size_t aTask,
                    std::uint64_t aRun,
                    Millis aNow);
  void HandleLostRun(const TaskKey& aKey,
                     const char* aReason,
                     LossBasis aBasis,
                     Millis aNow,
                     const EventFields& aDetails = {});
  std::string OrderedBy(const Task& aTask) const;
  /**
   * @return Whether an earlier owner may start the run of a task at a time. Its
   *   worker rejects that only until the next restart.
   */
  bool MayEarlierOwnerStart(const Task& aTask, Millis aAt) const
  {
    return aTask.mIsInherited && aAt < mOptions.mLastEarlierStartAt;
  }
  void RequestStop(JobState& aJob,
                   std::size_t aTask,
                   LossCause aCause,
                   Millis aNow);
  void StopAll(JobState& aJob, Millis aNow);
  void StopGang(JobState& aJob,
                std::size_t aTask,
                LossCause aCause,
                Millis aNow);
  double CountLoss(const JobState& aJob,
                   const Task& aTask,
                   LossCause aCause,
                   Millis aNow);

  // Workers.
  WorkerState& FindOrAddWorker(const std::string& aId, Millis aNow);
  void HandleLostWorker(WorkerState& aWorker,
                        const char* aReason,
                        const LossSource& aSource,
                        Millis aNow);
  void RecordWorkerGone(const WorkerState& aWorker,
                        const char* aReason,
                        const LossSource& aSource,
                        Millis aNow);
  void HandleRestart(WorkerState& aWorker,
                     const LossSource& aSource,
                     Millis aNow);
  void WithdrawPlannedRuns(WorkerState& aWorker, Millis aNow);
  void ExpireUnresponsiveWorkers(Millis aNow);
  bool CanOnlyBeDeregistered(const WorkerState& aWorker, Millis aNow) const;
  static WorkerEvidence EvidenceOfAbsence(const WorkerState& aWorker);
  void EndRunsIfProven(WorkerState& aWorker,
                       WorkerEvidence aEvidence,
                       Millis aNow);
  void RemoveUnlistedWorkers();
  void MarkUnlisted(WorkerState& aWorker);
  void RemoveFromAddressIndex(const WorkerState& aWorker);
  void QueryWorkersOnce(Millis aNow);
  void QueryIdleWorkers(Millis aNow);
  void UpdateClock(WorkerState& aWorker, Millis aClock, Millis aNow);
  void RecordReply(WorkerState& aWorker, Millis aNow);
  void RecordMissedReply(WorkerState& aWorker,
                         const std::string& aDetail,
                         Millis aNow);
  void RecordFailure(WorkerState& aWorker, const JobState& aJob, Millis aNow);
  Millis ExtendLease(WorkerState& aWorker, Millis aNow);
  static bool IsOutdated(const WorkerState& aWorker,
                         const RenewReply& aReply,
                         Millis aSentAt);
  void ApplyTermination(WorkerState& aWorker,
                        const TerminatedRun& aRun,
                        Millis aNow);
  void ApplyEarlierTermination(const WorkerState& aWorker,
                               const TerminatedRun& aRun,
                               JobState& aJob,
                               std::size_t aTask,
                               Millis aNow);
  void ApplyRunning(WorkerState& aWorker,
                    const RunningRun& aRun,
                    std::uint64_t aIncarnation,
                    Millis aNow);
  void HandleUnlistedRuns(WorkerState& aWorker,
                          const std::set<TaskKey>& aListed,
                          Millis aSentAt,
                          Millis aNow);
  /** @return Whether a worker is known to accept work, suspected or not. */
  static bool IsUsable(const WorkerState& aWorker, Millis aNow);
  /** @return Time after its last failure that a worker is suspected. */
  Millis SuspectTime(Millis aNow) const;
  static bool IsSchedulable(const WorkerState& aWorker,
                            Millis aSuspectTime,
                            Millis aNow);
  /** @return Whether a suspected or slow worker may be tried again. */
  static bool IsRetryable(const WorkerState& aWorker, Millis aNow);
  void CollectRunCommands(WorkerCommands& aCommands,
                          Millis aNow,
                          Millis aStartsUntil);
  void CollectRunCommand(const TaskKey& aKey,
                         WorkerState& aWorker,
                         WorkerCommands& aCommands,
                         Millis aNow,
                         Millis aStartsUntil);
  bool HasUrgentRun(const WorkerState& aWorker) const;
  void CollectRenewCommands(WorkerCommands& aCommands, Millis aNow);

  // Evacuations.
  void RecordEvacuation(const std::string& aZone, std::size_t aWithdrawn);
  std::map<std::string, std::size_t> WithdrawEvacuatedRuns(Millis aNow);
  bool IsPlanned(const TaskKey& aKey) const;

  // Crashes.
  bool HandleReplacedWorker(WorkerState& aWorker,
                            const WorkerTarget& aTarget,
                            Millis aNow);
  void HandleExpiredWorker(WorkerState& aWorker, Millis aNow);
  void HandleUnlistedRun(const WorkerState& aWorker,
                         const TaskKey& aKey,
                         const char* aReason,
                         Millis aSentAt,
                         Millis aNow);
  std::vector<CrashedRun> AssessCrash(const WorkerState& aWorker, Millis aNow);
  WorkerCrash CrashOf(const WorkerState& aWorker, Millis aNow) const;
  void NoteCrash(const WorkerCrash& aCrash);
  bool IsObserved(const WorkerState& aWorker) const;
  void ObserveWorkers(Millis aNow);
  const std::vector<WorkerCrash>& PendingCrashes(Millis aNow);
  std::int64_t ExpectedCrashes(const CrashSpan& aSpan,
                               double aOthersChance,
                               const std::vector<WorkerCrash>& aPending) const;
  void UpdateEvidence(JobState& aJob, std::size_t aCountedTask, Millis aNow);
  void MarkRecoveredCrashes(const WorkerState& aWorker, Millis aNow);
  void CountPresumedCrashes(const WorkerInfo& aPresent, Millis aNow);
  void CountCrash(const CrashedRun& aRun,
                  const std::string& aWorker,
                  const char* aEvidence,
                  Millis aNow);
  static bool IsSuspectRun(const JobState& aJob, std::size_t aTask);
  static Isolation IsolationOf(const JobState& aJob, std::size_t aTask);
  void LimitIsolatedUnits(PlanningView& aView,
                          const ViewKeys& aKeys,
                          Millis aNow);
  void ResetCrashCount(JobState& aJob, std::size_t aTask, Millis aNow);

  // Expectations.
  static RunTimeFeatures FeaturesOf(const JobState& aJob, std::size_t aStep);
  RunTimeEstimate Expect(const JobState& aJob, std::size_t aTask) const;
  StepExpectation ExpectStep(const JobState& aJob,
                             std::size_t aFirst,
                             Millis aNow) const;
  double SpeedOf(const std::string& aWorker) const;
  double SpeedOfRun(const JobState& aJob, std::size_t aTask) const;
  void RecordRun(JobState& aJob, std::size_t aTask, Millis aTime);
  void RecordUnfinishedRun(JobState& aJob, std::size_t aTask);
  void NoteSpeed(WorkerState& aWorker, Task& aTask, double aShare);

  // Progress.
  void CheckProgress(Millis aNow);
  void CheckStepProgress(JobState& aJob,
                         std::size_t aFirst,
                         std::size_t aEnd,
                         Millis aNow);
  void CheckRunProgress(JobState& aJob,
                        std::size_t aTask,
                        const StepProgress& aStep,
                        Millis aNow);
  bool IsEndingSoon(const JobState& aJob, std::size_t aTask, Millis aNow) const;
  bool CannotFinishBeforeShutdown(const JobState& aJob,
                                  std::size_t aTask,
                                  const WorkerState& aWorker,
                                  Millis aStartedAt,
                                  Millis aNow) const;
  void MoveRun(JobState& aJob,
               std::size_t aTask,
               LossCause aCause,
               Millis aNow);

  // Diagnostics.
  std::array<std::size_t, kWorkerConditions> CountConditions(Millis aNow) const;
  std::optional<std::size_t> FirstReadyTask(const JobState& aJob,
                                            Millis aNow) const;
  std::vector<std::size_t> UnresponsiveTasks(const JobState& aJob) const;
  std::optional<std::size_t> FirstStalledTask(const JobState& aJob,
                                              Millis aNow) const;
  void ReportStalledJobs(Millis aNow);

  // Planning.
  PlanningView BuildView(ViewKeys& aKeys, Millis aNow);
  void AddWorkers(PlanningView& aView, ViewKeys& aKeys, Millis aNow) const;
  void AddRunning(PlanningView& aView, ViewKeys& aKeys, Millis aNow) const;
  void CollectWaiting(std::vector<WaitingStep>& aSteps,
                      std::span<const WorkerView> aWorkers,
                      const JobState& aJob,
                      Millis aNow) const;
  std::vector<std::size_t> WaitingTasks(const JobState& aJob,
                                        std::size_t aFirst,
                                        std::span<const WorkerView> aWorkers,
                                        Millis aNow) const;
  bool IsPlannedLikePeers(const JobState& aJob, std::size_t aTask) const;
  void AddWaitingStep(PlanningView& aView,
                      ViewKeys& aKeys,
                      const WaitingStep& aStep,
                      std::size_t aShare,
                      Millis aNow) const;
  WaitingUnit MakeUnit(const JobState& aJob,
                       const std::vector<TaskKey>& aTasks,
                       const StepExpectation& aExpectation,
                       const ViewKeys& aKeys,
                       Millis aNow) const;
  void Apply(const PlanDecision& aDecision, const ViewKeys& aKeys, Millis aNow);
  std::int64_t GuaranteeOf(const std::string& aOrganisation) const;
  std::set<OccurrenceKey> GuaranteedOccurrences(Millis aNow) const;
  Millis DueSince(const JobState& aJob, std::size_t aOccurrence) const;
  bool IsDue(const JobState& aJob, std::size_t aOccurrence, Millis aNow) const;
  Millis WorkedTime(const JobState& aJob, std::size_t aTask, Millis aNow) const;
  double LostCoreSeconds(const JobState& aJob,
                         const Task& aTask,
                         Millis aNow) const;

  SchedulerOptions mOptions;
  std::unique_ptr<PlacementPolicy> mPolicy;
  std::map<std::string, std::int64_t> mGuarantees;
  Evacuations mEvacuations;
  std::map<std::string, JobState> mJobs;
  /** Memory of mJobs by JobBytes(). */
  std::uint64_t mJobBytes = 0;
  /** Jobs held back, in the sequence in which they are admitted. */
  std::map<DeferralKey, TaskJob> mDeferred;
  std::uint64_t mDeferredBytes = 0;
  /**
   * Terminated jobs, kept so that a late duplicate submission cannot add one
   * again.
   */
  std::set<std::string> mTerminatedJobs;
  /**
   * Terminated jobs, oldest first, with the value of mPlannedAt when this owner
   * removed them from mJobs.
   */
  std::deque<std::pair<Millis, std::string>> mTerminatedJobsByTime;
  /**
   * Time of the last planning pass or added job, used where the current time is
   * not passed.
   */
  Millis mPlannedAt{ 0 };
  std::map<std::string, WorkerState> mWorkers;
  /**
   * Workers by address, and those that may be unlisted: an update of one worker
   * or a reply of it must not cost a scan of the fleet.
   */
  std::map<std::string, std::set<std::string>> mWorkersByAddress;
  std::set<std::string> mUnlistedWorkers;
  /**
   * Jobs with changes that no write contains yet. The writes take them from
   * mRound; when it is empty, mDirty becomes the next round. Writes that cannot
   * contain all changed jobs therefore delay no job for ever.
   */
  std::set<std::string> mDirty;
  std::set<std::string> mRound;
  /** Jobs and parts of their records in the pending write. */
  std::map<std::string, std::set<std::size_t>> mWriting;
  /** Jobs whose records the store rejected; see JobState::mSetAsideUntil. */
  std::set<std::string> mSetAside;
  /** Jobs whose record was rejected and is not stored completely since. */
  std::set<std::string> mRejectedJobs;
  /**
   * Terminations of these jobs, and the number of the write that contains each
   * of them; 0 before that write.
   */
  std::map<UnrecordedEnd, std::uint64_t> mUnrecordedEnds;
  /** Numbers of the last started write and of the last stored one. */
  std::uint64_t mWrites = 0;
  std::uint64_t mStoredWrites = 0;
  std::unique_ptr<RunTimePredictor> mRunTimes;
  /** Occurrences covered by a guarantee, as of the last planning pass. */
  std::set<OccurrenceKey> mGuaranteed;
  /** Time since 1970 less the local time, as of the last planning pass. */
  Millis mWallClockOffset{ 0 };
  /**
   * Workers on which runs were preempted for a waiting unit, by its first task.
   */
  std::map<TaskKey, std::vector<std::string>> mNominations;
  /** Number of waiting units in the last planning pass. */
  std::size_t mPlannedUnits = 0;
  /** Units that wait, by their first task. */
  std::map<TaskKey, WaitState> mWaits;
  CrashRate mCrashRate;
  /** See PendingCrashes(). */
  std::vector<WorkerCrash> mPendingCrashes;
  Millis mPendingCrashesAt{ -1 };
  /** By address, since a restarted worker may have another identifier. */
  std::map<std::string, PresumedCrash> mPresumedCrashes;
  Millis mNextProgressCheck{ 0 };
  Millis mNextStallReport{ 0 };
  Millis mNextFirstQuery{ 0 };
  Millis mNextIdleQuery{ 0 };
  /** Stops for runs that workers report but that are no longer assigned. */
  std::vector<StopCommand> mOrphanStops;
  std::vector<SchedulerEvent> mEvents;
  /** Core seconds of lost work, by LossCause. */
  std::array<double, kLossCauses> mLostWork{};
  /** Jobs that this owner ended as failed after failed runs, or crashes. */
  std::uint64_t mJobsOutOfAttempts = 0;
  std::uint64_t mJobsCrashingWorkers = 0;
  /** Number of lost runs, by LossBasis. */
  std::array<std::uint64_t, kLossBases> mLostRunsByBasis{};
  bool mFenced = false;
  /** Length of the checkpoints of all tasks. */
  std::size_t mCheckpointBytes = 0;
  bool mIsCheckpointLimitReached = false;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_SCHEDULER_IMPL_H
