#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Factor for leases: allows for worker clocks up to two percent slower than the
 * local clock.
 */
constexpr double kClockDrift = 1.03;
/** Allowance for the transmission of a command to the worker. */
constexpr Millis kCommandDelay{ 300 };
/**
 * Allowance for the transmission of a renewal and of its reply; a call fails
 * only some time later.
 */
constexpr Millis kReplyDelay{ 300 };
/** Delay before the next renewal after a failed one. */
constexpr Millis kUnresponsiveRetryDelay{ 400 };
/**
 * Delay before the next renewal after a failed one, for a worker without runs.
 */
constexpr Millis kIdleUnresponsiveRetryDelay{ 1'000 };
/** Interval of renewals while received terminations are not stored yet. */
constexpr Millis kUnackedRenewDelay{ 800 };
/**
 * Time after the last reply of a worker up to which a renewal acknowledges
 * terminations. Later, the worker may have restarted unnoticed, and its new
 * incarnation would discard terminations that it has not reported yet. The
 * renewals of a worker in use are less than this time apart.
 */
constexpr Millis kMaxAckAge{ 1'000 };
/**
 * Upper limit of a renewal's wait while it is uncertain whether a run exists: a
 * run that never started has no termination that would complete the wait
 * earlier.
 */
constexpr Millis kUncertainRunWait{ 200 };
/**
 * Upper limit of a renewal's wait for a worker with urgent runs: a lost reply
 * or a stalled run is detected while the job can still meet its objective.
 */
constexpr Millis kUrgentWait{ 500 };
Millis
AddClockDrift(Millis aTime)
{
  return Millis(
    static_cast<Millis::rep>(static_cast<double>(aTime.count()) * kClockDrift));
}

/** @return Time by which a worker's clock has advanced at least. */
Millis
SlowestAdvance(Millis aTime)
{
  return Millis(
    static_cast<Millis::rep>(static_cast<double>(aTime.count()) / kClockDrift));
}

/** @return "CPU/MEMORY/ACCELERATORS". */
std::string
ToText(const Resources& aResources)
{
  return std::to_string(aResources.CpuMillis()) + "/" +
         std::to_string(aResources.MemoryMb()) + "/" +
         std::to_string(aResources.Accelerators());
}

} // namespace

WorkerState&
Scheduler::Impl::FindOrAddWorker(const std::string& aId, Millis aNow)
{
  const auto [it, isNew] = mWorkers.try_emplace(aId);
  if (isNew) {
    WorkerState& worker = it->second;
    worker.mInfo.mId = aId;
    MarkUnlisted(worker);
    worker.mLastReplyAt = aNow;
    worker.mLeaseSource.mSource = { LossBasis::kPresumption, aNow };
    // This owner has started no runs on the worker, but an earlier owner may
    // have.
    const auto inherited = mOptions.mInheritedLeases.find(aId);
    if (inherited != mOptions.mInheritedLeases.end()) {
      worker.mLeaseSource.mSource = { LossBasis::kRelease, aNow };
      worker.mLeaseExpiry = inherited->second;
      worker.mIsQueryDue = true;
    } else {
      worker.mLeaseExpiry = mOptions.mLastEarlierCommandAt +
                            AddClockDrift(mOptions.mWorkerLease) +
                            kCommandDelay;
    }
  }
  return it->second;
}

void
Scheduler::Impl::UpdateWorker(const WorkerInfo& aInfo, Millis aNow)
{
  // A newer entry with the same address suggests that the earlier worker is
  // gone, but may be wrong. A worker rejects a command to another identifier,
  // so the next renewal shows it.
  const auto sameAddress = mWorkersByAddress.find(aInfo.mAddress);
  if (sameAddress != mWorkersByAddress.end()) {
    for (const std::string& id : sameAddress->second) {
      WorkerState& other = mWorkers.at(id);
      if (id != aInfo.mId && other.mInfo.mIncarnation <= aInfo.mIncarnation) {
        other.mIsQueryDue = true;
        other.mNextRenewal = Millis(0);
      }
    }
  }
  WorkerState& worker = FindOrAddWorker(aInfo.mId, aNow);
  CountPresumedCrashes(aInfo, aNow);
  const std::uint64_t known = worker.mInfo.mIncarnation;
  if (known != 0 && aInfo.mIncarnation == worker.mReplacedIncarnation) {
    return;
  }
  const bool isRestarted = known != 0 && known < aInfo.mIncarnation;
  if (isRestarted) {
    HandleRestart(worker, { LossBasis::kEntry, aNow }, aNow);
  }
  worker.mEntryAt = aNow;
  const bool isFirst = worker.mClock.count() == 0 || isRestarted;
  if (aInfo.mDraining && !worker.mInfo.mDraining) {
    RecordEvent(
      SchedulerEvent::Kind::kWorkerLeaving,
      { { "worker", aInfo.mId },
        { "leaves_after_ms", std::to_string(aInfo.mShutdownAfter.count()) },
        { "runs", std::to_string(worker.mAssigned.size()) } });
  }
  // A row that is read again unchanged is no refresh.
  if (aInfo.mClock > worker.mInfo.mClock) {
    worker.mContact.mRefreshedAt = aNow;
  }
  const Resources before = worker.mInfo.mCapacity;
  RemoveFromAddressIndex(worker);
  worker.mInfo = aInfo;
  worker.mIsEvacuated = mEvacuations.Contains(aInfo.mZone);
  mWorkersByAddress[aInfo.mAddress].insert(aInfo.mId);
  if (known != 0 && aInfo.mCapacity != before) {
    RecordEvent(SchedulerEvent::Kind::kWorkerCapacityChanged,
                { { "worker", aInfo.mId },
                  { "before", ToText(before) },
                  { "after", ToText(aInfo.mCapacity) },
                  { "in_use", ToText(worker.mUsed) } });
  }
  WithdrawPlannedRuns(worker, aNow);
  // A lower incarnation in the list is either outdated or that of a worker
  // whose time of day was set back; the next renewal reply shows which.
  worker.mInfo.mIncarnation = std::max(known, aInfo.mIncarnation);
  worker.mIsQueryDue =
    worker.mIsQueryDue || (!worker.mListed && mPlannedAt.count() > 0);
  worker.mListed = true;
  worker.mIsDeregistered = false;
  worker.mShutdownAt =
    aInfo.mShutdownAfter.count() > 0 ? aNow + aInfo.mShutdownAfter : Millis(0);
  // A clock that is too low shortens the next lease, which is safe. One that is
  // too high would make runs outlive the expiry that this owner assumes.
  const bool isClockUsable = known > aInfo.mIncarnation
                               ? aInfo.mClock < worker.mClock
                               : aInfo.mClock > worker.mClock;
  if (isFirst || isClockUsable) {
    UpdateClock(worker, aInfo.mClock, aNow);
  }
}

void
Scheduler::Impl::RemoveWorker(const std::string& aWorker, Millis aNow)
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return;
  }
  WorkerState& worker = it->second;
  MarkUnlisted(worker);
  worker.mEntryAt = aNow;
  worker.mIsDeregistered = CanOnlyBeDeregistered(worker, aNow);
  // The worker may only have lost the store, so the next renewal shows whether
  // a draining worker has left.
  worker.mNextRenewal = Millis(0);
  EndRunsIfProven(worker, EvidenceOfAbsence(worker), aNow);
  RemoveUnlistedWorkers();
}

