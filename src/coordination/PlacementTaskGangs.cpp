#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

/** A job that fails on this many healthy workers is rejected as faulty. */
constexpr std::size_t kMaxFailedWorkers = 3;

/**
 * Limits the retries of a job that fails on fewer than kMaxFailedWorkers
 * healthy workers, for example because it fits on no others.
 */
constexpr int kMaxTaskFailures = 10;

/** Limits the backoff between attempts to 2^6 times its base. */
constexpr int kMaxBackoffDoublings = 6;

} // namespace

void
PlacementTask::HandleGangEvent(const JobId& aJob, const GangEvent& aEvent)
{
  const auto it = mJobs.find(aJob);
  if (it != mJobs.end()) {
    ApplyGangStep(aJob, it->second.mGang.Handle(aEvent));
  }
}

void
PlacementTask::ApplyGangStep(const JobId& aJob, GangStep aStep)
{
  Entry& entry = mJobs.at(aJob);
  const GangPhase previousPhase = entry.mGang.Phase();
  entry.mGang = std::move(aStep.mNext);
  for (const GangCommand& command : aStep.mCommands) {
    ExecuteGangCommand(aJob, entry, command);
  }
  if (entry.mGang.Phase() != previousPhase) {
    OnPhaseChanged(aJob, entry, previousPhase);
  }
}

void
PlacementTask::ExecuteGangCommand(const JobId& aJob,
                                  Entry& aEntry,
                                  const GangCommand& aCommand)
{
  switch (aCommand.Kind()) {
    case GangCommandKind::kReadRow:
      aEntry.mRowStep = RowStep::kRead;
      aEntry.mRowStepAt = Now() + mOptions.mRowRetryDelay;
      break;
    case GangCommandKind::kWriteRow:
      WriteRow(aJob, aEntry);
      break;
    case GangCommandKind::kSendToWorker:
      SendToWorker(aEntry, aCommand);
      break;
  }
}

bool
PlacementTask::ConfirmOwnership()
{
  mLeaseLossPending = mLeaseLossPending || !HoldsLease();
  return !mLeaseLossPending;
}

void
PlacementTask::SendToWorker(const Entry& aEntry, const GangCommand& aCommand)
{
  // A renewal is safe without the lease: it starts no work, and a worker
  // rejects it once it has accepted the epoch of the new owner.
  if (aCommand.Action() != WorkerAction::kRenew && !ConfirmOwnership()) {
    return;
  }
  const Job& job = aEntry.mGang.RecordedJob();
  const auto& member = job.Placement().Members().at(aCommand.Member());
  const state::WorkerCommand command(aCommand.Action(),
                                     mOptions.mRegion,
                                     aEntry.mGang.Epoch(),
                                     job.Spec().Name(),
                                     job.Attempt(),
                                     static_cast<int>(aCommand.Member()),
                                     member.Accelerators(),
                                     mOptions.mTiming.mLease,
                                     job.Spec().ExpectedRunTime());
  const auto address = mWorkerAddresses.find(member.Worker());
  if (address == mWorkerAddresses.end()) {
    send(this,
         WorkerCallCompleted{ command,
                              member.Worker(),
                              { state::WorkerReplyStatus::kUnreachable,
                                state::MemberState::kUnknown,
                                false } });
    return;
  }
  mPorts.mWorkers.Send(
    address->second,
    command,
    [self = caf::actor(this), command, worker = member.Worker()](
      state::WorkerReply aReply) {
      caf::anon_send(self, WorkerCallCompleted{ command, worker, aReply });
    });
}

void
PlacementTask::HandleWorkerReply(const WorkerCallCompleted& aCompleted)
{
  const state::WorkerCommand& command = aCompleted.mCommand;
  const auto it = mJobs.find(command.Gang());
  if (aCompleted.mReply.Status() != state::WorkerReplyStatus::kUnreachable) {
    SetWorkerLeaving(aCompleted.mWorker, aCompleted.mReply.Leaving());
  }
  const auto kind = ToGangEvent(command.Action(), aCompleted.mReply);
  const bool current =
    it != mJobs.end() && it->second.mGang.Epoch() == command.Epoch() &&
    it->second.mGang.RecordedJob().Attempt() == command.Attempt();
  if (!kind || !current) {
    return;
  }
  RecordWorkerOutcome(it->second.mGang, aCompleted, *kind);
  HandleGangEvent(
    command.Gang(),
    GangEvent::ForMember(*kind,
                         command.Attempt(),
                         static_cast<std::size_t>(command.Member()),
                         Now()));
}

void
PlacementTask::SetWorkerLeaving(const VmId& aWorker, bool aLeaving)
{
  if (aLeaving) {
    mLeavingWorkers.insert(aWorker);
  } else if (mLeavingWorkers.erase(aWorker) > 0) {
    mQueueRunDue = true;
  }
}

