#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/** Workers' clocks may run slower than this daemon's by two percent. */
constexpr double kClockDrift = 1.03;
/** Covers the way of an order to the worker. */
constexpr Millis kOrderTime{ 300 };
/**
 * An earlier owner may go on renewing until it learns of its successor, at
 * the latest from the worker's refusal of its next renewal.
 */
constexpr Millis kFormerOwnerTime{ 2'500 };
/** Pause after a renewal without an answer. */
constexpr Millis kSilentRetry{ 400 };
/** The same, for a worker without runs. */
constexpr Millis kIdleRetry{ 1'000 };
/** Pause between renewals while ends wait to be recorded. */
constexpr Millis kUnrecordedRetry{ 800 };
/**
 * Longest wait of a renewal while it is open whether a run exists: a run that
 * never began has no end that could wake the answer.
 */
constexpr Millis kPressingWait{ 200 };
/**
 * The same for a worker with urgent work: a lost answer or a stalled run is
 * noticed while its caller can still be served in time.
 */
constexpr Millis kUrgentWait{ 500 };
/** Failed runs in a row after which a worker is avoided for a while. */
constexpr int kSuspectStreak = 2;
constexpr Millis kSuspectTime{ 10'000 };

Millis
Stretch(Millis aTime)
{
  return Millis(
    static_cast<Millis::rep>(static_cast<double>(aTime.count()) * kClockDrift));
}

} // namespace

WorkerState&
Scheduler::Impl::GetWorker(const std::string& aId, Millis aNow)
{
  const auto [it, isNew] = mWorkers.try_emplace(aId);
  if (isNew) {
    WorkerState& worker = it->second;
    worker.mInfo.mId = aId;
    worker.mListed = false;
    worker.mLastAnswer = aNow;
    // Only an earlier owner can have runs on a worker that is new here.
    worker.mLeaseEnd =
      aNow + kFormerOwnerTime + Stretch(mOptions.mWorkerLease) + kOrderTime;
  }
  return it->second;
}

void
Scheduler::Impl::SeeWorker(const WorkerInfo& aInfo, Millis aNow)
{
  // Another life at the same address means that the earlier one is over.
  for (auto& [id, other] : mWorkers) {
    if (id != aInfo.mId && other.mInfo.mAddress == aInfo.mAddress &&
        other.mInfo.mIncarnation <= aInfo.mIncarnation) {
      LoseWorker(other, "replaced", aNow);
      other.mListed = false;
    }
  }
  WorkerState& worker = GetWorker(aInfo.mId, aNow);
  if (worker.mInfo.mIncarnation > aInfo.mIncarnation) {
    return;
  }
  const bool isRestarted = worker.mInfo.mIncarnation != 0 &&
                           worker.mInfo.mIncarnation < aInfo.mIncarnation;
  if (isRestarted) {
    NoteRestart(worker, aNow);
  }
  const bool isFirst = worker.mClock.count() == 0 || isRestarted;
  if (aInfo.mLeaving && !worker.mInfo.mLeaving) {
    Note(SchedulerNote::Kind::kWorkerLeaving,
         { { "worker", aInfo.mId },
           { "leaves_after_ms", std::to_string(aInfo.mLeavesAfter.count()) },
           { "runs", std::to_string(worker.mAssigned.size()) } });
  }
  worker.mInfo = aInfo;
  worker.mListed = true;
  worker.mLeavesAt =
    aInfo.mLeavesAfter.count() > 0 ? aNow + aInfo.mLeavesAfter : Millis(0);
  if (isFirst || aInfo.mClock > worker.mClock) {
    NoteClock(worker, aInfo.mClock, aNow);
  }
}

void
Scheduler::Impl::DropWorker(const std::string& aWorker, Millis aNow)
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return;
  }
  it->second.mListed = false;
  // A worker that announced its end takes its runs with it. Any other one may
  // be out of reach and run on until its lease ends.
  if (it->second.mInfo.mLeaving) {
    LoseWorker(it->second, "left", aNow);
  }
  ForgetUnlistedWorkers();
}

