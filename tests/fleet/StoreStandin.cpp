#include "StoreStandin.h"

#include <algorithm>

#include <cereal/external/base64.hpp>
#include <nlohmann/json.hpp>

namespace cornelrudder::tests {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;
using transport::HttpResponder;

namespace {

constexpr std::size_t kMaxPage = 500;

using Clock = std::chrono::steady_clock;

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

/** @return A parameter of the query without its escapes. */
std::string
Parameter(const HttpRequest& aRequest, std::string_view aName)
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
Number(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text = aRequest.Query(aName);
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

bool
StoreStandin::Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (aRequest.Path() == "/v1/rows-tx") {
    Transact(aRequest, aRespond);
  } else if (aRequest.Path() == "/v1/rows-get") {
    Read(aRequest, aRespond);
  } else if (aRequest.Path() == "/v1/rows-feed") {
    Follow(aRequest, aRespond);
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
    { aTable, aKey },
    { cereal::base64::encode(
        reinterpret_cast<const unsigned char*>(aValue.data()), aValue.size()),
      mVersion },
    false);
  Tick();
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
StoreStandin::Answer() const
{
  return { { "ver", mVersion }, { "now-ms", NowMs() } };
}

void
StoreStandin::Transact(const HttpRequest& aRequest,
                       const HttpResponder& aRespond)
{
  const json body = json::parse(aRequest.Body());
  json current = json::array();
  bool holds = true;
  for (const json& it : body.value("expected-rev", json::array())) {
    const RowId id{ it.at("table"), it.at("key") };
    const auto row = mRows.find(id);
    const Row found = row != mRows.end() ? row->second : Row();
    holds = holds && found.mVersion == it.at("ver").get<std::uint64_t>();
    current.push_back({ { "table", id.first },
                        { "part", "" },
                        { "key", id.second },
                        { "value", found.mValue },
                        { "ver", found.mVersion } });
  }
  json answer = Answer();
  if (!holds) {
    answer["rows"] = std::move(current);
    aRespond(HttpResponse::Json(412, answer.dump()));
    return;
  }
  ++mVersion;
  for (const json& it : body.value("puts", json::array())) {
    Apply({ it.at("table"), it.at("key") },
          { it.at("value").get<std::string>(), mVersion },
          false);
  }
  for (const json& it : body.value("remove", json::array())) {
    Apply({ it.at("table"), it.at("key") }, { "", mVersion }, true);
  }
  Tick();
  if (tools::TakeFault(mServer.Faults().mLoseAnswers)) {
    tools::LeaveUnanswered(mServer.Thread(), aRespond);
    return;
  }
  aRespond(HttpResponse::Json(200, Answer().dump()));
}

void
StoreStandin::Read(const HttpRequest& aRequest,
                   const HttpResponder& aRespond) const
{
  const std::string table = Parameter(aRequest, "table");
  const std::string to = Parameter(aRequest, "to");
  const std::uint64_t asked = Number(aRequest, "limit");
  const std::size_t limit = asked == 0 ? kMaxPage : std::min(kMaxPage, asked);
  json answer = Answer();
  json& rows = answer["rows"] = json::array();
  auto it = mRows.lower_bound({ table, Parameter(aRequest, "from") });
  const auto isInside = [&] {
    return it != mRows.end() && it->first.first == table &&
           (to.empty() || it->first.second < to);
  };
  for (; isInside() && rows.size() < limit; ++it) {
    rows.push_back({ { "table", table },
                     { "part", "" },
                     { "key", it->first.second },
                     { "value", it->second.mValue },
                     { "ver", it->second.mVersion } });
  }
  answer["has-more"] = isInside();
  aRespond(HttpResponse::Json(200, answer.dump()));
}

json
StoreStandin::ChangesOf(const std::string& aTable, std::uint64_t aAfter) const
{
  json rows = json::array();
  for (const Change& change : mHistory) {
    if (change.mVersion > aAfter && change.mId.first == aTable) {
      json row{ { "table", aTable },
                { "part", "" },
                { "key", change.mId.second },
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
StoreStandin::Follow(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const std::uint64_t after = Number(aRequest, "after");
  if (after < mHistoryStart) {
    aRespond(HttpResponse::Json(410, Answer().dump()));
    return;
  }
  mWaiters.push_back({ Parameter(aRequest, "table"),
                       after,
                       Clock::now() + Millis(Number(aRequest, "wait-ms")),
                       aRespond });
  Tick();
}

void
StoreStandin::Tick()
{
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    json answer = Answer();
    answer["rows"] = ChangesOf(it->mTable, it->mAfter);
    if (answer["rows"].empty() && Clock::now() < it->mDeadline) {
      ++it;
      continue;
    }
    it->mRespond(HttpResponse::Json(200, answer.dump()));
    it = mWaiters.erase(it);
  }
}

} // namespace cornelrudder::tests
