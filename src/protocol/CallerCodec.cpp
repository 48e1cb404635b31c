#include "cornelrudder/protocol/CallerCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;
using state::RefusalReason;

namespace {

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

struct ReasonStatus
{
  RefusalReason mReason;
  int mStatus;
};

constexpr std::array kStatuses{
  ReasonStatus{ RefusalReason::kNone, 200 },
  ReasonStatus{ RefusalReason::kUnknownClass, 404 },
  ReasonStatus{ RefusalReason::kUnknownOrganisation, 403 },
  ReasonStatus{ RefusalReason::kKeyRequired, 400 },
  ReasonStatus{ RefusalReason::kKeyReused, 422 },
  ReasonStatus{ RefusalReason::kInProgress, 409 },
  ReasonStatus{ RefusalReason::kNoCapacity, 503 },
  ReasonStatus{ RefusalReason::kOverloaded, 429 },
  ReasonStatus{ RefusalReason::kTimedOut, 504 },
  ReasonStatus{ RefusalReason::kEndpointFailed, 502 },
  ReasonStatus{ RefusalReason::kStoreUnavailable, 503 },
  ReasonStatus{ RefusalReason::kNeverFits, 422 },
  ReasonStatus{ RefusalReason::kQuotaExceeded, 429 },
  ReasonStatus{ RefusalReason::kNoOwner, 503 },
  ReasonStatus{ RefusalReason::kCancelled, 409 },
  ReasonStatus{ RefusalReason::kShuttingDown, 503 },
  ReasonStatus{ RefusalReason::kJobFails, 422 },
  ReasonStatus{ RefusalReason::kAnswerNotKept, 410 },
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
DecodeKey(const HttpRequest& aRequest)
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
             DecodeKey(aRequest),
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
  const json body{ { "error", state::ReasonName(aOutcome.Reason()) },
                   { "reason", aOutcome.Text() },
                   { "ran", state::RanName(aOutcome.HasRun()) } };
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
HttpStatusOf(RefusalReason aReason)
{
  return kStatuses.at(static_cast<std::size_t>(aReason)).mStatus;
}

} // namespace cornelrudder::protocol
