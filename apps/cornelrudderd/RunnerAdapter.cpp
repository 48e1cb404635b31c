#include "cornelrudderd/RunnerAdapter.h"

#include "cornelrudder/protocol/RunnerCodec.h"

namespace cornelrudder::daemon {

using state::RunnerResult;
using state::RunnerStatus;
using transport::HttpFailure;

namespace {

RunnerResult
ToRunnerResult(const state::RequestId& aRequest,
               const transport::HttpResult& aResult)
{
  if (aResult.Failure() == HttpFailure::kNotSent) {
    return { RunnerStatus::kNotSent, false, "" };
  }
  if (aResult.Failure() != HttpFailure::kNone) {
    return { RunnerStatus::kConnectionLost, false, "" };
  }
  return protocol::DecodeRunnerResponse(aRequest, aResult.Response());
}

} // namespace

RunnerAdapter::RunnerAdapter(transport::HttpClient& aClient)
  : mClient(aClient)
{
}

void
RunnerAdapter::Run(const state::RunDispatch& aDispatch, Completion aCompletion)
{
  // A non-idempotent request gets a new connection: if the runner closed an
  // idle connection, it would be unknown whether the request had been received.
  const transport::HttpExchangeOptions options{ aDispatch.Timeout(),
                                                aDispatch.Idempotent() };
  mClient.Send(aDispatch.Address(),
               protocol::EncodeRunnerRequest(aDispatch),
               options,
               [this,
                address = aDispatch.Address(),
                id = aDispatch.Request(),
                completion = std::move(aCompletion)](
                 const transport::HttpResult& aResult) {
                 RunnerResult result = ToRunnerResult(id, aResult);
                 if (result.Status() == RunnerStatus::kInvalidAnswer) {
                   mClient.CloseIdleConnections(address);
                 }
                 completion(std::move(result));
               });
}

} // namespace cornelrudder::daemon
