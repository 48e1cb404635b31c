#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_DAEMON_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_DAEMON_H

#include "TakeoverContext.h"
#include "TakeoverModel.h"
#include "TakeoverStore.h"
#include "TakeoverWorker.h"
#include "cornelrudder/state/Backoff.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/OwnerTenure.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** Faults of the link of a daemon and a worker, as counts of those in force. */
struct LinkFaults
{
  int mCommandsLost = 0;
  int mRepliesLost = 0;
  int mCommandsLate = 0;
};

struct StoreFaults
{
  int mCut = 0;
  int mRepliesLost = 0;
  int mSlow = 0;
  int mWritesLate = 0;
};

/**
 * A daemon that follows the rules of coordination::SchedulerTask around a
 * Scheduler.
 */
class TakeoverDaemon
{
public:
  TakeoverDaemon(const TakeoverRules& aRules,
                 TakeoverContext& aContext,
                 ModelStore& aStore,
                 std::deque<TakeoverWorker>& aWorkers,
                 std::size_t aNumber);

  const std::string& Name() const { return mName; }
  LinkFaults& Link(std::size_t aWorker) { return mLinks[aWorker]; }
  StoreFaults& StoreLink() { return mStoreFaults; }

  void Restart(milliseconds aDownTime);
  void Pause(milliseconds aTime);
  /** Pauses when the store has replied to an acquisition or to records. */
  void PauseAtReply(milliseconds aTime) { mPauseAtReply = aTime; }
  /** Pauses when the next commands have been collected. */
  void PauseAtSend(milliseconds aTime) { mPauseAtSend = aTime; }
  /** Releases the lease; the process ends after a time and restarts. */
  void Stop(milliseconds aTime);

private:
  enum class Mode
  {
    kFollowing,
    kAcquiring,
    kLoading,
    kOwning,
    kReleased
  };

