#include "SchedulerImpl.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cornelrudder::state::scheduling {

namespace {

/** Interval of the reports, which bounds the volume of the log. */
constexpr Millis kStallReportInterval{ 1'000 };
/** Time without a run on a responsive worker from which a job is reported. */
constexpr Millis kMinStallReported{ 1'000 };

} // namespace

std::array<std::size_t, kWorkerConditions>
Scheduler::Impl::CountConditions(Millis aNow) const
{
  std::array<std::size_t, kWorkerConditions> counts{};
  for (const auto& [id, worker] : mWorkers) {
    ++counts.at(static_cast<std::size_t>(worker.ConditionAt(aNow)));
  }
  return counts;
}

std::map<std::string, std::uint64_t>
Scheduler::Impl::Gauges() const
{
  std::map<std::string, std::uint64_t> gauges{
    { "scheduler_jobs", mJobs.size() },
    { "scheduler_jobs_deferred", mDeferred.size() },
    { "scheduler_job_bytes", mJobBytes },
    { "scheduler_workers", mWorkers.size() },
    { "scheduler_checkpoint_bytes", mCheckpointBytes },
    { "scheduler_planned_units", mPlannedUnits }
  };
  const RunTimeStatistics runTimes = mRunTimes->Statistics();
  gauges["scheduler_run_time_keys"] = runTimes.mKeys;
  gauges["scheduler_run_time_error_percent"] =
    static_cast<std::uint64_t>(std::llround(runTimes.mErrorPercent));
  const auto counts = CountConditions(mPlannedAt);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const auto condition = static_cast<WorkerCondition>(i);
    gauges[std::string("scheduler_workers_") + WorkerConditionName(condition)] =
      counts.at(i);
  }
  for (std::size_t i = 0; i < mLostWork.size(); ++i) {
    const auto cause = static_cast<LossCause>(i);
    gauges[std::string("scheduler_lost_core_seconds{cause=\"") +
           LossCauseName(cause) + "\"}"] =
      static_cast<std::uint64_t>(std::llround(mLostWork.at(i)));
  }
  gauges["scheduler_jobs_failed{reason=\"attempts\"}"] = mJobsOutOfAttempts;
  gauges["scheduler_jobs_failed{reason=\"crashes\"}"] = mJobsCrashingWorkers;
  for (std::size_t i = 0; i < mLostRunsByBasis.size(); ++i) {
    const auto basis = static_cast<LossBasis>(i);
    gauges[std::string("scheduler_runs_lost{basis=\"") + LossBasisName(basis) +
           "\"}"] = mLostRunsByBasis.at(i);
  }
  for (const auto& [id, job] : mJobs) {
    gauges["scheduler_jobs_stalled"] += job.mStalledSince.count() > 0 ? 1 : 0;
    for (const Task& task : job.mTasks) {
      gauges["scheduler_tasks_waiting"] +=
        task.mPhase == TaskPhase::kWaiting ? 1 : 0;
      gauges["scheduler_tasks_assigned"] += task.IsAssigned() ? 1 : 0;
    }
  }
  return gauges;
}

TakeoverSummary
Scheduler::Impl::Inherited(Millis aNow) const
{
  TakeoverSummary summary;
  for (const auto& [id, end] : mOptions.mInheritedLeases) {
    const Millis left = end - aNow;
    const bool isFirst = summary.mReleasedWorkers++ == 0;
    summary.mShortestRelease =
      isFirst ? left : std::min(summary.mShortestRelease, left);
    summary.mLongestRelease =
      isFirst ? left : std::max(summary.mLongestRelease, left);
  }
  for (const auto& [id, worker] : mWorkers) {
    const auto runs = static_cast<std::size_t>(std::count_if(
      worker.mAssigned.begin(),
      worker.mAssigned.end(),
      [this](const TaskKey& aKey) {
        return mJobs.at(aKey.first).mTasks[aKey.second].mIsInherited;
      }));
    summary.mRuns += runs;
    summary.mWorkers += runs > 0 ? 1 : 0;
    if (runs > 0 &&
        worker.mLeaseSource.mSource.mBasis == LossBasis::kPresumption) {
      const Millis left = worker.mLeaseExpiry - aNow;
      summary.mLongestPresumption =
        summary.mPresumedWorkers++ == 0
          ? left
          : std::max(summary.mLongestPresumption, left);
    }
  }
  return summary;
}

std::vector<LeaseExtension>
Scheduler::Impl::LeaseExtensions() const
{
  std::vector<LeaseExtension> extensions;
  for (const auto& [id, worker] : mWorkers) {
    if (!worker.mAssigned.empty()) {
      extensions.push_back({ worker.mLeaseSource.mExtendedAt, id });
    }
  }
  std::sort(extensions.begin(), extensions.end(), std::greater<>());
  return extensions;
}

/** @return A waiting task whose step is due and ready, or nothing. */
std::optional<std::size_t>
Scheduler::Impl::FirstReadyTask(const JobState& aJob, Millis aNow) const
{
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    const std::size_t occurrence = aJob.OccurrenceOf(i);
    if (aJob.mTasks[i].mPhase == TaskPhase::kWaiting &&
        IsDue(aJob, occurrence, aNow) &&
        aJob.IsStepReady(occurrence, aJob.StepAndIndexOf(i).first)) {
      return i;
    }
  }
  return std::nullopt;
}

