#ifndef CORNELRUDDER_CLI_SERVER_CONNECTION_H
#define CORNELRUDDER_CLI_SERVER_CONNECTION_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/IoThread.h"

#include <chrono>
#include <stdexcept>
#include <string>

namespace cornelrudder::cli {

/** Thrown if the connection to a daemon fails or its response times out. */
class UnreachableError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Sends HTTP requests to one daemon and waits for the responses. */
class ServerConnection
{
public:
  /** @param aTimeout Timeout of each exchange. */
  ServerConnection(std::string aAddress, std::chrono::milliseconds aTimeout);

  /** @throws UnreachableError if the exchange fails or times out. */
  protocol::HttpResponse Send(protocol::HttpRequest aRequest);

private:
  std::string mAddress;
  std::chrono::milliseconds mTimeout;
  transport::IoThread mThread;
  transport::HttpClient mClient;
};

} // namespace cornelrudder::cli

#endif // CORNELRUDDER_CLI_SERVER_CONNECTION_H