void
Scheduler::Impl::HandleUnusableEntry(const std::string& aWorker)
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end()) {
    return;
  }
  MarkUnlisted(it->second);
  it->second.mNextRenewal = Millis(0);
  RemoveUnlistedWorkers();
}

/**
 * @return Whether an entry that is removed now was too young to be removed for
 *   the silence of its worker. Its age is overestimated: the last renewal reply
 *   was sent at the earliest when the renewal was, and the clock of the entry
 *   tells when the worker wrote it in relation to that.
 */
bool
Scheduler::Impl::CanOnlyBeDeregistered(const WorkerState& aWorker,
                                       Millis aNow) const
{
  if (aWorker.mReplyClock.count() == 0 || aWorker.mInfo.mClock.count() == 0) {
    return false;
  }
  const Millis sinceReply = aWorker.mInfo.mClock - aWorker.mReplyClock;
  const Millis writtenAt =
    aWorker.mReplySentAt +
    (sinceReply.count() < 0 ? AddClockDrift(sinceReply) : sinceReply);
  return AddClockDrift(aNow - writtenAt) < mOptions.mSilenceLimit;
}

/** @return The strongest evidence that a worker without a reply is gone. */
WorkerEvidence
Scheduler::Impl::EvidenceOfAbsence(const WorkerState& aWorker)
{
  if (aWorker.mListed) {
    return WorkerEvidence::kNoReply;
  }
  const bool hasLeft = aWorker.mInfo.mDraining && aWorker.mIsDeregistered &&
                       aWorker.mFailedRenewals > 0;
  return hasLeft ? WorkerEvidence::kDeregistered
                 : WorkerEvidence::kEntryRemoved;
}

