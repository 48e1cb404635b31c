#ifndef CORNELRUDDER_STATE_JOB_ORDER_H
#define CORNELRUDDER_STATE_JOB_ORDER_H

#include "cornelrudder/state/QueuedJob.h"

#include <chrono>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** What the order of the queue depends on besides the jobs. */
class OrderContext
{
public:
  /**
   * Wait after which a job goes first whatever its urgency and share. Jobs run
   * for hours, so that an hour is short beside their completion time.
   */
  static constexpr std::chrono::milliseconds kOverdueAfter =
    std::chrono::hours(1);

  /**
   * @param aWeights Weights of the organisations' shares; 1 if not listed.
   * @param aNow Monotonic time.
   */
  OrderContext(std::map<OrganisationId, int> aWeights,
               std::chrono::milliseconds aNow,
               std::chrono::milliseconds aOverdueAfter = kOverdueAfter)
    : mWeights(std::move(aWeights))
    , mNow(aNow)
    , mOverdueAfter(aOverdueAfter)
  {
  }

  const std::map<OrganisationId, int>& Weights() const { return mWeights; }
  std::chrono::milliseconds Now() const { return mNow; }
  std::chrono::milliseconds OverdueAfter() const { return mOverdueAfter; }

  auto operator<=>(const OrderContext&) const = default;

private:
  std::map<OrganisationId, int> mWeights;
  std::chrono::milliseconds mNow;
  std::chrono::milliseconds mOverdueAfter;
};

/** Strategy that orders the queue. */
class JobOrder
{
public:
  virtual ~JobOrder() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  /** Whether jobs behind one that waits may start before it. */
  virtual bool Backfills() const = 0;

  /** @return Positions of all jobs, in the order of service. */
  virtual std::vector<std::size_t> Order(
    std::span<const QueuedJob> aJobs,
    const FleetLoad& aLoad,
    const OrderContext& aContext) const = 0;
};

/** @return All orders; the first is the naive baseline. */
std::span<const JobOrder* const>
AllJobOrders();

/** @return The order of this name, or null. */
const JobOrder*
FindJobOrder(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_ORDER_H
