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

/** Decides about waiting jobs one by one and tracks what each decision uses. */
class QueueEvaluation
{
public:
  QueueEvaluation(const FleetSnapshot& aSnapshot,
                  HeldAccelerators aHeld,
                  const std::map<OrganisationId, int>& aWeights,
                  const PlacementStrategy& aStrategy)
    : mSnapshot(aSnapshot)
    , mHeld(std::move(aHeld))
    , mWeights(aWeights)
    , mStrategy(aStrategy)
  {
  }

  bool Precedes(const WaitingJob& aLeft, const WaitingJob& aRight) const
  {
    return Rank(aLeft) < Rank(aRight);
  }

  PlacementDecision Decide(const WaitingJob& aJob)
  {
    const JobSpec& spec = aJob.Spec();
    const int wanted = spec.GangShape().Accelerators();
    int& heldByTeam = mHeld.mByTeam[{ spec.Organisation(), spec.Team() }];
    if (aJob.TeamAcceleratorLimit() &&
        heldByTeam + wanted > *aJob.TeamAcceleratorLimit()) {
      return { PlacementKind::kWait,
               {},
               {},
               "the team holds " + std::to_string(heldByTeam) + " of its " +
                 std::to_string(*aJob.TeamAcceleratorLimit()) +
                 " accelerators" };
    }
    PlacementDecision decision = Place(aJob);
    if (decision.Kind() == PlacementKind::kPlaced) {
      heldByTeam += wanted;
      mHeld.mByOrganisation[spec.Organisation()] += wanted;
      MarkHeld(aJob, decision.Placement());
    } else if (decision.Kind() == PlacementKind::kReclaim) {
      MarkHeld(aJob, FreeAcceleratorsOf(mSnapshot, decision.Placement()));
    } else if (!mHasReservation) {
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

  void MarkHeld(const WaitingJob& aJob, const GangPlacement& aPlacement)
  {
    mSnapshot = WithGang(mSnapshot,
                         { aJob.Spec().Name(),
                           aJob.Spec().Organisation(),
                           aJob.Preemptible(),
                           0.0,
                           aPlacement });
  }

  /**
   * Reserves the placement that the job would get in an empty fleet: later jobs
   * of the queue get none of its free accelerators.
   */
  void Reserve(const WaitingJob& aJob)
  {
    const FleetSnapshot empty(mSnapshot.Workers(), {}, mSnapshot.Guarantees());
    const PlacementDecision reservation =
      mStrategy.Place(empty, RequestOf(aJob));
    if (reservation.Kind() == PlacementKind::kPlaced) {
      MarkHeld(aJob, FreeAcceleratorsOf(mSnapshot, reservation.Placement()));
      mHasReservation = true;
    }
  }

  FleetSnapshot mSnapshot;
  HeldAccelerators mHeld;
  const std::map<OrganisationId, int>& mWeights;
  const PlacementStrategy& mStrategy;
  bool mHasReservation = false;
};

/** Splits a settings path, e.g. "organisations/{org}/shapes/{name}", at "/". */
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
  QueueEvaluation evaluation(aSnapshot, std::move(aHeld), aWeights, aStrategy);
  std::vector<QueueDecision> decisions;
  while (!aQueue.empty()) {
    // Each placement changes the shares of the organisations and thus the
    // order of the remaining jobs.
    const auto it = std::min_element(
      aQueue.begin(),
      aQueue.end(),
      [&evaluation](const WaitingJob& aLeft, const WaitingJob& aRight) {
        return evaluation.Precedes(aLeft, aRight);
      });
    PlacementDecision decision = evaluation.Decide(*it);
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
    const std::set<int>& heldHere = held[member.Worker()];
    std::copy_if(
      member.Accelerators().begin(),
      member.Accelerators().end(),
      std::back_inserter(indexes),
      [&heldHere](int aIndex) { return !heldHere.contains(aIndex); });
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
      // No job can request a shape above the maximum gang size, so the
      // guarantee is ignored.
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
