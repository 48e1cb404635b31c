#include "cornelrudder/state/RunnerExchange.h"

#include <array>

namespace cornelrudder::state {

std::string_view
RunnerStatusName(RunnerStatus aStatus)
{
  static constexpr std::array<std::string_view, 6> kNames{
    "answered", "not_started", "not_sent", "broken", "mismatched", "failed"
  };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

} // namespace cornelrudder::state
