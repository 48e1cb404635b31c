/**
 * @file
 * Sends random requests, settings changes and jobs to daemons from many
 * concurrent callers, reproducible by seed, and prints what each caller
 * observed as history lines (JSON) for check_history.
 */

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/IoThread.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <future>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <getopt.h>
#include <nlohmann/json.hpp>

namespace {

using cornelrudder::protocol::HttpRequest;
using cornelrudder::protocol::HttpResponse;
using cornelrudder::transport::HttpClient;
using cornelrudder::transport::HttpFailure;
using cornelrudder::transport::HttpResult;
using nlohmann::json;

constexpr int kExitBadInput = 2;
constexpr int kMaxTries = 4;
constexpr int kMaxPolls = 600;
constexpr int kPollIntervalMs = 100;
constexpr int kMaxGangMembers = 4;
constexpr std::chrono::milliseconds kCallTimeout{ 8'000 };
const std::string kTeamPath = "organisations/acme/teams/night";

struct Options
{
  std::vector<std::string> mServers;
  unsigned mSeed = 1;
  int mCallers = 16;
  int mCalls = 50;
  int mOperators = 2;
  int mSubmitters = 0;
  int mJobs = 8;
};

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  std::string part;
  while (std::getline(text, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

/** One caller, operator or submitter with its own generator and connections. */
class Caller
{
public:
  Caller(const Options& aOptions, int aNumber)
    : mOptions(aOptions)
    , mNumber(aNumber)
    , mRandom(aOptions.mSeed * 1000U + static_cast<unsigned>(aNumber))
    , mClient(mThread, {})
  {
  }

  std::vector<std::string> RunCalls()
  {
    for (int i = 0; i < mOptions.mCalls; ++i) {
      RunCall(i);
    }
    return mLines;
  }

  std::vector<std::string> RunChanges()
  {
    for (int i = 0; i < mOptions.mCalls; ++i) {
      ReadSettings();
      ChangeSettings(i);
      Pause(20);
    }
    return mLines;
  }

  std::vector<std::string> RunJobs()
  {
    for (int i = 0; i < mOptions.mJobs; ++i) {
      RunJob(i);
    }
    return mLines;
  }

  /** Reads the settings from each server once; for use after all changes. */
  std::vector<std::string> ReadAllServers()
  {
    for (const std::string& server : mOptions.mServers) {
      ReadSettingsOf(server);
    }
    return mLines;
  }

private:
  int RandomBelow(int aBound)
  {
    return static_cast<int>(mRandom() % static_cast<unsigned>(aBound));
  }

  void Pause(int aMilliseconds)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
  }

  const std::string& RandomServer()
  {
    return mOptions.mServers[static_cast<std::size_t>(
      RandomBelow(static_cast<int>(mOptions.mServers.size())))];
  }

  HttpResult Send(const std::string& aServer, HttpRequest aRequest)
  {
    auto promise = std::make_shared<std::promise<HttpResult>>();
    auto future = promise->get_future();
    mClient.Send(aServer,
                 std::move(aRequest),
                 { kCallTimeout, false },
                 [promise](HttpResult aResult) {
                   promise->set_value(std::move(aResult));
                 });
    return future.get();
  }

  void RunCall(int aIndex)
  {
    const std::string name = std::to_string(mOptions.mSeed) + "-" +
                             std::to_string(mNumber) + "-" +
                             std::to_string(aIndex);
    const bool idempotent = RandomBelow(2) == 0;
    const std::string body =
      "work_ms=" + std::to_string(RandomBelow(60)) + " call-" + name + " " +
      std::string(static_cast<std::size_t>(RandomBelow(2000)),
                  static_cast<char>('a' + RandomBelow(26)));
    for (int i = 0; i < kMaxTries; ++i) {
      if (TryCall(idempotent, idempotent ? "" : "key-" + name, body)) {
        return;
      }
      Pause(50 + RandomBelow(200));
    }
  }

  /** @return Whether the response has status 200. */
  bool TryCall(bool aIdempotent,
               const std::string& aKey,
               const std::string& aBody)
  {
    cornelrudder::protocol::HttpHeaders headers{ { "x-organisation", "acme" },
                                                 { "x-team", "night" } };
    if (!aKey.empty()) {
      headers.emplace("idempotency-key", aKey);
    }
    const HttpResult result = Send(
      RandomServer(),
      { "POST",
        aIdempotent ? "/v1/requests/proof-render" : "/v1/requests/kerf-check",
        std::move(headers),
        aBody });
    json line{ { "type", "call" }, { "request", "" },        { "key", aKey },
               { "body", aBody },  { "end", "no_response" }, { "answer", "" } };
    if (result.Failure() == HttpFailure::kNone) {
      SetCallOutcome(line, result.Response());
    }
    mLines.push_back(line.dump());
    return line["end"] == "answered";
  }

  static void SetCallOutcome(json& aLine, const HttpResponse& aResponse)
  {
    aLine["request"] = aResponse.Header("x-request-id");
    aLine["answer"] = aResponse.Body();
    if (aResponse.Status() == 200) {
      aLine["end"] = "answered";
      return;
    }
    const json body = json::parse(aResponse.Body(), nullptr, false);
    const bool notRun = body.is_object() && body.value("ran", "") == "no";
    aLine["end"] = notRun ? "not_run" : "unknown";
  }

  /**
   * Submits a gang job, retrying until a daemon returns its identifier, then
   * polls the job.
   */
  void RunJob(int aIndex)
  {
    const int members = 1 + RandomBelow(kMaxGangMembers);
    const json spec{ { "organisation", "acme" },
                     { "team", "night" },
                     { "class", RandomBelow(2) == 0 ? "nesting" : "billed" },
                     { "workers", members },
                     { "accelerators_per_worker", 1 + RandomBelow(4) },
                     { "adjacency", "rack" },
                     { "expected_seconds", RandomBelow(3) },
                     { "key",
                       "job-" + std::to_string(mOptions.mSeed) + "-" +
                         std::to_string(mNumber) + "-" +
                         std::to_string(aIndex) } };
    const bool cancel = RandomBelow(6) == 0;
    for (int i = 0; i < kMaxPolls; ++i) {
      const HttpResult result =
        Send(RandomServer(), { "POST", "/v1/jobs", {}, spec.dump() });
      const json body = ParseBody(result);
      if (body.contains("id")) {
        PollJob(body.at("id").get<std::string>(), members, cancel);
        return;
      }
      Pause(kPollIntervalMs);
    }
  }

  /** Polls a job until a final state, after a cancellation if aCancel. */
  void PollJob(const std::string& aJob, int aMembers, bool aCancel)
  {
    const std::string path = "/v1/jobs/" + aJob;
    json line{ { "type", "job" },
               { "job", aJob },
               { "members", aMembers },
               { "state", "" },
               { "ran", "unknown" } };
    if (aCancel) {
      Pause(RandomBelow(500));
      Send(RandomServer(), { "DELETE", path, {}, "" });
    }
    for (int i = 0; i < kMaxPolls; ++i) {
      const json body =
        ParseBody(Send(RandomServer(), { "GET", path, {}, "" }));
      const std::string state = body.value("state", "");
      if (state == "done" || state == "failed" || state == "refused" ||
          state == "cancelled") {
        line["state"] = state;
        line["ran"] = body.value("ran", "unknown");
        break;
      }
      Pause(kPollIntervalMs);
    }
    mLines.push_back(line.dump());
  }

  /** @return The body of a response, or an empty object. */
  static json ParseBody(const HttpResult& aResult)
  {
    if (aResult.Failure() != HttpFailure::kNone) {
      return json::object();
    }
    json body = json::parse(aResult.Response().Body(), nullptr, false);
    return body.is_object() ? body : json::object();
  }

  void ReadSettings() { ReadSettingsOf(RandomServer()); }

  void ReadSettingsOf(const std::string& aServer)
  {
    const HttpResult result =
      Send(aServer, { "GET", "/v1/settings/" + kTeamPath, {}, "" });
    const bool found = result.Failure() == HttpFailure::kNone &&
                       result.Response().Status() == 200;
    if (!found) {
      return;
    }
    const json document = json::parse(result.Response().Body());
    mVersion = document.at("version").get<std::uint64_t>();
    // Reads of different callers are concurrent, so versions are ordered only
    // among the reads of one caller from one server.
    mLines.push_back(
      json{ { "type", "settings_read" },
            { "reader", aServer + " by " + std::to_string(mNumber) },
            { "path", kTeamPath },
            { "version", mVersion },
            { "values", document.at("values").dump() } }
        .dump());
  }

  void ChangeSettings(int aIndex)
  {
    const json values{ { "display_name",
                         "by " + std::to_string(mNumber) + " change " +
                           std::to_string(aIndex) } };
    const HttpResult result =
      Send(RandomServer(),
           { "PUT",
             "/v1/settings/" + kTeamPath,
             { { "if-match", std::to_string(mVersion) },
               { "x-operator", std::to_string(mNumber) } },
             values.dump() });
    const bool accepted = result.Failure() == HttpFailure::kNone &&
                          result.Response().Status() == 200;
    if (!accepted) {
      return;
    }
    const json document = json::parse(result.Response().Body());
    mLines.push_back(json{ { "type", "settings_write" },
                           { "path", kTeamPath },
                           { "version", document.at("version") },
                           { "values", document.at("values").dump() } }
                       .dump());
  }

  const Options& mOptions;
  int mNumber;
  std::mt19937 mRandom;
  cornelrudder::transport::IoThread mThread;
  HttpClient mClient;
  std::uint64_t mVersion = 0;
  std::vector<std::string> mLines;
};

void
Print(const std::vector<std::string>& aLines)
{
  for (const std::string& line : aLines) {
    std::puts(line.c_str());
  }
}

int
Run(const Options& aOptions)
{
  std::vector<std::future<std::vector<std::string>>> results;
  for (int i = 0; i < aOptions.mCallers; ++i) {
    results.push_back(std::async(std::launch::async, [&aOptions, i] {
      return Caller(aOptions, i).RunCalls();
    }));
  }
  for (int i = 0; i < aOptions.mOperators; ++i) {
    results.push_back(std::async(std::launch::async, [&aOptions, i] {
      return Caller(aOptions, aOptions.mCallers + i).RunChanges();
    }));
  }
  for (int i = 0; i < aOptions.mSubmitters; ++i) {
    results.push_back(std::async(std::launch::async, [&aOptions, i] {
      return Caller(aOptions, aOptions.mCallers + aOptions.mOperators + i)
        .RunJobs();
    }));
  }
  for (auto& result : results) {
    Print(result.get());
  }
  return 0;
}

Options
ParseOptions(int aCount, char** aArguments)
{
  static const std::array<option, 8> kOptions{ {
    { "servers", required_argument, nullptr, 's' },
    { "seed", required_argument, nullptr, 'r' },
    { "callers", required_argument, nullptr, 'c' },
    { "calls", required_argument, nullptr, 'n' },
    { "operators", required_argument, nullptr, 'o' },
    { "submitters", required_argument, nullptr, 'j' },
    { "jobs", required_argument, nullptr, 'J' },
    { nullptr, 0, nullptr, 0 },
  } };
  Options options;
  int flag = 0;
  while ((flag = getopt_long(
            aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    if (flag == 's') {
      options.mServers = Split(optarg);
    } else if (flag == 'r') {
      options.mSeed = static_cast<unsigned>(std::stoul(optarg));
    } else if (flag == 'c') {
      options.mCallers = std::stoi(optarg);
    } else if (flag == 'n') {
      options.mCalls = std::stoi(optarg);
    } else if (flag == 'o') {
      options.mOperators = std::stoi(optarg);
    } else if (flag == 'j') {
      options.mSubmitters = std::stoi(optarg);
    } else if (flag == 'J') {
      options.mJobs = std::stoi(optarg);
    } else {
      options.mServers.clear();
      break;
    }
  }
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const Options options = ParseOptions(aCount, aArguments);
    if (options.mServers.empty()) {
      std::fprintf(stderr,
                   "usage: %s --servers A,B,... [--seed N] [--callers N] "
                   "[--calls N] [--operators N] [--submitters N] [--jobs N]\n",
                   aArguments[0]);
      return kExitBadInput;
    }
    if (options.mCallers == 0 && options.mOperators == 0) {
      Print(Caller(options, 0).ReadAllServers());
      return 0;
    }
    return Run(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", aArguments[0], error.what());
    return kExitBadInput;
  }
}
