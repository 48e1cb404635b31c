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
#include <iterator>
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
constexpr std::size_t kReadBytes = 4'096;
constexpr std::size_t kBodyReadBytes = 16UL * 1024;
/** Buffers of the kernel, for each connection. */
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr int kSendBufferBytes = 64 * 1024;
/** Coroutine stack, parser and socket of a connection. */
constexpr std::size_t kConnectionBytes = 16UL * 1024;

using RequestParser = http::request_parser<http::string_body>;

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

/** The part of a request that is read, with its limits of time. */
struct ReadPart
{
  ConnectionIncident mTimeout;
  std::chrono::milliseconds HttpServerLimits::*mLimit;
  /** Why an incomplete request is rejected; empty without a request. */
  std::string_view mReason;
};

constexpr ReadPart kIdlePart{ ConnectionIncident::kIdleTimeout,
                              &HttpServerLimits::mIdleTimeout,
                              "" };
constexpr ReadPart kHeaderPart{ ConnectionIncident::kHeaderTimeout,
                                &HttpServerLimits::mHeaderTimeout,
                                "the header took too long" };
constexpr ReadPart kBodyPart{ ConnectionIncident::kBodyTimeout,
                              &HttpServerLimits::mBodyTimeout,
                              "the body took too long" };

const ReadPart&
PartOf(const RequestParser& aParser, const beast::flat_buffer& aBuffer)
{
  if (aParser.is_header_done()) {
    return kBodyPart;
  }
  return aBuffer.size() > 0 ? kHeaderPart : kIdlePart;
}

protocol::HttpResponse
TimeoutResponse(const ReadPart& aPart)
{
  return protocol::HttpResponse::Json(
    408,
    std::string(R"({"error":"timeout","reason":")") +
      std::string(aPart.mReason) + R"(","ran":"no"})");
}

protocol::HttpResponse
TooManyFieldsResponse(std::size_t aFound, std::size_t aAllowed)
{
  return protocol::HttpResponse::Json(
    431,
    R"({"error":"bad_http","reason":"the header has )" +
      std::to_string(aFound) + " fields; allowed are " +
      std::to_string(aAllowed) + R"(","ran":"no"})");
}

