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
Answer(const std::string& aId, const std::string& aBody)
{
  return { 200,
           { { "x-request-id", aId },
             { "x-body-digest", protocol::BodyDigest("whole") } },
           aBody };
}

} // namespace

TEST_GROUP(RunnerCodec){};

// Guards against passing on another request's answer or a part of one.
TEST(RunnerCodec, OnlyTheWholeOwnAnswerIsAccepted)
{
  CHECK(StatusOf(Answer("r1", "whole")) == RunnerStatus::kAnswered);
  CHECK(StatusOf(Answer("r2", "whole")) == RunnerStatus::kInvalidAnswer);
  CHECK(StatusOf(Answer("r1", "who")) == RunnerStatus::kInvalidAnswer);
}

// Guards against calling a request "not run" on the word of a stray answer.
TEST(RunnerCodec, NotStartedNeedsTheOwnId)
{
  const HttpResponse own(
    503, { { "x-request-id", "r1" }, { "x-not-started", "true" } }, "");
  const HttpResponse other(
    503, { { "x-request-id", "r2" }, { "x-not-started", "true" } }, "");
  CHECK(StatusOf(own) == RunnerStatus::kNotStarted);
  CHECK(StatusOf(other) == RunnerStatus::kInvalidAnswer);
}
