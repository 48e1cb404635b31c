#include "cornelrudder/transport/HttpClient.h"

#include "HttpFields.h"
#include "IoThreadImpl.h"
#include "SocketAddress.h"
#include "cornelrudder/transport/TransportError.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <vector>

namespace cornelrudder::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr unsigned kHttp11 = 11;

http::request<http::string_body>
ToMessage(const std::string& aAddress, const protocol::HttpRequest& aRequest)
{
  http::request<http::string_body> message(
    http::string_to_verb(aRequest.Method()), aRequest.Target(), kHttp11);
  message.set(http::field::host, aAddress);
  for (const auto& [name, value] : aRequest.Headers()) {
    message.set(name, value);
  }
  message.body() = aRequest.Body();
  message.prepare_payload();
  return message;
}

protocol::HttpResponse
ToResponse(http::response<http::string_body>&& aMessage)
{
  protocol::HttpHeaders headers = ReadHeaders(aMessage);
  return { static_cast<int>(aMessage.result_int()),
           std::move(headers),
           std::move(aMessage.body()) };
}

struct Connection
{
  explicit Connection(asio::io_context& aContext)
    : mStream(aContext)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

using ConnectionPtr = std::unique_ptr<Connection>;

struct Exchange
{
  std::string mAddress;
  protocol::HttpRequest mRequest;
  HttpExchangeOptions mOptions;
  HttpCompletion mCompletion;
  Clock::time_point mDeadline;
};

struct Pool
{
  std::size_t mBusy = 0;
  std::vector<ConnectionPtr> mIdle;
  std::deque<Exchange> mWaiting;
};

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext, HttpClientLimits aLimits)
    : mContext(aContext)
    , mLimits(aLimits)
  {
  }

  template<typename Function>
  void Post(Function aFunction)
  {
    asio::post(mContext, std::move(aFunction));
  }

  void Start(Exchange aExchange)
  {
    Pool& pool = mPools[aExchange.mAddress];
    if (pool.mBusy >= mLimits.mMaxConnectionsPerAddress) {
      pool.mWaiting.push_back(std::move(aExchange));
      return;
    }
    ++pool.mBusy;
    asio::spawn(
      mContext,
      [self = shared_from_this(),
       exchange = std::make_shared<Exchange>(std::move(aExchange))](
        asio::yield_context aYield) {
        HttpResult result = self->Run(*exchange, aYield);
        self->Release(exchange->mAddress);
        exchange->mCompletion(std::move(result));
      },
      asio::detached);
  }

  void CloseIdleConnections(const std::string& aAddress)
  {
    const auto it = mPools.find(aAddress);
    if (it != mPools.end()) {
      it->second.mIdle.clear();
    }
  }

  void Close() { mPools.clear(); }

  HttpTraffic Traffic() const
  {
    return { mExchanges, mBytesSent, mBytesReceived };
  }

