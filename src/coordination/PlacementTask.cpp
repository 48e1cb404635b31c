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

namespace {

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
using state::Ran;
using state::RefusalReason;
using state::StoreResult;
using state::StoreStatus;
using state::VmId;
using state::WorkerAction;
using std::chrono::milliseconds;

using JobPromise = caf::typed_response_promise<JobReply>;

constexpr std::string_view kDefaultStrategy = "first_fit";

/** Distinct healthy workers on which a faulty job fails. */
constexpr std::size_t kMaxFailedWorkers = 3;

/** A job that only fits on fewer workers must not be repeated for ever. */
constexpr int kMaxTaskFailures = 10;

/** Doublings of the pause between attempts. */
constexpr int kMaxPauseDoublings = 6;

/** Looks at the queue even if nothing is known to have changed. */
constexpr milliseconds kQueueInterval{ 5'000 };

/** Pause after a look at the queue, as a multiple of the time it took. */
constexpr int kQueueRest = 4;

/** Longest wait of a new owner for the settings of the jobs' classes. */
constexpr milliseconds kSettingsBound{ 5'000 };

class PlacementTask : public caf::event_based_actor
{
public:
  PlacementTask(caf::actor_config& aConfig,
                caf::actor aStore,
                PlacementPorts aPorts,
                WriteIds aWriteIds,
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
      [this](const WorkerReported& aReported) {
        ApplyReport(aReported);
        Settle();
      },
      // The other daemons do not matter here; leases decide who acts.
      [](const MembersView&) {},
      [this](const state::VmList& aVms) {
        ApplyVms(aVms);
        Settle();
      },
      [this](const state::SettingsView& aSettings) {
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

  // --- Commands of callers ---

  void Serve(const JobCommand& aCommand, JobPromise& aPromise)
  {
    if (!HoldsLease() || !mRecovered) {
      Refuse(aPromise,
             RefusalReason::kNoOwner,
             Ran::kNo,
             "this daemon does not own the region's placement");
      return;
    }
    for (const CommandRow& row : kCommands) {
      if (row.mKind == aCommand.Kind()) {
        (this->*row.mHandler)(aCommand, aPromise);
        return;
      }
    }
  }

  static void Refuse(JobPromise& aPromise,
                     RefusalReason aReason,
                     Ran aRan,
                     std::string aDetail)
  {
    aPromise.deliver(JobReply(aReason, aRan, std::move(aDetail), {}));
  }

  static void Answer(JobPromise& aPromise, Job aJob, std::string aDetail = "")
  {
    aPromise.deliver(JobReply(
      RefusalReason::kNone, aJob.HasRun(), std::move(aDetail), { aJob }));
  }

  void Submit(const JobCommand& aCommand, JobPromise& aPromise)
  {
    const JobSpec& spec = *aCommand.Spec();
    if (AnswerRepeated(spec, aPromise)) {
      return;
    }
    const auto [reason, detail] = CheckSubmission(spec);
    if (reason != RefusalReason::kNone) {
      mPorts.mLog.Write({ LogEvent::kJobRefused,
                          { { "job", spec.Name().Text() },
                            { "organisation", spec.Organisation().Text() },
                            { "reason", std::string(ReasonName(reason)) },
                            { "detail", detail } } });
      ++mCounters["jobs_refused_total"];
      Refuse(aPromise, reason, Ran::kNo, detail);
      return;
    }
    const bool idempotent = FindJobClass(mSettings, spec.Class())->Idempotent();
    GangStep step =
      Gang::Submit(spec, mLease.Epoch(), idempotent, TimingOf(spec));
    Entry& entry = mJobs.emplace(spec.Name(), Entry(step.mNext)).first->second;
    entry.mSubmitters.push_back({ aPromise, Now() + mOptions.mReplyBound });
    RememberKey(spec);
    Apply(spec.Name(), std::move(step));
  }

  /** Answers a submission that repeats an earlier one. */
  bool AnswerRepeated(const JobSpec& aSpec, JobPromise& aPromise)
  {
    std::optional<JobId> known;
    const auto it =
      mKeys.find({ aSpec.Organisation(), aSpec.Team(), aSpec.Key() });
    if (!aSpec.Key().empty() && it != mKeys.end()) {
      known = it->second;
    } else if (mJobs.contains(aSpec.Name()) || mEnded.contains(aSpec.Name())) {
      known = aSpec.Name();
    }
    if (!known) {
      return false;
    }
    const auto active = mJobs.find(*known);
    const Job job = active != mJobs.end() ? active->second.mGang.Visible()
                                          : mEnded.at(*known);
    const JobSpec& first = job.Spec();
    const JobSpec same(first.Name(),
                       aSpec.Organisation(),
                       aSpec.Team(),
                       aSpec.Class(),
                       aSpec.What(),
                       aSpec.Key(),
                       aSpec.Expected());
    if (same != first) {
      Refuse(aPromise,
             RefusalReason::kKeyReused,
             Ran::kNo,
             "job " + known->Text() + " was submitted with other values");
    } else if (active != mJobs.end() &&
               active->second.mGang.Phase() == GangPhase::kAccepting) {
      active->second.mSubmitters.push_back(
        { aPromise, Now() + mOptions.mReplyBound });
    } else {
      Answer(aPromise, job);
    }
    return true;
  }

  /** @return Why a job cannot be accepted, or kNone. */
  std::pair<RefusalReason, std::string> CheckSubmission(
    const JobSpec& aSpec) const
  {
    const auto jobClass = FindJobClass(mSettings, aSpec.Class());
    if (!jobClass) {
      return { RefusalReason::kUnknownClass,
               "no class " + aSpec.Class().Text() };
    }
    if (!IsActiveTeam(mSettings, aSpec.Organisation(), aSpec.Team())) {
      return { RefusalReason::kUnknownOrganisation,
               "no active team " + aSpec.Team().Text() + " of " +
                 aSpec.Organisation().Text() };
    }
    if (!jobClass->Idempotent() && aSpec.Key().empty()) {
      return { RefusalReason::kKeyRequired,
               "class " + aSpec.Class().Text() +
                 " is not idempotent: a key is required" };
    }
    const state::VmList fleet = Fleet();
    if (fleet.All().empty()) {
      return { RefusalReason::kNoCapacity, "no workers are known" };
    }
    const auto decision = Strategy().Place(
      state::FleetLoad(fleet, {}, Guarantees()),
      { aSpec.Organisation(), aSpec.What(), jobClass->Preemptible() });
    if (decision.Kind() == state::PlacementKind::kNeverFits) {
      return { RefusalReason::kNeverFits, decision.Reason() };
    }
    return CheckQuota(aSpec);
  }

  std::pair<RefusalReason, std::string> CheckQuota(const JobSpec& aSpec) const
  {
    const auto limits =
      TeamLimitsOf(mSettings, aSpec.Organisation(), aSpec.Team());
    if (limits.mAccelerators &&
        aSpec.What().Accelerators() > *limits.mAccelerators) {
      return { RefusalReason::kQuotaExceeded,
               "the team may hold " + std::to_string(*limits.mAccelerators) +
                 " accelerators" };
    }
    const auto queued =
      std::count_if(mJobs.begin(), mJobs.end(), [&aSpec](const auto& aEntry) {
        const Gang& gang = aEntry.second.mGang;
        const JobSpec& spec = gang.Recorded().Spec();
        return spec.Organisation() == aSpec.Organisation() &&
               spec.Team() == aSpec.Team() &&
               (gang.Phase() == GangPhase::kAccepting ||
                gang.Phase() == GangPhase::kQueued);
      });
    if (limits.mQueuedJobs && queued >= *limits.mQueuedJobs) {
      return { RefusalReason::kQuotaExceeded,
               "the team has " + std::to_string(queued) + " waiting jobs of " +
                 std::to_string(*limits.mQueuedJobs) };
    }
    return { RefusalReason::kNone, "" };
  }

  void Get(const JobCommand& aCommand, JobPromise& aPromise)
  {
    const auto job = FindJob(*aCommand.Job());
    if (job) {
      Answer(aPromise, *job);
      return;
    }
    AnswerUnknown(aPromise);
  }

  void List(const JobCommand& /*aCommand*/, JobPromise& aPromise)
  {
    std::vector<Job> jobs;
    for (const auto& [id, job] : mEnded) {
      jobs.push_back(job);
    }
    for (const auto& [id, entry] : mJobs) {
      if (entry.mGang.Phase() != GangPhase::kAccepting) {
        jobs.push_back(entry.mGang.Visible());
      }
    }
    aPromise.deliver(
      JobReply(RefusalReason::kNone, Ran::kNo, "", std::move(jobs)));
  }

  void Cancel(const JobCommand& aCommand, JobPromise& aPromise)
  {
    const auto it = mJobs.find(*aCommand.Job());
    if (it == mJobs.end()) {
      Get(aCommand, aPromise);
      return;
    }
    it->second.mCancellers.push_back(
      { aPromise, Now() + mOptions.mReplyBound });
    Handle(it->first, GangEvent::OfGang(GangEventKind::kCancel, Now()));
  }

  void Explain(const JobCommand& aCommand, JobPromise& aPromise)
  {
    const auto job = FindJob(*aCommand.Job());
    if (!job) {
      AnswerUnknown(aPromise);
      return;
    }
    Answer(aPromise, *job, ExplanationOf(*job));
  }

  std::string ExplanationOf(const Job& aJob) const
  {
    const auto it = mJobs.find(aJob.Spec().Name());
    if (it == mJobs.end()) {
      return std::string(JobStateName(aJob.State())) +
             (aJob.Detail().empty() ? "" : ": " + aJob.Detail());
    }
    const Entry& entry = it->second;
    if (entry.mGang.Phase() == GangPhase::kQueued) {
      return entry.mExplanation.empty() ? "not looked at yet"
                                        : entry.mExplanation;
    }
    std::string text(GangPhaseName(entry.mGang.Phase()));
    text += " on";
    const state::GangPlacement held = entry.mGang.Held();
    for (const auto& member : held.Members()) {
      text += " " + member.Worker().Text();
    }
    return text;
  }

  std::optional<Job> FindJob(const JobId& aJob) const
  {
    const auto it = mJobs.find(aJob);
    if (it != mJobs.end() &&
        it->second.mGang.Phase() != GangPhase::kAccepting) {
      return it->second.mGang.Visible();
    }
    const auto ended = mEnded.find(aJob);
    return ended != mEnded.end() ? std::optional(ended->second) : std::nullopt;
  }

  static void AnswerUnknown(JobPromise& aPromise)
  {
    aPromise.deliver(
      JobReply(RefusalReason::kNone, Ran::kNo, "no such job", {}));
  }

  // --- Gangs ---

  void Handle(const JobId& aJob, const GangEvent& aEvent)
  {
    const auto it = mJobs.find(aJob);
    if (it != mJobs.end()) {
      Apply(aJob, it->second.mGang.Handle(aEvent));
    }
  }

  /** Takes the next value of a gang and carries out its commands. */
  void Apply(const JobId& aJob, GangStep aStep)
  {
    Entry& entry = mJobs.at(aJob);
    const GangPhase before = entry.mGang.Phase();
    entry.mGang = std::move(aStep.mNext);
    for (const GangCommand& command : aStep.mCommands) {
      Run(aJob, entry, command);
    }
    if (entry.mGang.Phase() != before) {
      OnPhase(aJob, entry, before);
    }
  }

  void Run(const JobId& aJob, Entry& aEntry, const GangCommand& aCommand)
  {
    switch (aCommand.Kind()) {
      case GangCommandKind::kReadRow:
        aEntry.mRowStep = RowStep::kRead;
        aEntry.mRowDue = Now() + mOptions.mRowRetry;
        break;
      case GangCommandKind::kWriteRow:
        WriteRow(aJob, aEntry);
        break;
      case GangCommandKind::kWorker:
        SendToWorker(aEntry, aCommand);
        break;
    }
  }

  /**
   * Checks ownership just before an effect, since the process may have been
   * paused. A lapse is dealt with after the current message.
   */
  bool MayAct()
  {
    mLapsed = mLapsed || !HoldsLease();
    return !mLapsed;
  }

  void SendToWorker(const Entry& aEntry, const GangCommand& aCommand)
  {
    // A renewal starts nothing, and workers reject a former owner.
    if (aCommand.Action() != WorkerAction::kRenew && !MayAct()) {
      return;
    }
    const Job& job = aEntry.mGang.Recorded();
    const auto& member = job.Placement().Members().at(aCommand.Member());
    const state::WorkerCommand command(aCommand.Action(),
                                       mOptions.mRegion,
                                       aEntry.mGang.Epoch(),
                                       job.Spec().Name(),
                                       job.Attempt(),
                                       static_cast<int>(aCommand.Member()),
                                       member.Accelerators(),
                                       mOptions.mTiming.mLease,
                                       job.Spec().Expected());
    const auto address = mAddresses.find(member.Worker());
    if (address == mAddresses.end()) {
      send(this,
           WorkerReported{ command,
                           member.Worker(),
                           { state::WorkerStatus::kUnreachable,
                             state::MemberState::kUnknown,
                             false } });
      return;
    }
    mPorts.mWorkers.Send(
      address->second,
      command,
      [self = caf::actor(this), command, worker = member.Worker()](
        state::WorkerReport aReport) {
        caf::anon_send(self, WorkerReported{ command, worker, aReport });
      });
  }

  void ApplyReport(const WorkerReported& aReported)
  {
    const state::WorkerCommand& command = aReported.mCommand;
    const auto it = mJobs.find(command.Gang());
    if (aReported.mReport.Status() != state::WorkerStatus::kUnreachable) {
      SetLeaving(aReported.mWorker, aReported.mReport.Leaving());
    }
    const auto kind = GangEventOf(command.Action(), aReported.mReport);
    const bool current =
      it != mJobs.end() && it->second.mGang.Epoch() == command.Epoch() &&
      it->second.mGang.Recorded().Attempt() == command.Attempt();
    if (!kind || !current) {
      return;
    }
    RecordOutcome(it->second.mGang, aReported, *kind);
    Handle(command.Gang(),
           GangEvent::OfMember(*kind,
                               command.Attempt(),
                               static_cast<std::size_t>(command.Member()),
                               Now()));
  }

  void SetLeaving(const VmId& aWorker, bool aLeaving)
  {
    if (aLeaving) {
      mLeaving.insert(aWorker);
    } else if (mLeaving.erase(aWorker) > 0) {
      mQueueDue = true;
    }
  }

  /** Notes whether a worker did what it was asked. */
  void RecordOutcome(const Gang& aGang,
                     const WorkerReported& aReported,
                     GangEventKind aKind)
  {
    const auto index = static_cast<std::size_t>(aReported.mCommand.Member());
    if (index >= aGang.Members().size()) {
      return;
    }
    const auto known = aGang.Members()[index].State();
    const bool setUp = aReported.mCommand.Action() == WorkerAction::kReserve ||
                       aReported.mCommand.Action() == WorkerAction::kCommit;
    const bool succeeded = aKind == GangEventKind::kFinished &&
                           known != state::MemberState::kFinished;
    const bool failed = (aKind == GangEventKind::kFailed &&
                         known != state::MemberState::kFailed) ||
                        (aKind == GangEventKind::kUnreachable && setUp);
    if (!succeeded && !failed) {
      return;
    }
    const bool before = mHealth.IsQuarantined(aReported.mWorker);
    const JobSpec& spec = aGang.Recorded().Spec();
    mHealth = mHealth.WithOutcome(
      aReported.mWorker, { spec.Name(), spec.Class(), succeeded }, Now());
    const bool after = mHealth.IsQuarantined(aReported.mWorker);
    if (before != after) {
      mPorts.mLog.Write(
        { after ? LogEvent::kWorkerQuarantined : LogEvent::kWorkerReleased,
          { { "worker", aReported.mWorker.Text() },
            { "class", spec.Class().Text() } } });
      mQueueDue = true;
    }
  }

  /** Follows a gang into another phase. */
  void OnPhase(const JobId& aJob, Entry& aEntry, GangPhase aBefore)
  {
    const Gang& gang = aEntry.mGang;
    mPorts.mLog.Write(
      { LogEvent::kGangPhase,
        { { "job", aJob.Text() },
          { "attempt", std::to_string(gang.Recorded().Attempt()) },
          { "epoch", std::to_string(gang.Epoch()) },
          { "phase", std::string(GangPhaseName(gang.Phase())) } } });
    if (aBefore == GangPhase::kAccepting &&
        gang.Phase() != GangPhase::kAbandoned) {
      Accept(aJob, aEntry);
    }
    AnswerCancellers(aEntry);
    switch (gang.Phase()) {
      case GangPhase::kQueued:
        mQueueDue = true;
        if (aBefore == GangPhase::kRecording) {
          Requeue(aJob, aEntry);
        }
        break;
      case GangPhase::kEnded:
        mQueueDue = true;
        mFinished.push_back(aJob);
        break;
      case GangPhase::kAbandoned:
        mPorts.mLog.Write(
          { LogEvent::kOwnerFenced, { { "job", aJob.Text() } } });
        aEntry.mRowStep = RowStep::kRead;
        aEntry.mRowDue = Now() + mOptions.mRowRetry;
        break;
      default:
        break;
    }
  }

  void Accept(const JobId& aJob, Entry& aEntry)
  {
    const Job& job = aEntry.mGang.Recorded();
    mPorts.mLog.Write(
      { LogEvent::kJobAccepted,
        { { "job", aJob.Text() },
          { "organisation", job.Spec().Organisation().Text() },
          { "class", job.Spec().Class().Text() },
          { "workers", std::to_string(job.Spec().What().Workers()) } } });
    ++mCounters["jobs_accepted_total"];
    for (Waiter& waiter : aEntry.mSubmitters) {
      Answer(waiter.mPromise, aEntry.mGang.Visible());
    }
    aEntry.mSubmitters.clear();
  }

  void AnswerCancellers(Entry& aEntry)
  {
    const Job& job = aEntry.mGang.Recorded();
    const bool settled =
      job.State() == state::JobState::kStopping || IsFinal(job.State());
    if (!settled) {
      return;
    }
    for (Waiter& waiter : aEntry.mCancellers) {
      Answer(waiter.mPromise, job);
    }
    aEntry.mCancellers.clear();
  }

  void Requeue(const JobId& aJob, Entry& aEntry)
  {
    const Gang& gang = aEntry.mGang;
    mPorts.mLog.Write(
      { LogEvent::kGangRequeued,
        { { "job", aJob.Text() },
          { "attempt", std::to_string(gang.Recorded().Attempt()) },
          { "reason", gang.Recorded().Detail() } } });
    ++mCounters["gangs_requeued_total"];
    const int doublings = std::min(aEntry.mRequeues++, kMaxPauseDoublings);
    aEntry.mNotBefore = Now() + mOptions.mRequeuePause * (1 << doublings);
    aEntry.mExplanation = gang.Recorded().Detail();
    if (!gang.FailedWorker()) {
      return;
    }
    aEntry.mAvoided.insert(*gang.FailedWorker());
    if (!gang.TaskFailed()) {
      return;
    }
    ++aEntry.mTaskFailures;
    aEntry.mFailedOn.insert(*gang.FailedWorker());
    const auto healthy = static_cast<std::size_t>(
      std::count_if(aEntry.mFailedOn.begin(),
                    aEntry.mFailedOn.end(),
                    [this, &aJob](const VmId& aWorker) {
                      return mHealth.IsHealthyFor(aWorker, aJob);
                    }));
    if (healthy >= kMaxFailedWorkers ||
        aEntry.mTaskFailures >= kMaxTaskFailures) {
      mRefusals.emplace_back(
        aJob,
        "the job failed " + std::to_string(aEntry.mTaskFailures) +
          " times, on " + std::to_string(healthy) + " healthy workers");
    }
  }

  // --- Rows ---

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
          aHandler(StoreResult(StoreStatus::kUnknown, {}));
          Settle();
        });
  }

  void WriteRow(const JobId& aJob, Entry& aEntry)
  {
    aEntry.mRowStep = RowStep::kNone;
    if (!MayAct()) {
      return;
    }
    if (!aEntry.mPending) {
      aEntry.mPending = state::Transaction(
        mWriteIds.Next(),
        { { KeyOf(aJob),
            aEntry.mVersion,
            mPorts.mCodec.EncodeJob(*aEntry.mGang.Writing()) } });
    }
    AskStore(*aEntry.mPending,
             [this, aJob, id = aEntry.mPending->WriteId()](
               const StoreResult& aResult) { FinishWrite(aJob, id, aResult); });
  }

  void FinishWrite(const JobId& aJob,
                   const std::string& aWriteId,
                   const StoreResult& aResult)
  {
    const auto it = mJobs.find(aJob);
    const bool current = it != mJobs.end() && it->second.mPending &&
                         it->second.mPending->WriteId() == aWriteId;
    if (!current) {
      return;
    }
    Entry& entry = it->second;
    switch (aResult.Status()) {
      case StoreStatus::kOk:
        RowWritten(aJob,
                   entry,
                   aResult.Rows().empty() ? entry.mVersion + 1
                                          : aResult.Rows().front().Version());
        return;
      case StoreStatus::kConflict:
        Compare(aJob, entry, aResult);
        return;
      case StoreStatus::kUnavailable:
        WriteFailed(aJob, entry);
        return;
      case StoreStatus::kUnknown:
        entry.mUncertain = true;
        Handle(aJob, GangEvent::OfGang(GangEventKind::kRowUnknown, Now()));
        return;
    }
  }

  /** The write certainly had no effect. */
  void WriteFailed(const JobId& aJob, Entry& aEntry)
  {
    if (aEntry.mGang.Phase() != GangPhase::kAccepting || aEntry.mUncertain) {
      aEntry.mRowStep = RowStep::kWrite;
      aEntry.mRowDue = Now() + mOptions.mRowRetry;
      return;
    }
    for (Waiter& waiter : aEntry.mSubmitters) {
      Refuse(waiter.mPromise,
             RefusalReason::kStoreUnavailable,
             Ran::kNo,
             "the job could not be recorded");
    }
    Forget(aJob);
  }

  void RowWritten(const JobId& aJob, Entry& aEntry, std::uint64_t aVersion)
  {
    aEntry.mVersion = aVersion;
    aEntry.mPending.reset();
    aEntry.mUncertain = false;
    Handle(aJob, GangEvent::OfGang(GangEventKind::kRowWritten, Now()));
  }

  void ReadRowOf(const JobId& aJob, Entry& aEntry)
  {
    aEntry.mRowStep = RowStep::kNone;
    AskStore(ReadRow{ KeyOf(aJob) }, [this, aJob](const StoreResult& aResult) {
      const auto it = mJobs.find(aJob);
      if (it != mJobs.end()) {
        FinishRead(aJob, it->second, aResult);
      }
    });
  }

  void FinishRead(const JobId& aJob, Entry& aEntry, const StoreResult& aResult)
  {
    if (aResult.Status() != StoreStatus::kOk) {
      aEntry.mRowStep = RowStep::kRead;
      aEntry.mRowDue = Now() + mOptions.mRowRetry;
    } else if (aEntry.mGang.Phase() == GangPhase::kAbandoned) {
      Reload(aJob, aEntry, aResult);
    } else if (aEntry.mPending) {
      Compare(aJob, aEntry, aResult);
    }
  }

  /** Decides by the current row what became of the pending write. */
  void Compare(const JobId& aJob, Entry& aEntry, const StoreResult& aResult)
  {
    const bool absent = aResult.Rows().empty();
    const std::uint64_t version = absent ? 0 : aResult.Rows().front().Version();
    if (!absent &&
        aResult.Rows().front().WriteId() == aEntry.mPending->WriteId()) {
      RowWritten(aJob, aEntry, version);
      return;
    }
    Handle(aJob,
           GangEvent::OfGang(version == aEntry.mVersion
                               ? GangEventKind::kRowUnchanged
                               : GangEventKind::kRowConflict,
                             Now()));
  }

  /** Takes a job over again after another owner's write was seen. */
  void Reload(const JobId& aJob, Entry& aEntry, const StoreResult& aResult)
  {
    if (!MayAct()) {
      return;
    }
    aEntry.mPending.reset();
    if (aResult.Rows().empty()) {
      Forget(aJob);
      return;
    }
    Adopt(aResult.Rows().front());
  }

  // --- Ownership ---

  void ApplyOwner(const DomainOwner& aOwner)
  {
    if (aOwner.mDomain != mOptions.mRegion) {
      return;
    }
    const bool other =
      !aOwner.mOwner.empty() && aOwner.mOwner.front() != mOptions.mSelf;
    if (!aOwner.mLease.HeldAt(Now())) {
      Lapse();
      if (other) {
        mJobs.clear();
      }
      return;
    }
    const bool sameEpoch = aOwner.mLease.Epoch() == mLease.Epoch();
    mLease = aOwner.mLease;
    if (!sameEpoch) {
      mRecoverBy = Now() + kSettingsBound;
      mRecovered = false;
      mRecovering = false;
    }
    Recover();
  }

  /** Stops acting as the owner; leases of members are still renewed. */
  void Lapse()
  {
    mLapsed = false;
    if (mLease.Epoch() == 0) {
      return;
    }
    mPorts.mLog.Write({ LogEvent::kPlacementLapsed,
                        { { "epoch", std::to_string(mLease.Epoch()) },
                          { "jobs", std::to_string(mJobs.size()) } } });
    mLease = state::Lease(mOptions.mRegion, 0, milliseconds(0));
    mRecovered = false;
    mRecovering = false;
    mFinished.clear();
    mRefusals.clear();
    mReclaims.clear();
    for (auto it = mJobs.begin(); it != mJobs.end();) {
      Entry& entry = it->second;
      AnswerLapsed(entry.mSubmitters);
      AnswerLapsed(entry.mCancellers);
      entry.mPending.reset();
      entry.mRowStep = RowStep::kNone;
      entry.mGang =
        entry.mGang.Handle(GangEvent::OfGang(GangEventKind::kLeaseLost, Now()))
          .mNext;
      const bool renews = entry.mGang.Phase() == GangPhase::kOrphaned;
      it = renews ? std::next(it) : mJobs.erase(it);
    }
  }

  static void AnswerLapsed(std::vector<Waiter>& aWaiters)
  {
    for (Waiter& waiter : aWaiters) {
      Refuse(waiter.mPromise,
             RefusalReason::kNoOwner,
             Ran::kUnknown,
             "ownership lapsed while the job was being recorded");
    }
    aWaiters.clear();
  }

  /** Reads all jobs of the domain after the lease was gained. */
  void Recover()
  {
    // Classes say whether a job may be repeated, so they must be known first.
    const bool due =
      !mRecovered && !mRecovering && HoldsLease() && !mSettings.All().empty();
    if (!due) {
      return;
    }
    mRecovering = true;
    AskStore(ListRows{ KeyPrefix() },
             [this, epoch = mLease.Epoch()](const StoreResult& aResult) {
               if (epoch != mLease.Epoch() || !mRecovering) {
                 return;
               }
               mRecovering = false;
               if (aResult.Status() == StoreStatus::kOk && HoldsLease()) {
                 FinishRecovery(aResult);
               }
             });
  }

  std::string KeyPrefix() const
  {
    return "job/" + mOptions.mRegion.Text() + "/";
  }

  void FinishRecovery(const StoreResult& aRows)
  {
    // Settings arrive one document at a time.
    if (!KnowsClassesOf(aRows) && Now() < mRecoverBy) {
      return;
    }
    mJobs.clear();
    mEnded.clear();
    mKeys.clear();
    mRecovered = true;
    mQueueDue = true;
    for (const state::StoreRow& row : aRows.Rows()) {
      Adopt(row);
    }
    for (const JobId& id : std::exchange(mFinished, {})) {
      mEnded.insert_or_assign(id, mJobs.at(id).mGang.Recorded());
      mJobs.erase(id);
    }
    mPorts.mLog.Write({ LogEvent::kJobsRecovered,
                        { { "epoch", std::to_string(mLease.Epoch()) },
                          { "active", std::to_string(mJobs.size()) },
                          { "ended", std::to_string(mEnded.size()) } } });
  }

  bool KnowsClassesOf(const StoreResult& aRows) const
  {
    return std::all_of(
      aRows.Rows().begin(), aRows.Rows().end(), [this](const auto& aRow) {
        const auto job = Decode(aRow);
        return !job || IsFinal(job->State()) ||
               FindJobClass(mSettings, job->Spec().Class());
      });
  }

  /** @return The job, or nothing if the row is malformed. */
  std::optional<Job> Decode(const state::StoreRow& aRow) const
  {
    try {
      return mPorts.mCodec.DecodeJob(aRow.Value());
    } catch (const CoordinationError& error) {
      mPorts.mLog.Write(
        { LogEvent::kBadJobRow,
          { { "key", aRow.Key() }, { "error", std::string(error.what()) } } });
      return std::nullopt;
    }
  }

  void Adopt(const state::StoreRow& aRow)
  {
    std::optional<Job> job = Decode(aRow);
    if (!job) {
      return;
    }
    const JobSpec spec = job->Spec();
    RememberKey(spec);
    const auto jobClass = FindJobClass(mSettings, spec.Class());
    GangStep step = Gang::Adopt(*std::move(job),
                                mLease.Epoch(),
                                jobClass && jobClass->Idempotent(),
                                TimingOf(spec),
                                Now());
    const auto [it, isNew] = mJobs.try_emplace(spec.Name(), Entry(step.mNext));
    Entry& entry = it->second;
    entry.mGang = step.mNext;
    entry.mVersion = aRow.Version();
    entry.mPending.reset();
    entry.mRowStep = RowStep::kNone;
    entry.mPlacedAt = Now();
    mQueueDue = true;
    Apply(spec.Name(), std::move(step));
    if (entry.mGang.Phase() == GangPhase::kEnded) {
      mFinished.push_back(spec.Name());
    }
    // Callers that waited for a write of the former row.
    if (!entry.mSubmitters.empty()) {
      Accept(spec.Name(), entry);
    }
    AnswerCancellers(entry);
    if (!entry.mCancellers.empty()) {
      Handle(spec.Name(), GangEvent::OfGang(GangEventKind::kCancel, Now()));
    }
  }

  void RememberKey(const JobSpec& aSpec)
  {
    if (!aSpec.Key().empty()) {
      mKeys.insert_or_assign(
        { aSpec.Organisation(), aSpec.Team(), aSpec.Key() }, aSpec.Name());
    }
  }

  void Forget(const JobId& aJob)
  {
    const auto it = mJobs.find(aJob);
    if (it == mJobs.end()) {
      return;
    }
    const JobSpec& spec = it->second.mGang.Recorded().Spec();
    mKeys.erase({ spec.Organisation(), spec.Team(), spec.Key() });
    mJobs.erase(it);
  }

  state::GangTiming TimingOf(const JobSpec& aSpec) const
  {
    state::GangTiming timing = mOptions.mTiming;
    if (const auto jobClass = FindJobClass(mSettings, aSpec.Class())) {
      timing.mCheckpointBound = jobClass->ReclaimBound();
    }
    return timing;
  }

  // --- Time ---

  void OnTick()
  {
    const milliseconds now = Now();
    if (mLease.Epoch() != 0 && !HoldsLease()) {
      Lapse();
    }
    Recover();
    std::vector<JobId> jobs;
    for (const auto& [id, entry] : mJobs) {
      jobs.push_back(id);
    }
    for (const JobId& id : jobs) {
      Handle(id, GangEvent::OfGang(GangEventKind::kTime, now));
      const auto it = mJobs.find(id);
      if (it != mJobs.end()) {
        TickEntry(id, it->second, now);
      }
    }
    if (now >= mQueueAt) {
      mQueueDue = true;
    }
  }

  void TickEntry(const JobId& aJob, Entry& aEntry, milliseconds aNow)
  {
    ExpireWaiters(aEntry.mSubmitters, aNow);
    ExpireWaiters(aEntry.mCancellers, aNow);
    // The queue is looked at when the pause after a failure is over.
    if (aEntry.mNotBefore.count() != 0 && aNow >= aEntry.mNotBefore) {
      aEntry.mNotBefore = milliseconds(0);
      mQueueDue = true;
    }
    if (aEntry.mRowStep == RowStep::kNone || aNow < aEntry.mRowDue) {
      return;
    }
    if (aEntry.mRowStep == RowStep::kWrite) {
      WriteRow(aJob, aEntry);
    } else {
      ReadRowOf(aJob, aEntry);
    }
  }

  static void ExpireWaiters(std::vector<Waiter>& aWaiters, milliseconds aNow)
  {
    for (auto it = aWaiters.begin(); it != aWaiters.end();) {
      if (aNow < it->mDeadline) {
        ++it;
        continue;
      }
      Refuse(it->mPromise,
             RefusalReason::kStoreUnavailable,
             Ran::kUnknown,
             "the store has not confirmed the write yet");
      it = aWaiters.erase(it);
    }
  }

  /** Does what the handling of a message left to do. */
  void Settle()
  {
    if (mLapsed) {
      Lapse();
    }
    for (const auto& [id, detail] : std::exchange(mRefusals, {})) {
      Handle(id, GangEvent::Refuse(RefusalReason::kJobFails, detail, Now()));
    }
    for (const JobId& id : std::exchange(mFinished, {})) {
      End(id);
    }
    if (mQueueDue && mRecovered && HoldsLease() && Now() >= mQueueNotBefore) {
      RunQueue();
    }
    if (mLapsed) {
      Lapse();
    }
  }

  void End(const JobId& aJob)
  {
    const auto it = mJobs.find(aJob);
    if (it == mJobs.end()) {
      return;
    }
    const Job& job = it->second.mGang.Recorded();
    mPorts.mLog.Write({ LogEvent::kJobEnded,
                        { { "job", aJob.Text() },
                          { "state", std::string(JobStateName(job.State())) },
                          { "reason", std::string(ReasonName(job.Reason())) },
                          { "ran", std::string(RanName(job.HasRun())) },
                          { "attempt", std::to_string(job.Attempt()) } } });
    ++mCounters["jobs_" + std::string(JobStateName(job.State())) + "_total"];
    mEnded.insert_or_assign(aJob, job);
    mReclaims.erase(aJob);
    mJobs.erase(it);
  }

  // --- Placement ---

  /** All workers of the region, also those that get no work now. */
  state::VmList Fleet() const
  {
    std::vector<state::Vm> workers;
    for (const state::Vm& vm : mVms.All()) {
      if (vm.Role() == state::VmRole::kWorker &&
          vm.Where().Region() == mOptions.mRegion) {
        workers.push_back(vm);
      }
    }
    return state::VmList(std::move(workers));
  }

  /** The workers that may get new work. */
  state::VmList Usable() const
  {
    std::vector<state::Vm> workers;
    const state::VmList fleet = Fleet();
    for (const state::Vm& vm : fleet.All()) {
      const bool leaving =
        vm.State() == state::VmState::kLeaving || mLeaving.contains(vm.Name());
      if (!leaving && !mHealth.IsQuarantined(vm.Name())) {
        workers.push_back(vm);
      }
    }
    return state::VmList(std::move(workers));
  }

  std::vector<state::GuaranteedShape> Guarantees() const
  {
    return GuaranteedShapesOf(mSettings, mOptions.mRegion);
  }

  const state::PlacementStrategy& Strategy() const
  {
    if (mOptions.mStrategy != nullptr) {
      return *mOptions.mStrategy;
    }
    const auto* document = mSettings.Find("policy");
    const std::string name = document != nullptr
                               ? document->TextOr("placement", kDefaultStrategy)
                               : std::string(kDefaultStrategy);
    const auto* strategy = state::FindPlacementStrategy(name);
    return strategy != nullptr ? *strategy
                               : *state::AllPlacementStrategies().front();
  }

  bool IsPreemptible(const JobSpec& aSpec) const
  {
    const auto jobClass = FindJobClass(mSettings, aSpec.Class());
    return jobClass && jobClass->Preemptible();
  }

  std::vector<state::PlacedGang> HeldGangs() const
  {
    std::vector<state::PlacedGang> gangs;
    for (const auto& [id, entry] : mJobs) {
      if (entry.mGang.Held().Members().empty()) {
        continue;
      }
      const JobSpec& spec = entry.mGang.Recorded().Spec();
      const std::chrono::duration<double, std::ratio<3'600>> hours =
        Now() - entry.mPlacedAt;
      gangs.emplace_back(id,
                         spec.Organisation(),
                         IsPreemptible(spec),
                         hours.count() * spec.What().Accelerators(),
                         entry.mGang.Held());
    }
    return gangs;
  }

  state::HeldAccelerators Held() const
  {
    state::HeldAccelerators held;
    for (const auto& [id, entry] : mJobs) {
      if (entry.mGang.Held().Members().empty()) {
        continue;
      }
      const JobSpec& spec = entry.mGang.Recorded().Spec();
      const int n = spec.What().Accelerators();
      held.mByOrganisation[spec.Organisation()] += n;
      held.mByTeam[{ spec.Organisation(), spec.Team() }] += n;
    }
    return held;
  }

  std::map<state::OrganisationId, int> Weights() const
  {
    std::map<state::OrganisationId, int> weights;
    for (const auto& [id, entry] : mJobs) {
      const auto& organisation = entry.mGang.Recorded().Spec().Organisation();
      const auto* document =
        mSettings.Find("organisations/" + organisation.Text());
      if (document != nullptr) {
        weights.insert_or_assign(
          organisation, static_cast<int>(document->IntegerOr("weight", 1)));
      }
    }
    return weights;
  }

  /** Whether victims of a reclaim still hold accelerators. */
  bool ReclaimPending(const JobId& aJob) const
  {
    const auto it = mReclaims.find(aJob);
    return it != mReclaims.end() &&
           std::any_of(it->second.mVictims.begin(),
                       it->second.mVictims.end(),
                       [this](const JobId& aVictim) {
                         const auto victim = mJobs.find(aVictim);
                         return victim != mJobs.end() &&
                                !victim->second.mGang.Held().Members().empty();
                       });
  }

  std::vector<state::WaitingJob> WaitingJobs(milliseconds aNow) const
  {
    std::vector<state::WaitingJob> waiting;
    for (const auto& [id, entry] : mJobs) {
      if (entry.mGang.Phase() != GangPhase::kQueued ||
          aNow < entry.mNotBefore || ReclaimPending(id)) {
        continue;
      }
      const JobSpec& spec = entry.mGang.Recorded().Spec();
      const auto jobClass = FindJobClass(mSettings, spec.Class());
      const auto limits =
        TeamLimitsOf(mSettings, spec.Organisation(), spec.Team());
      waiting.emplace_back(spec,
                           jobClass ? jobClass->Urgency() : 0,
                           jobClass && jobClass->Preemptible(),
                           limits.mAccelerators,
                           entry.mAvoided,
                           mReclaims.contains(id));
    }
    return waiting;
  }

  void RunQueue()
  {
    const milliseconds now = Now();
    mQueueDue = false;
    mQueueAt = now + kQueueInterval;
    auto waiting = WaitingJobs(now);
    if (waiting.empty()) {
      return;
    }
    state::FleetLoad load(Usable(), HeldGangs(), Guarantees());
    // Places for which accelerators are being reclaimed go to nobody else.
    std::vector<state::PlacedGang> gangs = load.Gangs();
    for (const auto& [id, reclaim] : mReclaims) {
      if (ReclaimPending(id) && mJobs.contains(id)) {
        const JobSpec& spec = mJobs.at(id).mGang.Recorded().Spec();
        gangs.emplace_back(id,
                           spec.Organisation(),
                           IsPreemptible(spec),
                           0.0,
                           FreePart(load, reclaim.mPlacement));
      }
    }
    load =
      state::FleetLoad(load.Workers(), std::move(gangs), load.Guarantees());
    const auto decisions =
      DecideQueue(load, std::move(waiting), Held(), Weights(), Strategy());
    for (const state::QueueDecision& decision : decisions) {
      Follow(decision, now);
    }
    Probe(now);
    // A long queue is looked at less often, so that a burst of jobs leaves the
    // task time for everything else; a tick makes up for it.
    mQueueNotBefore = Now() + kQueueRest * (Now() - now);
  }

  void Follow(const state::QueueDecision& aDecision, milliseconds aNow)
  {
    const state::PlacementDecision& decision = aDecision.mDecision;
    switch (decision.Kind()) {
      case state::PlacementKind::kPlaced:
        mReclaims.erase(aDecision.mJob);
        Place(aDecision.mJob, decision.Placement(), decision.Reason(), aNow);
        return;
      case state::PlacementKind::kReclaim:
        Explain(aDecision, "accelerators are being reclaimed: ");
        Reclaim(aDecision.mJob, decision, aNow);
        return;
      case state::PlacementKind::kWait:
      case state::PlacementKind::kNeverFits:
        Explain(aDecision, "");
        return;
    }
  }

  void Place(const JobId& aJob,
             const state::GangPlacement& aPlacement,
             const std::string& aReason,
             milliseconds aNow)
  {
    std::string workers;
    for (const auto& member : aPlacement.Members()) {
      workers += (workers.empty() ? "" : ",") + member.Worker().Text();
    }
    mPorts.mLog.Write({ LogEvent::kGangPlaced,
                        { { "job", aJob.Text() },
                          { "workers", workers },
                          { "strategy", std::string(Strategy().Name()) },
                          { "reason", aReason } } });
    ++mCounters["gangs_placed_total"];
    mJobs.at(aJob).mPlacedAt = aNow;
    mJobs.at(aJob).mExplanation.clear();
    mJobs.at(aJob).mWaitReason.clear();
    Handle(aJob, GangEvent::Place(aPlacement, aNow));
  }

  void Explain(const state::QueueDecision& aDecision,
               const std::string& aPrefix)
  {
    Entry& entry = mJobs.at(aDecision.mJob);
    const std::string reason = aPrefix + aDecision.mDecision.Reason();
    // A position changes with each job that comes or goes; it is not logged.
    if (reason != entry.mWaitReason) {
      mPorts.mLog.Write(
        { LogEvent::kGangWaiting,
          { { "job", aDecision.mJob.Text() }, { "reason", reason } } });
    }
    entry.mWaitReason = reason;
    entry.mExplanation = "place " + std::to_string(aDecision.mPosition) +
                         " in the queue; " + reason;
  }

  /** Stops the victims; the job is placed once they hold nothing. */
  void Reclaim(const JobId& aJob,
               const state::PlacementDecision& aDecision,
               milliseconds aNow)
  {
    std::string victims;
    for (const JobId& victim : aDecision.Victims()) {
      victims += (victims.empty() ? "" : ",") + victim.Text();
    }
    mPorts.mLog.Write({ LogEvent::kGangReclaim,
                        { { "job", aJob.Text() },
                          { "victims", victims },
                          { "reason", aDecision.Reason() } } });
    ++mCounters["gangs_reclaimed_total"];
    mReclaims.insert_or_assign(
      aJob, ReclaimPlan{ aDecision.Placement(), aDecision.Victims() });
    for (const JobId& victim : aDecision.Victims()) {
      Handle(victim, GangEvent::OfGang(GangEventKind::kPreempt, aNow));
    }
  }

  /**
   * Gives a quarantined worker one idempotent job of a single worker, if one
   * waits; a larger gang would fail as a whole.
   */
  void Probe(milliseconds aNow)
  {
    const state::VmList fleet = Fleet();
    for (const state::Vm& worker : fleet.All()) {
      if (!mHealth.MayProbe(worker.Name(), aNow) ||
          worker.State() == state::VmState::kLeaving ||
          mLeaving.contains(worker.Name())) {
        continue;
      }
      for (const state::WaitingJob& job : WaitingJobs(aNow)) {
        const auto jobClass = FindJobClass(mSettings, job.Spec().Class());
        if (job.Spec().What().Workers() != 1 || !jobClass ||
            !jobClass->Idempotent() || job.TeamLimit()) {
          continue;
        }
        const state::FleetLoad load(
          state::VmList({ worker }), HeldGangs(), Guarantees());
        const auto decision = Strategy().Place(
          load,
          { job.Spec().Organisation(), job.Spec().What(), job.Preemptible() });
        if (decision.Kind() == state::PlacementKind::kPlaced) {
          mHealth = mHealth.WithProbe(worker.Name(), aNow);
          Place(job.Spec().Name(),
                decision.Placement(),
                "probe of a quarantined worker",
                aNow);
          break;
        }
      }
    }
  }

  void ApplyVms(const state::VmList& aVms)
  {
    mVms = aVms;
    mQueueDue = true;
    for (const state::Vm& vm : mVms.All()) {
      if (vm.Role() == state::VmRole::kWorker) {
        // The list lags; the address of a VM that it dropped stays in use for
        // the gangs that still run there.
        mAddresses.insert_or_assign(vm.Name(), vm.Address());
      }
    }
  }

  Counters CurrentCounters() const
  {
    Counters counters = mCounters;
    for (const auto& [id, entry] : mJobs) {
      ++counters["jobs_active"];
      if (entry.mGang.Phase() == GangPhase::kQueued) {
        ++counters["jobs_queued"];
      }
    }
    return counters;
  }

  struct ReclaimPlan
  {
    state::GangPlacement mPlacement;
    std::vector<JobId> mVictims;
  };

  using SubmissionKey =
    std::tuple<state::OrganisationId, state::TeamId, std::string>;

  caf::actor mStore;
  PlacementPorts mPorts;
  WriteIds mWriteIds;
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
  state::SettingsView mSettings;
  state::FleetHealth mHealth;
  std::map<JobId, Entry> mJobs;
  std::map<JobId, Job> mEnded;
  std::map<SubmissionKey, JobId> mKeys;
  std::map<JobId, ReclaimPlan> mReclaims;
  std::vector<JobId> mFinished;
  std::vector<std::pair<JobId, std::string>> mRefusals;
  Counters mCounters;
};

const std::array<PlacementTask::CommandRow, 5> PlacementTask::kCommands{ {
  { JobCommandKind::kSubmit, &PlacementTask::Submit },
  { JobCommandKind::kGet, &PlacementTask::Get },
  { JobCommandKind::kList, &PlacementTask::List },
  { JobCommandKind::kCancel, &PlacementTask::Cancel },
  { JobCommandKind::kExplain, &PlacementTask::Explain },
} };

} // namespace

caf::actor
SpawnPlacementTask(caf::actor_system& aSystem,
                   const caf::actor& aStore,
                   PlacementPorts aPorts,
                   WriteIds aWriteIds,
                   PlacementTaskOptions aOptions)
{
  return aSystem.spawn<PlacementTask>(
    aStore, aPorts, std::move(aWriteIds), std::move(aOptions));
}

} // namespace cornelrudder::coordination
