#ifndef CORNELRUDDER_TESTS_PEER_TEST_SYSTEM_H
#define CORNELRUDDER_TESTS_PEER_TEST_SYSTEM_H

#include "FakePeerNet.h"
#include "cornelrudder/coordination/Clock.h"
#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/FleetPort.h"
#include "cornelrudder/coordination/MembershipTask.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cornelrudder::coordination {

class SilentLog final : public EventLog
{
public:
  void Write(const LogRecord& /*aRecord*/) override {}
};

/** A fleet whose VM list the test sets. */
class FakeFleet final : public FleetPort
{
public:
  void Set(state::VmList aList)
  {
    const std::lock_guard lock(mMutex);
    mList = std::move(aList);
  }

  void ListVms(Completion aCompletion) override
  {
    const std::lock_guard lock(mMutex);
    aCompletion(mList);
  }

private:
  std::mutex mMutex;
  state::VmList mList;
};

/** The boot clock plus an offset that a test can increase. */
class SkippingClock final : public Clock
{
public:
  std::chrono::milliseconds Now() const override
  {
    return mBootClock.Now() + std::chrono::milliseconds(mOffset.load());
  }

  void Skip(std::chrono::milliseconds aTime) { mOffset += aTime.count(); }

private:
  BootClock mBootClock;
  std::atomic<std::int64_t> mOffset{ 0 };
};

class TaskConfig : public caf::actor_system_config
{
public:
  TaskConfig()
  {
    set("scheduler.policy", caf::atom("sharing"));
    set("scheduler.max-threads", std::size_t{ 2 });
  }
};

/** Membership tasks of several daemons on one fake network. */
class PeerTestSystem
{
public:
  struct Node
  {
    explicit Node(FakePeerNet& aNet)
      : mPort(aNet)
    {
    }

    FakePeerPort mPort;
    caf::actor mMembership;
  };

  PeerTestSystem()
    : mSystem(mConfig)
  {
  }

  ~PeerTestSystem()
  {
    for (const caf::actor& task : mTasks) {
      caf::anon_send_exit(task, caf::exit_reason::user_shutdown);
    }
    mTasks.clear();
    for (const auto& node : mNodes) {
      node->mMembership = nullptr;
    }
    mNet.Clear();
    mSystem.await_all_actors_done();
  }

  PeerTestSystem(const PeerTestSystem&) = delete;
  PeerTestSystem& operator=(const PeerTestSystem&) = delete;

  /** Starts a daemon whose peer address is its name. */
  Node& Start(const std::string& aName,
              std::vector<std::string> aSeeds,
              state::Incarnation aIncarnation = 1)
  {
    mNodes.push_back(std::make_unique<Node>(mNet));
    Node& node = *mNodes.back();
    node.mMembership = Add(SpawnMembershipTask(mSystem,
                                               mFleet,
                                               node.mPort,
                                               mClock,
                                               mLog,
                                               { state::VmId(aName),
                                                 state::ZoneId("zone"),
                                                 aIncarnation,
                                                 std::move(aSeeds),
                                                 kInterval,
                                                 kInterval,
                                                 {} }));
    mNet.Listen(aName, node.mMembership);
    caf::anon_send(node.mMembership,
                   AnnounceAddresses{ "http-" + aName, aName });
    return node;
  }

  /** Stops a daemon abruptly, without a leaving announcement. */
  void Crash(const std::string& aName, Node& aNode)
  {
    mNet.Listen(aName, caf::actor());
    caf::anon_send_exit(aNode.mMembership, caf::exit_reason::kill);
  }

  /** Registers a task that the destructor stops. */
  caf::actor Add(caf::actor aTask)
  {
    mTasks.push_back(aTask);
    return aTask;
  }

  /** Sends a request to a task and waits for the response. */
  template<typename Reply, typename Message>
  Reply Ask(const caf::actor& aTask, Message aMessage)
  {
    caf::scoped_actor self(mSystem);
    std::unique_ptr<Reply> reply;
    self->request(aTask, caf::infinite, std::move(aMessage))
      .receive(
        [&reply](const Reply& aReply) {
          reply = std::make_unique<Reply>(aReply);
        },
        [](const caf::error&) {});
    return *reply;
  }

  /** @return The name of a peer's state as a node sees it, or "unknown". */
  std::string StateOf(const Node& aNode, const std::string& aPeer)
  {
    const auto list = Ask<MemberList>(aNode.mMembership, GetMembers{});
    for (const state::Member& member : list.mMembers) {
      if (member.Name().Text() == aPeer) {
        return std::string(PeerStateName(member.State()));
      }
    }
    return "unknown";
  }

  /** @return False if a condition did not hold within a minute. */
  static bool WaitUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(kInterval);
    }
    return true;
  }

  static constexpr std::chrono::milliseconds kInterval{ 10 };

  FakePeerNet mNet;
  FakeFleet mFleet;
  SkippingClock mClock;
  SilentLog mLog;
  TaskConfig mConfig;
  caf::actor_system mSystem;

private:
  std::vector<std::unique_ptr<Node>> mNodes;
  std::vector<caf::actor> mTasks;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_TESTS_PEER_TEST_SYSTEM_H
