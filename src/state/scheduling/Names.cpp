#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/WorkerCalls.h"

#include <array>

namespace cornelrudder::state::scheduling {

namespace {

/** Indexed by JobPhase. */
constexpr std::array kPhaseNames{ "queued",
                                  "running",
                                  "done",
                                  "failed",
                                  "cancelled" };

/** Indexed by TerminationReason. */
constexpr std::array kReasonNames{ "done",        "failed",
                                   "stopped",     "lease_expired",
                                   "gang_broken", "gang_incomplete" };

} // namespace

const char*
JobPhaseName(JobPhase aPhase)
{
  return kPhaseNames.at(static_cast<std::size_t>(aPhase));
}

std::optional<JobPhase>
JobPhaseFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kPhaseNames.size(); ++i) {
    if (kPhaseNames.at(i) == aName) {
      return static_cast<JobPhase>(i);
    }
  }
  return std::nullopt;
}

bool
IsFinal(JobPhase aPhase)
{
  return aPhase == JobPhase::kDone || aPhase == JobPhase::kFailed ||
         aPhase == JobPhase::kCancelled;
}

const char*
TerminationReasonName(TerminationReason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::optional<TerminationReason>
TerminationReasonFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kReasonNames.size(); ++i) {
    if (kReasonNames.at(i) == aName) {
      return static_cast<TerminationReason>(i);
    }
  }
  return std::nullopt;
}

} // namespace cornelrudder::state::scheduling
