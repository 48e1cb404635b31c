#include "cornelrudder/state/scheduling/CrashCount.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Crashes before a task is taken for their cause: the platform limits the
 * starts after three crashes, not those before.
 */
constexpr int kMinCrashes = 3;
/** The same if another run may be the cause of each of them. */
constexpr int kMinCrashesBesideOthers = 5;
/** Those that must speak against the task; the others may have other causes. */
constexpr int kMinTestedCrashes = 2;
/** Accepted probability of taking a healthy task for the cause. */
constexpr double kWrongVerdictChance = 1e-6;
/** A suspected task costs little, an isolated one a worker of its own. */
constexpr double kSuspectChance = 0.1;
constexpr double kIsolationChance = 0.02;
/** One crash is no evidence; a second one is worth a worker of its own. */
constexpr int kIsolatedCrashes = 2;

} // namespace

CrashCount
CrashCount::With(const RunCrash& aCrash, std::int64_t aExpected) const
{
  const bool isAlone = aCrash.mIsAlone && aCrash.mIsSuspect;
  return { std::min(mTotal + 1, CrashEvidence::kMaxCrashes),
           mAlone + (isAlone ? 1 : 0),
           aCrash.mIsSuspect ? mSuspect.With(aExpected) : mSuspect };
}

CrashCount
CrashCount::WithReplaced(std::int64_t aExpected, std::int64_t aCorrected) const
{
  return { mTotal, mAlone, mSuspect.WithReplaced(aExpected, aCorrected) };
}

bool
CrashCount::IsSuspected() const
{
  return mSuspect.Chance(1) < kSuspectChance;
}

bool
CrashCount::NeedsIsolation() const
{
  return mSuspect.Chance(kIsolatedCrashes) < kIsolationChance;
}

double
CrashCount::Chance(std::size_t aMembers, const CrashEvidence& aOfMember) const
{
  // Each of the members could have been hit as often.
  return std::min(mSuspect.Chance(kMinTestedCrashes),
                  static_cast<double>(aMembers) *
                    aOfMember.Chance(kMinTestedCrashes));
}

bool
CrashCount::IsCause(std::size_t aMembers, const CrashEvidence& aOfMember) const
{
  const int minCrashes = mAlone > 0 ? kMinCrashes : kMinCrashesBesideOthers;
  return mSuspect.Crashes() >= minCrashes &&
         Chance(aMembers, aOfMember) < kWrongVerdictChance;
}

} // namespace cornelrudder::state::scheduling
