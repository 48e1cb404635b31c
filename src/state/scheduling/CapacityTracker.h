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

/**
 * Capacity of all workers at one point of a planning pass, with counts of the
 * empty workers.
 */
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
  /** @return Number of empty workers that accept new work. */
  std::size_t EmptySchedulable() const { return mEmptySchedulable; }

  auto operator<=>(const CapacitySnapshot&) const = default;

private:
  std::vector<Resources> mCapacity;
  std::vector<int> mEmptyByRack;
  std::size_t mEmptySchedulable;
};

/**
 * Tracks the capacity of a fleet during a planning pass. Racks are identified
 * by number, since comparing rack names is too slow for hundreds of workers.
 */
class CapacityTracker
{
public:
  /** @param aView Must outlive the object. */
  explicit CapacityTracker(const PlanningView& aView);

  const PlanningView& View() const { return mView; }
  const WorkerList& Workers() const { return mWorkers; }
  /** @return The workers of each rack, by rack number. */
  const std::vector<WorkerList>& Racks() const { return mRacks; }
  std::size_t RackOf(std::size_t aWorker) const { return mRackOf[aWorker]; }
  /** @return The workers of a rack, or null if there is no such rack. */
  const WorkerList* FindRack(const std::string& aName) const;
  /** @return Number of schedulable workers that are not reduced. */
  std::size_t WholeSchedulableWorkers() const
  {
    return mWholeSchedulableWorkers;
  }
  /**
   * @return Whether at most half of the capacity of a service's schedulable
   *   workers was in use at the start of the planning pass, in every dimension.
   */
  bool IsMostlyFree(const std::string& aService) const;

  CapacitySnapshot Free() const { return Summarise(mFree); }
  /** @return Capacity that is free or is being released by stopped tasks. */
  CapacitySnapshot FreeAfterStops() const;
  /** @return Capacity that all workers would have if they ran no tasks. */
  CapacitySnapshot Total() const;

  /**
   * @return Whether a worker would run no tasks with the given free capacity. A
   *   reduced worker, with less than half of the capacity of the largest one of
   *   its service, does not count as empty: it has no place for large units.
   */
  bool IsEmpty(std::size_t aWorker, const Resources& aCapacity) const
  {
    return !mIsReduced[aWorker] &&
           aCapacity == mView.mWorkers[aWorker].mCapacity;
  }

  /**
   * @return Number of tasks of the unit's step on a worker, including those
   *   placed in this pass; 0 if the step has no limit per worker.
   */
  std::size_t TasksOn(const WaitingUnit& aUnit, std::size_t aWorker) const;

  /**
   * @return Whether a worker has a task under which another worker has crashed,
   *   including those placed in this pass.
   */
  bool HasSuspect(std::size_t aWorker) const { return mHasSuspect[aWorker]; }

  /** Allocates capacity for a unit, one task for each entry of the list. */
  void Allocate(const WaitingUnit& aUnit, const WorkerList& aWorkers);

  /** Adds capacity that a preempted run will release. */
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
  std::vector<bool> mIsReduced;
  std::size_t mWholeSchedulableWorkers = 0;
  /** Free and total capacity of the schedulable workers, by service. */
  std::map<std::string, std::pair<Resources, Resources>> mServices;
  std::vector<Resources> mFree;
  std::vector<Resources> mReleasing;
  std::vector<bool> mHasSuspect;
  /** Number of tasks placed in this pass, by step group and worker. */
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> mPlacedTasks;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_CAPACITY_TRACKER_H
