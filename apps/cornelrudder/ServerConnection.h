#ifndef CORNELRUDDER_CLI_SERVER_CONNECTION_H
#define CORNELRUDDER_CLI_SERVER_CONNECTION_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/transport/HttpClient.h"
#include "cornelrudder/transport/IoThread.h"

#include <chrono>
#include <stdexcept>
#include <string>

namespace cornelrudder::cli {

/** Thrown when a daemon cannot be reached or does not answer. */
class UnreachableError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Sends requests to a daemon and waits for the answers. */
class ServerConnection
{
public:
  ServerConnection(std::string aAddress, std::chrono::milliseconds aTimeout);

  /** @throws UnreachableError */
  protocol::HttpResponse Send(protocol::HttpRequest aRequest);

private:
  std::string mAddress;
  std::chrono::milliseconds mTimeout;
  transport::IoThread mThread;
  transport::HttpClient mClient;
};

} // namespace cornelrudder::cli

#endif // CORNELRUDDER_CLI_SERVER_CONNECTION_H
