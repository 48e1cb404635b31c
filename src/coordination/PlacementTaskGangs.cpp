#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

/** Distinct healthy workers on which a faulty job fails. */
constexpr std::size_t kMaxFailedWorkers = 3;

/** A job that only fits on fewer workers must not be repeated for ever. */
constexpr int kMaxTaskFailures = 10;

/** Doublings of the pause between attempts. */
constexpr int kMaxPauseDoublings = 6;

} // namespace

void
PlacementTask::Handle(const JobId& aJob, const GangEvent& aEvent)
{
  const auto it = mJobs.find(aJob);
  if (it != mJobs.end()) {
    Apply(aJob, it->second.mGang.Handle(aEvent));
  }
}

void
PlacementTask::Apply(const JobId& aJob, GangStep aStep)
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

void
PlacementTask::Run(const JobId& aJob,
                   Entry& aEntry,
                   const GangCommand& aCommand)
{
  switch (aCommand.Kind()) {
    case GangCommandKind::kReadRow:
      aEntry.mRowStep = RowStep::kRead;
      aEntry.mRowDue = Now() + mOptions.mRowRetryDelay;
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
PlacementTask::MayAct()
{
  mLapsed = mLapsed || !HoldsLease();
  return !mLapsed;
}

void
PlacementTask::SendToWorker(const Entry& aEntry, const GangCommand& aCommand)
{
  // A renewal starts nothing, and workers reject a former owner.
  if (aCommand.Action() != WorkerAction::kRenew && !MayAct()) {
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
  const auto address = mAddresses.find(member.Worker());
  if (address == mAddresses.end()) {
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
      state::WorkerReply aReport) {
      caf::anon_send(self, WorkerCallCompleted{ command, worker, aReport });
    });
}

void
PlacementTask::ApplyReport(const WorkerCallCompleted& aReported)
{
  const state::WorkerCommand& command = aReported.mCommand;
  const auto it = mJobs.find(command.Gang());
  if (aReported.mReport.Status() != state::WorkerReplyStatus::kUnreachable) {
    SetLeaving(aReported.mWorker, aReported.mReport.Leaving());
  }
  const auto kind = ToGangEvent(command.Action(), aReported.mReport);
  const bool current =
    it != mJobs.end() && it->second.mGang.Epoch() == command.Epoch() &&
    it->second.mGang.RecordedJob().Attempt() == command.Attempt();
  if (!kind || !current) {
    return;
  }
  RecordOutcome(it->second.mGang, aReported, *kind);
  Handle(command.Gang(),
         GangEvent::ForMember(*kind,
                              command.Attempt(),
                              static_cast<std::size_t>(command.Member()),
                              Now()));
}

void
PlacementTask::SetLeaving(const VmId& aWorker, bool aLeaving)
{
  if (aLeaving) {
    mLeaving.insert(aWorker);
  } else if (mLeaving.erase(aWorker) > 0) {
    mQueueDue = true;
  }
}

void
PlacementTask::RecordOutcome(const Gang& aGang,
                             const WorkerCallCompleted& aReported,
                             GangEventKind aKind)
{
  const auto index = static_cast<std::size_t>(aReported.mCommand.Member());
  if (index >= aGang.Members().size()) {
    return;
  }
  const auto known = aGang.Members()[index].State();
  const bool setUp = aReported.mCommand.Action() == WorkerAction::kReserve ||
                     aReported.mCommand.Action() == WorkerAction::kCommit;
  const bool succeeded = aKind == GangEventKind::kSucceeded &&
                         known != state::MemberState::kSucceeded;
  const bool failed =
    (aKind == GangEventKind::kFailed && known != state::MemberState::kFailed) ||
    (aKind == GangEventKind::kUnreachable && setUp);
  if (!succeeded && !failed) {
    return;
  }
  const bool before = mHealth.IsQuarantined(aReported.mWorker);
  const JobSpec& spec = aGang.RecordedJob().Spec();
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

void
PlacementTask::OnPhase(const JobId& aJob, Entry& aEntry, GangPhase aBefore)
{
  const Gang& gang = aEntry.mGang;
  mPorts.mLog.Write(
    { LogEvent::kGangPhase,
      { { "job", aJob.Text() },
        { "attempt", std::to_string(gang.RecordedJob().Attempt()) },
        { "epoch", std::to_string(gang.Epoch()) },
        { "phase", std::string(GangPhaseName(gang.Phase())) } } });
  if (aBefore == GangPhase::kRecordingSubmission &&
      gang.Phase() != GangPhase::kSuperseded) {
    Accept(aJob, aEntry);
  }
  AnswerCancellers(aEntry);
  switch (gang.Phase()) {
    case GangPhase::kQueued:
      mQueueDue = true;
      if (aBefore == GangPhase::kRecordingOutcome) {
        Requeue(aJob, aEntry);
      }
      break;
    case GangPhase::kFinal:
      mQueueDue = true;
      mFinished.push_back(aJob);
      break;
    case GangPhase::kSuperseded:
      mPorts.mLog.Write({ LogEvent::kOwnerFenced, { { "job", aJob.Text() } } });
      aEntry.mRowStep = RowStep::kRead;
      aEntry.mRowDue = Now() + mOptions.mRowRetryDelay;
      break;
    default:
      break;
  }
}

void
PlacementTask::Accept(const JobId& aJob, Entry& aEntry)
{
  const Job& job = aEntry.mGang.RecordedJob();
  mPorts.mLog.Write(
    { LogEvent::kJobAccepted,
      { { "job", aJob.Text() },
        { "organisation", job.Spec().Organisation().Text() },
        { "class", job.Spec().Class().Text() },
        { "workers", std::to_string(job.Spec().GangShape().Workers()) } } });
  ++mCounters["jobs_accepted_total"];
  for (Waiter& waiter : aEntry.mSubmitters) {
    Answer(waiter.mPromise, aEntry.mGang.VisibleJob());
  }
  aEntry.mSubmitters.clear();
}

void
PlacementTask::AnswerCancellers(Entry& aEntry)
{
  const Job& job = aEntry.mGang.RecordedJob();
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
  const int doublings = std::min(aEntry.mRequeues++, kMaxPauseDoublings);
  aEntry.mNotBefore = Now() + mOptions.mRequeueBackoff * (1 << doublings);
  aEntry.mExplanation = gang.RecordedJob().Detail();
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
      "the job failed " + std::to_string(aEntry.mTaskFailures) + " times, on " +
        std::to_string(healthy) + " healthy workers");
  }
}

} // namespace cornelrudder::coordination
