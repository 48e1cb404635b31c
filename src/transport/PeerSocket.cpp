#include "cornelrudder/transport/PeerSocket.h"

#include "NngHandles.h"
#include "SocketAddress.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <map>
#include <mutex>

namespace cornelrudder::transport {

namespace {

constexpr nng_duration kMinReconnectMs = 50;
constexpr nng_duration kMaxReconnectMs = 1'000;

std::string
ToUrl(const std::string& aAddress)
{
  return "tcp://" + FormatSocketAddress(ParseSocketAddress(aAddress));
}

/**
 * Number of connections to one address. It outlives the sockets, since nng
 * reports the end of a connection from a thread of its own.
 */
using ConnectionCount = std::atomic<int>;

void
OnPipeEvent(nng_pipe /*aPipe*/, nng_pipe_ev aEvent, void* aCount)
{
  auto& count = *static_cast<ConnectionCount*>(aCount);
  count.fetch_add(aEvent == NNG_PIPE_EV_ADD_POST ? 1 : -1);
}

/** The push socket of one peer. */
class PeerLink
{
public:
  PeerLink(const std::string& aAddress,
           const PeerSocketLimits& aLimits,
           ConnectionCount& aCount)
    : mSocket(nng_push0_open)
    , mCount(aCount)
  {
    const nng_socket socket = mSocket.Get();
    const std::string what = "cannot connect to " + aAddress;
    RequireNng(
      what,
      nng_socket_set_int(socket, NNG_OPT_SENDBUF, aLimits.mMaxQueuedFrames));
    RequireNng(what,
               nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectMs));
    RequireNng(what,
               nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectMs));
    RequireNng(
      what,
      nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, OnPipeEvent, &aCount));
    RequireNng(
      what,
      nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, OnPipeEvent, &aCount));
    RequireNng(
      what,
      nng_dial(socket, ToUrl(aAddress).c_str(), nullptr, NNG_FLAG_NONBLOCK));
  }

  bool Send(std::string_view aFrame)
  {
    if (mCount.load() <= 0) {
      return false;
    }
    NngMessage message(aFrame);
    if (nng_sendmsg(mSocket.Get(), message.Get(), NNG_FLAG_NONBLOCK) != 0) {
      return false;
    }
    message.Release();
    return true;
  }

private:
  NngSocket mSocket;
  ConnectionCount& mCount;
};

} // namespace

class PeerSocket::Impl
{
public:
  Impl(const std::string& aAddress,
       PeerSocketLimits aLimits,
       PeerFrameHandler aHandler)
    : mLimits(aLimits)
    , mHandler(std::move(aHandler))
    , mPull(nng_pull0_open)
    , mReceive(OnReceived, this)
  {
    const std::string what = "cannot listen on " + aAddress;
    RequireNng(what,
               nng_socket_set_size(
                 mPull.Get(), NNG_OPT_RECVMAXSZ, mLimits.mMaxFrameBytes));
    nng_listener listener{};
    RequireNng(what,
               nng_listen(mPull.Get(), ToUrl(aAddress).c_str(), &listener, 0));
    mAddress = LocalAddress(aAddress, listener);
    nng_recv_aio(mPull.Get(), mReceive.Get());
  }

  const std::string& Address() const { return mAddress; }

  void Connect(const std::string& aPeer)
  {
    const std::lock_guard lock(mMutex);
    if (!mLinks.contains(aPeer)) {
      mLinks.try_emplace(aPeer, aPeer, mLimits, mConnections[aPeer]);
    }
  }

  void Disconnect(const std::string& aPeer)
  {
    const std::lock_guard lock(mMutex);
    mLinks.erase(aPeer);
  }

  bool Send(const std::string& aPeer, std::string_view aFrame)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mLinks.find(aPeer);
    const bool sent = it != mLinks.end() &&
                      aFrame.size() <= mLimits.mMaxFrameBytes &&
                      it->second.Send(aFrame);
    ++(sent ? mSent : mDropped);
    return sent;
  }

  PeerSocketCounters Counters() const { return { mSent, mReceived, mDropped }; }

private:
  static std::string LocalAddress(const std::string& aAddress,
                                  nng_listener aListener)
  {
    int port = 0;
    RequireNng("cannot listen on " + aAddress,
               nng_listener_get_int(aListener, NNG_OPT_TCP_BOUND_PORT, &port));
    auto address = ParseSocketAddress(aAddress);
    address.port(static_cast<std::uint16_t>(port));
    return FormatSocketAddress(address);
  }

  static void OnReceived(void* aSelf) { static_cast<Impl*>(aSelf)->Receive(); }

  void Receive()
  {
    const int result = nng_aio_result(mReceive.Get());
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
      return;
    }
    if (result == 0) {
      const NngMessage message(nng_aio_get_msg(mReceive.Get()));
      ++mReceived;
      mHandler(message.Body());
    }
    nng_recv_aio(mPull.Get(), mReceive.Get());
  }

  PeerSocketLimits mLimits;
  PeerFrameHandler mHandler;
  std::string mAddress;
  std::atomic<std::uint64_t> mSent{ 0 };
  std::atomic<std::uint64_t> mReceived{ 0 };
  std::atomic<std::uint64_t> mDropped{ 0 };
  mutable std::mutex mMutex;
  std::map<std::string, ConnectionCount> mConnections;
  std::map<std::string, PeerLink> mLinks;
  NngSocket mPull;
  /** Destroyed first, so that no callback uses the other members. */
  NngAio mReceive;
};

PeerSocket::PeerSocket(const std::string& aAddress,
                       PeerSocketLimits aLimits,
                       PeerFrameHandler aHandler)
  : mImpl(std::make_unique<Impl>(aAddress, aLimits, std::move(aHandler)))
{
}

PeerSocket::~PeerSocket() = default;

const std::string&
PeerSocket::Address() const
{
  return mImpl->Address();
}

void
PeerSocket::Connect(const std::string& aPeer)
{
  mImpl->Connect(aPeer);
}

void
PeerSocket::Disconnect(const std::string& aPeer)
{
  mImpl->Disconnect(aPeer);
}

bool
PeerSocket::Send(const std::string& aPeer, std::string_view aFrame)
{
  return mImpl->Send(aPeer, aFrame);
}

PeerSocketCounters
PeerSocket::Counters() const
{
  return mImpl->Counters();
}

} // namespace cornelrudder::transport
