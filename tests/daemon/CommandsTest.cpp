#include "cornelrudder/Commands.h"
#include "cornelrudder/ServerConnection.h"
#include "cornelrudder/transport/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cornelrudder;
using std::chrono::milliseconds;

namespace {

/** Runs "job wait" against a server with one response. */
int
WaitForJob(const std::string& aBody)
{
  transport::IoThread thread;
  transport::HttpServer server(
    thread,
    "127.0.0.1:0",
    {},
    [&aBody](const protocol::HttpRequest& /*aRequest*/,
             const transport::HttpResponder& aRespond) {
      aRespond(protocol::HttpResponse::Json(200, aBody));
    });
  cli::ServerConnection connection(server.Address(), milliseconds(2'000));
  cli::CommandInput input;
  input.mWords = { "job-1" };
  const auto commands = cli::AllCommands();
  const auto wait =
    std::find_if(commands.begin(), commands.end(), [](const auto& aCommand) {
      return aCommand.mGroup == "job" && aCommand.mName == "wait";
    });
  return wait->mRun(connection, input);
}

} // namespace

TEST_GROUP(Commands){};

// Guards against a response with a state of another type, whose exception ended
// the program, or without a state, which it polled for ever or took for
// success.
TEST(Commands, WaitEndsOnMalformedJob)
{
  for (const char* body : { R"({"state":7})", R"({"state":[]})", "{}", "[]" }) {
    CHECK(WaitForJob(body) != 0);
  }
  CHECK_EQUAL(0, WaitForJob(R"({"state":"done"})"));
}
