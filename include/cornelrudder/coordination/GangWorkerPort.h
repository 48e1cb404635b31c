#ifndef CORNELRUDDER_COORDINATION_GANG_WORKER_PORT_H
#define CORNELRUDDER_COORDINATION_GANG_WORKER_PORT_H

#include "cornelrudder/state/WorkerExchange.h"

#include <functional>
#include <string>

namespace cornelrudder::coordination {

/** Sends gang commands to workers. */
class GangWorkerPort
{
public:
  /** Called exactly once, from any thread. */
  using Completion = std::function<void(state::WorkerReply)>;

  virtual ~GangWorkerPort() = default;

  /**
   * Sends a command once, without retries.
   * @param aAddress Address of the worker, "a.b.c.d:port".
   */
  virtual void Send(const std::string& aAddress,
                    const state::WorkerCommand& aCommand,
                    Completion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_GANG_WORKER_PORT_H
