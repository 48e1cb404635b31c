#include "../1/world.h"

#include <algorithm>
#include <cstdio>

namespace review {
namespace {

/**
 * The store does the writes of a submission late and doesn't answer them. The
 * caller gets no result, cancels the job, and is told that there is none.
 */
int
LateSubmission(World& aWorld)
{
  const std::string job = "700af9e515d68d52";
  const std::string task = job + ".0.0.0";
  aWorld.SetWork(job, { 11'000, false, false });
  if (!aWorld.Begin()) {
    return aWorld.CannotRun("the daemons are not ready");
  }
  Sleep(1'000);
  const json body{ { "spec", "spec of " + job },
                   { "steps",
                     { { { "count", 1 },
                         { "cpu", 26000 },
                         { "mem-mb", 110000 },
                         { "gpu", 8 },
                         { "estimate-ms", 8500 } } } } };
  if (aWorld.Trouble()) {
    aWorld.Table().LoseWrites("jobs", job, 6'000);
  }
  const int status =
    aWorld.Post("raster", kKeyA, job, body, aWorld.Daemons()[0]);
  const auto [lost, all] = aWorld.Table().LostAndAllWrites();
  aWorld.Table().LoseWrites("", "", 0);
  if (aWorld.Trouble()) {
    aWorld.Log().Write("store: all writes are answered again; " +
                       std::to_string(lost) + " of " + std::to_string(all) +
                       " were not");
  }
  const int cancel = aWorld.Cancel("raster", kKeyA, job);
  if (cancel / 100 != 2 && cancel != 410) {
    return aWorld.CannotRun("the cancellation was not answered");
  }
  const double cancelledAt = aWorld.Log().Now();
  Sleep(16'000);
  // cancel_ms 3 s and stop-ms 0.9 s after the answer to the cancellation.
  double startedAt = 0;
  double endedAt = 0;
  std::string how = "none";
  for (const RunEvent& it : aWorld.Events()) {
    if (it.mTask == task && it.mWhat == "start") {
      startedAt = it.mAt;
    } else if (it.mTask == task) {
      endedAt = it.mAt;
      how = it.mWhat;
    }
  }
  aWorld.State("raster", kKeyA, job);
  const bool isLateStart = startedAt > cancelledAt + 3.0;
  const bool isRunningOn = endedAt > cancelledAt + 3.0 + 0.9;
  char text[256];
  std::snprintf(text,
                sizeof text,
                "POST was answered %d, DELETE %d; the task was started %.2f s "
                "after the answer to DELETE and ended (%s) %.2f s after it",
                status,
                cancel,
                startedAt - cancelledAt,
                how.c_str(),
                endedAt - cancelledAt);
  return aWorld.Verdict(isLateStart || isRunningOn, text);
}

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(
    aCount, aArguments, review::LateSubmission, { 12, 64'000, 262'144 });
}
