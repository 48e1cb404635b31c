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
  LogEventInfo{ LogEvent::kRequestQueued,
                LogLevel::kInfo,
                "request_queued",
                "a request waits for a slot" },
  LogEventInfo{ LogEvent::kRetryDecided,
                LogLevel::kInfo,
                "retry_decided",
                "a failed attempt is repeated or not, with the reason" },
  LogEventInfo{ LogEvent::kRunnerLeaving,
                LogLevel::kInfo,
                "runner_leaving",
                "a runner said that it is leaving and gets no new work" },
  LogEventInfo{ LogEvent::kRunnerQuarantined,
                LogLevel::kWarning,
                "runner_quarantined",
                "a runner failed most requests and gets only probes" },
  LogEventInfo{ LogEvent::kRunnerRecovered,
                LogLevel::kInfo,
                "runner_recovered",
                "a runner answered its probes and gets work again" },
  LogEventInfo{ LogEvent::kAdmissionChanged,
                LogLevel::kInfo,
                "admission_changed",
                "the admission policy was replaced" },
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
