#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_RUN_TIMES_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_RUN_TIMES_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace cornelrudder::state::scheduling {

/** Learns run times by queue, since callers' estimates are far off. */
class RunTimes
{
public:
  /** Takes in the time of a whole run that was done. */
  void Learn(const std::string& aQueue, std::chrono::milliseconds aTime);

  /**
   * @param aEstimate The caller's estimate; 0 if there is none.
   * @return The expected run time: halfway between estimate and experience.
   */
  std::chrono::milliseconds Expect(const std::string& aQueue,
                                   std::chrono::milliseconds aEstimate) const;

  /** @return The mean run time of a queue; 0 before any run was done. */
  std::chrono::milliseconds Mean(const std::string& aQueue) const;

private:
  std::map<std::string, double> mMeans;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_RUN_TIMES_H
