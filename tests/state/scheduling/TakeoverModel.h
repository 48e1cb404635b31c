#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_MODEL_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_MODEL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelrudder::tests {

using std::chrono::milliseconds;

/** Times of a stored write, by the clock of the daemon. */
struct WriteTimes
{
  milliseconds mSentAt{ 0 };
  milliseconds mRepliedAt{ 0 };
};

/** Times from which a new owner may assume no commands of earlier owners. */
struct EarlierCommandTimes
{
  /** By the first read of the version that the acquisition replaced. */
  milliseconds mBySighting{ 0 };
  /** By the first read of the version before that one. */
  milliseconds mByEarlierSighting{ 0 };
  /** By the time of the load. */
  milliseconds mByLoad{ 0 };
  milliseconds mNone{ 0 };
};

/** Rules of the daemons on which the safety of a takeover rests. */
struct TakeoverRules
{
  const char* mName;
  /** An owner sends commands only within its tenure. */
  bool mIsTenureLimited;
  /** Times of an acquisition and of a write from which the tenure counts. */
  milliseconds WriteTimes::*mAcquiredFrom;
  milliseconds WriteTimes::*mConfirmedFrom;
  /** A conflict with an own row confirms the lease. */
  bool mIsConfirmedByConflict;
  milliseconds EarlierCommandTimes::*mLastEarlierCommandAt;
};

/** The rules in force. */
extern const TakeoverRules kTenureRules;

enum class TakeoverFaultKind
{
  /** Between daemons and workers. */
  kCommandsLost,
  kRepliesLost,
  kLinkDown,
  kCommandsLate,
  /** Between daemons and the store. */
  kStoreCut,
  kStoreRepliesLost,
  kStoreSlow,
  kStoreWritesLate,
  kStoreDown,
  kPause,
  /** The next reply to a write or an acquisition arrives during a pause. */
  kPauseAtReply,
  /** The next commands are collected before a pause and sent after it. */
  kPauseAtSend,
  kDaemonRestart,
  /** The daemon releases the lease and restarts. */
  kDaemonStop,
  kWorkerRestart,
  /** The worker restarts with another identifier at the same address. */
  kWorkerReplaced,
  kWorkerDrains,
  kWorkerUnlisted
};

/** A fault for some daemons and workers. */
struct TakeoverFault
{
  /** The daemons that the fault concerns, by the lease row at its begin. */
  enum class Daemons
  {
    kOwner,
    kOthers,
    kOne
  };

  TakeoverFaultKind mKind = TakeoverFaultKind::kPause;
  milliseconds mAt{ 0 };
  milliseconds mFor{ 0 };
  Daemons mDaemons = Daemons::kOwner;
  /** Number of the daemon for kOne. */
  std::size_t mDaemon = 0;
  /** Bit mask of the workers. */
  unsigned mWorkers = 0;

  /** @return The fault for the trace. */
  std::string Text() const;
};

/** Faults of a run of the model. */
struct TakeoverPlan
{
  std::uint64_t mSeed = 0;
  std::size_t mWorkers = 3;
  milliseconds mLongestLease{ 10'000 };
  /** Shares of messages of any kind, 0 to 1. */
  double mLostShare = 0.0;
  double mLateShare = 0.0;
  /** A late command reaches a worker that has restarted since it was sent. */
  bool mCommandsOutliveWorkers = false;
  std::vector<TakeoverFault> mFaults;

  /** @return A plan that depends only on the seed. */
  static TakeoverPlan Draw(std::uint64_t aSeed);
};

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
  /** @return What happened, if traced. */
  const std::vector<std::string>& Trace() const;
  /** @return Number of acquisitions of the lease. */
  std::size_t Takeovers() const;
  /** @return Number of runs that workers started. */
  std::size_t Starts() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_MODEL_H
