#include "SchedulerImpl.h"

namespace cornelrudder::state::scheduling {

/**
 * Handles a worker whose address another worker has taken over: the earlier one
 * and its runs are gone.
 */
void
Scheduler::Impl::HandleReplacedWorker(WorkerState& aWorker, Millis aNow)
{
  RecordCrash(aWorker, "other_life", aNow);
  HandleLostWorker(aWorker, "other_life", aNow);
}

/**
 * Records the runs that were, or may have been, in progress when their worker
 * crashed. A draining worker has shut down as announced.
 */
void
Scheduler::Impl::RecordCrash(WorkerState& aWorker,
                             const char* aEvidence,
                             Millis aNow)
{
  if (aWorker.mInfo.mDraining) {
    return;
  }
  for (const auto& [jobId, index] : aWorker.mAssigned) {
    const JobState& job = mJobs.at(jobId);
    const Task& task = job.mTasks[index];
    if (task.mPhase != TaskPhase::kStarting &&
        task.mPhase != TaskPhase::kRunning) {
      continue;
    }
    const Millis runTime =
      task.mRunningSince.count() > 0 ? aNow - task.mRunningSince : Millis(0);
    RecordEvent(SchedulerEvent::Kind::kRunCrashed,
                { { "task", job.IdOf(index).Text() },
                  { "run", std::to_string(task.mRun) },
                  { "worker", aWorker.mInfo.mId },
                  { "evidence", aEvidence },
                  { "phase", TaskPhaseName(task.mPhase) },
                  { "run_ms", std::to_string(runTime.count()) },
                  { "runs", std::to_string(aWorker.mAssigned.size()) } });
  }
}

} // namespace cornelrudder::state::scheduling
