#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_PACKING_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_PACKING_H

#include "CapacityTracker.h"

#include <limits>
#include <optional>
#include <vector>

/**
 * @file
 * Finds workers with capacity for a unit and reserves workers for large units.
 */

namespace cornelrudder::state::scheduling {

/**
 * @param aCapacity Capacity of the worker before the task is placed.
 * @return Score of placing a task on a worker; lower scores fit more tightly.
 */
double
PackingScore(const WorkerView& aWorker,
             const Resources& aCapacity,
             const Resources& aDemand);

/**
 * Workers reserved for large units that do not fit yet. Less urgent work is not
 * placed there, so a stream of small tasks cannot starve large units.
 */
class Reservations
{
public:
  explicit Reservations(const CapacityTracker& aCapacity)
    : mPriorities(aCapacity.Workers().size(), kNone)
  {
  }

  /** @return Whether a worker is reserved for more urgent work than a unit. */
  bool Blocks(std::size_t aWorker, const WaitingUnit& aUnit) const
  {
    return aUnit.mPriority > mPriorities[aWorker];
  }

  /**
   * Reserves the workers with the most free accelerators for a unit. Does
   * nothing if the unit is small or its result has lost its value, if it would
   * not fit even into empty workers, or if the limit of reservations is
   * reached.
   */
  void Add(const WaitingUnit& aUnit, const CapacityTracker& aCapacity);

private:
  static constexpr int kNone = std::numeric_limits<int>::max();

  /** Priority of the unit that a worker is reserved for, or kNone. */
  std::vector<int> mPriorities;
  int mCount = 0;
};

/** Packs units tightly, so that whole workers and racks stay free. */
class Packer
{
public:
  /** @param aCapacity, aReservations Must outlive the object. */
  Packer(const CapacityTracker& aCapacity, const Reservations& aReservations);

  /** @return One worker for each task, or nothing if not all tasks fit. */
  std::optional<WorkerList> Place(const WaitingUnit& aUnit,
                                  const CapacitySnapshot& aCapacity) const;

  /**
   * @return Whether the unit would fit into some rack if all workers were
   * empty. Reservations and headroom are still respected.
   */
  bool FitsAnyRack(const WaitingUnit& aUnit) const;

  /**
   * @return Whether a unit has waited long enough to be placed without regard
   *   to racks, reservations and headroom, if capacity is not scarce for it.
   */
  bool MayIgnorePreferences(const WaitingUnit& aUnit) const;

private:
  /** Whether a placement respects reservations and headroom. */
  enum class Preferences
  {
    kRespected,
    kIgnored
  };

  /** A worker with capacity for a task. */
  struct Candidate
  {
    std::size_t mWorker;
    Resources mCapacity;
    /** Tasks of the unit's step on the worker. */
    std::size_t mTasks;
  };

  std::optional<WorkerList> PlaceByPreference(
    const WaitingUnit& aUnit,
    const CapacitySnapshot& aCapacity) const;
  std::optional<WorkerList> PlaceOnOneRack(
    const WaitingUnit& aUnit,
    const CapacitySnapshot& aCapacity) const;
  std::optional<WorkerList> PlaceOn(
    const WaitingUnit& aUnit,
    const WorkerList& aWorkers,
    const CapacitySnapshot& aCapacity,
    Preferences aPreferences = Preferences::kRespected) const;
  bool FitsTwice(const WaitingUnit& aUnit,
                 const CapacitySnapshot& aCapacity) const;
  bool UsesRetryable(const WaitingUnit& aUnit, Preferences aPreferences) const;
  bool Accepts(const WaitingUnit& aUnit,
               std::size_t aWorker,
               std::size_t aTasksOnWorker,
               const CapacitySnapshot& aCapacity,
               bool aUsesRetryable) const;
  std::vector<Candidate> CandidatesFor(const WaitingUnit& aUnit,
                                       const WorkerList& aWorkers,
                                       const CapacitySnapshot& aCapacity,
                                       Preferences aPreferences) const;
  /** @return Whether a task of the unit could run on one of the workers. */
  bool HasHost(const WaitingUnit& aUnit, const WorkerList& aWorkers) const;
  double SuspectPenalty(const WaitingUnit& aUnit,
                        std::size_t aWorker,
                        bool aIsEmpty) const;
  double UsableEmptyWorkers(const WaitingUnit& aUnit,
                            const CapacitySnapshot& aCapacity) const;
  bool MayCrossRacks(const WaitingUnit& aUnit) const;

  const CapacityTracker& mCapacity;
  const Reservations& mReservations;
  bool mHasUrgentWork;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_PACKING_H
