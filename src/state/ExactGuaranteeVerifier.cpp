#include "ExactGuaranteeVerifier.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include <utility>
#include <xxhash.h>

namespace cornelrudder::state {

namespace {

std::uint64_t
Hash(std::uint64_t aValue)
{
  return XXH3_64bits(&aValue, sizeof(aValue));
}

/** The properties of a guaranteed shape that the search needs. */
struct Demand
{
  std::size_t mPosition;
  std::size_t mOrganisation;
  std::size_t mMembers;
  int mPerWorker;
  Adjacency mLevel;
  std::size_t mRegion;
};

/**
 * Workers with the same number of shared and of own accelerators. Shared ones
 * are free or held by preemptible gangs; own ones are held by non-preemptible
 * gangs of the organisation and count for its shapes only.
 */
struct WorkerClass
{
  std::uint64_t mKey;
  int mShared;
  /** By organisation. */
  std::vector<int> mOwn;
  /** Sum of the shared and of all organisations' own accelerators. */
  int mTotal;
};

/** A group of workers in which a demand may be placed. */
struct Candidate
{
  std::size_t mGroup;
  /** Own accelerators that members of the demand could use in the group. */
  int mOwn;
  /** Usable accelerators on workers that fit a member. */
  int mEligible;
};

/** Workers of one class in one group. */
struct Bucket
{
  std::size_t mClass;
  std::vector<std::size_t> mWorkers;
};

class ExactSearch
{
public:
  ExactSearch(const FleetCapacity& aCapacity,
              std::span<const std::size_t> aGuarantees,
              std::size_t aMaxSteps)
    : mCapacity(aCapacity)
    , mTopology(aCapacity.Topology())
    , mMaxSteps(aMaxSteps)
    , mPlacements(aGuarantees.size())
  {
    ReadDemands(aGuarantees);
    ReadWorkers();
  }

  GuaranteeResult Run()
  {
    if (PlaceDemand(0)) {
      return { Feasibility::kFeasible, std::move(mPlacements), mSteps };
    }
    return { mSteps > mMaxSteps ? Feasibility::kUndecided
                                : Feasibility::kInfeasible,
             {},
             mSteps };
  }

private:
  /** @return Index of the region; the number of regions if it has no worker. */
  std::size_t FindRegion(const RegionId& aRegion) const
  {
    const auto& regions = mTopology.Members(Adjacency::kRegion);
    std::size_t i = 0;
    while (i < regions.size() &&
           mTopology.Workers().All()[regions[i][0]].Location().Region() !=
             aRegion) {
      ++i;
    }
    return i;
  }

  void ReadDemands(std::span<const std::size_t> aGuarantees)
  {
    for (std::size_t i = 0; i < aGuarantees.size(); ++i) {
      const GuaranteedShape& guarantee =
        mCapacity.Snapshot().Guarantees()[aGuarantees[i]];
      const Shape& shape = guarantee.GangShape();
      // Any level is satisfied by a single member, so the widest one is used.
      mDemands.push_back(
        { i,
          mCapacity.OrganisationOf(aGuarantees[i]),
          static_cast<std::size_t>(shape.Workers()),
          shape.AcceleratorsPerWorker(),
          shape.Workers() == 1 ? Adjacency::kRegion : shape.AdjacencyLevel(),
          FindRegion(guarantee.Region()) });
    }
    std::stable_sort(
      mDemands.begin(),
      mDemands.end(),
      [](const Demand& aLeft, const Demand& aRight) {
        return std::tuple(aLeft.mLevel, -aLeft.mPerWorker, aRight.mMembers) <
               std::tuple(aRight.mLevel, -aRight.mPerWorker, aLeft.mMembers);
      });
    mDemandedByOrganisation.assign(mCapacity.OrganisationCount(), 0);
    for (const Demand& demand : mDemands) {
      mDemandedByOrganisation[demand.mOrganisation] +=
        static_cast<int>(demand.mMembers) * demand.mPerWorker;
    }
  }

