#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_MEAN_RUN_TIMES_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_MEAN_RUN_TIMES_H

#include "cornelrudder/state/scheduling/RunTimePredictor.h"

#include <functional>
#include <map>
#include <string>

namespace cornelrudder::state::scheduling {

/**
 * Baseline: mean run times by queue. They correct the estimates of callers,
 * which are too inaccurate on their own.
 */
class MeanRunTimes : public RunTimePredictor
{
public:
  /**
   * @return The average of the estimate and the mean of the queue if both are
   *   known, else the known one.
   */
  RunTimeEstimate Predict(const RunTimeFeatures& aFeatures) const override;

  StepRunTimes Observe(const RunTimeFeatures& aFeatures,
                       const RunObservation& /*aRun*/) const override
  {
    return aFeatures.mStepRuns;
  }

  void Record(const RunTimeFeatures& aFeatures,
              const RunObservation& aRun) override;

  bool IsLearning() const override { return false; }

  RunTimeStatistics Statistics() const override { return { mMeans.size(), 0 }; }

private:
  std::map<std::string, double, std::less<>> mMeans;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_MEAN_RUN_TIMES_H
