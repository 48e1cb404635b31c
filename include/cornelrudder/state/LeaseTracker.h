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

/** What a daemon should do about a lease. */
enum class LeaseAction
{
  /** Read the row again later. */
  kObserve,
  /** Write the own row again. */
  kRenew,
  /** Write an own row with the next epoch. */
  kAcquire
};

/**
 * What one daemon knows about one lease, and what follows from it. Times are
 * those of the daemon's own monotonic clock; no two clocks are compared.
 */
class LeaseTracker
{
public:
  LeaseTracker(RegionId aDomain,
               VmId aSelf,
               std::string aIncarnation,
               LeaseTimes aTimes);

  /** The row as last seen; nothing if it is absent or was not read yet. */
  const std::optional<LeaseRow>& Row() const { return mRow; }

  /** Version of the row as last seen; 0 if it is absent. */
  std::uint64_t Version() const { return mVersion; }

  /** The own hold; its epoch is 0 if there is none or it has ended. */
  Lease HeldLeaseAt(std::chrono::milliseconds aNow) const;

  /** The owner in the row, without this daemon when its hold has ended. */
  std::optional<VmId> OwnerAt(std::chrono::milliseconds aNow) const;

  /** @return What to do now. */
  LeaseAction Decide(std::chrono::milliseconds aNow) const;

  /** @return The row to write for an action other than kObserve. */
  LeaseRow NextRow(LeaseAction aAction) const;

  /**
   * Takes in a read.
   * @param aVersion The row's version; 0 if it is absent.
   * @param aNow A time after the answer arrived. A time from before the read
   *   would let a taker count from before the row was written.
   */
  LeaseTracker WithObservedRow(std::optional<LeaseRow> aRow,
                               std::uint64_t aVersion,
                               std::chrono::milliseconds aNow) const;

  /**
   * Takes in that a write of an own row took effect.
   * @param aVersion Version that the write gave the row.
   * @param aSentAt A time before the write was first sent, since others may
   *   have seen the new row from then on.
   */
  LeaseTracker WithAppliedWrite(LeaseRow aRow,
                                std::uint64_t aVersion,
                                std::chrono::milliseconds aSentAt,
                                std::chrono::milliseconds aNow) const;

  /** @return The watch after the hold was given up. */
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
  /** When the row was first seen with this version; nothing before a read. */
  std::optional<std::chrono::milliseconds> mUnchangedSince;
  std::uint64_t mHeldEpoch = 0;
  std::chrono::milliseconds mHeldUntil{ 0 };
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_TRACKER_H
