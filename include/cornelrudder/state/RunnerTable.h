#ifndef CORNELRUDDER_STATE_RUNNER_TABLE_H
#define CORNELRUDDER_STATE_RUNNER_TABLE_H

#include "cornelrudder/state/EndpointHealth.h"
#include "cornelrudder/state/RunnerExchange.h"
#include "cornelrudder/state/RunnerSelector.h"
#include "cornelrudder/state/Vm.h"

#include <chrono>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** What an ended exchange changed about its runner. */
enum class RunnerChange
{
  kNone,
  kLeaving,
  kQuarantined,
  kRecovered
};

/**
 * The runners as one daemon sees them. The task owns it as a private container
 * that changes in place, because each exchange changes one entry of many.
 */
class RunnerTable
{
public:
  /** @param aSlotsPerRunner Slots of each runner, over all daemons. */
  RunnerTable(VmId aSelf, int aSlotsPerRunner);

  /**
   * Applies a list of the platform. A runner that said that it is leaving
   * stays unusable while the list lags: it becomes usable again only when the
   * list shows it live after having shown it leaving, absent or elsewhere.
   */
  void Apply(const VmList& aRunners);

  /** Applies the daemons that share the slots; includes this one. */
  void Apply(const std::vector<VmId>& aDaemons);

  /**
   * Chooses a runner for a request; a due probe of a quarantined runner goes
   * first.
   * @param aIdempotent Only these requests are probes, unless a probe is long
   *   overdue, because a failed one may be repeated.
   * @return Index for At() and AcquireSlot(), valid until the next Apply().
   */
  std::optional<std::size_t> Choose(const RunnerSelector& aSelector,
                                    const ZoneId& aOwnZone,
                                    std::span<const VmId> aTried,
                                    bool aIdempotent,
                                    std::chrono::milliseconds aNow) const;

  const Vm& At(std::size_t aIndex) const { return mEntries.at(aIndex).mVm; }

  /** Takes a slot. */
  void AcquireSlot(std::size_t aIndex, std::chrono::milliseconds aNow);

  /**
   * Gives a slot back.
   * @param aCountsForHealth Whether the result says something about the runner;
   * not if the caller's short deadline ended the exchange.
   */
  RunnerChange ReleaseSlot(const VmId& aRunner,
                           const ClassName& aClass,
                           const RunnerResult& aResult,
                           bool aCountsForHealth,
                           std::chrono::milliseconds aNow);

  /** Slots of usable runners that this daemon may take now. */
  int FreeSlots() const { return mFreeSlots; }

  /** @return Whether a usable runner was not tried, free or not. */
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
    /** Whether the list changed its mind since the runner said it leaves. */
    bool mListChangedSinceLeaving = false;
    int mSlots = 0;
    int mInFlight = 0;
    EndpointHealth mHealth;
  };

  Entry* Find(const VmId& aRunner);
  void ApplyTo(Entry& aEntry, const Vm& aVm);
  void Rehash(Entry& aEntry) const;
  void RebuildLoads();
  void RefreshLoad(std::size_t aIndex);
  static bool IsLive(const Entry& aEntry);
  bool SucceedsElsewhere(const ClassName& aClass, const Entry& aEntry) const;

  VmId mSelf;
  int mSlotsPerRunner;
  std::vector<VmId> mDaemons;
  /** In order of the names, like mLoads. */
  std::vector<Entry> mEntries;
  std::vector<RunnerLoad> mLoads;
  int mFreeSlots = 0;
  /** Spares most choices the search for a runner to probe. */
  int mQuarantined = 0;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RUNNER_TABLE_H
