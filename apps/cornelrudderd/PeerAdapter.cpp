#include "cornelrudderd/PeerAdapter.h"

#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/protocol/PeerCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/transport/TransportError.h"

#include <caf/send.hpp>

namespace cornelrudder::daemon {

namespace {

transport::PeerSocketLimits
FrameLimits()
{
  transport::PeerSocketLimits limits;
  limits.mMaxFrameBytes = protocol::kMaxPeerFrameBytes;
  return limits;
}

} // namespace

PeerAdapter::PeerAdapter(const std::string& aAddress)
  : mSocket(aAddress, FrameLimits(), [this](const std::string& aFrame) {
    Receive(aFrame);
  })
{
}

void
PeerAdapter::SetReceiver(caf::actor aReceiver)
{
  const std::lock_guard lock(mMutex);
  mReceiver = std::move(aReceiver);
}

bool
PeerAdapter::Connect(const std::string& aAddress)
{
  try {
    mSocket.Connect(aAddress);
    return true;
  } catch (const transport::TransportError&) {
    return false;
  }
}

void
PeerAdapter::Disconnect(const std::string& aAddress)
{
  mSocket.Disconnect(aAddress);
}

bool
PeerAdapter::Send(const std::string& aAddress,
                  const state::PeerMessage& aMessage)
{
  try {
    return mSocket.Send(aAddress, protocol::EncodePeerMessage(aMessage));
  } catch (const protocol::ProtocolError&) {
    // The message exceeds the maximum frame size.
    return false;
  }
}

void
PeerAdapter::Receive(const std::string& aFrame)
{
  const std::lock_guard lock(mMutex);
  if (!mReceiver) {
    return;
  }
  try {
    caf::anon_send(
      mReceiver,
      coordination::PeerMessageReceived{ protocol::DecodePeerMessage(aFrame) });
  } catch (const protocol::ProtocolError& error) {
    caf::anon_send(mReceiver, coordination::PeerFrameRejected{ error.what() });
  }
}

} // namespace cornelrudder::daemon
