#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_CRASH_RATE_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_CRASH_RATE_H

#include <chrono>
#include <compare>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** The crash of a worker without a run that is suspected of such crashes. */
struct WorkerCrash
{
  std::chrono::milliseconds mAt{ 0 };
  std::string mAddress;
  /** No run had just started on the worker. */
  bool mIsBackground = false;

  auto operator<=>(const WorkerCrash&) const = default;
};

/** The time of a run on a worker, up to the crash of the worker. */
struct CrashSpan
{
  std::chrono::milliseconds mStart{ 0 };
  std::chrono::milliseconds mEnd{ 0 };
  /** Address of the worker. */
  std::string mAddress;

  std::chrono::milliseconds Length() const { return mEnd - mStart; }

  auto operator<=>(const CrashSpan&) const = default;
};

/**
 * How often workers crash without a cause in their runs. Crashes soon after a
 * start may be caused by the run, so neither they nor the time after starts are
 * counted: tasks that crash their workers do not raise the rate.
 */
class CrashRate
{
public:
  using Millis = std::chrono::milliseconds;

  /** Time after a start in which a crash may be caused by the run. */
  static constexpr Millis kStartTime{ 250 };
  /**
   * Crashes of the same moment are noticed up to this long apart: when a
   * connection ends, or when a call times out.
   */
  static constexpr Millis kNoticeTime{ 50 };

  /**
   * Adds the time since the last call.
   * @param aWorkers Responsive workers with runs, none of them just started.
   * @param aFleet All workers.
   */
  void Observe(std::size_t aWorkers, std::size_t aFleet, Millis aNow);

  /** @return Whether Observe() is to be called; once a second is enough. */
  bool IsDue(Millis aNow) const;

  void AddCrash(const WorkerCrash& aCrash);

  /**
   * @param aPending Workers that became silent and may have crashed.
   * @return Expected number of crashes of a worker from other causes than a run
   *   during the run. The crash at the end of the span itself is not counted.
   */
  double ExpectedIn(const CrashSpan& aSpan,
                    const std::vector<WorkerCrash>& aPending) const;

  /** @return Whether the time of a span is still known. */
  bool Covers(const CrashSpan& aSpan, Millis aNow) const;

private:
  /** Time between two calls of Observe(). */
  struct Sample
  {
    Millis mAt;
    double mWorkerSeconds;
  };

  std::deque<Sample> mSamples;
  std::deque<WorkerCrash> mCrashes;
  Millis mObservedAt{ 0 };
  std::size_t mFleet = 1;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_CRASH_RATE_H
