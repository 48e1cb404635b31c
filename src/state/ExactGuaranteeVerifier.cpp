#include "ExactGuaranteeVerifier.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include <utility>
#include <xxhash.h>

namespace cornelrudder::state {

namespace {

std::uint64_t
Mix(std::uint64_t aValue)
{
  return XXH3_64bits(&aValue, sizeof(aValue));
}

/** A guaranteed shape as the search sees it. */
struct Demand
{
  std::size_t mPosition;
  std::size_t mOrganisation;
  std::size_t mMembers;
  int mPerWorker;
  Adjacency mWithin;
  std::size_t mRegion;
};

/** Workers with equal counts. */
struct WorkerClass
{
  std::uint64_t mKey;
  int mShared;
  /** By organisation. */
  std::vector<int> mOwn;
  /** Shared and own accelerators of all organisations. */
  int mTotal;
};

/** A group in which a demand may be placed. */
struct Candidate
{
  std::size_t mGroup;
  /** Own accelerators that the demand could use there. */
  int mOwn;
  /** Accelerators on workers that could take a member. */
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
    , mPlaces(aGuarantees.size())
  {
    ReadDemands(aGuarantees);
    ReadWorkers();
  }

  GuaranteeResult Run()
  {
    if (Place(0)) {
      return { Feasibility::kFeasible, std::move(mPlaces), mSteps };
    }
    return { mSteps > mMaxSteps ? Feasibility::kUndecided
                                : Feasibility::kInfeasible,
             {},
             mSteps };
  }

private:
  /** @return Number of a region; one that no worker has if it is unknown. */
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
      // One member fits a rack, zone or region if it fits one of its workers.
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
        return std::tuple(aLeft.mWithin, -aLeft.mPerWorker, aRight.mMembers) <
               std::tuple(aRight.mWithin, -aRight.mPerWorker, aLeft.mMembers);
      });
    mDemandOf.assign(mCapacity.OrganisationCount(), 0);
    for (const Demand& demand : mDemands) {
      mDemandOf[demand.mOrganisation] +=
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
    std::vector<std::size_t> withoutOwn(FleetCapacity::kMaxPerWorker + 1,
                                        SIZE_MAX);
    std::vector<int> own(mCapacity.OrganisationCount());
    for (std::size_t w = 0; w < n; ++w) {
      bool any = false;
      for (std::size_t o = 0; o < own.size(); ++o) {
        // Without a demand, own accelerators are of no use to the search.
        own[o] = mDemandOf[o] > 0 ? mCapacity.NonPreemptible(o, w) : 0;
        any = any || own[o] > 0;
      }
      // Most workers are alike and need no lookup.
      std::size_t& plain =
        withoutOwn[static_cast<std::size_t>(mCapacity.FreeOrPreemptible(w))];
      if (any || plain == SIZE_MAX) {
        const std::size_t found =
          FindClass(mCapacity.FreeOrPreemptible(w), own);
        plain = any ? plain : found;
        mClassOf.push_back(found);
      } else {
        mClassOf.push_back(plain);
      }
      const std::size_t known = mClassOf.back();
      const std::uint64_t key = mClasses[known].mKey;
      mRackSum[mTopology.GroupOf(Adjacency::kRack, w)] += key;
      mZoneSum[mTopology.GroupOf(Adjacency::kZone, w)] += key;
      mRegionSum[mTopology.GroupOf(Adjacency::kRegion, w)] += key;
    }
    mRacksSum.assign(mZoneSum.size(), 0);
    for (std::size_t rack = 0; rack < mRackSum.size(); ++rack) {
      mRacksSum[ZoneOf(rack)] += Mix(mRackSum[rack]);
    }
  }

  std::size_t ZoneOf(std::size_t aRack) const
  {
    return mTopology.GroupOf(Adjacency::kZone,
                             mTopology.Members(Adjacency::kRack)[aRack][0]);
  }

  std::size_t FindClass(int aShared, const std::vector<int>& aOwn)
  {
    std::uint64_t key = Mix(static_cast<std::uint64_t>(aShared) + 1);
    int total = aShared;
    for (std::size_t o = 0; o < aOwn.size(); ++o) {
      if (aOwn[o] > 0) {
        key = Mix(key ^ ((o + 1) * 1024 + static_cast<std::uint64_t>(aOwn[o])));
        total += aOwn[o];
      }
    }
    const auto [it, added] = mClassByKey.emplace(key, mClasses.size());
    if (added) {
      mClasses.push_back({ key, aShared, aOwn, total });
    }
    return it->second;
  }

