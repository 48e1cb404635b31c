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

/** A daemon with VMs in two zones, one of which was evacuated before. */
class ZoneDaemon
{
public:
  explicit ZoneDaemon(std::string aFleet)
    : mFleet(std::move(aFleet))
    , mServer(mThread,
              "127.0.0.1:0",
              {},
              [this](const protocol::HttpRequest& aRequest,
                     const transport::HttpResponder& aRespond) {
                Serve(aRequest, aRespond);
              })
  {
  }

  /** @return The exit status. */
  int Evacuate(const std::vector<std::string>& aWords, bool aReturn = false)
  {
    cli::ServerConnection connection(mServer.Address(), milliseconds(2'000));
    cli::CommandInput input;
    input.mWords = aWords;
    input.mReturn = aReturn;
    const auto commands = cli::AllCommands();
    const auto it =
      std::find_if(commands.begin(), commands.end(), [](const auto& aCommand) {
        return aCommand.mGroup == "zone" && aCommand.mName == "evacuate";
      });
    return it->mRun(connection, input);
  }

  /** @return The text of the error, or nothing if there was none. */
  std::string ErrorOf(const std::vector<std::string>& aWords)
  {
    try {
      Evacuate(aWords);
      return "";
    } catch (const cli::UsageError& error) {
      return error.what();
    }
  }

  /** Path, version and body of each write. */
  const std::vector<std::string>& Writes() const { return mWrites; }

private:
  void Serve(const protocol::HttpRequest& aRequest,
             const transport::HttpResponder& aRespond)
  {
    const std::string path(aRequest.Path());
    if (aRequest.Method() == "PUT") {
      mWrites.push_back(path + " " + aRequest.Header("if-match") + " " +
                        aRequest.Body());
      aRespond(protocol::HttpResponse::Json(200, "{}"));
    } else if (path == "/v1/fleet") {
      aRespond(protocol::HttpResponse::Json(200, mFleet));
    } else if (path == "/v1/settings/zones/za") {
      aRespond(protocol::HttpResponse::Json(200, R"({"version":7})"));
    } else {
      aRespond(protocol::HttpResponse::Json(404, "{}"));
    }
  }

  std::string mFleet;
  std::vector<std::string> mWrites;
  transport::IoThread mThread;
  transport::HttpServer mServer;
};

constexpr const char* kTwoZones =
  R"({"evacuated_zones":["za"],"vms":[{"zone":"zb"},{"zone":"zc"}]})";

} // namespace

TEST_GROUP(Commands){};

// Guards against an evacuation of a misspelt zone, which would change nothing
// without a word, and against one that is applied in part.
TEST(Commands, EvacuationOfUnknownZoneIsRefused)
{
  ZoneDaemon daemon(kTwoZones);
  STRCMP_EQUAL("ZONE \"zd\": no VM is in this availability zone; allowed are "
               "za, zb, zc",
               daemon.ErrorOf({ "zd" }).c_str());
  STRCMP_CONTAINS("allowed is one", daemon.ErrorOf({ "zb", "zc" }).c_str());
  STRCMP_CONTAINS("allowed is a name", daemon.ErrorOf({ "../zb" }).c_str());
  CHECK(daemon.Writes().empty());
}

// Guards against a change that replaces a version other than the current one.
TEST(Commands, EvacuationReplacesTheCurrentVersion)
{
  ZoneDaemon daemon(kTwoZones);
  LONGS_EQUAL(cli::kExitOk, daemon.Evacuate({ "zb" }));
  LONGS_EQUAL(cli::kExitOk, daemon.Evacuate({ "za" }, true));
  LONGS_EQUAL(2, daemon.Writes().size());
  STRCMP_EQUAL(R"(/v1/settings/zones/zb 0 {"evacuated":true})",
               daemon.Writes()[0].c_str());
  STRCMP_EQUAL(R"(/v1/settings/zones/za 7 {"evacuated":false})",
               daemon.Writes()[1].c_str());
}

// Guards against refusing a zone while the daemon has no VM list, and against
// an exception on a malformed response.
TEST(Commands, EvacuationWithoutKnownZones)
{
  ZoneDaemon fresh(R"({"evacuated_zones":[],"vms":[]})");
  LONGS_EQUAL(cli::kExitOk, fresh.Evacuate({ "zd" }));
  for (const char* fleet :
       { "", "[]", "{}", R"({"evacuated_zones":7,"vms":[]})" }) {
    ZoneDaemon daemon(fleet);
    LONGS_EQUAL(cli::kExitRefused, daemon.Evacuate({ "zb" }));
    CHECK(daemon.Writes().empty());
  }
}

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
