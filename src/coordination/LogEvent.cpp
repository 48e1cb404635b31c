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
  LogEventInfo{ LogEvent::kIntentRefused,
                LogLevel::kWarning,
                "intent_refused",
                "a non-idempotent request was refused without a dispatch" },
  LogEventInfo{ LogEvent::kIntentReplayed,
                LogLevel::kInfo,
                "intent_replayed",
                "a repeat got the recorded answer" },
  LogEventInfo{
    LogEvent::kIntentRevoked,
    LogLevel::kWarning,
    "intent_revoked",
    "a claim with an unknown outcome is revoked; nothing was dispatched" },
  LogEventInfo{ LogEvent::kIntentUnknown,
                LogLevel::kWarning,
                "intent_unknown",
                "it stays open whether a dispatched request ran" },
  LogEventInfo{ LogEvent::kIntentNotRecorded,
                LogLevel::kWarning,
                "intent_not_recorded",
                "the end of an attempt could not be recorded yet" },
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
  LogEventInfo{ LogEvent::kPeerAlive,
                LogLevel::kInfo,
                "peer_alive",
                "a peer is there and shares the work" },
  LogEventInfo{ LogEvent::kPeerSuspected,
                LogLevel::kWarning,
                "peer_suspected",
                "a peer is silent; its share of the work is given to others" },
  LogEventInfo{ LogEvent::kPeerLeaving,
                LogLevel::kInfo,
                "peer_leaving",
                "a peer is in a graceful shutdown" },
  LogEventInfo{
    LogEvent::kPeerGone,
    LogLevel::kWarning,
    "peer_gone",
    "a peer is silent for long or was dropped from the list of VMs" },
  LogEventInfo{ LogEvent::kPeerRejected,
                LogLevel::kWarning,
                "peer_rejected",
                "a frame or message from a peer was dropped" },
  LogEventInfo{ LogEvent::kDuplicateDaemon,
                LogLevel::kError,
                "duplicate_daemon",
                "another daemon uses this daemon's identifier" },
  LogEventInfo{ LogEvent::kSettingsFromPeer,
                LogLevel::kInfo,
                "settings_from_peer",
                "a peer sent newer settings" },
  LogEventInfo{ LogEvent::kReady,
                LogLevel::kInfo,
                "ready",
                "the settings were read and the daemon may serve" },
  LogEventInfo{ LogEvent::kForwarded,
                LogLevel::kInfo,
                "forwarded",
                "a job command was sent to the owner of the domain" },
  LogEventInfo{ LogEvent::kForwardEnded,
                LogLevel::kInfo,
                "forward_ended",
                "the owner answered a forwarded job command" },
  LogEventInfo{ LogEvent::kForwardTimedOut,
                LogLevel::kWarning,
                "forward_timed_out",
                "the owner did not answer a forwarded job command in time" },
  LogEventInfo{ LogEvent::kStoreUnavailable,
                LogLevel::kWarning,
                "store_unavailable",
                "the table did not answer" },
  LogEventInfo{ LogEvent::kBreakerOpened,
                LogLevel::kWarning,
                "store_breaker_opened",
                "the table failed repeatedly; only probes are sent" },
  LogEventInfo{ LogEvent::kBreakerClosed,
                LogLevel::kInfo,
                "store_breaker_closed",
                "the table answers again" },
  LogEventInfo{ LogEvent::kWriteUnknown,
                LogLevel::kWarning,
                "store_write_unknown",
                "it stays open whether a write took or will take effect" },
  LogEventInfo{ LogEvent::kRowMalformed,
                LogLevel::kError,
                "row_malformed",
                "a row of the table could not be decoded and was left alone" },
  LogEventInfo{ LogEvent::kLeaseTaken,
                LogLevel::kInfo,
                "lease_taken",
                "this daemon became the owner of a placement domain" },
  LogEventInfo{ LogEvent::kLeaseLost,
                LogLevel::kWarning,
                "lease_lost",
                "this daemon's ownership of a placement domain ended" },
  LogEventInfo{ LogEvent::kLeaseReleased,
                LogLevel::kInfo,
                "lease_released",
                "the ownership was given up for a planned stop" },
  LogEventInfo{ LogEvent::kDomainOwnerChanged,
                LogLevel::kInfo,
                "domain_owner_changed",
                "another daemon owns a placement domain, or none" },
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
