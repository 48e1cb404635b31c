#include "coordination/FakeTable.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace cornelrudder::tests {

using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;

void
FakeTable::ReadRow(const std::string& aKey, Completion aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    ++mReads;
    if (IsReadable()) {
      const auto it = mRows.find(aKey);
      result = it != mRows.end() ? StoreResult(StoreStatus::kOk, { it->second })
                                 : StoreResult(StoreStatus::kOk, {});
    }
  }
  aCompletion(result);
}

void
FakeTable::ListRows(const std::string& aPrefix, Completion aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    ++mReads;
    std::vector<StoreRow> rows;
    for (const auto& [key, row] : mRows) {
      if (key.starts_with(aPrefix)) {
        rows.push_back(row);
      }
    }
    if (IsReadable()) {
      result = StoreResult(StoreStatus::kOk, std::move(rows));
    }
  }
  aCompletion(result);
}

void
FakeTable::Transact(const state::Transaction& aTransaction,
                    Completion aCompletion)
{
  std::function<void(const state::Transaction&)> hook;
  {
    const std::lock_guard lock(mMutex);
    hook = mBeforeWrite;
  }
  if (hook) {
    hook(aTransaction);
  }
  StoreResult result(StoreStatus::kOutcomeUnknown, {});
  {
    const std::lock_guard lock(mMutex);
    ++mWrites;
    const TableFault fault = mFaultsLeft > 0 ? mFault : TableFault::kNone;
    mFaultsLeft = std::max(0, mFaultsLeft - 1);
    if (mMode == TableMode::kUnavailable || fault == TableFault::kNotSent) {
      result = StoreResult(StoreStatus::kUnavailable, {});
    } else if (mMode == TableMode::kLoseResponses ||
               fault == TableFault::kAnswerLost) {
      Apply(aTransaction);
    } else if (fault == TableFault::kLate) {
      mLate.push_back(aTransaction);
    } else if (fault == TableFault::kNone && mMode == TableMode::kNormal) {
      result = Apply(aTransaction);
    }
  }
  aCompletion(result);
}

void
FakeTable::FailWrites(TableFault aFault, int aCount)
{
  const std::lock_guard lock(mMutex);
  mFault = aFault;
  mFaultsLeft = aCount;
}

void
FakeTable::SetMode(TableMode aMode)
{
  const std::lock_guard lock(mMutex);
  mMode = aMode;
}

void
FakeTable::DeliverLate()
{
  const std::lock_guard lock(mMutex);
  for (const state::Transaction& transaction : mLate) {
    Apply(transaction);
  }
  mLate.clear();
}

void
FakeTable::SetBeforeWrite(std::function<void(const state::Transaction&)> aHook)
{
  const std::lock_guard lock(mMutex);
  mBeforeWrite = std::move(aHook);
}

void
FakeTable::Put(const std::string& aKey,
               const std::string& aValue,
               const std::string& aWriteId)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRows.find(aKey);
  const std::uint64_t version = it != mRows.end() ? it->second.Version() : 0;
  mRows.insert_or_assign(aKey, StoreRow(aKey, version + 1, aWriteId, aValue));
}

std::optional<StoreRow>
FakeTable::Row(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRows.find(aKey);
  return it != mRows.end() ? std::optional(it->second) : std::nullopt;
}

std::vector<StoreRow>
FakeTable::Rows()
{
  const std::lock_guard lock(mMutex);
  std::vector<StoreRow> rows;
  for (const auto& [key, row] : mRows) {
    rows.push_back(row);
  }
  return rows;
}

int
FakeTable::Reads()
{
  const std::lock_guard lock(mMutex);
  return mReads;
}

int
FakeTable::Writes()
{
  const std::lock_guard lock(mMutex);
  return mWrites;
}

StoreResult
FakeTable::Apply(const state::Transaction& aTransaction)
{
  std::vector<StoreRow> conflicts;
  std::vector<StoreRow> written;
  for (const state::RowWrite& write : aTransaction.Writes()) {
    const auto it = mRows.find(write.Key());
    const StoreRow row =
      it != mRows.end() ? it->second : StoreRow(write.Key(), 0, "", "");
    if (row.Version() != write.ExpectedVersion()) {
      conflicts.push_back(row);
    }
  }
  if (!conflicts.empty()) {
    return { StoreStatus::kConflict, std::move(conflicts) };
  }
  for (const state::RowWrite& write : aTransaction.Writes()) {
    if (!write.Value()) {
      mRows.erase(write.Key());
      written.emplace_back(write.Key(), 0, "", "");
      continue;
    }
    written.emplace_back(write.Key(),
                         write.ExpectedVersion() + 1,
                         aTransaction.WriteId(),
                         *write.Value());
    mRows.insert_or_assign(write.Key(), written.back());
  }
  return { StoreStatus::kOk, std::move(written) };
}

void
FakeLog::Write(const coordination::LogRecord& aRecord)
{
  const std::lock_guard lock(mMutex);
  mRecords.push_back(aRecord);
}

int
FakeLog::Count(coordination::LogEvent aEvent)
{
  const std::lock_guard lock(mMutex);
  return static_cast<int>(std::count_if(
    mRecords.begin(), mRecords.end(), [aEvent](const auto& aRecord) {
      return aRecord.Event() == aEvent;
    }));
}

std::string
FakeLog::LastField(coordination::LogEvent aEvent, const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  std::string value;
  for (const coordination::LogRecord& record : mRecords) {
    if (record.Event() == aEvent) {
      value.clear();
      for (const auto& [name, text] : record.AllFields()) {
        value = name == aName ? text : value;
      }
    }
  }
  return value;
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr std::chrono::milliseconds kPause{ 2 };
  constexpr int kAttempts = 30'000;
  for (int i = 0; i < kAttempts; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

} // namespace cornelrudder::tests
