#ifndef CORNELRUDDER_STATE_LATENCY_HISTOGRAM_H
#define CORNELRUDDER_STATE_LATENCY_HISTOGRAM_H

#include <array>
#include <chrono>
#include <cstdint>

namespace cornelrudder::state {

/** Histogram of latencies with fixed buckets. */
class LatencyHistogram
{
public:
  /** Inclusive upper bounds; one more bucket counts larger values. */
  static constexpr std::array<std::int64_t, 14> kBoundsMs{
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10'000, 30'000
  };

  using Counts = std::array<std::uint64_t, kBoundsMs.size() + 1>;

  LatencyHistogram WithSample(std::chrono::milliseconds aLatency) const
  {
    LatencyHistogram histogram = *this;
    std::size_t i = 0;
    while (i < kBoundsMs.size() && aLatency.count() > kBoundsMs.at(i)) {
      ++i;
    }
    ++histogram.mCounts.at(i);
    histogram.mSumMs += static_cast<std::uint64_t>(aLatency.count());
    return histogram;
  }

  /** Number of samples in each bucket, not cumulative. */
  const Counts& AllCounts() const { return mCounts; }

  std::uint64_t SumMs() const { return mSumMs; }

  auto operator<=>(const LatencyHistogram&) const = default;

private:
  Counts mCounts{};
  std::uint64_t mSumMs = 0;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_LATENCY_HISTOGRAM_H