void
Scheduler::Impl::ForgetUnlistedWorkers()
{
  std::erase_if(mWorkers, [](const auto& aIt) {
    return !aIt.second.mListed && aIt.second.mAssigned.empty() &&
           !aIt.second.mRenewing;
  });
}

void
Scheduler::Impl::LoseWorker(WorkerState& aWorker,
                            const char* aReason,
                            Millis aNow)
{
  if (!aWorker.mAssigned.empty()) {
    Note(SchedulerNote::Kind::kWorkerGone,
         { { "worker", aWorker.mInfo.mId },
           { "reason", aReason },
           { "runs", std::to_string(aWorker.mAssigned.size()) } });
  }
  const std::set<TaskKey> assigned = aWorker.mAssigned;
  for (const TaskKey& key : assigned) {
    LoseRun(key, aReason, aNow);
  }
}

/**
 * The worker started again under the same identifier. Runs that its earlier
 * life reported are over. A run that was only answered for may belong to the
 * new life, which takes orders before its restart is known here; the next
 * report tells. An order that is still under way would reach the new life, so
 * that it is settled by a stop there.
 */
void
Scheduler::Impl::NoteRestart(WorkerState& aWorker, Millis aNow)
{
  Note(SchedulerNote::Kind::kWorkerGone,
       { { "worker", aWorker.mInfo.mId },
         { "reason", "restarted" },
         { "runs", std::to_string(aWorker.mAssigned.size()) } });
  const std::set<TaskKey> assigned = aWorker.mAssigned;
  for (const TaskKey& key : assigned) {
    const JobState* job = FindJob(key.first);
    if (job == nullptr) {
      continue;
    }
    const Task& task = job->mTasks[key.second];
    if (task.mPhase == TaskPhase::kRunning && task.mReportedBy != 0) {
      LoseRun(key, "restarted", aNow);
    }
  }
  aWorker.ForgetLife();
}

void
Scheduler::Impl::LoseSilentWorkers(Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    const bool isSilent = worker.mFailedRenewals > 0 || !worker.mListed;
    if (isSilent && !worker.mAssigned.empty() && !worker.mRenewing &&
        aNow >= worker.mLeaseEnd) {
      LoseWorker(worker, "lease_expired", aNow);
    }
  }
  ForgetUnlistedWorkers();
}

void
Scheduler::Impl::NoteClock(WorkerState& aWorker, Millis aClock, Millis aNow)
{
  aWorker.mClock = aClock;
  aWorker.mClockAt = aNow;
}

void
Scheduler::Impl::NoteAnswer(WorkerState& aWorker, Millis aNow)
{
  if (aWorker.mFailedRenewals > 0) {
    Note(SchedulerNote::Kind::kWorkerBack,
         { { "worker", aWorker.mInfo.mId },
           { "silent_ms",
             std::to_string((aNow - aWorker.mLastAnswer).count()) } });
  }
  aWorker.mFailedRenewals = 0;
  aWorker.mLastAnswer = aNow;
}

void
Scheduler::Impl::NoteSilence(WorkerState& aWorker,
                             const std::string& aDetail,
                             Millis aNow)
{
  if (++aWorker.mFailedRenewals == 1) {
    Note(SchedulerNote::Kind::kWorkerSilent,
         { { "worker", aWorker.mInfo.mId },
           { "detail", aDetail },
           { "runs", std::to_string(aWorker.mAssigned.size()) },
           { "lease_ends_in_ms",
             std::to_string((aWorker.mLeaseEnd - aNow).count()) } });
  }
  aWorker.mNextRenewal =
    aNow + (aWorker.mAssigned.empty() ? kIdleRetry : kSilentRetry);
}

