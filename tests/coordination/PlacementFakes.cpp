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
FakeWorkers::UseModel(const std::string& aAddress,
                      const std::function<void(tools::WorkerModel&)>& aFunction)
{
  const std::lock_guard lock(mMutex);
  aFunction(ModelOf(aAddress));
}

void
FakeWorkers::SetUnreachable(const std::string& aAddress, bool aUnreachable)
{
  const std::lock_guard lock(mMutex);
  mUnreachable[aAddress] = aUnreachable;
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
FakeWorkers::CommandCount(state::WorkerAction aAction)
{
  const std::lock_guard lock(mMutex);
  return mCommandCounts[aAction];
}

void
FakeWorkers::Send(const std::string& aAddress,
                  const state::WorkerCommand& aCommand,
                  Completion aCompletion)
{
  state::WorkerReply reply(state::WorkerReplyStatus::kUnreachable,
                           state::MemberState::kUnknown,
                           false);
  {
    const std::lock_guard lock(mMutex);
    if (!mUnreachable[aAddress]) {
      ++mCommandCounts[aCommand.Action()];
      reply = ModelOf(aAddress).Handle(aCommand, Now());
    }
  }
  aCompletion(reply);
}

tools::WorkerModel&
FakeWorkers::ModelOf(const std::string& aAddress)
{
  return mModels.try_emplace(aAddress, kAccelerators).first->second;
}

} // namespace cornelrudder::tests
