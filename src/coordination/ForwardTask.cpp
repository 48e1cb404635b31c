#include "cornelrudder/coordination/ForwardTask.h"

#include "cornelrudder/coordination/Messages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <array>
#include <functional>
#include <optional>

namespace cornelrudder::coordination {

namespace {

using state::FailureReason;
using state::JobCommand;
using state::JobCommandKind;
using state::JobReply;
using state::VmId;
using state::WasRun;

/** Reply to a forwarded command whose owner did not reply in time. */
struct LostReply
{
  std::string_view mName;
  WasRun mRan;
  std::string_view mDetail;
};

/** Indexed by JobCommandKind. */
constexpr std::array kLostReplies{
  LostReply{ "submit",
             WasRun::kUnknown,
             "the owner did not answer in time; the job may have been "
             "accepted. Repeat the submission with the same key: it gives "
             "the same job" },
  LostReply{ "get",
             WasRun::kNo,
             "the owner did not answer in time; repeat the command" },
  LostReply{ "list",
             WasRun::kNo,
             "the owner did not answer in time; repeat the command" },
  LostReply{ "cancel",
             WasRun::kUnknown,
             "the owner did not answer in time; the job may have been "
             "cancelled. The command may be repeated" },
  LostReply{ "explain",
             WasRun::kNo,
             "the owner did not answer in time; repeat the command" },
};

constexpr std::string_view kLostWithoutKeyDetail =
  "the owner did not answer in time; the job may have been accepted. It has "
  "no key, so look at the list of jobs before a repeat";

const LostReply&
LostReplyFor(JobCommandKind aKind)
{
  return kLostReplies.at(static_cast<std::size_t>(aKind));
}

JobReply
MakeLostReply(const JobCommand& aCommand)
{
  const LostReply& lost = LostReplyFor(aCommand.Kind());
  const bool keyless =
    aCommand.Spec() && aCommand.Spec()->IdempotencyKey().empty();
  return { FailureReason::kTimedOut,
           lost.mRan,
           std::string(keyless ? kLostWithoutKeyDetail : lost.mDetail),
           {} };
}

JobReply
MakeNoOwnerReply(std::string aDetail)
{
  return { FailureReason::kNoOwner, WasRun::kNo, std::move(aDetail), {} };
}

class ForwardTask : public caf::event_based_actor
{
public:
  ForwardTask(caf::actor_config& aConfig,
              caf::actor aMembership,
              caf::actor aPlacement,
              const Clock& aClock,
              EventLog& aLog,
              ForwardTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mMembership(std::move(aMembership))
    , mPlacement(std::move(aPlacement))
    , mClock(aClock)
    , mLog(aLog)
    , mOptions(std::move(aOptions))
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const JobCommand& aCommand) { return Accept(aCommand); },
      [this](const DomainOwner& aOwner) { UpdateOwner(aOwner); },
      [this](const PeerMessageReceived& aReceived) {
        Receive(aReceived.mMessage);
      },
      [this](const ForwardTimeout& aExpired) {
        TimeOutForward(aExpired.mCorrelation);
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

  /** Breaks reference cycles between the tasks, which would leak them. */
  void on_exit() override
  {
    mMembership = nullptr;
    mPlacement = nullptr;
    mPending.clear();
  }

private:
  using Promise = caf::typed_response_promise<JobReply>;
  using ReplyHandler = std::function<void(const JobReply&)>;

  struct Pending
  {
    JobCommand mCommand;
    VmId mOwner;
    Promise mPromise;
  };

  void UpdateOwner(const DomainOwner& aOwner)
  {
    if (aOwner.mDomain != mOptions.mDomain) {
      return;
    }
    mOwner.reset();
    if (!aOwner.mOwner.empty()) {
      mOwner = aOwner.mOwner.front();
    }
    mLease = aOwner.mLease;
  }

  bool OwnsDomain() const
  {
    return mPlacement && mLease && mLease->HeldAt(mClock.Now());
  }

  caf::result<JobReply> Accept(const JobCommand& aCommand)
  {
    auto promise = make_response_promise<JobReply>();
    if (OwnsDomain()) {
      Execute(aCommand, [promise](const JobReply& aReply) mutable {
        promise.deliver(aReply);
      });
    } else if (mOwner && *mOwner != mOptions.mSelf) {
      SendToOwner(aCommand, *mOwner, promise);
    } else {
      ++mCounters["forward_no_owner_total"];
      promise.deliver(
        MakeNoOwnerReply("no daemon owns the domain at the moment"));
    }
    return promise;
  }

  void Execute(const JobCommand& aCommand, ReplyHandler aHandler)
  {
    request(mPlacement, caf::infinite, aCommand)
      .then([aHandler](const JobReply& aReply) { aHandler(aReply); },
            [aHandler](const caf::error&) {
              aHandler({ FailureReason::kTimedOut,
                         WasRun::kUnknown,
                         "the placement task ended without an answer",
                         {} });
            });
  }

  void SendToOwner(const JobCommand& aCommand,
                   const VmId& aOwner,
                   const Promise& aPromise)
  {
    const std::uint64_t correlation = ++mLastCorrelation;
    mPending.emplace(correlation, Pending{ aCommand, aOwner, aPromise });
    ++mCounters["forwarded_total"];
    mLog.Write(
      { LogEvent::kForwarded,
        { { "command", std::string(LostReplyFor(aCommand.Kind()).mName) },
          { "owner", aOwner.Text() },
          { "correlation", std::to_string(correlation) } } });
    delayed_send(this, mOptions.mReplyTimeout, ForwardTimeout{ correlation });
    request(mMembership,
            caf::infinite,
            SendToPeer{ aOwner, state::ForwardRequest(correlation, aCommand) })
      .then(
        [this, correlation](bool aSent) {
          if (!aSent) {
            CompleteForward(correlation,
                            MakeNoOwnerReply("the owner cannot be reached"));
          }
        },
        // It is unknown whether the command was sent: the timeout applies.
        [](const caf::error&) {});
  }

  void Receive(const state::PeerMessage& aMessage)
  {
    const auto* forward = std::get_if<state::ForwardRequest>(&aMessage.Body());
    const auto* reply = std::get_if<state::ForwardReply>(&aMessage.Body());
    if (forward != nullptr) {
      HandleForward(aMessage, *forward);
    } else if (reply != nullptr) {
      HandleReply(aMessage.Sender(), *reply);
    }
  }

  /** Executes a peer's command or rejects it; never forwards it again. */
  void HandleForward(const state::PeerMessage& aMessage,
                     const state::ForwardRequest& aForward)
  {
    const ReplyHandler respond =
      [this,
       requester = aMessage.Sender(),
       incarnation = aMessage.SenderIncarnation(),
       correlation = aForward.Correlation()](const JobReply& aReply) {
        Respond(requester, incarnation, correlation, aReply);
      };
    ++mCounters["forwards_received_total"];
    if (!OwnsDomain()) {
      respond(
        MakeNoOwnerReply("the daemon that was asked does not own the domain"));
      return;
    }
    Execute(aForward.Command(), respond);
  }

  void Respond(const VmId& aRequester,
               state::Incarnation aRequesterIncarnation,
               std::uint64_t aCorrelation,
               const JobReply& aReply)
  {
    request(mMembership,
            caf::infinite,
            SendToPeer{ aRequester,
                        state::ForwardReply(
                          aRequesterIncarnation, aCorrelation, aReply) })
      .then(
        [this](bool aSent) {
          mCounters["forward_replies_lost_total"] += aSent ? 0 : 1;
        },
        [](const caf::error&) {});
  }

  void HandleReply(const VmId& aSender, const state::ForwardReply& aReply)
  {
    const auto it = mPending.find(aReply.Correlation());
    const bool matches =
      aReply.RequesterIncarnation() == mOptions.mIncarnation &&
      it != mPending.end() && it->second.mOwner == aSender;
    if (!matches) {
      ++mCounters["forward_replies_ignored_total"];
      return;
    }
    CompleteForward(aReply.Correlation(), aReply.Reply());
  }

  void TimeOutForward(std::uint64_t aCorrelation)
  {
    const auto it = mPending.find(aCorrelation);
    if (it == mPending.end()) {
      return;
    }
    ++mCounters["forward_timed_out_total"];
    mLog.Write({ LogEvent::kForwardTimedOut,
                 { { "owner", it->second.mOwner.Text() },
                   { "correlation", std::to_string(aCorrelation) } } });
    CompleteForward(aCorrelation, MakeLostReply(it->second.mCommand));
  }

  void CompleteForward(std::uint64_t aCorrelation, const JobReply& aReply)
  {
    const auto it = mPending.find(aCorrelation);
    if (it == mPending.end()) {
      return;
    }
    mLog.Write(
      { LogEvent::kForwardEnded,
        { { "owner", it->second.mOwner.Text() },
          { "correlation", std::to_string(aCorrelation) },
          { "reason", std::string(FailureReasonName(aReply.Reason())) },
          { "ran", std::string(WasRunName(aReply.HasRun())) } } });
    Promise promise = it->second.mPromise;
    mPending.erase(it);
    promise.deliver(aReply);
  }

  caf::actor mMembership;
  caf::actor mPlacement;
  const Clock& mClock;
  EventLog& mLog;
  ForwardTaskOptions mOptions;
  std::optional<VmId> mOwner;
  std::optional<state::Lease> mLease;
  std::map<std::uint64_t, Pending> mPending;
  std::uint64_t mLastCorrelation = 0;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnForwardTask(caf::actor_system& aSystem,
                 const caf::actor& aMembership,
                 const caf::actor& aPlacement,
                 const Clock& aClock,
                 EventLog& aLog,
                 ForwardTaskOptions aOptions)
{
  return aSystem.spawn<ForwardTask>(aMembership,
                                    aPlacement,
                                    std::cref(aClock),
                                    std::ref(aLog),
                                    std::move(aOptions));
}

} // namespace cornelrudder::coordination
