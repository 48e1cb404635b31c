#include "FaultSwitches.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornelrudder::tools {

namespace {

struct SwitchName
{
  std::string_view mName;
  std::int64_t FaultSwitches::*mMember;
};

constexpr std::array kSwitches{
  SwitchName{ "slow_ms", &FaultSwitches::mSlowMs },
  SwitchName{ "fail_next", &FaultSwitches::mFailNext },
  SwitchName{ "lose_answers", &FaultSwitches::mLoseAnswers },
  SwitchName{ "cross_next", &FaultSwitches::mCrossNext },
  SwitchName{ "truncate_next", &FaultSwitches::mTruncateNext },
  SwitchName{ "down", &FaultSwitches::mDown },
  SwitchName{ "fail_all", &FaultSwitches::mFailAll },
  SwitchName{ "leaving", &FaultSwitches::mLeaving },
};

} // namespace

FaultSwitches
ParseFaultSwitches(const std::string& aText)
{
  FaultSwitches faults;
  const nlohmann::json object = nlohmann::json::parse(aText);
  for (const auto& [key, value] : object.items()) {
    const auto* it = std::find_if(kSwitches.begin(),
                                  kSwitches.end(),
                                  [&name = key](const SwitchName& aSwitch) {
                                    return aSwitch.mName == name;
                                  });
    if (it == kSwitches.end()) {
      throw std::runtime_error("unknown fault \"" + key +
                               "\"; allowed are slow_ms, fail_next, "
                               "lose_answers, cross_next, truncate_next, "
                               "down, fail_all, leaving");
    }
    faults.*(it->mMember) = value.get<std::int64_t>();
  }
  return faults;
}

bool
TakeFault(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

} // namespace cornelrudder::tools
