#ifndef CORNELRUDDER_COORDINATION_RUNNER_PORT_H
#define CORNELRUDDER_COORDINATION_RUNNER_PORT_H

#include "cornelrudder/state/RunnerExchange.h"

#include <functional>

namespace cornelrudder::coordination {

/** Sends requests to runners. */
class RunnerPort
{
public:
  /** Called exactly once, from any thread. */
  using Completion = std::function<void(state::RunnerResult)>;

  virtual ~RunnerPort() = default;

  /** Makes one attempt on one runner; never retries. */
  virtual void Run(const state::RunDispatch& aDispatch,
                   Completion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_RUNNER_PORT_H
