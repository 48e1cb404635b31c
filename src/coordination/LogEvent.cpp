#include "cornelrudder/coordination/LogEvent.h"

#include "cornelrudder/coordination/CoordinationError.h"

#include <algorithm>
#include <array>

namespace cornelrudder::coordination {

namespace {

constexpr std::array kEvents{
  LogEventInfo{ LogEvent::kStarted,
                LogLevel::kInfo,
                "started",
                "the daemon listens" },
  LogEventInfo{ LogEvent::kStopping,
                LogLevel::kInfo,
                "stopping",
                "a graceful shutdown began" },
  LogEventInfo{ LogEvent::kStopped,
                LogLevel::kInfo,
                "stopped",
                "the shutdown ended" },
  LogEventInfo{ LogEvent::kCutOff,
                LogLevel::kError,
                "cut_off",
                "requests were cut off at the end of the grace period" },
  LogEventInfo{ LogEvent::kBadSettingsFile,
                LogLevel::kError,
                "bad_settings_file",
                "the settings file was rejected" },
  LogEventInfo{ LogEvent::kRouted,
                LogLevel::kInfo,
                "routed",
                "a runner was chosen for a request" },
  LogEventInfo{ LogEvent::kRouteRefused,
                LogLevel::kWarning,
                "route_refused",
                "a request was refused" },
  LogEventInfo{ LogEvent::kRunnerResult,
                LogLevel::kInfo,
                "runner_result",
                "an attempt on a runner ended" },
  LogEventInfo{ LogEvent::kSettingsApplied,
                LogLevel::kInfo,
                "settings_applied",
                "a settings document came into force on this daemon" },
  LogEventInfo{ LogEvent::kSettingsChanged,
                LogLevel::kInfo,
                "settings_changed",
                "an operator's change was accepted" },
  LogEventInfo{ LogEvent::kSettingsConflict,
                LogLevel::kWarning,
                "settings_conflict",
                "a change was refused because the version had moved" },
  LogEventInfo{ LogEvent::kSettingsRejected,
                LogLevel::kWarning,
                "settings_rejected",
                "a change was refused because its values are not allowed" },
  LogEventInfo{ LogEvent::kFleetChanged,
                LogLevel::kInfo,
                "fleet_changed",
                "the list of VMs changed" },
  LogEventInfo{ LogEvent::kFleetUnavailable,
                LogLevel::kWarning,
                "fleet_unavailable",
                "the list of VMs could not be read; the last one stays" },
  LogEventInfo{ LogEvent::kStoreUnavailable,
                LogLevel::kWarning,
                "store_unavailable",
                "the table did not answer" },
  LogEventInfo{ LogEvent::kJobAccepted,
                LogLevel::kInfo,
                "job_accepted",
                "a job was recorded and accepted" },
  LogEventInfo{ LogEvent::kJobRefused,
                LogLevel::kWarning,
                "job_refused",
                "a job was refused before it was accepted" },
  LogEventInfo{ LogEvent::kGangPlaced,
                LogLevel::kInfo,
                "gang_placed",
                "workers were chosen for a job" },
  LogEventInfo{ LogEvent::kGangWaiting,
                LogLevel::kInfo,
                "gang_waiting",
                "a job waits, for a reason that changed" },
  LogEventInfo{ LogEvent::kGangReclaim,
                LogLevel::kWarning,
                "gang_reclaim",
                "preemptible jobs are stopped for an organisation's shape" },
  LogEventInfo{ LogEvent::kGangPhase,
                LogLevel::kInfo,
                "gang_phase",
                "a job moved to another phase" },
  LogEventInfo{ LogEvent::kGangRequeued,
                LogLevel::kWarning,
                "gang_requeued",
                "an attempt ended and the job went back to the queue" },
  LogEventInfo{ LogEvent::kJobEnded,
                LogLevel::kInfo,
                "job_ended",
                "the final state of a job was recorded" },
  LogEventInfo{
    LogEvent::kWorkerQuarantined,
    LogLevel::kWarning,
    "worker_quarantined",
    "a worker fails what succeeds elsewhere and gets no more work" },
  LogEventInfo{ LogEvent::kWorkerReleased,
                LogLevel::kInfo,
                "worker_released",
                "a worker left quarantine" },
  LogEventInfo{ LogEvent::kJobsRecovered,
                LogLevel::kInfo,
                "jobs_recovered",
                "the jobs of a domain were read by its new owner" },
  LogEventInfo{
    LogEvent::kPlacementLapsed,
    LogLevel::kWarning,
    "placement_lapsed",
    "the domain's lease lapsed; only leases of members are renewed" },
  LogEventInfo{ LogEvent::kBadJobRow,
                LogLevel::kError,
                "bad_job_row",
                "a job's row is malformed and left as it is" },
  LogEventInfo{ LogEvent::kOwnerFenced,
                LogLevel::kWarning,
                "owner_fenced",
                "a worker or a row has seen another owner" },
};

} // namespace

std::span<const LogEventInfo>
AllLogEvents()
{
  return kEvents;
}

const LogEventInfo&
InfoOf(LogEvent aEvent)
{
  const auto* it =
    std::find_if(kEvents.begin(), kEvents.end(), [aEvent](const auto& aInfo) {
      return aInfo.mEvent == aEvent;
    });
  if (it == kEvents.end()) {
    throw CoordinationError("log event without a row in the table");
  }
  return *it;
}

} // namespace cornelrudder::coordination
