#include "PlacementFakes.h"

#include <chrono>

namespace cornelrudder::tests {

using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;

namespace {

constexpr int kAccelerators = 8;

std::chrono::milliseconds
Now()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

void
FakeTable::SetFault(Fault aFault)
{
  const std::lock_guard lock(mMutex);
  mFault = aFault;
}

std::vector<StoreRow>
FakeTable::Rows() const
{
  const std::lock_guard lock(mMutex);
  std::vector<StoreRow> rows;
  for (const auto& [key, row] : mRows) {
    rows.push_back(row);
  }
  return rows;
}

void
FakeTable::ReadRow(const std::string& aKey, Completion aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    if (mFault == Fault::kNone || mFault == Fault::kLoseAnswers) {
      const auto it = mRows.find(aKey);
      result = it != mRows.end() ? StoreResult(StoreStatus::kOk, { it->second })
                                 : StoreResult(StoreStatus::kOk, {});
    }
  }
  aCompletion(std::move(result));
}

void
FakeTable::ListRows(const std::string& aPrefix, Completion aCompletion)
{
  StoreResult result(StoreStatus::kUnavailable, {});
  {
    const std::lock_guard lock(mMutex);
    if (mFault == Fault::kNone || mFault == Fault::kLoseAnswers) {
      std::vector<StoreRow> rows;
      for (const auto& [key, row] : mRows) {
        if (key.starts_with(aPrefix)) {
          rows.push_back(row);
        }
      }
      result = StoreResult(StoreStatus::kOk, std::move(rows));
    }
  }
  aCompletion(std::move(result));
}

void
FakeTable::Transact(const state::Transaction& aTransaction,
                    Completion aCompletion)
{
  StoreResult result(StoreStatus::kUnknown, {});
  {
    const std::lock_guard lock(mMutex);
    if (mFault == Fault::kUnavailable) {
      result = StoreResult(StoreStatus::kUnavailable, {});
    } else if (mFault == Fault::kLoseAnswers) {
      Commit(aTransaction);
    } else if (mFault == Fault::kNone) {
      result = Commit(aTransaction);
    }
  }
  aCompletion(std::move(result));
}

StoreResult
FakeTable::Commit(const state::Transaction& aTransaction)
{
  std::vector<StoreRow> written;
  std::vector<StoreRow> conflicts;
  for (const state::RowWrite& write : aTransaction.Writes()) {
    const auto it = mRows.find(write.Key());
    const StoreRow row =
      it != mRows.end() ? it->second : StoreRow(write.Key(), 0, "", "");
    if (row.Version() != write.ExpectedVersion()) {
      conflicts.push_back(row);
    }
    written.emplace_back(write.Key(),
                         row.Version() + 1,
                         aTransaction.WriteId(),
                         write.Value().value_or(""));
  }
  if (!conflicts.empty()) {
    return { StoreStatus::kConflict, std::move(conflicts) };
  }
  for (const StoreRow& row : written) {
    mRows.insert_or_assign(row.Key(), row);
  }
  return { StoreStatus::kOk, std::move(written) };
}

void
FakeWorkers::With(const std::string& aAddress,
                  const std::function<void(tools::WorkerModel&)>& aUse)
{
  const std::lock_guard lock(mMutex);
  aUse(ModelOf(aAddress));
}

void
FakeWorkers::SetCut(const std::string& aAddress, bool aCut)
{
  const std::lock_guard lock(mMutex);
  mCut[aAddress] = aCut;
}

std::vector<tools::WorkerJournalEntry>
FakeWorkers::Journal()
{
  const std::lock_guard lock(mMutex);
  std::vector<tools::WorkerJournalEntry> entries;
  for (auto& [address, model] : mModels) {
    model.Advance(Now());
    entries.insert(
      entries.end(), model.Journal().begin(), model.Journal().end());
  }
  return entries;
}

int
FakeWorkers::Count(state::WorkerAction aAction)
{
  const std::lock_guard lock(mMutex);
  return mCounts[aAction];
}

void
FakeWorkers::Send(const std::string& aAddress,
                  const state::WorkerCommand& aCommand,
                  Completion aCompletion)
{
  state::WorkerReport report(
    state::WorkerStatus::kUnreachable, state::MemberState::kUnknown, false);
  {
    const std::lock_guard lock(mMutex);
    if (!mCut[aAddress]) {
      ++mCounts[aCommand.Action()];
      report = ModelOf(aAddress).Handle(aCommand, Now());
    }
  }
  aCompletion(report);
}

tools::WorkerModel&
FakeWorkers::ModelOf(const std::string& aAddress)
{
  return mModels.try_emplace(aAddress, kAccelerators).first->second;
}

} // namespace cornelrudder::tests
