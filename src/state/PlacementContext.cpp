#include "PlacementContext.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <numeric>
#include <set>

namespace cornelrudder::state {

namespace {

/** Places to check with the exact test before the request has to wait. */
constexpr std::size_t kMaxReclaimChecks = 3;

const GuaranteeVerifier&
ExactTest()
{
  static const GuaranteeVerifier& sTest = *FindGuaranteeVerifier("exact");
  return sTest;
}

/** Accelerators of a guaranteed shape that the holder's gangs do not use. */
struct ShapeRoom
{
  const Shape* mShape;
  int mLeft;
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
  std::size_t n = 0;
  for (const MemberPlacement& member : aGang.Placement().Members()) {
    n += member.Accelerators().size();
  }
  return static_cast<int>(n);
}

/** Books a gang into the fullest shape that holds it, or piecewise. */
void
Book(std::vector<ShapeRoom>& aRooms, const PlacedGang& aGang)
{
  const auto& members = aGang.Placement().Members();
  int left = HeldAccelerators(aGang);
  const int perWorker =
    members.empty() ? 0
                    : static_cast<int>(members.front().Accelerators().size());
  ShapeRoom* best = nullptr;
  for (ShapeRoom& room : aRooms) {
    if (room.mLeft >= left &&
        FitsInto(*room.mShape, members.size(), perWorker) &&
        (best == nullptr || room.mLeft < best->mLeft)) {
      best = &room;
    }
  }
  if (best != nullptr) {
    best->mLeft -= left;
    return;
  }
  for (ShapeRoom& room : aRooms) {
    const int taken = std::min(left, room.mLeft);
    room.mLeft -= taken;
    left -= taken;
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
  , mAssigned(aSnapshot.Topology().Size(), 0)
  , mAssignee(aSnapshot.Topology().Size())
  , mWithheld(aSnapshot.Topology().Size(), false)
{
  for (std::size_t w = 0; w < aSnapshot.Topology().Size(); ++w) {
    mRoom.push_back(mCapacity.FreeAccelerators(w));
  }
  for (const VmId& name : aRequest.ReservedWorkers()) {
    if (const auto w = aSnapshot.Topology().Find(name)) {
      mRoom[*w] = std::max(0, mRoom[*w] - aRequest.ReservedPerWorker());
      mWithheld[*w] = true;
    }
  }
  Allocate();
}

void
PlacementContext::Allocate()
{
  mCovered = AllGuarantees(mCapacity);
  GuaranteeResult result =
    ExactTest().Check(mCapacity, mCovered, kMaxDecisionSteps);
  if (!result.Feasible()) {
    mCovered = CoveredGuarantees(ExactTest(), mCapacity);
    result = ExactTest().Check(mCapacity, mCovered, kMaxDecisionSteps);
  }
  // Own accelerators first, summed over the shapes of an organisation.
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
      if (added > 0 && added * 2 > mAssigned[w]) {
        mAssignee[w] = organisation;
      }
      mAssigned[w] += added;
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
PlacementContext::MayUseSpare() const
{
  return mRequest.Preemptible() ||
         mCovered.size() == mCapacity.Snapshot().Guarantees().size() ||
         IsOwed();
}

bool
PlacementContext::Keeps(std::span<const std::size_t> aWorkers) const
{
  // Preemptible work can be stopped for any shape.
  return mRequest.Preemptible() ||
         ExactTest()
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
    const int n = std::min(worker.Accelerators(), FleetCapacity::kMaxPerWorker);
    std::uint64_t bits = ~mCapacity.HeldMask(w);
    if (!aReclaimedBits.empty()) {
      bits |= aReclaimedBits[w];
    }
    if (n < FleetCapacity::kMaxPerWorker) {
      bits &= (std::uint64_t{ 1 } << static_cast<unsigned>(n)) - 1;
    }
    members.emplace_back(worker.Name(), LowestBits(bits, PerWorker()));
  }
  return GangPlacement(std::move(members));
}

PlacementDecision
PlacementContext::Placed(std::span<const std::size_t> aWorkers,
                         std::string aReason) const
{
  return {
    PlacementKind::kPlaced, MakePlacement(aWorkers, {}), {}, std::move(aReason)
  };
}

/**
 * An organisation is owed a request that fits one of its guaranteed shapes
 * beside the gangs that use them already. Its preemptible gangs count only if
 * the request is preemptible, since a non-preemptible one takes precedence.
 */
bool
PlacementContext::IsOwed() const
{
  if (!mOrganisation) {
    return false;
  }
  std::vector<ShapeRoom> rooms;
  for (const GuaranteedShape& guarantee : mCapacity.Snapshot().Guarantees()) {
    if (guarantee.Organisation() == mRequest.Organisation()) {
      rooms.push_back(
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
    Book(rooms, *gang);
  }
  const Shape& what = mRequest.GangShape();
  return std::any_of(rooms.begin(), rooms.end(), [&](const ShapeRoom& aRoom) {
    return aRoom.mLeft >= what.Accelerators() &&
           FitsInto(*aRoom.mShape, Members(), PerWorker()) &&
           (Members() == 1 ||
            aRoom.mShape->AdjacencyLevel() <= what.AdjacencyLevel());
  });
}

/**
 * @param aAnyHolder Include preemptible gangs of organisations that hold no
 *   more than their guaranteed accelerators.
 * @return By worker, what preemptible gangs hold there; least loss first.
 */
std::vector<std::vector<PlacementContext::Borrowed>>
PlacementContext::ReadBorrowed(bool aAnyHolder) const
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
  std::vector<std::vector<Borrowed>> borrowed(snapshot.Topology().Size());
  for (std::size_t i = 0; i < snapshot.Gangs().size(); ++i) {
    const PlacedGang& gang = snapshot.Gangs()[i];
    const auto holder = mCapacity.FindOrganisation(gang.Organisation());
    const bool own = gang.Organisation() == mRequest.Organisation();
    // A preemptible request does not stop other work of its organisation.
    if (!gang.Preemptible() || (own && mRequest.Preemptible()) ||
        (!aAnyHolder && !own && holder && surplus[*holder] <= 0)) {
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
      borrowed[*worker].push_back({ i, bits });
    }
  }
  for (auto& gangs : borrowed) {
    std::sort(gangs.begin(), gangs.end(), [&snapshot](auto aLeft, auto aRight) {
      return std::tuple(snapshot.Gangs()[aLeft.mGang].LostAcceleratorHours(),
                        aLeft.mGang) <
             std::tuple(snapshot.Gangs()[aRight.mGang].LostAcceleratorHours(),
                        aRight.mGang);
    });
  }
  return borrowed;
}

/** Takes the workers that cost least, one by one; the gangs stop whole. */
std::optional<PlacementContext::Reclaim>
PlacementContext::ReclaimWithin(
  const std::vector<std::size_t>& aGroup,
  const std::vector<std::vector<Borrowed>>& aBorrowed,
  bool aUnassignedOnly,
  bool aWithheldToo) const
{
  const auto& gangs = mCapacity.Snapshot().Gangs();
  std::vector<std::size_t> open;
  for (const std::size_t w : aGroup) {
    if (mWithheld[w] && !aWithheldToo) {
      continue;
    }
    if ((aUnassignedOnly ? Unassigned(w) : mCapacity.FreeOrPreemptible(w)) >=
        PerWorker()) {
      open.push_back(w);
    }
  }
  Reclaim reclaim;
  std::set<std::size_t> victims;
  while (reclaim.mWorkers.size() < Members()) {
    double least = std::numeric_limits<double>::infinity();
    std::size_t best = 0;
    std::vector<std::size_t> bestVictims;
    for (std::size_t i = 0; i < open.size(); ++i) {
      int room = mCapacity.FreeAccelerators(open[i]);
      for (const Borrowed& held : aBorrowed[open[i]]) {
        room += victims.contains(held.mGang) ? std::popcount(held.mBits) : 0;
      }
      double hours = 0;
      std::vector<std::size_t> added;
      for (const Borrowed& held : aBorrowed[open[i]]) {
        if (room >= PerWorker()) {
          break;
        }
        if (!victims.contains(held.mGang)) {
          room += std::popcount(held.mBits);
          hours += gangs[held.mGang].LostAcceleratorHours();
          added.push_back(held.mGang);
        }
      }
      if (room >= PerWorker() && hours < least) {
        least = hours;
        best = i;
        bestVictims = std::move(added);
      }
    }
    if (least == std::numeric_limits<double>::infinity()) {
      return std::nullopt;
    }
    reclaim.mWorkers.push_back(open[best]);
    victims.insert(bestVictims.begin(), bestVictims.end());
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(best));
  }
  reclaim.mVictims.assign(victims.begin(), victims.end());
  DropNeedlessVictims(reclaim, aBorrowed);
  return reclaim;
}

void
PlacementContext::DropNeedlessVictims(
  Reclaim& aReclaim,
  const std::vector<std::vector<Borrowed>>& aBorrowed) const
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
        int room = mCapacity.FreeAccelerators(aWorker);
        for (const Borrowed& held : aBorrowed[aWorker]) {
          room += kept.contains(held.mGang) ? std::popcount(held.mBits) : 0;
        }
        return room >= PerWorker();
      });
    if (!enough) {
      kept.insert(victim);
    }
  }
  aReclaim.mVictims.assign(kept.begin(), kept.end());
  aReclaim.mHours = 0;
  for (const std::size_t victim : kept) {
    aReclaim.mHours += gangs[victim].LostAcceleratorHours();
  }
}

