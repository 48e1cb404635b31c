#include "platform/TableStore.h"
#include "HostileJson.h"
#include "coordination/FakeTable.h"
#include "cornelrudder/transport/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <functional>
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

/** A TableStore whose server replies as a function of the request. */
class StoreFixture
{
public:
  using Reply = std::function<HttpResponse(const HttpRequest&)>;

  explicit StoreFixture(HttpResponse aResponse)
    : StoreFixture([aResponse](const HttpRequest&) { return aResponse; })
  {
  }

  explicit StoreFixture(Reply aReply)
    : mServer(mThread,
              "127.0.0.1:0",
              {},
              [this, reply = std::move(aReply)](
                HttpRequest aRequest,
                const transport::HttpResponder& aRespond) {
                mLastRequest = std::move(aRequest);
                aRespond(reply(mLastRequest));
              })
    , mClient(mThread, {})
    , mStore(mClient, mServer.Address(), kTimeout, kTimeout, {}, mLog)
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
  int CountMalformedRows()
  {
    return mLog.Count(coordination::LogEvent::kRowMalformed);
  }
  int CountRejectedWrites()
  {
    return mLog.Count(coordination::LogEvent::kWriteRejected);
  }
  int CountRefusalLines()
  {
    return mLog.Count(coordination::LogEvent::kStoreRefusals);
  }

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

/** @return The reply of a store whose part of the workers is overloaded. */
HttpResponse
RefuseInPartOfWorkers(const HttpRequest& aRequest)
{
  const bool isRefused =
    aRequest.Body().find(R"("part":"")") != std::string::npos;
  return isRefused ? HttpResponse::Json(429, R"({"error":"too many calls"})")
                   : HttpResponse::Json(200, R"({"ver":5})");
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
    R"({"cross":true,)"
    R"("expected-rev":[{"key":"config","part":"","table":"op","ver":5},)"
    R"({"key":"j","part":"jobs","table":"jobs","ver":0}],)"
    R"("puts":[{"key":"j","part":"jobs","table":"jobs","value":"dGV4dA=="}],)"
    R"("remove":[{"key":"j","part":"owner","table":"runs"}]})",
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
  CheckStatus(StoreStatus::kRejected, 400, R"({"error":"bad call"})");
  CheckStatus(StoreStatus::kRejected, 403, R"({"error":"not yours"})");
  CheckStatus(StoreStatus::kRejected, 413, R"({"error":"too large"})");
  CheckStatus(StoreStatus::kOutcomeUnknown, 500, "");
  CheckStatus(StoreStatus::kOutcomeUnknown, 200, "{");
}

// Guards against sending a write that the store can never accept, and against a
// log that does not name its row.
TEST(TableStore, WritesOverTheLimitsOfTheStoreAreRejected)
{
  const platform::TableLimits limits;
  StoreFixture fixture(HttpResponse::Json(200, R"({"ver":5})"));
  const auto statusOf = [&fixture](std::vector<RowWrite> aWrites) {
    return fixture.Write(Transaction("id", std::move(aWrites))).Status();
  };
  const std::string longest(limits.MaxValueBytes(), 'x');
  const std::vector<RowWrite> most(limits.mEntries,
                                   { "runs/j", RowWrite::kAnyVersion, "text" });
  CHECK(statusOf({ { "runs/j", RowWrite::kAnyVersion, longest } }) ==
        StoreStatus::kOk);
  CHECK(statusOf(most) == StoreStatus::kOk);
  CHECK_EQUAL(0, fixture.CountRejectedWrites());
  CHECK(statusOf({ { "runs/j", RowWrite::kAnyVersion, longest + "x" } }) ==
        StoreStatus::kRejected);
  std::vector<RowWrite> tooMany = most;
  tooMany.front() = RowWrite("runs/j", 0, "text");
  CHECK(statusOf(tooMany) == StoreStatus::kRejected);
  const std::vector<RowWrite> tooLong(
    limits.mCallBytes / limits.mRowBytes + 1,
    { "runs/j", RowWrite::kAnyVersion, longest });
  CHECK(statusOf(tooLong) == StoreStatus::kRejected);
  CHECK_EQUAL(3, fixture.CountRejectedWrites());
}

// Guards against an owner that cannot write while the workers write too much.
TEST(TableStore, OwnerWritesWhileThePartOfTheWorkersIsOverloaded)
{
  StoreFixture fixture(RefuseInPartOfWorkers);
  const StoreResult result =
    fixture.Write(Transaction("id",
                              { { "owner/lease", 4, "text" },
                                { "runs/j", RowWrite::kAnyVersion, "text" },
                                { "runs/k", RowWrite::kAnyVersion, {} } }));
  CHECK(result.Status() == StoreStatus::kOk);
}

// Guards against an overloaded store that the log does not show, and against a
// log line for each refusal.
TEST(TableStore, RefusalsAreLoggedInFewLines)
{
  constexpr int kWrites = 20;
  StoreFixture fixture(HttpResponse::Json(429, ""));
  for (int i = 0; i < kWrites; ++i) {
    fixture.Write(SampleTransaction());
  }
  CHECK(fixture.CountRefusalLines() >= 1);
  CHECK(fixture.CountRefusalLines() < kWrites);
}

// Guards against one odd row that makes a whole page unreadable: the reader
// then read the page again and again and never followed later changes.
TEST(TableStore, OddRowDoesNotHideOtherRows)
{
  for (const std::string row :
       { "7",
         "null",
         "[]",
         "{}",
         R"({"table":"t","key":7,"ver":1})",
         R"({"table":"t","key":"b","ver":"1"})",
         R"({"table":"t","key":"b","ver":1e300})",
         R"({"table":"t","key":"b","ver":-1})",
         R"({"table":"t","key":"b","ver":1,"value":7})",
         R"({"table":"t","key":"b","ver":1,"tombstone":"no"})" }) {
    StoreFixture fixture(HttpResponse::Json(
      200,
      R"({"rows":[)" + row +
        R"(,{"table":"t","key":"a","value":"dGV4dA==","ver":4}],"ver":9})"));
    const StoreResult result = fixture.Read("t/a");
    CHECK_TEXT(result.Status() == StoreStatus::kOk, row.c_str());
    CHECK_EQUAL(9, result.Version());
    CHECK_EQUAL(1, result.Rows().size());
    STRCMP_EQUAL("text", result.Rows().front().Value().c_str());
    CHECK_EQUAL(1, fixture.CountMalformedRows());
  }
}

// Guards against a key with invalid UTF-8 that makes a whole page unreadable.
TEST(TableStore, KeyWithInvalidUtf8DoesNotHideOtherRows)
{
  StoreFixture fixture(HttpResponse::Json(
    200,
    "{\"rows\":[{\"table\":\"t\",\"key\":\"\xff\",\"ver\":3,\"value\":\"\"},"
    "{\"table\":\"t\",\"key\":\"a\",\"value\":\"dGV4dA==\",\"ver\":4}]}"));
  const StoreResult result = fixture.Read("t/a");
  CHECK(result.Status() == StoreStatus::kOk);
  CHECK_EQUAL(2, result.Rows().size());
  STRCMP_EQUAL("t/a", result.Rows().back().Key().c_str());
}

// Guards against using the readable beginning of a value that is not base64.
TEST(TableStore, ValueThatIsNotBase64IsEmpty)
{
  for (const std::string value :
       { "dGV4dA=", "dGV4dA", "dGV4dA==!", "d===", "dG=4", "?" }) {
    StoreFixture fixture(HttpResponse::Json(
      200,
      R"({"rows":[{"table":"t","key":"a","ver":4,"value":")" + value +
        "\"}]}"));
    const StoreResult result = fixture.Read("t/a");
    CHECK_EQUAL(4, result.Rows().front().Version());
    STRCMP_EQUAL("", result.Rows().front().Value().c_str());
  }
}

