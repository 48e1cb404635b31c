#include "cornelrudder/state/LeaseTracker.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <vector>

#include <rapidcheck.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDuration{ 6'000 };
constexpr int kDaemons = 3;
constexpr std::size_t kSteps = 400;

/** Rates of the daemons' clocks, in percent of real time. */
constexpr std::array<int, kDaemons> kRates{ 92, 100, 108 };

enum class StepKind
{
  kAdvance,
  kAct,
  kArrive,
  kDeliver,
  kLose,
  kTimeOut,
  kCrash,
  kRelease,
  /** kAct, kArrive and kDeliver within less than 100 ms. */
  kRoundTrip
};

struct Step
{
  StepKind mKind;
  int mDaemon;
  int mAmount;
};

std::ostream&
operator<<(std::ostream& aStream, const Step& aStep)
{
  return aStream << static_cast<int>(aStep.mKind) << "/" << aStep.mDaemon << "/"
                 << aStep.mAmount;
}

rc::Gen<std::vector<Step>>
Steps()
{
  const auto kind =
    rc::gen::weightedElement<StepKind>({ { 6, StepKind::kAdvance },
                                         { 4, StepKind::kAct },
                                         { 4, StepKind::kArrive },
                                         { 4, StepKind::kDeliver },
                                         { 1, StepKind::kLose },
                                         { 2, StepKind::kTimeOut },
                                         { 1, StepKind::kCrash },
                                         { 1, StepKind::kRelease },
                                         { 8, StepKind::kRoundTrip } });
  return rc::gen::container<std::vector<Step>>(
    kSteps,
    rc::gen::construct<Step>(
      kind, rc::gen::inRange(0, kDaemons), rc::gen::inRange(0, 2'500)));
}

/** Parameters of the implementation under test; wrong ones must be rejected. */
struct Variant
{
  LeaseTimes mTimes{ kDuration };
  bool mCountsFromResponse = false;
};

/**
 * Daemons, a table and the messages between them. Each message arrives at any
 * later time or never, also after its sender timed out or was restarted.
 */
class Simulation
{
public:
  explicit Simulation(Variant aVariant)
    : mVariant(aVariant)
  {
    for (int i = 0; i < kDaemons; ++i) {
      mDaemons.push_back(Daemon{ NewTracker(i) });
    }
  }

  void Apply(const Step& aStep)
  {
    const int i = aStep.mDaemon;
    const auto n = static_cast<std::size_t>(aStep.mAmount);
    switch (aStep.mKind) {
      case StepKind::kAdvance:
        mNow += milliseconds(aStep.mAmount);
        break;
      case StepKind::kAct:
        Act(i);
        break;
      case StepKind::kArrive:
        Arrive(n);
        break;
      case StepKind::kDeliver:
        Deliver(n);
        break;
      case StepKind::kLose:
        Lose(n);
        break;
      case StepKind::kTimeOut:
        mDaemons[i].mPendingMessage = 0;
        break;
      case StepKind::kCrash:
        mDaemons[i] = Daemon{ NewTracker(i) };
        break;
      case StepKind::kRelease:
        Release(i);
        break;
      case StepKind::kRoundTrip:
        RoundTrip(i, milliseconds(aStep.mAmount % 50));
        break;
    }
  }

  int OwnerCount() const
  {
    int n = 0;
    for (int i = 0; i < kDaemons; ++i) {
      n += mDaemons[i].mTracker.HeldLeaseAt(ClockOf(i)).Epoch() != 0 ? 1 : 0;
    }
    return n;
  }

  int Takeovers() const { return mTakeovers; }
  bool HasEpochViolation() const { return mHasEpochViolation; }
  const LeaseTracker& TrackerOf(int aDaemon) const
  {
    return mDaemons[aDaemon].mTracker;
  }
  milliseconds ClockOf(int aDaemon) const
  {
    return milliseconds(1'000'000L * (aDaemon + 1) +
                        mNow.count() * kRates.at(aDaemon) / 100);
  }

private:
  struct Daemon
  {
    LeaseTracker mTracker;
    /** Number of the message that awaits a response, or 0. */
    int mPendingMessage = 0;
    bool mReleased = false;
  };

  struct Message
  {
    int mNumber;
    int mDaemon;
    milliseconds mSentAt;
    /** The row to write; nothing for a read. */
    std::optional<LeaseRow> mWrite;
    std::uint64_t mExpected = 0;
    /** The response: whether the write was applied, and the current row. */
    bool mWritten = false;
    std::optional<LeaseRow> mRow = std::nullopt;
    std::uint64_t mVersion = 0;
  };

  LeaseTracker NewTracker(int aDaemon)
  {
    return { RegionId("r"),
             VmId("e" + std::to_string(aDaemon)),
             "incarnation-" + std::to_string(++mIncarnationCount),
             mVariant.mTimes };
  }

  void Send(int aDaemon, std::optional<LeaseRow> aWrite)
  {
    Daemon& daemon = mDaemons[aDaemon];
    daemon.mPendingMessage = ++mMessageCount;
    mRequests.push_back({ mMessageCount,
                          aDaemon,
                          ClockOf(aDaemon),
                          std::move(aWrite),
                          daemon.mTracker.Version() });
  }

  void Act(int aDaemon)
  {
    Daemon& daemon = mDaemons[aDaemon];
    if (daemon.mPendingMessage != 0 || daemon.mReleased) {
      return;
    }
    const LeaseAction action = daemon.mTracker.Decide(ClockOf(aDaemon));
    if (action == LeaseAction::kObserve) {
      Send(aDaemon, std::nullopt);
      return;
    }
    Send(aDaemon, daemon.mTracker.NextRow(action));
  }

  void Release(int aDaemon)
  {
    Daemon& daemon = mDaemons[aDaemon];
    const auto row = daemon.mTracker.Row();
    if (daemon.mPendingMessage == 0 &&
        daemon.mTracker.HeldLeaseAt(ClockOf(aDaemon)).Epoch() != 0) {
      daemon.mTracker = daemon.mTracker.WithoutHeldLease();
      Send(aDaemon, row->WithoutOwner());
      daemon.mReleased = true;
    }
  }

  void Arrive(std::size_t aIndex)
  {
    if (mRequests.empty()) {
      return;
    }
    const auto it =
      mRequests.begin() + static_cast<long>(aIndex % mRequests.size());
    Message message = *it;
    mRequests.erase(it);
    if (message.mWrite && message.mExpected == mVersion) {
      CheckEpoch(*message.mWrite);
      mRow = message.mWrite;
      ++mVersion;
      message.mWritten = true;
    }
    message.mRow = mRow;
    message.mVersion = mVersion;
    mResponses.push_back(message);
  }

  void CheckEpoch(const LeaseRow& aNext)
  {
    const bool changed =
      aNext.Owner() && (!mLastOwner || *mLastOwner != aNext.Incarnation());
    if (changed) {
      ++mTakeovers;
      mHasEpochViolation = mHasEpochViolation || aNext.Epoch() <= mLastEpoch;
      mLastOwner = aNext.Incarnation();
      mLastEpoch = aNext.Epoch();
    }
  }

  void Deliver(std::size_t aIndex)
  {
    if (mResponses.empty()) {
      return;
    }
    const auto it =
      mResponses.begin() + static_cast<long>(aIndex % mResponses.size());
    const Message message = *it;
    mResponses.erase(it);
    Daemon& daemon = mDaemons[message.mDaemon];
    if (daemon.mPendingMessage != message.mNumber) {
      return;
    }
    daemon.mPendingMessage = 0;
    const milliseconds now = ClockOf(message.mDaemon);
    if (message.mWritten && message.mRow->Owner()) {
      daemon.mTracker = daemon.mTracker.WithAppliedWrite(
        *message.mRow,
        message.mVersion,
        mVariant.mCountsFromResponse ? now : message.mSentAt,
        now);
    } else {
      daemon.mTracker =
        daemon.mTracker.WithObservedRow(message.mRow, message.mVersion, now);
    }
  }

  void Lose(std::size_t aIndex)
  {
    auto& lost = aIndex % 2 == 0 ? mResponses : mRequests;
    if (!lost.empty()) {
      lost.erase(lost.begin() + static_cast<long>(aIndex % lost.size()));
    }
  }

  void RoundTrip(int aDaemon, milliseconds aTime)
  {
    const int before = mMessageCount;
    Act(aDaemon);
    if (mMessageCount == before) {
      return;
    }
    mNow += aTime;
    Arrive(mRequests.size() - 1);
    mNow += aTime;
    Deliver(mResponses.size() - 1);
  }

  Variant mVariant;
  milliseconds mNow{ 0 };
  std::vector<Daemon> mDaemons;
  int mIncarnationCount = 0;
  int mMessageCount = 0;
  std::vector<Message> mRequests;
  std::vector<Message> mResponses;
  std::optional<LeaseRow> mRow;
  std::uint64_t mVersion = 0;
  std::optional<std::string> mLastOwner;
  std::uint64_t mLastEpoch = 0;
  int mTakeovers = 0;
  bool mHasEpochViolation = false;
};

/**
 * @return Whether two daemons never held the lease at the same time, and each
 *   change of owner increased the epoch.
 */
bool
IsExclusive(const Variant& aVariant, const std::vector<Step>& aSteps)
{
  Simulation simulation(aVariant);
  for (const Step& step : aSteps) {
    simulation.Apply(step);
    if (simulation.OwnerCount() > 1 || simulation.HasEpochViolation()) {
      return false;
    }
  }
  return true;
}

/** @return Whether one of 300 random histories is not exclusive. */
bool
IsRejected(const Variant& aVariant)
{
  const auto steps = Steps();
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    if (!IsExclusive(aVariant, steps(rc::Random(seed), 100).value())) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(LeaseTracker){};

// Guards against two lease owners of one placement domain at the same time.
TEST(LeaseTracker, NeverTwoOwners)
{
  int takeovers = 0;
  CHECK(rc::check("never two owners", [&takeovers] {
    const auto steps = *Steps();
    RC_ASSERT(IsExclusive({}, steps));
    Simulation simulation({});
    for (const Step& step : steps) {
      simulation.Apply(step);
    }
    takeovers += simulation.Takeovers();
  }));
  // Without changes of the owner, the histories would prove nothing.
  CHECK(takeovers > 300);
}

// Guards against a history check that accepts overlapping leases.
TEST(LeaseTracker, CheckRejectsMarginsThatAreTooSmall)
{
  CHECK(
    IsRejected({ LeaseTimes(kDuration / 3, kDuration, kDuration / 2), false }));
  CHECK(IsRejected({ LeaseTimes(kDuration / 3, kDuration, kDuration), false }));
}

// Guards against a lease whose expiry is counted from the response, which may
// be late.
TEST(LeaseTracker, CheckRejectsExpiryCountedFromTheResponse)
{
  CHECK(IsRejected({ LeaseTimes(kDuration), true }));
}

// Guards against a lease that no daemon acquires after its owner crashed.
TEST(LeaseTracker, IsAcquiredWithTheNextEpochAfterACrash)
{
  Simulation simulation({});
  for (int i = 0; i < 2; ++i) {
    simulation.Apply({ StepKind::kRoundTrip, 0, 1 });
    simulation.Apply({ StepKind::kRoundTrip, 1, 1 });
  }
  LONGS_EQUAL(
    1, simulation.TrackerOf(0).HeldLeaseAt(simulation.ClockOf(0)).Epoch());
  simulation.Apply({ StepKind::kCrash, 0, 0 });
  for (int i = 0; i < 5; ++i) {
    simulation.Apply({ StepKind::kAdvance, 0, 2'000 });
    simulation.Apply({ StepKind::kRoundTrip, 1, 1 });
  }
  LONGS_EQUAL(
    2, simulation.TrackerOf(1).HeldLeaseAt(simulation.ClockOf(1)).Epoch());
}

// Guards against a graceful shutdown after which the domain has no owner until
// the takeover delay is over.
TEST(LeaseTracker, IsAcquiredAtOnceAfterARelease)
{
  Simulation simulation({});
  simulation.Apply({ StepKind::kRoundTrip, 0, 1 });
  simulation.Apply({ StepKind::kRoundTrip, 0, 1 });
  simulation.Apply({ StepKind::kRelease, 0, 0 });
  LONGS_EQUAL(
    0, simulation.TrackerOf(0).HeldLeaseAt(simulation.ClockOf(0)).Epoch());
  simulation.Apply({ StepKind::kArrive, 0, 0 });
  simulation.Apply({ StepKind::kRoundTrip, 1, 1 });
  simulation.Apply({ StepKind::kRoundTrip, 1, 1 });
  LONGS_EQUAL(
    2, simulation.TrackerOf(1).HeldLeaseAt(simulation.ClockOf(1)).Epoch());
}

// Guards against a restarted daemon that renews the lease of its former
// incarnation, whose commands may still be in flight.
TEST(LeaseTracker, FormerIncarnationIsAnotherOwner)
{
  const LeaseRow row(VmId("e0"), 4, "incarnation-1");
  const LeaseTracker tracker =
    LeaseTracker(
      RegionId("r"), VmId("e0"), "incarnation-2", LeaseTimes(kDuration))
      .WithObservedRow(row, 9, milliseconds(0));
  CHECK(tracker.Decide(milliseconds(1)) == LeaseAction::kObserve);
  CHECK(tracker.Decide(milliseconds(6'999)) == LeaseAction::kObserve);
  CHECK(tracker.Decide(milliseconds(7'000)) == LeaseAction::kAcquire);
  LONGS_EQUAL(5, tracker.NextRow(LeaseAction::kAcquire).Epoch());
}

// Guards against a write before the row has been read once.
TEST(LeaseTracker, ObservesUntilTheFirstRead)
{
  const LeaseTracker tracker(
    RegionId("r"), VmId("e0"), "incarnation-1", LeaseTimes(kDuration));
  CHECK(tracker.Decide(milliseconds(100'000)) == LeaseAction::kObserve);
}

// Guards against rows and durations that break the lease protocol.
TEST(LeaseTracker, InvalidValuesThrow)
{
  CHECK_THROWS(StateError, LeaseRow(VmId("e0"), 0, "incarnation-1"));
  CHECK_THROWS(StateError, LeaseTimes(milliseconds(5)));
}
