/**
 * @file
 * Stand-in for the users' platform: the store, a fleet of workers and the
 * operator's settings. `--gates N` sets the number of daemons. On start it
 * prints "control on ADDRESS", for each daemon "gate N on ADDRESS", and
 * "listening on ADDRESS". The gates serve the store, each with its own
 * addresses of the workers; faults of the store
 * (`PUT /faults`, see FaultSwitches, on any address) do not affect the control
 * requests:
 * - `POST /history/drop`
 * - `POST /workers/N/ACTION`: silence, answer, restart
 * - `POST /links/GATES/WORKERS/FAULT/MS` (see WorkerStandins::FailLinks)
 * - `POST /stores/GATES/FAULT/MS` (see StoreGates::Fail)
 * - `POST /owner/now`, `POST /owner/write`: {"gate":N}, the gate of the owner,
 * at once or after its next write (see StoreStandin::AwaitOwnerWrite)
 * - `POST /rows/WORKERS/MS` (see WorkerStandins::RemoveRows)
 * - `POST /drains/WORKERS/MS` (see WorkerStandins::Drain)
 * - `POST /crashes/WORKERS/DELAY_MS/MS` (see WorkerStandins::Crash)
 * - `POST /capacity/WORKERS/ACCELERATORS/MS` (see
 *   WorkerStandins::ShrinkCapacity)
 * - `POST /overload/MS` (see StoreStandin::Overload)
 * - `POST /odd/KIND` (see WorkerStandins::WriteOddRow)
 * - `POST /evacuations/ZONE/MS` (see WorkerStandins::Evacuate)
 * - `POST /faults/begin`, `POST /faults/end`: a fault from outside
 * - `POST /jobs/accepted` with id and steps, `POST /jobs/ended` with id
 * - `GET /journal`
 */

#include "StandinHost.h"
#include "StoreGates.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace cornelrudder;
using namespace cornelrudder::tests;
using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

constexpr std::size_t kWorkers = 12;
constexpr std::size_t kDefaultGates = 4;
constexpr std::size_t kMaxGates = 10;