// Guards against taking a row of another part, with the same key, for a row of
// the part that this project reads and writes.
TEST(TableStore, RowsOfOtherPartsAreIgnored)
{
  StoreFixture fixture(HttpResponse::Json(
    200,
    R"({"rows":[{"table":"t","part":"","key":"a","value":"dGV4dA==","ver":4},)"
    R"({"table":"t","part":"x","key":"a","value":"","ver":5}],"ver":5})"));
  const StoreResult result = fixture.Read("t/a");
  CHECK_EQUAL(1, result.Rows().size());
  CHECK_EQUAL(4, result.Rows().front().Version());
  CHECK_EQUAL(0, fixture.CountMalformedRows());
}

// Guards against a response with odd numbers that is taken for a state of the
// store: a version that no later one exceeds, or a clock that overflows.
TEST(TableStore, ResponseWithNumberOutOfRangeIsNoResult)
{
  for (const std::string body : { "[]",
                                  "7",
                                  R"({"ver":"5"})",
                                  R"({"ver":1e300})",
                                  R"({"ver":-1})",
                                  R"({"ver":18446744073709551615})",
                                  R"({"ver":5,"now-ms":1e300})",
                                  R"({"ver":5,"now-ms":9223372036854775807})",
                                  R"({"ver":5,"rows":7})",
                                  R"({"ver":5,"has-more":1})" }) {
    StoreFixture fixture(HttpResponse::Json(200, body));
    CHECK_TEXT(fixture.Read("t/a").Status() == StoreStatus::kUnavailable,
               body.c_str());
    CheckStatus(StoreStatus::kOutcomeUnknown, 200, body);
  }
}

// Guards against a deeply nested response, which completes on a coroutine.
TEST(TableStore, DeeplyNestedResponseIsNoResult)
{
  for (const char* body : { "@", R"({"rows":@})", R"({"ver":5,"other":@})" }) {
    CheckStatus(
      StoreStatus::kOutcomeUnknown, 200, tests::Fill(body, tests::DeepArray()));
  }
}
