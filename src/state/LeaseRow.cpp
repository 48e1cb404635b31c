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
    throw StateError("lease row has epoch 0; epochs start at 1");
  }
}

} // namespace cornelrudder::state
