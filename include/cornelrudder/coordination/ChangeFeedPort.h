#ifndef CORNELRUDDER_COORDINATION_CHANGE_FEED_PORT_H
#define CORNELRUDDER_COORDINATION_CHANGE_FEED_PORT_H

#include "cornelrudder/state/StoreRow.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cornelrudder::coordination {

/** Follows the changes of a table and reads ranges of it. */
class ChangeFeedPort
{
public:
  /** Called exactly once, from any thread. */
  using Completion = std::function<void(state::StoreResult)>;

  virtual ~ChangeFeedPort() = default;

  /**
   * Reads the rows of a table from a key on, in the order of their keys.
   * @param aTable First part of the keys, without the slash.
   * @param aFrom First key, without the table.
   * @param aTo Key after the last one; empty for the end of the table.
   */
  virtual void ReadRange(const std::string& aTable,
                         const std::string& aFrom,
                         const std::string& aTo,
                         Completion aCompletion) = 0;

  /**
   * Waits for changes of a table.
   * @param aAfter Version after which changes are wanted.
   * @param aWait How long the store may hold the answer; 0 for none.
   * @param aCompletion Gets the changed rows, with version 0 for removed
   *   ones, or kConflict if the changes since aAfter are no longer kept.
   */
  virtual void PollChanges(const std::string& aTable,
                           std::uint64_t aAfter,
                           std::chrono::milliseconds aWait,
                           Completion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_CHANGE_FEED_PORT_H
