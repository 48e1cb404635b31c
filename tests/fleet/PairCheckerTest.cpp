#include "PairChecker.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;

namespace {

const RunId kFirst{ "a.0.0.0", 1, "w0" };
const RunId kSecond{ "a.0.0.0", 2, "w1" };

} // namespace

TEST_GROUP(PairChecker)
{
  PairChecker mChecker;

  std::size_t Start(const RunId& aId, std::uint64_t aNowMs)
  {
    return mChecker.RecordStart(aId, aId.mRun, 0, aNowMs).size();
  }
};

TEST(PairChecker, TwoRunsAtTheSameTimeAreAPair)
{
  CHECK_EQUAL(0, Start(kFirst, 1'000));
  CHECK_EQUAL(0, Start({ "b.0.0.0", 1, "w0" }, 1'000));
  CHECK_EQUAL(1, Start(kSecond, 2'000));
}

TEST(PairChecker, StartAfterAnEndIsNoPairUntilTheEndIsRecorded)
{
  Start(kFirst, 1'000);
  mChecker.RecordEnd(kFirst, 2'000);
  CHECK_EQUAL(0, Start(kSecond, 2'000));
  CHECK_EQUAL(1, mChecker.RecordAcknowledged(kFirst).size());
  CHECK_EQUAL(0, mChecker.RecordAcknowledged(kFirst).size());
}

TEST(PairChecker, StartAfterARecordedEndIsAPair)
{
  Start(kFirst, 1'000);
  mChecker.RecordEnd(kFirst, 2'000);
  CHECK_EQUAL(0, mChecker.RecordAcknowledged(kFirst).size());
  CHECK_EQUAL(1, Start(kSecond, 3'000));
}

TEST(PairChecker, RecordedEndsOfConcurrentRunsAreOnePair)
{
  Start(kFirst, 1'000);
  CHECK_EQUAL(1, Start(kSecond, 1'500));
  mChecker.RecordEnd(kFirst, 2'000);
  mChecker.RecordEnd(kSecond, 2'500);
  CHECK_EQUAL(0, mChecker.RecordAcknowledged(kFirst).size());
  CHECK_EQUAL(0, mChecker.RecordAcknowledged(kSecond).size());
}

TEST(PairChecker, RunThatWasLostIsNoPair)
{
  Start(kFirst, 1'000);
  mChecker.RecordEnd(kFirst, 1'200);
  CHECK_EQUAL(0, Start(kSecond, 1'300));
  mChecker.RecordEnd(kSecond, 1'400);
  CHECK_EQUAL(0, mChecker.RecordAcknowledged(kSecond).size());
}

TEST(PairChecker, TextNamesBothOrders)
{
  mChecker.RecordOrder(kFirst, 900);
  mChecker.RecordOrder(kFirst, 950);
  mChecker.RecordStart(kFirst, 7, 3, 1'000);
  const auto pairs = mChecker.RecordStart(kSecond, 8, 4, 2'005);
  STRCMP_EQUAL(
    "a.0.0.0 has a pair of runs at the same time: run 1 on w0 (epoch "
    "7, gate 3, ordered 0.900, started 1.000, ended -), run 2 on w1 "
    "(epoch 8, gate 4, ordered 2.005, started 2.005, ended -)",
    pairs.at(0).c_str());
}

// Guards against showing the time of the first order for both runs when a
// successor that does not know a run gives its number to another one.
TEST(PairChecker, OrdersOfOneRunNumberOnTwoWorkersAreTwo)
{
  const RunId same{ kFirst.mTask, kFirst.mRun, "w1" };
  mChecker.RecordOrder(kFirst, 900);
  mChecker.RecordOrder(same, 1'900);
  mChecker.RecordStart(kFirst, 7, 3, 1'000);
  const auto pairs = mChecker.RecordStart(same, 8, 4, 2'000);
  STRCMP_CONTAINS("ordered 1.900, started 2.000", pairs.at(0).c_str());
}
