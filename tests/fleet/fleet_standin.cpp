/**
 * @file
 * Stand-in for the users' platform: the store, a fleet of workers and the
 * operator's settings. On start it prints "listening on ADDRESS". That
 * address serves the store and the control requests: `PUT /faults` (see
 * FaultSwitches), `POST /history/drop`, `POST /workers/N/ACTION` (silence,
 * answer, restart) and `GET /journal`.
 */

#include "WorkerStandins.h"

#include <memory>

#include <nlohmann/json.hpp>

using namespace cornelrudder;
using namespace cornelrudder::tests;
using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

constexpr std::size_t kWorkers = 12;

json
MakeQueue(int aPriority, double aSlack)
{
  const std::string name = "q" + std::to_string(aPriority);
  return { { "name", name },
           { "host", "presses.example" },
           { "prefix", "/" + name + "/" },
           { "priority", aPriority },
           { "service", "presses" },
           { "attempts", 2 },
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

/** Handles the control requests of the test script. */
void
HandleControl(const HttpRequest& aRequest,
              const HttpResponder& aRespond,
              StoreStandin& aStore,
              WorkerStandins& aWorkers)
{
  const std::string path(aRequest.Path());
  if (path == "/journal") {
    aRespond(HttpResponse::Json(200, aWorkers.Journal().dump()));
    return;
  }
  if (path == "/history/drop") {
    aStore.DropHistory();
    aRespond(HttpResponse::Json(200, "{}"));
    return;
  }
  constexpr std::string_view kPrefix = "/workers/";
  if (!path.starts_with(kPrefix)) {
    aRespond(HttpResponse::Json(404, "{}"));
    return;
  }
  const std::string rest = path.substr(kPrefix.size());
  const auto slash = rest.find('/');
  try {
    aWorkers.ApplyAction(std::stoull(rest.substr(0, slash)),
                         rest.substr(slash + 1));
    aRespond(HttpResponse::Json(200, "{}"));
  } catch (const std::exception& error) {
    aRespond(HttpResponse::Json(400, error.what()));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  tools::StandinServer server;
  StoreStandin store(server);
  WorkerStandins workers(server.Thread(), store, kWorkers);
  store.Put("op", "config", MakeSettings());
  workers.Start();
  return server.Run(
    aCount,
    aArguments,
    [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      try {
        if (!store.Handle(aRequest, aRespond)) {
          HandleControl(aRequest, aRespond, store, workers);
        }
      } catch (const std::exception& error) {
        aRespond(HttpResponse::Json(400, error.what()));
      }
    });
}
