// Stand-in for the users' platform, for the scripts of this review: the store,
// the operator's manifest and a number of workers in one process, as
// PROTOCOL.md describes them. It also has a small HTTP client.
//
//   standin serve DIR WORKERS    serves until it is killed; writes the address
//                                of the store to DIR/store and that of the
//                                control interface to DIR/control; prints one
//                                line for each event
//   standin call ADDRESS METHOD PATH [BODY [MS]]
//                                sends a caller's request with a time limit;
//                                prints the status and the body, or "000"
//
// Control requests (POST): /crash/W/MS (worker W is down for MS and comes back
// with a new boot), /drain/W, /silence/W/MS (no call is answered or executed),
// /late/W/MS (starts in the next MS are not answered and never executed),
// GET /state (what runs, by worker).
// /trap/JOB: at the next write of the record of JOB that plans its first subtask,
// the daemon that writes it is stopped (SIGSTOP, the process in DIR/pid-N) as the
// answer is on its way. When the next owner has asked the planned worker, that
// worker restarts within 0.25 s. The daemon goes on 1.93 s after it was stopped.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Lock = std::unique_lock<std::mutex>;

namespace {

constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kHoldMaxMs = 6000;
constexpr std::int64_t kStopMs = 300;
constexpr std::int64_t kRestoreMs = 100;
constexpr std::int64_t kCheckpointMs = 2000;
constexpr std::size_t kRowBytes = 65536;

std::mutex gMutex;
std::condition_variable gChanged;
const auto gBegin = Clock::now();

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - gBegin).count();
}

std::int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void Log(const std::string& aText)
{
  std::printf("%8.3f %s\n", static_cast<double>(NowMs()) / 1000.0, aText.c_str());
  std::fflush(stdout);
}

