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
 * Stand-ins for the workers of a fleet, each with an address of its own. They
 * run what they are told, under leases and fencing tokens, and note every
 * broken promise: two runs of a task at a time, a start after a recorded end,
 * too many accelerators in use. A task's payload tells how it behaves:
 * {"run_ms":700,"accelerators":4,"gang":3}.
 */
class WorkerStandins
{
public:
  using Clock = std::chrono::steady_clock;
  using Millis = std::chrono::milliseconds;

  WorkerStandins(transport::IoThread& aThread,
                 StoreStandin& aStore,
                 std::size_t aCount);

  /** Registers the workers and starts their clocks. */
  void Start();

  /**
   * Lets something happen to a worker.
   * @param aAction "silence" (nothing is answered, runs go on), "answer" or
   *   "restart" (all runs are lost).
   * @throws std::runtime_error for anything else.
   */
  void Do(std::size_t aWorker, const std::string& aAction);

  /** @return {"violations":[...],"started":[jobs]}. */
  nlohmann::json Journal() const;

private:
  struct Run
  {
    std::string mTask;
    std::uint64_t mRun;
    Millis mWork;
    std::int64_t mAccelerators;
    /** Tasks of the gang; 0 for a task of its own. */
    std::size_t mGang;
    Clock::time_point mStartedAt;
    /** When all members were there. */
    std::optional<Clock::time_point> mBegunAt;
    std::optional<Clock::time_point> mStopAt;
  };

  struct End
  {
    std::uint64_t mNumber;
    std::string mTask;
    std::uint64_t mRun;
    std::string mHow;
    bool mHasLapsed = false;
  };

  /** A renewal that waits for an end. */
  struct Wait
  {
    std::uint64_t mSeenEnds;
    Clock::time_point mDeadline;
    transport::HttpResponder mRespond;
  };

  struct Worker
  {
    std::string mId;
    std::string mRack;
    std::unique_ptr<transport::HttpServer> mServer;
    bool mIsSilent = false;
    std::uint64_t mBorn = 0;
    Clock::time_point mClockStart;
    std::uint64_t mEpoch = 0;
    Clock::time_point mLeaseEnd;
    std::list<Run> mRuns;
    std::list<End> mEnds;
    std::uint64_t mLastEnd = 0;
    /** Highest run of a task that was stopped or ended here. */
    std::map<std::string, std::uint64_t> mOver;
  };

  void Serve(Worker& aWorker,
             const protocol::HttpRequest& aRequest,
             const transport::HttpResponder& aRespond);
  void StartRun(Worker& aWorker,
                const nlohmann::json& aBody,
                const transport::HttpResponder& aRespond);
  void CheckStart(const Worker& aWorker, const std::string& aTask);
  void StopRun(Worker& aWorker,
               const nlohmann::json& aBody,
               const transport::HttpResponder& aRespond);
  void Hold(Worker& aWorker,
            const nlohmann::json& aBody,
            const transport::HttpResponder& aRespond);
  void Forget(Worker& aWorker, std::uint64_t aUpTo);
  void ExtendLease(Worker& aWorker, const nlohmann::json& aBody);
  nlohmann::json Report(const Worker& aWorker) const;
  nlohmann::json ClockOf(const Worker& aWorker) const;
  void Register(const Worker& aWorker);
  void Tick();
  void Advance(Worker& aWorker);
  void EndRun(Worker& aWorker, std::list<Run>::iterator aRun, std::string aHow);
  void EndGang(const std::string& aGang, std::uint64_t aRun, const char* aHow);
  std::vector<Run*> Members(const std::string& aGang, std::uint64_t aRun);
  void AnswerWaits(Worker& aWorker, bool aIsEnded);

  transport::IoThread& mThread;
  StoreStandin& mStore;
  std::vector<Worker> mWorkers;
  std::map<const Worker*, std::list<Wait>> mWaits;
  std::set<std::string> mStartedJobs;
  /** Tasks whose end as done was recorded. */
  std::set<std::string> mDone;
  std::vector<std::string> mViolations;
  int mTicks = 0;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H
