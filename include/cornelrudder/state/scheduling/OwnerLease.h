#ifndef CORNELRUDDER_STATE_SCHEDULING_OWNER_LEASE_H
#define CORNELRUDDER_STATE_SCHEDULING_OWNER_LEASE_H

#include "cornelrudder/state/PeakWindow.h"
#include "cornelrudder/state/scheduling/JobMemory.h"
#include "cornelrudder/state/scheduling/TaskId.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/**
 * A termination that the record of its job does not contain, since the store
 * rejects the record.
 */
struct UnrecordedEnd
{
  TaskId mTask;
  std::uint64_t mRun = 0;
  TerminationReason mReason = TerminationReason::kStopped;

  auto operator<=>(const UnrecordedEnd&) const = default;
};

/** Value of the lease row, which names the daemon that schedules the tasks. */
struct OwnerLease
{
  /** Identifier of the owner; empty after a release. */
  std::string mOwner;
  /** Incarnation of the owner process. */
  std::string mIncarnation;
  /** Fencing token; increases with each change of owner. */
  std::uint64_t mEpoch = 0;
  /** Number of writes by this owner. */
  std::uint64_t mSequence = 0;
  /** Number of jobs not started yet, by queue; empty queues are left out. */
  std::map<std::string, std::uint64_t> mPending;
  /**
   * Number of recent releases in a row by owners that did not reach the
   * workers.
   */
  std::uint64_t mHandovers = 0;
  /**
   * Longest time between two renewals that the owner expects, from the times
   * that its recent writes took; 0 if unknown.
   */
  std::chrono::milliseconds mRenewalBound{ 0 };
  /**
   * In a released lease: the time in milliseconds from the write of this row
   * after which none of the runs on a worker can exist, by worker. Contains the
   * unresponsive workers with runs, whose leases the owner no longer extends.
   */
  std::map<std::string, std::uint64_t> mWorkerLeases{};
  /**
   * Kept here so that workers may forget them: a worker reports only its first
   * unacknowledged terminations, and those of other jobs come after them.
   */
  std::vector<UnrecordedEnd> mUnrecordedEnds{};
  /** Memory of the jobs; nothing from an owner that does not report it. */
  std::optional<JobMemory> mJobMemory{};

  /**
   * Limits handovers among daemons of which none reaches the workers.
   * @param aHeld Time for which the owner has had the lease.
   * @return Whether an owner that does not reach the workers releases the
   *   lease.
   */
  bool MayHandOver(std::chrono::milliseconds aHeld) const;

  /** @return The lease as such an owner releases it. */
  OwnerLease HandedOver(std::chrono::milliseconds aHeld) const;

  bool HasLists() const
  {
    return !mPending.empty() || !mWorkerLeases.empty() ||
           (mJobMemory && !mJobMemory->mByOrganisation.empty());
  }

  /**
   * @return The lease without half of the workers' leases or, if there are
   *   none, without the lower half of the longer of the other lists.
   */
  OwnerLease WithShorterLists() const;

  auto operator<=>(const OwnerLease&) const = default;
};

/**
 * Detects from repeated reads of the lease row that its owner no longer renews
 * it. Time is measured by the clock of the store, so daemons need no
 * synchronised clocks, and a pause of this daemon does not look like a failure
 * of the owner.
 */
class LeaseObserver
{
public:
  /**
   * @param aTimeout Time without a change of the row after which the lease
   *   counts as expired.
   */
  explicit LeaseObserver(std::chrono::milliseconds aTimeout)
    : mTimeout(aTimeout)
  {
  }

  /**
   * Records a read of the row.
   * @param aVersion Version of the row.
   * @param aStoreTime Time of the read by the clock of the store.
   */
  void Observe(std::uint64_t aVersion, std::chrono::milliseconds aStoreTime);

  /**
   * Discards the observations. Called when this daemon cannot reach the store:
   * the owner may have failed to renew for the same reason.
   */
  void Reset() { mHasObservation = false; }

  /**
   * @param aMinimum Shortest time without a change for this row, if it is
   *   longer than the timeout.
   * @return Whether the row was unchanged for that time.
   */
  bool IsExpired(std::chrono::milliseconds aMinimum = {}) const
  {
    return mHasObservation &&
           mLastReadAt - mFirstReadAt >= std::max(mTimeout, aMinimum);
  }

  /**
   * @param aMinimum As for IsExpired().
   * @return Time from the last read until the lease expires if the row stays
   *   unchanged; not positive if it has expired.
   */
  std::chrono::milliseconds TimeToExpiry(
    std::chrono::milliseconds aMinimum = {}) const
  {
    return std::max(mTimeout, aMinimum) - (mLastReadAt - mFirstReadAt);
  }

private:
  std::chrono::milliseconds mTimeout;
  bool mHasObservation = false;
  std::uint64_t mVersion = 0;
  std::chrono::milliseconds mFirstReadAt{ 0 };
  std::chrono::milliseconds mLastReadAt{ 0 };
};

/**
 * Recent times that calls to the store took, by which daemons tell a slow store
 * from a failed owner. A value type.
 */
class StoreTiming
{
public:
  /** @return The timing after a read of the lease row. */
  StoreTiming WithRead(std::chrono::milliseconds aNow,
                       std::chrono::milliseconds aTook) const;

  /**
   * @param aTook Time from the first attempt of the write to its reply.
   * @return The timing after a stored write of the owner.
   */
  StoreTiming WithRenewal(std::chrono::milliseconds aNow,
                          std::chrono::milliseconds aTook) const;

  /**
   * @param aInterval Interval of the renewals.
   * @return OwnerLease::mRenewalBound for the next write of the owner.
   */
  std::chrono::milliseconds RenewalBound(
    std::chrono::milliseconds aNow,
    std::chrono::milliseconds aInterval) const;

  /**
   * @param aBound Bound in the lease row.
   * @param aTimeout Silence after which an owner counts as failed while the
   *   store is fast.
   * @return The least that SilenceLimit() is for any daemon.
   */
  static std::chrono::milliseconds LeastSilence(
    std::chrono::milliseconds aBound,
    std::chrono::milliseconds aTimeout);

  /**
   * @param aBound As for LeastSilence().
   * @param aTimeout As for LeastSilence().
   * @return Silence of the owner after which it counts as failed.
   */
  std::chrono::milliseconds SilenceLimit(
    std::chrono::milliseconds aNow,
    std::chrono::milliseconds aBound,
    std::chrono::milliseconds aTimeout) const;

  /**
   * @return Range of the random delay of an acquisition. While the store is
   *   slow, simultaneous attempts of all daemons would delay the first one.
   */
  std::chrono::milliseconds AcquireSpread(std::chrono::milliseconds aNow) const;

  auto operator<=>(const StoreTiming&) const = default;

private:
  /** @return By how much the slowest recent read exceeded the usual time. */
  std::chrono::milliseconds ReadDelay(std::chrono::milliseconds aNow) const;

  /** Two windows cover the calls of a slow store between two renewals. */
  static constexpr std::chrono::milliseconds kWindow{ 5'000 };

  PeakWindow mReads{ 0, kWindow };
  PeakWindow mRenewals{ 0, kWindow };
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_OWNER_LEASE_H