  static constexpr milliseconds kOwnerTimeout{ 1'300 };
  static constexpr milliseconds kUnclaimedTime{ 2'500 };
  static constexpr milliseconds kRenewInterval{ 400 };
  static constexpr milliseconds kBatchDelay{ 3 };

  /** What a daemon keeps in one incarnation. */
  struct State
  {
    std::string mIncarnation;
    Mode mMode = Mode::kFollowing;
    bool mReleasing = false;
    bool mIsolated = false;
    scheduling::LeaseObserver mOwnerObserver{ kOwnerTimeout };
    scheduling::LeaseObserver mReleaseObserver{ milliseconds(0) };
    scheduling::LeaseObserver mUnclaimedObserver{ kUnclaimedTime };
    scheduling::StoreTiming mStoreTiming;
    scheduling::LeaseSighting mSighting;
    scheduling::OwnerTenure mTenure;
    milliseconds mAbstainUntil{ 0 };
    milliseconds mAcquiredAt{ 0 };
    scheduling::LeaseWrite mAcquireWrite;
    scheduling::OwnerLease mLease;
    std::uint64_t mLeaseVersion = 0;
    std::map<std::string, milliseconds> mInheritedLeases;
    EarlierCommandTimes mEarlierCommands;
    bool mLeaseReadInFlight = false;
    milliseconds mLeaseReadSentAt{ 0 };
    bool mExpiryReadScheduled = false;
    std::optional<milliseconds> mTakeoverAt;
    milliseconds mNextAcquireAt{ 0 };
    int mFailedAcquisitions = 0;
    bool mWriteInFlight = false;
    milliseconds mLastWriteAt{ 0 };
    milliseconds mWriteBegunAt{ 0 };
    bool mIsWriteRetry = false;
    milliseconds mNextWriteAt{ 0 };
    int mFailedWrites = 0;
    std::map<std::uint64_t, scheduling::LeaseWrite> mSentWrites;
    milliseconds mLastCycleAt{ 0 };
    milliseconds mConfirmLeaseFrom{ 0 };
    bool mCycleScheduled = false;
    /** Replies to calls of the store before this number are dropped. */
    std::uint64_t mFirstCall = 0;
    Tables mLoaded;
    std::uint64_t mTablesVersion = 0;
    std::optional<scheduling::Scheduler> mScheduler;
  };

  // Time and messages.
  milliseconds LocalNow() const { return mClock.At(mContext.Now()); }
  void Log(const std::string& aText) { mContext.Log(mName, aText); }
  void Post(milliseconds aDelay, Action aAction);
  void PostLocal(milliseconds aDelay, Action aAction);
  void Wake();
  void Tick();
  using StoreHandler = void (TakeoverDaemon::*)(const StoreReply&);
  /** Passes a reply to the daemon after a delay. */
  template<typename Reply>
  using Delivery = std::function<void(milliseconds aDelay, const Reply&)>;
  using StoreDelivery = Delivery<StoreReply>;
  void CallStore(bool aIsWrite,
                 const ModelStore::Operation& aOperation,
                 StoreHandler aHandler);
  void ExecuteLate(const ModelStore::Operation& aOperation);
  void ExecuteCall(const ModelStore::Operation& aOperation,
                   milliseconds aTimeout,
                   const StoreDelivery& aDeliver);
  milliseconds DrawStoreLatency();

  // Ownership.
  void ReadLease();
  void HandleLeaseRow(const StoreReply& aReply);
  bool IsAcquisitionDue(const StoreReply& aReply);
  bool IsOwnerSilent(const scheduling::OwnerLease& aLease);
  void AcquireLease(std::uint64_t aVersion,
                    const scheduling::OwnerLease& aObserved);
  void HandleAcquireResult(const StoreReply& aReply);
  void FinishAcquire(std::uint64_t aVersion);
  bool IsLeaseConfirmed() const;
  scheduling::LeaseWrite MakeLeaseWrite(milliseconds aSentAt) const;
  milliseconds StartsUntil() const;
  bool IsWriteDue() const;
  void Write();
  void ConfirmLease(std::uint64_t aSequence);
  void RelinquishLease(milliseconds aNow);
  void FinishWrite(const StoreReply& aReply);
  void StepDown(const char* aReason);
  void EndOwnership();
  void Release();

  // Tables.
  void BeginLoad();
  template<auto Table, StoreHandler Next>
  void LoadTable();
  void HandleWorkers(const StoreReply& aReply);
  void HandleRecords(const StoreReply& aReply);
  void HandleJobs(const StoreReply& aReply);
  bool RetryLoad(const StoreReply& aReply);
  void FinishLoad(milliseconds aStoreTime);
  void PollTables();
  void HandleChanges(const StoreReply& aReply);
  void ApplyTables(const Tables& aTables, milliseconds aStoreTime);

  // Cycles and commands.
  void ScheduleCycle(milliseconds aDelay);
  void RunCycle();
  milliseconds DetectSuspension();
  void LogSchedulerEvents();
  void SendCommands(milliseconds aNow);
  void SendStop(const scheduling::StopCommand& aCommand, milliseconds aDelay);
  void SendStart(const scheduling::StartCommand& aCommand, milliseconds aDelay);
  void SendRenewal(const scheduling::RenewCommand& aCommand,
                   milliseconds aDelay);
  /** Executes a command on a worker and passes it a function for the reply. */
  template<typename Reply>
  using WorkerOperation =
    std::function<void(TakeoverWorker&, std::function<void(const Reply&)>)>;
  /** Passes a reply and the time of its arrival to the scheduler. */
  template<typename Reply>
  using ReplyHandler =
    std::function<void(scheduling::Scheduler&, const Reply&, milliseconds aAt)>;
  /** @return A function that passes on the first of its replies. */
  template<typename Reply>
  Delivery<Reply> MakeDelivery(ReplyHandler<Reply> aApply);
  template<typename Reply>
  void CallWorker(const scheduling::WorkerTarget& aTarget,
                  milliseconds aDelay,
                  milliseconds aTimeout,
                  WorkerOperation<Reply> aOperation,
                  ReplyHandler<Reply> aApply);
  template<typename Reply>
  void ExecuteCommand(TakeoverWorker& aWorker,
                      const std::string& aId,
                      const LinkFaults& aLink,
                      const WorkerOperation<Reply>& aOperation,
                      const Delivery<Reply>& aDeliver);

  const TakeoverRules& mRules;
  TakeoverContext& mContext;
  ModelStore& mStore;
  std::deque<TakeoverWorker>& mWorkers;
  std::string mName;
  ModelClock mClock;
  milliseconds mTakeoverDelay{ 0 };
  /** Counts the incarnations, so that their actions end with them. */
  std::uint64_t mLife = 0;
  milliseconds mPausedUntil{ 0 };
  /** What arrived during a pause. */
  std::deque<Action> mMailbox;
  /** Pauses at the next such moment; 0 for none. */
  milliseconds mPauseAtReply{ 0 };
  milliseconds mPauseAtSend{ 0 };
  StoreFaults mStoreFaults;
  std::vector<LinkFaults> mLinks;
  state::Backoff mAcquireBackoff{ milliseconds(400), milliseconds(3'200) };
  state::Backoff mWriteBackoff{ milliseconds(100), milliseconds(800) };
  State mState;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_DAEMON_H