void
PlacementTask::RecordWorkerOutcome(const Gang& aGang,
                                   const WorkerCallCompleted& aCompleted,
                                   GangEventKind aKind)
{
  const auto index = static_cast<std::size_t>(aCompleted.mCommand.Member());
  if (index >= aGang.Members().size()) {
    return;
  }
  const auto recordedState = aGang.Members()[index].State();
  const bool isSetupCommand =
    aCompleted.mCommand.Action() == WorkerAction::kReserve ||
    aCompleted.mCommand.Action() == WorkerAction::kCommit;
  const bool succeeded = aKind == GangEventKind::kSucceeded &&
                         recordedState != state::MemberState::kSucceeded;
  const bool failed = (aKind == GangEventKind::kFailed &&
                       recordedState != state::MemberState::kFailed) ||
                      (aKind == GangEventKind::kUnreachable && isSetupCommand);
  if (!succeeded && !failed) {
    return;
  }
  const bool wasQuarantined = mHealth.IsQuarantined(aCompleted.mWorker);
  const JobSpec& spec = aGang.RecordedJob().Spec();
  mHealth = mHealth.WithOutcome(
    aCompleted.mWorker, { spec.Name(), spec.Class(), succeeded }, Now());
  const bool isQuarantined = mHealth.IsQuarantined(aCompleted.mWorker);
  if (wasQuarantined != isQuarantined) {
    mPorts.mLog.Write({ isQuarantined ? LogEvent::kWorkerQuarantined
                                      : LogEvent::kWorkerReleased,
                        { { "worker", aCompleted.mWorker.Text() },
                          { "class", spec.Class().Text() } } });
    mQueueRunDue = true;
  }
}

void
PlacementTask::OnPhaseChanged(const JobId& aJob,
                              Entry& aEntry,
                              GangPhase aPreviousPhase)
{
  const Gang& gang = aEntry.mGang;
  mPorts.mLog.Write(
    { LogEvent::kGangPhase,
      { { "job", aJob.Text() },
        { "attempt", std::to_string(gang.RecordedJob().Attempt()) },
        { "epoch", std::to_string(gang.Epoch()) },
        { "phase", std::string(GangPhaseName(gang.Phase())) } } });
  if (aPreviousPhase == GangPhase::kRecordingSubmission &&
      gang.Phase() != GangPhase::kSuperseded) {
    OnSubmissionRecorded(aJob, aEntry);
  }
  ReplyToCancelWaiters(aEntry);
  switch (gang.Phase()) {
    case GangPhase::kQueued:
      mQueueRunDue = true;
      if (aPreviousPhase == GangPhase::kRecordingOutcome) {
        Requeue(aJob, aEntry);
      }
      break;
    case GangPhase::kFinal:
      mQueueRunDue = true;
      mNewlyFinalJobs.push_back(aJob);
      break;
    case GangPhase::kSuperseded:
      mPorts.mLog.Write({ LogEvent::kOwnerFenced, { { "job", aJob.Text() } } });
      aEntry.mRowStep = RowStep::kRead;
      aEntry.mRowStepAt = Now() + mOptions.mRowRetryDelay;
      break;
    default:
      break;
  }
}

void
PlacementTask::OnSubmissionRecorded(const JobId& aJob, Entry& aEntry)
{
  const Job& job = aEntry.mGang.RecordedJob();
  mPorts.mLog.Write(
    { LogEvent::kJobAccepted,
      { { "job", aJob.Text() },
        { "organisation", job.Spec().Organisation().Text() },
        { "class", job.Spec().Class().Text() },
        { "workers", std::to_string(job.Spec().GangShape().Workers()) } } });
  ++mCounters["jobs_accepted_total"];
  for (Waiter& waiter : aEntry.mSubmitWaiters) {
    ReplyWithJob(waiter.mPromise, aEntry.mGang.VisibleJob());
  }
  aEntry.mSubmitWaiters.clear();
}

void
PlacementTask::ReplyToCancelWaiters(Entry& aEntry)
{
  const Job& job = aEntry.mGang.RecordedJob();
  const bool isRecorded =
    job.State() == state::JobState::kStopping || IsFinal(job.State());
  if (!isRecorded) {
    return;
  }
  for (Waiter& waiter : aEntry.mCancelWaiters) {
    ReplyWithJob(waiter.mPromise, job);
  }
  aEntry.mCancelWaiters.clear();
}

void
PlacementTask::Requeue(const JobId& aJob, Entry& aEntry)
{
  const Gang& gang = aEntry.mGang;
  mPorts.mLog.Write(
    { LogEvent::kGangRequeued,
      { { "job", aJob.Text() },
        { "attempt", std::to_string(gang.RecordedJob().Attempt()) },
        { "reason", gang.RecordedJob().Detail() } } });
  ++mCounters["gangs_requeued_total"];
  const int doublings = std::min(aEntry.mRequeues++, kMaxBackoffDoublings);
  aEntry.mRetryNotBefore = Now() + mOptions.mRequeueBackoff * (1 << doublings);
  aEntry.mExplanation = gang.RecordedJob().Detail();
  if (!gang.FailedWorker()) {
    return;
  }
  aEntry.mAvoidedWorkers.insert(*gang.FailedWorker());
  if (!gang.TaskFailed()) {
    return;
  }
  ++aEntry.mTaskFailures;
  aEntry.mWorkersWithTaskFailure.insert(*gang.FailedWorker());
  const auto healthy = static_cast<std::size_t>(
    std::count_if(aEntry.mWorkersWithTaskFailure.begin(),
                  aEntry.mWorkersWithTaskFailure.end(),
                  [this, &aJob](const VmId& aWorker) {
                    return mHealth.IsHealthyFor(aWorker, aJob);
                  }));
  if (healthy >= kMaxFailedWorkers ||
      aEntry.mTaskFailures >= kMaxTaskFailures) {
    mJobsToReject.emplace_back(
      aJob,
      "the job failed " + std::to_string(aEntry.mTaskFailures) + " times, on " +
        std::to_string(healthy) + " healthy workers");
  }
}

} // namespace cornelrudder::coordination
