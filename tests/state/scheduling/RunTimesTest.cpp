#include "FleetLoad.h"
#include "cornelrudder/state/StateError.h"
#include "cornelrudder/state/scheduling/RunTimePredictor.h"
#include "cornelrudder/state/scheduling/WorkerSpeed.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace cornelrudder::state;
using namespace cornelrudder::state::scheduling;
using namespace cornelrudder::tests;
using std::chrono::milliseconds;

namespace {

/** Estimates are off by a factor between 1/1.9 and 1.9. */
constexpr double kEstimateError = 0.9;

/** Draws run times and their estimates. */
class Draws
{
public:
  explicit Draws(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
  }

  /** @return A log-normal time. */
  milliseconds Time(milliseconds aMedian, double aDeviation)
  {
    std::normal_distribution<double> normal(0.0, aDeviation);
    return Scaled(aMedian, std::exp(normal(mRandom)));
  }

  milliseconds EstimateOf(milliseconds aTime)
  {
    const double error = 1.0 + kEstimateError * Uniform();
    return Scaled(aTime, Uniform() < 0.5 ? error : 1.0 / error);
  }

  static milliseconds Scaled(milliseconds aTime, double aFactor)
  {
    return milliseconds(
      std::llround(static_cast<double>(aTime.count()) * aFactor));
  }

private:
  std::mt19937_64 mRandom;
};

RunTimeFeatures
Features(milliseconds aEstimate, StepRunTimes aStepRuns = {})
{
  return { "q", 1, 0, 1, aEstimate, aStepRuns };
}

double
ErrorOf(milliseconds aExpected, milliseconds aTime)
{
  return std::abs(std::log(static_cast<double>(aExpected.count()) /
                           static_cast<double>(aTime.count())));
}

/**
 * Feeds a predictor with runs and estimates that are wrong by 0.9 either way.
 * @return Mean logarithmic error of the expectations of the last half.
 */
double
MeanError(const char* aPredictor, double aDeviation, std::uint64_t aSeed)
{
  constexpr int kRuns = 400;
  const auto predictor = MakeRunTimePredictor(aPredictor);
  Draws draws(aSeed);
  double error = 0.0;
  for (int i = 0; i < kRuns; ++i) {
    const milliseconds time = draws.Time(milliseconds(8'000), aDeviation);
    const RunTimeFeatures features = Features(draws.EstimateOf(time));
    if (i >= kRuns / 2) {
      error += ErrorOf(predictor->Predict(features).mExpected, time);
    }
    predictor->Record(features, { time, 1.0, false });
  }
  return 2.0 * error / kRuns;
}

StepSpecValues
Step(std::size_t aTasks, std::int64_t aAccelerators, milliseconds aEstimate)
{
  StepSpecValues values;
  values.mTasks = aTasks;
  values.mDemand = Resources(1'000, 1'000, aAccelerators);
  values.mEstimatedRunTime = aEstimate;
  return values;
}

/** Four workers of which the first two take twice the usual time. */
FleetModelOptions
FourWorkers(const char* aRunTimes)
{
  FleetModelOptions options;
  options.mWorkers = 4;
  options.mWorkersPerRack = 1;
  options.mRunTimes = aRunTimes;
  return options;
}

void
SlowDownHalf(FleetModel& aModel)
{
  aModel.SetSlowdown(0, 2.0);
  aModel.SetSlowdown(1, 2.0);
}

/** Runs six steps that fill the fleet; their estimates are right. */
void
FillFleet(FleetModel& aModel, const std::string& aPrefix)
{
  constexpr milliseconds kTime{ 2'000 };
  for (int i = 0; i < 6; ++i) {
    aModel.Submit(MakeJob(aPrefix + std::to_string(i), Step(32, 1, kTime), 1),
                  kTime);
    aModel.Run(milliseconds(6'000));
  }
}

/** @return Time from the submission to the end of an urgent job of 4 tasks. */
milliseconds
UrgentLatency(FleetModel& aModel, const std::string& aId)
{
  constexpr milliseconds kTime{ 2'000 };
  aModel.Submit(MakeJob(aId, Step(4, 1, kTime), 0), kTime);
  aModel.Run(milliseconds(10'000));
  const JobOutcome outcome = aModel.OutcomeOf(aId);
  CHECK(outcome.mEndedAt.has_value());
  return outcome.mEndedAt.value_or(aModel.Now()) - outcome.mSubmittedAt;
}

void
CheckNoViolation(const FleetModel& aModel)
{
  for (const std::string& violation : aModel.Violations()) {
    FAIL(violation.c_str());
  }
}

} // namespace

TEST_GROUP(RunTimesTest){};

TEST(RunTimesTest, SelectsPredictorsByName)
{
  CHECK_FALSE(MakeRunTimePredictor("")->IsLearning());
  CHECK(MakeRunTimePredictor("learned")->IsLearning());
  CHECK_FALSE(MakeRunTimePredictor("mean")->IsLearning());
  CHECK_THROWS(StateError, MakeRunTimePredictor("median"));
}

TEST(RunTimesTest, ExpectsTheEstimateWithoutRuns)
{
  for (const RunTimePredictorInfo& info : AllRunTimePredictors()) {
    const auto predictor = info.mFactory();
    const RunTimeEstimate estimate =
      predictor->Predict(Features(milliseconds(4'000)));
    CHECK(estimate.mExpected == milliseconds(4'000));
    CHECK(estimate.mBasis == RunTimeBasis::kEstimate);
    CHECK(predictor->Predict(Features(milliseconds(0))).mBasis ==
          RunTimeBasis::kNone);
  }
}

TEST(RunTimesTest, BaselineAveragesEstimateAndMean)
{
  const auto predictor = MakeRunTimePredictor("mean");
  const RunTimeFeatures features = Features(milliseconds(4'000));
  predictor->Record(features, { milliseconds(2'000), 1.0, false });
  CHECK(predictor->Predict(features).mExpected == milliseconds(3'000));
  predictor->Record(features, { milliseconds(4'000), 1.0, false });
  CHECK(predictor->Predict(features).mExpected == milliseconds(3'050));
  CHECK(predictor->Predict(Features(milliseconds(0))).mExpected ==
        milliseconds(2'100));
  // Neither censored runs nor speeds change it.
  predictor->Record(features, { milliseconds(90'000), 1.0, true });
  CHECK(predictor->Predict(features).mExpected == milliseconds(3'050));
}

TEST(RunTimesTest, ConvergesWithWrongEstimates)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U, 4U, 5U }) {
    for (const double deviation : { 0.1, 0.3, 0.6 }) {
      const double learned = MeanError("learned", deviation, seed);
      // The absolute error of the estimates alone has a mean of 0.35.
      CHECK(learned < 0.35);
      CHECK(learned < MeanError("mean", deviation, seed));
    }
  }
}

TEST(RunTimesTest, QuantileCoversNineTenths)
{
  constexpr int kRuns = 2'000;
  const auto predictor = MakeRunTimePredictor("learned");
  Draws draws(7);
  int covered = 0;
  for (int i = 0; i < kRuns; ++i) {
    const milliseconds time = draws.Time(milliseconds(8'000), 0.4);
    const RunTimeFeatures features = Features(draws.EstimateOf(time));
    covered += time <= predictor->Predict(features).mHigh ? 1 : 0;
    predictor->Record(features, { time, 1.0, false });
  }
  CHECK(covered > kRuns * 85 / 100);
  CHECK(covered < kRuns * 95 / 100);
}

TEST(RunTimesTest, FollowsDrift)
{
  const auto predictor = MakeRunTimePredictor("learned");
  Draws draws(3);
  const auto record = [&](milliseconds aMedian, int aRuns) {
    for (int i = 0; i < aRuns; ++i) {
      predictor->Record(Features(milliseconds(5'000)),
                        { draws.Time(aMedian, 0.2), 1.0, false });
    }
    return predictor->Predict(Features(milliseconds(5'000))).mExpected;
  };
  CHECK(ErrorOf(record(milliseconds(5'000), 100), milliseconds(5'000)) < 0.15);
  CHECK(ErrorOf(record(milliseconds(15'000), 100), milliseconds(15'000)) < 0.2);
  CHECK(ErrorOf(record(milliseconds(2'000), 100), milliseconds(2'000)) < 0.2);
}

TEST(RunTimesTest, LimitsOutliers)
{
  const auto predictor = MakeRunTimePredictor("learned");
  Draws draws(4);
  for (int i = 0; i < 200; ++i) {
    const bool isOutlier = i % 20 == 19;
    predictor->Record(Features(milliseconds(5'000)),
                      { isOutlier ? milliseconds(500'000)
                                  : draws.Time(milliseconds(5'000), 0.2),
                        1.0,
                        false });
  }
  const milliseconds expected =
    predictor->Predict(Features(milliseconds(5'000))).mExpected;
  CHECK(ErrorOf(expected, milliseconds(5'000)) < 0.25);
}

TEST(RunTimesTest, FinishedTasksOutweighTheEstimate)
{
  const auto predictor = MakeRunTimePredictor("learned");
  RunTimeFeatures features{ "q", 1, 0, 20, milliseconds(15'200), {} };
  double error =
    ErrorOf(predictor->Predict(features).mExpected, milliseconds(8'000));
  for (int i = 0; i < 8; ++i) {
    features.mStepRuns = predictor->Observe(
      features, { milliseconds(8'000 + 100 * (i % 3)), 1.0, false });
    const RunTimeEstimate estimate = predictor->Predict(features);
    CHECK(estimate.mBasis == RunTimeBasis::kStep);
    const double next = ErrorOf(estimate.mExpected, milliseconds(8'000));
    CHECK(next < error);
    error = next;
  }
  CHECK(error < 0.1);
}

TEST(RunTimesTest, CensoredRunsRaiseTheExpectation)
{
  const auto predictor = MakeRunTimePredictor("learned");
  const RunTimeFeatures features = Features(milliseconds(4'000));
  predictor->Record(features, { milliseconds(3'000), 1.0, true });
  CHECK(predictor->Predict(features).mExpected == milliseconds(4'000));
  predictor->Record(features, { milliseconds(6'000), 1.0, true });
  CHECK(predictor->Predict(features).mExpected > milliseconds(4'000));
}

TEST(RunTimesTest, LearnsWithoutEstimates)
{
  const auto predictor = MakeRunTimePredictor("learned");
  for (int i = 0; i < 3; ++i) {
    predictor->Record({ "q", 1, 0, 10, milliseconds(0), {} },
                      { milliseconds(7'000), 1.0, false });
  }
  const milliseconds expected =
    predictor->Predict(Features(milliseconds(0))).mExpected;
  CHECK(ErrorOf(expected, milliseconds(7'000)) < 0.01);
}

TEST(RunTimesTest, BoundsTheNumberOfKeys)
{
  const auto predictor = MakeRunTimePredictor("learned");
  constexpr std::size_t kMaxKeys = 2'048;
  for (std::size_t i = 0; i < kMaxKeys + 100; ++i) {
    const std::string queue = "q" + std::to_string(i);
    predictor->Record({ queue, 1, 0, 1, milliseconds(1'000), {} },
                      { milliseconds(2'000), 1.0, false });
  }
  CHECK(predictor->Statistics().mKeys == kMaxKeys);
  // The oldest ones are forgotten, the others are not.
  CHECK(predictor->Predict({ "q0", 1, 0, 1, milliseconds(1'000), {} }).mBasis ==
        RunTimeBasis::kEstimate);
  CHECK(
    predictor->Predict({ "q200", 1, 0, 1, milliseconds(1'000), {} }).mBasis ==
    RunTimeBasis::kQueue);
}

TEST(RunTimesTest, LearnsTheSpeedOfAWorker)
{
  Draws draws(5);
  WorkerSpeed speed;
  CHECK(speed.Factor() == 1.0);
  for (int i = 0; i < 30; ++i) {
    const double noise = 0.2 * (draws.Uniform() - 0.5);
    speed = speed.With(std::log(0.5) + noise, 0.1);
  }
  CHECK(speed.Factor() > 0.45);
  CHECK(speed.Factor() < 0.57);
  const double before = speed.Factor();
  speed = speed.With(std::log(0.001), 0.1);
  CHECK(speed.Factor() > 0.8 * before);
}

// Load: full fleet of uneven workers, then an urgent job on the empty fleet.
TEST(RunTimesTest, UrgentWorkGoesToFastWorkers)
{
  FleetModel model(FourWorkers("learned"));
  SlowDownHalf(model);
  FillFleet(model, "fill");
  const milliseconds learned = UrgentLatency(model, "urgent");
  CheckNoViolation(model);
  FleetModel baseline(FourWorkers("mean"));
  SlowDownHalf(baseline);
  FillFleet(baseline, "fill");
  const milliseconds mean = UrgentLatency(baseline, "urgent");
  CheckNoViolation(baseline);
  CHECK(learned < milliseconds(3'000));
  CHECK(learned < mean);
}

// Load: the same, but the slow workers restart at the usual speed, and the
// other ones become slow without a restart.
TEST(RunTimesTest, SpeedIsForgottenWithTheIncarnation)
{
  FleetModel model(FourWorkers("learned"));
  SlowDownHalf(model);
  FillFleet(model, "before");
  for (const std::size_t i : { 0U, 1U }) {
    model.CrashWorker(i);
    model.SetSlowdown(i, 1.0);
    model.SetSlowdown(i + 2, 2.0);
  }
  model.Run(milliseconds(10'000));
  FillFleet(model, "after");
  CHECK(UrgentLatency(model, "urgent") < milliseconds(3'000));
  CheckNoViolation(model);
}

// Load: steps of one task for each place; one worker does a third of the usual
// work, which is below the share at which a run counts as slow.
TEST(RunTimesTest, KnownSlowWorkerKeepsItsRuns)
{
  const auto count = [](const char* aRunTimes, milliseconds& aTotal) {
    FleetModel model(FourWorkers(aRunTimes));
    model.SetSlowdown(0, 2.8);
    std::size_t moved = 0;
    aTotal = milliseconds(0);
    for (int i = 0; i < 10; ++i) {
      const std::string id = "j" + std::to_string(i);
      model.Submit(MakeJob(id, Step(32, 1, milliseconds(4'000)), 1),
                   milliseconds(4'000));
      model.Run(milliseconds(16'000));
      const JobOutcome outcome = model.OutcomeOf(id);
      CHECK(outcome.mEndedAt.has_value());
      aTotal += outcome.mEndedAt.value_or(model.Now()) - outcome.mSubmittedAt;
    }
    CheckNoViolation(model);
    for (const SchedulerEvent& event : model.OwnerEvents()) {
      moved += event.mKind == SchedulerEvent::Kind::kRunMoved ? 1 : 0;
    }
    return moved;
  };
  milliseconds learnedTime{ 0 };
  milliseconds meanTime{ 0 };
  const std::size_t learned = count("learned", learnedTime);
  const std::size_t mean = count("mean", meanTime);
  CHECK(learned <= mean);
  CHECK(learnedTime <= meanTime + milliseconds(1'000));
}
