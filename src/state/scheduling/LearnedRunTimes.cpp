#include "LearnedRunTimes.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cornelrudder::state::scheduling {

namespace {

/** Number of steps after which the weight of a run has decayed to 1/e. */
constexpr double kMemory = 30.0;
/** Weights of the priors of offset, slope and variances, in runs. */
constexpr double kOffsetRuns = 2.0;
constexpr double kSlopeRuns = 4.0;
constexpr double kVarianceRuns = 3.0;
/**
 * Prior variances of the logarithms: of the errors of estimates, and of the
 * tasks of a step.
 */
constexpr double kErrorVariance = 0.15;
constexpr double kTaskVariance = 0.04;
/** Variances are not assumed to be smaller; run times are rounded. */
constexpr double kMinVariance = 1e-3;
/** Outliers are limited to this multiple of the standard deviation. */
constexpr double kMaxDeviations = 3.0;
/** Weight of a run whose end was not seen. */
constexpr double kCensoredWeight = 0.5;
/** Standard normal quantile of 90 percent. */
constexpr double kHighQuantile = 1.2816;
/** Weight of a run in the mean error. */
constexpr double kErrorWeight = 0.02;
/** Largest share of an expectation's error that the mean error counts. */
constexpr double kMaxErrorPercent = 1'000.0;
/** Largest logarithm of a run time in milliseconds, about 34 years. */
constexpr double kMaxLogTime = 27.7;

double
LogOf(std::chrono::milliseconds aTime)
{
  return std::log(
    static_cast<double>(std::max<std::int64_t>(1, aTime.count())));
}

std::chrono::milliseconds
TimeOf(double aLogTime)
{
  return std::chrono::milliseconds(
    std::llround(std::exp(std::min(aLogTime, kMaxLogTime))));
}

double
WeightOf(const RunObservation& aRun)
{
  return aRun.mIsCensored ? kCensoredWeight : 1.0;
}

/** @return Mean of a normal distribution above a lower limit. */
double
MeanAbove(double aMean, double aDeviation, double aLimit)
{
  const double z = (aLimit - aMean) / aDeviation;
  const double tail = 0.5 * std::erfc(z / std::sqrt(2.0));
  constexpr double kMinTail = 1e-6;
  if (tail < kMinTail) {
    return aLimit;
  }
  const double density = std::exp(-0.5 * z * z) / std::sqrt(2.0 * M_PI);
  return aMean + aDeviation * density / tail;
}

} // namespace

RunTimeRegression::Prediction
RunTimeRegression::Predict(double aLogEstimate,
                           const StepRunTimes& aStepRuns) const
{
  const double error = (mErrorSquares + kVarianceRuns * kErrorVariance) /
                       (mWeight + kVarianceRuns);
  const double task = std::max(kMinVariance,
                               (mTaskSquares + kVarianceRuns * kTaskVariance) /
                                 (mTaskWeight + kVarianceRuns));
  const double slope = (mProducts + kSlopeRuns * kErrorVariance) /
                       (mEstimateSquares + kSlopeRuns * kErrorVariance);
  const double offsetRuns = mHasEstimates ? kOffsetRuns : 0.0;
  const double offset =
    mWeight > 0.0 ? mMeanRatio * mWeight / (mWeight + offsetRuns) : 0.0;
  const double center = mWeight > 0.0 ? mMeanEstimate : aLogEstimate;
  const double mean = center + offset + slope * (aLogEstimate - center);
  const double step = std::max(kMinVariance, error - task);
  const bool isOnlyStepKnown = !mHasEstimates && mWeight <= 0.0;
  const double gain =
    aStepRuns.mWeight > 0.0 && isOnlyStepKnown
      ? 1.0
      : aStepRuns.mWeight * step / (aStepRuns.mWeight * step + task);
  return { mean + gain * (aStepRuns.mLogMean - mean),
           step * (1.0 - gain),
           task };
}

RunTimeRegression
RunTimeRegression::With(double aLogEstimate,
                        double aLogTime,
                        double aWeight,
                        const StepRunTimes& aStepRuns) const
{
  const Prediction prior = Predict(aLogEstimate, {});
  const double limit =
    kMaxDeviations * std::sqrt(prior.mStepVariance + prior.mTaskVariance);
  const bool isFirst = !mHasEstimates && mWeight <= 0.0;
  const double shown =
    isFirst
      ? aLogTime
      : std::clamp(aLogTime, prior.mLogMean - limit, prior.mLogMean + limit);
  const double error = isFirst ? 0.0 : shown - prior.mLogMean;
  const double ratio = shown - aLogEstimate;
  const double decay = std::exp(-aWeight / kMemory);
  RunTimeRegression next = *this;
  next.mWeight = mWeight * decay + aWeight;
  const double share = aWeight / next.mWeight;
  const double estimateDeviation = aLogEstimate - mMeanEstimate;
  const double timeDeviation = estimateDeviation + ratio - mMeanRatio;
  next.mMeanEstimate += share * estimateDeviation;
  next.mMeanRatio += share * (ratio - mMeanRatio);
  // Weighted covariance around the moving means (West's algorithm).
  const double factor = aWeight * (1.0 - share);
  next.mEstimateSquares =
    mEstimateSquares * decay + factor * estimateDeviation * estimateDeviation;
  next.mProducts =
    mProducts * decay + factor * estimateDeviation * timeDeviation;
  next.mErrorSquares = mErrorSquares * decay + aWeight * error * error;
  if (aStepRuns.mWeight > 0.0) {
    const double n = aStepRuns.mWeight;
    const double bound = kMaxDeviations * std::sqrt(prior.mTaskVariance);
    const double deviation =
      std::clamp(aLogTime - aStepRuns.mLogMean, -bound, bound);
    next.mTaskWeight = mTaskWeight * decay + aWeight;
    // The mean of n runs deviates, too.
    next.mTaskSquares =
      mTaskSquares * decay + aWeight * deviation * deviation * n / (n + 1.0);
  }
  return next;
}

