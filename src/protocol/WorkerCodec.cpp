#include "cornelrudder/protocol/WorkerCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <array>
#include <limits>

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
constexpr NumberRange kTimeRange{ 0, 366LL * 24 * 3'600'000 };
constexpr NumberRange kAttemptRange{
  0,
  std::numeric_limits<std::uint32_t>::max()
};
/** Indexes of members and accelerators. */
constexpr NumberRange kIndexRange{ 0, 1'000'000 };

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

std::vector<int>
DecodeAccelerators(const JsonReader& aList)
{
  std::vector<int> indexes;
  for (int i = 0; aList.Has(i); ++i) {
    indexes.push_back(static_cast<int>(aList.Integer(i, kIndexRange)));
  }
  return indexes;
}

WorkerCommand
FromJson(state::WorkerAction aAction, const JsonReader& aObject)
{
  return {
    aAction,
    state::RegionId(aObject.Text("domain")),
    aObject.Counter("epoch"),
    state::JobId(aObject.Text("gang")),
    static_cast<std::uint32_t>(aObject.Integer("attempt", kAttemptRange)),
    static_cast<int>(aObject.Integer("member", kIndexRange)),
    DecodeAccelerators(aObject.At("accelerators")),
    std::chrono::milliseconds(aObject.Integer("lease_ms", kTimeRange)),
    std::chrono::milliseconds(aObject.Integer("expected_ms", kTimeRange))
  };
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
    const json body = ParseJson(aRequest.Body(), "worker command");
    return FromJson(*action, JsonReader(body, "worker command"));
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
    const json value = ParseJson(aResponse.Body(), "worker report");
    const JsonReader body(value, "worker report");
    const auto member = state::ParseMemberState(body.Text("state"));
    if (!member) {
      return unreachable;
    }
    return { it->mStatus, *member, body.Flag("leaving") };
  } catch (const ProtocolError&) {
    return unreachable;
  }
}

} // namespace cornelrudder::protocol
