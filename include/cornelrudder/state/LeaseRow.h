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
 * epoch must never decrease.
 */
class LeaseRow
{
public:
  /**
   * @param aOwner The owner, or nothing after a release.
   * @param aEpoch Fencing token, which increases with each change of owner; at
   *   least 1.
   * @param aIncarnation Incarnation of the owner; a restarted daemon counts as
   *   a different owner.
   * @throws StateError if the epoch is 0.
   */
  LeaseRow(std::optional<VmId> aOwner,
           std::uint64_t aEpoch,
           std::string aIncarnation);

  const std::optional<VmId>& Owner() const { return mOwner; }
  std::uint64_t Epoch() const { return mEpoch; }
  const std::string& Incarnation() const { return mIncarnation; }

  /** @return Whether this incarnation of a daemon is the owner. */
  bool IsOwnedBy(const VmId& aVm, const std::string& aIncarnation) const
  {
    return mOwner == aVm && mIncarnation == aIncarnation;
  }

  /** @return The row after a release: no owner, same epoch. */
  LeaseRow WithoutOwner() const { return { std::nullopt, mEpoch, "" }; }

  auto operator<=>(const LeaseRow&) const = default;

private:
  std::optional<VmId> mOwner;
  std::uint64_t mEpoch;
  std::string mIncarnation;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LEASE_ROW_H
