#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_CHECKS_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_CHECKS_H

#include "TakeoverContext.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cornelrudder::tests {

namespace scheduling = state::scheduling;

/** A run on a worker. */
struct TakeoverRun
{
  std::size_t mWorkerNumber;
  /** Identifier of the worker when the run started. */
  std::string mWorker;
  scheduling::TaskId mTask;
  std::uint64_t mRun;
  std::uint64_t mEpoch;
  milliseconds mOrderedAt;
  milliseconds mStartedAt;
  milliseconds mWorkTime;
  std::int64_t mCpu;
  std::uint64_t mNumber;

  /** @return The run for the trace and for violations. */
  std::string Text() const;
};

/** Checks what the workers run against what was promised for each task. */
class TakeoverChecks
{
public:
  explicit TakeoverChecks(TakeoverContext& aContext)
    : mContext(aContext)
  {
  }

  void BeginRun(const TakeoverRun& aRun);
  void EndRun(const TakeoverRun& aRun);

  /**
   * Records that an owner was told of the completion of a task while the lease
   * was in force.
   * @param aWorker Identifier of the worker.
   * @param aEndedAt When the task was completed.
   */
  void AcknowledgeDone(const scheduling::TaskId& aTask,
                       const std::string& aWorker,
                       milliseconds aEndedAt);

private:
  TakeoverContext& mContext;
  /** Runs on all workers, by the number of the worker and of the run. */
  std::map<std::pair<std::size_t, std::uint64_t>, TakeoverRun> mRunning;
  std::set<scheduling::TaskId> mDoneTasks;
  std::map<scheduling::TaskId, milliseconds> mLastStarts;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_CHECKS_H
