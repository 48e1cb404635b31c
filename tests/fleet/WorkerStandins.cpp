#include "WorkerStandins.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace cornelrudder::tests {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

using Millis = std::chrono::milliseconds;

constexpr Millis kTick{ 10 };
/** Ticks between two registrations of a worker. */
constexpr int kTicksPerBeat = 100;
constexpr Millis kStopTime{ 300 };
/** How long a member of a gang waits for the others. */
constexpr Millis kGangTime{ 3'000 };
constexpr Millis kMaxLease{ 10'000 };
constexpr std::int64_t kAccelerators = 8;
constexpr std::size_t kWorkersPerRack = 4;

/** @return "JOB.OCCURRENCE.STEP" of a task's name. */
std::string
StepName(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

std::string
JobName(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

std::uint64_t
WallClockMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/** Prints a line for tracing a broken promise. */
void
Trace(const std::string& aWorker,
      const char* aEvent,
      const std::string& aTask,
      std::uint64_t aRun,
      std::uint64_t aEpoch)
{
  const std::uint64_t now = WallClockMs();
  std::printf("%llu.%03llu %s %s %s run=%llu epoch=%llu\n",
              static_cast<unsigned long long>(now / 1'000),
              static_cast<unsigned long long>(now % 1'000),
              aWorker.c_str(),
              aEvent,
              aTask.c_str(),
              static_cast<unsigned long long>(aRun),
              static_cast<unsigned long long>(aEpoch));
  std::fflush(stdout);
}

} // namespace

WorkerStandins::WorkerStandins(transport::IoThread& aThread,
                               StoreStandin& aStore,
                               std::size_t aCount)
  : mThread(aThread)
  , mStore(aStore)
  , mWorkers(aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    Worker& worker = mWorkers[i];
    worker.mId = "w" + std::to_string(i);
    worker.mRack = "r" + std::to_string(i / kWorkersPerRack);
    worker.mBorn = WallClockMs();
    worker.mClockStart = Clock::now();
    worker.mServer = std::make_unique<transport::HttpServer>(
      aThread,
      "127.0.0.1:0",
      transport::HttpServerLimits{},
      [this, &worker](const HttpRequest& aRequest,
                      const HttpResponder& aRespond) {
        Serve(worker, aRequest, aRespond);
      });
  }
}

void
WorkerStandins::Start()
{
  mThread.Post([this] {
    for (const Worker& worker : mWorkers) {
      Register(worker);
    }
    Tick();
  });
}

void
WorkerStandins::Do(std::size_t aWorker, const std::string& aAction)
{
  Worker& worker = mWorkers.at(aWorker);
  Trace(worker.mId, aAction.c_str(), "-", 0, worker.mEpoch);
  if (aAction == "silence" || aAction == "answer") {
    worker.mIsSilent = aAction == "silence";
  } else if (aAction == "restart") {
    const std::list<Run> runs = worker.mRuns;
    worker.mRuns.clear();
    worker.mEnds.clear();
    worker.mOver.clear();
    worker.mLastEnd = 0;
    worker.mEpoch = 0;
    worker.mBorn = WallClockMs();
    worker.mClockStart = Clock::now();
    worker.mLeaseEnd = {};
    for (const Run& run : runs) {
      if (run.mGang > 0) {
        EndGang(StepName(run.mTask), run.mRun, "broken");
      }
    }
    Register(worker);
  } else {
    throw std::runtime_error("unknown action \"" + aAction + "\"");
  }
}

json
WorkerStandins::Journal() const
{
  return { { "violations", mViolations }, { "started", mStartedJobs } };
}

json
WorkerStandins::ClockOf(const Worker& aWorker) const
{
  return std::chrono::duration_cast<Millis>(Clock::now() - aWorker.mClockStart)
           .count() +
         1;
}

void
WorkerStandins::Register(const Worker& aWorker)
{
  mStore.Put(
    "servers",
    aWorker.mId,
    json{
      { "service", "presses" },
      { "address", aWorker.mServer->Address() },
      { "zone", "z1" },
      { "state", "ready" },
      { "born", aWorker.mBorn },
      { "room",
        { { "cpu", 32'000 }, { "mem-mb", 64'000 }, { "gpu", kAccelerators } } },
      { "labels", { "a", aWorker.mRack } },
      { "clock-ms", ClockOf(aWorker) },
      { "sequence", mTicks } }
      .dump());
}

void
WorkerStandins::Serve(Worker& aWorker,
                      const HttpRequest& aRequest,
                      const HttpResponder& aRespond)
{
  if (aWorker.mIsSilent) {
    tools::LeaveUnanswered(mThread, aRespond);
    return;
  }
  if (aRequest.Header("x-expect-instance") != aWorker.mId) {
    aRespond(HttpResponse::Json(421, "{}"));
    return;
  }
  const json body = json::parse(aRequest.Body());
  const auto epoch = body.at("fence").get<std::uint64_t>();
  if (epoch < aWorker.mEpoch) {
    aRespond(HttpResponse::Json(
      409,
      json{ { "clock-ms", ClockOf(aWorker) }, { "reason", "fence" } }.dump()));
    return;
  }
  aWorker.mEpoch = epoch;
  if (aRequest.Path() == "/v1/run-start") {
    StartRun(aWorker, body, aRespond);
  } else if (aRequest.Path() == "/v1/run-stop") {
    StopRun(aWorker, body, aRespond);
  } else {
    Hold(aWorker, body, aRespond);
  }
}

void
WorkerStandins::ExtendLease(Worker& aWorker, const json& aBody)
{
  const Millis until(aBody.value("until-ms", std::int64_t{ 0 }));
  const Clock::time_point end = aWorker.mClockStart + until;
  aWorker.mLeaseEnd =
    std::max(aWorker.mLeaseEnd, std::min(end, Clock::now() + kMaxLease));
}

/** Notes a start that breaks a promise. */
void
WorkerStandins::CheckStart(const Worker& aWorker, const std::string& aTask)
{
  for (const Worker& worker : mWorkers) {
    for (const Run& it : worker.mRuns) {
      if (it.mTask == aTask) {
        mViolations.push_back(aTask + " runs on " + worker.mId +
                              " and is started on " + aWorker.mId);
      }
    }
  }
  if (mDone.contains(aTask)) {
    mViolations.push_back(aTask + " was started after its end was recorded");
  }
}

void
WorkerStandins::StartRun(Worker& aWorker,
                         const json& aBody,
                         const HttpResponder& aRespond)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  json answer{ { "clock-ms", ClockOf(aWorker) } };
  Trace(aWorker.mId, "start", task, run, aWorker.mEpoch);
  ExtendLease(aWorker, aBody);
  for (const Run& it : aWorker.mRuns) {
    if (it.mTask == task && it.mRun == run) {
      aRespond(HttpResponse::Json(200, answer.dump()));
      return;
    }
  }
  const auto over = aWorker.mOver.find(task);
  const bool isOld = over != aWorker.mOver.end() && run <= over->second;
  if (isOld || aWorker.mLeaseEnd <= Clock::now()) {
    answer["reason"] = isOld ? "old" : "late";
    aRespond(HttpResponse::Json(409, answer.dump()));
    return;
  }
  CheckStart(aWorker, task);
  const json payload = json::parse(aBody.at("spec").get<std::string>());
  aWorker.mRuns.push_back({ task,
                            run,
                            Millis(payload.at("run_ms").get<std::int64_t>()),
                            payload.at("accelerators").get<std::int64_t>(),
                            payload.value("gang", std::size_t{ 0 }),
                            Clock::now(),
                            std::nullopt,
                            std::nullopt });
  std::int64_t used = 0;
  for (const Run& it : aWorker.mRuns) {
    used += it.mAccelerators;
  }
  if (used > kAccelerators) {
    mViolations.push_back(task + " overfills " + aWorker.mId);
  }
  mStartedJobs.insert(JobName(task));
  aRespond(HttpResponse::Json(200, answer.dump()));
}

void
WorkerStandins::StopRun(Worker& aWorker,
                        const json& aBody,
                        const HttpResponder& aRespond)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  Trace(aWorker.mId, "stop", task, run, aWorker.mEpoch);
  std::uint64_t& over = aWorker.mOver[task];
  over = std::max(over, run);
  for (Run& it : aWorker.mRuns) {
    if (it.mTask == task && it.mRun == run && !it.mStopAt) {
      it.mStopAt = Clock::now() + kStopTime;
    }
  }
  aRespond(
    HttpResponse::Json(200, json{ { "clock-ms", ClockOf(aWorker) } }.dump()));
}

void
WorkerStandins::Hold(Worker& aWorker,
                     const json& aBody,
                     const HttpResponder& aRespond)
{
  ExtendLease(aWorker, aBody);
  Forget(aWorker, aBody.value("acked-upto", std::uint64_t{ 0 }));
  const Millis wait(aBody.value("wait-ms", std::int64_t{ 0 }));
  mWaits[&aWorker].push_back(
    { aWorker.mLastEnd, Clock::now() + wait, aRespond });
  AnswerWaits(aWorker, !aWorker.mEnds.empty());
}

/** An end that is recorded before the lease is over stands for good. */
void
WorkerStandins::Forget(Worker& aWorker, std::uint64_t aUpTo)
{
  for (const End& end : aWorker.mEnds) {
    if (end.mNumber <= aUpTo && end.mHow == "done" && !end.mHasLapsed) {
      mDone.insert(end.mTask);
    }
  }
  aWorker.mEnds.remove_if(
    [aUpTo](const End& aEnd) { return aEnd.mNumber <= aUpTo; });
}

json
WorkerStandins::Report(const Worker& aWorker) const
{
  json running = json::array();
  for (const Run& run : aWorker.mRuns) {
    const auto worked =
      run.mBegunAt ? Clock::now() - *run.mBegunAt : Clock::duration::zero();
    const auto percent = 100 * worked / std::max(run.mWork, Millis(1));
    running.push_back(
      { run.mTask, run.mRun, "", std::min<std::int64_t>(percent, 100), 0 });
  }
  json finished = json::array();
  for (const End& end : aWorker.mEnds) {
    finished.push_back({ end.mNumber, end.mTask, end.mRun, end.mHow, "" });
  }
  return { { "clock-ms", ClockOf(aWorker) },
           { "born", aWorker.mBorn },
           { "running", std::move(running) },
           { "finished", std::move(finished) } };
}

void
WorkerStandins::AnswerWaits(Worker& aWorker, bool aIsEnded)
{
  std::list<Wait>& waits = mWaits[&aWorker];
  for (auto it = waits.begin(); it != waits.end();) {
    const bool isOver = aIsEnded || aWorker.mLastEnd > it->mSeenEnds ||
                        Clock::now() >= it->mDeadline;
    if (!isOver) {
      ++it;
      continue;
    }
    if (!aWorker.mIsSilent) {
      it->mRespond(HttpResponse::Json(200, Report(aWorker).dump()));
    }
    it = waits.erase(it);
  }
}

void
WorkerStandins::Tick()
{
  ++mTicks;
  for (Worker& worker : mWorkers) {
    Advance(worker);
    if (mTicks % kTicksPerBeat == 0) {
      Register(worker);
    }
  }
  for (Worker& worker : mWorkers) {
    AnswerWaits(worker, false);
  }
  mStore.Tick();
  mThread.PostAfter(kTick, [this] { Tick(); });
}

void
WorkerStandins::Advance(Worker& aWorker)
{
  const auto now = Clock::now();
  if (now >= aWorker.mLeaseEnd) {
    for (End& end : aWorker.mEnds) {
      end.mHasLapsed = true;
    }
  }
  for (auto it = aWorker.mRuns.begin(); it != aWorker.mRuns.end();) {
    const auto run = it++;
    const bool isGang = run->mGang > 0;
    const std::string step = StepName(run->mTask);
    const std::uint64_t number = run->mRun;
    const bool isWhole =
      !isGang || Members(step, run->mRun).size() == run->mGang;
    if (isWhole && !run->mBegunAt) {
      run->mBegunAt = now;
    }
    const char* how = nullptr;
    if (now >= aWorker.mLeaseEnd) {
      how = "lapsed";
    } else if (run->mStopAt && now >= *run->mStopAt) {
      how = "stopped";
    } else if (!isWhole && now - run->mStartedAt > kGangTime) {
      how = "alone";
    } else if (run->mBegunAt && now - *run->mBegunAt >= run->mWork) {
      how = "done";
    }
    if (how == nullptr) {
      continue;
    }
    EndRun(aWorker, run, how);
    if (isGang) {
      EndGang(step, number, std::string(how) == "done" ? "done" : "broken");
      return;
    }
  }
}

void
WorkerStandins::EndRun(Worker& aWorker,
                       std::list<Run>::iterator aRun,
                       std::string aHow)
{
  Trace(aWorker.mId, aHow.c_str(), aRun->mTask, aRun->mRun, aWorker.mEpoch);
  std::uint64_t& over = aWorker.mOver[aRun->mTask];
  over = std::max(over, aRun->mRun);
  aWorker.mEnds.push_back(
    { ++aWorker.mLastEnd, aRun->mTask, aRun->mRun, std::move(aHow) });
  aWorker.mRuns.erase(aRun);
}

/** Members of a gang end together. */
void
WorkerStandins::EndGang(const std::string& aGang,
                        std::uint64_t aRun,
                        const char* aHow)
{
  for (Worker& worker : mWorkers) {
    for (auto it = worker.mRuns.begin(); it != worker.mRuns.end();) {
      const auto run = it++;
      if (StepName(run->mTask) == aGang && run->mRun == aRun) {
        EndRun(worker, run, aHow);
      }
    }
  }
}

std::vector<WorkerStandins::Run*>
WorkerStandins::Members(const std::string& aGang, std::uint64_t aRun)
{
  std::vector<Run*> members;
  for (Worker& worker : mWorkers) {
    for (Run& run : worker.mRuns) {
      if (StepName(run.mTask) == aGang && run.mRun == aRun) {
        members.push_back(&run);
      }
    }
  }
  return members;
}

} // namespace cornelrudder::tests
