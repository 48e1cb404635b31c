#include "cornelrudder/state/JobQueue.h"

#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <tuple>

namespace cornelrudder::state {

namespace {

FleetSnapshot
WithGang(const FleetSnapshot& aSnapshot, PlacedGang aGang)
{
  std::vector<PlacedGang> gangs = aSnapshot.Gangs();
  gangs.push_back(std::move(aGang));
  return { aSnapshot.Workers(), std::move(gangs), aSnapshot.Guarantees() };
}

FleetSnapshot
WithoutWorkers(const FleetSnapshot& aSnapshot,
               const std::set<VmId>& aAvoidedWorkers)
{
  std::vector<Vm> workers;
  std::copy_if(aSnapshot.Workers().All().begin(),
               aSnapshot.Workers().All().end(),
               std::back_inserter(workers),
               [&aAvoidedWorkers](const Vm& aVm) {
                 return !aAvoidedWorkers.contains(aVm.Name());
               });
  return { VmList(std::move(workers)),
           aSnapshot.Gangs(),
           aSnapshot.Guarantees() };
}

/** The queue while it is worked through. */
class QueueRound
{
public:
  QueueRound(const FleetSnapshot& aSnapshot,
             HeldAccelerators aHeld,
             const std::map<OrganisationId, int>& aWeights,
             const PlacementStrategy& aStrategy)
    : mSnapshot(aSnapshot)
    , mHeld(std::move(aHeld))
    , mWeights(aWeights)
    , mStrategy(aStrategy)
  {
  }

  bool Before(const WaitingJob& aLeft, const WaitingJob& aRight) const
  {
    return Rank(aLeft) < Rank(aRight);
  }

  PlacementDecision Decide(const WaitingJob& aJob)
  {
    const JobSpec& spec = aJob.Spec();
    const int wanted = spec.GangShape().Accelerators();
    int& ofTeam = mHeld.mByTeam[{ spec.Organisation(), spec.Team() }];
    if (aJob.TeamAcceleratorLimit() &&
        ofTeam + wanted > *aJob.TeamAcceleratorLimit()) {
      return { PlacementKind::kWait,
               {},
               {},
               "the team holds " + std::to_string(ofTeam) + " of its " +
                 std::to_string(*aJob.TeamAcceleratorLimit()) +
                 " accelerators" };
    }
    PlacementDecision decision = Place(aJob);
    if (decision.Kind() == PlacementKind::kPlaced) {
      ofTeam += wanted;
      mHeld.mByOrganisation[spec.Organisation()] += wanted;
      Block(aJob, decision.Placement());
    } else if (decision.Kind() == PlacementKind::kReclaim) {
      Block(aJob, FreeAcceleratorsOf(mSnapshot, decision.Placement()));
    } else if (!mReserved) {
      Reserve(aJob);
    }
    return decision;
  }

private:
  std::tuple<bool, int, double, std::string> Rank(const WaitingJob& aJob) const
  {
    const OrganisationId& organisation = aJob.Spec().Organisation();
    const auto held = mHeld.mByOrganisation.find(organisation);
    const auto weight = mWeights.find(organisation);
    const double n = held != mHeld.mByOrganisation.end() ? held->second : 0;
    const double share = n / (weight != mWeights.end() ? weight->second : 1);
    return {
      !aJob.AtFront(), -aJob.Urgency(), share, aJob.Spec().Name().Text()
    };
  }

  static PlacementRequest RequestOf(const WaitingJob& aJob)
  {
    return { aJob.Spec().Organisation(),
             aJob.Spec().GangShape(),
             aJob.Preemptible() };
  }

  PlacementDecision Place(const WaitingJob& aJob) const
  {
    const PlacementRequest request = RequestOf(aJob);
    if (!aJob.AvoidedWorkers().empty()) {
      PlacementDecision decision = mStrategy.Place(
        WithoutWorkers(mSnapshot, aJob.AvoidedWorkers()), request);
      if (decision.Kind() == PlacementKind::kPlaced) {
        return decision;
      }
    }
    return mStrategy.Place(mSnapshot, request);
  }

  void Block(const WaitingJob& aJob, const GangPlacement& aPlacement)
  {
    mSnapshot = WithGang(mSnapshot,
                         { aJob.Spec().Name(),
                           aJob.Spec().Organisation(),
                           aJob.Preemptible(),
                           0.0,
                           aPlacement });
  }

  /** Keeps later jobs off the place that the head of the queue would get. */
  void Reserve(const WaitingJob& aJob)
  {
    const FleetSnapshot empty(mSnapshot.Workers(), {}, mSnapshot.Guarantees());
    const PlacementDecision place = mStrategy.Place(empty, RequestOf(aJob));
    if (place.Kind() == PlacementKind::kPlaced) {
      Block(aJob, FreeAcceleratorsOf(mSnapshot, place.Placement()));
      mReserved = true;
    }
  }

