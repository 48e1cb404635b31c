/**
 * @file
 * Stand-in for the platform: transactional table, object store and VM list.
 * `PUT /vms` replaces the list of VMs.
 */

#include "StandinServer.h"

#include <array>
#include <map>
#include <string_view>

#include <nlohmann/json.hpp>

namespace {

using cornelrudder::protocol::HttpRequest;
using cornelrudder::protocol::HttpResponse;
using cornelrudder::tools::StandinServer;
using cornelrudder::transport::HttpResponder;
using nlohmann::json;

struct Row
{
  std::uint64_t mVersion = 0;
  std::string mWriteId;
  json mValue;
};

class Platform
{
public:
  explicit Platform(StandinServer& aServer)
    : mServer(aServer)
  {
  }

  void Serve(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    for (const Route& route : kRoutes) {
      if (aRequest.Method() == route.mMethod &&
          aRequest.Path().starts_with(route.mPrefix)) {
        try {
          (this->*route.mHandler)(aRequest, aRespond);
        } catch (const json::exception& error) {
          aRespond(HttpResponse::Json(400, json(error.what()).dump()));
        }
        return;
      }
    }
    aRespond(HttpResponse::Json(404, "{}"));
  }

private:
  struct Route
  {
    std::string_view mMethod;
    std::string_view mPrefix;
    void (Platform::*mHandler)(const HttpRequest&, const HttpResponder&);
  };

  static const std::array<Route, 7> kRoutes;

  json ToJson(const std::string& aKey) const
  {
    const auto it = mRows.find(aKey);
    const Row row = it != mRows.end() ? it->second : Row{};
    return { { "key", aKey },
             { "version", row.mVersion },
             { "write_id", row.mWriteId },
             { "value", row.mValue.is_null() ? json("") : row.mValue } };
  }

  void ReadRow(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    const std::string key(
      aRequest.Path().substr(std::string_view("/table/row/").size()));
    const bool found = mRows.contains(key);
    aRespond(HttpResponse::Json(found ? 200 : 404, ToJson(key).dump()));
  }

  void ListRows(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    const std::string prefix = aRequest.Query("prefix");
    json rows = json::array();
    for (auto it = mRows.lower_bound(prefix);
         it != mRows.end() && it->first.starts_with(prefix);
         ++it) {
      rows.push_back(ToJson(it->first));
    }
    aRespond(HttpResponse::Json(200, json{ { "rows", rows } }.dump()));
  }

  void Transact(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    const json body = json::parse(aRequest.Body());
    json conflicts = json::array();
    for (const json& write : body.at("writes")) {
      const json row = ToJson(write.at("key").get<std::string>());
      if (row.at("version") != write.at("version")) {
        conflicts.push_back(row);
      }
    }
    if (!conflicts.empty()) {
      RespondToWrite(aRespond, 409, { { "conflicts", conflicts } });
      return;
    }
    json rows = json::array();
    for (const json& write : body.at("writes")) {
      Apply(write, body.at("write_id").get<std::string>());
      rows.push_back(ToJson(write.at("key").get<std::string>()));
    }
    RespondToWrite(aRespond, 200, { { "rows", rows } });
  }

  void Apply(const json& aWrite, const std::string& aWriteId)
  {
    const auto key = aWrite.at("key").get<std::string>();
    if (aWrite.at("value").is_null()) {
      mRows.erase(key);
      return;
    }
    Row& row = mRows[key];
    row = { row.mVersion + 1, aWriteId, aWrite.at("value") };
  }

  /** Responds to a write, or with status 500 if its response is to be lost. */
  void RespondToWrite(const HttpResponder& aRespond,
                      int aStatus,
                      const json& aBody)
  {
    if (cornelrudder::tools::TakeFault(mServer.Faults().mLoseAnswers)) {
      aRespond(HttpResponse::Json(500, R"({"error":"answer lost"})"));
      return;
    }
    aRespond(HttpResponse::Json(aStatus, aBody.dump()));
  }

  void GetVms(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    const std::string etag = "\"" + std::to_string(mVmsVersion) + "\"";
    if (aRequest.Header("if-none-match") == etag) {
      aRespond({ 304, { { "etag", etag } }, "" });
      return;
    }
    aRespond({ 200, { { "etag", etag } }, mVms.dump() });
  }

  void PutVms(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    mVms = json::parse(aRequest.Body());
    ++mVmsVersion;
    aRespond(HttpResponse::Json(200, "{}"));
  }

  void GetObject(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    const auto it = mObjects.find(std::string(aRequest.Path()));
    if (it == mObjects.end()) {
      aRespond(HttpResponse::Json(404, "{}"));
      return;
    }
    aRespond({ 200, {}, it->second });
  }

  void PutObject(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    mObjects[std::string(aRequest.Path())] = aRequest.Body();
    aRespond(HttpResponse::Json(200, "{}"));
  }

  StandinServer& mServer;
  std::map<std::string, Row> mRows;
  std::map<std::string, std::string> mObjects;
  json mVms{ { "vms", json::array() } };
  std::uint64_t mVmsVersion = 0;
};

const std::array<Platform::Route, 7> Platform::kRoutes{ {
  { "GET", "/table/row/", &Platform::ReadRow },
  { "GET", "/table/rows", &Platform::ListRows },
  { "POST", "/table/transact", &Platform::Transact },
  { "GET", "/vms", &Platform::GetVms },
  { "PUT", "/vms", &Platform::PutVms },
  { "GET", "/objects/", &Platform::GetObject },
  { "PUT", "/objects/", &Platform::PutObject },
} };

} // namespace

int
main(int aCount, char** aArguments)
{
  StandinServer server;
  Platform platform(server);
  return server.Run(
    aCount,
    aArguments,
    [&platform](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      platform.Serve(aRequest, aRespond);
    });
}
