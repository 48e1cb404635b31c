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
constexpr NumberRange kAcceleratorRange{ 0, 1'000'000 };

StoreRow
DecodeRow(const json& aRow)
{
  const JsonReader row(aRow, "store response: row");
  return { row.Text("key"),
           row.Counter("version"),
           row.Text("write_id", ""),
           row.Text("value", "") };
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
DecodeVm(const JsonReader& aVm)
{
  return state::Vm(
    state::VmId(aVm.Text("id")),
    DecodeRole(aVm.Text("role")),
    aVm.Text("address"),
    state::VmLocation(state::RegionId(aVm.Text("region")),
                      state::ZoneId(aVm.Text("zone")),
                      state::RackId(aVm.Text("rack"))),
    static_cast<int>(aVm.Integer("accelerators", kAcceleratorRange, 0)),
    aVm.Text("state", "live") == "live" ? state::VmState::kLive
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
      const json body = ParseJson(aResponse.Body(), "store response");
      if (JsonReader(body, "store response").Counter("version") != 0) {
        throw ProtocolError(
          "store response: 404 for a row whose version is not 0");
      }
      return { StoreStatus::kOk, {} };
    }
    if (aResponse.Status() == kHttpConflict) {
      const json body = ParseJson(aResponse.Body(), "store response");
      return { StoreStatus::kConflict, DecodeRows(body.at("conflicts")) };
    }
    if (aResponse.Status() != kHttpOk) {
      return { StoreStatus::kUnavailable, {} };
    }
    const json body = ParseJson(aResponse.Body(), "store response");
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
DecodeVmList(const HttpResponse& aResponse,
             const SkippedEntryHandler& aOnSkipped)
{
  if (aResponse.Status() != kHttpOk) {
    throw ProtocolError("VM list: found HTTP status " +
                        std::to_string(aResponse.Status()));
  }
  const json body = ParseJson(aResponse.Body(), "VM list");
  const JsonReader list(body, "VM list");
  if (!list.Has("vms")) {
    throw ProtocolError("VM list: field vms is missing");
  }
  std::vector<state::Vm> vms;
  for (const JsonReader& vm : list.Elements("vms")) {
    try {
      vms.push_back(DecodeVm(vm));
    } catch (const ProtocolError& error) {
      aOnSkipped(error.what());
    } catch (const state::StateError& error) {
      aOnSkipped(std::string("VM list: ") + error.what());
    }
  }
  return state::VmList(std::move(vms));
}

} // namespace cornelrudder::protocol
