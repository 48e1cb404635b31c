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
    , mTable(mOptions.mSelf, mOptions.mTimeouts)
    , mDaemons{ mOptions.mSelf }
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { Poll(); },
      [this](const HeartbeatTick&) { Beat(); },
      [this](const VmListReadCompleted& aRead) { Apply(aRead); },
      [this](const Subscribe& aSubscribe) { AddSubscriber(aSubscribe); },
      [this](const PeerMessageReceived& aReceived) { Receive(aReceived); },
      [this](const PeerFrameRejected& aRejected) {
        Reject("unknown", aRejected.mReason);
      },
      [this](const SendToPeer& aSend) { return Send(aSend); },
      [this](const SendToAllPeers& aSend) { SendToAll(aSend.mBody); },
      [this](const SetPeerHandlers& aHandlers) { mHandlers = aHandlers; },
      [this](const AnnounceAddresses& aAddresses) { Announce(aAddresses); },
      [this](const AnnounceLeaving&) { Leave(); },
      [this](const state::SettingsSnapshot& aSettings) { Measure(aSettings); },
      [this](const GetMembers&) {
        const auto now = mClock.Now();
        return MemberList{ mTable.Members(now), now };
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

  /** Tasks refer to each other; without this none would be freed. */
  void on_exit() override
  {
    mSubscribers.clear();
    mHandlers = {};
  }

private:
  void Poll()
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

  void Apply(const VmListReadCompleted& aRead)
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
    mTable = mTable.WithVms(mVms);
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, mVms);
    }
    Review();
  }

  void AddSubscriber(const Subscribe& aSubscribe)
  {
    mSubscribers.push_back(aSubscribe.mReceiver);
    send(aSubscribe.mReceiver, mVms);
    send(aSubscribe.mReceiver, ActiveDaemonsView{ mDaemons });
  }

  void Announce(const AnnounceAddresses& aAddresses)
  {
    mHttpAddress = aAddresses.mHttpAddress;
    mPeerAddress = aAddresses.mPeerAddress;
    send(this, HeartbeatTick{});
  }

  void Beat()
  {
    delayed_send(this, mOptions.mHeartbeatInterval, HeartbeatTick{});
    mTable = mTable.WithoutExpired(mClock.Now());
    Review();
    UpdateLinks();
    SendToAll(OwnHeartbeat());
    Introduce();
  }

  void Leave()
  {
    mLeaving = true;
    // Peers give the work to others at once instead of at the next interval.
    SendToAll(OwnHeartbeat());
  }

  state::Heartbeat OwnHeartbeat() const
  {
    return {
      mOptions.mZone, mHttpAddress, mPeerAddress, mLeaving, mSettingsVersionSum
    };
  }

  void Measure(const state::SettingsSnapshot& aSettings)
  {
    mSettingsVersionSum = 0;
    for (const auto& [path, document] : aSettings.All()) {
      mSettingsVersionSum += document.Version();
    }
  }

  void Receive(const PeerMessageReceived& aReceived)
  {
    const state::PeerMessage& message = aReceived.mMessage;
    ++mCounters["peer_received_total"];
    const auto* heartbeat = std::get_if<state::Heartbeat>(&message.Body());
    if (heartbeat != nullptr) {
      Hear(message, *heartbeat);
      return;
    }
    if (!mTable.IsCurrent(message.Sender(), message.SenderIncarnation())) {
      Reject(message.Sender().Text(), "unknown or earlier incarnation");
      return;
    }
    Dispatch(aReceived);
  }

  void Hear(const state::PeerMessage& aMessage,
            const state::Heartbeat& aHeartbeat)
  {
    const VmId& sender = aMessage.Sender();
    if (sender == mOptions.mSelf) {
      ReportDuplicate(aMessage, aHeartbeat);
      return;
    }
    const bool isNew = !mTable.IsCurrent(sender, aMessage.SenderIncarnation());
    auto next = mTable.WithHeartbeat(
      sender, aMessage.SenderIncarnation(), aHeartbeat, mClock.Now());
    if (!next) {
      ++mCounters["peer_heartbeats_ignored_total"];
      return;
    }
    mTable = *std::move(next);
    if (isNew) {
      mNewcomers.insert(sender);
      UpdateLinks();
    }
    Review();
    if (aHeartbeat.SettingsVersionSum() > mSettingsVersionSum &&
        mHandlers.mSettings) {
      send(mHandlers.mSettings, PeerHasNewerSettings{ sender });
    }
  }

  void ReportDuplicate(const state::PeerMessage& aMessage,
                       const state::Heartbeat& aHeartbeat)
  {
    const auto other = aMessage.SenderIncarnation();
    if (other == mOptions.mIncarnation || other == mDuplicate) {
      return;
    }
    mDuplicate = other;
    mLog.Write({ LogEvent::kDuplicateDaemon,
                 { { "peer_address", aHeartbeat.PeerAddress() },
                   { "incarnation", std::to_string(other) } } });
  }

  /** Gives a message to the task for its type; the order is that of PeerBody.
   */
  void Dispatch(const PeerMessageReceived& aReceived)
  {
    static constexpr std::array<caf::actor SetPeerHandlers::*,
                                std::variant_size_v<state::PeerBody>>
      kHandlers{ nullptr,
                 &SetPeerHandlers::mSettings,
                 &SetPeerHandlers::mSettings,
                 &SetPeerHandlers::mForward,
                 &SetPeerHandlers::mForward };
    const auto member = kHandlers.at(aReceived.mMessage.Body().index());
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

  bool Send(const SendToPeer& aSend)
  {
    const state::PeerRecord* peer = mTable.Find(aSend.mPeer);
    return peer != nullptr &&
           SendTo(peer->LastHeartbeat().PeerAddress(), Own(aSend.mBody));
  }

  void SendToAll(const state::PeerBody& aBody)
  {
    const state::PeerMessage message = Own(aBody);
    for (const auto& [address, dialled] : mLinks) {
      SendTo(address, message);
    }
  }

  state::PeerMessage Own(const state::PeerBody& aBody) const
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
    std::set<std::string> heard;
    const auto now = mClock.Now();
    for (const state::Member& member : mTable.Members(now)) {
      if (member.Record()) {
        const std::string& address =
          member.Record()->LastHeartbeat().PeerAddress();
        wanted.insert(address);
        if (now - member.Record()->LastHeartbeatAt() <
            mOptions.mTimeouts.mGoneAfter) {
          heard.insert(address);
        }
      }
    }
    wanted.erase(mPeerAddress);
    std::erase_if(mLinks, [this, &wanted](const auto& aLink) {
      const bool unwanted = !wanted.contains(aLink.first);
      if (unwanted) {
        mPeers.Disconnect(aLink.first);
      }
      return unwanted;
    });
    for (const std::string& address : wanted) {
      UpdateLink(address, heard.contains(address), now);
    }
  }

  void UpdateLink(const std::string& aAddress,
                  bool aHeard,
                  std::chrono::milliseconds aNow)
  {
    const auto it = mLinks.find(aAddress);
    const bool silent = it != mLinks.end() && !aHeard &&
                        aNow - it->second >= mOptions.mTimeouts.mGoneAfter;
    if (it != mLinks.end() && !silent) {
      return;
    }
    if (silent) {
      // After a cut, TCP waits for up to two minutes before its next try,
      // while a new connection is made as soon as the link is back.
      mPeers.Disconnect(aAddress);
    }
    if (!mPeers.Connect(aAddress)) {
      Reject(aAddress, "malformed address");
    }
    // A malformed address is kept too, so that it is reported seldom.
    mLinks.insert_or_assign(aAddress, aNow);
  }

  /**
   * Relays heartbeats between newcomers and the other peers, so that daemons
   * that know only a common seed get to know each other.
   */
  void Introduce()
  {
    const auto members = mTable.Members(mClock.Now());
    std::erase_if(mNewcomers, [this, &members](const VmId& aNewcomer) {
      const auto it =
        std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
          return aMember.Name() == aNewcomer;
        });
      return it == members.end() || it->State() == PeerState::kGone ||
             Introduce(*it, members);
    });
  }

  /** @return Whether the newcomer could be reached. */
  bool Introduce(const state::Member& aNewcomer,
                 const std::vector<state::Member>& aMembers)
  {
    for (const state::Member& member : aMembers) {
      const bool counts = member.Record() &&
                          member.State() == PeerState::kAlive &&
                          member.Name() != aNewcomer.Name();
      if (!counts) {
        continue;
      }
      if (!Relay(*member.Record(), *aNewcomer.Record())) {
        return false;
      }
      Relay(*aNewcomer.Record(), *member.Record());
    }
    return true;
  }

  bool Relay(const state::PeerRecord& aFrom, const state::PeerRecord& aTo)
  {
    return SendTo(
      aTo.LastHeartbeat().PeerAddress(),
      { aFrom.Name(), aFrom.CurrentIncarnation(), aFrom.LastHeartbeat() });
  }

  /** Logs changed states and sends the view if it changed. */
  void Review()
  {
    const auto now = mClock.Now();
    std::map<VmId, PeerState> states;
    for (const state::Member& member : mTable.Members(now)) {
      states.emplace(member.Name(), member.State());
      const auto it = mStates.find(member.Name());
      if (it == mStates.end() || it->second != member.State()) {
        LogState(member);
      }
    }
    mStates = std::move(states);
    std::vector<VmId> daemons = mTable.ActiveDaemons(now);
    if (daemons == mDaemons) {
      return;
    }
    mDaemons = std::move(daemons);
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, ActiveDaemonsView{ mDaemons });
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
  state::Membership mTable;
  state::VmList mVms;
  /** The view that subscribers have. */
  std::vector<VmId> mDaemons;
  /** The states that were logged. */
  std::map<VmId, PeerState> mStates;
  std::vector<caf::actor> mSubscribers;
  SetPeerHandlers mHandlers;
  std::string mHttpAddress;
  std::string mPeerAddress;
  bool mLeaving = false;
  state::SettingsVersion mSettingsVersionSum = 0;
  state::Incarnation mDuplicate = 0;
  /** Times of the last dial by address. */
  std::map<std::string, std::chrono::milliseconds> mLinks;
  /** Peers that the others may not know yet. */
  std::set<VmId> mNewcomers;
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
