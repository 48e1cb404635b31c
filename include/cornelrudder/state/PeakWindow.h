#ifndef CORNELRUDDER_STATE_PEAK_WINDOW_H
#define CORNELRUDDER_STATE_PEAK_WINDOW_H

#include <algorithm>
#include <chrono>

namespace cornelrudder::state {

/** Highest sample in the current and the previous time window. */
class PeakWindow
{
public:
  /**
   * Long enough to contain the peaks of a steady load; short enough to let
   * other classes soon use the slots of a class without demand.
   */
  static constexpr std::chrono::milliseconds kLength{ 30'000 };

  /** @param aInitial Peak assumed until it leaves the window. */
  explicit PeakWindow(int aInitial)
    : mPrevious(aInitial)
    , mCurrent(aInitial)
  {
  }

  /** @return The window after a sample. */
  PeakWindow WithSample(std::chrono::milliseconds aNow, int aSample) const
  {
    const std::chrono::milliseconds start = aNow - aNow % kLength;
    if (start == mStart || mStart < std::chrono::milliseconds(0)) {
      return { start, mPrevious, std::max(mCurrent, aSample) };
    }
    const int previous = mStart < start - kLength ? 0 : mCurrent;
    return { start, previous, aSample };
  }

  int Peak(std::chrono::milliseconds aNow) const
  {
    const std::chrono::milliseconds age = aNow - mStart;
    if (mStart < std::chrono::milliseconds(0)) {
      return mCurrent;
    }
    if (age >= 2 * kLength) {
      return 0;
    }
    return age >= kLength ? mCurrent : std::max(mPrevious, mCurrent);
  }

  auto operator<=>(const PeakWindow&) const = default;

private:
  PeakWindow(std::chrono::milliseconds aStart, int aPrevious, int aCurrent)
    : mStart(aStart)
    , mPrevious(aPrevious)
    , mCurrent(aCurrent)
  {
  }

  /** Negative until the first sample. */
  std::chrono::milliseconds mStart{ -1 };
  int mPrevious;
  int mCurrent;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PEAK_WINDOW_H
