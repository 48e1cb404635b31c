#include "cornelrudder/coordination/SchedulerTask.h"

#include "SchedulerTaskImpl.h"

#include <caf/actor_system.hpp>

#include <algorithm>
#include <array>

namespace cornelrudder::coordination {

namespace {

using state::scheduling::CommandReply;
using state::scheduling::OwnerTenure;
using state::scheduling::RenewCommand;
using state::scheduling::RenewReply;
using state::scheduling::SchedulerEvent;
using state::scheduling::SettingsConfirmation;
using state::scheduling::StartCommand;
using state::scheduling::StopCommand;
using state::scheduling::WorkerCommands;
using std::chrono::milliseconds;

/** Delay of a cycle, so that one plan and one write cover several events. */
constexpr milliseconds kBatchDelay{ 3 };
/**
 * Pause after a plan as a multiple of the time that planning took. It limits
 * planning to a quarter of the time on a slow VM.
 */
constexpr int kPauseToPlanTimeRatio = 3;
/**
 * Limit of the pause after a plan. Without it, a suspension of the VM during
 * planning would cause a long pause.
 */
constexpr milliseconds kMaxPlanPause{ 100 };
/**
 * Interval of scheduling cycles without events while jobs are active, to plan
 * waiting tasks and detect unresponsive workers.
 */
constexpr milliseconds kCycleInterval{ 100 };

/**
 * Time between two cycles above which this process counts as suspended. Then a
 * successor is likely, and the lease is confirmed before further commands.
 */
constexpr milliseconds kMaxCycleGap{ 2'000 };

/** Indexed by SchedulerEvent::Kind. */
constexpr std::array kLogEvents{ LogEvent::kTaskPlaced,
                                 LogEvent::kTaskWaits,
                                 LogEvent::kTaskPreempted,
                                 LogEvent::kRunEnded,
                                 LogEvent::kRunLost,
                                 LogEvent::kJobEnded,
                                 LogEvent::kWorkerSilent,
                                 LogEvent::kWorkerBack,
                                 LogEvent::kWorkerGone,
                                 LogEvent::kWorkerSuspected,
                                 LogEvent::kRunMoved,
                                 LogEvent::kWorkerLeaving,
                                 LogEvent::kJobStalled,
                                 LogEvent::kEndIgnored,
                                 LogEvent::kReplyIgnored,
                                 LogEvent::kWorkerCapacityChanged,
                                 LogEvent::kRunCrashed,
                                 LogEvent::kJobSetAside,
                                 LogEvent::kCheckpointNotStored,
                                 LogEvent::kCheckpointsLimited,
                                 LogEvent::kEvacuationInForce };

milliseconds
WallClockNow()
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
  , mOwnerObserver(mOptions.mOwnerTimeout + mOptions.mTakeoverDelay)
  , mReleaseObserver(mOptions.mTakeoverDelay)
  , mUnclaimedObserver(mOptions.mUnclaimedTime + mOptions.mTakeoverDelay)
  , mWriteBackoff(mOptions.mWriteBackoffBase, mOptions.mWriteBackoffCap)
  , mAcquireBackoff(mOptions.mAcquireBackoffBase, mOptions.mAcquireBackoffCap)
  , mRandom(mOptions.mJitterSeed)
{
}

caf::behavior
SchedulerTask::make_behavior()
{
  send(this, Tick{});
  return {
    [this](const Tick&) { HandleTick(); },
    [this](const coordination::RunSchedulingCycle&) {
      mCycleScheduled = false;
      RunSchedulingCycle();
    },
    [this](const ReadLeaseAtExpiry&) {
      mExpiryReadScheduled = false;
      if (mMode == Mode::kFollowing) {
        ReadLease();
      }
    },
    [this](const StoreCallCompleted& aCompleted) {
      HandleStoreReply(aCompleted);
    },
    [this](const RetryStep& aRetry) {
      const bool isOwner = mMode == Mode::kOwning || mMode == Mode::kLoading;
      if (isOwner && aRetry.mEpoch == mLease.mEpoch) {
        (this->*aRetry.mStep)();
      }
    },
    [this](const StartCallCompleted& aCompleted) {
      if (IsCurrent(aCompleted.mEpoch)) {
        mScheduler->ApplyStartReply(
          aCompleted.mCommand, aCompleted.mReply, Now());
        ScheduleCycle(kBatchDelay);
      }
    },
    [this](const StopCallCompleted& aCompleted) {
      if (IsCurrent(aCompleted.mEpoch)) {
        mScheduler->ApplyStopReply(
          aCompleted.mCommand, aCompleted.mReply, Now());
        ScheduleCycle(kBatchDelay);
      }
    },
    [this](const RenewCallCompleted& aCompleted) {
      if (IsCurrent(aCompleted.mEpoch)) {
        mScheduler->ApplyRenewReply(
          aCompleted.mCommand, aCompleted.mReport, aCompleted.mSentAt, Now());
        ScheduleCycle(kBatchDelay);
      }
    },
    [this](const CatalogView& aView) { ApplySettings(aView); },
    [this](const ReleaseOwnership&) { Release(); },
    [this](const GetCounters&) { return CollectCounters(); },
  };
}

void
SchedulerTask::ApplySettings(const CatalogView& aView)
{
  mCatalog = aView.mCatalog;
  if (aView.mConfirmedAt.count() > 0) {
    mSettingsConfirmation = SettingsConfirmation(aView.mConfirmedAt);
  }
  const bool isChanged = mEvacuations != aView.mEvacuations;
  mEvacuations = aView.mEvacuations;
  if (!mScheduler) {
    return;
  }
  if (mCatalog) {
    mScheduler->ApplyCatalog(*mCatalog);
  }
  if (isChanged) {
    mScheduler->ApplyEvacuations(mEvacuations, Now());
    if (mMode == Mode::kOwning) {
      ScheduleCycle(Millis(0));
    }
  }
}

bool
SchedulerTask::IsCurrent(std::uint64_t aEpoch) const
{
  return mScheduler && mMode == Mode::kOwning && aEpoch == mLease.mEpoch;
}

void
SchedulerTask::HandleTick()
{
  if (mMode == Mode::kReleased) {
    return;
  }
  if (mMode == Mode::kFollowing) {
    ReadLease();
  } else if (mMode == Mode::kLoading && IsWriteDue()) {
    Write();
  } else if (mMode == Mode::kOwning) {
    ScheduleCycle(kBatchDelay);
  }
  const bool isBusy = mScheduler && !mScheduler->IsIdle();
  delayed_send(this, isBusy ? kCycleInterval : mOptions.mRenewInterval, Tick{});
}

void
SchedulerTask::ScheduleCycle(Millis aDelay)
{
  if (!mCycleScheduled) {
    mCycleScheduled = true;
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
  CheckReachability();
  DetectSuspension();
  const bool isScheduling = !mReleasing && !mIsolation && IsLeaseConfirmed();
  if (isScheduling) {
    const Millis start = Now();
    mScheduler->Plan(start, WallClockNow());
    mPlanPause =
      std::min((Now() - start) * kPauseToPlanTimeRatio, kMaxPlanPause);
  }
  LogSchedulerEvents();
  // Planning may have been suspended.
  const Millis now = DetectSuspension();
  TrackCommandPause(now);
  TrackStartPause(now);
  if (!mReleasing && IsLeaseConfirmed()) {
    // An isolated owner renews the leases that it can until the store has taken
    // the release, which may be long. It starts nothing meanwhile.
    SendCommands(now);
  }
  if (IsWriteDue()) {
    Write();
  }
}

template<typename CompletedMessage, typename Command>
auto
SchedulerTask::MakeReplyHandler(const Command& aCommand)
{
  return [self = caf::actor_cast<caf::actor>(this),
          epoch = mLease.mEpoch,
          aCommand](CommandReply aReply) {
    caf::anon_send(self,
                   CompletedMessage{ epoch, aCommand, std::move(aReply) });
  };
}

/**
 * Notices that this process was suspended. A successor may have acquired the
 * lease meanwhile, and workers that only this owner reaches do not reject its
 * commands. Until the store has confirmed the lease, no command is sent.
 * @return The time up to which no suspension has been missed.
 */
milliseconds
SchedulerTask::DetectSuspension()
{
  const Millis now = Now();
  if (now - mLastCycleAt > kMaxCycleGap) {
    mConfirmLeaseFrom = now;
    mPorts.mLog.Write(
      { LogEvent::kOwnerSuspended,
        { { "epoch", std::to_string(mLease.mEpoch) },
          { "ms", std::to_string((now - mLastCycleAt).count()) } } });
    LogOwnerStopped("suspended");
  }
  mLastCycleAt = now;
  return now;
}

/**
 * @return Time from which no run is started. It is at most the shortest silence
 *   away: a start that waits for a connection must not be sent after a
 *   successor has acquired the lease from a row that is written meanwhile.
 */
milliseconds
SchedulerTask::StartsUntil(Millis aNow) const
{
  const Millis limit = aNow + OwnerTenure::StartTime(mOptions.mOwnerTimeout);
  const Millis until =
    std::min({ mTenure.StartsUntil(),
               limit,
               mSettingsConfirmation.StartsUntil(mOptions.mEvacuationTime) });
  return mIsolation ? aNow : until;
}

void
SchedulerTask::SendCommands(Millis aNow)
{
  const WorkerCommands commands =
    mScheduler->CollectCommands(aNow, StartsUntil(aNow));
  for (const StopCommand& command : commands.mStops) {
    mPorts.mWorkers.Stop(command, MakeReplyHandler<StopCallCompleted>(command));
  }
  for (const StartCommand& command : commands.mStarts) {
    mPorts.mWorkers.Start(command,
                          MakeReplyHandler<StartCallCompleted>(command));
  }
  for (const RenewCommand& command : commands.mRenewals) {
    mPorts.mWorkers.Renew(
      command,
      [self = caf::actor_cast<caf::actor>(this),
       epoch = mLease.mEpoch,
       command,
       sentAt = Now()](RenewReply aReply) {
        caf::anon_send(
          self,
          RenewCallCompleted{ epoch, command, sentAt, std::move(aReply) });
      });
  }
  mCounters["worker_starts_total"] += commands.mStarts.size();
  mCounters["worker_stops_total"] += commands.mStops.size();
  mCounters["worker_renewals_total"] += commands.mRenewals.size();
}

void
SchedulerTask::LogSchedulerEvents()
{
  for (SchedulerEvent& event : mScheduler->TakeEvents()) {
    mPorts.mLog.Write({ kLogEvents.at(static_cast<std::size_t>(event.mKind)),
                        std::move(event.mFields) });
  }
}

Counters
SchedulerTask::CollectCounters() const
{
  Counters counters = mCounters;
  counters["scheduler_is_owner"] = mMode == Mode::kOwning ? 1 : 0;
  counters["scheduler_epoch"] = mLease.mEpoch;
  AddLatency("owner_write_ms", "", mWriteLatency, counters);
  if (mScheduler) {
    counters.merge(mScheduler->Gauges());
    counters["scheduler_worker_list_age_ms"] =
      static_cast<std::uint64_t>((Now() - mWorkersCurrentAt).count());
    counters["scheduler_last_stored_write_age_ms"] =
      static_cast<std::uint64_t>((Now() - LastStoredWriteAt()).count());
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
