#ifndef CORNELRUDDER_STATE_LEASE_ROW_H
#define CORNELRUDDER_STATE_LEASE_ROW_H

#include "cornelrudder/state/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelrudder::state {

/**
 * Value of a lease row. The row is never deleted, because its version and
 * epoch must only grow.
 */
class LeaseRow
{
public:
  /**
   * @param aOwner The owner, or nothing after a release.
   * @param aEpoch Grows with each change of owner; at least 1.
   * @param aIncarnation Life of the owner's process; a restarted daemon is
   *   another owner.
   * @throws StateError if the epoch is 0.
   */
  LeaseRow(std::optional<VmId> aOwner,
           std::uint64_t aEpoch,
           std::string aIncarnation);

  const std::optional<VmId>& Owner() const { return mOwner; }
  std::uint64_t Epoch() const { return mEpoch; }
  const std::string& Incarnation() const { return mIncarnation; }

  /** @return Whether this life of this daemon is the owner. */
  bool IsOwnedBy(const VmId& aVm, const std::string& aIncarnation) const
  {
    return mOwner == aVm && mIncarnation == aIncarnation;
  }

  /** @return The row that leaves the lease free, with the same epoch. */
  LeaseRow WithoutOwner() const { return { std::nullopt, mEpoch, "" }; }

  auto operator<=>(const LeaseRow&) const = default;

private:
  std::optional<VmId> mOwner;
  std::uint64_t mEpoch;
  std::string mIncarnation;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_ROW_H
