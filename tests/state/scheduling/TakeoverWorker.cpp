#include "TakeoverWorker.h"

#include <algorithm>
#include <utility>

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

constexpr milliseconds kStopTime{ 500 };
constexpr milliseconds kRefreshInterval{ 1'500 };
constexpr milliseconds kEntryTimeout{ 4'500 };
/** Longest time from the announcement of a shutdown that is told. */
constexpr milliseconds kShutdownNotice{ 4'000 };
constexpr std::int64_t kWorkerCpu = 16'000;
constexpr double kFailedShare = 0.03;

} // namespace

TakeoverWorker::TakeoverWorker(TakeoverContext& aContext,
                               ModelStore& aStore,
                               TakeoverChecks& aChecks,
                               std::size_t aNumber)
  : mContext(aContext)
  , mStore(aStore)
  , mChecks(aChecks)
  , mNumber(aNumber)
{
  mInfo.mId = "w" + std::to_string(aNumber);
  mInfo.mAddress = "10.0.0." + std::to_string(aNumber) + ":1";
  mInfo.mService = "s";
  mInfo.mRack = "r";
  mInfo.mCapacity = Resources(kWorkerCpu, 64'000, 0);
  mClock.mRate = mContext.DrawRate();
  Boot(mContext.mDraws.Between(milliseconds(1'000), milliseconds(900'000)));
}

void
TakeoverWorker::Post(milliseconds aDelay, Action aAction)
{
  mContext.mQueue.Schedule(aDelay,
                           [this, life = mLife, action = std::move(aAction)] {
                             if (life == mLife) {
                               action();
                             }
                           });
}

void
TakeoverWorker::Boot(milliseconds aClock)
{
  mIsDown = false;
  mInfo.mIncarnation = mContext.NextIncarnation();
  mInfo.mDraining = false;
  mInfo.mShutdownAfter = milliseconds(0);
  mClock.mOffset = aClock;
  mClock.mSetAt = mContext.Now();
  Refresh();
}

void
TakeoverWorker::Restart()
{
  mContext.Log(Id(), "restarts");
  Shutdown();
  ScheduleBoot();
}

void
TakeoverWorker::Replace()
{
  mContext.Log(Id(), "is replaced");
  Shutdown();
  mInfo.mId += "x";
  ScheduleBoot();
}

void
TakeoverWorker::Shutdown()
{
  ++mLife;
  mIsDown = true;
  for (const TakeoverRun& run : mState.mRuns) {
    mChecks.EndRun(run);
  }
  mState = State();
}

void
TakeoverWorker::ScheduleBoot()
{
  Post(mContext.mDraws.Between(milliseconds(100), 2 * kBootTime),
       [this] { Boot(mContext.mDraws.Between(milliseconds(1), kBootTime)); });
}

void
TakeoverWorker::Drain(milliseconds aFor)
{
  mInfo.mDraining = true;
  mInfo.mShutdownAfter = std::min(aFor, kShutdownNotice);
  Refresh();
  mContext.mQueue.Schedule(aFor, [this] {
    const std::string id = Id();
    Replace();
    mStore.RemoveWorker(id);
  });
}

void
TakeoverWorker::Unlist(milliseconds aFor)
{
  ++mUnlisted;
  mContext.mQueue.Schedule(aFor, [this] { --mUnlisted; });
}

/** Writes the entry of the worker in the list, and again later. */
void
TakeoverWorker::Refresh()
{
  if (mUnlisted == 0 && mStore.IsAvailable()) {
    mInfo.mClock = LocalNow();
    mStore.WriteWorker(mInfo, mContext.Now());
    mContext.mQueue.Schedule(kEntryTimeout, [this, id = Id()] {
      if (mStore.RefreshedAt(id) + kEntryTimeout <= mContext.Now()) {
        mStore.RemoveWorker(id);
      }
    });
  }
  Post(mClock.TimeFor(kRefreshInterval), [this] { Refresh(); });
}

bool
TakeoverWorker::FollowEpoch(std::uint64_t aEpoch)
{
  if (aEpoch < mState.mEpoch) {
    return false;
  }
  mState.mEpoch = aEpoch;
  return true;
}

void
TakeoverWorker::ExtendLease(milliseconds aExpiry)
{
  const milliseconds now = LocalNow();
  const milliseconds expiry =
    std::min(aExpiry, now + mContext.mPlan.mLongestLease);
  if (expiry <= mState.mLeaseExpiry) {
    return;
  }
  mState.mLeaseExpiry = expiry;
  if (expiry < aExpiry) {
    mContext.Log(Id(), "shortens a lease to the longest one");
  }
  Post(mClock.TimeFor(expiry - now) + milliseconds(1),
       [this] { CheckLeaseExpiry(); });
}

void
TakeoverWorker::CheckLeaseExpiry()
{
  if (LocalNow() < mState.mLeaseExpiry) {
    return;
  }
  for (Termination& it : mState.mTerminated) {
    it.mIsLeaseExpired = true;
  }
  while (!mState.mRuns.empty()) {
    Terminate(mState.mRuns.front().mNumber, TerminationReason::kLeaseExpired);
  }
}

bool
TakeoverWorker::IsRunning(const StartCommand& aCommand) const
{
  return std::any_of(
    mState.mRuns.begin(), mState.mRuns.end(), [&](const TakeoverRun& aRun) {
      return aRun.mTask == aCommand.mTask && aRun.mRun == aCommand.mRun;
    });
}

bool
TakeoverWorker::HasEnded(const StartCommand& aCommand) const
{
  const auto ended = mState.mHighestEndedRuns.find(aCommand.mTask);
  return ended != mState.mHighestEndedRuns.end() &&
         aCommand.mRun <= ended->second;
}

std::int64_t
TakeoverWorker::UsedCpu() const
{
  std::int64_t used = 0;
  for (const TakeoverRun& run : mState.mRuns) {
    used += run.mCpu;
  }
  return used;
}

CommandReply
TakeoverWorker::HandleStart(const StartCommand& aCommand,
                            milliseconds aOrderedAt)
{
  CommandReply reply;
  reply.mClock = LocalNow();
  reply.mOutcome = CommandOutcome::kRejected;
  if (!FollowEpoch(aCommand.mEpoch)) {
    reply.mOutcome = CommandOutcome::kFenced;
    return reply;
  }
  if (aCommand.mLeaseExpiry <= LocalNow()) {
    reply.mDetail = "late";
    return reply;
  }
  ExtendLease(aCommand.mLeaseExpiry);
  if (IsRunning(aCommand)) {
    reply.mOutcome = CommandOutcome::kDone;
    return reply;
  }
  if (HasEnded(aCommand)) {
    reply.mDetail = "old";
    return reply;
  }
  const JobRow& job = mStore.FindJob(aCommand.mTask.Job());
  const std::int64_t cpu = job.mJob.Steps().front().Demand().CpuMillis();
  if (UsedCpu() + cpu > kWorkerCpu) {
    reply.mOutcome = CommandOutcome::kNoCapacity;
    return reply;
  }
  BeginRun({ mNumber,
             Id(),
             aCommand.mTask,
             aCommand.mRun,
             aCommand.mEpoch,
             aOrderedAt,
             mContext.Now(),
             job.mWorkTime,
             cpu,
             mContext.NextNumber() });
  reply.mOutcome = CommandOutcome::kDone;
  return reply;
}

void
TakeoverWorker::BeginRun(const TakeoverRun& aRun)
{
  mChecks.BeginRun(aRun);
  mState.mRuns.push_back(aRun);
  mContext.mQueue.Schedule(aRun.mWorkTime, [this, number = aRun.mNumber] {
    Terminate(number,
              mContext.mDraws.Chance(kFailedShare) ? TerminationReason::kFailed
                                                   : TerminationReason::kDone);
  });
}

CommandReply
TakeoverWorker::HandleStop(const StopCommand& aCommand)
{
  CommandReply reply;
  reply.mClock = LocalNow();
  if (!FollowEpoch(aCommand.mEpoch)) {
    reply.mOutcome = CommandOutcome::kFenced;
    return reply;
  }
  std::uint64_t& ended = mState.mHighestEndedRuns[aCommand.mTask];
  ended = std::max(ended, aCommand.mRun);
  for (const TakeoverRun& run : mState.mRuns) {
    if (run.mTask == aCommand.mTask && run.mRun == aCommand.mRun) {
      mContext.mQueue.Schedule(
        mContext.mDraws.Between(milliseconds(0), kStopTime),
        [this, number = run.mNumber] {
          Terminate(number, TerminationReason::kStopped);
        });
    }
  }
  reply.mOutcome = CommandOutcome::kDone;
  return reply;
}

void
TakeoverWorker::HandleRenewal(const RenewCommand& aCommand,
                              const RenewResponder& aRespond)
{
  if (!FollowEpoch(aCommand.mEpoch)) {
    RenewReply reply;
    reply.mOutcome = CommandOutcome::kFenced;
    reply.mClock = LocalNow();
    aRespond(reply);
    return;
  }
  if (aCommand.mLeaseExpiry.count() > 0) {
    ExtendLease(aCommand.mLeaseExpiry);
  }
  Acknowledge(aCommand.mAckedUpTo);
  if (aCommand.mMaxWait.count() == 0 || !mState.mTerminated.empty()) {
    aRespond(Report());
  } else {
    Wait(aCommand.mMaxWait, aRespond);
  }
}

void
TakeoverWorker::Wait(milliseconds aMaxWait, const RenewResponder& aRespond)
{
  const std::uint64_t number = mContext.NextNumber();
  mState.mWaiting.push_back({ number, aRespond });
  mContext.mQueue.Schedule(mClock.TimeFor(aMaxWait), [this, number] {
    std::erase_if(mState.mWaiting, [&](const WaitingRenewal& aWaiting) {
      if (aWaiting.mNumber != number) {
        return false;
      }
      aWaiting.mRespond(Report());
      return true;
    });
  });
}

RenewReply
TakeoverWorker::Report() const
{
  constexpr int kCompletePercent = 100;
  RenewReply reply;
  reply.mOutcome = CommandOutcome::kDone;
  reply.mIncarnation = mInfo.mIncarnation;
  reply.mClock = LocalNow();
  for (const TakeoverRun& run : mState.mRuns) {
    const auto percent = static_cast<int>((mContext.Now() - run.mStartedAt) *
                                          kCompletePercent / run.mWorkTime);
    reply.mRunning.push_back({ run.mTask, run.mRun, "", percent });
  }
  for (const Termination& it : mState.mTerminated) {
    reply.mTerminated.push_back(it.mRun);
  }
  return reply;
}

void
TakeoverWorker::Terminate(std::uint64_t aRun, TerminationReason aReason)
{
  const auto it = std::find_if(
    mState.mRuns.begin(), mState.mRuns.end(), [aRun](const TakeoverRun& aIt) {
      return aIt.mNumber == aRun;
    });
  if (it == mState.mRuns.end()) {
    return;
  }
  const TakeoverRun run = *it;
  mContext.Log(Id(),
               "ends " + run.mTask.Text() + " run " + std::to_string(run.mRun) +
                 " " + TerminationReasonName(aReason));
  mChecks.EndRun(run);
  mState.mRuns.erase(it);
  std::uint64_t& ended = mState.mHighestEndedRuns[run.mTask];
  ended = std::max(ended, run.mRun);
  mState.mTerminated.push_back(
    { { ++mState.mTerminations, run.mTask, run.mRun, aReason, "" },
      mContext.Now() });
  const std::vector<WaitingRenewal> waiting =
    std::exchange(mState.mWaiting, {});
  for (const WaitingRenewal& renewal : waiting) {
    renewal.mRespond(Report());
  }
}

void
TakeoverWorker::Acknowledge(std::uint64_t aUpTo)
{
  std::erase_if(mState.mTerminated, [&](const Termination& aIt) {
    if (aIt.mRun.mSequence > aUpTo) {
      return false;
    }
    if (aIt.mRun.mReason == TerminationReason::kDone && !aIt.mIsLeaseExpired) {
      mChecks.AcknowledgeDone(aIt.mRun.mTask, Id(), aIt.mAt);
    }
    return true;
  });
}

} // namespace cornelrudder::tests
