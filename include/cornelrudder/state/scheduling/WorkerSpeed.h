#ifndef CORNELRUDDER_STATE_SCHEDULING_WORKER_SPEED_H
#define CORNELRUDDER_STATE_SCHEDULING_WORKER_SPEED_H

#include <compare>

namespace cornelrudder::state::scheduling {

/**
 * Estimated speed of one incarnation of a worker, relative to the usual speed.
 * The logarithm of the speed has a normal distribution, which starts at the
 * usual speed and follows the runs of the worker.
 */
class WorkerSpeed
{
public:
  /** @return Speed relative to the usual one, between 1/4 and 4. */
  double Factor() const;

  /** @return Logarithm of the speed, not limited. */
  double LogFactor() const { return mLogMean; }

  /**
   * @param aLogRatio Logarithm of the observed speed of a run.
   * @param aVariance Variance of that logarithm, from the uncertainty of the
   *   expectation.
   * @return The estimate after the run. An outlier counts as three standard
   *   deviations.
   */
  WorkerSpeed With(double aLogRatio, double aVariance) const;

  auto operator<=>(const WorkerSpeed&) const = default;

private:
  /** Variance of the logarithms of the speeds of unknown workers. */
  static constexpr double kPriorVariance = 0.12;

  double mLogMean = 0.0;
  double mVariance = kPriorVariance;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_WORKER_SPEED_H