/**
 * Ends the runs of a worker if the evidence proves that none of them can exist.
 * All decisions that runs ended with their worker are made here.
 */
void
Scheduler::Impl::EndRunsIfProven(WorkerState& aWorker,
                                 WorkerEvidence aEvidence,
                                 Millis aNow)
{
  const WorkerEvidenceInfo& info = InfoOf(aEvidence);
  if (info.mEndsRuns) {
    LossSource source = aWorker.mLeaseSource.mSource;
    if (info.mBasis) {
      source = { *info.mBasis,
                 info.mBasis == LossBasis::kEntry ? aWorker.mEntryAt : aNow };
    }
    HandleLostWorker(aWorker, info.mName, source, aNow);
  }
}

void
Scheduler::Impl::MarkUnlisted(WorkerState& aWorker)
{
  aWorker.mListed = false;
  mUnlistedWorkers.insert(aWorker.mInfo.mId);
}

void
Scheduler::Impl::RemoveFromAddressIndex(const WorkerState& aWorker)
{
  const auto it = mWorkersByAddress.find(aWorker.mInfo.mAddress);
  if (it != mWorkersByAddress.end()) {
    it->second.erase(aWorker.mInfo.mId);
    if (it->second.empty()) {
      mWorkersByAddress.erase(it);
    }
  }
}

/** Removes workers that are neither listed nor in use. */
void
Scheduler::Impl::RemoveUnlistedWorkers()
{
  std::erase_if(mUnlistedWorkers, [this](const std::string& aId) {
    const auto it = mWorkers.find(aId);
    if (it == mWorkers.end() || it->second.mListed) {
      return true;
    }
    const bool isUnused = it->second.mAssigned.empty() && !it->second.mRenewing;
    if (isUnused) {
      RemoveFromAddressIndex(it->second);
      mWorkers.erase(it);
    }
    return isUnused;
  });
}

void
Scheduler::Impl::HandleLostWorker(WorkerState& aWorker,
                                  const char* aReason,
                                  const LossSource& aSource,
                                  Millis aNow)
{
  if (!aWorker.mAssigned.empty()) {
    RecordWorkerGone(aWorker, aReason, aSource, aNow);
  }
  const std::set<TaskKey> assigned = aWorker.mAssigned;
  for (const TaskKey& key : assigned) {
    HandleLostRun(key, aReason, aSource.mBasis, aNow);
  }
}