// ---- base64 ----
const std::string kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      n = n << 8 | (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= aText.size() ? kAlphabet[n >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string FromBase64(const std::string& aText)
{
  std::string out;
  std::uint32_t n = 0;
  int bits = 0;
  for (const char it : aText) {
    const std::size_t value = kAlphabet.find(it);
    if (value == std::string::npos) {
      break;
    }
    n = n << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(n >> bits & 255);
    }
  }
  return out;
}

// ---- HTTP ----
struct Message
{
  std::string first;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Reply
{
  int status = 200;
  std::string body = "{}";
  bool none = false;
  bool last = false; // the channel is closed after it
};

bool WriteAll(int aFd, const std::string& aText)
{
  std::size_t done = 0;
  while (done < aText.size()) {
    const ssize_t n = send(aFd, aText.data() + done, aText.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads one message; `aRest` keeps what follows it.
bool ReadMessage(int aFd, std::string& aRest, Message& aMessage, std::int64_t aLimitMs = -1)
{
  const std::int64_t end = aLimitMs < 0 ? -1 : NowMs() + aLimitMs;
  const auto more = [&] {
    if (end >= 0) {
      pollfd p{ aFd, POLLIN, 0 };
      if (poll(&p, 1, static_cast<int>(std::max<std::int64_t>(0, end - NowMs()))) <= 0) {
        return false;
      }
    }
    char buf[65536];
    const ssize_t n = recv(aFd, buf, sizeof buf, 0);
    if (n <= 0) {
      return false;
    }
    aRest.append(buf, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t head = 0;
  while ((head = aRest.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::istringstream lines(aRest.substr(0, head));
  aMessage = Message();
  std::getline(lines, aMessage.first);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') {
      value.erase(0, 1);
    }
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    aMessage.headers[name] = value;
  }
  const std::size_t length = aMessage.headers.count("content-length") != 0
                               ? std::stoul(aMessage.headers["content-length"])
                               : 0;
  while (aRest.size() < head + 4 + length) {
    if (!more()) {
      return false;
    }
  }
  aMessage.body = aRest.substr(head + 4, length);
  aRest.erase(0, head + 4 + length);
  return true;
}

// A listener whose connections can all be closed at once.
class Server
{
public:
  using Handler = std::function<Reply(const std::string& method, const std::string& target, const Message&)>;

  Server(int aPort, Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    Listen(aPort);
  }

  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

  // While it is down, connections are refused and the open ones are reset.
  void SetDown(bool aDown)
  {
    if (!aDown) {
      Listen(mPort);
      return;
    }
    const std::lock_guard<std::mutex> lock(mConnectionsMutex);
    shutdown(mFd, SHUT_RDWR);
    close(mFd);
    for (const int fd : mConnections) {
      Reset(fd);
    }
  }

private:
  static void Reset(int aFd)
  {
    const linger l{ 1, 0 };
    setsockopt(aFd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    shutdown(aFd, SHUT_RDWR);
  }

  void Listen(int aPort)
  {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(aPort));
    if (bind(listener, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(listener, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof a;
    getsockname(listener, reinterpret_cast<sockaddr*>(&a), &size);
    mPort = ntohs(a.sin_port);
    mFd = listener;
    std::thread([this, listener] { Accept(listener); }).detach();
  }

  void Accept(int aListener)
  {
    while (true) {
      const int fd = accept(aListener, nullptr, nullptr);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
          continue;
        }
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::lock_guard<std::mutex> lock(mConnectionsMutex);
        mConnections.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int aFd)
  {
    std::string rest;
    Message message;
    while (ReadMessage(aFd, rest, message)) {
      std::istringstream first(message.first);
      std::string method;
      std::string target;
      first >> method >> target;
      const Reply reply = mHandler(method, target, message);
      if (reply.none) {
        // A lost answer: the channel delivers nothing further.
        std::this_thread::sleep_for(std::chrono::seconds(20));
        break;
      }
      if (!WriteAll(aFd,
                    "HTTP/1.1 " + std::to_string(reply.status) +
                      " X\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(reply.body.size()) + (reply.last ? "\r\nConnection: close" : "") +
                      "\r\n\r\n" + reply.body) ||
          reply.last) {
        break;
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mConnectionsMutex);
      mConnections.erase(aFd);
    }
    close(aFd);
  }

  Handler mHandler;
  int mFd = -1;
  int mPort = 0;
  std::mutex mConnectionsMutex;
  std::set<int> mConnections;
};

std::string Decode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& aTarget)
{
  std::map<std::string, std::string> out;
  const std::size_t mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return out;
  }
  std::istringstream parts(aTarget.substr(mark + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    const std::size_t equals = part.find('=');
    out[Decode(part.substr(0, equals))] =
      equals == std::string::npos ? "" : Decode(part.substr(equals + 1));
  }
  return out;
}

// ---- store ----
using Name = std::tuple<std::string, std::string, std::string>; // table, part, key

struct Row
{
  std::string value; // base64
  std::uint64_t version = 0;
};

struct Change
{
  std::uint64_t version;
  Name name;
  bool removed;
};

std::map<Name, Row> gRows;
std::vector<Change> gHistory;
std::uint64_t gVersion = 0;
std::uint64_t gForgotten = 0; // changes up to this version are not kept any more

// The trap; see the head of this file.
std::string gTrapJob;
std::string gTrapWorker;
std::uint64_t gTrapFence = 0;
std::string gDir;

json RowJson(const Name& aName, const Row& aRow, bool aRemoved = false)
{
  json row{ { "table", std::get<0>(aName) }, { "part", std::get<1>(aName) },
            { "key", std::get<2>(aName) }, { "ver", aRow.version } };
  if (aRemoved) {
    row["tombstone"] = true;
  } else {
    row["value"] = aRow.value;
  }
  return row;
}

// Call with the lock held.
void Put(const Name& aName, const std::string& aBase64, std::uint64_t aVersion)
{
  gRows[aName] = { aBase64, aVersion };
  gHistory.push_back({ aVersion, aName, false });
}

void Remove(const Name& aName, std::uint64_t aVersion)
{
  if (gRows.erase(aName) != 0) {
    gHistory.push_back({ aVersion, aName, true });
  }
}

Name NameOf(const json& aRow)
{
  return { aRow.at("table"), aRow.value("part", std::string()), aRow.at("key") };
}

// Stops the daemon that plans the first subtask of the job of the trap. Call with
// the lock held.
void SpringTrap(const json& aPuts)
{
  std::string worker;
  std::string owner;
  std::uint64_t epoch = 0;
  for (const json& row : aPuts) {
    if (row.at("table") == "runs" && row.at("key") == gTrapJob) {
      const json tasks = json::parse(FromBase64(row.at("value"))).at("tasks");
      if (!tasks.empty() && tasks[0].is_array() && tasks[0][0] == "a") {
        worker = tasks[0][2];
      }
    } else if (row.at("table") == "owner") {
      const json lease = json::parse(FromBase64(row.at("value")));
      owner = lease.at("owner");
      epoch = lease.at("epoch");
    }
  }
  if (worker.empty() || owner.empty()) {
    return;
  }
  std::ifstream file(gDir + "/pid-" + owner.substr(owner.rfind('-') + 1));
  pid_t pid = 0;
  if (!(file >> pid)) {
    return;
  }
  kill(pid, SIGSTOP);
  Log(owner + " (epoch " + std::to_string(epoch) + ") plans the subtask for " + worker +
      " and is stopped as the answer to its write is on its way");
  gTrapJob.clear();
  gTrapWorker = worker;
  gTrapFence = epoch;
  std::thread([pid, owner] {
    std::this_thread::sleep_for(std::chrono::milliseconds(1930));
    kill(pid, SIGCONT);
    Log(owner + " goes on");
  }).detach();
}

Reply Transact(const Message& aMessage)
{
  const json body = json::parse(aMessage.body);
  const Lock lock(gMutex);
  const json none = json::array();
  const json& expected = body.contains("expected-rev") ? body["expected-rev"] : none;
  const json& puts = body.contains("puts") ? body["puts"] : none;
  const json& removals = body.contains("remove") ? body["remove"] : none;
  std::set<std::string> parts;
  for (const json* rows : { &expected, &puts, &removals }) {
    for (const json& row : *rows) {
      parts.insert(row.value("part", std::string()));
    }
  }
  if (expected.size() + puts.size() + removals.size() > 100 || aMessage.body.size() > 1'000'000 ||
      (parts.size() > 1 && !body.value("cross", false))) {
    Log("store refuses a transaction with 400");
    return { 400 };
  }
  for (const json& row : puts) {
    const std::string table = row.at("table");
    if (table == "op" || table == "servers") {
      return { 403 };
    }
    if (row.at("value").get_ref<const std::string&>().size() > kRowBytes) {
      Log("store refuses a row of " + std::to_string(row.at("value").get_ref<const std::string&>().size()) + " bytes");
      return { 413 };
    }
  }
  bool met = true;
  json current = json::array();
  for (const json& row : expected) {
    const auto it = gRows.find(NameOf(row));
    const std::uint64_t version = it != gRows.end() ? it->second.version : 0;
    met = met && version == row.at("ver").get<std::uint64_t>();
    if (it != gRows.end()) {
      current.push_back(RowJson(it->first, it->second));
    }
  }
  if (!met) {
    return { 412, json{ { "rows", current }, { "ver", gVersion }, { "now-ms", NowMs() } }.dump() };
  }
  ++gVersion;
  for (const json& row : puts) {
    Put(NameOf(row), row.at("value"), gVersion);
  }
  for (const json& row : removals) {
    Remove(NameOf(row), gVersion);
  }
  gChanged.notify_all();
  if (!gTrapJob.empty()) {
    SpringTrap(puts);
  }
  return { 200, json{ { "ver", gVersion }, { "now-ms", NowMs() } }.dump() };
}

Reply GetRows(const std::string& aTarget)
{
  auto query = Query(aTarget);
  const std::size_t limit = query.count("limit") != 0 ? std::stoul(query["limit"]) : 500;
  const Lock lock(gMutex);
  json rows = json::array();
  bool more = false;
  for (auto it = gRows.lower_bound({ query["table"], query["part"], query["from"] }); it != gRows.end(); ++it) {
    const auto& [table, part, key] = it->first;
    if (table != query["table"] || part != query["part"] || (!query["to"].empty() && key >= query["to"])) {
      break;
    }
    if (rows.size() >= std::min<std::size_t>(limit, 500)) {
      more = true;
      break;
    }
    rows.push_back(RowJson(it->first, it->second));
  }
  return { 200,
           json{ { "rows", rows }, { "has-more", more }, { "ver", gVersion }, { "now-ms", NowMs() } }.dump() };
}

Reply Feed(const std::string& aTarget)
{
  auto query = Query(aTarget);
  const std::uint64_t after = std::stoull(query["after"]);
  const std::int64_t end = NowMs() + (query["wait-ms"].empty() ? 0 : std::stoll(query["wait-ms"]));
  Lock lock(gMutex);
  if (after < gForgotten) {
    return { 410 };
  }
  while (true) {
    std::map<Name, std::uint64_t> changed;
    for (auto it = gHistory.rbegin(); it != gHistory.rend() && it->version > after; ++it) {
      if (std::get<0>(it->name) == query["table"]) {
        changed.emplace(it->name, it->version);
      }
    }
    if (!changed.empty() || NowMs() >= end) {
      std::vector<std::pair<std::uint64_t, Name>> order;
      for (const auto& [name, version] : changed) {
        order.emplace_back(version, name);
      }
      std::sort(order.begin(), order.end());
      json rows = json::array();
      for (const auto& [version, name] : order) {
        const auto it = gRows.find(name);
        rows.push_back(it != gRows.end() ? RowJson(name, it->second) : RowJson(name, { "", version }, true));
      }
      return { 200, json{ { "rows", rows }, { "ver", gVersion }, { "now-ms", NowMs() } }.dump() };
    }
    gChanged.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, end - NowMs())));
  }
}

Reply ServeStore(const std::string&, const std::string& aTarget, const Message& aMessage)
{
  const std::string path = aTarget.substr(0, aTarget.find('?'));
  if (path == "/v1/rows-tx") {
    return Transact(aMessage);
  }
  if (path == "/v1/rows-get") {
    return GetRows(aTarget);
  }
  if (path == "/v1/rows-feed") {
    return Feed(aTarget);
  }
  return { 404 };
}

// ---- workers ----
struct Run
{
  std::uint64_t number = 0;
  std::int64_t beganAt = 0;  // NowMs() from which it works
  std::int64_t workBefore = 0; // work done by earlier runs, from the checkpoint
  std::int64_t workMs = 0;
  std::size_t checkpointBytes = 0;
  std::int64_t stopAt = -1;
  std::string saved;
};

struct Worker
{
  std::size_t index = 0;
  std::string id;
  std::unique_ptr<Server> server;
  std::int64_t born = 0;
  std::int64_t clockBegin = 0;
  std::uint64_t fence = 0;
  std::int64_t leaseUntil = 0; // worker's clock
  std::map<std::string, Run> runs;
  std::map<std::string, std::uint64_t> highest;
  std::uint64_t lastEnd = 0;
  std::vector<json> ends;
  bool up = true;
  std::int64_t entryAt = 0;
  std::uint64_t sequence = 0;

  std::int64_t ClockMs() const { return NowMs() - clockBegin + 1; }
};

std::vector<std::unique_ptr<Worker>> gWorkers;

// A checkpoint tells the work done, padded to the length that the spec asks for.
std::string MakeCheckpoint(std::int64_t aWork, std::size_t aBytes)
{
  std::string text = std::to_string(aWork) + ":";
  return aBytes > text.size() ? text + std::string(aBytes - text.size(), 'c') : text;
}

std::int64_t WorkOf(const Run& aRun)
{
  return aRun.workBefore + std::max<std::int64_t>(0, NowMs() - aRun.beganAt);
}

// Call with the lock held, as for the next ones.
void End(Worker& aWorker, const std::string& aTask, const char* aHow)
{
  const Run run = aWorker.runs.at(aTask);
  aWorker.runs.erase(aTask);
  aWorker.highest[aTask] = std::max(aWorker.highest[aTask], run.number);
  const bool isDone = std::strcmp(aHow, "done") == 0;
  aWorker.ends.push_back({ ++aWorker.lastEnd, aTask, run.number, aHow, isDone ? "" : run.saved });
  Log(aWorker.id + " ends " + aTask + " run " + std::to_string(run.number) + " " + aHow);
}

void Register(Worker& aWorker)
{
  aWorker.entryAt = NowMs();
  const json entry{ { "service", "presses" },
                    { "address", aWorker.server->Address() },
                    { "zone", "zone-1" },
                    { "version", "v1" },
                    { "capacity", 8 },
                    { "state", "ready" },
                    { "warmup-left-ms", 0 },
                    { "sequence", ++aWorker.sequence },
                    { "born", aWorker.born },
                    { "clock-ms", aWorker.ClockMs() },
                    { "room", { { "cpu", 64000 }, { "mem-mb", 262144 }, { "gpu", 8 } } },
                    { "labels", { "a", "r" + std::to_string(aWorker.index / 3) } } };
  ++gVersion;
  Put({ "servers", "", aWorker.id }, ToBase64(entry.dump()), gVersion);
}

void Boot(Worker& aWorker)
{
  aWorker.born = std::max(WallMs(), aWorker.born + 1);
  aWorker.clockBegin = NowMs();
  aWorker.fence = 0;
  aWorker.leaseUntil = 0;
  aWorker.runs.clear();
  aWorker.highest.clear();
  aWorker.ends.clear();
  aWorker.lastEnd = 0;
  aWorker.sequence = 0;
  aWorker.up = true;
  Register(aWorker);
}

void Extend(Worker& aWorker, const json& aBody)
{
  if (aBody.contains("until-ms")) {
    aWorker.leaseUntil = std::max(
      aWorker.leaseUntil, std::min(aBody["until-ms"].get<std::int64_t>(), aWorker.ClockMs() + kHoldMaxMs));
  }
}

json Base(const Worker& aWorker)
{
  return { { "clock-ms", aWorker.ClockMs() }, { "born", aWorker.born } };
}

Reply Start(Worker& aWorker, const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t number = aBody.at("run");
  const std::string what = aWorker.id + " is told to start " + task + " run " + std::to_string(number);
  json reply = Base(aWorker);
  const auto refuse = [&](const char* aReason) {
    reply["reason"] = aReason;
    Log(what + ": 409 " + aReason);
    return Reply{ 409, reply.dump() };
  };
  Extend(aWorker, aBody);
  const auto running = aWorker.runs.find(task);
  if (running != aWorker.runs.end() && running->second.number == number) {
    Log(what + ": 200, is there already");
    return { 200, reply.dump() };
  }
  const auto highest = aWorker.highest.find(task);
  if (running != aWorker.runs.end() || (highest != aWorker.highest.end() && number <= highest->second)) {
    return refuse("old");
  }
  if (aBody.at("until-ms").get<std::int64_t>() <= aWorker.ClockMs()) {
    return refuse("late");
  }
  // The spec tells how long the task works and how long its checkpoints are.
  const json spec = json::parse(aBody.at("spec").get<std::string>());
  Run run;
  run.number = number;
  run.workMs = spec.at("work_ms");
  run.checkpointBytes = spec.value("checkpoint_bytes", 0);
  run.saved = aBody.value("checkpoint", std::string());
  run.workBefore = run.saved.empty() ? 0 : std::stoll(run.saved);
  run.beganAt = NowMs() + (run.saved.empty() ? 0 : kRestoreMs);
  for (const auto& other : gWorkers) {
    const auto it = other->runs.find(task);
    if (it != other->runs.end()) {
      Log("TWICE " + task + " runs on " + other->id + " as run " + std::to_string(it->second.number) +
          ", and now on " + aWorker.id + " as run " + std::to_string(number));
    }
  }
  aWorker.runs[task] = run;
  Log(what + ": 200, checkpoint of " + std::to_string(run.saved.size()) + " bytes");
  return { 200, reply.dump() };
}

Reply Stop(Worker& aWorker, const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::uint64_t number = aBody.at("run");
  Log(aWorker.id + " is told to stop " + task + " run " + std::to_string(number));
  aWorker.highest[task] = std::max(aWorker.highest[task], number);
  const auto it = aWorker.runs.find(task);
  if (it != aWorker.runs.end() && it->second.number == number && it->second.stopAt < 0) {
    it->second.stopAt = NowMs() + kStopMs;
  }
  return { 200, Base(aWorker).dump() };
}

Reply Hold(Worker& aWorker, const json& aBody, Lock& aLock)
{
  Extend(aWorker, aBody);
  const std::uint64_t acked = aBody.value("acked-upto", std::uint64_t{ 0 });
  for (const json& end : aWorker.ends) {
    if (end[0].get<std::uint64_t>() <= acked) {
      Log(aWorker.id + " is told that the end of " + end[1].get<std::string>() + " run " +
          std::to_string(end[2].get<std::uint64_t>()) + " (" + end[3].get<std::string>() + ") is taken note of");
    }
  }
  aWorker.ends.erase(std::remove_if(aWorker.ends.begin(),
                                    aWorker.ends.end(),
                                    [acked](const json& aEnd) { return aEnd[0].get<std::uint64_t>() <= acked; }),
                     aWorker.ends.end());
  const std::int64_t born = aWorker.born;
  const std::int64_t limit = NowMs() + std::min<std::int64_t>(2000, aBody.value("wait-ms", 0));
  while (aWorker.ends.empty() && NowMs() < limit && aWorker.born == born && aWorker.up) {
    gChanged.wait_for(aLock, std::chrono::milliseconds(std::max<std::int64_t>(1, limit - NowMs())));
  }
  json reply = Base(aWorker);
  reply["running"] = json::array();
  for (const auto& [task, run] : aWorker.runs) {
    const std::int64_t percent = std::min<std::int64_t>(100, 100 * WorkOf(run) / std::max<std::int64_t>(1, run.workMs));
    reply["running"].push_back({ task, run.number, run.saved, percent, 100 });
  }
  reply["finished"] = json::array();
  for (std::size_t i = 0; i < aWorker.ends.size() && i < 500; ++i) {
    reply["finished"].push_back(aWorker.ends[i]);
  }
  return { 200, reply.dump() };
}

void Crash(Worker& aWorker, std::int64_t aMs, Lock& aLock);

Reply ServeWorker(Worker& aWorker, const std::string& aTarget, const Message& aMessage)
{
  Lock lock(gMutex);
  if (!aWorker.up) {
    return { 0, "", true };
  }
  const auto expected = aMessage.headers.find("x-expect-instance");
  if (expected != aMessage.headers.end() && expected->second != aWorker.id) {
    return { 421 };
  }
  const json body = json::parse(aMessage.body);
  const std::uint64_t fence = body.value("fence", std::uint64_t{ 0 });
  if (fence < aWorker.fence) {
    json reply = Base(aWorker);
    reply["reason"] = "fence";
    return { 409, reply.dump() };
  }
  aWorker.fence = fence;
  if (aTarget == "/v1/run-start") {
    return Start(aWorker, body);
  }
  if (aTarget == "/v1/run-stop") {
    return Stop(aWorker, body);
  }
  if (aTarget == "/v1/hold") {
    Reply reply = Hold(aWorker, body, lock);
    if (aWorker.id == gTrapWorker && fence > gTrapFence) {
      gTrapWorker.clear();
      reply.last = true; // it is about to go down
      Log(aWorker.id + " has answered the owner of epoch " + std::to_string(fence));
      std::thread([&aWorker] {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        Lock again(gMutex);
        Crash(aWorker, 250, again);
      }).detach();
    }
    return reply;
  }
  return { 404 };
}

void Advance(Worker& aWorker)
{
  if (!aWorker.up) {
    return;
  }
  const bool lapsed = aWorker.ClockMs() > aWorker.leaseUntil;
  std::vector<std::pair<std::string, const char*>> ended;
  for (auto& [task, run] : aWorker.runs) {
    const std::int64_t work = std::min(WorkOf(run), run.workMs);
    const bool savesNow = run.stopAt >= 0 && NowMs() >= run.stopAt;
    if (run.checkpointBytes > 0) {
      const std::int64_t savedWork = run.saved.empty() ? 0 : std::stoll(run.saved);
      if (work - savedWork >= kCheckpointMs || (savesNow && work > savedWork)) {
        run.saved = MakeCheckpoint(work, run.checkpointBytes);
      }
    }
    if (lapsed) {
      ended.emplace_back(task, "lapsed");
    } else if (work >= run.workMs) {
      ended.emplace_back(task, "done");
    } else if (savesNow) {
      ended.emplace_back(task, "stopped");
    }
  }
  for (const auto& [task, how] : ended) {
    End(aWorker, task, how);
  }
  if (!ended.empty()) {
    gChanged.notify_all();
  }
}

void Crash(Worker& aWorker, std::int64_t aMs, Lock& aLock)
{
  for (const auto& [task, run] : aWorker.runs) {
    Log(aWorker.id + " crashes under " + task + " run " + std::to_string(run.number));
  }
  aWorker.up = false;
  aWorker.runs.clear();
  gChanged.notify_all();
  aLock.unlock();
  aWorker.server->SetDown(true);
  std::thread([&aWorker, aMs] {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
    const Lock again(gMutex);
    aWorker.server->SetDown(false);
    Boot(aWorker);
    Log(aWorker.id + " is back with a new boot");
    gChanged.notify_all();
  }).detach();
}

Reply Control(const std::string& aTarget)
{
  std::vector<std::string> parts;
  std::istringstream text(aTarget.substr(1));
  for (std::string part; std::getline(text, part, '/');) {
    parts.push_back(part);
  }
  Lock lock(gMutex);
  if (parts.at(0) == "state") {
    json state = json::object();
    for (const auto& worker : gWorkers) {
      json runs = json::array();
      for (const auto& [task, run] : worker->runs) {
        runs.push_back(task);
      }
      state[std::to_string(worker->index)] = runs;
    }
    return { 200, state.dump() };
  }
  if (parts.at(0) == "trap") {
    gTrapJob = parts.at(1);
    return {};
  }
  Worker& worker = *gWorkers.at(std::stoul(parts.at(1)));
  const std::int64_t ms = parts.size() > 2 ? std::stoll(parts[2]) : 0;
  Log("control: " + aTarget);
  if (parts[0] == "crash") {
    Crash(worker, ms, lock);
  } else {
    return { 404 };
  }
  return {};
}

int Serve(const std::string& aDir, std::size_t aWorkers)
{
  std::signal(SIGPIPE, SIG_IGN);
  gDir = aDir;
  {
    const Lock lock(gMutex);
    const auto route = [](const char* aName, int aPriority) {
      return json{ { "name", aName },        { "host", "presses.example" }, { "prefix", std::string("/") + aName + "/" },
                   { "service", "presses" }, { "priority", aPriority },     { "attempts", 2 },
                   { "slack-factor", 3.0 },  { "target-latency-ms", 3000 } };
    };
    const json manifest{ { "version", 1 },
                         { "routes", { route("urgent", 0), route("usual", 1), route("batch", 2) } },
                         { "services", { { { "name", "presses" }, { "rejects-overload", false } } } },
                         { "limits", { { "max-body-bytes", 262144 } } },
                         { "tenants",
                           { { { "name", "acme" }, { "api-keys", { "key-acme" } }, { "guaranteed", { { "gpu", 8 } } } } } } };
    ++gVersion;
    Put({ "op", "", "config" }, ToBase64(manifest.dump()), gVersion);
    for (std::size_t i = 0; i < aWorkers; ++i) {
      auto worker = std::make_unique<Worker>();
      worker->index = i;
      worker->id = "i-worker-" + std::to_string(i);
      Worker* it = worker.get();
      worker->server = std::make_unique<Server>(
        0, [it](const std::string&, const std::string& aTarget, const Message& aMessage) {
          return ServeWorker(*it, aTarget, aMessage);
        });
      gWorkers.push_back(std::move(worker));
      Boot(*it);
    }
  }
  const Server store(0, ServeStore);
  const Server control(0, [](const std::string&, const std::string& aTarget, const Message&) { return Control(aTarget); });
  std::ofstream(aDir + "/control") << control.Address();
  std::ofstream(aDir + "/store") << store.Address();
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const Lock lock(gMutex);
    bool changed = false;
    for (const auto& worker : gWorkers) {
      Advance(*worker);
      if (worker->up && NowMs() - worker->entryAt >= kHeartbeatMs) {
        Register(*worker);
        changed = true;
      }
      if (!worker->up && NowMs() - worker->entryAt >= 3 * kHeartbeatMs &&
          gRows.count({ "servers", "", worker->id }) != 0) {
        Remove({ "servers", "", worker->id }, ++gVersion);
        changed = true;
      }
    }
    if (gHistory.size() > 20000) {
      gForgotten = gHistory[9999].version;
      gHistory.erase(gHistory.begin(), gHistory.begin() + 10000);
    }
    if (changed) {
      gChanged.notify_all();
    }
  }
}

int Call(int aCount, char** aArguments)
{
  const std::string address = aArguments[2];
  const std::string body = aCount > 5 ? aArguments[5] : "";
  const std::int64_t limit = aCount > 6 ? std::stoll(aArguments[6]) : 3000;
  const std::size_t colon = address.find(':');
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &a.sin_addr);
  a.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  std::string rest;
  Message reply;
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
      !WriteAll(fd,
                std::string(aArguments[3]) + " " + aArguments[4] +
                  " HTTP/1.1\r\nHost: presses.example\r\nAuthorization: Bearer key-acme\r\nX-Deadline-Ms: " +
                  std::to_string(limit) + "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body) ||
      !ReadMessage(fd, rest, reply, limit)) {
    std::puts("000");
    return 0;
  }
  std::printf("%s %s\n", reply.first.substr(9, 3).c_str(), reply.body.c_str());
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::string verb = aCount > 1 ? aArguments[1] : "";
  if (verb == "serve" && aCount == 4) {
    return Serve(aArguments[2], std::stoul(aArguments[3]));
  }
  if (verb == "call" && aCount >= 5) {
    return Call(aCount, aArguments);
  }
  std::fputs("usage: standin serve DIR WORKERS | call ADDRESS METHOD PATH [BODY [MS]]\n", stderr);
  return 2;
}
