#include "cornelrudder/state/WriteOutcome.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include <rapidcheck.h>

using namespace cornelrudder::state;

namespace {

const std::string kOwn = "own";

/** A table of which no row is ever deleted. */
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

/** A write of another client to some rows at their current versions. */
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

using Judge = WriteOutcome (*)(const Transaction&,
                               const std::vector<StoreRow>&);

WriteOutcome
JudgeComplete(const Transaction& aWrite, const std::vector<StoreRow>& aRows)
{
  return InferWriteOutcome(aWrite, aRows, true);
}

/** Takes each row with another write id for proof of a conflict. */
WriteOutcome
JudgeRashly(const Transaction& aWrite, const std::vector<StoreRow>& aRows)
{
  const WriteOutcome outcome = JudgeComplete(aWrite, aRows);
  return outcome == WriteOutcome::kIndeterminate ? WriteOutcome::kConflict
                                                 : outcome;
}

/** Takes one row at its expected version for proof of an open outcome. */
WriteOutcome
JudgeByOneRow(const Transaction& aWrite, const std::vector<StoreRow>& aRows)
{
  for (const RowWrite& write : aWrite.Writes()) {
    for (const StoreRow& row : aRows) {
      if (row.Key() == write.Key() &&
          row.Version() == write.ExpectedVersion()) {
        return WriteOutcome::kConflict;
      }
    }
  }
  return JudgeComplete(aWrite, aRows);
}

/**
 * A history: others write before, between and after the reads of the rows,
 * and the own transaction arrives at some instant, twice, or never. Each
 * element of aSteps is one event; its low bits choose which.
 * @return Whether what the reads were taken to say was true, also for the
 *   copies that arrived afterwards.
 */
bool
IsTruthful(Judge aJudge, int aRows, const std::vector<int>& aSteps)
{
  Table table;
  std::vector<RowWrite> writes;
  for (int i = 0; i < aRows; ++i) {
    writes.emplace_back(KeyOf(i), 0, "own value");
  }
  const Transaction own(kOwn, writes);
  std::vector<StoreRow> read;
  int applied = 0;
  bool appliedWhenJudged = false;
  WriteOutcome outcome = WriteOutcome::kIndeterminate;
  bool judged = false;
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    const int kind = aSteps[i] % 4;
    if (kind == 0) {
      applied += table.Apply(own) ? 1 : 0;
    } else if (kind == 1) {
      table.Apply(OtherWrite(table, aSteps[i] / 4, aRows, static_cast<int>(i)));
    } else if (static_cast<int>(read.size()) < aRows) {
      read.push_back(table.Read(KeyOf(static_cast<int>(read.size()))));
    } else if (!judged) {
      judged = true;
      appliedWhenJudged = applied > 0;
      outcome = aJudge(own, read);
    }
  }
  const bool truthful =
    !judged || (outcome != WriteOutcome::kApplied || appliedWhenJudged);
  const bool final = outcome != WriteOutcome::kConflict || applied == 0;
  return applied <= 1 && truthful && final;
}

rc::Gen<std::vector<int>>
Steps()
{
  return rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 32));
}

bool
IsRejected(Judge aJudge)
{
  const auto steps = Steps();
  for (std::uint64_t seed = 0; seed < 20'000; ++seed) {
    if (!IsTruthful(aJudge, 2, steps(rc::Random(seed), 100).value())) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(WriteOutcome){};

// Guards against calling a write done or refused when the opposite is true or
// can still become true, and against two effects of a repeated write.
TEST(WriteOutcome, WhatReadsSayIsTrue)
{
  CHECK(rc::check("write fate", [] {
    const int rows = *rc::gen::inRange(1, 4);
    for (int i = 0; i < 20; ++i) {
      RC_ASSERT(IsTruthful(JudgeComplete, rows, *Steps()));
    }
  }));
}

// Guards against a history check that accepts everything.
TEST(WriteOutcome, CheckRejectsRashJudgements)
{
  CHECK(IsRejected(JudgeRashly));
  CHECK(IsRejected(JudgeByOneRow));
}

// Guards against a read row that is missing from an incomplete list being
// taken for absent.
TEST(WriteOutcome, RowsThatWereNotReadSayNothing)
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
