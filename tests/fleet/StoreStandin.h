#ifndef CORNELRUDDER_TESTS_FLEET_STORE_STANDIN_H
#define CORNELRUDDER_TESTS_FLEET_STORE_STANDIN_H

#include "StandinServer.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace cornelrudder::tests {

/**
 * In-memory stand-in for the platform's store: rows in tables, atomic
 * transactions, range reads and a change feed. All functions must be called on
 * the I/O thread.
 */
class StoreStandin
{
public:
  using Millis = std::chrono::milliseconds;

  /** @param aServer Provides the fault switch `mLoseAnswers`. */
  explicit StoreStandin(tools::StandinServer& aServer)
    : mServer(aServer)
  {
  }

  /**
   * @param aGate Number of the daemon's listener. Each daemon reads its own
   *   table of workers, in which the workers have its addresses.
   * @return Whether the path belongs to the store; if so, it is handled.
   */
  bool Handle(const protocol::HttpRequest& aRequest,
              const transport::HttpResponder& aRespond,
              std::size_t aGate);

  /** Writes a row on behalf of the operator. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);

  /** Removes a row on behalf of the operator. */
  void Remove(const std::string& aTable, const std::string& aKey);

  /** Writes a worker's row as the daemon at a gate reads it. */
  void PutWorker(std::size_t aGate,
                 const std::string& aKey,
                 const std::string& aValue);

  /** Removes a worker's row as the daemon at a gate reads it. */
  void RemoveWorker(std::size_t aGate, const std::string& aKey);

  /** Discards the change history; feed readers have to reread the table. */
  void DropHistory() { mHistory.clear(), mHistoryStart = mVersion; }

  /** Refuses transactions on the part of the workers for some time. */
  void Overload(Millis aTime)
  {
    mOverloadedUntil = std::chrono::steady_clock::now() + aTime;
  }

  /** @return The gate at which the owner's row was last written. */
  std::size_t OwnerGate() const { return mOwnerGate; }

  /**
   * Responds when the owner has written records of runs, or with the present
   * gate after kMaxOwnerWait: {"gate":N}. The reply to the owner is held back
   * for kHeldReply, so that the owner can be paused before it receives it.
   */
  void AwaitOwnerWrite(const transport::HttpResponder& aRespond);

  /** Responds to requests that have new changes or timed out. */
  void Tick();

private:
  struct RowId
  {
    std::string mTable;
    std::string mPart;
    std::string mKey;

    auto operator<=>(const RowId&) const = default;
  };

  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  struct Change
  {
    std::uint64_t mVersion;
    RowId mId;
    Row mRow;
    bool mIsRemoved;
  };

  /** A long poll of the change feed without a response so far. */
  struct PendingFeedRequest
  {
    std::string mTable;
    std::size_t mGate;
    std::uint64_t mAfter;
    std::chrono::steady_clock::time_point mDeadline;
    transport::HttpResponder mRespond;
  };

  /** A control request that waits for a write of the owner. */
  struct OwnerWait
  {
    std::chrono::steady_clock::time_point mDeadline;
    transport::HttpResponder mRespond;
  };

  void Transact(const protocol::HttpRequest& aRequest,
                const transport::HttpResponder& aRespond,
                std::size_t aGate);
  /** @return Whether the reply to an executed transaction is held back. */
  bool FollowOwner(const nlohmann::json& aTransaction, std::size_t aGate);
  void RespondToOwnerWaits(bool aRespondToAll);
  void Read(const protocol::HttpRequest& aRequest,
            const transport::HttpResponder& aRespond,
            std::size_t aGate) const;
  void FollowFeed(const protocol::HttpRequest& aRequest,
                  const transport::HttpResponder& aRespond,
                  std::size_t aGate);
  /** @return The error of a transaction that is not executed, or nothing. */
  std::optional<protocol::HttpResponse> Refuse(
    const nlohmann::json& aTransaction) const;
  void Apply(const RowId& aId, const Row& aRow, bool aIsRemoved);
  nlohmann::json ChangesAfter(const std::string& aTable,
                              std::size_t aGate,
                              std::uint64_t aAfter) const;
  nlohmann::json MakeReply() const;

  tools::StandinServer& mServer;
  std::map<RowId, Row> mRows;
  std::deque<Change> mHistory;
  std::uint64_t mHistoryStart = 0;
  std::uint64_t mVersion = 0;
  std::chrono::steady_clock::time_point mOverloadedUntil;
  std::list<PendingFeedRequest> mPendingFeeds;
  std::size_t mOwnerGate = 0;
  std::list<OwnerWait> mOwnerWaits;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_STORE_STANDIN_H
