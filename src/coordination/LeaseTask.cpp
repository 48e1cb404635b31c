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

/** Time that a subscriber has to acknowledge a release of the lease. */
constexpr milliseconds kReleaseNoticeTimeout{ 1'000 };

/**
 * Limits the attempts to write a release. Each conflict is caused by an earlier
 * write of this daemon that arrived late, and only a few can be in flight.
 */
constexpr int kMaxReleaseAttempts = 5;

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
    , mPublishedView(CurrentView())
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { ReadOrWriteRow(); },
      [this](const CheckLeaseExpiry&) { Publish(); },
      [this](const Subscribe& aSubscribe) {
        mSubscribers.push_back(aSubscribe.mReceiver);
        send(aSubscribe.mReceiver, CurrentView());
      },
      [this](const ReleaseLease&) { Release(); },
      [this](const GetLeaseStatus&) { return Status(); },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  /** Sends a request to the store task; an error counts as unknown outcome. */
  template<typename Message, typename Handler>
  void RequestStore(Message aMessage, Handler aHandler)
  {
    mRequestInFlight = true;
    request(mStore, caf::infinite, std::move(aMessage))
      .then(
        [this, aHandler](const StoreResult& aResult) {
          mRequestInFlight = false;
          aHandler(aResult);
        },
        [this, aHandler](const caf::error&) {
          mRequestInFlight = false;
          aHandler(StoreResult(StoreStatus::kOutcomeUnknown, {}));
        });
  }

  /** Reads the row or writes it, then schedules the next tick. */
  void ReadOrWriteRow()
  {
    if (mIsReleasing || mRequestInFlight) {
      return;
    }
    const LeaseAction action = mTracker.Decide(mClock.Now());
    if (action != LeaseAction::kObserve) {
      WriteRow(action);
      return;
    }
    RequestStore(ReadRow{ mKey }, [this](const StoreResult& aResult) {
      const bool readSucceeded = aResult.Status() == StoreStatus::kOk;
      if (readSucceeded) {
        ApplyObservedRow(aResult);
      }
      if (mIsReleasing) {
        WriteRelease();
        return;
      }
      const LeaseAction next = mTracker.Decide(mClock.Now());
      if (next != LeaseAction::kObserve && readSucceeded && !mRowMalformed) {
        WriteRow(next);
        return;
      }
      ScheduleTick();
    });
  }

  void WriteRow(LeaseAction aAction)
  {
    const LeaseRow row = mTracker.NextRow(aAction);
    const milliseconds sentAt = mClock.Now();
    RequestStore(state::Transaction(
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
      ApplyObservedRow(aResult);
    } else {
      ++mCounters["lease_write_failures_total"];
    }
    if (mIsReleasing) {
      mTracker = mTracker.WithoutHeldLease();
      WriteRelease();
      return;
    }
    Publish();
    const bool lateRenewalArrived =
      aResult.Status() == StoreStatus::kConflict &&
      mTracker.Decide(mClock.Now()) == LeaseAction::kRenew && !mRowMalformed;
    if (lateRenewalArrived) {
      WriteRow(LeaseAction::kRenew);
      return;
    }
    ScheduleTick();
  }

  /** Updates the tracker with the row that a read or a conflict returned. */
  void ApplyObservedRow(const StoreResult& aResult)
  {
    mRowMalformed = false;
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
        // Overwriting the row could reuse an epoch, so it is not written until
        // an operator has repaired it.
        mRowMalformed = true;
        ++mCounters["rows_malformed_total"];
        mLog.Write({ LogEvent::kRowMalformed,
                     { { "key", mKey }, { "error", error.what() } } });
      }
    }
    Publish();
  }

  void ScheduleTick() { delayed_send(this, mTimes.RenewInterval(), Tick{}); }

  void Release()
  {
    if (mIsReleasing) {
      return;
    }
    mIsReleasing = true;
    mTracker = mTracker.WithoutHeldLease();
    mPublishedView.emplace(CurrentView());
    // The subscribers stop acting as owner before another daemon can acquire
    // the lease. If one does not acknowledge in time, each worker still rejects
    // its commands by their epoch, once that worker has accepted a command of
    // the new owner.
    mPendingNotices = mSubscribers.size();
    for (const caf::actor& receiver : mSubscribers) {
      request(receiver, kReleaseNoticeTimeout, *mPublishedView)
        .then([this] { OnNoticeCompleted(); },
              [this](const caf::error&) { OnNoticeCompleted(); });
    }
    if (mPendingNotices == 0) {
      WriteRelease();
    }
  }

  void OnNoticeCompleted()
  {
    if (--mPendingNotices == 0) {
      WriteRelease();
    }
  }

  /** Clears the owner in the row if this daemon is the owner. */
  void WriteRelease()
  {
    const bool ownsRow = mTracker.Decide(mClock.Now()) == LeaseAction::kRenew;
    if (mRequestInFlight || mPendingNotices > 0 || !ownsRow || mRowMalformed ||
        ++mReleaseAttempts > kMaxReleaseAttempts) {
      return;
    }
    const LeaseRow row = mTracker.Row()->WithoutOwner();
    RequestStore(
      state::Transaction(
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
          ApplyObservedRow(aResult);
          WriteRelease();
        }
      });
  }

  DomainOwner CurrentView() const
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
    const DomainOwner view = CurrentView();
    return { view.mOwner,
             mTracker.Row() ? mTracker.Row()->Epoch() : 0,
             view.mLease.Epoch() != 0 };
  }

  /** Sends the view to the subscribers if it has changed. */
  void Publish()
  {
    const DomainOwner view = CurrentView();
    if (view == *mPublishedView) {
      return;
    }
    LogChange(*mPublishedView, view);
    mPublishedView.emplace(view);
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, view);
    }
    if (view.mLease.Epoch() != 0) {
      const milliseconds remaining = view.mLease.ExpiresAt() - mClock.Now();
      delayed_send(this,
                   std::max(remaining, milliseconds(0)) + milliseconds(1),
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
  /** The view that was last sent to the subscribers. */
  std::optional<DomainOwner> mPublishedView;
  std::vector<caf::actor> mSubscribers;
  /** Whether a read or write is in flight; there is at most one. */
  bool mRequestInFlight = false;
  bool mRowMalformed = false;
  bool mIsReleasing = false;
  std::size_t mPendingNotices = 0;
  int mReleaseAttempts = 0;
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
