#include "platform/CallCodec.h"
#include "CoroutineStack.h"
#include "HostileJson.h"
#include "cornelrudder/protocol/ProtocolError.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace cornelrudder;
using namespace cornelrudder::platform;
using namespace cornelrudder::state::scheduling;
using coordination::JobCallKind;
using coordination::JobCallReply;
using coordination::JobCallStatus;
using protocol::HttpResponse;
using protocol::ProtocolError;
using transport::HttpFailure;
using transport::HttpResult;

namespace {

constexpr const char* kSubmissionBody =
  R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"gpu":2,)"
  R"("estimate-ms":900,"affinity":"r1-3","gang":true,"same-rack":true},)"
  R"({"count":20,"cpu":2000,"mem-mb":1024,"after":[0],"checkpointing":true,)"
  R"("required-label":"a","max-per-server":2}]})";

HttpResult
Response(int aStatus, const std::string& aBody)
{
  return HttpResult(HttpResponse::Json(aStatus, aBody));
}

void
CheckCommandOutcome(CommandOutcome aExpected, const HttpResult& aResult)
{
  CHECK_EQUAL(static_cast<int>(aExpected),
              static_cast<int>(DecodeCommandReply(aResult).mOutcome));
}

/** @return A reply to a renewal that lists the end of one run. */
RenewReply
DecodeEnd(const std::string& aHow)
{
  return DecodeRenewReply(Response(
    200,
    R"({"clock-ms":9,"finished":[[1,"j.0.0.1",1,")" + aHow + R"(",""]]})"));
}

} // namespace

TEST_GROUP(CallCodec){};

TEST(CallCodec, DecodesSubmission)
{
  const auto submission = DecodeSubmission(kSubmissionBody, {});
  STRCMP_EQUAL("text", submission.mPayload.c_str());
  CHECK_EQUAL(2, submission.mSteps.size());
  const StepSpec& first = submission.mSteps[0];
  CHECK_EQUAL(4, first.Tasks());
  CHECK(first.Demand() == Resources(500, 256, 2));
  CHECK(first.IsGang() && first.IsSameRack());
  STRCMP_EQUAL("r1-3", first.AffinityRack().c_str());
  const StepSpec& second = submission.mSteps[1];
  CHECK(second.Dependencies() == (std::vector<std::size_t>{ 0 }));
  CHECK(second.IsCheckpointing());
  CHECK_EQUAL(2, second.MaxPerWorker());
}

// Guards against accepting an invalid submission: a step that depends on
// itself, no tasks in a step, a wrong type, or a body above the limit.
TEST(CallCodec, RejectsInvalidSubmissions)
{
  for (const char* body : { "",
                            "[]",
                            R"({"steps":[]})",
                            R"({"steps":[{"count":1,"after":[0]}]})",
                            R"({"steps":[{"count":0}]})",
                            R"({"steps":[{"count":"x"}]})" }) {
    try {
      const auto submission = DecodeSubmission(body, {});
      // An empty list of steps is rejected later, when the job is created.
      CHECK_EQUAL(0, submission.mSteps.size());
    } catch (const ProtocolError&) {
    }
  }
  CHECK_THROWS(ProtocolError,
               DecodeSubmission(kSubmissionBody, CallLimits{ 10 }));
}

// Guards against treating a run as not started although it may run, and against
// tracking a run that the worker rejected.
TEST(CallCodec, MapsHttpResultsToCommandOutcomes)
{
  CheckCommandOutcome(CommandOutcome::kDone,
                      Response(200, R"({"clock-ms":5})"));
  CheckCommandOutcome(CommandOutcome::kFenced,
                      Response(409, R"({"reason":"fence"})"));
  CheckCommandOutcome(CommandOutcome::kNoCapacity,
                      Response(409, R"({"reason":"room"})"));
  CheckCommandOutcome(CommandOutcome::kRejected,
                      Response(409, R"({"reason":"old"})"));
  CheckCommandOutcome(CommandOutcome::kRejected, Response(503, ""));
  CheckCommandOutcome(CommandOutcome::kIncarnationMismatch, Response(421, ""));
  CheckCommandOutcome(CommandOutcome::kUnknown, Response(500, ""));
  CheckCommandOutcome(CommandOutcome::kUnknown,
                      HttpResult(HttpFailure::kConnectionLost, ""));
  CheckCommandOutcome(CommandOutcome::kUnknown,
                      HttpResult(HttpFailure::kTimedOut, ""));
  CheckCommandOutcome(CommandOutcome::kNotSent,
                      HttpResult(HttpFailure::kNotSent, ""));
  CheckCommandOutcome(CommandOutcome::kWithheld,
                      HttpResult(HttpFailure::kWithheld, ""));
}

