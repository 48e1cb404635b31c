#include "cornelrudder/transport/HttpServer.h"

#include "HttpFields.h"
#include "IoThreadImpl.h"
#include "SocketAddress.h"
#include "cornelrudder/transport/TransportError.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <set>
#include <utility>

namespace cornelrudder::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxLingerBytes = 64ULL * 1024;
constexpr std::chrono::milliseconds kLingerTimeout{ 1'000 };

protocol::HttpRequest
ToRequest(http::request<http::string_body>&& aMessage)
{
  protocol::HttpHeaders headers = ReadHeaders(aMessage);
  return { std::string(aMessage.method_string()),
           std::string(aMessage.target()),
           std::move(headers),
           std::move(aMessage.body()) };
}

http::response<http::string_body>
ToMessage(protocol::HttpResponse aResponse, unsigned aVersion, bool aKeepAlive)
{
  http::response<http::string_body> message(
    static_cast<http::status>(aResponse.Status()), aVersion);
  for (const auto& [name, value] : aResponse.Headers()) {
    message.set(name, value);
  }
  message.body() = aResponse.Body();
  message.keep_alive(aKeepAlive);
  message.prepare_payload();
  return message;
}

/** @return The response to a request that could not be read, or nothing. */
std::optional<protocol::HttpResponse>
ReadErrorResponse(error_code aError)
{
  struct Row
  {
    http::error mError;
    int mStatus;
  };
  static constexpr std::array kRows{
    Row{ http::error::header_limit, 431 },
    Row{ http::error::body_limit, 413 },
    Row{ http::error::buffer_overflow, 431 },
  };
  if (aError.category() !=
        http::make_error_code(http::error::bad_method).category() ||
      aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    return std::nullopt;
  }
  int status = 400;
  for (const Row& row : kRows) {
    if (aError == row.mError) {
      status = row.mStatus;
    }
  }
  return protocol::HttpResponse::Json(status,
                                      R"({"error":"bad_http","reason":")" +
                                        aError.message() + R"(","ran":"no"})");
}

/** Answers with status 500 if the handler drops the responder. */
class ResponseGuard
{
public:
  explicit ResponseGuard(std::function<void(protocol::HttpResponse)> aSend)
    : mSend(std::move(aSend))
  {
  }

  ~ResponseGuard()
  {
    Respond(protocol::HttpResponse::Json(
      500, R"({"error":"internal","reason":"no answer","ran":"unknown"})"));
  }

  ResponseGuard(const ResponseGuard&) = delete;
  ResponseGuard& operator=(const ResponseGuard&) = delete;

  void Respond(protocol::HttpResponse aResponse)
  {
    if (!mAnswered.exchange(true)) {
      mSend(std::move(aResponse));
    }
  }

private:
  std::function<void(protocol::HttpResponse)> mSend;
  std::atomic<bool> mAnswered{ false };
};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext,
       const tcp::endpoint& aAddress,
       HttpServerLimits aLimits,
       HttpHandler aHandler)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mDrainTimer(aContext)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
    error_code ec;
    mAcceptor.open(aAddress.protocol(), ec);
    if (!ec) {
      mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
      mAcceptor.bind(aAddress, ec);
    }
    if (!ec) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      throw TransportError("cannot listen on " + FormatSocketAddress(aAddress) +
                           ": " + ec.message());
    }
    mAddress = FormatSocketAddress(mAcceptor.local_endpoint());
  }

  const std::string& Address() const { return mAddress; }

  template<typename Function>
  void Post(Function aFunction)
  {
    asio::post(mContext, std::move(aFunction));
  }

  void Start()
  {
    asio::spawn(
      mContext,
      [self = shared_from_this()](asio::yield_context aYield) {
        self->Accept(aYield);
      },
      asio::detached);
  }

  void Drain(std::chrono::milliseconds aGracePeriod,
             std::function<void(std::size_t)> aCompletion)
  {
    error_code ec;
    mAcceptor.close(ec);
    mDraining = true;
    mOnDrained = std::move(aCompletion);
    for (Connection* connection : mConnections) {
      if (!connection->mBusy) {
        connection->mStream.cancel();
      }
    }
    mDrainTimer.expires_after(aGracePeriod);
    mDrainTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->FinishDrain();
      }
    });
    CheckDrained();
  }

  void Close()
  {
    error_code ec;
    mAcceptor.close(ec);
    mDrainTimer.cancel();
    mDraining = true;
    for (Connection* connection : mConnections) {
      connection->mStream.cancel();
    }
  }

