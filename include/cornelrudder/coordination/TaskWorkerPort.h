#ifndef CORNELRUDDER_COORDINATION_TASK_WORKER_PORT_H
#define CORNELRUDDER_COORDINATION_TASK_WORKER_PORT_H

#include "cornelrudder/state/scheduling/WorkerCalls.h"

#include <functional>

namespace cornelrudder::coordination {

/**
 * Sends commands about tasks to workers. Each call makes one attempt without
 * retries and calls its completion exactly once, from any thread.
 */
class TaskWorkerPort
{
public:
  using CommandCompletion =
    std::function<void(state::scheduling::CommandReply)>;
  using RenewCompletion = std::function<void(state::scheduling::RenewReply)>;

  virtual ~TaskWorkerPort() = default;

  /**
   * Does not send the command from StartCommand::mSendBefore on, by the clock
   * of the scheduler task.
   */
  virtual void Start(const state::scheduling::StartCommand& aCommand,
                     CommandCompletion aCompletion) = 0;

  virtual void Stop(const state::scheduling::StopCommand& aCommand,
                    CommandCompletion aCompletion) = 0;

  virtual void Renew(const state::scheduling::RenewCommand& aCommand,
                     RenewCompletion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_TASK_WORKER_PORT_H