void
Scheduler::Impl::RecordWorkerGone(const WorkerState& aWorker,
                                  const char* aReason,
                                  const LossSource& aSource,
                                  Millis aNow)
{
  const auto age = [aNow](Millis aTime) {
    return std::to_string((aNow - aTime).count());
  };
  EventFields fields{ { "worker", aWorker.mInfo.mId },
                      { "reason", aReason },
                      { "runs", std::to_string(aWorker.mAssigned.size()) },
                      { "epoch", std::to_string(mOptions.mEpoch) },
                      { "basis", LossBasisName(aSource.mBasis) },
                      { "basis_ms_ago", age(aSource.mKnownAt) },
                      { "lease_ended_ms_ago", age(aWorker.mLeaseExpiry) } };
  const LeaseSource& lease = aWorker.mLeaseSource;
  if (lease.mExtendedAt) {
    fields.emplace_back("extended_ms_ago", age(*lease.mExtendedAt));
    fields.emplace_back("until_ms", std::to_string(lease.mUntil.count()));
  }
  RecordEvent(SchedulerEvent::Kind::kWorkerGone, std::move(fields));
}

/**
 * Handles a worker that restarted under the same identifier. Runs that its
 * earlier incarnation reported are lost. A run whose start was acknowledged but
 * that was never reported may belong to the new incarnation, which accepts
 * commands before this owner detects the restart; the next renewal reply shows
 * whether it does. A start command still in flight may reach the new
 * incarnation; if its outcome stays unknown, HandleUnlistedRuns() stops the run
 * there. While an earlier owner may start its runs again, theirs stay assigned.
 */
void
Scheduler::Impl::HandleRestart(WorkerState& aWorker,
                               const LossSource& aSource,
                               Millis aNow)
{
  const char* const reason = InfoOf(WorkerEvidence::kLaterIncarnation).mName;
  RecordWorkerGone(aWorker, reason, aSource, aNow);
  if (IsObserved(aWorker)) {
    NoteCrash(CrashOf(aWorker, aNow));
  }
  for (const CrashedRun& run : AssessCrash(aWorker, aNow)) {
    Task& task = mJobs.at(run.mTask.first).mTasks[run.mTask.second];
    task.mPendingCrash = run;
    if (MayEarlierOwnerStart(task, aNow)) {
      task.mPhase = TaskPhase::kStarting;
      task.mRecovered = true;
    } else if (task.mPhase == TaskPhase::kRunning &&
               task.mReportedIncarnation != 0) {
      HandleLostRun(run.mTask, reason, aSource.mBasis, aNow);
      CountCrash(run, aWorker.mInfo.mId, reason, aNow);
    }
  }
  for (const TaskKey& key : aWorker.mAssigned) {
    // The new incarnation has acknowledged no stop.
    Task& task = mJobs.at(key.first).mTasks[key.second];
    task.mStoppedAt.reset();
    task.mStopInFlight = false;
  }
  aWorker.mReplacedIncarnation = aWorker.mInfo.mIncarnation;
  aWorker.mIncarnationSince = aNow;
  // Commands that were sent before name a time on the clock of the earlier
  // incarnation, which the new one may have cut to its longest lease only.
  aWorker.mLeaseExpiry =
    std::max(aWorker.mLeaseExpiry,
             aNow + AddClockDrift(mOptions.mMaxWorkerLease) + kCommandDelay);
  aWorker.ResetIncarnation();
}

/**
 * Withdraws runs whose start has not been sent until the others fit into the
 * capacity of their worker, the least urgent ones first.
 */
