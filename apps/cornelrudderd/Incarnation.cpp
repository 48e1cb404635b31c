#include "cornelrudderd/Incarnation.h"

#include <cstdint>
#include <random>

namespace cornelrudder::daemon {

std::string
MakeIncarnation(const state::VmId& aId)
{
  std::random_device random;
  const std::uint64_t n =
    (static_cast<std::uint64_t>(random()) << 32U) | random();
  return aId.Text().substr(0, 24) + "-" + std::to_string(n);
}

} // namespace cornelrudder::daemon
