#include "cornelrudder/protocol/CallerCodec.h"
#include "cornelrudder/protocol/JobCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/protocol/SettingsCodec.h"
#include "cornelrudder/protocol/StoreCodec.h"
#include "cornelrudder/protocol/WorkerCodec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace cornelrudder;
using protocol::HttpRequest;
using protocol::HttpResponse;
using protocol::ProtocolError;

namespace {

/** An opening brace, a quote and a byte that is no UTF-8. */
constexpr const char* kBrokenText = "{\"\xff\"";

/** Runs a decoder and encodes its error as an answer to a caller. */
template<typename Decoder>
void
AnswerTo(Decoder aDecode)
{
  try {
    aDecode();
  } catch (const ProtocolError& error) {
    CHECK_EQUAL(400, protocol::EncodeError(400, "bad", error.what()).Status());
  }
}

void
FeedAll(const std::string& aText)
{
  AnswerTo([&] {
    protocol::DecodeJobSpec(state::JobId("j"),
                            HttpRequest("POST", "/v1/jobs", {}, aText));
  });
  AnswerTo([&] { protocol::DecodeJob(aText); });
  AnswerTo([&] { protocol::DecodeSettingValues(aText); });
  for (const int status : { 200, 404, 409 }) {
    AnswerTo([&] {
      protocol::DecodeStoreResponse(HttpResponse::Json(status, aText));
    });
    AnswerTo(
      [&] { protocol::DecodeVmList(HttpResponse::Json(status, aText)); });
  }
}

} // namespace

TEST_GROUP(HostileInput){};

// Guards against an error text with a foreign byte that cannot be encoded:
// the exception of the encoder ended the front task for good.
TEST(HostileInput, ErrorWithForeignByteIsAnswered)
{
  FeedAll(kBrokenText);
}

// Guards against any other exception that leaves a decoder.
TEST(HostileInput, DecodersThrowOnlyProtocolErrors)
{
  CHECK(rc::check([](const std::string& aText) { FeedAll(aText); }));
}

// Guards against a store without the call: its 404 passed for the answer to a
// write, so that each of six daemons believed it held the lease.
TEST(HostileInput, UnknownCallIsNoAnswer)
{
  CHECK_THROWS(ProtocolError,
               protocol::DecodeStoreResponse(HttpResponse::Json(
                 404, R"({"error":"the store has no call POST /table"})")));
  CHECK_THROWS(ProtocolError,
               protocol::DecodeStoreResponse(HttpResponse(404, {}, "")));
}
