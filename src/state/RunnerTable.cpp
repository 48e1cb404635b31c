#include "cornelrudder/state/RunnerTable.h"

#include "cornelrudder/state/SlotAssignment.h"

#include <algorithm>

namespace cornelrudder::state {

namespace {

/** Delay of a due probe after which a non-idempotent request may be used. */
constexpr std::chrono::milliseconds kProbeOverdueAfter =
  2 * EndpointHealth::kProbeInterval;

int
FreeSlotsOf(const RunnerLoad& aLoad)
{
  return aLoad.HasFreeSlot() ? aLoad.Slots() - aLoad.InFlight() : 0;
}

bool
WasTried(const VmId& aRunner, std::span<const VmId> aTried)
{
  return std::find(aTried.begin(), aTried.end(), aRunner) != aTried.end();
}

} // namespace

RunnerTable::RunnerTable(VmId aSelf, int aSlotsPerRunner)
  : mSelf(std::move(aSelf))
  , mSlotsPerRunner(aSlotsPerRunner)
  , mDaemons{ mSelf }
{
}

void
RunnerTable::Apply(const VmList& aRunners)
{
  for (Entry& entry : mEntries) {
    entry.mListed = false;
  }
  for (const Vm& vm : aRunners.All()) {
    Entry* known = Find(vm.Name());
    if (known != nullptr) {
      UpdateEntry(*known, vm);
      continue;
    }
    Entry entry(vm);
    AssignSlots(entry);
    const auto position =
      std::upper_bound(mEntries.begin(),
                       mEntries.end(),
                       vm.Name(),
                       [](const VmId& aName, const Entry& aEntry) {
                         return aName < aEntry.mVm.Name();
                       });
    mEntries.insert(position, std::move(entry));
  }
  for (Entry& entry : mEntries) {
    entry.mListChangedSinceLeaving =
      entry.mListChangedSinceLeaving || !entry.mListed;
  }
  std::erase_if(mEntries, [](const Entry& aEntry) {
    return !aEntry.mListed && aEntry.mInFlight == 0;
  });
  RebuildLoads();
}

void
RunnerTable::Apply(const std::vector<VmId>& aDaemons)
{
  mDaemons = aDaemons;
  for (Entry& entry : mEntries) {
    AssignSlots(entry);
  }
  RebuildLoads();
}

void
RunnerTable::Apply(const scheduling::Evacuations& aEvacuations)
{
  mEvacuations = aEvacuations;
  RebuildLoads();
}

std::optional<std::size_t>
RunnerTable::Choose(const RunnerSelector& aSelector,
                    const ZoneId& aOwnZone,
                    std::span<const VmId> aTried,
                    bool aIdempotent,
                    std::chrono::milliseconds aNow) const
{
  const auto probeTime = aIdempotent ? aNow : aNow - kProbeOverdueAfter;
  for (std::size_t i = 0; mQuarantined > 0 && i < mEntries.size(); ++i) {
    const Entry& entry = mEntries[i];
    const bool isProbe = entry.mHealth.IsProbeDue(probeTime) &&
                         IsAvailable(entry) && entry.mInFlight < entry.mSlots &&
                         !WasTried(entry.mVm.Name(), aTried);
    if (isProbe) {
      return i;
    }
  }
  return aSelector.Choose(mLoads, aOwnZone, aTried);
}

void
RunnerTable::AcquireSlot(std::size_t aIndex, std::chrono::milliseconds aNow)
{
  Entry& entry = mEntries.at(aIndex);
  ++entry.mInFlight;
  if (entry.mHealth.State() == EndpointState::kQuarantined) {
    entry.mHealth = entry.mHealth.WithProbe(aNow);
  }
  RefreshLoad(aIndex);
}

RunnerChange
RunnerTable::ReleaseSlot(const VmId& aRunner,
                         const ClassName& aClass,
                         const RunnerResult& aResult,
                         bool aCountsForHealth,
                         std::chrono::milliseconds aNow)
{
  Entry* entry = Find(aRunner);
  if (entry == nullptr) {
    return RunnerChange::kNone;
  }
  --entry->mInFlight;
  RunnerChange change = RunnerChange::kNone;
  if (aResult.Leaving()) {
    change = entry->mReportedLeaving ? change : RunnerChange::kLeaving;
    entry->mListChangedSinceLeaving =
      !entry->mListed || entry->mVm.State() == VmState::kLeaving;
    entry->mReportedLeaving = true;
  }
  // A leaving runner rejects requests; such a failure does not affect its
  // health.
  const bool failed = aResult.Status() != RunnerStatus::kAnswered;
  if (aCountsForHealth && !(failed && aResult.Leaving())) {
    const EndpointState before = entry->mHealth.State();
    entry->mHealth = entry->mHealth.WithExchange(
      EndpointExchange(aClass, failed),
      failed && SucceedsOnOtherRunner(aClass, *entry),
      aNow);
    if (entry->mHealth.State() != before) {
      change = before == EndpointState::kHealthy ? RunnerChange::kQuarantined
                                                 : RunnerChange::kRecovered;
      mQuarantined += before == EndpointState::kHealthy ? 1 : -1;
    }
  }
  RefreshLoad(static_cast<std::size_t>(entry - mEntries.data()));
  return change;
}

bool
RunnerTable::HasUntried(std::span<const VmId> aTried) const
{
  return std::any_of(
    mLoads.begin(), mLoads.end(), [aTried](const RunnerLoad& aLoad) {
      return aLoad.Usable() && aLoad.Slots() > 0 &&
             !WasTried(aLoad.Runner(), aTried);
    });
}

RunnerTable::Entry*
RunnerTable::Find(const VmId& aRunner)
{
  const auto it = std::lower_bound(mEntries.begin(),
                                   mEntries.end(),
                                   aRunner,
                                   [](const Entry& aEntry, const VmId& aName) {
                                     return aEntry.mVm.Name() < aName;
                                   });
  return it != mEntries.end() && it->mVm.Name() == aRunner ? &*it : nullptr;
}

void
RunnerTable::UpdateEntry(Entry& aEntry, const Vm& aVm)
{
  const bool replaced = aEntry.mVm.Address() != aVm.Address();
  aEntry.mVm = aVm;
  aEntry.mListed = true;
  if (replaced) {
    aEntry.mHealth = {};
    aEntry.mListChangedSinceLeaving = true;
  }
  if (aVm.State() == VmState::kLeaving) {
    aEntry.mListChangedSinceLeaving = true;
  } else if (aEntry.mListChangedSinceLeaving) {
    aEntry.mReportedLeaving = false;
    aEntry.mListChangedSinceLeaving = false;
  }
}

void
RunnerTable::AssignSlots(Entry& aEntry) const
{
  aEntry.mSlots =
    AssignedSlots(aEntry.mVm.Name(), mSlotsPerRunner, mDaemons, mSelf);
}

void
RunnerTable::RebuildLoads()
{
  mLoads.clear();
  mFreeSlots = 0;
  mQuarantined = static_cast<int>(
    std::count_if(mEntries.begin(), mEntries.end(), [](const Entry& aEntry) {
      return aEntry.mHealth.State() == EndpointState::kQuarantined;
    }));
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    mLoads.emplace_back(
      mEntries[i].mVm.Name(), mEntries[i].mVm.Location().Zone(), 0, 0, false);
    RefreshLoad(i);
  }
}

