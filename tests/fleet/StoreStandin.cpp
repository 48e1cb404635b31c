#include "StoreStandin.h"

#include <algorithm>
#include <set>

#include <cereal/external/base64.hpp>
#include <nlohmann/json.hpp>

namespace cornelrudder::tests {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

constexpr std::size_t kMaxPage = 500;
constexpr std::chrono::milliseconds kMaxOwnerWait{ 2'000 };
constexpr std::chrono::milliseconds kHeldReply{ 100 };

using Clock = std::chrono::steady_clock;

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

/** @return A query parameter, percent-decoded; empty if absent. */
std::string
DecodedQuery(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text = aRequest.Query(aName);
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::uint64_t
NumericQuery(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text = aRequest.Query(aName);
  return text.empty() ? 0 : std::stoull(text);
}

/** @return The name under which the table that a daemon reads is kept. */
std::string
StoredTable(const std::string& aTable, std::size_t aGate)
{
  return aTable == "servers" ? aTable + "@" + std::to_string(aGate) : aTable;
}

} // namespace

bool
StoreStandin::Handle(const HttpRequest& aRequest,
                     const HttpResponder& aRespond,
                     std::size_t aGate)
{
  if (aRequest.Path() == "/v1/rows-tx") {
    Transact(aRequest, aRespond, aGate);
  } else if (aRequest.Path() == "/v1/rows-get") {
    Read(aRequest, aRespond, aGate);
  } else if (aRequest.Path() == "/v1/rows-feed") {
    FollowFeed(aRequest, aRespond, aGate);
  } else {
    return false;
  }
  return true;
}

void
StoreStandin::Put(const std::string& aTable,
                  const std::string& aKey,
                  const std::string& aValue)
{
  ++mVersion;
  Apply(
    { aTable, "", aKey },
    { cereal::base64::encode(
        reinterpret_cast<const unsigned char*>(aValue.data()), aValue.size()),
      mVersion },
    false);
  Tick();
}

void
StoreStandin::Remove(const std::string& aTable, const std::string& aKey)
{
  ++mVersion;
  Apply({ aTable, "", aKey }, { "", mVersion }, true);
  Tick();
}

void
StoreStandin::PutWorker(std::size_t aGate,
                        const std::string& aKey,
                        const std::string& aValue)
{
  Put(StoredTable("servers", aGate), aKey, aValue);
}

void
StoreStandin::RemoveWorker(std::size_t aGate, const std::string& aKey)
{
  Remove(StoredTable("servers", aGate), aKey);
}

void
StoreStandin::Apply(const RowId& aId, const Row& aRow, bool aIsRemoved)
{
  if (aIsRemoved) {
    mRows.erase(aId);
  } else {
    mRows[aId] = aRow;
  }
  mHistory.push_back({ mVersion, aId, aRow, aIsRemoved });
}

json
StoreStandin::MakeReply() const
{
  return { { "ver", mVersion }, { "now-ms", NowMs() } };
}

std::optional<HttpResponse>
StoreStandin::Refuse(const json& aTransaction) const
{
  std::set<std::string> parts;
  for (const char* entries : { "expected-rev", "puts", "remove" }) {
    for (const json& it : aTransaction.value(entries, json::array())) {
      parts.insert(it.at("part"));
    }
  }
  if (parts.size() > 1 && !aTransaction.value("cross", false)) {
    return HttpResponse::Json(400, R"({"error":"rows of several parts"})");
  }
  if (parts.contains("") && Clock::now() < mOverloadedUntil) {
    return HttpResponse::Json(429, R"({"error":"too many calls"})");
  }
  return std::nullopt;
}

void
StoreStandin::Transact(const HttpRequest& aRequest,
                       const HttpResponder& aRespond,
                       std::size_t aGate)
{
  const json body = json::parse(aRequest.Body());
  if (const auto refusal = Refuse(body)) {
    aRespond(*refusal);
    return;
  }
  json current = json::array();
  bool versionsMatch = true;
  for (const json& it : body.value("expected-rev", json::array())) {
    const RowId id{ it.at("table"), it.at("part"), it.at("key") };
    const auto row = mRows.find(id);
    const Row found = row != mRows.end() ? row->second : Row();
    versionsMatch =
      versionsMatch && found.mVersion == it.at("ver").get<std::uint64_t>();
    current.push_back({ { "table", id.mTable },
                        { "part", id.mPart },
                        { "key", id.mKey },
                        { "value", found.mValue },
                        { "ver", found.mVersion } });
  }
  json reply = MakeReply();
  if (!versionsMatch) {
    reply["rows"] = std::move(current);
    aRespond(HttpResponse::Json(412, reply.dump()));
    return;
  }
  ++mVersion;
  for (const json& it : body.value("puts", json::array())) {
    Apply({ it.at("table"), it.at("part"), it.at("key") },
          { it.at("value").get<std::string>(), mVersion },
          false);
  }
  for (const json& it : body.value("remove", json::array())) {
    Apply(
      { it.at("table"), it.at("part"), it.at("key") }, { "", mVersion }, true);
  }
  Tick();
  const bool isHeld = FollowOwner(body, aGate);
  if (tools::TakeFault(mServer.Faults().mLoseAnswers)) {
    tools::LeaveUnanswered(mServer.Thread(), aRespond);
    return;
  }
  const HttpResponse response = HttpResponse::Json(200, MakeReply().dump());
  if (isHeld) {
    mServer.Thread().PostAfter(kHeldReply,
                               [aRespond, response] { aRespond(response); });
  } else {
    aRespond(response);
  }
}

bool
StoreStandin::FollowOwner(const json& aTransaction, std::size_t aGate)
{
  const auto writes = [&](const char* aTable) {
    const json puts = aTransaction.value("puts", json::array());
    return std::any_of(puts.begin(), puts.end(), [aTable](const json& aPut) {
      return aPut.at("table") == aTable;
    });
  };
  if (!writes("owner")) {
    return false;
  }
  mOwnerGate = aGate;
  const bool isHeld = !mOwnerWaits.empty() && writes("runs");
  RespondToOwnerWaits(isHeld);
  return isHeld;
}

void
StoreStandin::AwaitOwnerWrite(const HttpResponder& aRespond)
{
  mOwnerWaits.push_back({ Clock::now() + kMaxOwnerWait, aRespond });
}

void
StoreStandin::RespondToOwnerWaits(bool aRespondToAll)
{
  std::erase_if(mOwnerWaits, [&](const OwnerWait& aWait) {
    const bool isDue = aRespondToAll || Clock::now() >= aWait.mDeadline;
    if (isDue) {
      aWait.mRespond(
        HttpResponse::Json(200, json{ { "gate", mOwnerGate } }.dump()));
    }
    return isDue;
  });
}

void
StoreStandin::Read(const HttpRequest& aRequest,
                   const HttpResponder& aRespond,
                   std::size_t aGate) const
{
  const std::string table = DecodedQuery(aRequest, "table");
  const std::string stored = StoredTable(table, aGate);
  const std::string part = DecodedQuery(aRequest, "part");
  const std::string to = DecodedQuery(aRequest, "to");
  const std::uint64_t requested = NumericQuery(aRequest, "limit");
  const std::size_t limit =
    requested == 0 ? kMaxPage : std::min(kMaxPage, requested);
  json reply = MakeReply();
  json& rows = reply["rows"] = json::array();
  auto it = mRows.lower_bound({ stored, part, DecodedQuery(aRequest, "from") });
  const auto isInRange = [&] {
    return it != mRows.end() && it->first.mTable == stored &&
           it->first.mPart == part && (to.empty() || it->first.mKey < to);
  };
  for (; isInRange() && rows.size() < limit; ++it) {
    rows.push_back({ { "table", table },
                     { "part", part },
                     { "key", it->first.mKey },
                     { "value", it->second.mValue },
                     { "ver", it->second.mVersion } });
  }
  reply["has-more"] = isInRange();
  aRespond(HttpResponse::Json(200, reply.dump()));
}

json
StoreStandin::ChangesAfter(const std::string& aTable,
                           std::size_t aGate,
                           std::uint64_t aAfter) const
{
  const std::string stored = StoredTable(aTable, aGate);
  json rows = json::array();
  const auto first = std::partition_point(
    mHistory.begin(), mHistory.end(), [aAfter](const Change& aChange) {
      return aChange.mVersion <= aAfter;
    });
  for (auto it = first; it != mHistory.end(); ++it) {
    const Change& change = *it;
    if (change.mId.mTable == stored) {
      json row{ { "table", aTable },
                { "part", change.mId.mPart },
                { "key", change.mId.mKey },
                { "value", change.mRow.mValue },
                { "ver", change.mVersion } };
      if (change.mIsRemoved) {
        row["tombstone"] = true;
      }
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

void
StoreStandin::FollowFeed(const HttpRequest& aRequest,
                         const HttpResponder& aRespond,
                         std::size_t aGate)
{
  const std::uint64_t after = NumericQuery(aRequest, "after");
  if (after < mHistoryStart) {
    aRespond(HttpResponse::Json(410, MakeReply().dump()));
    return;
  }
  mPendingFeeds.push_back(
    { DecodedQuery(aRequest, "table"),
      aGate,
      after,
      Clock::now() + Millis(NumericQuery(aRequest, "wait-ms")),
      aRespond });
  Tick();
}

void
StoreStandin::Tick()
{
  RespondToOwnerWaits(false);
  for (auto it = mPendingFeeds.begin(); it != mPendingFeeds.end();) {
    json reply = MakeReply();
    reply["rows"] = ChangesAfter(it->mTable, it->mGate, it->mAfter);
    if (reply["rows"].empty() && Clock::now() < it->mDeadline) {
      ++it;
      continue;
    }
    it->mRespond(HttpResponse::Json(200, reply.dump()));
    it = mPendingFeeds.erase(it);
  }
}

} // namespace cornelrudder::tests
