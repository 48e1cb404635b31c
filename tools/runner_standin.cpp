/**
 * @file
 * Stand-in for a runner with 8 slots; responds with "done:" and the request
 * body. A body that starts with "work_ms=N" takes N milliseconds.
 * `GET /journal` lists the identifiers and bodies of all started requests.
 */

#include "StandinServer.h"
#include "cornelrudder/protocol/BodyDigest.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace {

using cornelrudder::protocol::BodyDigest;
using cornelrudder::protocol::HttpHeaders;
using cornelrudder::protocol::HttpRequest;
using cornelrudder::protocol::HttpResponse;
using cornelrudder::tools::StandinServer;
using cornelrudder::tools::TakeFault;
using cornelrudder::transport::HttpResponder;
using nlohmann::json;

constexpr int kSlots = 8;
constexpr std::string_view kWorkPrefix = "work_ms=";

class Runner
{
public:
  explicit Runner(StandinServer& aServer)
    : mServer(aServer)
  {
  }

  void Serve(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (aRequest.Path() == "/journal") {
      aRespond(HttpResponse::Json(200, json{ { "runs", mJournal } }.dump()));
      return;
    }
    if (aRequest.Method() != "POST" || !aRequest.Path().starts_with("/run/")) {
      aRespond(HttpResponse::Json(404, "{}"));
      return;
    }
    if (mBusySlots >= kSlots || mServer.Faults().mLeaving != 0) {
      Refuse(aRequest, aRespond);
      return;
    }
    Start(aRequest, aRespond);
  }

private:
  void Refuse(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    HttpHeaders headers = Headers(aRequest);
    headers.emplace("x-not-started", "true");
    aRespond({ 503, std::move(headers), "" });
  }

  void Start(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    ++mBusySlots;
    mJournal.push_back({ { "request", aRequest.Header("x-request-id") },
                         { "body", aRequest.Body() } });
    mServer.Thread().PostAfter(WorkTime(aRequest.Body()),
                               [this, aRequest, aRespond] {
                                 --mBusySlots;
                                 Finish(aRequest, aRespond);
                               });
  }

  void Finish(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    HttpHeaders headers = Headers(aRequest);
    if (mServer.Faults().mFailAll != 0) {
      aRespond({ 500, std::move(headers), "" });
      return;
    }
    std::string body = "done:" + aRequest.Body();
    headers.emplace("x-body-digest", BodyDigest(body));
    if (TakeFault(mServer.Faults().mCrossNext)) {
      headers["x-request-id"] = "other-" + aRequest.Header("x-request-id");
    }
    if (TakeFault(mServer.Faults().mTruncateNext)) {
      body.resize(body.size() / 2);
    }
    aRespond({ 200, std::move(headers), std::move(body) });
  }

  HttpHeaders Headers(const HttpRequest& aRequest)
  {
    HttpHeaders headers{ { "x-request-id", aRequest.Header("x-request-id") } };
    if (mServer.Faults().mLeaving != 0) {
      headers.emplace("x-leaving", "true");
    }
    return headers;
  }

  /** @return N for a body that starts with "work_ms=N", else 0. */
  static std::chrono::milliseconds WorkTime(std::string_view aBody)
  {
    std::int64_t n = 0;
    if (aBody.starts_with(kWorkPrefix)) {
      aBody.remove_prefix(kWorkPrefix.size());
      std::from_chars(aBody.data(), aBody.data() + aBody.size(), n);
    }
    return std::chrono::milliseconds(n);
  }

  StandinServer& mServer;
  int mBusySlots = 0;
  json mJournal = json::array();
};

} // namespace

int
main(int aCount, char** aArguments)
{
  StandinServer server;
  Runner runner(server);
  return server.Run(
    aCount,
    aArguments,
    [&runner](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      runner.Serve(aRequest, aRespond);
    });
}