TEST(CallCodec, DecodesRenewReply)
{
  const RenewReply report = DecodeRenewReply(
    Response(200,
             R"({"clock-ms":9,"born":3,"running":[["j.0.0.1",2,"cp",41,0]],)"
             R"("finished":[[58,"j.0.1.9",1,"lapsed",""]]})"));
  CHECK(report.mOutcome == CommandOutcome::kDone);
  CHECK_EQUAL(3, report.mIncarnation);
  CHECK_EQUAL(41, report.mRunning.front().mProgressPercent);
  CHECK(report.mTerminated.front().mReason == TerminationReason::kLeaseExpired);
  CHECK(report.mTerminated.front().mTask == TaskId("j", 0, 1, 9));
}

// Guards against decoding a malformed reply as an empty one, which would mark
// all runs of the worker as lost.
TEST(CallCodec, MalformedRenewReplyIsNotDone)
{
  for (const char* body :
       { "",
         "{",
         "{}",
         R"({"clock-ms":9,"running":5})",
         R"({"clock-ms":9,"running":[["j.0.0.1"]]})",
         R"({"clock-ms":9,"finished":[[1,"j.0.0.1",1,"odd",""]]})" }) {
    CHECK(DecodeRenewReply(Response(200, body)).mOutcome !=
          CommandOutcome::kDone);
  }
}

// Guards against a field of another type in the reply to a command, whose
// exception left the I/O thread and ended the process.
TEST(CallCodec, MalformedCommandReplyHasUnknownOutcome)
{
  std::vector<std::string> bodies{
    "{", "7", "\"\xff\"", "{\"reason\":\"\xff\"}"
  };
  for (const std::string& value : tests::NoStrings()) {
    bodies.push_back(tests::Fill(R"({"clock-ms":5,"reason":@})", value));
  }
  for (const std::string& value : tests::NoTimes()) {
    bodies.push_back(tests::Fill(R"({"clock-ms":@})", value));
  }
  for (const std::string& body : bodies) {
    for (const int status : { 200, 409 }) {
      const CommandReply reply = DecodeCommandReply(Response(status, body));
      CHECK(reply.mOutcome == CommandOutcome::kUnknown);
      CHECK(reply.mClock.count() == 0);
      STRCMP_CONTAINS("malformed reply", reply.mDetail.c_str());
    }
  }
}

// Guards against a deeply nested reply, whose copy overflowed the stack of
// the coroutine that completes the call.
TEST(CallCodec, DeeplyNestedReplyHasUnknownOutcome)
{
  for (const char* body : { "@",
                            R"({"clock-ms":9,"running":@})",
                            R"({"clock-ms":9,"finished":@})",
                            R"({"clock-ms":9,"reason":@})",
                            R"({"clock-ms":9,"other":@})" }) {
    const HttpResult result =
      Response(200, tests::Fill(body, tests::DeepArray()));
    tests::RunOnCoroutineStack([&] {
      CHECK(DecodeCommandReply(result).mOutcome == CommandOutcome::kUnknown);
      CHECK(DecodeRenewReply(result).mOutcome == CommandOutcome::kUnknown);
    });
  }
}

