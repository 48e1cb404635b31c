#include "cornelrudder/state/GangEvent.h"

#include <array>

namespace cornelrudder::state {

namespace {

using Kind = std::optional<GangEventKind>;

/** Event for a member state that a worker reports; indexed by MemberState. */
constexpr std::array<GangEventKind, kMemberStateCount> kEventForState{
  GangEventKind::kMemberUnknown, GangEventKind::kReserved,
  GangEventKind::kCommitted,     GangEventKind::kStarted,
  GangEventKind::kSucceeded,     GangEventKind::kFailed,
  GangEventKind::kMemberUnknown, GangEventKind::kMemberUnknown
};

bool
HoldsNoAccelerators(MemberState aState)
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
  const auto eventForState =
    kEventForState.at(static_cast<std::size_t>(aReply.Member()));
  switch (aAction) {
    case WorkerAction::kReserve:
    case WorkerAction::kCommit:
      return accepted ? eventForState : GangEventKind::kMemberUnknown;
    case WorkerAction::kStop:
      return HoldsNoAccelerators(aReply.Member())
               ? Kind(GangEventKind::kStopped)
               : Kind();
    case WorkerAction::kCheckpoint:
      return accepted ? GangEventKind::kCheckpointed : eventForState;
    case WorkerAction::kThrottle:
      return std::nullopt;
    case WorkerAction::kStart:
    case WorkerAction::kRenew:
      break;
  }
  return eventForState;
}

} // namespace cornelrudder::state
