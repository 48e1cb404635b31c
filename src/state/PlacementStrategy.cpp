#include "cornelrudder/state/PlacementStrategy.h"

#include "BestFit.h"
#include "FirstFit.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

namespace {

const FirstFit kFirstFit;
const BestFit kBestFit;
const std::array<const PlacementStrategy*, 2> kStrategies{ &kFirstFit,
                                                           &kBestFit };

} // namespace

std::span<const PlacementStrategy* const>
AllPlacementStrategies()
{
  return kStrategies;
}

const PlacementStrategy*
FindPlacementStrategy(std::string_view aName)
{
  const auto* it = std::find_if(
    kStrategies.begin(), kStrategies.end(), [aName](const auto* aStrategy) {
      return aStrategy->Name() == aName;
    });
  return it != kStrategies.end() ? *it : nullptr;
}

} // namespace cornelrudder::state
