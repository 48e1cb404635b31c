#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_MODEL_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_MODEL_H

#include "TakeoverPlan.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cornelrudder::tests {

using std::chrono::milliseconds;

/** Times from which a new owner may assume no commands of earlier owners. */
struct EarlierCommandTimes
{
  /** By the first read of the version that the acquisition replaced. */
  milliseconds mBySighting{ 0 };
  /** By the time of the load. */
  milliseconds mByLoad{ 0 };
  milliseconds mNone{ 0 };
  /** For starts of runs only, by that read. */
  milliseconds mStartsBySighting{ 0 };
};

/** Rules of the daemons on which the safety of a takeover rests. */
struct TakeoverRules
{
  const char* mName;
  /** An owner sends commands only within its tenure. */
  bool mIsTenureLimited;
  /** A conflict with an own row confirms the lease. */
  bool mIsConfirmedByConflict;
  milliseconds EarlierCommandTimes::*mLastEarlierCommandAt;
  /** An owner starts runs only until a successor can acquire the lease. */
  bool mAreStartsLimited = true;
  milliseconds EarlierCommandTimes::*mLastEarlierStartAt =
    &EarlierCommandTimes::mStartsBySighting;
};

/** The rules in force. */
extern const TakeoverRules kTenureRules;

/**
 * Plays changes of owner among three daemons with one store and some workers.
 * The daemons follow the rules of SchedulerTask around a Scheduler; the workers
 * implement the rules of the platform. Messages are lost or delayed, and the
 * clocks of all daemons and workers differ in rate.
 */
class TakeoverModel
{
public:
  TakeoverModel(const TakeoverRules& aRules,
                TakeoverPlan aPlan,
                bool aIsTraced = false);
  ~TakeoverModel();
  TakeoverModel(const TakeoverModel&) = delete;
  TakeoverModel& operator=(const TakeoverModel&) = delete;

  /** Plays the plan to its end. */
  void Run();

  /**
   * @return Pairs of runs of a task at the same time, and starts after an
   *   acknowledged end within the lease.
   */
  const std::vector<std::string>& Violations() const;
  /** @return What happened, if traced; for searches by hand. */
  const std::vector<std::string>& Trace() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_MODEL_H
