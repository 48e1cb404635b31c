#include "cornelrudder/coordination/StoreTask.h"

#include "cornelrudder/coordination/Messages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

namespace cornelrudder::coordination {

namespace {

using state::StoreResult;
using StorePromise = caf::typed_response_promise<StoreResult>;

class StoreTask : public caf::event_based_actor
{
public:
  StoreTask(caf::actor_config& aConfig, StorePort& aPort, EventLog& aLog)
    : caf::event_based_actor(aConfig)
    , mPort(aPort)
    , mLog(aLog)
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const ReadRow& aRead) {
        auto promise = make_response_promise<StoreResult>();
        mPort.ReadRow(aRead.mKey, Deliver(promise));
        return promise;
      },
      [this](const ListRows& aList) {
        auto promise = make_response_promise<StoreResult>();
        mPort.ListRows(aList.mPrefix, Deliver(promise));
        return promise;
      },
      [this](const state::Transaction& aTransaction) {
        auto promise = make_response_promise<StoreResult>();
        mPort.Transact(aTransaction, Deliver(promise));
        return promise;
      },
      [this](std::uint64_t aTicket, const StoreResult& aResult) {
        Finish(aTicket, aResult);
      },
    };
  }

private:
  /** Brings a result from the port's thread back to this task. */
  StorePort::Completion Deliver(const StorePromise& aPromise)
  {
    const std::uint64_t ticket = ++mLastTicket;
    mPromises.emplace(ticket, aPromise);
    return [self = caf::actor(this), ticket](StoreResult aResult) {
      caf::anon_send(self, ticket, std::move(aResult));
    };
  }

  void Finish(std::uint64_t aTicket, const StoreResult& aResult)
  {
    const auto it = mPromises.find(aTicket);
    if (it == mPromises.end()) {
      return;
    }
    if (aResult.Status() == state::StoreStatus::kUnavailable ||
        aResult.Status() == state::StoreStatus::kUnknown) {
      mLog.Write({ LogEvent::kStoreUnavailable, {} });
    }
    it->second.deliver(aResult);
    mPromises.erase(it);
  }

  StorePort& mPort;
  EventLog& mLog;
  std::map<std::uint64_t, StorePromise> mPromises;
  std::uint64_t mLastTicket = 0;
};

} // namespace

caf::actor
SpawnStoreTask(caf::actor_system& aSystem, StorePort& aPort, EventLog& aLog)
{
  return aSystem.spawn<StoreTask>(std::ref(aPort), std::ref(aLog));
}

} // namespace cornelrudder::coordination