void
Scheduler::Impl::WithdrawPlannedRuns(WorkerState& aWorker, Millis aNow)
{
  if (!aWorker.IsOverCapacity()) {
    return;
  }
  std::vector<std::pair<int, TaskKey>> assigned;
  for (const TaskKey& key : aWorker.mAssigned) {
    const JobState& job = mJobs.at(key.first);
    assigned.emplace_back(-job.mJob.Settings().mPriority, key);
  }
  std::sort(assigned.begin(), assigned.end());
  for (const auto& [priority, key] : assigned) {
    if (!aWorker.IsOverCapacity()) {
      return;
    }
    JobState& job = mJobs.at(key.first);
    const Task& task = job.mTasks[key.second];
    if (task.mPhase == TaskPhase::kPlanned) {
      RecordEvent(SchedulerEvent::Kind::kRunLost,
                  { { "task", job.IdOf(key.second).Text() },
                    { "run", std::to_string(task.mRun) },
                    { "worker", aWorker.mInfo.mId },
                    { "reason", "capacity_shrank" } });
      RequestStop(job, key.second, LossCause::kOther, aNow);
    }
  }
}

void
Scheduler::Impl::ExpireUnresponsiveWorkers(Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    const bool isUnresponsive = worker.mFailedRenewals > 0 || !worker.mListed;
    if (isUnresponsive && !worker.mAssigned.empty() && !worker.mRenewing &&
        aNow >= worker.mLeaseExpiry) {
      HandleExpiredWorker(worker, aNow);
    }
  }
  RemoveUnlistedWorkers();
}

void
Scheduler::Impl::UpdateClock(WorkerState& aWorker, Millis aClock, Millis aNow)
{
  aWorker.mClock = aClock;
  aWorker.mClockAt = aNow;
}

void
Scheduler::Impl::RecordReply(WorkerState& aWorker, Millis aNow)
{
  if (aWorker.mFailedRenewals > 0) {
    RecordEvent(SchedulerEvent::Kind::kWorkerBack,
                { { "worker", aWorker.mInfo.mId },
                  { "silent_ms",
                    std::to_string((aNow - aWorker.mLastReplyAt).count()) } });
  }
  aWorker.mFailedRenewals = 0;
  aWorker.mIsQueryDue = false;
  aWorker.mLastReplyAt = aNow;
  aWorker.mContact.mHasReplied = true;
  aWorker.mContact.mRepliedAt = aNow;
}

void
Scheduler::Impl::RecordMissedReply(WorkerState& aWorker,
                                   const std::string& aDetail,
                                   Millis aNow)
{
  ++aWorker.mFailedRenewals;
  if (!aWorker.IsSilent()) {
    aWorker.mContact.mSilentSince = aNow;
  }
  if (aWorker.mFailedRenewals == 1) {
    RecordEvent(SchedulerEvent::Kind::kWorkerSilent,
                { { "worker", aWorker.mInfo.mId },
                  { "detail", aDetail },
                  { "runs", std::to_string(aWorker.mAssigned.size()) },
                  { "lease_ends_in_ms",
                    std::to_string((aWorker.mLeaseExpiry - aNow).count()) } });
  }
  aWorker.mNextRenewal =
    aNow + (aWorker.mAssigned.empty() ? kIdleUnresponsiveRetryDelay
                                      : kUnresponsiveRetryDelay);
}

Millis
Scheduler::Impl::ExtendLease(WorkerState& aWorker, Millis aNow)
{
  const Millis end =
    aNow + AddClockDrift(mOptions.mWorkerLease) + kCommandDelay;
  const Millis until = aWorker.mClock +
                       SlowestAdvance(aNow - aWorker.mClockAt) +
                       mOptions.mWorkerLease;
  aWorker.mLeaseSource = aWorker.mLeaseSource.WithExtension(
    aNow, until, end >= aWorker.mLeaseExpiry);
  aWorker.mLeaseExpiry = std::max(aWorker.mLeaseExpiry, end);
  return until;
}

/**
 * @return Whether a reply is from the incarnation before the present one. Each
 *   restart changes the incarnation, but a restart after the time of day was
 *   set back makes it lower, so only the time of the renewal tells.
 */
bool
Scheduler::Impl::IsOutdated(const WorkerState& aWorker,
                            const RenewReply& aReply,
                            Millis aSentAt)
{
  return aReply.mIncarnation < aWorker.mInfo.mIncarnation &&
         aSentAt < aWorker.mIncarnationSince;
}

