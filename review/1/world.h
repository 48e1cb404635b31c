// A stand-in for the users' platform: the table store, the operator, workers
// ("runners") and callers. It starts the daemons as processes of their own and
// plays one case against them. It follows the pages PROTOCOL and DEPLOY.
#ifndef CORNELRUDDER_REVIEW_WORLD_H
#define CORNELRUDDER_REVIEW_WORLD_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

void
Sleep(int aMs);

/** Writes lines with the time since the start to record.txt. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aLine);
  double Now() const;

private:
  std::mutex mMutex;
  std::ofstream mFile;
  Clock::time_point mStart = Clock::now();
};

struct Request
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

struct Response
{
  int mStatus = 0;
  std::string mBody;
};

/** No response: the connection stays open without an answer. */
using Handler = std::function<std::optional<Response>(const Request&)>;

/** HTTP/1.1 server with one thread for each connection. */
class Server
{
public:
  Server(std::string aIp, int aPort, Handler aHandler);
  ~Server();
  /** Closes the listener and resets all connections. */
  void Stop();
  int Port() const { return mPort; }
  std::string Address() const;

private:
  struct State;
  void Accept();
  static void Serve(std::shared_ptr<State> aState, int aSocket);

  std::string mIp;
  int mPort;
  std::shared_ptr<State> mState;
  std::thread mThread;
};

/**
 * Sends one request on a new connection.
 * @return The response; status 0 if there was none in time.
 */
Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     int aTimeoutMs);

/** @return Different ports that were free a moment ago. */
std::vector<int>
FreePorts(const std::string& aIp, std::size_t aCount);

/** @return A loopback address; those of two plays at a time differ. */
std::string
LoopbackIp(int aThird, int aFourth);

/** The platform's table store. Rows have at most kRowBytes bytes. */
class Store
{
public:
  static constexpr std::size_t kRowBytes = 65536;
  static constexpr std::size_t kCallBytes = 1'000'000;
  static constexpr std::size_t kCallEntries = 100;

  explicit Store(Record& aRecord);
  std::string Address() const { return mServer->Address(); }
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /** @return The value of a row of any part, or nothing. */
  std::optional<std::string> Get(const std::string& aTable,
                                 const std::string& aPart,
                                 const std::string& aKey);
  std::size_t Refused() const { return mRefused; }
  /**
   * From now on, writes of a row of a table are not answered, and done later.
   * An empty table ends this.
   */
  void LoseWrites(const std::string& aTable,
                  const std::string& aKey,
                  int aDelayMs);
  /** @return Number of writes since the last call of LoseWrites. */
  std::pair<std::size_t, std::size_t> LostAndAllWrites();

private:
  struct Id
  {
    std::string mTable;
    std::string mPart;
    std::string mKey;
    auto operator<=>(const Id&) const = default;
  };
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };
  struct Change
  {
    std::uint64_t mVersion;
    Id mId;
    bool mIsRemoved;
  };

  std::optional<Response> Handle(const Request& aRequest);
  Response Transact(const Request& aRequest);
  bool IsLost(const Request& aRequest);
  Response Read(const Request& aRequest);
  Response Feed(const Request& aRequest);
  json Base() const;
  json RowJson(const Id& aId, const Row& aRow) const;

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<Id, Row> mRows;
  std::vector<Change> mHistory;
  std::uint64_t mVersion = 1;
  std::atomic<std::size_t> mRefused{ 0 };
  std::string mLostTable;
  std::string mLostKey;
  int mLostDelayMs = 0;
  std::size_t mLostWrites = 0;
  std::size_t mWrites = 0;
  std::unique_ptr<Server> mServer;
};

/** What a worker does with a task that it is told to start. */
struct Work
{
  int mWorkMs = 1000;
  bool mIsLasting = false;
  bool mFails = false;
};

struct RunEvent
{
  double mAt;
  std::string mWhat; // "start" or how the run ended
  std::string mTask;
  std::uint64_t mRun;
  std::string mWorker;
};

class World;

/** One machine for workers; each life of it is a worker. */
class Worker
{
public:
  Worker(World& aWorld, int aNumber, std::string aZone);

  // The following are called with the lock of the world held.
  void Report();
  void Advance();
  void Crash();
  void Restart();
  void Drain(int aRemainingMs, int aExitAfterMs);
  void Cut(bool aIsCut);
  bool Runs(const std::string& aTask) const;
  std::size_t RunCount() const { return mRuns.size(); }
  const std::string& Id() const { return mId; }
  bool IsUp() const { return mIsUp; }
  Clock::time_point LastReport() const { return mLastReport; }

private:
  friend class World;
  struct Run
  {
    std::string mTask;
    std::uint64_t mRun;
    Work mWork;
    Clock::time_point mStart;
    std::optional<Clock::time_point> mStopAt;
  };
  struct End
  {
    std::uint64_t mNumber;
    std::string mTask;
    std::uint64_t mRun;
    std::string mHow;
  };

  std::optional<Response> Handle(const Request& aRequest);
  std::optional<Response> StartRun(const json& aBody);
  std::optional<Response> StopRun(const json& aBody);
  void ExtendLease(const json& aBody);
  json Lists() const;
  std::int64_t ClockMs() const;
  void Begin();
  void Finish(std::list<Run>::iterator aRun, const std::string& aHow);
  void Leave();

