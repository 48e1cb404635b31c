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

/** One action of a worker for a gang member. */
struct WorkerJournalEntry
{
  /** reserve, commit, start, finish, fail, checkpoint, stop or expire. */
  std::string mEvent;
  state::JobId mGang;
  std::uint32_t mAttempt;
  int mMember;
  std::uint64_t mEpoch;
  /** When the worker processed the event, on its own clock. */
  std::chrono::milliseconds mAt;

  auto operator<=>(const WorkerJournalEntry&) const = default;
};

/**
 * Behaviour of a worker without sockets or a clock: fences commands by epoch,
 * leases accelerators to tasks and runs tasks for their expected time. Used by
 * the worker stand-in and by tests.
 */
class WorkerModel
{
public:
  explicit WorkerModel(int aAccelerators)
    : mAccelerators(aAccelerators)
  {
  }

  /** @param aFailAll Whether each task fails as soon as it starts. */
  void SetFailAll(bool aFailAll) { mFailAll = aFailAll; }

  /** @param aLeaving Whether to refuse new reservations. */
  void SetLeaving(bool aLeaving) { mLeaving = aLeaving; }

  /** Executes a command after advancing to aNow, the worker's clock. */
  state::WorkerReply Handle(const state::WorkerCommand& aCommand,
                            std::chrono::milliseconds aNow);

  /** Completes tasks whose run time is over and expires leases. */
  void Advance(std::chrono::milliseconds aNow);

  const std::vector<WorkerJournalEntry>& Journal() const { return mJournal; }

  /** The latest attempt of a gang member on this worker. */
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

  Task* FindTask(const state::WorkerCommand& aCommand);
  bool AcceleratorsAreFree(const state::WorkerCommand& aCommand) const;
  void RecordEvent(const std::string& aEvent,
                   const TaskKey& aKey,
                   const Task& aTask);
  state::WorkerReply MakeReply(Status aStatus, const Task* aTask) const;

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
