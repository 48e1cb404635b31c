#ifndef CORNELRUDDER_COORDINATION_MEMBERSHIP_TASK_H
#define CORNELRUDDER_COORDINATION_MEMBERSHIP_TASK_H

#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/FleetPort.h"
#include "cornelrudder/coordination/PeerPort.h"
#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/Membership.h"
#include "cornelrudder/state/PeerMessage.h"

#include <caf/fwd.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace cornelrudder::coordination {

struct MembershipTaskOptions
{
  state::VmId mSelf;
  state::ZoneId mZone;
  state::Incarnation mIncarnation = 1;
  /** Peer addresses to contact at startup. */
  std::vector<std::string> mSeeds;
  std::chrono::milliseconds mPollInterval{ 2'000 };
  std::chrono::milliseconds mHeartbeatInterval{ 1'000 };
  state::MembershipTimeouts mTimeouts;
};

/**
 * Starts the task that tracks the VMs and the other daemons, and through which
 * all other tasks send messages to peers. It handles Subscribe, SendToPeer,
 * SendToAllPeers, SetPeerHandlers, AnnounceAddresses, AnnounceLeaving and
 * GetMembers, GetVms, and SettingsSnapshot, whose versions its heartbeats
 * carry. Subscribers receive VmList and ActiveDaemonsView.
 * @param aFleet Must outlive the actor system, as must aPeers, aClock, aLog.
 */
caf::actor
SpawnMembershipTask(caf::actor_system& aSystem,
                    FleetPort& aFleet,
                    PeerPort& aPeers,
                    const Clock& aClock,
                    EventLog& aLog,
                    MembershipTaskOptions aOptions);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_MEMBERSHIP_TASK_H
