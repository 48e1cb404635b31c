#include "cornelrudder/protocol/CallerCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;
using state::FailureReason;

namespace {

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

struct ReasonStatus
{
  FailureReason mReason;
  int mStatus;
};

constexpr std::array kReasonStatuses{
  ReasonStatus{ FailureReason::kNone, 200 },
  ReasonStatus{ FailureReason::kUnknownClass, 404 },
  ReasonStatus{ FailureReason::kUnknownOrganisation, 403 },
  ReasonStatus{ FailureReason::kKeyRequired, 400 },
  ReasonStatus{ FailureReason::kKeyReused, 422 },
  ReasonStatus{ FailureReason::kInProgress, 409 },
  ReasonStatus{ FailureReason::kNoCapacity, 503 },
  ReasonStatus{ FailureReason::kOverloaded, 429 },
  ReasonStatus{ FailureReason::kTimedOut, 504 },
  ReasonStatus{ FailureReason::kEndpointFailed, 502 },
  ReasonStatus{ FailureReason::kStoreUnavailable, 503 },
  ReasonStatus{ FailureReason::kNeverFits, 422 },
  ReasonStatus{ FailureReason::kQuotaExceeded, 429 },
  ReasonStatus{ FailureReason::kNoOwner, 503 },
  ReasonStatus{ FailureReason::kCancelled, 409 },
  ReasonStatus{ FailureReason::kShuttingDown, 503 },
  ReasonStatus{ FailureReason::kJobFails, 422 },
  ReasonStatus{ FailureReason::kAnswerNotKept, 410 },
};

std::string
RequiredHeader(const HttpRequest& aRequest, std::string_view aName)
{
  std::string value = aRequest.Header(aName);
  if (value.empty()) {
    throw ProtocolError("header " + std::string(aName) + " is required");
  }
  return value;
}

std::chrono::milliseconds
DecodeDeadline(const std::string& aText)
{
  if (aText.empty()) {
    return std::chrono::milliseconds(0);
  }
  std::int64_t n = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, n);
  if (ec != std::errc() || rest != end || n < 1 || n > kMaxDeadlineMs) {
    throw ProtocolError("header x-deadline-ms: found \"" + aText +
                        "\"; allowed is a whole number from 1 to " +
                        std::to_string(kMaxDeadlineMs));
  }
  return std::chrono::milliseconds(n);
}

std::string
DecodeIdempotencyKey(const HttpRequest& aRequest)
{
  std::string key = aRequest.Header("idempotency-key");
  if (!key.empty()) {
    state::RequireValidId("idempotency-key", key);
  }
  return key;
}

} // namespace

state::RunRequest
DecodeRunRequest(const state::RequestId& aId,
                 const std::string& aClass,
                 const HttpRequest& aRequest)
{
  try {
    return { aId,
             state::OrganisationId(RequiredHeader(aRequest, "x-organisation")),
             state::TeamId(RequiredHeader(aRequest, "x-team")),
             state::ClassName(aClass),
             DecodeIdempotencyKey(aRequest),
             aRequest.Body(),
             DecodeDeadline(aRequest.Header("x-deadline-ms")) };
  } catch (const state::StateError& error) {
    throw ProtocolError(error.what());
  }
}

HttpResponse
EncodeRunOutcome(const state::RequestId& aId, const state::RunOutcome& aOutcome)
{
  HttpHeaders headers{ { "x-request-id", aId.Text() } };
  if (aOutcome.IsAnswer()) {
    headers.emplace("content-type", "application/octet-stream");
    return { 200, std::move(headers), aOutcome.Text() };
  }
  if (aOutcome.RetryAfter().count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aOutcome.RetryAfter());
    headers.emplace("retry-after", std::to_string(seconds.count()));
  }
  headers.emplace("content-type", "application/json");
  const json body{ { "error", state::FailureReasonName(aOutcome.Reason()) },
                   { "reason", aOutcome.Text() },
                   { "ran", state::WasRunName(aOutcome.HasRun()) } };
  return { HttpStatusOf(aOutcome.Reason()), std::move(headers), ToText(body) };
}

HttpResponse
EncodeError(int aStatus, std::string_view aReason, std::string_view aDetail)
{
  const json body{ { "error", aReason },
                   { "reason", aDetail },
                   { "ran", "no" } };
  return HttpResponse::Json(aStatus, ToText(body));
}

int
HttpStatusOf(FailureReason aReason)
{
  return kReasonStatuses.at(static_cast<std::size_t>(aReason)).mStatus;
}

} // namespace cornelrudder::protocol
