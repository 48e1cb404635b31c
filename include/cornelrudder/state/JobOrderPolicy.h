#ifndef CORNELRUDDER_STATE_JOB_ORDER_POLICY_H
#define CORNELRUDDER_STATE_JOB_ORDER_POLICY_H

#include "cornelrudder/state/QueuedJob.h"

#include <chrono>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** Inputs to the order of the queue other than the jobs and the fleet. */
class JobOrderContext
{
public:
  /**
   * Waiting time after which a job goes first regardless of its urgency and its
   * organisation's share. Jobs run for hours, so an hour is short compared with
   * their completion time.
   */
  static constexpr std::chrono::milliseconds kStarvationThreshold =
    std::chrono::hours(1);

  /**
   * @param aWeights Weight of each organisation's share; 1 if not listed.
   * @param aNow Monotonic time.
   */
  JobOrderContext(
    std::map<OrganisationId, int> aWeights,
    std::chrono::milliseconds aNow,
    std::chrono::milliseconds aStarvationThreshold = kStarvationThreshold)
    : mWeights(std::move(aWeights))
    , mNow(aNow)
    , mStarvationThreshold(aStarvationThreshold)
  {
  }

  const std::map<OrganisationId, int>& Weights() const { return mWeights; }
  std::chrono::milliseconds Now() const { return mNow; }
  std::chrono::milliseconds StarvationThreshold() const
  {
    return mStarvationThreshold;
  }

  auto operator<=>(const JobOrderContext&) const = default;

private:
  std::map<OrganisationId, int> mWeights;
  std::chrono::milliseconds mNow;
  std::chrono::milliseconds mStarvationThreshold;
};

/** Strategy that determines the order in which queued jobs are served. */
class JobOrderPolicy
{
public:
  virtual ~JobOrderPolicy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  /** @return Whether a job may start before an earlier one that has to wait. */
  virtual bool AllowsBackfill() const = 0;

  /** @return The positions of all jobs, in the order of service. */
  virtual std::vector<std::size_t> ServiceOrder(
    std::span<const QueuedJob> aJobs,
    const FleetSnapshot& aSnapshot,
    const JobOrderContext& aContext) const = 0;
};

/** @return All policies; the first is the baseline without backfill. */
std::span<const JobOrderPolicy* const>
AllJobOrderPolicies();

/** @return The policy of this name, or null. */
const JobOrderPolicy*
FindJobOrderPolicy(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_ORDER_POLICY_H
