#ifndef CORNELRUDDER_TESTS_FLEET_PROGRESS_CHECKER_H
#define CORNELRUDDER_TESTS_FLEET_PROGRESS_CHECKER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** What the workers hold at one moment. */
struct FleetView
{
  /**
   * Unused accelerators of each worker; negative if it has shrunk below what it
   * runs.
   */
  std::vector<std::int64_t> mFreeAccelerators;
  /** Accelerators of all workers together. */
  std::int64_t mAccelerators = 0;
  /** Jobs of which at least one task runs. */
  std::set<std::string> mRunningJobs;
  /** Tasks whose end "done" a worker still lists. */
  std::set<std::string> mListedTasks;
};

/**
 * Checks that an accepted job makes progress: a job has no run for kMaxIdle
 * although a step can run, more than half of the accelerators are free and no
 * fault is in force or ended within kRecoveryTime.
 */
class ProgressChecker
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Time without a run after which a job that can run counts as stuck. */
  static constexpr std::chrono::seconds kMaxIdle{ 3 };
  /** The lease of the workers (6 s) and 4 s to place the lost runs again. */
  static constexpr std::chrono::seconds kRecoveryTime{ 10 };

  struct Step
  {
    std::size_t mTasks = 1;
    std::int64_t mAccelerators = 0;
    bool mIsGang = false;
    std::vector<std::size_t> mAfter;
  };

  /** Adds a job that a daemon has accepted. */
  void AddJob(const std::string& aJob, std::vector<Step> aSteps);

  /** Removes a job that a caller has seen ended. */
  void RemoveJob(const std::string& aJob) { mJobs.erase(aJob); }

  /** Faults may overlap; each begin needs one end. */
  void BeginFault() { ++mFaults; }
  void EndFault(TimePoint aNow);

  /** Records that an owner was told of the end "done" of a task. */
  void RecordDone(const std::string& aTask);

  /** @return A violation for each job that became stuck since the last call. */
  std::vector<std::string> Check(TimePoint aNow, const FleetView& aView);

private:
  struct Job
  {
    std::vector<Step> mSteps;
    std::optional<TimePoint> mIdleSince;
    bool mIsReported = false;
  };

  bool IsCalm(TimePoint aNow) const;
  bool IsDone(const std::string& aJob,
              const Job& aContent,
              std::size_t aStep,
              const FleetView* aView) const;
  std::optional<std::size_t> FindRunnableStep(const std::string& aId,
                                              const Job& aJob,
                                              const FleetView& aView) const;

  std::map<std::string, Job> mJobs;
  /** Tasks, and steps whose tasks form a gang. */
  std::set<std::string> mDone;
  int mFaults = 0;
  std::optional<TimePoint> mLastFaultEnd;
};

/**
 * Checks that an owner does not start a task again after it was told of the end
 * "done". It counts as told when it renews the lease of the same worker
 * kSettleTime after the reply that listed the end; only the same epoch is
 * checked, since a later owner may not have been told.
 */
class EndChecker
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  static constexpr std::chrono::seconds kSettleTime{ 1 };

  /** Records that a reply that lists the end was sent to an owner. */
  void RecordListed(const std::string& aWorker,
                    const std::string& aTask,
                    std::uint64_t aEpoch,
                    TimePoint aNow);

  /** Records that an owner renewed the lease of a worker. */
  void RecordRenewal(const std::string& aWorker,
                     std::uint64_t aEpoch,
                     TimePoint aNow);

  /** Forgets replies that a fault of the link to the worker may have lost. */
  void ForgetUnconfirmed(const std::string& aWorker);

  /** @return Whether the owner was told of the end of the task. */
  bool WasTold(const std::string& aTask, std::uint64_t aEpoch) const;

private:
  struct Listing
  {
    std::string mWorker;
    std::uint64_t mEpoch;
    TimePoint mListedAt;
    bool mIsConfirmed = false;
  };

  std::map<std::string, Listing> mListings;
};

/** @return The prefix "JOB.OCCURRENCE.STEP" of a task name. */
std::string
StepName(const std::string& aTask);

/** @return The job of a task. */
std::string
JobName(const std::string& aTask);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_PROGRESS_CHECKER_H
