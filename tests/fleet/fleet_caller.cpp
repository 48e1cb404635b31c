/**
 * @file
 * Submits seeded jobs to the daemons, polls them until they finish and checks
 * the promises made to callers. Usage:
 * fleet_caller --daemons A,B,... --standin CONTROL_ADDRESS --seed N --jobs N
 * [--long-runs] [--deadly PERCENT]
 */

#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/IoThread.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <getopt.h>
#include <nlohmann/json.hpp>

using namespace cornelrudder;
using namespace std::chrono_literals;
using nlohmann::json;
using transport::HttpFailure;
using transport::HttpResult;

namespace {

/** Distance between the job seeds of two runs, so that they do not overlap. */
constexpr std::uint64_t kSeedStep = 100'003;
/** Run time of the tasks of a long step, without the drawn part. */
constexpr std::int64_t kLongRunMs = 4'000;
constexpr auto kRequestTimeout = 3s;
/** Limit for the completion of an accepted job, also under faults. */
constexpr auto kCompletionTimeout = 120s;
/** Submissions after which a job counts as refused. */
constexpr int kSubmitAttempts = 4;
/** Limit of submissions if an earlier one may have stored the job. */
constexpr int kMaxUncertainAttempts = 40;

/** Sizes of the load; a step of 2^n accelerators has n below a limit. */
struct Profile
{
  std::size_t mCallers;
  /** One step in so many is long. */
  std::size_t mStepsPerLongStep;
  /** Upper limit of what is drawn beyond kLongRunMs. */
  std::int64_t mMaxMoreMs;
  std::size_t mSizes;
};

constexpr Profile kMixedRuns{ 8, 8, 6'000, 4 };
/** Most runs last for longer than a takeover, several on each worker. */
constexpr Profile kLongRuns{ 16, 2, 12'000, 2 };

struct Options
{
  std::vector<std::string> mDaemons;
  std::string mStandin;
  std::uint64_t mSeed = 1;
  int mJobs = 60;
  /** Percentage of the jobs that have a task that crashes its workers. */
  std::uint64_t mDeadlyPercent = 0;
  Profile mProfile = kMixedRuns;
};

/** Final result of a job from the caller's point of view. */
enum class Outcome
{
  kRefused,
  kUnknown,
  kDone,
  kNotDone,
  kFailed,
  kCancelled
};

/** Sends requests and waits for each response. */
class Caller
{
public:
  Caller(transport::HttpClient& aClient, const Options& aOptions)
    : mClient(aClient)
    , mOptions(aOptions)
  {
  }

  HttpResult Send(const std::string& aAddress,
                  const char* aMethod,
                  const std::string& aPath,
                  std::string aBody)
  {
    std::promise<HttpResult> response;
    mClient.Send(aAddress,
                 { aMethod,
                   aPath,
                   { { "host", "presses.example" },
                     { "authorization", "Bearer key-acme" },
                     { "x-deadline-ms", "3000" } },
                   std::move(aBody) },
                 { kRequestTimeout, true },
                 [&response](HttpResult aResult) {
                   response.set_value(std::move(aResult));
                 });
    return response.get_future().get();
  }

  Outcome SubmitAndFollow(std::uint64_t aSeed, const std::string& aId)
  {
    std::mt19937_64 random(aSeed);
    const auto anyDaemon = [&]() -> const std::string& {
      return mOptions.mDaemons[random() % mOptions.mDaemons.size()];
    };
    const std::string path = "/q" + std::to_string(random() % 3) + "/" + aId;
    const bool isDeadly =
      mOptions.mDeadlyPercent > 0 && random() % 100 < mOptions.mDeadlyPercent;
    const json body = MakeBody(random, isDeadly);
    const std::string text = body.dump();
    bool mayBeStored = false;
    bool isAccepted = false;
    for (int i = 0; !isAccepted && (i < kSubmitAttempts || mayBeStored); ++i) {
      if (i == kMaxUncertainAttempts) {
        return Outcome::kUnknown;
      }
      const HttpResult result = Send(anyDaemon(), "POST", path, text);
      const int status = result.Response().Status();
      isAccepted = result.Failure() == HttpFailure::kNone && status == 200;
      const bool isRefused = result.Failure() == HttpFailure::kNotSent ||
                             status == 503 || status == 429;
      mayBeStored = mayBeStored || (!isAccepted && !isRefused);
      if (!isAccepted) {
        std::this_thread::sleep_for(300ms);
      }
    }
    if (!isAccepted) {
      return Outcome::kRefused;
    }
    // Suspicion may delay the runs of a deadly job.
    if (!isDeadly) {
      Report("/jobs/accepted",
             { { "id", aId }, { "steps", body.at("steps") } });
    }
    const auto deadline = std::chrono::steady_clock::now() + kCompletionTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      const HttpResult result = Send(anyDaemon(), "GET", path, "");
      const Outcome outcome = OutcomeOf(result);
      if (outcome != Outcome::kNotDone) {
        Report("/jobs/ended", { { "id", aId } });
        return outcome;
      }
      std::this_thread::sleep_for(200ms);
    }
    return Outcome::kNotDone;
  }

private:
  /** @return kNotDone unless the response shows an end. */
  static Outcome OutcomeOf(const HttpResult& aResult)
  {
    if (aResult.Failure() != HttpFailure::kNone ||
        aResult.Response().Status() != 200) {
      return Outcome::kNotDone;
    }
    const std::string& text = aResult.Response().Body();
    const auto shows = [&text](const char* aState) {
      return text.find(aState) != std::string::npos;
    };
    if (shows("\"failed\"")) {
      return Outcome::kFailed;
    }
    if (shows("\"cancelled\"")) {
      return Outcome::kCancelled;
    }
    return shows("\"done\"") ? Outcome::kDone : Outcome::kNotDone;
  }

  /** Tells the stand-in what a caller has seen of a job. */
  void Report(const std::string& aPath, const json& aBody)
  {
    const HttpResult result =
      Send(mOptions.mStandin, "POST", aPath, aBody.dump());
    if (result.Failure() != HttpFailure::kNone ||
        result.Response().Status() != 200) {
      std::printf("the stand-in did not take %s %s\n",
                  aPath.c_str(),
                  aBody.at("id").dump().c_str());
    }
  }

  /**
   * @param aIsDeadly Whether a task of the last step crashes its workers.
   * @return A job of one to three steps, one after the other.
   */
  json MakeBody(std::mt19937_64& aRandom, bool aIsDeadly) const
  {
    json payloads = json::array();
    json steps = json::array();
    const std::size_t count = 1 + aRandom() % 3;
    for (std::size_t i = 0; i < count; ++i) {
      auto [payload, step] = MakeStep(aRandom);
      if (i > 0) {
        step["after"] = { i - 1 };
      }
      payloads.push_back(std::move(payload));
      steps.push_back(std::move(step));
    }
    if (aIsDeadly) {
      payloads.back()["deadly"] =
        aRandom() % steps.back().at("count").get<std::uint64_t>();
    }
    return { { "spec", json{ { "steps", std::move(payloads) } }.dump() },
             { "steps", std::move(steps) } };
  }

  /** @return The payload and the request of a step. */
  std::pair<json, json> MakeStep(std::mt19937_64& aRandom) const
  {
    const Profile& profile = mOptions.mProfile;
    const std::int64_t accelerators = 1LL << (aRandom() % profile.mSizes);
    const std::size_t tasks = 1 + aRandom() % 4;
    const bool isGang = aRandom() % 2 == 0;
    // A run that lasts for longer than a lease shows whether it is started
    // again while it goes on out of reach.
    const bool isLong = aRandom() % profile.mStepsPerLongStep == 0;
    const auto draw = [&aRandom](std::int64_t aLimit) {
      return static_cast<std::int64_t>(aRandom() %
                                       static_cast<std::uint64_t>(aLimit));
    };
    const std::int64_t work =
      isLong ? kLongRunMs + draw(profile.mMaxMoreMs) : 100 + draw(900);
    json payload{ { "run_ms", work }, { "accelerators", accelerators } };
    json step{ { "count", tasks },
               { "cpu", 1'000 },
               { "mem-mb", 1'000 },
               { "gpu", accelerators },
               { "estimate-ms", work } };
    if (isGang) {
      payload["gang"] = tasks;
      step["gang"] = true;
    }
    return { std::move(payload), std::move(step) };
  }

  transport::HttpClient& mClient;
  const Options& mOptions;
};

bool
ParseOptions(int aCount, char** aArguments, Options& aOptions)
{
  static const std::array<option, 7> kOptions{ {
    { "daemons", required_argument, nullptr, 'd' },
    { "standin", required_argument, nullptr, 's' },
    { "seed", required_argument, nullptr, 'r' },
    { "jobs", required_argument, nullptr, 'j' },
    { "long-runs", no_argument, nullptr, 'l' },
    { "deadly", required_argument, nullptr, 'y' },
    { nullptr, 0, nullptr, 0 },
  } };
  int flag = 0;
  while ((flag = getopt_long(
            aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    if (flag == 'd') {
      std::string list = optarg;
      for (std::size_t at = 0; at != std::string::npos;) {
        const auto comma = list.find(',', at);
        aOptions.mDaemons.push_back(list.substr(at, comma - at));
        at = comma == std::string::npos ? comma : comma + 1;
      }
    } else if (flag == 's') {
      aOptions.mStandin = optarg;
    } else if (flag == 'r') {
      aOptions.mSeed = std::stoull(optarg);
    } else if (flag == 'j') {
      aOptions.mJobs = std::stoi(optarg);
    } else if (flag == 'l') {
      aOptions.mProfile = kLongRuns;
    } else if (flag == 'y') {
      aOptions.mDeadlyPercent = std::stoull(optarg);
    } else {
      return false;
    }
  }
  return !aOptions.mDaemons.empty() && !aOptions.mStandin.empty();
}

/** @return The identifier of a job: 16 hexadecimal digits. */
std::string
JobId(const Options& aOptions, std::size_t aJob)
{
  std::array<char, 17> id{};
  std::snprintf(id.data(),
                id.size(),
                "%08x%08x",
                static_cast<unsigned>(aOptions.mSeed),
                static_cast<unsigned>(aJob));
  return id.data();
}

/** Runs all jobs, divided among concurrent callers. */
std::vector<Outcome>
RunJobs(transport::HttpClient& aClient, const Options& aOptions)
{
  std::vector<Outcome> outcomes(static_cast<std::size_t>(aOptions.mJobs));
  std::vector<std::thread> callers;
  const std::size_t count = aOptions.mProfile.mCallers;
  for (std::size_t c = 0; c < count; ++c) {
    callers.emplace_back([&, c] {
      Caller caller(aClient, aOptions);
      for (std::size_t i = c; i < outcomes.size(); i += count) {
        outcomes[i] = caller.SubmitAndFollow(aOptions.mSeed * kSeedStep + i,
                                             JobId(aOptions, i));
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  return outcomes;
}

/** Prints each violation. @return The number of violations. */
int
CheckPromises(const Options& aOptions,
              const std::vector<Outcome>& aOutcomes,
              const json& aJournal)
{
  std::vector<std::string> violations = aJournal.at("violations");
  const std::set<std::string> started = aJournal.at("started");
  const std::set<std::string> failable = aJournal.at("failable");
  for (std::size_t i = 0; i < aOutcomes.size(); ++i) {
    const std::string id = JobId(aOptions, i);
    if (aOutcomes[i] == Outcome::kRefused && started.contains(id)) {
      violations.push_back(id + " was refused but was started");
    }
    if (aOutcomes[i] == Outcome::kNotDone) {
      violations.push_back(id + " was accepted but did not finish in time");
    }
    if (aOutcomes[i] == Outcome::kFailed && !failable.contains(id)) {
      violations.push_back(id + " was shown as failed without a cause");
    }
    // No caller cancels a job.
    if (aOutcomes[i] == Outcome::kCancelled) {
      violations.push_back(id + " was shown as cancelled");
    }
  }
  for (const std::string& it : violations) {
    std::printf("BROKEN: %s\n", it.c_str());
  }
  return static_cast<int>(violations.size());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  if (!ParseOptions(aCount, aArguments, options)) {
    std::fprintf(stderr,
                 "usage: %s --daemons A,B --standin A [--seed N] [--jobs N] "
                 "[--long-runs] [--deadly PERCENT]\n",
                 aArguments[0]);
    return 2;
  }
  transport::IoThread thread;
  transport::HttpClient client(thread, {});
  const std::vector<Outcome> outcomes = RunJobs(client, options);
  const HttpResult response =
    Caller(client, options).Send(options.mStandin, "GET", "/journal", "");
  thread.Stop();
  if (response.Failure() != HttpFailure::kNone) {
    std::printf("BROKEN: the stand-in did not return its journal\n");
    return 1;
  }
  const json journal = json::parse(response.Response().Body());
  const int violations = CheckPromises(options, outcomes, journal);
  const auto count = [&outcomes](Outcome aOutcome) {
    return static_cast<int>(
      std::count(outcomes.begin(), outcomes.end(), aOutcome));
  };
  std::printf("seed %llu: %d done, %d failed, %d refused, %d unknown, %d "
              "broken, pairs=%zu\n",
              static_cast<unsigned long long>(options.mSeed),
              count(Outcome::kDone),
              count(Outcome::kFailed),
              count(Outcome::kRefused),
              count(Outcome::kUnknown),
              violations,
              journal.at("pairs").get<std::size_t>());
  return violations == 0 ? 0 : 1;
}
