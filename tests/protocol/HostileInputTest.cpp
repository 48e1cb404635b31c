#include "CoroutineStack.h"
#include "HostileJson.h"
#include "cornelrudder/protocol/CallerCodec.h"
#include "cornelrudder/protocol/IntentCodec.h"
#include "cornelrudder/protocol/JobCodec.h"
#include "cornelrudder/protocol/LeaseCodec.h"
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

/** A job, whose "workers" is to be replaced. */
constexpr const char* kJobWithOddShape =
  R"({"workers":@,"organisation":"o","team":"t","class":"c",)"
  R"("adjacency":"rack","id":"j"})";

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
  CheckErrorIsEncodable([&] { protocol::DecodeSettingsDocument(aText); });
  CheckErrorIsEncodable([&] { protocol::DecodeSettingsHead(aText); });
  CheckErrorIsEncodable([&] { protocol::DecodeLeaseRow(aText); });
  CheckErrorIsEncodable([&] { protocol::DecodeIntent(aText); });
  CheckErrorIsEncodable([&] {
    protocol::DecodeWorkerCommand(
      HttpRequest("POST", "/gang/start", {}, aText));
  });
  protocol::DecodeWorkerReport(HttpResponse::Json(200, aText));
  for (const int status : { 200, 404, 409 }) {
    CheckErrorIsEncodable([&] {
      protocol::DecodeStoreResponse(HttpResponse::Json(status, aText));
    });
    CheckErrorIsEncodable([&] {
      protocol::DecodeVmList(HttpResponse::Json(status, aText),
                             [](const std::string& /*aError*/) {});
    });
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

// Guards against a deeply nested text, whose copy or encoding overflowed the
// stack of the coroutine or of the actor's thread.
TEST(HostileInput, DeeplyNestedTextIsRejected)
{
  for (const char* text : { "@",
                            R"({"organisation":@})",
                            kJobWithOddShape,
                            R"({"values":@,"history":[]})",
                            R"({"rows":@})",
                            R"({"conflicts":@})",
                            R"({"vms":@})",
                            R"({"version":@})" }) {
    const std::string deep = tests::Fill(text, tests::DeepArray());
    tests::RunOnCoroutineStack([&] { DecodeWithAllDecoders(deep); });
  }
}

// Guards against a number out of range that is converted to another one.
TEST(HostileInput, NumbersOutOfRangeAreRejected)
{
  for (const std::string& value : tests::NoCounters()) {
    CHECK_THROWS(ProtocolError,
                 protocol::DecodeLeaseRow(tests::Fill(
                   R"({"owner":"e1","epoch":@,"incarnation":"x"})", value)));
    CHECK_THROWS(
      ProtocolError,
      protocol::DecodeSettingsHead(tests::Fill(R"({"a/b":@})", value)));
    CHECK_THROWS(ProtocolError,
                 protocol::DecodeStoreResponse(HttpResponse::Json(
                   200, tests::Fill(R"({"key":"k","version":@})", value))));
    CHECK_THROWS(ProtocolError,
                 protocol::DecodeStoreResponse(HttpResponse::Json(
                   404, tests::Fill(R"({"version":@})", value))));
    for (const char* field : { "epoch", "attempt", "member", "lease_ms" }) {
      std::string command =
        R"({"domain":"r","epoch":1,"gang":"g","attempt":1,"member":0,)"
        R"("accelerators":[0],"lease_ms":1,"expected_ms":1})";
      const auto at =
        command.find(':', command.find('"' + std::string(field) + '"'));
      command.replace(at + 1, 1, value);
      CHECK_THROWS(ProtocolError,
                   protocol::DecodeWorkerCommand(
                     HttpRequest("POST", "/gang/start", {}, command)));
    }
  }
  CHECK_THROWS(ProtocolError,
               protocol::DecodeSettingValues(R"({"a":18446744073709551615})"));
}

// Guards against one odd entry that makes the whole list of VMs unreadable: the
// daemon then kept the last list and never learned of later changes.
TEST(HostileInput, OddVmDoesNotHideOtherVms)
{
  for (const std::string entry :
       { "7",
         "{}",
         R"({"id":"bad id","role":"runner","address":"a","region":"r",)"
         R"("zone":"z","rack":"k"})",
         R"({"id":"v","role":"odd","address":"a","region":"r","zone":"z",)"
         R"("rack":"k"})",
         R"({"id":"v","role":"runner","address":"a","region":"r","zone":"z",)"
         R"("rack":"k","accelerators":1e300})" }) {
    int errors = 0;
    const state::VmList list = protocol::DecodeVmList(
      HttpResponse::Json(200,
                         R"({"vms":[)" + entry +
                           R"(,{"id":"w","role":"worker","address":"a",)"
                           R"("region":"r","zone":"z","rack":"k"}]})"),
      [&errors](const std::string& /*aError*/) { ++errors; });
    CHECK_EQUAL(1, errors);
    CHECK_EQUAL(1, list.All().size());
  }
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
