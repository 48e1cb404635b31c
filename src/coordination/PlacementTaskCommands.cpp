#include "PlacementTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

void
PlacementTask::HandleCommand(const JobCommand& aCommand, JobPromise& aPromise)
{
  if (!HoldsLease() || !mRecovered) {
    ReplyWithFailure(aPromise,
                     FailureReason::kNoOwner,
                     WasRun::kNo,
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

void
PlacementTask::ReplyWithFailure(JobPromise& aPromise,
                                FailureReason aReason,
                                WasRun aRan,
                                std::string aDetail)
{
  aPromise.deliver(JobReply(aReason, aRan, std::move(aDetail), {}));
}

void
PlacementTask::ReplyWithJob(JobPromise& aPromise, Job aJob, std::string aDetail)
{
  aPromise.deliver(JobReply(
    FailureReason::kNone, aJob.HasRun(), std::move(aDetail), { aJob }));
}

void
PlacementTask::Submit(const JobCommand& aCommand, JobPromise& aPromise)
{
  const JobSpec& spec = *aCommand.Spec();
  if (ReplyToDuplicate(spec, aPromise)) {
    return;
  }
  const auto [reason, detail] = CheckSubmission(spec);
  if (reason != FailureReason::kNone) {
    mPorts.mLog.Write({ LogEvent::kJobRefused,
                        { { "job", spec.Name().Text() },
                          { "organisation", spec.Organisation().Text() },
                          { "reason", std::string(FailureReasonName(reason)) },
                          { "detail", detail } } });
    ++mCounters["jobs_refused_total"];
    ReplyWithFailure(aPromise, reason, WasRun::kNo, detail);
    return;
  }
  const bool idempotent = FindJobClass(mSettings, spec.Class())->Idempotent();
  GangStep step =
    Gang::Submit(spec, mLease.Epoch(), idempotent, TimingOf(spec));
  Entry& entry = mJobs.emplace(spec.Name(), Entry(step.mNext)).first->second;
  entry.mSubmitWaiters.push_back({ aPromise, Now() + mOptions.mReplyTimeout });
  IndexIdempotencyKey(spec);
  ApplyGangStep(spec.Name(), std::move(step));
}

bool
PlacementTask::ReplyToDuplicate(const JobSpec& aSpec, JobPromise& aPromise)
{
  std::optional<JobId> existing;
  const auto it = mJobsByKey.find(
    { aSpec.Organisation(), aSpec.Team(), aSpec.IdempotencyKey() });
  if (!aSpec.IdempotencyKey().empty() && it != mJobsByKey.end()) {
    existing = it->second;
  } else if (mJobs.contains(aSpec.Name()) ||
             mFinalJobs.contains(aSpec.Name())) {
    existing = aSpec.Name();
  }
  if (!existing) {
    return false;
  }
  const auto active = mJobs.find(*existing);
  const Job job = active != mJobs.end() ? active->second.mGang.VisibleJob()
                                        : mFinalJobs.at(*existing);
  const JobSpec& original = job.Spec();
  const JobSpec resubmitted(original.Name(),
                            aSpec.Organisation(),
                            aSpec.Team(),
                            aSpec.Class(),
                            aSpec.GangShape(),
                            aSpec.IdempotencyKey(),
                            aSpec.ExpectedRunTime());
  if (resubmitted != original) {
    ReplyWithFailure(aPromise,
                     FailureReason::kKeyReused,
                     WasRun::kNo,
                     "job " + existing->Text() +
                       " was submitted with other values");
  } else if (active != mJobs.end() &&
             active->second.mGang.Phase() == GangPhase::kRecordingSubmission) {
    active->second.mSubmitWaiters.push_back(
      { aPromise, Now() + mOptions.mReplyTimeout });
  } else {
    ReplyWithJob(aPromise, job);
  }
  return true;
}

std::pair<FailureReason, std::string>
PlacementTask::CheckSubmission(const JobSpec& aSpec) const
{
  const auto jobClass = FindJobClass(mSettings, aSpec.Class());
  if (!jobClass) {
    return { FailureReason::kUnknownClass, "no class " + aSpec.Class().Text() };
  }
  if (!IsActiveTeam(mSettings, aSpec.Organisation(), aSpec.Team())) {
    return { FailureReason::kUnknownOrganisation,
             "no active team " + aSpec.Team().Text() + " of " +
               aSpec.Organisation().Text() };
  }
  if (!jobClass->Idempotent() && aSpec.IdempotencyKey().empty()) {
    return { FailureReason::kKeyRequired,
             "class " + aSpec.Class().Text() +
               " is not idempotent: a key is required" };
  }
  const state::VmList fleet = RegionWorkers();
  if (fleet.All().empty()) {
    return { FailureReason::kNoCapacity, "no workers are known" };
  }
  const auto decision = Strategy().Place(
    state::FleetSnapshot(fleet, {}, Guarantees()),
    { aSpec.Organisation(), aSpec.GangShape(), jobClass->Preemptible() });
  if (decision.Kind() == state::PlacementKind::kNeverFits) {
    return { FailureReason::kNeverFits, decision.Reason() };
  }
  return CheckQuota(aSpec);
}

std::pair<FailureReason, std::string>
PlacementTask::CheckQuota(const JobSpec& aSpec) const
{
  const auto limits =
    TeamLimitsOf(mSettings, aSpec.Organisation(), aSpec.Team());
  if (limits.mAccelerators &&
      aSpec.GangShape().Accelerators() > *limits.mAccelerators) {
    return { FailureReason::kQuotaExceeded,
             "the team may hold " + std::to_string(*limits.mAccelerators) +
               " accelerators" };
  }
  const auto queued =
    std::count_if(mJobs.begin(), mJobs.end(), [&aSpec](const auto& aEntry) {
      const Gang& gang = aEntry.second.mGang;
      const JobSpec& spec = gang.RecordedJob().Spec();
      return spec.Organisation() == aSpec.Organisation() &&
             spec.Team() == aSpec.Team() &&
             (gang.Phase() == GangPhase::kRecordingSubmission ||
              gang.Phase() == GangPhase::kQueued);
    });
  if (limits.mQueuedJobs && queued >= *limits.mQueuedJobs) {
    return { FailureReason::kQuotaExceeded,
             "the team has " + std::to_string(queued) + " waiting jobs of " +
               std::to_string(*limits.mQueuedJobs) };
  }
  return { FailureReason::kNone, "" };
}

void
PlacementTask::Get(const JobCommand& aCommand, JobPromise& aPromise)
{
  const auto job = FindJob(*aCommand.Job());
  if (job) {
    ReplyWithJob(aPromise, *job);
    return;
  }
  ReplyJobNotFound(aPromise);
}

void
PlacementTask::List(const JobCommand& /*aCommand*/, JobPromise& aPromise)
{
  std::vector<Job> jobs;
  for (const auto& [id, job] : mFinalJobs) {
    jobs.push_back(job);
  }
  for (const auto& [id, entry] : mJobs) {
    if (entry.mGang.Phase() != GangPhase::kRecordingSubmission) {
      jobs.push_back(entry.mGang.VisibleJob());
    }
  }
  aPromise.deliver(
    JobReply(FailureReason::kNone, WasRun::kNo, "", std::move(jobs)));
}

void
PlacementTask::Cancel(const JobCommand& aCommand, JobPromise& aPromise)
{
  const auto it = mJobs.find(*aCommand.Job());
  if (it == mJobs.end()) {
    Get(aCommand, aPromise);
    return;
  }
  it->second.mCancelWaiters.push_back(
    { aPromise, Now() + mOptions.mReplyTimeout });
  HandleGangEvent(it->first, GangEvent::ForGang(GangEventKind::kCancel, Now()));
}

void
PlacementTask::Explain(const JobCommand& aCommand, JobPromise& aPromise)
{
  const auto job = FindJob(*aCommand.Job());
  if (!job) {
    ReplyJobNotFound(aPromise);
    return;
  }
  ReplyWithJob(aPromise, *job, ExplanationOf(*job));
}

std::string
PlacementTask::ExplanationOf(const Job& aJob) const
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
  const state::GangPlacement placement = entry.mGang.HeldPlacement();
  for (const auto& member : placement.Members()) {
    text += " " + member.Worker().Text();
  }
  return text;
}

std::optional<Job>
PlacementTask::FindJob(const JobId& aJob) const
{
  const auto it = mJobs.find(aJob);
  if (it != mJobs.end() &&
      it->second.mGang.Phase() != GangPhase::kRecordingSubmission) {
    return it->second.mGang.VisibleJob();
  }
  const auto finalJob = mFinalJobs.find(aJob);
  return finalJob != mFinalJobs.end() ? std::optional(finalJob->second)
                                      : std::nullopt;
}

void
PlacementTask::ReplyJobNotFound(JobPromise& aPromise)
{
  aPromise.deliver(
    JobReply(FailureReason::kNone, WasRun::kNo, "no such job", {}));
}

} // namespace cornelrudder::coordination