/** @return One place for each group that has one; least loss first. */
std::vector<PlacementContext::Reclaim>
PlacementContext::Reclaims(const std::vector<std::vector<Borrowed>>& aBorrowed,
                           bool aUnassignedOnly,
                           bool aWithheldToo) const
{
  std::vector<Reclaim> reclaims;
  for (const auto& group : Groups()) {
    if (auto reclaim =
          ReclaimWithin(group, aBorrowed, aUnassignedOnly, aWithheldToo)) {
      reclaims.push_back(std::move(*reclaim));
    }
  }
  std::stable_sort(reclaims.begin(),
                   reclaims.end(),
                   [](const Reclaim& aLeft, const Reclaim& aRight) {
                     return std::tuple(aLeft.mHours, aLeft.mVictims.size()) <
                            std::tuple(aRight.mHours, aRight.mVictims.size());
                   });
  return reclaims;
}

std::optional<PlacementContext::Reclaim>
PlacementContext::FindReclaim(bool aWithheldToo) const
{
  // Organisations beyond their guaranteed accelerators give way first.
  for (const bool anyHolder : { false, true }) {
    const auto borrowed = ReadBorrowed(anyHolder);
    auto safe = Reclaims(borrowed, true, aWithheldToo);
    if (!safe.empty()) {
      return std::move(safe.front());
    }
    auto others = Reclaims(borrowed, false, aWithheldToo);
    others.resize(std::min(others.size(), kMaxReclaimChecks));
    for (Reclaim& place : others) {
      if (Keeps(place.mWorkers)) {
        return std::move(place);
      }
    }
  }
  return std::nullopt;
}

