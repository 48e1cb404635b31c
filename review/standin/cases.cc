// Plays one case. Usage: cases CASE DAEMON FOLDER RECORD TROUBLE
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
#include "world.h"

#include <cstdio>
#include <iostream>

#include <signal.h>
#include <unistd.h>

namespace review {
namespace {

constexpr const char* kKeyA = "key-a";
constexpr const char* kKeyB = "key-b";

bool
Begin(World& aWorld)
{
  aWorld.WriteManifest();
  aWorld.StartDaemons();
  return aWorld.AwaitReady(20'000);
}

int
CannotRun(World& aWorld, const std::string& aWhy)
{
  aWorld.Log().Write("CANNOT RUN: " + aWhy);
  return kCannotRun;
}

int
Report(World& aWorld, bool aIsBroken, const std::string& aText)
{
  aWorld.Log().Write((aIsBroken ? "BROKEN: " : "HELD: ") + aText);
  return aIsBroken ? kBroken : kHeld;
}

std::size_t
CountEvents(World& aWorld, const std::string& aWhat, const std::string& aJob)
{
  std::size_t n = 0;
  for (const RunEvent& it : aWorld.Events()) {
    n += it.mWhat == aWhat && it.mTask.starts_with(aJob + ".") ? 1 : 0;
  }
  return n;
}

/** Crashes the worker of a task and starts the next life 4.5 s later. */
void
CrashWorkerOf(World& aWorld, const std::string& aTask)
{
  Worker* worker = nullptr;
  {
    const std::lock_guard lock(aWorld.Lock());
    worker = aWorld.WorkerOf(aTask);
    if (worker == nullptr) {
      return;
    }
    worker->Crash();
  }
  Sleep(4'500);
  const std::lock_guard lock(aWorld.Lock());
  worker->Restart();
}

/**
 * A job whose tasks last. Its worker crashes four times, each time after the
 * task has worked for five seconds or more.
 */
int
LastingJob(World& aWorld)
{
  const std::string job = "5c0e7a21d94b36f8";
  const std::string task = job + ".0.0.0";
  aWorld.SetWork(job, { 0, true, false });
  if (!Begin(aWorld)) {
    return CannotRun(aWorld, "the daemons are not ready");
  }
  const json steps = json::array({ { { "count", 2 },
                                     { "cpu", 2000 },
                                     { "mem-mb", 4096 },
                                     { "gpu", 1 },
                                     { "long-running", true } } });
  if (aWorld.Submit("raster", kKeyA, job, steps) != 200 ||
      !aWorld.AwaitRunning(task, 10'000)) {
    return CannotRun(aWorld, "the job did not start");
  }
  std::string state;
  for (int round = 1; round <= 4; ++round) {
    Sleep(5'000);
    if (aWorld.Trouble()) {
      aWorld.Log().Write("crash " + std::to_string(round));
      CrashWorkerOf(aWorld, task);
    } else {
      Sleep(4'500);
    }
    const bool isRunning = aWorld.AwaitRunning(task, 10'000);
    state = aWorld.State("raster", kKeyA, job);
    if (!isRunning && state != "failed") {
      return Report(aWorld,
                    true,
                    "the task is not running 10 s after its worker is back; "
                    "the job is shown as " +
                      state);
    }
  }
  Sleep(8'000);
  state = aWorld.State("raster", kKeyA, job);
  const std::size_t failed = CountEvents(aWorld, "failed", job);
  const bool isAtWork = aWorld.WorkerOf(task) != nullptr;
  return Report(
    aWorld,
    state != "running" || !isAtWork,
    "the job is shown as " + state + "; " + std::to_string(failed) +
      " runs ended failed; nobody cancelled it; its first task is " +
      (isAtWork ? "at work" : "not at work"));
}

/** A job of one task of 8.5 s. Its worker crashes twice, early in the run. */
int
EarlyCrashes(World& aWorld)
{
  const std::string job = "97a3a8e59a4ac9f6";
  const std::string task = job + ".0.0.0";
  aWorld.SetWork(job, { 8'500, false, false });
  if (!Begin(aWorld)) {
    return CannotRun(aWorld, "the daemons are not ready");
  }
  const json steps = json::array({ { { "count", 1 },
                                     { "cpu", 26000 },
                                     { "mem-mb", 110000 },
                                     { "gpu", 8 },
                                     { "estimate-ms", 8500 } } });
  if (aWorld.Submit("raster", kKeyA, job, steps) != 200) {
    return CannotRun(aWorld, "the job was not accepted");
  }
  for (int round = 1; round <= 2; ++round) {
    if (!aWorld.AwaitRunning(task, 10'000)) {
      return CannotRun(aWorld, "the job did not start");
    }
    Sleep(1'200);
    if (aWorld.Trouble()) {
      aWorld.Log().Write("crash " + std::to_string(round));
      CrashWorkerOf(aWorld, task);
    }
  }
  std::string state;
  for (int i = 0; i < 40 && state != "done" && state != "failed"; ++i) {
    Sleep(1'000);
    state = aWorld.State("raster", kKeyA, job);
  }
  return Report(aWorld,
                state != "done",
                "the job is shown as " + state + "; " +
                  std::to_string(CountEvents(aWorld, "failed", job)) +
                  " runs ended failed, the queue allows 2 attempts");
}

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
  if (!Begin(aWorld)) {
    return CannotRun(aWorld, "the daemons are not ready");
  }
  const json steps = json::array({ { { "count", 1 },
                                     { "cpu", 7500 },
                                     { "mem-mb", 22000 },
                                     { "gpu", 8 },
                                     { "estimate-ms", 8000 } } });
  if (aWorld.Submit("cover", kKeyA, job, steps) != 200 ||
      !aWorld.AwaitRunning(task, 10'000)) {
    return CannotRun(aWorld, "the job did not start");
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
  return Report(aWorld, overlap > 0.0, text);
}

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
  if (!Begin(aWorld)) {
    return CannotRun(aWorld, "the daemons are not ready");
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
    return CannotRun(aWorld, "the first job was not accepted");
  }
  Sleep(6'000);
  if (aWorld.State("thumb", kKeyB, others[0]) != "done") {
    return CannotRun(aWorld, "the first job was not done in 6 s");
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
  const std::size_t starts[3] = { CountEvents(aWorld, "start", large),
                                  CountEvents(aWorld, "start", others[1]),
                                  CountEvents(aWorld, "start", others[2]) };
  // The workers are empty, and no work of an accepted job has begun.
  const bool isLost = (status == 200 && starts[0] == 0) ||
                      (later == 200 && starts[1] == 0) ||
                      (urgent == 200 && starts[2] == 0);
  return Report(
    aWorld,
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

/** Two tenants choose the same identifier for jobs in their queues. */
int
SameId(World& aWorld)
{
  const std::string first = "0000000000000001";
  const std::string second = aWorld.Trouble() ? first : "0000000000000002";
  aWorld.SetWork("000000000000000", { 1'000, false, false });
  if (!Begin(aWorld)) {
    return CannotRun(aWorld, "the daemons are not ready");
  }
  const auto steps = [](int aCount) {
    return json::array({ { { "count", aCount },
                           { "cpu", 2000 },
                           { "mem-mb", 4096 },
                           { "gpu", 1 },
                           { "estimate-ms", 1000 } } });
  };
  if (aWorld.Submit("raster", kKeyA, first, steps(1)) != 200) {
    return CannotRun(aWorld, "the first job was not accepted");
  }
  Sleep(500);
  const int status = aWorld.Submit("thumb", kKeyB, second, steps(3));
  // Longer than visible_ms, 3 s.
  Sleep(4'000);
  const std::string stateA = aWorld.State("raster", kKeyA, first);
  const std::string stateB = aWorld.State("thumb", kKeyB, second);
  const std::size_t starts =
    CountEvents(aWorld, "start", first) +
    (second != first ? CountEvents(aWorld, "start", second) : 0);
  return Report(aWorld,
                status == 200 && stateB != "done",
                "the job of the second tenant was answered " +
                  std::to_string(status) + "; 4 s later GET says " + stateB +
                  "; the first tenant's job is " + stateA + "; " +
                  std::to_string(starts) + " of 4 tasks were started");
}

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
  if (!Begin(aWorld)) {
    return CannotRun(aWorld, "the daemons are not ready");
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
    return CannotRun(aWorld, "the cancellation was not answered");
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
  return Report(aWorld, isLateStart || isRunningOn, text);
}

struct CaseRow
{
  const char* mName;
  int (*mPlay)(World&);
  int mWorkers;
  int mRoomCpu;
  int mRoomMemory;
};

constexpr CaseRow kCases[] = {
  { "lasting-job", LastingJob, 12, 64'000, 262'144 },
  { "early-crashes", EarlyCrashes, 12, 64'000, 262'144 },
  { "draining-cut", DrainingCut, 12, 64'000, 262'144 },
  { "late-submission", LateSubmission, 12, 64'000, 262'144 },
  { "same-id", SameId, 12, 64'000, 262'144 },
  { "large-job", LargeJob, 360, 32'000, 65'536 },
};

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  using namespace review;
  signal(SIGPIPE, SIG_IGN);
  if (aCount != 6) {
    std::cerr << "usage: cases CASE DAEMON FOLDER RECORD TROUBLE\n";
    return kCannotRun;
  }
  for (const CaseRow& it : kCases) {
    if (std::string(it.mName) != aArguments[1]) {
      continue;
    }
    WorldOptions options;
    options.mDaemonProgram = aArguments[2];
    options.mFolder = aArguments[3];
    options.mRecord = aArguments[4];
    options.mTrouble = std::string(aArguments[5]) != "0";
    options.mWorkers = it.mWorkers;
    options.mRoomCpu = it.mRoomCpu;
    options.mRoomMemory = it.mRoomMemory;
    int status = kCannotRun;
    try {
      World world(options);
      status = it.mPlay(world);
      for (Daemon& daemon : world.Daemons()) {
        if (daemon.mPid > 0) {
          kill(daemon.mPid, SIGKILL);
        }
      }
      // Threads of open connections still use the world.
      _exit(status);
    } catch (const std::exception& error) {
      std::cerr << error.what() << "\n";
    }
    return kCannotRun;
  }
  std::cerr << "unknown case\n";
  return kCannotRun;
}
