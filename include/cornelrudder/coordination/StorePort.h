#ifndef CORNELRUDDER_COORDINATION_STORE_PORT_H
#define CORNELRUDDER_COORDINATION_STORE_PORT_H

#include "cornelrudder/state/StoreRow.h"

#include <functional>
#include <string>

namespace cornelrudder::coordination {

/** Performs single attempts, without retries, on the platform's table. */
class StorePort
{
public:
  /** Called exactly once, from any thread. */
  using Completion = std::function<void(state::StoreResult)>;

  virtual ~StorePort() = default;

  virtual void ReadRow(const std::string& aKey, Completion aCompletion) = 0;

  virtual void ListRows(const std::string& aPrefix, Completion aCompletion) = 0;

  virtual void Transact(const state::Transaction& aTransaction,
                        Completion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_STORE_PORT_H
