#include "FleetLoad.h"

#include <algorithm>
#include <cmath>

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

constexpr std::size_t kOrganisations = 4;
/** Share of the accelerators that all guarantees cover together. */
constexpr double kGuaranteedShare = 0.62;
/** A late result still has value up to this multiple of the objective. */
constexpr int kExpiryObjectives = 3;
/** Simulated time after the last arrival in which the queues drain. */
constexpr milliseconds kDrainTime{ 40'000 };
/** Estimated run times are between 1/1.9 and 1.9 times the actual ones. */
constexpr double kEstimateError = 0.9;

class LoadRunner
{
public:
  explicit LoadRunner(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mModel({ aOptions.mWorkers,
               aOptions.mWorkersPerRack,
               Resources(32'000, 64'000, 8),
               0.0,
               0.0,
               aOptions.mSeed,
               aOptions.mPolicy,
               aOptions.mRunTimes })
  {
    for (std::size_t i = 0; i < mOptions.mWorkers; ++i) {
      mModel.SetSlowdown(
        i, 1.0 / (i % 4 == 0 ? mOptions.mSlowSpeed : mOptions.mUsualSpeed));
    }
    std::vector<CatalogOrganisation> organisations;
    for (std::size_t i = 0; i < kOrganisations; ++i) {
      organisations.push_back(
        { Organisation(i),
          {},
          static_cast<std::int64_t>(kGuaranteedShare *
                                    static_cast<double>(mOptions.mWorkers * 8) /
                                    kOrganisations) });
    }
    mModel.ApplyCatalog({ 1, 1, {}, organisations, {} });
  }

  LoadResult Run()
  {
    constexpr milliseconds kTick{ 20 };
    for (milliseconds t{ 0 }; t < mOptions.mDuration; t += kTick) {
      const bool isBurst = t >= mOptions.mBurstStart && t < mOptions.mBurstEnd;
      for (std::size_t i = 0; i < mOptions.mClasses.size(); ++i) {
        const LoadClass& jobClass = mOptions.mClasses[i];
        const double rate = jobClass.mJobsPerSecond * mOptions.mScale *
                            (isBurst ? jobClass.mBurstFactor : 1.0);
        if (Uniform() < rate * static_cast<double>(kTick.count()) / 1'000.0) {
          Submit(i);
        }
      }
      mModel.Run(kTick);
    }
    mModel.Run(kDrainTime);
    return Evaluate();
  }

private:
  struct Submitted
  {
    std::string mId;
    std::size_t mClass;
    milliseconds mObjective;
    double mValue;
    double mLateValue;
  };

  static std::string Organisation(std::size_t aIndex)
  {
    return "org" + std::to_string(aIndex);
  }

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
  }

  /**
   * @return A log-normal random number.
   * @param aMean Mean.
   * @param aDeviation Standard deviation relative to the mean.
   */
  double LogNormal(double aMean, double aDeviation)
  {
    const double variance = std::log(1.0 + aDeviation * aDeviation);
    std::normal_distribution<double> normal(std::log(aMean) - variance / 2.0,
                                            std::sqrt(variance));
    return std::exp(normal(mRandom));
  }

  void Submit(std::size_t aClass)
  {
    const LoadClass& jobClass = mOptions.mClasses[aClass];
    const milliseconds work(static_cast<std::int64_t>(LogNormal(
      static_cast<double>(jobClass.mWork.count()), jobClass.mWorkDeviation)));
    StepSpecValues step;
    step.mTasks = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(LogNormal(jobClass.mTasks, 0.8))),
      1,
      jobClass.mMaxTasks);
    step.mDemand = Resources(
      jobClass.mDemand.CpuMillis(),
      jobClass.mDemand.MemoryMb(),
      jobClass.mAccelerators.at(mRandom() % jobClass.mAccelerators.size()));
    const double error = 1.0 + kEstimateError * Uniform();
    step.mEstimatedRunTime = milliseconds(
      static_cast<std::int64_t>(static_cast<double>(work.count()) *
                                (mRandom() % 2 == 0 ? error : 1.0 / error)));
    step.mGang = Uniform() < jobClass.mGangShare;
    step.mSameRack = step.mGang && Uniform() < jobClass.mSameRackShare;
    step.mCheckpointing = Uniform() < jobClass.mCheckpointingShare;
    QueueSettings settings;
    settings.mQueue = jobClass.mName;
    settings.mService = "s";
    settings.mPriority = jobClass.mPriority;
    settings.mMaxAttempts = 2;
    settings.mSlackFactor = jobClass.mSlackFactor;
    settings.mTargetLatency = jobClass.mTargetLatency;
    // The first organisation submits 40 percent of the jobs.
    const std::size_t organisation =
      Uniform() < 0.4 ? 0 : 1 + mRandom() % (kOrganisations - 1);
    const std::string id = "j" + std::to_string(mJobs.size());
    mModel.Submit(TaskJob(id,
                          Organisation(organisation),
                          settings,
                          "",
                          { StepSpec(step, 0) },
                          {},
                          {}),
                  work);
    mJobs.push_back(
      { id,
        aClass,
        milliseconds(static_cast<std::int64_t>(
          static_cast<double>(work.count()) * jobClass.mSlackFactor)) +
          jobClass.mTargetLatency,
        RelativeValue(jobClass, step, work) * jobClass.mValue,
        RelativeValue(jobClass, step, work) * jobClass.mLateValue });
  }

  /**
   * @return Factor on the value of a job: grows with its work, from 0.3 to 4.
   */
  static double RelativeValue(const LoadClass& aClass,
                              const StepSpecValues& aStep,
                              milliseconds aWork)
  {
    double mean = 0.0;
    for (const std::int64_t n : aClass.mAccelerators) {
      mean += Resources(aClass.mDemand.CpuMillis(), 0, n).WeightedCores() /
              static_cast<double>(aClass.mAccelerators.size());
    }
    mean *= aClass.mTasks * static_cast<double>(aClass.mWork.count());
    const double work = aStep.mDemand.WeightedCores() *
                        static_cast<double>(aStep.mTasks) *
                        static_cast<double>(aWork.count());
    return std::min(4.0, 0.3 + 0.7 * work / mean);
  }

  LoadResult Evaluate()
  {
    LoadResult result;
    result.mClasses.resize(mOptions.mClasses.size());
    std::vector<milliseconds> total(mOptions.mClasses.size());
    for (const Submitted& job : mJobs) {
      ClassResult& jobClass = result.mClasses[job.mClass];
      const JobOutcome outcome = mModel.OutcomeOf(job.mId);
      ++jobClass.mJobs;
      jobClass.mTotalValue += job.mValue;
      if (outcome.mPhase != JobPhase::kDone) {
        ++jobClass.mNotDone;
        continue;
      }
      const milliseconds took = *outcome.mEndedAt - outcome.mSubmittedAt;
      total[job.mClass] += took;
      if (took <= job.mObjective) {
        ++jobClass.mInTime;
        jobClass.mEarnedValue += job.mValue;
      } else if (took <= kExpiryObjectives * job.mObjective) {
        ++jobClass.mLate;
        jobClass.mEarnedValue += job.mLateValue;
      }
    }
    for (std::size_t i = 0; i < result.mClasses.size(); ++i) {
      ClassResult& jobClass = result.mClasses[i];
      const std::size_t done = jobClass.mJobs - jobClass.mNotDone;
      jobClass.mMeanLatency =
        total[i] / static_cast<std::int64_t>(std::max<std::size_t>(1, done));
    }
    for (const SchedulerEvent& event : mModel.OwnerEvents()) {
      result.mPreemptions +=
        event.mKind == SchedulerEvent::Kind::kPreempted ? 1 : 0;
      result.mMovedRuns +=
        event.mKind == SchedulerEvent::Kind::kRunMoved ? 1 : 0;
    }
    result.mWasted = mModel.WastedWork();
    result.mViolations = mModel.Violations().size();
    return result;
  }

  LoadOptions mOptions;
  std::mt19937_64 mRandom;
  FleetModel mModel;
  std::vector<Submitted> mJobs;
};

} // namespace

