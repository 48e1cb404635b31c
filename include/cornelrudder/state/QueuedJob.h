#ifndef CORNELRUDDER_STATE_QUEUED_JOB_H
#define CORNELRUDDER_STATE_QUEUED_JOB_H

#include "cornelrudder/state/PlacementStrategy.h"

#include <chrono>

namespace cornelrudder::state {

/** A queued job with the data that determines the order of service. */
class QueuedJob
{
public:
  /**
   * @param aUrgency Urgency of the job's class; 0 is the least urgent.
   * @param aQueuedAt Monotonic time of submission. A job that is stopped and
   *   queued again keeps this time.
   */
  QueuedJob(JobId aJob,
            PlacementRequest aRequest,
            int aUrgency,
            std::chrono::milliseconds aQueuedAt)
    : mJob(std::move(aJob))
    , mRequest(std::move(aRequest))
    , mUrgency(aUrgency)
    , mQueuedAt(aQueuedAt)
  {
  }

  const JobId& Job() const { return mJob; }
  const PlacementRequest& Request() const { return mRequest; }
  int Urgency() const { return mUrgency; }
  std::chrono::milliseconds QueuedAt() const { return mQueuedAt; }

  auto operator<=>(const QueuedJob&) const = default;

private:
  JobId mJob;
  PlacementRequest mRequest;
  int mUrgency;
  std::chrono::milliseconds mQueuedAt;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_QUEUED_JOB_H
