#include "cornelrudder/state/GangEvent.h"

#include <array>

namespace cornelrudder::state {

namespace {

using Kind = std::optional<GangEventKind>;

/** What a state means for the owner; indexed by MemberState. */
constexpr std::array<GangEventKind, kMemberStates> kOfState{
  GangEventKind::kLost,    GangEventKind::kReserved, GangEventKind::kCommitted,
  GangEventKind::kStarted, GangEventKind::kFinished, GangEventKind::kFailed,
  GangEventKind::kLost,    GangEventKind::kLost
};

bool
HoldsNothing(MemberState aState)
{
  return aState != MemberState::kReserved &&
         aState != MemberState::kCommitted && aState != MemberState::kRunning;
}

} // namespace

std::optional<GangEventKind>
GangEventOf(WorkerAction aAction, const WorkerReport& aReport)
{
  if (aReport.Status() == WorkerStatus::kFenced) {
    return GangEventKind::kFenced;
  }
  const bool advisory =
    aAction == WorkerAction::kCheckpoint || aAction == WorkerAction::kThrottle;
  if (aReport.Status() == WorkerStatus::kUnreachable) {
    return advisory ? Kind() : Kind(GangEventKind::kUnreachable);
  }
  const bool accepted = aReport.Status() == WorkerStatus::kAccepted;
  const auto ofState = kOfState.at(static_cast<std::size_t>(aReport.Member()));
  switch (aAction) {
    case WorkerAction::kReserve:
    case WorkerAction::kCommit:
      return accepted ? ofState : GangEventKind::kLost;
    case WorkerAction::kStop:
      return HoldsNothing(aReport.Member()) ? Kind(GangEventKind::kStopped)
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
