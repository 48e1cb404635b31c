#include "History.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelrudder::history {

namespace {

const std::string kResponsePrefix = "done:";

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

/** P3: each response is complete and belongs to its request. */
std::vector<Violation>
CheckResponsesMatchRequests(const History& aHistory)
{
  std::vector<Violation> violations;
  for (const Call& call : aHistory.mCalls) {
    const bool wrong = call.mOutcome == CallOutcome::kAnswered &&
                       call.mResponseBody != kResponsePrefix + call.mBody;
    if (wrong) {
      violations.push_back({ "P3",
                             "request " + call.mRequestId + " \"" + call.mBody +
                               "\" got \"" + call.mResponseBody + "\"" });
    }
  }
  return violations;
}

/** P4: a request refused as not run has no run. */
std::vector<Violation>
CheckRefusedRequestsDidNotRun(const History& aHistory)
{
  std::set<std::string> ran;
  for (const Run& run : aHistory.mRuns) {
    ran.insert(run.mRequestId);
  }
  std::vector<Violation> violations;
  for (const Call& call : aHistory.mCalls) {
    if (call.mOutcome == CallOutcome::kRefusedNotRun &&
        ran.contains(call.mRequestId)) {
      violations.push_back(
        { "P4", "request " + call.mRequestId + " ran but was refused" });
    }
  }
  return violations;
}

/** P3: an answered request has a run with the same body. */
std::vector<Violation>
CheckAnsweredRequestsRan(const History& aHistory)
{
  std::set<std::string> bodies;
  for (const Run& run : aHistory.mRuns) {
    bodies.insert(run.mBody);
  }
  std::vector<Violation> violations;
  for (const Call& call : aHistory.mCalls) {
    if (call.mOutcome == CallOutcome::kAnswered &&
        !bodies.contains(call.mBody)) {
      violations.push_back(
        { "P3", "request " + call.mRequestId + " was answered but not run" });
    }
  }
  return violations;
}

/** P8: no reader gets an older version after a newer one. */
std::vector<Violation>
CheckSettingsVersionsNeverDecrease(const History& aHistory)
{
  std::map<std::pair<std::string, std::string>, std::uint64_t> last;
  std::vector<Violation> violations;
  for (const SettingsRead& read : aHistory.mSettingsReads) {
    std::uint64_t& version = last[{ read.mReader, read.mPath }];
    if (read.mVersion < version) {
      violations.push_back({ "P8",
                             read.mReader + " read decreasing versions of " +
                               read.mPath + " from " + std::to_string(version) +
                               " to " + std::to_string(read.mVersion) });
    }
    version = std::max(version, read.mVersion);
  }
  return violations;
}

/** P8: each version has one content, that of its accepted change. */
std::vector<Violation>
CheckSettingsVersionsHaveOneContent(const History& aHistory)
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

/** P8: some reader gets each accepted version or a later one. */
std::vector<Violation>
CheckAcceptedSettingsAreServed(const History& aHistory)
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
                               path + " was accepted but never read" });
    }
  }
  return violations;
}

using AttemptKey = std::pair<std::string, std::uint32_t>;

/** @return Number of members by job; 1 for a job that no caller recorded. */
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

/** P2: a member starts only after all members of its attempt commit. */
std::vector<Violation>
CheckGangsStartAfterAllCommits(const History& aHistory)
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

/** P2 and P4: no member of a job reported as not run has started. */
std::vector<Violation>
CheckRefusedJobsDidNotStart(const History& aHistory)
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

/** P2: a done job has an attempt in which all members finished. */
std::vector<Violation>
CheckDoneJobsFinishedOnAllMembers(const History& aHistory)
{
  std::map<AttemptKey, std::set<std::string>> finished;
  auto members = MembersOfJobs(aHistory);
  for (const MemberStep& step : aHistory.mMemberSteps) {
    if (step.mKind == "finish") {
      finished[{ step.mGang, step.mAttempt }].insert(step.mWorker);
    }
  }
  std::set<std::string> finishedOnAll;
  for (const auto& [attempt, workers] : finished) {
    if (workers.size() >= members[attempt.first]) {
      finishedOnAll.insert(attempt.first);
    }
  }
  std::vector<Violation> violations;
  for (const JobView& job : aHistory.mJobs) {
    if (job.mState == "done" && !finishedOnAll.contains(job.mJob)) {
      violations.push_back(
        { "P2",
          "job " + job.mJob + " is done but did not finish on all members" });
    }
  }
  return violations;
}

} // namespace

const std::vector<Rule>&
AllRules()
{
  static const std::vector<Rule> kRules{
    { "P5", CheckAtMostOnce },
    { "P3", CheckResponsesMatchRequests },
    { "P4", CheckRefusedRequestsDidNotRun },
    { "P3", CheckAnsweredRequestsRan },
    { "P8", CheckSettingsVersionsNeverDecrease },
    { "P8", CheckSettingsVersionsHaveOneContent },
    { "P8", CheckAcceptedSettingsAreServed },
    { "P2", CheckGangsStartAfterAllCommits },
    { "P4", CheckRefusedJobsDidNotStart },
    { "P2", CheckDoneJobsFinishedOnAllMembers },
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
