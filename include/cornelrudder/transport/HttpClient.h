#ifndef CORNELRUDDER_TRANSPORT_HTTP_CLIENT_H
#define CORNELRUDDER_TRANSPORT_HTTP_CLIENT_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/IoThread.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cornelrudder::transport {

struct HttpClientLimits
{
  /** Connections to one address, busy and idle together. */
  std::size_t mMaxConnectionsPerAddress = 7;
  std::uint64_t mMaxBodyBytes = 8ULL * 1024 * 1024;
  std::chrono::milliseconds mConnectTimeout{ 1'000 };
};

enum class HttpFailure
{
  kNone,
  /** No byte of the request left. */
  kNotSent,
  /** The same, because HttpExchangeOptions::mMaySend did not allow it. */
  kWithheld,
  /** The connection broke after bytes had left. */
  kConnectionLost,
  /** No whole response came in time. */
  kTimedOut
};

/** A response or the failure that prevented it. */
class HttpResult
{
public:
  explicit HttpResult(protocol::HttpResponse aResponse)
    : mFailure(HttpFailure::kNone)
    , mResponse(std::move(aResponse))
  {
  }

  HttpResult(HttpFailure aFailure, std::string aDetail)
    : mFailure(aFailure)
    , mDetail(std::move(aDetail))
  {
  }

  HttpFailure Failure() const { return mFailure; }
  const std::string& Detail() const { return mDetail; }

  /** Only meaningful without a failure. */
  const protocol::HttpResponse& Response() const { return mResponse; }

  auto operator<=>(const HttpResult&) const = default;

private:
  HttpFailure mFailure;
  std::string mDetail;
  protocol::HttpResponse mResponse;
};

struct HttpExchangeOptions
{
  /** From the start, including the wait for a connection. */
  std::chrono::milliseconds mTimeout{ 1'000 };
  /**
   * Whether an idle connection may be used. The peer may have closed it in
   * the meantime, which leaves open whether the request was seen.
   */
  bool mReuseConnection = true;
  /**
   * Called on the I/O thread just before the request is written, if set; the
   * request is not sent if the result is false.
   */
  std::function<bool()> mMaySend{};
};

/** Called once, on the I/O thread. */
using HttpCompletion = std::function<void(HttpResult)>;

/** Bytes and exchanges of a client since its start. */
struct HttpTraffic
{
  std::uint64_t mExchanges = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

  auto operator<=>(const HttpTraffic&) const = default;
};

/** HTTP/1.1 client with a pool of connections for each address. */
class HttpClient
{
public:
  HttpClient(IoThread& aThread, HttpClientLimits aLimits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Sends a request; may be called from any thread.
   * @param aAddress "a.b.c.d:port".
   */
  void Send(const std::string& aAddress,
            protocol::HttpRequest aRequest,
            HttpExchangeOptions aOptions,
            HttpCompletion aCompletion);

  /** @return The traffic so far; may be called from any thread. */
  HttpTraffic Traffic() const;

  /** Asks that the connection of a mismatched answer is not used again. */
  void CloseIdleConnections(const std::string& aAddress);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_HTTP_CLIENT_H
