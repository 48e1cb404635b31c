#include "CoroutineStack.h"
#include "HostileJson.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/protocol/JsonSchedulingCodec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace cornelrudder;
using namespace cornelrudder::state::scheduling;
using coordination::CoordinationError;
using protocol::JsonSchedulingCodec;

namespace {

constexpr const char* kJob =
  R"({"id":"j","organisation":"o","payload":"p","submitted_ms":5,)"
  R"("terms":{"queue":"q","service":"s","priority":1,"attempts":2,)"
  R"("slack_factor":2.5,"target_latency_ms":100},)"
  R"("steps":[{"tasks":2,"cpu":1,"memory":2,"accelerators":3,)"
  R"("estimate_ms":4}],)"
  R"("schedule":{"occurrences":2,"start_ms":6,"interval_ms":7}})";
constexpr const char* kProgress =
  R"({"id":"j","organisation":"o","state":"running","begun":true,)"
  R"("tasks":[["a",1,"w",0,"c"],0]})";
constexpr const char* kLease =
  R"({"owner":"v","incarnation":"i","epoch":3,"sequence":4,)"
  R"("pending":{"q":1}})";

/** @return The text with the first occurrence of aOld replaced. */
std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const auto at = aText.find(aOld);
  CHECK(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

using Decoder = void (*)(const std::string&);

void
DecodeJob(const std::string& aText)
{
  JsonSchedulingCodec().DecodeTaskJob(aText);
}

void
DecodeProgress(const std::string& aText)
{
  JsonSchedulingCodec().DecodeProgress(aText);
}

void
DecodeLease(const std::string& aText)
{
  JsonSchedulingCodec().DecodeOwnerLease(aText);
}

void
CheckRejected(Decoder aDecoder, const std::string& aText)
{
  try {
    aDecoder(aText);
    FAIL(("decoded " + aText.substr(0, 300)).c_str());
  } catch (const CoordinationError&) {
  }
}

} // namespace

TEST_GROUP(SchedulingCodec){};

TEST(SchedulingCodec, RowsOfTheseTestsAreValid)
{
  const JsonSchedulingCodec codec;
  const TaskJob job = codec.DecodeTaskJob(kJob);
  CHECK(codec.DecodeTaskJob(codec.EncodeTaskJob(job)) == job);
  const JobProgress progress = codec.DecodeProgress(kProgress);
  CHECK(codec.DecodeProgress(codec.EncodeProgress(progress)) == progress);
  const OwnerLease lease = codec.DecodeOwnerLease(kLease);
  CHECK(codec.DecodeOwnerLease(codec.EncodeOwnerLease(lease)) == lease);
}

// Guards against a job row whose times, demands or limits overflow when the
// scheduler adds them.
TEST(SchedulingCodec, JobRowWithNumberOutOfRangeIsRejected)
{
  for (const std::string& value : tests::NoTimes()) {
    for (const char* field : { "\"target_latency_ms\":100",
                               "\"estimate_ms\":4",
                               "\"start_ms\":6",
                               "\"interval_ms\":7" }) {
      const std::string name(field, std::string(field).find(':') + 1);
      CheckRejected(DecodeJob, Replace(kJob, field, name + value));
    }
  }
  for (const char* value : { "null", "1e300", "-9223372036854775808" }) {
    CheckRejected(DecodeJob,
                  Replace(kJob,
                          "\"submitted_ms\":5",
                          "\"submitted_ms\":" + std::string(value)));
  }
  for (const std::string& value : tests::NoCounters()) {
    for (const char* field : { "\"priority\":1",
                               "\"attempts\":2",
                               "\"tasks\":2",
                               "\"cpu\":1",
                               "\"memory\":2",
                               "\"accelerators\":3",
                               "\"occurrences\":2" }) {
      const std::string name(field, std::string(field).find(':') + 1);
      CheckRejected(DecodeJob, Replace(kJob, field, name + value));
    }
  }
  CheckRejected(DecodeJob,
                Replace(kJob, "\"attempts\":2", "\"attempts\":4294967297"));
  CheckRejected(DecodeJob, Replace(kJob, "2.5", "1e300"));
}

// Guards against losing a job whose call came before the first reading of the
// store's clock: its time of submission is then below 0.
TEST(SchedulingCodec, JobSubmittedBeforeTheStoresClockIsDecoded)
{
  const TaskJob job = JsonSchedulingCodec().DecodeTaskJob(
    Replace(kJob, "\"submitted_ms\":5", "\"submitted_ms\":-1500"));
  CHECK(job.SubmittedAt() == std::chrono::milliseconds(-1500));
}

// Guards against taking a record that cannot be read for a task that never ran,
// which would run a second time.
TEST(SchedulingCodec, ProgressRowWithOddRecordIsRejected)
{
  for (const char* record :
       { "null", "7", "-1", "0.5", "\"a\"", "{}", "true" }) {
    CheckRejected(DecodeProgress,
                  Replace(kProgress, ",0]", "," + std::string(record) + "]"));
  }
  for (const std::string& value : tests::NoCounters()) {
    CheckRejected(DecodeProgress,
                  Replace(kProgress, "1,\"w\"", value + ",\"w\""));
    CheckRejected(DecodeProgress,
                  Replace(kProgress, "0,\"c\"", value + ",\"c\""));
  }
  CheckRejected(DecodeProgress,
                Replace(kProgress, "0,\"c\"", "4294967297,\"c\""));
}

// Guards against a daemon that shows another state of a job than the owner
// stored, and against one that shows a state that it does not know.
TEST(SchedulingCodec, PhaseOfRecordIsKept)
{
  const JsonSchedulingCodec codec;
  for (const JobPhase phase : { JobPhase::kQueued,
                                JobPhase::kRunning,
                                JobPhase::kDone,
                                JobPhase::kFailed,
                                JobPhase::kCancelled }) {
    const JobProgress progress("j", "o", phase, true, {});
    CHECK(codec.DecodeProgress(codec.EncodeProgress(progress)) == progress);
  }
  for (const char* state : { "", "paused", "Failed", "failed " }) {
    CheckRejected(DecodeProgress, Replace(kProgress, "running", state));
  }
}

// Guards against a count of crashes that starts anew with the next owner.
TEST(SchedulingCodec, CrashesOfRecordAreKept)
{
  const JsonSchedulingCodec codec;
  TaskRecord record{ RecordedState::kAssigned, 2, "w", 0, "c" };
  record.mIncarnation = 1'790'000'000'000;
  record.mCrashes = CrashCount(3, 1, CrashEvidence(2, { 150, 20'000 }));
  record.mMemberCrashes = CrashEvidence(1, { 30 });
  record.mLastCrashedRun = 2;
  record.mStartAfter = std::chrono::milliseconds(1'500);
  const JobProgress progress("j", "o", JobPhase::kRunning, true, { record });
  CHECK(codec.DecodeProgress(codec.EncodeProgress(progress)) == progress);
}

// Guards against an owner that counts the failed runs of an earlier one again.
TEST(SchedulingCodec, FailedRunsOfRecordAreKept)
{
  const JsonSchedulingCodec codec;
  TaskRecord record{ RecordedState::kWaiting, 5, "", 2, "" };
  record.mFailedRuns = { 3, 5 };
  const JobProgress progress("j", "o", JobPhase::kRunning, true, { record });
  CHECK(codec.DecodeProgress(codec.EncodeProgress(progress)) == progress);
}

// Guards against failed runs that are counted again because their numbers
// cannot be read.
TEST(SchedulingCodec, ProgressRowWithOddFailedRunsIsRejected)
{
  DecodeProgress(Replace(kProgress, "\"c\"", "\"c\",[5,3,2,1],[3,5]"));
  const auto checkRejected = [](const std::string& aRuns) {
    CheckRejected(DecodeProgress,
                  Replace(kProgress, "\"c\"", "\"c\",[5,3,2,1]," + aRuns));
  };
  for (const char* runs : { "null", "7", "\"a\"", "{}", "true" }) {
    checkRejected(runs);
  }
  for (const std::string& value : tests::NoCounters()) {
    checkRejected("[3," + value + "]");
  }
}

// Guards against a record that takes more bytes of a row than it needs.
TEST(SchedulingCodec, RecordWithoutFailedRunsHasNoPlaceForThem)
{
  const TaskRecord record{ RecordedState::kAssigned, 2, "w", 1, "c" };
  const JobProgress progress("j", "o", JobPhase::kRunning, true, { record });
  CHECK(JsonSchedulingCodec().EncodeProgress(progress).find(
          "[\"a\",2,\"w\",1,\"c\"]") != std::string::npos);
}

// Guards against a part of a record that a new owner takes for another one.
TEST(SchedulingCodec, PartOfARecordIsKept)
{
  const JsonSchedulingCodec codec;
  const JobProgress part =
    JobProgress("j", "o", JobPhase::kRunning, true, { {}, {} }).AsPart(3, 2);
  CHECK(codec.DecodeProgress(codec.EncodeProgress(part)) == part);
}

// Guards against a row of a record that is divided unequally and that a new
// owner takes for an equal part.
TEST(SchedulingCodec, RowOfAnUnequallyDividedRecordIsKept)
{
  const JsonSchedulingCodec codec;
  const JobProgress row =
    JobProgress("j", "o", JobPhase::kRunning, true, { {}, {} }).AsRow({ 7, 3 });
  CHECK(codec.DecodeProgress(codec.EncodeProgress(row)) == row);
}

// Guards against unusable counts of crashes and against rejecting a record of a
// version that counts none.
TEST(SchedulingCodec, ProgressRowWithOddCrashesIsRejected)
{
  DecodeProgress(Replace(kProgress, "\"c\"", "\"c\",[5,3,2,1]"));
  DecodeProgress(
    Replace(kProgress, "\"c\"", "\"c\",[5,3,2,1,700,[4,9],1,[4],2]"));
  for (const std::string& value : tests::NoCounters()) {
    for (const std::string& crashes :
         { value,
           "[5,3,2," + value + "]",
           "[5," + value + ",2,1]",
           "[5,3,2,1," + value + "]",
           "[5,3,2,1,700,[" + value + "],1,[4],2]",
           "[5,3,2,1,700,[4,9]," + value + ",[4],2]",
           "[5,3,2,1,700,[4,9],1,[" + value + "],2]",
           "[5,3,2,1,700,[4,9],1,[4]," + value + "]" }) {
      CheckRejected(DecodeProgress,
                    Replace(kProgress, "\"c\"", "\"c\"," + crashes));
    }
  }
}

// Guards against terminations that a successor does not learn of.
TEST(SchedulingCodec, UnrecordedEndsAreKept)
{
  const JsonSchedulingCodec codec;
  OwnerLease lease;
  lease.mOwner = "v";
  lease.mUnrecordedEnds = {
    { TaskId("j", 0, 1, 2), 3, TerminationReason::kDone },
    { TaskId("k", 4, 0, 0), 1, TerminationReason::kLeaseExpired }
  };
  const std::string text = codec.EncodeOwnerLease(lease);
  CHECK(codec.DecodeOwnerLease(text) == lease);
  CheckRejected(DecodeLease, Replace(text, "lease_expired", "unknown"));
}

// Guards against daemons that accept jobs without knowing those of others.
TEST(SchedulingCodec, MemoryOfJobsIsKept)
{
  const JsonSchedulingCodec codec;
  OwnerLease lease;
  lease.mOwner = "v";
  lease.mJobMemory = { 7, { { "", 3 }, { "acme", 4 } }, 5 };
  const std::string text = codec.EncodeOwnerLease(lease);
  CHECK(codec.DecodeOwnerLease(text) == lease);
  for (const std::string& value : tests::NoCounters()) {
    CheckRejected(DecodeLease, Replace(text, ":7", ":" + value));
  }
  CHECK(!codec.DecodeOwnerLease(kLease).mJobMemory);
}

// Guards against an epoch or a sequence number that no later one exceeds.
TEST(SchedulingCodec, LeaseRowWithNumberOutOfRangeIsRejected)
{
  for (const std::string& value : tests::NoCounters()) {
    CheckRejected(DecodeLease, Replace(kLease, ":3", ":" + value));
    CheckRejected(DecodeLease, Replace(kLease, ":4", ":" + value));
    CheckRejected(DecodeLease, Replace(kLease, ":1", ":" + value));
  }
}

// Guards against a deeply nested row, whose copy overflowed the stack.
TEST(SchedulingCodec, DeeplyNestedRowsAreRejected)
{
  const std::string deep = tests::DeepArray();
  tests::RunOnCoroutineStack([&] {
    CheckRejected(DecodeJob, deep);
    CheckRejected(DecodeJob, Replace(kJob, "[{", deep + ",\"x\":[{"));
    CheckRejected(DecodeProgress, Replace(kProgress, ",0]", "," + deep + "]"));
    CheckRejected(DecodeLease, Replace(kLease, "{\"q\":1}", deep));
  });
}

// Guards against undeclared exceptions of the decoders.
TEST(SchedulingCodec, ArbitraryInputThrowsOnlyDeclaredErrors)
{
  CHECK(rc::check([](const std::string& aText) {
    for (const Decoder decode : { DecodeJob, DecodeProgress, DecodeLease }) {
      try {
        decode(aText);
      } catch (const CoordinationError&) {
      }
    }
  }));
}
