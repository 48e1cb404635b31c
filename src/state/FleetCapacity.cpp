#include "cornelrudder/state/FleetCapacity.h"

#include <algorithm>
#include <bit>

namespace cornelrudder::state {

namespace {

/** @return A mask with one bit for each of a worker's accelerators. */
std::uint64_t
AllBits(int aAccelerators)
{
  const int n = std::min(aAccelerators, FleetCapacity::kMaxPerWorker);
  return n == FleetCapacity::kMaxPerWorker ? ~std::uint64_t{ 0 }
                                           : (std::uint64_t{ 1 } << n) - 1;
}

std::uint64_t
MemberBits(const MemberPlacement& aMember)
{
  std::uint64_t bits = 0;
  for (const int index : aMember.Accelerators()) {
    if (index >= 0 && index < FleetCapacity::kMaxPerWorker) {
      bits |= std::uint64_t{ 1 } << index;
    }
  }
  return bits;
}

} // namespace

FleetCapacity::FleetCapacity(const FleetSnapshot& aSnapshot)
  : mSnapshot(&aSnapshot)
  , mHeld(aSnapshot.Topology().Size(), 0)
{
  for (const GuaranteedShape& guarantee : aSnapshot.Guarantees()) {
    auto known = FindOrganisation(guarantee.Organisation());
    if (!known) {
      known = mOrganisations.size();
      mOrganisations.push_back(&guarantee.Organisation());
    }
    mOrganisationOf.push_back(*known);
  }

  const std::size_t n = aSnapshot.Topology().Size();
  const auto& workers = aSnapshot.Workers().All();
  mFree.reserve(n);
  mShared.reserve(n);
  for (const Vm& worker : workers) {
    mShared.push_back(std::popcount(AllBits(worker.Accelerators())));
  }
  mOwn.assign(mOrganisations.size() * n, 0);
  for (const PlacedGang& gang : aSnapshot.Gangs()) {
    const auto organisation = FindOrganisation(gang.Organisation());
    for (const MemberPlacement& member : gang.Placement().Members()) {
      // Lost and leaving workers are not in the topology.
      const auto worker = aSnapshot.Topology().Find(member.Worker());
      if (!worker) {
        continue;
      }
      const std::uint64_t bits = MemberBits(member) & ~mHeld[*worker] &
                                 AllBits(workers[*worker].Accelerators());
      mHeld[*worker] |= bits;
      if (gang.Preemptible()) {
        continue;
      }
      const int held = std::popcount(bits);
      mShared[*worker] -= held;
      if (organisation) {
        mOwn[*organisation * n + *worker] += held;
      }
    }
  }
  for (std::size_t i = 0; i < n; ++i) {
    mFree.push_back(
      std::popcount(AllBits(workers[i].Accelerators()) & ~mHeld[i]));
  }
}

std::optional<std::size_t>
FleetCapacity::FindOrganisation(const OrganisationId& aOrganisation) const
{
  const auto it = std::find_if(
    mOrganisations.begin(),
    mOrganisations.end(),
    [&aOrganisation](const auto* aName) { return *aName == aOrganisation; });
  if (it == mOrganisations.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - mOrganisations.begin());
}

FleetCapacity
FleetCapacity::WithMembers(std::optional<std::size_t> aOrganisation,
                           std::span<const std::size_t> aWorkers,
                           int aAcceleratorsPerWorker) const
{
  FleetCapacity capacity = *this;
  for (const std::size_t worker : aWorkers) {
    capacity.mShared[worker] -= aAcceleratorsPerWorker;
    capacity.mFree[worker] =
      std::max(0, capacity.mFree[worker] - aAcceleratorsPerWorker);
    if (aOrganisation) {
      capacity.mOwn[*aOrganisation * mFree.size() + worker] +=
        aAcceleratorsPerWorker;
    }
  }
  return capacity;
}

} // namespace cornelrudder::state
