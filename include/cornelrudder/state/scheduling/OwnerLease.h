#ifndef CORNELRUDDER_STATE_SCHEDULING_OWNER_LEASE_H
#define CORNELRUDDER_STATE_SCHEDULING_OWNER_LEASE_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cornelrudder::state::scheduling {

/** Value of the row that says which daemon schedules the tasks. */
struct OwnerLease
{
  /** Empty after a release. */
  std::string mOwner;
  /** Life of the owner's process. */
  std::string mIncarnation;
  /** Fencing token; grows with each change of owner. */
  std::uint64_t mEpoch = 0;
  /** Counts the writes of this owner. */
  std::uint64_t mSequence = 0;
  /** Jobs that have not begun, by queue; queues without any are left out. */
  std::map<std::string, std::uint64_t> mPending;

  auto operator<=>(const OwnerLease&) const = default;
};

/**
 * Judges from repeated reads of the lease row whether its owner is gone. Time
 * is the store's clock, so that daemons need no synchronised clocks and a
 * daemon that was paused does not take its own pause for the owner's silence.
 */
class LeaseObserver
{
public:
  /** @param aTimeout Silence after which the owner counts as gone. */
  explicit LeaseObserver(std::chrono::milliseconds aTimeout)
    : mTimeout(aTimeout)
  {
  }

  /** Takes in a read of the row. */
  void Observe(std::uint64_t aVersion, std::chrono::milliseconds aStoreTime);

  /**
   * Forgets what was seen: while the store is away for this daemon, the owner
   * may have been unable to renew for the same reason.
   */
  void Reset() { mSeen = false; }

  /** @return Whether the row stayed the same for the timeout. */
  bool IsExpired() const { return mSeen && mLastSeen - mFirstSeen >= mTimeout; }

private:
  std::chrono::milliseconds mTimeout;
  bool mSeen = false;
  std::uint64_t mVersion = 0;
  std::chrono::milliseconds mFirstSeen{ 0 };
  std::chrono::milliseconds mLastSeen{ 0 };
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_OWNER_LEASE_H
