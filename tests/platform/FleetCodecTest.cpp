#include "platform/FleetCodec.h"
#include "CoroutineStack.h"
#include "HostileJson.h"
#include "cornelrudder/coordination/CoordinationError.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>

using namespace cornelrudder;
using namespace cornelrudder::state::scheduling;
using coordination::CoordinationError;
using platform::FleetCodec;

namespace {

constexpr const char* kManifest =
  R"({"version":7,"routes":[)"
  R"({"name":"r1","host":"h","prefix":"/a/","priority":2,"service":"s",)"
  R"("attempts":2,"slack-factor":3.0,"target-latency-ms":3000},)"
  R"({"name":"r2","host":"h","prefix":"/a/b/","service":"s","public":true}],)"
  R"("limits":{"max-body-bytes":100},)"
  R"("tenants":[{"name":"t","api-keys":["k1","k2"],"guaranteed":{"gpu":120}}]})";

/** The fields of a valid entry. */
constexpr std::array kEntryFields{
  R"("address":"10.0.0.9:80")", R"("service":"s")", R"("state":"ready")",
  R"("room":{"cpu":1000})",     R"("zone":"z")",    R"("labels":["a"])",
  R"("clock-ms":482)",          R"("born":12)",     R"("remaining-ms":5)",
};

/** @return A valid entry in which the field of that name has another value. */
std::string
EntryWith(const std::string& aName, const std::string& aValue)
{
  std::string entry = "{\"" + aName + "\":" + aValue;
  for (const std::string_view field : kEntryFields) {
    if (!field.starts_with("\"" + aName + "\"")) {
      entry += "," + std::string(field);
    }
  }
  return entry + "}";
}

void
CheckRejected(const std::string& aEntry)
{
  try {
    FleetCodec().DecodeWorker("i", aEntry);
    FAIL(("decoded " + aEntry.substr(0, 300)).c_str());
  } catch (const CoordinationError&) {
  }
}

void
CheckManifestRejected(const std::string& aManifest)
{
  try {
    FleetCodec().DecodeCatalog(aManifest, 1);
    FAIL(("decoded " + aManifest.substr(0, 300)).c_str());
  } catch (const CoordinationError&) {
  }
}

} // namespace

TEST_GROUP(FleetCodec){};

TEST(FleetCodec, DecodesManifest)
{
  const Catalog catalog = FleetCodec().DecodeCatalog(kManifest, 33);
  CHECK_EQUAL(33, catalog.RowVersion());
  CHECK_EQUAL(7, catalog.OperatorVersion());
  CHECK_EQUAL(100, catalog.Limits().mMaxBodyBytes);
  CHECK_EQUAL(120, catalog.Organisations().front().mGuaranteedAccelerators);
  STRCMP_EQUAL("t", catalog.FindOrganisation("k2")->c_str());
  CHECK(catalog.FindOrganisation("k3") == nullptr);
}

// Guards against routing a call to a queue with a shorter matching prefix than
// another queue has.
TEST(FleetCodec, LongestPrefixSelectsTheQueue)
{
  const Catalog catalog = FleetCodec().DecodeCatalog(kManifest, 1);
  STRCMP_EQUAL("r1", catalog.FindQueue("h", "/a/x")->mSettings.mQueue.c_str());
  STRCMP_EQUAL("r2",
               catalog.FindQueue("h", "/a/b/x")->mSettings.mQueue.c_str());
  CHECK(catalog.FindQueue("other", "/a/x") == nullptr);
  CHECK(catalog.FindQueue("h", "/b/") == nullptr);
}

TEST(FleetCodec, DecodesWorker)
{
  const WorkerInfo worker = FleetCodec().DecodeWorker(
    "i-1",
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining",)"
    R"("room":{"cpu":16000,"mem-mb":32768,"gpu":8},"labels":["a","r1-3"],)"
    R"("clock-ms":482,"born":12,"sequence":4})");
  CHECK(worker.mDraining);
  CHECK(worker.mCapacity == Resources(16'000, 32'768, 8));
  STRCMP_EQUAL("r1-3", worker.mRack.c_str());
  CHECK_EQUAL(12, worker.mIncarnation);
}

// Guards against using an entry that does not describe a worker.
TEST(FleetCodec, RejectsMalformedWorkerEntries)
{
  for (const char* entry :
       { "",
         "\xff\xfe",
         "7",
         R"({"service":"s"})",
         R"({"service":"s","address":"a:1","state":"odd","room":{}})",
         R"({"service":4,"address":"a:1","state":"ready","room":{}})" }) {
    CHECK_THROWS(CoordinationError, FleetCodec().DecodeWorker("i", entry));
  }
}

TEST(FleetCodec, EntryOfTheseTestsIsValid)
{
  const WorkerInfo worker =
    FleetCodec().DecodeWorker("i", EntryWith("zone", R"("z")"));
  STRCMP_EQUAL("10.0.0.9:80", worker.mAddress.c_str());
  CHECK_EQUAL(12, worker.mIncarnation);
  CHECK(FleetCodec().DecodeWorker("i", EntryWith("clock-ms", "482.5")).mClock ==
        std::chrono::milliseconds(482));
}

