#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_RUN_TIMES_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_RUN_TIMES_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace cornelrudder::state::scheduling {

/**
 * Mean run times by queue. They correct the estimates of callers, which are too
 * inaccurate on their own.
 */
class RunTimes
{
public:
  /** Adds the duration of a run that completed its task without checkpoints. */
  void Record(const std::string& aQueue, std::chrono::milliseconds aTime);

  /**
   * @param aEstimate The estimate of the caller; 0 if there is none.
   * @return Expected run time: the average of the estimate and the mean of the
   *   queue if both are known, else the known one; 0 if neither is known.
   */
  std::chrono::milliseconds ExpectedRunTime(
    const std::string& aQueue,
    std::chrono::milliseconds aEstimate) const;

  /** @return Mean run time of a queue; 0 before its first completed run. */
  std::chrono::milliseconds Mean(const std::string& aQueue) const;

private:
  std::map<std::string, double> mMeans;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_RUN_TIMES_H
