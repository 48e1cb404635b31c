#ifndef CORNELRUDDER_TESTS_FLEET_PAIR_CHECKER_H
#define CORNELRUDDER_TESTS_FLEET_PAIR_CHECKER_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** Identifies a run of a task on a worker. */
struct RunId
{
  std::string mTask;
  std::uint64_t mRun = 0;
  std::string mWorker;

  auto operator<=>(const RunId&) const = default;
};

/**
 * Finds pairs of runs of one task: two at the same time, and a start after an
 * end "done" that an owner records. The text of a pair names the orders of both
 * runs. Times are milliseconds of the wall clock.
 */
class PairChecker
{
public:
  /** Records that the order of a run has arrived, whether it passes or not. */
  void RecordOrder(const RunId& aId, std::uint64_t aNowMs);

  /**
   * @param aEpoch Epoch of the order.
   * @param aGate Gate of the daemon that sent it.
   * @return The pairs that the start makes.
   */
  std::vector<std::string> RecordStart(const RunId& aId,
                                       std::uint64_t aEpoch,
                                       std::size_t aGate,
                                       std::uint64_t aNowMs);

  /** Records the end of a run; runs that the worker does not have are ignored.
   */
  void RecordEnd(const RunId& aId, std::uint64_t aNowMs);

  /**
   * Records that an owner has recorded the end "done" before the lease expired.
   * @return The pair of this run and the last one that was started after it.
   */
  std::vector<std::string> RecordAcknowledged(const RunId& aId);

private:
  struct Run
  {
    RunId mId;
    std::uint64_t mEpoch;
    std::size_t mGate;
    std::uint64_t mOrderedMs;
    std::uint64_t mStartedMs;
    /** 0 while the run goes on. */
    std::uint64_t mEndedMs = 0;
    /** Number of runs of the task that were started before the end. */
    std::size_t mStartsBeforeEnd = 0;
    bool mIsRecorded = false;
  };

  Run* Find(const RunId& aId);
  static std::string Describe(const Run& aFirst,
                              const Run& aSecond,
                              const char* aRelation);

  /** By task, in the order of their starts. */
  std::map<std::string, std::vector<Run>> mRuns;
  std::map<RunId, std::uint64_t> mOrders;
};

/** @return Seconds with three decimals. */
std::string
FormatSeconds(std::uint64_t aMilliseconds);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_PAIR_CHECKER_H
