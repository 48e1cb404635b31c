#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_CONTEXT_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_CONTEXT_H

#include "TakeoverEvents.h"
#include "TakeoverPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** Longest delay of a message that is executed late. */
constexpr milliseconds kLateTime{ 6'000 };
/** Longest time from the start of a process until it serves. */
constexpr milliseconds kBootTime{ 1'000 };

/** What the parts of a run of the model share: time, chance and the trace. */
struct TakeoverContext
{
  TakeoverContext(TakeoverPlan aPlan, bool aIsTraced);

  milliseconds Now() const { return mQueue.Now(); }
  /** @return A number that no other call returns. */
  std::uint64_t NextNumber() { return ++mNumbers; }
  /** @return Incarnation of a worker that starts. */
  std::uint64_t NextIncarnation() { return ++mIncarnations; }
  void Log(const std::string& aWho, const std::string& aText);
  void Violate(const std::string& aText);

  /** @return Rate of a clock. */
  double DrawRate();
  /** @return Time that a message between a daemon and a worker takes. */
  milliseconds DrawLatency();

  const TakeoverPlan mPlan;
  const bool mIsTraced;
  Draws mDraws;
  EventQueue mQueue;
  std::vector<std::string> mViolations;
  std::vector<std::string> mTrace;

private:
  std::uint64_t mNumbers = 0;
  std::uint64_t mIncarnations = 1'000;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_CONTEXT_H