  World& mWorld;
  int mNumber;
  std::string mIp;
  std::string mZone;
  int mLife = 0;
  std::string mId;
  std::unique_ptr<Server> mServer;
  int mPort = 0;
  bool mIsUp = false;
  bool mIsCut = false;
  bool mIsDraining = false;
  int mRemainingMs = 0;
  Clock::time_point mDrainSince;
  Clock::time_point mExitAt;
  std::int64_t mBorn = 0;
  Clock::time_point mClockStart;
  std::uint64_t mSequence = 0;
  Clock::time_point mLastReport;
  std::uint64_t mFence = 0;
  Clock::time_point mLeaseUntil;
  std::list<Run> mRuns;
  std::list<End> mEnds;
  std::uint64_t mLastEnd = 0;
  std::map<std::string, std::uint64_t> mHighestEnded;
};

struct Daemon
{
  std::string mName;
  std::string mZone;
  std::string mIp;
  std::string mConfig;
  std::string mAddress;
  std::string mReadiness;
  pid_t mPid = 0;
};

struct WorldOptions
{
  std::string mDaemonProgram;
  std::string mFolder;
  std::string mRecord;
  bool mTrouble = true;
  int mDaemons = 6;
  int mWorkers = 12;
  int mRoomCpu = 64'000;
  int mRoomMemory = 262'144;
  int mRoomGpu = 8;
};

class World
{
public:
  explicit World(const WorldOptions& aOptions);
  ~World();

  static constexpr int kReportMs = 1'500;
  static constexpr int kLostAfterMs = 4'500;
  static constexpr int kStopMs = 300;
  static constexpr int kHoldMaxMs = 6'000;

  Record& Log() { return mRecord; }
  Store& Table() { return *mStore; }
  std::recursive_mutex& Lock() { return mMutex; }
  std::condition_variable_any& Changed() { return mChanged; }
  const WorldOptions& Options() const { return mOptions; }
  bool Trouble() const { return mOptions.mTrouble; }

  /** Writes the manifest: one service, queues of each priority, two tenants. */
  void WriteManifest();
  void StartDaemons();
  void StartDaemon(Daemon& aDaemon);
  /** Writes a daemon's settings with free ports. */
  void Configure(Daemon& aDaemon);
  void Signal(Daemon& aDaemon, int aSignal);
  /** @return Whether every daemon is ready within the time. */
  bool AwaitReady(int aTimeoutMs);
  /** @return A daemon's metric; -1 if it has none. */
  Daemon* Owner();

  /** Sets what tasks of a job (or one step of it) do. */
  void SetWork(const std::string& aPrefix, Work aWork);
  Work WorkOf(const std::string& aTask);

  /** Submits a job; tries other daemons after no answer, 502 or 504. */
  int Submit(const std::string& aQueue,
             const std::string& aKey,
             const std::string& aJob,
             const json& aSteps,
             const json& aTimes = json::object());
  /** Sends a submission once. @return The status; 0 if there was no answer. */
  int Post(const std::string& aQueue,
           const std::string& aKey,
           const std::string& aJob,
           const json& aBody,
           const Daemon& aDaemon);
  /** @return The state of a job, or the status as text. */
  std::string State(const std::string& aQueue,
                    const std::string& aKey,
                    const std::string& aJob);
  int Cancel(const std::string& aQueue,
             const std::string& aKey,
             const std::string& aJob);

  std::vector<std::unique_ptr<Worker>>& Workers() { return mWorkers; }
  Worker* WorkerOf(const std::string& aTask);
  bool AwaitRunning(const std::string& aTask, int aTimeoutMs);
  void AddEvent(const std::string& aWhat,
                const std::string& aTask,
                std::uint64_t aRun,
                const std::string& aWorker);
  std::vector<RunEvent> Events();
  /** @return Number of events of one kind of the tasks of a job. */
  std::size_t CountEvents(const std::string& aWhat, const std::string& aJob);
  /** Crashes the worker of a task; its next life starts 4.5 s later. */
  void CrashWorkerOf(const std::string& aTask);
  /** Starts the daemons. @return Whether all of them are ready. */
  bool Begin();
  /** Ends all daemons and waits for their ends. */
  void EndDaemons();
  /** Record a result. @return The exit status of the case. */
  int CannotRun(const std::string& aWhy);
  int Verdict(bool aIsBroken, const std::string& aText);
  std::vector<Daemon>& Daemons() { return mDaemons; }
  /** @return Number of daemons that have ended by themselves. */
  int CountExits();

private:
  void Tick();
  void RemoveSilentEntries();

  WorldOptions mOptions;
  Record mRecord;
  std::recursive_mutex mMutex;
  std::condition_variable_any mChanged;
  std::unique_ptr<Store> mStore;
  std::map<std::string, Clock::time_point> mEntries;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<Daemon> mDaemons;
  std::map<std::string, Work> mWork;
  std::vector<RunEvent> mEvents;
  std::set<pid_t> mKilled;
  std::size_t mNextDaemon = 0;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;

  friend class Worker;
};

/** Number and size of the workers of a case. */
struct Fleet
{
  int mWorkers;
  int mRoomCpu;
  int mRoomMemory;
};

/**
 * Plays a case. Arguments: DAEMON FOLDER RECORD TROUBLE.
 * @return 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 */
int
RunCase(int aCount,
        char** aArguments,
        int (*aPlay)(World&),
        const Fleet& aFleet);

constexpr const char* kKeyA = "key-a";
constexpr const char* kKeyB = "key-b";
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

} // namespace review

#endif
