#ifndef CORNELRUDDER_COORDINATION_MEMBERSHIP_MESSAGES_H
#define CORNELRUDDER_COORDINATION_MEMBERSHIP_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/Membership.h"
#include "cornelrudder/state/PeerMessage.h"
#include "cornelrudder/state/Vm.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <chrono>
#include <string>
#include <vector>

/**
 * @file
 * Messages of the membership task.
 */

namespace cornelrudder::coordination {

/** The daemons that share the runners' slots, including this one. */
struct ActiveDaemonsView
{
  const std::vector<state::VmId> mDaemons;

  auto operator<=>(const ActiveDaemonsView&) const = default;
};

/** Reports the platform's VM list to the membership task. */
struct VmListReadCompleted
{
  /** Empty if the read failed. */
  const std::vector<state::VmList> mVmList;

  auto operator<=>(const VmListReadCompleted&) const = default;
};

/** Passes a message from a peer to the membership task or a handler. */
struct PeerMessageReceived
{
  const state::PeerMessage mMessage;

  auto operator<=>(const PeerMessageReceived&) const = default;
};

/** Reports a peer frame that could not be decoded. */
struct PeerFrameRejected
{
  const std::string mReason;

  auto operator<=>(const PeerFrameRejected&) const = default;
};

/**
 * Sends a message to one peer. The response is a bool; false means that the
 * message was definitely not sent.
 */
struct SendToPeer
{
  const state::VmId mPeer;
  const state::PeerBody mBody;

  auto operator<=>(const SendToPeer&) const = default;
};

/** Sends a message to all peers; there is no response. */
struct SendToAllPeers
{
  const state::PeerBody mBody;

  auto operator<=>(const SendToAllPeers&) const = default;
};

/** Sets the tasks to which peer messages go, as PeerMessageReceived. */
struct SetPeerHandlers
{
  caf::actor mSettings;
  caf::actor mForward;
};

/** Sets the addresses that this daemon listens on and starts heartbeats. */
struct AnnounceAddresses
{
  const std::string mHttpAddress;
  const std::string mPeerAddress;

  auto operator<=>(const AnnounceAddresses&) const = default;
};

/** Makes the membership task announce a graceful shutdown to the peers. */
struct AnnounceLeaving
{
  auto operator<=>(const AnnounceLeaving&) const = default;
};

/** Signals that the next heartbeats are due. */
struct HeartbeatTick
{
  auto operator<=>(const HeartbeatTick&) const = default;
};

/** Requests the states of the other daemons; the response is MemberList. */
struct GetMembers
{
  auto operator<=>(const GetMembers&) const = default;
};

/** Requests the VMs as last listed; the response is state::VmList. */
struct GetVms
{
  auto operator<=>(const GetVms&) const = default;
};

/** The other daemons and their states at one monotonic time. */
struct MemberList
{
  const std::vector<state::Member> mMembers;
  const std::chrono::milliseconds mObservedAt;

  auto operator<=>(const MemberList&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ActiveDaemonsView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::VmListReadCompleted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PeerMessageReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PeerFrameRejected)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SendToPeer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SendToAllPeers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SetPeerHandlers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::AnnounceAddresses)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::AnnounceLeaving)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::HeartbeatTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetMembers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetVms)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::MemberList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::VmList)

#endif // CORNELRUDDER_COORDINATION_MEMBERSHIP_MESSAGES_H
