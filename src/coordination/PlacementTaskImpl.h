#ifndef CORNELRUDDER_COORDINATION_PLACEMENT_TASK_IMPL_H
#define CORNELRUDDER_COORDINATION_PLACEMENT_TASK_IMPL_H

#include "cornelrudder/coordination/PlacementTask.h"

#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/FleetHealth.h"
#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/JobQueue.h"

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
 * The task behind SpawnPlacementTask(). Its parts are in files of their own:
 * commands of callers, gangs, rows, ownership, time and placement.
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
        Serve(aCommand, promise);
        Settle();
        return promise;
      },
      [this](const WorkerCallCompleted& aReported) {
        ApplyReport(aReported);
        Settle();
      },
      // The other daemons do not matter here; leases decide who acts.
      [](const ActiveDaemonsView&) {},
      [this](const state::VmList& aVms) {
        ApplyVms(aVms);
        Settle();
      },
      [this](const state::SettingsSnapshot& aSettings) {
        mSettings = aSettings;
        mQueueDue = true;
        Recover();
        Settle();
      },
      [this](const DomainOwner& aOwner) {
        ApplyOwner(aOwner);
        Settle();
      },
      [this](const Tick&) {
        delayed_send(this, mOptions.mTickInterval, Tick{});
        OnTick();
        Settle();
      },
      [this](const GetCounters&) { return CurrentCounters(); },
    };
  }