private:
  struct Connection
  {
    explicit Connection(tcp::socket aSocket)
      : mStream(std::move(aSocket))
    {
    }

    beast::tcp_stream mStream;
    beast::flat_buffer mBuffer;
    /** Whether a request has been read and not yet answered. */
    bool mBusy = false;
  };

  /** Keeps a connection in the set while its task runs. */
  class Registration
  {
  public:
    Registration(Impl& aServer, Connection& aConnection)
      : mServer(aServer)
      , mConnection(aConnection)
    {
      mServer.mConnections.insert(&mConnection);
    }

    ~Registration()
    {
      mServer.mConnections.erase(&mConnection);
      mServer.CheckDrained();
    }

    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

  private:
    Impl& mServer;
    Connection& mConnection;
  };

  void Accept(asio::yield_context aYield)
  {
    while (mAcceptor.is_open()) {
      error_code ec;
      tcp::socket socket(mContext);
      mAcceptor.async_accept(socket, aYield[ec]);
      if (ec == asio::error::operation_aborted) {
        return;
      }
      if (ec) {
        // Out of descriptors, most likely: wait instead of spinning.
        WaitBeforeAccept(aYield);
        continue;
      }
      if (mConnections.size() >= mLimits.mMaxConnections) {
        continue;
      }
      socket.set_option(tcp::no_delay(true), ec);
      StartConnection(std::move(socket));
    }
  }

  void WaitBeforeAccept(asio::yield_context aYield)
  {
    asio::steady_timer timer(mContext, std::chrono::milliseconds(100));
    error_code ec;
    timer.async_wait(aYield[ec]);
  }

  void StartConnection(tcp::socket aSocket)
  {
    auto connection = std::make_shared<Connection>(std::move(aSocket));
    asio::spawn(
      mContext,
      [self = shared_from_this(), connection](asio::yield_context aYield) {
        const Registration registration(*self, *connection);
        while (self->ServeOne(*connection, aYield)) {
        }
        self->Linger(*connection, aYield);
      },
      asio::detached);
  }

  /** @return Whether the connection can take another request. */
  bool ServeOne(Connection& aConnection, asio::yield_context aYield)
  {
    error_code ec;
    http::request_parser<http::string_body> parser;
    parser.header_limit(mLimits.mMaxHeaderBytes);
    parser.body_limit(mLimits.mMaxBodyBytes);
    aConnection.mStream.expires_after(mLimits.mIdleTimeout);
    http::async_read(
      aConnection.mStream, aConnection.mBuffer, parser, aYield[ec]);
    if (ec) {
      const auto response = ReadErrorResponse(ec);
      if (response) {
        Write(aConnection, ToMessage(*response, 11, false), aYield);
      }
      return false;
    }
    aConnection.mBusy = true;
    aConnection.mStream.expires_never();
    const unsigned version = parser.get().version();
    const bool keepAlive = parser.get().keep_alive();
    protocol::HttpResponse response =
      AwaitResponse(ToRequest(parser.release()), aYield);
    const bool again =
      keepAlive && !mDraining && response.Header("connection") != "close";
    const bool written = Write(
      aConnection, ToMessage(std::move(response), version, again), aYield);
    aConnection.mBusy = false;
    return written && again && !mDraining;
  }

  protocol::HttpResponse AwaitResponse(protocol::HttpRequest aRequest,
                                       asio::yield_context aYield)
  {
    return asio::async_initiate<asio::yield_context,
                                void(error_code, protocol::HttpResponse)>(
      [this, request = std::move(aRequest)](auto aCompletion) mutable {
        auto completion =
          std::make_shared<decltype(aCompletion)>(std::move(aCompletion));
        auto send = [&context = mContext,
                     completion](protocol::HttpResponse aResponse) {
          asio::post(context,
                     [completion, response = std::move(aResponse)]() mutable {
                       (*completion)(error_code(), std::move(response));
                     });
        };
        auto guard = std::make_shared<ResponseGuard>(std::move(send));
        mHandler(std::move(request), [guard](protocol::HttpResponse aResponse) {
          guard->Respond(std::move(aResponse));
        });
      },
      aYield);
  }

  bool Write(Connection& aConnection,
             http::response<http::string_body> aMessage,
             asio::yield_context aYield)
  {
    error_code ec;
    aConnection.mStream.expires_after(mLimits.mWriteTimeout);
    http::async_write(aConnection.mStream, aMessage, aYield[ec]);
    return !ec;
  }

  /**
   * Reads what the caller still sends, since closing a socket with unread
   * bytes resets the connection and can lose the response.
   */
  void Linger(Connection& aConnection, asio::yield_context aYield)
  {
    error_code ec;
    aConnection.mStream.socket().shutdown(tcp::socket::shutdown_send, ec);
    aConnection.mStream.expires_after(kLingerTimeout);
    std::array<char, 4096> buf{};
    std::size_t total = 0;
    while (!ec && !mDraining && total < kMaxLingerBytes) {
      total +=
        aConnection.mStream.async_read_some(asio::buffer(buf), aYield[ec]);
    }
  }

  void CheckDrained()
  {
    if (mDraining && mConnections.empty()) {
      FinishDrain();
    }
  }

  void FinishDrain()
  {
    if (!mOnDrained) {
      return;
    }
    mDrainTimer.cancel();
    const auto cutOff =
      std::count_if(mConnections.begin(),
                    mConnections.end(),
                    [](const Connection* aIt) { return aIt->mBusy; });
    auto done = std::exchange(mOnDrained, nullptr);
    done(static_cast<std::size_t>(cutOff));
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  asio::steady_timer mDrainTimer;
  HttpServerLimits mLimits;
  HttpHandler mHandler;
  std::string mAddress;
  std::set<Connection*> mConnections;
  std::function<void(std::size_t)> mOnDrained;
  bool mDraining = false;
};

HttpServer::HttpServer(IoThread& aThread,
                       const std::string& aAddress,
                       HttpServerLimits aLimits,
                       HttpHandler aHandler)
  : mImpl(std::make_shared<Impl>(aThread.Internal().Context(),
                                 ParseSocketAddress(aAddress),
                                 aLimits,
                                 std::move(aHandler)))
{
  mImpl->Post([self = mImpl] { self->Start(); });
}

HttpServer::~HttpServer()
{
  mImpl->Post([self = mImpl] { self->Close(); });
}

const std::string&
HttpServer::Address() const
{
  return mImpl->Address();
}

void
HttpServer::Drain(std::chrono::milliseconds aGracePeriod,
                  std::function<void(std::size_t)> aCompletion)
{
  mImpl->Post(
    [self = mImpl, aGracePeriod, done = std::move(aCompletion)]() mutable {
      self->Drain(aGracePeriod, std::move(done));
    });
}

} // namespace cornelrudder::transport
