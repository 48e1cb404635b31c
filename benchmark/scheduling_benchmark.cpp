/**
 * @file
 * Simulates the loads of the deployments under each placement policy and
 * predictor of run times, and prints the value earned for callers. Usage:
 * scheduling_benchmark [SEEDS [SCALE [POLICY [RUN_TIMES]]]]
 */

#include "FleetLoad.h"
#include "cornelrudder/state/scheduling/RunTimePredictor.h"

#include <cstdio>
#include <cstdlib>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

void
PrintRow(const char* aSite,
         LoadOptions aOptions,
         std::string_view aPolicy,
         std::string_view aRunTimes,
         std::uint64_t aSeeds)
{
  std::vector<ClassResult> sums(aOptions.mClasses.size());
  double earnedShare = 0.0;
  double wasted = 0.0;
  std::size_t violations = 0;
  std::size_t preemptions = 0;
  std::size_t moved = 0;
  aOptions.mPolicy = aPolicy;
  aOptions.mRunTimes = aRunTimes;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aOptions.mSeed = seed;
    const LoadResult result = RunLoad(aOptions);
    earnedShare += result.EarnedShare();
    wasted += result.mWasted;
    violations += result.mViolations;
    preemptions += result.mPreemptions;
    moved += result.mMovedRuns;
    for (std::size_t i = 0; i < sums.size(); ++i) {
      sums[i].mTotalValue += result.mClasses[i].mTotalValue;
      sums[i].mEarnedValue += result.mClasses[i].mEarnedValue;
      sums[i].mNotDone += result.mClasses[i].mNotDone;
    }
  }
  const auto n = static_cast<double>(aSeeds);
  std::printf("%-9s %-9s %-9s worth %.3f wasted %7.0f preempted %zu moved %zu "
              "violations %zu |",
              aSite,
              std::string(aPolicy).c_str(),
              std::string(aRunTimes).c_str(),
              earnedShare / n,
              wasted / n,
              preemptions,
              moved,
              violations);
  for (std::size_t i = 0; i < sums.size(); ++i) {
    std::printf(" %s %.3f (%zu unserved)",
                aOptions.mClasses[i].mName,
                sums[i].mEarnedValue / sums[i].mTotalValue,
                sums[i].mNotDone);
  }
  std::printf("\n");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 3;
  const double scale = aCount > 2 ? std::strtod(aArguments[2], nullptr) : 1.0;
  const std::string_view only = aCount > 3 ? aArguments[3] : "";
  const std::string_view onlyRunTimes = aCount > 4 ? aArguments[4] : "";
  struct Site
  {
    const char* mName;
    LoadOptions mOptions;
  };
  constexpr std::size_t kUnevenWorkers = 96;
  std::vector<Site> sites{ { "Attica", AtticaLoad() },
                           { "Brittany", BrittanyLoad() },
                           { "uneven", UnevenLoad(kUnevenWorkers) },
                           { "grown", GrownAtticaLoad() } };
  for (const PlacementPolicyInfo& policy : AllPlacementPolicies()) {
    if (!only.empty() && only != policy.mName) {
      continue;
    }
    for (Site site : sites) {
      site.mOptions.mScale *= scale;
      for (const RunTimePredictorInfo& runTimes : AllRunTimePredictors()) {
        if (onlyRunTimes.empty() || onlyRunTimes == runTimes.mName) {
          PrintRow(
            site.mName, site.mOptions, policy.mName, runTimes.mName, seeds);
        }
      }
    }
  }
  return 0;
}
