#include "cornelrudder/state/FleetHealth.h"

#include <algorithm>
#include <set>

namespace cornelrudder::state {

using std::chrono::milliseconds;

FleetHealth
FleetHealth::WithOutcome(const VmId& aWorker,
                         const MemberOutcome& aOutcome,
                         milliseconds aNow) const
{
  FleetHealth next = *this;
  Worker& worker = next.mWorkers[aWorker];
  if (worker.mQuarantined) {
    worker.mProbes = aOutcome.Succeeded() ? worker.mProbes + 1 : 0;
    if (worker.mProbes >= kProbesToRelease) {
      worker = Worker();
    }
    return next;
  }
  worker.mOutcomes.push_back(aOutcome);
  if (worker.mOutcomes.size() > kMaxOutcomes) {
    worker.mOutcomes.erase(worker.mOutcomes.begin());
  }
  std::set<JobId> failedJobs;
  std::size_t failures = 0;
  for (const MemberOutcome& outcome : worker.mOutcomes) {
    if (!outcome.Succeeded()) {
      ++failures;
      failedJobs.insert(outcome.Job());
    }
  }
  const bool mostlyFails = worker.mOutcomes.size() >= kMinOutcomes &&
                           failedJobs.size() >= kMinFailedJobs &&
                           failures * 2 > worker.mOutcomes.size();
  if (mostlyFails && SucceedsElsewhere(aWorker, aOutcome.Class())) {
    worker.mQuarantined = true;
    worker.mNextProbe = aNow + kProbeInterval;
  }
  return next;
}

bool
FleetHealth::IsQuarantined(const VmId& aWorker) const
{
  const auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mQuarantined;
}

bool
FleetHealth::MayProbe(const VmId& aWorker, milliseconds aNow) const
{
  const auto it = mWorkers.find(aWorker);
  return it != mWorkers.end() && it->second.mQuarantined &&
         aNow >= it->second.mNextProbe;
}

FleetHealth
FleetHealth::WithProbe(const VmId& aWorker, milliseconds aNow) const
{
  FleetHealth next = *this;
  next.mWorkers[aWorker].mNextProbe = aNow + kProbeInterval;
  return next;
}

bool
FleetHealth::IsHealthyFor(const VmId& aWorker, const JobId& aJob) const
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return true;
  }
  std::size_t others = 0;
  std::size_t failures = 0;
  for (const MemberOutcome& outcome : it->second.mOutcomes) {
    if (outcome.Job() != aJob) {
      ++others;
      failures += outcome.Succeeded() ? 0 : 1;
    }
  }
  return !it->second.mQuarantined && failures * 2 <= others;
}

bool
FleetHealth::SucceedsElsewhere(const VmId& aWorker,
                               const ClassName& aClass) const
{
  return std::any_of(mWorkers.begin(), mWorkers.end(), [&](const auto& aEntry) {
    const auto& outcomes = aEntry.second.mOutcomes;
    return aEntry.first != aWorker &&
           std::any_of(
             outcomes.begin(), outcomes.end(), [&aClass](const auto& aOther) {
               return aOther.Succeeded() && aOther.Class() == aClass;
             });
  });
}

} // namespace cornelrudder::state