json
MakeQueue(int aPriority, double aSlack)
{
  const std::string name = "q" + std::to_string(aPriority);
  return { { "name", name },
           { "host", "presses.example" },
           { "prefix", "/" + name + "/" },
           { "priority", aPriority },
           { "service", "presses" },
           { "attempts", CrashChecker::kAttempts },
           { "slack-factor", aSlack },
           { "target-latency-ms", 1'000 } };
}

/** @return Three queues and two organisations, each with a guarantee. */
std::string
MakeSettings()
{
  const auto organisation = [](const char* aName, const char* aKey) {
    return json{ { "name", aName },
                 { "api-keys", { aKey } },
                 { "guaranteed", { { "gpu", 24 } } } };
  };
  return json{
    { "version", 1 },
    { "routes", { MakeQueue(0, 1.5), MakeQueue(1, 3.0), MakeQueue(2, 3.0) } },
    { "services", { { { "name", "presses" } } } },
    { "tenants",
      { organisation("acme", "key-acme"), organisation("bolt", "key-bolt") } }
  }.dump();
}

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  std::istringstream text{ std::string(aPath.substr(1)) };
  for (std::string part; std::getline(text, part, '/');) {
    parts.push_back(part);
  }
  return parts;
}

void
AddJob(ProgressChecker& aProgress, const json& aJob)
{
  std::vector<ProgressChecker::Step> steps;
  for (const json& it : aJob.at("steps")) {
    steps.push_back({ it.at("count").get<std::size_t>(),
                      it.at("gpu").get<std::int64_t>(),
                      it.value("gang", false),
                      it.value("after", std::vector<std::size_t>()) });
  }
  aProgress.AddJob(aJob.at("id").get<std::string>(), std::move(steps));
}

/** Serves the control requests of the test script and of the caller. */
class Control
{
public:
  Control(StoreStandin& aStore, WorkerStandins& aWorkers, StoreGates& aGates)
    : mStore(aStore)
    , mWorkers(aWorkers)
    , mGates(aGates)
  {
  }

  void Serve(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (aRequest.Path() == "/owner/write") {
      mStore.AwaitOwnerWrite(aRespond);
      return;
    }
    const std::vector<std::string> parts = SplitPath(aRequest.Path());
    const auto it = std::find_if(
      kRoutes.begin(), kRoutes.end(), [&parts](const Route& aRoute) {
        return !parts.empty() && aRoute.mName == parts[0] &&
               aRoute.mParts == parts.size();
      });
    if (it == kRoutes.end()) {
      aRespond(HttpResponse::Json(404, "{}"));
      return;
    }
    try {
      aRespond(HttpResponse::Json(
        200, (this->*it->mHandle)(parts, aRequest.Body()).dump()));
    } catch (const std::exception& error) {
      aRespond(HttpResponse::Json(400, error.what()));
    }
  }

private:
  using Parts = std::vector<std::string>;

  struct Route
  {
    std::string_view mName;
    std::size_t mParts;
    json (Control::*mHandle)(const Parts&, const std::string&);
  };

  json GetJournal(const Parts&, const std::string&)
  {
    return mWorkers.Journal();
  }

  json DropHistory(const Parts&, const std::string&)
  {
    mStore.DropHistory();
    return json::object();
  }

  json ApplyAction(const Parts& aParts, const std::string&)
  {
    mWorkers.ApplyAction(std::stoull(aParts[1]), aParts[2]);
    return json::object();
  }

  json FailLinks(const Parts& aParts, const std::string&)
  {
    mWorkers.FailLinks(aParts[1],
                       aParts[2],
                       aParts[3],
                       std::chrono::milliseconds(std::stoll(aParts[4])));
    return json::object();
  }

  json FailStore(const Parts& aParts, const std::string&)
  {
    mGates.Fail(
      aParts[1], aParts[2], std::chrono::milliseconds(std::stoll(aParts[3])));
    return json::object();
  }

  json GetOwner(const Parts&, const std::string&)
  {
    return { { "gate", mStore.OwnerGate() } };
  }

  json RemoveRows(const Parts& aParts, const std::string&)
  {
    mWorkers.RemoveRows(aParts[1],
                        std::chrono::milliseconds(std::stoll(aParts[2])));
    return json::object();
  }

  json Drain(const Parts& aParts, const std::string&)
  {
    mWorkers.Drain(aParts[1], std::chrono::milliseconds(std::stoll(aParts[2])));
    return json::object();
  }

  json Crash(const Parts& aParts, const std::string&)
  {
    mWorkers.Crash(aParts[1],
                   std::chrono::milliseconds(std::stoll(aParts[2])),
                   std::chrono::milliseconds(std::stoll(aParts[3])));
    return json::object();
  }

  json ShrinkCapacity(const Parts& aParts, const std::string&)
  {
    mWorkers.ShrinkCapacity(aParts[1],
                            std::stoll(aParts[2]),
                            std::chrono::milliseconds(std::stoll(aParts[3])));
    return json::object();
  }

  json OverloadStore(const Parts& aParts, const std::string&)
  {
    mStore.Overload(std::chrono::milliseconds(std::stoll(aParts[1])));
    return json::object();
  }

  json WriteOddRow(const Parts& aParts, const std::string&)
  {
    mWorkers.WriteOddRow(aParts[1]);
    return json::object();
  }

  json Evacuate(const Parts& aParts, const std::string&)
  {
    mWorkers.Evacuate(aParts[1],
                      std::chrono::milliseconds(std::stoll(aParts[2])));
    return json::object();
  }

  json MarkFault(const Parts& aParts, const std::string&)
  {
    if (aParts[1] == "begin") {
      mWorkers.Progress().BeginFault();
    } else {
      mWorkers.Progress().EndFault(std::chrono::steady_clock::now());
    }
    return json::object();
  }

  json RecordJob(const Parts& aParts, const std::string& aBody)
  {
    const json job = json::parse(aBody);
    if (aParts[1] == "accepted") {
      AddJob(mWorkers.Progress(), job);
    } else {
      mWorkers.Progress().RemoveJob(job.at("id").get<std::string>());
    }
    return json::object();
  }

  static const std::array<Route, 15> kRoutes;

  StoreStandin& mStore;
  WorkerStandins& mWorkers;
  StoreGates& mGates;
};

const std::array<Control::Route, 15> Control::kRoutes{ {
  { "journal", 1, &Control::GetJournal },
  { "history", 2, &Control::DropHistory },
  { "workers", 3, &Control::ApplyAction },
  { "links", 5, &Control::FailLinks },
  { "stores", 4, &Control::FailStore },
  { "owner", 2, &Control::GetOwner },
  { "rows", 3, &Control::RemoveRows },
  { "drains", 3, &Control::Drain },
  { "crashes", 4, &Control::Crash },
  { "capacity", 4, &Control::ShrinkCapacity },
  { "overload", 2, &Control::OverloadStore },
  { "odd", 2, &Control::WriteOddRow },
  { "evacuations", 3, &Control::Evacuate },
  { "faults", 2, &Control::MarkFault },
  { "jobs", 2, &Control::RecordJob },
} };

/**
 * Takes the option `--gates N` off the front of the command line.
 * @return The number of gates; 0 if it is out of range.
 */
std::size_t
TakeGates(int& aCount, char**& aArguments)
{
  if (aCount < 3 || std::string_view(aArguments[1]) != "--gates") {
    return kDefaultGates;
  }
  const std::size_t gates = std::strtoul(aArguments[2], nullptr, 10);
  aArguments[2] = aArguments[0];
  aArguments += 2;
  aCount -= 2;
  return gates <= kMaxGates ? gates : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::size_t gateCount = TakeGates(aCount, aArguments);
  if (gateCount == 0) {
    std::fprintf(stderr, "--gates must be 1 to %zu\n", kMaxGates);
    return 2;
  }
  tools::StandinServer server;
  StoreStandin store(server);
  WorkerStandins workers(server.Thread(), store, kWorkers, gateCount);
  StoreGates gates(server, workers, gateCount);
  Control control(store, workers, gates);
  store.Put("op", "config", MakeSettings());
  workers.Start();
  const transport::HttpServer controlServer(
    server.Thread(),
    StandinHost(getpid()) + ":0",
    {},
    [&control](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      control.Serve(aRequest, aRespond);
    });
  std::printf("control on %s\n", controlServer.Address().c_str());
  for (std::size_t gate = 0; gate < gateCount; ++gate) {
    std::printf("gate %zu on %s\n", gate, gates.Address(gate).c_str());
  }
  return server.Run(
    aCount,
    aArguments,
    [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      try {
        const std::string_view gate = aRequest.Header("x-gate");
        if (gate.empty() ||
            !store.Handle(aRequest, aRespond, std::stoull(std::string(gate)))) {
          aRespond(HttpResponse::Json(404, "{}"));
        }
      } catch (const std::exception& error) {
        aRespond(HttpResponse::Json(400, error.what()));
      }
    });
}
