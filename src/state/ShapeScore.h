#ifndef CORNELRUDDER_STATE_SHAPE_SCORE_H
#define CORNELRUDDER_STATE_SHAPE_SCORE_H

#include "cornelrudder/state/FleetCapacity.h"

#include <array>
#include <span>
#include <vector>

namespace cornelrudder::state {

/**
 * Scores a placement by how many complete shapes no longer fit into the free
 * accelerators after it. It counts the guaranteed shapes, and blocks of 8, 16,
 * 32 and 64 accelerators on entirely free workers within a rack and within a
 * zone.
 */
class ShapeScore
{
public:
  explicit ShapeScore(const FleetCapacity& aCapacity);

  /**
   * @param aPerWorker Accelerators that the placement uses on each worker.
   * @return Accelerators in the shapes that no longer fit after the placement,
   *   added up over all kinds of shapes and blocks.
   */
  int Loss(std::span<const std::size_t> aWorkers, int aPerWorker) const;

private:
  static constexpr std::array<int, 4> kBlocks{ 8, 16, 32, 64 };

  /**
   * A distinct guaranteed shape with the number of workers in each group that
   * have enough free accelerators for a member.
   */
  struct GuaranteedKind
  {
    Shape mShape;
    Adjacency mLevel;
    std::vector<int> mWorkers;
  };

  /** Accelerators on entirely free workers, by group. */
  struct EntirelyFree
  {
    Adjacency mLevel;
    std::vector<int> mAccelerators;
  };

  static int AcceleratorsInBlocks(int aAccelerators);
  bool IsEntirelyFree(std::size_t aWorker) const;

  const FleetCapacity& mCapacity;
  std::vector<GuaranteedKind> mKinds;
  std::vector<EntirelyFree> mEntirelyFree;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SHAPE_SCORE_H