  void ReadWorkers()
  {
    const std::size_t n = mTopology.Size();
    mRackSum.assign(mTopology.Members(Adjacency::kRack).size(), 0);
    mZoneSum.assign(mTopology.Members(Adjacency::kZone).size(), 0);
    mRegionSum.assign(mTopology.Members(Adjacency::kRegion).size(), 0);
    mClassOf.reserve(n);
    std::vector<std::size_t> classByShared(FleetCapacity::kMaxPerWorker + 1,
                                           SIZE_MAX);
    std::vector<int> own(mCapacity.OrganisationCount());
    for (std::size_t w = 0; w < n; ++w) {
      bool any = false;
      for (std::size_t o = 0; o < own.size(); ++o) {
        // Own accelerators of an organisation without a demand cannot be used.
        own[o] =
          mDemandedByOrganisation[o] > 0 ? mCapacity.NonPreemptible(o, w) : 0;
        any = any || own[o] > 0;
      }
      // Most workers have no own accelerators; their class is cached by the
      // number of shared ones, which avoids the lookup.
      std::size_t& classWithoutOwn =
        classByShared[static_cast<std::size_t>(mCapacity.FreeOrPreemptible(w))];
      if (any || classWithoutOwn == SIZE_MAX) {
        const std::size_t found =
          FindClass(mCapacity.FreeOrPreemptible(w), own);
        classWithoutOwn = any ? classWithoutOwn : found;
        mClassOf.push_back(found);
      } else {
        mClassOf.push_back(classWithoutOwn);
      }
      const std::size_t known = mClassOf.back();
      const std::uint64_t key = mClasses[known].mKey;
      mRackSum[mTopology.GroupOf(Adjacency::kRack, w)] += key;
      mZoneSum[mTopology.GroupOf(Adjacency::kZone, w)] += key;
      mRegionSum[mTopology.GroupOf(Adjacency::kRegion, w)] += key;
    }
    mZoneRackSum.assign(mZoneSum.size(), 0);
    for (std::size_t rack = 0; rack < mRackSum.size(); ++rack) {
      mZoneRackSum[ZoneOf(rack)] += Hash(mRackSum[rack]);
    }
  }

  std::size_t ZoneOf(std::size_t aRack) const
  {
    return mTopology.GroupOf(Adjacency::kZone,
                             mTopology.Members(Adjacency::kRack)[aRack][0]);
  }

  std::size_t FindClass(int aShared, const std::vector<int>& aOwn)
  {
    std::uint64_t key = Hash(static_cast<std::uint64_t>(aShared) + 1);
    int total = aShared;
    for (std::size_t o = 0; o < aOwn.size(); ++o) {
      if (aOwn[o] > 0) {
        key =
          Hash(key ^ ((o + 1) * 1024 + static_cast<std::uint64_t>(aOwn[o])));
        total += aOwn[o];
      }
    }
    const auto [it, added] = mClassByKey.emplace(key, mClasses.size());
    if (added) {
      mClasses.push_back({ key, aShared, aOwn, total });
    }
    return it->second;
  }

  /**
   * @return The class of such a worker after it gets a member of the demand.
   */
  std::size_t ClassAfterMember(std::size_t aClass, const Demand& aDemand)
  {
    const std::uint64_t key =
      (aClass * (mDemandedByOrganisation.size() + 1) + aDemand.mOrganisation) *
        (FleetCapacity::kMaxPerWorker + 1) +
      static_cast<std::uint64_t>(aDemand.mPerWorker);
    const auto it = mNextClass.find(key);
    if (it != mNextClass.end()) {
      return it->second;
    }
    std::vector<int> own = mClasses[aClass].mOwn;
    // Other organisations cannot use own accelerators, so those are used first.
    const int fromOwn =
      std::min(own[aDemand.mOrganisation], aDemand.mPerWorker);
    own[aDemand.mOrganisation] -= fromOwn;
    const std::size_t next =
      FindClass(mClasses[aClass].mShared - (aDemand.mPerWorker - fromOwn), own);
    mNextClass.emplace(key, next);
    return next;
  }

