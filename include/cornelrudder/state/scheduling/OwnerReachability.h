#ifndef CORNELRUDDER_STATE_SCHEDULING_OWNER_REACHABILITY_H
#define CORNELRUDDER_STATE_SCHEDULING_OWNER_REACHABILITY_H

#include <chrono>
#include <compare>
#include <cstddef>

namespace cornelrudder::state::scheduling {

/** Worker as seen by the owner: by its replies and by its row in the store. */
struct WorkerContact
{
  using Millis = std::chrono::milliseconds;

  /** Whether the worker has replied; the time of its last reply. */
  bool mHasReplied = false;
  Millis mRepliedAt{ 0 };
  /** Whether the last renewal got no reply. */
  bool mIsSilent = false;
  /** When the first of the renewals without a reply failed. */
  Millis mSilentSince{ 0 };
  /** When the row in the store was last seen refreshed. */
  Millis mRefreshedAt{ 0 };

  auto operator<=>(const WorkerContact&) const = default;
};

/**
 * Whether an owner reaches the workers. A worker that does not reply to the
 * owner, but refreshes its row in the store, is alive: another daemon may reach
 * it. A worker whose row is not refreshed either is no reason to hand over.
 */
class OwnerReachability
{
public:
  OwnerReachability() = default;

  /**
   * @param aReplying Number of workers that replied lately.
   * @param aUnreachable Number of workers that lately stopped to reply, but
   *   have refreshed their rows since.
   */
  OwnerReachability(std::size_t aReplying, std::size_t aUnreachable)
    : mReplying(aReplying)
    , mUnreachable(aUnreachable)
  {
  }

  /** @return A copy that includes another worker. */
  OwnerReachability WithWorker(const WorkerContact& aContact,
                               std::chrono::milliseconds aNow) const;

  std::size_t Replying() const { return mReplying; }
  std::size_t Unreachable() const { return mUnreachable; }

  /**
   * @return Whether the owner is cut off from most of the workers that it tried
   *   to reach.
   */
  bool IsIsolated() const;

  auto operator<=>(const OwnerReachability&) const = default;

private:
  std::size_t mReplying = 0;
  std::size_t mUnreachable = 0;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_OWNER_REACHABILITY_H
