#include "cornelrudder/state/WriteOutcome.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include <rapidcheck.h>

using namespace cornelrudder::state;

namespace {

const std::string kOwn = "own";

/** A table whose rows are never deleted. */
class Table
{
public:
  bool Apply(const Transaction& aTransaction)
  {
    for (const RowWrite& write : aTransaction.Writes()) {
      if (Read(write.Key()).Version() != write.ExpectedVersion()) {
        return false;
      }
    }
    for (const StoreRow& row : RowsWrittenBy(aTransaction)) {
      mRows.insert_or_assign(row.Key(), row);
    }
    return true;
  }

  StoreRow Read(const std::string& aKey) const
  {
    const auto it = mRows.find(aKey);
    return it != mRows.end() ? it->second : StoreRow(aKey, 0, "", "");
  }

private:
  std::map<std::string, StoreRow> mRows;
};

std::string
KeyOf(int aIndex)
{
  return "k" + std::to_string(aIndex);
}

/**
 * A transaction of another client on some rows at their current versions.
 * @param aMask Bit mask of the rows to write.
 */
Transaction
OtherWrite(const Table& aTable, int aMask, int aRows, int aNumber)
{
  std::vector<RowWrite> writes;
  for (int i = 0; i < aRows; ++i) {
    if (((aMask >> i) & 1) != 0) {
      writes.emplace_back(KeyOf(i), aTable.Read(KeyOf(i)).Version(), "o");
    }
  }
  return { "other-" + std::to_string(aNumber), std::move(writes) };
}

using InferenceFunction = WriteOutcome (*)(const Transaction&,
                                           const std::vector<StoreRow>&);

WriteOutcome
InferFromAllRows(const Transaction& aWrite, const std::vector<StoreRow>& aRows)
{
  return InferWriteOutcome(aWrite, aRows, true);
}

/** Wrong: infers a conflict from any row that another transaction wrote. */
WriteOutcome
InferConflictIfIndeterminate(const Transaction& aWrite,
                             const std::vector<StoreRow>& aRows)
{
  const WriteOutcome outcome = InferFromAllRows(aWrite, aRows);
  return outcome == WriteOutcome::kIndeterminate ? WriteOutcome::kConflict
                                                 : outcome;
}

/** Wrong: infers a conflict from one row at its expected version. */
WriteOutcome
InferConflictFromOneRow(const Transaction& aWrite,
                        const std::vector<StoreRow>& aRows)
{
  for (const RowWrite& write : aWrite.Writes()) {
    for (const StoreRow& row : aRows) {
      if (row.Key() == write.Key() &&
          row.Version() == write.ExpectedVersion()) {
        return WriteOutcome::kConflict;
      }
    }
  }
  return InferFromAllRows(aWrite, aRows);
}

/**
 * Simulates a history. Other clients write before, between and after the reads
 * of the rows; the own transaction arrives at any time, any number of times.
 * @param aSteps The events; the remainder modulo 4 selects the kind of event.
 * @return Whether the inferred outcome is correct, also with respect to copies
 *   that arrive after the reads.
 */
bool
IsInferenceCorrect(InferenceFunction aInfer,
                   int aRows,
                   const std::vector<int>& aSteps)
{
  Table table;
  std::vector<RowWrite> writes;
  for (int i = 0; i < aRows; ++i) {
    writes.emplace_back(KeyOf(i), 0, "own value");
  }
  const Transaction own(kOwn, writes);
  std::vector<StoreRow> read;
  int applied = 0;
  bool appliedWhenInferred = false;
  WriteOutcome outcome = WriteOutcome::kIndeterminate;
  bool inferred = false;
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    const int kind = aSteps[i] % 4;
    if (kind == 0) {
      applied += table.Apply(own) ? 1 : 0;
    } else if (kind == 1) {
      table.Apply(OtherWrite(table, aSteps[i] / 4, aRows, static_cast<int>(i)));
    } else if (static_cast<int>(read.size()) < aRows) {
      read.push_back(table.Read(KeyOf(static_cast<int>(read.size()))));
    } else if (!inferred) {
      inferred = true;
      appliedWhenInferred = applied > 0;
      outcome = aInfer(own, read);
    }
  }
  const bool appliedIsCorrect =
    !inferred || (outcome != WriteOutcome::kApplied || appliedWhenInferred);
  const bool final = outcome != WriteOutcome::kConflict || applied == 0;
  return applied <= 1 && appliedIsCorrect && final;
}

rc::Gen<std::vector<int>>
Steps()
{
  return rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 32));
}

bool
IsRejected(InferenceFunction aInfer)
{
  const auto steps = Steps();
  for (std::uint64_t seed = 0; seed < 20'000; ++seed) {
    if (!IsInferenceCorrect(aInfer, 2, steps(rc::Random(seed), 100).value())) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(WriteOutcome){};

// Guards against inferring that a write was applied or never will be when the
// opposite is or can become true, and against a repeated write that is applied
// twice.
TEST(WriteOutcome, InferredOutcomeIsCorrect)
{
  CHECK(rc::check("write outcome", [] {
    const int rows = *rc::gen::inRange(1, 4);
    for (int i = 0; i < 20; ++i) {
      RC_ASSERT(IsInferenceCorrect(InferFromAllRows, rows, *Steps()));
    }
  }));
}

// Guards against a history check that accepts wrong inferences.
TEST(WriteOutcome, CheckRejectsWrongInferences)
{
  CHECK(IsRejected(InferConflictIfIndeterminate));
  CHECK(IsRejected(InferConflictFromOneRow));
}

// Guards against treating a row that was not read as absent from the table.
TEST(WriteOutcome, MissingRowsProveNothingIfIncomplete)
{
  const Transaction own(kOwn, { { "a", 0, "x" }, { "b", 3, "y" } });
  CHECK(InferWriteOutcome(own, {}, false) == WriteOutcome::kIndeterminate);
  CHECK(InferWriteOutcome(own, { { "b", 4, "own", "y" } }, false) ==
        WriteOutcome::kApplied);
  CHECK(InferWriteOutcome(own, { { "b", 4, "other", "y" } }, false) ==
        WriteOutcome::kConflict);
  CHECK(InferWriteOutcome(own, { { "b", 5, "other", "y" } }, false) ==
        WriteOutcome::kIndeterminate);
  CHECK(InferWriteOutcome(own, { { "b", 3, "other", "y" } }, true) ==
        WriteOutcome::kNotYetApplied);
}