LearnedRunTimes::KeyView
LearnedRunTimes::KeyOf(const RunTimeFeatures& aFeatures)
{
  const auto accelerators = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, aFeatures.mAccelerators));
  return { aFeatures.mQueue,
           { static_cast<int>(std::bit_width(accelerators)),
             aFeatures.mStep,
             aFeatures.mEstimate.count() > 0 } };
}

RunTimeRegression::Prediction
LearnedRunTimes::Distribution(const RunTimeFeatures& aFeatures) const
{
  const auto it = mModels.find(KeyOf(aFeatures));
  const RunTimeRegression regression =
    it != mModels.end() ? it->second.mRegression
                        : RunTimeRegression(aFeatures.mEstimate.count() > 0);
  return regression.Predict(LogOf(aFeatures.mEstimate), aFeatures.mStepRuns);
}

RunTimeEstimate
LearnedRunTimes::Predict(const RunTimeFeatures& aFeatures) const
{
  const auto it = mModels.find(KeyOf(aFeatures));
  const double runs = it != mModels.end() ? it->second.mRegression.Runs() : 0.0;
  const bool hasStep = aFeatures.mStepRuns.mWeight > 0.0;
  const bool hasEstimate = aFeatures.mEstimate.count() > 0;
  if (runs <= 0.0 && !hasStep && !hasEstimate) {
    return {};
  }
  const RunTimeRegression::Prediction prediction = Distribution(aFeatures);
  const double deviation =
    std::sqrt(prediction.mStepVariance + prediction.mTaskVariance);
  const RunTimeBasis basis = hasStep      ? RunTimeBasis::kStep
                             : runs > 0.0 ? RunTimeBasis::kQueue
                                          : RunTimeBasis::kEstimate;
  return { TimeOf(prediction.mLogMean),
           TimeOf(prediction.mLogMean + kHighQuantile * deviation),
           hasStep ? aFeatures.mStepRuns.mWeight : runs,
           basis,
           prediction.mStepVariance,
           prediction.mTaskVariance };
}

LearnedRunTimes::Model&
LearnedRunTimes::FindOrAdd(const KeyView& aKey)
{
  auto it = mModels.find(aKey);
  if (it == mModels.end()) {
    if (mModels.size() >= kMaxKeys) {
      mModels.erase(std::min_element(
        mModels.begin(), mModels.end(), [](const auto& aOne, const auto& aTwo) {
          return aOne.second.mUsedAt < aTwo.second.mUsedAt;
        }));
    }
    it = mModels
           .emplace(Key(std::string(aKey.first), aKey.second),
                    Model{ RunTimeRegression(aKey.second.mHasEstimate) })
           .first;
  }
  it->second.mUsedAt = ++mRecords;
  return it->second;
}

std::optional<double>
LearnedRunTimes::ShownTime(const RunTimeFeatures& aFeatures,
                           const RunObservation& aRun) const
{
  const double logTime = LogOf(aRun.mTime) + std::log(aRun.mSpeed);
  if (!aRun.mIsCensored) {
    return logTime;
  }
  const RunTimeRegression::Prediction prior = Distribution(aFeatures);
  if (Predict(aFeatures).mBasis == RunTimeBasis::kNone ||
      logTime <= prior.mLogMean) {
    return std::nullopt;
  }
  return MeanAbove(prior.mLogMean,
                   std::sqrt(prior.mStepVariance + prior.mTaskVariance),
                   logTime);
}

StepRunTimes
LearnedRunTimes::Observe(const RunTimeFeatures& aFeatures,
                         const RunObservation& aRun) const
{
  const std::optional<double> shown = ShownTime(aFeatures, aRun);
  return shown ? aFeatures.mStepRuns.With(*shown, WeightOf(aRun))
               : aFeatures.mStepRuns;
}

void
LearnedRunTimes::Record(const RunTimeFeatures& aFeatures,
                        const RunObservation& aRun)
{
  const std::optional<double> shown = ShownTime(aFeatures, aRun);
  if (!shown) {
    return;
  }
  if (!aRun.mIsCensored && Predict(aFeatures).mBasis != RunTimeBasis::kNone) {
    const double error =
      100.0 * std::abs(std::exp(Distribution(aFeatures).mLogMean - *shown) - 1);
    mErrorPercent +=
      kErrorWeight * (std::min(error, kMaxErrorPercent) - mErrorPercent);
  }
  Model& model = FindOrAdd(KeyOf(aFeatures));
  // The tasks of a step share the error of the estimate: together they count as
  // one run.
  model.mRegression = model.mRegression.With(
    LogOf(aFeatures.mEstimate),
    *shown,
    WeightOf(aRun) /
      static_cast<double>(std::max<std::size_t>(1, aFeatures.mTasks)),
    aFeatures.mStepRuns);
}

} // namespace cornelrudder::state::scheduling
