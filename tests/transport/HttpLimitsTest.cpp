#include "cornelrudder/transport/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <vector>

using namespace cornelrudder::transport;
using namespace std::chrono_literals;
using cornelrudder::protocol::HttpRequest;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr const char* kGet = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

void
Echo(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  aRespond({ 200, {}, aRequest.Body() });
}

/** A client that sends any text. */
class RawClient
{
public:
  explicit RawClient(const std::string& aAddress)
    : mSocket(mContext)
  {
    const auto colon = aAddress.rfind(':');
    mSocket.connect(
      { asio::ip::make_address(aAddress.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))) });
  }

  void Send(const std::string& aText)
  {
    error_code ec;
    asio::write(mSocket, asio::buffer(aText), ec);
  }

  /** @return What arrives until the server closes the connection. */
  std::string ReadAll()
  {
    std::string text;
    error_code ec;
    asio::read(mSocket, asio::dynamic_buffer(text), ec);
    return text;
  }

  /** @return The next bytes; empty if the server closed the connection. */
  std::string ReadSome()
  {
    std::string text(1'000, '\0');
    error_code ec;
    text.resize(mSocket.read_some(asio::buffer(text), ec));
    return text;
  }

private:
  asio::io_context mContext;
  tcp::socket mSocket;
};

void
CheckRejected(const std::string& aStatus, const std::string& aText)
{
  STRCMP_CONTAINS(("HTTP/1.1 " + aStatus + " ").c_str(), aText.c_str());
  STRCMP_CONTAINS(R"("ran":"no")", aText.c_str());
}

std::uint64_t
CountOf(const ConnectionLimiter& aLimiter, const std::string& aName)
{
  return aLimiter.Counters().at(aName);
}

} // namespace

TEST_GROUP(HttpLimits)
{
  IoThread mThread;
  HttpServerLimits mLimits;

  std::shared_ptr<ConnectionLimiter> MakeLimiter(std::size_t aBytes)
  {
    return std::make_shared<ConnectionLimiter>(mThread, aBytes, nullptr);
  }
};

TEST(HttpLimits, TooManyHeaderFieldsAreRejected)
{
  mLimits.mMaxHeaderFields = 10;
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo);
  RawClient client(server.Address());
  std::string text = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 11; ++i) {
    text += "a: 1\r\n";
  }
  client.Send(text + "\r\n");
  CheckRejected("431", client.ReadAll());
}

TEST(HttpLimits, UnfinishedHeaderAndBodyTimeOut)
{
  mLimits.mHeaderTimeout = 20ms;
  mLimits.mBodyTimeout = 20ms;
  const auto limiter = MakeLimiter(kDefaultConnectionBytes);
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo, limiter);
  RawClient header(server.Address());
  header.Send("GET / HTTP/1.1\r\nhost:");
  CheckRejected("408", header.ReadAll());
  RawClient body(server.Address());
  body.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nab");
  CheckRejected("408", body.ReadAll());
  LONGS_EQUAL(
    1, CountOf(*limiter, "http_connections_timed_out_total{phase=\"header\"}"));
  LONGS_EQUAL(
    1, CountOf(*limiter, "http_connections_timed_out_total{phase=\"body\"}"));
}

// Guards against bodies above the limit that the settings have now.
TEST(HttpLimits, BodyLimitFollowsTheSetter)
{
  mLimits.mMaxBodyBytes = 100;
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo);
  const std::string request =
    "POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 50"
    "\r\n\r\n" +
    std::string(50, 'x');
  const auto status = [&] {
    RawClient client(server.Address());
    client.Send(request);
    return client.ReadAll().substr(9, 3);
  };
  STRCMP_EQUAL("200", status().c_str());
  server.BodyLimitSetter()(40);
  STRCMP_EQUAL("413", status().c_str());
  server.BodyLimitSetter()(1'000);
  STRCMP_EQUAL("200", status().c_str());
}

// Guards against a crowd of unfinished bodies that keeps small requests out.
TEST(HttpLimits, SmallRequestDisplacesAnUnfinishedBody)
{
  const auto limiter = MakeLimiter(300'000);
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo, limiter);
  RawClient large(server.Address());
  large.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 250000\r\n\r\nx");
  std::vector<std::unique_ptr<RawClient>> small;
  for (int i = 0; i < 5; ++i) {
    small.push_back(std::make_unique<RawClient>(server.Address()));
    small.back()->Send(kGet);
    STRCMP_CONTAINS("200 OK", small.back()->ReadSome().c_str());
  }
  CheckRejected("503", large.ReadAll());
  LONGS_EQUAL(1, CountOf(*limiter, "http_connections_displaced_total"));
  small.clear();
}

// Guards against a full listener that refuses new connections.
TEST(HttpLimits, NewConnectionDisplacesTheOneThatIdledForLongest)
{
  mLimits.mMaxConnections = 2;
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<RawClient>(server.Address()));
    clients.back()->Send(kGet);
    STRCMP_CONTAINS("200 OK", clients.back()->ReadSome().c_str());
  }
  STRCMP_EQUAL("", clients[0]->ReadSome().c_str());
  clients[1]->Send(kGet);
  STRCMP_CONTAINS("200 OK", clients[1]->ReadSome().c_str());
}

// Guards against closing a connection whose request may run.
TEST(HttpLimits, RunningRequestIsAnsweredInAnOverload)
{
  std::promise<HttpResponder> started;
  const auto limiter = MakeLimiter(10);
  HttpServer server(
    mThread,
    "127.0.0.1:0",
    mLimits,
    [&started](const HttpRequest&, HttpResponder aRespond) {
      started.set_value(std::move(aRespond));
    },
    limiter);
  limiter->EnsureRoomFor(20'000);
  RawClient running(server.Address());
  running.Send(kGet);
  const HttpResponder respond = started.get_future().get();
  RawClient other(server.Address());
  other.Send(kGet);
  STRCMP_EQUAL("", other.ReadSome().c_str());
  respond({ 200, {}, "late" });
  STRCMP_CONTAINS("200 OK", running.ReadSome().c_str());
}

// Guards against requests sent ahead that are lost, reordered or held up.
TEST(HttpLimits, RequestsSentAheadAreAnsweredInOrder)
{
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo);
  RawClient client(server.Address());
  std::string text;
  for (int i = 0; i < 300; ++i) {
    const std::string body = "<" + std::to_string(i) + ">";
    text += "POST / HTTP/1.1\r\nhost: h\r\n" +
            std::string(i == 299 ? "connection: close\r\n" : "") +
            "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
  }
  client.Send(text);
  const std::string answers = client.ReadAll();
  std::size_t at = 0;
  for (int i = 0; i < 300; ++i) {
    at = answers.find("<" + std::to_string(i) + ">", at);
    CHECK(at != std::string::npos);
  }
}

// Guards against log lines for each connection of a crowd.
TEST(HttpLimits, OverloadIsReportedOnce)
{
  std::atomic<int> reports{ 0 };
  const auto limiter = std::make_shared<ConnectionLimiter>(
    mThread, 22'000, [&reports](const OverloadReport& aReport) {
      reports += aReport.mHasEnded ? 100 : 1;
    });
  HttpServer server(mThread, "127.0.0.1:0", mLimits, Echo, limiter);
  for (int i = 0; i < 5; ++i) {
    RawClient client(server.Address());
    client.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 90000\r\n\r\nx");
    CheckRejected("503", client.ReadAll());
  }
  LONGS_EQUAL(1, reports);
}
