#include "CrashChecker.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;

TEST_GROUP(CrashChecker)
{
  CrashChecker mChecker;

  bool MayFail(const std::string& aJob) const
  {
    return mChecker.FailableJobs().contains(aJob);
  }

  /** @return The violation by a start under which the worker crashes. */
  std::optional<std::string> StartAndCrash(bool aCrashesWorkers = true)
  {
    auto violation = mChecker.RecordStart("a.0.0.0", aCrashesWorkers);
    mChecker.RecordCrash("a.0.0.0");
    return violation;
  }
};

TEST(CrashChecker, ThirdStartAfterThreeCrashesIsAViolation)
{
  for (int start = 1; start <= 5; ++start) {
    CHECK(!StartAndCrash().has_value());
  }
  const auto violation = StartAndCrash();
  CHECK(violation.has_value());
  STRCMP_EQUAL("a.0.0.0 was started 3 times after 3 workers had crashed "
               "under it",
               violation->c_str());
}

TEST(CrashChecker, StartsWithoutACrashAreNotLimited)
{
  for (int start = 1; start <= 10; ++start) {
    CHECK(!mChecker.RecordStart("a.0.0.0", true).has_value());
  }
}

TEST(CrashChecker, StartsOfTasksOfOneStepAreCountedApart)
{
  for (int start = 1; start <= 5; ++start) {
    StartAndCrash();
  }
  CHECK(!mChecker.RecordStart("a.0.0.1", true).has_value());
}

TEST(CrashChecker, CrashesUnderAHealthyTaskAreNoReasonToFail)
{
  for (int start = 1; start <= 10; ++start) {
    CHECK(!StartAndCrash(false).has_value());
  }
  for (std::uint64_t run = 1; run <= 10; ++run) {
    mChecker.RecordEnd("a.0.0.0", run, false, "lapsed");
    mChecker.RecordEnd("a.0.0.0", run, false, "broken");
  }
  CHECK(!MayFail("a"));
}

TEST(CrashChecker, JobWithATaskThatCrashesWorkersMayFail)
{
  CHECK(!MayFail("a"));
  mChecker.RecordStart("a.0.0.0", true);
  CHECK(MayFail("a"));
}

TEST(CrashChecker, JobMayFailAfterTheAttemptsOfOneTask)
{
  mChecker.RecordEnd("a.0.0.0", 1, false, "failed");
  mChecker.RecordEnd("a.0.0.1", 1, false, "failed");
  CHECK(!MayFail("a"));
  mChecker.RecordEnd("a.0.0.0", 2, false, "failed");
  CHECK(MayFail("a"));
}

TEST(CrashChecker, FailedRunOfAGangCountsOnce)
{
  mChecker.RecordEnd("a.0.0.0", 1, true, "failed");
  mChecker.RecordEnd("a.0.0.1", 1, true, "failed");
  CHECK(!MayFail("a"));
  mChecker.RecordEnd("a.0.0.1", 2, true, "failed");
  CHECK(MayFail("a"));
}
