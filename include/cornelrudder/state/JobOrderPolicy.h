#ifndef CORNELRUDDER_STATE_JOB_ORDER_POLICY_H
#define CORNELRUDDER_STATE_JOB_ORDER_POLICY_H

#include "cornelrudder/state/QueuedJob.h"

#include <chrono>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** What the order of the queue depends on besides the jobs. */
class JobOrderContext
{
public:
  /**
   * Wait after which a job goes first whatever its urgency and share. Jobs run
   * for hours, so that an hour is short beside their completion time.
   */
  static constexpr std::chrono::milliseconds kStarvationThreshold =
    std::chrono::hours(1);

  /**
   * @param aWeights Weights of the organisations' shares; 1 if not listed.
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

/** Strategy that orders the queue. */
class JobOrderPolicy
{
public:
  virtual ~JobOrderPolicy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  /** Whether jobs behind one that waits may start before it. */
  virtual bool AllowsBackfill() const = 0;

  /** @return Positions of all jobs, in the order of service. */
  virtual std::vector<std::size_t> ServiceOrder(
    std::span<const QueuedJob> aJobs,
    const FleetSnapshot& aSnapshot,
    const JobOrderContext& aContext) const = 0;
};

/** @return All orders; the first is the naive baseline. */
std::span<const JobOrderPolicy* const>
AllJobOrderPolicies();

/** @return The order of this name, or null. */
const JobOrderPolicy*
FindJobOrderPolicy(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_ORDER_POLICY_H
