#ifndef CORNELRUDDER_STATE_FLEET_HEALTH_H
#define CORNELRUDDER_STATE_FLEET_HEALTH_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <vector>

namespace cornelrudder::state {

/** Whether one member of a gang succeeded on a worker. */
class MemberOutcome
{
public:
  MemberOutcome(JobId aJob, ClassName aClass, bool aSucceeded)
    : mJob(std::move(aJob))
    , mClass(std::move(aClass))
    , mSucceeded(aSucceeded)
  {
  }

  const JobId& Job() const { return mJob; }
  const ClassName& Class() const { return mClass; }
  bool Succeeded() const { return mSucceeded; }

  auto operator<=>(const MemberOutcome&) const = default;

private:
  JobId mJob;
  ClassName mClass;
  bool mSucceeded;
};

/**
 * Recent outcomes on all workers, and which workers are in quarantine. A worker
 * is quarantined when more than half of its recent outcomes are failures while
 * the same class succeeds on another worker. It is released after several
 * successful probes in a row.
 */
class FleetHealth
{
public:
  /** Number of recent outcomes kept for each worker. */
  static constexpr std::size_t kMaxOutcomes = 20;
  /** Fewer outcomes are not enough evidence against a worker. */
  static constexpr std::size_t kMinOutcomes = 3;
  /** A single faulty job must not quarantine the workers on which it fails. */
  static constexpr std::size_t kMinFailedJobs = 2;
  /** Successive successful probes that release a worker from quarantine. */
  static constexpr int kProbesToRelease = 5;
  static constexpr std::chrono::milliseconds kProbeInterval{ 10'000 };

  /**
   * Adds an outcome, and quarantines or releases the worker if that meets the
   * conditions.
   * @param aNow Monotonic time.
   */
  FleetHealth WithOutcome(const VmId& aWorker,
                          const MemberOutcome& aOutcome,
                          std::chrono::milliseconds aNow) const;

  bool IsQuarantined(const VmId& aWorker) const;

  /** @return Whether the worker is in quarantine and its next probe is due. */
  bool MayProbe(const VmId& aWorker, std::chrono::milliseconds aNow) const;

  /** @return The state after a probe was sent to the worker. */
  FleetHealth WithProbe(const VmId& aWorker,
                        std::chrono::milliseconds aNow) const;

  /**
   * @return Whether a failure of the job on this worker is attributed to the
   *   job: the worker is not in quarantine, and at most half of the outcomes of
   *   other jobs on it are failures.
   */
  bool IsHealthyFor(const VmId& aWorker, const JobId& aJob) const;

  auto operator<=>(const FleetHealth&) const = default;

private:
  struct Worker
  {
    std::vector<MemberOutcome> mOutcomes;
    bool mQuarantined = false;
    int mProbes = 0;
    std::chrono::milliseconds mNextProbe{ 0 };

    auto operator<=>(const Worker&) const = default;
  };

  bool SucceedsElsewhere(const VmId& aWorker, const ClassName& aClass) const;

  std::map<VmId, Worker> mWorkers;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FLEET_HEALTH_H
