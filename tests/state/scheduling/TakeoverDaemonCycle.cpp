#include "TakeoverDaemon.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

constexpr milliseconds kMaxCycleGap{ 2'000 };
constexpr milliseconds kWorkerTimeout{ 1'000 };
/** Share of commands to a lost worker whose connections are refused. */
constexpr double kRefusedShare = 0.3;

template<typename Reply>
Reply
ReplyWith(CommandOutcome aOutcome)
{
  Reply reply;
  reply.mOutcome = aOutcome;
  return reply;
}

} // namespace

void
TakeoverDaemon::ScheduleCycle(milliseconds aDelay)
{
  if (!mState.mCycleScheduled) {
    mState.mCycleScheduled = true;
    PostLocal(aDelay, [this] {
      mState.mCycleScheduled = false;
      RunCycle();
    });
  }
}

void
TakeoverDaemon::RunCycle()
{
  if (mState.mMode != Mode::kOwning) {
    return;
  }
  if (mState.mScheduler->IsFenced()) {
    StepDown("fenced");
    return;
  }
  if (!mState.mReleasing && !mState.mIsolated &&
      mState.mScheduler->Reachability(LocalNow()).IsIsolated() &&
      mState.mLease.MayHandOver(LocalNow() - mState.mAcquiredAt)) {
    Log("is isolated");
    mState.mIsolated = true;
  }
  const milliseconds now = DetectSuspension();
  if (!mState.mReleasing && !mState.mIsolated && IsLeaseConfirmed()) {
    mState.mScheduler->Plan(now, mContext.Now());
  }
  LogSchedulerEvents();
  if (!mState.mReleasing && IsLeaseConfirmed()) {
    SendCommands(now);
  }
  if (IsWriteDue()) {
    Write();
  }
}

milliseconds
TakeoverDaemon::DetectSuspension()
{
  const milliseconds now = LocalNow();
  if (now - mState.mLastCycleAt > kMaxCycleGap) {
    Log("notices a suspension");
    mState.mConfirmLeaseFrom = now;
  }
  mState.mLastCycleAt = now;
  return now;
}

void
TakeoverDaemon::LogSchedulerEvents()
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
  for (const SchedulerEvent& event : mState.mScheduler->TakeEvents()) {
    const auto name = kNames.find(event.mKind);
    if (mContext.mIsTraced && name != kNames.end()) {
      std::string text = name->second;
      for (const auto& [field, value] : event.mFields) {
        text += " " + field + "=" + value;
      }
      Log(text);
    }
  }
}

void
TakeoverDaemon::SendCommands(milliseconds aNow)
{
  const WorkerCommands commands =
    mState.mScheduler->CollectCommands(aNow, StartsUntil());
  milliseconds delay(0);
  const bool hasCommands = !commands.mStops.empty() ||
                           !commands.mStarts.empty() ||
                           !commands.mRenewals.empty();
  if (hasCommands && mPauseAtSend.count() > 0) {
    delay = std::exchange(mPauseAtSend, milliseconds(0));
    Pause(delay);
  }
  for (const StopCommand& command : commands.mStops) {
    SendStop(command, delay);
  }
  for (const StartCommand& command : commands.mStarts) {
    SendStart(command, delay);
  }
  for (const RenewCommand& command : commands.mRenewals) {
    SendRenewal(command, delay);
  }
}

void
TakeoverDaemon::SendStop(const StopCommand& aCommand, milliseconds aDelay)
{
  CallWorker<CommandReply>(
    aCommand.mWorker,
    aDelay,
    kWorkerTimeout,
    [aCommand](TakeoverWorker& aWorker, const auto& aRespond) {
      aRespond(aWorker.HandleStop(aCommand));
    },
    [aCommand](
      Scheduler& aScheduler, const CommandReply& aReply, milliseconds aAt) {
      aScheduler.ApplyStopReply(aCommand, aReply, aAt);
    });
}

void
TakeoverDaemon::SendStart(const StartCommand& aCommand, milliseconds aDelay)
{
  if (mClock.At(mContext.Now() + aDelay) >= aCommand.mSendBefore) {
    MakeDelivery<CommandReply>([aCommand](Scheduler& aScheduler,
                                          const CommandReply& aReply,
                                          milliseconds aAt) {
      aScheduler.ApplyStartReply(aCommand, aReply, aAt);
    })(aDelay, ReplyWith<CommandReply>(CommandOutcome::kWithheld));
    return;
  }
  CallWorker<CommandReply>(
    aCommand.mWorker,
    aDelay,
    kWorkerTimeout,
    [aCommand, at = mContext.Now()](TakeoverWorker& aWorker,
                                    const auto& aRespond) {
      aRespond(aWorker.HandleStart(aCommand, at));
    },
    [aCommand](
      Scheduler& aScheduler, const CommandReply& aReply, milliseconds aAt) {
      aScheduler.ApplyStartReply(aCommand, aReply, aAt);
    });
}

