#include "cornelrudder/coordination/LeaseTask.h"

#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/state/LeaseTracker.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

#include <algorithm>
#include <optional>

namespace cornelrudder::coordination {

namespace {

using state::LeaseAction;
using state::LeaseRow;
using state::StoreResult;
using state::StoreStatus;
using std::chrono::milliseconds;

/** How long a subscriber may take to note that the lease is given up. */
constexpr milliseconds kNoticeTime{ 1'000 };

/**
 * Tries to write the release. Each conflict is due to a renewal that arrived
 * late, and only a few of those can be under way.
 */
constexpr int kMaxReleaseTries = 5;

class LeaseTask : public caf::event_based_actor
{
public:
  LeaseTask(caf::actor_config& aConfig,
            caf::actor aStore,
            const RowCodec& aCodec,
            const Clock& aClock,
            EventLog& aLog,
            WriteIdGenerator aWriteIds,
            const LeaseTaskOptions& aOptions)
    : caf::event_based_actor(aConfig)
    , mStore(std::move(aStore))
    , mCodec(aCodec)
    , mClock(aClock)
    , mLog(aLog)
    , mWriteIds(std::move(aWriteIds))
    , mDomain(aOptions.mDomain)
    , mKey("lease/placement/" + aOptions.mDomain.Text())
    , mTimes(aOptions.mLeaseDuration)
    , mTracker(aOptions.mDomain, aOptions.mSelf, aOptions.mIncarnation, mTimes)
    , mPublished(View())
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { Step(); },
      [this](const CheckLeaseExpiry&) { Publish(); },
      [this](const Subscribe& aSubscribe) {
        mSubscribers.push_back(aSubscribe.mReceiver);
        send(aSubscribe.mReceiver, View());
      },
      [this](const ReleaseLease&) { Release(); },
      [this](const GetLeaseStatus&) { return Status(); },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  /** Asks the store task; an error of that task counts as unknown. */
  template<typename Message, typename Handler>
  void Ask(Message aMessage, Handler aHandler)
  {
    mBusy = true;
    request(mStore, caf::infinite, std::move(aMessage))
      .then(
        [this, aHandler](const StoreResult& aResult) {
          mBusy = false;
          aHandler(aResult);
        },
        [this, aHandler](const caf::error&) {
          mBusy = false;
          aHandler(StoreResult(StoreStatus::kOutcomeUnknown, {}));
        });
  }

  /** Reads or writes the row once, and then waits for the next tick. */
  void Step()
  {
    if (mReleased || mBusy) {
      return;
    }
    const LeaseAction action = mTracker.Decide(mClock.Now());
    if (action != LeaseAction::kObserve) {
      Write(action);
      return;
    }
    Ask(ReadRow{ mKey }, [this](const StoreResult& aResult) {
      const bool seen = aResult.Status() == StoreStatus::kOk;
      if (seen) {
        See(aResult);
      }
      if (mReleased) {
        WriteRelease();
        return;
      }
      const LeaseAction next = mTracker.Decide(mClock.Now());
      if (next != LeaseAction::kObserve && seen && !mMalformed) {
        Write(next);
        return;
      }
      WaitForTick();
    });
  }

  void Write(LeaseAction aAction)
  {
    const LeaseRow row = mTracker.NextRow(aAction);
    const milliseconds sentAt = mClock.Now();
    Ask(state::Transaction(
          mWriteIds.Next(),
          { { mKey, mTracker.Version(), mCodec.EncodeLease(row) } }),
        [this, row, sentAt, version = mTracker.Version() + 1](
          const StoreResult& aResult) {
          FinishWrite(row, version, sentAt, aResult);
        });
  }

  void FinishWrite(const LeaseRow& aRow,
                   std::uint64_t aVersion,
                   milliseconds aSentAt,
                   const StoreResult& aResult)
  {
    if (aResult.Status() == StoreStatus::kOk) {
      ++mCounters["lease_writes_total"];
      mTracker =
        mTracker.WithAppliedWrite(aRow, aVersion, aSentAt, mClock.Now());
    } else if (aResult.Status() == StoreStatus::kConflict) {
      See(aResult);
    } else {
      ++mCounters["lease_write_failures_total"];
    }
    if (mReleased) {
      mTracker = mTracker.WithoutHeldLease();
      WriteRelease();
      return;
    }
    Publish();
    const bool lateRenewalArrived =
      aResult.Status() == StoreStatus::kConflict &&
      mTracker.Decide(mClock.Now()) == LeaseAction::kRenew && !mMalformed;
    if (lateRenewalArrived) {
      Write(LeaseAction::kRenew);
      return;
    }
    WaitForTick();
  }

  /** Takes in the row that a read or a conflict has returned. */
  void See(const StoreResult& aResult)
  {
    mMalformed = false;
    if (aResult.Rows().empty()) {
      mTracker = mTracker.WithObservedRow(std::nullopt, 0, mClock.Now());
    } else {
      const state::StoreRow& row = aResult.Rows().front();
      try {
        std::optional<LeaseRow> value;
        if (row.Version() != 0) {
          value = mCodec.DecodeLease(row.Value());
        }
        mTracker = mTracker.WithObservedRow(value, row.Version(), mClock.Now());
      } catch (const CoordinationError& error) {
        // Overwriting the row could repeat an epoch, so that it is left alone
        // until an operator has repaired it.
        mMalformed = true;
        ++mCounters["rows_malformed_total"];
        mLog.Write({ LogEvent::kRowMalformed,
                     { { "key", mKey }, { "error", error.what() } } });
      }
    }
    Publish();
  }

  void WaitForTick() { delayed_send(this, mTimes.RenewInterval(), Tick{}); }

  void Release()
  {
    if (mReleased) {
      return;
    }
    mReleased = true;
    mTracker = mTracker.WithoutHeldLease();
    mPublished.emplace(View());
    // The subscribers stop acting before another daemon can take the lease;
    // the workers' epoch check covers one that does not respond in time.
    mNoticesOpen = mSubscribers.size();
    for (const caf::actor& receiver : mSubscribers) {
      request(receiver, kNoticeTime, *mPublished)
        .then([this] { CloseNotice(); },
              [this](const caf::error&) { CloseNotice(); });
    }
    if (mNoticesOpen == 0) {
      WriteRelease();
    }
  }

  void CloseNotice()
  {
    if (--mNoticesOpen == 0) {
      WriteRelease();
    }
  }

  /** Writes the row without owner if it is the own one. */
  void WriteRelease()
  {
    const bool isOwn = mTracker.Decide(mClock.Now()) == LeaseAction::kRenew;
    if (mBusy || mNoticesOpen > 0 || !isOwn || mMalformed ||
        ++mReleaseTries > kMaxReleaseTries) {
      return;
    }
    const LeaseRow row = mTracker.Row()->WithoutOwner();
    Ask(state::Transaction(
          mWriteIds.Next(),
          { { mKey, mTracker.Version(), mCodec.EncodeLease(row) } }),
        [this, row, version = mTracker.Version() + 1](
          const StoreResult& aResult) {
          if (aResult.Status() == StoreStatus::kOk) {
            mTracker = mTracker.WithObservedRow(row, version, mClock.Now());
            mLog.Write({ LogEvent::kLeaseReleased,
                         { { "domain", mDomain.Text() },
                           { "epoch", std::to_string(row.Epoch()) } } });
            Publish();
          } else if (aResult.Status() == StoreStatus::kConflict) {
            See(aResult);
            WriteRelease();
          }
        });
  }

  DomainOwner View() const
  {
    const milliseconds now = mClock.Now();
    std::vector<state::VmId> owner;
    if (const auto name = mTracker.OwnerAt(now)) {
      owner.push_back(*name);
    }
    return { mDomain, std::move(owner), mTracker.HeldLeaseAt(now) };
  }

  LeaseStatus Status() const
  {
    const DomainOwner view = View();
    return { view.mOwner,
             mTracker.Row() ? mTracker.Row()->Epoch() : 0,
             view.mLease.Epoch() != 0 };
  }

  /** Sends the view to the subscribers if it has changed. */
  void Publish()
  {
    const DomainOwner view = View();
    if (view == *mPublished) {
      return;
    }
    LogChange(*mPublished, view);
    mPublished.emplace(view);
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, view);
    }
    if (view.mLease.Epoch() != 0) {
      const milliseconds rest = view.mLease.ExpiresAt() - mClock.Now();
      delayed_send(this,
                   std::max(rest, milliseconds(0)) + milliseconds(1),
                   CheckLeaseExpiry{});
    }
  }