void
Scheduler::Impl::ApplyRenewReply(const RenewCommand& aCommand,
                                 const RenewReply& aReply,
                                 Millis aSentAt,
                                 Millis aNow)
{
  const auto it = mWorkers.find(aCommand.mWorker.mId);
  if (it == mWorkers.end()) {
    return;
  }
  WorkerState& worker = it->second;
  worker.mRenewing = false;
  if (aReply.mOutcome == CommandOutcome::kFenced) {
    mFenced = true;
    return;
  }
  if (aReply.mOutcome == CommandOutcome::kIncarnationMismatch) {
    if (HandleReplacedWorker(worker, aCommand.mWorker, aNow)) {
      MarkUnlisted(worker);
    }
    RemoveUnlistedWorkers();
    return;
  }
  if (aReply.mOutcome != CommandOutcome::kDone) {
    RecordMissedReply(worker, aReply.mDetail, aNow);
    if (aReply.mOutcome == CommandOutcome::kRejected ||
        aReply.mOutcome == CommandOutcome::kNoCapacity) {
      // The worker is reached, even if it does not renew.
      worker.mContact.mHasReplied = true;
      worker.mContact.mRepliedAt = aNow;
    }
    EndRunsIfProven(worker, EvidenceOfAbsence(worker), aNow);
    RemoveUnlistedWorkers();
    return;
  }
  if (aReply.mIncarnation == 0 && worker.mInfo.mIncarnation != 0) {
    RecordMissedReply(worker, "reply without an incarnation", aNow);
    return;
  }
  if (IsOutdated(worker, aReply, aSentAt)) {
    if (!worker.mReplyIgnored) {
      worker.mReplyIgnored = true;
      RecordEvent(SchedulerEvent::Kind::kReplyIgnored,
                  { { "worker", worker.mInfo.mId },
                    { "incarnation", std::to_string(aReply.mIncarnation) },
                    { "known", std::to_string(worker.mInfo.mIncarnation) },
                    { "runs", std::to_string(worker.mAssigned.size()) } });
    }
    return;
  }
  worker.mReplyIgnored = false;
  RecordReply(worker, aNow);
  WorkerInfo present = worker.mInfo;
  present.mIncarnation = aReply.mIncarnation;
  CountPresumedCrashes(present, aNow);
  if (worker.mInfo.mIncarnation != 0 &&
      aReply.mIncarnation != worker.mInfo.mIncarnation) {
    HandleRestart(worker, { LossBasis::kRenewReply, aSentAt }, aNow);
  }
  // An acknowledgement that was sent to an earlier incarnation is higher.
  worker.mConfirmedUpTo = std::max(
    worker.mConfirmedUpTo, std::min(aCommand.mAckedUpTo, worker.mAckedUpTo));
  worker.mInfo.mIncarnation = aReply.mIncarnation;
  UpdateClock(worker, aReply.mClock, aNow);
  worker.mReplyClock = aReply.mClock;
  worker.mIncarnationRepliedAt = aNow;
  worker.mReplySentAt = aSentAt;
  std::set<TaskKey> listed;
  for (const RunningRun& run : aReply.mRunning) {
    ApplyRunning(worker, run, aReply.mIncarnation, aNow);
    const JobState* job = FindJob(run.mTask.Job());
    const auto index = job != nullptr ? job->Find(run.mTask) : std::nullopt;
    const TaskKey key{ run.mTask.Job(), index.value_or(0) };
    if (index && job->mTasks[*index].mRun == run.mRun &&
        worker.mAssigned.contains(key)) {
      listed.insert(key);
    } else {
      // The run is no longer assigned to this worker, but still runs there.
      mOrphanStops.push_back(
        { aCommand.mWorker, run.mTask, run.mRun, mOptions.mEpoch });
    }
  }
  for (const TerminatedRun& terminated : aReply.mTerminated) {
    if (terminated.mSequence > worker.mReceivedUpTo) {
      ApplyTermination(worker, terminated, aNow);
    }
  }
  for (const TerminatedRun& terminated : aReply.mTerminated) {
    worker.mReceivedUpTo = std::max(worker.mReceivedUpTo, terminated.mSequence);
  }
  NoteUnrecordedEnds(worker, aReply.mTerminated);
  // Runs that are not listed may be among the terminations that did not fit
  // into the reply. The worker reports those after earlier ones are
  // acknowledged.
  if (!aReply.mHasMoreTerminations) {
    HandleUnlistedRuns(worker, listed, aSentAt, aNow);
  }
  worker.mNextRenewal =
    worker.HasUnackedTerminations() ? aNow + kUnackedRenewDelay : aNow;
  RemoveUnlistedWorkers();
}

