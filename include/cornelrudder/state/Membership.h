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
  /** No heartbeat for mSuspectAfter; owns no slots. */
  kSuspected,
  /** Shutting down, as reported by its heartbeat or the VM list. */
  kLeaving,
  /** No heartbeat for mGoneAfter, or removed from the VM list. */
  kGone
};

/** @return The lower-case name of a state. */
std::string_view
PeerStateName(PeerState aState);

/** Times without a heartbeat after which a peer changes its state. */
struct MembershipTimeouts
{
  std::chrono::milliseconds mSuspectAfter{ 3'000 };
  std::chrono::milliseconds mGoneAfter{ 10'000 };
  /**
   * Time after which a peer that is not in the VM list is removed, which limits
   * the size of the table. After the same time, a lower incarnation is
   * accepted: a daemon restarts with one if its wall clock was set back.
   */
  std::chrono::milliseconds mExpireAfter{ 60'000 };

  auto operator<=>(const MembershipTimeouts&) const = default;
};

/** The last heartbeat of a peer. */
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

  /** Whether the peer was removed from the VM list. */
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

/** Another daemon and its state at one time. */
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

  /** The last heartbeat; nothing if the daemon is known only from the VM list.
   */
  const std::optional<PeerRecord>& Record() const { return mRecord; }

  auto operator<=>(const Member&) const = default;

private:
  VmId mId;
  PeerState mState;
  std::optional<PeerRecord> mRecord;
};

/**
 * The other daemons as known to one daemon. Membership affects only routing;
 * ownership of placement domains depends on leases alone.
 */
class Membership
{
public:
  /** Limits the table; no deployment has as many peers. */
  static constexpr std::size_t kMaxPeers = 64;

  Membership(VmId aSelf, MembershipTimeouts aTimeouts)
    : mSelf(std::move(aSelf))
    , mTimeouts(aTimeouts)
  {
  }

  /**
   * @param aNow Monotonic time of the arrival.
   * @return The changed table, or nothing if the heartbeat is ignored because
   *   it carries this daemon's own identifier, is from an earlier incarnation,
   *   was sent before the peer started to leave, or the table is full.
   */
  std::optional<Membership> WithHeartbeat(const VmId& aSender,
                                          Incarnation aIncarnation,
                                          const Heartbeat& aHeartbeat,
                                          std::chrono::milliseconds aNow) const;

  /** @return The table after an update of the platform's VM list. */
  Membership WithVms(const VmList& aVms) const;

  /** @return The table without unlisted peers whose heartbeats expired. */
  Membership WithoutExpired(std::chrono::milliseconds aNow) const;

  /** @return The last heartbeat of a peer, or null if none was received. */
  const PeerRecord* Find(const VmId& aPeer) const;

  /** @return Whether a message is from the current incarnation of a peer. */
  bool IsCurrent(const VmId& aSender, Incarnation aIncarnation) const;

  /** @return All other daemons, in order of their identifiers. */
  std::vector<Member> Members(std::chrono::milliseconds aNow) const;

  /**
   * @return The daemons that share the slots of the runners, in order of their
   *   identifiers: this one, those in state kAlive, and live entry VMs from
   *   which no heartbeat has arrived. The latter keep a daemon that just
   *   started from using the slots of all others.
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
  /** Entry VMs in the last VM list. */
  std::map<VmId, VmState> mListed;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_MEMBERSHIP_H
