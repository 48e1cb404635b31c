#ifndef CORNELRUDDERD_RUNNER_ADAPTER_H
#define CORNELRUDDERD_RUNNER_ADAPTER_H

#include "cornelrudder/coordination/RunnerPort.h"
#include "cornelrudder/transport/HttpClient.h"

namespace cornelrudder::daemon {

/** Sends requests to runners over HTTP. */
class RunnerAdapter final : public coordination::RunnerPort
{
public:
  /** @param aClient Must outlive the adapter. */
  explicit RunnerAdapter(transport::HttpClient& aClient);

  void Run(const state::RunDispatch& aDispatch,
           Completion aCompletion) override;

private:
  transport::HttpClient& mClient;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_RUNNER_ADAPTER_H
