#include "cornelrudder/state/scheduling/RunTimePredictor.h"

#include "LearnedRunTimes.h"
#include "MeanRunTimes.h"
#include "cornelrudder/state/StateError.h"

#include <array>
#include <string>

namespace cornelrudder::state::scheduling {

namespace {

constexpr std::array kPredictors{
  RunTimePredictorInfo{
    "mean",
    "baseline: average of the estimate and the mean of the queue",
    []() -> std::unique_ptr<RunTimePredictor> {
      return std::make_unique<MeanRunTimes>();
    } },
  RunTimePredictorInfo{
    "learned",
    "from the estimate, similar runs and the finished tasks of the step",
    []() -> std::unique_ptr<RunTimePredictor> {
      return std::make_unique<LearnedRunTimes>();
    } },
};

} // namespace

const char*
RunTimeBasisName(RunTimeBasis aBasis)
{
  static constexpr std::array kNames{ "none", "estimate", "queue", "step" };
  return kNames.at(static_cast<std::size_t>(aBasis));
}

std::span<const RunTimePredictorInfo>
AllRunTimePredictors()
{
  return kPredictors;
}

std::unique_ptr<RunTimePredictor>
MakeRunTimePredictor(std::string_view aName)
{
  if (aName.empty()) {
    return kPredictors.front().mFactory();
  }
  for (const RunTimePredictorInfo& predictor : kPredictors) {
    if (predictor.mName == aName) {
      return predictor.mFactory();
    }
  }
  throw StateError("unknown run time predictor \"" + std::string(aName) +
                   "\"; allowed are \"learned\" and \"mean\"");
}

} // namespace cornelrudder::state::scheduling
