#include "cornelrudder/state/SlotAssignment.h"

#include <cstdint>

#include <xxhash.h>

namespace cornelrudder::state {

namespace {

std::uint64_t
SlotScore(const std::string& aSlot, const VmId& aDaemon)
{
  const std::string text = aSlot + "/" + aDaemon.Text();
  return XXH64(text.data(), text.size(), 0);
}

bool
OwnsSlot(const std::string& aSlot,
         const std::vector<VmId>& aDaemons,
         const VmId& aSelf)
{
  const std::uint64_t own = SlotScore(aSlot, aSelf);
  for (const VmId& daemon : aDaemons) {
    const std::uint64_t other = SlotScore(aSlot, daemon);
    // Ties go to the lower identifier, so that exactly one daemon owns the
    // slot.
    if (other > own || (other == own && daemon < aSelf)) {
      return false;
    }
  }
  return true;
}

} // namespace

int
AssignedSlots(const VmId& aRunner,
              int aSlots,
              const std::vector<VmId>& aDaemons,
              const VmId& aSelf)
{
  int n = 0;
  for (int slot = 0; slot < aSlots; ++slot) {
    const std::string name = aRunner.Text() + "#" + std::to_string(slot);
    n += OwnsSlot(name, aDaemons, aSelf) ? 1 : 0;
  }
  return n;
}

} // namespace cornelrudder::state
