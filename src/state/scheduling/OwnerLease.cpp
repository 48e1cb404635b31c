#include "cornelrudder/state/scheduling/OwnerLease.h"

#include <iterator>
#include <utility>
#include <vector>

namespace cornelrudder::state::scheduling {

namespace {

/**
 * Handovers in a row without a pause. If half of the daemons reach the workers,
 * the lease gets to one of them with a probability of 88%.
 */
constexpr std::uint64_t kMaxQuickHandovers = 3;
/**
 * Time that an owner keeps the lease after that many handovers. A new owner
 * presumes the runs of unresponsive workers lost after 9 s; with a shorter
 * pause, tasks on workers that no daemon reaches would never be replaced.
 */
constexpr std::chrono::milliseconds kHandoverPause{ 12'000 };
/** A lost reply or a late write doubles the time between two renewals. */
constexpr int kRenewalBoundFactor = 2;
/** Limit of the time that a failed owner is not replaced on a slow store. */
constexpr std::chrono::milliseconds kMaxRenewalBound{ 6'000 };
/** A renewal, its conflict with a write of unknown outcome, and another one. */
constexpr int kCallsPerRenewal = 3;
/** Simultaneous attempts that a slow store executes one after another. */
constexpr int kSpreadCalls = 20;
/** Reads below this time are usual on small VMs under load. */
constexpr std::chrono::milliseconds kUsualRead{ 100 };
/** Time of ownership after which earlier handovers do not count any more. */
constexpr std::chrono::milliseconds kHandoverMemory{ 30'000 };

/** Removes the entries with the lower half of the values. */
void
RemoveLowerHalf(std::map<std::string, std::uint64_t>& aList)
{
  std::vector<std::pair<std::uint64_t, std::string>> entries;
  for (const auto& [name, value] : aList) {
    entries.emplace_back(value, name);
  }
  std::sort(entries.begin(), entries.end());
  entries.resize((entries.size() + 1) / 2);
  for (const auto& [value, name] : entries) {
    aList.erase(name);
  }
}

} // namespace

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

OwnerLease
OwnerLease::WithShorterLists() const
{
  OwnerLease lease = *this;
  if (!lease.mWorkerLeases.empty()) {
    const std::size_t kept = lease.mWorkerLeases.size() / 2;
    lease.mWorkerLeases.erase(
      std::next(lease.mWorkerLeases.begin(), static_cast<std::ptrdiff_t>(kept)),
      lease.mWorkerLeases.end());
    return lease;
  }
  const bool isMemoryLonger =
    lease.mJobMemory &&
    lease.mJobMemory->mByOrganisation.size() > lease.mPending.size();
  RemoveLowerHalf(isMemoryLonger ? lease.mJobMemory->mByOrganisation
                                 : lease.mPending);
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

StoreTiming
StoreTiming::WithRead(std::chrono::milliseconds aNow,
                      std::chrono::milliseconds aTook) const
{
  StoreTiming timing = *this;
  timing.mReads = mReads.WithSample(aNow, static_cast<int>(aTook.count()));
  return timing;
}

StoreTiming
StoreTiming::WithRenewal(std::chrono::milliseconds aNow,
                         std::chrono::milliseconds aTook) const
{
  StoreTiming timing = *this;
  timing.mRenewals =
    mRenewals.WithSample(aNow, static_cast<int>(aTook.count()));
  return timing;
}

std::chrono::milliseconds
StoreTiming::RenewalBound(std::chrono::milliseconds aNow,
                          std::chrono::milliseconds aInterval) const
{
  const std::chrono::milliseconds took(mRenewals.Peak(aNow));
  return std::min(aInterval + took * kRenewalBoundFactor, kMaxRenewalBound);
}

std::chrono::milliseconds
StoreTiming::LeastSilence(std::chrono::milliseconds aBound,
                          std::chrono::milliseconds aTimeout)
{
  return std::max(aTimeout, std::min(aBound, kMaxRenewalBound));
}

std::chrono::milliseconds
StoreTiming::SilenceLimit(std::chrono::milliseconds aNow,
                          std::chrono::milliseconds aBound,
                          std::chrono::milliseconds aTimeout) const
{
  return LeastSilence(aBound, aTimeout) + ReadDelay(aNow) * kCallsPerRenewal;
}

std::chrono::milliseconds
StoreTiming::AcquireSpread(std::chrono::milliseconds aNow) const
{
  return ReadDelay(aNow) * kSpreadCalls;
}

std::chrono::milliseconds
StoreTiming::ReadDelay(std::chrono::milliseconds aNow) const
{
  const std::chrono::milliseconds read(mReads.Peak(aNow));
  return std::max(read - kUsualRead, std::chrono::milliseconds(0));
}

} // namespace cornelrudder::state::scheduling
