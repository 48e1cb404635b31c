#ifndef CORNELRUDDERD_PEER_ADAPTER_H
#define CORNELRUDDERD_PEER_ADAPTER_H

#include "cornelrudder/coordination/PeerPort.h"
#include "cornelrudder/transport/PeerSocket.h"

#include <caf/actor.hpp>

#include <mutex>
#include <string>

namespace cornelrudder::daemon {

/** Other daemons over nng. */
class PeerAdapter final : public coordination::PeerPort
{
public:
  /** @throws TransportError if the address is malformed or in use. */
  explicit PeerAdapter(const std::string& aAddress);

  /** Sends what arrives to a task from now on; null drops it. */
  void SetReceiver(caf::actor aReceiver);

  /** @return The address with the port in use. */
  const std::string& Address() const { return mSocket.Address(); }

  bool Connect(const std::string& aAddress) override;
  void Disconnect(const std::string& aAddress) override;
  bool Send(const std::string& aAddress,
            const state::PeerMessage& aMessage) override;

private:
  void Receive(const std::string& aFrame);

  std::mutex mMutex;
  caf::actor mReceiver;
  /** Destroyed first, since it calls Receive. */
  transport::PeerSocket mSocket;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_PEER_ADAPTER_H
