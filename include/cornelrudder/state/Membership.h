#ifndef CORNELRUDDER_STATE_MEMBERSHIP_H
#define CORNELRUDDER_STATE_MEMBERSHIP_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/PeerMessage.h"
#include "cornelrudder/state/Vm.h"

#include <chrono>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

enum class PeerState
{
  kAlive,
  /** Silent for a while; gets no share of the work. */
  kSuspected,
  /** In a graceful shutdown by its own word or that of the VM list. */
  kLeaving,
  /** Silent for long, or dropped from the VM list. */
  kGone
};

/** @return The lower-case name of a state. */
std::string_view
PeerStateName(PeerState aState);

/** Times of silence after which a peer changes its state. */
struct MembershipTimeouts
{
  std::chrono::milliseconds mSuspectAfter{ 3'000 };
  std::chrono::milliseconds mGoneAfter{ 10'000 };
  /**
   * Until then a gone peer that the VM list does not have is remembered. It
   * bounds the table, and lets a daemon back in whose wall clock was set back
   * before it restarted, so that its incarnation is lower than before.
   */
  std::chrono::milliseconds mExpireAfter{ 60'000 };

  auto operator<=>(const MembershipTimeouts&) const = default;
};

/** What was heard from a peer last. */
class PeerRecord
{
public:
  PeerRecord(VmId aId,
             Incarnation aIncarnation,
             Heartbeat aHeartbeat,
             std::chrono::milliseconds aLastHeartbeatAt,
             bool aDelisted)
    : mId(std::move(aId))
    , mIncarnation(aIncarnation)
    , mHeartbeat(std::move(aHeartbeat))
    , mLastHeartbeatAt(aLastHeartbeatAt)
    , mDelisted(aDelisted)
  {
  }

  const VmId& Name() const { return mId; }
  Incarnation CurrentIncarnation() const { return mIncarnation; }
  const Heartbeat& LastHeartbeat() const { return mHeartbeat; }

  /** Monotonic time of the last heartbeat. */
  std::chrono::milliseconds LastHeartbeatAt() const { return mLastHeartbeatAt; }

  /** Whether the VM list had it and has it no more. */
  bool Delisted() const { return mDelisted; }

  PeerRecord WithDelisted(bool aDelisted) const;

  auto operator<=>(const PeerRecord&) const = default;

private:
  VmId mId;
  Incarnation mIncarnation;
  Heartbeat mHeartbeat;
  std::chrono::milliseconds mLastHeartbeatAt;
  bool mDelisted;
};

/** A daemon with its state at one time. */
class Member
{
public:
  Member(VmId aId, PeerState aState, std::optional<PeerRecord> aPeer)
    : mId(std::move(aId))
    , mState(aState)
    , mRecord(std::move(aPeer))
  {
  }

  const VmId& Name() const { return mId; }
  PeerState State() const { return mState; }

  /** Nothing if only the VM list told of it. */
  const std::optional<PeerRecord>& Record() const { return mRecord; }

  auto operator<=>(const Member&) const = default;

private:
  VmId mId;
  PeerState mState;
  std::optional<PeerRecord> mRecord;
};

/**
 * The other daemons as one daemon sees them. It only steers routing; leases
 * alone decide ownership.
 */
class Membership
{
public:
  /** More peers than any deployment has; bounds the table. */
  static constexpr std::size_t kMaxPeers = 64;

  Membership(VmId aSelf, MembershipTimeouts aTimeouts)
    : mSelf(std::move(aSelf))
    , mTimeouts(aTimeouts)
  {
  }

  /**
   * @param aNow Monotonic time of the arrival.
   * @return The changed table, or nothing if the heartbeat does not count: it
   *   carries this daemon's own identifier, is of an earlier incarnation or
   *   from before the peer began to leave, or the table is full.
   */
  std::optional<Membership> WithHeartbeat(const VmId& aSender,
                                          Incarnation aIncarnation,
                                          const Heartbeat& aHeartbeat,
                                          std::chrono::milliseconds aNow) const;

  /** @return The table after the platform listed these VMs. */
  Membership WithVms(const VmList& aVms) const;

  /** @return The table without peers that are to be forgotten. */
  Membership WithoutExpired(std::chrono::milliseconds aNow) const;

  /** @return The last heartbeat of a peer, or null if none was heard. */
  const PeerRecord* Find(const VmId& aPeer) const;

  /** @return Whether a message is of the current life of a known peer. */
  bool IsCurrent(const VmId& aSender, Incarnation aIncarnation) const;

  /** @return All other daemons, in order of their identifiers. */
  std::vector<Member> Members(std::chrono::milliseconds aNow) const;

  /**
   * @return The daemons that share the work, in order of their identifiers:
   *   this one, those alive, and live entry VMs never heard from, so that a
   *   daemon that just started does not take over the share of others.
   */
  std::vector<VmId> ActiveDaemons(std::chrono::milliseconds aNow) const;

  auto operator<=>(const Membership&) const = default;

private:
  PeerState StateOf(const PeerRecord& aPeer,
                    std::chrono::milliseconds aNow) const;
  bool IsExpired(const PeerRecord& aPeer, std::chrono::milliseconds aNow) const;

  VmId mSelf;
  MembershipTimeouts mTimeouts;
  std::map<VmId, PeerRecord> mPeers;
  /** Entry VMs of the last list. */
  std::map<VmId, VmState> mListed;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_MEMBERSHIP_H
