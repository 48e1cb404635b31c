#include "platform/RunnerClient.h"

#include "cornelrudder/transport/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <future>

using namespace cornelrudder;
using namespace cornelrudder::state::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kGenerous{ 60'000 };

class FixedClock final : public coordination::Clock
{
public:
  milliseconds Now() const override { return milliseconds(5'000); }
};

} // namespace

TEST_GROUP(RunnerClient){};

// Guards against a start that leaves after a successor may have acquired the
// lease, because it waited for a connection or the process was suspended.
TEST(RunnerClient, StartIsNotSentFromItsLatestTimeOn)
{
  transport::IoThread thread;
  std::atomic<int> requests{ 0 };
  transport::HttpServer server(
    thread,
    "127.0.0.1:0",
    {},
    [&requests](const protocol::HttpRequest&,
                const transport::HttpResponder& aRespond) {
      ++requests;
      aRespond({ 200, {}, R"({"clock-ms":1})" });
    });
  transport::HttpClient client(thread, {});
  const FixedClock clock;
  platform::RunnerClient runners(client, clock, kGenerous);
  const auto outcomeOf = [&](milliseconds aSendBefore) {
    const StartCommand command{ { "w", server.Address() },
                                TaskId("j", 0, 0, 0),
                                1,
                                "payload",
                                "",
                                kGenerous,
                                1,
                                aSendBefore };
    std::promise<CommandOutcome> outcome;
    runners.Start(command, [&outcome](const CommandReply& aReply) {
      outcome.set_value(aReply.mOutcome);
    });
    return outcome.get_future().get();
  };
  CHECK(outcomeOf(clock.Now() + milliseconds(1)) == CommandOutcome::kDone);
  CHECK(outcomeOf(clock.Now()) == CommandOutcome::kWithheld);
  CHECK_EQUAL(1, requests);
}
