#ifndef CORNELRUDDER_STATE_GUARANTEE_RESULT_H
#define CORNELRUDDER_STATE_GUARANTEE_RESULT_H

#include <compare>
#include <cstddef>
#include <vector>

namespace cornelrudder::state {

enum class Feasibility
{
  kFeasible,
  kInfeasible,
  /** The search reached its step limit; callers treat it as infeasible. */
  kUndecided
};

/** Whether guaranteed shapes fit the fleet together, with one allocation. */
class GuaranteeResult
{
public:
  /** Positions of the workers that get one member of a shape each. */
  using Workers = std::vector<std::size_t>;

  GuaranteeResult(Feasibility aFeasibility,
                  std::vector<Workers> aPlacements,
                  std::size_t aSteps)
    : mFeasibility(aFeasibility)
    , mPlacements(std::move(aPlacements))
    , mSteps(aSteps)
  {
  }

  Feasibility Verdict() const { return mFeasibility; }
  bool Feasible() const { return mFeasibility == Feasibility::kFeasible; }

  /** Workers of each shape, in the order of the checked positions. */
  const std::vector<Workers>& Placements() const { return mPlacements; }

  /** Number of placements that the search tried. */
  std::size_t SearchSteps() const { return mSteps; }

  auto operator<=>(const GuaranteeResult&) const = default;

private:
  Feasibility mFeasibility;
  std::vector<Workers> mPlacements;
  std::size_t mSteps;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_GUARANTEE_RESULT_H
