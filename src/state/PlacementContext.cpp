#include "PlacementContext.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <numeric>
#include <set>

namespace cornelrudder::state {

namespace {

/** Limit on the candidates that one round of ChooseReclaim() verifies. */
constexpr std::size_t kMaxReclaimVerifications = 3;

const GuaranteeVerifier&
ExactVerifier()
{
  static const GuaranteeVerifier& sVerifier = *FindGuaranteeVerifier("exact");
  return sVerifier;
}

/** A guaranteed shape and how much of it its organisation leaves unused. */
struct ShapeUsage
{
  const Shape* mShape;
  int mUnused;
};

bool
FitsInto(const Shape& aOuter, std::size_t aMembers, int aPerWorker)
{
  return aMembers <= static_cast<std::size_t>(aOuter.Workers()) &&
         aPerWorker <= aOuter.AcceleratorsPerWorker();
}

int
HeldAccelerators(const PlacedGang& aGang)
{
  std::size_t count = 0;
  for (const MemberPlacement& member : aGang.Placement().Members()) {
    count += member.Accelerators().size();
  }
  return static_cast<int>(count);
}

/**
 * Charges a gang to the fullest guaranteed shape into which it still fits, or
 * else to several shapes in parts.
 */
void
AssignToShapes(std::vector<ShapeUsage>& aShapes, const PlacedGang& aGang)
{
  const auto& members = aGang.Placement().Members();
  int left = HeldAccelerators(aGang);
  const int perWorker =
    members.empty() ? 0
                    : static_cast<int>(members.front().Accelerators().size());
  ShapeUsage* best = nullptr;
  for (ShapeUsage& shape : aShapes) {
    if (shape.mUnused >= left &&
        FitsInto(*shape.mShape, members.size(), perWorker) &&
        (best == nullptr || shape.mUnused < best->mUnused)) {
      best = &shape;
    }
  }
  if (best != nullptr) {
    best->mUnused -= left;
    return;
  }
  for (ShapeUsage& shape : aShapes) {
    const int used = std::min(left, shape.mUnused);
    shape.mUnused -= used;
    left -= used;
  }
}

std::vector<int>
LowestBits(std::uint64_t aBits, int aCount)
{
  std::vector<int> indexes;
  while (aBits != 0 && indexes.size() < static_cast<std::size_t>(aCount)) {
    indexes.push_back(std::countr_zero(aBits));
    aBits &= aBits - 1;
  }
  return indexes;
}

} // namespace

PlacementContext::PlacementContext(const FleetSnapshot& aSnapshot,
                                   const PlacementRequest& aRequest)
  : mRequest(aRequest)
  , mCapacity(aSnapshot)
  , mOrganisation(mCapacity.FindOrganisation(aRequest.Organisation()))
  , mAssignedToOthers(aSnapshot.Topology().Size(), 0)
  , mAssignee(aSnapshot.Topology().Size())
  , mReserved(aSnapshot.Topology().Size(), false)
{
  for (std::size_t w = 0; w < aSnapshot.Topology().Size(); ++w) {
    mAvailable.push_back(mCapacity.FreeAccelerators(w));
  }
  for (const VmId& name : aRequest.ReservedWorkers()) {
    if (const auto w = aSnapshot.Topology().Find(name)) {
      mAvailable[*w] =
        std::max(0, mAvailable[*w] - aRequest.ReservedPerWorker());
      mReserved[*w] = true;
    }
  }
  AllocateGuaranteedShapes();
}

void
PlacementContext::AllocateGuaranteedShapes()
{
  mCovered = AllGuarantees(mCapacity);
  GuaranteeResult result =
    ExactVerifier().Check(mCapacity, mCovered, kMaxDecisionSteps);
  if (!result.Feasible()) {
    mCovered = CoveredGuarantees(ExactVerifier(), mCapacity);
    result = ExactVerifier().Check(mCapacity, mCovered, kMaxDecisionSteps);
  }
  // A shape uses the accelerators of its own organisation's non-preemptible
  // gangs first, so only the excess over them counts as assigned. The shapes
  // of one organisation are added up.
  const std::size_t workers = mCapacity.Topology().Size();
  std::vector<int> used(mCapacity.OrganisationCount() * workers, 0);
  for (std::size_t i = 0; i < result.Placements().size(); ++i) {
    const std::size_t organisation = mCapacity.OrganisationOf(mCovered[i]);
    if (organisation == mOrganisation) {
      continue;
    }
    const Shape& shape =
      mCapacity.Snapshot().Guarantees()[mCovered[i]].GangShape();
    for (const std::size_t w : result.Placements()[i]) {
      int& total = used[organisation * workers + w];
      const int own = mCapacity.NonPreemptible(organisation, w);
      const int before = std::max(0, total - own);
      total += shape.AcceleratorsPerWorker();
      const int added = std::max(0, total - own) - before;
      if (added > 0 && added * 2 > mAssignedToOthers[w]) {
        mAssignee[w] = organisation;
      }
      mAssignedToOthers[w] += added;
    }
  }
}

const std::vector<std::vector<std::size_t>>&
PlacementContext::Groups() const
{
  return mCapacity.Topology().Members(
    Members() == 1 ? Adjacency::kRack : mRequest.GangShape().AdjacencyLevel());
}

bool
PlacementContext::MayUseFreeAccelerators() const
{
  return mRequest.Preemptible() ||
         mCovered.size() == mCapacity.Snapshot().Guarantees().size() ||
         IsWithinGuarantee();
}

bool
PlacementContext::PreservesGuarantees(
  std::span<const std::size_t> aWorkers) const
{
  // A preemptible gang can be stopped for any guaranteed shape.
  return mRequest.Preemptible() ||
         ExactVerifier()
           .Check(mCapacity.WithMembers(mOrganisation, aWorkers, PerWorker()),
                  mCovered,
                  kMaxDecisionSteps)
           .Feasible();
}

GangPlacement
PlacementContext::MakePlacement(
  std::span<const std::size_t> aWorkers,
  const std::vector<std::uint64_t>& aReclaimedBits) const
{
  std::vector<std::size_t> workers(aWorkers.begin(), aWorkers.end());
  std::sort(workers.begin(), workers.end());
  std::vector<MemberPlacement> members;
  for (const std::size_t w : workers) {
    const Vm& worker = mCapacity.Snapshot().Workers().All()[w];
    const int count =
      std::min(worker.Accelerators(), FleetCapacity::kMaxPerWorker);
    std::uint64_t bits = ~mCapacity.HeldMask(w);
    if (!aReclaimedBits.empty()) {
      bits |= aReclaimedBits[w];
    }
    if (count < FleetCapacity::kMaxPerWorker) {
      bits &= (std::uint64_t{ 1 } << static_cast<unsigned>(count)) - 1;
    }
    members.emplace_back(worker.Name(), LowestBits(bits, PerWorker()));
  }
  return GangPlacement(std::move(members));
}

PlacementDecision
PlacementContext::PlacedDecision(std::span<const std::size_t> aWorkers,
                                 std::string aReason) const
{
  return {
    PlacementKind::kPlaced, MakePlacement(aWorkers, {}), {}, std::move(aReason)
  };
}

/**
 * A request is within the guarantee if it fits into the unused part of one of
 * its organisation's guaranteed shapes. The organisation's preemptible gangs
 * count as use only if the request is preemptible, since a non-preemptible
 * request takes precedence over them.
 */
bool
PlacementContext::IsWithinGuarantee() const
{
  if (!mOrganisation) {
    return false;
  }
  std::vector<ShapeUsage> shapes;
  for (const GuaranteedShape& guarantee : mCapacity.Snapshot().Guarantees()) {
    if (guarantee.Organisation() == mRequest.Organisation()) {
      shapes.push_back(
        { &guarantee.GangShape(), guarantee.GangShape().Accelerators() });
    }
  }
  std::vector<const PlacedGang*> gangs;
  for (const PlacedGang& gang : mCapacity.Snapshot().Gangs()) {
    if (gang.Organisation() == mRequest.Organisation() &&
        (mRequest.Preemptible() || !gang.Preemptible())) {
      gangs.push_back(&gang);
    }
  }
  std::stable_sort(
    gangs.begin(), gangs.end(), [](const auto* aLeft, const auto* aRight) {
      return HeldAccelerators(*aLeft) > HeldAccelerators(*aRight);
    });
  for (const PlacedGang* gang : gangs) {
    AssignToShapes(shapes, *gang);
  }
  const Shape& shape = mRequest.GangShape();
  return std::any_of(
    shapes.begin(), shapes.end(), [&](const ShapeUsage& aShape) {
      return aShape.mUnused >= shape.Accelerators() &&
             FitsInto(*aShape.mShape, Members(), PerWorker()) &&
             (Members() == 1 ||
              aShape.mShape->AdjacencyLevel() <= shape.AdjacencyLevel());
    });
}

/**
 * @param aIncludeWithinGuarantee Include preemptible gangs of organisations
 *   that hold no more than their guaranteed accelerators.
 * @return By worker, the accelerators that preemptible gangs hold there; gangs
 *   that lose the least work come first.
 */
std::vector<std::vector<PlacementContext::PreemptibleAccelerators>>
PlacementContext::CollectPreemptible(bool aIncludeWithinGuarantee) const
{
  const FleetSnapshot& snapshot = mCapacity.Snapshot();
  std::vector<int> surplus(mCapacity.OrganisationCount(), 0);
  for (std::size_t i = 0; i < snapshot.Guarantees().size(); ++i) {
    surplus[mCapacity.OrganisationOf(i)] -=
      snapshot.Guarantees()[i].GangShape().Accelerators();
  }
  for (const PlacedGang& gang : snapshot.Gangs()) {
    if (const auto holder = mCapacity.FindOrganisation(gang.Organisation())) {
      surplus[*holder] += HeldAccelerators(gang);
    }
  }
  std::vector<std::vector<PreemptibleAccelerators>> preemptible(
    snapshot.Topology().Size());
  for (std::size_t i = 0; i < snapshot.Gangs().size(); ++i) {
    const PlacedGang& gang = snapshot.Gangs()[i];
    const auto holder = mCapacity.FindOrganisation(gang.Organisation());
    const bool own = gang.Organisation() == mRequest.Organisation();
    // A preemptible request does not stop other gangs of its organisation.
    if (!gang.Preemptible() || (own && mRequest.Preemptible()) ||
        (!aIncludeWithinGuarantee && !own && holder && surplus[*holder] <= 0)) {
      continue;
    }
    for (const MemberPlacement& member : gang.Placement().Members()) {
      const auto worker = snapshot.Topology().Find(member.Worker());
      if (!worker) {
        continue;
      }
      std::uint64_t bits = 0;
      for (const int index : member.Accelerators()) {
        if (index >= 0 && index < FleetCapacity::kMaxPerWorker) {
          bits |= std::uint64_t{ 1 } << static_cast<unsigned>(index);
        }
      }
      preemptible[*worker].push_back({ i, bits });
    }
  }
  for (auto& gangs : preemptible) {
    std::sort(gangs.begin(), gangs.end(), [&snapshot](auto aLeft, auto aRight) {
      return std::tuple(snapshot.Gangs()[aLeft.mGang].LostAcceleratorHours(),
                        aLeft.mGang) <
             std::tuple(snapshot.Gangs()[aRight.mGang].LostAcceleratorHours(),
                        aRight.mGang);
    });
  }
  return preemptible;
}

/**
 * Selects workers one by one, each time the one whose additional victims lose
 * the fewest accelerator-hours. A victim is stopped on all its workers, so its
 * accelerators on the other workers count as available from then on.
 */
std::optional<PlacementContext::ReclaimCandidate>
PlacementContext::FindReclaimInGroup(
  const std::vector<std::size_t>& aGroup,
  const std::vector<std::vector<PreemptibleAccelerators>>& aPreemptible,
  bool aUnassignedOnly,
  bool aIncludeReserved) const
{
  const auto& gangs = mCapacity.Snapshot().Gangs();
  std::vector<std::size_t> eligible;
  for (const std::size_t w : aGroup) {
    if (mReserved[w] && !aIncludeReserved) {
      continue;
    }
    if ((aUnassignedOnly ? UnassignedAccelerators(w)
                         : mCapacity.FreeOrPreemptible(w)) >= PerWorker()) {
      eligible.push_back(w);
    }
  }
  ReclaimCandidate reclaim;
  std::set<std::size_t> victims;
  while (reclaim.mWorkers.size() < Members()) {
    double least = std::numeric_limits<double>::infinity();
    std::size_t best = 0;
    std::vector<std::size_t> bestVictims;
    for (std::size_t i = 0; i < eligible.size(); ++i) {
      int available = mCapacity.FreeAccelerators(eligible[i]);
      for (const PreemptibleAccelerators& held : aPreemptible[eligible[i]]) {
        available +=
          victims.contains(held.mGang) ? std::popcount(held.mBits) : 0;
      }
      double hours = 0;
      std::vector<std::size_t> added;
      for (const PreemptibleAccelerators& held : aPreemptible[eligible[i]]) {
        if (available >= PerWorker()) {
          break;
        }
        if (!victims.contains(held.mGang)) {
          available += std::popcount(held.mBits);
          hours += gangs[held.mGang].LostAcceleratorHours();
          added.push_back(held.mGang);
        }
      }
      if (available >= PerWorker() && hours < least) {
        least = hours;
        best = i;
        bestVictims = std::move(added);
      }
    }
    if (least == std::numeric_limits<double>::infinity()) {
      return std::nullopt;
    }
    reclaim.mWorkers.push_back(eligible[best]);
    victims.insert(bestVictims.begin(), bestVictims.end());
    eligible.erase(eligible.begin() + static_cast<std::ptrdiff_t>(best));
  }
  reclaim.mVictims.assign(victims.begin(), victims.end());
  RemoveUnneededVictims(reclaim, aPreemptible);
  return reclaim;
}

void
PlacementContext::RemoveUnneededVictims(
  ReclaimCandidate& aReclaim,
  const std::vector<std::vector<PreemptibleAccelerators>>& aPreemptible) const
{
  const auto& gangs = mCapacity.Snapshot().Gangs();
  std::sort(aReclaim.mVictims.begin(),
            aReclaim.mVictims.end(),
            [&gangs](std::size_t aLeft, std::size_t aRight) {
              return std::tuple(-gangs[aLeft].LostAcceleratorHours(), aLeft) <
                     std::tuple(-gangs[aRight].LostAcceleratorHours(), aRight);
            });
  std::set<std::size_t> kept(aReclaim.mVictims.begin(),
                             aReclaim.mVictims.end());
  for (const std::size_t victim : aReclaim.mVictims) {
    kept.erase(victim);
    const bool enough = std::all_of(
      aReclaim.mWorkers.begin(),
      aReclaim.mWorkers.end(),
      [&](std::size_t aWorker) {
        int available = mCapacity.FreeAccelerators(aWorker);
        for (const PreemptibleAccelerators& held : aPreemptible[aWorker]) {
          available +=
            kept.contains(held.mGang) ? std::popcount(held.mBits) : 0;
        }
        return available >= PerWorker();
      });
    if (!enough) {
      kept.insert(victim);
    }
  }
  aReclaim.mVictims.assign(kept.begin(), kept.end());
  aReclaim.mLostHours = 0;
  for (const std::size_t victim : kept) {
    aReclaim.mLostHours += gangs[victim].LostAcceleratorHours();
  }
}

/** @return At most one candidate per group; least lost work first. */
std::vector<PlacementContext::ReclaimCandidate>
PlacementContext::FindReclaimCandidates(
  const std::vector<std::vector<PreemptibleAccelerators>>& aPreemptible,
  bool aUnassignedOnly,
  bool aIncludeReserved) const
{
  std::vector<ReclaimCandidate> candidates;
  for (const auto& group : Groups()) {
    if (auto reclaim = FindReclaimInGroup(
          group, aPreemptible, aUnassignedOnly, aIncludeReserved)) {
      candidates.push_back(std::move(*reclaim));
    }
  }
  std::stable_sort(
    candidates.begin(),
    candidates.end(),
    [](const ReclaimCandidate& aLeft, const ReclaimCandidate& aRight) {
      return std::tuple(aLeft.mLostHours, aLeft.mVictims.size()) <
             std::tuple(aRight.mLostHours, aRight.mVictims.size());
    });
  return candidates;
}

std::optional<PlacementContext::ReclaimCandidate>
PlacementContext::ChooseReclaim(bool aIncludeReserved) const
{
  // Gangs of organisations that exceed their guaranteed accelerators are
  // stopped before those of other organisations.
  for (const bool includeWithinGuarantee : { false, true }) {
    const auto preemptible = CollectPreemptible(includeWithinGuarantee);
    auto safe = FindReclaimCandidates(preemptible, true, aIncludeReserved);
    if (!safe.empty()) {
      return std::move(safe.front());
    }
    auto others = FindReclaimCandidates(preemptible, false, aIncludeReserved);
    others.resize(std::min(others.size(), kMaxReclaimVerifications));
    for (ReclaimCandidate& candidate : others) {
      if (PreservesGuarantees(candidate.mWorkers)) {
        return std::move(candidate);
      }
    }
  }
  return std::nullopt;
}

PlacementDecision
PlacementContext::ReclaimDecision(const ReclaimCandidate& aReclaim) const
{
  if (aReclaim.mVictims.empty()) {
    // The strategy did not consider this placement on free accelerators.
    return PlacedDecision(aReclaim.mWorkers,
                          "free place within the guaranteed shape");
  }
  const auto preemptible = CollectPreemptible(true);
  std::vector<std::uint64_t> bits(preemptible.size(), 0);
  for (std::size_t w = 0; w < preemptible.size(); ++w) {
    for (const PreemptibleAccelerators& held : preemptible[w]) {
      if (std::find(aReclaim.mVictims.begin(),
                    aReclaim.mVictims.end(),
                    held.mGang) != aReclaim.mVictims.end()) {
        bits[w] |= held.mBits;
      }
    }
  }
  std::vector<JobId> victims;
  for (const std::size_t victim : aReclaim.mVictims) {
    victims.push_back(mCapacity.Snapshot().Gangs()[victim].Job());
  }
  std::string reason = "guaranteed shape: " + std::to_string(victims.size()) +
                       " preemptible gangs must stop";
  return { PlacementKind::kReclaim,
           MakePlacement(aReclaim.mWorkers, bits),
           std::move(victims),
           std::move(reason) };
}

/**
 * @return Workers of the first group with enough available accelerators, one
 *   for each member; empty if no group has enough.
 */
std::vector<std::size_t>
PlacementContext::FirstFreeWorkers() const
{
  for (const auto& group : Groups()) {
    std::vector<std::size_t> workers;
    for (const std::size_t w : group) {
      if (AvailableAccelerators(w) >= PerWorker()) {
        workers.push_back(w);
      }
      if (workers.size() == Members()) {
        return workers;
      }
    }
  }
  return {};
}

bool
PlacementContext::FitsEmptyFleet() const
{
  const auto& workers = mCapacity.Snapshot().Workers().All();
  return std::any_of(Groups().begin(), Groups().end(), [&](const auto& aGroup) {
    const auto fitting =
      std::count_if(aGroup.begin(), aGroup.end(), [&](std::size_t aWorker) {
        return std::min(workers[aWorker].Accelerators(),
                        FleetCapacity::kMaxPerWorker) >= PerWorker();
      });
    return static_cast<std::size_t>(fitting) >= Members();
  });
}

/**
 * Explains why a placement on the available accelerators of these workers is
 * not allowed, and names the organisation whose guaranteed shape needs them.
 */
std::string
PlacementContext::GuaranteeReason(std::span<const std::size_t> aWorkers) const
{
  if (!MayUseFreeAccelerators()) {
    for (std::size_t i = 0; i < mCapacity.Snapshot().Guarantees().size(); ++i) {
      if (!std::binary_search(mCovered.begin(), mCovered.end(), i)) {
        return "guarantee: organisation " +
               mCapacity.OrganisationName(mCapacity.OrganisationOf(i)).Text() +
               " is short of its shape after a loss and goes first";
      }
    }
  }
  const auto it =
    std::find_if(aWorkers.begin(), aWorkers.end(), [this](std::size_t aWorker) {
      return mAssignee[aWorker].has_value() &&
             UnassignedAccelerators(aWorker) < PerWorker();
    });
  const std::string owner =
    it == aWorkers.end() ? "guaranteed shapes"
                         : "the guaranteed shape of organisation " +
                             mCapacity.OrganisationName(*mAssignee[*it]).Text();
  return "guarantee: the free place is needed for " + owner;
}

std::string
PlacementContext::WaitReason() const
{
  const auto free = FirstFreeWorkers();
  if (!free.empty()) {
    return GuaranteeReason(free);
  }
  int total = 0;
  for (std::size_t w = 0; w < mCapacity.Topology().Size(); ++w) {
    total += AvailableAccelerators(w);
  }
  const Shape& shape = mRequest.GangShape();
  if (total >= shape.Accelerators()) {
    return "fragmentation: " + std::to_string(total) +
           " accelerators are free, but no " +
           std::string(AdjacencyName(shape.AdjacencyLevel())) + " has " +
           std::to_string(shape.Workers()) + " workers with " +
           std::to_string(shape.AcceleratorsPerWorker()) + " each";
  }
  return std::string(IsWithinGuarantee() ? "busy" : "quota") + ": only " +
         std::to_string(total) + " accelerators are free, and organisation " +
         mRequest.Organisation().Text() +
         (IsWithinGuarantee()
            ? " cannot reclaim its shape from non-preemptible gangs"
            : " is beyond its guaranteed shapes");
}

PlacementDecision
PlacementContext::ReclaimOrWait() const
{
  if (!FitsEmptyFleet()) {
    return {
      PlacementKind::kNeverFits, {}, {}, "no part of the fleet has this shape"
    };
  }
  if (IsWithinGuarantee()) {
    auto reclaim = ChooseReclaim(false);
    if (!reclaim && !mRequest.ReservedWorkers().empty()) {
      reclaim = ChooseReclaim(true);
    }
    if (reclaim) {
      return ReclaimDecision(*reclaim);
    }
  }
  return { PlacementKind::kWait, {}, {}, WaitReason() };
}

} // namespace cornelrudder::state
