#ifndef CORNELRUDDER_STATE_RESERVATION_H
#define CORNELRUDDER_STATE_RESERVATION_H

#include "cornelrudder/state/Ids.h"

#include <compare>
#include <vector>

namespace cornelrudder::state {

/**
 * Accelerators that are kept for a waiting job while they become free. It
 * names workers and not a time, so that no declared run time matters.
 */
class Reservation
{
public:
  Reservation(JobId aJob,
              std::vector<VmId> aWorkers,
              int aAcceleratorsPerWorker)
    : mJob(std::move(aJob))
    , mWorkers(std::move(aWorkers))
    , mAcceleratorsPerWorker(aAcceleratorsPerWorker)
  {
  }

  const JobId& Job() const { return mJob; }
  const std::vector<VmId>& Workers() const { return mWorkers; }
  int AcceleratorsPerWorker() const { return mAcceleratorsPerWorker; }

  auto operator<=>(const Reservation&) const = default;

private:
  JobId mJob;
  std::vector<VmId> mWorkers;
  int mAcceleratorsPerWorker;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RESERVATION_H