  void SetClass(std::size_t aWorker, std::size_t aClass)
  {
    const std::uint64_t change =
      mClasses[aClass].mKey - mClasses[mClassOf[aWorker]].mKey;
    mClassOf[aWorker] = aClass;
    const std::size_t zone = mTopology.GroupOf(Adjacency::kZone, aWorker);
    std::uint64_t& rack =
      mRackSum[mTopology.GroupOf(Adjacency::kRack, aWorker)];
    mZoneRackSum[zone] -= Hash(rack);
    rack += change;
    mZoneRackSum[zone] += Hash(rack);
    mZoneSum[zone] += change;
    mRegionSum[mTopology.GroupOf(Adjacency::kRegion, aWorker)] += change;
  }

  /** @return Index of the region of a group's first worker. */
  std::size_t RegionOf(Adjacency aLevel, std::size_t aGroup) const
  {
    return mTopology.GroupOf(Adjacency::kRegion,
                             mTopology.Members(aLevel)[aGroup][0]);
  }

  /**
   * @return A hash that is equal for states that differ only in the order of
   *   equal groups. The probability that any two of a few thousand states of a
   *   search collide is below 1e-11.
   */
  std::uint64_t StateKey(std::size_t aDemand) const
  {
    std::uint64_t key = 0;
    const Adjacency level = mDemands[aDemand].mLevel;
    if (level == Adjacency::kRegion) {
      for (std::size_t i = 0; i < mRegionSum.size(); ++i) {
        key += Hash(Hash(mRegionSum[i]) + i);
      }
    } else {
      const auto& sums = level == Adjacency::kZone ? mZoneSum : mZoneRackSum;
      for (std::size_t i = 0; i < sums.size(); ++i) {
        key += Hash(Hash(sums[i]) + RegionOf(Adjacency::kZone, i));
      }
    }
    return Hash(key + aDemand);
  }

  /**
   * @return A hash that is equal for groups of which only one must be tried.
   */
  std::uint64_t GroupKey(Adjacency aLevel, std::size_t aGroup) const
  {
    if (aLevel == Adjacency::kRegion) {
      return aGroup;
    }
    if (aLevel == Adjacency::kZone) {
      return Hash(mZoneSum[aGroup]) + RegionOf(aLevel, aGroup);
    }
    // Racks with equal workers are not interchangeable if their zones differ.
    return Hash(Hash(mRackSum[aGroup]) + mZoneRackSum[ZoneOf(aGroup)]) +
           RegionOf(aLevel, aGroup);
  }

  int UsableAccelerators(std::size_t aClass, const Demand& aDemand) const
  {
    return mClasses[aClass].mShared +
           mClasses[aClass].mOwn[aDemand.mOrganisation];
  }

  /**
   * Checks necessary conditions on the numbers of remaining accelerators.
   * @return Whether the demands from aFirst on may still fit.
   */
  bool MayFit(std::size_t aFirst) const
  {
    std::vector<int> sizes;
    std::vector<int> demandOf(mDemandedByOrganisation.size(), 0);
    for (std::size_t i = aFirst; i < mDemands.size(); ++i) {
      sizes.push_back(mDemands[i].mPerWorker);
      demandOf[mDemands[i].mOrganisation] +=
        static_cast<int>(mDemands[i].mMembers) * mDemands[i].mPerWorker;
    }
    std::sort(sizes.begin(), sizes.end());
    sizes.erase(std::unique(sizes.begin(), sizes.end()), sizes.end());
    std::vector<int> population(mClasses.size(), 0);
    for (const std::size_t known : mClassOf) {
      ++population[known];
    }
    // A worker fits at most total / size members of that size.
    for (const int size : sizes) {
      int needed = 0;
      for (std::size_t i = aFirst; i < mDemands.size(); ++i) {
        needed += static_cast<int>(mDemands[i].mMembers) *
                  (mDemands[i].mPerWorker / size);
      }
      int available = 0;
      for (std::size_t c = 0; c < mClasses.size(); ++c) {
        available += population[c] * (mClasses[c].mTotal / size);
      }
      if (available < needed) {
        return false;
      }
    }
    // Demands beyond an organisation's own accelerators need shared ones.
    int shared = 0;
    std::vector<int> ownOf(mDemandedByOrganisation.size(), 0);
    for (std::size_t c = 0; c < mClasses.size(); ++c) {
      shared += population[c] * mClasses[c].mShared;
      for (std::size_t o = 0; o < ownOf.size(); ++o) {
        ownOf[o] += population[c] * mClasses[c].mOwn[o];
      }
    }
    for (std::size_t o = 0; o < ownOf.size(); ++o) {
      shared -= std::max(0, demandOf[o] - ownOf[o]);
    }
    return shared >= 0;
  }

