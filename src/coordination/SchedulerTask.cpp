#include "cornelrudder/coordination/SchedulerTask.h"

#include "SchedulerTaskImpl.h"

#include <caf/actor_system.hpp>

#include <algorithm>
#include <array>

namespace cornelrudder::coordination {

namespace {

using state::scheduling::CommandReply;
using state::scheduling::RenewCommand;
using state::scheduling::RenewReply;
using state::scheduling::SchedulerEvent;
using state::scheduling::StartCommand;
using state::scheduling::StopCommand;
using state::scheduling::WorkerCommands;
using std::chrono::milliseconds;

/** Delay that batches concurrent events into one plan and one write. */
constexpr milliseconds kGatherTime{ 3 };
/**
 * Pause after a plan as a multiple of the time that planning took. It limits
 * planning to a quarter of the time on a slow VM.
 */
constexpr int kPausePerPlan = 3;
/** Also limits the pause after a plan during which the VM was suspended. */
constexpr milliseconds kMaxPlanPause{ 100 };
/** Interval of checks for waiting work and silent workers without events. */
constexpr milliseconds kAdvanceEvery{ 100 };

/** Indexed by SchedulerEvent::Kind. */
constexpr std::array kLogEvents{
  LogEvent::kTaskPlaced,      LogEvent::kTaskWaits,  LogEvent::kTaskPreempted,
  LogEvent::kRunEnded,        LogEvent::kRunLost,    LogEvent::kJobEnded,
  LogEvent::kWorkerSilent,    LogEvent::kWorkerBack, LogEvent::kWorkerGone,
  LogEvent::kWorkerSuspected, LogEvent::kRunMoved,   LogEvent::kWorkerLeaving
};

milliseconds
WallClock()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

SchedulerTask::SchedulerTask(caf::actor_config& aConfig,
                             SchedulerPorts aPorts,
                             SchedulerTaskOptions aOptions)
  : caf::event_based_actor(aConfig)
  , mPorts(aPorts)
  , mOptions(std::move(aOptions))
  , mWriteIds(mOptions.mIncarnation + "-owner")
  , mObserver(mOptions.mOwnerTimeout + mOptions.mTakeoverDelay)
  , mReleaseObserver(mOptions.mTakeoverDelay)
{
}

caf::behavior
SchedulerTask::make_behavior()
{
  send(this, Tick{});
  return {
    [this](const Tick&) { BeginTick(); },
    [this](const coordination::RunSchedulingCycle&) {
      mAdvanceQueued = false;
      RunSchedulingCycle();
    },
    [this](const StoreCallCompleted& aAnswer) { TakeAnswer(aAnswer); },
    [this](const RetryStep& aRetry) {
      const bool isOwner = mMode == Mode::kOwning || mMode == Mode::kLoading;
      if (isOwner && aRetry.mEpoch == mLease.mEpoch) {
        (this->*aRetry.mStep)();
      }
    },
    [this](const StartCallCompleted& aAnswer) {
      if (IsCurrent(aAnswer.mEpoch)) {
        mScheduler->ApplyStartReply(aAnswer.mCommand, aAnswer.mReply, Now());
        QueueAdvance(kGatherTime);
      }
    },
    [this](const StopCallCompleted& aAnswer) {
      if (IsCurrent(aAnswer.mEpoch)) {
        mScheduler->ApplyStopReply(aAnswer.mCommand, aAnswer.mReply, Now());
        QueueAdvance(kGatherTime);
      }
    },
    [this](const RenewCallCompleted& aAnswer) {
      if (IsCurrent(aAnswer.mEpoch)) {
        mScheduler->ApplyRenewReply(
          aAnswer.mCommand, aAnswer.mReport, aAnswer.mSentAt, Now());
        QueueAdvance(kGatherTime);
      }
    },
    [this](const CatalogView& aView) {
      mCatalog = aView.mCatalog;
      if (mScheduler && mCatalog) {
        mScheduler->ApplyCatalog(*mCatalog);
      }
    },
    [this](const ReleaseOwnership&) { Release(); },
    [this](const GetCounters&) { return CountAll(); },
  };
}

bool
SchedulerTask::IsCurrent(std::uint64_t aEpoch) const
{
  return mScheduler && mMode == Mode::kOwning && aEpoch == mLease.mEpoch;
}

void
SchedulerTask::BeginTick()
{
  if (mMode == Mode::kReleased) {
    return;
  }
  if (mMode == Mode::kFollowing) {
    ReadLease();
  } else if (mMode == Mode::kLoading && IsWriteDue()) {
    Write();
  } else if (mMode == Mode::kOwning) {
    QueueAdvance(kGatherTime);
  }
  const bool isBusy = mScheduler && !mScheduler->IsIdle();
  delayed_send(this, isBusy ? kAdvanceEvery : mOptions.mRenewInterval, Tick{});
}

void
SchedulerTask::QueueAdvance(Millis aDelay)
{
  if (!mAdvanceQueued) {
    mAdvanceQueued = true;
    delayed_send(
      this, std::max(aDelay, mPlanPause), coordination::RunSchedulingCycle{});
  }
}

void
SchedulerTask::RunSchedulingCycle()
{
  if (mMode != Mode::kOwning) {
    return;
  }
  if (mScheduler->IsFenced()) {
    mPorts.mLog.Write({ LogEvent::kOwnerFenced,
                        { { "epoch", std::to_string(mLease.mEpoch) } } });
    StepDown("fenced");
    return;
  }
  if (!mReleasing) {
    const Millis start = Now();
    mScheduler->Plan(start, WallClock());
    mPlanPause = std::min((Now() - start) * kPausePerPlan, kMaxPlanPause);
  }
  LogNotes();
  if (!mReleasing) {
    SendOrders();
  }
  if (IsWriteDue()) {
    Write();
  }
}

template<typename Answered, typename Command>
auto
SchedulerTask::AnswerTo(const Command& aCommand)
{
  return [self = caf::actor_cast<caf::actor>(this),
          epoch = mLease.mEpoch,
          aCommand](CommandReply aAnswer) {
    caf::anon_send(self, Answered{ epoch, aCommand, std::move(aAnswer) });
  };
}

void
SchedulerTask::SendOrders()
{
  const WorkerCommands commands = mScheduler->CollectCommands(Now());
  for (const StopCommand& command : commands.mStops) {
    mPorts.mWorkers.Stop(command, AnswerTo<StopCallCompleted>(command));
  }
  for (const StartCommand& command : commands.mStarts) {
    mPorts.mWorkers.Start(command, AnswerTo<StartCallCompleted>(command));
  }
  for (const RenewCommand& command : commands.mRenewals) {
    mPorts.mWorkers.Renew(
      command,
      [self = caf::actor_cast<caf::actor>(this),
       epoch = mLease.mEpoch,
       command,
       sentAt = Now()](RenewReply aReport) {
        caf::anon_send(
          self,
          RenewCallCompleted{ epoch, command, sentAt, std::move(aReport) });
      });
  }
  mCounters["worker_starts_total"] += commands.mStarts.size();
  mCounters["worker_stops_total"] += commands.mStops.size();
  mCounters["worker_renewals_total"] += commands.mRenewals.size();
}

void
SchedulerTask::LogNotes()
{
  for (SchedulerEvent& event : mScheduler->TakeEvents()) {
    mPorts.mLog.Write({ kLogEvents.at(static_cast<std::size_t>(event.mKind)),
                        std::move(event.mFields) });
  }
}

Counters
SchedulerTask::CountAll() const
{
  Counters counters = mCounters;
  counters["scheduler_is_owner"] = mMode == Mode::kOwning ? 1 : 0;
  counters["scheduler_epoch"] = mLease.mEpoch;
  AddLatency("owner_write_ms", "", mWriteLatency, counters);
  if (mScheduler) {
    counters.merge(mScheduler->Gauges());
  }
  return counters;
}

caf::actor
SpawnSchedulerTask(caf::actor_system& aSystem,
                   SchedulerPorts aPorts,
                   SchedulerTaskOptions aOptions)
{
  return aSystem.spawn<SchedulerTask>(aPorts, std::move(aOptions));
}

} // namespace cornelrudder::coordination