PlacementDecision
PlacementContext::Reclaimed(const Reclaim& aReclaim) const
{
  if (aReclaim.mVictims.empty()) {
    // A free place that the strategy did not consider.
    return Placed(aReclaim.mWorkers, "free place within the guaranteed shape");
  }
  const auto borrowed = ReadBorrowed(true);
  std::vector<std::uint64_t> bits(borrowed.size(), 0);
  for (std::size_t w = 0; w < borrowed.size(); ++w) {
    for (const Borrowed& held : borrowed[w]) {
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

/** @return The workers of the first group with room, or none. */
std::vector<std::size_t>
PlacementContext::FirstFree() const
{
  for (const auto& group : Groups()) {
    std::vector<std::size_t> workers;
    for (const std::size_t w : group) {
      if (Room(w) >= PerWorker()) {
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

/** Names the organisation whose guaranteed shape needs a free place. */
std::string
PlacementContext::GuaranteeReason(std::span<const std::size_t> aWorkers) const
{
  if (!MayUseSpare()) {
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
             Unassigned(aWorker) < PerWorker();
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
  const auto free = FirstFree();
  if (!free.empty()) {
    return GuaranteeReason(free);
  }
  int total = 0;
  for (std::size_t w = 0; w < mCapacity.Topology().Size(); ++w) {
    total += Room(w);
  }
  const Shape& what = mRequest.GangShape();
  if (total >= what.Accelerators()) {
    return "fragmentation: " + std::to_string(total) +
           " accelerators are free, but no " +
           std::string(AdjacencyName(what.AdjacencyLevel())) + " has " +
           std::to_string(what.Workers()) + " workers with " +
           std::to_string(what.AcceleratorsPerWorker()) + " each";
  }
  return std::string(IsOwed() ? "busy" : "quota") + ": only " +
         std::to_string(total) + " accelerators are free, and organisation " +
         mRequest.Organisation().Text() +
         (IsOwed() ? " cannot reclaim its shape from non-preemptible gangs"
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
  if (IsOwed()) {
    auto reclaim = FindReclaim(false);
    if (!reclaim && !mRequest.ReservedWorkers().empty()) {
      reclaim = FindReclaim(true);
    }
    if (reclaim) {
      return Reclaimed(*reclaim);
    }
  }
  return { PlacementKind::kWait, {}, {}, WaitReason() };
}

} // namespace cornelrudder::state
