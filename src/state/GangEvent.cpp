#include "cornelrudder/state/GangEvent.h"

#include <array>

namespace cornelrudder::state {

namespace {

using Kind = std::optional<GangEventKind>;

/** What a state means for the owner; indexed by MemberState. */
constexpr std::array<GangEventKind, kMemberStateCount> kOfState{
  GangEventKind::kMemberUnknown, GangEventKind::kReserved,
  GangEventKind::kCommitted,     GangEventKind::kStarted,
  GangEventKind::kSucceeded,     GangEventKind::kFailed,
  GangEventKind::kMemberUnknown, GangEventKind::kMemberUnknown
};

bool
HoldsNothing(MemberState aState)
{
  return aState != MemberState::kReserved &&
         aState != MemberState::kCommitted && aState != MemberState::kRunning;
}

} // namespace

std::optional<GangEventKind>
ToGangEvent(WorkerAction aAction, const WorkerReply& aReply)
{
  if (aReply.Status() == WorkerReplyStatus::kFenced) {
    return GangEventKind::kFenced;
  }
  const bool advisory =
    aAction == WorkerAction::kCheckpoint || aAction == WorkerAction::kThrottle;
  if (aReply.Status() == WorkerReplyStatus::kUnreachable) {
    return advisory ? Kind() : Kind(GangEventKind::kUnreachable);
  }
  const bool accepted = aReply.Status() == WorkerReplyStatus::kAccepted;
  const auto ofState = kOfState.at(static_cast<std::size_t>(aReply.Member()));
  switch (aAction) {
    case WorkerAction::kReserve:
    case WorkerAction::kCommit:
      return accepted ? ofState : GangEventKind::kMemberUnknown;
    case WorkerAction::kStop:
      return HoldsNothing(aReply.Member()) ? Kind(GangEventKind::kStopped)
                                           : Kind();
    case WorkerAction::kCheckpoint:
      return accepted ? GangEventKind::kCheckpointed : ofState;
    case WorkerAction::kThrottle:
      return std::nullopt;
    case WorkerAction::kStart:
    case WorkerAction::kRenew:
      break;
  }
  return ofState;
}

} // namespace cornelrudder::state
