/**
 * @file
 * Embeds only the state layer: chooses a runner with each selection policy.
 */

#include <cornelrudder.h>
#include <cornelrudder/state/RunnerSelector.h>

#include <cstdio>
#include <string>
#include <vector>

int
main()
{
  using namespace cornelrudder::state;
  const std::vector<RunnerLoad> runners{
    { VmId("runner-1"), ZoneId("zone-a"), 8, 7, true },
    { VmId("runner-2"), ZoneId("zone-b"), 8, 0, true },
  };
  for (const RunnerSelector* selector : AllRunnerSelectors()) {
    const auto chosen = selector->Choose(runners, ZoneId("zone-b"), {});
    std::printf("%s: %s\n",
                std::string(selector->Name()).c_str(),
                chosen ? runners[*chosen].Runner().Text().c_str() : "none");
  }
  return 0;
}
