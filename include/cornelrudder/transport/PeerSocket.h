#ifndef CORNELRUDDER_TRANSPORT_PEER_SOCKET_H
#define CORNELRUDDER_TRANSPORT_PEER_SOCKET_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cornelrudder::transport {

struct PeerSocketLimits
{
  /** Longer frames are not sent; a peer that sends one is disconnected. */
  std::size_t mMaxFrameBytes = 1024ULL * 1024;
  /** Frames that wait for one peer. */
  int mMaxQueuedFrames = 64;
};

/** Frames since the start. */
struct PeerSocketCounters
{
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;
  /** Not sent: unknown or unconnected peer, full queue, too long. */
  std::uint64_t mDropped = 0;

  auto operator<=>(const PeerSocketCounters&) const = default;
};

/** Called for each frame, one at a time, on a thread of nng; must not throw. */
using PeerFrameHandler = std::function<void(std::string)>;

/**
 * Frames between daemons: one nng pull socket that listens, and one push
 * socket for each peer, which connects again by itself. May be used from any
 * thread.
 */
class PeerSocket
{
public:
  /**
   * Listens at once.
   * @param aAddress "a.b.c.d:port"; port 0 picks a free one.
   * @throws TransportError if the address is malformed or in use.
   */
  PeerSocket(const std::string& aAddress,
             PeerSocketLimits aLimits,
             PeerFrameHandler aHandler);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** @return The address with the port in use. */
  const std::string& Address() const;

  /**
   * Starts to connect to a peer, which need not be there yet. No effect if
   * that was done before.
   * @throws TransportError if the address is malformed.
   */
  void Connect(const std::string& aPeer);

  /** Closes the connection to a peer and drops what waits for it. */
  void Disconnect(const std::string& aPeer);

  /**
   * Queues a frame; never blocks.
   * @return False if the peer is unknown or not connected, its queue is full,
   *   or the frame is too long. The frame is then certainly not sent.
   */
  bool Send(const std::string& aPeer, std::string_view aFrame);

  PeerSocketCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_PEER_SOCKET_H
