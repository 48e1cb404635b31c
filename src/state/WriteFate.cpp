#include "cornelrudder/state/WriteFate.h"

#include <algorithm>

namespace cornelrudder::state {

namespace {

/** What one row tells. */
WriteFate
JudgeRow(const Transaction& aTransaction,
         const RowWrite& aWrite,
         const StoreRow& aRow)
{
  const bool exists = aRow.Version() != 0;
  if (exists && aRow.WriteId() == aTransaction.WriteId()) {
    return WriteFate::kApplied;
  }
  if (aRow.Version() == aWrite.ExpectedVersion()) {
    return WriteFate::kOpen;
  }
  // A deletion leaves no version behind that could be compared.
  const bool provesOther =
    aWrite.Value() && aRow.Version() == aWrite.ExpectedVersion() + 1;
  return provesOther ? WriteFate::kConflict : WriteFate::kUndecided;
}

} // namespace

WriteFate
JudgeWrite(const Transaction& aTransaction,
           const std::vector<StoreRow>& aRows,
           bool aComplete)
{
  bool applied = false;
  bool conflict = false;
  bool open = aComplete;
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
    const WriteFate fate = JudgeRow(aTransaction, write, row);
    applied = applied || fate == WriteFate::kApplied;
    conflict = conflict || fate == WriteFate::kConflict;
    open = open && fate == WriteFate::kOpen;
  }
  if (applied) {
    return WriteFate::kApplied;
  }
  if (conflict) {
    return WriteFate::kConflict;
  }
  return open ? WriteFate::kOpen : WriteFate::kUndecided;
}

std::vector<StoreRow>
RowsAfter(const Transaction& aTransaction)
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
