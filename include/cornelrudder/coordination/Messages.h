#ifndef CORNELRUDDER_COORDINATION_MESSAGES_H
#define CORNELRUDDER_COORDINATION_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/JobCommand.h"
#include "cornelrudder/state/Lease.h"
#include "cornelrudder/state/Membership.h"
#include "cornelrudder/state/PeerMessage.h"
#include "cornelrudder/state/RunRequest.h"
#include "cornelrudder/state/RunnerExchange.h"
#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/SettingsSchema.h"
#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/Vm.h"
#include "cornelrudder/state/WorkerExchange.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * @file
 * Messages between the tasks of one process. They never leave it, so that
 * they need no encoding ("unsafe message type" in CAF's words).
 */

namespace cornelrudder::coordination {

/** Asks a task to send its snapshots to a receiver, at once and on change. */
struct Subscribe
{
  caf::actor mReceiver;
};

/** The daemons that share the runners' slots; includes this one. */
struct MembersView
{
  const std::vector<state::VmId> mDaemons;

  auto operator<=>(const MembersView&) const = default;
};

/** Asks a task for its counters; the answer is Counters. */
struct GetCounters
{
  auto operator<=>(const GetCounters&) const = default;
};

using Counters = std::map<std::string, std::uint64_t>;

/** Reads a row; the answer is a StoreResult. */
struct ReadRow
{
  const std::string mKey;

  auto operator<=>(const ReadRow&) const = default;
};

/** Lists rows; the answer is a StoreResult. */
struct ListRows
{
  const std::string mPrefix;

  auto operator<=>(const ListRows&) const = default;
};

/** Asks for the settings in force; the answer is a SettingsView. */
struct GetSettings
{
  auto operator<=>(const GetSettings&) const = default;
};

/** Asks for a change of one document; the answer is a PutSettingsResult. */
struct PutSettings
{
  const std::string mPath;
  const state::SettingsVersion mExpectedVersion;
  const state::SettingValues mValues;
  const std::string mAuthor;

  auto operator<=>(const PutSettings&) const = default;
};

enum class PutSettingsStatus
{
  kAccepted,
  kRejected,
  kConflict,
  /** The change has not taken effect and will not. */
  kUnavailable,
  /** The change may have taken effect, or may still do so. */
  kUnknown
};

/** What became of a change. */
struct PutSettingsResult
{
  const PutSettingsStatus mStatus;
  /** The accepted document, or the current one after a conflict. */
  const std::vector<state::SettingsDocument> mDocument;
  const std::vector<state::SettingsFault> mFaults;

  auto operator<=>(const PutSettingsResult&) const = default;
};

/** Tells a task that its timer elapsed. */
struct Tick
{
  auto operator<=>(const Tick&) const = default;
};

/** Which daemon owns a placement domain; sent by the lease task. */
struct DomainOwner
{
  const state::RegionId mDomain;
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** This daemon's own hold; epoch 0 if another one or nobody owns it. */
  const state::Lease mLease;

  auto operator<=>(const DomainOwner&) const = default;
};

/** Tells the routing task that an attempt ended. */
struct RunFinished
{
  const state::RequestId mRequest;
  const state::VmId mRunner;
  const state::RunnerResult mResult;

  auto operator<=>(const RunFinished&) const = default;
};

/** Tells the membership task what the platform listed. */
struct VmListRead
{
  /** Empty if the read failed. */
  const std::vector<state::VmList> mList;

  auto operator<=>(const VmListRead&) const = default;
};

/** Tells the lease task to give up its lease for good (planned stop). */
struct ReleaseLease
{
  auto operator<=>(const ReleaseLease&) const = default;
};

/** Tells the lease task to check whether its hold has ended. */
struct CheckHold
{
  auto operator<=>(const CheckHold&) const = default;
};

/** Asks the lease task for its view; the answer is a LeaseStatus. */
struct GetLease
{
  auto operator<=>(const GetLease&) const = default;
};

/** The lease as this daemon sees it. */
struct LeaseStatus
{
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** Epoch in the row; 0 if it is absent or was not read yet. */
  const std::uint64_t mEpoch;
  /** Whether this daemon holds it. */
  const bool mHeld;

  auto operator<=>(const LeaseStatus&) const = default;
};

/** Tells the store task to make the next attempt of an operation. */
struct RetryStore
{
  const std::uint64_t mTicket;

  auto operator<=>(const RetryStore&) const = default;
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

/** A peer holds settings that this daemon does not. */
struct PeerAhead
{
  const state::VmId mPeer;

  auto operator<=>(const PeerAhead&) const = default;
};

/** Tells a task that it may ask a peer that is ahead again. */
struct AheadPauseOver
{
  auto operator<=>(const AheadPauseOver&) const = default;
};

/** Asks the settings task for SettingsAccepted and SettingsHeadRead. */
struct WatchSettings
{
  caf::actor mReceiver;
};

/** A change by an operator came into force through this daemon. */
struct SettingsAccepted
{
  const state::SettingsDocument mDocument;

  auto operator<=>(const SettingsAccepted&) const = default;
};

/** The head was read from the store. */
struct SettingsHeadRead
{
  const state::SettingsHead mHead;

  auto operator<=>(const SettingsHeadRead&) const = default;
};

/** Gives the settings task documents of a peer; older ones have no effect. */
struct ApplySettings
{
  const std::vector<state::SettingsDocument> mDocuments;

  auto operator<=>(const ApplySettings&) const = default;
};

/** Asks whether the daemon may serve; the answer is Readiness. */
struct GetReadiness
{
  auto operator<=>(const GetReadiness&) const = default;
};

/** Whether all settings that were known at the start have been read. */
struct Readiness
{
  const bool mReady;

  auto operator<=>(const Readiness&) const = default;
};

/** Tells the forward task that the time for a reply has passed. */
struct ForwardExpired
{
  const std::uint64_t mCorrelation;

  auto operator<=>(const ForwardExpired&) const = default;
};

/** Tells the intent task to write the end of an attempt again. */
struct RetryRecord
{
  const std::string mAttempt;

  auto operator<=>(const RetryRecord&) const = default;
};

/** Tells the placement task what a worker answered to a command. */
struct WorkerReported
{
  const state::WorkerCommand mCommand;
  const state::VmId mWorker;
  const state::WorkerReport mReport;

  auto operator<=>(const WorkerReported&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Subscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::MembersView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetCounters)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReadRow)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ListRows)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PutSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PutSettingsResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::DomainOwner)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RunFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::VmListRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::WorkerReported)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::JobCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::JobReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::RunRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::RunOutcome)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::SettingsView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::StoreResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::Transaction)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::VmList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReleaseLease)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::CheckHold)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetLease)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::LeaseStatus)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RetryStore)
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
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PeerAhead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::AheadPauseOver)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::WatchSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SettingsAccepted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SettingsHeadRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ApplySettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetReadiness)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Readiness)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ForwardExpired)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RetryRecord)

#endif // CORNELRUDDER_COORDINATION_MESSAGES_H
