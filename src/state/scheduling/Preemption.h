#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H

#include "FleetRoom.h"
#include "Packing.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

/**
 * @file
 * Chooses less urgent work to stop for an urgent unit without room.
 */

namespace cornelrudder::state::scheduling {

/** Workers chosen for a unit, and what to stop to make room there. */
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
  /** @param aRoom and aPacker must outlive the object. */
  Preemptor(const FleetRoom& aRoom, const Packer& aPacker);

  /** @return The cheapest choice for a unit, or nothing. */
  std::optional<PreemptionChoice> Choose(const WaitingUnit& aUnit,
                                         const RoomSnapshot& aSoon);

  /** Counts victims as stopped and their room as being freed. */
  void Stop(const PreemptionChoice& aChoice, FleetRoom& aRoom);

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
                                           const RoomSnapshot& aSoon) const;
  std::optional<std::vector<std::size_t>> VictimsOn(
    const WaitingUnit& aUnit,
    std::size_t aWorker,
    Resources aRoom,
    const std::vector<bool>& aChosen,
    double& aLost) const;

  const FleetRoom& mRoom;
  const Packer& mPacker;
  /** Running units by worker; empty until something may be stopped. */
  std::vector<std::vector<Usage>> mUsage;
  /** By position in the view. */
  std::vector<bool> mStopped;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_PREEMPTION_H
