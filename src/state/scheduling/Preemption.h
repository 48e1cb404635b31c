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
 * Chooses less urgent work to stop for an urgent unit without capacity.
 */

namespace cornelrudder::state::scheduling {

/** Workers chosen for a unit, and what to stop to free capacity there. */
struct PreemptionChoice
{
  WorkerList mWorkers;
  /** Positions of running units in the view. */
  std::vector<std::size_t> mVictims;
  /** Work that is lost, in core seconds. */
  double mCost = 0.0;

  auto operator<=>(const PreemptionChoice&) const = default;
};

/** Remembers what a pass has stopped already. */
class Preemptor
{
public:
  /** @param aCapacity and aPacker must outlive the object. */
  Preemptor(const CapacityTracker& aCapacity, const Packer& aPacker);

  /** @return The cheapest choice for a unit, or nothing. */
  std::optional<PreemptionChoice> Choose(const WaitingUnit& aUnit,
                                         const CapacitySnapshot& aSoon);

  /** Counts victims as stopped and their capacity as being freed. */
  void Stop(const PreemptionChoice& aChoice, CapacityTracker& aCapacity);

private:
  /** What a running unit uses on a worker. */
  struct Usage
  {
    std::size_t mUnit;
    Resources mUsed;
  };

  void IndexUsage();
  bool IsVictim(std::size_t aRunning, const WaitingUnit& aUnit) const;
  std::optional<PreemptionChoice> ChooseOn(const WaitingUnit& aUnit,
                                           const WorkerList& aWorkers,
                                           const CapacitySnapshot& aSoon) const;
  std::optional<std::vector<std::size_t>> VictimsOn(
    const WaitingUnit& aUnit,
    std::size_t aWorker,
    Resources aCapacity,
    const std::vector<bool>& aChosen,
    double& aLost) const;

  const CapacityTracker& mCapacity;
  const Packer& mPacker;
  /** Running units by worker; empty until something may be stopped. */
  std::vector<std::vector<Usage>> mUsage;
  /** By position in the view. */
  std::vector<bool> mStopped;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H
