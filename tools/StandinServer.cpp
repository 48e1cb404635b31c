#include "StandinServer.h"

#include "cornelrudder/transport/TransportError.h"

#include <array>
#include <cstdio>
#include <exception>
#include <future>
#include <memory>
#include <utility>

#include <getopt.h>

namespace cornelrudder::tools {

using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

constexpr int kExitBadInput = 2;

/** Longer than the timeout of any client. */
constexpr std::chrono::milliseconds kUnansweredDelay{ 3'600'000 };

std::string
ParseListenAddress(int aCount, char** aArguments)
{
  static const std::array<option, 2> kOptions{ {
    { "listen", required_argument, nullptr, 'l' },
    { nullptr, 0, nullptr, 0 },
  } };
  std::string address = "127.0.0.1:0";
  int flag = 0;
  while ((flag = getopt_long(
            aCount, aArguments, "l:", kOptions.data(), nullptr)) != -1) {
    if (flag != 'l') {
      return {};
    }
    address = optarg;
  }
  return optind == aCount ? address : std::string();
}

} // namespace

void
LeaveUnanswered(transport::IoThread& aThread, const HttpResponder& aRespond)
{
  // Keeps the responder alive, so that the client times out: destroying it
  // would send a response with status 500.
  aThread.PostAfter(kUnansweredDelay, [aRespond] { aRespond({}); });
}

int
StandinServer::Run(int aCount, char** aArguments, Handler aHandler)
{
  const std::string address = ParseListenAddress(aCount, aArguments);
  if (address.empty()) {
    std::fprintf(stderr, "usage: %s [--listen IP:PORT]\n", aArguments[0]);
    return kExitBadInput;
  }
  mHandler = std::move(aHandler);
  try {
    std::promise<void> stopped;
    mThread.WatchStopSignals([&stopped, first = true]() mutable {
      if (std::exchange(first, false)) {
        stopped.set_value();
      }
    });
    transport::HttpServer server(
      mThread,
      address,
      {},
      [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        Serve(aRequest, aRespond);
      });
    std::printf("listening on %s\n", server.Address().c_str());
    std::fflush(stdout);
    stopped.get_future().wait();
    mThread.Stop();
  } catch (const transport::TransportError& error) {
    std::fprintf(stderr, "%s: %s\n", aArguments[0], error.what());
    return kExitBadInput;
  }
  return 0;
}

void
StandinServer::Serve(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (aRequest.Path() == "/faults") {
    SetFaults(aRequest, aRespond);
    return;
  }
  if (mFaults.mDown != 0) {
    LeaveUnanswered(mThread, aRespond);
    return;
  }
  if (TakeFault(mFaults.mFailNext)) {
    aRespond(HttpResponse::Json(500, R"({"error":"injected"})"));
    return;
  }
  if (mFaults.mSlowMs == 0) {
    mHandler(aRequest, aRespond);
    return;
  }
  mThread.PostAfter(
    std::chrono::milliseconds(mFaults.mSlowMs),
    [this, aRequest, aRespond] { mHandler(aRequest, aRespond); });
}

void
StandinServer::SetFaults(const HttpRequest& aRequest,
                         const HttpResponder& aRespond)
{
  try {
    mFaults = ParseFaultSwitches(aRequest.Body());
    aRespond(HttpResponse::Json(200, "{}"));
  } catch (const std::exception& error) {
    aRespond(HttpResponse::Json(400, error.what()));
  }
}

} // namespace cornelrudder::tools
