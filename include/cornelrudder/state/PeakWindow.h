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
   * Default length: long enough to contain the peaks of a steady load; short
   * enough to let other classes soon use the slots of a class without demand.
   */
  static constexpr std::chrono::milliseconds kLength{ 30'000 };

  /**
   * @param aInitial Peak assumed until it leaves the window.
   * @param aLength Length of one window.
   */
  explicit PeakWindow(int aInitial, std::chrono::milliseconds aLength = kLength)
    : mLength(aLength)
    , mPrevious(aInitial)
    , mCurrent(aInitial)
  {
  }

  /** @return The window after a sample. */
  PeakWindow WithSample(std::chrono::milliseconds aNow, int aSample) const
  {
    PeakWindow window = *this;
    window.mStart = aNow - aNow % mLength;
    if (window.mStart == mStart || mStart < std::chrono::milliseconds(0)) {
      window.mCurrent = std::max(mCurrent, aSample);
      return window;
    }
    window.mPrevious = mStart < window.mStart - mLength ? 0 : mCurrent;
    window.mCurrent = aSample;
    return window;
  }

  int Peak(std::chrono::milliseconds aNow) const
  {
    const std::chrono::milliseconds age = aNow - mStart;
    if (mStart < std::chrono::milliseconds(0)) {
      return mCurrent;
    }
    if (age >= 2 * mLength) {
      return 0;
    }
    return age >= mLength ? mCurrent : std::max(mPrevious, mCurrent);
  }

  auto operator<=>(const PeakWindow&) const = default;

private:
  std::chrono::milliseconds mLength;
  /** Negative until the first sample. */
  std::chrono::milliseconds mStart{ -1 };
  int mPrevious;
  int mCurrent;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PEAK_WINDOW_H
