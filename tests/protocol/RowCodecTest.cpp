#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/protocol/JsonRowCodec.h"
#include "cornelrudder/protocol/JsonSchedulingCodec.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

using namespace cornelrudder;
using coordination::CoordinationError;

namespace {

const protocol::JsonRowCodec kCodec;

} // namespace

TEST_GROUP(RowCodec){};

// Guards against changing a recorded result in the encoding of its row.
TEST(RowCodec, IntentsSurviveRoundTrip)
{
  CHECK(rc::check("intent", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const state::Intent done(
      "digest", "life", "attempt", state::IntentState::kDone, bytes);
    RC_ASSERT(kCodec.DecodeIntent(kCodec.EncodeIntent(done)) == done);
    const state::Intent notRun = done.AsNotRun();
    RC_ASSERT(kCodec.DecodeIntent(kCodec.EncodeIntent(notRun)) == notRun);
  }));
}

TEST(RowCodec, LeasesSurviveRoundTrip)
{
  const state::LeaseRow owned(state::VmId("e1"), 7, "life");
  CHECK(kCodec.DecodeLease(kCodec.EncodeLease(owned)) == owned);
  CHECK(kCodec.DecodeLease(kCodec.EncodeLease(owned.WithoutOwner())) ==
        owned.WithoutOwner());
}

// Guards against accepting a malformed row.
TEST(RowCodec, DamagedRowsThrow)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"owner":"e 1","epoch":1,"incarnation":"x"})",
                            R"({"owner":"e1","epoch":0,"incarnation":"x"})" }) {
    CHECK_THROWS(CoordinationError, kCodec.DecodeLease(text));
  }
  for (
    const char* text :
    { "",
      "{}",
      R"({"digest":"d","owner":"o","attempt":"a","state":"ran"})",
      R"({"digest":"d","owner":"o","attempt":"a","state":"done","answer":"?"})",
      R"({"digest":"d","owner":"o","attempt":"a","state":"not_run","answer":""})" }) {
    CHECK_THROWS(CoordinationError, kCodec.DecodeIntent(text));
  }
}

// Guards against a lease row of an earlier release that cannot be read, which
// would leave the fleet without an owner during an update.
TEST(RowCodec, OwnerLeaseWithoutHandoversIsRead)
{
  const cornelrudder::protocol::JsonSchedulingCodec codec;
  const cornelrudder::state::scheduling::OwnerLease lease{
    "a",
    "a-incarnation",
    3,
    4,
    { { "q", 5 } },
    2,
    std::chrono::milliseconds(900),
    { { "w1", 4'300 } }
  };
  CHECK(codec.DecodeOwnerLease(codec.EncodeOwnerLease(lease)) == lease);
  const auto found = codec.DecodeOwnerLease(
    R"({"owner":"","incarnation":"i","epoch":1,"sequence":1,"pending":{}})");
  CHECK_EQUAL(0, found.mHandovers);
  CHECK_EQUAL(0, found.mRenewalBound.count());
  CHECK(found.mWorkerLeases.empty());
}
