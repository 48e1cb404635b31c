#include "cornelrudder/state/scheduling/OwnerReachability.h"

namespace cornelrudder::state::scheduling {

namespace {

using Millis = std::chrono::milliseconds;

/** Time for which a reply counts; exceeds the longest wait of a renewal. */
constexpr Millis kReplyWindow{ 2'000 };
/**
 * Time for which a worker that became silent counts. Only workers with runs are
 * tried, but silent workers are tried until they reply; without a limit, they
 * would become the majority on a fleet with few runs.
 */
constexpr Millis kSilenceWindow{ 6'000 };
/**
 * A refresh seen this long after the first missed reply was written after it:
 * the owner polls the rows every 0.4 s.
 */
constexpr Millis kRefreshDelay{ 500 };
/** One silent worker does not tell whether the worker or the owner is cut. */
constexpr std::size_t kMinUnreachable = 2;
/**
 * Minimum ratio of unreachable to replying workers. Workers that drop half of
 * their requests, or lossy paths to all VMs, reach a ratio of one.
 */
constexpr std::size_t kMinUnreachableRatio = 2;

} // namespace

OwnerReachability
OwnerReachability::WithWorker(const WorkerContact& aContact, Millis aNow) const
{
  if (!aContact.mIsSilent) {
    const bool isReplying =
      aContact.mHasReplied && aNow - aContact.mRepliedAt < kReplyWindow;
    return { mReplying + (isReplying ? 1 : 0), mUnreachable };
  }
  const bool isUnreachable =
    aNow - aContact.mSilentSince < kSilenceWindow &&
    aContact.mRefreshedAt >= aContact.mSilentSince + kRefreshDelay;
  return { mReplying, mUnreachable + (isUnreachable ? 1 : 0) };
}

bool
OwnerReachability::IsIsolated() const
{
  return mUnreachable >= kMinUnreachable &&
         mUnreachable > kMinUnreachableRatio * mReplying;
}

} // namespace cornelrudder::state::scheduling
