#include "WorkerModel.h"

#include <algorithm>
#include <array>

namespace cornelrudder::tools {

using state::MemberState;
using state::WorkerCommand;
using state::WorkerReply;
using std::chrono::milliseconds;

namespace {

bool
Holds(MemberState aState)
{
  return aState == MemberState::kReserved ||
         aState == MemberState::kCommitted || aState == MemberState::kRunning;
}

bool
Overlap(const std::vector<int>& aLeft, const std::vector<int>& aRight)
{
  return std::any_of(aLeft.begin(), aLeft.end(), [&aRight](int aIndex) {
    return std::find(aRight.begin(), aRight.end(), aIndex) != aRight.end();
  });
}

} // namespace

WorkerReply
WorkerModel::Handle(const WorkerCommand& aCommand, milliseconds aNow)
{
  using Handler =
    WorkerReply (WorkerModel::*)(const WorkerCommand&, milliseconds);
  /** Indexed by WorkerAction; throttling has no effect on the stand-in. */
  static constexpr std::array<Handler, state::kWorkerActionCount> kHandlers{
    &WorkerModel::Reserve, &WorkerModel::Commit, &WorkerModel::Start,
    &WorkerModel::Renew,   &WorkerModel::Stop,   &WorkerModel::Checkpoint,
    &WorkerModel::Renew
  };
  Advance(aNow);
  std::uint64_t& epoch = mEpochs[aCommand.Domain()];
  if (aCommand.Epoch() < epoch) {
    return Answer(Status::kFenced, nullptr);
  }
  epoch = aCommand.Epoch();
  const auto action = static_cast<std::size_t>(aCommand.Action());
  return (this->*kHandlers.at(action))(aCommand, aNow);
}

void
WorkerModel::Advance(milliseconds aNow)
{
  mNow = aNow;
  for (auto& [key, task] : mTasks) {
    const bool finishes = task.mState == MemberState::kRunning &&
                          task.mRunEnd <= aNow &&
                          task.mRunEnd <= task.mLeaseEnd;
    if (finishes) {
      task.mState = MemberState::kSucceeded;
      Write("finish", key, task);
    } else if (Holds(task.mState) && task.mLeaseEnd <= aNow) {
      task.mState = MemberState::kExpired;
      Write("expire", key, task);
    }
  }
}

WorkerReply
WorkerModel::Reserve(const WorkerCommand& aCommand, milliseconds aNow)
{
  const TaskKey key{ aCommand.Gang(), aCommand.Member() };
  if (const Task* task = Find(aCommand)) {
    return Answer(Holds(task->mState) ? Status::kAccepted : Status::kRefused,
                  task);
  }
  const auto it = mTasks.find(key);
  const bool outdated =
    it != mTasks.end() && it->second.mAttempt > aCommand.Attempt();
  if (outdated || mLeaving || !AreFree(aCommand)) {
    return Answer(Status::kRefused, nullptr);
  }
  if (it != mTasks.end() && Holds(it->second.mState)) {
    it->second.mState = MemberState::kStopped;
    Write("stop", key, it->second);
  }
  const Task task{ aCommand.Attempt(),      aCommand.Epoch(),
                   MemberState::kReserved,  aCommand.Accelerators(),
                   aNow + aCommand.Lease(), milliseconds(0) };
  mTasks.insert_or_assign(key, task);
  Write("reserve", key, task);
  return Answer(Status::kAccepted, &task);
}

WorkerReply
WorkerModel::Commit(const WorkerCommand& aCommand, milliseconds aNow)
{
  Task* task = Find(aCommand);
  if (task != nullptr && task->mState == MemberState::kReserved) {
    task->mState = MemberState::kCommitted;
    task->mLeaseEnd = aNow + aCommand.Lease();
    Write("commit", { aCommand.Gang(), aCommand.Member() }, *task);
  }
  const bool committed =
    task != nullptr && (task->mState == MemberState::kCommitted ||
                        task->mState == MemberState::kRunning ||
                        task->mState == MemberState::kSucceeded);
  return Answer(committed ? Status::kAccepted : Status::kRefused, task);
}

WorkerReply
WorkerModel::Start(const WorkerCommand& aCommand, milliseconds aNow)
{
  Task* task = Find(aCommand);
  if (task != nullptr && task->mState == MemberState::kCommitted) {
    const TaskKey key{ aCommand.Gang(), aCommand.Member() };
    task->mState = MemberState::kRunning;
    task->mRunEnd = aNow + aCommand.ExpectedRunTime();
    Write("start", key, *task);
    if (mFailAll) {
      task->mState = MemberState::kFailed;
      Write("fail", key, *task);
    }
  }
  const bool started =
    task != nullptr && (task->mState == MemberState::kRunning ||
                        task->mState == MemberState::kSucceeded);
  return Answer(started ? Status::kAccepted : Status::kRefused, task);
}

WorkerReply
WorkerModel::Renew(const WorkerCommand& aCommand, milliseconds aNow)
{
  Task* task = Find(aCommand);
  if (task == nullptr) {
    return Answer(Status::kRefused, nullptr);
  }
  if (Holds(task->mState)) {
    task->mLeaseEnd = std::max(task->mLeaseEnd, aNow + aCommand.Lease());
    return Answer(Status::kAccepted, task);
  }
  return Answer(task->mState == MemberState::kSucceeded ? Status::kAccepted
                                                        : Status::kRefused,
                task);
}

WorkerReply
WorkerModel::Stop(const WorkerCommand& aCommand, milliseconds /*aNow*/)
{
  const TaskKey key{ aCommand.Gang(), aCommand.Member() };
  const auto it = mTasks.find(key);
  if (it == mTasks.end() || it->second.mAttempt < aCommand.Attempt()) {
    if (it != mTasks.end() && Holds(it->second.mState)) {
      Write("stop", key, it->second);
    }
    // Remembered, so that a reservation that was overtaken is refused.
    const Task task{ aCommand.Attempt(),    aCommand.Epoch(),
                     MemberState::kStopped, {},
                     milliseconds(0),       milliseconds(0) };
    mTasks.insert_or_assign(key, task);
    return Answer(Status::kAccepted, &task);
  }
  Task* task = Find(aCommand);
  if (task != nullptr && Holds(task->mState)) {
    task->mState = MemberState::kStopped;
    Write("stop", key, *task);
  }
  return Answer(Status::kAccepted, task);
}

WorkerReply
WorkerModel::Checkpoint(const WorkerCommand& aCommand, milliseconds /*aNow*/)
{
  const Task* task = Find(aCommand);
  const bool running = task != nullptr && task->mState == MemberState::kRunning;
  if (running) {
    Write("checkpoint", { aCommand.Gang(), aCommand.Member() }, *task);
  }
  return Answer(running ? Status::kAccepted : Status::kRefused, task);
}

WorkerModel::Task*
WorkerModel::Find(const WorkerCommand& aCommand)
{
  const auto it = mTasks.find({ aCommand.Gang(), aCommand.Member() });
  const bool known =
    it != mTasks.end() && it->second.mAttempt == aCommand.Attempt();
  return known ? &it->second : nullptr;
}

bool
WorkerModel::AreFree(const WorkerCommand& aCommand) const
{
  const auto& wanted = aCommand.Accelerators();
  const bool exist =
    std::all_of(wanted.begin(), wanted.end(), [this](int aIndex) {
      return aIndex < mAccelerators;
    });
  const TaskKey own{ aCommand.Gang(), aCommand.Member() };
  return exist &&
         std::none_of(mTasks.begin(), mTasks.end(), [&](const auto& aEntry) {
           return aEntry.first != own && Holds(aEntry.second.mState) &&
                  Overlap(aEntry.second.mAccelerators, wanted);
         });
}

void
WorkerModel::Write(const std::string& aEvent,
                   const TaskKey& aKey,
                   const Task& aTask)
{
  mJournal.push_back(
    { aEvent, aKey.first, aTask.mAttempt, aKey.second, aTask.mEpoch, mNow });
}

WorkerReply
WorkerModel::Answer(Status aStatus, const Task* aTask) const
{
  return { aStatus,
           aTask != nullptr ? aTask->mState : MemberState::kUnknown,
           mLeaving };
}

} // namespace cornelrudder::tools
