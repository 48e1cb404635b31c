#include "TakeoverFaults.h"

#include <algorithm>
#include <array>

namespace cornelrudder::tests {

namespace {

using Kind = TakeoverFaultKind;

constexpr milliseconds kLongestPause{ 8'000 };

/** Count of the faults in force of a link. */
struct LinkFaultRow
{
  Kind mKind;
  int LinkFaults::*mCount;
};

struct StoreFaultRow
{
  Kind mKind;
  int StoreFaults::*mCount;
};

/** Fault of the process of a daemon, for a time. */
struct ProcessFaultRow
{
  Kind mKind;
  void (TakeoverDaemon::*mBegin)(milliseconds);
};

constexpr std::array kLinkFaults{
  LinkFaultRow{ Kind::kCommandsLost, &LinkFaults::mCommandsLost },
  LinkFaultRow{ Kind::kRepliesLost, &LinkFaults::mRepliesLost },
  LinkFaultRow{ Kind::kLinkDown, &LinkFaults::mCommandsLost },
  LinkFaultRow{ Kind::kLinkDown, &LinkFaults::mRepliesLost },
  LinkFaultRow{ Kind::kCommandsLate, &LinkFaults::mCommandsLate }
};

constexpr std::array kStoreFaults{
  StoreFaultRow{ Kind::kStoreCut, &StoreFaults::mCut },
  StoreFaultRow{ Kind::kStoreRepliesLost, &StoreFaults::mRepliesLost },
  StoreFaultRow{ Kind::kStoreSlow, &StoreFaults::mSlow },
  StoreFaultRow{ Kind::kStoreWritesLate, &StoreFaults::mWritesLate }
};

constexpr std::array kProcessFaults{
  ProcessFaultRow{ Kind::kPause, &TakeoverDaemon::Pause },
  ProcessFaultRow{ Kind::kPauseAtReply, &TakeoverDaemon::PauseAtReply },
  ProcessFaultRow{ Kind::kPauseAtSend, &TakeoverDaemon::PauseAtSend },
  ProcessFaultRow{ Kind::kDaemonRestart, &TakeoverDaemon::Restart },
  ProcessFaultRow{ Kind::kDaemonStop, &TakeoverDaemon::Stop }
};

bool
HasWorker(const TakeoverFault& aFault, std::size_t aWorker)
{
  return (aFault.mWorkers >> aWorker & 1U) != 0;
}

} // namespace

TakeoverFaults::TakeoverFaults(TakeoverContext& aContext,
                               ModelStore& aStore,
                               std::deque<TakeoverWorker>& aWorkers,
                               std::deque<TakeoverDaemon>& aDaemons)
  : mContext(aContext)
  , mStore(aStore)
  , mWorkers(aWorkers)
  , mDaemons(aDaemons)
{
}

void
TakeoverFaults::Schedule()
{
  for (const TakeoverFault& fault : mContext.mPlan.mFaults) {
    mContext.mQueue.Schedule(fault.mAt, [this, &fault] { Begin(fault); });
  }
}

void
TakeoverFaults::Begin(const TakeoverFault& aFault)
{
  mContext.Log("fault", aFault.Text());
  if (aFault.mKind == Kind::kStoreDown) {
    BeginStoreOutage(aFault.mFor);
  } else if (HasDaemons(aFault.mKind)) {
    for (const std::size_t daemon : DaemonsOf(aFault)) {
      BeginDaemonFault(aFault, mDaemons[daemon]);
    }
  } else {
    for (std::size_t i = 0; i < mWorkers.size(); ++i) {
      if (HasWorker(aFault, i)) {
        BeginWorkerFault(aFault, mWorkers[i]);
      }
    }
  }
}

void
TakeoverFaults::BeginStoreOutage(milliseconds aFor)
{
  mStore.BeginOutage();
  mContext.mQueue.Schedule(aFor, [this] { mStore.EndOutage(); });
}

std::vector<std::size_t>
TakeoverFaults::DaemonsOf(const TakeoverFault& aFault) const
{
  using Daemons = TakeoverFault::Daemons;
  std::vector<std::size_t> daemons;
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    const bool isOwner = mDaemons[i].Name() == mStore.Owner();
    const bool isMeant = aFault.mDaemons == Daemons::kOwner ? isOwner
                         : aFault.mDaemons == Daemons::kOthers
                           ? !isOwner
                           : i == aFault.mDaemon;
    if (isMeant) {
      daemons.push_back(i);
    }
  }
  return daemons;
}

void
TakeoverFaults::Count(int& aCount, milliseconds aFor)
{
  ++aCount;
  mContext.mQueue.Schedule(aFor, [&aCount] { --aCount; });
}

void
TakeoverFaults::BeginDaemonFault(const TakeoverFault& aFault,
                                 TakeoverDaemon& aDaemon)
{
  BeginLinkFault(aFault, aDaemon);
  for (const StoreFaultRow& row : kStoreFaults) {
    if (row.mKind == aFault.mKind) {
      Count(aDaemon.StoreLink().*row.mCount, aFault.mFor);
    }
  }
  for (const ProcessFaultRow& row : kProcessFaults) {
    if (row.mKind == aFault.mKind) {
      (aDaemon.*row.mBegin)(std::min(aFault.mFor, kLongestPause));
    }
  }
}

void
TakeoverFaults::BeginLinkFault(const TakeoverFault& aFault,
                               TakeoverDaemon& aDaemon)
{
  for (const LinkFaultRow& row : kLinkFaults) {
    for (std::size_t i = 0; i < mWorkers.size(); ++i) {
      if (row.mKind == aFault.mKind && HasWorker(aFault, i)) {
        Count(aDaemon.Link(i).*row.mCount, aFault.mFor);
      }
    }
  }
}

void
TakeoverFaults::BeginWorkerFault(const TakeoverFault& aFault,
                                 TakeoverWorker& aWorker)
{
  if (aFault.mKind == Kind::kWorkerUnlisted) {
    aWorker.Unlist(aFault.mFor);
  } else if (aFault.mKind == Kind::kWorkerDrains) {
    aWorker.Drain(aFault.mFor);
  } else if (aFault.mKind == Kind::kWorkerReplaced) {
    aWorker.Replace();
  } else {
    aWorker.Restart();
  }
}

} // namespace cornelrudder::tests
