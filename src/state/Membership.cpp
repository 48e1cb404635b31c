#include "cornelrudder/state/Membership.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

std::string_view
PeerStateName(PeerState aState)
{
  static constexpr std::array<std::string_view, 4> kNames{
    "alive", "suspected", "leaving", "gone"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

PeerRecord
PeerRecord::WithDelisted(bool aDelisted) const
{
  PeerRecord peer = *this;
  peer.mDelisted = aDelisted;
  return peer;
}

std::optional<Membership>
Membership::WithHeartbeat(const VmId& aSender,
                          Incarnation aIncarnation,
                          const Heartbeat& aHeartbeat,
                          std::chrono::milliseconds aNow) const
{
  if (aSender == mSelf) {
    return std::nullopt;
  }
  const PeerRecord* known = Find(aSender);
  if (known == nullptr && mPeers.size() >= kMaxPeers) {
    return std::nullopt;
  }
  const bool sameIncarnation =
    known != nullptr && known->CurrentIncarnation() == aIncarnation;
  const bool outdated =
    known != nullptr && aIncarnation < known->CurrentIncarnation() &&
    aNow - known->LastHeartbeatAt() < mTimeouts.mExpireAfter;
  // Leaving is final within one incarnation, so this heartbeat was sent before
  // the last one and arrived after it.
  const bool reordered = sameIncarnation && known->LastHeartbeat().Leaving() &&
                         !aHeartbeat.Leaving();
  if (outdated || reordered) {
    return std::nullopt;
  }
  // An incarnation that was removed from the VM list stays gone even if its
  // heartbeats still arrive.
  const bool delisted = sameIncarnation && known->Delisted();
  Membership next = *this;
  next.mPeers.insert_or_assign(
    aSender, PeerRecord(aSender, aIncarnation, aHeartbeat, aNow, delisted));
  return next;
}

Membership
Membership::WithVms(const VmList& aVms) const
{
  Membership next = *this;
  next.mListed.clear();
  for (const Vm& vm : aVms.All()) {
    if (vm.Role() == VmRole::kEntry) {
      next.mListed.insert_or_assign(vm.Name(), vm.State());
    }
  }
  for (auto& [id, peer] : next.mPeers) {
    if (next.mListed.contains(id)) {
      peer = peer.WithDelisted(false);
    } else if (mListed.contains(id)) {
      peer = peer.WithDelisted(true);
    }
  }
  return next;
}

Membership
Membership::WithoutExpired(std::chrono::milliseconds aNow) const
{
  Membership next = *this;
  std::erase_if(next.mPeers, [this, aNow](const auto& aEntry) {
    return IsExpired(aEntry.second, aNow);
  });
  return next;
}

const PeerRecord*
Membership::Find(const VmId& aPeer) const
{
  const auto it = mPeers.find(aPeer);
  return it != mPeers.end() ? &it->second : nullptr;
}

bool
Membership::IsCurrent(const VmId& aSender, Incarnation aIncarnation) const
{
  const PeerRecord* peer = Find(aSender);
  return peer != nullptr && peer->CurrentIncarnation() == aIncarnation;
}

std::vector<Member>
Membership::Members(std::chrono::milliseconds aNow) const
{
  std::vector<Member> members;
  for (const auto& [id, peer] : mPeers) {
    members.emplace_back(id, StateOf(peer, aNow), peer);
  }
  for (const auto& [id, vmState] : mListed) {
    if (id != mSelf && Find(id) == nullptr) {
      members.emplace_back(id,
                           vmState == VmState::kLive ? PeerState::kAlive
                                                     : PeerState::kLeaving,
                           std::nullopt);
    }
  }
  std::sort(members.begin(), members.end());
  return members;
}

std::vector<VmId>
Membership::ActiveDaemons(std::chrono::milliseconds aNow) const
{
  std::vector<VmId> daemons{ mSelf };
  for (const Member& member : Members(aNow)) {
    if (member.State() == PeerState::kAlive) {
      daemons.push_back(member.Name());
    }
  }
  std::sort(daemons.begin(), daemons.end());
  return daemons;
}

PeerState
Membership::StateOf(const PeerRecord& aPeer,
                    std::chrono::milliseconds aNow) const
{
  const auto silence = aNow - aPeer.LastHeartbeatAt();
  if (aPeer.Delisted() || silence >= mTimeouts.mGoneAfter) {
    return PeerState::kGone;
  }
  const auto it = mListed.find(aPeer.Name());
  const bool listedLeaving =
    it != mListed.end() && it->second == VmState::kLeaving;
  if (aPeer.LastHeartbeat().Leaving() || listedLeaving) {
    return PeerState::kLeaving;
  }
  return silence >= mTimeouts.mSuspectAfter ? PeerState::kSuspected
                                            : PeerState::kAlive;
}

bool
Membership::IsExpired(const PeerRecord& aPeer,
                      std::chrono::milliseconds aNow) const
{
  // The record of a listed peer is kept: a listed VM without a record counts
  // as alive.
  return !mListed.contains(aPeer.Name()) &&
         aNow - aPeer.LastHeartbeatAt() >= mTimeouts.mExpireAfter;
}

} // namespace cornelrudder::state
