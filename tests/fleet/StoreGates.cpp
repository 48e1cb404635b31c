#include "StoreGates.h"

#include "cornelrudder/transport/TransportError.h"

#include <cstdio>
#include <map>
#include <stdexcept>

namespace cornelrudder::tests {

using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

constexpr std::chrono::milliseconds kListenRetry{ 100 };

/** @return A copy of the request that names the gate at which it arrived. */
HttpRequest
AtGate(const HttpRequest& aRequest, std::size_t aGate)
{
  auto headers = aRequest.Headers();
  headers["x-gate"] = std::to_string(aGate);
  return {
    aRequest.Method(), aRequest.Target(), std::move(headers), aRequest.Body()
  };
}

} // namespace

StoreGates::StoreGates(tools::StandinServer& aServer,
                       WorkerStandins& aWorkers,
                       std::size_t aCount)
  : mServer(aServer)
  , mWorkers(aWorkers)
  , mGates(aCount)
{
  for (std::size_t gate = 0; gate < aCount; ++gate) {
    Listen(gate);
  }
}

StoreGates::Fault
StoreGates::FaultByName(const std::string& aName)
{
  static const std::map<std::string, Fault> kFaults{
    { "silent", { .mDropsCalls = true, .mDropsReplies = true } },
    { "one-way", { .mDropsReplies = true } },
    { "reset", { .mIsRefused = true, .mDropsReplies = true } },
    { "503", { .mStatus = 503 } },
    { "429", { .mStatus = 429 } },
    { "late-1", { .mDelay = Millis(1'000) } },
    { "late-2", { .mDelay = Millis(2'000) } },
    { "late-3", { .mDelay = Millis(3'000) } },
    { "late-4", { .mDelay = Millis(4'000) } },
    { "late-5", { .mDelay = Millis(5'000) } },
    { "late-6", { .mDelay = Millis(6'000) } },
  };
  const auto it = kFaults.find(aName);
  if (it == kFaults.end()) {
    throw std::runtime_error("unknown fault \"" + aName + "\"");
  }
  return it->second;
}

void
StoreGates::Listen(std::size_t aGate)
{
  Gate& gate = mGates.at(aGate);
  try {
    gate.mServer = std::make_unique<transport::HttpServer>(
      mServer.Thread(),
      gate.mAddress,
      transport::HttpServerLimits{},
      [this, aGate](const HttpRequest& aRequest,
                    const HttpResponder& aRespond) {
        Receive(aGate, aRequest, aRespond);
      });
    gate.mAddress = gate.mServer->Address();
  } catch (const transport::TransportError& error) {
    // Another socket uses the port for a moment.
    std::printf("gate %zu: %s\n", aGate, error.what());
    mWorkers.EndFaultAfter(kListenRetry, [this, aGate] {
      if (!mGates[aGate].mServer && !mGates[aGate].mFault.mIsRefused) {
        Listen(aGate);
      }
    });
  }
}

void
StoreGates::SetFault(std::size_t aGate, const Fault& aFault)
{
  Gate& gate = mGates.at(aGate);
  gate.mFault = aFault;
  ++gate.mFaultNumber;
  if (aFault.mIsRefused) {
    gate.mServer.reset();
  } else if (!gate.mServer) {
    Listen(aGate);
  }
}

void
StoreGates::Fail(const std::string& aGates,
                 const std::string& aFault,
                 Millis aDuration)
{
  const Fault fault = FaultByName(aFault);
  for (const std::size_t gate : mWorkers.SelectGates(aGates)) {
    Trace("gate-" + std::to_string(gate),
          ("store-" + aFault).c_str(),
          "-",
          static_cast<std::uint64_t>(aDuration.count()),
          0);
    SetFault(gate, fault);
    mWorkers.EndFaultAfter(aDuration,
                           [this, gate, number = mGates[gate].mFaultNumber] {
                             if (mGates[gate].mFaultNumber == number) {
                               SetFault(gate, {});
                             }
                           });
  }
}

void
StoreGates::Receive(std::size_t aGate,
                    const HttpRequest& aRequest,
                    const HttpResponder& aRespond)
{
  const Fault& fault = mGates[aGate].mFault;
  if (fault.mDropsCalls || fault.mIsRefused) {
    tools::LeaveUnanswered(mServer.Thread(), aRespond);
  } else if (fault.mStatus != 0) {
    aRespond(HttpResponse::Json(fault.mStatus, R"({"error":"injected"})"));
  } else if (fault.mDelay > Millis(0) && aRequest.Path() == "/v1/rows-tx") {
    tools::LeaveUnanswered(mServer.Thread(), aRespond);
    mServer.Thread().PostAfter(
      fault.mDelay, [this, request = AtGate(aRequest, aGate)] {
        mServer.Serve(request, [](const HttpResponse&) {});
      });
  } else {
    mServer.Serve(AtGate(aRequest, aGate),
                  [this, aGate, aRespond](const HttpResponse& aResponse) {
                    if (mGates[aGate].mFault.mDropsReplies) {
                      tools::LeaveUnanswered(mServer.Thread(), aRespond);
                    } else {
                      aRespond(aResponse);
                    }
                  });
  }
}

} // namespace cornelrudder::tests