std::map<std::string, Millis>
Scheduler::Impl::WithholdLeases(Millis aNow)
{
  std::map<std::string, Millis> leases;
  for (auto& [id, worker] : mWorkers) {
    const bool isReplyOverdue =
      worker.mRenewing && aNow > worker.mReplyDueAt + kReplyDelay;
    const bool isUnresponsive =
      worker.mFailedRenewals > 0 || worker.mIsQueryDue || isReplyOverdue;
    if (worker.mIsLeaseWithheld ||
        (isUnresponsive && !worker.mAssigned.empty())) {
      worker.mIsLeaseWithheld = true;
      leases.emplace(id, std::max(worker.mLeaseExpiry - aNow, Millis(0)));
    }
  }
  return leases;
}

WorkerCommands
Scheduler::Impl::CollectCommands(Millis aNow, Millis aStartsUntil)
{
  WorkerCommands commands;
  if (!mFenced) {
    commands.mStops.swap(mOrphanStops);
    CollectRunCommands(commands, aNow, aStartsUntil);
    CollectRenewCommands(commands, aNow);
  }
  return commands;
}

void
Scheduler::Impl::CollectRunCommands(WorkerCommands& aCommands,
                                    Millis aNow,
                                    Millis aStartsUntil)
{
  for (auto& [id, worker] : mWorkers) {
    for (const TaskKey& key : worker.mAssigned) {
      CollectRunCommand(key, worker, aCommands, aNow, aStartsUntil);
    }
  }
}

void
Scheduler::Impl::CollectRunCommand(const TaskKey& aKey,
                                   WorkerState& aWorker,
                                   WorkerCommands& aCommands,
                                   Millis aNow,
                                   Millis aStartsUntil)
{
  JobState& job = mJobs.at(aKey.first);
  Task& task = job.mTasks[aKey.second];
  const WorkerTarget target{ aWorker.mInfo.mId, aWorker.mInfo.mAddress };
  const bool isStored =
    task.mPlanWrite != 0 && task.mPlanWrite <= mStoredWrites;
  const bool isRetryDue = task.mPhase == TaskPhase::kStarting &&
                          task.mStartRetryDue && !task.mStopRequested;
  const bool isRetry =
    isRetryDue && !aWorker.IsOverCapacity() && !aWorker.mIsEvacuated;
  if (isRetryDue && !isRetry) {
    // The last reply did not list the run. Only a stop rules out that an
    // earlier copy of the command starts it late.
    RequestStop(job, aKey.second, LossCause::kOther, aNow);
  }
  const bool isStartDue =
    (task.mPhase == TaskPhase::kPlanned && isStored) || isRetry;
  const bool mayStart =
    !aWorker.mIsLeaseWithheld && !aWorker.mIsEvacuated && aNow < aStartsUntil;
  if (isStartDue && mayStart) {
    if (task.mPhase == TaskPhase::kPlanned) {
      task.mEarliestStart = aNow;
    }
    aWorker.mLastStartAt = aNow;
    task.mPhase = TaskPhase::kStarting;
    task.mStartRetryDue = false;
    task.mOutcomeUnknown = false;
    aCommands.mStarts.push_back({ target,
                                  job.IdOf(aKey.second),
                                  task.mRun,
                                  job.mJob.Payload(),
                                  task.mCheckpoint,
                                  ExtendLease(aWorker, aNow),
                                  mOptions.mEpoch,
                                  aStartsUntil });
    return;
  }
  const bool isStopDue = task.mStopRequested && !task.mStopInFlight &&
                         !task.mStoppedAt && aNow >= task.mStopRetryAt &&
                         !target.mAddress.empty();
  // A stop must not overtake a start command whose reply is outstanding.
  const bool isSettled = task.mPhase == TaskPhase::kRunning ||
                         task.mOutcomeUnknown || task.mRecovered;
  if (isStopDue && isSettled) {
    task.mStopInFlight = true;
    aCommands.mStops.push_back(
      { target, job.IdOf(aKey.second), task.mRun, mOptions.mEpoch });
  }
}

