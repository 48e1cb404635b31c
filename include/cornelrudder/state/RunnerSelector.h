#ifndef CORNELRUDDER_STATE_RUNNER_SELECTOR_H
#define CORNELRUDDER_STATE_RUNNER_SELECTOR_H

#include "cornelrudder/state/Ids.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** A runner and the load that one daemon puts on it. */
class RunnerLoad
{
public:
  RunnerLoad(VmId aRunner,
             ZoneId aZone,
             int aSlots,
             int aInFlight,
             bool aUsable)
    : mRunner(std::move(aRunner))
    , mZone(std::move(aZone))
    , mSlots(aSlots)
    , mInFlight(aInFlight)
    , mUsable(aUsable)
  {
  }

  const VmId& Runner() const { return mRunner; }
  const ZoneId& Zone() const { return mZone; }

  /** Slots that this daemon may use. */
  int Slots() const { return mSlots; }

  /** Requests that this daemon runs there now. */
  int InFlight() const { return mInFlight; }

  /** False if the runner is leaving, unlisted, quarantined or evacuated. */
  bool Usable() const { return mUsable; }

  /** @return The same runner with another load. */
  RunnerLoad WithLoad(int aSlots, int aInFlight, bool aUsable) &&
  {
    return { std::move(mRunner), std::move(mZone), aSlots, aInFlight, aUsable };
  }

  bool HasFreeSlot() const { return mUsable && mInFlight < mSlots; }

  auto operator<=>(const RunnerLoad&) const = default;

private:
  VmId mRunner;
  ZoneId mZone;
  int mSlots;
  int mInFlight;
  bool mUsable;
};

/** Strategy that chooses a runner for a request. */
class RunnerSelector
{
public:
  virtual ~RunnerSelector() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  /**
   * @param aOwnZone Availability zone of the daemon.
   * @param aTried Runners to which this request was already sent.
   * @return Index of the chosen runner, or nothing if none has a free slot.
   */
  virtual std::optional<std::size_t> Choose(
    std::span<const RunnerLoad> aRunners,
    const ZoneId& aOwnZone,
    std::span<const VmId> aTried) const = 0;
};

/** @return All strategies; the first is the baseline for comparison. */
std::span<const RunnerSelector* const>
AllRunnerSelectors();

/** @return The strategy of this name, or null. */
const RunnerSelector*
FindRunnerSelector(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RUNNER_SELECTOR_H
