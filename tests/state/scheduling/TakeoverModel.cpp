#include "TakeoverModel.h"

#include "FleetModel.h"
#include "cornelrudder/state/Backoff.h"
#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/OwnerTenure.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cornelrudder::tests {

using namespace state::scheduling;
using state::StoreStatus;

const TakeoverRules kTenureRules{ "tenure",
                                  true,
                                  false,
                                  &EarlierCommandTimes::mBySighting };

namespace {

/** See SchedulerTaskOptions and SchedulerTask. */
constexpr milliseconds kRenewInterval{ 400 };
constexpr milliseconds kOwnerTimeout{ 1'300 };
constexpr milliseconds kHandoverAbstention{ 10'000 };
constexpr milliseconds kUnclaimedTime{ 2'500 };
constexpr milliseconds kCycleInterval{ 100 };
constexpr milliseconds kBatchDelay{ 3 };
constexpr milliseconds kMaxCycleGap{ 2'000 };
constexpr milliseconds kReadRetryDelay{ 100 };
constexpr milliseconds kPollInterval{ 400 };
constexpr std::size_t kRecordsPerWrite = 40;
/** Timeouts of calls. */
constexpr milliseconds kStoreTimeout{ 1'000 };
constexpr milliseconds kWorkerTimeout{ 1'000 };
/** Time that a new owner presumed that its predecessor extends leases. */
constexpr milliseconds kPresumedCommandTime{ 2'500 };
/** Longest delay of a message that is executed late. */
constexpr milliseconds kLateTime{ 6'000 };
/** Times of workers. */
constexpr milliseconds kStopTime{ 500 };
constexpr milliseconds kRefreshInterval{ 1'500 };
constexpr milliseconds kEntryTimeout{ 4'500 };
constexpr milliseconds kBootTime{ 1'000 };
/** Lowest rate of a clock. */
constexpr double kSlowestRate = 0.98;
constexpr std::int64_t kWorkerCpu = 16'000;

/** A clock that differs from the time of the model in rate and offset. */
struct ModelClock
{
  double mRate = 1.0;
  /** Reading at mSetAt. */
  milliseconds mOffset{ 0 };
  milliseconds mSetAt{ 0 };

  milliseconds At(milliseconds aTime) const
  {
    return mOffset + milliseconds(static_cast<milliseconds::rep>(
                       static_cast<double>((aTime - mSetAt).count()) * mRate));
  }

  /** @return Time of the model that passes during a time of the clock. */
  milliseconds TimeFor(milliseconds aLocal) const
  {
    return milliseconds(static_cast<milliseconds::rep>(
      std::ceil(static_cast<double>(aLocal.count()) / mRate)));
  }
};

using Action = std::function<void()>;

/** Runs actions in the order of their times. */
class EventQueue
{
public:
  milliseconds Now() const { return mNow; }

  void Schedule(milliseconds aDelay, Action aAction)
  {
    mEvents.emplace(mNow + std::max(aDelay, milliseconds(0)),
                    std::move(aAction));
  }

  void RunUntil(milliseconds aEnd)
  {
    while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    mNow = aEnd;
  }

private:
  milliseconds mNow{ 0 };
  std::multimap<milliseconds, Action> mEvents;
};

/** A row of the table of jobs: a job or its cancellation. */
struct JobRow
{
  std::uint64_t mVersion;
  TaskJob mJob;
  bool mIsCancelled;
};

struct WorkerRow
{
  std::uint64_t mVersion = 0;
  /** Nothing after the removal of the entry. */
  std::optional<WorkerInfo> mInfo;
  milliseconds mRefreshedAt{ 0 };
};

/** Contents of the tables, or what changed in them. */
struct Tables
{
  std::uint64_t mVersion = 0;
  std::map<std::string, WorkerRow> mWorkers;
  std::map<std::string, JobProgress> mRecords;
  std::vector<JobRow> mJobs;
};

struct StoreReply
{
  StoreStatus mStatus = StoreStatus::kOutcomeUnknown;
  milliseconds mStoreTime{ 0 };
  /** The lease row, or after a stored write its new version. */
  std::uint64_t mVersion = 0;
  OwnerLease mLease{};
  Tables mTables{};
  /** Commands may depend on this reply: an acquisition, or stored records. */
  bool mIsAwaited = false;
};

struct ModelStore
{
  std::uint64_t mLeaseVersion = 0;
  OwnerLease mLease;
  Tables mTables;
  /** Number of outages in force. */
  int mOutages = 0;
};

struct ModelRun
{
  TaskId mTask;
  std::uint64_t mRun;
  std::uint64_t mEpoch;
  milliseconds mOrderedAt;
  milliseconds mStartedAt;
  milliseconds mWorkTime;
  std::int64_t mCpu;
  std::uint64_t mNumber;
};

struct ModelTermination
{
  TerminatedRun mRun;
  milliseconds mAt;
  /** The lease expired before the termination was acknowledged. */
  bool mIsLeaseExpired = false;
};

/** A renewal that waits for a termination. */
struct WaitingRenewal
{
  std::uint64_t mNumber;
  std::function<void(const RenewReply&)> mRespond;
};

struct ModelWorker
{
  WorkerInfo mInfo;
  ModelClock mClock;
  bool mIsDown = false;
  /** Number of faults that keep the worker from refreshing its entry. */
  int mUnlisted = 0;
  /** Counts the incarnations, so that their actions end with them. */
  std::uint64_t mLife = 0;
  std::uint64_t mEpoch = 0;
  milliseconds mLeaseExpiry{ 0 };
  std::vector<ModelRun> mRuns;
  std::vector<ModelTermination> mTerminated;
  std::uint64_t mTerminations = 0;
  std::map<TaskId, std::uint64_t> mHighestEndedRuns;
  std::vector<WaitingRenewal> mWaiting;
};

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

enum class Mode
{
  kFollowing,
  kAcquiring,
  kLoading,
  kOwning,
  kReleased
};

/** What a daemon keeps in one incarnation; see SchedulerTask. */
struct DaemonState
{
  std::string mIncarnation;
  Mode mMode = Mode::kFollowing;
  bool mReleasing = false;
  bool mIsolated = false;
  LeaseObserver mOwnerObserver{ kOwnerTimeout };
  LeaseObserver mReleaseObserver{ milliseconds(0) };
  LeaseObserver mUnclaimedObserver{ kUnclaimedTime };
  StoreTiming mStoreTiming;
  LeaseSighting mSighting;
  OwnerTenure mTenure;
  milliseconds mAbstainUntil{ 0 };
  milliseconds mAcquiredAt{ 0 };
  milliseconds mAcquireSentAt{ 0 };
  OwnerLease mLease;
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
  milliseconds mLastCycleAt{ 0 };
  milliseconds mConfirmLeaseFrom{ 0 };
  bool mCycleScheduled = false;
  /** Replies to calls of the store before this number are dropped. */
  std::uint64_t mFirstCall = 0;
  Tables mLoaded;
  std::uint64_t mTablesVersion = 0;
  std::optional<Scheduler> mScheduler;
};

struct ModelDaemon
{
  std::string mName;
  std::size_t mNumber = 0;
  ModelClock mClock;
  milliseconds mTakeoverDelay{ 0 };
  std::uint64_t mLife = 0;
  milliseconds mPausedUntil{ 0 };
  /** What arrived during a pause. */
  std::deque<Action> mMailbox;
  /** Pauses at the next such moment; 0 for none. */
  milliseconds mPauseAtReply{ 0 };
  milliseconds mPauseAtSend{ 0 };
  StoreFaults mStore;
  std::vector<LinkFaults> mLinks;
  DaemonState mState;
};

/** Counts of the fault in force that a link, or the store of a daemon, has. */
struct LinkFaultRow
{
  TakeoverFaultKind mKind;
  std::vector<int LinkFaults::*> mCounts;
};

struct StoreFaultRow
{
  TakeoverFaultKind mKind;
  int StoreFaults::*mCount;
};

const std::array kLinkFaults{ LinkFaultRow{ TakeoverFaultKind::kCommandsLost,
                                            { &LinkFaults::mCommandsLost } },
                              LinkFaultRow{ TakeoverFaultKind::kRepliesLost,
                                            { &LinkFaults::mRepliesLost } },
                              LinkFaultRow{ TakeoverFaultKind::kLinkDown,
                                            { &LinkFaults::mCommandsLost,
                                              &LinkFaults::mRepliesLost } },
                              LinkFaultRow{ TakeoverFaultKind::kCommandsLate,
                                            { &LinkFaults::mCommandsLate } } };

constexpr std::array kStoreFaults{
  StoreFaultRow{ TakeoverFaultKind::kStoreCut, &StoreFaults::mCut },
  StoreFaultRow{ TakeoverFaultKind::kStoreRepliesLost,
                 &StoreFaults::mRepliesLost },
  StoreFaultRow{ TakeoverFaultKind::kStoreSlow, &StoreFaults::mSlow },
  StoreFaultRow{ TakeoverFaultKind::kStoreWritesLate,
                 &StoreFaults::mWritesLate }
};

} // namespace

class TakeoverModel::Impl
{
public:
  Impl(const TakeoverRules& aRules, TakeoverPlan aPlan, bool aIsTraced);

  void Run() { mQueue.RunUntil(kTakeoverPlanTime); }

  std::vector<std::string> mViolations;
  std::vector<std::string> mTrace;
  std::size_t mTakeovers = 0;
  std::size_t mStarts = 0;

private:
  using Number = std::uint64_t;

  // Clocks, pauses and messages.
  milliseconds Now() const { return mQueue.Now(); }
  milliseconds Now(const ModelDaemon& aDaemon) const
  {
    return aDaemon.mClock.At(Now());
  }
  milliseconds Now(const ModelWorker& aWorker) const
  {
    return aWorker.mClock.At(Now());
  }
  void Log(const std::string& aWho, const std::string& aText);
  void Post(ModelDaemon& aDaemon, milliseconds aDelay, Action aAction);
  void PostLocal(ModelDaemon& aDaemon, milliseconds aDelay, Action aAction)
  {
    Post(aDaemon, aDaemon.mClock.TimeFor(aDelay), std::move(aAction));
  }
  void Pause(ModelDaemon& aDaemon, milliseconds aTime);
  void Wake(ModelDaemon& aDaemon);
  milliseconds DrawLatency();
  milliseconds DrawStoreLatency(const ModelDaemon& aDaemon);

  // Plan.
  void ScheduleFaults(const TakeoverPlan& aPlan);
  void BeginFault(const TakeoverFault& aFault);
  void BeginDaemonFault(const TakeoverFault& aFault, ModelDaemon& aDaemon);
  void BeginWorkerFault(const TakeoverFault& aFault, ModelWorker& aWorker);
  std::vector<std::size_t> DaemonsOf(const TakeoverFault& aFault) const;
  void ScheduleJobs();
  void RestartDaemon(ModelDaemon& aDaemon, milliseconds aDownTime);

  // Daemons; see SchedulerTask.
  using StoreOperation = std::function<StoreReply(ModelStore&)>;
  using StoreHandler = void (Impl::*)(ModelDaemon&, const StoreReply&);
  void CallStore(ModelDaemon& aDaemon,
                 bool aIsWrite,
                 const StoreOperation& aOperation,
                 StoreHandler aHandler);
  StoreReply Execute(const StoreOperation& aOperation);
  void Tick(ModelDaemon& aDaemon);
  void ReadLease(ModelDaemon& aDaemon);
  void HandleLeaseRow(ModelDaemon& aDaemon, const StoreReply& aReply);
  bool IsOwnerSilent(ModelDaemon& aDaemon, const OwnerLease& aLease);
  void AcquireLease(ModelDaemon& aDaemon,
                    Number aVersion,
                    const OwnerLease& aObserved);
  void HandleAcquireResult(ModelDaemon& aDaemon, const StoreReply& aReply);
  void FinishAcquire(ModelDaemon& aDaemon, Number aVersion);
  void BeginLoad(ModelDaemon& aDaemon);
  template<auto Table, StoreHandler Next>
  void LoadTable(ModelDaemon& aDaemon);
  void HandleWorkers(ModelDaemon& aDaemon, const StoreReply& aReply);
  void HandleRecords(ModelDaemon& aDaemon, const StoreReply& aReply);
  void HandleJobs(ModelDaemon& aDaemon, const StoreReply& aReply);
  bool RetryLoad(ModelDaemon& aDaemon, const StoreReply& aReply);
  void FinishLoad(ModelDaemon& aDaemon, milliseconds aStoreTime);
  void PollTables(ModelDaemon& aDaemon);
  void HandleChanges(ModelDaemon& aDaemon, const StoreReply& aReply);
  void ApplyTables(ModelDaemon& aDaemon,
                   const Tables& aTables,
                   milliseconds aStoreTime);
  bool IsLeaseConfirmed(const ModelDaemon& aDaemon) const;
  bool IsWriteDue(const ModelDaemon& aDaemon) const;
  void Write(ModelDaemon& aDaemon);
  void FinishWrite(ModelDaemon& aDaemon, const StoreReply& aReply);
  void StepDown(ModelDaemon& aDaemon, const char* aReason);
  void EndOwnership(ModelDaemon& aDaemon);
  void Release(ModelDaemon& aDaemon);
  void ScheduleCycle(ModelDaemon& aDaemon, milliseconds aDelay);
  void RunCycle(ModelDaemon& aDaemon);
  milliseconds DetectSuspension(ModelDaemon& aDaemon);
  void SendCommands(ModelDaemon& aDaemon, milliseconds aNow);
  void LogSchedulerEvents(ModelDaemon& aDaemon);

  /** Executes a call on a worker and passes it a function for the reply. */
  template<typename Reply>
  using WorkerOperation =
    std::function<void(ModelWorker&, std::function<void(const Reply&)>)>;
  template<typename Reply>
  void CallWorker(ModelDaemon& aDaemon,
                  const WorkerTarget& aTarget,
                  milliseconds aDelay,
                  milliseconds aTimeout,
                  WorkerOperation<Reply> aOperation,
                  std::function<void(const Reply&)> aDeliver);

  // Workers.
  void Boot(ModelWorker& aWorker, milliseconds aClock);
  void RestartWorker(ModelWorker& aWorker, bool aIsReplaced);
  void Refresh(ModelWorker& aWorker);
  void RemoveEntry(const std::string& aId);
  void ExtendLease(ModelWorker& aWorker, milliseconds aExpiry);
  CommandReply HandleStart(ModelWorker& aWorker,
                           const StartCommand& aCommand,
                           milliseconds aOrderedAt);
  CommandReply HandleStop(ModelWorker& aWorker, const StopCommand& aCommand);
  void HandleRenewal(ModelWorker& aWorker,
                     const RenewCommand& aCommand,
                     const std::function<void(const RenewReply&)>& aRespond);
  RenewReply Report(const ModelWorker& aWorker) const;
  void CheckStart(const ModelWorker& aWorker, const ModelRun& aRun);
  void Terminate(ModelWorker& aWorker, Number aRun, TerminationReason aReason);
  void Acknowledge(ModelWorker& aWorker, Number aUpTo);
  std::string Describe(const ModelWorker& aWorker, const ModelRun& aRun) const;
  void Violate(const std::string& aText);

  const TakeoverRules& mRules;
  TakeoverPlan mPlan;
  bool mIsTraced;
  Draws mDraws;
  EventQueue mQueue;
  ModelStore mStore;
  std::vector<ModelWorker> mWorkers;
  std::vector<ModelDaemon> mDaemons;
  state::Backoff mAcquireBackoff{ milliseconds(400), milliseconds(3'200) };
  state::Backoff mWriteBackoff{ milliseconds(100), milliseconds(800) };
  Number mNumbers = 0;
  Number mIncarnations = 1'000;
  std::map<std::string, milliseconds> mWorkTimes;
  /** Tasks whose completion was acknowledged within the lease. */
  std::set<TaskId> mDoneTasks;
  std::map<TaskId, milliseconds> mLastStarts;
};

TakeoverModel::Impl::Impl(const TakeoverRules& aRules,
                          TakeoverPlan aPlan,
                          bool aIsTraced)
  : mRules(aRules)
  , mPlan(std::move(aPlan))
  , mIsTraced(aIsTraced)
  , mDraws(mPlan.mSeed + 1)
  , mWorkers(mPlan.mWorkers)
  , mDaemons(kTakeoverDaemons)
{
  const auto drawRate = [this] {
    // Half of the clocks are at the ends of the range.
    const std::size_t end = mDraws.Below(4);
    return end < 2 ? kSlowestRate + (1.0 - kSlowestRate) * double(end)
                   : kSlowestRate + (1.0 - kSlowestRate) * mDraws.Share();
  };
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    ModelWorker& worker = mWorkers[i];
    worker.mInfo.mId = "w" + std::to_string(i);
    worker.mInfo.mAddress = "10.0.0." + std::to_string(i) + ":1";
    worker.mInfo.mService = "s";
    worker.mInfo.mRack = "r";
    worker.mInfo.mCapacity = Resources(kWorkerCpu, 64'000, 0);
    worker.mClock.mRate = drawRate();
    Boot(worker, mDraws.Between(milliseconds(1'000), milliseconds(900'000)));
  }
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    ModelDaemon& daemon = mDaemons[i];
    daemon.mName = "d" + std::to_string(i);
    daemon.mNumber = i;
    daemon.mClock.mRate = drawRate();
    daemon.mClock.mOffset =
      mDraws.Between(milliseconds(10'000), milliseconds(900'000));
    daemon.mTakeoverDelay = milliseconds(100) * mDraws.Below(4);
    daemon.mLinks.resize(mWorkers.size());
    RestartDaemon(daemon, milliseconds(20) + milliseconds(50) * i);
  }
  ScheduleJobs();
  for (const TakeoverFault& fault : mPlan.mFaults) {
    mQueue.Schedule(fault.mAt, [this, &fault] { BeginFault(fault); });
  }
}

void
TakeoverModel::Impl::Log(const std::string& aWho, const std::string& aText)
{
  if (mIsTraced) {
    mTrace.push_back(std::to_string(Now().count()) + " " + aWho + " " + aText);
  }
}

/** Runs an action of a daemon after a delay, or after its pause then. */
void
TakeoverModel::Impl::Post(ModelDaemon& aDaemon,
                          milliseconds aDelay,
                          Action aAction)
{
  mQueue.Schedule(
    aDelay,
    [this, &aDaemon, life = aDaemon.mLife, action = std::move(aAction)] {
      if (life != aDaemon.mLife) {
        return;
      }
      if (Now() < aDaemon.mPausedUntil || !aDaemon.mMailbox.empty()) {
        aDaemon.mMailbox.push_back(action);
      } else {
        action();
      }
    });
}

void
TakeoverModel::Impl::Pause(ModelDaemon& aDaemon, milliseconds aTime)
{
  Log(aDaemon.mName, "pauses for " + std::to_string(aTime.count()));
  aDaemon.mPausedUntil = std::max(aDaemon.mPausedUntil, Now() + aTime);
  mQueue.Schedule(aTime, [this, &aDaemon] { Wake(aDaemon); });
}

void
TakeoverModel::Impl::Wake(ModelDaemon& aDaemon)
{
  while (Now() >= aDaemon.mPausedUntil && !aDaemon.mMailbox.empty()) {
    const Action action = std::move(aDaemon.mMailbox.front());
    aDaemon.mMailbox.pop_front();
    action();
  }
}

milliseconds
TakeoverModel::Impl::DrawLatency()
{
  return mDraws.Chance(0.02)
           ? mDraws.Between(milliseconds(10), milliseconds(900))
           : mDraws.Between(milliseconds(1), milliseconds(8));
}

milliseconds
TakeoverModel::Impl::DrawStoreLatency(const ModelDaemon& aDaemon)
{
  return aDaemon.mStore.mSlow > 0
           ? mDraws.Between(milliseconds(20), milliseconds(600))
           : mDraws.Between(milliseconds(2), milliseconds(15));
}

std::vector<std::size_t>
TakeoverModel::Impl::DaemonsOf(const TakeoverFault& aFault) const
{
  std::vector<std::size_t> daemons;
  for (const ModelDaemon& daemon : mDaemons) {
    const bool isOwner = daemon.mName == mStore.mLease.mOwner;
    const bool isMeant = aFault.mDaemons == TakeoverFault::Daemons::kOwner
                           ? isOwner
                         : aFault.mDaemons == TakeoverFault::Daemons::kOthers
                           ? !isOwner
                           : daemon.mNumber == aFault.mDaemon;
    if (isMeant) {
      daemons.push_back(daemon.mNumber);
    }
  }
  return daemons;
}

void
TakeoverModel::Impl::BeginFault(const TakeoverFault& aFault)
{
  Log("fault", aFault.Text());
  if (aFault.mKind == TakeoverFaultKind::kStoreDown) {
    ++mStore.mOutages;
    mQueue.Schedule(aFault.mFor, [this] { --mStore.mOutages; });
  }
  if (HasDaemons(aFault.mKind)) {
    for (const std::size_t daemon : DaemonsOf(aFault)) {
      BeginDaemonFault(aFault, mDaemons[daemon]);
    }
    return;
  }
  for (std::size_t i = 0; HasWorkers(aFault.mKind) && i < mWorkers.size();
       ++i) {
    if ((aFault.mWorkers >> i & 1U) != 0) {
      BeginWorkerFault(aFault, mWorkers[i]);
    }
  }
}

void
TakeoverModel::Impl::BeginDaemonFault(const TakeoverFault& aFault,
                                      ModelDaemon& aDaemon)
{
  const auto count = [this, &aFault](int& aCount) {
    ++aCount;
    mQueue.Schedule(aFault.mFor, [&aCount] { --aCount; });
  };
  for (const LinkFaultRow& row : kLinkFaults) {
    for (std::size_t i = 0;
         row.mKind == aFault.mKind && i < aDaemon.mLinks.size();
         ++i) {
      for (int LinkFaults::*const it : row.mCounts) {
        if ((aFault.mWorkers >> i & 1U) != 0) {
          count(aDaemon.mLinks[i].*it);
        }
      }
    }
  }
  for (const StoreFaultRow& row : kStoreFaults) {
    if (row.mKind == aFault.mKind) {
      count(aDaemon.mStore.*row.mCount);
    }
  }
  const milliseconds pause = std::min(aFault.mFor, milliseconds(8'000));
  if (aFault.mKind == TakeoverFaultKind::kPause) {
    Pause(aDaemon, pause);
  } else if (aFault.mKind == TakeoverFaultKind::kPauseAtReply) {
    aDaemon.mPauseAtReply = pause;
  } else if (aFault.mKind == TakeoverFaultKind::kPauseAtSend) {
    aDaemon.mPauseAtSend = pause;
  } else if (aFault.mKind == TakeoverFaultKind::kDaemonRestart) {
    RestartDaemon(aDaemon, pause);
  } else if (aFault.mKind == TakeoverFaultKind::kDaemonStop) {
    Post(aDaemon, milliseconds(0), [this, &aDaemon] { Release(aDaemon); });
    mQueue.Schedule(pause,
                    [this, &aDaemon] { RestartDaemon(aDaemon, kBootTime); });
  }
}

void
TakeoverModel::Impl::BeginWorkerFault(const TakeoverFault& aFault,
                                      ModelWorker& aWorker)
{
  if (aFault.mKind == TakeoverFaultKind::kWorkerUnlisted) {
    ++aWorker.mUnlisted;
    mQueue.Schedule(aFault.mFor, [&aWorker] { --aWorker.mUnlisted; });
  } else if (aFault.mKind == TakeoverFaultKind::kWorkerDrains) {
    aWorker.mInfo.mDraining = true;
    aWorker.mInfo.mShutdownAfter = std::min(aFault.mFor, milliseconds(4'000));
    Refresh(aWorker);
    mQueue.Schedule(aFault.mFor, [this, &aWorker] {
      const std::string id = aWorker.mInfo.mId;
      RestartWorker(aWorker, true);
      RemoveEntry(id);
    });
  } else {
    RestartWorker(aWorker, aFault.mKind == TakeoverFaultKind::kWorkerReplaced);
  }
}

void
TakeoverModel::Impl::ScheduleJobs()
{
  milliseconds at(100);
  for (std::size_t i = 0; at < kTakeoverFaultTime + milliseconds(5'000); ++i) {
    StepSpecValues step;
    step.mTasks = 1 + mDraws.Below(3);
    step.mDemand =
      Resources(1'000 * static_cast<std::int64_t>(1 + mDraws.Below(4)), 100, 0);
    const std::string id = "j" + std::to_string(i);
    const TaskJob job = MakeJob(id, step, mDraws.Chance(0.3) ? 0 : 1, 3);
    mWorkTimes[id] = mDraws.Between(
      milliseconds(200), milliseconds(mDraws.Chance(0.5) ? 2'000 : 30'000));
    const auto add = [this, job](bool aIsCancelled) {
      mStore.mTables.mJobs.push_back(
        { ++mStore.mTables.mVersion, job, aIsCancelled });
    };
    mQueue.Schedule(at, [add] { add(false); });
    if (mDraws.Chance(0.05)) {
      mQueue.Schedule(at + mDraws.Between(milliseconds(0), milliseconds(8'000)),
                      [add] { add(true); });
    }
    at += mDraws.Between(milliseconds(200), milliseconds(3'000));
  }
}

void
TakeoverModel::Impl::RestartDaemon(ModelDaemon& aDaemon, milliseconds aDownTime)
{
  Log(aDaemon.mName, "restarts in " + std::to_string(aDownTime.count()));
  ++aDaemon.mLife;
  aDaemon.mPausedUntil = milliseconds(0);
  aDaemon.mMailbox.clear();
  aDaemon.mState = DaemonState();
  aDaemon.mState.mFirstCall = ++mNumbers;
  aDaemon.mState.mIncarnation =
    aDaemon.mName + "-" + std::to_string(++mNumbers);
  aDaemon.mState.mOwnerObserver =
    LeaseObserver(kOwnerTimeout + aDaemon.mTakeoverDelay);
  aDaemon.mState.mReleaseObserver = LeaseObserver(aDaemon.mTakeoverDelay);
  aDaemon.mState.mUnclaimedObserver =
    LeaseObserver(kUnclaimedTime + aDaemon.mTakeoverDelay);
  Post(aDaemon, aDownTime, [this, &aDaemon] { Tick(aDaemon); });
}

StoreReply
TakeoverModel::Impl::Execute(const StoreOperation& aOperation)
{
  StoreReply reply;
  reply.mStatus = StoreStatus::kUnavailable;
  if (mStore.mOutages == 0) {
    reply = aOperation(mStore);
    reply.mStoreTime = Now() + milliseconds(1);
  }
  return reply;
}

void
TakeoverModel::Impl::CallStore(ModelDaemon& aDaemon,
                               bool aIsWrite,
                               const StoreOperation& aOperation,
                               StoreHandler aHandler)
{
  const Number call = ++mNumbers;
  const auto deliver = [this, &aDaemon, call, aHandler](
                         milliseconds aDelay, const StoreReply& aReply) {
    Post(aDaemon, aDelay, [this, &aDaemon, call, aHandler, aReply] {
      if (call >= aDaemon.mState.mFirstCall) {
        (this->*aHandler)(aDaemon, aReply);
      }
    });
  };
  const milliseconds timeout = aDaemon.mClock.TimeFor(kStoreTimeout);
  if (aDaemon.mStore.mCut > 0 || mDraws.Chance(mPlan.mLostShare)) {
    deliver(timeout, StoreReply{});
    return;
  }
  const bool isLate = aIsWrite && (aDaemon.mStore.mWritesLate > 0 ||
                                   mDraws.Chance(mPlan.mLateShare));
  if (isLate) {
    mQueue.Schedule(mDraws.Between(kStoreTimeout, kLateTime),
                    [this, &aDaemon, aOperation] {
                      const StoreReply reply = Execute(aOperation);
                      if (reply.mStatus == StoreStatus::kOk) {
                        Log(aDaemon.mName, "late write stored");
                      }
                    });
    deliver(timeout, StoreReply{});
    return;
  }
  const milliseconds delay = DrawStoreLatency(aDaemon);
  mQueue.Schedule(
    delay,
    [this,
     &aDaemon,
     aIsWrite,
     aOperation,
     deliver,
     delay,
     timeout,
     life = aDaemon.mLife] {
      const StoreReply reply = Execute(aOperation);
      if (reply.mIsAwaited && life == aDaemon.mLife &&
          aDaemon.mPauseAtReply.count() > 0) {
        Pause(aDaemon, std::exchange(aDaemon.mPauseAtReply, milliseconds(0)));
      }
      const milliseconds back = DrawStoreLatency(aDaemon);
      const bool isLost =
        aDaemon.mStore.mRepliesLost > 0 || mDraws.Chance(mPlan.mLostShare);
      if (isLost || delay + back >= timeout) {
        deliver(timeout - std::min(delay, timeout), StoreReply{});
      } else {
        deliver(back, reply);
      }
    });
}

void
TakeoverModel::Impl::Tick(ModelDaemon& aDaemon)
{
  DaemonState& state = aDaemon.mState;
  if (state.mMode == Mode::kReleased) {
    return;
  }
  if (state.mMode == Mode::kFollowing) {
    ReadLease(aDaemon);
  } else if (state.mMode == Mode::kLoading && IsWriteDue(aDaemon)) {
    Write(aDaemon);
  } else if (state.mMode == Mode::kOwning) {
    ScheduleCycle(aDaemon, kBatchDelay);
  }
  const bool isBusy = state.mScheduler && !state.mScheduler->IsIdle();
  PostLocal(aDaemon,
            isBusy ? kCycleInterval : kRenewInterval,
            [this, &aDaemon] { Tick(aDaemon); });
}

void
TakeoverModel::Impl::ReadLease(ModelDaemon& aDaemon)
{
  DaemonState& state = aDaemon.mState;
  if (!state.mLeaseReadInFlight) {
    state.mLeaseReadInFlight = true;
    state.mLeaseReadSentAt = Now(aDaemon);
    CallStore(
      aDaemon,
      false,
      [](ModelStore& aStore) {
        StoreReply reply;
        reply.mStatus = StoreStatus::kOk;
        reply.mVersion = aStore.mLeaseVersion;
        reply.mLease = aStore.mLease;
        return reply;
      },
      &Impl::HandleLeaseRow);
  }
}

void
TakeoverModel::Impl::HandleLeaseRow(ModelDaemon& aDaemon,
                                    const StoreReply& aReply)
{
  DaemonState& state = aDaemon.mState;
  state.mLeaseReadInFlight = false;
  if (state.mMode != Mode::kFollowing || state.mReleasing) {
    return;
  }
  if (aReply.mStatus != StoreStatus::kOk) {
    state.mOwnerObserver.Reset();
    state.mUnclaimedObserver.Reset();
    return;
  }
  if (aReply.mVersion == 0) {
    AcquireLease(aDaemon, 0, OwnerLease{});
    return;
  }
  const milliseconds now = Now(aDaemon);
  const OwnerLease& lease = aReply.mLease;
  state.mStoreTiming =
    state.mStoreTiming.WithRead(now, now - state.mLeaseReadSentAt);
  state.mSighting = state.mSighting.WithRead(aReply.mVersion, now);
  state.mOwnerObserver.Observe(aReply.mVersion, aReply.mStoreTime);
  state.mUnclaimedObserver.Observe(aReply.mVersion, aReply.mStoreTime);
  if (lease.mIncarnation == state.mIncarnation && !lease.mOwner.empty()) {
    if (lease.mEpoch != state.mLease.mEpoch) {
      state.mInheritedLeases.clear();
      state.mEarlierCommands.mBySighting = state.mSighting.LastCommandAt();
    }
    state.mLease = lease;
    FinishAcquire(aDaemon, aReply.mVersion);
  } else if (now < state.mAbstainUntil) {
    if (state.mUnclaimedObserver.IsExpired()) {
      AcquireLease(aDaemon, aReply.mVersion, lease);
    }
  } else if (lease.mOwner.empty()) {
    state.mReleaseObserver.Observe(aReply.mVersion, aReply.mStoreTime);
    if (state.mReleaseObserver.IsExpired()) {
      AcquireLease(aDaemon, aReply.mVersion, lease);
    }
  } else if (lease.mOwner == aDaemon.mName || IsOwnerSilent(aDaemon, lease)) {
    AcquireLease(aDaemon, aReply.mVersion, lease);
  }
}

bool
TakeoverModel::Impl::IsOwnerSilent(ModelDaemon& aDaemon,
                                   const OwnerLease& aLease)
{
  DaemonState& state = aDaemon.mState;
  const milliseconds now = Now(aDaemon);
  const milliseconds limit =
    state.mStoreTiming.SilenceLimit(now, aLease.mRenewalBound, kOwnerTimeout) +
    aDaemon.mTakeoverDelay;
  if (!state.mOwnerObserver.IsExpired(limit)) {
    state.mTakeoverAt.reset();
    const milliseconds left = state.mOwnerObserver.TimeToExpiry(limit);
    if (left < kRenewInterval && !state.mExpiryReadScheduled) {
      state.mExpiryReadScheduled = true;
      PostLocal(aDaemon, left, [this, &aDaemon] {
        aDaemon.mState.mExpiryReadScheduled = false;
        if (aDaemon.mState.mMode == Mode::kFollowing) {
          ReadLease(aDaemon);
        }
      });
    }
    return false;
  }
  if (!state.mTakeoverAt) {
    const milliseconds spread = state.mStoreTiming.AcquireSpread(now);
    state.mTakeoverAt = now + mDraws.Between(milliseconds(0), spread);
  }
  return now >= *state.mTakeoverAt;
}

void
TakeoverModel::Impl::AcquireLease(ModelDaemon& aDaemon,
                                  Number aVersion,
                                  const OwnerLease& aObserved)
{
  DaemonState& state = aDaemon.mState;
  const milliseconds now = Now(aDaemon);
  if (now < state.mNextAcquireAt) {
    return;
  }
  state.mMode = Mode::kAcquiring;
  state.mLease = aObserved;
  state.mLease.mWorkerLeases.clear();
  state.mInheritedLeases.clear();
  if (!aObserved.mOwner.empty()) {
    state.mLease.mHandovers = 0;
  } else {
    for (const auto& [worker, remaining] : aObserved.mWorkerLeases) {
      state.mInheritedLeases.emplace(
        worker, now + milliseconds(static_cast<milliseconds::rep>(remaining)));
    }
  }
  state.mEarlierCommands.mBySighting =
    aVersion != 0 ? state.mSighting.LastCommandAt() : now;
  state.mAcquireSentAt = now;
  state.mLease.mOwner = aDaemon.mName;
  state.mLease.mIncarnation = state.mIncarnation;
  state.mLease.mEpoch = aObserved.mEpoch + 1;
  state.mLease.mSequence = 1;
  state.mTakeoverAt.reset();
  CallStore(
    aDaemon,
    true,
    [aVersion, lease = state.mLease](ModelStore& aStore) {
      StoreReply reply;
      reply.mStatus = StoreStatus::kConflict;
      if (aStore.mLeaseVersion == aVersion) {
        reply.mStatus = StoreStatus::kOk;
        reply.mIsAwaited = true;
        aStore.mLease = lease;
        aStore.mLeaseVersion = ++aStore.mTables.mVersion;
      }
      reply.mVersion = aStore.mLeaseVersion;
      reply.mLease = aStore.mLease;
      return reply;
    },
    &Impl::HandleAcquireResult);
}

void
TakeoverModel::Impl::HandleAcquireResult(ModelDaemon& aDaemon,
                                         const StoreReply& aReply)
{
  DaemonState& state = aDaemon.mState;
  if (aReply.mStatus == StoreStatus::kOk) {
    FinishAcquire(aDaemon, aReply.mVersion);
    return;
  }
  if (aReply.mStatus != StoreStatus::kConflict) {
    state.mNextAcquireAt =
      Now(aDaemon) +
      mAcquireBackoff.Delay(++state.mFailedAcquisitions, mDraws.Share());
  }
  state.mMode = Mode::kFollowing;
  state.mOwnerObserver.Reset();
}

void
TakeoverModel::Impl::FinishAcquire(ModelDaemon& aDaemon, Number aVersion)
{
  DaemonState& state = aDaemon.mState;
  state.mLeaseVersion = aVersion;
  state.mTenure = OwnerTenure().WithStoredWrite(state.mAcquireSentAt);
  state.mLastWriteAt = state.mAcquireSentAt;
  state.mLastCycleAt = Now(aDaemon);
  state.mConfirmLeaseFrom = milliseconds(0);
  state.mIsWriteRetry = false;
  state.mAcquiredAt = Now(aDaemon);
  state.mWriteInFlight = false;
  state.mNextWriteAt = milliseconds(0);
  state.mFailedWrites = 0;
  state.mFailedAcquisitions = 0;
  ++mTakeovers;
  Log(aDaemon.mName,
      "takes the lease, epoch " + std::to_string(state.mLease.mEpoch));
  BeginLoad(aDaemon);
}

template<auto Table, TakeoverModel::Impl::StoreHandler Next>
void
TakeoverModel::Impl::LoadTable(ModelDaemon& aDaemon)
{
  CallStore(
    aDaemon,
    false,
    [](ModelStore& aStore) {
      StoreReply reply;
      reply.mStatus = StoreStatus::kOk;
      reply.mTables.mVersion = aStore.mTables.mVersion;
      reply.mTables.*Table = aStore.mTables.*Table;
      return reply;
    },
    Next);
}

void
TakeoverModel::Impl::BeginLoad(ModelDaemon& aDaemon)
{
  aDaemon.mState.mMode = Mode::kLoading;
  LoadTable<&Tables::mWorkers, &Impl::HandleWorkers>(aDaemon);
}

/** @return Whether the read failed; the load starts again then. */
bool
TakeoverModel::Impl::RetryLoad(ModelDaemon& aDaemon, const StoreReply& aReply)
{
  if (aReply.mStatus == StoreStatus::kOk) {
    return false;
  }
  PostLocal(aDaemon,
            kReadRetryDelay,
            [this, &aDaemon, epoch = aDaemon.mState.mLease.mEpoch] {
              const DaemonState& state = aDaemon.mState;
              if (state.mMode == Mode::kLoading &&
                  state.mLease.mEpoch == epoch) {
                BeginLoad(aDaemon);
              }
            });
  return true;
}

void
TakeoverModel::Impl::HandleWorkers(ModelDaemon& aDaemon,
                                   const StoreReply& aReply)
{
  if (!RetryLoad(aDaemon, aReply)) {
    aDaemon.mState.mLoaded = aReply.mTables;
    LoadTable<&Tables::mRecords, &Impl::HandleRecords>(aDaemon);
  }
}

void
TakeoverModel::Impl::HandleRecords(ModelDaemon& aDaemon,
                                   const StoreReply& aReply)
{
  if (!RetryLoad(aDaemon, aReply)) {
    aDaemon.mState.mLoaded.mRecords = aReply.mTables.mRecords;
    LoadTable<&Tables::mJobs, &Impl::HandleJobs>(aDaemon);
  }
}

void
TakeoverModel::Impl::HandleJobs(ModelDaemon& aDaemon, const StoreReply& aReply)
{
  if (!RetryLoad(aDaemon, aReply)) {
    aDaemon.mState.mLoaded.mJobs = aReply.mTables.mJobs;
    FinishLoad(aDaemon, aReply.mStoreTime);
  }
}

void
TakeoverModel::Impl::FinishLoad(ModelDaemon& aDaemon, milliseconds aStoreTime)
{
  DaemonState& state = aDaemon.mState;
  state.mEarlierCommands.mByLoad = Now(aDaemon) + kPresumedCommandTime;
  SchedulerOptions options;
  options.mEpoch = state.mLease.mEpoch;
  options.mInheritedLeases = std::move(state.mInheritedLeases);
  options.mLastEarlierCommandAt =
    state.mEarlierCommands.*mRules.mLastEarlierCommandAt;
  state.mInheritedLeases.clear();
  state.mScheduler.emplace(std::move(options));
  state.mTablesVersion = state.mLoaded.mVersion;
  Log(aDaemon.mName, "loaded");
  ApplyTables(aDaemon, state.mLoaded, aStoreTime);
  state.mLoaded = Tables();
  state.mMode = Mode::kOwning;
  PollTables(aDaemon);
  ScheduleCycle(aDaemon, milliseconds(0));
}

void
TakeoverModel::Impl::PollTables(ModelDaemon& aDaemon)
{
  CallStore(
    aDaemon,
    false,
    [since = aDaemon.mState.mTablesVersion](ModelStore& aStore) {
      StoreReply reply;
      reply.mStatus = StoreStatus::kOk;
      reply.mTables.mVersion = aStore.mTables.mVersion;
      for (const auto& [id, row] : aStore.mTables.mWorkers) {
        if (row.mVersion > since) {
          reply.mTables.mWorkers.emplace(id, row);
        }
      }
      std::copy_if(
        aStore.mTables.mJobs.begin(),
        aStore.mTables.mJobs.end(),
        std::back_inserter(reply.mTables.mJobs),
        [since](const JobRow& aRow) { return aRow.mVersion > since; });
      return reply;
    },
    &Impl::HandleChanges);
}

void
TakeoverModel::Impl::HandleChanges(ModelDaemon& aDaemon,
                                   const StoreReply& aReply)
{
  DaemonState& state = aDaemon.mState;
  if (aReply.mStatus == StoreStatus::kOk) {
    state.mTablesVersion = aReply.mTables.mVersion;
    ApplyTables(aDaemon, aReply.mTables, aReply.mStoreTime);
    if (!aReply.mTables.mJobs.empty()) {
      ScheduleCycle(aDaemon, milliseconds(0));
    }
  }
  PostLocal(
    aDaemon, kPollInterval, [this, &aDaemon, epoch = state.mLease.mEpoch] {
      if (aDaemon.mState.mMode == Mode::kOwning &&
          aDaemon.mState.mLease.mEpoch == epoch) {
        PollTables(aDaemon);
      }
    });
}

void
TakeoverModel::Impl::ApplyTables(ModelDaemon& aDaemon,
                                 const Tables& aTables,
                                 milliseconds aStoreTime)
{
  Scheduler& scheduler = *aDaemon.mState.mScheduler;
  const milliseconds now = Now(aDaemon);
  for (const auto& [id, row] : aTables.mWorkers) {
    if (row.mInfo) {
      scheduler.UpdateWorker(*row.mInfo, now);
    } else {
      scheduler.RemoveWorker(id, now);
    }
  }
  for (const JobRow& row : aTables.mJobs) {
    const std::string& id = row.mJob.Id();
    if (row.mIsCancelled) {
      scheduler.CancelJob(id, now);
      continue;
    }
    const auto record = aTables.mRecords.find(id);
    scheduler.AddJob(row.mJob,
                     aStoreTime - row.mJob.SubmittedAt(),
                     record != aTables.mRecords.end() ? &record->second
                                                      : nullptr,
                     now);
  }
}

bool
TakeoverModel::Impl::IsLeaseConfirmed(const ModelDaemon& aDaemon) const
{
  const DaemonState& state = aDaemon.mState;
  return (!mRules.mIsTenureLimited || state.mTenure.MayCommand(Now(aDaemon))) &&
         state.mTenure.ConfirmedAt() >= state.mConfirmLeaseFrom;
}

bool
TakeoverModel::Impl::IsWriteDue(const ModelDaemon& aDaemon) const
{
  const DaemonState& state = aDaemon.mState;
  const milliseconds now = Now(aDaemon);
  if (state.mWriteInFlight || now < state.mNextWriteAt) {
    return false;
  }
  const bool hasChanges =
    state.mMode == Mode::kOwning && state.mScheduler->HasChanges();
  return hasChanges || state.mReleasing || state.mIsolated ||
         !IsLeaseConfirmed(aDaemon) ||
         now - state.mLastWriteAt >= kRenewInterval;
}

void
TakeoverModel::Impl::Write(ModelDaemon& aDaemon)
{
  DaemonState& state = aDaemon.mState;
  const milliseconds now = Now(aDaemon);
  state.mWriteInFlight = true;
  state.mLastWriteAt = now;
  if (!state.mIsWriteRetry) {
    state.mWriteBegunAt = now;
  }
  state.mIsWriteRetry = true;
  ++state.mLease.mSequence;
  state.mLease.mRenewalBound =
    state.mStoreTiming.RenewalBound(now, kRenewInterval);
  std::vector<JobProgress> records;
  if (state.mMode == Mode::kOwning) {
    records =
      state.mScheduler->BeginWrite({ kRecordsPerWrite, TaskJob::kMaxTasks });
  }
  if (state.mReleasing) {
    state.mLease.mOwner.clear();
  } else if (state.mIsolated && !state.mLease.mOwner.empty()) {
    state.mLease = state.mLease.HandedOver(now - state.mAcquiredAt);
  }
  if (state.mLease.mOwner.empty() && state.mMode == Mode::kOwning) {
    state.mLease.mWorkerLeases.clear();
    for (const auto& [worker, remaining] :
         state.mScheduler->WithholdLeases(now)) {
      state.mLease.mWorkerLeases.emplace(
        worker, static_cast<std::uint64_t>(remaining.count()));
    }
  }
  CallStore(
    aDaemon,
    true,
    [version = state.mLeaseVersion, lease = state.mLease, records](
      ModelStore& aStore) {
      StoreReply reply;
      reply.mStatus = StoreStatus::kConflict;
      if (aStore.mLeaseVersion == version) {
        reply.mStatus = StoreStatus::kOk;
        reply.mIsAwaited = !records.empty();
        aStore.mLease = lease;
        aStore.mLeaseVersion = ++aStore.mTables.mVersion;
        for (const JobProgress& record : records) {
          aStore.mTables.mRecords.insert_or_assign(record.Job(), record);
        }
      }
      reply.mVersion = aStore.mLeaseVersion;
      reply.mLease = aStore.mLease;
      return reply;
    },
    &Impl::FinishWrite);
}

void
TakeoverModel::Impl::FinishWrite(ModelDaemon& aDaemon, const StoreReply& aReply)
{
  DaemonState& state = aDaemon.mState;
  const milliseconds now = Now(aDaemon);
  const bool isStored = aReply.mStatus == StoreStatus::kOk;
  state.mWriteInFlight = false;
  if (state.mMode == Mode::kOwning) {
    state.mScheduler->FinishWrite(isStored);
  }
  if (isStored) {
    state.mStoreTiming =
      state.mStoreTiming.WithRenewal(now, now - state.mWriteBegunAt);
    state.mIsWriteRetry = false;
    state.mFailedWrites = 0;
    state.mLeaseVersion = aReply.mVersion;
    state.mTenure = state.mTenure.WithStoredWrite(state.mLastWriteAt);
    if (state.mLease.mOwner.empty()) {
      Log(aDaemon.mName, "released the lease");
      EndOwnership(aDaemon);
      return;
    }
  } else if (aReply.mStatus != StoreStatus::kConflict) {
    state.mNextWriteAt =
      now + mWriteBackoff.Delay(++state.mFailedWrites, mDraws.Share());
  } else if (aReply.mLease.mIncarnation == state.mIncarnation &&
             aReply.mLease.mEpoch == state.mLease.mEpoch) {
    state.mLeaseVersion = aReply.mVersion;
    if (mRules.mIsConfirmedByConflict) {
      state.mTenure = state.mTenure.WithStoredWrite(state.mLastWriteAt);
    }
  } else {
    StepDown(aDaemon, "overtaken");
  }
  if (state.mMode == Mode::kOwning) {
    ScheduleCycle(aDaemon, milliseconds(0));
  }
}

void
TakeoverModel::Impl::StepDown(ModelDaemon& aDaemon, const char* aReason)
{
  Log(aDaemon.mName, std::string("steps down: ") + aReason);
  EndOwnership(aDaemon);
}

void
TakeoverModel::Impl::EndOwnership(ModelDaemon& aDaemon)
{
  DaemonState& state = aDaemon.mState;
  if (state.mIsolated) {
    state.mAbstainUntil = Now(aDaemon) + kHandoverAbstention;
  }
  state.mIsolated = false;
  state.mInheritedLeases.clear();
  state.mScheduler.reset();
  state.mFirstCall = ++mNumbers;
  state.mLeaseReadInFlight = false;
  state.mWriteInFlight = false;
  state.mOwnerObserver.Reset();
  state.mReleaseObserver.Reset();
  state.mUnclaimedObserver.Reset();
  state.mMode = state.mReleasing ? Mode::kReleased : Mode::kFollowing;
}

void
TakeoverModel::Impl::Release(ModelDaemon& aDaemon)
{
  DaemonState& state = aDaemon.mState;
  Log(aDaemon.mName, "stops");
  state.mReleasing = true;
  if (state.mMode == Mode::kOwning || state.mMode == Mode::kLoading) {
    if (!state.mWriteInFlight) {
      Write(aDaemon);
    }
    return;
  }
  state.mMode = Mode::kReleased;
}

void
TakeoverModel::Impl::ScheduleCycle(ModelDaemon& aDaemon, milliseconds aDelay)
{
  if (!aDaemon.mState.mCycleScheduled) {
    aDaemon.mState.mCycleScheduled = true;
    PostLocal(aDaemon, aDelay, [this, &aDaemon] {
      aDaemon.mState.mCycleScheduled = false;
      RunCycle(aDaemon);
    });
  }
}

void
TakeoverModel::Impl::RunCycle(ModelDaemon& aDaemon)
{
  DaemonState& state = aDaemon.mState;
  if (state.mMode != Mode::kOwning) {
    return;
  }
  if (state.mScheduler->IsFenced()) {
    StepDown(aDaemon, "fenced");
    return;
  }
  if (!state.mReleasing && !state.mIsolated &&
      state.mScheduler->Reachability(Now(aDaemon)).IsIsolated() &&
      state.mLease.MayHandOver(Now(aDaemon) - state.mAcquiredAt)) {
    Log(aDaemon.mName, "is isolated");
    state.mIsolated = true;
  }
  const milliseconds now = DetectSuspension(aDaemon);
  if (!state.mReleasing && !state.mIsolated && IsLeaseConfirmed(aDaemon)) {
    state.mScheduler->Plan(now, Now());
  }
  LogSchedulerEvents(aDaemon);
  if (!state.mReleasing && IsLeaseConfirmed(aDaemon)) {
    SendCommands(aDaemon, now);
  }
  if (IsWriteDue(aDaemon)) {
    Write(aDaemon);
  }
}

milliseconds
TakeoverModel::Impl::DetectSuspension(ModelDaemon& aDaemon)
{
  const milliseconds now = Now(aDaemon);
  if (now - aDaemon.mState.mLastCycleAt > kMaxCycleGap) {
    Log(aDaemon.mName, "notices a suspension");
    aDaemon.mState.mConfirmLeaseFrom = now;
  }
  aDaemon.mState.mLastCycleAt = now;
  return now;
}

void
TakeoverModel::Impl::LogSchedulerEvents(ModelDaemon& aDaemon)
{
  using Kind = SchedulerEvent::Kind;
  static const std::map<Kind, const char*> kNames{
    { Kind::kPlaced, "placed" },
    { Kind::kRunEnded, "run_ended" },
    { Kind::kRunLost, "run_lost" },
    { Kind::kWorkerSilent, "silent" },
    { Kind::kWorkerBack, "back" },
    { Kind::kWorkerGone, "gone" },
    { Kind::kEndIgnored, "end_ignored" },
    { Kind::kPreempted, "preempted" },
    { Kind::kRunMoved, "moved" },
    { Kind::kJobEnded, "job_ended" },
    { Kind::kReplyIgnored, "reply_ignored" }
  };
  for (const SchedulerEvent& event : aDaemon.mState.mScheduler->TakeEvents()) {
    const auto name = kNames.find(event.mKind);
    if (mIsTraced && name != kNames.end()) {
      std::string text = name->second;
      for (const auto& [field, value] : event.mFields) {
        text += " " + field + "=" + value;
      }
      Log(aDaemon.mName, text);
    }
  }
}

void
TakeoverModel::Impl::SendCommands(ModelDaemon& aDaemon, milliseconds aNow)
{
  const Number epoch = aDaemon.mState.mLease.mEpoch;
  const WorkerCommands commands =
    aDaemon.mState.mScheduler->CollectCommands(aNow);
  milliseconds delay(0);
  const bool hasCommands = !commands.mStops.empty() ||
                           !commands.mStarts.empty() ||
                           !commands.mRenewals.empty();
  if (hasCommands && aDaemon.mPauseAtSend.count() > 0) {
    delay = std::exchange(aDaemon.mPauseAtSend, milliseconds(0));
    Pause(aDaemon, delay);
  }
  const auto apply = [this, &aDaemon, epoch](auto aApply) {
    DaemonState& state = aDaemon.mState;
    if (state.mMode == Mode::kOwning && state.mLease.mEpoch == epoch) {
      aApply(*state.mScheduler, Now(aDaemon));
      ScheduleCycle(aDaemon, kBatchDelay);
    }
  };
  for (const StopCommand& command : commands.mStops) {
    CallWorker<CommandReply>(
      aDaemon,
      command.mWorker,
      delay,
      kWorkerTimeout,
      [this, command](ModelWorker& aWorker, const auto& aRespond) {
        aRespond(HandleStop(aWorker, command));
      },
      [apply, command](const CommandReply& aReply) {
        apply([&](Scheduler& aScheduler, milliseconds aAt) {
          aScheduler.ApplyStopReply(command, aReply, aAt);
        });
      });
  }
  for (const StartCommand& command : commands.mStarts) {
    CallWorker<CommandReply>(
      aDaemon,
      command.mWorker,
      delay,
      kWorkerTimeout,
      [this, command, at = Now()](ModelWorker& aWorker, const auto& aRespond) {
        aRespond(HandleStart(aWorker, command, at));
      },
      [apply, command](const CommandReply& aReply) {
        apply([&](Scheduler& aScheduler, milliseconds aAt) {
          aScheduler.ApplyStartReply(command, aReply, aAt);
        });
      });
  }
  for (const RenewCommand& command : commands.mRenewals) {
    CallWorker<RenewReply>(
      aDaemon,
      command.mWorker,
      delay,
      kWorkerTimeout + command.mMaxWait,
      [this, command](ModelWorker& aWorker, const auto& aRespond) {
        HandleRenewal(aWorker, command, aRespond);
      },
      [apply, command, sentAt = Now(aDaemon)](const RenewReply& aReply) {
        apply([&](Scheduler& aScheduler, milliseconds aAt) {
          aScheduler.ApplyRenewReply(command, aReply, sentAt, aAt);
        });
      });
  }
}

template<typename Reply>
void
TakeoverModel::Impl::CallWorker(ModelDaemon& aDaemon,
                                const WorkerTarget& aTarget,
                                milliseconds aDelay,
                                milliseconds aTimeout,
                                WorkerOperation<Reply> aOperation,
                                std::function<void(const Reply&)> aDeliver)
{
  const auto it = std::find_if(
    mWorkers.begin(), mWorkers.end(), [&](const ModelWorker& aWorker) {
      return aWorker.mInfo.mAddress == aTarget.mAddress;
    });
  ModelWorker& worker = *it;
  const LinkFaults& link = aDaemon.mLinks[it - mWorkers.begin()];
  const auto finish = [this,
                       &aDaemon,
                       aDeliver,
                       isDone = std::make_shared<bool>(false),
                       life = aDaemon.mLife](milliseconds aAfter,
                                             const Reply& aReply) {
    if (life == aDaemon.mLife) {
      Post(aDaemon, aAfter, [isDone, aDeliver, aReply] {
        if (!std::exchange(*isDone, true)) {
          aDeliver(aReply);
        }
      });
    }
  };
  finish(aDelay + aDaemon.mClock.TimeFor(aTimeout), Reply{});
  Reply notSent;
  notSent.mOutcome = CommandOutcome::kNotSent;
  if (link.mCommandsLost > 0 || mDraws.Chance(mPlan.mLostShare)) {
    if (link.mCommandsLost > 0 && mDraws.Chance(0.3)) {
      finish(aDelay + milliseconds(2), notSent);
    }
    return;
  }
  const bool isLate = link.mCommandsLate > 0 || mDraws.Chance(mPlan.mLateShare);
  const milliseconds delay =
    aDelay +
    (isLate ? mDraws.Between(milliseconds(300), kLateTime) : DrawLatency());
  mQueue.Schedule(
    delay, [=, this, &worker, &link, id = aTarget.mId, life = worker.mLife] {
      if (isLate && life != worker.mLife && !mPlan.mCommandsOutliveWorkers) {
        return;
      }
      if (worker.mIsDown) {
        finish(milliseconds(1), notSent);
        return;
      }
      const auto respond = [this, finish, &link](const Reply& aReply) {
        if (link.mRepliesLost == 0 && !mDraws.Chance(mPlan.mLostShare)) {
          finish(DrawLatency(), aReply);
        }
      };
      if (id != worker.mInfo.mId) {
        Reply mismatch;
        mismatch.mOutcome = CommandOutcome::kIncarnationMismatch;
        respond(mismatch);
        return;
      }
      aOperation(worker, respond);
    });
}

void
TakeoverModel::Impl::Boot(ModelWorker& aWorker, milliseconds aClock)
{
  aWorker.mIsDown = false;
  aWorker.mInfo.mIncarnation = ++mIncarnations;
  aWorker.mInfo.mDraining = false;
  aWorker.mInfo.mShutdownAfter = milliseconds(0);
  aWorker.mClock.mOffset = aClock;
  aWorker.mClock.mSetAt = Now();
  Refresh(aWorker);
}

void
TakeoverModel::Impl::RestartWorker(ModelWorker& aWorker, bool aIsReplaced)
{
  Log(aWorker.mInfo.mId, aIsReplaced ? "is replaced" : "restarts");
  ++aWorker.mLife;
  aWorker.mIsDown = true;
  aWorker.mEpoch = 0;
  aWorker.mLeaseExpiry = milliseconds(0);
  aWorker.mRuns.clear();
  aWorker.mTerminated.clear();
  aWorker.mTerminations = 0;
  aWorker.mHighestEndedRuns.clear();
  aWorker.mWaiting.clear();
  if (aIsReplaced) {
    aWorker.mInfo.mId += "x";
  }
  mQueue.Schedule(mDraws.Between(milliseconds(100), 2 * kBootTime),
                  [this, &aWorker, life = aWorker.mLife] {
                    if (life == aWorker.mLife) {
                      Boot(aWorker, mDraws.Between(milliseconds(1), kBootTime));
                    }
                  });
}

/** Writes the entry of a worker in the list, and again later. */
void
TakeoverModel::Impl::Refresh(ModelWorker& aWorker)
{
  if (aWorker.mUnlisted == 0 && mStore.mOutages == 0) {
    WorkerRow& row = mStore.mTables.mWorkers[aWorker.mInfo.mId];
    row.mVersion = ++mStore.mTables.mVersion;
    row.mInfo = aWorker.mInfo;
    row.mInfo->mClock = Now(aWorker);
    row.mRefreshedAt = Now();
    mQueue.Schedule(kEntryTimeout, [this, id = aWorker.mInfo.mId] {
      if (mStore.mTables.mWorkers[id].mRefreshedAt + kEntryTimeout <= Now()) {
        RemoveEntry(id);
      }
    });
  }
  mQueue.Schedule(aWorker.mClock.TimeFor(kRefreshInterval),
                  [this, &aWorker, life = aWorker.mLife] {
                    if (life == aWorker.mLife) {
                      Refresh(aWorker);
                    }
                  });
}

void
TakeoverModel::Impl::RemoveEntry(const std::string& aId)
{
  WorkerRow& row = mStore.mTables.mWorkers[aId];
  if (row.mInfo) {
    row.mVersion = ++mStore.mTables.mVersion;
    row.mInfo.reset();
  }
}

void
TakeoverModel::Impl::ExtendLease(ModelWorker& aWorker, milliseconds aExpiry)
{
  const milliseconds now = Now(aWorker);
  const milliseconds expiry = std::min(aExpiry, now + mPlan.mLongestLease);
  if (expiry <= aWorker.mLeaseExpiry) {
    return;
  }
  aWorker.mLeaseExpiry = expiry;
  if (expiry < aExpiry) {
    Log(aWorker.mInfo.mId, "shortens a lease to the longest one");
  }
  mQueue.Schedule(aWorker.mClock.TimeFor(expiry - now) + milliseconds(1),
                  [this, &aWorker, life = aWorker.mLife] {
                    if (life != aWorker.mLife ||
                        Now(aWorker) < aWorker.mLeaseExpiry) {
                      return;
                    }
                    for (ModelTermination& it : aWorker.mTerminated) {
                      it.mIsLeaseExpired = true;
                    }
                    while (!aWorker.mRuns.empty()) {
                      Terminate(aWorker,
                                aWorker.mRuns.front().mNumber,
                                TerminationReason::kLeaseExpired);
                    }
                  });
}

CommandReply
TakeoverModel::Impl::HandleStart(ModelWorker& aWorker,
                                 const StartCommand& aCommand,
                                 milliseconds aOrderedAt)
{
  CommandReply reply;
  reply.mClock = Now(aWorker);
  reply.mOutcome = CommandOutcome::kRejected;
  if (aCommand.mEpoch < aWorker.mEpoch) {
    reply.mOutcome = CommandOutcome::kFenced;
    return reply;
  }
  aWorker.mEpoch = aCommand.mEpoch;
  if (aCommand.mLeaseExpiry <= Now(aWorker)) {
    reply.mDetail = "late";
    return reply;
  }
  ExtendLease(aWorker, aCommand.mLeaseExpiry);
  std::int64_t used = 0;
  for (const ModelRun& run : aWorker.mRuns) {
    if (run.mTask == aCommand.mTask && run.mRun == aCommand.mRun) {
      reply.mOutcome = CommandOutcome::kDone;
      return reply;
    }
    used += run.mCpu;
  }
  const auto ended = aWorker.mHighestEndedRuns.find(aCommand.mTask);
  if (ended != aWorker.mHighestEndedRuns.end() &&
      aCommand.mRun <= ended->second) {
    reply.mDetail = "old";
    return reply;
  }
  const auto job = std::find_if(
    mStore.mTables.mJobs.begin(),
    mStore.mTables.mJobs.end(),
    [&](const JobRow& aRow) { return aRow.mJob.Id() == aCommand.mTask.Job(); });
  const std::int64_t cpu = job->mJob.Steps().front().Demand().CpuMillis();
  if (used + cpu > kWorkerCpu) {
    reply.mOutcome = CommandOutcome::kNoCapacity;
    return reply;
  }
  const ModelRun run{ aCommand.mTask,
                      aCommand.mRun,
                      aCommand.mEpoch,
                      aOrderedAt,
                      Now(),
                      mWorkTimes.at(aCommand.mTask.Job()),
                      cpu,
                      ++mNumbers };
  CheckStart(aWorker, run);
  ++mStarts;
  mLastStarts[run.mTask] = Now();
  aWorker.mRuns.push_back(run);
  mQueue.Schedule(run.mWorkTime, [this, &aWorker, number = run.mNumber] {
    Terminate(aWorker,
              number,
              mDraws.Chance(0.03) ? TerminationReason::kFailed
                                  : TerminationReason::kDone);
  });
  reply.mOutcome = CommandOutcome::kDone;
  return reply;
}

CommandReply
TakeoverModel::Impl::HandleStop(ModelWorker& aWorker,
                                const StopCommand& aCommand)
{
  CommandReply reply;
  reply.mClock = Now(aWorker);
  if (aCommand.mEpoch < aWorker.mEpoch) {
    reply.mOutcome = CommandOutcome::kFenced;
    return reply;
  }
  aWorker.mEpoch = aCommand.mEpoch;
  Number& ended = aWorker.mHighestEndedRuns[aCommand.mTask];
  ended = std::max(ended, aCommand.mRun);
  for (const ModelRun& run : aWorker.mRuns) {
    if (run.mTask == aCommand.mTask && run.mRun == aCommand.mRun) {
      mQueue.Schedule(mDraws.Between(milliseconds(0), kStopTime),
                      [this, &aWorker, number = run.mNumber] {
                        Terminate(aWorker, number, TerminationReason::kStopped);
                      });
    }
  }
  reply.mOutcome = CommandOutcome::kDone;
  return reply;
}

void
TakeoverModel::Impl::HandleRenewal(
  ModelWorker& aWorker,
  const RenewCommand& aCommand,
  const std::function<void(const RenewReply&)>& aRespond)
{
  if (aCommand.mEpoch < aWorker.mEpoch) {
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kFenced;
    reply.mClock = Now(aWorker);
    aRespond(reply);
    return;
  }
  aWorker.mEpoch = aCommand.mEpoch;
  if (aCommand.mLeaseExpiry.count() > 0) {
    ExtendLease(aWorker, aCommand.mLeaseExpiry);
  }
  Acknowledge(aWorker, aCommand.mAckedUpTo);
  if (aCommand.mMaxWait.count() == 0 || !aWorker.mTerminated.empty()) {
    aRespond(Report(aWorker));
    return;
  }
  const Number number = ++mNumbers;
  aWorker.mWaiting.push_back({ number, aRespond });
  mQueue.Schedule(
    aWorker.mClock.TimeFor(aCommand.mMaxWait), [this, &aWorker, number] {
      std::erase_if(aWorker.mWaiting, [&](const WaitingRenewal& aWaiting) {
        if (aWaiting.mNumber != number) {
          return false;
        }
        aWaiting.mRespond(Report(aWorker));
        return true;
      });
    });
}

RenewReply
TakeoverModel::Impl::Report(const ModelWorker& aWorker) const
{
  constexpr int kCompletePercent = 100;
  RenewReply reply;
  reply.mOutcome = CommandOutcome::kDone;
  reply.mIncarnation = aWorker.mInfo.mIncarnation;
  reply.mClock = Now(aWorker);
  for (const ModelRun& run : aWorker.mRuns) {
    const auto percent = static_cast<int>((Now() - run.mStartedAt) *
                                          kCompletePercent / run.mWorkTime);
    reply.mRunning.push_back({ run.mTask, run.mRun, "", percent });
  }
  for (const ModelTermination& it : aWorker.mTerminated) {
    reply.mTerminated.push_back(it.mRun);
  }
  return reply;
}

std::string
TakeoverModel::Impl::Describe(const ModelWorker& aWorker,
                              const ModelRun& aRun) const
{
  return "run " + std::to_string(aRun.mRun) + " on " + aWorker.mInfo.mId +
         " by epoch " + std::to_string(aRun.mEpoch) + " ordered at " +
         std::to_string(aRun.mOrderedAt.count()) + " started at " +
         std::to_string(aRun.mStartedAt.count());
}

void
TakeoverModel::Impl::Violate(const std::string& aText)
{
  mViolations.push_back(std::to_string(Now().count()) + " " + aText);
  Log("VIOLATION", aText);
}

void
TakeoverModel::Impl::CheckStart(const ModelWorker& aWorker,
                                const ModelRun& aRun)
{
  Log(aWorker.mInfo.mId,
      "starts " + aRun.mTask.Text() + " " + Describe(aWorker, aRun));
  for (const ModelWorker& other : mWorkers) {
    for (const ModelRun& run : other.mRuns) {
      if (run.mTask == aRun.mTask) {
        Violate("two runs of " + aRun.mTask.Text() + ": " +
                Describe(other, run) + "; " + Describe(aWorker, aRun));
      }
    }
  }
  if (mDoneTasks.contains(aRun.mTask)) {
    Violate("start after the acknowledged end of " + aRun.mTask.Text() + ": " +
            Describe(aWorker, aRun));
  }
}

void
TakeoverModel::Impl::Terminate(ModelWorker& aWorker,
                               Number aRun,
                               TerminationReason aReason)
{
  const auto it =
    std::find_if(aWorker.mRuns.begin(),
                 aWorker.mRuns.end(),
                 [aRun](const ModelRun& aIt) { return aIt.mNumber == aRun; });
  if (it == aWorker.mRuns.end()) {
    return;
  }
  const ModelRun run = *it;
  Log(aWorker.mInfo.mId,
      std::string("ends ") + run.mTask.Text() + " run " +
        std::to_string(run.mRun) + " " + TerminationReasonName(aReason));
  aWorker.mRuns.erase(it);
  Number& ended = aWorker.mHighestEndedRuns[run.mTask];
  ended = std::max(ended, run.mRun);
  aWorker.mTerminated.push_back(
    { { ++aWorker.mTerminations, run.mTask, run.mRun, aReason, "" }, Now() });
  const std::vector<WaitingRenewal> waiting =
    std::exchange(aWorker.mWaiting, {});
  for (const WaitingRenewal& renewal : waiting) {
    renewal.mRespond(Report(aWorker));
  }
}

void
TakeoverModel::Impl::Acknowledge(ModelWorker& aWorker, Number aUpTo)
{
  std::erase_if(aWorker.mTerminated, [&](const ModelTermination& aIt) {
    if (aIt.mRun.mSequence > aUpTo) {
      return false;
    }
    if (aIt.mRun.mReason == TerminationReason::kDone && !aIt.mIsLeaseExpired) {
      mDoneTasks.insert(aIt.mRun.mTask);
      if (mLastStarts[aIt.mRun.mTask] > aIt.mAt) {
        Violate("start before the acknowledgement of the end of " +
                aIt.mRun.mTask.Text() + " on " + aWorker.mInfo.mId);
      }
    }
    return true;
  });
}

TakeoverModel::TakeoverModel(const TakeoverRules& aRules,
                             TakeoverPlan aPlan,
                             bool aIsTraced)
  : mImpl(std::make_unique<Impl>(aRules, std::move(aPlan), aIsTraced))
{
}

TakeoverModel::~TakeoverModel() = default;

void
TakeoverModel::Run()
{
  mImpl->Run();
}

const std::vector<std::string>&
TakeoverModel::Violations() const
{
  return mImpl->mViolations;
}

const std::vector<std::string>&
TakeoverModel::Trace() const
{
  return mImpl->mTrace;
}

std::size_t
TakeoverModel::Takeovers() const
{
  return mImpl->mTakeovers;
}

std::size_t
TakeoverModel::Starts() const
{
  return mImpl->mStarts;
}

} // namespace cornelrudder::tests
