#ifndef CORNELRUDDER_COORDINATION_PEER_PORT_H
#define CORNELRUDDER_COORDINATION_PEER_PORT_H

#include "cornelrudder/state/PeerMessage.h"

#include <string>

namespace cornelrudder::coordination {

/**
 * Connections to other daemons. Incoming frames are passed to the membership
 * task as PeerMessageReceived or PeerFrameRejected. No call blocks.
 */
class PeerPort
{
public:
  virtual ~PeerPort() = default;

  /**
   * Starts connecting, and reconnects whenever the connection is lost.
   * @return False if the address is malformed.
   */
  virtual bool Connect(const std::string& aAddress) = 0;

  /** Closes the connection and drops its queued messages. */
  virtual void Disconnect(const std::string& aAddress) = 0;

  /** @return False if the message was definitely not sent. */
  virtual bool Send(const std::string& aAddress,
                    const state::PeerMessage& aMessage) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_PEER_PORT_H
