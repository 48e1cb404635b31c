#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/protocol/JsonRowCodec.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

using namespace cornelrudder;
using coordination::CoordinationError;

namespace {

const protocol::JsonRowCodec kCodec;

} // namespace

TEST_GROUP(RowCodec){};

// Guards against answers that change on their way through the table.
TEST(RowCodec, IntentsSurviveTheTable)
{
  CHECK(rc::check("intent", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const state::Intent done(
      "digest", "life", "attempt", state::IntentState::kDone, bytes);
    RC_ASSERT(kCodec.DecodeIntent(kCodec.EncodeIntent(done)) == done);
    const state::Intent open = done.AsNotRun();
    RC_ASSERT(kCodec.DecodeIntent(kCodec.EncodeIntent(open)) == open);
  }));
}

TEST(RowCodec, LeasesSurviveTheTable)
{
  const state::LeaseRow held(state::VmId("e1"), 7, "life");
  CHECK(kCodec.DecodeLease(kCodec.EncodeLease(held)) == held);
  CHECK(kCodec.DecodeLease(kCodec.EncodeLease(held.WithoutOwner())) ==
        held.WithoutOwner());
}

// Guards against accepting a damaged row in part.
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
