#ifndef CORNELRUDDER_TESTS_FAKE_PEER_NET_H
#define CORNELRUDDER_TESTS_FAKE_PEER_NET_H

#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/coordination/PeerPort.h"

#include <caf/send.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::coordination {

/** Delivers messages from peer ports to the actors at their addresses. */
class FakePeerNet
{
public:
  using Filter = std::function<bool(const state::PeerMessage&)>;

  void Listen(const std::string& aAddress, caf::actor aReceiver)
  {
    const std::lock_guard lock(mMutex);
    mReceivers.insert_or_assign(aAddress, std::move(aReceiver));
  }

  /** Drops messages that match a filter; their senders still see success. */
  void LoseIf(Filter aFilter)
  {
    const std::lock_guard lock(mMutex);
    mLossFilter = std::move(aFilter);
  }

  bool Deliver(const std::string& aAddress, const state::PeerMessage& aMessage)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mReceivers.find(aAddress);
    if (it == mReceivers.end()) {
      return false;
    }
    mSent.push_back(aMessage);
    if (!mLossFilter || !mLossFilter(aMessage)) {
      caf::anon_send(it->second, PeerMessageReceived{ aMessage });
    }
    return true;
  }

  /** @return Number of messages of one type that were sent so far. */
  template<typename Body>
  std::size_t Count()
  {
    const std::lock_guard lock(mMutex);
    std::size_t n = 0;
    for (const state::PeerMessage& message : mSent) {
      n += std::holds_alternative<Body>(message.Body()) ? 1 : 0;
    }
    return n;
  }

  /** Releases the actors, which must not outlive their actor system. */
  void Clear()
  {
    const std::lock_guard lock(mMutex);
    mReceivers.clear();
  }

private:
  std::mutex mMutex;
  std::map<std::string, caf::actor> mReceivers;
  Filter mLossFilter;
  std::vector<state::PeerMessage> mSent;
};

/** The port of one daemon on a FakePeerNet. */
class FakePeerPort final : public PeerPort
{
public:
  explicit FakePeerPort(FakePeerNet& aNet)
    : mNet(aNet)
  {
  }

  bool Connect(const std::string& aAddress) override
  {
    const std::lock_guard lock(mMutex);
    ++mConnectCounts[aAddress];
    return aAddress != "malformed";
  }

  void Disconnect(const std::string& aAddress) override
  {
    const std::lock_guard lock(mMutex);
    mClosed.insert(aAddress);
  }

  bool Send(const std::string& aAddress,
            const state::PeerMessage& aMessage) override
  {
    return mNet.Deliver(aAddress, aMessage);
  }

  int ConnectCount(const std::string& aAddress)
  {
    const std::lock_guard lock(mMutex);
    return mConnectCounts[aAddress];
  }

private:
  FakePeerNet& mNet;
  std::mutex mMutex;
  std::map<std::string, int> mConnectCounts;
  std::set<std::string> mClosed;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_TESTS_FAKE_PEER_NET_H