void
Scheduler::Impl::NoteFailure(WorkerState& aWorker,
                             const JobState& aJob,
                             Millis aNow)
{
  if (++aWorker.mFailStreak >= kSuspectStreak) {
    aWorker.mSuspectedUntil = aNow + kSuspectTime;
    Note(SchedulerNote::Kind::kWorkerSuspected,
         { { "worker", aWorker.mInfo.mId },
           { "failures", std::to_string(aWorker.mFailStreak) },
           { "job", aJob.mJob.Id() } });
  }
}

Millis
Scheduler::Impl::ExtendLease(WorkerState& aWorker, Millis aNow)
{
  aWorker.mLeaseEnd = std::max(
    aWorker.mLeaseEnd, aNow + Stretch(mOptions.mWorkerLease) + kOrderTime);
  return aWorker.mClock + (aNow - aWorker.mClockAt) + mOptions.mWorkerLease;
}

bool
Scheduler::Impl::IsUsable(const WorkerState& aWorker, Millis aNow) const
{
  return aWorker.mListed && !aWorker.mInfo.mLeaving &&
         aWorker.mFailedRenewals == 0 && aWorker.mClock.count() > 0 &&
         aNow >= aWorker.mSuspectedUntil && aNow >= aWorker.mSluggishUntil;
}

void
Scheduler::Impl::TakeReport(const RenewOrder& aOrder,
                            const WorkerReport& aReport,
                            Millis aSentAt,
                            Millis aNow)
{
  const auto it = mWorkers.find(aOrder.mWorker.mId);
  if (it == mWorkers.end()) {
    return;
  }
  WorkerState& worker = it->second;
  worker.mRenewing = false;
  if (aReport.mOutcome == OrderOutcome::kFenced) {
    mFenced = true;
    return;
  }
  if (aReport.mOutcome == OrderOutcome::kOtherLife) {
    LoseWorker(worker, "other_life", aNow);
    worker.mListed = false;
    ForgetUnlistedWorkers();
    return;
  }
  if (aReport.mOutcome != OrderOutcome::kDone) {
    NoteSilence(worker, aReport.mDetail, aNow);
    return;
  }
  if (aReport.mIncarnation < worker.mInfo.mIncarnation) {
    // An earlier life sent it; the list of workers knows a newer one.
    return;
  }
  NoteAnswer(worker, aNow);
  if (worker.mInfo.mIncarnation != 0 &&
      aReport.mIncarnation > worker.mInfo.mIncarnation) {
    NoteRestart(worker, aNow);
  }
  worker.mInfo.mIncarnation = aReport.mIncarnation;
  NoteClock(worker, aReport.mClock, aNow);
  std::set<TaskKey> listed;
  for (const RunningRun& run : aReport.mRunning) {
    TakeRunning(worker, run, aReport.mIncarnation, aNow);
    const JobState* job = FindJob(run.mTask.Job());
    const auto index = job != nullptr ? job->Find(run.mTask) : std::nullopt;
    const TaskKey key{ run.mTask.Job(), index.value_or(0) };
    if (index && job->mTasks[*index].mRun == run.mRun &&
        worker.mAssigned.contains(key)) {
      listed.insert(key);
    } else {
      // Given up, but it runs: nobody waits for it any more.
      mStrays.push_back(
        { aOrder.mWorker, run.mTask, run.mRun, mOptions.mEpoch });
    }
  }
  for (const EndedRun& end : aReport.mEnded) {
    if (end.mNumber > worker.mSeenUpTo) {
      TakeEnd(worker, end, aNow);
    }
  }
  for (const EndedRun& end : aReport.mEnded) {
    worker.mSeenUpTo = std::max(worker.mSeenUpTo, end.mNumber);
  }
  CheckMissing(worker, listed, aSentAt, aNow);
  worker.mNextRenewal =
    worker.HasUnrecordedEnds() ? aNow + kUnrecordedRetry : aNow;
  ForgetUnlistedWorkers();
}

Orders
Scheduler::Impl::TakeOrders(Millis aNow)
{
  Orders orders;
  if (!mFenced) {
    orders.mStops.swap(mStrays);
    CollectRuns(orders, aNow);
    CollectRenewals(orders, aNow);
  }
  return orders;
}

