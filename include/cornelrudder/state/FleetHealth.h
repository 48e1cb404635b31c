#ifndef CORNELRUDDER_STATE_FLEET_HEALTH_H
#define CORNELRUDDER_STATE_FLEET_HEALTH_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <vector>

namespace cornelrudder::state {

/** What became of one member of a gang on a worker. */
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
 * Recent outcomes of all workers, and which workers are in quarantine. A
 * worker is quarantined when more than half of its outcomes are failures
 * while the same class succeeds elsewhere.
 */
class FleetHealth
{
public:
  /** Outcomes kept of each worker. */
  static constexpr std::size_t kMaxOutcomes = 20;
  /** Fewer outcomes say too little about a worker. */
  static constexpr std::size_t kMinOutcomes = 3;
  /** One faulty job must not quarantine the workers that it fails on. */
  static constexpr std::size_t kMinFailedJobs = 2;
  static constexpr int kProbesToRelease = 5;
  static constexpr std::chrono::milliseconds kProbeInterval{ 10'000 };

  FleetHealth WithOutcome(const VmId& aWorker,
                          const MemberOutcome& aOutcome,
                          std::chrono::milliseconds aNow) const;

  bool IsQuarantined(const VmId& aWorker) const;

  /** @return Whether a quarantined worker may get one probe now. */
  bool MayProbe(const VmId& aWorker, std::chrono::milliseconds aNow) const;

  /** @return The health after a probe was sent. */
  FleetHealth WithProbe(const VmId& aWorker,
                        std::chrono::milliseconds aNow) const;

  /**
   * @return Whether a failure of a job speaks against the job: the worker is
   *   not in quarantine and other jobs do not mostly fail on it.
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
