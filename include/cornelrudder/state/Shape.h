#ifndef CORNELRUDDER_STATE_SHAPE_H
#define CORNELRUDDER_STATE_SHAPE_H

#include "cornelrudder/state/Ids.h"

#include <compare>
#include <optional>
#include <string_view>

namespace cornelrudder::state {

/** The unit that must contain all workers of a shape. */
enum class Adjacency
{
  kWorker,
  kRack,
  kZone,
  kRegion
};

/** @return "worker", "rack", "zone" or "region". */
std::string_view
AdjacencyName(Adjacency aAdjacency);

/** @return The adjacency of this name, or nothing. */
std::optional<Adjacency>
ParseAdjacency(std::string_view aName);

/**
 * A number of adjacent workers with the same number of accelerators on each.
 */
class Shape
{
public:
  /** Largest gang, in accelerators. */
  static constexpr int kMaxAccelerators = 64;

  /**
   * @throws StateError if a number is below 1, their product is above
   *   kMaxAccelerators, or kWorker is combined with more than one worker.
   */
  Shape(int aWorkers, int aAcceleratorsPerWorker, Adjacency aAdjacency);

  int Workers() const { return mWorkers; }
  int AcceleratorsPerWorker() const { return mAcceleratorsPerWorker; }
  Adjacency AdjacencyLevel() const { return mAdjacency; }
  int Accelerators() const { return mWorkers * mAcceleratorsPerWorker; }

  auto operator<=>(const Shape&) const = default;

private:
  int mWorkers;
  int mAcceleratorsPerWorker;
  Adjacency mAdjacency;
};

/** A shape that an organisation can reclaim at any time. */
class GuaranteedShape
{
public:
  GuaranteedShape(OrganisationId aOrganisation,
                  ShapeName aName,
                  RegionId aRegion,
                  Shape aShape)
    : mOrganisation(std::move(aOrganisation))
    , mName(std::move(aName))
    , mRegion(std::move(aRegion))
    , mShape(aShape)
  {
  }

  const OrganisationId& Organisation() const { return mOrganisation; }
  const ShapeName& Name() const { return mName; }
  const RegionId& Region() const { return mRegion; }
  const Shape& GangShape() const { return mShape; }

  auto operator<=>(const GuaranteedShape&) const = default;

private:
  OrganisationId mOrganisation;
  ShapeName mName;
  RegionId mRegion;
  Shape mShape;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_SHAPE_H
