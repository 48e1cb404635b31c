#include "world.h"

namespace review {
namespace {

/**
 * A timed job of the largest size of its kind, all occurrences of which are due
 * when it is accepted, between ordinary jobs of another tenant.
 */
int
LargeJob(World& aWorld)
{
  const std::string large = "23097a5053ab9add";
  const std::vector<std::string> others{ "89a32fd560a0aae7",
                                         "a64b827ee24c9df6",
                                         "0d8f487961ef1d5a" };
  aWorld.SetWork(large, { 6'100, false, false });
  for (const std::string& it : others) {
    aWorld.SetWork(it, { 2'500, false, false });
  }
  if (!aWorld.Begin()) {
    return aWorld.CannotRun("the daemons are not ready");
  }
  const json small = json::array({ { { "count", 5 },
                                     { "cpu", 3700 },
                                     { "mem-mb", 5700 },
                                     { "gpu", 1 },
                                     { "estimate-ms", 2500 } } });
  const int width = aWorld.Trouble() ? 230 : 38;
  json steps = json::array();
  for (int i = 0; i < 3; ++i) {
    steps.push_back({ { "count", width },
                      { "cpu", 2800 },
                      { "mem-mb", 5700 },
                      { "gpu", 1 },
                      { "estimate-ms", 6100 } });
  }
  if (aWorld.Submit("thumb", kKeyB, others[0], small) != 200) {
    return aWorld.CannotRun("the first job was not accepted");
  }
  Sleep(6'000);
  if (aWorld.State("thumb", kKeyB, others[0]) != "done") {
    return aWorld.CannotRun("the first job was not done in 6 s");
  }
  const std::int64_t now =
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count();
  aWorld.Log().Write("the large job has 4 times 3 steps of " +
                     std::to_string(width) + " tasks");
  const int status = aWorld.Submit("thumb",
                                   kKeyA,
                                   large,
                                   steps,
                                   { { "times", 4 },
                                     { "start-at-ms", now - 6'000 },
                                     { "interval-ms", 2'000 } });
  Sleep(500);
  const int later = aWorld.Submit("thumb", kKeyB, others[1], small);
  const int urgent = aWorld.Submit("cover", kKeyB, others[2], small);
  std::string states[3];
  for (int i = 0; i < 40; ++i) {
    Sleep(1'000);
    states[0] = aWorld.State("thumb", kKeyA, large);
    states[1] = aWorld.State("thumb", kKeyB, others[1]);
    states[2] = aWorld.State("cover", kKeyB, others[2]);
    if (states[0] == "done" && states[1] == "done" && states[2] == "done") {
      break;
    }
  }
  const int exits = aWorld.CountExits();
  const std::size_t starts[3] = { aWorld.CountEvents("start", large),
                                  aWorld.CountEvents("start", others[1]),
                                  aWorld.CountEvents("start", others[2]) };
  // The workers are empty, and no work of an accepted job has begun.
  const bool isLost = (status == 200 && starts[0] == 0) ||
                      (later == 200 && starts[1] == 0) ||
                      (urgent == 200 && starts[2] == 0);
  return aWorld.Verdict(
    isLost,
    "40 s later at most: the large job (answered " + std::to_string(status) +
      ") is " + states[0] + ", starts " + std::to_string(starts[0]) +
      "; jobs of the other tenant (answered " + std::to_string(later) + ", " +
      std::to_string(urgent) + ") are " + states[1] + ", " + states[2] +
      ", starts " + std::to_string(starts[1]) + ", " +
      std::to_string(starts[2]) + "; the store refused " +
      std::to_string(aWorld.Table().Refused()) +
      " transactions; daemons that ended: " + std::to_string(exits));
}

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(
    aCount, aArguments, review::LargeJob, { 360, 32'000, 65'536 });
}
