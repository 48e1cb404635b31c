#include "History.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <stdexcept>

using namespace cornelrudder::history;

namespace {

/** A history that keeps all promises; the tests break one at a time. */
History
GoodHistory()
{
  History history;
  history.mCalls = {
    { "r1", "", "a", CallEnd::kAnswered, "done:a" },
    { "r2", "k2", "b", CallEnd::kAnswered, "done:b" },
    { "r3", "k2", "b", CallEnd::kAnswered, "done:b" },
    { "r4", "k4", "c", CallEnd::kRefusedUnknown, "" },
    { "r5", "k5", "d", CallEnd::kRefusedNotRun, "" },
    { "", "k6", "e", CallEnd::kNoResponse, "" },
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
Breaks(const History& aHistory, const std::string& aPromise)
{
  const auto violations = CheckHistory(aHistory);
  return std::any_of(
    violations.begin(), violations.end(), [&aPromise](const Violation& aIt) {
      return aIt.mPromise == aPromise;
    });
}

} // namespace

TEST_GROUP(HistoryChecker){};

TEST(HistoryChecker, AcceptsGoodHistory)
{
  LONGS_EQUAL(0, CheckHistory(GoodHistory()).size());
}

TEST(HistoryChecker, RejectsSecondRunOfKey)
{
  History history = GoodHistory();
  history.mRuns.push_back({ "runner-2", "r3", "b" });
  CHECK(Breaks(history, "P5"));
}

TEST(HistoryChecker, RejectsOtherAnswer)
{
  History history = GoodHistory();
  history.mCalls[0].mAnswer = "done:b";
  CHECK(Breaks(history, "P3"));
}

TEST(HistoryChecker, RejectsShortAnswer)
{
  History history = GoodHistory();
  history.mCalls[0].mAnswer = "done:";
  CHECK(Breaks(history, "P3"));
}

TEST(HistoryChecker, RejectsAnswerWithoutRun)
{
  History history = GoodHistory();
  history.mCalls.push_back({ "r9", "", "z", CallEnd::kAnswered, "done:z" });
  CHECK(Breaks(history, "P3"));
}

TEST(HistoryChecker, RejectsFalseRefusal)
{
  History history = GoodHistory();
  history.mRuns.push_back({ "runner-1", "r5", "d" });
  CHECK(Breaks(history, "P4"));
}

TEST(HistoryChecker, RejectsSettingsThatGoBack)
{
  History history = GoodHistory();
  history.mSettingsReads.push_back({ "e1", "classes/x", 1, "v1" });
  CHECK(Breaks(history, "P8"));
}

TEST(HistoryChecker, RejectsTwoContentsOfOneVersion)
{
  History history = GoodHistory();
  history.mSettingsReads[1].mValues = "other";
  CHECK(Breaks(history, "P8"));
}

TEST(HistoryChecker, RejectsAcceptedChangeThatIsNeverSeen)
{
  History history = GoodHistory();
  history.mSettingsWrites.push_back({ "classes/x", 3, "v3" });
  CHECK(Breaks(history, "P8"));
}

TEST(HistoryChecker, RejectsStartBeforeAllCommits)
{
  History history = GoodHistory();
  history.mMemberSteps[1].mAtMs = 35;
  CHECK(Breaks(history, "P2"));
}

TEST(HistoryChecker, RejectsStartOfOtherAttempt)
{
  History history = GoodHistory();
  history.mMemberSteps[2].mAttempt = 2;
  CHECK(Breaks(history, "P2"));
}

TEST(HistoryChecker, RejectsRefusedJobThatStarted)
{
  History history = GoodHistory();
  history.mJobs[0] = { "g", 2, "refused", "no" };
  CHECK(Breaks(history, "P4"));
}

TEST(HistoryChecker, RejectsDoneJobWithUnfinishedMember)
{
  History history = GoodHistory();
  history.mMemberSteps.erase(history.mMemberSteps.begin() + 5);
  CHECK(Breaks(history, "P2"));
}

// Guards against a malformed history that passes as an empty one.
TEST(HistoryChecker, RejectsMalformedFile)
{
  CHECK_THROWS(std::runtime_error, ParseHistory("{\"type\":\"other\"}"));
  CHECK_THROWS(std::runtime_error, ParseHistory("{"));
  LONGS_EQUAL(0, ParseHistory("\n\n").mCalls.size());
}
