#include "world.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

void
Sleep(int aMs)
{
  std::this_thread::sleep_for(Millis(aMs));
}

// Record ---------------------------------------------------------------------

Record::Record(const std::string& aPath)
  : mFile(aPath)
{
}

double
Record::Now() const
{
  return std::chrono::duration<double>(Clock::now() - mStart).count();
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", Now());
  mFile << time << aLine << std::endl;
}

// HTTP -----------------------------------------------------------------------

namespace {

std::string
Lower(std::string aText)
{
  for (char& it : aText) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return aText;
}

std::string
PercentDecode(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

/** Reads one message. @return False at the end of the connection. */
bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody,
            Clock::time_point aDeadline)
{
  const auto fill = [&] {
    const auto left =
      std::chrono::duration_cast<Millis>(aDeadline - Clock::now()).count();
    if (left <= 0) {
      return false;
    }
    pollfd entry{ aSocket, POLLIN, 0 };
    if (poll(&entry, 1, static_cast<int>(std::min<long>(left, 1'000'000))) <=
        0) {
      return false;
    }
    char chunk[65536];
    const ssize_t n = recv(aSocket, chunk, sizeof chunk, 0);
    if (n <= 0) {
      return false;
    }
    aBuffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  std::istringstream head(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::getline(head, aFirstLine);
  if (!aFirstLine.empty() && aFirstLine.back() == '\r') {
    aFirstLine.pop_back();
  }
  aHeaders.clear();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      aHeaders[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end() ? 0 : std::stoull(length->second);
  while (aBuffer.size() < size) {
    if (!fill()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t n =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

sockaddr_in
MakeAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

const Clock::time_point kNever = Clock::time_point::max();

} // namespace

struct Server::State
{
  Handler mHandler;
  std::mutex mMutex;
  std::set<int> mSockets;
  int mListener = -1;
  std::atomic<bool> mStopped{ false };
};

Server::Server(std::string aIp, int aPort, Handler aHandler)
  : mIp(std::move(aIp))
  , mPort(aPort)
  , mState(std::make_shared<State>())
{
  mState->mHandler = std::move(aHandler);
  mState->mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mState->mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = MakeAddress(mIp, mPort);
  if (bind(mState->mListener,
           reinterpret_cast<sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(mState->mListener, 512) != 0) {
    throw std::runtime_error("cannot listen on " + mIp);
  }
  socklen_t size = sizeof address;
  getsockname(mState->mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Accept(); });
}

Server::~Server()
{
  Stop();
}

std::string
Server::Address() const
{
  return mIp + ":" + std::to_string(mPort);
}

void
Server::Stop()
{
  if (mState->mStopped.exchange(true)) {
    return;
  }
  shutdown(mState->mListener, SHUT_RDWR);
  mThread.join();
  close(mState->mListener);
  const std::lock_guard lock(mState->mMutex);
  for (const int it : mState->mSockets) {
    const linger reset{ 1, 0 };
    setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    shutdown(it, SHUT_RDWR);
  }
}

void
Server::Accept()
{
  while (!mState->mStopped) {
    const int socket =
      accept4(mState->mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(mState->mMutex);
      mState->mSockets.insert(socket);
    }
    std::thread([state = mState, socket] { Serve(state, socket); }).detach();
  }
}

void
Server::Serve(std::shared_ptr<State> aState, int aSocket)
{
  std::string buffer;
  std::string line;
  Request request;
  while (!aState->mStopped &&
         ReadMessage(
           aSocket, buffer, line, request.mHeaders, request.mBody, kNever)) {
    std::istringstream words(line);
    std::string target;
    words >> request.mMethod >> target;
    const auto question = target.find('?');
    request.mPath = target.substr(0, question);
    request.mQuery.clear();
    if (question != std::string::npos) {
      std::istringstream query(target.substr(question + 1));
      for (std::string part; std::getline(query, part, '&');) {
        const auto equal = part.find('=');
        request.mQuery[part.substr(0, equal)] =
          equal == std::string::npos ? ""
                                     : PercentDecode(part.substr(equal + 1));
      }
    }
    std::optional<Response> response;
    try {
      response = aState->mHandler(request);
    } catch (const std::exception& error) {
      response = Response{ 400, json{ { "error", error.what() } }.dump() };
    }
    if (!response) {
      // Waits until the peer gives up.
      char byte;
      while (recv(aSocket, &byte, 1, 0) > 0) {
      }
      break;
    }
    const std::string text =
      "HTTP/1.1 " + std::to_string(response->mStatus) +
      " x\r\ncontent-type: application/json\r\ncontent-length: " +
      std::to_string(response->mBody.size()) + "\r\n\r\n" + response->mBody;
    if (!SendAll(aSocket, text)) {
      break;
    }
  }
  const std::lock_guard lock(aState->mMutex);
  aState->mSockets.erase(aSocket);
  close(aSocket);
}

Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     int aTimeoutMs)
{
  const auto deadline = Clock::now() + Millis(aTimeoutMs);
  const auto colon = aAddress.find(':');
  const sockaddr_in address = MakeAddress(
    aAddress.substr(0, colon), std::stoi(aAddress.substr(colon + 1)));
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Response response;
  if (connect(socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0) {
    std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
    for (const auto& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    text += "content-length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> headers;
    if (SendAll(socket, text + aBody) &&
        ReadMessage(socket, buffer, line, headers, response.mBody, deadline)) {
      response.mStatus = std::stoi(line.substr(line.find(' ') + 1));
    }
  }
  close(socket);
  return response;
}

std::vector<int>
FreePorts(const std::string& aIp, std::size_t aCount)
{
  std::vector<int> ports;
  std::vector<int> sockets;
  for (std::size_t i = 0; i < aCount; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = MakeAddress(aIp, 0);
    socklen_t size = sizeof address;
    bind(socket, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ports.push_back(ntohs(address.sin_port));
    sockets.push_back(socket);
  }
  for (const int it : sockets) {
    close(it);
  }
  return ports;
}

std::string
LoopbackIp(int aThird, int aFourth)
{
  return "127." + std::to_string(20 + getpid() % 200) + "." +
         std::to_string(aThird) + "." + std::to_string(aFourth);
}

// Store ----------------------------------------------------------------------

namespace {

constexpr const char* kBase64 =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
Encode64(const std::string& aText)
{
  std::string out;
  std::uint32_t bits = 0;
  int n = 0;
  for (const unsigned char it : aText) {
    bits = bits << 8U | it;
    n += 8;
    while (n >= 6) {
      n -= 6;
      out += kBase64[bits >> n & 63U];
    }
  }
  if (n > 0) {
    out += kBase64[bits << (6 - n) & 63U];
  }
  while (out.size() % 4 != 0) {
    out += '=';
  }
  return out;
}

std::string
Decode64(const std::string& aText)
{
  std::string out;
  std::uint32_t bits = 0;
  int n = 0;
  for (const char it : aText) {
    const char* at = it == '\0' ? nullptr : std::strchr(kBase64, it);
    if (at == nullptr) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(at - kBase64);
    n += 6;
    if (n >= 8) {
      n -= 8;
      out += static_cast<char>(bits >> n & 255U);
    }
  }
  return out;
}

std::string
QueryText(const Request& aRequest, const char* aName)
{
  const auto it = aRequest.mQuery.find(aName);
  return it != aRequest.mQuery.end() ? it->second : "";
}

std::uint64_t
QueryNumber(const Request& aRequest, const char* aName, std::uint64_t aDefault)
{
  const std::string text = QueryText(aRequest, aName);
  return text.empty() ? aDefault : std::stoull(text);
}

constexpr std::size_t kPageRows = 500;
constexpr int kStoreDelayMs = 3;

} // namespace

Store::Store(Record& aRecord)
  : mRecord(aRecord)
  , mServer(
      std::make_unique<Server>("127.0.0.1", 0, [this](const Request& aRequest) {
        return Handle(aRequest);
      }))
{
}

json
Store::Base() const
{
  return { { "ver", mVersion },
           { "now-ms",
             std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch())
               .count() } };
}

json
Store::RowJson(const Id& aId, const Row& aRow) const
{
  return { { "table", aId.mTable },
           { "part", aId.mPart },
           { "key", aId.mKey },
           { "value", aRow.mValue },
           { "ver", aRow.mVersion } };
}

std::optional<Response>
Store::Handle(const Request& aRequest)
{
  Sleep(kStoreDelayMs);
  if (aRequest.mPath == "/v1/rows-tx") {
    if (IsLost(aRequest)) {
      return std::nullopt;
    }
    return Transact(aRequest);
  }
  if (aRequest.mPath == "/v1/rows-get") {
    return Read(aRequest);
  }
  if (aRequest.mPath == "/v1/rows-feed") {
    return Feed(aRequest);
  }
  return Response{ 404, "{}" };
}

void
Store::LoseWrites(const std::string& aTable,
                  const std::string& aKey,
                  int aDelayMs)
{
  const std::lock_guard lock(mMutex);
  mLostTable = aTable;
  mLostKey = aKey;
  mLostDelayMs = aDelayMs;
  if (!aTable.empty()) {
    mLostWrites = 0;
    mWrites = 0;
  }
}

std::pair<std::size_t, std::size_t>
Store::LostAndAllWrites()
{
  const std::lock_guard lock(mMutex);
  return { mLostWrites, mWrites };
}

/** Decides on a write, and does a lost one after the delay. */
bool
Store::IsLost(const Request& aRequest)
{
  const std::lock_guard lock(mMutex);
  if (mLostTable.empty()) {
    return false;
  }
  ++mWrites;
  const json body = json::parse(aRequest.mBody);
  bool isLost = false;
  for (const json& it : body.value("puts", json::array())) {
    isLost =
      isLost || (it.at("table") == mLostTable && it.at("key") == mLostKey);
  }
  if (isLost) {
    ++mLostWrites;
    mRecord.Write("store: a write of " + mLostTable + "/" + mLostKey +
                  " gets no answer and is done " +
                  std::to_string(mLostDelayMs) + " ms later");
    std::thread([this, aRequest, delay = mLostDelayMs] {
      Sleep(delay);
      const Response response = Transact(aRequest);
      mRecord.Write("store: the late write is carried out: " +
                    std::to_string(response.mStatus));
    }).detach();
  }
  return isLost;
}

Response
Store::Transact(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::lock_guard lock(mMutex);
  std::set<std::string> parts;
  std::size_t entries = 0;
  std::string tooLarge;
  for (const char* list : { "expected-rev", "puts", "remove" }) {
    for (const json& it : body.value(list, json::array())) {
      ++entries;
      parts.insert(it.at("part"));
      const std::string table = it.at("table");
      const bool isWrite = std::string(list) != "expected-rev";
      if (isWrite && (table == "op" || table == "servers")) {
        return { 403, R"({"error":"not yours"})" };
      }
      if (std::string(list) == "puts" &&
          Decode64(it.at("value").get<std::string>()).size() > kRowBytes) {
        tooLarge = table + "/" + it.at("key").get<std::string>();
      }
    }
  }
  if (!tooLarge.empty() || aRequest.mBody.size() > kCallBytes ||
      entries > kCallEntries) {
    if (++mRefused <= 5) {
      mRecord.Write(
        "store: refuses a transaction: " +
        (tooLarge.empty() ? "call too large" : "row too large: " + tooLarge));
    }
    return { 413, R"({"error":"too large"})" };
  }
  if (parts.size() > 1 && !body.value("cross", false)) {
    return { 400, R"({"error":"several parts"})" };
  }
  json reply = Base();
  json current = json::array();
  bool isMet = true;
  for (const json& it : body.value("expected-rev", json::array())) {
    const Id id{ it.at("table"), it.at("part"), it.at("key") };
    const auto row = mRows.find(id);
    const Row found = row != mRows.end() ? row->second : Row();
    isMet = isMet && found.mVersion == it.at("ver").get<std::uint64_t>();
    current.push_back(RowJson(id, found));
  }
  if (!isMet) {
    reply["rows"] = std::move(current);
    return { 412, reply.dump() };
  }
  ++mVersion;
  for (const json& it : body.value("puts", json::array())) {
    const Id id{ it.at("table"), it.at("part"), it.at("key") };
    mRows[id] = { it.at("value"), mVersion };
    mHistory.push_back({ mVersion, id, false });
  }
  for (const json& it : body.value("remove", json::array())) {
    const Id id{ it.at("table"), it.at("part"), it.at("key") };
    if (mRows.erase(id) > 0) {
      mHistory.push_back({ mVersion, id, true });
    }
  }
  mChanged.notify_all();
  reply["ver"] = mVersion;
  return { 200, reply.dump() };
}

Response
Store::Read(const Request& aRequest)
{
  const std::lock_guard lock(mMutex);
  const std::string table = QueryText(aRequest, "table");
  const std::string part = QueryText(aRequest, "part");
  const std::string to = QueryText(aRequest, "to");
  const std::size_t limit =
    std::min<std::size_t>(QueryNumber(aRequest, "limit", kPageRows), kPageRows);
  json reply = Base();
  json rows = json::array();
  bool hasMore = false;
  for (auto it =
         mRows.lower_bound({ table, part, QueryText(aRequest, "from") });
       it != mRows.end() && it->first.mTable == table &&
       it->first.mPart == part && (to.empty() || it->first.mKey < to);
       ++it) {
    if (rows.size() == limit) {
      hasMore = true;
      break;
    }
    rows.push_back(RowJson(it->first, it->second));
  }
  reply["rows"] = std::move(rows);
  reply["has-more"] = hasMore;
  return { 200, reply.dump() };
}

Response
Store::Feed(const Request& aRequest)
{
  std::unique_lock lock(mMutex);
  const std::string table = QueryText(aRequest, "table");
  const std::uint64_t after = QueryNumber(aRequest, "after", 0);
  const auto deadline =
    Clock::now() + Millis(QueryNumber(aRequest, "wait-ms", 0));
  while (true) {
    std::map<Id, std::uint64_t> changed;
    for (auto it = mHistory.rbegin();
         it != mHistory.rend() && it->mVersion > after;
         ++it) {
      if (it->mId.mTable == table) {
        changed.emplace(it->mId, it->mVersion);
      }
    }
    if (!changed.empty() || Clock::now() >= deadline) {
      std::vector<std::pair<std::uint64_t, Id>> order;
      for (const auto& [id, version] : changed) {
        order.emplace_back(version, id);
      }
      std::sort(order.begin(), order.end());
      json rows = json::array();
      std::uint64_t last = mVersion;
      for (const auto& [version, id] : order) {
        if (rows.size() >= kPageRows && version > last) {
          break;
        }
        const auto row = mRows.find(id);
        if (row != mRows.end()) {
          rows.push_back(RowJson(id, row->second));
        } else {
          rows.push_back({ { "table", id.mTable },
                           { "part", id.mPart },
                           { "key", id.mKey },
                           { "ver", version },
                           { "tombstone", true } });
        }
        last = version;
      }
      json reply = Base();
      reply["ver"] = rows.size() == order.size() ? mVersion : last;
      reply["rows"] = std::move(rows);
      return { 200, reply.dump() };
    }
    mChanged.wait_until(lock, deadline);
  }
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  const Id id{ aTable, "", aKey };
  ++mVersion;
  mRows[id] = { Encode64(aValue), mVersion };
  mHistory.push_back({ mVersion, id, false });
  mChanged.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const Id id{ aTable, "", aKey };
  ++mVersion;
  if (mRows.erase(id) > 0) {
    mHistory.push_back({ mVersion, id, true });
    mChanged.notify_all();
  }
}

std::optional<std::string>
Store::Get(const std::string& aTable,
           const std::string& aPart,
           const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRows.find({ aTable, aPart, aKey });
  return it != mRows.end() ? std::optional(Decode64(it->second.mValue))
                           : std::nullopt;
}

// Workers --------------------------------------------------------------------

Worker::Worker(World& aWorld, int aNumber, std::string aZone)
  : mWorld(aWorld)
  , mNumber(aNumber)
  , mIp(LoopbackIp(10 + aNumber / 200, aNumber % 200 + 1))
  , mZone(std::move(aZone))
{
  Begin();
}

/** Starts a new life: a new identifier at the same address. */
void
Worker::Begin()
{
  char id[32];
  std::snprintf(id, sizeof id, "i-%04x%04x", mNumber + 0x7f30, ++mLife);
  mId = id;
  mIsUp = true;
  mIsDraining = false;
  mBorn = std::chrono::duration_cast<Millis>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
  mClockStart = Clock::now() - Millis(10);
  mSequence = 0;
  mFence = 0;
  mLeaseUntil = {};
  mEnds.clear();
  mLastEnd = 0;
  mHighestEnded.clear();
  mServer = std::make_unique<Server>(
    mIp, mPort, [this](const Request& aRequest) { return Handle(aRequest); });
  mPort = mServer->Port();
  Report();
}

std::int64_t
Worker::ClockMs() const
{
  return std::chrono::duration_cast<Millis>(Clock::now() - mClockStart).count();
}

void
Worker::Report()
{
  if (!mIsUp || mIsCut) {
    return;
  }
  json entry{ { "service", "epreuves" },
              { "address", mServer->Address() },
              { "zone", mZone },
              { "version", "v1" },
              { "capacity", 8 },
              { "state", mIsDraining ? "draining" : "ready" },
              { "warmup-left-ms", 0 },
              { "room",
                { { "cpu", mWorld.mOptions.mRoomCpu },
                  { "mem-mb", mWorld.mOptions.mRoomMemory },
                  { "gpu", mWorld.mOptions.mRoomGpu } } },
              { "labels", { "a", "r1-" + std::to_string(mNumber / 6 + 1) } },
              { "clock-ms", ClockMs() },
              { "born", mBorn },
              { "sequence", ++mSequence } };
  if (mIsDraining) {
    const auto spent =
      std::chrono::duration_cast<Millis>(Clock::now() - mDrainSince).count();
    entry["remaining-ms"] = std::max<std::int64_t>(mRemainingMs - spent, 1);
  }
  mWorld.mStore->Put("servers", mId, entry.dump());
  mWorld.mEntries[mId] = Clock::now();
  mLastReport = Clock::now();
}

void
Worker::Crash()
{
  mWorld.mRecord.Write("worker " + mId + " crashes with " +
                       std::to_string(mRuns.size()) + " runs");
  mIsUp = false;
  mServer->Stop();
  for (const Run& it : mRuns) {
    mWorld.AddEvent("crashed", it.mTask, it.mRun, mId);
  }
  mRuns.clear();
  mEnds.clear();
}

void
Worker::Restart()
{
  if (mServer) {
    mServer->Stop();
    mServer.reset();
  }
  Begin();
  mWorld.mRecord.Write("worker " + mId + " starts at the address of machine " +
                       std::to_string(mNumber));
}

void
Worker::Drain(int aRemainingMs, int aExitAfterMs)
{
  mIsDraining = true;
  mRemainingMs = aRemainingMs;
  mDrainSince = Clock::now();
  mExitAt = Clock::now() + Millis(aExitAfterMs);
  mWorld.mRecord.Write("worker " + mId + " reports draining, remaining-ms " +
                       std::to_string(aRemainingMs));
  Report();
}

void
Worker::Leave()
{
  mWorld.mRecord.Write("worker " + mId + " leaves");
  for (const Run& it : mRuns) {
    mWorld.AddEvent("left", it.mTask, it.mRun, mId);
  }
  mRuns.clear();
  mEnds.clear();
  mIsUp = false;
  mServer->Stop();
  // The entry of a worker that leaves is removed, if it reaches the store.
  if (!mIsCut) {
    mWorld.mStore->Remove("servers", mId);
    mWorld.mEntries.erase(mId);
  }
}

void
Worker::Cut(bool aIsCut)
{
  mIsCut = aIsCut;
  mWorld.mRecord.Write(
    "worker " + mId +
    (aIsCut ? " is cut off from the store and the VMs" : " is reached again"));
  if (!aIsCut) {
    Report();
  }
}

bool
Worker::Runs(const std::string& aTask) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [&](const Run& aRun) {
    return aRun.mTask == aTask;
  });
}

void
Worker::ExtendLease(const json& aBody)
{
  const std::int64_t until = aBody.value("until-ms", std::int64_t{ 0 });
  const auto limit = Clock::now() + Millis(World::kHoldMaxMs);
  mLeaseUntil =
    std::max(mLeaseUntil, std::min(mClockStart + Millis(until), limit));
}

json
Worker::Lists() const
{
  json running = json::array();
  for (const Run& it : mRuns) {
    const auto worked =
      std::chrono::duration_cast<Millis>(Clock::now() - it.mStart).count();
    const std::int64_t percent =
      it.mWork.mIsLasting
        ? (worked > 500 ? 100 : worked / 5)
        : std::min<std::int64_t>(100, 100 * worked / it.mWork.mWorkMs);
    running.push_back({ it.mTask, it.mRun, "", percent, 0 });
  }
  json finished = json::array();
  for (const End& it : mEnds) {
    if (finished.size() < 500) {
      finished.push_back({ it.mNumber, it.mTask, it.mRun, it.mHow, "" });
    }
  }
  return { { "clock-ms", ClockMs() },
           { "born", mBorn },
           { "running", std::move(running) },
           { "finished", std::move(finished) } };
}

std::optional<Response>
Worker::Handle(const Request& aRequest)
{
  std::unique_lock lock(mWorld.mMutex);
  if (mIsCut || !mIsUp) {
    return std::nullopt;
  }
  if (aRequest.mPath == "/healthz") {
    return Response{ mIsDraining ? 503 : 200, "{}" };
  }
  const std::string id = mId;
  const auto expected = aRequest.mHeaders.find("x-expect-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != mId) {
    return Response{ 421, "{}" };
  }
  const json body = json::parse(aRequest.mBody);
  const std::uint64_t fence = body.value("fence", std::uint64_t{ 0 });
  if (fence < mFence) {
    return Response{
      409, json{ { "clock-ms", ClockMs() }, { "reason", "fence" } }.dump()
    };
  }
  mFence = fence;
  if (aRequest.mPath == "/v1/run-start") {
    return StartRun(body);
  }
  if (aRequest.mPath == "/v1/run-stop") {
    return StopRun(body);
  }
  if (aRequest.mPath != "/v1/hold") {
    return Response{ 404, "{}" };
  }
  ExtendLease(body);
  const std::uint64_t acked = body.value("acked-upto", std::uint64_t{ 0 });
  for (const End& it : mEnds) {
    if (it.mNumber <= acked) {
      mWorld.mRecord.Write("worker " + mId + ": end " +
                           std::to_string(it.mNumber) + " of " + it.mTask +
                           " run " + std::to_string(it.mRun) + " (" + it.mHow +
                           ") is taken note of");
    }
  }
  mEnds.remove_if([acked](const End& aEnd) { return aEnd.mNumber <= acked; });
  const std::uint64_t known = mLastEnd;
  const auto deadline =
    Clock::now() + Millis(std::min(body.value("wait-ms", 0), 2'000));
  mWorld.mChanged.wait_until(lock, deadline, [&] {
    return !mIsUp || mId != id || mLastEnd > known || !mEnds.empty() ||
           Clock::now() >= deadline;
  });
  if (mIsCut || !mIsUp || mId != id) {
    return std::nullopt;
  }
  return Response{ 200, Lists().dump() };
}

std::optional<Response>
Worker::StartRun(const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t run = aBody.at("run");
  json reply{ { "clock-ms", ClockMs() } };
  const auto reject = [&](const char* aReason) {
    reply["reason"] = aReason;
    return Response{ 409, reply.dump() };
  };
  for (const Run& it : mRuns) {
    if (it.mTask == task && it.mRun == run) {
      ExtendLease(aBody);
      return Response{ 200, reply.dump() };
    }
  }
  const auto ended = mHighestEnded.find(task);
  ExtendLease(aBody);
  if (ended != mHighestEnded.end() && run <= ended->second) {
    return reject("old");
  }
  if (mLeaseUntil <= Clock::now()) {
    return reject("late");
  }
  mRuns.push_back(
    { task, run, mWorld.WorkOf(task), Clock::now(), std::nullopt });
  mWorld.AddEvent("start", task, run, mId);
  mWorld.mChanged.notify_all();
  return Response{ 200, reply.dump() };
}

std::optional<Response>
Worker::StopRun(const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t run = aBody.at("run");
  std::uint64_t& highest = mHighestEnded[task];
  highest = std::max(highest, run);
  for (Run& it : mRuns) {
    if (it.mTask == task && it.mRun <= run && !it.mStopAt) {
      it.mStopAt = Clock::now() + Millis(World::kStopMs);
    }
  }
  return Response{ 200, json{ { "clock-ms", ClockMs() } }.dump() };
}

void
Worker::Finish(std::list<Run>::iterator aRun, const std::string& aHow)
{
  std::uint64_t& highest = mHighestEnded[aRun->mTask];
  highest = std::max(highest, aRun->mRun);
  mEnds.push_back({ ++mLastEnd, aRun->mTask, aRun->mRun, aHow });
  mWorld.AddEvent(aHow, aRun->mTask, aRun->mRun, mId);
  mRuns.erase(aRun);
  mWorld.mChanged.notify_all();
}

void
Worker::Advance()
{
  if (!mIsUp) {
    return;
  }
  const auto now = Clock::now();
  for (auto it = mRuns.begin(); it != mRuns.end();) {
    const auto run = it++;
    if (now >= mLeaseUntil) {
      Finish(run, "lapsed");
    } else if (run->mStopAt && now >= *run->mStopAt) {
      Finish(run, "stopped");
    } else if (!run->mWork.mIsLasting &&
               now - run->mStart >= Millis(run->mWork.mWorkMs)) {
      Finish(run, run->mWork.mFails ? "failed" : "done");
    }
  }
  if (mIsDraining && now >= mExitAt) {
    Leave();
    return;
  }
  if (now - mLastReport >= Millis(World::kReportMs)) {
    Report();
  }
}

// World ----------------------------------------------------------------------

World::World(const WorldOptions& aOptions)
  : mOptions(aOptions)
  , mRecord(aOptions.mRecord)
  , mStore(std::make_unique<Store>(mRecord))
{
  static const char* const kZones[] = {
    "rennes", "vannes", "quimper", "brest"
  };
  const std::lock_guard lock(mMutex);
  for (int i = 0; i < mOptions.mWorkers; ++i) {
    mWorkers.push_back(std::make_unique<Worker>(*this, i, kZones[i % 4]));
  }
  for (int i = 0; i < mOptions.mDaemons; ++i) {
    const std::string zone = kZones[i % 4];
    Daemon daemon;
    daemon.mName = "client_facing-" + zone + "-" + std::to_string(i / 4 + 1);
    daemon.mZone = zone;
    daemon.mIp = LoopbackIp(2, i + 1);
    daemon.mConfig = mOptions.mFolder + "/" + daemon.mName + ".toml";
    Configure(daemon);
    mDaemons.push_back(std::move(daemon));
  }
  mThread = std::thread([this] {
    while (!mStopping) {
      Tick();
      Sleep(10);
    }
  });
}

void
World::Configure(Daemon& aDaemon)
{
  const std::vector<int> ports = FreePorts(aDaemon.mIp, 3);
  const auto address = [&](std::size_t aPort) {
    return aDaemon.mIp + ":" + std::to_string(ports[aPort]);
  };
  aDaemon.mAddress = address(0);
  aDaemon.mReadiness = address(1);
  std::ofstream config(aDaemon.mConfig);
  // deploy/daemon.toml.template with the platform's values.
  config << "[daemon]\nid = \"" << aDaemon.mName
         << "\"\nregion = \"bretagne\"\nzone = \"" << aDaemon.mZone
         << "\"\nhttp_address = \"" << aDaemon.mAddress
         << "\"\nreadiness_address = \"" << aDaemon.mReadiness
         << "\"\nmetrics_address = \"" << address(2)
         << "\"\ncpu_share = 0.25\nlink_mbps = 1000.0\n\n[platform]\nkind = "
            "\"fleet\"\naddress = \""
         << mStore->Address()
         << "\"\n\n[timing]\ndrain_notice_ms = 2500\ndrain_grace_ms = "
            "2500\nstore_timeout_ms = 800\n";
}

World::~World()
{
  EndDaemons();
  mStopping = true;
  mThread.join();
}

void
World::Tick()
{
  const std::lock_guard lock(mMutex);
  for (const auto& it : mWorkers) {
    it->Advance();
  }
  RemoveSilentEntries();
}

/** An entry is removed after three intervals without a report. */
void
World::RemoveSilentEntries()
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    if (Clock::now() - it->second >= Millis(kLostAfterMs)) {
      mRecord.Write("store: the entry of worker " + it->first + " is removed");
      mStore->Remove("servers", it->first);
      it = mEntries.erase(it);
    } else {
      ++it;
    }
  }
}

void
World::WriteManifest()
{
  const auto route = [](const char* aName, int aPriority, int aAttempts) {
    return json{ { "name", aName },
                 { "host", "proofs.example" },
                 { "prefix", "/" + std::string(aName) + "/" },
                 { "kind", "non_idempotent" },
                 { "timeout-ms", 3000 },
                 { "target-latency-ms", 1000 },
                 { "priority", aPriority },
                 { "service", "epreuves" },
                 { "attempts", aAttempts },
                 { "slack-factor", 3.0 },
                 { "public", false } };
  };
  const json manifest{
    { "version", 7 },
    { "routes",
      { route("raster", 1, 2), route("cover", 0, 2), route("thumb", 2, 4) } },
    { "services",
      { { { "name", "epreuves" },
          { "health-path", "/healthz" },
          { "max-conns", 64 },
          { "protocol", "h1" },
          { "tls", false },
          { "rejects-overload", false },
          { "standby", false } } } },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 262144 },
        { "header-timeout-ms", 3000 },
        { "idle-timeout-ms", 15000 } } },
    { "tenants",
      { { { "name", "school-a" },
          { "api-keys", { "key-a" } },
          { "priority", 1 },
          { "guaranteed", { { "gpu", 16 } } } },
        { { "name", "school-b" },
          { "api-keys", { "key-b" } },
          { "priority", 1 },
          { "guaranteed", { { "gpu", 16 } } } } } }
  };
  mStore->Put("op", "config", manifest.dump());
}

void
World::StartDaemon(Daemon& aDaemon)
{
  const std::string log = mOptions.mFolder + "/" + aDaemon.mName + ".out";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    execl(mOptions.mDaemonProgram.c_str(),
          mOptions.mDaemonProgram.c_str(),
          "--config",
          aDaemon.mConfig.c_str(),
          nullptr);
    _exit(127);
  }
  aDaemon.mPid = pid;
  mRecord.Write("daemon " + aDaemon.mName + " starts, process " +
                std::to_string(pid));
}

void
World::StartDaemons()
{
  for (Daemon& it : mDaemons) {
    StartDaemon(it);
  }
}

void
World::Signal(Daemon& aDaemon, int aSignal)
{
  mRecord.Write("daemon " + aDaemon.mName + " gets signal " +
                std::to_string(aSignal));
  kill(aDaemon.mPid, aSignal);
  if (aSignal == SIGKILL) {
    waitpid(aDaemon.mPid, nullptr, 0);
    aDaemon.mPid = 0;
  }
}

int
World::CountExits()
{
  int n = 0;
  for (Daemon& it : mDaemons) {
    int status = 0;
    if (it.mPid > 0 && waitpid(it.mPid, &status, WNOHANG) == it.mPid) {
      mRecord.Write("daemon " + it.mName + " ended by itself, status " +
                    std::to_string(status));
      it.mPid = 0;
      ++n;
    }
  }
  return n;
}

bool
World::AwaitReady(int aTimeoutMs)
{
  const auto deadline = Clock::now() + Millis(aTimeoutMs);
  for (Daemon& it : mDaemons) {
    while (
      Call(
        it.mReadiness, "GET", "/v1/readyz", { { "Host", "ready" } }, "", 1000)
        .mStatus != 200) {
      if (Clock::now() > deadline) {
        return false;
      }
      if (waitpid(it.mPid, nullptr, WNOHANG) == it.mPid) {
        // Another program has taken one of its ports.
        Configure(it);
        StartDaemon(it);
      }
      Sleep(100);
    }
  }
  mRecord.Write("all daemons are ready");
  return true;
}

Daemon*
World::Owner()
{
  const auto row = mStore->Get("owner", "owner", "lease");
  if (row) {
    const json lease = json::parse(*row, nullptr, false);
    for (Daemon& it : mDaemons) {
      if (lease.is_object() && lease.value("owner", "") == it.mName) {
        return &it;
      }
    }
  }
  return nullptr;
}

void
World::SetWork(const std::string& aPrefix, Work aWork)
{
  const std::lock_guard lock(mMutex);
  mWork[aPrefix] = aWork;
}

Work
World::WorkOf(const std::string& aTask)
{
  const std::lock_guard lock(mMutex);
  Work work;
  for (const auto& [prefix, it] : mWork) {
    if (aTask.starts_with(prefix)) {
      work = it;
    }
  }
  return work;
}

namespace {

std::map<std::string, std::string>
CallerHeaders(const std::string& aKey)
{
  return { { "Host", "proofs.example" },
           { "Authorization", "Bearer " + aKey },
           { "Content-Type", "application/json" },
           { "X-Deadline-Ms", "3000" } };
}

} // namespace

int
World::Post(const std::string& aQueue,
            const std::string& aKey,
            const std::string& aJob,
            const json& aBody,
            const Daemon& aDaemon)
{
  const int status = Call(aDaemon.mAddress,
                          "POST",
                          "/" + aQueue + "/" + aJob,
                          CallerHeaders(aKey),
                          aBody.dump(),
                          3000)
                       .mStatus;
  mRecord.Write("caller: POST /" + aQueue + "/" + aJob + " to " +
                aDaemon.mName + " -> " + std::to_string(status));
  return status;
}

int
World::Submit(const std::string& aQueue,
              const std::string& aKey,
              const std::string& aJob,
              const json& aSteps,
              const json& aTimes)
{
  json body{ { "spec", "spec of " + aJob }, { "steps", aSteps } };
  body.update(aTimes);
  int status = 0;
  for (int i = 0; i < 5; ++i) {
    const Daemon& daemon = mDaemons[mNextDaemon++ % mDaemons.size()];
    status = Post(aQueue, aKey, aJob, body, daemon);
    if (status != 0 && status != 502 && status != 504) {
      break;
    }
  }
  return status;
}

std::string
World::State(const std::string& aQueue,
             const std::string& aKey,
             const std::string& aJob)
{
  for (int i = 0; i < 5; ++i) {
    const Daemon& daemon = mDaemons[mNextDaemon++ % mDaemons.size()];
    const Response response = Call(daemon.mAddress,
                                   "GET",
                                   "/" + aQueue + "/" + aJob,
                                   CallerHeaders(aKey),
                                   "",
                                   3000);
    if (response.mStatus == 200) {
      const std::string state =
        json::parse(response.mBody).value("state", "none");
      mRecord.Write("caller: GET /" + aQueue + "/" + aJob + " from " +
                    daemon.mName + " -> " + state);
      return state;
    }
    mRecord.Write("caller: GET /" + aQueue + "/" + aJob + " from " +
                  daemon.mName + " -> " + std::to_string(response.mStatus));
    if (response.mStatus == 410) {
      return "410";
    }
    Sleep(300);
  }
  return "no answer";
}

int
World::Cancel(const std::string& aQueue,
              const std::string& aKey,
              const std::string& aJob)
{
  const Daemon& daemon = mDaemons[mNextDaemon++ % mDaemons.size()];
  const int status = Call(daemon.mAddress,
                          "DELETE",
                          "/" + aQueue + "/" + aJob,
                          CallerHeaders(aKey),
                          "",
                          3000)
                       .mStatus;
  mRecord.Write("caller: DELETE /" + aQueue + "/" + aJob + " -> " +
                std::to_string(status));
  return status;
}

Worker*
World::WorkerOf(const std::string& aTask)
{
  const std::lock_guard lock(mMutex);
  for (const auto& it : mWorkers) {
    if (it->Runs(aTask)) {
      return it.get();
    }
  }
  return nullptr;
}

bool
World::AwaitRunning(const std::string& aTask, int aTimeoutMs)
{
  const auto deadline = Clock::now() + Millis(aTimeoutMs);
  while (Clock::now() < deadline) {
    if (WorkerOf(aTask) != nullptr) {
      return true;
    }
    Sleep(20);
  }
  return false;
}

void
World::AddEvent(const std::string& aWhat,
                const std::string& aTask,
                std::uint64_t aRun,
                const std::string& aWorker)
{
  mEvents.push_back({ mRecord.Now(), aWhat, aTask, aRun, aWorker });
  if (mEvents.size() < 2'000) {
    mRecord.Write("worker " + aWorker + ": " + aTask + " run " +
                  std::to_string(aRun) + " " + aWhat);
  }
}

std::vector<RunEvent>
World::Events()
{
  const std::lock_guard lock(mMutex);
  return mEvents;
}

std::size_t
World::CountEvents(const std::string& aWhat, const std::string& aJob)
{
  std::size_t n = 0;
  for (const RunEvent& it : Events()) {
    n += it.mWhat == aWhat && it.mTask.starts_with(aJob + ".") ? 1 : 0;
  }
  return n;
}

void
World::CrashWorkerOf(const std::string& aTask)
{
  Worker* worker = nullptr;
  {
    const std::lock_guard lock(mMutex);
    worker = WorkerOf(aTask);
    if (worker == nullptr) {
      return;
    }
    worker->Crash();
  }
  Sleep(4'500);
  const std::lock_guard lock(mMutex);
  worker->Restart();
}

bool
World::Begin()
{
  WriteManifest();
  StartDaemons();
  return AwaitReady(20'000);
}

void
World::EndDaemons()
{
  for (Daemon& it : mDaemons) {
    if (it.mPid > 0) {
      kill(it.mPid, SIGKILL);
      waitpid(it.mPid, nullptr, 0);
      it.mPid = 0;
    }
  }
}

int
World::CannotRun(const std::string& aWhy)
{
  mRecord.Write("CANNOT RUN: " + aWhy);
  return kCannotRun;
}

int
World::Verdict(bool aIsBroken, const std::string& aText)
{
  mRecord.Write((aIsBroken ? "BROKEN: " : "HELD: ") + aText);
  return aIsBroken ? kBroken : kHeld;
}

int
RunCase(int aCount,
        char** aArguments,
        int (*aPlay)(World&),
        const Fleet& aFleet)
{
  signal(SIGPIPE, SIG_IGN);
  if (aCount != 5) {
    std::fprintf(stderr, "usage: case DAEMON FOLDER RECORD TROUBLE\n");
    return kCannotRun;
  }
  WorldOptions options;
  options.mDaemonProgram = aArguments[1];
  options.mFolder = aArguments[2];
  options.mRecord = aArguments[3];
  options.mTrouble = std::string(aArguments[4]) != "0";
  options.mWorkers = aFleet.mWorkers;
  options.mRoomCpu = aFleet.mRoomCpu;
  options.mRoomMemory = aFleet.mRoomMemory;
  try {
    World world(options);
    const int status = aPlay(world);
    world.EndDaemons();
    // Threads of open connections still use the world.
    _exit(status);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  return kCannotRun;
}

} // namespace review