// Guards against a worker that no connection can reach: a start there fails,
// and the task waits for the next worker.
TEST(FleetCodec, EntryWithUnusableAddressIsRejected)
{
  for (const char* address : { "",
                               "10.0.0.9",
                               "10.0.0.9:",
                               ":80",
                               "10.0.0.9:0",
                               "10.0.0.9:-1",
                               "10.0.0.9:65536",
                               "10.0.0.9:4294967376",
                               "10.0.0.9:80x",
                               "10.0.0.999:80",
                               "host.example:80",
                               "10.0.0.9:80\\r\\nx-a: b" }) {
    CheckRejected(EntryWith("address", '"' + std::string(address) + '"'));
  }
}

// Guards against a number out of range that becomes another one: a capacity
// that overflows the sum of the fleet, or an incarnation above all later ones.
TEST(FleetCodec, EntryWithNumberOutOfRangeIsRejected)
{
  for (const std::string& value : tests::NoTimes()) {
    CheckRejected(EntryWith("clock-ms", value));
    CheckRejected(EntryWith("remaining-ms", value));
  }
  for (const std::string& value : tests::NoCounters()) {
    CheckRejected(EntryWith("born", value));
    CheckRejected(EntryWith("room", "{\"cpu\":" + value + "}"));
    CheckRejected(EntryWith("room", "{\"mem-mb\":" + value + "}"));
    CheckRejected(EntryWith("room", "{\"gpu\":" + value + "}"));
  }
  CheckRejected(EntryWith("born", "9007199254740991"));
  CheckRejected(EntryWith("room", R"({"gpu":9007199254740991})"));
}

// Guards against using an entry with fields of another type.
TEST(FleetCodec, EntryWithFieldOfOtherTypeIsRejected)
{
  for (const std::string& value : tests::NoStrings()) {
    for (const char* name : { "address", "service", "state", "zone" }) {
      CheckRejected(EntryWith(name, value));
    }
  }
  for (const char* value : { "null", "7", "\"a\"", "{}", "[7]", "[[]]" }) {
    CheckRejected(EntryWith("labels", value));
  }
  for (const char* value : { "null", "7", "\"a\"", "[]" }) {
    CheckRejected(EntryWith("room", value));
  }
}

// Guards against using an entry that is nested too deeply to be copied.
TEST(FleetCodec, DeeplyNestedEntryIsRejected)
{
  const std::string deep = tests::DeepArray();
  tests::RunOnCoroutineStack([&] {
    CheckRejected(deep);
    CheckRejected(EntryWith("labels", deep));
    CheckRejected(EntryWith("room", deep));
    CheckRejected(EntryWith("other", deep));
  });
}

// Guards against a worker identifier that adds a header to a command.
TEST(FleetCodec, IdentifierWithControlCharactersIsRejected)
{
  const std::string entry = EntryWith("zone", R"("z")");
  for (const char* id : { "", "a\r\nx-b: c", "a b", "\xff" }) {
    CHECK_THROWS(CoordinationError, FleetCodec().DecodeWorker(id, entry));
  }
}

// Guards against a deeply nested manifest, whose copy overflowed the stack.
TEST(FleetCodec, DeeplyNestedManifestIsRejected)
{
  for (const char* manifest : { "@",
                                R"({"version":1,"other":@})",
                                R"({"version":1,"routes":@})",
                                R"({"version":1,"tenants":@})" }) {
    CheckManifestRejected(tests::Fill(manifest, tests::DeepArray()));
  }
}

// Guards against a manifest number out of range that becomes another one, such
// as 4294967297 attempts that became 1.
TEST(FleetCodec, ManifestWithNumberOutOfRangeIsRejected)
{
  for (const char* value :
       { "-1", "4294967297", "1e300", "18446744073709551615", "\"1\"" }) {
    for (const char* name : { "priority", "attempts", "slack-factor" }) {
      CheckManifestRejected(
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
        R"("service":"s",")" +
        std::string(name) + "\":" + value + "}]}");
    }
  }
  for (const std::string& value : tests::NoTimes()) {
    CheckManifestRejected(
      R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("service":"s","target-latency-ms":)" +
      value + "}]}");
  }
  for (const std::string& value : tests::NoCounters()) {
    CheckManifestRejected("{\"version\":" + value + "}");
    CheckManifestRejected(R"({"version":1,"limits":{"max-body-bytes":)" +
                          value + "}}");
    CheckManifestRejected(
      R"({"version":1,"tenants":[{"name":"t","guaranteed":{"gpu":)" + value +
      "}}]}");
  }
}

// Guards against undeclared exceptions of the decoders.
TEST(FleetCodec, ArbitraryInputThrowsOnlyDeclaredErrors)
{
  CHECK(rc::check([](const std::string& aText) {
    try {
      FleetCodec().DecodeCatalog(aText, 1);
    } catch (const CoordinationError&) {
    }
    try {
      FleetCodec().DecodeWorker("i", aText);
    } catch (const CoordinationError&) {
    }
  }));
}
