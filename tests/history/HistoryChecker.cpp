#include "History.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelrudder::history {

namespace {

const std::string kAnswerPrefix = "done:";

/** P5: at most one run for each idempotency key. */
std::vector<Violation>
CheckAtMostOnce(const History& aHistory)
{
  std::map<std::string, std::string> keyOfBody;
  for (const Call& call : aHistory.mCalls) {
    if (!call.mKey.empty()) {
      keyOfBody.emplace(call.mBody, call.mKey);
    }
  }
  std::vector<Violation> violations;
  std::map<std::string, int> runs;
  for (const Run& run : aHistory.mRuns) {
    const auto it = keyOfBody.find(run.mBody);
    if (it != keyOfBody.end() && ++runs[it->second] == 2) {
      violations.push_back({ "P5", "key " + it->second + " ran twice" });
    }
  }
  return violations;
}

/** P3: each answer is the whole one of its own request. */
std::vector<Violation>
CheckWholeAnswers(const History& aHistory)
{
  std::vector<Violation> violations;
  for (const Call& call : aHistory.mCalls) {
    const bool wrong = call.mEnd == CallEnd::kAnswered &&
                       call.mAnswer != kAnswerPrefix + call.mBody;
    if (wrong) {
      violations.push_back({ "P3",
                             "request " + call.mRequestId + " \"" + call.mBody +
                               "\" got \"" + call.mAnswer + "\"" });
    }
  }
  return violations;
}

/** P4: what was refused as not run was not run. */
std::vector<Violation>
CheckTruthfulRefusals(const History& aHistory)
{
  std::set<std::string> ran;
  for (const Run& run : aHistory.mRuns) {
    ran.insert(run.mRequestId);
  }
  std::vector<Violation> violations;
  for (const Call& call : aHistory.mCalls) {
    if (call.mEnd == CallEnd::kRefusedNotRun && ran.contains(call.mRequestId)) {
      violations.push_back(
        { "P4", "request " + call.mRequestId + " ran but was refused" });
    }
  }
  return violations;
}

/** An answer needs a run of the same body. */
std::vector<Violation>
CheckAnswersWereRun(const History& aHistory)
{
  std::set<std::string> bodies;
  for (const Run& run : aHistory.mRuns) {
    bodies.insert(run.mBody);
  }
  std::vector<Violation> violations;
  for (const Call& call : aHistory.mCalls) {
    if (call.mEnd == CallEnd::kAnswered && !bodies.contains(call.mBody)) {
      violations.push_back(
        { "P3", "request " + call.mRequestId + " was answered but not run" });
    }
  }
  return violations;
}

/** P8: no reader sees an older version after a newer one. */
std::vector<Violation>
CheckSettingsNeverGoBack(const History& aHistory)
{
  std::map<std::pair<std::string, std::string>, std::uint64_t> last;
  std::vector<Violation> violations;
  for (const SettingsRead& read : aHistory.mSettingsReads) {
    std::uint64_t& version = last[{ read.mReader, read.mPath }];
    if (read.mVersion < version) {
      violations.push_back({ "P8",
                             read.mReader + " went back on " + read.mPath +
                               " from " + std::to_string(version) + " to " +
                               std::to_string(read.mVersion) });
    }
    version = std::max(version, read.mVersion);
  }
  return violations;
}

/** P8: a version has one content, which is that of its accepted change. */
std::vector<Violation>
CheckSettingsAgree(const History& aHistory)
{
  std::map<std::pair<std::string, std::uint64_t>, std::string> content;
  std::vector<Violation> violations;
  const auto check = [&](const std::string& aPath,
                         std::uint64_t aVersion,
                         const std::string& aValues) {
    const auto [it, added] =
      content.emplace(std::pair(aPath, aVersion), aValues);
    if (!added && it->second != aValues) {
      violations.push_back({ "P8",
                             aPath + " has two contents for version " +
                               std::to_string(aVersion) });
    }
  };
  for (const SettingsWrite& write : aHistory.mSettingsWrites) {
    check(write.mPath, write.mVersion, write.mValues);
  }
  for (const SettingsRead& read : aHistory.mSettingsReads) {
    check(read.mPath, read.mVersion, read.mValues);
  }
  return violations;
}

/** P8: the last read of each reader has all accepted changes. */
std::vector<Violation>
CheckSettingsInForce(const History& aHistory)
{
  std::map<std::string, std::uint64_t> accepted;
  for (const SettingsWrite& write : aHistory.mSettingsWrites) {
    std::uint64_t& version = accepted[write.mPath];
    version = std::max(version, write.mVersion);
  }
  std::map<std::string, std::uint64_t> seen;
  for (const SettingsRead& read : aHistory.mSettingsReads) {
    std::uint64_t& version = seen[read.mPath];
    version = std::max(version, read.mVersion);
  }
  std::vector<Violation> violations;
  for (const auto& [path, version] : accepted) {
    const auto it = seen.find(path);
    if (it == seen.end() || it->second < version) {
      violations.push_back({ "P8",
                             "version " + std::to_string(version) + " of " +
                               path + " was accepted and never seen" });
    }
  }
  return violations;
}

using AttemptKey = std::pair<std::string, std::uint32_t>;

/** Members of each job; a job that no caller knows has one. */
std::map<std::string, std::uint32_t>
MembersOfJobs(const History& aHistory)
{
  std::map<std::string, std::uint32_t> members;
  for (const MemberStep& step : aHistory.mMemberSteps) {
    members.emplace(step.mGang, 1);
  }
  for (const JobView& job : aHistory.mJobs) {
    members[job.mJob] = job.mMembers;
  }
  return members;
}

/** P2: a member starts only after all members of the attempt committed. */
std::vector<Violation>
CheckGangsStartWhole(const History& aHistory)
{
  auto members = MembersOfJobs(aHistory);
  std::map<AttemptKey, std::map<std::string, std::int64_t>> commits;
  for (const MemberStep& step : aHistory.mMemberSteps) {
    if (step.mKind == "commit") {
      commits[{ step.mGang, step.mAttempt }].emplace(step.mWorker, step.mAtMs);
    }
  }
  std::vector<Violation> violations;
  for (const MemberStep& step : aHistory.mMemberSteps) {
    if (step.mKind != "start") {
      continue;
    }
    std::uint32_t before = 0;
    for (const auto& [worker, at] : commits[{ step.mGang, step.mAttempt }]) {
      before += at <= step.mAtMs ? 1 : 0;
    }
    if (before < members[step.mGang]) {
      violations.push_back(
        { "P2",
          step.mWorker + " started gang " + step.mGang + " attempt " +
            std::to_string(step.mAttempt) + " after " + std::to_string(before) +
            " of " + std::to_string(members[step.mGang]) + " commits" });
    }
  }
  return violations;
}

/** P2 and P4: a job refused as not run has no started member. */
std::vector<Violation>
CheckJobRefusals(const History& aHistory)
{
  std::set<std::string> started;
  for (const MemberStep& step : aHistory.mMemberSteps) {
    if (step.mKind == "start") {
      started.insert(step.mGang);
    }
  }
  std::vector<Violation> violations;
  for (const JobView& job : aHistory.mJobs) {
    if (job.mRan == "no" && started.contains(job.mJob)) {
      violations.push_back(
        { "P4", "job " + job.mJob + " started but was reported as not run" });
    }
  }
  return violations;
}

/** P2: a finished job finished on every member of one attempt. */
std::vector<Violation>
CheckDoneJobsAreWhole(const History& aHistory)
{
  std::map<AttemptKey, std::set<std::string>> finished;
  auto members = MembersOfJobs(aHistory);
  for (const MemberStep& step : aHistory.mMemberSteps) {
    if (step.mKind == "finish") {
      finished[{ step.mGang, step.mAttempt }].insert(step.mWorker);
    }
  }
  std::set<std::string> whole;
  for (const auto& [attempt, workers] : finished) {
    if (workers.size() >= members[attempt.first]) {
      whole.insert(attempt.first);
    }
  }
  std::vector<Violation> violations;
  for (const JobView& job : aHistory.mJobs) {
    if (job.mState == "done" && !whole.contains(job.mJob)) {
      violations.push_back(
        { "P2", "job " + job.mJob + " is done but not on all members" });
    }
  }
  return violations;
}

} // namespace

const std::vector<Rule>&
AllRules()
{
  static const std::vector<Rule> kRules{
    { "P5", CheckAtMostOnce },          { "P3", CheckWholeAnswers },
    { "P4", CheckTruthfulRefusals },    { "P3", CheckAnswersWereRun },
    { "P8", CheckSettingsNeverGoBack }, { "P8", CheckSettingsAgree },
    { "P8", CheckSettingsInForce },     { "P2", CheckGangsStartWhole },
    { "P4", CheckJobRefusals },         { "P2", CheckDoneJobsAreWhole },
  };
  return kRules;
}

std::vector<Violation>
CheckHistory(const History& aHistory)
{
  std::vector<Violation> violations;
  for (const Rule& rule : AllRules()) {
    const auto found = rule.mCheck(aHistory);
    violations.insert(violations.end(), found.begin(), found.end());
  }
  return violations;
}

} // namespace cornelrudder::history
