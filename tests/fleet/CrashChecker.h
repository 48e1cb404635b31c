#ifndef CORNELRUDDER_TESTS_FLEET_CRASH_CHECKER_H
#define CORNELRUDDER_TESTS_FLEET_CRASH_CHECKER_H

#include "ProgressChecker.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cornelrudder::tests {

/**
 * Checks the verdicts on tasks whose workers crash: a job fails only after
 * failed runs or because of a task that crashes its workers, and the starts of
 * such a task are limited.
 */
class CrashChecker
{
public:
  /** Failed runs of a task or gang after which its job may fail. */
  static constexpr std::size_t kAttempts = 2;
  /** Crashes under a task after which its starts are limited. */
  static constexpr int kMaxCrashes = 3;
  /** Starts that are allowed after these crashes. */
  static constexpr int kMaxLaterStarts = 2;

  /**
   * @param aCrashesWorkers Whether the task crashes each worker it runs on.
   * @return The violation by the start.
   */
  std::optional<std::string> RecordStart(const std::string& aTask,
                                         bool aCrashesWorkers)
  {
    if (!aCrashesWorkers) {
      return std::nullopt;
    }
    mFailableJobs.insert(JobName(aTask));
    Crashes& crashes = mCrashes[aTask];
    if (crashes.mCount < kMaxCrashes ||
        ++crashes.mLaterStarts <= kMaxLaterStarts) {
      return std::nullopt;
    }
    return aTask + " was started " + std::to_string(crashes.mLaterStarts) +
           " times after " + std::to_string(kMaxCrashes) +
           " workers had crashed under it";
  }

  /** Records that a worker crashed while it ran the task. */
  void RecordCrash(const std::string& aTask)
  {
    Crashes& crashes = mCrashes[aTask];
    ++crashes.mCount;
  }

  /** @param aIsGang Whether the ends of all tasks of the step count as one. */
  void RecordEnd(const std::string& aTask,
                 std::uint64_t aRun,
                 bool aIsGang,
                 const std::string& aOutcome)
  {
    if (aOutcome != "failed") {
      return;
    }
    auto& runs = mFailedRuns[aIsGang ? StepName(aTask) : aTask];
    runs.insert(aRun);
    if (runs.size() >= kAttempts) {
      mFailableJobs.insert(JobName(aTask));
    }
  }

  /** @return The jobs that may be shown as failed. */
  const std::set<std::string>& FailableJobs() const { return mFailableJobs; }

private:
  struct Crashes
  {
    int mCount = 0;
    int mLaterStarts = 0;
  };

  /** By task. */
  std::map<std::string, Crashes> mCrashes;
  /** Run numbers by task, or by step for gangs. */
  std::map<std::string, std::set<std::uint64_t>> mFailedRuns;
  std::set<std::string> mFailableJobs;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_CRASH_CHECKER_H
