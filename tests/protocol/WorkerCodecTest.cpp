#include "cornelrudder/protocol/WorkerCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace cornelrudder;
using namespace cornelrudder::state;
using protocol::DecodeWorkerCommand;
using protocol::DecodeWorkerReport;
using protocol::HttpResponse;
using protocol::ProtocolError;

namespace {

WorkerCommand
Command(WorkerAction aAction)
{
  return { aAction,
           RegionId("region-1"),
           7,
           JobId("job-1"),
           3,
           1,
           { 0, 5 },
           std::chrono::milliseconds(10'000),
           std::chrono::milliseconds(60'000) };
}

} // namespace

TEST_GROUP(WorkerCodec){};

// Guards against decoding a command or report as a different one.
TEST(WorkerCodec, CommandsAndReportsSurviveRoundTrip)
{
  for (std::size_t i = 0; i < kWorkerActionCount; ++i) {
    const auto command = Command(static_cast<WorkerAction>(i));
    CHECK(DecodeWorkerCommand(protocol::EncodeWorkerCommand(command)) ==
          command);
  }
  for (std::size_t i = 0; i < kMemberStateCount; ++i) {
    for (const auto status : { WorkerReplyStatus::kAccepted,
                               WorkerReplyStatus::kRefused,
                               WorkerReplyStatus::kFenced }) {
      const WorkerReply report(status, static_cast<MemberState>(i), i > 3);
      CHECK(DecodeWorkerReport(protocol::EncodeWorkerReport(report)) == report);
    }
  }
}

// Guards against taking a proxy's or malformed response for the worker's reply.
TEST(WorkerCodec, UnrecognizedResponsesAreUnreachable)
{
  const std::vector<HttpResponse> responses{
    HttpResponse::Json(200, ""),
    HttpResponse::Json(200, R"({"state":"running"})"),
    HttpResponse::Json(200, R"({"state":"unheard","leaving":false})"),
    HttpResponse::Json(409, "[]"),
    HttpResponse::Json(412, "{}"),
    HttpResponse::Json(500, R"({"state":"running","leaving":false})"),
  };
  for (const HttpResponse& response : responses) {
    CHECK(DecodeWorkerReport(response).Status() ==
          WorkerReplyStatus::kUnreachable);
  }
}

// Guards against input that terminates a process with another exception.
TEST(WorkerCodec, MutatedInputThrowsOnlyProtocolErrors)
{
  CHECK(rc::check("mutations", [](const std::string& aGarbage) {
    std::string text =
      protocol::EncodeWorkerCommand(Command(WorkerAction::kStart)).Body();
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text.replace(at, *rc::gen::inRange<std::size_t>(0, 4), aGarbage);
    for (const std::string& body : { text, aGarbage }) {
      try {
        DecodeWorkerCommand({ "POST", "/gang/start", {}, body });
      } catch (const ProtocolError&) {
      }
      DecodeWorkerReport(HttpResponse::Json(200, body));
    }
  }));
}
