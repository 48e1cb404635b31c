#ifndef CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H
#define CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H

#include "CrashChecker.h"
#include "EvacuationChecker.h"
#include "PairChecker.h"
#include "ProgressChecker.h"
#include "StoreStandin.h"
#include "cornelrudder/transport/HttpServer.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cornelrudder::tests {

/** Prints an event, so that the cause of a violation can be traced. */
void
Trace(const std::string& aWorker,
      const char* aEvent,
      const std::string& aTask,
      std::uint64_t aRun,
      std::uint64_t aEpoch);

/**
 * Stand-ins for the workers of a fleet. Each worker has one address for each
 * gate, which is the store listener of one daemon, so that the link between one
 * daemon and one worker can fail. The workers run tasks under leases and
 * fencing tokens and record each violation: two concurrent runs of a task, a
 * start after completion was acknowledged or told to the same owner, more
 * accelerators in use than a worker announces, an order in an evacuated zone,
 * a job without progress, or too many starts of a task that crashes its
 * workers. The payload of a job sets run time, accelerators and gang size for
 * each step, and the index of a task that crashes its workers:
 * {"steps":[{"run_ms":700,"accelerators":4,"gang":3,"deadly":0}]}.
 */
class WorkerStandins
{
public:
  using Clock = std::chrono::steady_clock;
  using Millis = std::chrono::milliseconds;

  WorkerStandins(transport::IoThread& aThread,
                 StoreStandin& aStore,
                 std::size_t aCount,
                 std::size_t aGates);

  /** Registers the workers and starts the periodic tick. */
  void Start();

  /**
   * Injects or clears a fault of a worker.
   * @param aAction "silence" (requests get no response, runs continue),
   *   "answer" (ends the silence) or "restart" (all runs are lost).
   * @throws std::runtime_error for any other action.
   */
  void ApplyAction(std::size_t aWorker, const std::string& aAction);

  /**
   * Makes links fail for some time while the workers go on.
   * @param aGates Number of a gate, "all", "owner" (the gate of the daemon that
   *   last wrote the owner's row) or "others" (all but this one).
   * @param aWorkers Number of a worker, "but-" and a number for all others,
   *   "all", "half" or "odd" for the other half.
   * @param aFault "silent" (nothing passes), "one-way" (requests pass, replies
   *   do not), "late" (the same, and requests pass kLateness later) or "reset"
   *   (connections are refused).
   * @throws std::runtime_error if an argument is not one of these.
   */
  void FailLinks(const std::string& aGates,
                 const std::string& aWorkers,
                 const std::string& aFault,
                 Millis aDuration);

  /**
   * Removes the rows of workers that go on running, for some time. The row of a
   * draining worker is removed when the worker has been silent for kMaxSilence,
   * since an owner may take an earlier removal for its departure.
   * @param aWorkers As in FailLinks.
   */
  void RemoveRows(const std::string& aWorkers, Millis aDuration);

  /**
   * Makes a worker announce that it drains, and leave after some time: its row
   * is removed and its runs end. It joins again a second later.
   * @param aWorkers As in FailLinks.
   */
  void Drain(const std::string& aWorkers, Millis aDuration);

  /**
   * Makes workers announce fewer accelerators for some time; their runs go on.
   * A start that exceeds what the worker has announced for kCapacityGrace is a
   * violation.
   * @param aWorkers As in FailLinks.
   */
  void ShrinkCapacity(const std::string& aWorkers,
                      std::int64_t aAccelerators,
                      Millis aDuration);

  /**
   * Crashes workers after some time: their connections end, their runs are
   * lost and their rows stay for kMaxSilence. They return at the same addresses
   * under other identifiers.
   * @param aWorkers As in FailLinks.
   */
  void Crash(const std::string& aWorkers, Millis aDelay, Millis aDowntime);

  /**
   * Requests the evacuation of a zone for some time. An order that arrives
   * there after EvacuationChecker::kBound is a violation.
   * @param aZone z1, z2 or z3, of four workers each.
   */
  void Evacuate(const std::string& aZone, Millis aDuration);

  /**
   * Writes a row among those of the workers that stays and names no worker.
   * @param aKind "nested", "number" (too large) or "port" (out of range).
   * @throws std::runtime_error for any other kind.
   */
  void WriteOddRow(const std::string& aKind);

  ProgressChecker& Progress() { return mProgress; }

  /** @return The gates that a name stands for, as in FailLinks. */
  std::vector<std::size_t> SelectGates(const std::string& aGates) const;

  /** Marks a fault that begins now, and ends it after a time. */
  void EndFaultAfter(Millis aDuration, std::function<void()> aEnd);

