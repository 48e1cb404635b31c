#include "cornelrudderd/WorkerAdapter.h"

#include "cornelrudder/protocol/WorkerCodec.h"

namespace cornelrudder::daemon {

WorkerAdapter::WorkerAdapter(transport::HttpClient& aClient,
                             std::chrono::milliseconds aTimeout)
  : mClient(aClient)
  , mTimeout(aTimeout)
{
}

void
WorkerAdapter::Send(const std::string& aAddress,
                    const state::WorkerCommand& aCommand,
                    Completion aCompletion)
{
  mClient.Send(aAddress,
               protocol::EncodeWorkerCommand(aCommand),
               { mTimeout, true },
               [completion = std::move(aCompletion)](
                 const transport::HttpResult& aResult) {
                 if (aResult.Failure() != transport::HttpFailure::kNone) {
                   completion({ state::WorkerReplyStatus::kUnreachable,
                                state::MemberState::kUnknown,
                                false });
                   return;
                 }
                 completion(protocol::DecodeWorkerReport(aResult.Response()));
               });
}

} // namespace cornelrudder::daemon
