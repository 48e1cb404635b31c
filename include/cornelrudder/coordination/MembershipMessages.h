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
struct MembersView
{
  const std::vector<state::VmId> mDaemons;

  auto operator<=>(const MembersView&) const = default;
};

/** Tells the membership task what the platform listed. */
struct VmListRead
{
  /** Empty if the read failed. */
  const std::vector<state::VmList> mList;

  auto operator<=>(const VmListRead&) const = default;
};

/** Tells the membership task what a peer sent. */
struct PeerReceived
{
  const state::PeerMessage mMessage;

  auto operator<=>(const PeerReceived&) const = default;
};

/** Tells the membership task that a frame could not be decoded. */
struct PeerRejected
{
  const std::string mReason;

  auto operator<=>(const PeerRejected&) const = default;
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

/** Names the tasks that take what peers send (as PeerReceived). */
struct UsePeerHandlers
{
  caf::actor mSettings;
  caf::actor mForward;
};

/** Tells the membership task where this daemon listens; heartbeats begin. */
struct AnnounceAddresses
{
  const std::string mHttp;
  const std::string mPeer;

  auto operator<=>(const AnnounceAddresses&) const = default;
};

/** Tells the membership task that a graceful shutdown has begun. */
struct BeginLeaving
{
  auto operator<=>(const BeginLeaving&) const = default;
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
  const std::chrono::milliseconds mNow;

  auto operator<=>(const MemberList&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::MembersView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::VmListRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PeerReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PeerRejected)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SendToPeer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SendToAllPeers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::UsePeerHandlers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::AnnounceAddresses)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::BeginLeaving)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::HeartbeatTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetMembers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::MemberList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::VmList)

#endif // CORNELRUDDER_COORDINATION_MEMBERSHIP_MESSAGES_H
