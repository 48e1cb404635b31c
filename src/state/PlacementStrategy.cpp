#include "cornelrudder/state/PlacementStrategy.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace cornelrudder::state {

namespace {

/** Accelerators of each worker that no gang holds. */
std::vector<MemberPlacement>
FreeAccelerators(const FleetLoad& aLoad, bool aIgnoreGangs)
{
  std::map<VmId, std::set<int>> held;
  for (const PlacedGang& gang : aLoad.Gangs()) {
    for (const MemberPlacement& member : gang.Placement().Members()) {
      held[member.Worker()].insert(member.Accelerators().begin(),
                                   member.Accelerators().end());
    }
  }
  std::vector<MemberPlacement> free;
  for (const Vm& worker : aLoad.Workers().All()) {
    std::vector<int> indexes;
    for (int i = 0; i < worker.Accelerators(); ++i) {
      if (aIgnoreGangs || !held[worker.Name()].contains(i)) {
        indexes.push_back(i);
      }
    }
    free.emplace_back(worker.Name(), std::move(indexes));
  }
  return free;
}

/** Names the group of workers within which a shape must lie. */
std::string
GroupOf(const Vm& aWorker, Adjacency aAdjacency)
{
  const Location& where = aWorker.Where();
  const std::string zone = where.Region().Text() + "/" + where.Zone().Text();
  switch (aAdjacency) {
    case Adjacency::kWorker:
      return zone + "/" + where.Rack().Text() + "/" + aWorker.Name().Text();
    case Adjacency::kRack:
      return zone + "/" + where.Rack().Text();
    case Adjacency::kZone:
      return zone;
    case Adjacency::kRegion:
      break;
  }
  return where.Region().Text();
}

/** Takes the first workers with enough free accelerators in one group. */
GangPlacement
TakeFirst(const FleetLoad& aLoad, const Shape& aShape, bool aIgnoreGangs)
{
  const auto free = FreeAccelerators(aLoad, aIgnoreGangs);
  const auto perWorker =
    static_cast<std::size_t>(aShape.AcceleratorsPerWorker());
  std::map<std::string, std::vector<MemberPlacement>> groups;
  for (std::size_t i = 0; i < free.size(); ++i) {
    const auto& indexes = free[i].Accelerators();
    if (indexes.size() < perWorker) {
      continue;
    }
    auto& members = groups[GroupOf(aLoad.Workers().All()[i], aShape.Within())];
    members.emplace_back(
      free[i].Worker(),
      std::vector<int>(indexes.begin(),
                       indexes.begin() + aShape.AcceleratorsPerWorker()));
    if (members.size() == static_cast<std::size_t>(aShape.Workers())) {
      return GangPlacement(std::move(members));
    }
  }
  return {};
}

class FirstFit final : public PlacementStrategy
{
public:
  std::string_view Name() const override { return "first_fit"; }

  std::string_view Description() const override
  {
    return "first free place; the naive baseline";
  }

  PlacementDecision Place(const FleetLoad& aLoad,
                          const PlacementRequest& aRequest) const override
  {
    GangPlacement placement = TakeFirst(aLoad, aRequest.What(), false);
    if (!placement.Members().empty()) {
      return {
        PlacementKind::kPlaced, std::move(placement), {}, "first free place"
      };
    }
    if (TakeFirst(aLoad, aRequest.What(), true).Members().empty()) {
      return {
        PlacementKind::kNeverFits, {}, {}, "no part of the fleet has this shape"
      };
    }
    return { PlacementKind::kWait, {}, {}, "no free place of this shape" };
  }
};

const FirstFit kFirstFit;
const std::array<const PlacementStrategy*, 1> kStrategies{ &kFirstFit };

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
