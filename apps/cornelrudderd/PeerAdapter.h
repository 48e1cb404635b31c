#ifndef CORNELRUDDERD_PEER_ADAPTER_H
#define CORNELRUDDERD_PEER_ADAPTER_H

#include "cornelrudder/coordination/PeerPort.h"
#include "cornelrudder/transport/PeerSocket.h"

#include <caf/actor.hpp>

#include <mutex>
#include <string>

namespace cornelrudder::daemon {

/** Exchanges messages with other daemons over nng. */
class PeerAdapter final : public coordination::PeerPort
{
public:
  /** @throws TransportError if the address is malformed or in use. */
  explicit PeerAdapter(const std::string& aAddress);

  /** Sets the task that receives messages; null drops them. Thread-safe. */
  void SetReceiver(caf::actor aReceiver);

  /** @return The listen address with the actual port. */
  const std::string& Address() const { return mSocket.Address(); }

  bool Connect(const std::string& aAddress) override;
  void Disconnect(const std::string& aAddress) override;
  bool Send(const std::string& aAddress,
            const state::PeerMessage& aMessage) override;

private:
  void Receive(const std::string& aFrame);

  std::mutex mMutex;
  caf::actor mReceiver;
  /** Declared last and so destroyed first, since its callbacks call Receive. */
  transport::PeerSocket mSocket;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_PEER_ADAPTER_H
