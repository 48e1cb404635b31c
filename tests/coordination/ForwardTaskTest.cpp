#include "cornelrudder/coordination/ForwardTask.h"
#include "PeerTestSystem.h"

#include <CppUTest/TestHarness.h>

#include <caf/event_based_actor.hpp>

#include <array>

using namespace cornelrudder;
using namespace cornelrudder::coordination;
using state::FailureReason;
using state::JobCommand;
using state::JobReply;
using state::WasRun;

namespace {

constexpr std::chrono::milliseconds kLongTimeout{ 60'000 };
constexpr std::chrono::milliseconds kShortTimeout{ 50 };

/** Replies to each command and counts the commands. */
class FakePlacement : public caf::event_based_actor
{
public:
  using caf::event_based_actor::event_based_actor;

  caf::behavior make_behavior() override
  {
    return {
      [this](const JobCommand&) {
        ++mCount;
        return JobReply(FailureReason::kNone, WasRun::kNo, "placed", {});
      },
      [this](const GetCounters&) {
        return Counters{ { "commands", mCount } };
      },
    };
  }

private:
  std::uint64_t mCount = 0;
};

JobCommand
Submit(const std::string& aKey)
{
  return JobCommand::Submit(
    state::JobSpec(state::JobId("job-1"),
                   state::OrganisationId("acme"),
                   state::TeamId("night"),
                   state::ClassName("nesting"),
                   state::Shape(1, 1, state::Adjacency::kWorker),
                   aKey,
                   std::chrono::seconds(60)));
}

/** Connected daemons e1 and e2, each with a placement task. */
class TwoDaemons
{
public:
  explicit TwoDaemons(std::chrono::milliseconds aTimeout = kLongTimeout)
    : mNodes{ &mSystem.Start("e1", {}), &mSystem.Start("e2", { "e1" }) }
  {
    for (const std::size_t i : { 0, 1 }) {
      mPlacements[i] = mSystem.Add(mSystem.mSystem.spawn<FakePlacement>());
      mForwards[i] = mSystem.Add(
        SpawnForwardTask(mSystem.mSystem,
                         mNodes[i]->mMembership,
                         mPlacements[i],
                         mSystem.mClock,
                         mSystem.mLog,
                         { Name(i), state::RegionId("r"), 1, aTimeout }));
      caf::anon_send(mNodes[i]->mMembership,
                     SetPeerHandlers{ {}, mForwards[i] });
    }
    CHECK(mSystem.WaitUntil([this] {
      return mSystem.StateOf(*mNodes[0], "e2") == "alive" &&
             mSystem.StateOf(*mNodes[1], "e1") == "alive";
    }));
  }

  static state::VmId Name(std::size_t aIndex)
  {
    return state::VmId("e" + std::to_string(aIndex + 1));
  }

  /**
   * Informs a daemon of the domain's owner.
   * @param aEpoch Epoch of the daemon's lease; 0 if it has none.
   */
  void SetOwner(std::size_t aDaemon,
                std::vector<state::VmId> aOwner,
                int aEpoch)
  {
    const state::RegionId region("r");
    const state::Lease lease(region,
                             static_cast<std::uint64_t>(aEpoch),
                             mSystem.mClock.Now() + kLongTimeout);
    caf::anon_send(mForwards[aDaemon],
                   DomainOwner{ region, std::move(aOwner), lease });
  }

  JobReply Ask(std::size_t aDaemon, const JobCommand& aCommand)
  {
    return mSystem.Ask<JobReply>(mForwards[aDaemon], aCommand);
  }

  std::uint64_t Commands(std::size_t aDaemon)
  {
    return mSystem.Ask<Counters>(mPlacements[aDaemon],
                                 GetCounters{})["commands"];
  }

  PeerTestSystem mSystem;
  std::array<caf::actor, 2> mPlacements;
  std::array<caf::actor, 2> mForwards;

private:
  std::array<PeerTestSystem::Node*, 2> mNodes;
};

} // namespace

TEST_GROUP(ForwardTask){};

// Guards against a daemon without a valid lease that executes a command.
TEST(ForwardTask, CommandIsRejectedWithoutAnOwner)
{
  TwoDaemons daemons;
  JobReply reply = daemons.Ask(0, Submit("k"));
  CHECK(reply.Reason() == FailureReason::kNoOwner);
  CHECK(reply.HasRun() == WasRun::kNo);
  daemons.SetOwner(0, { TwoDaemons::Name(0) }, 1);
  CHECK(daemons.Ask(0, Submit("k")).Reason() == FailureReason::kNone);
  // The lease expires without a message from the lease task.
  daemons.mSystem.mClock.Skip(kLongTimeout);
  reply = daemons.Ask(0, Submit("k"));
  CHECK(reply.Reason() == FailureReason::kNoOwner);
  LONGS_EQUAL(1, daemons.Commands(0));
}

TEST(ForwardTask, CommandIsForwardedToTheOwnerAndItsReplyReturned)
{
  TwoDaemons daemons;
  daemons.SetOwner(0, { TwoDaemons::Name(1) }, 0);
  daemons.SetOwner(1, { TwoDaemons::Name(1) }, 3);
  const JobReply reply = daemons.Ask(0, Submit("k"));
  CHECK(reply.Reason() == FailureReason::kNone);
  STRCMP_EQUAL("placed", reply.Detail().c_str());
  LONGS_EQUAL(0, daemons.Commands(0));
  LONGS_EQUAL(1, daemons.Commands(1));
}

// Guards against a forwarding loop while each of two daemons assumes that the
// other one owns the domain.
TEST(ForwardTask, ForwardedCommandsAreNotForwardedAgain)
{
  TwoDaemons daemons;
  daemons.SetOwner(0, { TwoDaemons::Name(1) }, 0);
  daemons.SetOwner(1, { TwoDaemons::Name(0) }, 0);
  const JobReply reply = daemons.Ask(0, Submit("k"));
  CHECK(reply.Reason() == FailureReason::kNoOwner);
  CHECK(reply.HasRun() == WasRun::kNo);
  LONGS_EQUAL(1, daemons.mSystem.mNet.Count<state::ForwardRequest>());
  LONGS_EQUAL(0, daemons.Commands(0) + daemons.Commands(1));
}

// Guards against reporting "not run" for a job that the owner accepted when
// the owner's reply is lost.
TEST(ForwardTask, LostReplyMeansUnknownOutcome)
{
  TwoDaemons daemons(kShortTimeout);
  daemons.SetOwner(0, { TwoDaemons::Name(1) }, 0);
  daemons.SetOwner(1, { TwoDaemons::Name(1) }, 3);
  daemons.mSystem.mNet.LoseIf([](const state::PeerMessage& aMessage) {
    return std::holds_alternative<state::ForwardReply>(aMessage.Body());
  });
  const JobReply keyed = daemons.Ask(0, Submit("k"));
  CHECK(keyed.Reason() == FailureReason::kTimedOut);
  CHECK(keyed.HasRun() == WasRun::kUnknown);
  CHECK(keyed.Detail().find("same key") != std::string::npos);
  LONGS_EQUAL(1, daemons.Commands(1));
  const JobReply keyless = daemons.Ask(0, Submit(""));
  CHECK(keyless.HasRun() == WasRun::kUnknown);
  CHECK(keyless.Detail().find("same key") == std::string::npos);
  const JobReply list = daemons.Ask(0, JobCommand::List());
  CHECK(list.Reason() == FailureReason::kTimedOut);
  CHECK(list.HasRun() == WasRun::kNo);
}

// Guards against waiting for an owner to which nothing could be sent.
TEST(ForwardTask, UnreachableOwnerMeansNotRun)
{
  TwoDaemons daemons;
  daemons.SetOwner(0, { state::VmId("e9") }, 0);
  const JobReply reply = daemons.Ask(0, Submit("k"));
  CHECK(reply.Reason() == FailureReason::kNoOwner);
  CHECK(reply.HasRun() == WasRun::kNo);
}

// Guards against accepting a reply that comes from another daemon or belongs
// to a command of an earlier incarnation of this daemon.
TEST(ForwardTask, IgnoresRepliesOfOtherDaemonsAndEarlierIncarnations)
{
  TwoDaemons daemons;
  daemons.SetOwner(0, { TwoDaemons::Name(1) }, 0);
  daemons.SetOwner(1, { TwoDaemons::Name(1) }, 3);
  daemons.mSystem.mNet.LoseIf([](const state::PeerMessage& aMessage) {
    return std::holds_alternative<state::ForwardReply>(aMessage.Body());
  });
  caf::scoped_actor self(daemons.mSystem.mSystem);
  auto pending =
    self->request(daemons.mForwards[0], caf::infinite, Submit("k"));
  CHECK(daemons.mSystem.WaitUntil([&] { return daemons.Commands(1) == 1; }));
  const auto sendReply = [&](const std::string& aSender,
                             state::Incarnation aRequesterIncarnation,
                             const std::string& aDetail) {
    caf::anon_send(
      daemons.mForwards[0],
      PeerMessageReceived{
        { state::VmId(aSender),
          1,
          state::ForwardReply(
            aRequesterIncarnation,
            1,
            JobReply(FailureReason::kNone, WasRun::kNo, aDetail, {})) } });
  };
  sendReply("e2", 99, "earlier incarnation");
  sendReply("e9", 1, "another daemon");
  sendReply("e2", 1, "right");
  std::string detail;
  pending.receive(
    [&detail](const JobReply& aReply) { detail = aReply.Detail(); },
    [](const caf::error&) {});
  STRCMP_EQUAL("right", detail.c_str());
}
