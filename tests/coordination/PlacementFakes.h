#ifndef CORNELRUDDER_TESTS_COORDINATION_PLACEMENT_FAKES_H
#define CORNELRUDDER_TESTS_COORDINATION_PLACEMENT_FAKES_H

#include "WorkerModel.h"
#include "coordination/FakeTable.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/GangWorkerPort.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelrudder::tests {

class SilentLog final : public coordination::EventLog
{
public:
  void Write(const coordination::LogRecord& /*aRecord*/) override {}
};

/** Simulated workers by address; safe to use from several threads. */
class FakeWorkers final : public coordination::GangWorkerPort
{
public:
  /** Calls a function with the model of one worker, under the lock. */
  void UseModel(const std::string& aAddress,
                const std::function<void(tools::WorkerModel&)>& aFunction);

  /** Makes a worker unreachable, or reachable again. */
  void SetUnreachable(const std::string& aAddress, bool aUnreachable);

  /** @return The concatenated journals of all workers. */
  std::vector<tools::WorkerJournalEntry> Journal();

  /** @return Number of commands of one kind that reached a worker. */
  int CommandCount(state::WorkerAction aAction);

  void Send(const std::string& aAddress,
            const state::WorkerCommand& aCommand,
            Completion aCompletion) override;

private:
  tools::WorkerModel& ModelOf(const std::string& aAddress);

  std::mutex mMutex;
  std::map<std::string, tools::WorkerModel> mModels;
  std::map<std::string, bool> mUnreachable;
  std::map<state::WorkerAction, int> mCommandCounts;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_COORDINATION_PLACEMENT_FAKES_H
