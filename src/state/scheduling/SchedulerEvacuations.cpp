#include "SchedulerImpl.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelrudder::state::scheduling {

void
Scheduler::Impl::ApplyEvacuations(const Evacuations& aEvacuations, Millis aNow)
{
  const Evacuations before = std::exchange(mEvacuations, aEvacuations);
  for (auto& [id, worker] : mWorkers) {
    worker.mIsEvacuated = mEvacuations.Contains(worker.mInfo.mZone);
  }
  const std::map<std::string, std::size_t> withdrawn =
    WithdrawEvacuatedRuns(aNow);
  for (const std::string& zone : mEvacuations.Zones()) {
    if (!before.Contains(zone)) {
      const auto it = withdrawn.find(zone);
      RecordEvacuation(zone, it != withdrawn.end() ? it->second : 0);
    }
  }
}

void
Scheduler::Impl::RecordEvacuation(const std::string& aZone,
                                  std::size_t aWithdrawn)
{
  std::size_t workers = 0;
  std::size_t runs = 0;
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mInfo.mZone == aZone) {
      ++workers;
      runs += worker.mAssigned.size();
    }
  }
  RecordEvent(SchedulerEvent::Kind::kEvacuated,
              { { "zone", aZone },
                { "workers", std::to_string(workers) },
                { "runs", std::to_string(runs) },
                { "withdrawn", std::to_string(aWithdrawn) } });
}

/**
 * Withdraws runs in evacuated zones whose start has not been sent, with the
 * other members of their gangs.
 * @return Number of runs that were withdrawn, by zone.
 */
std::map<std::string, std::size_t>
Scheduler::Impl::WithdrawEvacuatedRuns(Millis aNow)
{
  std::map<std::string, std::size_t> withdrawn;
  if (mEvacuations.Zones().empty()) {
    return withdrawn;
  }
  std::vector<TaskKey> planned;
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mIsEvacuated) {
      std::copy_if(worker.mAssigned.begin(),
                   worker.mAssigned.end(),
                   std::back_inserter(planned),
                   [this](const TaskKey& aKey) { return IsPlanned(aKey); });
    }
  }
  for (const TaskKey& key : planned) {
    ++withdrawn[mWorkers.at(mJobs.at(key.first).mTasks[key.second].mWorker)
                  .mInfo.mZone];
    // The withdrawal of another member of its gang may have included it.
    if (IsPlanned(key)) {
      JobState& job = mJobs.at(key.first);
      RecordEvent(SchedulerEvent::Kind::kRunLost,
                  { { "task", job.IdOf(key.second).Text() },
                    { "run", std::to_string(job.mTasks[key.second].mRun) },
                    { "worker", job.mTasks[key.second].mWorker },
                    { "reason", "evacuated" } });
      RequestStop(job, key.second, LossCause::kOther, aNow);
    }
  }
  return withdrawn;
}

bool
Scheduler::Impl::IsPlanned(const TaskKey& aKey) const
{
  return mJobs.at(aKey.first).mTasks[aKey.second].mPhase == TaskPhase::kPlanned;
}

} // namespace cornelrudder::state::scheduling