/** @return The response to a request that is cut off to free memory. */
const std::string&
DisplacedResponse()
{
  constexpr std::string_view kBody =
    R"({"error":"overloaded","reason":"too many connections","ran":"no"})";
  static const std::string kText =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "content-type: application/json\r\nretry-after: 1\r\n"
    "connection: close\r\ncontent-length: " +
    std::to_string(kBody.size()) + "\r\n\r\n" + std::string(kBody);
  return kText;
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
       HttpHandler aHandler,
       std::shared_ptr<ConnectionLimiter> aLimiter)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mDrainTimer(aContext)
    , mLimits(aLimits)
    , mMaxBodyBytes(aLimits.mMaxBodyBytes)
    , mHandler(std::move(aHandler))
    , mLimiter(std::move(aLimiter))
  {
    error_code ec;
    mAcceptor.open(aAddress.protocol(), ec);
    if (!ec) {
      mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    // Accepted sockets inherit the sizes.
    if (!ec) {
      mAcceptor.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
    }
    if (!ec) {
      mAcceptor.set_option(
        asio::socket_base::send_buffer_size(kSendBufferBytes), ec);
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
    mListener = mLimiter->AddListener();
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

  void SetMaxBodyBytes(std::uint64_t aBytes)
  {
    mMaxBodyBytes = std::min(aBytes, mLimits.mMaxBodyBytes);
    mLimiter->EnsureRoomFor(mMaxBodyBytes);
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
  struct Connection : std::enable_shared_from_this<Connection>
  {
    Connection(std::shared_ptr<Impl> aServer, tcp::socket aSocket)
      : mServer(std::move(aServer))
      , mStream(std::move(aSocket))
      , mReadTimer(mServer->mContext)
      , mBuffer(mServer->MaxBufferBytes())
      , mSlot(*mServer->mLimiter, mServer->mListener, [this] { CloseAtOnce(); })
    {
      ++mServer->mOpenConnections;
      Charge(ConnectionPhase::kIdle, 0);
    }

    ~Connection()
    {
      if (!mSlot.IsDisplaced()) {
        --mServer->mOpenConnections;
      }
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /** @param aBytes Size of the request's body, or of the response. */
    void Charge(ConnectionPhase aPhase, std::size_t aBytes)
    {
      mPhase = aPhase;
      mSlot.Charge(aPhase, kConnectionBytes + mBuffer.capacity() + aBytes);
    }

    /** Cancels the reading after some time; unlike a timeout of the stream,
     * this leaves the socket open for a response. */
    void LimitReadTime(std::chrono::milliseconds aLimit)
    {
      mStream.expires_never();
      mReadTimer.expires_after(aLimit);
      mReadTimer.async_wait(
        [weak = this->weak_from_this(), n = ++mReadNumber](error_code aError) {
          const auto self = weak.lock();
          if (!aError && self && self->mReadNumber == n) {
            self->mIsReadLate = true;
            self->mStream.cancel();
          }
        });
    }

    void EndReadTime()
    {
      ++mReadNumber;
      mReadTimer.cancel();
    }

    void CloseAtOnce()
    {
      --mServer->mOpenConnections;
      if (mPhase == ConnectionPhase::kReceiving) {
        error_code ec;
        mStream.socket().non_blocking(true, ec);
        mStream.socket().write_some(asio::buffer(DisplacedResponse()), ec);
      }
      mStream.close();
    }

    std::shared_ptr<Impl> mServer;
    beast::tcp_stream mStream;
    asio::steady_timer mReadTimer;
    std::uint64_t mReadNumber = 0;
    bool mIsReadLate = false;
    beast::flat_buffer mBuffer;
    ConnectionPhase mPhase = ConnectionPhase::kIdle;
    /** Whether a request has been read and not yet answered. */
    bool mBusy = false;
    ConnectionLimiter::Slot mSlot;
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
        mLimiter->DisplaceOne(mListener);
        WaitBeforeAccept(aYield);
        continue;
      }
      if (mOpenConnections >= mLimits.mMaxConnections &&
          !mLimiter->DisplaceOne(mListener)) {
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
    auto connection =
      std::make_shared<Connection>(shared_from_this(), std::move(aSocket));
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

  /** A header with its end, and what is read ahead of the next request. */
  std::size_t MaxBufferBytes() const
  {
    return mLimits.mMaxHeaderBytes + kReadBytes;
  }

  /** @return Whether the connection can take another request. */
  bool ServeOne(Connection& aConnection, asio::yield_context aYield)
  {
    RequestParser parser;
    parser.header_limit(mLimits.mMaxHeaderBytes);
    parser.body_limit(mMaxBodyBytes);
    parser.eager(true);
    if (!ReadRequest(aConnection, parser, aYield)) {
      return false;
    }
    aConnection.mBusy = true;
    aConnection.mStream.expires_never();
    aConnection.Charge(ConnectionPhase::kAnswering,
                       parser.get().body().capacity());
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

  /**
   * Reads a request, and answers one that is rejected.
   * @return Whether it is complete.
   */
  bool ReadRequest(Connection& aConnection,
                   RequestParser& aParser,
                   asio::yield_context aYield)
  {
    beast::flat_buffer& buf = aConnection.mBuffer;
    if (buf.size() == 0 && buf.capacity() > kReadBytes) {
      buf.shrink_to_fit();
    }
    const ReadPart* part = nullptr;
    error_code ec;
    while (true) {
      const bool wasHeaderDone = aParser.is_header_done();
      ParseBuffer(buf, aParser, ec);
      if (ec) {
        return Reject(aConnection, ReadErrorResponse(ec), aYield);
      }
      const std::size_t fields = wasHeaderDone ? 0 : CountFields(aParser);
      if (fields > mLimits.mMaxHeaderFields) {
        return Reject(aConnection,
                      TooManyFieldsResponse(fields, mLimits.mMaxHeaderFields),
                      aYield);
      }
      if (aParser.is_done()) {
        if (part != nullptr && part != &kIdlePart) {
          aConnection.EndReadTime();
        }
        return true;
      }
      if (part != &PartOf(aParser, buf)) {
        part = &PartOf(aParser, buf);
        LimitPart(aConnection, *part);
      }
      ReadSome(aConnection, aParser, *part, aYield, ec);
      if (aConnection.mIsReadLate) {
        mLimiter->Count(part->mTimeout);
        return Reject(aConnection, TimeoutResponse(*part), aYield);
      }
      if (ec == beast::error::timeout) {
        mLimiter->Count(part->mTimeout);
      }
      if (ec || aConnection.mSlot.IsDisplaced()) {
        return Reject(aConnection, ReadErrorResponse(ec), aYield);
      }
    }
  }

  /** @return The number of fields of a header that is complete, else 0. */
  static std::size_t CountFields(const RequestParser& aParser)
  {
    const auto& fields = aParser.get().base();
    return aParser.is_header_done() ? static_cast<std::size_t>(std::distance(
                                        fields.begin(), fields.end()))
                                    : 0;
  }

  void LimitPart(Connection& aConnection, const ReadPart& aPart)
  {
    if (&aPart == &kIdlePart) {
      aConnection.mStream.expires_after(mLimits.*aPart.mLimit);
    } else {
      aConnection.LimitReadTime(mLimits.*aPart.mLimit);
    }
  }

  static void ParseBuffer(beast::flat_buffer& aBuffer,
                          RequestParser& aParser,
                          error_code& aError)
  {
    while (aBuffer.size() > 0 && !aParser.is_done()) {
      const std::size_t n = aParser.put(aBuffer.data(), aError);
      aBuffer.consume(n);
      if (aError == http::error::need_more) {
        aError = {};
        return;
      }
      if (aError || n == 0) {
        return;
      }
    }
  }

  void ReadSome(Connection& aConnection,
                const RequestParser& aParser,
                const ReadPart& aPart,
                asio::yield_context aYield,
                error_code& aError)
  {
    beast::flat_buffer& buf = aConnection.mBuffer;
    const std::size_t wanted =
      aParser.is_header_done() ? kBodyReadBytes : kReadBytes;
    const std::size_t n = std::min(wanted, buf.max_size() - buf.size());
    if (n == 0) {
      aError = http::error::buffer_overflow;
      return;
    }
    const auto space = buf.prepare(n);
    aConnection.Charge(&aPart == &kIdlePart ? ConnectionPhase::kIdle
                                            : ConnectionPhase::kReceiving,
                       aParser.get().body().capacity());
    buf.commit(aConnection.mStream.async_read_some(space, aYield[aError]));
  }

  /** @return False, since the connection takes no further request. */
  bool Reject(Connection& aConnection,
              const std::optional<protocol::HttpResponse>& aResponse,
              asio::yield_context aYield)
  {
    aConnection.EndReadTime();
    if (aResponse && !aConnection.mSlot.IsDisplaced()) {
      mLimiter->Count(ConnectionIncident::kRejected);
      Write(aConnection, ToMessage(*aResponse, 11, false), aYield);
    }
    return false;
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
    aConnection.Charge(ConnectionPhase::kSending, aMessage.body().capacity());
    aConnection.mStream.expires_after(mLimits.mWriteTimeout);
    http::async_write(aConnection.mStream, aMessage, aYield[ec]);
    if (ec == beast::error::timeout) {
      mLimiter->Count(ConnectionIncident::kWriteTimeout);
    }
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
  std::uint64_t mMaxBodyBytes;
  HttpHandler mHandler;
  std::shared_ptr<ConnectionLimiter> mLimiter;
  std::uint64_t mListener = 0;
  /** Connections that were not displaced. */
  std::size_t mOpenConnections = 0;
  std::string mAddress;
  std::set<Connection*> mConnections;
  std::function<void(std::size_t)> mOnDrained;
  bool mDraining = false;
};

HttpServer::HttpServer(IoThread& aThread,
                       const std::string& aAddress,
                       HttpServerLimits aLimits,
                       HttpHandler aHandler,
                       std::shared_ptr<ConnectionLimiter> aLimiter)
  : mImpl(std::make_shared<Impl>(
      aThread.Internal().Context(),
      ParseSocketAddress(aAddress),
      aLimits,
      std::move(aHandler),
      aLimiter != nullptr
        ? std::move(aLimiter)
        : std::make_shared<ConnectionLimiter>(aThread,
                                              kDefaultConnectionBytes,
                                              nullptr)))
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

std::function<void(std::uint64_t)>
HttpServer::BodyLimitSetter() const
{
  return [weak = std::weak_ptr<Impl>(mImpl)](std::uint64_t aBytes) {
    if (const auto impl = weak.lock()) {
      impl->Post([impl, aBytes] { impl->SetMaxBodyBytes(aBytes); });
    }
  };
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