void
TakeoverDaemon::SendRenewal(const RenewCommand& aCommand, milliseconds aDelay)
{
  CallWorker<RenewReply>(
    aCommand.mWorker,
    aDelay,
    kWorkerTimeout + aCommand.mMaxWait,
    [aCommand](TakeoverWorker& aWorker, const auto& aRespond) {
      aWorker.HandleRenewal(aCommand, aRespond);
    },
    [aCommand, sentAt = LocalNow()](
      Scheduler& aScheduler, const RenewReply& aReply, milliseconds aAt) {
      aScheduler.ApplyRenewReply(aCommand, aReply, sentAt, aAt);
    });
}

template<typename Reply>
TakeoverDaemon::Delivery<Reply>
TakeoverDaemon::MakeDelivery(ReplyHandler<Reply> aApply)
{
  const auto apply =
    [this, aApply, epoch = mState.mLease.mEpoch](const Reply& aReply) {
      if (mState.mMode == Mode::kOwning && mState.mLease.mEpoch == epoch) {
        aApply(*mState.mScheduler, aReply, LocalNow());
        ScheduleCycle(kBatchDelay);
      }
    };
  return [this, apply, isDone = std::make_shared<bool>(false), life = mLife](
           milliseconds aDelay, const Reply& aReply) {
    if (life == mLife) {
      Post(aDelay, [isDone, apply, aReply] {
        if (!std::exchange(*isDone, true)) {
          apply(aReply);
        }
      });
    }
  };
}

template<typename Reply>
void
TakeoverDaemon::CallWorker(const WorkerTarget& aTarget,
                           milliseconds aDelay,
                           milliseconds aTimeout,
                           WorkerOperation<Reply> aOperation,
                           ReplyHandler<Reply> aApply)
{
  const auto it = std::find_if(
    mWorkers.begin(), mWorkers.end(), [&](const TakeoverWorker& aWorker) {
      return aWorker.Address() == aTarget.mAddress;
    });
  TakeoverWorker& worker = *it;
  const LinkFaults& link = mLinks[it - mWorkers.begin()];
  const TakeoverPlan& plan = mContext.mPlan;
  Draws& draws = mContext.mDraws;
  const Delivery<Reply> deliver = MakeDelivery<Reply>(std::move(aApply));
  deliver(aDelay + mClock.TimeFor(aTimeout), Reply{});
  if (link.mCommandsLost > 0 || draws.Chance(plan.mLostShare)) {
    if (link.mCommandsLost > 0 && draws.Chance(kRefusedShare)) {
      deliver(aDelay + milliseconds(2),
              ReplyWith<Reply>(CommandOutcome::kNotSent));
    }
    return;
  }
  const bool isLate = link.mCommandsLate > 0 || draws.Chance(plan.mLateShare);
  const milliseconds delay =
    aDelay + (isLate ? draws.Between(milliseconds(300), kLateTime)
                     : mContext.DrawLatency());
  mContext.mQueue.Schedule(
    delay, [=, this, &worker, &link, id = aTarget.mId, life = worker.Life()] {
      if (!isLate || life == worker.Life()) {
        ExecuteCommand<Reply>(worker, id, link, aOperation, deliver);
      }
    });
}

template<typename Reply>
void
TakeoverDaemon::ExecuteCommand(TakeoverWorker& aWorker,
                               const std::string& aId,
                               const LinkFaults& aLink,
                               const WorkerOperation<Reply>& aOperation,
                               const Delivery<Reply>& aDeliver)
{
  if (aWorker.IsDown()) {
    aDeliver(milliseconds(1), ReplyWith<Reply>(CommandOutcome::kNotSent));
    return;
  }
  const auto respond = [this, aDeliver, &aLink](const Reply& aReply) {
    if (aLink.mRepliesLost == 0 &&
        !mContext.mDraws.Chance(mContext.mPlan.mLostShare)) {
      aDeliver(mContext.DrawLatency(), aReply);
    }
  };
  if (aId != aWorker.Id()) {
    respond(ReplyWith<Reply>(CommandOutcome::kIncarnationMismatch));
  } else {
    aOperation(aWorker, respond);
  }
}

} // namespace cornelrudder::tests
