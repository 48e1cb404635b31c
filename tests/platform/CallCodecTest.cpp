#include "platform/CallCodec.h"
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

constexpr const char* kJob =
  R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"gpu":2,)"
  R"("estimate-ms":900,"affinity":"r1-3","gang":true,"same-rack":true},)"
  R"({"count":20,"cpu":2000,"mem-mb":1024,"after":[0],"checkpointing":true,)"
  R"("required-label":"a","max-per-server":2}]})";

HttpResult
Answer(int aStatus, const std::string& aBody)
{
  return HttpResult(HttpResponse::Json(aStatus, aBody));
}

void
CheckOutcome(CommandOutcome aExpected, const HttpResult& aResult)
{
  CHECK_EQUAL(static_cast<int>(aExpected),
              static_cast<int>(DecodeCommandReply(aResult).mOutcome));
}

} // namespace

TEST_GROUP(CallCodec){};

TEST(CallCodec, SubmissionIsDecoded)
{
  const auto submission = DecodeSubmission(kJob, {});
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

// Guards against a submission that is accepted although it cannot be meant:
// a step after a later one, no step, a body over the limit in force.
TEST(CallCodec, ImpossibleSubmissionsAreRefused)
{
  for (const char* body : { "",
                            "[]",
                            R"({"steps":[]})",
                            R"({"steps":[{"count":1,"after":[0]}]})",
                            R"({"steps":[{"count":0}]})",
                            R"({"steps":[{"count":"x"}]})" }) {
    try {
      const auto submission = DecodeSubmission(body, {});
      // A job without steps is refused when the job is made.
      CHECK_EQUAL(0, submission.mSteps.size());
    } catch (const ProtocolError&) {
    }
  }
  CHECK_THROWS(ProtocolError, DecodeSubmission(kJob, CallLimits{ 10 }));
}

// Guards against a run that is given up although it may run, and against one
// that is kept although the worker refused it.
TEST(CallCodec, OutcomesOfOrders)
{
  CheckOutcome(CommandOutcome::kDone, Answer(200, R"({"clock-ms":5})"));
  CheckOutcome(CommandOutcome::kFenced, Answer(409, R"({"reason":"fence"})"));
  CheckOutcome(CommandOutcome::kNoCapacity,
               Answer(409, R"({"reason":"room"})"));
  CheckOutcome(CommandOutcome::kRejected, Answer(409, R"({"reason":"old"})"));
  CheckOutcome(CommandOutcome::kRejected, Answer(503, ""));
  CheckOutcome(CommandOutcome::kIncarnationMismatch, Answer(421, ""));
  CheckOutcome(CommandOutcome::kUnknown, Answer(500, ""));
  CheckOutcome(CommandOutcome::kUnknown,
               HttpResult(HttpFailure::kConnectionLost, ""));
  CheckOutcome(CommandOutcome::kUnknown,
               HttpResult(HttpFailure::kTimedOut, ""));
  CheckOutcome(CommandOutcome::kRejected,
               HttpResult(HttpFailure::kNotSent, ""));
}

TEST(CallCodec, ReportIsDecoded)
{
  const RenewReply report = DecodeRenewReply(
    Answer(200,
           R"({"clock-ms":9,"born":3,"running":[["j.0.0.1",2,"cp",41,0]],)"
           R"("finished":[[58,"j.0.1.9",1,"lapsed",""]]})"));
  CHECK(report.mOutcome == CommandOutcome::kDone);
  CHECK_EQUAL(3, report.mIncarnation);
  CHECK_EQUAL(41, report.mRunning.front().mProgressPercent);
  CHECK(report.mTerminated.front().mReason == TerminationReason::kLeaseExpired);
  CHECK(report.mTerminated.front().mTask == TaskId("j", 0, 1, 9));
}

// Guards against a report that cannot be read and passes for an empty one, so
// that all runs of the worker are taken for lost.
TEST(CallCodec, UnreadableReportIsNoReport)
{
  for (const char* body : { "",
                            "{",
                            R"({"running":5})",
                            R"({"running":[["j.0.0.1"]]})",
                            R"({"finished":[[1,"j.0.0.1",1,"odd",""]]})" }) {
    CHECK(DecodeRenewReply(Answer(200, body)).mOutcome !=
          CommandOutcome::kDone);
  }
}

// Guards against exceptions that leave a decoder and end a thread.
TEST(CallCodec, AnyBytesAreHandled)
{
  CHECK(rc::check([](const std::string& aText) {
    DecodeCommandReply(Answer(409, aText));
    DecodeRenewReply(Answer(200, aText));
    try {
      DecodeSubmission(aText, {});
    } catch (const ProtocolError&) {
    }
  }));
}

// Guards against a caller that stays with a daemon that cannot serve it, and
// that is not told when to come back.
TEST(CallCodec, RefusalTellsWhenToComeBack)
{
  JobCallReply reply;
  reply.mStatus = JobCallStatus::kUnavailable;
  const HttpResponse response = EncodeReply(JobCallKind::kSubmit, reply);
  CHECK_EQUAL(503, response.Status());
  STRCMP_EQUAL("1", response.Header("retry-after").c_str());
  STRCMP_EQUAL("close", response.Header("connection").c_str());
}

// Guards against "not run" for an outcome that is open.
TEST(CallCodec, OpenOutcomeIsNoRefusal)
{
  JobCallReply reply;
  reply.mStatus = JobCallStatus::kUnknown;
  CHECK_EQUAL(504, EncodeReply(JobCallKind::kSubmit, reply).Status());
}