  std::vector<Candidate> Candidates(const Demand& aDemand) const
  {
    if (aDemand.mLevel == Adjacency::kRegion) {
      // A region is a single group, so there is nothing to compare.
      return aDemand.mRegion < mRegionSum.size()
               ? std::vector<Candidate>{ { aDemand.mRegion, 0, 0 } }
               : std::vector<Candidate>{};
    }
    std::vector<Candidate> candidates;
    std::vector<std::uint64_t> seen;
    // By class: own accelerators that one member uses, and all usable
    // accelerators, or 0 if a member does not fit.
    std::vector<std::pair<int, int>> use;
    use.reserve(mClasses.size());
    for (std::size_t c = 0; c < mClasses.size(); ++c) {
      const int usable = UsableAccelerators(c, aDemand);
      use.emplace_back(
        std::min(mClasses[c].mOwn[aDemand.mOrganisation], aDemand.mPerWorker),
        usable >= aDemand.mPerWorker ? usable : 0);
    }
    const auto& groups = mTopology.LargestFirst(aDemand.mLevel);
    for (std::size_t g = 0; g < groups.size(); ++g) {
      if (groups[g].size() < aDemand.mMembers ||
          RegionOf(aDemand.mLevel, g) != aDemand.mRegion) {
        continue;
      }
      Candidate candidate{ g, 0, 0 };
      std::size_t workers = 0;
      for (const std::size_t w : groups[g]) {
        if (mTopology.Accelerators(w) < aDemand.mPerWorker) {
          break;
        }
        const auto& [own, usable] = use[mClassOf[w]];
        if (usable > 0) {
          ++workers;
          candidate.mEligible += usable;
          candidate.mOwn += own;
        }
      }
      if (workers < aDemand.mMembers) {
        continue;
      }
      const std::uint64_t key = GroupKey(aDemand.mLevel, g);
      if (std::find(seen.begin(), seen.end(), key) == seen.end()) {
        seen.push_back(key);
        candidates.push_back(candidate);
      }
    }
    // The tightest group first, which leaves the others for larger shapes.
    std::stable_sort(candidates.begin(),
                     candidates.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return std::tuple(-aLeft.mOwn, aLeft.mEligible) <
                              std::tuple(-aRight.mOwn, aRight.mEligible);
                     });
    return candidates;
  }

  std::vector<Bucket> Buckets(const Demand& aDemand, std::size_t aGroup) const
  {
    constexpr std::size_t kNotVisited = SIZE_MAX;
    constexpr std::size_t kTooSmall = SIZE_MAX - 1;
    std::vector<Bucket> buckets;
    std::vector<std::size_t> bucketOf(mClasses.size(), kNotVisited);
    for (const std::size_t w : mTopology.LargestFirst(aDemand.mLevel)[aGroup]) {
      if (mTopology.Accelerators(w) < aDemand.mPerWorker) {
        break;
      }
      const std::size_t known = mClassOf[w];
      std::size_t& bucket = bucketOf[known];
      if (bucket == kNotVisited) {
        bucket = kTooSmall;
        if (UsableAccelerators(known, aDemand) >= aDemand.mPerWorker) {
          bucket = buckets.size();
          buckets.push_back({ known, {} });
          buckets.back().mWorkers.reserve(aDemand.mMembers);
        }
      }
      // At most one worker per member is needed from each class.
      if (bucket != kTooSmall &&
          buckets[bucket].mWorkers.size() < aDemand.mMembers) {
        buckets[bucket].mWorkers.push_back(w);
      }
    }
    const auto rank = [this, &aDemand](const Bucket& aBucket) {
      const WorkerClass& known = mClasses[aBucket.mClass];
      return std::tuple(
        -std::min(known.mOwn[aDemand.mOrganisation], aDemand.mPerWorker),
        known.mTotal,
        known.mKey);
    };
    std::sort(buckets.begin(),
              buckets.end(),
              [&rank](const Bucket& aLeft, const Bucket& aRight) {
                return rank(aLeft) < rank(aRight);
              });
    return buckets;
  }