  /** @return The class of a worker of this class with one more member. */
  std::size_t ClassAfter(std::size_t aClass, const Demand& aDemand)
  {
    const std::uint64_t key =
      (aClass * (mDemandOf.size() + 1) + aDemand.mOrganisation) *
        (FleetCapacity::kMaxPerWorker + 1) +
      static_cast<std::uint64_t>(aDemand.mPerWorker);
    const auto it = mNextClass.find(key);
    if (it != mNextClass.end()) {
      return it->second;
    }
    std::vector<int> own = mClasses[aClass].mOwn;
    // Own accelerators are of no use to others, so they are taken first.
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
    mRacksSum[zone] -= Mix(rack);
    rack += change;
    mRacksSum[zone] += Mix(rack);
    mZoneSum[zone] += change;
    mRegionSum[mTopology.GroupOf(Adjacency::kRegion, aWorker)] += change;
  }

  /** Number of the region of the first worker of a group. */
  std::size_t RegionOf(Adjacency aLevel, std::size_t aGroup) const
  {
    return mTopology.GroupOf(Adjacency::kRegion,
                             mTopology.Members(aLevel)[aGroup][0]);
  }

  /**
   * A number that is equal for states which differ only in the order of equal
   * groups. Two of a few thousand states of a search agree by chance with a
   * probability below 1e-11.
   */
  std::uint64_t StateKey(std::size_t aDemand) const
  {
    std::uint64_t key = 0;
    const Adjacency level = mDemands[aDemand].mWithin;
    if (level == Adjacency::kRegion) {
      for (std::size_t i = 0; i < mRegionSum.size(); ++i) {
        key += Mix(Mix(mRegionSum[i]) + i);
      }
    } else {
      const auto& sums = level == Adjacency::kZone ? mZoneSum : mRacksSum;
      for (std::size_t i = 0; i < sums.size(); ++i) {
        key += Mix(Mix(sums[i]) + RegionOf(Adjacency::kZone, i));
      }
    }
    return Mix(key + aDemand);
  }

  /** Equal for groups of which only one needs to be tried. */
  std::uint64_t GroupKey(Adjacency aLevel, std::size_t aGroup) const
  {
    if (aLevel == Adjacency::kRegion) {
      return aGroup;
    }
    if (aLevel == Adjacency::kZone) {
      return Mix(mZoneSum[aGroup]) + RegionOf(aLevel, aGroup);
    }
    // Equal racks differ if their zones do.
    return Mix(Mix(mRackSum[aGroup]) + mRacksSum[ZoneOf(aGroup)]) +
           RegionOf(aLevel, aGroup);
  }

  int Usable(std::size_t aClass, const Demand& aDemand) const
  {
    return mClasses[aClass].mShared +
           mClasses[aClass].mOwn[aDemand.mOrganisation];
  }

