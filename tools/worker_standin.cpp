/**
 * @file
 * Stand-in for a worker with `--accelerators N` (default 8) accelerators;
 * serves the gang commands of docs/design.md 5.4. A task runs for the
 * `expected_ms` of its command, which is the job's `expected_seconds`.
 * `GET /journal` lists all events in order; `GET /tasks` lists the latest
 * attempt of each gang member. The fault fail_all fails each task when it
 * starts; leaving refuses reservations and is reported in each response.
 */

#include "StandinServer.h"
#include "WorkerModel.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/protocol/WorkerCodec.h"

#include <charconv>
#include <cstdio>
#include <cstring>

#include <nlohmann/json.hpp>

namespace {

using cornelrudder::protocol::HttpRequest;
using cornelrudder::protocol::HttpResponse;
using cornelrudder::tools::StandinServer;
using cornelrudder::tools::WorkerJournalEntry;
using cornelrudder::tools::WorkerModel;
using cornelrudder::transport::HttpResponder;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kDefaultAccelerators = 8;

class Worker
{
public:
  Worker(StandinServer& aServer, int aAccelerators)
    : mServer(aServer)
    , mModel(aAccelerators)
  {
  }

  void Serve(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    mModel.Advance(Now());
    if (aRequest.Path() == "/journal") {
      aRespond(HttpResponse::Json(200, Journal().dump()));
    } else if (aRequest.Path() == "/tasks") {
      aRespond(HttpResponse::Json(200, Tasks().dump()));
    } else {
      Command(aRequest, aRespond);
    }
  }

private:
  /** The worker's own monotonic clock, which alone determines lease expiry. */
  static milliseconds Now()
  {
    return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
  }

  void Command(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    try {
      const auto command =
        cornelrudder::protocol::DecodeWorkerCommand(aRequest);
      mModel.SetFailAll(mServer.Faults().mFailAll != 0);
      mModel.SetLeaving(mServer.Faults().mLeaving != 0);
      const auto report = mModel.Handle(command, Now());
      // The command was executed, but its response is lost.
      if (cornelrudder::tools::TakeFault(mServer.Faults().mLoseAnswers)) {
        aRespond(HttpResponse::Json(500, R"({"error":"answer lost"})"));
        return;
      }
      aRespond(cornelrudder::protocol::EncodeWorkerReport(report));
    } catch (const cornelrudder::protocol::ProtocolError& error) {
      aRespond(
        HttpResponse::Json(400, json{ { "error", error.what() } }.dump()));
    }
  }

  json Journal() const
  {
    json entries = json::array();
    for (const WorkerJournalEntry& entry : mModel.Journal()) {
      entries.push_back({ { "event", entry.mEvent },
                          { "gang", entry.mGang.Text() },
                          { "attempt", entry.mAttempt },
                          { "member", entry.mMember },
                          { "epoch", entry.mEpoch },
                          { "at_ms", entry.mAt.count() } });
    }
    return { { "entries", entries } };
  }

  json Tasks() const
  {
    json tasks = json::array();
    for (const auto& [key, task] : mModel.Tasks()) {
      tasks.push_back(
        { { "gang", key.first.Text() },
          { "member", key.second },
          { "attempt", task.mAttempt },
          { "state", cornelrudder::state::MemberStateName(task.mState) },
          { "accelerators", task.mAccelerators } });
    }
    return { { "tasks", tasks } };
  }

  StandinServer& mServer;
  WorkerModel mModel;
};

/**
 * Removes `--accelerators N` from the arguments.
 * @return N, the default if the option is absent, or 0 if N is invalid.
 */
int
ExtractAccelerators(std::vector<char*>& aArguments)
{
  for (std::size_t i = 1; i + 1 < aArguments.size(); ++i) {
    if (std::strcmp(aArguments[i], "--accelerators") != 0) {
      continue;
    }
    const std::string text = aArguments[i + 1];
    int n = 0;
    const auto [rest, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
    const bool whole = rest == text.data() + text.size();
    aArguments.erase(aArguments.begin() + static_cast<std::ptrdiff_t>(i),
                     aArguments.begin() + static_cast<std::ptrdiff_t>(i + 2));
    return ec == std::errc() && whole && n > 0 ? n : 0;
  }
  return kDefaultAccelerators;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<char*> arguments(aArguments, aArguments + aCount);
  const int accelerators = ExtractAccelerators(arguments);
  if (accelerators == 0) {
    std::fprintf(stderr,
                 "usage: %s [--listen IP:PORT] [--accelerators N]\n",
                 aArguments[0]);
    return 2;
  }
  const int count = static_cast<int>(arguments.size());
  arguments.push_back(nullptr);
  StandinServer server;
  Worker worker(server, accelerators);
  return server.Run(
    count,
    arguments.data(),
    [&worker](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      worker.Serve(aRequest, aRespond);
    });
}