private:
  enum class RowStep
  {
    kNone,
    kWrite,
    kRead
  };

  /** A caller that waits until a row is written. */
  struct Waiter
  {
    JobPromise mPromise;
    milliseconds mDeadline;
  };

  /** A job that has not ended. */
  struct Entry
  {
    explicit Entry(Gang aGang)
      : mGang(std::move(aGang))
    {
    }

    Gang mGang;
    /** Version of the row that the gang was read from or written to. */
    std::uint64_t mVersion = 0;
    /** A write whose outcome is not known yet; repeated as it is. */
    std::optional<state::Transaction> mPending;
    RowStep mRowStep = RowStep::kNone;
    milliseconds mRowDue{ 0 };
    /** Whether a write of the row may have taken effect unnoticed. */
    bool mUncertain = false;
    std::vector<Waiter> mSubmitters;
    std::vector<Waiter> mCancellers;
    std::string mExplanation;
    std::string mWaitReason;
    /** Workers on which an attempt ended, and those where the task failed. */
    std::set<VmId> mAvoided;
    std::set<VmId> mFailedOn;
    int mTaskFailures = 0;
    int mRequeues = 0;
    milliseconds mNotBefore{ 0 };
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

  // Commands of callers

  void Serve(const JobCommand& aCommand, JobPromise& aPromise);

  static void Refuse(JobPromise& aPromise,
                     FailureReason aReason,
                     WasRun aRan,
                     std::string aDetail);

  static void Answer(JobPromise& aPromise, Job aJob, std::string aDetail = "");

  void Submit(const JobCommand& aCommand, JobPromise& aPromise);

  /** Answers a submission that repeats an earlier one. */
  bool AnswerRepeated(const JobSpec& aSpec, JobPromise& aPromise);

  /** @return Why a job cannot be accepted, or kNone. */
  std::pair<FailureReason, std::string> CheckSubmission(
    const JobSpec& aSpec) const;

  std::pair<FailureReason, std::string> CheckQuota(const JobSpec& aSpec) const;

  void Get(const JobCommand& aCommand, JobPromise& aPromise);

  void List(const JobCommand& /*aCommand*/, JobPromise& aPromise);

  void Cancel(const JobCommand& aCommand, JobPromise& aPromise);

  void Explain(const JobCommand& aCommand, JobPromise& aPromise);

  std::string ExplanationOf(const Job& aJob) const;

  std::optional<Job> FindJob(const JobId& aJob) const;

  static void AnswerUnknown(JobPromise& aPromise);

  // Gangs

  void Handle(const JobId& aJob, const GangEvent& aEvent);

  /** Takes the next value of a gang and carries out its commands. */
  void Apply(const JobId& aJob, GangStep aStep);

  void Run(const JobId& aJob, Entry& aEntry, const GangCommand& aCommand);

  /**
   * Checks ownership just before an effect, since the process may have been
   * paused. A lapse is dealt with after the current message.
   */
  bool MayAct();

  void SendToWorker(const Entry& aEntry, const GangCommand& aCommand);

  void ApplyReport(const WorkerCallCompleted& aReported);

  void SetLeaving(const VmId& aWorker, bool aLeaving);

  /** Notes whether a worker did what it was asked. */
  void RecordOutcome(const Gang& aGang,
                     const WorkerCallCompleted& aReported,
                     GangEventKind aKind);

  /** Follows a gang into another phase. */
  void OnPhase(const JobId& aJob, Entry& aEntry, GangPhase aBefore);

  void Accept(const JobId& aJob, Entry& aEntry);

  void AnswerCancellers(Entry& aEntry);

  void Requeue(const JobId& aJob, Entry& aEntry);

  // Rows

  template<typename Message, typename ResultHandler>
  void AskStore(Message aMessage, ResultHandler aHandler)
  {
    request(mStore, caf::infinite, std::move(aMessage))
      .then(
        [this, aHandler](const StoreResult& aResult) {
          aHandler(aResult);
          Settle();
        },
        [this, aHandler](const caf::error&) {
          aHandler(StoreResult(StoreStatus::kOutcomeUnknown, {}));
          Settle();
        });
  }

  void WriteRow(const JobId& aJob, Entry& aEntry);

  void FinishWrite(const JobId& aJob,
                   const std::string& aWriteId,
                   const StoreResult& aResult);

  /** The write certainly had no effect. */
  void WriteFailed(const JobId& aJob, Entry& aEntry);

  void RowWritten(const JobId& aJob, Entry& aEntry, std::uint64_t aVersion);

  void ReadRowOf(const JobId& aJob, Entry& aEntry);

  void FinishRead(const JobId& aJob, Entry& aEntry, const StoreResult& aResult);

  /** Decides by the current row what became of the pending write. */
  void Compare(const JobId& aJob, Entry& aEntry, const StoreResult& aResult);

  /** Takes a job over again after another owner's write was seen. */
  void Reload(const JobId& aJob, Entry& aEntry, const StoreResult& aResult);

  // Ownership

  void ApplyOwner(const DomainOwner& aOwner);

  /** Stops acting as the owner; leases of members are still renewed. */
  void Lapse();

  static void AnswerLapsed(std::vector<Waiter>& aWaiters);

  /** Reads all jobs of the domain after the lease was gained. */
  void Recover();

  std::string KeyPrefix() const;

  void FinishRecovery(const StoreResult& aRows);

  bool KnowsClassesOf(const StoreResult& aRows) const;

  /** @return The job, or nothing if the row is malformed. */
  std::optional<Job> Decode(const state::StoreRow& aRow) const;

  void Adopt(const state::StoreRow& aRow);

  void RememberKey(const JobSpec& aSpec);

  void Forget(const JobId& aJob);

  state::GangTiming TimingOf(const JobSpec& aSpec) const;

  // Time

  void OnTick();

  void TickEntry(const JobId& aJob, Entry& aEntry, milliseconds aNow);

  static void ExpireWaiters(std::vector<Waiter>& aWaiters, milliseconds aNow);

  /** Does what the handling of a message left to do. */
  void Settle();

  void End(const JobId& aJob);

  // Placement

  /** All workers of the region, also those that get no work now. */
  state::VmList Fleet() const;

  /** The workers that may get new work. */
  state::VmList Usable() const;

  std::vector<state::GuaranteedShape> Guarantees() const;

  const state::PlacementStrategy& Strategy() const;

  bool IsPreemptible(const JobSpec& aSpec) const;

  std::vector<state::PlacedGang> HeldGangs() const;

  state::HeldAccelerators Held() const;

  std::map<state::OrganisationId, int> Weights() const;

  /** Whether victims of a reclaim still hold accelerators. */
  bool ReclaimPending(const JobId& aJob) const;

  std::vector<state::WaitingJob> WaitingJobs(milliseconds aNow) const;

  void RunQueue();

  void Follow(const state::QueueDecision& aDecision, milliseconds aNow);

  void Place(const JobId& aJob,
             const state::GangPlacement& aPlacement,
             const std::string& aReason,
             milliseconds aNow);

  void Explain(const state::QueueDecision& aDecision,
               const std::string& aPrefix);

  /** Stops the victims; the job is placed once they hold nothing. */
  void Reclaim(const JobId& aJob,
               const state::PlacementDecision& aDecision,
               milliseconds aNow);

  /**
   * Gives a quarantined worker one idempotent job of a single worker, if one
   * waits; a larger gang would fail as a whole.
   */
  void Probe(milliseconds aNow);

  void ApplyVms(const state::VmList& aVms);

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
  /** Whether the domain's jobs are known under the current lease. */
  bool mRecovered = false;
  bool mRecovering = false;
  /** When recovery no longer waits for the classes of all jobs. */
  milliseconds mRecoverBy{ 0 };
  /** Whether an effect was held back because the lease had lapsed. */
  bool mLapsed = false;
  bool mQueueDue = false;
  milliseconds mQueueAt{ 0 };
  milliseconds mQueueNotBefore{ 0 };
  state::VmList mVms;
  std::map<VmId, std::string> mAddresses;
  std::set<VmId> mLeaving;
  state::SettingsSnapshot mSettings;
  state::FleetHealth mHealth;
  std::map<JobId, Entry> mJobs;
  std::map<JobId, Job> mEnded;
  std::map<SubmissionKey, JobId> mKeys;
  std::map<JobId, ReclaimPlan> mReclaims;
  std::vector<JobId> mFinished;
  std::vector<std::pair<JobId, std::string>> mRefusals;
  Counters mCounters;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_PLACEMENT_TASK_IMPL_H
