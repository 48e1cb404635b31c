#include "cornelrudder/state/WriteOutcome.h"

#include <algorithm>

namespace cornelrudder::state {

namespace {

/** Infers the outcome of a transaction from one of its rows. */
WriteOutcome
InferRowOutcome(const Transaction& aTransaction,
                const RowWrite& aWrite,
                const StoreRow& aRow)
{
  const bool exists = aRow.Version() != 0;
  if (exists && aRow.WriteId() == aTransaction.WriteId()) {
    return WriteOutcome::kApplied;
  }
  if (aRow.Version() == aWrite.ExpectedVersion()) {
    return WriteOutcome::kNotYetApplied;
  }
  // If the transaction deletes the row, a version proves nothing: the versions
  // of a row that is created again restart at 1.
  const bool provesConflict =
    aWrite.Value() && aRow.Version() == aWrite.ExpectedVersion() + 1;
  return provesConflict ? WriteOutcome::kConflict
                        : WriteOutcome::kIndeterminate;
}

} // namespace

WriteOutcome
InferWriteOutcome(const Transaction& aTransaction,
                  const std::vector<StoreRow>& aRows,
                  bool aComplete)
{
  bool applied = false;
  bool conflict = false;
  bool mayStillApply = aComplete;
  for (const RowWrite& write : aTransaction.Writes()) {
    const auto it =
      std::find_if(aRows.begin(), aRows.end(), [&write](const StoreRow& aRow) {
        return aRow.Key() == write.Key();
      });
    if (it == aRows.end() && !aComplete) {
      continue;
    }
    const StoreRow row =
      it != aRows.end() ? *it : StoreRow(write.Key(), 0, "", "");
    const WriteOutcome outcome = InferRowOutcome(aTransaction, write, row);
    applied = applied || outcome == WriteOutcome::kApplied;
    conflict = conflict || outcome == WriteOutcome::kConflict;
    mayStillApply = mayStillApply && outcome == WriteOutcome::kNotYetApplied;
  }
  if (applied) {
    return WriteOutcome::kApplied;
  }
  if (conflict) {
    return WriteOutcome::kConflict;
  }
  return mayStillApply ? WriteOutcome::kNotYetApplied
                       : WriteOutcome::kIndeterminate;
}

std::vector<StoreRow>
RowsWrittenBy(const Transaction& aTransaction)
{
  std::vector<StoreRow> rows;
  for (const RowWrite& write : aTransaction.Writes()) {
    if (write.Value()) {
      rows.emplace_back(write.Key(),
                        write.ExpectedVersion() + 1,
                        aTransaction.WriteId(),
                        *write.Value());
    } else {
      rows.emplace_back(write.Key(), 0, "", "");
    }
  }
  return rows;
}

} // namespace cornelrudder::state
