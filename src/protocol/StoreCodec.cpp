#include "cornelrudder/protocol/StoreCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;
using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

StoreRow
DecodeRow(const json& aRow)
{
  return { aRow.at("key").get<std::string>(),
           aRow.at("version").get<std::uint64_t>(),
           aRow.value("write_id", ""),
           aRow.value("value", "") };
}

std::vector<StoreRow>
DecodeRows(const json& aRows)
{
  std::vector<StoreRow> rows;
  for (const json& row : aRows) {
    rows.push_back(DecodeRow(row));
  }
  return rows;
}

state::VmRole
DecodeRole(const std::string& aText)
{
  if (aText == "entry") {
    return state::VmRole::kEntry;
  }
  if (aText == "runner") {
    return state::VmRole::kRunner;
  }
  if (aText == "worker") {
    return state::VmRole::kWorker;
  }
  throw ProtocolError("VM list: field role: found \"" + aText +
                      "\": allowed are entry, runner, worker");
}

state::Vm
DecodeVm(const json& aVm)
{
  return state::Vm(
    state::VmId(aVm.at("id").get<std::string>()),
    DecodeRole(aVm.at("role").get<std::string>()),
    aVm.at("address").get<std::string>(),
    state::VmLocation(state::RegionId(aVm.at("region").get<std::string>()),
                      state::ZoneId(aVm.at("zone").get<std::string>()),
                      state::RackId(aVm.at("rack").get<std::string>())),
    aVm.value("accelerators", 0),
    aVm.value("state", "live") == "live" ? state::VmState::kLive
                                         : state::VmState::kLeaving);
}

} // namespace

HttpRequest
EncodeReadRow(const std::string& aKey)
{
  return { "GET", "/table/row/" + aKey, {}, "" };
}

HttpRequest
EncodeListRows(const std::string& aPrefix)
{
  return { "GET", "/table/rows?prefix=" + aPrefix, {}, "" };
}

HttpRequest
EncodeTransaction(const state::Transaction& aTransaction)
{
  json writes = json::array();
  for (const state::RowWrite& write : aTransaction.Writes()) {
    json value = nullptr;
    if (write.Value()) {
      value = *write.Value();
    }
    writes.push_back({ { "key", write.Key() },
                       { "version", write.ExpectedVersion() },
                       { "value", value } });
  }
  const json body{ { "write_id", aTransaction.WriteId() },
                   { "writes", writes } };
  return { "POST",
           "/table/transact",
           { { "content-type", "application/json" } },
           ToText(body) };
}

StoreResult
DecodeStoreResponse(const HttpResponse& aResponse)
{
  try {
    if (aResponse.Status() == kHttpNotFound) {
      // The store reports an absent row as a row of version 0. Any other 404
      // comes from a server without this call and says nothing about rows.
      const json body = json::parse(aResponse.Body());
      if (body.at("version").get<std::uint64_t>() != 0) {
        throw ProtocolError(
          "store response: 404 for a row whose version is not 0");
      }
      return { StoreStatus::kOk, {} };
    }
    if (aResponse.Status() == kHttpConflict) {
      const json body = json::parse(aResponse.Body());
      return { StoreStatus::kConflict, DecodeRows(body.at("conflicts")) };
    }
    if (aResponse.Status() != kHttpOk) {
      return { StoreStatus::kUnavailable, {} };
    }
    const json body = json::parse(aResponse.Body());
    if (body.contains("rows")) {
      return { StoreStatus::kOk, DecodeRows(body.at("rows")) };
    }
    return { StoreStatus::kOk, { DecodeRow(body) } };
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("store response: ") + error.what());
  }
}

HttpRequest
EncodeListVms(const std::string& aEtag)
{
  HttpHeaders headers;
  if (!aEtag.empty()) {
    headers.emplace("if-none-match", aEtag);
  }
  return { "GET", "/vms", std::move(headers), "" };
}

bool
IsNotModified(const HttpResponse& aResponse)
{
  return aResponse.Status() == kHttpNotModified;
}

state::VmList
DecodeVmList(const HttpResponse& aResponse)
{
  if (aResponse.Status() != kHttpOk) {
    throw ProtocolError("VM list: found HTTP status " +
                        std::to_string(aResponse.Status()));
  }
  try {
    std::vector<state::Vm> vms;
    const json body = json::parse(aResponse.Body());
    for (const json& vm : body.at("vms")) {
      vms.push_back(DecodeVm(vm));
    }
    return state::VmList(std::move(vms));
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("VM list: ") + error.what());
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string("VM list: ") + error.what());
  }
}

} // namespace cornelrudder::protocol
