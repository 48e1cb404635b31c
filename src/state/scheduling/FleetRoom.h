#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_FLEET_ROOM_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_FLEET_ROOM_H

#include "cornelrudder/state/scheduling/Planning.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Positions of workers in a planning view. */
using WorkerList = std::vector<std::size_t>;

/** Room of all workers at one moment, with counts of the empty ones. */
class RoomSnapshot
{
public:
  RoomSnapshot(std::vector<Resources> aRoom,
               std::vector<int> aEmptyByRack,
               std::size_t aEmptyUsable)
    : mRoom(std::move(aRoom))
    , mEmptyByRack(std::move(aEmptyByRack))
    , mEmptyUsable(aEmptyUsable)
  {
  }

  const Resources& Of(std::size_t aWorker) const { return mRoom[aWorker]; }
  const std::vector<Resources>& All() const { return mRoom; }
  int EmptyInRack(std::size_t aRack) const { return mEmptyByRack[aRack]; }
  /** @return Number of empty workers that may be given work. */
  std::size_t EmptyUsable() const { return mEmptyUsable; }

  auto operator<=>(const RoomSnapshot&) const = default;

private:
  std::vector<Resources> mRoom;
  std::vector<int> mEmptyByRack;
  std::size_t mEmptyUsable;
};

/**
 * The room of a fleet while a pass uses it up. Racks have numbers, since a pass
 * over hundreds of workers cannot afford to compare their names.
 */
class FleetRoom
{
public:
  /** @param aView Must outlive the object. */
  explicit FleetRoom(const PlanningView& aView);

  const PlanningView& View() const { return mView; }
  const WorkerList& Workers() const { return mWorkers; }
  /** @return The workers of each rack, by number of the rack. */
  const std::vector<WorkerList>& Racks() const { return mRacks; }
  std::size_t RackOf(std::size_t aWorker) const { return mRackOf[aWorker]; }
  /** @return The workers of a rack, or null if there is no such rack. */
  const WorkerList* FindRack(const std::string& aName) const;
  std::size_t UsableWorkers() const { return mUsableWorkers; }

  RoomSnapshot Free() const { return Summarise(mFree); }
  /** @return Room that is free or being freed. */
  RoomSnapshot Soon() const;
  /** @return Room of the workers without any task. */
  RoomSnapshot Whole() const;

  bool IsEmpty(std::size_t aWorker, const Resources& aRoom) const
  {
    return aRoom == mView.mWorkers[aWorker].mRoom;
  }

  /** @return Tasks of the unit's step on a worker, with those of the pass. */
  std::size_t TasksThere(const WaitingUnit& aUnit, std::size_t aWorker) const;

  /** Uses room for a unit, one task on each worker of the list. */
  void Take(const WaitingUnit& aUnit, const WorkerList& aWorkers);

  /** Notes room that a stop frees later. */
  void AddFreeing(std::size_t aWorker, const Resources& aRoom)
  {
    mFreeing[aWorker] = mFreeing[aWorker].Plus(aRoom);
  }

private:
  RoomSnapshot Summarise(std::vector<Resources> aRoom) const;

  const PlanningView& mView;
  WorkerList mWorkers;
  std::map<std::string, std::size_t> mRackNumbers;
  std::vector<WorkerList> mRacks;
  std::vector<std::size_t> mRackOf;
  std::size_t mUsableWorkers = 0;
  std::vector<Resources> mFree;
  std::vector<Resources> mFreeing;
  /** Tasks placed in this pass, by group of units and worker. */
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> mTaken;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_FLEET_ROOM_H
