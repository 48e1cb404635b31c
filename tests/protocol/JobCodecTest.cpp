#include "cornelrudder/protocol/JobCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace cornelrudder;
using namespace cornelrudder::state;
using protocol::DecodeJob;
using protocol::DecodeJobSpec;
using protocol::EncodeJob;
using protocol::HttpRequest;
using protocol::ProtocolError;

namespace {

JobSpec
Spec()
{
  return {
    JobId("job-1"),          OrganisationId("acme"),        TeamId("night"),
    ClassName("nest"),       Shape(2, 4, Adjacency::kRack), "key-1",
    std::chrono::seconds(60)
  };
}

Job
PlacedJob()
{
  return Job(Spec(),
             JobState::kCommitted,
             3,
             7,
             GangPlacement({ MemberPlacement(VmId("w1"), { 0, 1, 2, 3 }),
                             MemberPlacement(VmId("w2"), { 4, 5, 6, 7 }) }),
             FailureReason::kNone,
             WasRun::kUnknown,
             "the owner changed");
}

HttpRequest
Submission(const std::string& aBody)
{
  return { "POST", "/v1/jobs", {}, aBody };
}

/** Runs the decoders; any exception but ProtocolError propagates. */
void
DecodeIgnoringProtocolErrors(const std::string& aText)
{
  try {
    DecodeJob(aText);
  } catch (const ProtocolError&) {
  }
  try {
    DecodeJobSpec(JobId("job-1"), Submission(aText));
  } catch (const ProtocolError&) {
  }
}

} // namespace

TEST_GROUP(JobCodec){};

// Guards against losing fields of a job row, which a new owner reads.
TEST(JobCodec, JobSurvivesRoundTrip)
{
  for (int i = 0; i < 10; ++i) {
    const Job job = PlacedJob().WithState(static_cast<JobState>(i));
    CHECK(DecodeJob(EncodeJob(job)) == job);
  }
  const Job refused = PlacedJob().WithOutcome(
    JobState::kRefused, FailureReason::kJobFails, WasRun::kYes, "\xff bytes");
  CHECK(DecodeJob(EncodeJob(refused)).Reason() == FailureReason::kJobFails);
}

// Guards against accepting a malformed submission.
TEST(JobCodec, RejectsMalformedSubmissions)
{
  const std::string good = protocol::EncodeJobSpec(Spec());
  CHECK(DecodeJobSpec(JobId("job-1"), Submission(good)) == Spec());
  const std::vector<std::pair<std::string, std::string>> changes{
    { "\"workers\":2", "\"workers\":0" },
    { "\"workers\":2", "\"workers\":-1" },
    { "\"workers\":2", "\"workers\":2.5" },
    { "\"workers\":2", "\"workers\":4294967298" },
    { "\"workers\":2", "\"workerz\":2" },
    { "\"adjacency\":\"rack\"", "\"adjacency\":\"desk\"" },
    { "\"team\":\"night\"", "\"team\":\"../x\"" },
    { "\"expected_seconds\":60", "\"expected_seconds\":1e300" },
  };
  for (const auto& [from, to] : changes) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    CHECK_THROWS(ProtocolError,
                 DecodeJobSpec(JobId("job-1"), Submission(text)));
  }
}

// Guards against input that terminates the daemon with another exception.
TEST(JobCodec, ArbitraryInputThrowsOnlyProtocolErrors)
{
  CHECK(rc::check("garbage", [](const std::string& aText) {
    DecodeIgnoringProtocolErrors(aText);
  }));
}

TEST(JobCodec, MutatedRowsThrowOnlyProtocolErrors)
{
  CHECK(rc::check("mutations", [] {
    std::string text = EncodeJob(PlacedJob());
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto byte = *rc::gen::arbitrary<char>();
      const auto kind = *rc::gen::inRange(0, 3);
      if (kind == 0) {
        text[at] = byte;
      } else if (kind == 1) {
        text.erase(at, 1);
      } else {
        text.insert(at, 1, byte);
      }
    }
    DecodeIgnoringProtocolErrors(text);
  }));
}

// Guards against a rejection that does not state whether the job ran.
TEST(JobCodec, RefusalsSayWhetherTheJobRan)
{
  const auto response = protocol::EncodeJobReply(
    JobCommandKind::kSubmit,
    JobReply(FailureReason::kNeverFits, WasRun::kNo, "too large", {}));
  LONGS_EQUAL(422, response.Status());
  STRCMP_CONTAINS("\"ran\":\"no\"", response.Body().c_str());
}
