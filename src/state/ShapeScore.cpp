#include "ShapeScore.h"

#include <algorithm>
#include <utility>

namespace cornelrudder::state {

namespace {

/** Sums by group; a linear search is enough as a placement uses few groups. */
class SumByGroup
{
public:
  void Add(std::size_t aGroup, int aNumber)
  {
    const auto it =
      std::find_if(mSums.begin(), mSums.end(), [aGroup](const auto& aSum) {
        return aSum.first == aGroup;
      });
    if (it == mSums.end()) {
      mSums.emplace_back(aGroup, aNumber);
    } else {
      it->second += aNumber;
    }
  }

  const std::vector<std::pair<std::size_t, int>>& All() const { return mSums; }

private:
  std::vector<std::pair<std::size_t, int>> mSums;
};

} // namespace

ShapeScore::ShapeScore(const FleetCapacity& aCapacity)
  : mCapacity(aCapacity)
{
  const FleetTopology& topology = aCapacity.Topology();
  std::vector<Shape> shapes;
  for (const GuaranteedShape& guarantee : aCapacity.Snapshot().Guarantees()) {
    shapes.push_back(guarantee.GangShape());
  }
  std::sort(shapes.begin(), shapes.end());
  shapes.erase(std::unique(shapes.begin(), shapes.end()), shapes.end());
  for (const Shape& shape : shapes) {
    const Adjacency level = shape.AdjacencyLevel();
    GuaranteedKind kind{ shape,
                         level,
                         std::vector<int>(topology.Members(level).size(), 0) };
    for (std::size_t w = 0; w < topology.Size(); ++w) {
      if (aCapacity.FreeAccelerators(w) >= shape.AcceleratorsPerWorker()) {
        ++kind.mWorkers[topology.GroupOf(level, w)];
      }
    }
    mKinds.push_back(std::move(kind));
  }
  for (const Adjacency level : { Adjacency::kRack, Adjacency::kZone }) {
    EntirelyFree entirelyFree{
      level, std::vector<int>(topology.Members(level).size(), 0)
    };
    for (std::size_t w = 0; w < topology.Size(); ++w) {
      if (IsEntirelyFree(w)) {
        entirelyFree.mAccelerators[topology.GroupOf(level, w)] +=
          aCapacity.FreeAccelerators(w);
      }
    }
    mEntirelyFree.push_back(std::move(entirelyFree));
  }
}

bool
ShapeScore::IsEntirelyFree(std::size_t aWorker) const
{
  return mCapacity.HeldMask(aWorker) == 0;
}

int
ShapeScore::AcceleratorsInBlocks(int aAccelerators)
{
  int sum = 0;
  for (const int block : kBlocks) {
    sum += aAccelerators / block * block;
  }
  return sum;
}

int
ShapeScore::Loss(std::span<const std::size_t> aWorkers, int aPerWorker) const
{
  const FleetTopology& topology = mCapacity.Topology();
  int loss = 0;
  for (const GuaranteedKind& kind : mKinds) {
    SumByGroup lost;
    for (const std::size_t w : aWorkers) {
      const int free = mCapacity.FreeAccelerators(w);
      if (free >= kind.mShape.AcceleratorsPerWorker() &&
          free - aPerWorker < kind.mShape.AcceleratorsPerWorker()) {
        lost.Add(topology.GroupOf(kind.mLevel, w), 1);
      }
    }
    for (const auto& [group, number] : lost.All()) {
      const int before = kind.mWorkers[group] / kind.mShape.Workers();
      const int after = (kind.mWorkers[group] - number) / kind.mShape.Workers();
      loss += (before - after) * kind.mShape.Accelerators();
    }
  }
  for (const EntirelyFree& entirelyFree : mEntirelyFree) {
    SumByGroup lost;
    for (const std::size_t w : aWorkers) {
      if (IsEntirelyFree(w)) {
        lost.Add(topology.GroupOf(entirelyFree.mLevel, w),
                 mCapacity.FreeAccelerators(w));
      }
    }
    for (const auto& [group, number] : lost.All()) {
      loss += AcceleratorsInBlocks(entirelyFree.mAccelerators[group]) -
              AcceleratorsInBlocks(entirelyFree.mAccelerators[group] - number);
    }
  }
  return loss;
}

} // namespace cornelrudder::state
