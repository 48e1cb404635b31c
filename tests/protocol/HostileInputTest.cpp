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

/** An opening brace, a quote and a byte that is not valid UTF-8. */
constexpr const char* kBrokenText = "{\"\xff\"";

/** Runs a decoder and encodes its error as a response to a caller. */
template<typename Decoder>
void
CheckErrorIsEncodable(Decoder aDecode)
{
  try {
    aDecode();
  } catch (const ProtocolError& error) {
    CHECK_EQUAL(400, protocol::EncodeError(400, "bad", error.what()).Status());
  }
}

void
DecodeWithAllDecoders(const std::string& aText)
{
  CheckErrorIsEncodable([&] {
    protocol::DecodeJobSpec(state::JobId("j"),
                            HttpRequest("POST", "/v1/jobs", {}, aText));
  });
  CheckErrorIsEncodable([&] { protocol::DecodeJob(aText); });
  CheckErrorIsEncodable([&] { protocol::DecodeSettingValues(aText); });
  for (const int status : { 200, 404, 409 }) {
    CheckErrorIsEncodable([&] {
      protocol::DecodeStoreResponse(HttpResponse::Json(status, aText));
    });
    CheckErrorIsEncodable(
      [&] { protocol::DecodeVmList(HttpResponse::Json(status, aText)); });
  }
}

} // namespace

TEST_GROUP(HostileInput){};

// Guards against an error text with invalid UTF-8 whose encoding throws. That
// exception terminated the task that serves callers.
TEST(HostileInput, ErrorWithInvalidUtf8IsEncodable)
{
  DecodeWithAllDecoders(kBrokenText);
}

// Guards against exceptions other than ProtocolError from a decoder.
TEST(HostileInput, DecodersThrowOnlyProtocolErrors)
{
  CHECK(
    rc::check([](const std::string& aText) { DecodeWithAllDecoders(aText); }));
}

// Guards against taking the 404 of a store that lacks the call for a successful
// write. Each of six daemons then assumed that it owned the lease.
TEST(HostileInput, NotFoundWithoutRowIsRejected)
{
  CHECK_THROWS(ProtocolError,
               protocol::DecodeStoreResponse(HttpResponse::Json(
                 404, R"({"error":"the store has no call POST /table"})")));
  CHECK_THROWS(ProtocolError,
               protocol::DecodeStoreResponse(HttpResponse(404, {}, "")));
}
