#ifndef CORNELRUDDER_COORDINATION_STORE_MESSAGES_H
#define CORNELRUDDER_COORDINATION_STORE_MESSAGES_H

#include "cornelrudder/state/StoreRow.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <string>

/**
 * @file
 * Messages of the store task.
 */

namespace cornelrudder::coordination {

/** Reads a row; the response is a StoreResult. */
struct ReadRow
{
  const std::string mKey;

  auto operator<=>(const ReadRow&) const = default;
};

/** Lists the rows under a key prefix; the response is a StoreResult. */
struct ListRows
{
  const std::string mPrefix;

  auto operator<=>(const ListRows&) const = default;
};

/** Makes the store task start the next attempt of an operation. */
struct RetryStoreOperation
{
  const std::uint64_t mOperationId;

  auto operator<=>(const RetryStoreOperation&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReadRow)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ListRows)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RetryStoreOperation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::StoreResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::Transaction)

#endif // CORNELRUDDER_COORDINATION_STORE_MESSAGES_H
