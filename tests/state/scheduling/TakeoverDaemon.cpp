#include "TakeoverDaemon.h"

#include <algorithm>
#include <utility>

namespace cornelrudder::tests {

using namespace state::scheduling;
using state::StoreStatus;

namespace {

constexpr milliseconds kCycleInterval{ 100 };
constexpr milliseconds kStoreTimeout{ 1'000 };

} // namespace

TakeoverDaemon::TakeoverDaemon(const TakeoverRules& aRules,
                               TakeoverContext& aContext,
                               ModelStore& aStore,
                               std::deque<TakeoverWorker>& aWorkers,
                               std::size_t aNumber)
  : mRules(aRules)
  , mContext(aContext)
  , mStore(aStore)
  , mWorkers(aWorkers)
  , mName("d" + std::to_string(aNumber))
  , mLinks(aWorkers.size())
{
  Draws& draws = mContext.mDraws;
  mClock.mRate = mContext.DrawRate();
  mClock.mOffset = draws.Between(milliseconds(10'000), milliseconds(900'000));
  mTakeoverDelay = milliseconds(100) * draws.Below(4);
  Restart(milliseconds(20) + milliseconds(50) * aNumber);
}

void
TakeoverDaemon::Restart(milliseconds aDownTime)
{
  Log("restarts in " + std::to_string(aDownTime.count()));
  ++mLife;
  mPausedUntil = milliseconds(0);
  mMailbox.clear();
  mState = State();
  mState.mFirstCall = mContext.NextNumber();
  mState.mIncarnation = mName + "-" + std::to_string(mContext.NextNumber());
  mState.mOwnerObserver = LeaseObserver(kOwnerTimeout + mTakeoverDelay);
  mState.mReleaseObserver = LeaseObserver(mTakeoverDelay);
  mState.mUnclaimedObserver = LeaseObserver(kUnclaimedTime + mTakeoverDelay);
  Post(aDownTime, [this] { Tick(); });
}

void
TakeoverDaemon::Stop(milliseconds aTime)
{
  Post(milliseconds(0), [this] { Release(); });
  mContext.mQueue.Schedule(aTime, [this] { Restart(kBootTime); });
}

/** Runs an action after a delay, or after the pause that is in force then. */
void
TakeoverDaemon::Post(milliseconds aDelay, Action aAction)
{
  mContext.mQueue.Schedule(
    aDelay, [this, life = mLife, action = std::move(aAction)] {
      if (life != mLife) {
        return;
      }
      if (mContext.Now() < mPausedUntil || !mMailbox.empty()) {
        mMailbox.push_back(action);
      } else {
        action();
      }
    });
}

void
TakeoverDaemon::PostLocal(milliseconds aDelay, Action aAction)
{
  Post(mClock.TimeFor(aDelay), std::move(aAction));
}

void
TakeoverDaemon::Pause(milliseconds aTime)
{
  Log("pauses for " + std::to_string(aTime.count()));
  mPausedUntil = std::max(mPausedUntil, mContext.Now() + aTime);
  mContext.mQueue.Schedule(aTime, [this] { Wake(); });
}

void
TakeoverDaemon::Wake()
{
  while (mContext.Now() >= mPausedUntil && !mMailbox.empty()) {
    const Action action = std::move(mMailbox.front());
    mMailbox.pop_front();
    action();
  }
}

milliseconds
TakeoverDaemon::DrawStoreLatency()
{
  return mStoreFaults.mSlow > 0
           ? mContext.mDraws.Between(milliseconds(20), milliseconds(600))
           : mContext.mDraws.Between(milliseconds(2), milliseconds(15));
}

void
TakeoverDaemon::CallStore(bool aIsWrite,
                          const ModelStore::Operation& aOperation,
                          StoreHandler aHandler)
{
  const std::uint64_t call = mContext.NextNumber();
  const StoreDelivery deliver =
    [this, call, aHandler](milliseconds aDelay, const StoreReply& aReply) {
      Post(aDelay, [this, call, aHandler, aReply] {
        if (call >= mState.mFirstCall) {
          (this->*aHandler)(aReply);
        }
      });
    };
  const TakeoverPlan& plan = mContext.mPlan;
  Draws& draws = mContext.mDraws;
  const milliseconds timeout = mClock.TimeFor(kStoreTimeout);
  if (mStoreFaults.mCut > 0 || draws.Chance(plan.mLostShare)) {
    deliver(timeout, StoreReply{});
  } else if (aIsWrite &&
             (mStoreFaults.mWritesLate > 0 || draws.Chance(plan.mLateShare))) {
    ExecuteLate(aOperation);
    deliver(timeout, StoreReply{});
  } else {
    ExecuteCall(aOperation, timeout, deliver);
  }
}

/** Executes a write after its caller has given it up. */
void
TakeoverDaemon::ExecuteLate(const ModelStore::Operation& aOperation)
{
  mContext.mQueue.Schedule(
    mContext.mDraws.Between(kStoreTimeout, kLateTime), [this, aOperation] {
      const StoreReply reply = mStore.Execute(aOperation, mContext.Now());
      if (reply.mStatus == StoreStatus::kOk) {
        Log("late write stored");
      }
    });
}

void
TakeoverDaemon::ExecuteCall(const ModelStore::Operation& aOperation,
                            milliseconds aTimeout,
                            const StoreDelivery& aDeliver)
{
  const milliseconds delay = DrawStoreLatency();
  mContext.mQueue.Schedule(
    delay, [this, aOperation, aTimeout, aDeliver, delay, life = mLife] {
      const StoreReply reply = mStore.Execute(aOperation, mContext.Now());
      if (reply.mIsAwaited && life == mLife && mPauseAtReply.count() > 0) {
        Pause(std::exchange(mPauseAtReply, milliseconds(0)));
      }
      const milliseconds back = DrawStoreLatency();
      const bool isLost = mStoreFaults.mRepliesLost > 0 ||
                          mContext.mDraws.Chance(mContext.mPlan.mLostShare);
      if (isLost || delay + back >= aTimeout) {
        aDeliver(aTimeout - std::min(delay, aTimeout), StoreReply{});
      } else {
        aDeliver(back, reply);
      }
    });
}

void
TakeoverDaemon::Tick()
{
  if (mState.mMode == Mode::kReleased) {
    return;
  }
  if (mState.mMode == Mode::kFollowing) {
    ReadLease();
  } else if (mState.mMode == Mode::kLoading && IsWriteDue()) {
    Write();
  } else if (mState.mMode == Mode::kOwning) {
    ScheduleCycle(kBatchDelay);
  }
  const bool isBusy = mState.mScheduler && !mState.mScheduler->IsIdle();
  PostLocal(isBusy ? kCycleInterval : kRenewInterval, [this] { Tick(); });
}

} // namespace cornelrudder::tests
