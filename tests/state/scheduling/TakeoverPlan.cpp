#include "TakeoverPlan.h"

#include <array>

namespace cornelrudder::tests {

namespace {

/** What a fault concerns. */
enum class Scope
{
  kLink,
  kDaemon,
  kWorker,
  kAll
};

using Kind = TakeoverFaultKind;

struct FaultRow
{
  Kind mKind;
  const char* mName;
  Scope mScope;
  /**
   * Weights among the faults of links, of owners that are replaced, and of
   * owners in a partition.
   */
  std::size_t mLinkWeight;
  std::size_t mOwnerWeight;
  std::size_t mPartitionWeight;
  /** Weight among all faults. */
  std::size_t mWeight;
};

/** In the order of TakeoverFaultKind. */
constexpr std::array<FaultRow, 18> kFaultRows{
  { { Kind::kCommandsLost, "commands_lost", Scope::kLink, 1, 0, 0, 1 },
    { Kind::kRepliesLost, "replies_lost", Scope::kLink, 1, 0, 0, 1 },
    { Kind::kLinkDown, "link_down", Scope::kLink, 4, 0, 0, 1 },
    { Kind::kCommandsLate, "commands_late", Scope::kLink, 1, 0, 0, 1 },
    { Kind::kStoreCut, "store_cut", Scope::kDaemon, 0, 4, 3, 1 },
    { Kind::kStoreRepliesLost,
      "store_replies_lost",
      Scope::kDaemon,
      0,
      3,
      2,
      1 },
    { Kind::kStoreSlow, "store_slow", Scope::kDaemon, 0, 1, 1, 1 },
    { Kind::kStoreWritesLate, "store_writes_late", Scope::kDaemon, 0, 3, 2, 1 },
    { Kind::kStoreDown, "store_down", Scope::kAll, 0, 0, 0, 1 },
    { Kind::kPause, "pause", Scope::kDaemon, 0, 3, 1, 1 },
    { Kind::kPauseAtReply, "pause_at_reply", Scope::kDaemon, 0, 3, 1, 1 },
    { Kind::kPauseAtSend, "pause_at_send", Scope::kDaemon, 0, 2, 0, 1 },
    { Kind::kDaemonRestart, "daemon_restart", Scope::kDaemon, 0, 1, 0, 1 },
    { Kind::kDaemonStop, "daemon_stop", Scope::kDaemon, 0, 2, 0, 1 },
    { Kind::kWorkerRestart, "worker_restart", Scope::kWorker, 0, 0, 0, 3 },
    { Kind::kWorkerReplaced, "worker_replaced", Scope::kWorker, 0, 0, 0, 3 },
    { Kind::kWorkerDrains, "worker_drains", Scope::kWorker, 0, 0, 0, 3 },
    { Kind::kWorkerUnlisted, "worker_unlisted", Scope::kWorker, 0, 0, 0, 3 } }
};

const FaultRow&
RowOf(Kind aKind)
{
  return kFaultRows.at(static_cast<std::size_t>(aKind));
}

/** @param aWeight Weight by which the kind is drawn. */
Kind
DrawKind(Draws& aDraws, std::size_t FaultRow::*aWeight)
{
  std::size_t total = 0;
  for (const FaultRow& it : kFaultRows) {
    total += it.*aWeight;
  }
  std::size_t left = aDraws.Below(total);
  for (const FaultRow& it : kFaultRows) {
    if (left < it.*aWeight) {
      return it.mKind;
    }
    left -= it.*aWeight;
  }
  return kFaultRows.back().mKind;
}

TakeoverFault
DrawFault(Draws& aDraws,
          std::size_t FaultRow::*aWeight,
          std::size_t aWorkers,
          milliseconds aAt)
{
  using Daemons = TakeoverFault::Daemons;
  TakeoverFault fault;
  fault.mKind = DrawKind(aDraws, aWeight);
  fault.mAt = aAt;
  fault.mFor = aDraws.Chance(0.5)
                 ? aDraws.Between(milliseconds(300), milliseconds(4'000))
                 : aDraws.Between(milliseconds(4'000), milliseconds(18'000));
  const std::size_t who = aDraws.Below(4);
  const bool isOwner = aWeight == &FaultRow::mOwnerWeight;
  fault.mDaemons = isOwner == (who > 0) ? Daemons::kOwner
                   : who < 3            ? Daemons::kOthers
                                        : Daemons::kOne;
  fault.mDaemon = aDraws.Below(kTakeoverDaemons);
  fault.mWorkers =
    static_cast<unsigned>(1 + aDraws.Below((std::size_t(1) << aWorkers) - 1));
  return fault;
}

/**
 * Adds faults by which the owner reaches some workers, the other daemons reach
 * the others, and the owner may not reach the store.
 */
void
AddPartition(TakeoverPlan& aPlan, Draws& aDraws, milliseconds aAt)
{
  TakeoverFault owner =
    DrawFault(aDraws, &FaultRow::mLinkWeight, aPlan.mWorkers, aAt);
  owner.mDaemons = TakeoverFault::Daemons::kOwner;
  owner.mFor = aDraws.Between(milliseconds(6'000), milliseconds(20'000));
  TakeoverFault others = owner;
  others.mKind = DrawKind(aDraws, &FaultRow::mLinkWeight);
  others.mDaemons = TakeoverFault::Daemons::kOthers;
  others.mWorkers = ~owner.mWorkers & ((1U << aPlan.mWorkers) - 1);
  TakeoverFault store = owner;
  store.mKind = DrawKind(aDraws, &FaultRow::mPartitionWeight);
  store.mAt += aDraws.Between(milliseconds(0), milliseconds(1'500));
  for (const TakeoverFault& it : { owner, others, store }) {
    aPlan.mFaults.push_back(it);
  }
}

} // namespace

bool
HasDaemons(TakeoverFaultKind aKind)
{
  const Scope scope = RowOf(aKind).mScope;
  return scope == Scope::kLink || scope == Scope::kDaemon;
}

bool
HasWorkers(TakeoverFaultKind aKind)
{
  const Scope scope = RowOf(aKind).mScope;
  return scope == Scope::kLink || scope == Scope::kWorker;
}

std::string
TakeoverFault::Text() const
{
  const FaultRow& row = RowOf(mKind);
  std::string text = std::string(row.mName) + " at " +
                     std::to_string(mAt.count()) + " for " +
                     std::to_string(mFor.count());
  if (HasDaemons(mKind)) {
    text += mDaemons == Daemons::kOwner    ? " owner"
            : mDaemons == Daemons::kOthers ? " others"
                                           : " d" + std::to_string(mDaemon);
  }
  if (HasWorkers(mKind)) {
    for (std::size_t i = 0; i < 8; ++i) {
      text += (mWorkers >> i & 1U) != 0 ? " w" + std::to_string(i) : "";
    }
  }
  return text;
}

TakeoverPlan
TakeoverPlan::Draw(std::uint64_t aSeed)
{
  Draws draws(aSeed);
  TakeoverPlan plan;
  plan.mSeed = aSeed;
  plan.mWorkers = 2 + draws.Below(3);
  plan.mLongestLease = milliseconds(draws.Chance(0.5) ? 6'000 : 10'000);
  plan.mLostShare = draws.Chance(0.5) ? 0.0 : 0.01;
  plan.mLateShare = draws.Chance(0.5) ? 0.0 : 0.01;
  // Half of the plans are mainly partitions, which other faults would hide.
  const bool isCalm = draws.Chance(0.5);
  const std::size_t episodes = 1 + draws.Below(isCalm ? 2 : 4);
  milliseconds at = draws.Between(milliseconds(3'000), milliseconds(12'000));
  for (std::size_t i = 0; i < episodes && at < kTakeoverFaultTime; ++i) {
    if (isCalm || draws.Chance(0.5)) {
      AddPartition(plan, draws, at);
    }
    const auto add = [&](std::size_t FaultRow::*aWeight) {
      plan.mFaults.push_back(DrawFault(
        draws,
        aWeight,
        plan.mWorkers,
        draws.Between(at - milliseconds(1'500), at + milliseconds(1'500))));
    };
    if (!isCalm) {
      add(&FaultRow::mOwnerWeight);
    }
    for (std::size_t n = draws.Below(isCalm ? 2 : 3); n > 0; --n) {
      add(draws.Chance(0.6) ? &FaultRow::mLinkWeight : &FaultRow::mWeight);
    }
    at += draws.Between(milliseconds(500),
                        milliseconds(draws.Chance(0.3) ? 3'000 : 16'000));
  }
  return plan;
}

} // namespace cornelrudder::tests