  void LogChange(const DomainOwner& aBefore, const DomainOwner& aAfter)
  {
    const std::uint64_t before = aBefore.mLease.Epoch();
    const std::uint64_t after = aAfter.mLease.Epoch();
    if (before != 0 && before != after) {
      ++mCounters["lease_lost_total"];
      mLog.Write({ LogEvent::kLeaseLost,
                   { { "domain", mDomain.Text() },
                     { "epoch", std::to_string(before) } } });
    }
    if (after != 0 && before != after) {
      ++mCounters["lease_taken_total"];
      mLog.Write({ LogEvent::kLeaseTaken,
                   { { "domain", mDomain.Text() },
                     { "epoch", std::to_string(after) } } });
    } else if (aBefore.mOwner != aAfter.mOwner) {
      mLog.Write(
        { LogEvent::kDomainOwnerChanged,
          { { "domain", mDomain.Text() },
            { "owner",
              aAfter.mOwner.empty() ? "none" : aAfter.mOwner.front().Text() },
            { "epoch", std::to_string(Status().mEpoch) } } });
    }
  }

  caf::actor mStore;
  const RowCodec& mCodec;
  const Clock& mClock;
  EventLog& mLog;
  WriteIdGenerator mWriteIds;
  state::RegionId mDomain;
  std::string mKey;
  state::LeaseTimes mTimes;
  state::LeaseTracker mTracker;
  /** The view that the subscribers have. */
  std::optional<DomainOwner> mPublished;
  std::vector<caf::actor> mSubscribers;
  /** Whether a read or write is under way; there is one at most. */
  bool mBusy = false;
  bool mMalformed = false;
  bool mReleased = false;
  std::size_t mNoticesOpen = 0;
  int mReleaseTries = 0;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnLeaseTask(caf::actor_system& aSystem,
               const caf::actor& aStore,
               const RowCodec& aCodec,
               const Clock& aClock,
               EventLog& aLog,
               WriteIdGenerator aWriteIds,
               LeaseTaskOptions aOptions)
{
  return aSystem.spawn<LeaseTask>(aStore,
                                  std::cref(aCodec),
                                  std::cref(aClock),
                                  std::ref(aLog),
                                  std::move(aWriteIds),
                                  std::move(aOptions));
}

} // namespace cornelrudder::coordination
