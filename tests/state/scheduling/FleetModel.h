#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_MODEL_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_MODEL_H

#include "cornelrudder/state/scheduling/Scheduler.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::tests {

namespace scheduling = state::scheduling;
using std::chrono::milliseconds;

/** How a model of a fleet is built and what goes wrong in it. */
struct FleetModelOptions
{
  std::size_t mWorkers = 4;
  std::size_t mWorkersPerRack = 2;
  scheduling::Resources mCapacity{ 32'000, 64'000, 8 };
  /** Shares of commands whose answer is lost, or that arrive seconds late. */
  double mLostAnswers = 0.0;
  double mLateOrders = 0.0;
  std::uint64_t mSeed = 1;
  std::string mPolicy = "urgency";
};

/** What became of a job, as a caller sees it. */
struct JobOutcome
{
  milliseconds mSubmittedAt{ 0 };
  std::optional<milliseconds> mEndedAt;
  scheduling::JobPhase mPhase = scheduling::JobPhase::kQueued;
};

/**
 * Drives a scheduler against a model of a store and of workers on one virtual
 * clock. Workers keep the rules of the platform: leases, fencing, room that
 * they do not guard, gangs that start and end together. Every broken promise
 * is recorded as a violation.
 */
class FleetModel
{
public:
  explicit FleetModel(FleetModelOptions aOptions);

  /** @param aRunTime True run time of each task. */
  void Submit(const scheduling::TaskJob& aJob, milliseconds aRunTime);
  void Cancel(const std::string& aJob);

  /** Runs of a task fail this often before one is done. */
  void FailRuns(const std::string& aJob, int aTimes);

  /** Lets the clock run. */
  void Run(milliseconds aTime);

  /** Replaces the owner: the next one knows the stored records only. */
  void ReplaceOwner();

  /** The worker answers nothing, or does again; its runs go on. */
  void SetReachable(std::size_t aWorker, bool aReachable);
  void CrashWorker(std::size_t aWorker);
  /** Restarts a worker; the list of workers does not tell it yet. */
  void RestartUnnoticed(std::size_t aWorker);
  /** The list of workers tells what a worker says of itself now. */
  void Announce(std::size_t aWorker);
  /** @param aShutdownAfter Shortest time until it is gone; 0 is not told. */
  void SetLeaving(std::size_t aWorker,
                  milliseconds aShutdownAfter = milliseconds(0));
  /** Every run on the worker fails, or stands still. */
  void SetFailing(std::size_t aWorker, bool aFailing);
  void SetStalled(std::size_t aWorker, bool aStalled);
  /** Runs on the worker take this many times as long. */
  void SetSlowdown(std::size_t aWorker, double aFactor);
  /** The next commands to start get no answer and are carried out late. */
  void DelayStarts(int aCount) { mDelayedStarts = aCount; }
  void SetStoreUp(bool aUp) { mStoreUp = aUp; }
  void ApplyCatalog(const scheduling::Catalog& aCatalog);

  const std::vector<std::string>& Violations() const { return mViolations; }
  JobOutcome OutcomeOf(const std::string& aJob) const;
  std::size_t RunningOn(std::size_t aWorker) const;
  std::size_t Starts() const { return mStarts; }
  std::size_t Stops() const { return mStops; }
  /** Core seconds of work that was stopped or broken and not saved. */
  double WastedWork() const { return mWastedWork; }
  milliseconds Now() const { return mNow; }

private:
  struct ModelRun
  {
    scheduling::TaskId mTask;
    std::uint64_t mRun;
    milliseconds mStartedAt;
    /** Work that is left; it is done while all members are there. */
    std::chrono::microseconds mLeft;
    std::optional<milliseconds> mStopAt;
    /** Work that was done when the run started. */
    milliseconds mResumed{ 0 };
  };

  struct ModelEnd
  {
    scheduling::TerminatedRun mRun;
    milliseconds mAt;
    /** The lease ended before the end was recorded. */
    bool mLapsed = false;
  };

