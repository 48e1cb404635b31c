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

/** The daemons that share the runners' slots; includes this one. */
struct ActiveDaemonsView
{
  const std::vector<state::VmId> mDaemons;

  auto operator<=>(const ActiveDaemonsView&) const = default;
};

/** Tells the membership task what the platform listed. */
struct VmListReadCompleted
{
  /** Empty if the read failed. */
  const std::vector<state::VmList> mVmList;

  auto operator<=>(const VmListReadCompleted&) const = default;
};

/** Tells the membership task what a peer sent. */
struct PeerMessageReceived
{
  const state::PeerMessage mMessage;

  auto operator<=>(const PeerMessageReceived&) const = default;
};

/** Tells the membership task that a frame could not be decoded. */
struct PeerFrameRejected
{
  const std::string mReason;

  auto operator<=>(const PeerFrameRejected&) const = default;
};

/**
 * Sends a message to one peer; the answer is a bool: false if it was
 * certainly not sent.
 */
struct SendToPeer
{
  const state::VmId mPeer;
  const state::PeerBody mBody;

  auto operator<=>(const SendToPeer&) const = default;
};

/** Sends a message to all peers; there is no answer. */
struct SendToAllPeers
{
  const state::PeerBody mBody;

  auto operator<=>(const SendToAllPeers&) const = default;
};

/** Names the tasks that take what peers send (as PeerMessageReceived). */
struct SetPeerHandlers
{
  caf::actor mSettings;
  caf::actor mForward;
};

/** Tells the membership task where this daemon listens; heartbeats begin. */
struct AnnounceAddresses
{
  const std::string mHttpAddress;
  const std::string mPeerAddress;

  auto operator<=>(const AnnounceAddresses&) const = default;
};

/** Tells the membership task that a graceful shutdown has begun. */
struct AnnounceLeaving
{
  auto operator<=>(const AnnounceLeaving&) const = default;
};

/** Tells a task that heartbeats are due. */
struct HeartbeatTick
{
  auto operator<=>(const HeartbeatTick&) const = default;
};

/** Asks the membership task for the other daemons; the answer is MemberList. */
struct GetMembers
{
  auto operator<=>(const GetMembers&) const = default;
};

/** The other daemons at one monotonic time. */
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
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::MemberList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::VmList)

#endif // CORNELRUDDER_COORDINATION_MEMBERSHIP_MESSAGES_H
