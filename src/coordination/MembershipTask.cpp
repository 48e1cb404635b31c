#include "cornelrudder/coordination/MembershipTask.h"

#include "cornelrudder/coordination/Messages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

namespace cornelrudder::coordination {

namespace {

class MembershipTask : public caf::event_based_actor
{
public:
  MembershipTask(caf::actor_config& aConfig,
                 FleetPort& aPort,
                 EventLog& aLog,
                 MembershipTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mPort(aPort)
    , mLog(aLog)
    , mOptions(std::move(aOptions))
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { Poll(); },
      [this](const VmListRead& aRead) { Apply(aRead); },
      [this](const Subscribe& aSubscribe) { AddSubscriber(aSubscribe); },
      [](const GetCounters&) { return Counters{}; },
    };
  }

private:
  void Poll()
  {
    mPort.List([self = caf::actor(this)](std::optional<state::VmList> aList) {
      std::vector<state::VmList> list;
      if (aList) {
        list.push_back(*std::move(aList));
      }
      caf::anon_send(self, VmListRead{ std::move(list) });
    });
  }

  void Apply(const VmListRead& aRead)
  {
    delayed_send(this, mOptions.mPollInterval, Tick{});
    if (aRead.mList.empty()) {
      mLog.Write({ LogEvent::kFleetUnavailable, {} });
      return;
    }
    if (aRead.mList.front() == mVms) {
      return;
    }
    mVms = aRead.mList.front();
    mLog.Write({ LogEvent::kFleetChanged,
                 { { "vms", std::to_string(mVms.All().size()) } } });
    for (const caf::actor& receiver : mSubscribers) {
      SendViews(receiver);
    }
  }

  void AddSubscriber(const Subscribe& aSubscribe)
  {
    mSubscribers.push_back(aSubscribe.mReceiver);
    SendViews(aSubscribe.mReceiver);
  }

  void SendViews(const caf::actor& aReceiver)
  {
    send(aReceiver, mVms);
    send(aReceiver, MembersView{ Daemons() });
  }

  std::vector<state::VmId> Daemons() const
  {
    std::vector<state::VmId> daemons{ mOptions.mSelf };
    for (const state::Vm& vm : mVms.All()) {
      const bool counts = vm.Role() == state::VmRole::kEntry &&
                          vm.State() == state::VmState::kLive &&
                          vm.Name() != mOptions.mSelf;
      if (counts) {
        daemons.push_back(vm.Name());
      }
    }
    return daemons;
  }

  FleetPort& mPort;
  EventLog& mLog;
  MembershipTaskOptions mOptions;
  state::VmList mVms;
  std::vector<caf::actor> mSubscribers;
};

} // namespace

caf::actor
SpawnMembershipTask(caf::actor_system& aSystem,
                    FleetPort& aPort,
                    EventLog& aLog,
                    MembershipTaskOptions aOptions)
{
  return aSystem.spawn<MembershipTask>(
    std::ref(aPort), std::ref(aLog), std::move(aOptions));
}

} // namespace cornelrudder::coordination
