#include "cornelrudder/protocol/RunnerCodec.h"
#include "cornelrudder/protocol/BodyDigest.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder;
using protocol::HttpResponse;
using state::RunnerStatus;

namespace {

RunnerStatus
StatusOf(const HttpResponse& aResponse)
{
  return protocol::DecodeRunnerResponse(state::RequestId("r1"), aResponse)
    .Status();
}

HttpResponse
Response(const std::string& aId, const std::string& aBody)
{
  return { 200,
           { { "x-request-id", aId },
             { "x-body-digest", protocol::BodyDigest("whole") } },
           aBody };
}

} // namespace

TEST_GROUP(RunnerCodec){};

// Guards against forwarding another request's response or a truncated one.
TEST(RunnerCodec, OnlyCompleteResponseWithMatchingIdIsAccepted)
{
  CHECK(StatusOf(Response("r1", "whole")) == RunnerStatus::kAnswered);
  CHECK(StatusOf(Response("r2", "whole")) == RunnerStatus::kInvalidAnswer);
  CHECK(StatusOf(Response("r1", "who")) == RunnerStatus::kInvalidAnswer);
}

// Guards against reporting a request as "not run" because of another request's
// response.
TEST(RunnerCodec, NotStartedRequiresMatchingRequestId)
{
  const HttpResponse own(
    503, { { "x-request-id", "r1" }, { "x-not-started", "true" } }, "");
  const HttpResponse other(
    503, { { "x-request-id", "r2" }, { "x-not-started", "true" } }, "");
  CHECK(StatusOf(own) == RunnerStatus::kNotStarted);
  CHECK(StatusOf(other) == RunnerStatus::kInvalidAnswer);
}
