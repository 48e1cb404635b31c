#ifndef CORNELRUDDER_TRANSPORT_CONNECTION_LIMITER_H
#define CORNELRUDDER_TRANSPORT_CONNECTION_LIMITER_H

#include "cornelrudder/transport/ConnectionBudget.h"
#include "cornelrudder/transport/IoThread.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelrudder::transport {

/** Begin or end of a time in which connections are displaced. */
struct OverloadReport
{
  bool mHasEnded = false;
  /** Open connections of all listeners, and the bytes that they hold. */
  std::size_t mConnections = 0;
  std::size_t mBytes = 0;
  /** Connections closed to make room, and requests rejected, since the begin.
   */
  std::uint64_t mDisplaced = 0;
  std::uint64_t mRejected = 0;

  auto operator<=>(const OverloadReport&) const = default;
};

/** What a server does against a client that misbehaves. */
enum class ConnectionIncident
{
  kDisplaced,
  kRejected,
  kIdleTimeout,
  kHeaderTimeout,
  kBodyTimeout,
  kWriteTimeout
};

/**
 * Limits the memory of the connections of all servers on one I/O thread. All
 * members except the counters are called on that thread.
 */
class ConnectionLimiter : public std::enable_shared_from_this<ConnectionLimiter>
{
public:
  using OverloadHandler = std::function<void(const OverloadReport&)>;

  /** Keeps a connection registered. */
  class Slot
  {
  public:
    /**
     * @param aOnDisplaced Closes the connection's socket; must not wait.
     */
    Slot(ConnectionLimiter& aLimiter,
         std::uint64_t aListener,
         std::function<void()> aOnDisplaced);
    ~Slot();
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    /** Charges what the connection holds; may displace any connection. */
    void Charge(ConnectionPhase aPhase, std::size_t aBytes);
    bool IsDisplaced() const { return mIsDisplaced; }

  private:
    friend class ConnectionLimiter;

    ConnectionLimiter& mLimiter;
    ConnectionBudget::Id mId;
    ConnectionLoad mLoad;
    std::function<void()> mOnDisplaced;
    bool mIsDisplaced = false;
  };

  /** @param aOnOverload Called on the I/O thread; may be empty. */
  ConnectionLimiter(IoThread& aThread,
                    std::size_t aMaxBytes,
                    OverloadHandler aOnOverload);

  /** @return A number that no other listener has. */
  std::uint64_t AddListener() { return ++mLastListener; }

  /** Raises the limit if a few bodies of this size would exceed it. */
  void EnsureRoomFor(std::size_t aBodyBytes);

  /** @return Whether a connection of the listener was displaced. */
  bool DisplaceOne(std::uint64_t aListener);

  void Count(ConnectionIncident aIncident);

  /** @return Counters and gauges by name; may be called on any thread. */
  std::map<std::string, std::uint64_t> Counters() const;

private:
  static constexpr std::size_t kIncidents = 6;

  void Register(Slot& aSlot);
  void Unregister(Slot& aSlot);
  void Update(Slot& aSlot);
  void Displace(ConnectionBudget::Id aId);
  void ReportBegin();
  void ScheduleEndCheck();
  void CheckEnd();
  std::uint64_t CountOf(ConnectionIncident aIncident) const;
  void PublishGauges();

  IoThread& mThread;
  ConnectionBudget mBudget;
  OverloadHandler mOnOverload;
  std::map<ConnectionBudget::Id, Slot*> mSlots;
  ConnectionBudget::Id mLastId = 0;
  std::uint64_t mLastListener = 0;
  bool mIsOverloaded = false;
  /** Counts at the begin of the overload and at the last check. */
  std::uint64_t mDisplacedBefore = 0;
  std::uint64_t mRejectedBefore = 0;
  std::uint64_t mDisplacedAtCheck = 0;
  std::array<std::atomic<std::uint64_t>, kIncidents> mCounts{};
  std::atomic<std::uint64_t> mBytesGauge{ 0 };
  std::atomic<std::uint64_t> mConnectionsGauge{ 0 };
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_CONNECTION_LIMITER_H
