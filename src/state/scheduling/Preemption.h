#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H

#include "CapacityTracker.h"
#include "Packing.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

/**
 * @file
 * Selects less urgent running work to preempt for an urgent unit that does not
 * fit.
 */

namespace cornelrudder::state::scheduling {

/** Workers for the tasks of a unit, and the running units to preempt there. */
struct PreemptionChoice
{
  WorkerList mWorkers;
  /** Positions of running units in the view. */
  std::vector<std::size_t> mVictims;
  /** Work lost by the preemption, in core seconds. */
  double mCost = 0.0;

  auto operator<=>(const PreemptionChoice&) const = default;
};

/**
 * Selects units to preempt and tracks those already preempted in a planning
 * pass.
 */
class Preemptor
{
public:
  /** @param aCapacity, aPacker Must outlive the object. */
  Preemptor(const CapacityTracker& aCapacity, const Packer& aPacker);

  /**
   * @return The choice that loses the least work, or nothing if the unit may
   *   not preempt or no choice frees enough capacity at an acceptable loss.
   */
  std::optional<PreemptionChoice> Choose(
    const WaitingUnit& aUnit,
    const CapacitySnapshot& aFreeAfterStops);

  /**
   * Marks the victims as preempted and adds their capacity to the capacity
   * being released.
   */
  void MarkPreempted(const PreemptionChoice& aChoice,
                     CapacityTracker& aCapacity);

private:
  /** Resources that a running unit uses on one worker. */
  struct Usage
  {
    std::size_t mUnit;
    Resources mUsed;
  };

  void IndexUsage();
  bool CanBePreempted(std::size_t aRunning, const WaitingUnit& aUnit) const;
  std::optional<PreemptionChoice> ChooseOn(
    const WaitingUnit& aUnit,
    const WorkerList& aWorkers,
    const CapacitySnapshot& aFreeAfterStops) const;
  std::optional<std::vector<std::size_t>> FindVictims(
    const WaitingUnit& aUnit,
    std::size_t aWorker,
    Resources aCapacity,
    const std::vector<bool>& aChosen,
    double& aLost) const;

  const CapacityTracker& mCapacity;
  const Packer& mPacker;
  /** Usage by worker position; built when the first unit may preempt. */
  std::vector<std::vector<Usage>> mUsage;
  /**
   * Whether each running unit was preempted in this pass, by position in the
   * view.
   */
  std::vector<bool> mPreempted;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H
