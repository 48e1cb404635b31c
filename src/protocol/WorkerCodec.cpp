#include "cornelrudder/protocol/WorkerCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;
using state::MemberState;
using state::WorkerCommand;
using state::WorkerReply;
using state::WorkerReplyStatus;

namespace {

constexpr std::string_view kPathPrefix = "/gang/";

/** One year; the bound keeps sums of times from overflowing. */
constexpr std::int64_t kMaxTimeMs = 366LL * 24 * 3'600'000;

struct StatusCode
{
  WorkerReplyStatus mStatus;
  int mCode;
};

constexpr std::array kStatusCodes{
  StatusCode{ WorkerReplyStatus::kAccepted, 200 },
  StatusCode{ WorkerReplyStatus::kRefused, 409 },
  StatusCode{ WorkerReplyStatus::kFenced, 412 },
};

std::chrono::milliseconds
DecodeTime(const json& aObject, const char* aKey)
{
  const auto n = aObject.at(aKey).get<std::int64_t>();
  if (!aObject.at(aKey).is_number_integer() || n < 0 || n > kMaxTimeMs) {
    throw ProtocolError("worker command: " + std::string(aKey) +
                        ": allowed is a whole number from 0 to " +
                        std::to_string(kMaxTimeMs));
  }
  return std::chrono::milliseconds(n);
}

WorkerCommand
FromJson(state::WorkerAction aAction, const json& aObject)
{
  return { aAction,
           state::RegionId(aObject.at("domain").get<std::string>()),
           aObject.at("epoch").get<std::uint64_t>(),
           state::JobId(aObject.at("gang").get<std::string>()),
           aObject.at("attempt").get<std::uint32_t>(),
           aObject.at("member").get<int>(),
           aObject.at("accelerators").get<std::vector<int>>(),
           DecodeTime(aObject, "lease_ms"),
           DecodeTime(aObject, "expected_ms") };
}

} // namespace

HttpRequest
EncodeWorkerCommand(const WorkerCommand& aCommand)
{
  const json body{ { "domain", aCommand.Domain().Text() },
                   { "epoch", aCommand.Epoch() },
                   { "gang", aCommand.Gang().Text() },
                   { "attempt", aCommand.Attempt() },
                   { "member", aCommand.Member() },
                   { "accelerators", aCommand.Accelerators() },
                   { "lease_ms", aCommand.Lease().count() },
                   { "expected_ms", aCommand.ExpectedRunTime().count() } };
  return { "POST",
           std::string(kPathPrefix) +
             std::string(WorkerActionName(aCommand.Action())),
           { { "content-type", "application/json" } },
           ToText(body) };
}

WorkerCommand
DecodeWorkerCommand(const HttpRequest& aRequest)
{
  const std::string_view path = aRequest.Path();
  if (aRequest.Method() != "POST" || !path.starts_with(kPathPrefix)) {
    throw ProtocolError("worker command: allowed is POST /gang/{action}");
  }
  const auto action = state::ParseWorkerAction(path.substr(kPathPrefix.size()));
  if (!action) {
    throw ProtocolError("worker command: unknown action in the path");
  }
  try {
    return FromJson(*action, json::parse(aRequest.Body()));
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("worker command: ") + error.what());
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string("worker command: ") + error.what());
  }
}

HttpResponse
EncodeWorkerReport(const WorkerReply& aReport)
{
  const auto* it = std::find_if(
    kStatusCodes.begin(), kStatusCodes.end(), [&aReport](const auto& aCode) {
      return aCode.mStatus == aReport.Status();
    });
  if (it == kStatusCodes.end()) {
    throw ProtocolError("worker report: its status has no HTTP encoding");
  }
  const json body{ { "state", state::MemberStateName(aReport.Member()) },
                   { "leaving", aReport.Leaving() } };
  return HttpResponse::Json(it->mCode, ToText(body));
}

WorkerReply
DecodeWorkerReport(const HttpResponse& aResponse)
{
  const WorkerReply unreachable(
    WorkerReplyStatus::kUnreachable, MemberState::kUnknown, false);
  const auto* it = std::find_if(
    kStatusCodes.begin(), kStatusCodes.end(), [&aResponse](const auto& aCode) {
      return aCode.mCode == aResponse.Status();
    });
  if (it == kStatusCodes.end()) {
    return unreachable;
  }
  try {
    const json body = json::parse(aResponse.Body());
    const auto member =
      state::ParseMemberState(body.at("state").get<std::string>());
    if (!member) {
      return unreachable;
    }
    return { it->mStatus, *member, body.at("leaving").get<bool>() };
  } catch (const json::exception&) {
    return unreachable;
  }
}

} // namespace cornelrudder::protocol
