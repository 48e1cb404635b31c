#include "cornelrudder/protocol/PeerCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <chrono>
#include <cstdio>
#include <limits>

using namespace cornelrudder;
using namespace cornelrudder::protocol;

namespace {

state::JobSpec
Spec()
{
  return { state::JobId("job-1"),
           state::OrganisationId("acme"),
           state::TeamId("night"),
           state::ClassName("nesting"),
           state::Shape(8, 8, state::Adjacency::kRack),
           "key-1",
           std::chrono::seconds(7'200) };
}

state::SettingsDocument
Document(std::size_t aChanges)
{
  const state::SettingValues values{ { "idempotent", true },
                                     { "max_wait_ms", std::int64_t{ -1 } },
                                     { "urgency", std::int64_t{ 9 } },
                                     { "display_name", std::string("Acme") } };
  std::vector<state::SettingsChange> history;
  for (std::size_t i = 0; i < aChanges; ++i) {
    history.emplace_back(
      i + 1, "entry-1-12345678901234567890-" + std::to_string(i), "operator");
  }
  return { "classes/proof-render", aChanges + 1, values, std::move(history) };
}

state::PeerMessage
Message(state::PeerBody aBody)
{
  return { state::VmId("entry-1"), 1'796'380'298'000, std::move(aBody) };
}

state::Heartbeat
Heartbeat()
{
  return { state::ZoneId("region-1-zone-a"),
           "192.168.100.101:18080",
           "192.168.100.101:18081",
           true,
           123'456 };
}

/** At least one message of each type and of each command. */
std::vector<state::PeerMessage>
Samples()
{
  const state::GangPlacement placement(
    { { state::VmId("worker-1"), { 0, 1, 7 } },
      { state::VmId("worker-2"), {} } });
  const state::Job job = state::Job::Queued(Spec())
                           .WithPlacement(placement, 7)
                           .WithState(state::JobState::kRunning);
  const state::Job failed =
    job.WithOutcome(state::JobState::kFailed,
                    state::FailureReason::kEndpointFailed,
                    state::WasRun::kUnknown,
                    "the worker was lost");
  using state::JobCommand;
  return {
    Message(Heartbeat()),
    Message(state::SettingsUpdate({ Document(0), Document(16) }, {})),
    Message(state::SettingsUpdate(
      { Document(3) }, state::SettingsHead{ { "classes/a", 4 }, { "b", 1 } })),
    Message(state::SettingsQuery({ { "classes/a", 4 } })),
    Message(state::ForwardRequest(1, JobCommand::Submit(Spec()))),
    Message(state::ForwardRequest(2, JobCommand::Get(state::JobId("job-1")))),
    Message(state::ForwardRequest(3, JobCommand::List())),
    Message(
      state::ForwardRequest(4, JobCommand::Cancel(state::JobId("job-1")))),
    Message(
      state::ForwardRequest(5, JobCommand::Explain(state::JobId("job-1")))),
    Message(state::ForwardReply(6,
                                7,
                                state::JobReply(state::FailureReason::kNone,
                                                state::WasRun::kYes,
                                                "",
                                                { job, failed }))),
    Message(state::ForwardReply(
      6,
      8,
      state::JobReply(
        state::FailureReason::kNoOwner, state::WasRun::kNo, "no owner", {}))),
  };
}

/** @return Whether the frame was rejected with a ProtocolError. */
bool
IsRejected(const std::string& aFrame)
{
  try {
    DecodePeerMessage(aFrame);
    return false;
  } catch (const ProtocolError&) {
    return true;
  }
}

} // namespace

TEST_GROUP(PeerCodec){};

// Guards against losing or swapping a field in the encoding.
TEST(PeerCodec, EachMessageSurvivesRoundTrip)
{
  for (const state::PeerMessage& message : Samples()) {
    CHECK(DecodePeerMessage(EncodePeerMessage(message)) == message);
  }
}

// Guards against heartbeats that exceed the budget for control traffic.
TEST(PeerCodec, HeartbeatIsBelow200Bytes)
{
  CHECK(EncodePeerMessage(Message(Heartbeat())).size() < 200);
}

// Guards against decoding a frame of an unknown version or type.
TEST(PeerCodec, UnknownVersionAndTypeAreRejected)
{
  std::string frame = EncodePeerMessage(Message(Heartbeat()));
  LONGS_EQUAL(kPeerProtocolVersion, frame.at(0));
  frame.at(0) = 2;
  CHECK(IsRejected(frame));
  frame = EncodePeerMessage(Message(Heartbeat()));
  // Version, byte order, length and text of the sender, incarnation.
  const std::size_t type = 1 + 1 + 4 + std::string("entry-1").size() + 8;
  LONGS_EQUAL(0, frame.at(type));
  frame.at(type) = 5;
  CHECK(IsRejected(frame));
}

// Guards against accepting a truncated message or one with trailing bytes.
TEST(PeerCodec, TruncatedAndExtendedFramesAreRejected)
{
  for (const state::PeerMessage& message : Samples()) {
    const std::string frame = EncodePeerMessage(message);
    for (std::size_t n = 0; n < frame.size(); ++n) {
      CHECK(IsRejected(frame.substr(0, n)));
    }
    CHECK(IsRejected(frame + '\0'));
  }
}

// Guards against a length field that makes the daemon allocate gigabytes.
TEST(PeerCodec, HugeLengthIsRejectedBeforeAllocation)
{
  std::string frame = EncodePeerMessage(Message(Heartbeat()));
  frame.replace(2, 4, "\xff\xff\xff\x7f");
  CHECK(IsRejected(frame));
  frame.replace(2, 4, std::string("\x40\x00\x00\x00", 4));
  CHECK(IsRejected(frame));
}

// Guards against sending a message that every peer would reject.
TEST(PeerCodec, TooLongMessagesAreNotEncoded)
{
  const std::string text(60'000, 'x');
  const state::SettingsDocument document(
    "policy", 1, { { "key", state::SettingValue(text) } }, {});
  const std::vector<state::SettingsDocument> documents(20, document);
  CHECK_THROWS(
    ProtocolError,
    EncodePeerMessage(Message(state::SettingsUpdate(documents, std::nullopt))));
  const state::Heartbeat heartbeat(
    state::ZoneId("z"), std::string(65, 'x'), "", false, 0);
  CHECK_THROWS(ProtocolError, EncodePeerMessage(Message(heartbeat)));
}

// Guards against crashes, hangs and unexpected exceptions on input from peers.
TEST(PeerCodec, GarbageIsRejectedOrDecoded)
{
  const bool passed = rc::check("garbage", [](const std::string& aGarbage) {
    // Any exception but ProtocolError fails the property.
    IsRejected(aGarbage);
    // A valid version and byte order let the input reach more of the decoder.
    std::string frame("\x01\x01", 2);
    frame += aGarbage;
    IsRejected(frame);
  });
  CHECK(passed);
}

// Guards against crashes, hangs and unexpected exceptions on frames that are
// almost valid.
TEST(PeerCodec, MutatedFramesAreRejectedOrDecoded)
{
  const auto samples = Samples();
  const bool passed = rc::check("mutated frames", [&samples] {
    std::string frame = EncodePeerMessage(*rc::gen::elementOf(samples));
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      const auto n = *rc::gen::inRange<std::size_t>(0, frame.size());
      frame.at(n) = *rc::gen::arbitrary<char>();
    }
    if (!IsRejected(frame)) {
      // An accepted message can be encoded again.
      const auto message = DecodePeerMessage(frame);
      RC_ASSERT(DecodePeerMessage(EncodePeerMessage(message)) == message);
    }
  });
  CHECK(passed);
}

// Guards against control traffic above 7 KB/s for each of 9 daemons.
TEST(PeerCodec, ControlTrafficIsWithinTheBudget)
{
  constexpr double kPeers = 8;
  constexpr double kChangesADay = 840;
  constexpr double kSecondsADay = 86'400;
  constexpr double kBudget = 7'000;
  // Headers of nng, TCP with timestamps, IP and Ethernet.
  constexpr double kSegment = 32 + 20 + 14;
  constexpr double kFraming = 8 + kSegment;
  constexpr double kAcknowledgement = kSegment;
  constexpr double kPayloadOfSegment = 1'448;
  const auto cost = [](const state::PeerBody& aBody) {
    const auto n =
      static_cast<double>(EncodePeerMessage(Message(aBody)).size());
    const double segments = 1 + n / kPayloadOfSegment;
    return n + segments * (kFraming + kAcknowledgement);
  };
  // Each message counts twice, for its sender and for its receiver.
  const double heartbeats = 2 * kPeers * cost(Heartbeat());
  const double notices = 2 * kPeers / (kPeers + 1) * kChangesADay /
                         kSecondsADay *
                         cost(state::SettingsUpdate({ Document(16) }, {}));
  std::printf("heartbeats %.0f B/s, notices %.1f B/s\n", heartbeats, notices);
  CHECK(heartbeats + notices < kBudget);
}

// Guards against an expected run time that overflows when it is converted to
// milliseconds.
TEST(PeerCodec, ExpectedRunTimeOutOfRangeIsRejected)
{
  for (const std::int64_t n : { std::numeric_limits<std::int64_t>::min(),
                                std::int64_t{ -1 },
                                std::int64_t{ 366 } * 24 * 3'600 + 1,
                                std::numeric_limits<std::int64_t>::max() }) {
    const state::JobSpec valid = Spec();
    const state::JobSpec spec(valid.Name(),
                              valid.Organisation(),
                              valid.Team(),
                              valid.Class(),
                              valid.GangShape(),
                              valid.IdempotencyKey(),
                              std::chrono::seconds(n));
    const std::string frame = EncodePeerMessage(
      Message(state::ForwardRequest(1, state::JobCommand::Submit(spec))));
    CHECK_THROWS(ProtocolError, DecodePeerMessage(frame));
  }
}