  bool PlaceDemand(std::size_t aDemand)
  {
    if (aDemand == mDemands.size()) {
      return true;
    }
    const std::uint64_t key = StateKey(aDemand);
    if (mFailed.contains(key)) {
      return false;
    }
    const Demand& demand = mDemands[aDemand];
    // The check costs more than a search step, so except for the first demand
    // it runs only after a state has failed.
    if ((aDemand != 0 && mFailed.empty()) || MayFit(aDemand)) {
      for (const Candidate& candidate : Candidates(demand)) {
        const auto buckets = Buckets(demand, candidate.mGroup);
        std::size_t available = 0;
        for (const Bucket& bucket : buckets) {
          available += bucket.mWorkers.size();
        }
        if (PlaceMembers(aDemand, buckets, 0, available, demand.mMembers)) {
          return true;
        }
        if (mSteps > mMaxSteps) {
          return false;
        }
      }
    }
    mFailed.insert(key);
    return false;
  }

  /**
   * Places the remaining members on workers of the buckets from aBucket on. It
   * tries as many as possible in the first bucket, then one fewer, and so on.
   * @param aAvailable Number of workers in these buckets.
   * @param aMembers Number of members that remain to be placed.
   */
  bool PlaceMembers(std::size_t aDemand,
                    const std::vector<Bucket>& aBuckets,
                    std::size_t aBucket,
                    std::size_t aAvailable,
                    std::size_t aMembers)
  {
    if (aMembers == 0) {
      return ++mSteps <= mMaxSteps && PlaceDemand(aDemand + 1);
    }
    if (aAvailable < aMembers) {
      return false;
    }
    const Demand& demand = mDemands[aDemand];
    const Bucket& bucket = aBuckets[aBucket];
    const std::size_t next = ClassAfterMember(bucket.mClass, demand);
    const std::size_t most = std::min(aMembers, bucket.mWorkers.size());
    auto& placements = mPlacements[demand.mPosition];
    for (std::size_t i = 0; i < most; ++i) {
      SetClass(bucket.mWorkers[i], next);
      placements.push_back(bucket.mWorkers[i]);
    }
    for (std::size_t placed = most;; --placed) {
      if (PlaceMembers(aDemand,
                       aBuckets,
                       aBucket + 1,
                       aAvailable - bucket.mWorkers.size(),
                       aMembers - placed)) {
        return true;
      }
      if (placed == 0) {
        return false;
      }
      SetClass(bucket.mWorkers[placed - 1], bucket.mClass);
      placements.pop_back();
    }
  }

  const FleetCapacity& mCapacity;
  const FleetTopology& mTopology;
  std::size_t mMaxSteps;
  std::size_t mSteps = 0;
  std::vector<Demand> mDemands;
  /** By organisation, accelerators in all its demands. */
  std::vector<int> mDemandedByOrganisation;

  std::vector<WorkerClass> mClasses;
  std::unordered_map<std::uint64_t, std::size_t> mClassByKey;
  std::unordered_map<std::uint64_t, std::size_t> mNextClass;
  std::vector<std::size_t> mClassOf;

  // Sums of the class keys of a group's workers. A sum does not depend on the
  // order of the workers.
  std::vector<std::uint64_t> mRackSum;
  std::vector<std::uint64_t> mZoneSum;
  std::vector<std::uint64_t> mRegionSum;
  /** By zone, the sum of the hashed sums of its racks. */
  std::vector<std::uint64_t> mZoneRackSum;

  std::unordered_set<std::uint64_t> mFailed;
  std::vector<GuaranteeResult::Workers> mPlacements;
};

} // namespace

GuaranteeResult
ExactGuaranteeVerifier::Check(const FleetCapacity& aCapacity,
                              std::span<const std::size_t> aGuarantees,
                              std::size_t aMaxSteps) const
{
  return ExactSearch(aCapacity, aGuarantees, aMaxSteps).Run();
}

} // namespace cornelrudder::state
