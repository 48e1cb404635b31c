#include "WorkerStandins.h"

#include "StandinHost.h"
#include "cornelrudder/transport/TransportError.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cornelrudder::tests {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

using Millis = std::chrono::milliseconds;

constexpr Millis kTickInterval{ 10 };
constexpr Millis kListenRetry{ 100 };
/** Ticks between two registrations of a worker in the store. */
constexpr int kTicksPerRegistration = 100;
/** Ticks between two checks of the progress of the jobs. */
constexpr int kTicksPerCheck = 10;
constexpr Millis kLateness{ 3'000 };
/** Time that a run needs to stop after a stop request. */
constexpr Millis kStopDuration{ 300 };
/** Time after which a gang member fails if others have not started. */
constexpr Millis kGangStartTimeout{ 3'000 };
constexpr Millis kMaxLease{ 10'000 };
/** Silence after which the row of a worker is removed: three reports. */
constexpr Millis kMaxSilence{ 3'000 };
/** Time from the departure of a worker until it joins again. */
constexpr Millis kRejoinDelay{ 1'000 };
/** Age at which a run crashes its worker, and how long that stays down. */
constexpr Millis kCrashAge{ 30 };
constexpr Millis kCrashDowntime{ 3'000 };
constexpr std::int64_t kAccelerators = 8;
/** Time for which starts may use a capacity that was reduced since. */
constexpr Millis kCapacityGrace{ 4'500 };
constexpr std::int64_t kCpuPerAccelerator = 4'000;
constexpr std::int64_t kMemoryPerAccelerator = 8'000;
constexpr std::size_t kWorkersPerRack = 4;

/** @return The part of a job's payload that belongs to a task's step. */
json
StepPayload(const json& aPayload, const std::string& aTask)
{
  const std::string step = StepName(aTask);
  return aPayload.at("steps").at(std::stoull(step.substr(step.rfind('.') + 1)));
}

/** Nesting that a recursive parser or destructor does not survive. */
constexpr std::size_t kNestedLevels = 20'000;

/** @return The value of a row that names no worker. */
std::string
OddRow(const std::string& aKind)
{
  const std::string common =
    R"({"service":"presses","zone":"z1","state":"ready",)"
    R"("room":{"cpu":32000,"mem-mb":64000,"gpu":8},)";
  if (aKind == "nested") {
    return common + R"("address":"127.0.0.1:9","born":1,"labels":)" +
           std::string(kNestedLevels, '[') + std::string(kNestedLevels, ']') +
           "}";
  }
  if (aKind == "number") {
    return common + R"("address":"127.0.0.1:9","born":1e300})";
  }
  if (aKind == "port") {
    return common + R"("address":"127.0.0.1:99999","born":1})";
  }
  throw std::runtime_error("unknown kind \"" + aKind + "\"");
}

std::uint64_t
WallClockMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

void
Trace(const std::string& aWorker,
      const char* aEvent,
      const std::string& aTask,
      std::uint64_t aRun,
      std::uint64_t aEpoch)
{
  std::printf("%s %s %s %s run=%llu epoch=%llu\n",
              FormatSeconds(WallClockMs()).c_str(),
              aWorker.c_str(),
              aEvent,
              aTask.c_str(),
              static_cast<unsigned long long>(aRun),
              static_cast<unsigned long long>(aEpoch));
  std::fflush(stdout);
}

WorkerStandins::WorkerStandins(transport::IoThread& aThread,
                               StoreStandin& aStore,
                               std::size_t aCount,
                               std::size_t aGates)
  : mThread(aThread)
  , mStore(aStore)
  , mWorkers(aCount)
  , mGates(aGates)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    Worker& worker = mWorkers[i];
    worker.mId = "w" + std::to_string(i);
    worker.mRack = "r" + std::to_string(i / kWorkersPerRack);
    worker.mZone = "z" + std::to_string(i / kWorkersPerRack + 1);
    worker.mIncarnation = WallClockMs();
    worker.mClockStart = Clock::now();
    worker.mAccelerators = kAccelerators;
    worker.mAllowedAccelerators = kAccelerators;
    worker.mLinks.resize(aGates);
    for (std::size_t gate = 0; gate < aGates; ++gate) {
      worker.mLinks[gate].mAddress = StandinHost(getpid()) + ":0";
      Listen(worker, gate);
    }
  }
}

void
WorkerStandins::Listen(Worker& aWorker, std::size_t aGate)
{
  Link& link = aWorker.mLinks.at(aGate);
  try {
    link.mServer = std::make_unique<transport::HttpServer>(
      mThread,
      link.mAddress,
      transport::HttpServerLimits{},
      [this, &aWorker, aGate](const HttpRequest& aRequest,
                              const HttpResponder& aRespond) {
        Receive(aWorker, aGate, aRequest, aRespond);
      });
    link.mAddress = link.mServer->Address();
  } catch (const transport::TransportError& error) {
    // Another socket uses the port for a moment.
    std::printf("%s: %s\n", aWorker.mId.c_str(), error.what());
    EndFaultAfter(kListenRetry, [this, &aWorker, aGate] {
      if (!aWorker.mIsDown && !aWorker.mLinks[aGate].mServer &&
          aWorker.mLinks[aGate].mFault != LinkFault::kReset) {
        Listen(aWorker, aGate);
      }
    });
  }
}

void
WorkerStandins::SetLinkFault(Worker& aWorker,
                             std::size_t aGate,
                             LinkFault aFault)
{
  Link& link = aWorker.mLinks.at(aGate);
  link.mFault = aFault;
  ++link.mFaultNumber;
  mEnds.ForgetUnconfirmed(aWorker.mId);
  if (aFault == LinkFault::kReset) {
    link.mServer.reset();
  } else if (!aWorker.mIsDown && !link.mServer) {
    Listen(aWorker, aGate);
  }
}

std::vector<std::size_t>
WorkerStandins::SelectGates(const std::string& aGates) const
{
  const std::size_t owner = mStore.OwnerGate();
  std::vector<std::size_t> gates;
  for (std::size_t i = 0; i < mGates; ++i) {
    if (aGates == "all" || aGates == std::to_string(i) ||
        (aGates == "owner" && i == owner) ||
        (aGates == "others" && i != owner)) {
      gates.push_back(i);
    }
  }
  if (gates.empty()) {
    throw std::runtime_error("unknown gate \"" + aGates + "\"");
  }
  return gates;
}

std::vector<std::size_t>
WorkerStandins::SelectWorkers(const std::string& aWorkers) const
{
  std::vector<std::size_t> workers;
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    const std::string number = std::to_string(i);
    if (aWorkers == "all" || (aWorkers == "half" && i % 2 == 0) ||
        (aWorkers == "odd" && i % 2 == 1) || aWorkers == number ||
        (aWorkers.starts_with("but-") && aWorkers != "but-" + number)) {
      workers.push_back(i);
    }
  }
  if (workers.empty()) {
    throw std::runtime_error("unknown worker \"" + aWorkers + "\"");
  }
  return workers;
}

void
WorkerStandins::EndFaultAfter(Millis aDuration, std::function<void()> aEnd)
{
  mProgress.BeginFault();
  mThread.PostAfter(aDuration, [this, end = std::move(aEnd)] {
    end();
    mProgress.EndFault(Clock::now());
  });
}

void
WorkerStandins::FailLinks(const std::string& aGates,
                          const std::string& aWorkers,
                          const std::string& aFault,
                          Millis aDuration)
{
  static const std::map<std::string, LinkFault> kFaults{
    { "silent", LinkFault::kSilent },
    { "one-way", LinkFault::kOneWay },
    { "late", LinkFault::kLate },
    { "reset", LinkFault::kReset },
  };
  const auto fault = kFaults.find(aFault);
  if (fault == kFaults.end()) {
    throw std::runtime_error("unknown fault \"" + aFault + "\"");
  }
  std::vector<std::pair<std::size_t, std::size_t>> links;
  for (const std::size_t gate : SelectGates(aGates)) {
    for (const std::size_t worker : SelectWorkers(aWorkers)) {
      links.emplace_back(worker, gate);
    }
    Trace("gate-" + std::to_string(gate),
          (aFault + "-" + aWorkers).c_str(),
          "-",
          static_cast<std::uint64_t>(aDuration.count()),
          mHighestEpoch);
  }
  for (const auto& it : links) {
    Worker& worker = mWorkers[it.first];
    const std::size_t gate = it.second;
    SetLinkFault(worker, gate, fault->second);
    const std::uint64_t number = worker.mLinks[gate].mFaultNumber;
    EndFaultAfter(aDuration, [this, &worker, gate, number] {
      if (worker.mLinks[gate].mFaultNumber == number) {
        SetLinkFault(worker, gate, LinkFault::kNone);
      }
    });
  }
}

void
WorkerStandins::RemoveRows(const std::string& aWorkers, Millis aDuration)
{
  for (const std::size_t i : SelectWorkers(aWorkers)) {
    Worker& worker = mWorkers[i];
    worker.mIsListed = false;
    const std::uint64_t number = ++worker.mRemovalNumber;
    Trace(worker.mId,
          "unlisted",
          "-",
          static_cast<std::uint64_t>(aDuration.count()),
          worker.mEpoch);
    if (!worker.mIsDraining) {
      RemoveRow(worker.mId);
    }
    EndFaultAfter(aDuration, [this, &worker, number] {
      if (worker.mRemovalNumber == number) {
        worker.mIsListed = true;
        Register(worker);
      }
    });
  }
}

void
WorkerStandins::Evacuate(const std::string& aZone, Millis aDuration)
{
  const std::string key = "evacuate/" + aZone;
  const std::uint64_t request = mEvacuations.Begin(aZone, Clock::now());
  Trace(aZone,
        "evacuate",
        "-",
        static_cast<std::uint64_t>(aDuration.count()),
        mHighestEpoch);
  mStore.Put("op", key, "{}");
  EndFaultAfter(aDuration, [this, aZone, key, request] {
    if (mEvacuations.End(aZone, request)) {
      mStore.Remove("op", key);
    }
  });
}

void
WorkerStandins::RemoveRow(const std::string& aWorker)
{
  for (std::size_t gate = 0; gate < mGates; ++gate) {
    mStore.RemoveWorker(gate, aWorker);
  }
}

/** Removes the row of a draining worker that no longer writes it. */
void
WorkerStandins::RemoveSilentRow(const Worker& aWorker)
{
  if (aWorker.mIsDraining && !aWorker.mIsListed &&
      Clock::now() - aWorker.mRegisteredAt >= kMaxSilence) {
    RemoveRow(aWorker.mId);
  }
}

void
WorkerStandins::Drain(const std::string& aWorkers, Millis aDuration)
{
  for (const std::size_t i : SelectWorkers(aWorkers)) {
    Worker& worker = mWorkers[i];
    Trace(worker.mId,
          "drain",
          "-",
          static_cast<std::uint64_t>(aDuration.count()),
          worker.mEpoch);
    worker.mIsDraining = true;
    Register(worker);
    EndFaultAfter(aDuration, [this, &worker, number = ++worker.mDrainNumber] {
      if (worker.mDrainNumber == number) {
        Leave(worker);
      }
    });
  }
}

void
WorkerStandins::Leave(Worker& aWorker)
{
  Trace(aWorker.mId, "leave", "-", 0, aWorker.mEpoch);
  Restart(aWorker);
  // While it is not listed, it answers nobody.
  aWorker.mIsListed = false;
  aWorker.mIsSilent = true;
  RemoveRow(aWorker.mId);
  EndFaultAfter(kRejoinDelay,
                [this, &aWorker, number = ++aWorker.mRemovalNumber] {
                  aWorker.mIsDraining = false;
                  aWorker.mIsSilent = false;
                  if (aWorker.mRemovalNumber == number) {
                    aWorker.mIsListed = true;
                  }
                  Restart(aWorker);
                  Register(aWorker);
                });
}

void
WorkerStandins::Restart(Worker& aWorker)
{
  const std::list<Run> runs = aWorker.mRuns;
  aWorker.mRuns.clear();
  aWorker.mResults.clear();
  aWorker.mHighestEndedRuns.clear();
  aWorker.mLastResultNumber = 0;
  aWorker.mEpoch = 0;
  aWorker.mIncarnation = WallClockMs();
  aWorker.mClockStart = Clock::now();
  aWorker.mLeaseExpiry = {};
  for (const Run& run : runs) {
    mPairChecker.RecordEnd({ run.mTask, run.mRun, aWorker.mId }, WallClockMs());
    if (run.mGangSize > 0) {
      FinishGang(StepName(run.mTask), run.mRun, "broken");
    }
  }
}

void
WorkerStandins::Crash(const std::string& aWorkers,
                      Millis aDelay,
                      Millis aDowntime)
{
  for (const std::size_t i : SelectWorkers(aWorkers)) {
    mThread.PostAfter(aDelay, [this, &worker = mWorkers[i], aDowntime] {
      if (!worker.mIsDown) {
        CrashNow(worker, aDowntime);
      }
    });
  }
}

void
WorkerStandins::CrashNow(Worker& aWorker, Millis aDowntime)
{
  Trace(aWorker.mId,
        "crash",
        "-",
        static_cast<std::uint64_t>(aDowntime.count()),
        aWorker.mEpoch);
  for (const Run& run : aWorker.mRuns) {
    Trace(aWorker.mId, "crashed", run.mTask, run.mRun, aWorker.mEpoch);
    mCrashChecker.RecordCrash(run.mTask);
  }
  aWorker.mIsDown = true;
  Restart(aWorker);
  mPendingRenewals[&aWorker].clear();
  for (Link& link : aWorker.mLinks) {
    link.mServer.reset();
  }
  mEnds.ForgetUnconfirmed(aWorker.mId);
  mThread.PostAfter(kMaxSilence, [this, id = aWorker.mId] { RemoveRow(id); });
  EndFaultAfter(aDowntime, [this, &aWorker] { Return(aWorker); });
}

/** Begins another life of a worker that has crashed. */
void
WorkerStandins::Return(Worker& aWorker)
{
  aWorker.mId = aWorker.mId.substr(0, aWorker.mId.find('-')) + "-" +
                std::to_string(++aWorker.mCrashes);
  aWorker.mIsDown = false;
  aWorker.mIsDraining = false;
  ++aWorker.mDrainNumber;
  Restart(aWorker);
  for (std::size_t gate = 0; gate < mGates; ++gate) {
    if (aWorker.mLinks[gate].mFault != LinkFault::kReset) {
      Listen(aWorker, gate);
    }
  }
  Trace(aWorker.mId, "return", "-", 0, 0);
  Register(aWorker);
}

void
WorkerStandins::WriteOddRow(const std::string& aKind)
{
  const std::string value = OddRow(aKind);
  for (std::size_t gate = 0; gate < mGates; ++gate) {
    mStore.PutWorker(gate, "odd-" + aKind, value);
  }
}

void
WorkerStandins::SetCapacity(Worker& aWorker, std::int64_t aAccelerators)
{
  const std::uint64_t number = ++aWorker.mCapacityNumber;
  Trace(aWorker.mId,
        "capacity",
        "-",
        static_cast<std::uint64_t>(aAccelerators),
        aWorker.mEpoch);
  aWorker.mAccelerators = aAccelerators;
  aWorker.mAllowedAccelerators =
    std::max(aWorker.mAllowedAccelerators, aAccelerators);
  Register(aWorker);
  mThread.PostAfter(kCapacityGrace, [&aWorker, number] {
    if (aWorker.mCapacityNumber == number) {
      aWorker.mAllowedAccelerators = aWorker.mAccelerators;
    }
  });
}

void
WorkerStandins::ShrinkCapacity(const std::string& aWorkers,
                               std::int64_t aAccelerators,
                               Millis aDuration)
{
  for (const std::size_t i : SelectWorkers(aWorkers)) {
    Worker& worker = mWorkers[i];
    SetCapacity(worker,
                std::clamp(aAccelerators, std::int64_t{ 0 }, kAccelerators));
    EndFaultAfter(aDuration, [this, &worker, number = worker.mCapacityNumber] {
      if (worker.mCapacityNumber == number) {
        SetCapacity(worker, kAccelerators);
      }
    });
  }
}

void
WorkerStandins::Start()
{
  mThread.Post([this] {
    for (Worker& worker : mWorkers) {
      Register(worker);
    }
    Tick();
  });
}

void
WorkerStandins::ApplyAction(std::size_t aWorker, const std::string& aAction)
{
  Worker& worker = mWorkers.at(aWorker);
  Trace(worker.mId, aAction.c_str(), "-", 0, worker.mEpoch);
  if (aAction == "silence" || aAction == "answer") {
    worker.mIsSilent = aAction == "silence";
  } else if (aAction == "restart") {
    Restart(worker);
    Register(worker);
  } else {
    throw std::runtime_error("unknown action \"" + aAction + "\"");
  }
}

json
WorkerStandins::Journal() const
{
  return { { "violations", mViolations },
           { "pairs", mPairs },
           { "started", mStartedJobs },
           { "failable", mCrashChecker.FailableJobs() } };
}

json
WorkerStandins::ClockMs(const Worker& aWorker) const
{
  return std::chrono::duration_cast<Millis>(Clock::now() - aWorker.mClockStart)
           .count() +
         1;
}

void
WorkerStandins::Register(Worker& aWorker)
{
  if (!aWorker.mIsListed || aWorker.mIsDown) {
    return;
  }
  aWorker.mRegisteredAt = Clock::now();
  const std::int64_t accelerators = aWorker.mAccelerators;
  for (std::size_t gate = 0; gate < mGates; ++gate) {
    mStore.PutWorker(
      gate,
      aWorker.mId,
      json{ { "service", "presses" },
            { "address", aWorker.mLinks[gate].mAddress },
            { "zone", aWorker.mZone },
            { "state", aWorker.mIsDraining ? "draining" : "ready" },
            { "born", aWorker.mIncarnation },
            { "room",
              { { "cpu", kCpuPerAccelerator * accelerators },
                { "mem-mb", kMemoryPerAccelerator * accelerators },
                { "gpu", accelerators } } },
            { "labels", { "a", aWorker.mRack } },
            { "clock-ms", ClockMs(aWorker) },
            { "sequence", mTicks } }
        .dump());
  }
}

/** @return Whether replies of a worker reach the daemon at a gate. */
bool
WorkerStandins::Reaches(const Worker& aWorker, std::size_t aGate) const
{
  return !aWorker.mIsSilent &&
         aWorker.mLinks.at(aGate).mFault == LinkFault::kNone;
}

/** Applies the fault of the link in both directions. */
void
WorkerStandins::Receive(Worker& aWorker,
                        std::size_t aGate,
                        const HttpRequest& aRequest,
                        const HttpResponder& aRespond)
{
  if (aRequest.Path() == "/v1/run-start") {
    const json body = json::parse(aRequest.Body());
    mPairChecker.RecordOrder({ body.at("task"), body.at("run"), aWorker.mId },
                             WallClockMs());
    const auto violation = mEvacuations.CheckOrder(
      aWorker.mZone, body.at("task").get<std::string>(), Clock::now());
    if (violation) {
      Trace(aWorker.mId, "evacuated", *violation, 0, mHighestEpoch);
      mViolations.push_back(*violation);
    }
  }
  const LinkFault fault = aWorker.mLinks.at(aGate).mFault;
  if (aWorker.mIsSilent || fault == LinkFault::kSilent ||
      fault == LinkFault::kReset) {
    tools::LeaveUnanswered(mThread, aRespond);
    return;
  }
  if (fault == LinkFault::kLate) {
    tools::LeaveUnanswered(mThread, aRespond);
    mThread.PostAfter(kLateness, [this, &aWorker, aGate, aRequest] {
      if (!aWorker.mIsDown) {
        Serve(aWorker, aGate, aRequest, [](const HttpResponse&) {});
      }
    });
    return;
  }
  Serve(aWorker,
        aGate,
        aRequest,
        [this, &aWorker, aGate, aRespond](const HttpResponse& aResponse) {
          if (Reaches(aWorker, aGate)) {
            aRespond(aResponse);
          } else {
            tools::LeaveUnanswered(mThread, aRespond);
          }
        });
}

void
WorkerStandins::Serve(Worker& aWorker,
                      std::size_t aGate,
                      const HttpRequest& aRequest,
                      const HttpResponder& aRespond)
{
  if (aRequest.Header("x-expect-instance") != aWorker.mId) {
    aRespond(HttpResponse::Json(421, "{}"));
    return;
  }
  const json body = json::parse(aRequest.Body());
  const auto epoch = body.at("fence").get<std::uint64_t>();
  if (epoch < aWorker.mEpoch) {
    aRespond(HttpResponse::Json(
      409,
      json{ { "clock-ms", ClockMs(aWorker) }, { "reason", "fence" } }.dump()));
    return;
  }
  aWorker.mEpoch = epoch;
  if (epoch > mHighestEpoch) {
    mHighestEpoch = epoch;
    Trace("gate-" + std::to_string(aGate), "commands", "-", 0, epoch);
  }
  if (aRequest.Path() == "/v1/run-start") {
    StartRun(aWorker, aGate, body, aRespond);
  } else if (aRequest.Path() == "/v1/run-stop") {
    StopRun(aWorker, body, aRespond);
  } else {
    RenewLease(aWorker, aGate, body, aRespond);
  }
}

void
WorkerStandins::ExtendLease(Worker& aWorker, const json& aBody)
{
  const Millis until(aBody.value("until-ms", std::int64_t{ 0 }));
  const Clock::time_point expiry = aWorker.mClockStart + until;
  aWorker.mLeaseExpiry =
    std::max(aWorker.mLeaseExpiry, std::min(expiry, Clock::now() + kMaxLease));
}

void
WorkerStandins::RecordPairs(const std::vector<std::string>& aPairs)
{
  for (const std::string& it : aPairs) {
    Trace("check", "pair", it, 0, mHighestEpoch);
    mViolations.push_back(it);
    ++mPairs;
  }
}

void
WorkerStandins::StartRun(Worker& aWorker,
                         std::size_t aGate,
                         const json& aBody,
                         const HttpResponder& aRespond)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  json reply{ { "clock-ms", ClockMs(aWorker) } };
  Trace(aWorker.mId, "start", task, run, aWorker.mEpoch);
  ExtendLease(aWorker, aBody);
  for (const Run& it : aWorker.mRuns) {
    if (it.mTask == task && it.mRun == run) {
      aRespond(HttpResponse::Json(200, reply.dump()));
      return;
    }
  }
  const auto highestEndedRun = aWorker.mHighestEndedRuns.find(task);
  const bool isOld = highestEndedRun != aWorker.mHighestEndedRuns.end() &&
                     run <= highestEndedRun->second;
  if (isOld || aWorker.mLeaseExpiry <= Clock::now()) {
    reply["reason"] = isOld ? "old" : "late";
    aRespond(HttpResponse::Json(409, reply.dump()));
    return;
  }
  RecordPairs(mPairChecker.RecordStart(
    { task, run, aWorker.mId }, aWorker.mEpoch, aGate, WallClockMs()));
  if (mEnds.WasTold(task, aWorker.mEpoch)) {
    mViolations.push_back(task +
                          " was started after its owner was told of its end");
  }
  const json payload =
    StepPayload(json::parse(aBody.at("spec").get<std::string>()), task);
  const bool crashesWorker = payload.contains("deadly") &&
                             task.ends_with("." + payload.at("deadly").dump());
  if (const auto violation = mCrashChecker.RecordStart(task, crashesWorker)) {
    mViolations.push_back(*violation);
  }
  aWorker.mRuns.push_back({ task,
                            run,
                            Millis(payload.at("run_ms").get<std::int64_t>()),
                            payload.at("accelerators").get<std::int64_t>(),
                            payload.value("gang", std::size_t{ 0 }),
                            crashesWorker,
                            Clock::now(),
                            std::nullopt,
                            std::nullopt });
  std::int64_t used = 0;
  for (const Run& it : aWorker.mRuns) {
    used += it.mAccelerators;
  }
  if (used > aWorker.mAllowedAccelerators) {
    mViolations.push_back(task + " overfills " + aWorker.mId);
  }
  mStartedJobs.insert(JobName(task));
  aRespond(HttpResponse::Json(200, reply.dump()));
}

void
WorkerStandins::StopRun(Worker& aWorker,
                        const json& aBody,
                        const HttpResponder& aRespond)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint64_t>();
  Trace(aWorker.mId, "stop", task, run, aWorker.mEpoch);
  std::uint64_t& highestEndedRun = aWorker.mHighestEndedRuns[task];
  highestEndedRun = std::max(highestEndedRun, run);
  for (Run& it : aWorker.mRuns) {
    if (it.mTask == task && it.mRun == run && !it.mStopAt) {
      it.mStopAt = Clock::now() + kStopDuration;
    }
  }
  aRespond(
    HttpResponse::Json(200, json{ { "clock-ms", ClockMs(aWorker) } }.dump()));
}

void
WorkerStandins::RenewLease(Worker& aWorker,
                           std::size_t aGate,
                           const json& aBody,
                           const HttpResponder& aRespond)
{
  ExtendLease(aWorker, aBody);
  mEnds.RecordRenewal(aWorker.mId, aWorker.mEpoch, Clock::now());
  AcknowledgeResults(aWorker, aBody.value("acked-upto", std::uint64_t{ 0 }));
  const Millis wait(aBody.value("wait-ms", std::int64_t{ 0 }));
  mPendingRenewals[&aWorker].push_back({ aGate,
                                         aWorker.mEpoch,
                                         aWorker.mLastResultNumber,
                                         Clock::now() + wait,
                                         aRespond });
  RespondToRenewals(aWorker, !aWorker.mResults.empty());
}

/**
 * Removes acknowledged results. A task that finished and was acknowledged
 * before the lease expired must never start again.
 */
void
WorkerStandins::AcknowledgeResults(Worker& aWorker, std::uint64_t aUpTo)
{
  for (const RunResult& result : aWorker.mResults) {
    if (result.mNumber <= aUpTo && result.mOutcome == "done" &&
        !result.mHasLapsed) {
      RecordPairs(mPairChecker.RecordAcknowledged(
        { result.mTask, result.mRun, aWorker.mId }));
    }
  }
  aWorker.mResults.remove_if(
    [aUpTo](const RunResult& aResult) { return aResult.mNumber <= aUpTo; });
}

json
WorkerStandins::Report(const Worker& aWorker) const
{
  json running = json::array();
  for (const Run& run : aWorker.mRuns) {
    const auto worked = run.mWorkStartedAt ? Clock::now() - *run.mWorkStartedAt
                                           : Clock::duration::zero();
    const auto percent = 100 * worked / std::max(run.mWorkDuration, Millis(1));
    running.push_back(
      { run.mTask, run.mRun, "", std::min<std::int64_t>(percent, 100), 0 });
  }
  json finished = json::array();
  for (const RunResult& result : aWorker.mResults) {
    finished.push_back(
      { result.mNumber, result.mTask, result.mRun, result.mOutcome, "" });
  }
  return { { "clock-ms", ClockMs(aWorker) },
           { "born", aWorker.mIncarnation },
           { "running", std::move(running) },
           { "finished", std::move(finished) } };
}

void
WorkerStandins::RespondToRenewals(Worker& aWorker, bool aRespondToAll)
{
  std::list<PendingRenewal>& renewals = mPendingRenewals[&aWorker];
  for (auto it = renewals.begin(); it != renewals.end();) {
    const bool isDue = aRespondToAll ||
                       aWorker.mLastResultNumber > it->mKnownResultNumber ||
                       Clock::now() >= it->mDeadline;
    if (!isDue) {
      ++it;
      continue;
    }
    if (Reaches(aWorker, it->mGate)) {
      RecordListedEnds(aWorker, it->mEpoch);
    }
    it->mRespond(HttpResponse::Json(200, Report(aWorker).dump()));
    it = renewals.erase(it);
  }
}

void
WorkerStandins::RecordListedEnds(const Worker& aWorker, std::uint64_t aEpoch)
{
  for (const RunResult& result : aWorker.mResults) {
    if (result.mOutcome == "done") {
      mProgress.RecordDone(result.mTask);
      mEnds.RecordListed(aWorker.mId, result.mTask, aEpoch, Clock::now());
    }
  }
}

FleetView
WorkerStandins::View() const
{
  FleetView view;
  for (const Worker& worker : mWorkers) {
    if (worker.mIsDown) {
      continue;
    }
    std::int64_t free = worker.mAccelerators;
    for (const Run& run : worker.mRuns) {
      free -= run.mAccelerators;
      view.mRunningJobs.insert(JobName(run.mTask));
    }
    for (const RunResult& result : worker.mResults) {
      if (result.mOutcome == "done") {
        view.mListedTasks.insert(result.mTask);
      }
    }
    view.mFreeAccelerators.push_back(free);
    view.mAccelerators += worker.mAccelerators;
  }
  return view;
}

void
WorkerStandins::Tick()
{
  ++mTicks;
  for (Worker& worker : mWorkers) {
    Advance(worker);
    RemoveSilentRow(worker);
    if (mTicks % kTicksPerRegistration == 0) {
      Register(worker);
    }
  }
  for (Worker& worker : mWorkers) {
    RespondToRenewals(worker, false);
  }
  mStore.Tick();
  if (mOwnerGate != mStore.OwnerGate()) {
    mOwnerGate = mStore.OwnerGate();
    Trace("gate-" + std::to_string(mOwnerGate), "owns", "-", 0, mHighestEpoch);
  }
  if (mTicks % kTicksPerCheck == 0) {
    for (std::string& it : mProgress.Check(Clock::now(), View())) {
      Trace("check", "stuck", it, 0, mHighestEpoch);
      mViolations.push_back(std::move(it));
    }
  }
  mThread.PostAfter(kTickInterval, [this] { Tick(); });
}

void
WorkerStandins::Advance(Worker& aWorker)
{
  const auto now = Clock::now();
  if (now >= aWorker.mLeaseExpiry) {
    for (RunResult& result : aWorker.mResults) {
      result.mHasLapsed = true;
    }
  }
  for (auto it = aWorker.mRuns.begin(); it != aWorker.mRuns.end();) {
    const auto run = it++;
    if (run->mCrashesWorker && now - run->mStartedAt >= kCrashAge) {
      CrashNow(aWorker, kCrashDowntime);
      return;
    }
    const bool isGang = run->mGangSize > 0;
    const std::string step = StepName(run->mTask);
    const std::uint64_t number = run->mRun;
    const bool isComplete =
      !isGang || GangMembers(step, run->mRun).size() == run->mGangSize;
    if (isComplete && !run->mWorkStartedAt) {
      run->mWorkStartedAt = now;
    }
    const char* outcome = nullptr;
    if (now >= aWorker.mLeaseExpiry) {
      outcome = "lapsed";
    } else if (run->mStopAt && now >= *run->mStopAt) {
      outcome = "stopped";
    } else if (!isComplete && now - run->mStartedAt > kGangStartTimeout) {
      outcome = "alone";
    } else if (run->mWorkStartedAt &&
               now - *run->mWorkStartedAt >= run->mWorkDuration) {
      outcome = "done";
    }
    if (outcome == nullptr) {
      continue;
    }
    FinishRun(aWorker, run, outcome);
    if (isGang) {
      FinishGang(
        step, number, std::string(outcome) == "done" ? "done" : "broken");
      return;
    }
  }
}

void
WorkerStandins::FinishRun(Worker& aWorker,
                          std::list<Run>::iterator aRun,
                          std::string aOutcome)
{
  Trace(aWorker.mId, aOutcome.c_str(), aRun->mTask, aRun->mRun, aWorker.mEpoch);
  std::uint64_t& highestEndedRun = aWorker.mHighestEndedRuns[aRun->mTask];
  highestEndedRun = std::max(highestEndedRun, aRun->mRun);
  mCrashChecker.RecordEnd(
    aRun->mTask, aRun->mRun, aRun->mGangSize > 0, aOutcome);
  aWorker.mResults.push_back({ ++aWorker.mLastResultNumber,
                               aRun->mTask,
                               aRun->mRun,
                               std::move(aOutcome) });
  mPairChecker.RecordEnd({ aRun->mTask, aRun->mRun, aWorker.mId },
                         WallClockMs());
  aWorker.mRuns.erase(aRun);
}

/** Finishes all members of a gang with one outcome. */
void
WorkerStandins::FinishGang(const std::string& aGang,
                           std::uint64_t aRun,
                           const char* aOutcome)
{
  for (Worker& worker : mWorkers) {
    for (auto it = worker.mRuns.begin(); it != worker.mRuns.end();) {
      const auto run = it++;
      if (StepName(run->mTask) == aGang && run->mRun == aRun) {
        FinishRun(worker, run, aOutcome);
      }
    }
  }
}

std::vector<WorkerStandins::Run*>
WorkerStandins::GangMembers(const std::string& aGang, std::uint64_t aRun)
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
