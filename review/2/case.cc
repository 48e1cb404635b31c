#include "../1/world.h"

#include <algorithm>
#include <cstdio>

namespace review {
namespace {

/**
 * A worker reports that it drains and is cut off right afterwards. It runs on
 * under its lease, and leaves some seconds later.
 */
int
DrainingCut(World& aWorld)
{
  const std::string job = "b399945f9e924a11";
  const std::string task = job + ".0.0.0";
  aWorld.SetWork(job, { 11'000, false, false });
  if (!aWorld.Begin()) {
    return aWorld.CannotRun("the daemons are not ready");
  }
  const json steps = json::array({ { { "count", 1 },
                                     { "cpu", 7500 },
                                     { "mem-mb", 22000 },
                                     { "gpu", 8 },
                                     { "estimate-ms", 8000 } } });
  if (aWorld.Submit("cover", kKeyA, job, steps) != 200 ||
      !aWorld.AwaitRunning(task, 10'000)) {
    return aWorld.CannotRun("the job did not start");
  }
  Sleep(2'000);
  Worker* worker = aWorld.WorkerOf(task);
  {
    const std::lock_guard lock(aWorld.Lock());
    worker->Drain(2'000, 8'000);
  }
  if (aWorld.Trouble()) {
    Sleep(100);
    {
      const std::lock_guard lock(aWorld.Lock());
      worker->Cut(true);
    }
    Sleep(5'000);
    const std::lock_guard lock(aWorld.Lock());
    worker->Cut(false);
  }
  std::string state;
  for (int i = 0; i < 40 && state != "done" && state != "failed"; ++i) {
    Sleep(1'000);
    state = aWorld.State("cover", kKeyA, job);
  }
  // The time for which two runs of the task existed on workers that are up.
  std::map<std::uint64_t, std::pair<double, double>> runs;
  for (const RunEvent& it : aWorld.Events()) {
    if (it.mWhat == "start") {
      runs[it.mRun] = { it.mAt, 1e9 };
    } else {
      runs[it.mRun].second = it.mAt;
    }
  }
  double overlap = 0;
  for (auto one = runs.begin(); one != runs.end(); ++one) {
    for (auto two = std::next(one); two != runs.end(); ++two) {
      overlap = std::max(overlap,
                         std::min(one->second.second, two->second.second) -
                           std::max(one->second.first, two->second.first));
    }
  }
  char text[128];
  std::snprintf(text,
                sizeof text,
                "%zu runs; two of them at the same time for %.3f s; job %s",
                runs.size(),
                overlap,
                state.c_str());
  return aWorld.Verdict(overlap > 0.0, text);
}

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(
    aCount, aArguments, review::DrainingCut, { 12, 64'000, 262'144 });
}