// Guards against a number out of range that is converted to any other number:
// a run or an end that the worker never had, or a clock that overflows.
TEST(CallCodec, RenewReplyWithNumberOutOfRangeIsNotDone)
{
  std::vector<std::string> bodies;
  for (const std::string& value : tests::NoCounters()) {
    for (const char* body :
         { R"({"clock-ms":9,"born":@})",
           R"({"clock-ms":9,"running":[["j.0.0.1",@,"",1]]})",
           R"({"clock-ms":9,"finished":[[@,"j.0.0.1",1,"done",""]]})",
           R"({"clock-ms":9,"finished":[[1,"j.0.0.1",@,"done",""]]})" }) {
      bodies.push_back(tests::Fill(body, value));
    }
  }
  for (const char* percent : { "-1", "101", "1e300", "4294967297", "\"x\"" }) {
    bodies.push_back(
      tests::Fill(R"({"clock-ms":9,"running":[["j.0.0.1",1,"",@]]})", percent));
  }
  for (const std::string& value : tests::NoTimes()) {
    bodies.push_back(tests::Fill(R"({"clock-ms":@})", value));
  }
  for (const std::string& body : bodies) {
    const RenewReply reply = DecodeRenewReply(Response(200, body));
    CHECK_TEXT(reply.mOutcome == CommandOutcome::kUnknown, body.c_str());
    CHECK(reply.mRunning.empty() && reply.mTerminated.empty());
  }
}

// Guards against rejecting a worker that sends fractions of a millisecond.
TEST(CallCodec, RenewReplyWithFractionsIsDecoded)
{
  const RenewReply reply = DecodeRenewReply(Response(
    200, R"({"clock-ms":9.75,"born":3.0,"running":[["j.0.0.1",2,"",41.5]]})"));
  CHECK(reply.mClock == std::chrono::milliseconds(9));
  CHECK_EQUAL(3, reply.mIncarnation);
  CHECK_EQUAL(41, reply.mRunning.front().mProgressPercent);
}

// Guards against taking a reply with the maximum number of terminations for a
// complete list.
TEST(CallCodec, RenewReplyWithFullPageHasMore)
{
  constexpr std::size_t kMaxRows = 500;
  std::string rows;
  for (std::size_t i = 1; i <= kMaxRows; ++i) {
    rows +=
      (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"j.0.0.1",2,"done",""])";
    if (i + 1 >= kMaxRows) {
      const RenewReply reply = DecodeRenewReply(Response(
        200,
        R"({"clock-ms":9,"born":3,"running":[],"finished":[)" + rows + "]}"));
      CHECK_EQUAL(i, reply.mTerminated.size());
      CHECK_EQUAL(i == kMaxRows, reply.mHasMoreTerminations);
    }
  }
}

// Guards against a number out of range in a submission: estimates whose sum
// overflows, demands that become negative, or due times that overflow.
TEST(CallCodec, SubmissionWithNumberOutOfRangeIsRejected)
{
  std::vector<std::string> bodies;
  for (const std::string& value : tests::NoCounters()) {
    for (const char* name : { "count", "cpu", "mem-mb", "gpu" }) {
      bodies.push_back("{\"steps\":[{\"" + std::string(name) + "\":" + value +
                       "}]}");
    }
    bodies.push_back(tests::Fill(R"({"steps":[{},{"after":[@]}]})", value));
    bodies.push_back(tests::Fill(R"({"steps":[{}],"times":@})", value));
  }
  for (const std::string& value : tests::NoTimes()) {
    for (const char* body : { R"({"steps":[{"estimate-ms":@}]})",
                              R"({"steps":[{}],"start-at-ms":@})",
                              R"({"steps":[{}],"interval-ms":@})" }) {
      bodies.push_back(tests::Fill(body, value));
    }
  }
  for (const std::string& body : bodies) {
    try {
      DecodeSubmission(body, {});
      FAIL(("decoded " + body).c_str());
    } catch (const ProtocolError&) {
    }
  }
}

// Guards against an error that does not say where a submission is wrong.
TEST(CallCodec, SubmissionErrorNamesFieldAndWhatIsAllowed)
{
  try {
    DecodeSubmission(R"({"steps":[{},{"cpu":"many"}]})", {});
    FAIL("decoded");
  } catch (const ProtocolError& error) {
    STRCMP_CONTAINS("field steps: element 1: field cpu", error.what());
    STRCMP_CONTAINS("allowed is a number from 0 to", error.what());
  }
}

