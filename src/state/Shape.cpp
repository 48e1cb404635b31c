#include "cornelrudder/state/Shape.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <array>
#include <string>

namespace cornelrudder::state {

namespace {

/** Indexed by Adjacency. */
constexpr std::array<std::string_view, 4> kAdjacencyNames{ "worker",
                                                           "rack",
                                                           "zone",
                                                           "region" };

} // namespace

std::string_view
AdjacencyName(Adjacency aAdjacency)
{
  return kAdjacencyNames.at(static_cast<std::size_t>(aAdjacency));
}

std::optional<Adjacency>
ParseAdjacency(std::string_view aName)
{
  const auto* it =
    std::find(kAdjacencyNames.begin(), kAdjacencyNames.end(), aName);
  if (it == kAdjacencyNames.end()) {
    return std::nullopt;
  }
  return static_cast<Adjacency>(it - kAdjacencyNames.begin());
}

Shape::Shape(int aWorkers, int aAcceleratorsPerWorker, Adjacency aAdjacency)
  : mWorkers(aWorkers)
  , mAcceleratorsPerWorker(aAcceleratorsPerWorker)
  , mAdjacency(aAdjacency)
{
  if (mWorkers < 1 || mAcceleratorsPerWorker < 1 ||
      mWorkers > kMaxAccelerators ||
      mAcceleratorsPerWorker > kMaxAccelerators ||
      Accelerators() > kMaxAccelerators) {
    throw StateError("shape of " + std::to_string(mWorkers) + " x " +
                     std::to_string(mAcceleratorsPerWorker) +
                     ": allowed are 1 to " + std::to_string(kMaxAccelerators) +
                     " accelerators in all");
  }
  if (mAdjacency == Adjacency::kWorker && mWorkers > 1) {
    throw StateError("shape of " + std::to_string(mWorkers) +
                     " workers within one worker: allowed is 1 worker");
  }
}

} // namespace cornelrudder::state
