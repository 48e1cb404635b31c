#include "cornelrudder/state/LeaseRow.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

LeaseRow::LeaseRow(std::optional<VmId> aOwner,
                   std::uint64_t aEpoch,
                   std::string aIncarnation)
  : mOwner(std::move(aOwner))
  , mEpoch(aEpoch)
  , mIncarnation(std::move(aIncarnation))
{
  if (mEpoch == 0) {
    throw StateError("lease row has epoch 0; the first one is 1");
  }
}

} // namespace cornelrudder::state
