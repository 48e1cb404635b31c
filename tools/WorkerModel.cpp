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
OccupiesAccelerators(MemberState aState)
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
  /** Indexed by WorkerAction; throttling only renews the lease. */
  static constexpr std::array<Handler, state::kWorkerActionCount> kHandlers{
    &WorkerModel::Reserve, &WorkerModel::Commit, &WorkerModel::Start,
    &WorkerModel::Renew,   &WorkerModel::Stop,   &WorkerModel::Checkpoint,
    &WorkerModel::Renew
  };
  Advance(aNow);
  std::uint64_t& epoch = mEpochs[aCommand.Domain()];
  if (aCommand.Epoch() < epoch) {
    return MakeReply(Status::kFenced, nullptr);
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
      RecordEvent("finish", key, task);
    } else if (OccupiesAccelerators(task.mState) && task.mLeaseEnd <= aNow) {
      task.mState = MemberState::kExpired;
      RecordEvent("expire", key, task);
    }
  }
}

WorkerReply
WorkerModel::Reserve(const WorkerCommand& aCommand, milliseconds aNow)
{
  const TaskKey key{ aCommand.Gang(), aCommand.Member() };
  if (const Task* task = FindTask(aCommand)) {
    return MakeReply(OccupiesAccelerators(task->mState) ? Status::kAccepted
                                                        : Status::kRefused,
                     task);
  }
  const auto it = mTasks.find(key);
  const bool outdated =
    it != mTasks.end() && it->second.mAttempt > aCommand.Attempt();
  if (outdated || mLeaving || !AcceleratorsAreFree(aCommand)) {
    return MakeReply(Status::kRefused, nullptr);
  }
  if (it != mTasks.end() && OccupiesAccelerators(it->second.mState)) {
    it->second.mState = MemberState::kStopped;
    RecordEvent("stop", key, it->second);
  }
  const Task task{ aCommand.Attempt(),      aCommand.Epoch(),
                   MemberState::kReserved,  aCommand.Accelerators(),
                   aNow + aCommand.Lease(), milliseconds(0) };
  mTasks.insert_or_assign(key, task);
  RecordEvent("reserve", key, task);
  return MakeReply(Status::kAccepted, &task);
}

WorkerReply
WorkerModel::Commit(const WorkerCommand& aCommand, milliseconds aNow)
{
  Task* task = FindTask(aCommand);
  if (task != nullptr && task->mState == MemberState::kReserved) {
    task->mState = MemberState::kCommitted;
    task->mLeaseEnd = aNow + aCommand.Lease();
    RecordEvent("commit", { aCommand.Gang(), aCommand.Member() }, *task);
  }
  const bool committed =
    task != nullptr && (task->mState == MemberState::kCommitted ||
                        task->mState == MemberState::kRunning ||
                        task->mState == MemberState::kSucceeded);
  return MakeReply(committed ? Status::kAccepted : Status::kRefused, task);
}

WorkerReply
WorkerModel::Start(const WorkerCommand& aCommand, milliseconds aNow)
{
  Task* task = FindTask(aCommand);
  if (task != nullptr && task->mState == MemberState::kCommitted) {
    const TaskKey key{ aCommand.Gang(), aCommand.Member() };
    task->mState = MemberState::kRunning;
    task->mRunEnd = aNow + aCommand.ExpectedRunTime();
    RecordEvent("start", key, *task);
    if (mFailAll) {
      task->mState = MemberState::kFailed;
      RecordEvent("fail", key, *task);
    }
  }
  const bool started =
    task != nullptr && (task->mState == MemberState::kRunning ||
                        task->mState == MemberState::kSucceeded);
  return MakeReply(started ? Status::kAccepted : Status::kRefused, task);
}

WorkerReply
WorkerModel::Renew(const WorkerCommand& aCommand, milliseconds aNow)
{
  Task* task = FindTask(aCommand);
  if (task == nullptr) {
    return MakeReply(Status::kRefused, nullptr);
  }
  if (OccupiesAccelerators(task->mState)) {
    task->mLeaseEnd = std::max(task->mLeaseEnd, aNow + aCommand.Lease());
    return MakeReply(Status::kAccepted, task);
  }
  return MakeReply(task->mState == MemberState::kSucceeded ? Status::kAccepted
                                                           : Status::kRefused,
                   task);
}

WorkerReply
WorkerModel::Stop(const WorkerCommand& aCommand, milliseconds /*aNow*/)
{
  const TaskKey key{ aCommand.Gang(), aCommand.Member() };
  const auto it = mTasks.find(key);
  if (it == mTasks.end() || it->second.mAttempt < aCommand.Attempt()) {
    if (it != mTasks.end() && OccupiesAccelerators(it->second.mState)) {
      RecordEvent("stop", key, it->second);
    }
    // Recorded, so that a reservation of this attempt that arrives after the
    // stop is refused.
    const Task task{ aCommand.Attempt(),    aCommand.Epoch(),
                     MemberState::kStopped, {},
                     milliseconds(0),       milliseconds(0) };
    mTasks.insert_or_assign(key, task);
    return MakeReply(Status::kAccepted, &task);
  }
  Task* task = FindTask(aCommand);
  if (task != nullptr && OccupiesAccelerators(task->mState)) {
    task->mState = MemberState::kStopped;
    RecordEvent("stop", key, *task);
  }
  return MakeReply(Status::kAccepted, task);
}

WorkerReply
WorkerModel::Checkpoint(const WorkerCommand& aCommand, milliseconds /*aNow*/)
{
  const Task* task = FindTask(aCommand);
  const bool running = task != nullptr && task->mState == MemberState::kRunning;
  if (running) {
    RecordEvent("checkpoint", { aCommand.Gang(), aCommand.Member() }, *task);
  }
  return MakeReply(running ? Status::kAccepted : Status::kRefused, task);
}

WorkerModel::Task*
WorkerModel::FindTask(const WorkerCommand& aCommand)
{
  const auto it = mTasks.find({ aCommand.Gang(), aCommand.Member() });
  const bool known =
    it != mTasks.end() && it->second.mAttempt == aCommand.Attempt();
  return known ? &it->second : nullptr;
}

bool
WorkerModel::AcceleratorsAreFree(const WorkerCommand& aCommand) const
{
  const auto& wanted = aCommand.Accelerators();
  const bool exist =
    std::all_of(wanted.begin(), wanted.end(), [this](int aIndex) {
      return aIndex < mAccelerators;
    });
  const TaskKey own{ aCommand.Gang(), aCommand.Member() };
  return exist &&
         std::none_of(mTasks.begin(), mTasks.end(), [&](const auto& aEntry) {
           return aEntry.first != own &&
                  OccupiesAccelerators(aEntry.second.mState) &&
                  Overlap(aEntry.second.mAccelerators, wanted);
         });
}

void
WorkerModel::RecordEvent(const std::string& aEvent,
                         const TaskKey& aKey,
                         const Task& aTask)
{
  mJournal.push_back(
    { aEvent, aKey.first, aTask.mAttempt, aKey.second, aTask.mEpoch, mNow });
}

WorkerReply
WorkerModel::MakeReply(Status aStatus, const Task* aTask) const
{
  return { aStatus,
           aTask != nullptr ? aTask->mState : MemberState::kUnknown,
           mLeaving };
}

} // namespace cornelrudder::tools
