// Simulates seeded arrivals in virtual time with the decision code of admission
// and routing, and prints a table that compares the baseline with the current
// policies.
// Usage: admission_benchmark [SEEDS]

#include "cornelrudder/state/AdmissionPolicy.h"
#include "cornelrudder/state/RequestRetry.h"
#include "cornelrudder/state/RunnerTable.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

constexpr int kRunners = 48;
constexpr int kSlotsPerRunner = 8;

/** By then the policy's estimate of the demand is stable. */
constexpr double kDisturbanceStartMs = 62'000;
constexpr double kMeasureStartMs = 65'000;
constexpr double kEndMs = 95'000;

/** Calm load of a class, as a fraction of its minimum share. */
constexpr double kCalmLoad = 0.5;
constexpr double kFloodFactor = 50;

struct ClassModel
{
  std::string mName;
  int mWeight;
  int mUrgency;
  int mMaxWaitMs;
  bool mIdempotent;
  double mMeanMs;
};

struct Deployment
{
  std::string mName;
  int mZones;
  std::vector<ClassModel> mClasses;
  std::size_t mLeastUrgent;
  std::size_t mMostUrgent;
};

const std::vector<Deployment> kDeployments{
  { "Attica",
    3,
    { { "proof", 3, 9, 0, true, 300 },
      { "kerf", 2, 7, 0, false, 150 },
      { "nesting", 3, 0, 60'000, true, 2'000 } },
    2,
    0 },
  { "Brittany",
    4,
    { { "proof", 2, 9, 0, true, 300 },
      { "colour", 2, 6, 2'000, true, 200 },
      { "raster", 3, 4, 10'000, true, 800 },
      { "thumbs", 2, 1, 60'000, true, 1'000 } },
    3,
    0 },
};

const std::vector<std::string> kOrganisations{ "org-a",
                                               "org-b",
                                               "org-c",
                                               "org-d" };
const std::vector<double> kCalmFractions{ 0.5, 0.3, 0.15, 0.05 };

struct Arrival
{
  double mTime = 0;
  std::size_t mClass = 0;
  std::size_t mOrganisation = 0;
  int mRunMs = 1;
  /** Whether the request belongs to the disturbance, not to the calm load. */
  bool mIsDisturbance = false;
};

/** Policies of one column of the table. */
struct Variant
{
  std::string mAdmission;
  std::string mRouting;
  bool mQuarantine;
};

const Variant kBaseline{ "fifo", "first_free", false };
const Variant kCurrent{ "fair", "own_zone", true };

class Arrivals
{
public:
  Arrivals(const Deployment& aDeployment, unsigned aSeed)
    : mDeployment(aDeployment)
    , mSeed(aSeed)
  {
  }

  /** Adds a Poisson stream; each stream has its own generator. */
  void Add(std::size_t aClass,
           std::size_t aOrganisation,
           double aPerMs,
           double aStartMs,
           bool aIsDisturbance)
  {
    std::seed_seq seed{ mSeed,
                        static_cast<unsigned>(aClass),
                        static_cast<unsigned>(aOrganisation),
                        aIsDisturbance ? 1U : 0U };
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(aPerMs);
    constexpr double kSigma = 0.5;
    const double mean = mDeployment.mClasses[aClass].mMeanMs;
    std::lognormal_distribution<double> run(
      std::log(mean) - kSigma * kSigma / 2, kSigma);
    for (double t = aStartMs + gap(random); t < kEndMs; t += gap(random)) {
      const int runMs = std::max(1, static_cast<int>(std::lround(run(random))));
      mArrivals.push_back({ t, aClass, aOrganisation, runMs, aIsDisturbance });
    }
  }

  double CalmRate(std::size_t aClass) const
  {
    int total = 0;
    for (const ClassModel& model : mDeployment.mClasses) {
      total += model.mWeight;
    }
    const ClassModel& model = mDeployment.mClasses[aClass];
    return kCalmLoad * kRunners * kSlotsPerRunner * model.mWeight / total /
           model.mMeanMs;
  }

  void AddCalm(std::size_t aClass)
  {
    for (std::size_t org = 0; org < kOrganisations.size(); ++org) {
      Add(aClass, org, CalmRate(aClass) * kCalmFractions[org], 0, false);
    }
  }

  void AddCalm()
  {
    for (std::size_t i = 0; i < mDeployment.mClasses.size(); ++i) {
      AddCalm(i);
    }
  }

  std::vector<Arrival> Sorted() const
  {
    std::vector<Arrival> arrivals = mArrivals;
    std::sort(arrivals.begin(),
              arrivals.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.mTime < aRight.mTime;
              });
    return arrivals;
  }

private:
  const Deployment& mDeployment;
  unsigned mSeed;
  std::vector<Arrival> mArrivals;
};

/** Measurements of the requests of one class and organisation. */
struct GroupResult
{
  std::size_t mOffered = 0;
  std::size_t mAnswered = 0;
  std::vector<double> mLatencies;
  double mCostMs = 0;

  double P99()
  {
    if (mLatencies.empty()) {
      return 0;
    }
    const auto n = static_cast<long>(mLatencies.size() * 99 / 100);
    std::nth_element(
      mLatencies.begin(), mLatencies.begin() + n, mLatencies.end());
    return mLatencies[static_cast<std::size_t>(n)];
  }
};

/** Results by class and organisation, for calm load and disturbance. */
struct Result
{
  std::map<std::pair<std::size_t, std::size_t>, GroupResult> mCalm;
  std::map<std::pair<std::size_t, std::size_t>, GroupResult> mDisturbance;
  std::vector<float> mDecisionNs;

  GroupResult CalmOfClass(std::size_t aClass) const
  {
    GroupResult sum;
    for (const auto& [key, group] : mCalm) {
      if (key.first == aClass) {
        sum.mOffered += group.mOffered;
        sum.mAnswered += group.mAnswered;
        sum.mLatencies.insert(sum.mLatencies.end(),
                              group.mLatencies.begin(),
                              group.mLatencies.end());
      }
    }
    return sum;
  }
};

class Simulation
{
public:
  Simulation(const Deployment& aDeployment,
             const Variant& aVariant,
             std::vector<Arrival> aArrivals,
             int aFailingRunners,
             const std::vector<int>& aWeights)
    : mDeployment(aDeployment)
    , mVariant(aVariant)
    , mArrivals(std::move(aArrivals))
    , mAttempts(mArrivals.size())
    , mFailingRunners(aFailingRunners)
    , mSelector(*FindRunnerSelector(aVariant.mRouting))
    , mTable(VmId("e1"), kSlotsPerRunner)
    , mQueue(FindAdmissionPolicy(aVariant.mAdmission)
               ->MakeQueue(MakeSettings(aDeployment, aWeights)))
  {
    std::vector<Vm> vms;
    for (int i = 0; i < kRunners; ++i) {
      vms.emplace_back(
        VmId("runner-" + std::to_string(100 + i)),
        VmRole::kRunner,
        "127.0.0.1:" + std::to_string(100 + i),
        VmLocation(RegionId("r"),
                   ZoneId("zone-" + std::to_string(i % aDeployment.mZones)),
                   RackId("k")),
        0,
        VmState::kLive);
    }
    mTable.Apply(VmList(std::move(vms)));
    for (const ClassModel& model : aDeployment.mClasses) {
      mClassNames.emplace_back(model.mName);
    }
    for (const std::string& name : kOrganisations) {
      mOrganisationIds.emplace_back(name);
    }
  }

  Result Run()
  {
    std::size_t next = 0;
    while (next < mArrivals.size() || !mEvents.empty()) {
      const bool arrives =
        next < mArrivals.size() &&
        (mEvents.empty() || mArrivals[next].mTime <= mEvents.top().mTime);
      mNow = arrives ? mArrivals[next].mTime : mEvents.top().mTime;
      if (mNow > kEndMs) {
        break;
      }
      if (mNow - mLastExpiry >= kExpiryMs) {
        mLastExpiry = mNow;
        mQueue->Expire(Now());
      }
      if (arrives) {
        HandleArrival(next++);
      } else {
        const Event event = mEvents.top();
        mEvents.pop();
        HandleCompletion(event);
      }
    }
    return std::move(mResult);
  }

private:
  static constexpr double kExpiryMs = 100;

  struct Event
  {
    double mTime;
    std::size_t mArrival;
    bool operator<(const Event& aOther) const { return mTime > aOther.mTime; }
  };

  struct Attempt
  {
    std::optional<AdmissionGrant> mGrant;
    std::vector<VmId> mTried;
    double mStarted = 0;
    bool mFails = false;
  };

  using SteadyClock = std::chrono::steady_clock;

  static AdmissionSettings MakeSettings(const Deployment& aDeployment,
                                        const std::vector<int>& aWeights)
  {
    AdmissionSettings::Classes classes;
    for (const ClassModel& model : aDeployment.mClasses) {
      JobClass jobClass(
        SettingsDocument("classes/" + model.mName,
                         1,
                         { { "idempotent", model.mIdempotent },
                           { "weight", std::int64_t{ model.mWeight } },
                           { "urgency", std::int64_t{ model.mUrgency } },
                           { "max_wait_ms", std::int64_t{ model.mMaxWaitMs } },
                           { "timeout_ms", std::int64_t{ 30'000 } } },
                         {}));
      ClassName name = jobClass.Name();
      classes.emplace(std::move(name), std::move(jobClass));
    }
    AdmissionSettings::Weights weights;
    for (std::size_t i = 0; i < kOrganisations.size(); ++i) {
      weights.emplace(OrganisationId(kOrganisations[i]), aWeights[i]);
    }
    return { std::move(classes), std::move(weights) };
  }

  milliseconds Now() const
  {
    return milliseconds(static_cast<std::int64_t>(mNow));
  }

  GroupResult& GroupOf(const Arrival& aArrival)
  {
    auto& groups =
      aArrival.mIsDisturbance ? mResult.mDisturbance : mResult.mCalm;
    return groups[{ aArrival.mClass, aArrival.mOrganisation }];
  }

  void HandleArrival(std::size_t aIndex)
  {
    const Arrival& arrival = mArrivals[aIndex];
    if (mNow >= kMeasureStartMs) {
      ++GroupOf(arrival).mOffered;
    }
    const AdmissionItem item(RequestId("n" + std::to_string(aIndex)),
                             mOrganisationIds[arrival.mOrganisation],
                             mClassNames[arrival.mClass],
                             1'000,
                             milliseconds(1'000'000'000));
    const auto before = SteadyClock::now();
    mQueue->SetSlots(mQueue->Running() + mTable.FreeSlots());
    const AdmissionDecision decision = mQueue->Offer(item, Now());
    if (decision.Grant()) {
      StartRequest(aIndex, *decision.Grant());
    }
    RecordDecisionTime(before);
  }

  void StartRequest(std::size_t aIndex, const AdmissionGrant& aGrant)
  {
    mAttempts[aIndex].mGrant = aGrant;
    mAttempts[aIndex].mStarted = mNow;
    mBudget = mBudget.WithFirstAttempt();
    if (!Dispatch(aIndex)) {
      std::abort();
    }
  }

  bool Dispatch(std::size_t aIndex)
  {
    const Arrival& arrival = mArrivals[aIndex];
    Attempt& attempt = mAttempts[aIndex];
    const auto chosen =
      mTable.Choose(mSelector,
                    mOwnZone,
                    attempt.mTried,
                    mDeployment.mClasses[arrival.mClass].mIdempotent,
                    Now());
    if (!chosen) {
      return false;
    }
    mTable.AcquireSlot(*chosen, Now());
    attempt.mTried.push_back(mTable.At(*chosen).Name());
    attempt.mFails = mNow >= kDisturbanceStartMs &&
                     *chosen < static_cast<std::size_t>(mFailingRunners);
    mEvents.push({ mNow + (attempt.mFails ? 1 : arrival.mRunMs), aIndex });
    return true;
  }

  void HandleCompletion(const Event& aEvent)
  {
    const Arrival& arrival = mArrivals[aEvent.mArrival];
    Attempt& attempt = mAttempts[aEvent.mArrival];
    const RunnerStatus status =
      attempt.mFails ? RunnerStatus::kFailed : RunnerStatus::kAnswered;
    const ClassName& className = mClassNames[arrival.mClass];
    // The clock starts after the lookups of simulation records, whose cache
    // misses a daemon would not have: it keeps a few hundred records only.
    const auto before = SteadyClock::now();
    mTable.ReleaseSlot(attempt.mTried.back(),
                       className,
                       RunnerResult(status, false, ""),
                       mVariant.mQuarantine,
                       Now());
    const RetryDecision decision =
      DecideRetry(status,
                  mDeployment.mClasses[arrival.mClass].mIdempotent,
                  mBudget,
                  milliseconds(1'000));
    if (decision == RetryDecision::kRetry && Dispatch(aEvent.mArrival)) {
      mBudget = mBudget.WithRetry();
      RecordDecisionTime(before);
      return;
    }
    const double heldMs = mNow - attempt.mStarted;
    mQueue->ReleaseSlot(
      *attempt.mGrant, milliseconds(std::lround(heldMs)), !attempt.mFails);
    mQueue->SetSlots(mQueue->Running() + mTable.FreeSlots());
    while (const auto grant = mQueue->Next(Now())) {
      StartRequest(std::stoul(grant->Item().Request().Text().substr(1)),
                   *grant);
    }
    RecordDecisionTime(before);
    RecordResult(arrival, attempt.mFails, heldMs);
  }

  void RecordResult(const Arrival& aArrival, bool aFailed, double aHeldMs)
  {
    if (mNow < kMeasureStartMs) {
      return;
    }
    GroupResult& group = GroupOf(aArrival);
    group.mCostMs += aHeldMs;
    if (!aFailed) {
      ++group.mAnswered;
      group.mLatencies.push_back(mNow - aArrival.mTime);
    }
  }

  void RecordDecisionTime(SteadyClock::time_point aBefore)
  {
    const std::chrono::duration<float, std::nano> ns =
      SteadyClock::now() - aBefore;
    mResult.mDecisionNs.push_back(ns.count());
  }

  const Deployment& mDeployment;
  Variant mVariant;
  std::vector<Arrival> mArrivals;
  std::vector<Attempt> mAttempts;
  int mFailingRunners;
  const RunnerSelector& mSelector;
  RunnerTable mTable;
  std::unique_ptr<AdmissionQueue> mQueue;
  ZoneId mOwnZone{ "zone-0" };
  std::vector<ClassName> mClassNames;
  std::vector<OrganisationId> mOrganisationIds;
  RequestRetryBudget mBudget;
  std::priority_queue<Event> mEvents;
  double mNow = 0;
  double mLastExpiry = 0;
  Result mResult;
};

const std::vector<int> kEqualWeights{ 1, 1, 1, 1 };

Result
Simulate(const Deployment& aDeployment,
         const Variant& aVariant,
         const Arrivals& aArrivals,
         int aFailingRunners = 0,
         const std::vector<int>& aWeights = kEqualWeights)
{
  return Simulation(
           aDeployment, aVariant, aArrivals.Sorted(), aFailingRunners, aWeights)
    .Run();
}

using Measures = std::map<std::string, double>;

void
MeasureFlood(const Deployment& aDeployment,
             const Variant& aVariant,
             unsigned aSeed,
             std::size_t aFlooding,
             const std::string& aLabel,
             Measures& aMeasures)
{
  Arrivals arrivals(aDeployment, aSeed);
  arrivals.AddCalm();
  const Result calm = Simulate(aDeployment, aVariant, arrivals);
  arrivals.Add(aFlooding,
               0,
               arrivals.CalmRate(aFlooding) * (kFloodFactor - 1),
               kDisturbanceStartMs,
               true);
  const Result flood = Simulate(aDeployment, aVariant, arrivals);
  for (std::size_t i = 0; i < aDeployment.mClasses.size(); ++i) {
    if (i == aFlooding) {
      continue;
    }
    GroupResult before = calm.CalmOfClass(i);
    GroupResult after = flood.CalmOfClass(i);
    const std::string name = aLabel + ": " + aDeployment.mClasses[i].mName;
    aMeasures[name + " throughput / calm"] =
      static_cast<double>(after.mAnswered) /
      static_cast<double>(before.mAnswered);
    aMeasures[name + " p99 / calm"] = after.P99() / before.P99();
  }
}

/** One organisation sends 100 times the load of each of the others. */
void
MeasureLargeCaller(const Deployment& aDeployment,
                   const Variant& aVariant,
                   unsigned aSeed,
                   std::size_t aClass,
                   Measures& aMeasures)
{
  Arrivals arrivals(aDeployment, aSeed);
  for (std::size_t i = 0; i < aDeployment.mClasses.size(); ++i) {
    if (i != aClass) {
      arrivals.AddCalm(i);
    }
  }
  const double small = arrivals.CalmRate(aClass) * 0.1;
  for (std::size_t org = 1; org < kOrganisations.size(); ++org) {
    arrivals.Add(aClass, org, small, 0, false);
  }
  const Result alone = Simulate(aDeployment, aVariant, arrivals);
  arrivals.Add(aClass, 0, small * 100, kDisturbanceStartMs, true);
  const Result beside = Simulate(aDeployment, aVariant, arrivals);
  GroupResult before = alone.CalmOfClass(aClass);
  GroupResult after = beside.CalmOfClass(aClass);
  const std::string name =
    "100x caller in " + aDeployment.mClasses[aClass].mName + ": small callers";
  aMeasures[name + " throughput / alone"] =
    static_cast<double>(after.mAnswered) /
    static_cast<double>(before.mAnswered);
  aMeasures[name + " p99 / alone"] = after.P99() / before.P99();
}

/** All organisations exceed their shares, by different factors. */
void
MeasureFairness(const Deployment& aDeployment,
                const Variant& aVariant,
                unsigned aSeed,
                Measures& aMeasures)
{
  const std::vector<int> weights{ 1, 2, 1, 4 };
  const std::vector<double> demands{ 20, 10, 4, 8 };
  const std::size_t jobClass = aDeployment.mLeastUrgent;
  Arrivals arrivals(aDeployment, aSeed);
  for (std::size_t i = 0; i < aDeployment.mClasses.size(); ++i) {
    if (i != jobClass) {
      arrivals.AddCalm(i);
    }
  }
  for (std::size_t org = 0; org < kOrganisations.size(); ++org) {
    arrivals.Add(
      jobClass, org, arrivals.CalmRate(jobClass) * demands[org], 0, true);
  }
  const Result result = Simulate(aDeployment, aVariant, arrivals, 0, weights);
  double sum = 0;
  double squares = 0;
  for (std::size_t org = 0; org < kOrganisations.size(); ++org) {
    const auto it = result.mDisturbance.find({ jobClass, org });
    const double share =
      it != result.mDisturbance.end() ? it->second.mCostMs / weights[org] : 0;
    sum += share;
    squares += share * share;
  }
  aMeasures["Jain's index of weighted shares"] =
    sum * sum / (static_cast<double>(kOrganisations.size()) * squares);
}

/** Four runners fail every request after 1 ms. */
void
MeasureFailures(const Deployment& aDeployment,
                const Variant& aVariant,
                unsigned aSeed,
                Measures& aMeasures)
{
  Arrivals arrivals(aDeployment, aSeed);
  arrivals.AddCalm();
  const Result result = Simulate(aDeployment, aVariant, arrivals, 4);
  double offered = 0;
  double answered = 0;
  for (const auto& [key, group] : result.mCalm) {
    offered += static_cast<double>(group.mOffered);
    answered += static_cast<double>(group.mAnswered);
  }
  aMeasures["4 failing runners: answered / offered"] = answered / offered;
}

void
MeasureDecisions(const Deployment& aDeployment,
                 const Variant& aVariant,
                 unsigned aSeed,
                 Measures& aMeasures)
{
  Arrivals arrivals(aDeployment, aSeed);
  arrivals.AddCalm();
  arrivals.Add(aDeployment.mLeastUrgent,
               0,
               arrivals.CalmRate(aDeployment.mLeastUrgent) * kFloodFactor,
               kDisturbanceStartMs,
               true);
  Result result = Simulate(aDeployment, aVariant, arrivals);
  auto& ns = result.mDecisionNs;
  const auto percentile = [&ns](double aFraction) {
    const auto n =
      static_cast<long>(static_cast<double>(ns.size()) * aFraction);
    std::nth_element(ns.begin(), ns.begin() + n, ns.end());
    return static_cast<double>(ns[static_cast<std::size_t>(n)]) / 1'000;
  };
  aMeasures["decision p50, us"] = percentile(0.5);
  aMeasures["decision p99, us"] = percentile(0.99);
}

Measures
MeasureAll(const Deployment& aDeployment,
           const Variant& aVariant,
           unsigned aSeed)
{
  Measures measures;
  MeasureFlood(aDeployment,
               aVariant,
               aSeed,
               aDeployment.mLeastUrgent,
               "least urgent x50",
               measures);
  MeasureFlood(aDeployment,
               aVariant,
               aSeed,
               aDeployment.mMostUrgent,
               "most urgent x50",
               measures);
  MeasureLargeCaller(
    aDeployment, aVariant, aSeed, aDeployment.mLeastUrgent, measures);
  MeasureLargeCaller(
    aDeployment, aVariant, aSeed, aDeployment.mMostUrgent, measures);
  MeasureFairness(aDeployment, aVariant, aSeed, measures);
  MeasureFailures(aDeployment, aVariant, aSeed, measures);
  MeasureDecisions(aDeployment, aVariant, aSeed, measures);
  return measures;
}

/** @return "median (minimum to maximum)" of a measure over the seeds. */
std::string
FormatSpread(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  const std::size_t n = aValues.size();
  const double median = (aValues[(n - 1) / 2] + aValues[n / 2]) / 2;
  std::array<char, 64> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f (%.3f to %.3f)",
                median,
                aValues.front(),
                aValues.back());
  return text.data();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 10;
  std::printf("| deployment | measure | fifo | fair |\n|---|---|---|---|\n");
  for (const Deployment& deployment : kDeployments) {
    std::map<std::string, std::vector<double>> baseline;
    std::map<std::string, std::vector<double>> current;
    for (int seed = 1; seed <= seeds; ++seed) {
      const auto n = static_cast<unsigned>(seed);
      for (const auto& [name, value] : MeasureAll(deployment, kBaseline, n)) {
        baseline[name].push_back(value);
      }
      for (const auto& [name, value] : MeasureAll(deployment, kCurrent, n)) {
        current[name].push_back(value);
      }
    }
    for (const auto& [name, values] : current) {
      std::printf("| %s | %s | %s | %s |\n",
                  deployment.mName.c_str(),
                  name.c_str(),
                  FormatSpread(baseline[name]).c_str(),
                  FormatSpread(values).c_str());
    }
  }
  return 0;
}