  FleetSnapshot mSnapshot;
  HeldAccelerators mHeld;
  const std::map<OrganisationId, int>& mWeights;
  const PlacementStrategy& mStrategy;
  bool mReserved = false;
};

/** Splits "organisations/{org}/{kind}/{name}"; empty if it is another path. */
std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (!aPath.empty()) {
    const auto n = aPath.find('/');
    parts.emplace_back(aPath.substr(0, n));
    aPath.remove_prefix(n == std::string_view::npos ? aPath.size() : n + 1);
  }
  return parts;
}

std::optional<int>
LimitOf(const SettingsDocument& aDocument, std::string_view aKey)
{
  const std::int64_t n = aDocument.IntegerOr(aKey, -1);
  return n >= 0 ? std::optional(static_cast<int>(n)) : std::nullopt;
}

} // namespace

std::vector<QueueDecision>
DecideQueue(const FleetSnapshot& aSnapshot,
            std::vector<WaitingJob> aQueue,
            HeldAccelerators aHeld,
            const std::map<OrganisationId, int>& aWeights,
            const PlacementStrategy& aStrategy)
{
  QueueRound round(aSnapshot, std::move(aHeld), aWeights, aStrategy);
  std::vector<QueueDecision> decisions;
  while (!aQueue.empty()) {
    // Each placement changes the shares, and with them the order.
    const auto it = std::min_element(
      aQueue.begin(),
      aQueue.end(),
      [&round](const WaitingJob& aLeft, const WaitingJob& aRight) {
        return round.Before(aLeft, aRight);
      });
    PlacementDecision decision = round.Decide(*it);
    decisions.push_back(
      { it->Spec().Name(), std::move(decision), decisions.size() + 1 });
    aQueue.erase(it);
  }
  return decisions;
}

GangPlacement
FreeAcceleratorsOf(const FleetSnapshot& aSnapshot,
                   const GangPlacement& aPlacement)
{
  std::map<VmId, std::set<int>> held;
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    for (const MemberPlacement& member : gang.Placement().Members()) {
      held[member.Worker()].insert(member.Accelerators().begin(),
                                   member.Accelerators().end());
    }
  }
  std::vector<MemberPlacement> members;
  for (const MemberPlacement& member : aPlacement.Members()) {
    std::vector<int> indexes;
    const std::set<int>& taken = held[member.Worker()];
    std::copy_if(member.Accelerators().begin(),
                 member.Accelerators().end(),
                 std::back_inserter(indexes),
                 [&taken](int aIndex) { return !taken.contains(aIndex); });
    if (!indexes.empty()) {
      members.emplace_back(member.Worker(), std::move(indexes));
    }
  }
  return GangPlacement(std::move(members));
}

std::vector<GuaranteedShape>
GuaranteedShapesOf(const SettingsSnapshot& aSettings, const RegionId& aRegion)
{
  std::vector<GuaranteedShape> shapes;
  for (const auto& [path, document] : aSettings.All()) {
    const auto parts = SplitPath(path);
    const bool isShape =
      parts.size() == 4 && parts[0] == "organisations" && parts[2] == "shapes";
    if (!isShape || document.TextOr("region", "") != aRegion.Text() ||
        !document.FlagOr("active", true)) {
      continue;
    }
    const OrganisationId organisation(parts[1]);
    const auto adjacency = ParseAdjacency(document.TextOr("adjacency", ""));
    if (!adjacency || !IsActiveOrganisation(aSettings, organisation)) {
      continue;
    }
    try {
      const Shape shape(
        static_cast<int>(document.IntegerOr("workers", 0)),
        static_cast<int>(document.IntegerOr("accelerators_per_worker", 0)),
        *adjacency);
      shapes.emplace_back(organisation, ShapeName(parts[3]), aRegion, shape);
    } catch (const StateError&) {
      // A guarantee above the largest gang cannot be asked for by any job.
      continue;
    }
  }
  return shapes;
}

TeamLimits
TeamLimitsOf(const SettingsSnapshot& aSettings,
             const OrganisationId& aOrganisation,
             const TeamId& aTeam)
{
  const SettingsDocument* document = aSettings.Find(
    "organisations/" + aOrganisation.Text() + "/teams/" + aTeam.Text());
  if (document == nullptr) {
    return {};
  }
  return { LimitOf(*document, "max_accelerators"),
           LimitOf(*document, "max_queued_jobs") };
}

} // namespace cornelrudder::state
