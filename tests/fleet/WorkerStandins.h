#ifndef CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H
#define CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H

#include "StoreStandin.h"
#include "cornelrudder/transport/HttpServer.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cornelrudder::tests {

/**
 * Stand-ins for the workers of a fleet, each with its own address. They run
 * tasks under leases and fencing tokens and record each violation: two
 * concurrent runs of a task, a start after completion was acknowledged, or more
 * accelerators in use than a worker has. The payload of a task sets its run
 * time, accelerators and gang size: {"run_ms":700,"accelerators":4,"gang":3}.
 */
class WorkerStandins
{
public:
  using Clock = std::chrono::steady_clock;
  using Millis = std::chrono::milliseconds;

  WorkerStandins(transport::IoThread& aThread,
                 StoreStandin& aStore,
                 std::size_t aCount);

  /** Registers the workers and starts the periodic tick. */
  void Start();

  /**
   * Injects or clears a fault of a worker.
   * @param aAction "silence" (requests get no response, runs continue),
   *   "answer" (ends the silence) or "restart" (all runs are lost).
   * @throws std::runtime_error for any other action.
   */
  void ApplyAction(std::size_t aWorker, const std::string& aAction);

  /** @return {"violations":[...],"started":[jobs]}. */
  nlohmann::json Journal() const;

private:
  struct Run
  {
    std::string mTask;
    std::uint64_t mRun;
    Millis mWorkDuration;
    std::int64_t mAccelerators;
    /** Number of tasks in the gang; 0 if the task has no gang. */
    std::size_t mGangSize;
    Clock::time_point mStartedAt;
    /** Set when all members of the gang have started. */
    std::optional<Clock::time_point> mWorkStartedAt;
    std::optional<Clock::time_point> mStopAt;
  };

  struct RunResult
  {
    std::uint64_t mNumber;
    std::string mTask;
    std::uint64_t mRun;
    std::string mOutcome;
    bool mHasLapsed = false;
  };

  /** A lease renewal that waits for a run to finish or for its deadline. */
  struct PendingRenewal
  {
    std::uint64_t mKnownResultNumber;
    Clock::time_point mDeadline;
    transport::HttpResponder mRespond;
  };

  struct Worker
  {
    std::string mId;
    std::string mRack;
    std::unique_ptr<transport::HttpServer> mServer;
    bool mIsSilent = false;
    std::uint64_t mIncarnation = 0;
    Clock::time_point mClockStart;
    std::uint64_t mEpoch = 0;
    Clock::time_point mLeaseExpiry;
    std::list<Run> mRuns;
    std::list<RunResult> mResults;
    std::uint64_t mLastResultNumber = 0;
    /** By task: highest run number that was stopped or finished here. */
    std::map<std::string, std::uint64_t> mHighestEndedRuns;
  };

  void Serve(Worker& aWorker,
             const protocol::HttpRequest& aRequest,
             const transport::HttpResponder& aRespond);
  void StartRun(Worker& aWorker,
                const nlohmann::json& aBody,
                const transport::HttpResponder& aRespond);
  void RecordStartViolations(const Worker& aWorker, const std::string& aTask);
  void StopRun(Worker& aWorker,
               const nlohmann::json& aBody,
               const transport::HttpResponder& aRespond);
  void RenewLease(Worker& aWorker,
                  const nlohmann::json& aBody,
                  const transport::HttpResponder& aRespond);
  void AcknowledgeResults(Worker& aWorker, std::uint64_t aUpTo);
  void ExtendLease(Worker& aWorker, const nlohmann::json& aBody);
  nlohmann::json Report(const Worker& aWorker) const;
  nlohmann::json ClockMs(const Worker& aWorker) const;
  void Register(const Worker& aWorker);
  void Tick();
  void Advance(Worker& aWorker);
  void FinishRun(Worker& aWorker,
                 std::list<Run>::iterator aRun,
                 std::string aOutcome);
  void FinishGang(const std::string& aGang,
                  std::uint64_t aRun,
                  const char* aOutcome);
  std::vector<Run*> GangMembers(const std::string& aGang, std::uint64_t aRun);
  void RespondToRenewals(Worker& aWorker, bool aRespondToAll);

  transport::IoThread& mThread;
  StoreStandin& mStore;
  std::vector<Worker> mWorkers;
  std::map<const Worker*, std::list<PendingRenewal>> mPendingRenewals;
  std::set<std::string> mStartedJobs;
  /** Tasks whose completion was acknowledged before the lease expired. */
  std::set<std::string> mDoneTasks;
  std::vector<std::string> mViolations;
  int mTicks = 0;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H