  /**
   * @return {"violations":[...],"pairs":N,"started":[jobs],"failable":[jobs]},
   *   the last of which may be shown as failed.
   */
  nlohmann::json Journal() const;

private:
  enum class LinkFault
  {
    kNone,
    kSilent,
    kOneWay,
    kLate,
    kReset
  };

  /** The way from the daemon at one gate to one worker. */
  struct Link
  {
    std::string mAddress;
    /** Null while connections are refused. */
    std::unique_ptr<transport::HttpServer> mServer;
    LinkFault mFault = LinkFault::kNone;
    /** Counts the faults, so that an earlier one does not end a later one. */
    std::uint64_t mFaultNumber = 0;
  };

  struct Run
  {
    std::string mTask;
    std::uint64_t mRun;
    Millis mWorkDuration;
    std::int64_t mAccelerators;
    /** Number of tasks in the gang; 0 if the task has no gang. */
    std::size_t mGangSize;
    bool mCrashesWorker;
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
    std::size_t mGate;
    std::uint64_t mEpoch;
    std::uint64_t mKnownResultNumber;
    Clock::time_point mDeadline;
    transport::HttpResponder mRespond;
  };

  struct Worker
  {
    std::string mId;
    std::string mRack;
    std::string mZone;
    /** By gate. */
    std::vector<Link> mLinks;
    bool mIsSilent = false;
    bool mIsListed = true;
    /** Crashed, and not returned so far. */
    bool mIsDown = false;
    /** Counts the crashes. */
    std::uint64_t mCrashes = 0;
    bool mIsDraining = false;
    /** Counts the drains, so that an earlier one does not end a later one. */
    std::uint64_t mDrainNumber = 0;
    Clock::time_point mRegisteredAt;
    std::uint64_t mRemovalNumber = 0;
    /** Announced accelerators, and those that starts may still use. */
    std::int64_t mAccelerators = 0;
    std::int64_t mAllowedAccelerators = 0;
    /** Counts the changes of the capacity. */
    std::uint64_t mCapacityNumber = 0;
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

  void Listen(Worker& aWorker, std::size_t aGate);
  void SetLinkFault(Worker& aWorker, std::size_t aGate, LinkFault aFault);
  std::vector<std::size_t> SelectWorkers(const std::string& aWorkers) const;
  bool Reaches(const Worker& aWorker, std::size_t aGate) const;
  void Receive(Worker& aWorker,
               std::size_t aGate,
               const protocol::HttpRequest& aRequest,
               const transport::HttpResponder& aRespond);
  void Serve(Worker& aWorker,
             std::size_t aGate,
             const protocol::HttpRequest& aRequest,
             const transport::HttpResponder& aRespond);
  void StartRun(Worker& aWorker,
                std::size_t aGate,
                const nlohmann::json& aBody,
                const transport::HttpResponder& aRespond);
  void RecordPairs(const std::vector<std::string>& aPairs);
  void StopRun(Worker& aWorker,
               const nlohmann::json& aBody,
               const transport::HttpResponder& aRespond);
  void RenewLease(Worker& aWorker,
                  std::size_t aGate,
                  const nlohmann::json& aBody,
                  const transport::HttpResponder& aRespond);
  void AcknowledgeResults(Worker& aWorker, std::uint64_t aUpTo);
  void ExtendLease(Worker& aWorker, const nlohmann::json& aBody);
  nlohmann::json Report(const Worker& aWorker) const;
  void RecordListedEnds(const Worker& aWorker, std::uint64_t aEpoch);
  FleetView View() const;
  nlohmann::json ClockMs(const Worker& aWorker) const;
  void SetCapacity(Worker& aWorker, std::int64_t aAccelerators);
  void Register(Worker& aWorker);
  /** @param aWorker Identifier of the worker. */
  void RemoveRow(const std::string& aWorker);
  void RemoveSilentRow(const Worker& aWorker);
  void Restart(Worker& aWorker);
  void Leave(Worker& aWorker);
  void CrashNow(Worker& aWorker, Millis aDowntime);
  void Return(Worker& aWorker);
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
  PairChecker mPairChecker;
  std::size_t mPairs = 0;
  ProgressChecker mProgress;
  EndChecker mEnds;
  EvacuationChecker mEvacuations;
  CrashChecker mCrashChecker;
  std::size_t mGates;
  /** The owner's gate as traced last. */
  std::size_t mOwnerGate = 0;
  std::uint64_t mHighestEpoch = 0;
  std::vector<std::string> mViolations;
  int mTicks = 0;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_WORKER_STANDINS_H