  /** Necessary conditions on the numbers of accelerators that remain. */
  bool EnoughRemain(std::size_t aFirst) const
  {
    std::vector<int> sizes;
    std::vector<int> demandOf(mDemandOf.size(), 0);
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
    // Each worker has room for no more than total / size members of a size.
    for (const int size : sizes) {
      int needed = 0;
      for (std::size_t i = aFirst; i < mDemands.size(); ++i) {
        needed += static_cast<int>(mDemands[i].mMembers) *
                  (mDemands[i].mPerWorker / size);
      }
      int room = 0;
      for (std::size_t c = 0; c < mClasses.size(); ++c) {
        room += population[c] * (mClasses[c].mTotal / size);
      }
      if (room < needed) {
        return false;
      }
    }
    // Own accelerators serve their own organisation only.
    int shared = 0;
    std::vector<int> ownOf(mDemandOf.size(), 0);
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
    if (aDemand.mWithin == Adjacency::kRegion) {
      // A region is a single group, so that there is nothing to compare.
      return aDemand.mRegion < mRegionSum.size()
               ? std::vector<Candidate>{ { aDemand.mRegion, 0, 0 } }
               : std::vector<Candidate>{};
    }
    std::vector<Candidate> candidates;
    std::vector<std::uint64_t> seen;
    // By class: own accelerators that a member uses, and all that it could.
    std::vector<std::pair<int, int>> use;
    use.reserve(mClasses.size());
    for (std::size_t c = 0; c < mClasses.size(); ++c) {
      const int usable = Usable(c, aDemand);
      use.emplace_back(
        std::min(mClasses[c].mOwn[aDemand.mOrganisation], aDemand.mPerWorker),
        usable >= aDemand.mPerWorker ? usable : 0);
    }
    const auto& groups = mTopology.LargestFirst(aDemand.mWithin);
    for (std::size_t g = 0; g < groups.size(); ++g) {
      if (groups[g].size() < aDemand.mMembers ||
          RegionOf(aDemand.mWithin, g) != aDemand.mRegion) {
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
      const std::uint64_t key = GroupKey(aDemand.mWithin, g);
      if (std::find(seen.begin(), seen.end(), key) == seen.end()) {
        seen.push_back(key);
        candidates.push_back(candidate);
      }
    }
    // The tightest group first, which keeps room for larger shapes.
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
    constexpr std::size_t kUnknown = SIZE_MAX;
    constexpr std::size_t kUnfit = SIZE_MAX - 1;
    std::vector<Bucket> buckets;
    std::vector<std::size_t> bucketOf(mClasses.size(), kUnknown);
    for (const std::size_t w :
         mTopology.LargestFirst(aDemand.mWithin)[aGroup]) {
      if (mTopology.Accelerators(w) < aDemand.mPerWorker) {
        break;
      }
      const std::size_t known = mClassOf[w];
      std::size_t& bucket = bucketOf[known];
      if (bucket == kUnknown) {
        bucket = kUnfit;
        if (Usable(known, aDemand) >= aDemand.mPerWorker) {
          bucket = buckets.size();
          buckets.push_back({ known, {} });
          buckets.back().mWorkers.reserve(aDemand.mMembers);
        }
      }
      // More workers of a class than members are of no use.
      if (bucket != kUnfit &&
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

  bool Place(std::size_t aDemand)
  {
    if (aDemand == mDemands.size()) {
      return true;
    }
    const std::uint64_t key = StateKey(aDemand);
    if (mFailed.contains(key)) {
      return false;
    }
    const Demand& demand = mDemands[aDemand];
    // The bound costs more than a step, so that it waits for a failure.
    if ((aDemand != 0 && mFailed.empty()) || EnoughRemain(aDemand)) {
      for (const Candidate& candidate : Candidates(demand)) {
        const auto buckets = Buckets(demand, candidate.mGroup);
        std::size_t room = 0;
        for (const Bucket& bucket : buckets) {
          room += bucket.mWorkers.size();
        }
        if (PlaceMembers(aDemand, buckets, 0, room, demand.mMembers)) {
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
   * Takes members from the buckets from aBucket on, as many as possible from
   * the first ones first.
   * @param aRoom Workers in these buckets.
   */
  bool PlaceMembers(std::size_t aDemand,
                    const std::vector<Bucket>& aBuckets,
                    std::size_t aBucket,
                    std::size_t aRoom,
                    std::size_t aMembers)
  {
    if (aMembers == 0) {
      return ++mSteps <= mMaxSteps && Place(aDemand + 1);
    }
    if (aRoom < aMembers) {
      return false;
    }
    const Demand& demand = mDemands[aDemand];
    const Bucket& bucket = aBuckets[aBucket];
    const std::size_t next = ClassAfter(bucket.mClass, demand);
    const std::size_t most = std::min(aMembers, bucket.mWorkers.size());
    auto& places = mPlaces[demand.mPosition];
    for (std::size_t i = 0; i < most; ++i) {
      SetClass(bucket.mWorkers[i], next);
      places.push_back(bucket.mWorkers[i]);
    }
    for (std::size_t taken = most;; --taken) {
      if (PlaceMembers(aDemand,
                       aBuckets,
                       aBucket + 1,
                       aRoom - bucket.mWorkers.size(),
                       aMembers - taken)) {
        return true;
      }
      if (taken == 0) {
        return false;
      }
      SetClass(bucket.mWorkers[taken - 1], bucket.mClass);
      places.pop_back();
    }
  }

  const FleetCapacity& mCapacity;
  const FleetTopology& mTopology;
  std::size_t mMaxSteps;
  std::size_t mSteps = 0;
  std::vector<Demand> mDemands;
  /** Accelerators in all demands of an organisation. */
  std::vector<int> mDemandOf;

  std::vector<WorkerClass> mClasses;
  std::unordered_map<std::uint64_t, std::size_t> mClassByKey;
  std::unordered_map<std::uint64_t, std::size_t> mNextClass;
  std::vector<std::size_t> mClassOf;

  // Sums of the class keys of the workers of a group, which do not depend on
  // the order of the workers.
  std::vector<std::uint64_t> mRackSum;
  std::vector<std::uint64_t> mZoneSum;
  std::vector<std::uint64_t> mRegionSum;
  /** By zone, the sum of the mixed sums of its racks. */
  std::vector<std::uint64_t> mRacksSum;

  std::unordered_set<std::uint64_t> mFailed;
  std::vector<GuaranteeResult::Workers> mPlaces;
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
