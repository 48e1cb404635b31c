#include "cornelrudder/state/scheduling/CrashEvidence.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

constexpr double kMillionth = 1e-6;

/** @return Probability of at least so many events of a Poisson distribution. */
double
PoissonTail(int aEvents, double aMean)
{
  if (aMean <= 0.0) {
    return 0.0;
  }
  if (aMean >= aEvents) {
    // An upper bound, where the series below would converge slowly.
    return 1.0;
  }
  double term =
    std::exp(aEvents * std::log(aMean) - aMean - std::lgamma(aEvents + 1.0));
  double sum = 0.0;
  for (int n = aEvents + 1; term > sum * kMillionth; ++n) {
    sum += term;
    term *= aMean / n;
  }
  return sum;
}

/** @return Number of ways to choose some of several crashes. */
double
Combinations(int aFrom, int aChosen)
{
  return std::exp(std::lgamma(aFrom + 1.0) - std::lgamma(aChosen + 1.0) -
                  std::lgamma(aFrom - aChosen + 1.0));
}

} // namespace

CrashEvidence::CrashEvidence(int aCrashes, std::vector<std::int64_t> aExpected)
  : mCrashes(std::max(aCrashes, static_cast<int>(aExpected.size())))
  , mExpected(std::move(aExpected))
{
  for (std::int64_t& expected : mExpected) {
    expected = std::clamp<std::int64_t>(expected, 0, kMaxExpected);
  }
  std::sort(mExpected.begin(), mExpected.end());
  mExpected.resize(std::min(mExpected.size(), kMaxKept));
}

CrashEvidence
CrashEvidence::With(std::int64_t aExpected) const
{
  std::vector<std::int64_t> expected = mExpected;
  expected.push_back(aExpected);
  return { std::min(mCrashes + 1, kMaxCrashes), std::move(expected) };
}

CrashEvidence
CrashEvidence::WithReplaced(std::int64_t aExpected,
                            std::int64_t aCorrected) const
{
  std::vector<std::int64_t> expected = mExpected;
  const auto it = std::find(expected.begin(), expected.end(), aExpected);
  if (it != expected.end()) {
    *it = aCorrected;
  }
  return { mCrashes, std::move(expected) };
}

double
CrashEvidence::Chance(int aMinCrashes) const
{
  double lowest = 1.0;
  double mean = 0.0;
  for (std::size_t i = 0; i < mExpected.size(); ++i) {
    mean += static_cast<double>(mExpected[i]) * kMillionth;
    const int crashes = static_cast<int>(i) + 1;
    if (crashes >= aMinCrashes) {
      lowest = std::min(
        lowest, Combinations(mCrashes, crashes) * PoissonTail(crashes, mean));
    }
  }
  return lowest;
}

} // namespace cornelrudder::state::scheduling
