#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_EVENTS_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_EVENTS_H

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <utility>

namespace cornelrudder::tests {

using std::chrono::milliseconds;

/** A clock that differs from the time of the model in rate and offset. */
struct ModelClock
{
  double mRate = 1.0;
  /** Reading at mSetAt. */
  milliseconds mOffset{ 0 };
  milliseconds mSetAt{ 0 };

  milliseconds At(milliseconds aTime) const
  {
    return mOffset + milliseconds(static_cast<milliseconds::rep>(
                       static_cast<double>((aTime - mSetAt).count()) * mRate));
  }

  /** @return Time of the model that passes during a time of the clock. */
  milliseconds TimeFor(milliseconds aLocal) const
  {
    return milliseconds(static_cast<milliseconds::rep>(
      std::ceil(static_cast<double>(aLocal.count()) / mRate)));
  }
};

using Action = std::function<void()>;

/** Runs actions in the order of their times. */
class EventQueue
{
public:
  milliseconds Now() const { return mNow; }

  void Schedule(milliseconds aDelay, Action aAction)
  {
    mEvents.emplace(mNow + std::max(aDelay, milliseconds(0)),
                    std::move(aAction));
  }

  void RunUntil(milliseconds aEnd)
  {
    while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
    mNow = aEnd;
  }

private:
  milliseconds mNow{ 0 };
  std::multimap<milliseconds, Action> mEvents;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_EVENTS_H
