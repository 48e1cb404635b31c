#include "cornelrudder/state/LeaseTracker.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <vector>

#include <rapidcheck.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLength{ 6'000 };
constexpr int kHolders = 3;
constexpr std::size_t kSteps = 400;

/** Rates of the holders' clocks in percent of true time. */
constexpr std::array<int, kHolders> kRates{ 92, 100, 108 };

enum class StepKind
{
  kAdvance,
  kAct,
  kArrive,
  kDeliver,
  kLose,
  kGiveUp,
  kCrash,
  kRelease,
  /** Act, arrive and deliver within a few milliseconds. */
  kRoundTrip
};

struct Step
{
  StepKind mKind;
  int mHolder;
  int mAmount;
};

std::ostream&
operator<<(std::ostream& aStream, const Step& aStep)
{
  return aStream << static_cast<int>(aStep.mKind) << "/" << aStep.mHolder << "/"
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
                                         { 2, StepKind::kGiveUp },
                                         { 1, StepKind::kCrash },
                                         { 1, StepKind::kRelease },
                                         { 8, StepKind::kRoundTrip } });
  return rc::gen::container<std::vector<Step>>(
    kSteps,
    rc::gen::construct<Step>(
      kind, rc::gen::inRange(0, kHolders), rc::gen::inRange(0, 2'500)));
}

/** What a wrong implementation would do. */
struct Variant
{
  LeaseTimes mTimes{ kLength };
  bool mCountsFromAnswer = false;
};

/**
 * Holders, a table and the messages between them. Each message arrives at any
 * later time or never, also after its sender has given up or was restarted.
 */
class World
{
public:
  explicit World(Variant aVariant)
    : mVariant(aVariant)
  {
    for (int i = 0; i < kHolders; ++i) {
      mHolders.push_back(Holder{ NewWatch(i) });
    }
  }

  void Take(const Step& aStep)
  {
    const int i = aStep.mHolder;
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
      case StepKind::kGiveUp:
        mHolders[i].mWaitsFor = 0;
        break;
      case StepKind::kCrash:
        mHolders[i] = Holder{ NewWatch(i) };
        break;
      case StepKind::kRelease:
        Release(i);
        break;
      case StepKind::kRoundTrip:
        RoundTrip(i, milliseconds(aStep.mAmount % 50));
        break;
    }
  }

  int HoldersNow() const
  {
    int n = 0;
    for (int i = 0; i < kHolders; ++i) {
      n += mHolders[i].mTracker.HeldLeaseAt(ClockOf(i)).Epoch() != 0 ? 1 : 0;
    }
    return n;
  }

  int Takeovers() const { return mTakeovers; }
  bool EpochFaults() const { return mEpochFault; }
  const LeaseTracker& TrackerOf(int aHolder) const
  {
    return mHolders[aHolder].mTracker;
  }
  milliseconds ClockOf(int aHolder) const
  {
    return milliseconds(1'000'000L * (aHolder + 1) +
                        mNow.count() * kRates.at(aHolder) / 100);
  }

private:
  struct Holder
  {
    LeaseTracker mTracker;
    /** Number of the message whose answer is awaited, or 0. */
    int mWaitsFor = 0;
    bool mReleased = false;
  };

  struct Message
  {
    int mNumber;
    int mHolder;
    milliseconds mSentAt;
    /** The row to write; nothing for a read. */
    std::optional<LeaseRow> mWrite;
    std::uint64_t mExpected = 0;
    /** The answer. */
    bool mWritten = false;
    std::optional<LeaseRow> mRow = std::nullopt;
    std::uint64_t mVersion = 0;
  };

  LeaseTracker NewWatch(int aHolder)
  {
    return { RegionId("r"),
             VmId("e" + std::to_string(aHolder)),
             "life-" + std::to_string(++mLives),
             mVariant.mTimes };
  }

  void Send(int aHolder, std::optional<LeaseRow> aWrite)
  {
    Holder& holder = mHolders[aHolder];
    holder.mWaitsFor = ++mMessages;
    mRequests.push_back({ mMessages,
                          aHolder,
                          ClockOf(aHolder),
                          std::move(aWrite),
                          holder.mTracker.Version() });
  }

  void Act(int aHolder)
  {
    Holder& holder = mHolders[aHolder];
    if (holder.mWaitsFor != 0 || holder.mReleased) {
      return;
    }
    const LeaseAction action = holder.mTracker.Decide(ClockOf(aHolder));
    if (action == LeaseAction::kObserve) {
      Send(aHolder, std::nullopt);
      return;
    }
    Send(aHolder, holder.mTracker.NextRow(action));
  }

  void Release(int aHolder)
  {
    Holder& holder = mHolders[aHolder];
    const auto row = holder.mTracker.Row();
    if (holder.mWaitsFor == 0 &&
        holder.mTracker.HeldLeaseAt(ClockOf(aHolder)).Epoch() != 0) {
      holder.mTracker = holder.mTracker.WithoutHeldLease();
      Send(aHolder, row->WithoutOwner());
      holder.mReleased = true;
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
    mAnswers.push_back(message);
  }

  void CheckEpoch(const LeaseRow& aNext)
  {
    const bool changed =
      aNext.Owner() && (!mLastOwner || *mLastOwner != aNext.Incarnation());
    if (changed) {
      ++mTakeovers;
      mEpochFault = mEpochFault || aNext.Epoch() <= mLastEpoch;
      mLastOwner = aNext.Incarnation();
      mLastEpoch = aNext.Epoch();
    }
  }

  void Deliver(std::size_t aIndex)
  {
    if (mAnswers.empty()) {
      return;
    }
    const auto it =
      mAnswers.begin() + static_cast<long>(aIndex % mAnswers.size());
    const Message message = *it;
    mAnswers.erase(it);
    Holder& holder = mHolders[message.mHolder];
    if (holder.mWaitsFor != message.mNumber) {
      return;
    }
    holder.mWaitsFor = 0;
    const milliseconds now = ClockOf(message.mHolder);
    if (message.mWritten && message.mRow->Owner()) {
      holder.mTracker = holder.mTracker.WithAppliedWrite(
        *message.mRow,
        message.mVersion,
        mVariant.mCountsFromAnswer ? now : message.mSentAt,
        now);
    } else {
      holder.mTracker =
        holder.mTracker.WithObservedRow(message.mRow, message.mVersion, now);
    }
  }

  void Lose(std::size_t aIndex)
  {
    auto& lost = aIndex % 2 == 0 ? mAnswers : mRequests;
    if (!lost.empty()) {
      lost.erase(lost.begin() + static_cast<long>(aIndex % lost.size()));
    }
  }

  void RoundTrip(int aHolder, milliseconds aTime)
  {
    const int before = mMessages;
    Act(aHolder);
    if (mMessages == before) {
      return;
    }
    mNow += aTime;
    Arrive(mRequests.size() - 1);
    mNow += aTime;
    Deliver(mAnswers.size() - 1);
  }

  Variant mVariant;
  milliseconds mNow{ 0 };
  std::vector<Holder> mHolders;
  int mLives = 0;
  int mMessages = 0;
  std::vector<Message> mRequests;
  std::vector<Message> mAnswers;
  std::optional<LeaseRow> mRow;
  std::uint64_t mVersion = 0;
  std::optional<std::string> mLastOwner;
  std::uint64_t mLastEpoch = 0;
  int mTakeovers = 0;
  bool mEpochFault = false;
};

/** @return Whether two holders never believed in their lease at one time. */
bool
IsExclusive(const Variant& aVariant, const std::vector<Step>& aSteps)
{
  World world(aVariant);
  for (const Step& step : aSteps) {
    world.Take(step);
    if (world.HoldersNow() > 1 || world.EpochFaults()) {
      return false;
    }
  }
  return true;
}

/** @return Whether some of many histories shows the variant to be wrong. */
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

// Guards against two owners of one placement domain at the same time.
TEST(LeaseTracker, NeverTwoHolders)
{
  int takeovers = 0;
  CHECK(rc::check("never two holders", [&takeovers] {
    const auto steps = *Steps();
    RC_ASSERT(IsExclusive({}, steps));
    World world({});
    for (const Step& step : steps) {
      world.Take(step);
    }
    takeovers += world.Takeovers();
  }));
  // Histories without a change of owner would prove nothing.
  CHECK(takeovers > 300);
}

// Guards against a history check that accepts everything.
TEST(LeaseTracker, CheckRejectsMarginsThatAreTooSmall)
{
  CHECK(IsRejected({ LeaseTimes(kLength / 3, kLength, kLength / 2), false }));
  CHECK(IsRejected({ LeaseTimes(kLength / 3, kLength, kLength), false }));
}

// Guards against a hold that is counted from the answer, which may be late.
TEST(LeaseTracker, CheckRejectsAHoldThatCountsFromTheAnswer)
{
  CHECK(IsRejected({ LeaseTimes(kLength), true }));
}

// Guards against a lease that nobody takes after its holder has crashed.
TEST(LeaseTracker, IsTakenWithTheNextEpochAfterACrash)
{
  World world({});
  for (int i = 0; i < 2; ++i) {
    world.Take({ StepKind::kRoundTrip, 0, 1 });
    world.Take({ StepKind::kRoundTrip, 1, 1 });
  }
  LONGS_EQUAL(1, world.TrackerOf(0).HeldLeaseAt(world.ClockOf(0)).Epoch());
  world.Take({ StepKind::kCrash, 0, 0 });
  for (int i = 0; i < 5; ++i) {
    world.Take({ StepKind::kAdvance, 0, 2'000 });
    world.Take({ StepKind::kRoundTrip, 1, 1 });
  }
  LONGS_EQUAL(2, world.TrackerOf(1).HeldLeaseAt(world.ClockOf(1)).Epoch());
}

// Guards against a planned stop that leaves the domain without owner for long.
TEST(LeaseTracker, IsTakenAtOnceAfterARelease)
{
  World world({});
  world.Take({ StepKind::kRoundTrip, 0, 1 });
  world.Take({ StepKind::kRoundTrip, 0, 1 });
  world.Take({ StepKind::kRelease, 0, 0 });
  LONGS_EQUAL(0, world.TrackerOf(0).HeldLeaseAt(world.ClockOf(0)).Epoch());
  world.Take({ StepKind::kArrive, 0, 0 });
  world.Take({ StepKind::kRoundTrip, 1, 1 });
  world.Take({ StepKind::kRoundTrip, 1, 1 });
  LONGS_EQUAL(2, world.TrackerOf(1).HeldLeaseAt(world.ClockOf(1)).Epoch());
}

// Guards against a restarted daemon that takes its former life's lease for
// its own, whose commands may still be under way.
TEST(LeaseTracker, FormerLifeIsAnotherOwner)
{
  const LeaseRow row(VmId("e0"), 4, "life-1");
  const LeaseTracker watch =
    LeaseTracker(RegionId("r"), VmId("e0"), "life-2", LeaseTimes(kLength))
      .WithObservedRow(row, 9, milliseconds(0));
  CHECK(watch.Decide(milliseconds(1)) == LeaseAction::kObserve);
  CHECK(watch.Decide(milliseconds(6'999)) == LeaseAction::kObserve);
  CHECK(watch.Decide(milliseconds(7'000)) == LeaseAction::kAcquire);
  LONGS_EQUAL(5, watch.NextRow(LeaseAction::kAcquire).Epoch());
}

// Guards against acting before the row has been read once.
TEST(LeaseTracker, NothingIsDoneBeforeTheFirstRead)
{
  const LeaseTracker watch(
    RegionId("r"), VmId("e0"), "life-1", LeaseTimes(kLength));
  CHECK(watch.Decide(milliseconds(100'000)) == LeaseAction::kObserve);
}

TEST(LeaseTracker, WrongValuesThrow)
{
  CHECK_THROWS(StateError, LeaseRow(VmId("e0"), 0, "life-1"));
  CHECK_THROWS(StateError, LeaseTimes(milliseconds(5)));
}
