#ifndef CORNELRUDDER_TESTS_HISTORY_HISTORY_H
#define CORNELRUDDER_TESTS_HISTORY_HISTORY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelrudder::history {

/** How a request ended for its caller. */
enum class CallEnd
{
  kAnswered,
  kRefusedNotRun,
  kRefusedUnknown,
  /** The connection broke or timed out. */
  kNoResponse
};

/** A request as its caller saw it. */
struct Call
{
  /** Identifier from the response; empty without a response. */
  std::string mRequestId;
  /** Idempotency key; empty for idempotent requests. */
  std::string mKey;
  std::string mBody;
  CallEnd mEnd = CallEnd::kNoResponse;
  /** The response's body. */
  std::string mAnswer;

  auto operator<=>(const Call&) const = default;
};

/** A request that a runner started, from the runner's own journal. */
struct Run
{
  std::string mRunner;
  std::string mRequestId;
  std::string mBody;

  auto operator<=>(const Run&) const = default;
};

/** A version of settings that one life of a daemon served. */
struct SettingsRead
{
  /** Names the daemon and its life. */
  std::string mReader;
  std::string mPath;
  std::uint64_t mVersion = 0;
  /** The values as served. */
  std::string mValues;

  auto operator<=>(const SettingsRead&) const = default;
};

/** A change of settings that a daemon confirmed. */
struct SettingsWrite
{
  std::string mPath;
  std::uint64_t mVersion = 0;
  std::string mValues;

  auto operator<=>(const SettingsWrite&) const = default;
};

/** A step of a gang member, from the worker's own journal. */
struct MemberStep
{
  std::string mWorker;
  std::string mGang;
  std::uint32_t mAttempt = 0;
  /** "reserve", "commit", "start", "finish", "stop" or "expire". */
  std::string mKind;
  /** Time on the clock that all processes of the machine share. */
  std::int64_t mAtMs = 0;

  auto operator<=>(const MemberStep&) const = default;
};

/** A job as its caller saw it last. */
struct JobView
{
  std::string mJob;
  std::uint32_t mMembers = 0;
  /** Final state, or empty if none was seen. */
  std::string mState;
  /** "yes", "no" or "unknown". */
  std::string mRan;

  auto operator<=>(const JobView&) const = default;
};

/** All that was observed in one run of the system. */
struct History
{
  std::vector<Call> mCalls;
  std::vector<Run> mRuns;
  /** In the order in which each reader saw them. */
  std::vector<SettingsRead> mSettingsReads;
  std::vector<SettingsWrite> mSettingsWrites;
  std::vector<MemberStep> mMemberSteps;
  std::vector<JobView> mJobs;

  auto operator<=>(const History&) const = default;
};

/** A promise that a history breaks. */
struct Violation
{
  /** Identifier of the promise in docs/design.md, such as "P5". */
  std::string mPromise;
  std::string mDetail;

  auto operator<=>(const Violation&) const = default;
};

/** One rule; a table of them makes the checker. */
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
 * Reads a history from lines of JSON, each with a field "type".
 * @throws std::runtime_error naming the line that is malformed.
 */
History
ParseHistory(const std::string& aText);

} // namespace cornelrudder::history

#endif // CORNELRUDDER_TESTS_HISTORY_HISTORY_H