// Guards against a document many times the size of its text.
TEST(CallCodec, SubmissionOfManyShortValuesIsRejected)
{
  std::string text = R"({"spec":"s","steps":[)";
  for (int i = 0; i < 40'000; ++i) {
    text += "[],";
  }
  text += "1]}";
  try {
    DecodeSubmission(text, CallLimits{ text.size() });
    FAIL("accepted");
  } catch (const ProtocolError& error) {
    STRCMP_CONTAINS("values; allowed are 32768", error.what());
  }
}

// Guards against a deeply nested submission that overflows the stack.
TEST(CallCodec, DeeplyNestedSubmissionIsRejected)
{
  for (const char* body : { "@",
                            R"({"steps":@})",
                            R"({"steps":[{}],"spec":@})",
                            R"({"steps":[{"after":@}]})",
                            R"({"steps":[{}],"other":@})" }) {
    const std::string text = tests::Fill(body, tests::DeepArray());
    tests::RunOnCoroutineStack([&] {
      CHECK_THROWS(ProtocolError,
                   DecodeSubmission(text, CallLimits{ text.size() }));
    });
  }
}

// Guards against undeclared exceptions of a decoder, which terminate a
// thread.
TEST(CallCodec, ArbitraryInputThrowsOnlyDeclaredErrors)
{
  CHECK(rc::check([](const std::string& aText) {
    DecodeCommandReply(Response(409, aText));
    DecodeRenewReply(Response(200, aText));
    try {
      DecodeSubmission(aText, {});
    } catch (const ProtocolError&) {
    }
  }));
}

// Guards against a caller that keeps its connection to an unavailable daemon
// or gets no time after which to retry.
TEST(CallCodec, UnavailableReplySetsRetryAfterAndClosesConnection)
{
  JobCallReply reply;
  reply.mStatus = JobCallStatus::kUnavailable;
  const HttpResponse response = EncodeReply(JobCallKind::kSubmit, reply);
  CHECK_EQUAL(503, response.Status());
  STRCMP_EQUAL("1", response.Header("retry-after").c_str());
  STRCMP_EQUAL("close", response.Header("connection").c_str());
}

// Guards against reporting an unknown outcome as "not run".
TEST(CallCodec, UnknownOutcomeIsEncodedAs504)
{
  JobCallReply reply;
  reply.mStatus = JobCallStatus::kUnknown;
  CHECK_EQUAL(504, EncodeReply(JobCallKind::kSubmit, reply).Status());
}

// Guards against showing a job in another state than the one it is in.
TEST(CallCodec, EachStateOfAJobIsShownUnderItsName)
{
  for (const auto& [phase, body] :
       { std::pair(JobPhase::kQueued, R"({"state":"queued"})"),
         std::pair(JobPhase::kRunning, R"({"state":"running"})"),
         std::pair(JobPhase::kDone, R"({"state":"done"})"),
         std::pair(JobPhase::kFailed, R"({"state":"failed"})"),
         std::pair(JobPhase::kCancelled, R"({"state":"cancelled"})") }) {
    JobCallReply reply;
    reply.mStatus = JobCallStatus::kOk;
    reply.mPhase = phase;
    STRCMP_EQUAL(
      body,
      std::string(EncodeReply(JobCallKind::kQuery, reply).Body()).c_str());
  }
}

// Guards against an attempt that is counted for a run that has not failed.
TEST(CallCodec, OnlyEndsNamedFailedCountAsFailed)
{
  for (const auto& [name, reason] :
       { std::pair("done", TerminationReason::kDone),
         std::pair("failed", TerminationReason::kFailed),
         std::pair("stopped", TerminationReason::kStopped),
         std::pair("lapsed", TerminationReason::kLeaseExpired),
         std::pair("broken", TerminationReason::kGangBroken),
         std::pair("alone", TerminationReason::kGangIncomplete) }) {
    const RenewReply reply = DecodeEnd(name);
    CHECK_EQUAL(1, reply.mTerminated.size());
    CHECK(reply.mTerminated.front().mReason == reason);
  }
  CHECK(DecodeEnd("crashed").mOutcome != CommandOutcome::kDone);
}
