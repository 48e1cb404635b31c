#ifndef CORNELRUDDER_STATE_RESERVATION_H
#define CORNELRUDDER_STATE_RESERVATION_H

#include "cornelrudder/state/Ids.h"

#include <compare>
#include <vector>

namespace cornelrudder::state {

/**
 * Accelerators reserved for a queued job until enough of them are free. It
 * names workers and no start time, so it does not depend on declared run times.
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
