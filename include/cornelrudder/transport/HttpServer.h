#ifndef CORNELRUDDER_TRANSPORT_HTTP_SERVER_H
#define CORNELRUDDER_TRANSPORT_HTTP_SERVER_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/ConnectionLimiter.h"
#include "cornelrudder/transport/IoThread.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cornelrudder::transport {

struct HttpServerLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxHeaderFields = 128;
  std::uint64_t mMaxBodyBytes = 8ULL * 1024 * 1024;
  std::size_t mMaxConnections = 1000;
  /** Time without a request. */
  std::chrono::milliseconds mIdleTimeout{ 60'000 };
  /** Times for a whole header, body and response. */
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
  std::chrono::milliseconds mBodyTimeout{ 15'000 };
  std::chrono::milliseconds mWriteTimeout{ 15'000 };
};

/** Memory of all connections of a process, unless settings tell another. */
constexpr std::size_t kDefaultConnectionBytes = 64UL * 1024 * 1024;

/** Answers one request; may be called from any thread, once. */
using HttpResponder = std::function<void(protocol::HttpResponse)>;

/** Called on the I/O thread for each request. */
using HttpHandler = std::function<void(protocol::HttpRequest, HttpResponder)>;

/** HTTP/1.1 server; each connection is a task that owns its socket. */
class HttpServer
{
public:
  /**
   * Listens at once.
   * @param aAddress "a.b.c.d:port"; port 0 picks a free one.
   * @param aHandler A responder that it drops is answered with status 500. A
   *   response with the header "connection: close" ends its connection.
   * @param aLimiter Shared by the servers of the I/O thread; null for one of
   *   its own.
   * @throws TransportError if the address is malformed or in use.
   */
  HttpServer(IoThread& aThread,
             const std::string& aAddress,
             HttpServerLimits aLimits,
             HttpHandler aHandler,
             std::shared_ptr<ConnectionLimiter> aLimiter = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** @return The address with the port in use. */
  const std::string& Address() const;

  /**
   * @return A function that lowers the limit of bodies to its argument, or
   *   raises it again up to the one of the constructor. May be called on any
   *   thread and outlive the server.
   */
  std::function<void(std::uint64_t)> BodyLimitSetter() const;

  /**
   * Stops accepting, lets running exchanges end and closes idle connections.
   * @param aGracePeriod Time given to running exchanges.
   * @param aCompletion Called on the I/O thread with the number of exchanges
   * that were cut off.
   */
  void Drain(std::chrono::milliseconds aGracePeriod,
             std::function<void(std::size_t)> aCompletion);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_HTTP_SERVER_H