  struct ModelWorker
  {
    scheduling::WorkerInfo mInfo;
    bool mReachable = true;
    bool mFailing = false;
    bool mStalled = false;
    double mSlowdown = 1.0;
    std::uint64_t mEpoch = 0;
    milliseconds mLeaseExpiry{ 0 };
    std::vector<ModelRun> mRuns;
    std::vector<ModelEnd> mTerminated;
    std::uint64_t mEnds = 0;
    /** Highest run of a task that was stopped or ended here. */
    std::map<scheduling::TaskId, std::uint64_t> mOver;
  };

  /** Something that happens at a time. */
  struct Event
  {
    milliseconds mAt;
    std::function<void()> mAct;
  };

  void At(milliseconds aDelay, std::function<void()> aAct);
  void Step();
  void StartOwner();
  void Drive();
  void Store();
  void SendStart(const scheduling::StartCommand& aCommand);
  void SendStop(const scheduling::StopCommand& aCommand);
  void SendRenewal(const scheduling::RenewCommand& aCommand);
  scheduling::CommandReply DoStart(const scheduling::StartCommand& aCommand);
  scheduling::CommandReply DoStop(const scheduling::StopCommand& aCommand);
  scheduling::RenewReply DoRenew(const scheduling::RenewCommand& aCommand);
  ModelWorker* FindWorker(const std::string& aId);
  void Advance(ModelWorker& aWorker);
  void EndRun(ModelWorker& aWorker,
              const ModelRun& aRun,
              scheduling::TerminationReason aEnd);
  void Forget(ModelWorker& aWorker, std::uint64_t aUpTo);
  const scheduling::StepSpec& StepOf(const ModelRun& aRun) const;
  milliseconds DoneBy(const ModelRun& aRun) const;
  /** @return How many times longer the run takes where it is. */
  double Slowdown(const ModelWorker& aWorker, const ModelRun& aRun) const;
  /** @return Members of the run's gang that are there; the run itself else. */
  std::vector<ModelRun> MembersOf(const ModelRun& aRun) const;
  bool IsGangWhole(const ModelRun& aRun) const;
  /** @return Whether all members of the run's gang have done their work. */
  bool IsWorkDone(const ModelRun& aRun) const;
  void CheckStart(const ModelWorker& aWorker,
                  const scheduling::StartCommand& aCommand);
  void Violate(const std::string& aText);
  bool Chance(double aShare);

  FleetModelOptions mOptions;
  std::mt19937_64 mRandom;
  milliseconds mNow{ 1'000 };
  std::vector<Event> mEvents;
  std::vector<ModelWorker> mWorkers;
  std::map<std::string, scheduling::TaskJob> mJobs;
  std::map<std::string, milliseconds> mRunTimes;
  std::map<std::string, int> mFailures;
  std::set<std::string> mCancelled;
  std::map<std::string, JobOutcome> mOutcomes;
  /** Records in the model of the store. */
  std::map<std::string, scheduling::JobProgress> mRecords;
  /** Tasks with a recorded end as done, and their last starts. */
  std::set<scheduling::TaskId> mDone;
  std::map<scheduling::TaskId, milliseconds> mLastStarts;
  std::map<scheduling::TaskId, int> mFailedRuns;
  scheduling::Catalog mCatalog;
  std::optional<scheduling::Scheduler> mOwner;
  std::uint64_t mEpoch = 0;
  bool mWriting = false;
  bool mStoreUp = true;
  int mDelayedStarts = 0;
  std::size_t mStarts = 0;
  std::size_t mStops = 0;
  double mWastedWork = 0.0;
  std::vector<std::string> mViolations;
};

/** @return A job of one step. */
scheduling::TaskJob
MakeJob(const std::string& aId,
        const scheduling::StepSpecValues& aStep,
        int aPriority,
        int aAttempts = 2);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_FLEET_MODEL_H
