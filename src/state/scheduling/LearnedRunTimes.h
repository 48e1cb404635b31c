#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_LEARNED_RUN_TIMES_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_LEARNED_RUN_TIMES_H

#include "cornelrudder/state/scheduling/RunTimePredictor.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace cornelrudder::state::scheduling {

/**
 * Regression of the logarithm of the run time on that of the estimate, with
 * exponentially decaying weights. The prior is the estimate itself.
 */
class RunTimeRegression
{
public:
  /** Distribution of the logarithm of a run time. */
  struct Prediction
  {
    double mLogMean = 0.0;
    /** Variances of the step's mean, and of tasks around it. */
    double mStepVariance = 0.0;
    double mTaskVariance = 0.0;

    auto operator<=>(const Prediction&) const = default;
  };

  /** @param aHasEstimates False if the estimates are no prior. */
  explicit RunTimeRegression(bool aHasEstimates)
    : mHasEstimates(aHasEstimates)
  {
  }

  /**
   * @param aLogEstimate Logarithm of the estimate in milliseconds.
   * @param aStepRuns Runs of the same step.
   */
  Prediction Predict(double aLogEstimate, const StepRunTimes& aStepRuns) const;

  /**
   * @param aWeight Weight of the run, at most 1.
   * @return The regression with another run.
   */
  RunTimeRegression With(double aLogEstimate,
                         double aLogTime,
                         double aWeight,
                         const StepRunTimes& aStepRuns) const;

  /** @return Weight of the runs, after decay. */
  double Runs() const { return mWeight; }

  auto operator<=>(const RunTimeRegression&) const = default;

private:
  bool mHasEstimates;
  double mWeight = 0.0;
  double mMeanEstimate = 0.0;
  /** Mean logarithm of the ratio of run time and estimate. */
  double mMeanRatio = 0.0;
  /** Sums of the squared deviations of estimates, and with run times. */
  double mEstimateSquares = 0.0;
  double mProducts = 0.0;
  /** Sum of the squared errors of the predictions, and within steps. */
  double mErrorSquares = 0.0;
  double mTaskWeight = 0.0;
  double mTaskSquares = 0.0;
};

/** Run times learned by queue, step, size of the tasks and step at work. */
class LearnedRunTimes : public RunTimePredictor
{
public:
  /** Limit of the number of keys; the least recently used one is removed. */
  static constexpr std::size_t kMaxKeys = 2'048;

  RunTimeEstimate Predict(const RunTimeFeatures& aFeatures) const override;

  StepRunTimes Observe(const RunTimeFeatures& aFeatures,
                       const RunObservation& aRun) const override;

  void Record(const RunTimeFeatures& aFeatures,
              const RunObservation& aRun) override;

  bool IsLearning() const override { return true; }

  RunTimeStatistics Statistics() const override
  {
    return { mModels.size(), mErrorPercent };
  }

private:
  /** Size class, position of the step, and whether there is an estimate. */
  struct Kind
  {
    int mSizeClass = 0;
    std::size_t mStep = 0;
    bool mHasEstimate = false;

    auto operator<=>(const Kind&) const = default;
  };

  struct Model
  {
    RunTimeRegression mRegression;
    std::uint64_t mUsedAt = 0;
  };

  using Key = std::pair<std::string, Kind>;
  using KeyView = std::pair<std::string_view, Kind>;

  struct KeyOrder
  {
    using is_transparent = void;

    template<class One, class Two>
    bool operator()(const One& aOne, const Two& aTwo) const
    {
      return KeyView(aOne) < KeyView(aTwo);
    }
  };

  static KeyView KeyOf(const RunTimeFeatures& aFeatures);
  RunTimeRegression::Prediction Distribution(
    const RunTimeFeatures& aFeatures) const;
  /** @return Logarithm of the run time that a run shows, or nothing. */
  std::optional<double> ShownTime(const RunTimeFeatures& aFeatures,
                                  const RunObservation& aRun) const;
  Model& FindOrAdd(const KeyView& aKey);

  std::map<Key, Model, KeyOrder> mModels;
  std::uint64_t mRecords = 0;
  double mErrorPercent = 0.0;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_LEARNED_RUN_TIMES_H
