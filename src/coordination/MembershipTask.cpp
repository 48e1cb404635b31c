#include "cornelrudder/coordination/MembershipTask.h"

#include "cornelrudder/coordination/Messages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace cornelrudder::coordination {

namespace {

using state::PeerState;
using state::VmId;

class MembershipTask : public caf::event_based_actor
{
public:
  MembershipTask(caf::actor_config& aConfig,
                 FleetPort& aFleet,
                 PeerPort& aPeers,
                 const Clock& aClock,
                 EventLog& aLog,
                 MembershipTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mFleet(aFleet)
    , mPeers(aPeers)
    , mClock(aClock)
    , mLog(aLog)
    , mOptions(std::move(aOptions))
    , mMembership(mOptions.mSelf, mOptions.mTimeouts)
    , mActiveDaemons{ mOptions.mSelf }
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { RequestVmList(); },
      [this](const HeartbeatTick&) { SendHeartbeats(); },
      [this](const VmListReadCompleted& aRead) { ApplyVmList(aRead); },
      [this](const Subscribe& aSubscribe) { AddSubscriber(aSubscribe); },
      [this](const PeerMessageReceived& aReceived) {
        HandlePeerMessage(aReceived);
      },
      [this](const PeerFrameRejected& aRejected) {
        Reject("unknown", aRejected.mReason);
      },
      [this](const SendToPeer& aSend) { return SendToKnownPeer(aSend); },
      [this](const SendToAllPeers& aSend) { SendToAll(aSend.mBody); },
      [this](const SetPeerHandlers& aHandlers) { mHandlers = aHandlers; },
      [this](const AnnounceAddresses& aAddresses) {
        StartHeartbeats(aAddresses);
      },
      [this](const AnnounceLeaving&) { BroadcastLeaving(); },
      [this](const state::SettingsSnapshot& aSettings) {
        UpdateSettingsVersionSum(aSettings);
      },
      [this](const GetMembers&) {
        const auto now = mClock.Now();
        return MemberList{ mMembership.Members(now), now };
      },
      [this](const GetVms&) { return mVms; },
      [this](const GetCounters&) { return mCounters; },
    };
  }

  /** Breaks reference cycles between tasks, which would keep them alive. */
  void on_exit() override
  {
    mSubscribers.clear();
    mHandlers = {};
  }

private:
  void RequestVmList()
  {
    mFleet.ListVms(
      [self = caf::actor(this)](std::optional<state::VmList> aList) {
        std::vector<state::VmList> list;
        if (aList) {
          list.push_back(*std::move(aList));
        }
        caf::anon_send(self, VmListReadCompleted{ std::move(list) });
      });
  }

