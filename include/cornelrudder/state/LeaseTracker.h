#ifndef CORNELRUDDER_STATE_LEASE_TRACKER_H
#define CORNELRUDDER_STATE_LEASE_TRACKER_H

#include "cornelrudder/state/Lease.h"
#include "cornelrudder/state/LeaseRow.h"
#include "cornelrudder/state/LeaseTimes.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelrudder::state {

/** Next step of a daemon for a lease. */
enum class LeaseAction
{
  /** Read the row. */
  kObserve,
  /**
   * Write the row with the same owner and epoch. Also chosen after this
   * daemon's lease has expired, as long as the row still names it as the owner.
   */
  kRenew,
  /** Write the row with this daemon as owner and the next epoch. */
  kAcquire
};

/**
 * State of one lease as known to one daemon; decides when to renew or acquire
 * it. All times are of the daemon's own monotonic clock; clocks of different
 * daemons are never compared.
 */
class LeaseTracker
{
public:
  LeaseTracker(RegionId aDomain,
               VmId aSelf,
               std::string aIncarnation,
               LeaseTimes aTimes);

  /** The row as last read; nothing if it is absent or was not read yet. */
  const std::optional<LeaseRow>& Row() const { return mRow; }

  /** Version of the row as last read; 0 if it is absent. */
  std::uint64_t Version() const { return mVersion; }

  /** This daemon's lease; its epoch is 0 if there is none or it expired. */
  Lease HeldLeaseAt(std::chrono::milliseconds aNow) const;

  /**
   * The owner in the row; nothing if the row names no owner, or names this
   * daemon, whose lease has expired. A former incarnation of this daemon is
   * returned as the owner until the lease is acquired again.
   */
  std::optional<VmId> OwnerAt(std::chrono::milliseconds aNow) const;

  /** @return The next step; kObserve before the first read of the row. */
  LeaseAction Decide(std::chrono::milliseconds aNow) const;

  /** @return The row to write for an action other than kObserve. */
  LeaseRow NextRow(LeaseAction aAction) const;

  /**
   * Updates the state after a read of the row.
   * @param aVersion Version of the row; 0 if it is absent.
   * @param aNow A time after the response arrived. With a time before the read,
   *   the takeover delay could start before the row was written.
   */
  LeaseTracker WithObservedRow(std::optional<LeaseRow> aRow,
                               std::uint64_t aVersion,
                               std::chrono::milliseconds aNow) const;

  /**
   * Updates the state after a successful renewal or acquisition.
   * @param aVersion Version of the row after the write.
   * @param aSentAt A time before the write was first sent, since other daemons
   *   may have read the new row from then on.
   */
  LeaseTracker WithAppliedWrite(LeaseRow aRow,
                                std::uint64_t aVersion,
                                std::chrono::milliseconds aSentAt,
                                std::chrono::milliseconds aNow) const;

  /** @return The state after this daemon stopped using its lease. */
  LeaseTracker WithoutHeldLease() const;

  auto operator<=>(const LeaseTracker&) const = default;

private:
  bool IsOwn(const std::optional<LeaseRow>& aRow) const
  {
    return aRow && aRow->IsOwnedBy(mSelf, mIncarnation);
  }

  RegionId mDomain;
  VmId mSelf;
  std::string mIncarnation;
  LeaseTimes mTimes;
  std::optional<LeaseRow> mRow;
  std::uint64_t mVersion = 0;
  /** When this row version was first read; nothing before the first read. */
  std::optional<std::chrono::milliseconds> mUnchangedSince;
  std::uint64_t mHeldEpoch = 0;
  std::chrono::milliseconds mHeldUntil{ 0 };
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_TRACKER_H
