#include "cornelrudder/protocol/RunnerCodec.h"

#include "cornelrudder/protocol/BodyDigest.h"

namespace cornelrudder::protocol {

using state::RunnerResult;
using state::RunnerStatus;

HttpRequest
EncodeRunnerRequest(const state::RunDispatch& aDispatch)
{
  return { "POST",
           "/run/" + aDispatch.Class().Text(),
           { { "x-request-id", aDispatch.Request().Text() },
             { "x-deadline-ms", std::to_string(aDispatch.Timeout().count()) },
             { "content-type", "application/octet-stream" } },
           aDispatch.Body() };
}

RunnerResult
DecodeRunnerResponse(const state::RequestId& aRequest,
                     const HttpResponse& aResponse)
{
  const bool leaving = aResponse.Header("x-leaving") == "true";
  if (aResponse.Header("x-request-id") != aRequest.Text()) {
    return { RunnerStatus::kInvalidAnswer, leaving, "" };
  }
  if (aResponse.Status() == 503 &&
      aResponse.Header("x-not-started") == "true") {
    return { RunnerStatus::kNotStarted, leaving, "" };
  }
  if (aResponse.Status() != 200) {
    return { RunnerStatus::kFailed, leaving, "" };
  }
  if (aResponse.Header("x-body-digest") != BodyDigest(aResponse.Body())) {
    return { RunnerStatus::kInvalidAnswer, leaving, "" };
  }
  return { RunnerStatus::kAnswered, leaving, aResponse.Body() };
}

} // namespace cornelrudder::protocol
