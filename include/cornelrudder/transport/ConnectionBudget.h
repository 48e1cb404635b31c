#ifndef CORNELRUDDER_TRANSPORT_CONNECTION_BUDGET_H
#define CORNELRUDDER_TRANSPORT_CONNECTION_BUDGET_H

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace cornelrudder::transport {

enum class ConnectionPhase
{
  kIdle,
  kReceiving,
  /** A request was handed on and is not answered yet. */
  kAnswering,
  kSending
};

/** What a connection holds. */
struct ConnectionLoad
{
  std::uint64_t mListener = 0;
  std::size_t mBytes = 0;
  ConnectionPhase mPhase = ConnectionPhase::kIdle;
  /** Begin of the phase. */
  std::chrono::steady_clock::time_point mSince;

  auto operator<=>(const ConnectionLoad&) const = default;
};

/** @return Whether the first connection has to be closed before the second. */
bool
IsClosedBefore(const ConnectionLoad& aFirst, const ConnectionLoad& aSecond);

/** The memory of all connections, and the choice of the one to close. */
class ConnectionBudget
{
public:
  using Id = std::uint64_t;

  explicit ConnectionBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /** Adds a connection or replaces its load. */
  void Put(Id aId, const ConnectionLoad& aLoad);
  void Remove(Id aId);

  void SetMaxBytes(std::size_t aMaxBytes) { mMaxBytes = aMaxBytes; }
  std::size_t MaxBytes() const { return mMaxBytes; }
  std::size_t Bytes() const { return mBytes; }
  std::size_t Connections() const { return mLoads.size(); }
  bool IsExceeded() const { return mBytes > mMaxBytes; }

  /**
   * @param aListener Considers only connections of this listener.
   * @return The connection to close, never one that is being answered; nothing
   *   if there is no other.
   */
  std::optional<Id> FirstToClose(
    std::optional<std::uint64_t> aListener = std::nullopt) const;

private:
  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::unordered_map<Id, ConnectionLoad> mLoads;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_CONNECTION_BUDGET_H
