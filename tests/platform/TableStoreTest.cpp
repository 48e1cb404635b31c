#include "platform/TableStore.h"
#include "coordination/FakeTable.h"
#include "cornelrudder/transport/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <future>

using namespace cornelrudder;
using protocol::HttpRequest;
using protocol::HttpResponse;
using state::RowCondition;
using state::RowWrite;
using state::StoreResult;
using state::StoreStatus;
using state::Transaction;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeout{ 2'000 };

/** A TableStore whose server replies to each request with one response. */
class StoreFixture
{
public:
  explicit StoreFixture(HttpResponse aResponse)
    : mServer(mThread,
              "127.0.0.1:0",
              {},
              [this, aResponse](HttpRequest aRequest,
                                const transport::HttpResponder& aRespond) {
                mLastRequest = std::move(aRequest);
                aRespond(aResponse);
              })
    , mClient(mThread, {})
    , mStore(mClient, mServer.Address(), kTimeout, kTimeout, mLog)
  {
  }

  StoreResult Read(const std::string& aKey)
  {
    std::promise<StoreResult> promise;
    mStore.ReadRow(
      aKey, [&](const StoreResult& aResult) { promise.set_value(aResult); });
    return promise.get_future().get();
  }

  StoreResult Write(const Transaction& aTransaction)
  {
    std::promise<StoreResult> promise;
    mStore.Transact(aTransaction, [&](const StoreResult& aResult) {
      promise.set_value(aResult);
    });
    return promise.get_future().get();
  }

  const HttpRequest& LastRequest() const { return mLastRequest; }

private:
  HttpRequest mLastRequest{ "", "", {}, "" };
  tests::FakeLog mLog;
  transport::IoThread mThread;
  transport::HttpServer mServer;
  transport::HttpClient mClient;
  platform::TableStore mStore;
};

Transaction
SampleTransaction()
{
  return Transaction("id",
                     { { "jobs/j", 0, "text" },
                       { "runs/j", RowWrite::kAnyVersion, std::nullopt } },
                     { RowCondition("operator/config", 5) });
}

void
CheckStatus(StoreStatus aExpected, int aStatus, const std::string& aBody)
{
  StoreFixture fixture(HttpResponse::Json(aStatus, aBody));
  CHECK_EQUAL(static_cast<int>(aExpected),
              static_cast<int>(fixture.Write(SampleTransaction()).Status()));
}

} // namespace

TEST_GROUP(TableStore){};

TEST(TableStore, ReadRowRequestsOnlyItsKey)
{
  StoreFixture fixture(HttpResponse::Json(
    200,
    R"({"rows":[{"table":"t","key":"a b","value":"dGV4dA==","ver":4}],)"
    R"("ver":9,"now-ms":77})"));
  const StoreResult result = fixture.Read("t/a b");
  STRCMP_EQUAL("/v1/rows-get?table=t&part=&from=a%20b&to=a%20b%01",
               fixture.LastRequest().Target().c_str());
  STRCMP_EQUAL("text", result.Rows().front().Value().c_str());
  STRCMP_EQUAL("t/a b", result.Rows().front().Key().c_str());
  CHECK_EQUAL(4, result.Rows().front().Version());
  CHECK_EQUAL(9, result.Version());
  CHECK(result.StoreTime() == milliseconds(77));
}

// Guards against treating a removed row as an existing one.
TEST(TableStore, TombstoneHasNoVersion)
{
  StoreFixture fixture(HttpResponse::Json(
    200, R"({"rows":[{"table":"t","key":"a","ver":4,"tombstone":true}]})"));
  CHECK_EQUAL(0, fixture.Read("t/a").Rows().front().Version());
}

// Guards against sending a transaction without its conditions.
TEST(TableStore, ConditionsAreSent)
{
  StoreFixture fixture(HttpResponse::Json(200, R"({"ver":5})"));
  CHECK_EQUAL(5, fixture.Write(SampleTransaction()).Version());
  STRCMP_EQUAL(
    R"({"expected-rev":[{"key":"config","part":"","table":"op","ver":5},)"
    R"({"key":"j","part":"","table":"jobs","ver":0}],)"
    R"("puts":[{"key":"j","part":"","table":"jobs","value":"dGV4dA=="}],)"
    R"("remove":[{"key":"j","part":"","table":"runs"}]})",
    fixture.LastRequest().Body().c_str());
}

// Guards against counting an unexpected response as a success or as "nothing
// was executed".
TEST(TableStore, MapsHttpStatusesToWriteOutcomes)
{
  CheckStatus(StoreStatus::kOk, 200, R"({"ver":5})");
  CheckStatus(StoreStatus::kConflict, 412, R"({"rows":[]})");
  CheckStatus(StoreStatus::kUnavailable, 503, "");
  CheckStatus(StoreStatus::kUnavailable, 429, "");
  CheckStatus(StoreStatus::kUnavailable, 404, "the store has no call");
  CheckStatus(StoreStatus::kOutcomeUnknown, 500, "");
  CheckStatus(StoreStatus::kOutcomeUnknown, 200, "{");
}
