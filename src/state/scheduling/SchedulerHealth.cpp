#include "SchedulerImpl.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Limit of WorkerState::mConsecutiveFailures from which a worker gets no new
 * runs for kSuspectTime.
 */
constexpr int kSuspectFailures = 2;
constexpr Millis kSuspectTime{ 10'000 };
/**
 * Share of the usable workers that may be suspected for kSuspectTime at the
 * same time. Beyond it, the cause is unlikely to be the workers, and each of
 * them is tried again kSuspectRetryTime after its last failure.
 */
constexpr double kMaxSuspectedShare = 0.5;
constexpr Millis kSuspectRetryTime{ 1'000 };

/** Interval and number of queries to idle workers; see QueryIdleWorkers(). */
constexpr Millis kIdleQueryInterval{ 1'000 };
constexpr std::size_t kIdleQueries = 4;
/**
 * Interval and number of first queries to idle workers. An owner of 350 workers
 * has queried all of them after 22 s, with 16 calls a second.
 */
constexpr Millis kFirstQueryInterval{ 250 };
constexpr std::size_t kFirstQueries = 4;

} // namespace

void
Scheduler::Impl::RecordFailure(WorkerState& aWorker,
                               const JobState& aJob,
                               Millis aNow)
{
  if (++aWorker.mConsecutiveFailures >= kSuspectFailures) {
    aWorker.mSuspectedUntil = aNow + kSuspectTime;
    RecordEvent(SchedulerEvent::Kind::kWorkerSuspected,
                { { "worker", aWorker.mInfo.mId },
                  { "failures", std::to_string(aWorker.mConsecutiveFailures) },
                  { "job", aJob.mJob.Id() } });
  }
}

bool
Scheduler::Impl::IsUsable(const WorkerState& aWorker, Millis aNow)
{
  const WorkerCondition condition = aWorker.ConditionAt(aNow);
  return condition == WorkerCondition::kUsable ||
         condition == WorkerCondition::kSuspected ||
         condition == WorkerCondition::kSlow;
}

Millis
Scheduler::Impl::SuspectTime(Millis aNow) const
{
  std::size_t usable = 0;
  std::size_t suspected = 0;
  for (const auto& [id, worker] : mWorkers) {
    if (IsUsable(worker, aNow)) {
      ++usable;
      suspected += aNow < worker.mSuspectedUntil ? 1 : 0;
    }
  }
  const bool isLimited = static_cast<double>(suspected) >
                         kMaxSuspectedShare * static_cast<double>(usable);
  return isLimited ? kSuspectRetryTime : kSuspectTime;
}

bool
Scheduler::Impl::IsSchedulable(const WorkerState& aWorker,
                               Millis aSuspectTime,
                               Millis aNow)
{
  const Millis suspectedUntil =
    aWorker.mSuspectedUntil - kSuspectTime + aSuspectTime;
  return IsUsable(aWorker, aNow) && aNow >= suspectedUntil &&
         aNow >= aWorker.mSlowUntil;
}

bool
Scheduler::Impl::IsRetryable(const WorkerState& aWorker, Millis aNow)
{
  return IsUsable(aWorker, aNow) &&
         aNow >= aWorker.mSuspectedUntil - kSuspectTime + kSuspectRetryTime;
}

OwnerReachability
Scheduler::Impl::Reachability(Millis aNow) const
{
  OwnerReachability reachability;
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mListed) {
      WorkerContact contact = worker.mContact;
      contact.mIsSilent = worker.IsSilent();
      reachability = reachability.WithWorker(contact, aNow);
    }
  }
  return reachability;
}

/**
 * Queries the idle workers once, some at a time: they may report terminations
 * that no earlier owner has received or acknowledged.
 */
void
Scheduler::Impl::QueryWorkersOnce(Millis aNow)
{
  if (aNow < mNextFirstQuery) {
    return;
  }
  mNextFirstQuery = aNow + kFirstQueryInterval;
  std::size_t n = 0;
  for (auto& [id, worker] : mWorkers) {
    const bool isDue = worker.mListed && worker.mAssigned.empty() &&
                       !worker.mContact.mHasReplied && !worker.mRenewing &&
                       worker.mFailedRenewals == 0 && !worker.mIsQueryDue;
    if (isDue && n < kFirstQueries) {
      worker.mIsQueryDue = true;
      ++n;
    }
  }
}

/**
 * Queries some idle workers while a worker is out of reach but alive. An owner
 * with few runs would otherwise try too few workers to find that it is
 * isolated.
 */
void
Scheduler::Impl::QueryIdleWorkers(Millis aNow)
{
  if (aNow < mNextIdleQuery || Reachability(aNow).Unreachable() == 0) {
    return;
  }
  mNextIdleQuery = aNow + kIdleQueryInterval;
  std::vector<WorkerState*> idle;
  for (auto& [id, worker] : mWorkers) {
    const bool isReachable =
      IsUsable(worker, aNow) ||
      worker.ConditionAt(aNow) == WorkerCondition::kEvacuated;
    if (worker.mAssigned.empty() && isReachable) {
      idle.push_back(&worker);
    }
  }
  const auto n = std::min(idle.size(), kIdleQueries);
  std::partial_sort(idle.begin(),
                    idle.begin() + static_cast<std::ptrdiff_t>(n),
                    idle.end(),
                    [](const WorkerState* aOne, const WorkerState* aTwo) {
                      return aOne->mLastReplyAt < aTwo->mLastReplyAt;
                    });
  for (std::size_t i = 0; i < n; ++i) {
    idle[i]->mIsQueryDue = true;
  }
}

} // namespace cornelrudder::state::scheduling
