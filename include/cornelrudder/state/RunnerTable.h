#ifndef CORNELRUDDER_STATE_RUNNER_TABLE_H
#define CORNELRUDDER_STATE_RUNNER_TABLE_H

#include "cornelrudder/state/EndpointHealth.h"
#include "cornelrudder/state/RunnerExchange.h"
#include "cornelrudder/state/RunnerSelector.h"
#include "cornelrudder/state/Vm.h"
#include "cornelrudder/state/scheduling/Evacuations.h"

#include <chrono>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** How a completed exchange changed the state of a runner. */
enum class RunnerChange
{
  kNone,
  kLeaving,
  kQuarantined,
  kRecovered
};

/**
 * The runners as known to one daemon. The owning task changes the table in
 * place, because each exchange changes only one of many entries.
 */
class RunnerTable
{
public:
  /** @param aSlotsPerRunner Slots of each runner, in total for all daemons. */
  RunnerTable(VmId aSelf, int aSlotsPerRunner);

  /**
   * Applies a VM list of the platform. The list may be out of date when a
   * runner reports that it is leaving. Such a runner is used again only if the
   * list shows it as live after it showed the runner as leaving, absent or at
   * another address.
   */
  void Apply(const VmList& aRunners);

  /** Applies the daemons that share the slots, including this one. */
  void Apply(const std::vector<VmId>& aDaemons);

  /** Applies the evacuated zones, whose runners get no requests. */
  void Apply(const scheduling::Evacuations& aEvacuations);

  /**
   * Chooses a runner for a request. A quarantined runner whose probe is due
   * comes first.
   * @param aIdempotent Whether the request may run twice. Other requests are
   *   used as probes only if a probe is long overdue, because they cannot
   *   always be retried after a failed probe.
   * @return Index for At() and AcquireSlot(), valid until the next Apply(), or
   *   nothing if no runner has a free slot.
   */
  std::optional<std::size_t> Choose(const RunnerSelector& aSelector,
                                    const ZoneId& aOwnZone,
                                    std::span<const VmId> aTried,
                                    bool aIdempotent,
                                    std::chrono::milliseconds aNow) const;

  const Vm& At(std::size_t aIndex) const { return mEntries.at(aIndex).mVm; }

  /** Marks a slot of a runner as in use. */
  void AcquireSlot(std::size_t aIndex, std::chrono::milliseconds aNow);

  /**
   * Releases a slot.
   * @param aCountsForHealth Whether the result affects the runner's health;
   *   false if the exchange ended because of the caller's short deadline.
   */
  RunnerChange ReleaseSlot(const VmId& aRunner,
                           const ClassName& aClass,
                           const RunnerResult& aResult,
                           bool aCountsForHealth,
                           std::chrono::milliseconds aNow);

  /** Free slots of usable runners that are assigned to this daemon. */
  int FreeSlots() const { return mFreeSlots; }

  /** @return Whether a usable runner, free or busy, is not in aTried. */
  bool HasUntried(std::span<const VmId> aTried) const;

  const std::vector<RunnerLoad>& Loads() const { return mLoads; }

private:
  struct Entry
  {
    explicit Entry(Vm aVm)
      : mVm(std::move(aVm))
    {
    }

    Vm mVm;
    bool mListed = true;
    bool mReportedLeaving = false;
    /**
     * Whether the VM list has shown the runner as leaving, absent or at another
     * address since the runner reported that it is leaving.
     */
    bool mListChangedSinceLeaving = false;
    int mSlots = 0;
    int mInFlight = 0;
    EndpointHealth mHealth;
  };

  Entry* Find(const VmId& aRunner);
  void UpdateEntry(Entry& aEntry, const Vm& aVm);
  void AssignSlots(Entry& aEntry) const;
  void RebuildLoads();
  void RefreshLoad(std::size_t aIndex);
  bool IsAvailable(const Entry& aEntry) const;
  bool SucceedsOnOtherRunner(const ClassName& aClass,
                             const Entry& aEntry) const;

  VmId mSelf;
  int mSlotsPerRunner;
  std::vector<VmId> mDaemons;
  scheduling::Evacuations mEvacuations;
  /** Sorted by name; mLoads has the same order. */
  std::vector<Entry> mEntries;
  std::vector<RunnerLoad> mLoads;
  int mFreeSlots = 0;
  /** Lets Choose() skip the search for due probes if it is 0. */
  int mQuarantined = 0;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RUNNER_TABLE_H