/** @return Tasks of a job that are assigned to workers that do not reply. */
std::vector<std::size_t>
Scheduler::Impl::UnresponsiveTasks(const JobState& aJob) const
{
  std::vector<std::size_t> tasks;
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    const Task& task = aJob.mTasks[i];
    if (task.IsAssigned() && mWorkers.at(task.mWorker).mFailedRenewals > 0) {
      tasks.push_back(i);
    }
  }
  return tasks;
}

/**
 * @return A task that keeps a job from progress, if the job has no run on a
 *   responsive worker: a ready task that waits, or one whose worker does not
 *   reply.
 */
std::optional<std::size_t>
Scheduler::Impl::FirstStalledTask(const JobState& aJob, Millis aNow) const
{
  const std::vector<std::size_t> unresponsive = UnresponsiveTasks(aJob);
  const auto assigned = static_cast<std::size_t>(
    std::count_if(aJob.mTasks.begin(), aJob.mTasks.end(), [](const Task& aIt) {
      return aIt.IsAssigned();
    }));
  if (IsFinal(aJob.mPhase) || assigned > unresponsive.size()) {
    return std::nullopt;
  }
  if (const auto ready = FirstReadyTask(aJob, aNow)) {
    return ready;
  }
  return unresponsive.empty() ? std::nullopt
                              : std::make_optional(unresponsive.front());
}

/**
 * Reports the job that has waited longest without a run on a responsive worker,
 * with the number of such jobs and of the workers by condition.
 */
void
Scheduler::Impl::ReportStalledJobs(Millis aNow)
{
  if (aNow < mNextStallReport) {
    return;
  }
  mNextStallReport = aNow + kStallReportInterval;
  std::size_t stalled = 0;
  const JobState* longest = nullptr;
  for (auto& [id, job] : mJobs) {
    if (!FirstStalledTask(job, aNow)) {
      job.mStalledSince = Millis(0);
      continue;
    }
    if (job.mStalledSince.count() == 0) {
      job.mStalledSince = aNow;
    }
    ++stalled;
    if (longest == nullptr || job.mStalledSince < longest->mStalledSince) {
      longest = &job;
    }
  }
  if (longest == nullptr || aNow - longest->mStalledSince < kMinStallReported) {
    return;
  }
  const std::size_t task = *FirstStalledTask(*longest, aNow);
  const std::vector<std::size_t> unresponsive = UnresponsiveTasks(*longest);
  Millis leaseEnd{ 0 };
  for (const std::size_t i : unresponsive) {
    leaseEnd =
      std::max(leaseEnd, mWorkers.at(longest->mTasks[i].mWorker).mLeaseExpiry);
  }
  const auto wait = mWaits.find({ longest->mJob.Id(), task });
  EventFields fields{
    { "task", longest->IdOf(task).Text() },
    { "stalled_ms", std::to_string((aNow - longest->mStalledSince).count()) },
    { "reason",
      wait != mWaits.end() ? PlanReasonName(wait->second.mReason) : "" },
    { "stalled_jobs", std::to_string(stalled) },
    { "unresponsive_runs", std::to_string(unresponsive.size()) },
    { "lease_ends_in_ms",
      std::to_string(unresponsive.empty() ? 0 : (leaseEnd - aNow).count()) }
  };
  const auto counts = CountConditions(aNow);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    fields.emplace_back(WorkerConditionName(static_cast<WorkerCondition>(i)),
                        std::to_string(counts.at(i)));
  }
  RecordEvent(SchedulerEvent::Kind::kJobStalled, std::move(fields));
}

} // namespace cornelrudder::state::scheduling