void
RunnerTable::RefreshLoad(std::size_t aIndex)
{
  const Entry& entry = mEntries[aIndex];
  const bool usable =
    IsAvailable(entry) && entry.mHealth.State() == EndpointState::kHealthy;
  mFreeSlots -= FreeSlotsOf(mLoads[aIndex]);
  mLoads[aIndex] =
    std::move(mLoads[aIndex]).WithLoad(entry.mSlots, entry.mInFlight, usable);
  mFreeSlots += FreeSlotsOf(mLoads[aIndex]);
}

bool
RunnerTable::IsAvailable(const Entry& aEntry) const
{
  return aEntry.mListed && !aEntry.mReportedLeaving &&
         aEntry.mVm.State() == VmState::kLive &&
         !mEvacuations.Contains(aEntry.mVm.Location().Zone().Text());
}

/**
 * @return Whether a class recently succeeded on another runner. Quarantined
 *   runners do not count, so that at least one runner stays usable.
 */
bool
RunnerTable::SucceedsOnOtherRunner(const ClassName& aClass,
                                   const Entry& aEntry) const
{
  return std::any_of(
    mEntries.begin(), mEntries.end(), [&](const Entry& aOther) {
      return &aOther != &aEntry && IsAvailable(aOther) &&
             aOther.mHealth.State() == EndpointState::kHealthy &&
             aOther.mHealth.HasSucceeded(aClass);
    });
}

} // namespace cornelrudder::state
