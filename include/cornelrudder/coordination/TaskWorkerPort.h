#ifndef CORNELRUDDER_COORDINATION_TASK_WORKER_PORT_H
#define CORNELRUDDER_COORDINATION_TASK_WORKER_PORT_H

#include "cornelrudder/state/scheduling/WorkerCalls.h"

#include <functional>

namespace cornelrudder::coordination {

/**
 * Sends orders about single tasks to workers. Each call makes one attempt and
 * never repeats it; the completion is called exactly once, from any thread.
 */
class TaskWorkerPort
{
public:
  using AnswerCompletion = std::function<void(state::scheduling::OrderAnswer)>;
  using ReportCompletion = std::function<void(state::scheduling::WorkerReport)>;

  virtual ~TaskWorkerPort() = default;

  virtual void Start(const state::scheduling::StartOrder& aOrder,
                     AnswerCompletion aCompletion) = 0;

  virtual void Stop(const state::scheduling::StopOrder& aOrder,
                    AnswerCompletion aCompletion) = 0;

  virtual void Renew(const state::scheduling::RenewOrder& aOrder,
                     ReportCompletion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_TASK_WORKER_PORT_H
