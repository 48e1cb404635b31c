#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/TransportError.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <future>

using namespace cornelrudder::transport;
using cornelrudder::protocol::HttpRequest;

namespace {

constexpr std::chrono::milliseconds kGenerous{ 60'000 };

HttpResult
Send(HttpClient& aClient, const std::string& aAddress, HttpRequest aRequest)
{
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  aClient.Send(
    aAddress,
    std::move(aRequest),
    { kGenerous, true },
    [promise](HttpResult aResult) { promise->set_value(std::move(aResult)); });
  return future.get();
}

void
Echo(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  aRespond({ 200, {}, aRequest.Body() });
}

} // namespace

TEST_GROUP(Http){};

TEST(Http, EchoOverOneConnection)
{
  IoThread thread;
  HttpServer server(thread, "127.0.0.1:0", {}, Echo);
  HttpClient client(thread, { 1 });
  for (int i = 0; i < 20; ++i) {
    const std::string body = "body " + std::to_string(i);
    const HttpResult result =
      Send(client, server.Address(), { "POST", "/", {}, body });
    CHECK(result.Failure() == HttpFailure::kNone);
    STRCMP_EQUAL(body.c_str(), result.Response().Body().c_str());
  }
}

// Guards against taking a response without a body for a cut one.
TEST(Http, NotModifiedIsWhole)
{
  IoThread thread;
  HttpServer server(thread,
                    "127.0.0.1:0",
                    {},
                    [](const HttpRequest&, const HttpResponder& aRespond) {
                      aRespond({ 304, { { "etag", "\"1\"" } }, "" });
                    });
  HttpClient client(thread, {});
  const HttpResult result =
    Send(client, server.Address(), { "GET", "/", {}, "" });
  CHECK(result.Failure() == HttpFailure::kNone);
  STRCMP_EQUAL("\"1\"", result.Response().Header("etag").c_str());
}

// Guards against reading a body of unbounded size.
TEST(Http, TooLargeBodyIsRefused)
{
  IoThread thread;
  HttpServerLimits limits;
  limits.mMaxBodyBytes = 100;
  HttpServer server(thread, "127.0.0.1:0", limits, Echo);
  HttpClient client(thread, {});
  const HttpResult result =
    Send(client, server.Address(), { "POST", "/", {}, std::string(200, 'x') });
  LONGS_EQUAL(413, result.Response().Status());
}

// Guards against calling a request sent that never left.
TEST(Http, RefusedConnectionIsNotSent)
{
  IoThread thread;
  HttpClient client(thread, {});
  const HttpResult result = Send(client, "127.0.0.1:1", { "GET", "/", {}, "" });
  CHECK(result.Failure() == HttpFailure::kNotSent);
}

// Guards against a request that is sent after its sender lost the right to it,
// for example while it waited for a connection.
TEST(Http, RequestThatMayNotBeSentAnyMoreIsWithheld)
{
  IoThread thread;
  std::atomic<int> requests{ 0 };
  HttpServer server(
    thread,
    "127.0.0.1:0",
    {},
    [&requests](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      ++requests;
      Echo(aRequest, aRespond);
    });
  HttpClient client(thread, {});
  for (const bool maySend : { true, false, true }) {
    std::promise<HttpResult> result;
    client.Send(
      server.Address(),
      { "POST", "/", {}, "x" },
      { kGenerous, true, [maySend] { return maySend; } },
      [&result](HttpResult aResult) { result.set_value(std::move(aResult)); });
    CHECK(result.get_future().get().Failure() ==
          (maySend ? HttpFailure::kNone : HttpFailure::kWithheld));
  }
  LONGS_EQUAL(2, requests);
}

// Guards against a daemon that starts although its port is taken.
TEST(Http, AddressInUseThrows)
{
  IoThread thread;
  HttpServer server(thread, "127.0.0.1:0", {}, Echo);
  CHECK_THROWS(TransportError, HttpServer(thread, server.Address(), {}, Echo));
}

// Guards against a second stop signal that hides what it cuts off.
TEST(Http, DrainWithoutGraceCountsRunningExchanges)
{
  IoThread thread;
  std::promise<HttpResponder> started;
  HttpServer server(thread,
                    "127.0.0.1:0",
                    {},
                    [&started](const HttpRequest&, HttpResponder aRespond) {
                      started.set_value(std::move(aRespond));
                    });
  HttpClient client(thread, {});
  std::promise<HttpResult> result;
  client.Send(
    server.Address(),
    { "GET", "/", {}, "" },
    { kGenerous, true },
    [&result](HttpResult aResult) { result.set_value(std::move(aResult)); });
  const HttpResponder respond = started.get_future().get();
  std::promise<std::size_t> drained;
  server.Drain(kGenerous, [](std::size_t) { FAIL("the grace ended early"); });
  server.Drain(std::chrono::milliseconds(0),
               [&drained](std::size_t aCutOff) { drained.set_value(aCutOff); });
  LONGS_EQUAL(1, drained.get_future().get());
  respond({ 200, {}, "late" });
  result.get_future().get();
}

// Guards against a shutdown that cuts off a running request.
TEST(Http, DrainWaitsForRunningExchange)
{
  IoThread thread;
  std::promise<HttpResponder> started;
  HttpServer server(thread,
                    "127.0.0.1:0",
                    {},
                    [&started](const HttpRequest&, HttpResponder aRespond) {
                      started.set_value(std::move(aRespond));
                    });
  HttpClient client(thread, {});
  std::promise<HttpResult> result;
  client.Send(
    server.Address(),
    { "GET", "/", {}, "" },
    { kGenerous, true },
    [&result](HttpResult aResult) { result.set_value(std::move(aResult)); });
  HttpResponder respond = started.get_future().get();
  std::promise<std::size_t> drained;
  server.Drain(kGenerous,
               [&drained](std::size_t aCutOff) { drained.set_value(aCutOff); });
  respond({ 200, {}, "late" });
  LONGS_EQUAL(0, drained.get_future().get());
  STRCMP_EQUAL("late", result.get_future().get().Response().Body().c_str());
}
