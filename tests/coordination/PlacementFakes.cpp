#include "PlacementFakes.h"

#include <chrono>

namespace cornelrudder::tests {

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
  state::WorkerReply report(state::WorkerReplyStatus::kUnreachable,
                            state::MemberState::kUnknown,
                            false);
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
