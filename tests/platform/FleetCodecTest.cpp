#include "platform/FleetCodec.h"
#include "cornelrudder/coordination/CoordinationError.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

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