  void ApplyVmList(const VmListReadCompleted& aRead)
  {
    delayed_send(this, mOptions.mPollInterval, Tick{});
    if (aRead.mVmList.empty()) {
      mLog.Write({ LogEvent::kFleetUnavailable, {} });
      return;
    }
    if (aRead.mVmList.front() == mVms) {
      return;
    }
    mVms = aRead.mVmList.front();
    mLog.Write({ LogEvent::kFleetChanged,
                 { { "vms", std::to_string(mVms.All().size()) } } });
    mMembership = mMembership.WithVms(mVms);
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, mVms);
    }
    PublishChanges();
  }

  void AddSubscriber(const Subscribe& aSubscribe)
  {
    mSubscribers.push_back(aSubscribe.mReceiver);
    send(aSubscribe.mReceiver, mVms);
    send(aSubscribe.mReceiver, ActiveDaemonsView{ mActiveDaemons });
  }

  void StartHeartbeats(const AnnounceAddresses& aAddresses)
  {
    mHttpAddress = aAddresses.mHttpAddress;
    mPeerAddress = aAddresses.mPeerAddress;
    send(this, HeartbeatTick{});
  }

  void SendHeartbeats()
  {
    delayed_send(this, mOptions.mHeartbeatInterval, HeartbeatTick{});
    mMembership = mMembership.WithoutExpired(mClock.Now());
    PublishChanges();
    UpdateLinks();
    SendToAll(OwnHeartbeat());
    IntroduceNewPeers();
  }

  void BroadcastLeaving()
  {
    mLeaving = true;
    // Peers redistribute the work now instead of after the next heartbeat.
    SendToAll(OwnHeartbeat());
  }

  state::Heartbeat OwnHeartbeat() const
  {
    return {
      mOptions.mZone, mHttpAddress, mPeerAddress, mLeaving, mSettingsVersionSum
    };
  }

  void UpdateSettingsVersionSum(const state::SettingsSnapshot& aSettings)
  {
    mSettingsVersionSum = 0;
    for (const auto& [path, document] : aSettings.All()) {
      mSettingsVersionSum += document.Version();
    }
  }

  void HandlePeerMessage(const PeerMessageReceived& aReceived)
  {
    const state::PeerMessage& message = aReceived.mMessage;
    ++mCounters["peer_received_total"];
    const auto* heartbeat = std::get_if<state::Heartbeat>(&message.Body());
    if (heartbeat != nullptr) {
      HandleHeartbeat(message, *heartbeat);
      return;
    }
    if (!mMembership.IsCurrent(message.Sender(), message.SenderIncarnation())) {
      Reject(message.Sender().Text(), "unknown or earlier incarnation");
      return;
    }
    Dispatch(aReceived);
  }

  void HandleHeartbeat(const state::PeerMessage& aMessage,
                       const state::Heartbeat& aHeartbeat)
  {
    const VmId& sender = aMessage.Sender();
    if (sender == mOptions.mSelf) {
      ReportDuplicate(aMessage, aHeartbeat);
      return;
    }
    const bool isNew =
      !mMembership.IsCurrent(sender, aMessage.SenderIncarnation());
    auto next = mMembership.WithHeartbeat(
      sender, aMessage.SenderIncarnation(), aHeartbeat, mClock.Now());
    if (!next) {
      ++mCounters["peer_heartbeats_ignored_total"];
      return;
    }
    mMembership = *std::move(next);
    if (isNew) {
      mNewPeers.insert(sender);
      UpdateLinks();
    }
    PublishChanges();
    if (aHeartbeat.SettingsVersionSum() > mSettingsVersionSum &&
        mHandlers.mSettings) {
      send(mHandlers.mSettings, PeerHasNewerSettings{ sender });
    }
  }

  void ReportDuplicate(const state::PeerMessage& aMessage,
                       const state::Heartbeat& aHeartbeat)
  {
    const auto other = aMessage.SenderIncarnation();
    if (other == mOptions.mIncarnation || other == mReportedDuplicate) {
      return;
    }
    mReportedDuplicate = other;
    mLog.Write({ LogEvent::kDuplicateDaemon,
                 { { "peer_address", aHeartbeat.PeerAddress() },
                   { "incarnation", std::to_string(other) } } });
  }

  /**
   * Forwards a message to the task that handles its type. The table is in the
   * order of the alternatives of PeerBody.
   */
  void Dispatch(const PeerMessageReceived& aReceived)
  {
    static constexpr std::array<caf::actor SetPeerHandlers::*,
                                std::variant_size_v<state::PeerBody>>
      kHandlerByBody{ nullptr,
                      &SetPeerHandlers::mSettings,
                      &SetPeerHandlers::mSettings,
                      &SetPeerHandlers::mForward,
                      &SetPeerHandlers::mForward };
    const auto member = kHandlerByBody.at(aReceived.mMessage.Body().index());
    if (member != nullptr && mHandlers.*member) {
      send(mHandlers.*member, aReceived);
    }
  }

  void Reject(const std::string& aPeer, const std::string& aReason)
  {
    ++mCounters["peer_rejected_total"];
    mLog.Write({ LogEvent::kPeerRejected,
                 { { "peer", aPeer }, { "reason", aReason } } });
  }

  bool SendToKnownPeer(const SendToPeer& aSend)
  {
    const state::PeerRecord* peer = mMembership.Find(aSend.mPeer);
    return peer != nullptr &&
           SendTo(peer->LastHeartbeat().PeerAddress(), OwnMessage(aSend.mBody));
  }

  void SendToAll(const state::PeerBody& aBody)
  {
    const state::PeerMessage message = OwnMessage(aBody);
    for (const auto& [address, attemptedAt] : mLastConnectAttempts) {
      SendTo(address, message);
    }
  }

  state::PeerMessage OwnMessage(const state::PeerBody& aBody) const
  {
    return { mOptions.mSelf, mOptions.mIncarnation, aBody };
  }

  bool SendTo(const std::string& aAddress, const state::PeerMessage& aMessage)
  {
    const bool sent = mPeers.Send(aAddress, aMessage);
    ++mCounters[sent ? "peer_sent_total" : "peer_not_sent_total"];
    return sent;
  }

  /** Connects to all known addresses and closes connections to others. */
  void UpdateLinks()
  {
    std::set<std::string> wanted(mOptions.mSeeds.begin(),
                                 mOptions.mSeeds.end());
    std::set<std::string> responsive;
    const auto now = mClock.Now();
    for (const state::Member& member : mMembership.Members(now)) {
      if (member.Record()) {
        const std::string& address =
          member.Record()->LastHeartbeat().PeerAddress();
        wanted.insert(address);
        if (now - member.Record()->LastHeartbeatAt() <
            mOptions.mTimeouts.mGoneAfter) {
          responsive.insert(address);
        }
      }
    }
    wanted.erase(mPeerAddress);
    std::erase_if(mLastConnectAttempts, [this, &wanted](const auto& aAttempt) {
      const bool unwanted = !wanted.contains(aAttempt.first);
      if (unwanted) {
        mPeers.Disconnect(aAttempt.first);
      }
      return unwanted;
    });
    for (const std::string& address : wanted) {
      UpdateLink(address, responsive.contains(address), now);
    }
  }

  void UpdateLink(const std::string& aAddress,
                  bool aIsResponsive,
                  std::chrono::milliseconds aNow)
  {
    const auto it = mLastConnectAttempts.find(aAddress);
    const bool isSilent = it != mLastConnectAttempts.end() && !aIsResponsive &&
                          aNow - it->second >= mOptions.mTimeouts.mGoneAfter;
    if (it != mLastConnectAttempts.end() && !isSilent) {
      return;
    }
    if (isSilent) {
      // After a network partition, TCP waits up to two minutes before it
      // retransmits, while a new connection succeeds once the link is restored.
      mPeers.Disconnect(aAddress);
    }
    if (!mPeers.Connect(aAddress)) {
      Reject(aAddress, "malformed address");
    }
    // A malformed address is recorded too, which limits how often it is logged.
    mLastConnectAttempts.insert_or_assign(aAddress, aNow);
  }

  /**
   * Relays heartbeats between new peers and the other peers, so that daemons
   * that have only a seed in common discover each other.
   */
  void IntroduceNewPeers()
  {
    const auto members = mMembership.Members(mClock.Now());
    std::erase_if(mNewPeers, [this, &members](const VmId& aNewPeer) {
      const auto it =
        std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
          return aMember.Name() == aNewPeer;
        });
      return it == members.end() || it->State() == PeerState::kGone ||
             Introduce(*it, members);
    });
  }

  /** @return Whether the messages to the new peer were sent. */
  bool Introduce(const state::Member& aNewPeer,
                 const std::vector<state::Member>& aMembers)
  {
    for (const state::Member& member : aMembers) {
      const bool isCandidate = member.Record() &&
                               member.State() == PeerState::kAlive &&
                               member.Name() != aNewPeer.Name();
      if (!isCandidate) {
        continue;
      }
      if (!Relay(*member.Record(), *aNewPeer.Record())) {
        return false;
      }
      Relay(*aNewPeer.Record(), *member.Record());
    }
    return true;
  }

  bool Relay(const state::PeerRecord& aFrom, const state::PeerRecord& aTo)
  {
    return SendTo(
      aTo.LastHeartbeat().PeerAddress(),
      { aFrom.Name(), aFrom.CurrentIncarnation(), aFrom.LastHeartbeat() });
  }

  /** Logs changed peer states and publishes the view if it changed. */
  void PublishChanges()
  {
    const auto now = mClock.Now();
    std::map<VmId, PeerState> states;
    for (const state::Member& member : mMembership.Members(now)) {
      states.emplace(member.Name(), member.State());
      const auto it = mLoggedStates.find(member.Name());
      if (it == mLoggedStates.end() || it->second != member.State()) {
        LogState(member);
      }
    }
    mLoggedStates = std::move(states);
    std::vector<VmId> daemons = mMembership.ActiveDaemons(now);
    if (daemons == mActiveDaemons) {
      return;
    }
    mActiveDaemons = std::move(daemons);
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, ActiveDaemonsView{ mActiveDaemons });
    }
  }

  void LogState(const state::Member& aMember)
  {
    static constexpr std::array kEvents{ LogEvent::kPeerAlive,
                                         LogEvent::kPeerSuspected,
                                         LogEvent::kPeerLeaving,
                                         LogEvent::kPeerGone };
    LogRecord::Fields fields{ { "peer", aMember.Name().Text() } };
    if (aMember.Record()) {
      fields.emplace_back(
        "incarnation", std::to_string(aMember.Record()->CurrentIncarnation()));
      fields.emplace_back("peer_address",
                          aMember.Record()->LastHeartbeat().PeerAddress());
    }
    mLog.Write({ kEvents.at(static_cast<std::size_t>(aMember.State())),
                 std::move(fields) });
  }

  FleetPort& mFleet;
  PeerPort& mPeers;
  const Clock& mClock;
  EventLog& mLog;
  MembershipTaskOptions mOptions;
  state::Membership mMembership;
  state::VmList mVms;
  /** The active daemons that were last sent to the subscribers. */
  std::vector<VmId> mActiveDaemons;
  /** The state of each peer that was last logged. */
  std::map<VmId, PeerState> mLoggedStates;
  std::vector<caf::actor> mSubscribers;
  SetPeerHandlers mHandlers;
  std::string mHttpAddress;
  std::string mPeerAddress;
  bool mLeaving = false;
  state::SettingsVersion mSettingsVersionSum = 0;
  state::Incarnation mReportedDuplicate = 0;
  /** Time of the last connection attempt by address. */
  std::map<std::string, std::chrono::milliseconds> mLastConnectAttempts;
  /** Peers that have not been introduced to the other peers yet. */
  std::set<VmId> mNewPeers;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnMembershipTask(caf::actor_system& aSystem,
                    FleetPort& aFleet,
                    PeerPort& aPeers,
                    const Clock& aClock,
                    EventLog& aLog,
                    MembershipTaskOptions aOptions)
{
  return aSystem.spawn<MembershipTask>(std::ref(aFleet),
                                       std::ref(aPeers),
                                       std::cref(aClock),
                                       std::ref(aLog),
                                       std::move(aOptions));
}

} // namespace cornelrudder::coordination
