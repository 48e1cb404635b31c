#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_CAPACITY_TRACKER_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_CAPACITY_TRACKER_H

#include "cornelrudder/state/scheduling/Planning.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Positions of workers in a planning view. */
using WorkerList = std::vector<std::size_t>;

/** Capacity of all workers at one moment, with counts of the empty ones. */
class CapacitySnapshot
{
public:
  CapacitySnapshot(std::vector<Resources> aCapacity,
                   std::vector<int> aEmptyByRack,
                   std::size_t aEmptySchedulable)
    : mCapacity(std::move(aCapacity))
    , mEmptyByRack(std::move(aEmptyByRack))
    , mEmptySchedulable(aEmptySchedulable)
  {
  }

  const Resources& Of(std::size_t aWorker) const { return mCapacity[aWorker]; }
  const std::vector<Resources>& All() const { return mCapacity; }
  int EmptyInRack(std::size_t aRack) const { return mEmptyByRack[aRack]; }
  /** @return Number of empty workers that may be given work. */
  std::size_t EmptySchedulable() const { return mEmptySchedulable; }

  auto operator<=>(const CapacitySnapshot&) const = default;

private:
  std::vector<Resources> mCapacity;
  std::vector<int> mEmptyByRack;
  std::size_t mEmptySchedulable;
};

/**
 * The capacity of a fleet while a pass uses it up. Racks have numbers, since a
 * pass over hundreds of workers cannot afford to compare their names.
 */
class CapacityTracker
{
public:
  /** @param aView Must outlive the object. */
  explicit CapacityTracker(const PlanningView& aView);

  const PlanningView& View() const { return mView; }
  const WorkerList& Workers() const { return mWorkers; }
  /** @return The workers of each rack, by number of the rack. */
  const std::vector<WorkerList>& Racks() const { return mRacks; }
  std::size_t RackOf(std::size_t aWorker) const { return mRackOf[aWorker]; }
  /** @return The workers of a rack, or null if there is no such rack. */
  const WorkerList* FindRack(const std::string& aName) const;
  std::size_t SchedulableWorkers() const { return mSchedulableWorkers; }

  CapacitySnapshot Free() const { return Summarise(mFree); }
  /** @return Capacity that is free or being freed. */
  CapacitySnapshot Soon() const;
  /** @return Capacity of the workers without any task. */
  CapacitySnapshot Whole() const;

  bool IsEmpty(std::size_t aWorker, const Resources& aCapacity) const
  {
    return aCapacity == mView.mWorkers[aWorker].mCapacity;
  }

  /** @return Tasks of the unit's step on a worker, with those of the pass. */
  std::size_t TasksThere(const WaitingUnit& aUnit, std::size_t aWorker) const;

  /** Uses capacity for a unit, one task on each worker of the list. */
  void Allocate(const WaitingUnit& aUnit, const WorkerList& aWorkers);

  /** Notes capacity that a stop frees later. */
  void AddReleasing(std::size_t aWorker, const Resources& aCapacity)
  {
    mReleasing[aWorker] = mReleasing[aWorker].Plus(aCapacity);
  }

private:
  CapacitySnapshot Summarise(std::vector<Resources> aCapacity) const;

  const PlanningView& mView;
  WorkerList mWorkers;
  std::map<std::string, std::size_t> mRackNumbers;
  std::vector<WorkerList> mRacks;
  std::vector<std::size_t> mRackOf;
  std::size_t mSchedulableWorkers = 0;
  std::vector<Resources> mFree;
  std::vector<Resources> mReleasing;
  /** Tasks placed in this pass, by group of units and worker. */
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> mPlacedTasks;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_CAPACITY_TRACKER_H
