#ifndef CORNELRUDDER_STATE_SCHEDULING_RUN_TIME_PREDICTOR_H
#define CORNELRUDDER_STATE_SCHEDULING_RUN_TIME_PREDICTOR_H

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

/**
 * @file
 * Expected run times of tasks on a worker of usual speed, from the estimates of
 * callers and from runs.
 */

namespace cornelrudder::state::scheduling {

/** Runs of one step: mean logarithm of their run times in milliseconds. */
struct StepRunTimes
{
  double mWeight = 0.0;
  double mLogMean = 0.0;

  /** @return The mean with another run of a weight. */
  StepRunTimes With(double aLogTime, double aWeight) const
  {
    const double sum = mWeight + aWeight;
    return { sum, mLogMean + (aLogTime - mLogMean) * aWeight / sum };
  }

  auto operator<=>(const StepRunTimes&) const = default;
};

/** What is known of a task before it runs. */
struct RunTimeFeatures
{
  std::string_view mQueue;
  /** Accelerators of the task. */
  std::int64_t mAccelerators = 0;
  /** Position of the step in its job. */
  std::size_t mStep = 0;
  /** Number of tasks of the step; they do the same kind of work. */
  std::size_t mTasks = 1;
  /** The estimate of the caller; 0 if there is none. */
  std::chrono::milliseconds mEstimate{ 0 };
  StepRunTimes mStepRuns;

  auto operator<=>(const RunTimeFeatures&) const = default;
};

/** What an expected run time is based on. */
enum class RunTimeBasis
{
  kNone,
  kEstimate,
  kQueue,
  kStep
};

/** @return Name of a basis, for the log. */
const char*
RunTimeBasisName(RunTimeBasis aBasis);

/** Expected run time of a task. */
struct RunTimeEstimate
{
  /** Median; 0 if nothing is known. */
  std::chrono::milliseconds mExpected{ 0 };
  /** Quantile of 90 percent. */
  std::chrono::milliseconds mHigh{ 0 };
  /** Weight of the runs behind it. */
  double mRuns = 0.0;
  RunTimeBasis mBasis = RunTimeBasis::kNone;
  /** Variances of the logarithm: of the step's mean, and of tasks around it. */
  double mStepVariance = 0.0;
  double mTaskVariance = 0.0;

  auto operator<=>(const RunTimeEstimate&) const = default;
};

/** A run that has ended or is at work. */
struct RunObservation
{
  std::chrono::milliseconds mTime{ 0 };
  /** Speed of its worker; of the slowest one for a gang. */
  double mSpeed = 1.0;
  /** The end of the work was not seen: its run time exceeds mTime. */
  bool mIsCensored = false;

  auto operator<=>(const RunObservation&) const = default;
};

/** Accuracy and size of a predictor, for metrics. */
struct RunTimeStatistics
{
  std::size_t mKeys = 0;
  /** Mean absolute error of recent expectations, in percent of the run time. */
  double mErrorPercent = 0.0;

  auto operator<=>(const RunTimeStatistics&) const = default;
};

/** Predicts run times and learns from ended runs. */
class RunTimePredictor
{
public:
  virtual ~RunTimePredictor() = default;

  virtual RunTimeEstimate Predict(const RunTimeFeatures& aFeatures) const = 0;

  /** @return Runs of the step with another one, which may be at work. */
  virtual StepRunTimes Observe(const RunTimeFeatures& aFeatures,
                               const RunObservation& aRun) const = 0;

  /** Learns from a run that has ended. */
  virtual void Record(const RunTimeFeatures& aFeatures,
                      const RunObservation& aRun) = 0;

  /** @return Whether decisions consider spread, steps and worker speeds. */
  virtual bool IsLearning() const = 0;

  virtual RunTimeStatistics Statistics() const = 0;
};

/** Entry in the table of predictors. */
struct RunTimePredictorInfo
{
  std::string_view mName;
  std::string_view mDescription;
  std::unique_ptr<RunTimePredictor> (*mFactory)();
};

/** @return All predictors; the first is the default. */
std::span<const RunTimePredictorInfo>
AllRunTimePredictors();

/**
 * @param aName Empty for the default.
 * @throws StateError if no predictor has the name.
 */
std::unique_ptr<RunTimePredictor>
MakeRunTimePredictor(std::string_view aName);

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_RUN_TIME_PREDICTOR_H
