#ifndef CORNELRUDDER_STATE_SCHEDULING_CRASH_EVIDENCE_H
#define CORNELRUDDER_STATE_SCHEDULING_CRASH_EVIDENCE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelrudder::state::scheduling {

/**
 * Crashes of workers under runs of a task, and for each of them how many
 * crashes of other causes were to be expected during the run. Workers crash
 * without a cause in their runs, so a number of crashes alone proves nothing; a
 * task that crashes its workers does so when a crash of other causes was
 * unlikely.
 */
class CrashEvidence
{
public:
  /** Number of crashes whose expectations are kept: the lowest ones. */
  static constexpr std::size_t kMaxKept = 8;
  /** Limit of the crashes, and of one expectation in millionths. */
  static constexpr int kMaxCrashes = 1'000'000;
  static constexpr std::int64_t kMaxExpected = 1'000'000'000;

  CrashEvidence() = default;

  /**
   * @param aCrashes Number of crashes; raised to the length of aExpected.
   * @param aExpected Expected crashes of other causes during the runs with the
   *   lowest expectations, in millionths; the lowest kMaxKept are kept.
   */
  CrashEvidence(int aCrashes, std::vector<std::int64_t> aExpected);

  int Crashes() const { return mCrashes; }
  /** @return See the constructor; in ascending order. */
  const std::vector<std::int64_t>& Expected() const { return mExpected; }

  /** @return The evidence with one more crash. */
  CrashEvidence With(std::int64_t aExpected) const;

  /** @return The evidence with a corrected expectation of one crash. */
  CrashEvidence WithReplaced(std::int64_t aExpected,
                             std::int64_t aCorrected) const;

  /**
   * Some of the crashes may have other causes even if the task crashes its
   * workers, so every number of crashes with the lowest expectations is tested.
   * @param aMinCrashes Lowest number of crashes that is tested, 1 or more.
   * @return Probability that other causes alone crash the workers of a healthy
   *   task so soon, 0 to 1; 1 with fewer crashes.
   */
  double Chance(int aMinCrashes) const;

  auto operator<=>(const CrashEvidence&) const = default;

private:
  int mCrashes = 0;
  std::vector<std::int64_t> mExpected;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_CRASH_EVIDENCE_H
