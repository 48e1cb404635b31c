#ifndef CORNELRUDDER_TOOLS_WORKER_MODEL_H
#define CORNELRUDDER_TOOLS_WORKER_MODEL_H

#include "cornelrudder/state/WorkerExchange.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::tools {

/** Something that a worker did for a member, in order. */
struct WorkerJournalEntry
{
  /** reserve, commit, start, finish, fail, checkpoint, stop or expire. */
  std::string mEvent;
  state::JobId mGang;
  std::uint32_t mAttempt;
  int mMember;
  std::uint64_t mEpoch;
  /** When the worker noticed it, on its own clock. */
  std::chrono::milliseconds mAt;

  auto operator<=>(const WorkerJournalEntry&) const = default;
};

/**
 * What a worker does, without sockets or a clock: it fences by epoch, holds
 * accelerators under leases and runs tasks for their expected time. Used by
 * the stand-in and as the fake of the state layer's tests.
 */
class WorkerModel
{
public:
  explicit WorkerModel(int aAccelerators)
    : mAccelerators(aAccelerators)
  {
  }

  /** Whether each task fails when it starts. */
  void SetFailAll(bool aFailAll) { mFailAll = aFailAll; }

  /** Whether new reservations are refused. */
  void SetLeaving(bool aLeaving) { mLeaving = aLeaving; }

  state::WorkerReply Handle(const state::WorkerCommand& aCommand,
                            std::chrono::milliseconds aNow);

  /** Ends tasks whose time is over and leases that have run out. */
  void Advance(std::chrono::milliseconds aNow);

  const std::vector<WorkerJournalEntry>& Journal() const { return mJournal; }

  /** One member that the worker knows of. */
  struct Task
  {
    std::uint32_t mAttempt;
    std::uint64_t mEpoch;
    state::MemberState mState;
    std::vector<int> mAccelerators;
    std::chrono::milliseconds mLeaseEnd;
    std::chrono::milliseconds mRunEnd;
  };

  using TaskKey = std::pair<state::JobId, int>;

  const std::map<TaskKey, Task>& Tasks() const { return mTasks; }

private:
  using Status = state::WorkerReplyStatus;

  state::WorkerReply Reserve(const state::WorkerCommand& aCommand,
                             std::chrono::milliseconds aNow);
  state::WorkerReply Commit(const state::WorkerCommand& aCommand,
                            std::chrono::milliseconds aNow);
  state::WorkerReply Start(const state::WorkerCommand& aCommand,
                           std::chrono::milliseconds aNow);
  state::WorkerReply Renew(const state::WorkerCommand& aCommand,
                           std::chrono::milliseconds aNow);
  state::WorkerReply Stop(const state::WorkerCommand& aCommand,
                          std::chrono::milliseconds aNow);
  state::WorkerReply Checkpoint(const state::WorkerCommand& aCommand,
                                std::chrono::milliseconds aNow);

  Task* Find(const state::WorkerCommand& aCommand);
  bool AreFree(const state::WorkerCommand& aCommand) const;
  void Write(const std::string& aEvent, const TaskKey& aKey, const Task& aTask);
  state::WorkerReply Answer(Status aStatus, const Task* aTask) const;

  int mAccelerators;
  bool mFailAll = false;
  bool mLeaving = false;
  std::map<state::RegionId, std::uint64_t> mEpochs;
  std::map<TaskKey, Task> mTasks;
  std::vector<WorkerJournalEntry> mJournal;
  std::chrono::milliseconds mNow{ 0 };
};

} // namespace cornelrudder::tools

#endif // CORNELRUDDER_TOOLS_WORKER_MODEL_H
