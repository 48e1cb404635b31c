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

/** Workers by address; each is a model with a clock of its own. */
class FakeWorkers final : public coordination::GangWorkerPort
{
public:
  /** Runs something with the model of one worker. */
  void With(const std::string& aAddress,
            const std::function<void(tools::WorkerModel&)>& aUse);

  /** Makes a worker unreachable, or reachable again. */
  void SetCut(const std::string& aAddress, bool aCut);

  /** Journals of all workers, one after the other. */
  std::vector<tools::WorkerJournalEntry> Journal();

  /** Number of commands of a kind that were received. */
  int Count(state::WorkerAction aAction);

  void Send(const std::string& aAddress,
            const state::WorkerCommand& aCommand,
            Completion aCompletion) override;

private:
  tools::WorkerModel& ModelOf(const std::string& aAddress);

  std::mutex mMutex;
  std::map<std::string, tools::WorkerModel> mModels;
  std::map<std::string, bool> mCut;
  std::map<state::WorkerAction, int> mCounts;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_COORDINATION_PLACEMENT_FAKES_H
