#ifndef CORNELRUDDER_COORDINATION_PLACEMENT_TASK_IMPL_H
#define CORNELRUDDER_COORDINATION_PLACEMENT_TASK_IMPL_H

#include "cornelrudder/coordination/PlacementTask.h"

#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/FleetHealth.h"
#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/JobQueue.h"
#include "cornelrudder/state/scheduling/Evacuations.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace cornelrudder::coordination {

using state::FailureReason;
using state::Gang;
using state::GangCommand;
using state::GangCommandKind;
using state::GangEvent;
using state::GangEventKind;
using state::GangPhase;
using state::GangStep;
using state::Job;
using state::JobCommand;
using state::JobCommandKind;
using state::JobId;
using state::JobReply;
using state::JobSpec;
using state::StoreResult;
using state::StoreStatus;
using state::VmId;
using state::WasRun;
using state::WorkerAction;
using std::chrono::milliseconds;

using JobPromise = caf::typed_response_promise<JobReply>;

/**
 * The actor started by SpawnPlacementTask(). Its member functions are spread
 * over several files by subject: callers' commands, gangs, job rows, domain
 * ownership, timers and the job queue.
 */
class PlacementTask : public caf::event_based_actor
{
public:
  PlacementTask(caf::actor_config& aConfig,
                caf::actor aStore,
                PlacementPorts aPorts,
                WriteIdGenerator aWriteIds,
                PlacementTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mStore(std::move(aStore))
    , mPorts(aPorts)
    , mWriteIds(std::move(aWriteIds))
    , mOptions(std::move(aOptions))
    , mLease(mOptions.mRegion, 0, milliseconds(0))
  {
  }

  caf::behavior make_behavior() override
  {
    delayed_send(this, mOptions.mTickInterval, Tick{});
    return {
      [this](const JobCommand& aCommand) {
        auto promise = make_response_promise<JobReply>();
        HandleCommand(aCommand, promise);
        RunDeferredWork();
        return promise;
      },
      [this](const WorkerCallCompleted& aCompleted) {
        HandleWorkerReply(aCompleted);
        RunDeferredWork();
      },
      // Ignored: the lease alone decides which daemon places jobs.
      [](const ActiveDaemonsView&) {},
      [this](const state::VmList& aVms) {
        ApplyVms(aVms);
        RunDeferredWork();
      },
      [this](const state::SettingsSnapshot& aSettings) {
        ApplySettings(aSettings);
        RunDeferredWork();
      },
      [this](const DomainOwner& aOwner) {
        ApplyOwner(aOwner);
        RunDeferredWork();
      },
      [this](const Tick&) {
        delayed_send(this, mOptions.mTickInterval, Tick{});
        OnTick();
        RunDeferredWork();
      },
      [this](const GetCounters&) { return CurrentCounters(); },
    };
  }

private:
  /** Next action on a job's row, due at Entry::mRowStepAt. */
  enum class RowStep
  {
    kNone,
    kWrite,
    kRead
  };

  /** A caller whose reply is sent once the job's row is written. */
  struct Waiter
  {
    JobPromise mPromise;
    milliseconds mDeadline;
  };

  /** A job that has not reached a final state. */
  struct Entry
  {
    explicit Entry(Gang aGang)
      : mGang(std::move(aGang))
    {
    }

    Gang mGang;
    /** Version of the job's row as last read or written. */
    std::uint64_t mRowVersion = 0;
    /**
     * A write without a known outcome. Retries send the identical transaction,
     * so that it takes effect at most once.
     */
    std::optional<state::Transaction> mPendingWrite;
    RowStep mRowStep = RowStep::kNone;
    milliseconds mRowStepAt{ 0 };
    /** Whether a write of the row had an unknown outcome. */
    bool mWriteMayHaveApplied = false;
    std::vector<Waiter> mSubmitWaiters;
    std::vector<Waiter> mCancelWaiters;
    std::string mExplanation;
    std::string mWaitReason;
    /** Workers that made an attempt fail, for any cause. */
    std::set<VmId> mAvoidedWorkers;
    /** Workers on which the job's own task failed. */
    std::set<VmId> mWorkersWithTaskFailure;
    int mTaskFailures = 0;
    int mRequeues = 0;
    milliseconds mRetryNotBefore{ 0 };
    milliseconds mPlacedAt{ 0 };
  };

  using Handler = void (PlacementTask::*)(const JobCommand&, JobPromise&);

  struct CommandRow
  {
    JobCommandKind mKind;
    Handler mHandler;
  };

  static const std::array<CommandRow, 5> kCommands;

  milliseconds Now() const { return mPorts.mClock.Now(); }

  bool HoldsLease() const { return mLease.HeldAt(Now()); }

  std::string KeyOf(const JobId& aJob) const
  {
    return "job/" + mOptions.mRegion.Text() + "/" + aJob.Text();
  }

  // Callers' commands

  void HandleCommand(const JobCommand& aCommand, JobPromise& aPromise);

  static void ReplyWithFailure(JobPromise& aPromise,
                               FailureReason aReason,
                               WasRun aRan,
                               std::string aDetail);

  static void ReplyWithJob(JobPromise& aPromise,
                           Job aJob,
                           std::string aDetail = "");

  void Submit(const JobCommand& aCommand, JobPromise& aPromise);

  /** @return False, without a reply, if the submission is new. */
  bool ReplyToDuplicate(const JobSpec& aSpec, JobPromise& aPromise);

  /** @return The reason to reject the job, or kNone, and a detail. */
  std::pair<FailureReason, std::string> CheckSubmission(
    const JobSpec& aSpec) const;

  std::pair<FailureReason, std::string> CheckQuota(const JobSpec& aSpec) const;

  void Get(const JobCommand& aCommand, JobPromise& aPromise);

  void List(const JobCommand& /*aCommand*/, JobPromise& aPromise);

  void Cancel(const JobCommand& aCommand, JobPromise& aPromise);

  void Explain(const JobCommand& aCommand, JobPromise& aPromise);

  std::string ExplanationOf(const Job& aJob) const;

  std::optional<Job> FindJob(const JobId& aJob) const;

  static void ReplyJobNotFound(JobPromise& aPromise);

  // Gangs

  void HandleGangEvent(const JobId& aJob, const GangEvent& aEvent);

  /** Stores the gang's next state and executes the commands of the step. */
  void ApplyGangStep(const JobId& aJob, GangStep aStep);

  void ExecuteGangCommand(const JobId& aJob,
                          Entry& aEntry,
                          const GangCommand& aCommand);

  /**
   * Checks the lease again just before a side effect, because the process may
   * have been paused since the last check. If the lease has expired,
   * RunDeferredWork() calls OnLeaseLost() after the current message.
   */
  bool ConfirmOwnership();

  void SendToWorker(const Entry& aEntry, const GangCommand& aCommand);

  void HandleWorkerReply(const WorkerCallCompleted& aCompleted);

  void SetWorkerLeaving(const VmId& aWorker, bool aLeaving);

  /** Updates the worker's health after a success or a failure. */
  void RecordWorkerOutcome(const Gang& aGang,
                           const WorkerCallCompleted& aCompleted,
                           GangEventKind aKind);

  /** Logs the gang's new phase and starts the work that it requires. */
  void OnPhaseChanged(const JobId& aJob,
                      Entry& aEntry,
                      GangPhase aPreviousPhase);

  void OnSubmissionRecorded(const JobId& aJob, Entry& aEntry);

  void ReplyToCancelWaiters(Entry& aEntry);

  void Requeue(const JobId& aJob, Entry& aEntry);

  // Rows

  template<typename Message, typename ResultHandler>
  void AskStore(Message aMessage, ResultHandler aHandler)
  {
    request(mStore, caf::infinite, std::move(aMessage))
      .then(
        [this, aHandler](const StoreResult& aResult) {
          aHandler(aResult);
          RunDeferredWork();
        },
        [this, aHandler](const caf::error&) {
          aHandler(StoreResult(StoreStatus::kOutcomeUnknown, {}));
          RunDeferredWork();
        });
  }

  void WriteRow(const JobId& aJob, Entry& aEntry);

  void FinishWrite(const JobId& aJob,
                   const std::string& aWriteId,
                   const StoreResult& aResult);

  /**
   * Handles an attempt of a write that is known to have had no effect. A
   * submission fails unless an earlier attempt may have taken effect; any other
   * write is retried.
   */
  void OnWriteNotApplied(const JobId& aJob, Entry& aEntry);

  void OnRowWritten(const JobId& aJob, Entry& aEntry, std::uint64_t aVersion);

  void StartRowRead(const JobId& aJob, Entry& aEntry);

  void FinishRead(const JobId& aJob, Entry& aEntry, const StoreResult& aResult);

  /** Infers the outcome of the pending write from the current row. */
  void ResolvePendingWrite(const JobId& aJob,
                           Entry& aEntry,
                           const StoreResult& aResult);

  /**
   * Reloads a job from its row after a conflict with another owner, if this
   * daemon owns the lease.
   */
  void ReloadSupersededJob(const JobId& aJob,
                           Entry& aEntry,
                           const StoreResult& aResult);

  // Ownership

  void ApplyOwner(const DomainOwner& aOwner);

  /**
   * Stops acting as the owner. Gangs whose worker leases are being renewed
   * become kOrphaned: the renewals continue until another owner is known or a
   * worker rejects the epoch. All other jobs are dropped.
   */
  void OnLeaseLost();

  static void FailWaiters(std::vector<Waiter>& aWaiters);

  /** Reads all jobs of the domain after the lease was acquired. */
  void Recover();

  std::string KeyPrefix() const;

  void FinishRecovery(const StoreResult& aRows);

  bool KnowsClassesOf(const StoreResult& aRows) const;

  /** @return The job, or nothing if the row is malformed. */
  std::optional<Job> Decode(const state::StoreRow& aRow) const;

  void Adopt(const state::StoreRow& aRow);

  void IndexIdempotencyKey(const JobSpec& aSpec);

  void RemoveJob(const JobId& aJob);

  state::GangTiming TimingOf(const JobSpec& aSpec) const;

  // Timers

  void OnTick();

  void TickEntry(const JobId& aJob, Entry& aEntry, milliseconds aNow);

  static void ExpireWaiters(std::vector<Waiter>& aWaiters, milliseconds aNow);

  /** Runs the work that message handlers have deferred. */
  void RunDeferredWork();

  void FinishJob(const JobId& aJob);

  // Job queue

  /** All workers of the region, including quarantined and leaving ones. */
  state::VmList RegionWorkers() const;

  bool IsEvacuated(const state::Vm& aWorker) const;

  /** The workers that are neither quarantined, leaving nor evacuated. */
  state::VmList SchedulableWorkers() const;

  std::vector<state::GuaranteedShape> Guarantees() const;

  const state::PlacementStrategy& Strategy() const;

  bool IsPreemptible(const JobSpec& aSpec) const;

  std::vector<state::PlacedGang> PlacedGangs() const;

  state::HeldAccelerators AcceleratorsInUse() const;

  std::map<state::OrganisationId, int> OrganisationWeights() const;

  /** Whether victims of the job's reclaim still occupy accelerators. */
  bool ReclaimPending(const JobId& aJob) const;

  std::vector<state::WaitingJob> WaitingJobs(milliseconds aNow) const;

  void RunQueue();

  void ApplyDecision(const state::QueueDecision& aDecision, milliseconds aNow);

  void Place(const JobId& aJob,
             const state::GangPlacement& aPlacement,
             const std::string& aReason,
             milliseconds aNow);

  void RecordWaitReason(const state::QueueDecision& aDecision,
                        const std::string& aPrefix);

  /** Preempts the victims; the job is placed once they have stopped. */
  void StartReclaim(const JobId& aJob,
                    const state::PlacementDecision& aDecision,
                    milliseconds aNow);

  /**
   * Places one waiting job on each quarantined worker that is due for a probe.
   * The job must be idempotent and need a single worker: a failing member
   * would fail a larger gang as a whole.
   */
  void ProbeQuarantinedWorkers(milliseconds aNow);

  void ApplyVms(const state::VmList& aVms);

  void ApplySettings(const state::SettingsSnapshot& aSettings);

  /**
   * Requeues the gangs that have a member in an evacuated zone and have not
   * been started.
   */
  void WithdrawEvacuatedGangs();

  /** @return The workers that evacuations exclude, for a wait reason. */
  std::string ExcludedWorkersText() const;

  Counters CurrentCounters() const;

  struct ReclaimPlan
  {
    state::GangPlacement mPlacement;
    std::vector<JobId> mVictims;
  };

  using SubmissionKey =
    std::tuple<state::OrganisationId, state::TeamId, std::string>;

  caf::actor mStore;
  PlacementPorts mPorts;
  WriteIdGenerator mWriteIds;
  PlacementTaskOptions mOptions;
  state::Lease mLease;
  /** Whether the domain's jobs were read under the current lease. */
  bool mRecovered = false;
  bool mRecovering = false;
  /** Time from which recovery no longer waits for all job classes. */
  milliseconds mRecoveryDeadline{ 0 };
  /** Whether the lease was found expired and OnLeaseLost() has not run yet. */
  bool mLeaseLossPending = false;
  bool mQueueRunDue = false;
  milliseconds mNextQueueRunAt{ 0 };
  milliseconds mQueueRunNotBefore{ 0 };
  state::VmList mVms;
  std::map<VmId, std::string> mWorkerAddresses;
  std::set<VmId> mLeavingWorkers;
  state::SettingsSnapshot mSettings;
  state::scheduling::Evacuations mEvacuations;
  state::FleetHealth mHealth;
  std::map<JobId, Entry> mJobs;
  std::map<JobId, Job> mFinalJobs;
  std::map<SubmissionKey, JobId> mJobsByKey;
  std::map<JobId, ReclaimPlan> mReclaims;
  std::vector<JobId> mNewlyFinalJobs;
  std::vector<std::pair<JobId, std::string>> mJobsToReject;
  Counters mCounters;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_PLACEMENT_TASK_IMPL_H
