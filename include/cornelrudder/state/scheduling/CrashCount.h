#ifndef CORNELRUDDER_STATE_SCHEDULING_CRASH_COUNT_H
#define CORNELRUDDER_STATE_SCHEDULING_CRASH_COUNT_H

#include "cornelrudder/state/scheduling/CrashEvidence.h"

#include <compare>
#include <cstddef>

namespace cornelrudder::state::scheduling {

/** Evidence that the crash of a worker gives about a run on it. */
struct RunCrash
{
  /** The worker had acknowledged or reported the run. */
  bool mIsStarted = false;
  /** No run of another task or gang on the worker may be the cause. */
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
  CrashCount() = default;

  CrashCount(int aTotal, int aAlone, CrashEvidence aSuspect)
    : mTotal(aTotal)
    , mAlone(aAlone)
    , mSuspect(std::move(aSuspect))
  {
  }

  /** @return Number of crashes under a run, whatever their cause. */
  int Total() const { return mTotal; }
  /** @return The crashes of which the run may be the cause. */
  const CrashEvidence& Suspect() const { return mSuspect; }
  /** @return Number of these of which no other run may be the cause. */
  int Alone() const { return mAlone; }

  /**
   * @param aExpected Expected crashes of other causes during the run, on all
   *   workers of a gang, in millionths.
   */
  CrashCount With(const RunCrash& aCrash, std::int64_t aExpected) const;

  /** @return The count with a corrected expectation of one crash. */
  CrashCount WithReplaced(std::int64_t aExpected,
                          std::int64_t aCorrected) const;

  /** @return Whether the task should run on an empty worker if there is one. */
  bool IsSuspected() const;

  /** @return Whether the task may run on a worker of its own only. */
  bool NeedsIsolation() const;

  /**
   * @param aMembers Members of the gang; 1 for a task.
   * @param aOfMember Crashes of the worker of one member like those of
   *   Suspect(), with the expectations for this worker.
   * @return Probability that other causes alone led to these crashes.
   */
  double Chance(std::size_t aMembers, const CrashEvidence& aOfMember) const;

  /**
   * For the parameters see Chance().
   * @return Whether the task, or the member of the gang, crashes its workers,
   *   so that it must not start again.
   */
  bool IsCause(std::size_t aMembers, const CrashEvidence& aOfMember) const;

  auto operator<=>(const CrashCount&) const = default;

private:
  int mTotal = 0;
  int mAlone = 0;
  CrashEvidence mSuspect;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_CRASH_COUNT_H
