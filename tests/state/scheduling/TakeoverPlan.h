#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_PLAN_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_PLAN_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cornelrudder::tests {

using std::chrono::milliseconds;

/** Number of daemons in a plan. */
constexpr std::size_t kTakeoverDaemons = 3;
/** Times at which the last faults begin, and at which the plan ends. */
constexpr milliseconds kTakeoverFaultTime{ 30'000 };
constexpr milliseconds kTakeoverPlanTime{ 48'000 };

/** Random numbers of a plan. */
class Draws
{
public:
  explicit Draws(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  bool Chance(double aShare) { return Share() < aShare; }

  /** @return A number from 0 to below 1. */
  double Share()
  {
    constexpr double kScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(mRandom() >> 11) * kScale;
  }

  std::size_t Below(std::size_t aEnd)
  {
    return static_cast<std::size_t>(Share() * static_cast<double>(aEnd));
  }

  milliseconds Between(milliseconds aFirst, milliseconds aLast)
  {
    return aFirst + milliseconds(static_cast<milliseconds::rep>(Below(
                      static_cast<std::size_t>((aLast - aFirst).count() + 1))));
  }

private:
  std::mt19937_64 mRandom;
};

enum class TakeoverFaultKind
{
  /** Between daemons and workers. */
  kCommandsLost,
  kRepliesLost,
  kLinkDown,
  kCommandsLate,
  /** Between daemons and the store. */
  kStoreCut,
  kStoreRepliesLost,
  kStoreSlow,
  kStoreWritesLate,
  kStoreDown,
  kPause,
  /** The next reply to a write or an acquisition arrives during a pause. */
  kPauseAtReply,
  /** The next commands are collected before a pause and sent after it. */
  kPauseAtSend,
  kDaemonRestart,
  /** The daemon releases the lease and restarts. */
  kDaemonStop,
  kWorkerRestart,
  /** The worker restarts with another identifier at the same address. */
  kWorkerReplaced,
  kWorkerDrains,
  kWorkerUnlisted
};

/** A fault for some daemons and workers. */
struct TakeoverFault
{
  /** The daemons that the fault concerns, by the lease row at its begin. */
  enum class Daemons
  {
    kOwner,
    kOthers,
    kOne
  };

  TakeoverFaultKind mKind = TakeoverFaultKind::kPause;
  milliseconds mAt{ 0 };
  milliseconds mFor{ 0 };
  Daemons mDaemons = Daemons::kOwner;
  /** Number of the daemon for kOne. */
  std::size_t mDaemon = 0;
  /** Bit mask of the workers. */
  unsigned mWorkers = 0;

  /** @return The fault for the trace. */
  std::string Text() const;
};

/** Faults of a run of the model. */
struct TakeoverPlan
{
  std::uint64_t mSeed = 0;
  std::size_t mWorkers = 3;
  milliseconds mLongestLease{ 10'000 };
  /** Shares of messages of any kind, 0 to 1. */
  double mLostShare = 0.0;
  double mLateShare = 0.0;
  std::vector<TakeoverFault> mFaults;

  /** @return A plan that depends only on the seed. */
  static TakeoverPlan Draw(std::uint64_t aSeed);
};

/** @return Whether the fault concerns daemons, or each of some links. */
bool
HasDaemons(TakeoverFaultKind aKind);

/** @return Whether the fault concerns workers, or each of some links. */
bool
HasWorkers(TakeoverFaultKind aKind);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_PLAN_H
