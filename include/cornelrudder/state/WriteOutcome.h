#ifndef CORNELRUDDER_STATE_WRITE_OUTCOME_H
#define CORNELRUDDER_STATE_WRITE_OUTCOME_H

#include "cornelrudder/state/StoreRow.h"

#include <vector>

namespace cornelrudder::state {

/** Outcome of a transaction, inferred from its rows after a lost response. */
enum class WriteOutcome
{
  /** The transaction took effect. */
  kApplied,
  /** The transaction had no effect and never will. */
  kConflict,
  /** The rows show no effect; the transaction may be sent again. */
  kNotYetApplied,
  /** The rows were overwritten; the transaction may have been applied or not.
   */
  kIndeterminate
};

/**
 * Infers the outcome of a transaction from reads of its rows, which may happen
 * at different times. The table applies a transaction atomically, never reuses
 * a version, and increments the version of a row with each write. It follows,
 * for any number of rows and any order of the reads:
 *
 * - kApplied: a row has the write id of the transaction, which therefore wrote
 *   all of its rows.
 * - kConflict: a row has the next version (expected + 1) and another write id.
 *   The transaction would have written this version, so it was not applied.
 *   Versions never decrease, so it never will be.
 * - kNotYetApplied: all rows have their expected versions, so no effect was
 *   visible when the last row was read. The transaction may still arrive. It
 *   may be sent again with the same write id, since the first copy to arrive
 *   increments the versions and later copies conflict.
 * - kIndeterminate: a row has a later version or was deleted, so the
 *   transaction may have been one of the writes in between. Another row at its
 *   expected version proves nothing, since it may have been read earlier.
 *
 * The version of a deleted row restarts at 0, so that versions are reused.
 * Rows that several daemons write are therefore never deleted.
 *
 * @param aRows The rows that were read or returned by a conflict. A row that is
 *   not in the list is absent from the table only if aComplete.
 * @param aComplete Whether aRows contains every existing row of the
 *   transaction.
 */
WriteOutcome
InferWriteOutcome(const Transaction& aTransaction,
                  const std::vector<StoreRow>& aRows,
                  bool aComplete);

/** @return The rows after the transaction is applied. */
std::vector<StoreRow>
RowsWrittenBy(const Transaction& aTransaction);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_WRITE_OUTCOME_H
