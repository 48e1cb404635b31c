#include "History.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <stdexcept>

using namespace cornelrudder::history;

namespace {

/** @return A history without violations; each test adds one. */
History
ValidHistory()
{
  History history;
  history.mCalls = {
    { "r1", "", "a", CallOutcome::kAnswered, "done:a" },
    { "r2", "k2", "b", CallOutcome::kAnswered, "done:b" },
    { "r3", "k2", "b", CallOutcome::kAnswered, "done:b" },
    { "r4", "k4", "c", CallOutcome::kRefusedUnknown, "" },
    { "r5", "k5", "d", CallOutcome::kRefusedNotRun, "" },
    { "", "k6", "e", CallOutcome::kNoResponse, "" },
  };
  history.mRuns = { { "runner-1", "r1", "a" },
                    { "runner-2", "r1", "a" },
                    { "runner-1", "r2", "b" },
                    { "runner-1", "r4", "c" } };
  history.mSettingsWrites = { { "classes/x", 1, "v1" },
                              { "classes/x", 2, "v2" } };
  history.mSettingsReads = { { "e1", "classes/x", 1, "v1" },
                             { "e1", "classes/x", 2, "v2" },
                             { "e2", "classes/x", 1, "v1" } };
  history.mMemberSteps = {
    { "w1", "g", 1, "commit", 10 }, { "w2", "g", 1, "commit", 20 },
    { "w1", "g", 1, "start", 30 },  { "w2", "g", 1, "start", 31 },
    { "w1", "g", 1, "finish", 40 }, { "w2", "g", 1, "finish", 41 },
    { "w1", "h", 1, "commit", 50 },
  };
  history.mJobs = { { "g", 2, "done", "yes" }, { "h", 2, "refused", "no" } };
  return history;
}

bool
Violates(const History& aHistory, const std::string& aPromise)
{
  const auto violations = CheckHistory(aHistory);
  return std::any_of(
    violations.begin(), violations.end(), [&aPromise](const Violation& aIt) {
      return aIt.mPromise == aPromise;
    });
}

} // namespace

TEST_GROUP(HistoryChecker){};

TEST(HistoryChecker, AcceptsValidHistory)
{
  LONGS_EQUAL(0, CheckHistory(ValidHistory()).size());
}

TEST(HistoryChecker, RejectsSecondRunOfKey)
{
  History history = ValidHistory();
  history.mRuns.push_back({ "runner-2", "r3", "b" });
  CHECK(Violates(history, "P5"));
}

TEST(HistoryChecker, RejectsResponseToOtherRequest)
{
  History history = ValidHistory();
  history.mCalls[0].mResponseBody = "done:b";
  CHECK(Violates(history, "P3"));
}

TEST(HistoryChecker, RejectsTruncatedResponse)
{
  History history = ValidHistory();
  history.mCalls[0].mResponseBody = "done:";
  CHECK(Violates(history, "P3"));
}

TEST(HistoryChecker, RejectsResponseWithoutRun)
{
  History history = ValidHistory();
  history.mCalls.push_back({ "r9", "", "z", CallOutcome::kAnswered, "done:z" });
  CHECK(Violates(history, "P3"));
}

TEST(HistoryChecker, RejectsRunOfRequestRefusedAsNotRun)
{
  History history = ValidHistory();
  history.mRuns.push_back({ "runner-1", "r5", "d" });
  CHECK(Violates(history, "P4"));
}

TEST(HistoryChecker, RejectsDecreasingSettingsVersion)
{
  History history = ValidHistory();
  history.mSettingsReads.push_back({ "e1", "classes/x", 1, "v1" });
  CHECK(Violates(history, "P8"));
}

TEST(HistoryChecker, RejectsTwoContentsOfOneVersion)
{
  History history = ValidHistory();
  history.mSettingsReads[1].mValues = "other";
  CHECK(Violates(history, "P8"));
}

TEST(HistoryChecker, RejectsAcceptedChangeThatIsNeverRead)
{
  History history = ValidHistory();
  history.mSettingsWrites.push_back({ "classes/x", 3, "v3" });
  CHECK(Violates(history, "P8"));
}

TEST(HistoryChecker, RejectsStartBeforeAllCommits)
{
  History history = ValidHistory();
  history.mMemberSteps[1].mAtMs = 35;
  CHECK(Violates(history, "P2"));
}

TEST(HistoryChecker, RejectsStartWithoutCommitsOfItsAttempt)
{
  History history = ValidHistory();
  history.mMemberSteps[2].mAttempt = 2;
  CHECK(Violates(history, "P2"));
}

TEST(HistoryChecker, RejectsRefusedJobThatStarted)
{
  History history = ValidHistory();
  history.mJobs[0] = { "g", 2, "refused", "no" };
  CHECK(Violates(history, "P4"));
}

TEST(HistoryChecker, RejectsDoneJobWithUnfinishedMember)
{
  History history = ValidHistory();
  history.mMemberSteps.erase(history.mMemberSteps.begin() + 5);
  CHECK(Violates(history, "P2"));
}

// Guards against a malformed history file that passes as an empty history.
TEST(HistoryChecker, RejectsMalformedFile)
{
  CHECK_THROWS(std::runtime_error, ParseHistory("{\"type\":\"other\"}"));
  CHECK_THROWS(std::runtime_error, ParseHistory("{"));
  LONGS_EQUAL(0, ParseHistory("\n\n").mCalls.size());
}
