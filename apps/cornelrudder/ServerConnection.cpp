#include "cornelrudder/ServerConnection.h"

#include <future>
#include <memory>

namespace cornelrudder::cli {

ServerConnection::ServerConnection(std::string aAddress,
                                   std::chrono::milliseconds aTimeout)
  : mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
  , mClient(mThread, {})
{
}

protocol::HttpResponse
ServerConnection::Send(protocol::HttpRequest aRequest)
{
  auto promise = std::make_shared<std::promise<transport::HttpResult>>();
  auto future = promise->get_future();
  mClient.Send(mAddress,
               std::move(aRequest),
               { mTimeout, true },
               [promise](transport::HttpResult aResult) {
                 promise->set_value(std::move(aResult));
               });
  const transport::HttpResult result = future.get();
  if (result.Failure() != transport::HttpFailure::kNone) {
    throw UnreachableError(mAddress + ": " + result.Detail());
  }
  return result.Response();
}

} // namespace cornelrudder::cli
