#ifndef CORNELRUDDER_STATE_SHAPE_SCORE_H
#define CORNELRUDDER_STATE_SHAPE_SCORE_H

#include "cornelrudder/state/FleetCapacity.h"

#include <array>
#include <span>
#include <vector>

namespace cornelrudder::state {

/**
 * Counts how many whole shapes the free accelerators still hold, and how many
 * a placement would cost: the guaranteed shapes, and blocks of entirely free
 * workers of 8, 16, 32 and 64 accelerators within a rack and within a zone.
 */
class ShapeScore
{
public:
  explicit ShapeScore(const FleetCapacity& aCapacity);

  /**
   * @return Accelerators in the shapes that are no longer possible when the
   *   workers give up these accelerators each; a shape counts once for each
   *   kind.
   */
  int Loss(std::span<const std::size_t> aWorkers, int aPerWorker) const;

private:
  static constexpr std::array<int, 4> kBlocks{ 8, 16, 32, 64 };

  /** A kind of guaranteed shape with the workers that can take a member. */
  struct Kind
  {
    Shape mShape;
    Adjacency mLevel;
    std::vector<int> mWorkers;
  };

  /** Accelerators on entirely free workers, by group. */
  struct Whole
  {
    Adjacency mLevel;
    std::vector<int> mAccelerators;
  };

  static int InBlocks(int aAccelerators);
  bool IsWhole(std::size_t aWorker) const;

  const FleetCapacity& mCapacity;
  std::vector<Kind> mKinds;
  std::vector<Whole> mWhole;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SHAPE_SCORE_H
