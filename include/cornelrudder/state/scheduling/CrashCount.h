#ifndef CORNELRUDDER_STATE_SCHEDULING_CRASH_COUNT_H
#define CORNELRUDDER_STATE_SCHEDULING_CRASH_COUNT_H

#include <compare>

namespace cornelrudder::state::scheduling {

/** Evidence that the crash of a worker gives about a run on it. */
struct RunCrash
{
  /** The worker had acknowledged or reported the run. */
  bool mIsStarted = false;
  /** The run was young, and the worker had no runs of other tasks or gangs. */
  bool mIsAlone = false;
  /** The run may be the cause: it was young, or no run on the worker was. */
  bool mIsSuspect = false;

  auto operator<=>(const RunCrash&) const = default;
};

/**
 * Counts crashes of workers under the runs of a task or gang. A run that shares
 * a worker with others is seldom the cause of its crash. Repeated crashes lead
 * to runs on a worker of their own, where the next crash is clear evidence.
 */
class CrashCount
{
public:
  /** Limit of each count in a record. */
  static constexpr int kMaxCount = 1'000'000;

  CrashCount() = default;

  CrashCount(int aTotal, int aSuspect, int aAlone)
    : mTotal(aTotal)
    , mSuspect(aSuspect)
    , mAlone(aAlone)
  {
  }

  /** @return Number of crashes under a run, whatever their cause. */
  int Total() const { return mTotal; }
  /** @return Number of crashes of which the run may be the cause. */
  int Suspect() const { return mSuspect; }
  /** @return Number of these with no other run on the worker. */
  int Alone() const { return mAlone; }

  CrashCount With(const RunCrash& aCrash) const
  {
    const bool isAlone =
      aCrash.mIsStarted && aCrash.mIsAlone && aCrash.mIsSuspect;
    return { mTotal + 1,
             mSuspect + (aCrash.mIsSuspect ? 1 : 0),
             mAlone + (isAlone ? 1 : 0) };
  }

  /** @return The count if a crash that was counted has another cause. */
  CrashCount WithOtherCause(const RunCrash& aCrash) const
  {
    const CrashCount other = CrashCount().With(aCrash);
    return { mTotal, mSuspect - other.mSuspect, mAlone - other.mAlone };
  }

  /** @return Whether the task should run on an empty worker if there is one. */
  bool IsSuspected() const { return mSuspect > 0; }

  /** @return Whether the task may run on a worker of its own only. */
  bool NeedsIsolation() const
  {
    return mSuspect >= kIsolatedCrashes || mTotal > kIsolatedCrashes;
  }

  /**
   * @return Whether the task must not start again. Two crashes are no reason,
   *   even if the task was the only one on its worker: the platform counts only
   *   failed runs as attempts, and workers crash without a cause in their runs.
   */
  bool IsExhausted() const
  {
    return (mAlone > 0 && mSuspect > kIsolatedCrashes) || mTotal >= kMaxCrashes;
  }

  auto operator<=>(const CrashCount&) const = default;

private:
  /** One crash is no evidence; a second one is worth a worker of its own. */
  static constexpr int kIsolatedCrashes = 2;
  /**
   * The platform allows two starts after three crashes. One of them is left for
   * a crash that no owner has detected.
   */
  static constexpr int kMaxCrashes = 4;

  int mTotal = 0;
  int mSuspect = 0;
  int mAlone = 0;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_CRASH_COUNT_H
