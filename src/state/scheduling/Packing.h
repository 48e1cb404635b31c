#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_PACKING_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_PACKING_H

#include "CapacityTracker.h"

#include <limits>
#include <optional>
#include <vector>

/**
 * @file
 * Finds workers with capacity for a unit and keeps workers for large units.
 */

namespace cornelrudder::state::scheduling {

/**
 * @param aCapacity Capacity of the worker before the task is placed.
 * @return How badly a task fills a worker; smaller is better.
 */
double
PackingScore(const WorkerView& aWorker,
             const Resources& aCapacity,
             const Resources& aDemand);

/**
 * Workers kept free of less urgent work for large units without capacity, so
 * that a stream of small tasks cannot starve them.
 */
class Reservations
{
public:
  explicit Reservations(const CapacityTracker& aCapacity)
    : mPriorities(aCapacity.Workers().size(), kNone)
  {
  }

  /** @return Whether a worker is kept for more urgent work. */
  bool IsAgainst(std::size_t aWorker, const WaitingUnit& aUnit) const
  {
    return aUnit.mPriority > mPriorities[aWorker];
  }

  /** Keeps the emptiest workers for a unit, if it is large. */
  void Add(const WaitingUnit& aUnit, const CapacityTracker& aCapacity);

private:
  static constexpr int kNone = std::numeric_limits<int>::max();

  /** Priority of the unit that a worker is kept for. */
  std::vector<int> mPriorities;
  int mCount = 0;
};

/** Places units tightly, so that whole workers and racks stay free. */
class Packer
{
public:
  /** @param aCapacity and aReservations must outlive the object. */
  Packer(const CapacityTracker& aCapacity, const Reservations& aReservations);

  /** @return A worker for each task, or nothing. */
  std::optional<WorkerList> Place(const WaitingUnit& aUnit,
                                  const CapacitySnapshot& aCapacity) const;

  /** @return Whether the unit fits into some rack that is empty. */
  bool FitsAnyRack(const WaitingUnit& aUnit) const;

private:
  /** A worker with capacity for a task. */
  struct Candidate
  {
    std::size_t mWorker;
    Resources mCapacity;
    /** Tasks of the unit's step there. */
    std::size_t mTasks;
  };

  std::optional<WorkerList> PlaceOnOneRack(
    const WaitingUnit& aUnit,
    const CapacitySnapshot& aCapacity) const;
  std::optional<WorkerList> PlaceOn(const WaitingUnit& aUnit,
                                    const WorkerList& aWorkers,
                                    const CapacitySnapshot& aCapacity) const;
  std::vector<Candidate> CandidatesFor(const WaitingUnit& aUnit,
                                       const WorkerList& aWorkers,
                                       const CapacitySnapshot& aCapacity) const;
  double EmptyWorkersLeft(const WaitingUnit& aUnit,
                          const CapacitySnapshot& aCapacity) const;
  bool MayCrossRacks(const WaitingUnit& aUnit) const;

  const CapacityTracker& mCapacity;
  const Reservations& mReservations;
  bool mIsUrgentWorkAbout;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_PACKING_H
