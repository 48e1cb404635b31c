#ifndef CORNELRUDDER_TESTS_HISTORY_HISTORY_H
#define CORNELRUDDER_TESTS_HISTORY_HISTORY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelrudder::history {

/** Outcome of a request from its caller's point of view. */
enum class CallOutcome
{
  kAnswered,
  kRefusedNotRun,
  kRefusedUnknown,
  /** The connection broke or timed out. */
  kNoResponse
};

/** A request, recorded by its caller. */
struct Call
{
  /** Identifier from the response; empty if there was none. */
  std::string mRequestId;
  /** Idempotency key; empty for idempotent requests. */
  std::string mKey;
  std::string mBody;
  CallOutcome mOutcome = CallOutcome::kNoResponse;
  std::string mResponseBody;

  auto operator<=>(const Call&) const = default;
};

/** A request that a runner started, from the runner's journal. */
struct Run
{
  std::string mRunner;
  std::string mRequestId;
  std::string mBody;

  auto operator<=>(const Run&) const = default;
};

/** A version of settings that one daemon process served. */
struct SettingsRead
{
  /** Identifies the daemon and its incarnation. */
  std::string mReader;
  std::string mPath;
  std::uint64_t mVersion = 0;
  std::string mValues;

  auto operator<=>(const SettingsRead&) const = default;
};

/** A settings change that a daemon accepted. */
struct SettingsWrite
{
  std::string mPath;
  std::uint64_t mVersion = 0;
  std::string mValues;

  auto operator<=>(const SettingsWrite&) const = default;
};

/** A step of a gang member, from the worker's journal. */
struct MemberStep
{
  std::string mWorker;
  std::string mGang;
  std::uint32_t mAttempt = 0;
  /** "reserve", "commit", "start", "finish", "stop" or "expire". */
  std::string mKind;
  /** Time on the host's clock, which all processes share. */
  std::int64_t mAtMs = 0;

  auto operator<=>(const MemberStep&) const = default;
};

/** The last state of a job that its caller received. */
struct JobView
{
  std::string mJob;
  std::uint32_t mMembers = 0;
  /** Final state; empty if the caller received none. */
  std::string mState;
  /** "yes", "no" or "unknown". */
  std::string mRan;

  auto operator<=>(const JobView&) const = default;
};

/** All observations of one test run of the system. */
struct History
{
  std::vector<Call> mCalls;
  std::vector<Run> mRuns;
  /** In the order of reads for each reader. */
  std::vector<SettingsRead> mSettingsReads;
  std::vector<SettingsWrite> mSettingsWrites;
  std::vector<MemberStep> mMemberSteps;
  std::vector<JobView> mJobs;

  auto operator<=>(const History&) const = default;
};

/** A violation of a promise, found in a history. */
struct Violation
{
  /** Identifier of the promise in docs/design.md, such as "P5". */
  std::string mPromise;
  std::string mDetail;

  auto operator<=>(const Violation&) const = default;
};

/** A check of one promise; the checker runs a table of rules. */
struct Rule
{
  std::string mPromise;
  std::vector<Violation> (*mCheck)(const History&);
};

/** @return All rules. */
const std::vector<Rule>&
AllRules();

/** @return All violations of all rules. */
std::vector<Violation>
CheckHistory(const History& aHistory);

/**
 * Parses a history of one JSON object a line, each with a field "type".
 * @throws std::runtime_error with the number of the first malformed line.
 */
History
ParseHistory(const std::string& aText);

} // namespace cornelrudder::history

#endif // CORNELRUDDER_TESTS_HISTORY_HISTORY_H
