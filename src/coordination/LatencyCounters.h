#ifndef CORNELRUDDER_SRC_COORDINATION_LATENCY_COUNTERS_H
#define CORNELRUDDER_SRC_COORDINATION_LATENCY_COUNTERS_H

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/state/LatencyHistogram.h"

#include <string>

namespace cornelrudder::coordination {

/**
 * Adds a histogram as cumulative buckets, a count and a sum, in milliseconds,
 * named as in the Prometheus text format.
 * @param aLabel Label with its value, as `name="value"`; empty for none.
 */
inline void
AddLatency(const std::string& aName,
           const std::string& aLabel,
           const state::LatencyHistogram& aLatency,
           Counters& aCounters)
{
  const auto& bounds = state::LatencyHistogram::kBoundsMs;
  const std::string prefix = aLabel.empty() ? "" : aLabel + ",";
  const std::string braced = aLabel.empty() ? "" : "{" + aLabel + "}";
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < aLatency.AllCounts().size(); ++i) {
    n += aLatency.AllCounts().at(i);
    const std::string bound =
      i < bounds.size() ? std::to_string(bounds.at(i)) : "+Inf";
    aCounters[aName + "_bucket{" + prefix + "le=\"" + bound + "\"}"] = n;
  }
  aCounters[aName + "_count" + braced] = n;
  aCounters[aName + "_sum" + braced] = aLatency.SumMs();
}

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_SRC_COORDINATION_LATENCY_COUNTERS_H
