#ifndef CORNELRUDDER_COORDINATION_CHANGE_FEED_PORT_H
#define CORNELRUDDER_COORDINATION_CHANGE_FEED_PORT_H

#include "cornelrudder/state/StoreRow.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cornelrudder::coordination {

/** Polls the changes of a table and reads ranges of its rows. */
class ChangeFeedPort
{
public:
  /** Called exactly once, from any thread. */
  using Completion = std::function<void(state::StoreResult)>;

  virtual ~ChangeFeedPort() = default;

  /**
   * Reads the rows with keys in [aFrom, aTo), sorted by key.
   * @param aTable Table name: the part of the keys before the slash.
   * @param aFrom First key, without the table name.
   * @param aTo Exclusive upper bound, without the table name; empty for the
   *   end of the table.
   */
  virtual void ReadRange(const std::string& aTable,
                         const std::string& aFrom,
                         const std::string& aTo,
                         Completion aCompletion) = 0;

  /**
   * Waits for changes of a table.
   * @param aAfter Store version; only later changes are returned.
   * @param aWait Longest time to wait for a change; 0 to return at once.
   * @param aCompletion Receives the changed rows, with version 0 for removed
   *   ones, or kConflict if the store no longer keeps the changes since aAfter.
   */
  virtual void PollChanges(const std::string& aTable,
                           std::uint64_t aAfter,
                           std::chrono::milliseconds aWait,
                           Completion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_CHANGE_FEED_PORT_H
