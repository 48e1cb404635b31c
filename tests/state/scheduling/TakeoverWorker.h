#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_WORKER_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_WORKER_H

#include "TakeoverChecks.h"
#include "TakeoverContext.h"
#include "TakeoverStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** A worker that implements the rules of the platform. */
class TakeoverWorker
{
public:
  using RenewResponder = std::function<void(const scheduling::RenewReply&)>;

  TakeoverWorker(TakeoverContext& aContext,
                 ModelStore& aStore,
                 TakeoverChecks& aChecks,
                 std::size_t aNumber);

  const std::string& Id() const { return mInfo.mId; }
  const std::string& Address() const { return mInfo.mAddress; }
  bool IsDown() const { return mIsDown; }
  /** @return Number of restarts. */
  std::uint64_t Life() const { return mLife; }

  /** Restarts under the same identifier, or under another one. */
  void Restart();
  void Replace();
  /** Announces a shutdown; the worker is replaced after a time. */
  void Drain(milliseconds aFor);
  /** Keeps the worker from refreshing its entry for a time. */
  void Unlist(milliseconds aFor);

  /** @param aOrderedAt When the command was sent. */
  scheduling::CommandReply HandleStart(const scheduling::StartCommand& aCommand,
                                       milliseconds aOrderedAt);
  scheduling::CommandReply HandleStop(const scheduling::StopCommand& aCommand);
  /** @param aRespond Called at once, or when a run has terminated. */
  void HandleRenewal(const scheduling::RenewCommand& aCommand,
                     const RenewResponder& aRespond);

private:
  struct Termination
  {
    scheduling::TerminatedRun mRun;
    milliseconds mAt;
    /** The lease expired before the termination was acknowledged. */
    bool mIsLeaseExpired = false;
  };

  /** A renewal that waits for a termination. */
  struct WaitingRenewal
  {
    std::uint64_t mNumber;
    RenewResponder mRespond;
  };

  /** What ends with an incarnation. */
  struct State
  {
    std::uint64_t mEpoch = 0;
    milliseconds mLeaseExpiry{ 0 };
    std::vector<TakeoverRun> mRuns;
    std::vector<Termination> mTerminated;
    std::uint64_t mTerminations = 0;
    std::map<scheduling::TaskId, std::uint64_t> mHighestEndedRuns;
    std::vector<WaitingRenewal> mWaiting;
  };

  milliseconds LocalNow() const { return mClock.At(mContext.Now()); }
  /** Runs an action after a delay if the incarnation is still the same. */
  void Post(milliseconds aDelay, Action aAction);
  void Shutdown();
  void ScheduleBoot();
  void Boot(milliseconds aClock);
  void Refresh();
  /** @return Whether a command's epoch is not fenced; follows it then. */
  bool FollowEpoch(std::uint64_t aEpoch);
  void ExtendLease(milliseconds aExpiry);
  void CheckLeaseExpiry();
  bool IsRunning(const scheduling::StartCommand& aCommand) const;
  bool HasEnded(const scheduling::StartCommand& aCommand) const;
  std::int64_t UsedCpu() const;
  void BeginRun(const TakeoverRun& aRun);
  void Terminate(std::uint64_t aRun, scheduling::TerminationReason aReason);
  void Acknowledge(std::uint64_t aUpTo);
  void Wait(milliseconds aMaxWait, const RenewResponder& aRespond);
  scheduling::RenewReply Report() const;

  TakeoverContext& mContext;
  ModelStore& mStore;
  TakeoverChecks& mChecks;
  std::size_t mNumber;
  scheduling::WorkerInfo mInfo;
  ModelClock mClock;
  bool mIsDown = false;
  /** Number of faults that keep the worker from refreshing its entry. */
  int mUnlisted = 0;
  std::uint64_t mLife = 0;
  State mState;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_WORKER_H