double
LoadResult::EarnedShare() const
{
  double totalValue = 0.0;
  double earnedValue = 0.0;
  for (const ClassResult& it : mClasses) {
    totalValue += it.mTotalValue;
    earnedValue += it.mEarnedValue;
  }
  return totalValue > 0.0 ? earnedValue / totalValue : 1.0;
}

LoadOptions
AtticaLoad()
{
  LoadOptions options;
  options.mClasses = {
    { "nesting",
      1,
      0.63,
      milliseconds(8'500),
      0.3,
      5.0,
      30,
      Resources(13'000, 19'000, 0),
      { 1, 2, 4, 8, 8 },
      1.0,
      0.6,
      0.45,
      3.0,
      milliseconds(1'000),
      3.0,
      0.9,
      1.0 },
    { "proof",
      0,
      1.91,
      milliseconds(2'500),
      0.5,
      3.4,
      21,
      Resources(3'700, 9'800, 0),
      { 1, 2, 4, 8, 8 },
      1.0,
      0.8,
      0.0,
      1.5,
      milliseconds(300),
      4.0,
      0.8,
      2.2 },
    { "kerf",
      2,
      0.59,
      milliseconds(7'600),
      0.3,
      16.0,
      94,
      Resources(2'800, 7'400, 0),
      { 1, 1, 1, 1, 1 },
      0.0,
      0.0,
      0.45,
      3.0,
      milliseconds(3'000),
      1.0,
      0.3,
      2.2 },
  };
  return options;
}

LoadOptions
BrittanyLoad()
{
  LoadOptions options = AtticaLoad();
  options.mWorkersPerRack = 6;
  options.mClasses[0].mJobsPerSecond = 0.86;
  options.mClasses[0].mTasks = 4.0;
  options.mClasses[1].mJobsPerSecond = 3.0;
  options.mClasses[1].mTasks = 2.8;
  options.mClasses[2].mJobsPerSecond = 0.68;
  options.mClasses[2].mWork = milliseconds(9'500);
  options.mClasses[2].mTasks = 12.0;
  return options;
}

LoadOptions
GrownAtticaLoad()
{
  LoadOptions options = AtticaLoad();
  options.mWorkers = 350;
  options.mWorkersPerRack = 20;
  options.mClasses[0].mJobsPerSecond = 2.07;
  options.mClasses[0].mTasks = 13.0;
  options.mClasses[0].mMaxTasks = 78;
  options.mClasses[1].mJobsPerSecond = 8.81;
  options.mClasses[1].mTasks = 5.4;
  options.mClasses[1].mMaxTasks = 32;
  options.mClasses[2].mJobsPerSecond = 2.04;
  options.mClasses[2].mTasks = 51.0;
  options.mClasses[2].mMaxTasks = 230;
  return options;
}

LoadOptions
UnevenLoad(std::size_t aWorkers)
{
  constexpr double kWorkers = 350.0;
  LoadOptions options = GrownAtticaLoad();
  options.mWorkers = aWorkers;
  options.mScale = static_cast<double>(aWorkers) / kWorkers;
  options.mSlowSpeed = 0.55;
  options.mUsualSpeed = 1.2;
  options.mClasses[0].mWork = milliseconds(10'000);
  options.mClasses[1].mWork = milliseconds(2'000);
  options.mClasses[1].mTasks = 5.0;
  options.mClasses[1].mTargetLatency = milliseconds(250);
  options.mClasses[2].mWork = milliseconds(8'000);
  options.mClasses[2].mTasks = 39.0;
  options.mClasses[2].mBurstFactor = 2.6;
  return options;
}

LoadResult
RunLoad(const LoadOptions& aOptions)
{
  return LoadRunner(aOptions).Run();
}

} // namespace cornelrudder::tests