bool
Scheduler::Impl::HasUrgentRun(const WorkerState& aWorker) const
{
  return std::any_of(aWorker.mAssigned.begin(),
                     aWorker.mAssigned.end(),
                     [this](const TaskKey& aKey) {
                       return mJobs.at(aKey.first).mJob.Settings().mPriority ==
                              0;
                     });
}

void
Scheduler::Impl::CollectRenewCommands(WorkerCommands& aCommands, Millis aNow)
{
  for (auto& [id, worker] : mWorkers) {
    // An unresponsive or unconfirmed worker without runs is also renewed: its
    // reply shows that it can be used again.
    const bool isReplyAwaited =
      worker.mFailedRenewals > 0 || worker.mIsQueryDue;
    const bool isNeeded =
      !worker.mAssigned.empty() || worker.HasUnackedTerminations() ||
      ((isReplyAwaited || worker.HasUnconfirmedAck()) && worker.mListed);
    if (!isNeeded || worker.mRenewing || aNow < worker.mNextRenewal ||
        worker.mInfo.mAddress.empty()) {
      continue;
    }
    worker.mRenewing = true;
    RenewCommand command;
    command.mWorker = { id, worker.mInfo.mAddress };
    command.mEpoch = mOptions.mEpoch;
    command.mAckedUpTo =
      aNow - worker.mLastReplyAt < kMaxAckAge ? worker.mAckedUpTo : 0;
    // An unresponsive worker may still receive renewals. Extending its lease
    // would delay the time from which its runs are certain to have terminated.
    const bool isResponsive = worker.mFailedRenewals == 0 &&
                              !worker.mIsQueryDue && worker.mClock.count() > 0;
    if (isResponsive) {
      if (!worker.mIsLeaseWithheld) {
        command.mLeaseExpiry = ExtendLease(worker, aNow);
      }
      const bool isUrgent = HasUrgentRun(worker);
      const bool isWaitUseful =
        !worker.mAssigned.empty() && !worker.HasUnackedTerminations();
      command.mMaxWait = !isWaitUseful ? Millis(0)
                         : isUrgent    ? kUrgentWait
                                       : mOptions.mRenewWait;
    }
    const bool hasUncertainRun =
      std::any_of(worker.mAssigned.begin(),
                  worker.mAssigned.end(),
                  [this](const TaskKey& aKey) {
                    const Task& task = mJobs.at(aKey.first).mTasks[aKey.second];
                    return task.mOutcomeUnknown || task.mRecovered ||
                           task.mStoppedAt.has_value();
                  });
    if (hasUncertainRun) {
      command.mMaxWait = std::min(command.mMaxWait, kUncertainRunWait);
    }
    worker.mReplyDueAt = aNow + command.mMaxWait;
    aCommands.mRenewals.push_back(std::move(command));
  }
}

} // namespace cornelrudder::state::scheduling
