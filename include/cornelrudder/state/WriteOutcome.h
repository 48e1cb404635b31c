#ifndef CORNELRUDDER_STATE_WRITE_OUTCOME_H
#define CORNELRUDDER_STATE_WRITE_OUTCOME_H

#include "cornelrudder/state/StoreRow.h"

#include <vector>

namespace cornelrudder::state {

/** What rows tell about a transaction whose answer was lost. */
enum class WriteOutcome
{
  /** It took effect. */
  kApplied,
  /** It has had no effect and never will. */
  kConflict,
  /** It had not taken effect in the rows seen; it may be sent again. */
  kNotYetApplied,
  /** The rows were overwritten, so that both are possible. */
  kIndeterminate
};

/**
 * Judges a transaction by reads of its rows, which need not be of one
 * instant. The table writes all rows of a transaction or none, a version is
 * never used twice, and each write raises it by one. From that follows, for
 * any number of rows and for any order of the reads:
 *
 * - A row with the write id was written by the transaction, hence all were:
 *   kApplied.
 * - A row with the next version (expected + 1) and another write id was
 *   written by another transaction. This one would have given it that very
 *   version, so it was not applied; and since versions never return to the
 *   expected one, it never will be: kConflict.
 * - If each row has its expected version, no effect was visible when the last
 *   row was read. The transaction may still arrive, and may be sent again with
 *   the same write id: whichever copy arrives first raises the versions, and
 *   the others conflict: kNotYetApplied.
 * - Otherwise a row has moved further on (or was deleted), and this
 *   transaction may have been one of the writes in between. A row at its
 *   expected version beside it proves nothing, since it may have been read
 *   before: kIndeterminate.
 *
 * A row that is deleted starts again from version 0, which breaks the second
 * assumption: rows that several daemons write are therefore never deleted.
 *
 * @param aRows The rows read or returned by a conflict; version 0 or missing
 *   from the list means absent only if aComplete.
 * @param aComplete Whether aRows holds every existing row of the transaction.
 */
WriteOutcome
InferWriteOutcome(const Transaction& aTransaction,
                  const std::vector<StoreRow>& aRows,
                  bool aComplete);

/** @return The rows as the transaction left them. */
std::vector<StoreRow>
RowsWrittenBy(const Transaction& aTransaction);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_WRITE_OUTCOME_H
