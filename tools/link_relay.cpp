/**
 * @file
 * Relays TCP connections with random delays. Prints
 * "listening on ADDRESS" and "control on ADDRESS"; `PUT /faults` on the
 * control address changes delays and losses, or cuts or stalls the link.
 */

#include "LinkRelay.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/IoThread.h"
#include "cornelrudder/transport/TransportError.h"

#include <array>
#include <cstdio>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>

#include <getopt.h>

#include <nlohmann/json.hpp>

namespace {

using namespace cornelrudder;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

constexpr int kExitBadInput = 2;

constexpr const char* kUsage =
  "usage: link_relay --target IP:PORT [options]\n"
  "\n"
  "      --target IP:PORT         address to relay connections to\n"
  "      --listen IP:PORT         listen address, default 127.0.0.1:0\n"
  "      --control IP:PORT        address of PUT /faults, default 127.0.0.1:0\n"
  "      --min-delay-ms N         minimum delay in each direction, default 0\n"
  "      --max-delay-ms N         maximum delay, default the minimum delay\n"
  "      --loss-per-mille N       delayed chunks per thousand, default 0\n"
  "      --seed N                 seed of delays and losses, default 1\n";

struct Arguments
{
  std::string mListen = "127.0.0.1:0";
  std::string mControl = "127.0.0.1:0";
  std::string mTarget;
  std::string mMinDelay = "0";
  std::string mMaxDelay;
  std::string mLoss = "0";
  std::string mSeed = "1";
};

/** Indexed by the value of each option in ParseArguments. */
constexpr std::array<std::string Arguments::*, 7> kMembers{
  &Arguments::mListen,   &Arguments::mControl,  &Arguments::mTarget,
  &Arguments::mMinDelay, &Arguments::mMaxDelay, &Arguments::mLoss,
  &Arguments::mSeed
};

std::optional<Arguments>
ParseArguments(int aCount, char** aArguments)
{
  static const std::array<option, 8> kOptions{ {
    { "listen", required_argument, nullptr, 0 },
    { "control", required_argument, nullptr, 1 },
    { "target", required_argument, nullptr, 2 },
    { "min-delay-ms", required_argument, nullptr, 3 },
    { "max-delay-ms", required_argument, nullptr, 4 },
    { "loss-per-mille", required_argument, nullptr, 5 },
    { "seed", required_argument, nullptr, 6 },
    { nullptr, 0, nullptr, 0 },
  } };
  Arguments arguments;
  int flag = 0;
  while ((flag = getopt_long(
            aCount, aArguments, "", kOptions.data(), nullptr)) != -1) {
    if (flag < 0 || flag >= static_cast<int>(kMembers.size())) {
      return std::nullopt;
    }
    arguments.*(kMembers.at(static_cast<std::size_t>(flag))) = optarg;
  }
  if (arguments.mMaxDelay.empty()) {
    arguments.mMaxDelay = arguments.mMinDelay;
  }
  const bool complete = !arguments.mTarget.empty() && optind == aCount;
  return complete ? std::optional(arguments) : std::nullopt;
}

tools::LinkFaults
FaultsOf(const Arguments& aArguments)
{
  return tools::ParseLinkFaults("{\"min_delay_ms\":" + aArguments.mMinDelay +
                                  ",\"max_delay_ms\":" + aArguments.mMaxDelay +
                                  ",\"loss_per_mille\":" + aArguments.mLoss +
                                  "}",
                                {});
}

/** Serves `PUT /faults`. */
class Control
{
public:
  Control(tools::LinkRelay& aRelay, const tools::LinkFaults& aFaults)
    : mRelay(aRelay)
    , mFaults(aFaults)
  {
  }

  void Serve(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (aRequest.Method() != "PUT" || aRequest.Path() != "/faults") {
      aRespond(HttpResponse::Json(404, "{}"));
      return;
    }
    try {
      mFaults = tools::ParseLinkFaults(aRequest.Body(), mFaults);
      mRelay.SetFaults(mFaults);
      aRespond(HttpResponse::Json(200, "{}"));
    } catch (const std::exception& error) {
      const nlohmann::json body{ { "error", error.what() } };
      aRespond(HttpResponse::Json(400, body.dump()));
    }
  }

private:
  tools::LinkRelay& mRelay;
  tools::LinkFaults mFaults;
};

void
Run(const Arguments& aArguments)
{
  const tools::LinkFaults faults = FaultsOf(aArguments);
  tools::LinkRelay relay(aArguments.mListen,
                         aArguments.mTarget,
                         faults,
                         std::stoull(aArguments.mSeed));
  Control control(relay, faults);
  transport::IoThread thread;
  thread.WatchStopSignals([&relay] { relay.Stop(); });
  const transport::HttpServer server(
    thread,
    aArguments.mControl,
    {},
    [&control](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      control.Serve(aRequest, aRespond);
    });
  std::printf("listening on %s\n", relay.Address().c_str());
  std::printf("control on %s\n", server.Address().c_str());
  std::fflush(stdout);
  relay.Run();
  thread.Stop();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto arguments = ParseArguments(aCount, aArguments);
  if (!arguments) {
    std::fputs(kUsage, stderr);
    return kExitBadInput;
  }
  try {
    Run(*arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "link_relay: %s\n", error.what());
    return kExitBadInput;
  }
  return 0;
}
