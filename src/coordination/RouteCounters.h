#ifndef CORNELRUDDER_COORDINATION_ROUTE_COUNTERS_H
#define CORNELRUDDER_COORDINATION_ROUTE_COUNTERS_H

#include "LatencyCounters.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/LatencyHistogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cornelrudder::coordination {

/** Request counters of one class. */
struct ClassCounts
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mRetried = 0;
  std::uint64_t mMismatched = 0;
  /** Time from arrival to outcome of admitted requests. */
  state::LatencyHistogram mLatency;
};

/** Request counters of the routing task, by class. */
class RouteCounters
{
public:
  /** @return The counters of a class that exists in the settings. */
  ClassCounts& ForClass(const state::ClassName& aClass)
  {
    return mCountsByClass[aClass];
  }

  /** Counts a request rejected because its class is not in the settings. */
  void CountUnknownClass() { ++mUnknownClass; }

  /** @return All counters by their metric names in /metrics. */
  Counters ToCounters() const
  {
    Counters counters;
    counters["refused_unknown_total"] = mUnknownClass;
    for (const auto& [name, counts] : mCountsByClass) {
      const std::string label = "class=\"" + name.Text() + "\"";
      for (const Row& row : kRows) {
        counters[std::string(row.mName) + "{" + label + "}"] =
          counts.*row.mMember;
      }
      AddLatency("latency_ms", label, counts.mLatency, counters);
    }
    return counters;
  }

private:
  struct Row
  {
    std::string_view mName;
    std::uint64_t ClassCounts::*mMember;
  };

  static constexpr std::array kRows{
    Row{ "admitted_total", &ClassCounts::mAdmitted },
    Row{ "answered_total", &ClassCounts::mAnswered },
    Row{ "refused_total", &ClassCounts::mRefused },
    Row{ "retried_total", &ClassCounts::mRetried },
    Row{ "mismatched_total", &ClassCounts::mMismatched },
  };

  std::map<state::ClassName, ClassCounts> mCountsByClass;
  std::uint64_t mUnknownClass = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_ROUTE_COUNTERS_H
