#include "cornelrudder/state/WorkerExchange.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

namespace {

/** Indexed by WorkerAction. */
constexpr std::array<std::string_view, kWorkerActionCount> kActionNames{
  "reserve", "commit", "start", "renew", "stop", "checkpoint", "throttle"
};

/** Indexed by MemberState. */
constexpr std::array<std::string_view, kMemberStateCount> kStateNames{
  "unknown",  "reserved", "committed", "running",
  "finished", "failed",   "expired",   "stopped"
};

template<typename Enum, typename Names>
std::optional<Enum>
Parse(const Names& aNames, std::string_view aName)
{
  const auto it = std::find(aNames.begin(), aNames.end(), aName);
  if (it == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(it - aNames.begin());
}

} // namespace

std::string_view
WorkerActionName(WorkerAction aAction)
{
  return kActionNames.at(static_cast<std::size_t>(aAction));
}

std::optional<WorkerAction>
ParseWorkerAction(std::string_view aName)
{
  return Parse<WorkerAction>(kActionNames, aName);
}

std::string_view
MemberStateName(MemberState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

std::optional<MemberState>
ParseMemberState(std::string_view aName)
{
  return Parse<MemberState>(kStateNames, aName);
}

WorkerCommand::WorkerCommand(WorkerAction aAction,
                             RegionId aDomain,
                             std::uint64_t aEpoch,
                             JobId aGang,
                             std::uint32_t aAttempt,
                             int aMember,
                             std::vector<int> aAccelerators,
                             std::chrono::milliseconds aLease,
                             std::chrono::milliseconds aExpectedRunTime)
  : mAction(aAction)
  , mDomain(std::move(aDomain))
  , mEpoch(aEpoch)
  , mGang(std::move(aGang))
  , mAttempt(aAttempt)
  , mMember(aMember)
  , mAccelerators(std::move(aAccelerators))
  , mLease(aLease)
  , mExpectedRunTime(aExpectedRunTime)
{
  const bool negative =
    mMember < 0 || std::any_of(mAccelerators.begin(),
                               mAccelerators.end(),
                               [](int aIndex) { return aIndex < 0; });
  if (negative || mLease.count() < 0 || mExpectedRunTime.count() < 0) {
    throw StateError("worker command: member, accelerators and times must "
                     "not be negative");
  }
}

} // namespace cornelrudder::state
