#include "ExhaustiveGuaranteeVerifier.h"

#include <algorithm>

namespace cornelrudder::state {

namespace {

class ExhaustiveSearch
{
public:
  ExhaustiveSearch(const FleetCapacity& aCapacity,
                   std::span<const std::size_t> aGuarantees,
                   std::size_t aMaxSteps)
    : mCapacity(aCapacity)
    , mGuarantees(aGuarantees)
    , mMaxSteps(aMaxSteps)
    , mPlacements(aGuarantees.size())
  {
    for (std::size_t w = 0; w < aCapacity.Topology().Size(); ++w) {
      mShared.push_back(aCapacity.FreeOrPreemptible(w));
      auto& own = mOwn.emplace_back();
      for (std::size_t o = 0; o < aCapacity.OrganisationCount(); ++o) {
        own.push_back(aCapacity.NonPreemptible(o, w));
      }
    }
  }

  GuaranteeResult Run()
  {
    const bool found = PlaceShape(0);
    if (found) {
      return { Feasibility::kFeasible, std::move(mPlacements), mSteps };
    }
    return { mSteps > mMaxSteps ? Feasibility::kUndecided
                                : Feasibility::kInfeasible,
             {},
             mSteps };
  }

private:
  const GuaranteedShape& Guarantee(std::size_t aShape) const
  {
    return mCapacity.Snapshot().Guarantees()[mGuarantees[aShape]];
  }

  bool PlaceShape(std::size_t aShape)
  {
    if (aShape == mGuarantees.size()) {
      return true;
    }
    const auto& groups = mCapacity.Topology().Members(
      Guarantee(aShape).GangShape().AdjacencyLevel());
    const auto& workers = mCapacity.Snapshot().Workers().All();
    return std::any_of(groups.begin(), groups.end(), [&](const auto& aGroup) {
      return workers[aGroup.front()].Location().Region() ==
               Guarantee(aShape).Region() &&
             PlaceMember(aShape, aGroup, 0);
    });
  }

  /**
   * Tries to place the next member on each worker of the group from aFirst on.
   */
  bool PlaceMember(std::size_t aShape,
                   const std::vector<std::size_t>& aGroup,
                   std::size_t aFirst)
  {
    const Shape& shape = Guarantee(aShape).GangShape();
    if (mPlacements[aShape].size() ==
        static_cast<std::size_t>(shape.Workers())) {
      return PlaceShape(aShape + 1);
    }
    const std::size_t organisation =
      mCapacity.OrganisationOf(mGuarantees[aShape]);
    for (std::size_t i = aFirst; i < aGroup.size(); ++i) {
      const std::size_t worker = aGroup[i];
      int& own = mOwn[worker][organisation];
      int& shared = mShared[worker];
      const int wanted = shape.AcceleratorsPerWorker();
      for (int fromOwn = 0; fromOwn <= std::min(own, wanted); ++fromOwn) {
        if (wanted - fromOwn > shared) {
          continue;
        }
        if (++mSteps > mMaxSteps) {
          return false;
        }
        own -= fromOwn;
        shared -= wanted - fromOwn;
        mPlacements[aShape].push_back(worker);
        if (PlaceMember(aShape, aGroup, i + 1)) {
          return true;
        }
        mPlacements[aShape].pop_back();
        own += fromOwn;
        shared += wanted - fromOwn;
      }
    }
    return false;
  }

  const FleetCapacity& mCapacity;
  std::span<const std::size_t> mGuarantees;
  std::size_t mMaxSteps;
  std::size_t mSteps = 0;
  std::vector<int> mShared;
  std::vector<std::vector<int>> mOwn;
  std::vector<GuaranteeResult::Workers> mPlacements;
};

} // namespace

GuaranteeResult
ExhaustiveGuaranteeVerifier::Check(const FleetCapacity& aCapacity,
                                   std::span<const std::size_t> aGuarantees,
                                   std::size_t aMaxSteps) const
{
  return ExhaustiveSearch(aCapacity, aGuarantees, aMaxSteps).Run();
}

} // namespace cornelrudder::state
