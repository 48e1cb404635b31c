#include "cornelrudder/state/scheduling/CrashCount.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cornelrudder::state::scheduling;

namespace {

/** A crash under the only young run on a worker. */
constexpr RunCrash kAlone{ true, true, true };
/** A crash under one of several young runs. */
constexpr RunCrash kShared{ true, false, true };

/** @param aExpected Expected crashes of other causes, in millionths. */
CrashCount
CountOf(const std::vector<std::int64_t>& aExpected, const RunCrash& aCrash)
{
  CrashCount count;
  for (const std::int64_t expected : aExpected) {
    count = count.With(aCrash, expected);
  }
  return count;
}

} // namespace

TEST_GROUP(CrashEvidence){};

// Guards against taking a number of crashes for a cause.
TEST(CrashEvidence, ManyCrashesThatWereToBeExpectedAreNoCause)
{
  const std::vector<std::int64_t> expected(40, 60'000);
  const CrashCount count = CountOf(expected, kAlone);
  CHECK_FALSE(count.IsCause(1, count.Suspect()));
  CHECK_FALSE(count.NeedsIsolation());
}

// Guards against starting a task again that crashes each worker at once.
TEST(CrashEvidence, ThreeUnexpectedCrashesAreACause)
{
  const CrashCount count = CountOf({ 500, 400, 500 }, kAlone);
  CHECK_TRUE(count.IsCause(1, count.Suspect()));
  CHECK_TRUE(CountOf({ 500, 400 }, kAlone).NeedsIsolation());
  CHECK_FALSE(CountOf({ 500, 400 }, kAlone).IsCause(1, count.Suspect()));
}

// Guards against a task that hides behind a crash of another cause.
TEST(CrashEvidence, CrashOfAnotherCauseHidesNoTask)
{
  const CrashCount count = CountOf({ 500, 400, 500, 900'000 }, kAlone);
  CHECK_TRUE(count.IsCause(1, count.Suspect()));
}

// Guards against failing a healthy task for the crashes of its neighbours.
TEST(CrashEvidence, CrashesBesideOtherYoungRunsAreNoCause)
{
  const CrashCount count = CountOf({ 1'000, 1'000, 1'000, 1'000 }, kShared);
  CHECK_FALSE(count.IsCause(1, count.Suspect()));
}

// Guards against taking the crashes under all members of a wide gang for those
// of one of them, and the reverse.
TEST(CrashEvidence, CrashesOfOneMemberCountForIt)
{
  constexpr std::size_t kMembers = 64;
  constexpr std::int64_t kOfMember = 2'000;
  const CrashCount gang =
    CountOf(std::vector<std::int64_t>(4, kOfMember * kMembers), kAlone);
  const CrashEvidence sameMember =
    CrashEvidence(4, std::vector<std::int64_t>(4, kOfMember));
  CHECK_TRUE(gang.IsCause(kMembers, sameMember));
  CHECK_FALSE(gang.IsCause(kMembers, CrashEvidence(1, { kOfMember })));
}

// Guards against a record that grows with each crash.
TEST(CrashEvidence, LowestExpectationsAreKept)
{
  CrashEvidence evidence;
  for (int i = 0; i < 20; ++i) {
    evidence = evidence.With(20 - i);
  }
  CHECK_EQUAL(20, evidence.Crashes());
  CHECK(evidence.Expected() ==
        std::vector<std::int64_t>({ 1, 2, 3, 4, 5, 6, 7, 8 }));
  CHECK(evidence.WithReplaced(3, 90).Expected() ==
        std::vector<std::int64_t>({ 1, 2, 4, 5, 6, 7, 8, 90 }));
}
