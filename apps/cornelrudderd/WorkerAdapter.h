#ifndef CORNELRUDDERD_WORKER_ADAPTER_H
#define CORNELRUDDERD_WORKER_ADAPTER_H

#include "cornelrudder/coordination/GangWorkerPort.h"
#include "cornelrudder/transport/HttpClient.h"

#include <chrono>

namespace cornelrudder::daemon {

/** Sends commands to workers over HTTP. */
class WorkerAdapter final : public coordination::GangWorkerPort
{
public:
  /**
   * @param aClient Must outlive the adapter.
   * @param aTimeout Timeout of each command; must not exceed
   *   GangTiming::mMaxCommandDelay.
   */
  WorkerAdapter(transport::HttpClient& aClient,
                std::chrono::milliseconds aTimeout);

  void Send(const std::string& aAddress,
            const state::WorkerCommand& aCommand,
            Completion aCompletion) override;

private:
  transport::HttpClient& mClient;
  std::chrono::milliseconds mTimeout;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_WORKER_ADAPTER_H