void
Scheduler::Impl::CollectRuns(Orders& aOrders, Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    for (const TaskKey& key : worker.mAssigned) {
      CollectRun(key, worker, aOrders, aNow);
    }
  }
}

void
Scheduler::Impl::CollectRun(const TaskKey& aKey,
                            WorkerState& aWorker,
                            Orders& aOrders,
                            Millis aNow)
{
  JobState& job = mJobs.at(aKey.first);
  Task& task = job.mTasks[aKey.second];
  const WorkerTarget target{ aWorker.mInfo.mId, aWorker.mInfo.mAddress };
  const bool isStored =
    task.mPlanWrite != 0 && task.mPlanWrite <= mStoredWrites;
  const bool isRepeat =
    task.mPhase == TaskPhase::kStarting && task.mRepeatDue && !task.mStopWanted;
  if ((task.mPhase == TaskPhase::kPlanned && isStored) || isRepeat) {
    task.mPhase = TaskPhase::kStarting;
    task.mRepeatDue = false;
    task.mUnknown = false;
    aOrders.mStarts.push_back({ target,
                                job.IdOf(aKey.second),
                                task.mRun,
                                job.mJob.Payload(),
                                task.mCheckpoint,
                                ExtendLease(aWorker, aNow),
                                mOptions.mEpoch });
    return;
  }
  const bool wantsStop = task.mStopWanted && !task.mStopInFlight &&
                         !task.mStoppedAt && aNow >= task.mStopRetryAt &&
                         !target.mAddress.empty();
  // A stop must not overtake a start whose answer is still awaited.
  const bool isSettled =
    task.mPhase == TaskPhase::kRunning || task.mUnknown || task.mRecovered;
  if (wantsStop && isSettled) {
    task.mStopInFlight = true;
    aOrders.mStops.push_back(
      { target, job.IdOf(aKey.second), task.mRun, mOptions.mEpoch });
  }
}

bool
Scheduler::Impl::HasUrgentRun(const WorkerState& aWorker) const
{
  return std::any_of(aWorker.mAssigned.begin(),
                     aWorker.mAssigned.end(),
                     [this](const TaskKey& aKey) {
                       return mJobs.at(aKey.first).mJob.Terms().mPriority == 0;
                     });
}

void
Scheduler::Impl::CollectRenewals(Orders& aOrders, Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    // A silent worker without runs is asked until it can be used again.
    const bool isNeeded = !worker.mAssigned.empty() ||
                          worker.HasUnrecordedEnds() ||
                          (worker.mFailedRenewals > 0 && worker.mListed);
    if (!isNeeded || worker.mRenewing || aNow < worker.mNextRenewal ||
        worker.mInfo.mAddress.empty()) {
      continue;
    }
    worker.mRenewing = true;
    RenewOrder order;
    order.mWorker = { id, worker.mInfo.mAddress };
    order.mEpoch = mOptions.mEpoch;
    order.mRecordedUpTo = worker.mRecordedUpTo;
    // A silent worker may still hear: renewing its lease would put off the
    // time from which its runs are known to be over.
    const bool isHeard =
      worker.mFailedRenewals == 0 && worker.mClock.count() > 0;
    if (isHeard) {
      order.mLeaseUntil = ExtendLease(worker, aNow);
      order.mWait = worker.HasUnrecordedEnds() ? Millis(0)
                    : HasUrgentRun(worker)     ? kUrgentWait
                                               : mOptions.mRenewWait;
    }
    const bool isPressing = std::any_of(
      worker.mAssigned.begin(),
      worker.mAssigned.end(),
      [this](const TaskKey& aKey) {
        const Task& task = mJobs.at(aKey.first).mTasks[aKey.second];
        return task.mUnknown || task.mRecovered || task.mStoppedAt.has_value();
      });
    if (isPressing) {
      order.mWait = std::min(order.mWait, kPressingWait);
    }
    aOrders.mRenewals.push_back(std::move(order));
  }
}

} // namespace cornelrudder::state::scheduling