private:
  void Release(const std::string& aAddress)
  {
    Pool& pool = mPools[aAddress];
    // After Close() the pool is new and counts nothing.
    pool.mBusy -= pool.mBusy > 0 ? 1 : 0;
    if (pool.mWaiting.empty()) {
      return;
    }
    Exchange next = std::move(pool.mWaiting.front());
    pool.mWaiting.pop_front();
    Start(std::move(next));
  }

  HttpResult Run(const Exchange& aExchange, asio::yield_context aYield)
  {
    if (Clock::now() >= aExchange.mDeadline) {
      return { HttpFailure::kNotSent, "timed out waiting for a connection" };
    }
    error_code ec;
    ConnectionPtr connection = TakeIdle(aExchange);
    if (!connection) {
      connection = Connect(aExchange, ec, aYield);
    }
    if (ec) {
      return { HttpFailure::kNotSent, ec.message() };
    }
    return Transfer(std::move(connection), aExchange, aYield);
  }

  ConnectionPtr TakeIdle(const Exchange& aExchange)
  {
    Pool& pool = mPools[aExchange.mAddress];
    if (!aExchange.mOptions.mReuseConnection) {
      // Keeps busy and idle connections together below the limit.
      if (!pool.mIdle.empty()) {
        pool.mIdle.pop_back();
      }
      return nullptr;
    }
    while (!pool.mIdle.empty()) {
      ConnectionPtr connection = std::move(pool.mIdle.back());
      pool.mIdle.pop_back();
      if (IsQuiet(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  /** @return Whether the peer has neither closed nor sent anything. */
  static bool IsQuiet(Connection& aConnection)
  {
    if (aConnection.mBuffer.size() != 0) {
      return false;
    }
    error_code ec;
    char byte = 0;
    aConnection.mStream.socket().non_blocking(true, ec);
    aConnection.mStream.socket().receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
  }

  ConnectionPtr Connect(const Exchange& aExchange,
                        error_code& aError,
                        asio::yield_context aYield)
  {
    auto connection = std::make_unique<Connection>(mContext);
    try {
      const tcp::endpoint address = ParseSocketAddress(aExchange.mAddress);
      const auto limit =
        std::min(aExchange.mDeadline, Clock::now() + mLimits.mConnectTimeout);
      connection->mStream.expires_at(limit);
      connection->mStream.async_connect(address, aYield[aError]);
    } catch (const TransportError&) {
      aError = asio::error::invalid_argument;
    }
    if (!aError) {
      connection->mStream.socket().set_option(tcp::no_delay(true), aError);
    }
    return connection;
  }

  HttpResult Transfer(ConnectionPtr aConnection,
                      const Exchange& aExchange,
                      asio::yield_context aYield)
  {
    if (aExchange.mOptions.mMaySend && !aExchange.mOptions.mMaySend()) {
      aConnection->mStream.expires_never();
      KeepIdle(aExchange.mAddress, std::move(aConnection));
      return { HttpFailure::kWithheld, "not allowed to be sent any more" };
    }
    error_code ec;
    beast::tcp_stream& stream = aConnection->mStream;
    stream.expires_at(aExchange.mDeadline);
    auto message = ToMessage(aExchange.mAddress, aExchange.mRequest);
    mBytesSent += http::async_write(stream, message, aYield[ec]);
    ++mExchanges;
    if (ec) {
      return Failure(ec);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(mLimits.mMaxBodyBytes);
    mBytesReceived +=
      http::async_read(stream, aConnection->mBuffer, parser, aYield[ec]);
    if (ec) {
      return Failure(ec);
    }
    // A response without a length ends with the connection, so that a cut
    // could pass for its end.
    const bool whole = parser.content_length().has_value() ||
                       parser.chunked() || HasNoBody(parser.get().result());
    if (!whole) {
      return { HttpFailure::kConnectionLost, "response without a length" };
    }
    if (parser.get().keep_alive()) {
      stream.expires_never();
      KeepIdle(aExchange.mAddress, std::move(aConnection));
    }
    return HttpResult(ToResponse(parser.release()));
  }

  static bool HasNoBody(http::status aStatus)
  {
    return aStatus == http::status::no_content ||
           aStatus == http::status::not_modified;
  }

  static HttpResult Failure(error_code aError)
  {
    const bool timedOut = aError == beast::error::timeout;
    return { timedOut ? HttpFailure::kTimedOut : HttpFailure::kConnectionLost,
             aError.message() };
  }

  void KeepIdle(const std::string& aAddress, ConnectionPtr aConnection)
  {
    Pool& pool = mPools[aAddress];
    // The exchange that returns the connection still counts as busy.
    if (pool.mBusy + pool.mIdle.size() <= mLimits.mMaxConnectionsPerAddress) {
      pool.mIdle.push_back(std::move(aConnection));
    }
  }

  asio::io_context& mContext;
  HttpClientLimits mLimits;
  std::map<std::string, Pool> mPools;
  /** Written on the I/O thread, read from any. */
  std::atomic<std::uint64_t> mExchanges{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
};

HttpClient::HttpClient(IoThread& aThread, HttpClientLimits aLimits)
  : mImpl(std::make_shared<Impl>(aThread.Internal().Context(), aLimits))
{
}

HttpClient::~HttpClient()
{
  mImpl->Post([self = mImpl] { self->Close(); });
}

void
HttpClient::Send(const std::string& aAddress,
                 protocol::HttpRequest aRequest,
                 HttpExchangeOptions aOptions,
                 HttpCompletion aCompletion)
{
  Exchange exchange{ aAddress,
                     std::move(aRequest),
                     aOptions,
                     std::move(aCompletion),
                     Clock::now() + aOptions.mTimeout };
  mImpl->Post([self = mImpl, exchange = std::move(exchange)]() mutable {
    self->Start(std::move(exchange));
  });
}

HttpTraffic
HttpClient::Traffic() const
{
  return mImpl->Traffic();
}

void
HttpClient::CloseIdleConnections(const std::string& aAddress)
{
  mImpl->Post(
    [self = mImpl, aAddress] { self->CloseIdleConnections(aAddress); });
}

} // namespace cornelrudder::transport
