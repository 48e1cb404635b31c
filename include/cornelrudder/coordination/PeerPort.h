#ifndef CORNELRUDDER_COORDINATION_PEER_PORT_H
#define CORNELRUDDER_COORDINATION_PEER_PORT_H

#include "cornelrudder/state/PeerMessage.h"

#include <string>

namespace cornelrudder::coordination {

/**
 * Connections to other daemons. What arrives is sent to the membership task
 * as PeerMessageReceived or PeerFrameRejected. No call blocks.
 */
class PeerPort
{
public:
  virtual ~PeerPort() = default;

  /**
   * Starts to connect, and connects again after a loss.
   * @return False if the address is malformed.
   */
  virtual bool Connect(const std::string& aAddress) = 0;

  /** Closes the connection and drops what waits for it. */
  virtual void Disconnect(const std::string& aAddress) = 0;

  /** @return False if the message is certainly not sent. */
  virtual bool Send(const std::string& aAddress,
                    const state::PeerMessage& aMessage) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_PEER_PORT_H
