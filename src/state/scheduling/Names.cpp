#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"

#include <array>

namespace cornelrudder::state::scheduling {

namespace {

/** Indexed by JobPhase. */
constexpr std::array kPhaseNames{ "queued",
                                  "running",
                                  "done",
                                  "failed",
                                  "cancelled" };

/**
 * Handovers in a row without a pause. If half of the daemons reach the workers,
 * the lease gets to one of them with a probability of 94%.
 */
constexpr std::uint64_t kMaxQuickHandovers = 4;
/** Time that an owner keeps the lease after that many handovers. */
constexpr std::chrono::milliseconds kHandoverPause{ 5'000 };
/** An owner that held the lease for this long reached the workers. */
constexpr std::chrono::milliseconds kHandoverMemory{ 10'000 };

} // namespace

const char*
JobPhaseName(JobPhase aPhase)
{
  return kPhaseNames.at(static_cast<std::size_t>(aPhase));
}

std::optional<JobPhase>
JobPhaseFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames.at(i) == aName) {
      return static_cast<JobPhase>(i);
    }
  }
  return std::nullopt;
}

bool
IsFinal(JobPhase aPhase)
{
  return aPhase == JobPhase::kDone || aPhase == JobPhase::kFailed ||
         aPhase == JobPhase::kCancelled;
}

const char*
TerminationReasonName(TerminationReason aReason)
{
  static constexpr std::array kNames{ "done",        "failed",
                                      "stopped",     "lease_expired",
                                      "gang_broken", "gang_incomplete" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

bool
OwnerLease::MayHandOver(std::chrono::milliseconds aHeld) const
{
  return mHandovers < kMaxQuickHandovers || aHeld >= kHandoverPause;
}

OwnerLease
OwnerLease::HandedOver(std::chrono::milliseconds aHeld) const
{
  OwnerLease lease = *this;
  lease.mOwner.clear();
  lease.mHandovers = aHeld >= kHandoverMemory ? 1 : mHandovers + 1;
  return lease;
}

void
LeaseObserver::Observe(std::uint64_t aVersion,
                       std::chrono::milliseconds aStoreTime)
{
  // A store clock that went backwards also restarts the observation.
  if (!mHasObservation || aVersion != mVersion || aStoreTime < mLastReadAt) {
    mHasObservation = true;
    mVersion = aVersion;
    mFirstReadAt = aStoreTime;
  }
  mLastReadAt = aStoreTime;
}

} // namespace cornelrudder::state::scheduling
