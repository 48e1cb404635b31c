#include "cornelrudder/state/AdmissionPolicy.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kNoDeadline{ 1'000'000'000 };

JobClass
MakeClass(const std::string& aName, int aWeight, int aUrgency, int aMaxWait)
{
  return JobClass(
    SettingsDocument("classes/" + aName,
                     1,
                     { { "idempotent", true },
                       { "weight", std::int64_t{ aWeight } },
                       { "urgency", std::int64_t{ aUrgency } },
                       { "max_wait_ms", std::int64_t{ aMaxWait } },
                       { "timeout_ms", std::int64_t{ 1'000 } } },
                     {}));
}

AdmissionSettings
MakeSettings(const std::vector<JobClass>& aClasses,
             const std::map<std::string, int>& aWeights)
{
  AdmissionSettings::Classes classes;
  for (const JobClass& jobClass : aClasses) {
    classes.emplace(jobClass.Name(), jobClass);
  }
  AdmissionSettings::Weights weights;
  for (const auto& [name, weight] : aWeights) {
    weights.emplace(OrganisationId(name), weight);
  }
  return { std::move(classes), std::move(weights) };
}

constexpr int kLongWait = 1'000'000;

/** Settings with two classes that queue and two that never queue. */
AdmissionSettings
MixedSettings()
{
  return MakeSettings({ MakeClass("kerf", 2, 5, 0),
                        MakeClass("nesting", 3, 0, kLongWait),
                        MakeClass("proof", 4, 9, 0),
                        MakeClass("raster", 1, 4, kLongWait) },
                      { { "a", 1 }, { "b", 2 }, { "c", 1 } });
}

AdmissionItem
MakeItem(int aNumber,
         const std::string& aOrganisation,
         const std::string& aClass,
         milliseconds aDeadline = kNoDeadline)
{
  return { RequestId("r" + std::to_string(aNumber)),
           OrganisationId(aOrganisation),
           ClassName(aClass),
           100,
           aDeadline };
}

const std::vector<std::string> kClassNames{ "kerf",
                                            "nesting",
                                            "proof",
                                            "raster" };
const std::vector<std::string> kOrganisationNames{ "a", "b", "c" };

/**
 * Reference implementation of the fair policy. It computes each decision from
 * plain lists, without indexes, running sums or a queue of expiry times.
 */
class ReferenceFairAdmission
{
public:
  ReferenceFairAdmission(AdmissionSettings aSettings, int aSlots)
    : mSettings(std::move(aSettings))
    , mSlots(aSlots)
  {
  }

  /** @return "start", "queue" or "reject". */
  std::string Offer(const AdmissionItem& aItem, milliseconds aNow)
  {
    const JobClass& jobClass = ClassOf(aItem.Class());
    if (!CanQueue(aItem.Class())) {
      mDemands.push_back(
        { aNow, aItem.Class(), std::nullopt, SlotsInUse(aItem.Class()) + 1 });
      mDemands.push_back(
        { aNow,
          aItem.Class(),
          aItem.Organisation(),
          SlotsInUse(aItem.Class(), aItem.Organisation()) + 1 });
    }
    const int free = mSlots - static_cast<int>(mRunning.size());
    const bool starts =
      CanQueue(aItem.Class())
        ? mWaiting.empty() && free > ReservedSlots(std::nullopt, aNow)
        : free >
            ReservedSlots(aItem.Class(), aNow) + ReservedInClass(aItem, aNow);
    if (starts) {
      Start(aItem);
      return "start";
    }
    if (!CanQueue(aItem.Class()) ||
        WaitMs(aItem) > static_cast<double>(jobClass.MaxWait().count())) {
      return "reject";
    }
    double& virtualTime =
      mVirtualTimes[{ aItem.Class(), aItem.Organisation() }];
    const bool first = std::none_of(
      mWaiting.begin(), mWaiting.end(), [&aItem](const auto& aPair) {
        return aPair.first.Class() == aItem.Class() &&
               aPair.first.Organisation() == aItem.Organisation();
      });
    if (first) {
      virtualTime = std::max(virtualTime, mClassVirtualTimes[aItem.Class()]);
    }
    mWaiting.emplace_back(
      aItem, std::min(aNow + jobClass.MaxWait(), aItem.Deadline()));
    return "queue";
  }

  std::optional<RequestId> Next(milliseconds aNow)
  {
    const int free = mSlots - static_cast<int>(mRunning.size());
    if (mWaiting.empty() || free <= ReservedSlots(std::nullopt, aNow)) {
      return std::nullopt;
    }
    // Choose the item with the lowest rank; the earliest one on a tie.
    using Rank =
      std::tuple<bool, double, std::size_t, ClassName, double, OrganisationId>;
    std::optional<std::pair<Rank, std::size_t>> best;
    for (std::size_t i = 0; i < mWaiting.size(); ++i) {
      const AdmissionItem& item = mWaiting[i].first;
      const int share = std::max(1, Share(item.Class()));
      const int inUse = SlotsInUse(item.Class());
      const Rank rank(inUse >= share,
                      inUse >= share ? -ClassOf(item.Class()).Urgency()
                                     : static_cast<double>(inUse) / share,
                      mLastStarts[item.Class()],
                      item.Class(),
                      mVirtualTimes[{ item.Class(), item.Organisation() }],
                      item.Organisation());
      if (!best || rank < best->first) {
        best = std::pair(rank, i);
      }
    }
    const AdmissionItem item = mWaiting[best->second].first;
    mWaiting.erase(mWaiting.begin() + static_cast<long>(best->second));
    Start(item);
    return item.Request();
  }

  std::vector<RequestId> Expire(milliseconds aNow)
  {
    std::vector<RequestId> expired;
    std::erase_if(mWaiting, [&expired, aNow](const auto& aPair) {
      if (aPair.second > aNow) {
        return false;
      }
      expired.push_back(aPair.first.Request());
      return true;
    });
    std::sort(expired.begin(), expired.end());
    return expired;
  }

  void Finish(const RequestId& aRequest, milliseconds aRunTime, bool aAnswered)
  {
    const auto it = std::find_if(
      mRunning.begin(), mRunning.end(), [&aRequest](const auto& aPair) {
        return aPair.first.Request() == aRequest;
      });
    const AdmissionItem item = it->first;
    const double charge = it->second;
    mRunning.erase(it);
    mVirtualTimes[{ item.Class(), item.Organisation() }] +=
      (std::max(1.0, static_cast<double>(aRunTime.count())) - charge) /
      mSettings.AllWeights().at(item.Organisation());
    if (aAnswered) {
      mRuns[item.Class()].push_back(static_cast<double>(aRunTime.count()));
    }
  }

private:
  struct Demand
  {
    milliseconds mTime;
    ClassName mClass;
    std::optional<OrganisationId> mOrganisation;
    int mSlotsInUse;
  };

  const JobClass& ClassOf(const ClassName& aClass) const
  {
    return mSettings.AllClasses().at(aClass);
  }

  bool CanQueue(const ClassName& aClass) const
  {
    return ClassOf(aClass).MaxWait().count() > 0;
  }

  int Share(const ClassName& aClass) const
  {
    int total = 0;
    for (const auto& [name, jobClass] : mSettings.AllClasses()) {
      total += jobClass.Weight();
    }
    return mSlots * ClassOf(aClass).Weight() / total;
  }

  int SlotsInUse(const ClassName& aClass,
                 const std::optional<OrganisationId>& aOrganisation = {}) const
  {
    return static_cast<int>(
      std::count_if(mRunning.begin(), mRunning.end(), [&](const auto& aPair) {
        return aPair.first.Class() == aClass &&
               (!aOrganisation || aPair.first.Organisation() == aOrganisation);
      }));
  }

  /** @return Highest demand in the current and the previous 30 s window. */
  int Peak(const ClassName& aClass,
           const std::optional<OrganisationId>& aOrganisation,
           milliseconds aNow) const
  {
    constexpr long kWindow = 30'000;
    int peak = 0;
    std::optional<long> first;
    for (const Demand& demand : mDemands) {
      if (demand.mClass != aClass || demand.mOrganisation != aOrganisation) {
        continue;
      }
      const long window = demand.mTime.count() / kWindow;
      first = first ? first : window;
      if (window >= aNow.count() / kWindow - 1) {
        peak = std::max(peak, demand.mSlotsInUse);
      }
    }
    const bool isInitial = !first || *first >= aNow.count() / kWindow - 1;
    return isInitial && !aOrganisation ? std::numeric_limits<int>::max() : peak;
  }

  int ReservedSlots(const std::optional<ClassName>& aExcept,
                    milliseconds aNow) const
  {
    int n = 0;
    for (const auto& [name, jobClass] : mSettings.AllClasses()) {
      if (name != aExcept && !CanQueue(name)) {
        int peaks = 0;
        for (const auto& [id, weight] : mSettings.AllWeights()) {
          peaks += Peak(name, id, aNow);
        }
        const int peak = std::max({ 1, peaks, Peak(name, std::nullopt, aNow) });
        n += std::max(0, std::min(Share(name), peak) - SlotsInUse(name));
      }
    }
    return n;
  }

  int ReservedInClass(const AdmissionItem& aItem, milliseconds aNow) const
  {
    int total = 0;
    for (const auto& [id, weight] : mSettings.AllWeights()) {
      total += weight;
    }
    const int share = std::max(1, Share(aItem.Class()));
    const int own =
      share * mSettings.AllWeights().at(aItem.Organisation()) / total;
    if (SlotsInUse(aItem.Class(), aItem.Organisation()) < own) {
      return 0;
    }
    int n = 0;
    int withoutDemand = 0;
    for (const auto& [id, weight] : mSettings.AllWeights()) {
      if (id != aItem.Organisation()) {
        const int inUse = SlotsInUse(aItem.Class(), id);
        const int peak = Peak(aItem.Class(), id, aNow);
        n += std::max(0, std::min(share * weight / total, peak) - inUse);
        withoutDemand += inUse == 0 && peak == 0 ? 1 : 0;
      }
    }
    return n + (withoutDemand > 0 && share >= 8 ? 1 : 0);
  }

  double MeanMs(const ClassName& aClass) const
  {
    const auto it = mRuns.find(aClass);
    if (it == mRuns.end()) {
      return 200;
    }
    double mean = std::max(1.0, it->second.front());
    for (std::size_t i = 1; i < it->second.size(); ++i) {
      mean += (std::max(1.0, it->second[i]) - mean) / 16;
    }
    return mean;
  }

  double WaitMs(const AdmissionItem& aItem) const
  {
    const int slots =
      std::max({ 1, Share(aItem.Class()), SlotsInUse(aItem.Class()) });
    const int own = mSettings.AllWeights().at(aItem.Organisation());
    int total = 0;
    long queued = 0;
    for (const auto& [id, weight] : mSettings.AllWeights()) {
      const long n = std::count_if(
        mWaiting.begin(), mWaiting.end(), [&, &other = id](const auto& aPair) {
          return aPair.first.Class() == aItem.Class() &&
                 aPair.first.Organisation() == other;
        });
      const bool self = id == aItem.Organisation();
      queued = self ? n : queued;
      total += self || n > 0 ? weight : 0;
    }
    return static_cast<double>(queued + 1) * MeanMs(aItem.Class()) * total /
           slots / own;
  }

  void Start(const AdmissionItem& aItem)
  {
    double& virtualTime =
      mVirtualTimes[{ aItem.Class(), aItem.Organisation() }];
    double& classVirtualTime = mClassVirtualTimes[aItem.Class()];
    virtualTime = std::max(virtualTime, classVirtualTime);
    classVirtualTime = virtualTime;
    const double charge = std::round(MeanMs(aItem.Class()));
    virtualTime += charge / mSettings.AllWeights().at(aItem.Organisation());
    mLastStarts[aItem.Class()] = ++mStarts;
    mRunning.emplace_back(aItem, charge);
  }

  AdmissionSettings mSettings;
  int mSlots;
  std::size_t mStarts = 0;
  std::vector<std::pair<AdmissionItem, milliseconds>> mWaiting;
  std::vector<std::pair<AdmissionItem, double>> mRunning;
  std::vector<Demand> mDemands;
  std::map<std::pair<ClassName, OrganisationId>, double> mVirtualTimes;
  std::map<ClassName, double> mClassVirtualTimes;
  std::map<ClassName, std::size_t> mLastStarts;
  std::map<ClassName, std::vector<double>> mRuns;
};

std::string
ActionName(AdmissionAction aKind)
{
  switch (aKind) {
    case AdmissionAction::kAdmit:
      return "start";
    case AdmissionAction::kQueue:
      return "queue";
    case AdmissionAction::kReject:
      break;
  }
  return "reject";
}

std::unique_ptr<AdmissionQueue>
MakeFair(const AdmissionSettings& aSettings, int aSlots)
{
  auto queue = FindAdmissionPolicy("fair")->MakeQueue(aSettings);
  queue->SetSlots(aSlots);
  return queue;
}

/** Applies random operations to a queue and tracks the running requests. */
class RandomDriver
{
public:
  RandomDriver(std::unique_ptr<AdmissionQueue> aQueue)
    : mQueue(std::move(aQueue))
  {
  }

  AdmissionQueue& Queue() { return *mQueue; }
  std::vector<AdmissionGrant>& Running() { return mRunning; }
  milliseconds Now() const { return mNow; }
  int Offered() const { return mOffered; }

  AdmissionItem NextItem()
  {
    const auto deadline =
      *rc::gen::element(kNoDeadline, mNow + milliseconds(700));
    return MakeItem(++mOffered,
                    *rc::gen::elementOf(kOrganisationNames),
                    *rc::gen::elementOf(kClassNames),
                    deadline);
  }

  void Advance(int aMaxMs)
  {
    mNow += milliseconds(*rc::gen::inRange(0, aMaxMs));
  }

  AdmissionAction Offer(const AdmissionItem& aItem)
  {
    const AdmissionDecision decision = mQueue->Offer(aItem, mNow);
    if (decision.Grant()) {
      mRunning.push_back(*decision.Grant());
    }
    return decision.Kind();
  }

  /** @return The started request, or nothing. */
  std::optional<RequestId> Next()
  {
    const auto grant = mQueue->Next(mNow);
    if (!grant) {
      return std::nullopt;
    }
    mRunning.push_back(*grant);
    return grant->Item().Request();
  }

  /** @return The finished request, its run time and whether it completed. */
  std::tuple<RequestId, milliseconds, bool> FinishOne()
  {
    const auto i = *rc::gen::inRange<std::size_t>(0, mRunning.size());
    const AdmissionGrant grant = mRunning[i];
    const milliseconds runTime(*rc::gen::inRange(0, 500));
    const bool answered = *rc::gen::arbitrary<bool>();
    mRunning.erase(mRunning.begin() + static_cast<long>(i));
    mQueue->ReleaseSlot(grant, runTime, answered);
    return { grant.Item().Request(), runTime, answered };
  }

private:
  std::unique_ptr<AdmissionQueue> mQueue;
  std::vector<AdmissionGrant> mRunning;
  milliseconds mNow{ 5'000 };
  int mOffered = 0;
};

} // namespace

TEST_GROUP(AdmissionPolicy){};

// Guards against indexes or running sums that become inconsistent with the
// lists of running and waiting requests.
TEST(AdmissionPolicy, FairMatchesReferenceImplementation)
{
  CHECK(rc::check("fair matches the reference implementation", [] {
    const int slots = *rc::gen::inRange(1, 48);
    RandomDriver driver(MakeFair(MixedSettings(), slots));
    ReferenceFairAdmission reference(MixedSettings(), slots);
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      driver.Advance(*rc::gen::element(2, 20'000));
      std::vector<RequestId> expired;
      for (const auto& item : driver.Queue().Expire(driver.Now())) {
        expired.push_back(item.Request());
      }
      std::sort(expired.begin(), expired.end());
      RC_ASSERT(expired == reference.Expire(driver.Now()));
      if (!driver.Running().empty() && *rc::gen::inRange(0, 3) == 0) {
        const auto [id, runTime, answered] = driver.FinishOne();
        reference.Finish(id, runTime, answered);
      } else {
        const AdmissionItem item = driver.NextItem();
        const std::string expected = reference.Offer(item, driver.Now());
        RC_ASSERT(ActionName(driver.Offer(item)) == expected);
      }
      std::optional<RequestId> started;
      do {
        started = driver.Next();
        RC_ASSERT(started == reference.Next(driver.Now()));
      } while (started);
    }
  }));
}

// Guards against slots that idle while requests wait although they are not
// reserved for a class that cannot queue, and against more running requests
// than slots.
TEST(AdmissionPolicy, NoSlotIdlesWhileARequestWaits)
{
  CHECK(rc::check("no slot idles while a request waits", [] {
    const int slots = *rc::gen::inRange(1, 24);
    const bool mixed = *rc::gen::arbitrary<bool>();
    const AdmissionSettings settings =
      mixed ? MixedSettings()
            : MakeSettings({ MakeClass("kerf", 2, 5, kLongWait),
                             MakeClass("nesting", 3, 0, kLongWait),
                             MakeClass("proof", 4, 9, kLongWait),
                             MakeClass("raster", 1, 4, kLongWait) },
                           { { "a", 1 }, { "b", 2 }, { "c", 1 } });
    // Shares of kerf and proof, which never queue in MixedSettings().
    const int reserved = mixed ? slots * 2 / 10 + slots * 4 / 10 : 0;
    RandomDriver driver(MakeFair(settings, slots));
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      driver.Advance(100);
      if (!driver.Running().empty() && *rc::gen::inRange(0, 3) == 0) {
        driver.FinishOne();
      } else {
        driver.Offer(driver.NextItem());
      }
      while (driver.Next()) {
      }
      AdmissionQueue& queue = driver.Queue();
      RC_ASSERT(queue.Running() == static_cast<int>(driver.Running().size()));
      RC_ASSERT(queue.Running() <= slots);
      RC_ASSERT(queue.Waiting() == 0 || queue.Running() >= slots - reserved);
    }
  }));
}

// Guards against starvation of a request by other classes or organisations,
// also if their runs take no time or their class is more urgent.
TEST(AdmissionPolicy, EachQueuedRequestStarts)
{
  CHECK(rc::check("each queued request starts after finitely many runs", [] {
    const int slots = *rc::gen::inRange(1, 12);
    const milliseconds runTime(*rc::gen::inRange(0, 3));
    RandomDriver driver(MakeFair(MixedSettings(), slots));
    const std::string waiter = *rc::gen::element<std::string>("a", "b", "c");
    const std::string className =
      *rc::gen::element<std::string>("nesting", "raster");
    int n = 1'000;
    auto flood = [&driver, &n] {
      for (const std::string& organisation : kOrganisationNames) {
        for (const std::string& name : kClassNames) {
          driver.Offer(MakeItem(++n, organisation, name));
        }
      }
    };
    for (int i = 0; i < 20; ++i) {
      flood();
    }
    const AdmissionItem item = MakeItem(1, waiter, className);
    bool started = driver.Offer(item) == AdmissionAction::kAdmit;
    for (int i = 0; i < 2'000 && !started; ++i) {
      const AdmissionGrant done = driver.Running().front();
      driver.Running().erase(driver.Running().begin());
      driver.Queue().ReleaseSlot(done, runTime, true);
      for (auto id = driver.Next(); id; id = driver.Next()) {
        started = started || *id == item.Request();
      }
      flood();
    }
    RC_ASSERT(started);
  }));
}

// Guards against a flood of one class that uses the minimum share of another
// class, for each urgency of the flooding class.
TEST(AdmissionPolicy, WaitingClassesReachTheirMinimumShare)
{
  CHECK(rc::check("waiting classes reach their minimum share", [] {
    const int slots = *rc::gen::inRange(10, 60);
    const std::string floodingClass =
      *rc::gen::element<std::string>("nesting", "proof", "raster", "kerf");
    RandomDriver driver(MakeFair(MixedSettings(), slots));
    int n = 0;
    for (int i = 0; i < 3 * slots; ++i) {
      driver.Offer(MakeItem(++n, "a", floodingClass));
    }
    for (const std::string& name : kClassNames) {
      for (int i = 0; i < 3 * slots; ++i) {
        driver.Offer(MakeItem(++n, "b", name));
      }
    }
    // The flood continues while its first runs finish.
    for (int i = 0; i < 3 * slots; ++i) {
      const AdmissionGrant done = driver.Running().front();
      driver.Running().erase(driver.Running().begin());
      driver.Queue().ReleaseSlot(done, milliseconds(50), true);
      while (driver.Next()) {
      }
      driver.Offer(MakeItem(++n, "a", floodingClass));
      for (const std::string& name : kClassNames) {
        for (const std::string& organisation : kOrganisationNames) {
          driver.Offer(MakeItem(++n, organisation, name));
        }
      }
    }
    const std::map<std::string, int> weights{
      { "kerf", 2 }, { "nesting", 3 }, { "proof", 4 }, { "raster", 1 }
    };
    for (const auto& [name, weight] : weights) {
      const auto inUse =
        std::count_if(driver.Running().begin(),
                      driver.Running().end(),
                      [&name = name](const auto& aGrant) {
                        return aGrant.Item().Class().Text() == name;
                      });
      RC_ASSERT(inUse >= slots * weight / 10);
    }
  }));
}

// Guards against queues with more requests than can start within the longest
// wait.
TEST(AdmissionPolicy, QueueIsBoundedByTheLongestWait)
{
  for (const AdmissionPolicy* policy : AllAdmissionPolicies()) {
    const auto queue = policy->MakeQueue(
      MakeSettings({ MakeClass("nesting", 1, 0, 1'000) }, { { "a", 1 } }));
    queue->SetSlots(2);
    int queued = 0;
    std::optional<AdmissionDecision> last;
    for (int i = 0; i < 100; ++i) {
      last = queue->Offer(MakeItem(i, "a", "nesting"), milliseconds(0));
      queued += last->Kind() == AdmissionAction::kQueue ? 1 : 0;
    }
    // A run is assumed to take 200 ms, so 2 slots serve 10 requests in 1 s.
    LONGS_EQUAL(10, queued);
    CHECK(last->Kind() == AdmissionAction::kReject);
    CHECK(last->Wait().count() > 0);
  }
}

// Guards against unbounded memory for the bodies of waiting requests.
TEST(AdmissionPolicy, QueueIsBoundedByBytes)
{
  for (const AdmissionPolicy* policy : AllAdmissionPolicies()) {
    const auto queue = policy->MakeQueue(
      MakeSettings({ MakeClass("nesting", 1, 0, kLongWait) }, { { "a", 1 } }));
    queue->SetSlots(1);
    std::size_t queuedBytes = 0;
    for (int i = 0; i < 100; ++i) {
      const AdmissionItem item(RequestId("r" + std::to_string(i)),
                               OrganisationId("a"),
                               ClassName("nesting"),
                               8U << 20U,
                               kNoDeadline);
      const auto decision = queue->Offer(item, milliseconds(0));
      queuedBytes +=
        decision.Kind() == AdmissionAction::kQueue ? item.Bytes() : 0;
    }
    CHECK(queuedBytes <= 64U << 20U);
    CHECK(queuedBytes > 0);
  }
}

// Guards against estimates that use the initial value after a run has
// completed, or the times of failed runs.
TEST(AdmissionPolicy, EstimatesUseOnlyCompletedRuns)
{
  const auto queue = MakeFair(
    MakeSettings({ MakeClass("nesting", 1, 0, 1'000) }, { { "a", 1 } }), 1);
  for (int i = 0; i < 40; ++i) {
    const auto decision =
      queue->Offer(MakeItem(i, "a", "nesting"), milliseconds(0));
    queue->ReleaseSlot(*decision.Grant(), milliseconds(2'000), true);
  }
  for (int i = 0; i < 40; ++i) {
    const auto decision =
      queue->Offer(MakeItem(i, "a", "nesting"), milliseconds(0));
    queue->ReleaseSlot(*decision.Grant(), milliseconds(1), false);
  }
  queue->Offer(MakeItem(1, "a", "nesting"), milliseconds(0));
  const auto decision =
    queue->Offer(MakeItem(2, "a", "nesting"), milliseconds(0));
  CHECK(decision.Kind() == AdmissionAction::kReject);
  LONGS_EQUAL(1'000, decision.Wait().count());
}

// Guards against requests of a small organisation that wait behind the queue of
// a large one.
TEST(AdmissionPolicy, SmallOrganisationDoesNotWaitForTheLargeOne)
{
  const auto queue =
    MakeFair(MakeSettings({ MakeClass("nesting", 1, 0, kLongWait) },
                          { { "large", 1 }, { "small", 1 } }),
             4);
  std::vector<AdmissionGrant> running;
  for (int i = 0; i < 500; ++i) {
    const auto decision =
      queue->Offer(MakeItem(i, "large", "nesting"), milliseconds(0));
    if (decision.Grant()) {
      running.push_back(*decision.Grant());
    }
  }
  const auto decision =
    queue->Offer(MakeItem(999, "small", "nesting"), milliseconds(0));
  CHECK(decision.Kind() == AdmissionAction::kQueue);
  CHECK(decision.Wait() <= milliseconds(100));
  queue->ReleaseSlot(running.front(), milliseconds(200), true);
  const auto next = queue->Next(milliseconds(200));
  STRCMP_EQUAL("small", next->Item().Organisation().Text().c_str());
}

// Guards against lost or doubly counted slots when the policy changes while
// requests run and wait.
TEST(AdmissionPolicy, ChangeOfPolicyKeepsRunningAndWaiting)
{
  const AdmissionSettings settings =
    MakeSettings({ MakeClass("nesting", 1, 0, kLongWait) }, { { "a", 1 } });
  for (const AdmissionPolicy* policy : AllAdmissionPolicies()) {
    const auto fifo = FindAdmissionPolicy("fifo")->MakeQueue(settings);
    fifo->SetSlots(1);
    const auto decision =
      fifo->Offer(MakeItem(1, "a", "nesting"), milliseconds(0));
    fifo->Offer(MakeItem(2, "a", "nesting"), milliseconds(0));
    const auto queue = policy->MakeQueue(settings);
    queue->SetSlots(1);
    queue->AddGrant(*decision.Grant());
    for (const AdmissionItem& item : fifo->RemoveWaiting()) {
      CHECK(queue->Offer(item, milliseconds(0)).Kind() ==
            AdmissionAction::kQueue);
    }
    LONGS_EQUAL(0, fifo->Waiting());
    CHECK_FALSE(queue->Next(milliseconds(0)).has_value());
    queue->ReleaseSlot(*decision.Grant(), milliseconds(5), true);
    CHECK(queue->Next(milliseconds(5)).has_value());
    LONGS_EQUAL(1, queue->Running());
  }
}

// Guards against admitting a request whose class is not in the settings.
TEST(AdmissionPolicy, UnknownClassThrows)
{
  for (const AdmissionPolicy* policy : AllAdmissionPolicies()) {
    const auto queue = policy->MakeQueue({});
    CHECK_THROWS(StateError,
                 queue->Offer(MakeItem(1, "a", "x"), milliseconds(0)));
  }
}

// Guards against an organisation that uses all slots of a class that cannot
// queue, so that requests of other organisations are rejected.
TEST(AdmissionPolicy, LargeOrganisationLeavesSlotsInAClassThatNeverQueues)
{
  const auto queue = MakeFair(MakeSettings({ MakeClass("proof", 1, 9, 0) },
                                           { { "large", 1 }, { "small", 1 } }),
                              8);
  for (int i = 0; i < 100; ++i) {
    queue->Offer(MakeItem(i, "large", "proof"), milliseconds(i));
  }
  const auto decision =
    queue->Offer(MakeItem(100, "small", "proof"), milliseconds(100));
  CHECK(decision.Kind() == AdmissionAction::kAdmit);
}
